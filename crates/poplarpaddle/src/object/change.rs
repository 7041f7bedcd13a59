//! Differences between two sets of objects.

use std::collections::BTreeMap;

use serde::Serialize;

use super::{Kind, Set};

/// How an object differs between two sets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum Difference {
    /// Only the newer set contains it.
    #[display("added")]
    Added,
    /// Only the older set contains it.
    #[display("removed")]
    Removed,
    /// Both sets contain it with different fields.
    #[display("changed")]
    Changed,
}

/// One object that differs between two sets.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, derive_more::Display)]
#[display("{difference} {kind} {name:?}")]
pub struct Change {
    /// Kind of the object.
    pub kind: Kind,
    /// Name of the object.
    pub name: String,
    /// How the object differs.
    pub difference: Difference,
}

impl Set {
    /// Returns the differences from this set to `newer`, sorted by kind and name.
    #[must_use]
    pub fn changes(&self, newer: &Self) -> Vec<Change> {
        let mut changes = compare(Kind::Zone, &self.zones, &newer.zones);
        changes.extend(compare(Kind::Priority, &self.priorities, &newer.priorities));
        changes.extend(compare(Kind::Service, &self.services, &newer.services));
        changes.extend(compare(Kind::Target, &self.targets, &newer.targets));
        changes
    }
}

fn compare<T: PartialEq>(kind: Kind, older: &BTreeMap<String, T>, newer: &BTreeMap<String, T>) -> Vec<Change> {
    let removed = older.keys().filter(|name| !newer.contains_key(*name)).map(|name| (name, Difference::Removed));
    let present = newer.iter().filter_map(|(name, object)| match older.get(name) {
        None => Some((name, Difference::Added)),
        Some(before) => (before != object).then_some((name, Difference::Changed)),
    });
    let mut changes: Vec<Change> =
        removed.chain(present).map(|(name, difference)| Change { kind, name: name.clone(), difference }).collect();
    changes.sort();
    changes
}
