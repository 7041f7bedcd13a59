//! Handling of packets from targets at the owner of their shard.

use std::net::Ipv4Addr;

use super::{Engine, Outlet, Reason};
use crate::admission::End;
use crate::flow::{Entry, Flag, Slot, Stage};
use crate::ownership::Location;
use crate::packet::{Kind, View};
use crate::placement;
use crate::recovery;
use crate::time::Time;

impl Engine {
    pub(super) fn target_packet(
        &mut self,
        now: Time,
        location: &Location,
        target: Ipv4Addr,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        if packet.kind == Kind::Opening || !self.is_allowed(location, target, &packet.flow) {
            return self.discard(packet, Reason::WrongTarget, outlet);
        }
        self.last_received.insert(target, now);
        if self.handle_second_answer(now, location, target, packet, outlet) {
            return;
        }
        let Some(slot) = self.table.find(&packet.flow) else {
            return self.handle_unknown_flow(now, location, target, packet, outlet);
        };
        let Some(entry) = self.table.get(slot).copied() else { return };
        match entry.stage {
            Stage::Queued => self.handle_answer_to_queued(now, location, slot, &entry, target, packet, outlet),
            Stage::Relayed | Stage::RelayFailed if packet.kind == Kind::Reset => {
                if let Some(entry) = self.table.get_mut(slot) {
                    entry.stage = Stage::RelayFailed;
                }
                self.discard(packet, Reason::StrayReset, outlet);
            }
            Stage::Relayed | Stage::RelayFailed => {
                self.remove(now, location.key, slot);
                self.handle_unknown_flow(now, location, target, packet, outlet);
            }
            Stage::Probing => self.handle_probe_answer(now, location, slot, target, packet, outlet),
            _ if entry.target != target => self.handle_mismatch(now, location, slot, &entry, target, packet, outlet),
            Stage::Pending => self.handle_opening_answer(now, location, slot, &entry, packet, outlet),
            _ => self.handle_answer(now, location, slot, &entry, packet, outlet),
        }
    }

    /// Handles a packet of a flow without an entry. Any packet but a reset shows that the flow is bound to `target`.
    fn handle_unknown_flow(
        &mut self,
        now: Time,
        location: &Location,
        target: Ipv4Addr,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        if packet.kind == Kind::Reset {
            return self.discard(packet, Reason::StrayReset, outlet);
        }
        if let Some(slot) = self.learn(now, location, target, packet) {
            self.track_answer(now, location, slot, packet);
        }
        self.send_caller(packet, outlet);
    }

    /// Adds an entry for a flow that `packet` shows to be bound to `target`. Returns none when the table is full.
    pub(super) fn learn(
        &mut self,
        now: Time,
        location: &Location,
        target: Ipv4Addr,
        packet: &View<'_>,
    ) -> Option<Slot> {
        if !self.ensure_capacity(now) {
            return None;
        }
        self.counters.learned += 1;
        let slot = self.table.insert(learned_entry(now, target, packet))?;
        self.account_learned(now, location, slot, packet);
        Some(slot)
    }

    /// Counts a learned flow as a connection of its host, and accounts for the work that probably runs on it.
    pub(super) fn account_learned(&mut self, now: Time, location: &Location, slot: Slot, packet: &View<'_>) {
        let priority = u8::try_from(self.priority(location, packet)).unwrap_or(u8::MAX);
        if self.shard(now, location).is_none() {
            return;
        }
        let (Some(shard), Some(entry)) = (self.shards.get_mut(location.key), self.table.get_mut(slot)) else { return };
        entry.priority = priority;
        shard.connect(entry);
        // After the end of an answer the flow is idle; any other packet belongs to work that has not ended.
        if !packet.end {
            shard.adopt(now, entry);
        }
    }

    /// Handles a packet of a flow whose opening is queued here. Another balancer may have forwarded an earlier copy of the
    /// opening, which `target` accepted.
    #[expect(clippy::too_many_arguments, reason = "the context of one packet")]
    fn handle_answer_to_queued(
        &mut self,
        now: Time,
        location: &Location,
        slot: Slot,
        entry: &Entry,
        target: Ipv4Addr,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        let is_syn_ack = packet.kind == Kind::Accept && recovery::answers_opening(entry, packet);
        if !is_syn_ack && !recovery::proves_handshake(entry, packet) {
            let reason = if packet.kind == Kind::Reset { Reason::StrayReset } else { Reason::WrongTarget };
            return self.discard(packet, reason, outlet);
        }
        self.remove(now, location.key, slot);
        self.handle_unknown_flow(now, location, target, packet, outlet);
    }

    /// Handles a packet from a target other than the one of the entry.
    #[expect(clippy::too_many_arguments, reason = "the context of one packet")]
    fn handle_mismatch(
        &mut self,
        now: Time,
        location: &Location,
        slot: Slot,
        entry: &Entry,
        target: Ipv4Addr,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        if entry.is_finished() && packet.kind != Kind::Reset {
            // The caller opened a new connection through another balancer.
            self.remove(now, location.key, slot);
            return self.handle_unknown_flow(now, location, target, packet, outlet);
        }
        let is_unconfirmed = matches!(entry.stage, Stage::Pending | Stage::Accepted);
        if is_unconfirmed && recovery::proves_handshake(entry, packet) {
            // Another balancer sent a copy of the opening to `target`, and the caller completed the handshake there.
            self.remove_misbound(now, location, slot, entry, false, outlet);
            return self.handle_unknown_flow(now, location, target, packet, outlet);
        }
        self.discard(packet, Reason::WrongTarget, outlet);
        if packet.kind == Kind::Accept {
            self.reset_unused(location, target, packet, outlet);
        }
    }

