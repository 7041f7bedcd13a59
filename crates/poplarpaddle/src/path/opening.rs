//! Handling of openings: placement on a target, queueing, retries and refusal.

use std::net::Ipv4Addr;

use super::hold::Phase;
use super::{Engine, Outlet, Reason};
use crate::admission::{Decision, Departure, End, Ticket, TicketId};
use crate::flow::{Entry, Flag, Slot, Stage};
use crate::ownership::Location;
use crate::packet::{Flow, View};
use crate::time::Time;

impl Engine {
    /// Handles an opening of a new flow: places it on a target, queues it or refuses it.
    pub(super) fn open(&mut self, now: Time, location: &Location, packet: &View<'_>, outlet: &mut dyn Outlet) {
        if packet.has_payload() {
            // A target could process the payload before the flow is bound to it.
            return self.discard(packet, Reason::PayloadInOpening, outlet);
        }
        if !self.ensure_capacity(now) {
            return self.discard(packet, Reason::HoldFull, outlet);
        }
        let candidates = self.candidates(location, &packet.flow, None);
        if candidates.is_empty() {
            return self.refuse_opening(location, packet, Reason::NoTarget, outlet);
        }
        let priority = self.priority(location, packet);
        let deadline = self.start_deadline(now, priority, packet);
        let Some(shard) = self.shard(now, location) else { return };
        let ticket = opening_ticket(packet, priority, &candidates, deadline);
        match shard.gate.offer(now, &ticket) {
            Decision::Start(host) => {
                let slot = self.insert_entry(now, packet, Stage::Pending, host, priority);
                self.hold_opening(now, slot, packet, None);
                self.send_opening(now, location, slot, host, packet, outlet);
            }
            Decision::Wait(ticket) => self.queue_opening(now, location, packet, ticket, priority, outlet),
            Decision::Refuse(reason) => self.refuse_opening(location, packet, reason, outlet),
        }
    }

    fn queue_opening(
        &mut self,
        now: Time,
        location: &Location,
        packet: &View<'_>,
        ticket: TicketId,
        priority: usize,
        outlet: &mut dyn Outlet,
    ) {
        if !self.hold_buffer.has_capacity(packet) {
            if let Some(shard) = self.shards.get_mut(location.key) {
                shard.gate.cancel(ticket);
            }
            return self.discard(packet, Reason::HoldFull, outlet);
        }
        let slot = self.insert_entry(now, packet, Stage::Queued, Ipv4Addr::UNSPECIFIED, priority);
        self.hold_opening(now, slot, packet, Some(ticket));
        if let (Some(slot), Some(shard)) = (slot, self.shards.get_mut(location.key)) {
            shard.tickets.insert(ticket, slot);
        }
    }

    fn insert_entry(
        &mut self,
        now: Time,
        packet: &View<'_>,
        stage: Stage,
        target: Ipv4Addr,
        priority: usize,
    ) -> Option<Slot> {
        let mut entry = Entry::new(packet.flow, stage, target, now);
        entry.opening_sequence = packet.sequence;
        entry.next_sequence = packet.sequence.wrapping_add(1);
        entry.priority = u8::try_from(priority).unwrap_or(u8::MAX);
        entry.set(Flag::OpeningSeen);
        self.table.insert(entry)
    }

    /// Holds a copy of the opening for a retry. When the hold buffer is full, the opening is sent without a copy, and the
    /// caller's retransmission replaces the retry.
    fn hold_opening(&mut self, now: Time, slot: Option<Slot>, packet: &View<'_>, ticket: Option<TicketId>) {
        let Some(slot) = slot else { return };
        if self.hold_buffer.has_capacity(packet) {
            let retry_deadline = now + self.timings.opening_budget;
            self.hold_buffer.insert(slot, packet, Phase::Opening { retry_deadline }, ticket);
            if let Some(entry) = self.table.get_mut(slot) {
                entry.set(Flag::Held);
            }
        }
    }

    /// Sends the opening to `host` and starts the timeout for its answer.
    fn send_opening(
        &mut self,
        now: Time,
        location: &Location,
        slot: Option<Slot>,
        host: Ipv4Addr,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        let Some(entry) = slot.and_then(|slot| self.table.get_mut(slot)) else { return };
        entry.stage = Stage::Pending;
        entry.target = host;
        entry.last_active = now;
        entry.started = now;
        entry.set(Flag::Working);
        self.counters.placed += 1;
        if let Some(slot) = slot {
            self.hold_buffer.set_deadline(slot, now + self.timings.opening_timeout);
            self.schedule_hedge(now, location, slot, &packet.flow);
        }
        if self.is_allowed(location, host, &packet.flow) {
            self.send_target(host, packet, outlet);
        }
    }

