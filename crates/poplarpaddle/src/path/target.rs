//! Packets of targets at the owner of their shard.

use std::net::Ipv4Addr;

use super::{Engine, Outlet, Reason};
use crate::admission::End;
use crate::flow::{Entry, Flag, Slot, Stage};
use crate::ownership::Place;
use crate::packet::{Kind, View};
use crate::placement;
use crate::recovery;
use crate::time::Time;

impl Engine {
    pub(super) fn target_packet(
        &mut self,
        now: Time,
        place: &Place,
        target: Ipv4Addr,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        if packet.kind == Kind::Opening || !self.is_allowed(place, target, &packet.flow) {
            return self.discard(packet, Reason::WrongTarget, outlet);
        }
        self.heard.insert(target, now);
        let Some(slot) = self.table.find(&packet.flow) else {
            return self.meet(now, place, target, packet, outlet);
        };
        let Some(entry) = self.table.at(slot).copied() else { return };
        match entry.stage {
            Stage::Queued => self.answer_queued(now, place, slot, &entry, target, packet, outlet),
            Stage::Asked | Stage::Doubted if packet.kind == Kind::Reset => {
                if let Some(entry) = self.table.at_mut(slot) {
                    entry.stage = Stage::Doubted;
                }
                self.discard(packet, Reason::StrayReset, outlet);
            }
            Stage::Asked | Stage::Doubted => {
                self.remove(now, place.key, slot);
                self.meet(now, place, target, packet, outlet);
            }
            Stage::Probing => self.answer_probe(now, place, slot, target, packet, outlet),
            _ if entry.target != target => self.answer_wrong(now, place, slot, &entry, target, packet, outlet),
            Stage::Pending => self.answer_opening(now, place, slot, &entry, packet, outlet),
            _ => self.answer(now, place, slot, &entry, packet, outlet),
        }
    }

    /// Handles a packet of a flow without entry: any but a reset proves the binding.
    fn meet(&mut self, now: Time, place: &Place, target: Ipv4Addr, packet: &View<'_>, outlet: &mut dyn Outlet) {
        if packet.kind == Kind::Reset {
            return self.discard(packet, Reason::StrayReset, outlet);
        }
        if let Some(slot) = self.learn(now, place, target, packet) {
            self.note_answer(now, place, slot, packet);
        }
        self.send_caller(packet, outlet);
    }

    /// Adds an entry for a flow that `packet` of `target` proves; none when the table has no room.
    pub(super) fn learn(&mut self, now: Time, place: &Place, target: Ipv4Addr, packet: &View<'_>) -> Option<Slot> {
        if !self.make_room(now) {
            return None;
        }
        self.counters.learned += 1;
        let slot = self.table.insert(learned(now, target, packet))?;
        self.account_learned(now, place, slot, packet);
        Some(slot)
    }

    /// Accounts for a learned flow as a connection, and for the work that probably runs on it.
    pub(super) fn account_learned(&mut self, now: Time, place: &Place, slot: Slot, packet: &View<'_>) {
        let priority = u8::try_from(self.priority(place, packet)).unwrap_or(u8::MAX);
        if self.shard(now, place).is_none() {
            return;
        }
        let (Some(shard), Some(entry)) = (self.shards.get_mut(place.key), self.table.at_mut(slot)) else { return };
        entry.priority = priority;
        shard.connect(entry);
        // The end of an answer leaves the flow idle; anything else belongs to work whose end is still to come.
        if !packet.end {
            shard.adopt(now, entry);
        }
    }

    /// An earlier copy of an opening that waits here was accepted through another balancer.
    #[expect(clippy::too_many_arguments, reason = "the context of one packet")]
    fn answer_queued(
        &mut self,
        now: Time,
        place: &Place,
        slot: Slot,
        entry: &Entry,
        target: Ipv4Addr,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        let is_accept = packet.kind == Kind::Accept && recovery::answers_opening(entry, packet);
        if !is_accept && !recovery::proves_handshake(entry, packet) {
            let reason = if packet.kind == Kind::Reset { Reason::StrayReset } else { Reason::WrongTarget };
            return self.discard(packet, reason, outlet);
        }
        self.remove(now, place.key, slot);
        self.meet(now, place, target, packet, outlet);
    }

    #[expect(clippy::too_many_arguments, reason = "the context of one packet")]
    fn answer_wrong(
        &mut self,
        now: Time,
        place: &Place,
        slot: Slot,
        entry: &Entry,
        target: Ipv4Addr,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        if entry.is_finished() && packet.kind != Kind::Reset {
            // The caller opened a new connection through another balancer.
            self.remove(now, place.key, slot);
            return self.meet(now, place, target, packet, outlet);
        }
        let is_unconfirmed = matches!(entry.stage, Stage::Pending | Stage::Accepted);
        if is_unconfirmed && recovery::proves_handshake(entry, packet) {
            // Another balancer placed a copy of the opening there, and the caller took up that connection.
            self.forget(now, place, slot, entry, false, outlet);
            return self.meet(now, place, target, packet, outlet);
        }
        self.discard(packet, Reason::WrongTarget, outlet);
    }

