//! Detection of hosts that are unreachable, and the end of the flows that are open there.
//!
//! The answers of hosts bypass the balancer, so a host that has gone silent looks like one that is busy. An opening that
//! stays unanswered can be sent to another host, but a request on an established flow would wait for its caller's
//! timeout. The engine therefore checks a host by a connection attempt as soon as it has a reason to doubt it. The flows
//! of a host that fails the check are reset if their requests may run twice, so that their callers repeat them elsewhere.
//!
//! # Trade-offs
//!
//! A reset of a flow whose host works does more harm than a late reset of a flow whose host is gone. A failed check
//! therefore counts only if another host has answered an opening or request that was sent after the check had begun,
//! and within the timeout of the check. Otherwise the balancer's own link may be the cause: answers after that time
//! show only that the link works again. A host is unreachable for three seconds at most, unless it fails a further
//! check.
//!
//! A request that must not run twice may have run, and a late answer is worth more to its caller than a reset. Flows
//! with such requests are reset only when their host has ended for certain: its registration has ended as well, or
//! another host is registered at its address. The reset of an idle flow loses no request, since its caller opens the
//! next flow elsewhere, and a caller that waits learns at once that no answer comes.

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

/// Time from the begin of a check for which its failure casts doubt on the host. A host that was only interrupted
/// answers again soon.
const DOUBT_TIME: Duration = Duration::from_secs(1);

/// Time from the begin of a failed check for which the host counts as unreachable. It covers the longest pause between two
/// checks.
const VERDICT_TIME: Duration = Duration::from_secs(3);

/// Progress of the latest check of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// No check is in progress, and the latest one succeeded, was confirmed or is out of date.
    Idle,
    /// A check is in progress.
    Checking,
    /// The check failed, and the host is in doubt until this time.
    Failed(Time),
}

/// Reachability of one host.
#[derive(Debug)]
pub(super) struct Reach {
    state: State,
    /// When the latest check began.
    checked: Time,
    /// When the opening or request was sent that another host answered while the latest check ran; none without such an
    /// answer.
    other_answered: Option<Time>,
    /// Time until which the host counts as unreachable, [`Time::default()`] while it does not.
    unreachable_until: Time,
    next_check: Time,
    pause: Duration,
}

impl Default for Reach {
    fn default() -> Self {
        Self {
            state: State::Idle,
            checked: Time::default(),
            other_answered: None,
            unreachable_until: Time::default(),
            next_check: Time::default(),
            pause: INITIAL_PAUSE,
        }
    }
}

impl Reach {
    pub(super) fn is_unreachable(&self, now: Time) -> bool {
        !now.reached(self.unreachable_until)
    }

    /// Returns true when the host is unreachable according to a check that began at `time` or later.
    pub(super) fn is_unreachable_since(&self, now: Time, time: Time) -> bool {
        self.is_unreachable(now) && self.unreachable_until >= time + VERDICT_TIME
    }

    /// Records that the host is reachable, as an answer shows. Returns true when it was unreachable.
    pub(super) fn confirm(&mut self, now: Time) -> bool {
        let was_unreachable = self.is_unreachable(now);
        *self = Self { next_check: self.next_check, ..Self::default() };
        was_unreachable
    }

    /// Records that the host answered a request that was sent at `sent`. Returns true when it was unreachable.
    pub(super) fn answered(&mut self, now: Time, sent: Time) -> bool {
        sent >= self.checked && self.confirm(now)
    }

    /// Returns true when the time until which the host counts as unreachable has passed, and clears it.
    fn has_lapsed(&mut self, now: Time) -> bool {
        let has_lapsed = self.unreachable_until != Time::default() && !self.is_unreachable(now);
        if has_lapsed {
            self.unreachable_until = Time::default();
        }
        has_lapsed
    }

    /// Returns true while a check is in progress or has failed and may still be confirmed, if another host has answered what
    /// was sent after it had begun. `last_answer` is when the latest opening or request was sent that was answered.
    pub(super) fn is_doubted(&self, now: Time, last_answer: Time) -> bool {
        (self.state == State::Checking || self.has_failed(now)) && last_answer >= self.checked
    }

    /// Records that another host answered what was sent at `sent`. Only an answer within `timeout`, the timeout of the
    /// check, shows that the balancer's own link worked during the check.
    fn record_other_answer(&mut self, now: Time, sent: Time, timeout: Duration) {
        if sent >= self.checked && !now.reached(self.checked + timeout) {
            self.other_answered = Some(sent);
        }
    }

    /// Returns true while the check in progress, or the latest one if it failed, may still be confirmed.
    fn is_open(&self, now: Time, timeout: Duration) -> bool {
        let may_be_confirmed = self.other_answered.is_some() || !now.reached(self.checked + timeout);
        self.state == State::Checking || (self.has_failed(now) && may_be_confirmed)
    }

