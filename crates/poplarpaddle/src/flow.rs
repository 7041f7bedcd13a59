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
//! An entry fills one cache line. The index beside the entries holds 8 bytes a position and is probed linearly, so
//! that a look-up touches two cache lines that are likely to miss. Entries lie in chunks that never move: growth
//! copies only the index, and memory follows the number of flows instead of doubling.

mod index;

use std::net::Ipv4Addr;

use crate::map;
use crate::packet::Flow;
use crate::time::Time;
use index::Index;

/// Entries in a chunk.
const CHUNK: usize = 4096;

/// How far the owner knows the target of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The opening waits in the gate; no target was chosen.
    Queued,
    /// The opening was forwarded; the target has not answered.
    Pending,
    /// The SYN-ACK was passed to the caller, which has not acknowledged it.
    Accepted,
    /// Learned from a packet of the target; no packet of the caller has confirmed it.
    Learned,
    /// A packet of the caller acknowledged the target's sequence numbers.
    Confirmed,
    /// Candidates are probed one by one.
    Probing,
    /// A former owner was asked; its target has not answered.
    Asked,
    /// A target reset the flow while a former owner served it, so the next packet is probed instead.
    Doubted,
}

impl Stage {
    /// Returns true when the flow has a target that it stays with.
    #[must_use]
    pub const fn is_bound(self) -> bool {
        matches!(self, Self::Accepted | Self::Learned | Self::Confirmed)
    }
}

/// A fact about a flow that is either true or false.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u16)]
pub enum Flag {
    /// The gate accounts for running work of the flow.
    Working = 1,
    /// The gate counts the flow as a connection of the host.
    Connected = 2,
    /// The caller sent its last byte (FIN).
    CallerEnd = 4,
    /// The target sent its last byte (FIN).
    TargetEnd = 8,
    /// A reset passed.
    Reset = 16,
    /// Packets of the flow are held.
    Held = 32,
    /// The shard was lost; the entry serves only relayed packets of the new owner.
    Lost = 64,
    /// The sequence number of the opening is known.
    Opened = 128,
    /// The running work was learned from packets, so that it may have ended already.
    Adopted = 256,
    /// The host answered others shortly before it got the last payload of the flow.
    Awake = 512,
    /// The caller repeated payload that the target has not answered.
    Repeated = 1024,
}

/// What the owner knows of one flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// The flow.
    pub flow: Flow,
    /// Address of the target; of no meaning in [`Stage::Queued`].
    pub target: Ipv4Addr,
    /// Sequence number of the opening, if [`Flag::Opened`].
    pub opening: u32,
    /// Sequence number of the last packet of the target, at first of the SYN-ACK.
    pub accept: u32,
    /// Sequence number after the last payload byte that was forwarded.
    pub next: u32,
    /// Sequence number of the first payload that the target has not answered.
    pub unanswered: u32,
    /// Latest acknowledgement number of the caller, 0 for none: the next sequence number that it takes from the target.
    pub acknowledged: u32,
    /// When the last packet passed.
    pub active: Time,
    /// When the first payload that the target has not answered was forwarded, `NEVER` for none.
    pub silent: Time,
    /// When the running work started.
    pub started: Time,
    /// How far the target is known.
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
            opening: 0,
            accept: 0,
            next: 0,
            unanswered: 0,
            acknowledged: 0,
            active: now,
            silent: Time::NEVER,
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

    /// Returns true when the connection ended at both ends.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        self.has(Flag::Reset) || (self.has(Flag::CallerEnd) && self.has(Flag::TargetEnd))
    }
}

/// Position of an entry; valid until the entry is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Slot(pub u32);

/// Flows of one engine, bounded in number.
#[derive(Debug)]
pub struct Table {
    hasher: map::State,
    index: Index,
    chunks: Vec<Box<[Option<Entry>]>>,
    free: Vec<Slot>,
    used: u32,
    length: usize,
    bound: usize,
}

impl Table {
    /// Returns an empty table for at most `bound` flows, hashed with `seed`, which callers must not know.
    #[must_use]
    pub fn new(seed: u64, bound: usize) -> Self {
        let bound = bound.clamp(1, index::LIMIT);
        Self {
            hasher: map::state(seed),
            index: Index::default(),
            chunks: Vec::new(),
            free: Vec::new(),
            used: 0,
            length: 0,
            bound,
        }
    }

    /// Returns the slot of `flow`.
    #[must_use]
    pub fn find(&self, flow: &Flow) -> Option<Slot> {
        self.index.find(self.hash(flow), |slot| self.at(slot).is_some_and(|entry| entry.flow == *flow))
    }

    /// Returns the entry in `slot`, none when the slot is free.
    #[must_use]
    pub fn at(&self, slot: Slot) -> Option<&Entry> {
        let position = slot.0 as usize;
        self.chunks.get(position / CHUNK)?[position % CHUNK].as_ref()
    }

    /// Returns the entry in `slot` for a change. The flow must stay the same.
    #[must_use]
    pub fn at_mut(&mut self, slot: Slot) -> Option<&mut Entry> {
        let position = slot.0 as usize;
        self.chunks.get_mut(position / CHUNK)?[position % CHUNK].as_mut()
    }

    /// Adds an entry whose flow is not in the table; none when the table is full.
    pub fn insert(&mut self, entry: Entry) -> Option<Slot> {
        if self.is_full() {
            return None;
        }
        let slot = self.free.pop().unwrap_or_else(|| self.extend());
        let position = slot.0 as usize;
        self.chunks[position / CHUNK][position % CHUNK] = Some(entry);
        self.index.insert(self.hash(&entry.flow), slot);
        self.length += 1;
        Some(slot)
    }

    /// Removes the entry in `slot`.
    pub fn remove(&mut self, slot: Slot) -> Option<Entry> {
        let position = slot.0 as usize;
        let entry = self.chunks.get_mut(position / CHUNK)?[position % CHUNK].take()?;
        self.index.remove(self.hash(&entry.flow), slot);
        self.free.push(slot);
        self.length -= 1;
        Some(entry)
    }

    /// Returns the number of slots in use at any time so far; every entry lies below.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.used
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

    /// Returns true when an entry has to go before the next insertion.
    #[must_use]
    pub const fn is_full(&self) -> bool {
        self.length >= self.bound
    }

    /// Returns the bytes allocated for entries, index and free slots.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let entries = self.chunks.len() * CHUNK * size_of::<Option<Entry>>();
        entries + self.index.bytes() + self.free.capacity() * size_of::<Slot>()
    }

    fn extend(&mut self) -> Slot {
        let slot = Slot(self.used);
        if self.used as usize == self.chunks.len() * CHUNK {
            self.chunks.push(vec![None; CHUNK].into_boxed_slice());
        }
        self.used += 1;
        slot
    }

    fn hash(&self, flow: &Flow) -> u64 {
        use std::hash::BuildHasher;
        self.hasher.hash_one(flow)
    }
}
