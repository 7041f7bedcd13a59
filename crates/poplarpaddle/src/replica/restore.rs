//! How a replica takes over the state of a store that was restored from a copy.

use std::hash::Hash;

use super::{Delta, Entry, Item, Removed, Replica, hash};
use crate::error::{Error, Kind, Result};

impl<K: Clone + Ord + Hash, V: Clone> Replica<K, V> {
    /// Applies the first snapshot of an epoch. `is_newer` compares a known value with that of the snapshot.
    pub(super) fn start_epoch(&mut self, snapshot: Delta<K, V>, is_newer: impl Fn(&V, &V) -> bool) -> Result<Vec<K>> {
        if !snapshot.base.is_none() {
            let text = format!("delta starts at revision {} of another epoch than {}", snapshot.base, self.as_of);
            return Err(Error::new(Kind::Stale, text));
        }
        let mut changed = Vec::new();
        for Item { key, value, changed: revision } in snapshot.put {
            match self.entries.get_mut(&key) {
                Some(known) if is_newer(&known.value, &value) => {
                    self.digest = self.digest.wrapping_sub(hash(&key, known.changed));
                    known.changed = known.changed.max(revision);
                    self.digest = self.digest.wrapping_add(hash(&key, known.changed));
                }
                None if self.removed.contains_key(&key) => {
                    self.digest = self.digest.wrapping_add(hash(&key, revision));
                    self.held.insert(key, Entry { value, changed: revision });
                }
                _ => self.put(Item { key, value, changed: revision }, &mut changed),
            }
        }
        self.as_of = snapshot.to;
        self.revision = snapshot.to;
        self.floor = snapshot.to;
        self.gaps.clear();
        changed.sort_unstable();
        Ok(changed)
    }

    /// Returns true when there are values of which it is not known whether the restored store has them for good, until
    /// [`Self::settle`] is called.
    #[must_use]
    pub fn is_unsettled(&self) -> bool {
        !self.held.is_empty() || self.entries.values().any(|entry| entry.changed.epoch < self.as_of.epoch)
    }

    /// Takes over the state of the current epoch as it is: removes the values that the store has not had in it, and adds
    /// those that it still has although they had been removed before. Returns the keys that changed, sorted.
    pub fn settle(&mut self) -> Vec<K> {
        let (epoch, at) = (self.as_of.epoch, self.as_of);
        self.removed.retain(|_, removed_at| removed_at.epoch == epoch);
        let mut changed = Vec::new();
        let lost = self.entries.iter().filter(|(_, entry)| entry.changed.epoch < epoch);
        let lost: Vec<K> = lost.map(|(key, _)| key.clone()).collect();
        for key in lost {
            self.remove(Removed { key, at }, &mut changed);
        }
        let mut held = std::mem::take(&mut self.held);
        for (key, entry) in &held {
            self.digest = self.digest.wrapping_sub(hash(key, entry.changed));
        }
        // What another member kept from an earlier epoch is lost as well.
        held.retain(|_, entry| entry.changed.epoch == epoch);
        for (key, Entry { value, changed: revision }) in held {
            self.put(Item { key, value, changed: revision }, &mut changed);
        }
        changed.sort_unstable();
        changed
    }
}
