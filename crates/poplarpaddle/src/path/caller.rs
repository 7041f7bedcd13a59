//! Packets of callers at the owner of their shard.

use std::time::Duration;

use super::engine::record;
use super::hold::Phase;
use super::{Engine, Hop, MemberId, Outlet, Reason, Source};
use crate::admission::{Decision, End, Ticket};
use crate::flow::{Entry, Flag, Slot, Stage};
use crate::ownership::Place;
use crate::packet::{Direction, Kind, View};
use crate::recovery;
use crate::time::Time;

/// A host that sent a packet within this part of `answer_due` is taken to answer.
const AWAKE_PART: u32 = 4;

impl Engine {
    pub(super) fn caller_packet(
        &mut self,
        now: Time,
        source: Source,
        place: &Place,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        match (packet.kind, self.table.find(&packet.flow)) {
            (Kind::Accept, _) => self.discard(packet, Reason::Malformed, outlet),
            (Kind::Opening, None) => self.open(now, place, packet, outlet),
            (Kind::Opening, Some(slot)) => self.reopen(now, place, slot, packet, outlet),
            (_, None) => self.recover(now, source, place, packet, outlet),
            (_, Some(slot)) => self.continue_flow(now, source, place, slot, packet, outlet),
        }
    }

    /// Handles a packet other than an opening of a flow with an entry.
    fn continue_flow(
        &mut self,
        now: Time,
        source: Source,
        place: &Place,
        slot: Slot,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        let Some(entry) = self.table.at(slot).copied() else { return };
        let is_late = recovery::is_late(&entry, packet);
        if is_late && matches!(entry.stage, Stage::Queued | Stage::Pending) {
            return self.pass_late(place, &entry, packet, outlet);
        }
        match entry.stage {
            Stage::Queued | Stage::Pending if packet.kind == Kind::Reset => {
                self.abort(now, place, slot, &entry, packet, outlet);
            }
            Stage::Asked if !now.reached(entry.started + self.timings.asking) || packet.kind == Kind::Reset => {
                self.recover(now, source, place, packet, outlet);
            }
            Stage::Doubted if packet.kind == Kind::Reset => self.discard(packet, Reason::UnknownFlow, outlet),
            Stage::Asked | Stage::Doubted => {
                self.remove(now, place.key, slot);
                self.probe(now, place, packet, outlet);
            }
            Stage::Probing => self.wait_for_probe(now, place, slot, packet, outlet),
            // The caller talks to a target that this balancer did not place the flow on.
            Stage::Queued | Stage::Pending => {
                self.forget(now, place, slot, &entry, is_late, outlet);
                self.recover(now, source, place, packet, outlet);
            }
            _ if packet.kind != Kind::Reset && !recovery::belongs(&entry, packet) => {
                self.forget(now, place, slot, &entry, is_late, outlet);
                // A wrong binding may come from the entry of a former owner, so that is not asked again.
                self.probe(now, place, packet, outlet);
            }
            _ => self.pass(now, place, slot, &entry, packet, outlet),
        }
    }

    /// Handles a packet of an earlier connection of the same caller port, which must not disturb the new one.
    fn pass_late(&mut self, place: &Place, entry: &Entry, packet: &View<'_>, outlet: &mut dyn Outlet) {
        let is_allowed = self.is_allowed(place, entry.target, &packet.flow);
        if packet.kind == Kind::Reset && entry.stage != Stage::Queued && is_allowed {
            // The caller resets what the target kept of the earlier connection, so that the opening can succeed.
            return self.send_target(entry.target, packet, outlet);
        }
        self.discard(packet, Reason::UnknownFlow, outlet);
    }

    /// The caller gave up an opening.
    fn abort(
        &mut self,
        now: Time,
        place: &Place,
        slot: Slot,
        entry: &Entry,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        self.remove(now, place.key, slot);
        if entry.stage == Stage::Pending && self.is_allowed(place, entry.target, &packet.flow) {
            self.send_target(entry.target, packet, outlet);
        }
    }

    /// Forgets a flow that belongs to another target, and closes the connection that waits at the wrong one.
    pub(super) fn forget(
        &mut self,
        now: Time,
        place: &Place,
        slot: Slot,
        entry: &Entry,
        is_late: bool,
        outlet: &mut dyn Outlet,
    ) {
        self.remove(now, place.key, slot);
        // A pending target may be the one that the caller talks to. The target of a SYN-ACK that the caller did not take up
        // is not, unless the packet is of another connection than the opening.
        if entry.stage == Stage::Accepted && !is_late {
            self.reset_target(place, entry, entry.opening.wrapping_add(1), outlet);
        }
    }

