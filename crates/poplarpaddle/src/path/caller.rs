//! Handling of packets from callers at the owner of their shard.

use std::time::Duration;

use super::hold::Phase;
use super::{Engine, Hop, MemberId, Outlet, Reason, Source};
use crate::admission::{Decision, End, Ticket};
use crate::flow::{Entry, Flag, Slot, Stage};
use crate::ownership::Location;
use crate::packet::{Kind, View};
use crate::recovery;
use crate::time::Time;

/// A host counts as responsive if it sent a packet within `answer_timeout` divided by this.
const RESPONSIVE_DIVISOR: u32 = 4;

impl Engine {
    pub(super) fn caller_packet(
        &mut self,
        now: Time,
        source: Source,
        location: &Location,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        match (packet.kind, self.table.find(&packet.flow)) {
            (Kind::Accept, _) => self.discard(packet, Reason::Malformed, outlet),
            (Kind::Opening, None) => self.open(now, location, packet, outlet),
            (Kind::Opening, Some(slot)) => self.handle_repeated_opening(now, location, slot, packet, outlet),
            (_, None) => self.recover(now, source, location, packet, outlet),
            (_, Some(slot)) => self.handle_known_flow(now, source, location, slot, packet, outlet),
        }
    }

    /// Handles a packet, other than an opening, of a flow that has an entry.
    fn handle_known_flow(
        &mut self,
        now: Time,
        source: Source,
        location: &Location,
        slot: Slot,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        let Some(entry) = self.table.get(slot).copied() else { return };
        let is_delayed = recovery::is_from_earlier_connection(&entry, packet);
        if is_delayed && matches!(entry.stage, Stage::Queued | Stage::Pending) {
            return self.handle_delayed(location, &entry, packet, outlet);
        }
        match entry.stage {
            Stage::Queued | Stage::Pending if packet.kind == Kind::Reset => {
                self.abort_opening(now, location, slot, &entry, packet, outlet);
            }
            Stage::Relayed
                if !now.reached(entry.started + self.timings.former_owner_timeout) || packet.kind == Kind::Reset =>
            {
                self.recover(now, source, location, packet, outlet);
            }
            Stage::RelayFailed if packet.kind == Kind::Reset => self.discard(packet, Reason::UnknownFlow, outlet),
            Stage::Relayed | Stage::RelayFailed => {
                self.remove(now, location.key, slot);
                self.probe(now, location, packet, outlet);
            }
            Stage::Probing => self.hold_behind_probe(now, location, slot, packet, outlet),
            // The caller completed its handshake with a target that this balancer did not choose.
            Stage::Queued | Stage::Pending => {
                self.remove_misbound(now, location, slot, &entry, is_delayed, outlet);
                self.recover(now, source, location, packet, outlet);
            }
            _ if packet.kind != Kind::Reset && !recovery::belongs_to_entry(&entry, packet) => {
                self.remove_misbound(now, location, slot, &entry, is_delayed, outlet);
                // The wrong binding may come from the entry of a former owner, so the packet is not relayed there again.
                self.probe(now, location, packet, outlet);
            }
            _ => self.handle_bound(now, location, slot, &entry, packet, outlet),
        }
    }

    /// Handles a delayed packet of an earlier connection from the same caller port, which must not affect the new one.
    fn handle_delayed(&mut self, location: &Location, entry: &Entry, packet: &View<'_>, outlet: &mut dyn Outlet) {
        let is_allowed = self.is_allowed(location, entry.target, &packet.flow);
        if packet.kind == Kind::Reset && entry.stage != Stage::Queued && is_allowed {
            // The reset clears the earlier connection at the target, so that the new opening can succeed.
            return self.send_target(entry.target, packet, outlet);
        }
        self.discard(packet, Reason::UnknownFlow, outlet);
    }

