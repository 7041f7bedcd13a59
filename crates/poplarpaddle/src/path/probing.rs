//! Probing of the candidates of a flow without entry.

use std::net::Ipv4Addr;

use super::hold::{Hold, Phase};
use super::{Engine, Outlet, Reason};
use crate::admission::End;
use crate::flow::{Entry, Flag, Slot, Stage};
use crate::ownership::Place;
use crate::packet::{Kind, View};
use crate::placement;
use crate::recovery::{self, Probe};
use crate::time::Time;
use crate::view::HostState;

impl Engine {
    /// Begins to probe the candidates of a flow with `packet`.
    pub(super) fn probe(&mut self, now: Time, place: &Place, packet: &View<'_>, outlet: &mut dyn Outlet) {
        let Some(config) = &self.config else { return };
        let candidates = placement::possible(config, &self.hosts, place, packet.flow.service.port());
        if candidates.is_empty() {
            return self.discard(packet, Reason::NoTarget, outlet);
        }
        // A misplaced target may hold the connection, and its report may be wrong.
        let is_partial = candidates.len() < config.services[place.service.0 as usize].targets.len();
        if !self.holds.has_room(packet) || !self.make_room(now) {
            return self.discard(packet, Reason::HoldFull, outlet);
        }
        let mut entry = Entry::new(packet.flow, Stage::Probing, candidates[0], now);
        entry.set(Flag::Held);
        let Some(slot) = self.table.insert(entry) else { return };
        self.counters.probed += 1;
        self.holds.open(slot, packet, Phase::Probe(Probe::new(candidates, is_partial)), None);
        self.ask(now, place, slot, outlet);
    }

    /// Sends the first held packet to the candidate under probe, or ends the probe after the last one.
    fn ask(&mut self, now: Time, place: &Place, slot: Slot, outlet: &mut dyn Outlet) {
        let Some(Hold { packets, phase: Phase::Probe(probe), .. }) = self.holds.get(slot) else { return };
        let Some(host) = probe.current() else { return self.conclude(now, place, slot, outlet) };
        let Some(held) = packets.front() else { return };
        if !self.is_allowed(place, host, &held.view().flow) {
            return self.pass_over(now, place, slot, outlet);
        }
        self.counters.probes += 1;
        self.counters.to_target += 1;
        outlet.to_target(host, &held.view());
        self.holds.set_deadline(slot, now + self.timings.probe_reply);
    }

    /// The next candidate must not get packets of the flow any more.
    fn pass_over(&mut self, now: Time, place: &Place, slot: Slot, outlet: &mut dyn Outlet) {
        if let Some(Hold { phase: Phase::Probe(probe), .. }) = self.holds.get_mut(slot) {
            probe.advance(false);
        }
        self.ask(now, place, slot, outlet);
    }

    /// Ends a probe that found no target.
    fn conclude(&mut self, now: Time, place: &Place, slot: Slot, outlet: &mut dyn Outlet) {
        let Some(Hold { packets, phase: Phase::Probe(probe), .. }) = self.holds.remove(slot) else { return };
        self.remove(now, place.key, slot);
        let Some(first) = packets.front() else { return };
        if probe.is_unrecoverable() {
            return self.reset_caller(&first.view(), Reason::Unrecoverable, outlet);
        }
        // A candidate that did not answer may hold the connection. The caller's repeat begins a new probe.
        for held in &packets {
            self.discard(&held.view(), Reason::UnknownFlow, outlet);
        }
    }

    /// A candidate answered nothing in time.
    fn skip(&mut self, now: Time, place: &Place, slot: Slot, outlet: &mut dyn Outlet) {
        let Some(Hold { packets, phase: Phase::Probe(probe), .. }) = self.holds.get(slot) else { return };
        let is_bare = packets.front().is_some_and(|held| is_bare(&held.view()));
        let host = probe.current();
        // A host that fails its health checks too is taken to have lost its connections, unless nothing of its zone is
        // heard: balancers on the other side of a partition may still serve the flow.
        let is_down = host.is_some_and(|host| self.is_down_alone(place, host));
        if is_bare && !is_down {
            // A target answers no bare acknowledgement of a connection that it knows, so it has probably arrived.
            self.remove(now, place.key, slot);
            return;
        }
        if let Some(Hold { phase: Phase::Probe(probe), .. }) = self.holds.get_mut(slot) {
            probe.advance(is_down);
        }
        self.ask(now, place, slot, outlet);
    }

