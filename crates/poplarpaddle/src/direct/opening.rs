//! Handling of openings: placing, queueing, resending, moving and refusing them.

use std::cmp::Reverse;
use std::time::Duration;

use smallvec::SmallVec;

use super::engine::{Affinity, Entry};
use super::host::{Host, Index};
use super::queue::Opening;
use super::{Decision, Engine, Hop, Outlet, Reason, Verdict};
use crate::packet::{Flow, View};
use crate::time::Time;
use crate::waiting;

/// Number of hosts that [`Pending::tried`] stores without a heap allocation.
const TRIED_INLINE: usize = 4;

/// An opening that was sent to a host and is not known to be answered.
#[derive(Debug)]
pub(super) struct Pending {
    /// When it was first sent to the current host.
    sent: Time,
    /// When it counts as unanswered; [`Time::NEVER`] once the engine no longer resends it by itself.
    due: Time,
    /// Number of times that it was sent.
    attempts: u8,
    /// Number of times that its caller has retransmitted it through this balancer.
    copies: u8,
    /// True if there was evidence already that the current host is gone when the opening was first sent to it.
    is_trial: bool,
    /// True if the first packet that arrived here was already a retransmission by the caller, so that another balancer
    /// may have sent the opening to a host.
    is_copy: bool,
    /// Hosts that it was moved away from because they did not answer.
    tried: SmallVec<[Index; TRIED_INLINE]>,
    /// Bytes of the packet.
    bytes: SmallVec<[u8; 64]>,
}

impl Pending {
    /// Returns true when hosts other than the current one may have answered the opening too.
    pub(super) fn has_other_hosts(&self) -> bool {
        self.is_copy || !self.tried.is_empty()
    }
}

/// Event that makes the engine send an opening again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// The caller retransmitted the opening.
    Retransmission,
    /// No answer arrived in time.
    Timeout,
}

impl Engine {
    /// Places an opening on a host, queues it, or refuses it. Retransmissions go to the host of the flow.
    pub(super) fn handle_opening(&mut self, now: Time, packet: &View<'_>, outlet: &mut dyn Outlet) {
        let is_retransmission = self.flows.get(&packet.flow).is_some_and(|entry| entry.sequence == packet.sequence);
        if is_retransmission {
            return self.handle_retransmission(now, packet, outlet);
        }
        if self.queue.replace(&packet.flow, packet.sequence, packet.bytes) {
            return;
        }
        self.remove_flow(&packet.flow);
        let service = self.choose_service(&packet.flow).unwrap_or_default();
        let selected = self.select_host(now, &service, &[]);
        if selected.is_none() && !self.has_cold_host(now, &service) {
            return self.reset(packet, Reason::NoHost, outlet);
        }
        self.retries.deposit();
        let opening = Opening {
            flow: packet.flow,
            service,
            sequence: packet.sequence,
            acknowledgement: packet.acknowledgement,
            until: now + self.settings.queue_timeout,
            bytes: SmallVec::from_slice(packet.bytes),
        };
        let index = match selected {
            Some((index, true)) => return self.send_first(now, opening, index, outlet),
            Some(_) if self.comes_too_late(now, &opening) => return self.reset(packet, Reason::Late, outlet),
            Some((index, false)) => Some(index),
            None => {
                self.warmup.retry_soon(now);
                None
            }
        };
        match self.queue.push(self.priority_rank(packet.flow.service), opening) {
            None => {
                self.record_decision(&Decision::new(packet.flow, Verdict::Queued, None), outlet);
            }
            Some(opening) => self.leave_queue(now, opening, index, outlet),
        }
    }

    /// Returns true when the hosts, none of which has capacity, have so much work that a request on this flow could not
    /// start before its caller gives up. A copy of an opening, which callers count in its acknowledgement number, is
    /// always taken: another balancer may have placed an earlier one, and a reset would break the flow.
    fn comes_too_late(&mut self, now: Time, opening: &Opening) -> bool {
        let Some(route) = self.routes.get(opening.flow.service) else { return false };
        if route.timeout_ms == 0 || opening.acknowledgement > 0 {
            return false;
        }
        let (rank, timeout) = (route.rank, Duration::from_millis(u64::from(route.timeout_ms)));
        let sample = self.candidates(&opening.service);
        let backlog = u32::from(self.settings.limit.backlog);
        let accepts_new = |host: &Host| host.accepts_new(now) && !self.drains.excludes(now, host);
        let Some(load) = self.hosts.load(&opening.service, &sample, backlog, accepts_new) else { return false };
        let (of_rank, of_all) = self.queue.count(rank, &opening.service);
        let wait = |portion: u64, queued: u64| {
            waiting::expected_wait(load.service_time, portion, load.excess + queued, load.capacity)
        };
        // A less urgent opening leaves the queue in time too, so it waits no longer than for all the work ahead of it.
        let by_rank = wait(self.queue.portion(rank, &opening.service), of_rank);
        by_rank.min(wait(waiting::PORTION_ONE, of_all)) >= timeout
    }

