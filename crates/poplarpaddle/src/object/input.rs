//! Objects parsed from files or the store, together with their faults.

use std::collections::BTreeSet;

use super::{Fault, Item, Kind, Set};
use crate::store;

/// The objects parsed so far and their faults.
///
/// The names of malformed objects are kept, so that the check reports the object itself and not every reference to it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Input {
    /// Objects without faults.
    pub set: Set,
    /// Faults of the other objects.
    pub faults: Vec<Fault>,
    malformed: BTreeSet<(Kind, String)>,
}

impl Input {
    /// Adds an object that was read from `location` under `name`, or its faults.
    pub fn add(&mut self, location: &str, kind: Kind, name: &str, item: Result<Item, Vec<Fault>>) {
        let inserted = item.and_then(|item| self.set.insert(location, name, item).map_err(|fault| vec![fault]));
        if let Err(faults) = inserted {
            self.faults.extend(faults);
            self.malformed.insert((kind, name.to_owned()));
        }
    }

    /// Parses and adds store objects of a kind.
    pub fn add_objects(&mut self, kind: Kind, objects: &[store::Object]) {
        for object in objects {
            let location = format!("{kind} {:?}", object.name);
            self.add(&location, kind, &object.name, Item::from_value(&location, kind, &object.value));
        }
    }

    /// Returns true when the object exists, whether it is malformed or not.
    #[must_use]
    pub fn contains(&self, kind: Kind, name: &str) -> bool {
        let read = match kind {
            Kind::Zone => self.set.zones.contains_key(name),
            Kind::Priority => self.set.priorities.contains_key(name),
            Kind::Service => self.set.services.contains_key(name),
            Kind::Target => self.set.targets.contains_key(name),
        };
        read || self
            .malformed
            .iter()
            .any(|(malformed_kind, malformed_name)| *malformed_kind == kind && malformed_name == name)
    }
}

impl From<Set> for Input {
    fn from(set: Set) -> Self {
        Self { set, ..Self::default() }
    }
}