    /// Handles the answer of the target that the opening was sent to.
    fn handle_opening_answer(
        &mut self,
        now: Time,
        location: &Location,
        slot: Slot,
        entry: &Entry,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        match packet.kind {
            Kind::Reset if recovery::answers_opening(entry, packet) => {
                self.discard(packet, Reason::StrayReset, outlet);
                self.retry_opening(now, location, slot, End::Shed, outlet);
            }
            Kind::Reset => self.discard(packet, Reason::StrayReset, outlet),
            Kind::Accept if recovery::answers_opening(entry, packet) => {
                self.bind(now, location, slot, packet);
                self.send_caller(packet, outlet);
            }
            // The target answers for an older connection from the same caller port. The caller closes that connection in
            // response.
            _ => self.send_caller(packet, outlet),
        }
    }

    /// Binds a flow to the target that accepted its opening.
    pub(super) fn bind(&mut self, now: Time, location: &Location, slot: Slot, packet: &View<'_>) {
        self.record_accepted(now, location, slot);
        self.drop_held(location.key, slot);
        if let Some(entry) = self.table.get_mut(slot) {
            entry.stage = Stage::Accepted;
            entry.target_sequence = packet.sequence;
            entry.last_active = now;
        }
        self.connect(location.key, slot);
        self.reserve(slot);
    }

    /// Handles a packet of the target of a bound flow.
    fn handle_answer(
        &mut self,
        now: Time,
        location: &Location,
        slot: Slot,
        entry: &Entry,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        let is_same = recovery::is_from_connection(entry, packet);
        let accepts_new_connection = entry.stage != Stage::Accepted || !recovery::answers_opening(entry, packet);
        if packet.kind == Kind::Accept && !is_same && accepts_new_connection {
            return self.handle_new_connection(now, location, slot, entry, packet, outlet);
        }
        if packet.kind == Kind::Reset && !is_same {
            return self.discard(packet, Reason::StrayReset, outlet);
        }
        self.track_answer(now, location, slot, packet);
        self.send_caller(packet, outlet);
    }

    /// Handles a SYN-ACK of a new connection: the target accepted a repeated opening, so it has lost the old connection.
    fn handle_new_connection(
        &mut self,
        now: Time,
        location: &Location,
        slot: Slot,
        entry: &Entry,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        self.remove(now, location.key, slot);
        if self.takes_new_flows(location, entry.target) {
            return self.handle_unknown_flow(now, location, entry.target, packet, outlet);
        }
        // The caller retransmits its opening, which is then placed on a target that accepts new flows.
        self.discard(packet, Reason::WrongTarget, outlet);
        self.reset_target(location, entry, packet.acknowledgement, outlet);
    }

    fn takes_new_flows(&self, location: &Location, target: Ipv4Addr) -> bool {
        let Some(config) = &self.config else { return false };
        let targets = &config.services[location.service.0 as usize].targets;
        targets.iter().any(|other| other.address == target && placement::is_usable(&self.hosts, other))
    }

    /// Updates the entry and the gate with a packet of the target.
    pub(super) fn track_answer(&mut self, now: Time, location: &Location, slot: Slot, packet: &View<'_>) {
        let shared_until = now + self.timings.shared_period;
        let Some(entry) = self.table.get_mut(slot) else { return };
        entry.last_active = now;
        entry.unanswered_since = Time::NEVER;
        if entry.stage == Stage::Confirmed && packet.sequence != 0 {
            entry.target_sequence = packet.sequence;
        }
        if recovery::acknowledges_unseen_payload(entry, packet) {
            entry.next_sequence = packet.acknowledgement;
            self.shared_until = shared_until;
        }
        match packet.kind {
            Kind::Closing => entry.set(Flag::TargetFin),
            Kind::Reset => entry.set(Flag::Reset),
            _ => {}
        }
        let started = entry.started;
        let is_over = entry.is_finished();
        if packet.end && entry.has(Flag::Working) {
            self.finish(now, location.key, slot, End::Answered(started));
        }
        if is_over {
            self.release(now, location.key, slot);
        }
    }
}

fn learned_entry(now: Time, target: Ipv4Addr, packet: &View<'_>) -> Entry {
    let stage = if packet.kind == Kind::Accept { Stage::Accepted } else { Stage::Learned };
    let mut entry = Entry::new(packet.flow, stage, target, now);
    entry.target_sequence = packet.sequence;
    entry.next_sequence = packet.acknowledgement;
    if packet.kind == Kind::Accept && packet.acknowledgement != 0 {
        entry.opening_sequence = packet.acknowledgement.wrapping_sub(1);
        entry.set(Flag::OpeningSeen);
    }
    entry
}
