//! Probing of the candidate targets of a flow without an entry.

use std::net::Ipv4Addr;

use super::hold::{Phase, Queue};
use super::{Engine, Outlet, Reason};
use crate::admission::End;
use crate::flow::{Entry, Flag, Slot, Stage};
use crate::ownership::Location;
use crate::packet::{Kind, View};
use crate::placement;
use crate::recovery::{self, Probe};
use crate::time::Time;
use crate::view::HostState;

impl Engine {
    /// Starts to probe the candidates of a flow with `packet`.
    pub(super) fn probe(&mut self, now: Time, location: &Location, packet: &View<'_>, outlet: &mut dyn Outlet) {
        let Some(config) = &self.config else { return };
        let candidates = placement::probe_candidates(config, &self.hosts, location, packet.flow.service.port());
        if candidates.is_empty() {
            return self.discard(packet, Reason::NoTarget, outlet);
        }
        // A misplaced target is not probed, but may hold the connection, since its report may be wrong.
        let is_partial = candidates.len() < config.services[location.service.0 as usize].targets.len();
        if !self.hold_buffer.has_capacity(packet) || !self.ensure_capacity(now) {
            return self.discard(packet, Reason::HoldFull, outlet);
        }
        let mut entry = Entry::new(packet.flow, Stage::Probing, candidates[0], now);
        entry.set(Flag::Held);
        let Some(slot) = self.table.insert(entry) else { return };
        self.counters.probed += 1;
        self.hold_buffer.insert(slot, packet, Phase::Probe(Probe::new(candidates, is_partial)), None);
        self.send_probe(now, location, slot, outlet);
    }

    /// Sends the first held packet to the current candidate, or ends the probe after the last one.
    fn send_probe(&mut self, now: Time, location: &Location, slot: Slot, outlet: &mut dyn Outlet) {
        let Some(Queue { packets, phase: Phase::Probe(probe), .. }) = self.hold_buffer.get(slot) else { return };
        let Some(host) = probe.current() else { return self.finish_probe(now, location, slot, outlet) };
        let Some(held) = packets.front() else { return };
        if !self.is_allowed(location, host, &held.view().flow) {
            return self.skip_disallowed(now, location, slot, outlet);
        }
        self.counters.probes += 1;
        self.counters.to_target += 1;
        outlet.to_target(host, &held.view());
        self.hold_buffer.set_deadline(slot, now + self.timings.probe_timeout);
    }

    /// Skips the current candidate, which must not receive packets of the service any more.
    fn skip_disallowed(&mut self, now: Time, location: &Location, slot: Slot, outlet: &mut dyn Outlet) {
        if let Some(Queue { phase: Phase::Probe(probe), .. }) = self.hold_buffer.get_mut(slot) {
            probe.advance(false);
        }
        self.send_probe(now, location, slot, outlet);
    }

    /// Ends a probe that found no target. Resets the flow at the caller if every target denied it, and drops the held packets
    /// otherwise.
    fn finish_probe(&mut self, now: Time, location: &Location, slot: Slot, outlet: &mut dyn Outlet) {
        let Some(Queue { packets, phase: Phase::Probe(probe), .. }) = self.hold_buffer.remove(slot) else { return };
        self.remove(now, location.key, slot);
        let Some(first) = packets.front() else { return };
        if probe.is_unrecoverable() {
            return self.reset_caller(&first.view(), Reason::Unrecoverable, outlet);
        }
        // A candidate that did not answer may hold the connection. The caller's retransmission starts a new probe.
        for held in &packets {
            self.discard(&held.view(), Reason::UnknownFlow, outlet);
        }
    }

    /// Continues with the next candidate after the current one did not answer in time.
    fn handle_probe_timeout(&mut self, now: Time, location: &Location, slot: Slot, outlet: &mut dyn Outlet) {
        let Some(Queue { packets, phase: Phase::Probe(probe), .. }) = self.hold_buffer.get(slot) else { return };
        let is_bare = packets.front().is_some_and(|held| is_bare_acknowledgement(&held.view()));
        let host = probe.current();
        // A host that fails its health checks too is assumed to have lost its connections, unless no other target in its
        // zone answers them: balancers on the other side of a partition may still serve the flow.
        let is_down = host.is_some_and(|host| self.is_isolated_failure(location, host));
        if is_bare && !is_down {
            // A target does not answer a bare acknowledgement of a connection that it knows, so the packet has probably
            // reached the right target.
            self.remove(now, location.key, slot);
            return;
        }
        if let Some(Queue { phase: Phase::Probe(probe), .. }) = self.hold_buffer.get_mut(slot) {
            probe.advance(is_down);
        }
        self.send_probe(now, location, slot, outlet);
    }

