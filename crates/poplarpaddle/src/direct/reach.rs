//! Detection of hosts that are unreachable, and the end of the flows that are open there.
//!
//! The answers of hosts bypass the balancer, so a host that has gone silent looks like one that is busy. An opening that
//! stays unanswered can be sent to another host, but a request on an established flow would wait for its caller's
//! timeout. The engine therefore checks a host by a connection attempt as soon as it has a reason to doubt it. The flows
//! of a host that fails the check are reset if their requests may run twice, so that their callers repeat them elsewhere.
//!
//! # Trade-offs
//!
//! A reset of a flow whose host is well does more harm than a late one of a flow whose host is gone. A failed check
//! therefore counts only once another host has answered an opening that was sent after the check had begun. Otherwise the
//! balancer's own link may be the cause.

use std::time::Duration;

use super::engine::Entry;
use super::host::Index;
use super::{Basis, CheckId, Decision, Engine, Outlet, Reason, Verdict};
use crate::packet::{Flow, View};
use crate::time::Time;

/// Pause between two checks of a host; doubles with each further one that fails.
const INITIAL_PAUSE: Duration = Duration::from_millis(500);

/// Maximum pause between two checks. A host that returns is known to be reachable after this time at the latest.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Maximum number of checks in progress. The loss of a zone casts doubt on many hosts at once.
const MAX_CHECKS: usize = 16;

/// What the checks of a host have shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// There is no reason to doubt the host, or its last check succeeded.
    Trusted,
    /// A check that began at this time is in progress.
    Checking(Time),
    /// A check that began at this time failed, but no other host has answered since.
    Failed(Time),
    Unreachable,
}

/// Reachability of one host.
#[derive(Debug)]
pub(super) struct Reach {
    state: State,
    next_check: Time,
    pause: Duration,
}

impl Default for Reach {
    fn default() -> Self {
        Self { state: State::Trusted, next_check: Time::default(), pause: INITIAL_PAUSE }
    }
}

impl Reach {
    pub(super) fn is_unreachable(&self) -> bool {
        self.state == State::Unreachable
    }

    /// Records that the host is reachable, as an answer shows. Returns true when it was unreachable.
    pub(super) fn confirm(&mut self) -> bool {
        let was_unreachable = self.is_unreachable();
        *self = Self { next_check: self.next_check, ..Self::default() };
        was_unreachable
    }

    /// Returns true when a check may begin at `now`.
    fn is_due(&self, now: Time) -> bool {
        !matches!(self.state, State::Checking(_)) && now.reached(self.next_check)
    }

    /// Records that a check begins.
    fn begin(&mut self, now: Time) {
        self.next_check = now + self.pause;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        // The host stays unreachable until a check succeeds.
        if !self.is_unreachable() {
            self.state = State::Checking(now);
        }
    }
}

impl Engine {
    /// Records the result of the check `id`, which [`Outlet::check`] requested.
    pub fn checked(&mut self, now: Time, id: CheckId, is_reachable: bool, outlet: &mut dyn Outlet) {
        self.checks = self.checks.saturating_sub(1);
        let Some(host) = self.hosts.get_mut(id.0) else { return };
        if is_reachable {
            if host.reach.confirm() {
                outlet.record_event(now, "host.reachable", &host.name, "the host accepted a connection");
            }
            return;
        }
        if let State::Checking(since) = host.reach.state {
            // An answer that arrived meanwhile has more weight than the check.
            if host.last_answer >= since {
                host.reach.state = State::Trusted;
                return;
            }
            host.reach.state = State::Failed(since);
            let detail = format!("the check began {} ms ago", now.since(since).as_millis());
            outlet.record_event(now, "host.check_failed", &host.name, &detail);
            self.confirm_failed_checks(now, outlet);
        }
    }

    /// Begins a check of the host `index` unless one was made a moment ago.
    pub(super) fn doubt_host(&mut self, now: Time, index: Index, outlet: &mut dyn Outlet) {
        let Some(host) = self.hosts.get_mut(index) else { return };
        if self.checks >= MAX_CHECKS || !host.reach.is_due(now) {
            return;
        }
        host.reach.begin(now);
        self.checks += 1;
        outlet.check(CheckId(index), host.record.address);
    }

    /// Begins checks of the hosts in a zone that became unreachable, as far as flows of this balancer are open there.
    pub(super) fn doubt_zone(&mut self, now: Time, zone: usize, outlet: &mut dyn Outlet) {
        let hosts = &self.hosts;
        let is_in_zone = |index: &Index| hosts.get(*index).is_some_and(|host| host.zone == zone);
        let mut doubted: Vec<Index> = self.flows.values().map(|entry| entry.host).filter(is_in_zone).collect();
        doubted.sort_unstable();
        doubted.dedup();
        for index in doubted {
            self.doubt_host(now, index, outlet);
        }
    }

