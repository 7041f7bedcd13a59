//! Keyed values with the revision of their last change, spread from a store through peers.
//!
//! A ledger holds the state of a collection at one revision of the store. Lists, watches and peers all hand in the same
//! [`Delta`], and the ledger only moves forward.
//!
//! ```
//! use poplarpaddle::replica::{Delta, Item, Replica};
//!
//! let mut replica: Replica<String, u32> = Replica::default();
//! let put = vec![Item { key: "a".to_owned(), value: 1, changed: 4 }];
//! let changed = replica.merge(Delta { base: 0, to: 7, put, removed: vec![] }).unwrap();
//! assert_eq!(changed, ["a"]);
//! assert_eq!((replica.revision(), replica.as_of()), (4, 7));
//! ```
//!
//! # Trade-offs
//!
//! Removed keys are remembered so that a reader a little behind gets a short delta. Their number is bounded; a reader
//! that is behind further than that gets the whole collection.

use std::collections::BTreeMap;
use std::hash::Hash;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind, Result};
use crate::map::{self, Map, Set};

/// Removed keys that are remembered.
const MAX_REMOVED: usize = 1024;

/// A value with its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item<K, V> {
    /// The key.
    pub key: K,
    /// The value.
    pub value: V,
    /// Revision of the last change.
    pub changed: u64,
}

/// A key that is gone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Removed<K> {
    /// The key.
    pub key: K,
    /// A revision at which the key was gone.
    pub at: u64,
}

/// What changed from one revision to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta<K, V> {
    /// Revision at which the changes start; 0 means that the delta holds the whole collection.
    pub base: u64,
    /// Revision of the store at which the state after the changes was the latest.
    pub to: u64,
    /// New and changed values.
    pub put: Vec<Item<K, V>>,
    /// Removed keys; empty in a whole collection.
    pub removed: Vec<Removed<K>>,
}

#[derive(Debug, Clone)]
struct Entry<V> {
    value: V,
    changed: u64,
}

/// A collection at one revision.
#[derive(Debug, Clone)]
pub struct Replica<K, V> {
    as_of: u64,
    revision: u64,
    /// Deltas from revisions below this one are not known.
    floor: u64,
    entries: Map<K, Entry<V>>,
    removed: BTreeMap<K, u64>,
}

impl<K, V> Default for Replica<K, V> {
    fn default() -> Self {
        Self { as_of: 0, revision: 0, floor: 0, entries: map::seeded(0), removed: BTreeMap::new() }
    }
}

impl<K: Clone + Ord + Hash, V: Clone> Replica<K, V> {
    /// Returns the revision of the last change, 0 before the first one.
    ///
    /// Two ledgers may give a removal different revisions, since the store tells only between which ones it happened.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the latest revision of the store at which this state is known to be the latest, 0 before the first delta.
    #[must_use]
    pub const fn as_of(&self) -> u64 {
        self.as_of
    }

    /// Takes the word of another ledger that nothing changed up to revision `as_of` of the store.
    pub fn advance(&mut self, as_of: u64) {
        self.as_of = self.as_of.max(as_of);
    }

