//! Checks the whole set of objects before it is published.
//!
//! ```
//! use poplarpaddle::check;
//! use poplarpaddle::object::{Set, Zone};
//!
//! let mut set = Set::default();
//! let zone = Zone { name: "nz-south-a".to_owned(), region: String::new() };
//! set.zones.insert(zone.name.clone(), zone);
//! let faults = check::set(&set);
//! assert!(faults[0].to_string().starts_with("zone \"nz-south-a\": region is \"\", allowed: 1 to 63 characters"));
//! ```
//!
//! Every fault is found in one pass, so that an operator can correct all of them at once. The check is stricter than
//! what a node needs to compile a configuration: limits can be tightened here without changing the nodes.

mod address;
mod release;
pub mod routes;

use std::collections::BTreeMap;

use self::address::Addresses;
pub use self::release::released;
use crate::object::{Fault, Input, Kind, Priority, Service, Set, Target, Zone};

/// Maximum length of a name in characters, as for a label of a host name.
pub const MAX_NAME: usize = 63;

/// Maximum number of shards of a service. 1024 shards of 16 targets fill a part of 1 MB.
pub const MAX_SHARDS: u16 = 1024;

/// Maximum number of ports of a service.
pub const MAX_PORTS: usize = 64;

/// Maximum number of priorities; each one needs a queue in every shard.
pub const MAX_PRIORITIES: usize = 16;

/// Maximum number of zones; the manifest lists all of them.
pub const MAX_ZONES: usize = 256;

/// Maximum number of services, about twice the number that the design aims at.
pub const MAX_SERVICES: usize = 25_000;

/// Maximum number of targets, about twice the number that the design aims at.
pub const MAX_TARGETS: usize = 150_000;

/// Maximum queueing time of a priority in milliseconds; callers time out earlier.
pub const MAX_QUEUE_MS: u32 = 600_000;

/// Maximum number of slots of a host.
pub const MAX_SLOTS: u16 = 10_000;

/// Maximum number of connections of a host.
pub const MAX_CONNECTIONS: u32 = 1_000_000;

/// Maximum share of one priority and of all priorities together, in percent.
const MAX_SHARE: u8 = 100;

/// Returns every fault of the set: first those of the numbers of objects, then those of single objects, then those of
/// addresses. The last two are sorted by kind and name.
#[must_use]
pub fn set(set: &Set) -> Vec<Fault> {
    input(&Input::from(set.clone()))
}

/// Returns the faults found by parsing, then those of the objects that were parsed.
#[must_use]
pub fn input(input: &Input) -> Vec<Fault> {
    let set = &input.set;
    let mut checker = Checker { input, faults: input.faults.clone() };
    checker.sizes();
    set.zones.iter().for_each(|(key, zone)| checker.zone(key, zone));
    checker.priorities();
    set.services.iter().for_each(|(key, service)| checker.service(key, service));
    set.targets.iter().for_each(|(key, target)| checker.target(key, target));
    let mut faults = checker.faults;
    Addresses::new(set).check(&mut faults);
    faults
}

struct Checker<'a> {
    input: &'a Input,
    faults: Vec<Fault>,
}

