//! Index from the hash of a flow to its slot: open addressing with linear probing.

use super::Slot;

/// Most slots that an index can hold; 24 bits of the tag select the position.
pub(super) const LIMIT: usize = 1 << 23;

/// Positions of the smallest index.
const SMALLEST: usize = 1 << 10;

/// A position holds the upper half of the hash (the tag) and the slot plus one; 0 is free.
#[derive(Debug)]
pub(super) struct Index {
    positions: Vec<u64>,
    length: usize,
}

impl Default for Index {
    fn default() -> Self {
        Self { positions: vec![0; SMALLEST], length: 0 }
    }
}

impl Index {
    pub(super) fn find(&self, hash: u64, matches: impl Fn(Slot) -> bool) -> Option<Slot> {
        let tag = tag_of_hash(hash);
        let mut at = self.home(tag);
        loop {
            let value = self.positions[at];
            if value == 0 {
                return None;
            }
            if tag_of(value) == tag && matches(slot_of(value)) {
                return Some(slot_of(value));
            }
            at = self.after(at);
        }
    }

    pub(super) fn insert(&mut self, hash: u64, slot: Slot) {
        // Longer probes at a higher load cost more than the memory that they save.
        if (self.length + 1) * 4 > self.positions.len() * 3 {
            self.grow();
        }
        self.place(u64::from(tag_of_hash(hash)) << 32 | (u64::from(slot.0) + 1));
        self.length += 1;
    }

    pub(super) fn remove(&mut self, hash: u64, slot: Slot) {
        let mut hole = self.home(tag_of_hash(hash));
        while self.positions[hole] != 0 && slot_of(self.positions[hole]) != slot {
            hole = self.after(hole);
        }
        if self.positions[hole] == 0 {
            return;
        }
        self.length -= 1;
        self.close(hole);
    }

    pub(super) fn bytes(&self) -> usize {
        self.positions.capacity() * size_of::<u64>()
    }

    /// Moves later entries of the same run back over `hole`, so that no run has a gap.
    fn close(&mut self, mut hole: usize) {
        let mask = self.positions.len() - 1;
        let mut at = hole;
        loop {
            at = self.after(at);
            let value = self.positions[at];
            if value == 0 {
                break;
            }
            let distance = at.wrapping_sub(self.home(tag_of(value))) & mask;
            if distance >= (at.wrapping_sub(hole) & mask) {
                self.positions[hole] = value;
                hole = at;
            }
        }
        self.positions[hole] = 0;
    }

    fn grow(&mut self) {
        let larger = vec![0; self.positions.len() * 2];
        let old = std::mem::replace(&mut self.positions, larger);
        for value in old.into_iter().filter(|value| *value != 0) {
            self.place(value);
        }
    }

    fn place(&mut self, value: u64) {
        let mut at = self.home(tag_of(value));
        while self.positions[at] != 0 {
            at = self.after(at);
        }
        self.positions[at] = value;
    }

    fn home(&self, tag: u32) -> usize {
        tag as usize & (self.positions.len() - 1)
    }

    fn after(&self, at: usize) -> usize {
        (at + 1) & (self.positions.len() - 1)
    }
}

const fn tag_of_hash(hash: u64) -> u32 {
    (hash >> 32) as u32
}

const fn tag_of(value: u64) -> u32 {
    tag_of_hash(value)
}

#[expect(clippy::cast_possible_truncation, reason = "the lower half holds the slot")]
const fn slot_of(value: u64) -> Slot {
    Slot((value as u32).wrapping_sub(1))
}