    /// Removes an opening that its caller reset, and forwards the reset to the targets that got the opening.
    fn abort_opening(
        &mut self,
        now: Time,
        location: &Location,
        slot: Slot,
        entry: &Entry,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        let second = self.hedges.second_host(&entry.flow);
        self.remove(now, location.key, slot);
        let first = (entry.stage == Stage::Pending).then_some(entry.target);
        for target in first.into_iter().chain(second) {
            if self.is_allowed(location, target, &packet.flow) {
                self.send_target(target, packet, outlet);
            }
        }
    }

    /// Removes a flow whose caller is connected to another target than the one in the entry, and resets the unused
    /// connection at the target in the entry.
    pub(super) fn remove_misbound(
        &mut self,
        now: Time,
        location: &Location,
        slot: Slot,
        entry: &Entry,
        is_delayed: bool,
        outlet: &mut dyn Outlet,
    ) {
        self.remove(now, location.key, slot);
        // The caller may be connected to the target of a pending opening, so that target is not reset. It is not connected
        // to a target whose SYN-ACK it never acknowledged, unless its packet belongs to another connection than the opening.
        if entry.stage == Stage::Accepted && !is_delayed {
            self.reset_target(location, entry, entry.opening_sequence.wrapping_add(1), outlet);
        }
    }

    pub(super) fn reset_target(&self, location: &Location, entry: &Entry, sequence: u32, outlet: &mut dyn Outlet) {
        if self.is_allowed(location, entry.target, &entry.flow) {
            outlet.reset_target(entry.target, &entry.flow, sequence);
        }
    }

    /// Handles a packet of a bound flow: forwards it, holds it, or resets the flow.
    fn handle_bound(
        &mut self,
        now: Time,
        location: &Location,
        slot: Slot,
        entry: &Entry,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        if !self.is_allowed(location, entry.target, &packet.flow) {
            return self.reject_target(now, location, slot, entry, packet, outlet);
        }
        // A bare acknowledgement may overtake held payload: it carries no data, and the target may need it to send more of
        // its answer.
        if entry.has(Flag::Held) && (packet.has_payload() || packet.kind == Kind::Closing) {
            return self.hold_behind(slot, packet, outlet);
        }
        if packet.has_payload() && self.is_silent(now, location, entry, packet) {
            return self.reset_both_ends(now, location, slot, entry, packet, outlet);
        }
        if packet.has_payload() {
            self.sample_first_payload_delay(now, slot);
        }
        self.finish_unacknowledged(now, location, slot, entry, packet);
        let starts_work =
            packet.has_payload() && !entry.has(Flag::Working) && !recovery::is_retransmission(entry, packet);
        if starts_work && !self.admit(now, location, slot, packet, outlet) {
            return;
        }
        self.forward(now, location, slot, packet, outlet);
    }

    /// Handles a packet of a bound flow whose target must not receive packets of the service any more.
    fn reject_target(
        &mut self,
        now: Time,
        location: &Location,
        slot: Slot,
        entry: &Entry,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        let endpoint = std::net::SocketAddrV4::new(entry.target, packet.flow.service.port());
        let belongs_to_service =
            self.config.as_ref().and_then(|config| config.endpoints.get(&endpoint)) == Some(&location.service);
        if belongs_to_service {
            // A report that names another service may be wrong; the flow continues when a later report is right.
            return self.discard(packet, Reason::WrongTarget, outlet);
        }
        self.remove(now, location.key, slot);
        self.reset_caller(packet, Reason::WrongTarget, outlet);
    }

    /// Ends the work of payload that the caller retransmits because the target has not acknowledged it. A target
    /// acknowledges payload within far less than `probe_timeout`, so its host is not working on this payload. Without this
    /// check, silent connections occupied all slots of their hosts for `work_timeout`.
    fn finish_unacknowledged(&mut self, now: Time, location: &Location, slot: Slot, entry: &Entry, packet: &View<'_>) {
        let is_due =
            entry.unanswered_since != Time::NEVER && now.reached(entry.unanswered_since + self.timings.probe_timeout);
        if is_due && packet.has_payload() && recovery::is_retransmission(entry, packet) {
            self.finish(now, location.key, slot, End::Closed);
        }
    }