impl Checker<'_> {
    fn fault(
        &mut self,
        location: &str,
        field: impl Into<String>,
        value: &dyn std::fmt::Display,
        allowed: impl Into<String>,
    ) {
        self.faults.push(Fault::new(location, field, value, allowed));
    }

    fn range(&mut self, location: &str, field: impl Into<String>, value: u64, min: u64, max: u64) {
        if value < min || value > max {
            self.fault(location, field, &value, format!("{min} to {max}"));
        }
    }

    fn sizes(&mut self) {
        let sizes = [
            ("number of zones", self.input.set.zones.len(), MAX_ZONES),
            ("number of priorities", self.input.set.priorities.len(), MAX_PRIORITIES),
            ("number of services", self.input.set.services.len(), MAX_SERVICES),
            ("number of targets", self.input.set.targets.len(), MAX_TARGETS),
        ];
        for (field, count, max) in sizes {
            self.range("set", field, count as u64, 0, max as u64);
        }
    }

    fn name(&mut self, location: &str, field: &str, name: &str) {
        let inner = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '_' | '.');
        let edge = |c: Option<char>| c.is_some_and(|c| c.is_ascii_lowercase() || c.is_ascii_digit());
        let valid = name.len() <= MAX_NAME && name.chars().all(inner) && edge(name.chars().next());
        if !valid {
            let allowed =
                format!("1 to {MAX_NAME} characters of a-z, 0-9, '-', '_' and '.', the first a letter or digit");
            self.fault(location, field, &format_args!("{name:?}"), allowed);
        }
    }

    fn key(&mut self, location: &str, key: &str, name: &str) {
        self.name(location, "name", name);
        if key != name {
            self.fault(location, "name", &format_args!("{name:?}"), format!("{key:?}"));
        }
    }

    fn reference(&mut self, location: &str, field: impl Into<String>, kind: Kind, name: &str) {
        if !self.input.contains(kind, name) {
            self.fault(location, field, &format_args!("{name:?}"), format!("the name of an existing {kind}"));
        }
    }

    fn zone(&mut self, key: &str, zone: &Zone) {
        let location = format!("zone {key:?}");
        self.key(&location, key, &zone.name);
        self.name(&location, "region", &zone.region);
    }

    fn priorities(&mut self) {
        let mut ranks: BTreeMap<u8, &str> = BTreeMap::new();
        let mut total: u64 = 0;
        for (key, priority) in &self.input.set.priorities {
            self.priority(key, priority);
            total += u64::from(priority.share);
            if let Some(other) = ranks.get(&priority.rank) {
                let allowed = format!("a rank that priority {other:?} does not have");
                self.fault(&format!("priority {key:?}"), "rank", &priority.rank, allowed);
            }
            ranks.entry(priority.rank).or_insert(key);
        }
        self.range("set", "sum of the shares of priorities", total, 0, u64::from(MAX_SHARE));
    }

    fn priority(&mut self, key: &str, priority: &Priority) {
        let location = format!("priority {key:?}");
        self.key(&location, key, &priority.name);
        self.range(&location, "share", priority.share.into(), 0, MAX_SHARE.into());
        self.range(&location, "queue_ms", priority.queue_ms.into(), 1, MAX_QUEUE_MS.into());
    }

    fn service(&mut self, key: &str, service: &Service) {
        let location = format!("service {key:?}");
        self.key(&location, key, &service.name);
        self.range(&location, "number of ports", service.ports.len() as u64, 1, MAX_PORTS as u64);
        if let Some(shards) = service.shards {
            self.range(&location, "shards", shards.into(), 1, MAX_SHARDS.into());
        }
        for (index, port) in service.ports.iter().enumerate() {
            let field = format!("ports[{index}]");
            self.range(&location, format!("{field}.port"), port.port.into(), 1, u16::MAX.into());
            self.reference(&location, format!("{field}.priority"), Kind::Priority, &port.priority);
            if let Some(first) = service.ports[..index].iter().position(|other| other.port == port.port) {
                let allowed = format!("a port other than ports[{first}].port");
                self.fault(&location, format!("{field}.port"), &port.port, allowed);
            }
        }
    }

    fn target(&mut self, key: &str, target: &Target) {
        let location = format!("target {key:?}");
        self.key(&location, key, &target.name);
        self.reference(&location, "service", Kind::Service, &target.service);
        self.reference(&location, "zone", Kind::Zone, &target.zone);
        self.range(&location, "slots", target.slots.into(), 1, MAX_SLOTS.into());
        self.range(&location, "connections", target.connections.into(), 1, MAX_CONNECTIONS.into());
    }
}
