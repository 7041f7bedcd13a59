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
//! let put = vec![Item { key: "a".to_owned(), value: 1, changed: 4.into() }];
//! let changed = replica.merge(Delta { base: 0.into(), to: 7.into(), put, removed: vec![], gaps: vec![] }).unwrap();
//! assert_eq!(changed, ["a"]);
//! assert_eq!((replica.revision(), replica.as_of()), (4.into(), 7.into()));
//! ```
//!
//! # Stores that were restored from a copy
//!
//! The first snapshot of a new epoch is older than the state, until the writers have written again what was lost. Up to
//! a call of [`Replica::settle`], the replica therefore keeps the values that the snapshot lacks, and leaves out those
//! that had been removed. Of a value that the snapshot contains, it keeps the version that its writer wrote last.
//!
//! # Trade-offs
//!
//! A replica remembers removed keys, so that a peer that is slightly behind gets a small delta. The number of these
//! keys is bounded; a peer that is further behind gets a snapshot of the whole collection.

mod restore;

use std::collections::{BTreeMap, VecDeque};
use std::hash::Hash;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind, Result};
use crate::map::{self, Map, Set};
use crate::revision::Revision;

/// Maximum number of removed keys that a replica remembers.
const MAX_REMOVED: usize = 1024;

/// Maximum number of [`Gap`]s that a replica remembers.
const MAX_GAPS: usize = 16;

/// A value with its key and revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item<K, V> {
    /// The key.
    pub key: K,
    /// The value.
    pub value: V,
    /// Revision of the last change of the value.
    pub changed: Revision,
}

/// A removed key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Removed<K> {
    /// The key.
    pub key: K,
    /// Revision at which the key is known to be absent; it may have been removed earlier.
    pub at: Revision,
}

/// Changes of a collection from one revision to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta<K, V> {
    /// Revision at which the changes start; none means that the delta is a snapshot of the whole collection.
    pub base: Revision,
    /// Revision of the store that the collection has after the changes.
    pub to: Revision,
    /// Added and changed values.
    pub put: Vec<Item<K, V>>,
    /// Removed keys; empty in a snapshot.
    pub removed: Vec<Removed<K>>,
    /// Ranges after `base` that the sender has skipped; empty in a snapshot, and if the changes come from the store.
    pub gaps: Vec<Gap>,
}

/// Range of revisions that a snapshot has skipped. A replica with a gap does not know of values that were added and
/// removed within it, so it cannot tell a peer that was in between to remove them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// Last revision before the range.
    pub after: Revision,
    /// Revision of the snapshot.
    pub until: Revision,
}

#[derive(Debug, Clone)]
struct Entry<V> {
    value: V,
    changed: Revision,
}

/// Replica of a collection at one revision.
#[derive(Debug, Clone)]
pub struct Replica<K, V> {
    as_of: Revision,
    revision: Revision,
    /// Lowest revision for which [`Self::delta`] returns changes; for lower ones it returns a snapshot.
    floor: Revision,
    /// Ranges of revisions that were skipped, for which [`Self::delta`] returns a snapshot as well.
    gaps: VecDeque<Gap>,
    entries: Map<K, Entry<V>>,
    removed: BTreeMap<K, Revision>,
    /// Sum of the hashes of `entries` and `held`.
    digest: u64,
    /// Values in the first snapshot of the epoch that had been removed in an earlier one, until [`Self::settle`].
    held: BTreeMap<K, Entry<V>>,
}

impl<K, V> Default for Replica<K, V> {
    fn default() -> Self {
        Self {
            as_of: Revision::NONE,
            revision: Revision::NONE,
            floor: Revision::NONE,
            gaps: VecDeque::new(),
            entries: map::seeded(0),
            removed: BTreeMap::new(),
            digest: 0,
            held: BTreeMap::new(),
        }
    }
}

impl<K: Clone + Ord + Hash, V: Clone> Replica<K, V> {
    /// Returns the revision of the last change, none before the first one.
    ///
    /// Two replicas may assign different revisions to the same removal, because the store only reveals the range of
    /// revisions in which it happened.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the highest revision of the store at which this state is known to be current, none before the first delta.
    #[must_use]
    pub const fn as_of(&self) -> Revision {
        self.as_of
    }