    /// Holds a packet behind the held packets of its flow.
    fn hold_behind(&mut self, slot: Slot, packet: &View<'_>, outlet: &mut dyn Outlet) {
        if !self.hold_buffer.push(slot, packet) {
            self.discard(packet, Reason::HoldFull, outlet);
        }
    }

    /// Asks the gate to start the work of a bound flow. Returns true when the work starts now.
    fn admit(
        &mut self,
        now: Time,
        location: &Location,
        slot: Slot,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) -> bool {
        let priority = self.priority(location, packet);
        let deadline = self.start_deadline(now, priority, packet);
        let has_capacity = self.hold_buffer.has_capacity(packet);
        let Some(target) = self.table.get(slot).map(|entry| entry.target) else { return false };
        let Some(shard) = self.shard(now, location) else { return false };
        let ticket = Ticket {
            flow: packet.flow,
            priority,
            opening: false,
            candidates: &[target],
            deadline,
            bytes: packet.bytes.len(),
        };
        match shard.gate.offer(now, &ticket) {
            Decision::Start(_) => {
                self.mark_started(now, slot, priority);
                return true;
            }
            Decision::Refuse(reason) => self.discard(packet, reason, outlet),
            Decision::Wait(ticket) if has_capacity => {
                shard.tickets.insert(ticket, slot);
                self.hold_buffer.insert(slot, packet, Phase::Payload, Some(ticket));
                self.mark_held(slot, priority);
            }
            Decision::Wait(ticket) => {
                shard.gate.cancel(ticket);
                self.discard(packet, Reason::HoldFull, outlet);
            }
        }
        false
    }

    fn mark_held(&mut self, slot: Slot, priority: usize) {
        if let Some(entry) = self.table.get_mut(slot) {
            entry.set(Flag::Held);
            entry.priority = u8::try_from(priority).unwrap_or(u8::MAX);
        }
    }

    pub(super) fn mark_started(&mut self, now: Time, slot: Slot, priority: usize) {
        if let Some(entry) = self.table.get_mut(slot) {
            entry.set(Flag::Working);
            entry.started = now;
            entry.priority = u8::try_from(priority).unwrap_or(u8::MAX);
        }
    }

    /// Sends a packet of a bound flow to its target.
    pub(super) fn forward(
        &mut self,
        now: Time,
        location: &Location,
        slot: Slot,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        let answer_timeout = self.timings.answer_timeout;
        let Some(entry) = self.table.get_mut(slot) else { return };
        let target = entry.target;
        let was_accepted = entry.stage == Stage::Accepted;
        track_caller_packet(now, answer_timeout, entry, packet);
        if packet.has_payload() {
            let is_responsive = self
                .last_received
                .get(&target)
                .is_some_and(|received| !now.reached(*received + answer_timeout / RESPONSIVE_DIVISOR));
            if is_responsive { entry.set(Flag::Responsive) } else { entry.clear(Flag::Responsive) }
        }
        let is_over = entry.is_finished();
        self.send_target(target, packet, outlet);
        if was_accepted && packet.kind != Kind::Reset && packet.acknowledgement != 0 {
            self.reset_loser(location, &packet.flow, outlet);
        }
        if is_over {
            self.release(now, location.key, slot);
        }
    }

    /// Recovers a flow without an entry: relays the packet to a former owner, or probes the candidate targets.
    pub(super) fn recover(
        &mut self,
        now: Time,
        source: Source,
        location: &Location,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        if let Some(former) = self.next_former_owner(source, location) {
            self.track_relay(now, packet);
            return self.relay(former, Hop::Previous, packet, outlet);
        }
        if packet.kind == Kind::Reset {
            // Targets do not answer resets, so probing with one would not find the right target.
            return self.discard(packet, Reason::UnknownFlow, outlet);
        }
        if let Some(slot) = self.table.find(&packet.flow) {
            self.remove(now, location.key, slot);
        }
        self.probe(now, location, packet, outlet);
    }

