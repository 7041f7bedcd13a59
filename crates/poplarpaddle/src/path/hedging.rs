//! Hedged openings: sending a copy to a second host, choosing between the answers and ending the attempt that lost.
//!
//! The host that loses is reset only after the caller has acknowledged the other one: while views differ, another
//! balancer may have passed on the SYN-ACK of the host that loses here, and the caller may be connected to it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::Ipv4Addr;

use super::{Engine, Outlet, Reason};
use crate::admission::End;
use crate::flow::{Entry, Flag, Slot, Stage};
use crate::hedge::{Policy, Refusal, Settings};
use crate::map::{self, Map};
use crate::ownership::Location;
use crate::packet::{Flow, Kind, View};
use crate::placement::Candidates;
use crate::recovery;
use crate::time::Time;

/// State of the attempt that is not the one in the flow's entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    /// Neither host has answered.
    Hedge,
    /// The flow is bound to the other host. The gate still counts the attempt, to notice a host without an answer.
    Loser,
    /// The loser accepted the opening and is reset once the caller has acknowledged the other host.
    Accepted,
}

/// An opening that was sent to a host other than the one in the flow's entry.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    target: Ipv4Addr,
    /// Sequence number of the opening.
    sequence: u32,
    priority: u8,
    /// Key of the shard whose gate counts the attempt.
    key: u64,
    started: Time,
    role: Role,
}

impl Attempt {
    const fn answers(&self, packet: &View<'_>) -> bool {
        packet.acknowledgement == 0 || packet.acknowledgement == self.sequence.wrapping_add(1)
    }
}

/// What a timer ends. `started` tells the opening apart from later ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Wait {
    /// The delay after which the opening in `slot` is hedged.
    Delay { slot: Slot, started: Time },
    /// The time in which the second host of a flow must answer.
    Answer { flow: Flow, started: Time },
}

/// The hedges of an engine.
#[derive(Debug)]
pub(super) struct Hedges {
    settings: Settings,
    /// Policies by the keys of the shards. An owner measures its own openings, so no messages are needed.
    policies: BTreeMap<u64, Policy>,
    attempts: Map<Flow, Attempt>,
    timers: BinaryHeap<Reverse<(Time, Wait)>>,
}

impl Hedges {
    pub(super) fn new(settings: Settings, seed: u64) -> Self {
        Self { settings, policies: BTreeMap::new(), attempts: map::seeded(seed), timers: BinaryHeap::new() }
    }

    /// Returns the next deadline. It may be the deadline of an opening that was answered.
    pub(super) fn deadline(&self) -> Time {
        self.timers.peek().map_or(Time::NEVER, |Reverse((time, _))| *time)
    }

    /// Returns the second host of an opening that no host has answered.
    pub(super) fn second_host(&self, flow: &Flow) -> Option<Ipv4Addr> {
        self.attempts.get(flow).filter(|attempt| attempt.role == Role::Hedge).map(|attempt| attempt.target)
    }

    pub(super) fn retain_policies(&mut self, is_owned: impl Fn(u64) -> bool) {
        self.policies.retain(|key, _| is_owned(*key));
    }

    fn policy(&mut self, key: u64) -> &mut Policy {
        let settings = self.settings;
        self.policies.entry(key).or_insert_with(|| Policy::new(settings))
    }

    fn set_timer(&mut self, time: Time, wait: Wait) {
        self.timers.push(Reverse((time, wait)));
    }

    fn pop_due(&mut self, now: Time) -> Option<Wait> {
        let Reverse((time, wait)) = *self.timers.peek()?;
        if !now.reached(time) {
            return None;
        }
        self.timers.pop();
        Some(wait)
    }

    fn remove_if(&mut self, flow: &Flow, condition: impl Fn(&Attempt) -> bool) -> Option<Attempt> {
        self.attempts.get(flow).copied().filter(condition)?;
        self.attempts.remove(flow)
    }
}

impl Engine {
    /// Returns true when openings of the flow may be hedged: the setting is on and its port is marked as idempotent.
    fn is_hedged(&self, location: &Location, flow: &Flow) -> bool {
        if !self.hedges.settings.is_enabled() || location.owner != Some(self.me) {
            return false;
        }
        let service = self.config.as_ref().and_then(|config| config.services.get(location.service.0 as usize));
        let mut ports = service.into_iter().flat_map(|service| &service.ports);
        ports.any(|port| port.port == flow.service.port() && port.idempotent)
    }

    /// Starts the delay after which an opening that was just sent is hedged.
    pub(super) fn schedule_hedge(&mut self, now: Time, location: &Location, slot: Slot, flow: &Flow) {
        if !self.is_hedged(location, flow) {
            return;
        }
        let Some(delay) = self.hedges.policy(location.key).delay() else { return };
        // A retry follows after the timeout anyway.
        if delay < self.timings.opening_timeout {
            self.hedges.set_timer(now + delay, Wait::Delay { slot, started: now });
        }
    }