    /// Returns true when `host` is down while another target of the service in its zone answers health checks.
    fn is_isolated_failure(&self, location: &Location, host: Ipv4Addr) -> bool {
        let state = |host: &Ipv4Addr| self.hosts.get(host).map(|host| host.state);
        let Some(service) = self.config.as_ref().and_then(|config| config.services.get(location.service.0 as usize))
        else {
            return false;
        };
        let zone = service.targets.iter().find(|target| target.address == host).map(|target| &target.zone);
        let mut zone_targets = service.targets.iter().filter(|target| Some(&target.zone) == zone);
        let is_reachable =
            |host: &Ipv4Addr| state(host).is_some_and(|state| !matches!(state, HostState::Down | HostState::Unknown));
        state(&host) == Some(HostState::Down) && zone_targets.any(|target| is_reachable(&target.address))
    }

    /// Handles another packet of a caller while its flow is under probe.
    pub(super) fn hold_behind_probe(
        &mut self,
        now: Time,
        location: &Location,
        slot: Slot,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        if packet.kind == Kind::Reset {
            self.remove(now, location.key, slot);
            return self.discard(packet, Reason::UnknownFlow, outlet);
        }
        if !self.hold_buffer.push(slot, packet) {
            self.discard(packet, Reason::HoldFull, outlet);
        }
    }

    /// Handles a packet of a target while its flow is under probe.
    pub(super) fn handle_probe_answer(
        &mut self,
        now: Time,
        location: &Location,
        slot: Slot,
        target: Ipv4Addr,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        let is_reset = packet.kind == Kind::Reset;
        let first = self.hold_buffer.get(slot).and_then(|queue| queue.packets.front());
        if !is_reset && first.is_some_and(|held| recovery::is_same_connection(&held.view(), packet)) {
            return self.bind_probed(now, location, slot, target, packet, outlet);
        }
        self.discard(packet, if is_reset { Reason::StrayReset } else { Reason::WrongTarget }, outlet);
        if let Some(Queue { phase: Phase::Probe(probe), .. }) = self.hold_buffer.get_mut(slot)
            && probe.current() == Some(target)
        {
            probe.advance(true);
            self.send_probe(now, location, slot, outlet);
        }
    }

    /// Binds the flow under probe to `target`, which answered for the connection, and forwards the held packets.
    fn bind_probed(
        &mut self,
        now: Time,
        location: &Location,
        slot: Slot,
        target: Ipv4Addr,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        let Some(Queue { packets, phase: Phase::Probe(probe), .. }) = self.hold_buffer.remove(slot) else { return };
        let was_probed = probe.current() == Some(target);
        self.table.remove(slot);
        let Some(slot) = self.learn(now, location, target, packet) else { return };
        self.track_answer(now, location, slot, packet);
        self.send_caller(packet, outlet);
        for held in packets.iter().skip(usize::from(was_probed)) {
            self.forward(now, location, slot, &held.view(), outlet);
        }
    }

    /// Handles the passed deadline of held packets: an opening or a probe was not answered in time.
    pub(super) fn handle_hold_timeout(&mut self, now: Time, slot: Slot, outlet: &mut dyn Outlet) {
        let Some(entry) = self.table.get(slot).copied() else { return };
        let Ok(location) = self.locate(&entry.flow) else { return };
        match entry.stage {
            Stage::Pending => {
                // The target is not reset, because the caller may have completed the handshake through another balancer.
                let end = if self.is_shared(now) { End::Closed } else { End::Unanswered };
                self.retry_opening(now, &location, slot, end, outlet);
            }
            Stage::Probing => self.handle_probe_timeout(now, &location, slot, outlet),
            _ => {}
        }
    }
}

const fn is_bare_acknowledgement(packet: &View<'_>) -> bool {
    !packet.has_payload() && matches!(packet.kind, Kind::Data)
}
