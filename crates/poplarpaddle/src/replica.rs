//! Replicas of collections in a store, which balancers receive from the store or from each other.
//!
//! A replica holds the state of a collection at one revision of the store: each value has a key and the revision of its
//! last change. Reads and watches of the store and responses of peers all provide a [`Delta`]. Merging a delta never
//! takes the replica back to an older revision.
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
//! A replica remembers removed keys, so that a peer that is slightly behind gets a small delta. The number of these
//! keys is bounded; a peer that is further behind gets a snapshot of the whole collection.

use std::collections::BTreeMap;
use std::hash::Hash;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind, Result};
use crate::map::{self, Map, Set};

/// Maximum number of removed keys that a replica remembers.
const MAX_REMOVED: usize = 1024;

/// A value with its key and revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item<K, V> {
    /// The key.
    pub key: K,
    /// The value.
    pub value: V,
    /// Revision of the last change of the value.
    pub changed: u64,
}

/// A removed key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Removed<K> {
    /// The key.
    pub key: K,
    /// Revision at which the key is known to be absent; it may have been removed earlier.
    pub at: u64,
}

/// Changes of a collection from one revision to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta<K, V> {
    /// Revision at which the changes start; 0 means that the delta is a snapshot of the whole collection.
    pub base: u64,
    /// Revision of the store that the collection has after the changes.
    pub to: u64,
    /// Added and changed values.
    pub put: Vec<Item<K, V>>,
    /// Removed keys; empty in a snapshot.
    pub removed: Vec<Removed<K>>,
}

#[derive(Debug, Clone)]
struct Entry<V> {
    value: V,
    changed: u64,
}

/// Replica of a collection at one revision.
#[derive(Debug, Clone)]
pub struct Replica<K, V> {
    as_of: u64,
    revision: u64,
    /// Lowest revision for which [`Self::delta`] returns changes; for lower ones it returns a snapshot.
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
    /// Two replicas may assign different revisions to the same removal, because the store only reveals the range of
    /// revisions in which it happened.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the highest revision of the store at which this state is known to be current, 0 before the first delta.
    #[must_use]
    pub const fn as_of(&self) -> u64 {
        self.as_of
    }

    /// Records that the collection has not changed up to revision `as_of` of the store.
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

    /// Returns an iterator over keys and values, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.entries.iter().map(|(key, entry)| (key, &entry.value))
    }

    /// Returns a digest of the keys and of the revisions of their last changes. Replicas with the same entries have
    /// equal digests, in whatever order the entries arrived.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let hashes = self.entries.iter().map(|(key, entry)| map::hash(entry.changed, key));
        hashes.fold(0, u64::wrapping_add)
    }

    /// Raises [`Self::revision`] to `revision`, after a change of state that belongs to the collection but is stored
    /// outside the replica.
    pub fn touch(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Applies a delta and returns the keys that changed, sorted. A delta that is not newer than the state has no
    /// effect.
    ///
    /// # Errors
    ///
    /// [`Kind::Stale`] when the delta starts after [`Self::as_of`], so that changes in between would be lost.
    pub fn merge(&mut self, delta: Delta<K, V>) -> Result<Vec<K>> {
        if delta.to <= self.as_of {
            return Ok(Vec::new());
        }
        if delta.base > self.as_of {
            let text = format!("delta starts at revision {}, but the state is at revision {}", delta.base, self.as_of);
            return Err(Error::new(Kind::Stale, text));
        }
        let mut changed = Vec::new();
        if delta.base == 0 {
            self.remove_unlisted(&delta, &mut changed);
            // Removals before the first snapshot are unknown. Later snapshots are compared with the previous state,
            // which reveals the removals in between.
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

    /// Returns true when [`Self::delta`] for `since` returns a snapshot.
    #[must_use]
    pub const fn needs_snapshot(&self, since: u64) -> bool {
        since == 0 || since < self.floor
    }

    /// Returns the changes after revision `since`, or a snapshot when they are no longer known.
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

    /// Returns the snapshot that sets the collection to `values` at revision `to`. Values that are equal to the current
    /// ones keep the revision of their last change.
    #[must_use]
    pub fn snapshot_of(&self, to: u64, values: Vec<(K, V)>) -> Delta<K, V>
    where
        V: PartialEq,
    {
        let put = values.into_iter().map(|(key, value)| {
            let same = self.entries.get(&key).filter(|entry| entry.value == value);
            Item { changed: same.map_or(to, |entry| entry.changed), key, value }
        });
        Delta { base: 0, to, put: put.collect(), removed: Vec::new() }
    }

    /// Removes the keys that a snapshot does not contain.
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

    /// Drops the oldest removed keys beyond [`MAX_REMOVED`].
    fn trim_removed(&mut self) {
        while self.removed.len() > MAX_REMOVED {
            let Some((key, at)) = self.removed.iter().min_by_key(|(_, at)| **at) else { return };
            let (key, at) = (key.clone(), *at);
            self.removed.remove(&key);
            self.floor = self.floor.max(at);
        }
    }
}