    /// Hedges the openings whose delay has passed, and ends the attempts that were not answered in time.
    pub(super) fn run_hedges(&mut self, now: Time, outlet: &mut dyn Outlet) {
        while let Some(wait) = self.hedges.pop_due(now) {
            match wait {
                Wait::Delay { slot, started } => self.hedge(now, slot, started, outlet),
                Wait::Answer { flow, started } => self.end_unanswered(now, &flow, started),
            }
        }
    }

    /// Sends a copy of an unanswered opening to a second host.
    fn hedge(&mut self, now: Time, slot: Slot, started: Time, outlet: &mut dyn Outlet) {
        let is_unanswered = |entry: &Entry| entry.stage == Stage::Pending && entry.started == started;
        let Some(entry) = self.table.get(slot).copied().filter(is_unanswered) else { return };
        let Ok(location) = self.locate(&entry.flow) else { return };
        // While views differ, the caller may be connected through another balancer already.
        if self.is_shared(now) || !self.is_hedged(&location, &entry.flow) || !entry.has(Flag::Held) {
            return;
        }
        // An attempt of an earlier connection from the same caller port may still be recorded.
        if self.hedges.attempts.contains_key(&entry.flow) {
            return;
        }
        let Some(target) = self.choose_second_host(now, &location, &entry) else { return };
        let role = Role::Hedge;
        let (sequence, priority, key) = (entry.opening_sequence, entry.priority, location.key);
        self.hedges.attempts.insert(entry.flow, Attempt { target, sequence, priority, key, started: now, role });
        self.hedges.set_timer(now + self.timings.opening_timeout, Wait::Answer { flow: entry.flow, started: now });
        let Some(opening) = self.hold_buffer.get(slot).and_then(|queue| queue.packets.front()) else { return };
        self.counters.hedges += 1;
        self.counters.to_target += 1;
        outlet.to_target(target, &opening.view());
    }

    /// Chooses the second host of an opening and starts the work there, if room and budget allow it.
    fn choose_second_host(&mut self, now: Time, location: &Location, entry: &Entry) -> Option<Ipv4Addr> {
        let candidates = self.second_candidates(location, entry);
        let gate = &mut self.shards.get_mut(location.key)?.gate;
        let Some(host) = gate.spare_host(now, &candidates) else {
            self.counters.hedges_without_room += 1;
            return None;
        };
        match self.hedges.policy(location.key).check(gate.room()) {
            Ok(()) => {
                gate.adopt(now, host);
                return Some(host);
            }
            Err(Refusal::NoRoom) => self.counters.hedges_without_room += 1,
            Err(Refusal::Budget) => self.counters.hedges_over_budget += 1,
        }
        None
    }

    /// Returns the hosts other than that of the entry, those of other zones first: what slows a host down may affect
    /// its zone.
    fn second_candidates(&self, location: &Location, entry: &Entry) -> Candidates {
        let mut hosts = self.candidates(location, &entry.flow, Some(entry.target));
        hosts.retain(|host| *host != entry.target);
        let Some(config) = &self.config else { return hosts };
        let targets = &config.services[location.service.0 as usize].targets;
        let zone = |host| targets.iter().find(|target| target.address == host).map(|target| &target.zone);
        let first = zone(entry.target);
        hosts.sort_by_key(|host| zone(*host) == first);
        hosts
    }

    /// Accounts for the accepted opening of an entry. A second attempt of the same opening has lost.
    pub(super) fn record_accepted(&mut self, now: Time, location: &Location, slot: Slot) {
        let Some(entry) = self.table.get(slot) else { return };
        let (flow, elapsed) = (entry.flow, now.since(entry.started));
        if self.is_hedged(location, &flow) {
            self.hedges.policy(location.key).record_accept(elapsed);
        }
        if let Some(attempt) = self.hedges.attempts.get_mut(&flow)
            && attempt.role == Role::Hedge
        {
            attempt.role = Role::Loser;
        }
    }

    /// Handles a packet of the host whose attempt is not the one in the flow's entry. Returns false for other packets.
    pub(super) fn handle_second_answer(
        &mut self,
        now: Time,
        location: &Location,
        target: Ipv4Addr,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) -> bool {
        let Some(attempt) = self.hedges.attempts.get(&packet.flow).copied() else { return false };
        if attempt.target != target {
            return false;
        }
        match (packet.kind, attempt.role) {
            (Kind::Accept, Role::Hedge) if attempt.answers(packet) => {
                self.bind_second(now, location, attempt, packet, outlet);
            }
            (Kind::Accept, Role::Loser) if attempt.answers(packet) => {
                self.handle_late_accept(now, location, attempt, packet, outlet);
            }
            (Kind::Reset, _) if attempt.answers(packet) => {
                self.end_attempt(now, &packet.flow, End::Shed);
                self.discard(packet, Reason::StrayReset, outlet);
            }
            // The host has an older connection from the same caller port, or the caller is connected to it through
            // another balancer.
            (Kind::Data | Kind::Closing, _) => {
                self.end_attempt(now, &packet.flow, End::Closed);
                return false;
            }
            _ => return false,
        }
        true
    }