    /// Sends an opening to a host for the first time.
    fn send_first(&mut self, now: Time, opening: Opening, index: Index, outlet: &mut dyn Outlet) {
        let Opening { flow, sequence, acknowledgement, bytes, .. } = opening;
        let pending = Pending {
            sent: now,
            due: now,
            attempts: 0,
            copies: 0,
            is_trial: self.may_be_gone(now, index),
            is_copy: acknowledgement != 0,
            tried: SmallVec::new(),
            bytes,
        };
        let pending = Some(Box::new(pending));
        let entry = Entry {
            host: index,
            affinity: Affinity::Mark,
            sequence,
            last_packet: now,
            busy: false,
            overdue: false,
            judged: false,
            request: None,
            acknowledgement: 0,
            pending,
        };
        self.send_opening(now, flow, entry, index, (Verdict::Placed, None), outlet);
    }

    /// Places queued openings on hosts that have capacity, the most urgent first, except that each rank keeps its
    /// share. Refuses those whose service has no host any more.
    pub(super) fn serve_queue(&mut self, now: Time, outlet: &mut dyn Outlet) {
        let mut full_services: Vec<String> = Vec::new();
        while let Some(opening) = self.queue.next_except(&full_services) {
            let (flow, service) = (opening.flow, opening.service.clone());
            let selected = self.select_host(now, &service, &[]);
            let is_held_back = selected.is_none() && self.has_cold_host(now, &service);
            if is_held_back {
                self.warmup.retry_soon(now);
            }
            if is_held_back || matches!(selected, Some((_, false))) {
                full_services.push(service);
                continue;
            }
            self.queue.record_start(&flow, &full_services);
            let Some(opening) = self.queue.remove(&flow) else { return };
            self.leave_queue(now, opening, selected.map(|(index, _)| index), outlet);
        }
    }

    /// Places openings whose time in the queue is over, although no host has capacity.
    pub(super) fn tick_queue(&mut self, now: Time, outlet: &mut dyn Outlet) {
        for flow in self.queue.expired(now) {
            let Some(opening) = self.queue.remove(&flow) else { continue };
            let selected = self.select_host(now, &opening.service, &[]);
            self.leave_queue(now, opening, selected.map(|(index, _)| index), outlet);
        }
    }

    /// Places all queued openings, because the balancer stops.
    pub fn stop(&mut self, now: Time, outlet: &mut dyn Outlet) {
        for flow in self.queue.flows() {
            let Some(opening) = self.queue.remove(&flow) else { continue };
            let selected = self.select_host(now, &opening.service, &[]);
            self.leave_queue(now, opening, selected.map(|(index, _)| index), outlet);
        }
    }

    /// Places an opening that left the queue on the host `index`, or refuses it if there is no host or its route is
    /// gone. A copy that only cold hosts could take is dropped, since their owners may have placed an earlier one.
    fn leave_queue(&mut self, now: Time, opening: Opening, index: Option<Index>, outlet: &mut dyn Outlet) {
        let reason = match (self.routes.get(opening.flow.service), index) {
            (Some(_), Some(index)) => return self.send_first(now, opening, index, outlet),
            (Some(_), None) if self.has_cold_host(now, &opening.service) => Reason::ColdHosts,
            (Some(_), None) => Reason::NoHost,
            (None, _) => Reason::UnknownRoute,
        };
        if reason == Reason::ColdHosts && opening.acknowledgement > 0 {
            return self.drop_packet(opening.flow, reason, outlet);
        }
        outlet.reset(&opening.flow, opening.acknowledgement);
        self.record_decision(&Decision::new(opening.flow, Verdict::Refused, Some(reason)), outlet);
    }

    /// Records that the host `index` answered a pending opening, as a packet of the caller shows.
    pub(super) fn opening_answered(&mut self, now: Time, entry: &Entry, index: Index, outlet: &mut dyn Outlet) {
        let Some(pending) = &entry.pending else { return };
        let Some(host) = self.hosts.get_mut(index) else { return };
        let was_silent = host.unanswered > 1;
        host.unanswered = 0;
        host.last_answer = now;
        host.limit.record_accept();
        let was_unreachable = host.reach.confirm(now);
        let zone = host.zone;
        if was_silent || was_unreachable {
            outlet.record_event(now, "host.answers", &host.name, "an opening was answered");
        }
        if pending.attempts == 1 {
            self.links[zone].sample(now.since(pending.sent));
            self.own_link_works(now, pending.sent, outlet);
        }
        self.confirm_zone(now, zone, "an opening was answered", outlet);
    }