    /// Checks the registered hosts that are unreachable again.
    pub(super) fn recheck_hosts(&mut self, now: Time, outlet: &mut dyn Outlet) {
        let links = &self.links;
        let due = self.hosts.iter().filter(|(_, host)| {
            host.is_registered() && host.reach.is_unreachable() && !links[host.zone].is_down() && host.reach.is_due(now)
        });
        let due: Vec<Index> = due.map(|(index, _)| index).collect();
        for index in due {
            self.doubt_host(now, index, outlet);
        }
    }

    /// Records that a host answered an opening that was sent at `sent`, which shows that this balancer's own link works.
    pub(super) fn own_link_works(&mut self, now: Time, sent: Time, outlet: &mut dyn Outlet) {
        if now.since(sent) > self.settings.check_timeout {
            return;
        }
        self.last_prompt_answer = self.last_prompt_answer.max(sent);
        self.confirm_failed_checks(now, outlet);
    }

    /// Makes the hosts unreachable whose checks failed while the own link works, and resets their flows.
    fn confirm_failed_checks(&mut self, now: Time, outlet: &mut dyn Outlet) {
        let own_link_worked = self.last_prompt_answer;
        let failed = self.hosts.iter().filter_map(|(index, host)| match host.reach.state {
            State::Failed(since) if own_link_worked >= since => Some((index, since)),
            _ => None,
        });
        let confirmed: Vec<(Index, Time)> = failed.collect();
        for (index, since) in confirmed {
            let Some(host) = self.hosts.get_mut(index) else { continue };
            host.reach.state = State::Unreachable;
            let (age, lag) = (now.since(since).as_millis(), own_link_worked.since(since).as_millis());
            let detail =
                format!("the check that began {age} ms ago failed; another host answered what was sent {lag} ms after");
            outlet.record_event(now, "host.unreachable", &host.name, &detail);
            self.reset_flows(index, outlet);
        }
    }

    /// Resets the established flows at a host whose requests may run twice. Flows that the routers may have moved to
    /// another balancer are left out, because their callers' acknowledgement numbers are not known here.
    fn reset_flows(&mut self, index: Index, outlet: &mut dyn Outlet) {
        let (routes, settled) = (&self.routes, self.routers_settled);
        let may_reset = |(flow, entry): (&Flow, &Entry)| {
            let is_idempotent = routes.get(flow.service).is_some_and(|route| route.idempotent);
            let has_sent_request = entry.request_ack.is_some();
            let basis = Basis { sequence: entry.acknowledgement, seen: entry.last_packet };
            let is_here = basis.seen.reached(settled);
            (entry.host == index && is_idempotent && has_sent_request && is_here).then_some((*flow, basis))
        };
        let flows: Vec<(Flow, Basis)> = self.flows.iter().filter_map(may_reset).collect();
        for (flow, basis) in flows {
            self.reset_unreachable(flow, index, basis, outlet);
        }
    }

    /// Handles a packet of an established flow to the host `index` as far as that host is in doubt. Returns true when the
    /// packet was answered with a reset, because the host is unreachable and the request may run twice.
    pub(super) fn reset_if_unreachable(
        &mut self,
        now: Time,
        index: Index,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) -> bool {
        if !packet.has_payload() {
            return false;
        }
        let Some(host) = self.hosts.get(index) else { return false };
        let is_unreachable = host.reach.is_unreachable();
        let is_retransmission = self.flows.get(&packet.flow).is_some_and(|entry| {
            entry.request_ack == Some(packet.acknowledgement) && entry.request_sequence == packet.sequence
        });
        if is_unreachable || is_retransmission || self.links[host.zone].is_down() {
            self.doubt_host(now, index, outlet);
        }
        if !is_unreachable || !self.routes.get(packet.flow.service).is_some_and(|route| route.idempotent) {
            return false;
        }
        let basis = Basis { sequence: packet.acknowledgement, seen: now };
        self.reset_unreachable(packet.flow, index, basis, outlet);
        true
    }

    /// Resets a flow whose host `index` is unreachable.
    fn reset_unreachable(&mut self, flow: Flow, index: Index, basis: Basis, outlet: &mut dyn Outlet) {
        outlet.reset(&flow, basis.sequence);
        self.remove_flow(&flow);
        let name = self.hosts.get(index).map(|host| host.name.clone());
        let decision = Decision {
            host: name.as_deref(),
            basis: Some(basis),
            ..Decision::new(flow, Verdict::Reset, Some(Reason::Unreachable))
        };
        self.record_decision(&decision, outlet);
    }
}