    /// Returns true when a host is down while another host of the service in its zone answers.
    fn is_down_alone(&self, place: &Place, host: Ipv4Addr) -> bool {
        let state = |host: &Ipv4Addr| self.hosts.get(host).map(|host| host.state);
        let Some(service) = self.config.as_ref().and_then(|config| config.services.get(place.service.0 as usize))
        else {
            return false;
        };
        let zone = service.targets.iter().find(|target| target.address == host).map(|target| &target.zone);
        let mut others = service.targets.iter().filter(|target| Some(&target.zone) == zone);
        let is_heard =
            |host: &Ipv4Addr| state(host).is_some_and(|state| !matches!(state, HostState::Down | HostState::Unknown));
        state(&host) == Some(HostState::Down) && others.any(|target| is_heard(&target.address))
    }

    /// Handles a further packet of a caller while its flow is under probe.
    pub(super) fn wait_for_probe(
        &mut self,
        now: Time,
        place: &Place,
        slot: Slot,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        if packet.kind == Kind::Reset {
            self.remove(now, place.key, slot);
            return self.discard(packet, Reason::UnknownFlow, outlet);
        }
        if !self.holds.push(slot, packet) {
            self.discard(packet, Reason::HoldFull, outlet);
        }
    }

    /// Handles a packet of a target while its flow is under probe.
    pub(super) fn answer_probe(
        &mut self,
        now: Time,
        place: &Place,
        slot: Slot,
        target: Ipv4Addr,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        let is_reset = packet.kind == Kind::Reset;
        let first = self.holds.get(slot).and_then(|hold| hold.packets.front());
        if !is_reset && first.is_some_and(|held| recovery::is_same_connection(&held.view(), packet)) {
            return self.found(now, place, slot, target, packet, outlet);
        }
        self.discard(packet, if is_reset { Reason::StrayReset } else { Reason::WrongTarget }, outlet);
        if let Some(Hold { phase: Phase::Probe(probe), .. }) = self.holds.get_mut(slot)
            && probe.current() == Some(target)
        {
            probe.advance(true);
            self.ask(now, place, slot, outlet);
        }
    }

    /// The flow under probe belongs to `target`.
    fn found(
        &mut self,
        now: Time,
        place: &Place,
        slot: Slot,
        target: Ipv4Addr,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        let Some(Hold { packets, phase: Phase::Probe(probe), .. }) = self.holds.remove(slot) else { return };
        let was_asked = probe.current() == Some(target);
        self.table.remove(slot);
        let Some(slot) = self.learn(now, place, target, packet) else { return };
        self.note_answer(now, place, slot, packet);
        self.send_caller(packet, outlet);
        for held in packets.iter().skip(usize::from(was_asked)) {
            self.forward(now, place, slot, &held.view(), outlet);
        }
    }

    /// A deadline of held packets passed: of an opening or of a probe.
    pub(super) fn overdue(&mut self, now: Time, slot: Slot, outlet: &mut dyn Outlet) {
        let Some(entry) = self.table.at(slot).copied() else { return };
        let Ok(place) = self.locate(&entry.flow) else { return };
        match entry.stage {
            Stage::Pending => {
                // The target is not reset: the caller may have completed the handshake through another balancer.
                let end = if self.is_shared(now) { End::Closed } else { End::Unanswered };
                self.retry(now, &place, slot, end, outlet);
            }
            Stage::Probing => self.skip(now, &place, slot, outlet),
            _ => {}
        }
    }
}

const fn is_bare(packet: &View<'_>) -> bool {
    !packet.has_payload() && matches!(packet.kind, Kind::Data)
}