    /// Handles an opening of a flow that has an entry: a retransmission, or a new connection from the same caller port.
    pub(super) fn handle_repeated_opening(
        &mut self,
        now: Time,
        location: &Location,
        slot: Slot,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        let Some(entry) = self.table.get(slot).copied() else { return };
        let is_retransmission = entry.has(Flag::OpeningSeen) && entry.opening_sequence == packet.sequence;
        if packet.has_payload() {
            return self.discard(packet, Reason::PayloadInOpening, outlet);
        }
        match entry.stage {
            Stage::Queued if is_retransmission => self.counters.absorbed += 1,
            Stage::Pending if is_retransmission => self.forward_repeated_opening(location, &entry, packet, outlet),
            Stage::Queued | Stage::Pending | Stage::Probing | Stage::Relayed | Stage::RelayFailed => {
                self.remove(now, location.key, slot);
                self.open(now, location, packet, outlet);
            }
            _ if entry.is_finished() && !is_retransmission => {
                self.remove(now, location.key, slot);
                self.open(now, location, packet, outlet);
            }
            // The opening goes to the target of the open connection, which answers with its state; the caller's reset then
            // ends the flow. Replacing the entry at once would let a forged opening break the flow.
            _ => self.forward_repeated_opening(location, &entry, packet, outlet),
        }
    }

    fn forward_repeated_opening(
        &mut self,
        location: &Location,
        entry: &Entry,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        if self.is_allowed(location, entry.target, &packet.flow) {
            self.send_target(entry.target, packet, outlet);
        } else {
            self.discard(packet, Reason::WrongTarget, outlet);
        }
    }

    /// Retries an opening, which its target refused or did not answer, on another target, or refuses it to the caller.
    pub(super) fn retry_opening(
        &mut self,
        now: Time,
        location: &Location,
        slot: Slot,
        end: End,
        outlet: &mut dyn Outlet,
    ) {
        let Some(entry) = self.table.get(slot).copied() else { return };
        self.finish(now, location.key, slot, end);
        if self.continue_with_hedge(slot) {
            return;
        }
        let Some(queue) = self.hold_buffer.remove(slot) else {
            self.table.remove(slot);
            return;
        };
        let (Some(first), &Phase::Opening { retry_deadline }) = (queue.packets.front(), &queue.phase) else { return };
        let packet = first.view();
        let candidates = self.candidates(location, &packet.flow, Some(entry.target));
        let ticket = opening_ticket(&packet, usize::from(entry.priority), &candidates, retry_deadline);
        let decision = match self.shards.get_mut(location.key) {
            _ if candidates.is_empty() => Decision::Refuse(Reason::NoTarget),
            Some(shard) => shard.gate.retry(now, &ticket, entry.target),
            None => Decision::Refuse(Reason::NoOwner),
        };
        self.continue_opening(now, location, slot, decision, &packet, retry_deadline, outlet);
    }

    #[expect(clippy::too_many_arguments, reason = "one step of `retry_opening`, with its context")]
    fn continue_opening(
        &mut self,
        now: Time,
        location: &Location,
        slot: Slot,
        decision: Decision,
        packet: &View<'_>,
        retry_deadline: Time,
        outlet: &mut dyn Outlet,
    ) {
        match decision {
            Decision::Start(host) => {
                self.hold_buffer.insert(slot, packet, Phase::Opening { retry_deadline }, None);
                self.counters.retried += 1;
                self.send_opening(now, location, Some(slot), host, packet, outlet);
            }
            Decision::Wait(ticket) => {
                self.hold_buffer.insert(slot, packet, Phase::Opening { retry_deadline }, Some(ticket));
                if let Some(entry) = self.table.get_mut(slot) {
                    entry.stage = Stage::Queued;
                }
                if let Some(shard) = self.shards.get_mut(location.key) {
                    shard.tickets.insert(ticket, slot);
                }
            }
            Decision::Refuse(reason) => {
                self.table.remove(slot);
                self.refuse_opening(location, packet, reason, outlet);
            }
        }
    }

