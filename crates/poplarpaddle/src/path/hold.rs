//! Buffer for packets that wait: openings until a target accepts them, payload until the gate starts it, and packets of
//! flows under probe.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use crate::admission::TicketId;
use crate::flow::Slot;
use crate::map::{self, Map};
use crate::packet::{Direction, Flow, Kind, Request, View};
use crate::recovery::Probe;
use crate::time::Time;

/// Bytes counted for each held packet in addition to its length, so that the limit covers many empty packets too.
const PACKET_OVERHEAD: usize = 256;

/// A copy of a caller's packet.
#[derive(Debug)]
pub(super) struct Packet {
    flow: Flow,
    kind: Kind,
    payload: u32,
    sequence: u32,
    acknowledgement: u32,
    end: bool,
    request: Option<Request>,
    bytes: Box<[u8]>,
}

impl Packet {
    pub(super) fn new(packet: &View<'_>) -> Self {
        Self {
            flow: packet.flow,
            kind: packet.kind,
            payload: packet.payload,
            sequence: packet.sequence,
            acknowledgement: packet.acknowledgement,
            end: packet.end,
            request: packet.request,
            bytes: packet.bytes.into(),
        }
    }

    pub(super) const fn view(&self) -> View<'_> {
        View {
            flow: self.flow,
            direction: Direction::FromCaller,
            kind: self.kind,
            payload: self.payload,
            sequence: self.sequence,
            acknowledgement: self.acknowledgement,
            end: self.end,
            request: self.request,
            bytes: &self.bytes,
        }
    }

    const fn size(&self) -> usize {
        self.bytes.len() + PACKET_OVERHEAD
    }
}

/// Event that held packets wait for.
#[derive(Debug)]
pub(super) enum Phase {
    /// The opening waits for the gate or for the answer of the target. No retry starts after `retry_deadline`.
    Opening { retry_deadline: Time },
    /// Payload waits for the gate.
    Payload,
    /// Packets wait for a candidate to answer the probe.
    Probe(Probe),
}

/// The held packets of one flow.
#[derive(Debug)]
pub(super) struct Queue {
    pub(super) packets: VecDeque<Packet>,
    pub(super) phase: Phase,
    /// Ticket in the gate of the flow's shard, while the work is queued there.
    pub(super) ticket: Option<TicketId>,
    /// Time by which the target or candidate must answer, `NEVER` while the work is queued in the gate.
    pub(super) deadline: Time,
}

/// The held packets of an engine, by flow.
#[derive(Debug)]
pub(super) struct Buffer {
    flows: Map<Slot, Queue>,
    timers: BinaryHeap<Reverse<(Time, Slot)>>,
    packets: usize,
    bytes: usize,
    max_bytes: usize,
    max_packets_per_flow: usize,
}

impl Buffer {
    pub(super) fn new(seed: u64, max_bytes: usize, max_packets_per_flow: usize) -> Self {
        Self {
            flows: map::seeded(seed),
            timers: BinaryHeap::new(),
            packets: 0,
            bytes: 0,
            max_bytes,
            max_packets_per_flow,
        }
    }

    /// Returns true when the packet can be held.
    pub(super) const fn has_capacity(&self, packet: &View<'_>) -> bool {
        self.bytes + packet.bytes.len() + PACKET_OVERHEAD <= self.max_bytes
    }

    /// Holds the first packet of a flow. Must only be called when [`Self::has_capacity`] returns true for the packet.
    pub(super) fn insert(&mut self, slot: Slot, packet: &View<'_>, phase: Phase, ticket: Option<TicketId>) {
        let copy = Packet::new(packet);
        self.packets += 1;
        self.bytes += copy.size();
        let queue = Queue { packets: VecDeque::from([copy]), phase, ticket, deadline: Time::NEVER };
        self.flows.insert(slot, queue);
    }

    /// Holds another packet of a flow. Returns false when the buffer or the flow's queue is full.
    pub(super) fn push(&mut self, slot: Slot, packet: &View<'_>) -> bool {
        if !self.has_capacity(packet) {
            return false;
        }
        let Some(queue) = self.flows.get_mut(&slot) else { return false };
        if queue.packets.len() >= self.max_packets_per_flow {
            return false;
        }
        let copy = Packet::new(packet);
        self.packets += 1;
        self.bytes += copy.size();
        queue.packets.push_back(copy);
        true
    }

    pub(super) fn get(&self, slot: Slot) -> Option<&Queue> {
        self.flows.get(&slot)
    }

    pub(super) fn get_mut(&mut self, slot: Slot) -> Option<&mut Queue> {
        self.flows.get_mut(&slot)
    }

    pub(super) fn remove(&mut self, slot: Slot) -> Option<Queue> {
        let queue = self.flows.remove(&slot)?;
        self.packets -= queue.packets.len();
        self.bytes -= queue.packets.iter().map(Packet::size).sum::<usize>();
        Some(queue)
    }

    pub(super) fn set_deadline(&mut self, slot: Slot, deadline: Time) {
        if let Some(queue) = self.flows.get_mut(&slot) {
            queue.deadline = deadline;
            if deadline != Time::NEVER {
                self.timers.push(Reverse((deadline, slot)));
            }
        }
    }

    /// Returns a flow whose deadline has passed, and clears the deadline.
    pub(super) fn pop_due(&mut self, now: Time) -> Option<Slot> {
        while let Some(Reverse((time, slot))) = self.timers.peek().copied() {
            if !now.reached(time) {
                return None;
            }
            self.timers.pop();
            if let Some(queue) = self.flows.get_mut(&slot)
                && queue.deadline == time
            {
                queue.deadline = Time::NEVER;
                return Some(slot);
            }
        }
        None
    }

    /// Returns the next deadline. It may be the deadline of a packet that is no longer held.
    pub(super) fn deadline(&self) -> Time {
        self.timers.peek().map_or(Time::NEVER, |Reverse((time, _))| *time)
    }

    pub(super) const fn packets(&self) -> usize {
        self.packets
    }

    pub(super) const fn bytes(&self) -> usize {
        self.bytes
    }
}
