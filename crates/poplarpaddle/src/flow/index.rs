//! Index from the hash of a flow to its slot: open addressing with linear probing.

use super::Slot;

/// Most slots that an index can hold. At this size, 24 bits of the tag select the home bucket.
pub(super) const MAX_SLOTS: usize = 1 << 23;

/// Number of buckets of the smallest index.
const MIN_BUCKETS: usize = 1 << 10;

/// The index. A bucket holds the upper half of the hash (the tag) and the slot plus one; 0 marks a free bucket.
#[derive(Debug)]
pub(super) struct Index {
    buckets: Vec<u64>,
    length: usize,
}

impl Default for Index {
    fn default() -> Self {
        Self { buckets: vec![0; MIN_BUCKETS], length: 0 }
    }
}

impl Index {
    pub(super) fn find(&self, hash: u64, matches: impl Fn(Slot) -> bool) -> Option<Slot> {
        let tag = tag_of_hash(hash);
        let mut bucket = self.home_bucket(tag);
        loop {
            let value = self.buckets[bucket];
            if value == 0 {
                return None;
            }
            if tag_of(value) == tag && matches(slot_of(value)) {
                return Some(slot_of(value));
            }
            bucket = self.next_bucket(bucket);
        }
    }

    pub(super) fn insert(&mut self, hash: u64, slot: Slot) {
        // The maximum load is 3/4. A higher one lengthens probes, which costs more than the memory that it saves.
        if (self.length + 1) * 4 > self.buckets.len() * 3 {
            self.grow();
        }
        self.insert_value(u64::from(tag_of_hash(hash)) << 32 | (u64::from(slot.0) + 1));
        self.length += 1;
    }

    pub(super) fn remove(&mut self, hash: u64, slot: Slot) {
        let mut hole = self.home_bucket(tag_of_hash(hash));
        while self.buckets[hole] != 0 && slot_of(self.buckets[hole]) != slot {
            hole = self.next_bucket(hole);
        }
        if self.buckets[hole] == 0 {
            return;
        }
        self.length -= 1;
        self.shift_back(hole);
    }

    pub(super) fn bytes(&self) -> usize {
        self.buckets.capacity() * size_of::<u64>()
    }

    /// Moves later values of the probe sequence back into `hole`, so that no probe sequence has a gap.
    fn shift_back(&mut self, mut hole: usize) {
        let mask = self.buckets.len() - 1;
        let mut bucket = hole;
        loop {
            bucket = self.next_bucket(bucket);
            let value = self.buckets[bucket];
            if value == 0 {
                break;
            }
            let distance = bucket.wrapping_sub(self.home_bucket(tag_of(value))) & mask;
            if distance >= (bucket.wrapping_sub(hole) & mask) {
                self.buckets[hole] = value;
                hole = bucket;
            }
        }
        self.buckets[hole] = 0;
    }

    fn grow(&mut self) {
        let larger = vec![0; self.buckets.len() * 2];
        let old = std::mem::replace(&mut self.buckets, larger);
        for value in old.into_iter().filter(|value| *value != 0) {
            self.insert_value(value);
        }
    }

    fn insert_value(&mut self, value: u64) {
        let mut bucket = self.home_bucket(tag_of(value));
        while self.buckets[bucket] != 0 {
            bucket = self.next_bucket(bucket);
        }
        self.buckets[bucket] = value;
    }

    fn home_bucket(&self, tag: u32) -> usize {
        tag as usize & (self.buckets.len() - 1)
    }

    fn next_bucket(&self, bucket: usize) -> usize {
        (bucket + 1) & (self.buckets.len() - 1)
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