    /// Adds an entry that records when a packet of the flow was first relayed to a former owner. The former owner's entry
    /// may be of an older connection, or its target may be dead; without a time limit, relaying would never end.
    fn track_relay(&mut self, now: Time, packet: &View<'_>) {
        if self.table.find(&packet.flow).is_none() && self.ensure_capacity(now) {
            let unknown = std::net::Ipv4Addr::UNSPECIFIED;
            self.table.insert(Entry::new(packet.flow, Stage::Relayed, unknown, now));
        }
    }

    /// Returns the former owner to relay the packet to next. If a former owner sent the packet back as
    /// [`Hop::Unknown`], this is the one after the sender.
    fn next_former_owner(&self, source: Source, location: &Location) -> Option<MemberId> {
        let former = self.ownership.former(location);
        let mut others = former.iter().copied().filter(|member| *member != self.me);
        if let Source::Peer(sender, Hop::Unknown) = source {
            others.find(|member| *member == sender)?;
        }
        others.next()
    }

    /// Starts the waiting work of a flow: forwards all held packets to the target in order.
    pub(super) fn start_payload(&mut self, now: Time, location: &Location, slot: Slot, outlet: &mut dyn Outlet) {
        let Some(queue) = self.hold_buffer.remove(slot) else { return };
        let Some(entry) = self.table.get_mut(slot) else { return };
        entry.clear(Flag::Held);
        entry.set(Flag::Working);
        entry.started = now;
        let (target, flow) = (entry.target, entry.flow);
        if !self.is_allowed(location, target, &flow) {
            self.finish(now, location.key, slot, End::Closed);
            for held in &queue.packets {
                self.discard(&held.view(), Reason::WrongTarget, outlet);
            }
            return;
        }
        for held in &queue.packets {
            self.forward(now, location, slot, &held.view(), outlet);
        }
    }
}

/// Updates the entry with a caller's packet that is forwarded.
fn track_caller_packet(now: Time, answer_timeout: Duration, entry: &mut Entry, packet: &View<'_>) {
    entry.last_active = now;
    let is_current = recovery::is_current(entry, packet);
    track_acknowledgement(entry, packet);
    if matches!(entry.stage, Stage::Accepted | Stage::Learned) {
        entry.stage = Stage::Confirmed;
    }
    if packet.has_payload() {
        track_payload(now, answer_timeout, entry, packet);
    }
    match packet.kind {
        Kind::Closing if is_current => entry.set(Flag::CallerFin),
        Kind::Reset if is_current => entry.set(Flag::Reset),
        _ => {}
    }
}

/// Updates the acknowledgement number of the caller. A caller that acknowledges more bytes than before received an answer,
/// through this balancer or another one, so the flow is not silent.
fn track_acknowledgement(entry: &mut Entry, packet: &View<'_>) {
    let known = entry.acknowledged;
    let is_advanced = packet.acknowledgement.wrapping_sub(known).cast_signed() > 0;
    if known == 0 || is_advanced {
        entry.acknowledged = packet.acknowledgement;
    }
    if known != 0 && is_advanced {
        entry.unanswered_since = Time::NEVER;
    }
}

fn track_payload(now: Time, answer_timeout: Duration, entry: &mut Entry, packet: &View<'_>) {
    if !recovery::is_retransmission(entry, packet) {
        entry.next_sequence = packet.sequence.wrapping_add(packet.payload);
    }
    if entry.unanswered_since == Time::NEVER {
        entry.clear(Flag::Retransmitted);
    } else if packet.sequence.wrapping_sub(entry.unanswered_sequence).cast_signed() <= 0 {
        entry.set(Flag::Retransmitted);
    }
    // A caller that sends later bytes after the deadline may receive its answers through another balancer, so the deadline
    // starts again.
    let is_later = packet.sequence.wrapping_sub(entry.unanswered_sequence).cast_signed() > 0;
    if entry.unanswered_since == Time::NEVER || (is_later && now.reached(entry.unanswered_since + answer_timeout)) {
        entry.unanswered_since = now;
        entry.unanswered_sequence = packet.sequence;
    }
}