    /// Starts the waiting work of all gates that can start now, and handles the tickets that expired.
    pub(super) fn start_all_waiting(&mut self, now: Time, outlet: &mut dyn Outlet) {
        let keys: Vec<u64> = self.shards.0.keys().copied().collect();
        for key in keys {
            self.start_waiting(now, key, outlet);
        }
    }

    /// Starts the waiting work of one gate that can start now, and handles the tickets that expired.
    pub(super) fn start_waiting(&mut self, now: Time, key: u64, outlet: &mut dyn Outlet) {
        while let Some(departure) = self.shards.get_mut(key).and_then(|shard| shard.gate.next(now)) {
            self.handle_departure(now, key, departure, outlet);
        }
        self.shards.take_capacity_freed(key);
    }

    fn handle_departure(&mut self, now: Time, key: u64, departure: Departure, outlet: &mut dyn Outlet) {
        let (Departure::Start(ticket, _) | Departure::Expire(ticket)) = departure;
        let slot = self.shards.get_mut(key).and_then(|shard| shard.tickets.remove(&ticket));
        let entry = slot.and_then(|slot| Some((slot, *self.table.get(slot)?)));
        let location = entry.and_then(|(_, entry)| self.locate(&entry.flow).ok());
        match (departure, entry, location) {
            (Departure::Start(_, host), Some((slot, entry)), Some(location)) => {
                if let Some(queue) = self.hold_buffer.get_mut(slot) {
                    queue.ticket = None;
                }
                if entry.stage == Stage::Queued {
                    self.start_opening(now, &location, slot, host, outlet);
                } else {
                    self.start_payload(now, &location, slot, outlet);
                }
            }
            (Departure::Start(_, host), ..) => {
                if let Some(shard) = self.shards.get_mut(key) {
                    shard.gate.finish(now, host, 0, End::Closed);
                }
            }
            (Departure::Expire(_), Some((slot, entry)), Some(location)) => self.expire(&location, slot, &entry, outlet),
            (Departure::Expire(_), ..) => {}
        }
    }

    fn start_opening(&mut self, now: Time, location: &Location, slot: Slot, host: Ipv4Addr, outlet: &mut dyn Outlet) {
        let Some(flow) = self.table.get(slot).map(|entry| entry.flow) else { return };
        let Some(queue) = self.hold_buffer.remove(slot) else { return };
        let (Some(first), &Phase::Opening { retry_deadline }) = (queue.packets.front(), &queue.phase) else { return };
        let packet = first.view();
        if self.candidates(location, &flow, None).contains(&host) {
            self.hold_buffer.insert(slot, &packet, Phase::Opening { retry_deadline }, None);
            return self.send_opening(now, location, Some(slot), host, &packet, outlet);
        }
        // The host stopped accepting new flows while the opening waited.
        self.cancel_start(now, location, slot, host);
        self.open(now, location, &packet, outlet);
    }

    /// Removes a queued flow and ends the work that the gate started for it on `host`.
    fn cancel_start(&mut self, now: Time, location: &Location, slot: Slot, host: Ipv4Addr) {
        let priority = self.table.remove(slot).map_or(0, |entry| usize::from(entry.priority));
        if let Some(shard) = self.shards.get_mut(location.key) {
            shard.gate.finish(now, host, priority, End::Closed);
        }
    }

    /// Refuses the opening or drops the payload of work that did not start before its deadline.
    fn expire(&mut self, location: &Location, slot: Slot, entry: &Entry, outlet: &mut dyn Outlet) {
        let Some(queue) = self.hold_buffer.remove(slot) else { return };
        if entry.stage == Stage::Queued {
            self.table.remove(slot);
            for held in &queue.packets {
                self.refuse_opening(location, &held.view(), Reason::Deadline, outlet);
            }
            return;
        }
        if let Some(entry) = self.table.get_mut(slot) {
            entry.clear(Flag::Held);
        }
        // Payload of an established flow is never refused; the caller's TCP retransmits it.
        for held in &queue.packets {
            self.discard(&held.view(), Reason::Deadline, outlet);
        }
    }
}

fn opening_ticket<'a>(packet: &View<'_>, priority: usize, candidates: &'a [Ipv4Addr], deadline: Time) -> Ticket<'a> {
    let flow: Flow = packet.flow;
    Ticket { flow, priority, opening: true, candidates, deadline, bytes: packet.bytes.len() }
}