    /// Returns the value of `key`.
    #[must_use]
    pub fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).map(|entry| &entry.value)
    }

    /// Returns the number of values.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true when there is no value.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the values in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.entries.iter().map(|(key, entry)| (key, &entry.value))
    }

    /// Counts a change that is kept beside the values, at `revision`.
    pub fn touch(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Moves the state forward and returns the keys that changed, sorted. An older delta changes nothing.
    ///
    /// # Errors
    ///
    /// [`Kind::Stale`] when the delta starts after the own revision, so that changes are missing in between.
    pub fn merge(&mut self, delta: Delta<K, V>) -> Result<Vec<K>> {
        if delta.to <= self.as_of {
            return Ok(Vec::new());
        }
        if delta.base > self.as_of {
            let text = format!("changes from revision {} do not follow {}", delta.base, self.as_of);
            return Err(Error::new(Kind::Stale, text));
        }
        let mut changed = Vec::new();
        if delta.base == 0 {
            self.remove_unlisted(&delta, &mut changed);
            // Later lists are compared with the state before, so that their removals are known.
            self.floor = if self.as_of == 0 { delta.to } else { self.floor };
        }
        for removal in delta.removed {
            self.remove(removal, &mut changed);
        }
        for item in delta.put {
            self.put(item, &mut changed);
        }
        self.as_of = delta.to;
        self.trim_removed();
        changed.sort_unstable();
        changed.dedup();
        Ok(changed)
    }

    /// Returns true when [`Self::delta`] from `since` is the whole collection.
    #[must_use]
    pub const fn needs_snapshot(&self, since: u64) -> bool {
        since == 0 || since < self.floor
    }

    /// Returns what changed after revision `since`, or the whole collection when that is not known any more.
    #[must_use]
    pub fn delta(&self, since: u64) -> Delta<K, V> {
        let base = if self.needs_snapshot(since) { 0 } else { since };
        let put = self.entries.iter().filter(|(_, entry)| entry.changed > base);
        let mut put: Vec<_> = put
            .map(|(key, entry)| Item { key: key.clone(), value: entry.value.clone(), changed: entry.changed })
            .collect();
        put.sort_unstable_by(|one, other| one.key.cmp(&other.key));
        let removed = self.removed.iter().filter(|(_, at)| base > 0 && **at > base);
        let removed = removed.map(|(key, at)| Removed { key: key.clone(), at: *at }).collect();
        Delta { base, to: self.as_of, put, removed }
    }

    /// Returns the delta that leads to `values` at revision `to`. Equal values keep the revision of their last change.
    #[must_use]
    pub fn difference(&self, to: u64, values: Vec<(K, V)>) -> Delta<K, V>
    where
        V: PartialEq,
    {
        let put = values.into_iter().map(|(key, value)| {
            let same = self.entries.get(&key).filter(|entry| entry.value == value);
            Item { changed: same.map_or(to, |entry| entry.changed), key, value }
        });
        Delta { base: 0, to, put: put.collect(), removed: Vec::new() }
    }

    fn remove_unlisted(&mut self, delta: &Delta<K, V>, changed: &mut Vec<K>) {
        let mut listed: Set<&K> = Set::with_hasher(map::state(0));
        listed.extend(delta.put.iter().map(|item| &item.key));
        let unlisted: Vec<K> = self.entries.keys().filter(|key| !listed.contains(key)).cloned().collect();
        for key in unlisted {
            self.remove(Removed { key, at: delta.to }, changed);
        }
    }

    fn remove(&mut self, removal: Removed<K>, changed: &mut Vec<K>) {
        let is_newer = self.entries.get(&removal.key).is_some_and(|entry| entry.changed > removal.at);
        if is_newer {
            return;
        }
        if self.entries.remove(&removal.key).is_some() {
            changed.push(removal.key.clone());
            self.revision = self.revision.max(removal.at);
        }
        self.removed.insert(removal.key, removal.at);
    }

    fn put(&mut self, item: Item<K, V>, changed: &mut Vec<K>) {
        let is_known = self.entries.get(&item.key).is_some_and(|entry| entry.changed >= item.changed);
        let is_removed = self.removed.get(&item.key).is_some_and(|at| *at >= item.changed);
        if is_known || is_removed {
            return;
        }
        self.removed.remove(&item.key);
        self.revision = self.revision.max(item.changed);
        changed.push(item.key.clone());
        self.entries.insert(item.key, Entry { value: item.value, changed: item.changed });
    }

    /// Forgets the oldest removed keys beyond the bound.
    fn trim_removed(&mut self) {
        while self.removed.len() > MAX_REMOVED {
            let Some((key, at)) = self.removed.iter().min_by_key(|(_, at)| **at) else { return };
            let (key, at) = (key.clone(), *at);
            self.removed.remove(&key);
            self.floor = self.floor.max(at);
        }
    }
}