    /// Records that the collection has not changed up to revision `as_of` of the store.
    pub fn advance(&mut self, as_of: Revision) {
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
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Applies a delta and returns the keys that changed, sorted. A delta that is not newer than the state has no
    /// effect.
    ///
    /// # Errors
    ///
    /// [`Kind::Stale`] when changes between [`Self::as_of`] and the delta would be lost: the delta starts later, or in
    /// another epoch.
    pub fn merge(&mut self, delta: Delta<K, V>) -> Result<Vec<K>> {
        self.merge_with(delta, |_known, _listed| false)
    }

    /// Applies a delta like [`Self::merge`]. If it is the first snapshot of an epoch, a known value stays although the
    /// snapshot contains another one if `is_newer` is true for the two, the known one first.
    ///
    /// # Errors
    ///
    /// As those of [`Self::merge`].
    pub fn merge_with(&mut self, delta: Delta<K, V>, is_newer: impl Fn(&V, &V) -> bool) -> Result<Vec<K>> {
        if delta.to <= self.as_of {
            return Ok(Vec::new());
        }
        let is_other_epoch = !delta.base.is_none() && delta.base.epoch != delta.to.epoch;
        if delta.base > self.as_of || is_other_epoch {
            let text = format!("delta starts at revision {}, but the state is at revision {}", delta.base, self.as_of);
            return Err(Error::new(Kind::Stale, text));
        }
        if !self.as_of.is_none() && delta.to.epoch > self.as_of.epoch {
            return self.start_epoch(delta, is_newer);
        }
        let mut changed = Vec::new();
        if delta.base.is_none() {
            self.remove_unlisted(&delta, &mut changed);
            self.skip_to(delta.to);
        }
        for gap in &delta.gaps {
            let gap = Gap { after: gap.after.max(self.as_of), until: gap.until.min(delta.to) };
            if gap.after < gap.until {
                self.add_gap(gap);
            }
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
    pub fn needs_snapshot(&self, since: Revision) -> bool {
        let is_within = |gap: &Gap| gap.after < since && since < gap.until;
        since.is_none() || since < self.floor || self.gaps.iter().any(is_within)
    }

    /// Returns the changes after revision `since`, or a snapshot when they are no longer known.
    #[must_use]
    pub fn delta(&self, since: Revision) -> Delta<K, V> {
        let base = if self.needs_snapshot(since) { Revision::NONE } else { since };
        // Another member may have no reason to hold a value back.
        let put = self.entries.iter().chain(&self.held).filter(|(_, entry)| entry.changed > base);
        let mut put: Vec<_> = put
            .map(|(key, entry)| Item { key: key.clone(), value: entry.value.clone(), changed: entry.changed })
            .collect();
        put.sort_unstable_by(|one, other| one.key.cmp(&other.key));
        let removed = self.removed.iter().filter(|(_, at)| !base.is_none() && **at > base);
        let removed = removed.map(|(key, at)| Removed { key: key.clone(), at: *at }).collect();
        let gaps = self.gaps.iter().filter(|gap| !base.is_none() && gap.until > base).copied().collect();
        Delta { base, to: self.as_of, put, removed, gaps }
    }

    /// Returns the snapshot that sets the collection to `values` at revision `to`. Values that are equal to the current
    /// ones keep the revision of their last change.
    #[must_use]
    pub fn snapshot_of(&self, to: Revision, values: Vec<(K, V)>) -> Delta<K, V>
    where
        V: PartialEq,
    {
        let put = values.into_iter().map(|(key, value)| {
            let same = self.entries.get(&key).filter(|entry| entry.value == value);
            Item { changed: same.map_or(to, |entry| entry.changed), key, value }
        });
        Delta { base: Revision::NONE, to, put: put.collect(), removed: Vec::new(), gaps: Vec::new() }
    }

    /// Records that a snapshot at `until` skips the revisions since [`Self::as_of`]. Peers that know values from before
    /// need only the changes, because the comparison with the previous state reveals the removals.
    fn skip_to(&mut self, until: Revision) {
        if self.as_of.is_none() {
            self.floor = until;
        } else {
            self.add_gap(Gap { after: self.as_of, until });
        }
    }

    fn add_gap(&mut self, gap: Gap) {
        self.gaps.push_back(gap);
        if self.gaps.len() > MAX_GAPS
            && let Some(oldest) = self.gaps.pop_front()
        {
            self.floor = self.floor.max(oldest.until);
        }
    }

    /// Removes the keys that a snapshot does not contain.
    fn remove_unlisted(&mut self, delta: &Delta<K, V>, changed: &mut Vec<K>) {
        let mut listed: Set<&K> = Set::with_hasher(map::state(0));
        listed.extend(delta.put.iter().map(|item| &item.key));
        // Values of earlier epochs stay until the writers have had time to write them again.
        let in_epoch = self.entries.iter().filter(|(_, entry)| entry.changed.epoch == delta.to.epoch);
        let unlisted = in_epoch.chain(&self.held).filter(|(key, _)| !listed.contains(key));
        let unlisted: Vec<K> = unlisted.map(|(key, _)| key.clone()).collect();
        for key in unlisted {
            self.remove(Removed { key, at: delta.to }, changed);
        }
    }

    fn remove(&mut self, removal: Removed<K>, changed: &mut Vec<K>) {
        let is_newer = self.entries.get(&removal.key).is_some_and(|entry| entry.changed > removal.at);
        if is_newer {
            return;
        }
        let held = self.held.remove(&removal.key);
        let known = self.entries.remove(&removal.key);
        if known.is_some() {
            changed.push(removal.key.clone());
        }
        for entry in known.into_iter().chain(held) {
            self.digest = self.digest.wrapping_sub(hash(&removal.key, entry.changed));
            self.revision = self.revision.max(removal.at);
        }
        self.removed.insert(removal.key, removal.at);
    }

    fn put(&mut self, item: Item<K, V>, changed: &mut Vec<K>) {
        let is_known = self.entries.get(&item.key).is_some_and(|entry| entry.changed >= item.changed);
        let is_removed = self.removed.get(&item.key).is_some_and(|at| *at >= item.changed);
        let is_held = self.held.get(&item.key).is_some_and(|entry| entry.changed >= item.changed);
        if is_known || is_removed || is_held {
            return;
        }
        self.removed.remove(&item.key);
        self.revision = self.revision.max(item.changed);
        changed.push(item.key.clone());
        let held = self.held.remove(&item.key);
        self.digest = self.digest.wrapping_add(hash(&item.key, item.changed));
        let known = self.entries.insert(item.key.clone(), Entry { value: item.value, changed: item.changed });
        for entry in known.into_iter().chain(held) {
            self.digest = self.digest.wrapping_sub(hash(&item.key, entry.changed));
        }
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

/// Returns the hash of a key and of the revision of its last change.
fn hash<K: Hash>(key: &K, changed: Revision) -> u64 {
    map::hash(changed.number, &(changed.epoch, key))
}
