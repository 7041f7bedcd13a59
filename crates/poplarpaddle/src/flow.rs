//! The flow table of a shard owner.
//!
//! ```
//! use poplarpaddle::flow::{Entry, Stage, Table};
//! use poplarpaddle::packet::Flow;
//! use poplarpaddle::time::Time;
//!
//! let flow = Flow {
//!     caller: "192.0.2.7:40000".parse().unwrap(),
//!     service: "10.0.0.1:80".parse().unwrap(),
//! };
//! let mut table = Table::new(7, 100);
//! let slot = table.insert(Entry::new(flow, Stage::Pending, "10.1.0.1".parse().unwrap(), Time::from_millis(1))).unwrap();
//! assert_eq!(table.find(&flow), Some(slot));
//! ```
//!
//! An entry fills one cache line. The index is a separate hash table with linear probing and 8 bytes per bucket, so a
//! look-up touches two cache lines that are likely to miss. Entries are stored in chunks that never move: growth copies
//! only the index, and the memory for entries grows with the number of flows instead of doubling.

mod index;

use std::net::Ipv4Addr;

use crate::map;
use crate::packet::Flow;
use crate::time::Time;
use index::Index;

/// Number of entries in a chunk.
const CHUNK_SIZE: usize = 4096;

/// State of a flow at its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The opening waits in the gate; no target has been chosen.
    Queued,
    /// The opening was forwarded to the target, which has not answered.
    Pending,
    /// The SYN-ACK was forwarded to the caller, which has not acknowledged it.
    Accepted,
    /// The target was learned from one of its packets; no packet of the caller has confirmed it.
    Learned,
    /// A packet of the caller acknowledged the target's sequence numbers.
    Confirmed,
    /// The candidate targets are probed one by one.
    Probing,
    /// Packets are relayed to a former owner; no target has answered.
    Relayed,
    /// A target reset the flow after a packet was relayed to a former owner. The next packet starts a probe.
    RelayFailed,
}

impl Stage {
    /// Returns true when the flow is bound to its target.
    #[must_use]
    pub const fn is_bound(self) -> bool {
        matches!(self, Self::Accepted | Self::Learned | Self::Confirmed)
    }
}

/// A boolean property of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u16)]
pub enum Flag {
    /// Work of the flow is running, and the gate accounts for it.
    Working = 1,
    /// The gate counts the flow as a connection of its host.
    Connected = 2,
    /// The caller sent a FIN.
    CallerFin = 4,
    /// The target sent a FIN.
    TargetFin = 8,
    /// Either end sent a reset.
    Reset = 16,
    /// Packets of the flow are held.
    Held = 32,
    /// This balancer lost the shard; the entry only serves packets that the new owner relays.
    Lost = 64,
    /// The sequence number of the opening is known.
    OpeningSeen = 128,
    /// The running work was learned from packets, so it may have ended already.
    Adopted = 256,
    /// The host sent a packet shortly before the last payload of the flow was forwarded to it.
    Responsive = 512,
    /// The caller retransmitted payload that the target has not answered.
    Retransmitted = 1024,
}

/// State that the owner keeps for one flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// The flow.
    pub flow: Flow,
    /// Address of the target. Not meaningful before a target is known, for example in [`Stage::Queued`].
    pub target: Ipv4Addr,
    /// Sequence number of the opening, if [`Flag::OpeningSeen`] is set.
    pub opening_sequence: u32,
    /// Sequence number of the target's last packet. Until the flow is confirmed, that of the SYN-ACK or of the packet from
    /// which the target was learned.
    pub target_sequence: u32,
    /// Sequence number that follows the last payload byte forwarded to the target.
    pub next_sequence: u32,
    /// Sequence number of the first payload that the target has not answered.
    pub unanswered_sequence: u32,
    /// Latest acknowledgement number of the caller, which is the next sequence number that it expects from the target; 0 for
    /// none.
    pub acknowledged: u32,
    /// Time of the last forwarded packet.
    pub last_active: Time,
    /// Time at which the first payload that the target has not answered was forwarded, `NEVER` for none.
    pub unanswered_since: Time,
    /// Time at which the running work started.
    pub started: Time,
    /// State of the flow.
    pub stage: Stage,
    /// Index of the priority of the running work.
    pub priority: u8,
    flags: u16,
}

impl Entry {
    /// Returns an entry without flags.
    #[must_use]
    pub const fn new(flow: Flow, stage: Stage, target: Ipv4Addr, now: Time) -> Self {
        Self {
            flow,
            target,
            opening_sequence: 0,
            target_sequence: 0,
            next_sequence: 0,
            unanswered_sequence: 0,
            acknowledged: 0,
            last_active: now,
            unanswered_since: Time::NEVER,
            started: now,
            stage,
            priority: 0,
            flags: 0,
        }
    }