    /// Returns when the opening or request was sent whose answer confirms the failure of the latest check; none if the
    /// failure is not confirmed.
    fn confirmation(&self, now: Time) -> Option<Time> {
        self.other_answered.filter(|_| self.has_failed(now))
    }

    /// Returns true when the latest check failed a short time ago.
    pub(super) fn has_failed(&self, now: Time) -> bool {
        matches!(self.state, State::Failed(until) if !now.reached(until))
    }

    /// Returns true when a check may begin at `now`.
    fn is_due(&self, now: Time) -> bool {
        self.state != State::Checking && now.reached(self.next_check)
    }

    /// Records that a check begins.
    fn begin(&mut self, now: Time) {
        self.next_check = now + self.pause;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        self.checked = now;
        self.other_answered = None;
        self.state = State::Checking;
    }
}

impl Engine {
    /// Records the result of the check `id`, which [`Outlet::check`] requested.
    pub fn checked(&mut self, now: Time, id: CheckId, is_reachable: bool, outlet: &mut dyn Outlet) {
        self.checks = self.checks.saturating_sub(1);
        let Some(host) = self.hosts.get_mut(id.host) else { return };
        if is_reachable {
            if host.reach.confirm(now) {
                outlet.record_event(now, "host.reachable", &host.name, "the host accepted a connection");
            }
            return;
        }
        // The failure of an earlier check may concern a former process of the host.
        if host.reach.state != State::Checking || host.reach.checked != id.begun {
            return;
        }
        let until = host.reach.checked + DOUBT_TIME;
        // An answer that arrived meanwhile has more weight than the check.
        if host.last_answer >= host.reach.checked || now.reached(until) {
            host.reach.state = State::Idle;
            return;
        }
        host.reach.state = State::Failed(until);
        let detail = format!("the check began {} ms ago", now.since(host.reach.checked).as_millis());
        outlet.record_event(now, "host.check_failed", &host.name, &detail);
        self.confirm_failed_checks(now, outlet);
    }