    pub(super) fn reset_target(&self, place: &Place, entry: &Entry, sequence: u32, outlet: &mut dyn Outlet) {
        if self.is_allowed(place, entry.target, &entry.flow) {
            outlet.reset_target(entry.target, &entry.flow, sequence);
        }
    }

    /// Handles a packet of a bound flow.
    fn pass(
        &mut self,
        now: Time,
        place: &Place,
        slot: Slot,
        entry: &Entry,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        if !self.is_allowed(place, entry.target, &packet.flow) {
            return self.refuse_target(now, place, slot, entry, packet, outlet);
        }
        // A bare acknowledgement may pass held payload: it moves no data, and the target's last answer waits for it.
        if entry.has(Flag::Held) && (packet.has_payload() || packet.kind == Kind::Closing) {
            return self.wait_behind(slot, packet, outlet);
        }
        if packet.has_payload() && self.is_silent(now, place, entry, packet) {
            return self.give_up(now, place, slot, entry, packet, outlet);
        }
        if packet.has_payload() {
            self.note_first_payload(now, slot);
        }
        self.free_unacknowledged(now, place, slot, entry, packet);
        let starts_work = packet.has_payload() && !entry.has(Flag::Working) && !recovery::is_repeated(entry, packet);
        if starts_work && !self.admit(now, place, slot, packet, outlet) {
            return;
        }
        self.forward(now, place, slot, packet, outlet);
    }

    /// The target of a bound flow must not get its packets any more.
    fn refuse_target(
        &mut self,
        now: Time,
        place: &Place,
        slot: Slot,
        entry: &Entry,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        let endpoint = std::net::SocketAddrV4::new(entry.target, packet.flow.service.port());
        let belongs = self.config.as_ref().and_then(|config| config.endpoints.get(&endpoint)) == Some(&place.service);
        if belongs {
            // A report that names another service may mislead; the flow goes on when the next one is right.
            return self.discard(packet, Reason::WrongTarget, outlet);
        }
        self.remove(now, place.key, slot);
        self.reset_caller(packet, Reason::WrongTarget, outlet);
    }

    /// Ends the work of payload that the caller repeats without any sign of the target. A target acknowledges payload
    /// within a delay far below `probe_reply`, so its host is not working on it. Without this, silent connections held
    /// every place of their hosts for `work`.
    fn free_unacknowledged(&mut self, now: Time, place: &Place, slot: Slot, entry: &Entry, packet: &View<'_>) {
        let is_due = entry.silent != Time::NEVER && now.reached(entry.silent + self.timings.probe_reply);
        if is_due && packet.has_payload() && recovery::is_repeated(entry, packet) {
            self.finish(now, place.key, slot, End::Closed);
        }
    }

    fn wait_behind(&mut self, slot: Slot, packet: &View<'_>, outlet: &mut dyn Outlet) {
        if !self.holds.push(slot, packet) {
            self.discard(packet, Reason::HoldFull, outlet);
        }
    }

    /// Returns true when the target answered nothing until the deadline while its host answered others.
    fn is_silent(&self, now: Time, place: &Place, entry: &Entry, packet: &View<'_>) -> bool {
        // Answers pass only the owner, and only a repeat of the first unanswered byte shows that the caller did not get
        // them by another way.
        let is_owner = place.owner == Some(self.me);
        let is_due = entry.silent != Time::NEVER && now.reached(entry.silent + self.timings.answer_due);
        let is_repeat = packet.sequence.wrapping_sub(entry.unanswered).cast_signed() <= 0;
        is_owner && is_due && is_repeat && self.has_lost(now, entry)
    }

    /// Returns true when the host was up when it got the last copy of the flow's payload, so that only the connection can
    /// be lost.
    fn has_lost(&self, now: Time, entry: &Entry) -> bool {
        self.answers_others(entry) || self.is_steady(now, entry)
    }

    /// Returns true when the host answered its polls when it got the last copy of the flow's payload. A host that nobody
    /// else talks to gives no other sign. One that stopped just then would be down by now.
    fn is_steady(&self, now: Time, entry: &Entry) -> bool {
        let was_up = self.steady.get(&entry.target).is_some_and(|since| *since <= entry.active);
        was_up && now.reached(entry.active + self.timings.down)
    }