    /// Resends the openings that were not answered in time.
    pub(super) fn tick_openings(&mut self, now: Time, outlet: &mut dyn Outlet) {
        while let Some(Reverse((due, flow))) = self.timers.peek().copied() {
            if !now.reached(due) {
                return;
            }
            self.timers.pop();
            let pending = self.flows.get(&flow).and_then(|entry| entry.pending.as_ref());
            if pending.is_some_and(|pending| now.reached(pending.due)) {
                self.resend(now, flow, Cause::Timeout, outlet);
            }
        }
    }

    /// Makes all pending openings to hosts that became unreachable count as unanswered now.
    pub(super) fn expire_openings(&mut self, now: Time, is_lost: impl Fn(Index, &Host) -> bool) {
        let hosts = &self.hosts;
        let is_lost = |index: Index| hosts.get(index).is_some_and(|host| is_lost(index, host));
        for (flow, entry) in &mut self.flows {
            let Some(pending) = entry.pending.as_mut().filter(|_| is_lost(entry.host)) else { continue };
            if pending.due != Time::NEVER {
                pending.due = now;
                self.timers.push(Reverse((now, *flow)));
            }
        }
    }

    /// Sends the caller's retransmission of an opening to a host.
    fn handle_retransmission(&mut self, now: Time, packet: &View<'_>, outlet: &mut dyn Outlet) {
        let Some(entry) = self.flows.get_mut(&packet.flow) else { return };
        let index = entry.host;
        if let Some(pending) = &mut entry.pending {
            // The packet differs from the first one, because the caller counts its retransmissions in it.
            pending.bytes = SmallVec::from_slice(packet.bytes);
            pending.copies = pending.copies.saturating_add(1);
            return self.resend(now, packet.flow, Cause::Retransmission, outlet);
        }
        // The flow is established, so a late retransmission goes to its host.
        if self.may_open(now, index)
            && let Some(hop) = self.hop(index)
        {
            self.count_opening(now, index);
            self.send(&hop, packet.bytes, outlet);
        }
    }

    /// Sends an opening again, to the same host or to a different one.
    fn resend(&mut self, now: Time, flow: Flow, cause: Cause, outlet: &mut dyn Outlet) {
        let Some(mut entry) = self.flows.remove(&flow) else { return };
        let Some(pending) = entry.pending.as_ref() else {
            self.flows.insert(flow, entry);
            return;
        };
        let counts_as_unanswered = pending.due != Time::NEVER && !pending.tried.contains(&entry.host);
        let (sent, from) = (pending.sent, entry.host);
        if counts_as_unanswered {
            self.opening_unanswered(now, from, sent, outlet);
        }
        let Some(pending) = entry.pending.as_mut() else { return };
        let exhausted =
            cause == Cause::Timeout && (pending.attempts >= self.settings.max_attempts || !self.retries.withdraw());
        if exhausted {
            // The next attempt is made when the caller retransmits the opening.
            pending.due = Time::NEVER;
            self.flows.insert(flow, entry);
            return;
        }
        let to = self.next_host(now, &flow, &entry, cause);
        if !self.may_open(now, to) {
            // A cold host may count the copy as an opening. The caller's next copy is the next attempt.
            if let Some(pending) = entry.pending.as_mut() {
                pending.due = Time::NEVER;
            }
            self.flows.insert(flow, entry);
            return;
        }
        let moved = to != from;
        let is_trial = self.may_be_gone(now, to);
        if moved && let Some(pending) = entry.pending.as_mut() {
            pending.tried.push(from);
            pending.sent = now;
            pending.is_trial = is_trial;
        }
        let reason = match self.hosts.get(from).map(|host| self.links[host.zone].is_down()) {
            Some(true) => Reason::ZoneDown,
            _ => Reason::Unanswered,
        };
        let verdict = if moved { Verdict::Moved } else { Verdict::Repeated };
        self.end_request(&mut entry);
        self.send_opening(now, flow, entry, to, (verdict, Some(reason)), outlet);
    }

    /// Returns the host for the next attempt. An answer from a second host would break the flow, so the host stays the same
    /// while it may have answered. The second attempt keeps it if other openings show that it answers, since then only a
    /// packet was lost.
    fn next_host(&mut self, now: Time, flow: &Flow, entry: &Entry, cause: Cause) -> Index {
        let Some(pending) = &entry.pending else { return entry.host };
        if !self.may_move(now, entry.host, pending, cause) {
            return entry.host;
        }
        let accepts_new = |host: &Host| host.accepts_new(now) && !self.drains.excludes(now, host);
        let is_answering = self
            .hosts
            .get(entry.host)
            .is_some_and(|host| host.unanswered <= 1 && accepts_new(host) && !self.is_failing(now, host));
        if is_answering && pending.attempts < 2 {
            return entry.host;
        }
        let mut excluded = pending.tried.clone();
        excluded.push(entry.host);
        let service = self.choose_service(flow);
        let selected = service.and_then(|service| self.select_host(now, &service, &excluded));
        selected.map_or(entry.host, |(index, _)| index)
    }