    /// Begins a check of the host `index` unless one was made a moment ago.
    pub(super) fn doubt_host(&mut self, now: Time, index: Index, outlet: &mut dyn Outlet) {
        let Some(host) = self.hosts.get_mut(index) else { return };
        if self.checks >= MAX_CHECKS || !host.reach.is_due(now) {
            return;
        }
        host.reach.begin(now);
        self.checks += 1;
        if !self.open_checks.contains(&index) {
            self.open_checks.push(index);
        }
        outlet.check(CheckId { host: index, begun: now }, host.record.address);
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

    /// Checks the registered hosts that are unreachable again, and trusts those whose last failed check is out of date.
    pub(super) fn recheck_hosts(&mut self, now: Time, outlet: &mut dyn Outlet) {
        for host in self.hosts.iter_mut() {
            if host.reach.has_lapsed(now) {
                outlet.record_event(now, "host.reachable", &host.name, "its last failed check is out of date");
            }
        }
        let links = &self.links;
        let due = self.hosts.iter().filter(|(_, host)| {
            let is_known = host.is_registered() && host.reach.is_unreachable(now);
            is_known && !links[host.zone].is_down() && host.reach.is_due(now)
        });
        let due: Vec<Index> = due.map(|(index, _)| index).collect();
        for index in due {
            self.doubt_host(now, index, outlet);
        }
    }

    /// Records that a host answered an opening or request that was sent at `sent`, which shows that this balancer's own link
    /// works.
    pub(super) fn own_link_works(&mut self, now: Time, sent: Time, outlet: &mut dyn Outlet) {
        if now.since(sent) > self.settings.check_timeout {
            return;
        }
        self.last_prompt_answer = self.last_prompt_answer.max(sent);
        for index in &self.open_checks {
            if let Some(host) = self.hosts.get_mut(*index) {
                host.reach.record_other_answer(now, sent, self.settings.check_timeout);
            }
        }
        self.confirm_failed_checks(now, outlet);
    }

    /// Marks the hosts as unreachable whose checks failed while the balancer's own link worked, and resets their flows.
    fn confirm_failed_checks(&mut self, now: Time, outlet: &mut dyn Outlet) {
        let (hosts, timeout) = (&self.hosts, self.settings.check_timeout);
        self.open_checks.retain(|index| hosts.get(*index).is_some_and(|host| host.reach.is_open(now, timeout)));
        let confirmation = |index: &Index| Some((*index, hosts.get(*index)?.reach.confirmation(now)?));
        let confirmed: Vec<(Index, Time)> = self.open_checks.iter().filter_map(confirmation).collect();
        for (index, other_answered) in confirmed {
            let Some(host) = self.hosts.get_mut(index) else { continue };
            let since = host.reach.checked;
            let was_unreachable = host.reach.is_unreachable(now);
            host.reach.state = State::Idle;
            host.reach.unreachable_until = since + VERDICT_TIME;
            if was_unreachable {
                continue;
            }
            let (age, lag) = (now.since(since).as_millis(), other_answered.since(since).as_millis());
            let detail =
                format!("the check that began {age} ms ago failed; another host answered what was sent {lag} ms after");
            outlet.record_event(now, "host.unreachable", &host.name, &detail);
            self.reset_flows(now, &[index], outlet);
            self.expire_openings(now, |other, _| other == index);
        }
    }

    /// Resets the established flows at hosts that have ended for certain, and checks the other hosts whose registration
    /// has ended.
    pub(super) fn end_flows_of_left_hosts(&mut self, now: Time, outlet: &mut dyn Outlet) {
        let hosts = &self.hosts;
        if !hosts.iter().any(|(_, host)| host.has_left(now)) {
            return;
        }
        let has_left = |index: &Index| hosts.get(*index).is_some_and(|host| host.has_left(now));
        let open_at = self.flows.values().map(|entry| entry.host).chain(self.idle.hosts());
        let mut left: Vec<Index> = open_at.filter(has_left).collect();
        left.sort_unstable();
        left.dedup();
        self.hosts.mark_replaced(&left);
        let (gone, undecided): (Vec<Index>, Vec<Index>) = left.iter().partition(|index| self.is_gone(now, **index));
        self.reset_flows(now, &gone, outlet);
        for index in undecided {
            self.doubt_host(now, index, outlet);
        }
    }

    fn is_gone(&self, now: Time, index: Index) -> bool {
        self.hosts.get(index).is_some_and(|host| host.is_gone(now, self.links[host.zone].is_down()))
    }

    /// Resets the established flows at unreachable hosts, which are sorted, as far as their requests may run twice, and
    /// all others as well if the host has ended for certain: their requests get no answer any more. Flows that the
    /// routers may have moved to another balancer are left out, because their callers' acknowledgement numbers are not
    /// known here.
    fn reset_flows(&mut self, now: Time, hosts: &[Index], outlet: &mut dyn Outlet) {
        if hosts.is_empty() {
            return;
        }
        let gone: Vec<Index> = hosts.iter().copied().filter(|index| self.is_gone(now, *index)).collect();
        let is_gone = |index: Index| gone.binary_search(&index).is_ok();
        let (routes, settled) = (&self.routes, self.routers_settled);
        let may_reset = |(flow, entry): (&Flow, &Entry)| {
            let is_idempotent = || routes.get(flow.service).is_some_and(|route| route.idempotent);
            let ends = hosts.binary_search(&entry.host).is_ok() && (is_gone(entry.host) || is_idempotent());
            (ends && entry.request.is_some()).then_some((entry.host, *flow, entry.basis()))
        };
        let ended = self.flows.iter().filter_map(may_reset).chain(self.idle.take(&gone));
        let mut flows: Vec<(Index, Flow, Basis)> = ended.filter(|(.., basis)| basis.seen.reached(settled)).collect();
        flows.sort_unstable_by_key(|(index, ..)| *index);
        for at_host in flows.chunk_by(|(one, ..), (other, ..)| one == other) {
            let index = at_host[0].0;
            if is_gone(index) {
                self.record_end(now, index, at_host.len(), outlet);
            }
            for (_, flow, basis) in at_host {
                self.reset_unreachable(*flow, index, *basis, outlet);
            }
        }
    }

    /// Records the event that a host has ended for certain.
    fn record_end(&self, now: Time, index: Index, flows: usize, outlet: &mut dyn Outlet) {
        let Some(host) = self.hosts.get(index) else { return };
        let cause = if host.is_replaced { "another host has its address" } else { "it accepts no connection" };
        let detail = format!("its registration has ended and {cause}; {flows} flows are reset");
        outlet.record_event(now, "host.ended", &host.name, &detail);
    }

    /// Handles a packet of an established flow to the host `index` as far as that host is in doubt. Returns true when
    /// the packet was answered with a reset, because the host is unreachable and the request may run twice, or because
    /// the host has ended for certain.
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
        let is_unreachable = host.reach.is_unreachable(now);
        let request = self.flows.get(&packet.flow).and_then(|entry| entry.request);
        let is_retransmission = request.is_some_and(|request| request.is_copy(packet));
        let is_gone = self.is_gone(now, index);
        if is_unreachable || is_retransmission || host.has_left(now) || self.links[host.zone].is_down() {
            self.doubt_host(now, index, outlet);
        }
        let is_idempotent = self.routes.get(packet.flow.service).is_some_and(|route| route.idempotent);
        let may_reset = is_gone || (is_unreachable && is_idempotent);
        if !may_reset {
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
        self.idle.remove(&flow);
        let name = self.hosts.get(index).map(|host| host.name.clone());
        let decision = Decision {
            host: name.as_deref(),
            basis: Some(basis),
            ..Decision::new(flow, Verdict::Reset, Some(Reason::Unreachable))
        };
        self.record_decision(&decision, outlet);
    }
}