    /// Returns whether `flag` is set.
    #[must_use]
    pub const fn has(&self, flag: Flag) -> bool {
        self.flags & flag as u16 != 0
    }

    /// Sets `flag`.
    pub const fn set(&mut self, flag: Flag) {
        self.flags |= flag as u16;
    }

    /// Clears `flag`.
    pub const fn clear(&mut self, flag: Flag) {
        self.flags &= !(flag as u16);
    }

    /// Returns true when the connection was reset or both ends closed it.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        self.has(Flag::Reset) || (self.has(Flag::CallerFin) && self.has(Flag::TargetFin))
    }
}

/// Position of an entry in the table. Valid until the entry is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Slot(pub u32);

/// The flows of one engine, limited in number.
#[derive(Debug)]
pub struct Table {
    hasher: map::State,
    index: Index,
    chunks: Vec<Box<[Option<Entry>]>>,
    free: Vec<Slot>,
    allocated: u32,
    length: usize,
    capacity: usize,
}

impl Table {
    /// Returns an empty table for at most `capacity` flows. `seed` seeds the hash function; callers must not know it.
    #[must_use]
    pub fn new(seed: u64, capacity: usize) -> Self {
        let capacity = capacity.clamp(1, index::MAX_SLOTS);
        Self {
            hasher: map::state(seed),
            index: Index::default(),
            chunks: Vec::new(),
            free: Vec::new(),
            allocated: 0,
            length: 0,
            capacity,
        }
    }

    /// Returns the slot of `flow`.
    #[must_use]
    pub fn find(&self, flow: &Flow) -> Option<Slot> {
        self.index.find(self.hash(flow), |slot| self.get(slot).is_some_and(|entry| entry.flow == *flow))
    }

    /// Returns the entry in `slot`, none when the slot is free.
    #[must_use]
    pub fn get(&self, slot: Slot) -> Option<&Entry> {
        let position = slot.0 as usize;
        self.chunks.get(position / CHUNK_SIZE)?[position % CHUNK_SIZE].as_ref()
    }

    /// Returns the entry in `slot` as mutable. Its flow must not be changed.
    #[must_use]
    pub fn get_mut(&mut self, slot: Slot) -> Option<&mut Entry> {
        let position = slot.0 as usize;
        self.chunks.get_mut(position / CHUNK_SIZE)?[position % CHUNK_SIZE].as_mut()
    }

    /// Adds an entry whose flow is not in the table. Returns none when the table is full.
    pub fn insert(&mut self, entry: Entry) -> Option<Slot> {
        if self.is_full() {
            return None;
        }
        let slot = self.free.pop().unwrap_or_else(|| self.allocate_slot());
        let position = slot.0 as usize;
        self.chunks[position / CHUNK_SIZE][position % CHUNK_SIZE] = Some(entry);
        self.index.insert(self.hash(&entry.flow), slot);
        self.length += 1;
        Some(slot)
    }

    /// Removes the entry in `slot`.
    pub fn remove(&mut self, slot: Slot) -> Option<Entry> {
        let position = slot.0 as usize;
        let entry = self.chunks.get_mut(position / CHUNK_SIZE)?[position % CHUNK_SIZE].take()?;
        self.index.remove(self.hash(&entry.flow), slot);
        self.free.push(slot);
        self.length -= 1;
        Some(entry)
    }

    /// Returns the number of slots allocated so far. The slots of all entries are below it.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.allocated
    }

    /// Returns the number of flows.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Returns true when there is no flow.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns true when an entry must be removed before the next insertion.
    #[must_use]
    pub const fn is_full(&self) -> bool {
        self.length >= self.capacity
    }

    /// Returns the bytes allocated for entries, index and free slots.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let entries = self.chunks.len() * CHUNK_SIZE * size_of::<Option<Entry>>();
        entries + self.index.bytes() + self.free.capacity() * size_of::<Slot>()
    }

    fn allocate_slot(&mut self) -> Slot {
        let slot = Slot(self.allocated);
        if self.allocated as usize == self.chunks.len() * CHUNK_SIZE {
            self.chunks.push(vec![None; CHUNK_SIZE].into_boxed_slice());
        }
        self.allocated += 1;
        slot
    }

    fn hash(&self, flow: &Flow) -> u64 {
        use std::hash::BuildHasher;
        self.hasher.hash_one(flow)
    }
}