    /// Returns true when a pending opening may be sent to another host than `index`. The balancer's own timer shows little,
    /// since the answer may pass through another balancer. A copy from the caller shows that it had no answer. While no other
    /// opening is answered in time, for example on an overloaded machine, the answer may still be on its way. Then only
    /// the second copy moves an opening, and only from a host that failed a check.
    fn may_move(&self, now: Time, index: Index, pending: &Pending, cause: Cause) -> bool {
        let Some(host) = self.hosts.get(index) else { return true };
        let others_answer = self.last_prompt_answer >= pending.sent;
        let is_overdue = match cause {
            Cause::Timeout => pending.is_trial,
            Cause::Retransmission => others_answer || (pending.copies > 1 && host.reach.has_failed(now)),
        };
        is_overdue || host.reach.is_unreachable(now) || (self.links[host.zone].is_down() && others_answer)
    }

    /// Returns true when the host `index` or its zone is unreachable.
    fn is_lost(&self, now: Time, index: Index) -> bool {
        self.hosts.get(index).is_some_and(|host| self.links[host.zone].is_down() || host.reach.is_unreachable(now))
    }

    /// Returns true when the host `index` is unreachable, or has not passed a check while others answered.
    fn may_be_gone(&self, now: Time, index: Index) -> bool {
        let Some(host) = self.hosts.get(index) else { return false };
        self.is_lost(now, index) || host.reach.is_doubted(now, self.last_prompt_answer)
    }

    /// Sends an opening to the host `index`, starts its timer, and counts it as a request in progress.
    fn send_opening(
        &mut self,
        now: Time,
        flow: Flow,
        mut entry: Entry,
        index: Index,
        (verdict, reason): (Verdict, Option<Reason>),
        outlet: &mut dyn Outlet,
    ) {
        let Some(hop) = self.hop(index) else { return };
        let answer_timeout = self.answer_timeout(index);
        entry.host = index;
        entry.last_packet = now;
        entry.busy = true;
        let Some(pending) = entry.pending.as_mut() else { return };
        pending.attempts = pending.attempts.saturating_add(1);
        pending.due = now + answer_timeout;
        let (due, attempt) = (pending.due, u32::from(pending.attempts));
        self.timers.push(Reverse((due, flow)));
        self.send(&hop, &pending.bytes, outlet);
        self.count_opening(now, index);
        self.hosts.begin_request(index);
        self.expect_response(now);
        if let Some(host) = self.hosts.get_mut(index) {
            host.limit.record_start(now);
            let (busy, unanswered) = (host.busy, host.unanswered);
            let name = host.name.clone();
            let decision =
                Decision { host: Some(&name), busy, unanswered, attempt, ..Decision::new(flow, verdict, reason) };
            self.record_decision(&decision, outlet);
        }
        if self.flows.len() < self.settings.max_flows {
            self.flows.insert(flow, entry);
        } else {
            self.end_request(&mut entry);
        }
    }

    /// Returns the time after which an opening to the host `index` counts as unanswered.
    fn answer_timeout(&self, index: Index) -> Duration {
        let zone = self.hosts.get(index).map_or(0, |host| host.zone);
        self.links[zone].answer_timeout(&self.settings)
    }

    /// Returns the hop to the host `index` for an opening, which writes the host's mark.
    fn hop(&self, index: Index) -> Option<Hop> {
        let host = self.hosts.get(index)?;
        Some(Hop { host: host.record.id, address: host.record.address, mark: Some(host.mark) })
    }

    /// Records that the host `index` did not answer an opening, unless it has answered another one after `sent`.
    fn opening_unanswered(&mut self, now: Time, index: Index, sent: Time, outlet: &mut dyn Outlet) {
        let Some(host) = self.hosts.get_mut(index) else { return };
        if host.last_answer >= sent {
            return;
        }
        host.unanswered = host.unanswered.saturating_add(1);
        host.limit.decrease(now);
        if host.unanswered == 2 {
            outlet.record_event(now, "host.silent", &host.name, "two openings in a row were not answered");
        }
        let zone = host.zone;
        let is_silent = host.unanswered >= 2;
        if self.links[zone].zone != self.settings.zone {
            self.links[zone].opening_unanswered(now);
        }
        if is_silent {
            self.doubt_host(now, index, outlet);
        }
        self.report_silence(now, index, sent, outlet);
    }
}
