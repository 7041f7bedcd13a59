//! Objects of any kind, and access to the objects of a set by kind.

use serde_json::Value;

use super::reader::Reader;
use super::{Fault, Kind, Port, Priority, Service, Set, Target, Zone};
use crate::error::{Error, Kind as ErrorKind, Result};

/// One object of any kind.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::From)]
pub enum Item {
    /// A zone.
    Zone(Zone),
    /// A priority.
    Priority(Priority),
    /// A service.
    Service(Service),
    /// A target.
    Target(Target),
}

impl Item {
    /// Reads an object from JSON bytes, such as the content of the file `location`.
    ///
    /// # Errors
    ///
    /// Every fault of the object, each with `location`, field and value.
    pub fn from_json(location: &str, kind: Kind, bytes: &[u8]) -> std::result::Result<Self, Vec<Fault>> {
        let value = serde_json::from_slice(bytes)
            .map_err(|error| vec![Fault::new(location, "content", &error, "one JSON object")])?;
        Self::from_value(location, kind, &value)
    }

    /// Reads an object from a JSON value.
    ///
    /// # Errors
    ///
    /// Every fault of the object, each with `location`, field and value.
    pub fn from_value(location: &str, kind: Kind, value: &Value) -> std::result::Result<Self, Vec<Fault>> {
        let mut faults = Vec::new();
        let item = Reader::new(location, String::new(), value, &mut faults).and_then(|mut reader| {
            let item = read(kind, &mut reader);
            reader.finish();
            item
        });
        item.filter(|_item| faults.is_empty()).ok_or(faults)
    }

    /// Returns the kind.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        match self {
            Self::Zone(_) => Kind::Zone,
            Self::Priority(_) => Kind::Priority,
            Self::Service(_) => Kind::Service,
            Self::Target(_) => Kind::Target,
        }
    }

    /// Returns the name.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::Zone(object) => &object.name,
            Self::Priority(object) => &object.name,
            Self::Service(object) => &object.name,
            Self::Target(object) => &object.name,
        }
    }

    /// Returns the JSON value, as in the store.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Internal`] when the object cannot be represented as JSON.
    pub fn to_value(&self) -> Result<Value> {
        let value = match self {
            Self::Zone(object) => serde_json::to_value(object),
            Self::Priority(object) => serde_json::to_value(object),
            Self::Service(object) => serde_json::to_value(object),
            Self::Target(object) => serde_json::to_value(object),
        };
        value.map_err(|error| Error::new(ErrorKind::Internal, format!("{} cannot be encoded: {error}", self.label())))
    }

    /// Returns the kind and the name, for messages.
    #[must_use]
    pub fn label(&self) -> String {
        format!("{} {:?}", self.kind(), self.name())
    }
}

impl Set {
    /// Adds an object that was read from `location` under `name`.
    ///
    /// # Errors
    ///
    /// A fault when the name in the object differs from `name`.
    pub fn insert(&mut self, location: &str, name: &str, item: Item) -> std::result::Result<(), Fault> {
        if item.name() != name {
            return Err(Fault::new(location, "name", &format_args!("{:?}", item.name()), format!("{name:?}")));
        }
        let name = name.to_owned();
        match item {
            Item::Zone(object) => drop(self.zones.insert(name, object)),
            Item::Priority(object) => drop(self.priorities.insert(name, object)),
            Item::Service(object) => drop(self.services.insert(name, object)),
            Item::Target(object) => drop(self.targets.insert(name, object)),
        }
        Ok(())
    }

    /// Returns the object with this kind and name.
    #[must_use]
    pub fn get(&self, kind: Kind, name: &str) -> Option<Item> {
        match kind {
            Kind::Zone => self.zones.get(name).cloned().map(Item::Zone),
            Kind::Priority => self.priorities.get(name).cloned().map(Item::Priority),
            Kind::Service => self.services.get(name).cloned().map(Item::Service),
            Kind::Target => self.targets.get(name).cloned().map(Item::Target),
        }
    }

    /// Returns the names of the objects of a kind, sorted.
    #[must_use]
    pub fn names(&self, kind: Kind) -> Vec<&str> {
        match kind {
            Kind::Zone => self.zones.keys().map(String::as_str).collect(),
            Kind::Priority => self.priorities.keys().map(String::as_str).collect(),
            Kind::Service => self.services.keys().map(String::as_str).collect(),
            Kind::Target => self.targets.keys().map(String::as_str).collect(),
        }
    }

    /// Returns the number of objects of all kinds.
    #[must_use]
    pub fn len(&self) -> usize {
        self.zones.len() + self.priorities.len() + self.services.len() + self.targets.len()
    }

    /// Returns true when the set contains no objects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn read(kind: Kind, reader: &mut Reader<'_, '_>) -> Option<Item> {
    match kind {
        Kind::Zone => zone(reader).map(Item::Zone),
        Kind::Priority => priority(reader).map(Item::Priority),
        Kind::Service => service(reader).map(Item::Service),
        Kind::Target => target(reader).map(Item::Target),
    }
}

// Each function reads every field before the first `?`, so that all faults are recorded.

fn zone(reader: &mut Reader<'_, '_>) -> Option<Zone> {
    let (name, region) = (reader.string("name"), reader.string("region"));
    Some(Zone { name: name?, region: region? })
}

fn priority(reader: &mut Reader<'_, '_>) -> Option<Priority> {
    let name = reader.string("name");
    let rank = reader.number("rank", u8::MAX);
    let share = reader.number("share", u8::MAX);
    let queue_ms = reader.number("queue_ms", u32::MAX);
    Some(Priority { name: name?, rank: rank?, share: share?, queue_ms: queue_ms? })
}

fn service(reader: &mut Reader<'_, '_>) -> Option<Service> {
    let name = reader.string("name");
    let address = reader.address("address");
    let ports = reader.array("ports", port);
    let shards = reader.optional_number("shards", u16::MAX);
    Some(Service { name: name?, address: address?, ports: ports?, shards })
}

fn port(reader: &mut Reader<'_, '_>) -> Option<Port> {
    let (port, priority) = (reader.number("port", u16::MAX), reader.string("priority"));
    let idempotent = reader.flag("idempotent");
    Some(Port { port: port?, priority: priority?, idempotent: idempotent? })
}

fn target(reader: &mut Reader<'_, '_>) -> Option<Target> {
    let name = reader.string("name");
    let service = reader.string("service");
    let zone = reader.string("zone");
    let address = reader.address("address");
    let slots = reader.number("slots", u16::MAX);
    let connections = reader.number("connections", u32::MAX);
    let draining = reader.flag("draining");
    Some(Target {
        name: name?,
        service: service?,
        zone: zone?,
        address: address?,
        slots: slots?,
        connections: connections?,
        draining: draining?,
    })
}