    /// Returns true when the host answered others before and after it got the last copy of the flow's payload. One that
    /// was paused answers again; one that answers others has lost the connection.
    fn answers_others(&self, entry: &Entry) -> bool {
        entry.has(Flag::Awake) && self.heard.get(&entry.target).is_some_and(|heard| *heard > entry.active)
    }

    /// Resets a silent flow whose caller waits longer than `answer_due` before its next repeat.
    ///
    /// Callers double the time between repeats, so that the next one may come long after the deadline. A repeat has to
    /// have passed before, because one copy alone may have been lost.
    pub(super) fn reset_silent(&mut self, now: Time, slot: Slot, outlet: &mut dyn Outlet) -> bool {
        let Some(entry) = self.table.at(slot).copied() else { return false };
        let is_due = entry.silent != Time::NEVER && now.reached(entry.silent + self.timings.answer_due);
        let is_proven = entry.stage == Stage::Confirmed && entry.has(Flag::Repeated) && entry.acknowledged != 0;
        if !is_due || !is_proven || self.is_shared(now) || !self.has_lost(now, &entry) {
            return false;
        }
        let Ok(place) = self.locate(&entry.flow) else { return false };
        if place.owner != Some(self.me) {
            return false;
        }
        let last = View::new(entry.flow, Direction::FromCaller, Kind::Data, &[]);
        let last = View { sequence: entry.next, acknowledgement: entry.acknowledged, ..last };
        self.give_up(now, &place, slot, &entry, &last, outlet);
        true
    }

    fn give_up(
        &mut self,
        now: Time,
        place: &Place,
        slot: Slot,
        entry: &Entry,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        self.remove(now, place.key, slot);
        self.reset_target(place, entry, packet.sequence, outlet);
        self.reset_caller(packet, Reason::Silent, outlet);
        let detail = format!("target {}", entry.target);
        record(now, "flow.silent", entry.flow.to_string(), detail, outlet);
    }