    /// Binds a flow to the second host of its opening, which answered first.
    fn bind_second(
        &mut self,
        now: Time,
        location: &Location,
        attempt: Attempt,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        let Some(slot) = self.table.find(&packet.flow) else { return };
        let Some(entry) = self.table.get_mut(slot) else { return };
        let (target, started) = (entry.target, entry.started);
        entry.target = attempt.target;
        entry.started = attempt.started;
        self.hedges.attempts.insert(packet.flow, Attempt { target, started, role: Role::Loser, ..attempt });
        self.hedges.set_timer(started + self.timings.opening_timeout, Wait::Answer { flow: packet.flow, started });
        self.counters.hedges_won += 1;
        self.bind(now, location, slot, packet);
        self.send_caller(packet, outlet);
    }

    /// Handles the SYN-ACK of the host that lost, which must not reach the caller.
    fn handle_late_accept(
        &mut self,
        now: Time,
        location: &Location,
        attempt: Attempt,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        self.hedges.policy(location.key).record_late_accept(now.since(attempt.started));
        self.end_attempt(now, &packet.flow, End::Closed);
        self.discard(packet, Reason::WrongTarget, outlet);
        let entry = self.table.find(&packet.flow).and_then(|slot| self.table.get(slot));
        if entry.is_some_and(|entry| entry.stage == Stage::Accepted) {
            self.hedges.attempts.insert(packet.flow, Attempt { role: Role::Accepted, ..attempt });
        } else {
            self.reset_unused(location, attempt.target, packet, outlet);
        }
    }

    /// Resets a host that accepted an opening whose caller is connected to another host.
    pub(super) fn reset_unused(
        &self,
        location: &Location,
        target: Ipv4Addr,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        let entry = self.table.find(&packet.flow).and_then(|slot| self.table.get(slot));
        let is_unused = |entry: &Entry| {
            entry.stage == Stage::Confirmed
                && entry.has(Flag::OpeningSeen)
                && entry.target != target
                && packet.acknowledgement != 0
                && recovery::answers_opening(entry, packet)
        };
        let is_enabled = self.hedges.settings.is_enabled();
        if entry.is_some_and(is_unused) && is_enabled && self.is_allowed(location, target, &packet.flow) {
            outlet.reset_target(target, &packet.flow, packet.acknowledgement);
        }
    }

    /// Resets the host that lost, after the caller has acknowledged the SYN-ACK of the other one.
    pub(super) fn reset_loser(&mut self, location: &Location, flow: &Flow, outlet: &mut dyn Outlet) {
        let accepted = |attempt: &Attempt| attempt.role == Role::Accepted;
        let Some(attempt) = self.hedges.remove_if(flow, accepted) else { return };
        if self.is_allowed(location, attempt.target, flow) {
            outlet.reset_target(attempt.target, flow, attempt.sequence.wrapping_add(1));
        }
    }

    /// Continues an opening that failed at its first host with the attempt at the second one. Returns false if there is
    /// none.
    pub(super) fn continue_with_hedge(&mut self, slot: Slot) -> bool {
        let Some(entry) = self.table.get_mut(slot) else { return false };
        let Some(attempt) = self.hedges.remove_if(&entry.flow, |attempt| attempt.role == Role::Hedge) else {
            return false;
        };
        entry.target = attempt.target;
        entry.started = attempt.started;
        entry.set(Flag::Working);
        self.hold_buffer.set_deadline(slot, attempt.started + self.timings.opening_timeout);
        true
    }

    /// Ends the second attempt of an opening whose flow is removed before it was bound.
    pub(super) fn cancel_hedge(&mut self, now: Time, flow: &Flow) {
        if self.hedges.second_host(flow).is_some() {
            self.end_attempt(now, flow, End::Closed);
        }
    }

    /// Ends all second attempts, before the gates change. A SYN-ACK that is still under way is then discarded, and the
    /// host is reset when it repeats it.
    pub(super) fn end_all_attempts(&mut self, now: Time) {
        let mut flows: Vec<Flow> = self.hedges.attempts.keys().copied().collect();
        flows.sort_unstable();
        for flow in flows {
            self.end_attempt(now, &flow, End::Closed);
        }
        self.hedges.timers.clear();
    }

    fn end_unanswered(&mut self, now: Time, flow: &Flow, started: Time) {
        if self.hedges.attempts.get(flow).is_some_and(|attempt| attempt.started == started) {
            let end = if self.is_shared(now) { End::Closed } else { End::Unanswered };
            self.end_attempt(now, flow, end);
        }
    }

    /// Removes the second attempt of a flow and ends its work in the gate.
    fn end_attempt(&mut self, now: Time, flow: &Flow, end: End) {
        let Some(attempt) = self.hedges.attempts.remove(flow) else { return };
        if attempt.role != Role::Accepted
            && let Some(shard) = self.shards.get_mut(attempt.key)
        {
            shard.finish_attempt(now, attempt.target, usize::from(attempt.priority), end);
        }
    }
}