    /// Handles the answer of the target that got the opening.
    fn answer_opening(
        &mut self,
        now: Time,
        place: &Place,
        slot: Slot,
        entry: &Entry,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        match packet.kind {
            Kind::Reset if recovery::answers_opening(entry, packet) => {
                self.discard(packet, Reason::StrayReset, outlet);
                self.retry(now, place, slot, End::Shed, outlet);
            }
            Kind::Reset => self.discard(packet, Reason::StrayReset, outlet),
            Kind::Accept if recovery::answers_opening(entry, packet) => {
                self.bind(now, place, slot, packet);
                self.send_caller(packet, outlet);
            }
            // The target speaks of an older connection of the same caller port. The caller's answer closes that one.
            _ => self.send_caller(packet, outlet),
        }
    }

    fn bind(&mut self, now: Time, place: &Place, slot: Slot, packet: &View<'_>) {
        self.drop_hold(place.key, slot);
        if let Some(entry) = self.table.at_mut(slot) {
            entry.stage = Stage::Accepted;
            entry.accept = packet.sequence;
            entry.active = now;
        }
        self.connect(place.key, slot);
        self.reserve(slot);
    }

    /// Handles a packet of the target of a bound flow.
    fn answer(
        &mut self,
        now: Time,
        place: &Place,
        slot: Slot,
        entry: &Entry,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        let is_same = recovery::is_from_connection(entry, packet);
        let is_bound = entry.stage != Stage::Accepted || !recovery::answers_opening(entry, packet);
        if packet.kind == Kind::Accept && !is_same && is_bound {
            return self.renew(now, place, slot, entry, packet, outlet);
        }
        if packet.kind == Kind::Reset && !is_same {
            return self.discard(packet, Reason::StrayReset, outlet);
        }
        self.note_answer(now, place, slot, packet);
        self.send_caller(packet, outlet);
    }

    /// The target took a repeated opening for a new connection, so it has lost the old one.
    fn renew(
        &mut self,
        now: Time,
        place: &Place,
        slot: Slot,
        entry: &Entry,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        self.remove(now, place.key, slot);
        if self.takes_new_flows(place, entry.target) {
            return self.meet(now, place, entry.target, packet, outlet);
        }
        // The caller repeats its opening, which is then placed on a target that takes new flows.
        self.discard(packet, Reason::WrongTarget, outlet);
        self.reset_target(place, entry, packet.acknowledgement, outlet);
    }

    fn takes_new_flows(&self, place: &Place, target: Ipv4Addr) -> bool {
        let Some(config) = &self.config else { return false };
        let targets = &config.services[place.service.0 as usize].targets;
        targets.iter().any(|other| other.address == target && placement::is_usable(&self.hosts, other))
    }

    /// Notes in the entry and at the gate what a packet of the target tells.
    pub(super) fn note_answer(&mut self, now: Time, place: &Place, slot: Slot, packet: &View<'_>) {
        let shared = now + self.timings.shared;
        let Some(entry) = self.table.at_mut(slot) else { return };
        entry.active = now;
        entry.silent = Time::NEVER;
        if entry.stage == Stage::Confirmed && packet.sequence != 0 {
            entry.accept = packet.sequence;
        }
        if recovery::shows_other_way(entry, packet) {
            entry.next = packet.acknowledgement;
            self.shared_until = shared;
        }
        match packet.kind {
            Kind::Closing => entry.set(Flag::TargetEnd),
            Kind::Reset => entry.set(Flag::Reset),
            _ => {}
        }
        let started = entry.started;
        let is_over = entry.is_finished();
        if packet.end && entry.has(Flag::Working) {
            self.finish(now, place.key, slot, End::Answered(started));
        }
        if is_over {
            self.release(now, place.key, slot);
        }
    }
}

fn learned(now: Time, target: Ipv4Addr, packet: &View<'_>) -> Entry {
    let stage = if packet.kind == Kind::Accept { Stage::Accepted } else { Stage::Learned };
    let mut entry = Entry::new(packet.flow, stage, target, now);
    entry.accept = packet.sequence;
    entry.next = packet.acknowledgement;
    if packet.kind == Kind::Accept && packet.acknowledgement != 0 {
        entry.opening = packet.acknowledgement.wrapping_sub(1);
        entry.set(Flag::Opened);
    }
    entry
}