    /// Asks the gate to start the work of a bound flow; true when it starts now.
    fn admit(&mut self, now: Time, place: &Place, slot: Slot, packet: &View<'_>, outlet: &mut dyn Outlet) -> bool {
        let priority = self.priority(place, packet);
        let deadline = self.start_by(now, priority, packet);
        let has_room = self.holds.has_room(packet);
        let Some(target) = self.table.at(slot).map(|entry| entry.target) else { return false };
        let Some(shard) = self.shard(now, place) else { return false };
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
            Decision::Wait(ticket) if has_room => {
                shard.tickets.insert(ticket, slot);
                self.holds.open(slot, packet, Phase::Payload, Some(ticket));
                self.set_waiting(slot, priority);
            }
            Decision::Wait(ticket) => {
                shard.gate.cancel(ticket);
                self.discard(packet, Reason::HoldFull, outlet);
            }
        }
        false
    }

    fn set_waiting(&mut self, slot: Slot, priority: usize) {
        if let Some(entry) = self.table.at_mut(slot) {
            entry.set(Flag::Held);
            entry.priority = u8::try_from(priority).unwrap_or(u8::MAX);
        }
    }

    pub(super) fn mark_started(&mut self, now: Time, slot: Slot, priority: usize) {
        if let Some(entry) = self.table.at_mut(slot) {
            entry.set(Flag::Working);
            entry.started = now;
            entry.priority = u8::try_from(priority).unwrap_or(u8::MAX);
        }
    }

    /// Sends a packet of a bound flow to its target.
    pub(super) fn forward(&mut self, now: Time, place: &Place, slot: Slot, packet: &View<'_>, outlet: &mut dyn Outlet) {
        let answer_due = self.timings.answer_due;
        let Some(entry) = self.table.at_mut(slot) else { return };
        let target = entry.target;
        note(now, answer_due, entry, packet);
        if packet.has_payload() {
            let is_awake = self.heard.get(&target).is_some_and(|heard| !now.reached(*heard + answer_due / AWAKE_PART));
            if is_awake { entry.set(Flag::Awake) } else { entry.clear(Flag::Awake) }
        }
        let is_over = entry.is_finished();
        self.send_target(target, packet, outlet);
        if is_over {
            self.release(now, place.key, slot);
        }
    }

    /// Finds the target of a flow without entry.
    pub(super) fn recover(
        &mut self,
        now: Time,
        source: Source,
        place: &Place,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        if let Some(former) = self.next_former(source, place) {
            self.note_asked(now, packet);
            return self.relay(former, Hop::Previous, packet, outlet);
        }
        if packet.kind == Kind::Reset {
            // A target does not answer a reset, so a probe would find nothing.
            return self.discard(packet, Reason::UnknownFlow, outlet);
        }
        if let Some(slot) = self.table.find(&packet.flow) {
            self.remove(now, place.key, slot);
        }
        self.probe(now, place, packet, outlet);
    }

    /// Notes when a former owner was asked first. Its entry may be of an older connection or its target may be dead, and
    /// asking would then go on for ever.
    fn note_asked(&mut self, now: Time, packet: &View<'_>) {
        if self.table.find(&packet.flow).is_none() && self.make_room(now) {
            let unknown = std::net::Ipv4Addr::UNSPECIFIED;
            self.table.insert(Entry::new(packet.flow, Stage::Asked, unknown, now));
        }
    }

    /// Returns the former owner to ask next. The sender of a packet that came back unknown was the last one asked.
    fn next_former(&self, source: Source, place: &Place) -> Option<MemberId> {
        let former = self.ownership.former(place);
        let mut others = former.iter().copied().filter(|member| *member != self.me);
        if let Source::Peer(sender, Hop::Unknown) = source {
            others.find(|member| *member == sender)?;
        }
        others.next()
    }

    /// Starts a flow's waiting payload: everything held goes to the target in order.
    pub(super) fn start_payload(&mut self, now: Time, place: &Place, slot: Slot, outlet: &mut dyn Outlet) {
        let Some(hold) = self.holds.remove(slot) else { return };
        let Some(entry) = self.table.at_mut(slot) else { return };
        entry.clear(Flag::Held);
        entry.set(Flag::Working);
        entry.started = now;
        let (target, flow) = (entry.target, entry.flow);
        if !self.is_allowed(place, target, &flow) {
            self.finish(now, place.key, slot, End::Closed);
            for held in &hold.packets {
                self.discard(&held.view(), Reason::WrongTarget, outlet);
            }
            return;
        }
        for held in &hold.packets {
            self.forward(now, place, slot, &held.view(), outlet);
        }
    }
}

/// Notes in the entry what a forwarded packet tells.
fn note(now: Time, answer_due: Duration, entry: &mut Entry, packet: &View<'_>) {
    entry.active = now;
    let is_current = recovery::is_current(entry, packet);
    note_acknowledgement(entry, packet);
    if matches!(entry.stage, Stage::Accepted | Stage::Learned) {
        entry.stage = Stage::Confirmed;
    }
    if packet.has_payload() {
        note_payload(now, answer_due, entry, packet);
    }
    match packet.kind {
        Kind::Closing if is_current => entry.set(Flag::CallerEnd),
        Kind::Reset if is_current => entry.set(Flag::Reset),
        _ => {}
    }
}

/// A caller that acknowledges more of the target's bytes than before gets answers, by another way if not by this one.
fn note_acknowledgement(entry: &mut Entry, packet: &View<'_>) {
    let known = entry.acknowledged;
    let is_more = packet.acknowledgement.wrapping_sub(known).cast_signed() > 0;
    if known == 0 || is_more {
        entry.acknowledged = packet.acknowledgement;
    }
    if known != 0 && is_more {
        entry.silent = Time::NEVER;
    }
}

fn note_payload(now: Time, answer_due: Duration, entry: &mut Entry, packet: &View<'_>) {
    if !recovery::is_repeated(entry, packet) {
        entry.next = packet.sequence.wrapping_add(packet.payload);
    }
    if entry.silent == Time::NEVER {
        entry.clear(Flag::Repeated);
    } else if packet.sequence.wrapping_sub(entry.unanswered).cast_signed() <= 0 {
        entry.set(Flag::Repeated);
    }
    // A caller that sends later bytes after the deadline may have its answers by another way; it gets a new deadline.
    let is_later = packet.sequence.wrapping_sub(entry.unanswered).cast_signed() > 0;
    if entry.silent == Time::NEVER || (is_later && now.reached(entry.silent + answer_due)) {
        entry.silent = now;
        entry.unanswered = packet.sequence;
    }
}
