//! Periodic work of the engine: idle flows, expired hosts, and requests without a response.

use std::time::Duration;

use super::engine::Entry;
use super::host::{Host, Index};
use super::{Engine, Outlet};
use crate::packet::Flow;
use crate::time::Time;

/// Time between two sweeps for idle flows and expired hosts.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum time between two searches for overdue requests, which look at every flow.
const OVERDUE_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which a request without a response no longer tells anything about its host. Its caller has given up, or its
/// flow has been rerouted to another balancer.
const JUDGE_TIME: Duration = Duration::from_secs(1);

/// What a request that is overdue shows about its host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Finding {
    /// The host has answered later requests, or something else explains the silence.
    Nothing,
    /// The host is silent while others answer.
    Silent,
    /// No host has answered a later request yet, so this balancer's own link may be the cause.
    Open,
}

impl Engine {
    /// Starts the sweeps, which a balancer without hosts does not need.
    pub(super) fn start_sweeps(&mut self, now: Time) {
        if self.next_sweep == Time::NEVER {
            self.next_sweep = now + SWEEP_INTERVAL;
        }
    }

    /// Schedules the search for overdue requests, because a request starts.
    pub(super) fn expect_response(&mut self, now: Time) {
        self.next_overdue = self.next_overdue.min(now + self.settings.min_overdue_time);
    }

    /// Performs the sweep and the search for overdue requests if they are due.
    pub(super) fn sweep_if_due(&mut self, now: Time, outlet: &mut dyn Outlet) {
        if now.reached(self.next_overdue) {
            self.flag_overdue_requests(now, outlet);
        }
        if now.reached(self.next_sweep) {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.sweep(now);
            self.recheck_hosts(now, outlet);
            self.end_flows_of_left_hosts(now, outlet);
            self.sweep_cold_hosts(now, outlet);
        }
    }

    /// Flags requests that take longer than most as overdue, and suspects their hosts as far as these are silent. Flows
    /// may have been rerouted to another balancer, which then sees the end of the request instead of this one.
    fn flag_overdue_requests(&mut self, now: Time, outlet: &mut dyn Outlet) {
        let (mut next, mut silent) = (Time::NEVER, Vec::new());
        for entry in self.flows.values_mut().filter(|entry| entry.busy && !entry.judged) {
            let bound = self.hosts.response_bound(entry.host).unwrap_or_default().max(self.settings.min_overdue_time);
            let due = entry.last_packet + bound;
            if !now.reached(due) {
                next = next.min(due);
                continue;
            }
            if !std::mem::replace(&mut entry.overdue, true) {
                self.hosts.count_overdue(entry.host);
                self.capacity_freed = true;
            }
            let Some(host) = self.hosts.get(entry.host) else { continue };
            let is_link_down = self.links[host.zone].is_down();
            let finding =
                if is_link_down { Finding::Nothing } else { find(now, entry, host, self.last_answered_request) };
            entry.judged = finding != Finding::Open;
            match finding {
                Finding::Nothing => {}
                Finding::Silent => silent.push(entry.host),
                Finding::Open => next = next.min(now),
            }
        }
        self.next_overdue = if next == Time::NEVER { next } else { next.max(now + OVERDUE_INTERVAL) };
        for index in silent {
            self.host_silent(now, index, outlet);
        }
    }

    /// Removes idle flows and expired hosts, counts the idle flows of each host, and measures the rate of requests.
    fn sweep(&mut self, now: Time) {
        let timeout = self.settings.idle_timeout;
        let idle = |(flow, entry): (&Flow, &Entry)| now.reached(entry.last_packet + timeout).then_some(*flow);
        let idle_flows: Vec<Flow> = self.flows.iter().filter_map(idle).collect();
        for flow in idle_flows {
            self.remove_idle(now, flow);
        }
        self.idle.remove_older(now, self.settings.linger);
        let is_idle = |entry: &&Entry| entry.request.is_some() && !entry.busy;
        let idle = self.flows.values().filter(is_idle).map(|entry| entry.host);
        self.hosts.count_idle_flows(idle.chain(self.idle.hosts()));
        self.hosts.measure_rates(now);
        self.hosts.remove_expired(now);
    }

    /// Ends the request of an idle flow and moves it to the table of idle flows. A pinned flow keeps its entry, since
    /// the other hosts that got its opening repeat their answers for seconds, and its caller repeats their marks.
    fn remove_idle(&mut self, now: Time, flow: Flow) {
        let Some(entry) = self.remove_flow(&flow) else { return };
        if entry.is_pinned() && !now.reached(entry.last_packet + self.settings.linger) {
            self.flows.insert(flow, entry);
        } else if self.idle.len() < self.settings.max_flows {
            self.idle.insert(flow, &entry);
        }
    }

    /// Records that the host `index` answered a request that was sent at `sent`.
    pub(super) fn request_answered(&mut self, now: Time, index: Index, sent: Time, outlet: &mut dyn Outlet) {
        let bound = self.hosts.response_bound(index).unwrap_or_default().max(self.settings.min_overdue_time);
        let time = now.since(sent);
        self.hosts.sample_response(index, time);
        self.last_answered_request = self.last_answered_request.max(sent);
        if let Some(host) = self.hosts.get_mut(index) {
            host.suspicion.answered(sent, time <= bound);
            if host.reach.answered(now, sent) {
                outlet.record_event(now, "host.reachable", &host.name, "a request was answered");
            }
        }
    }
}

/// Returns what the overdue request of `entry` shows about its host. `last_answered` is when the latest request was sent
/// that any host has answered.
fn find(now: Time, entry: &Entry, host: &Host, last_answered: Time) -> Finding {
    // Openings without an answer are handled when they are resent.
    if entry.pending.is_some() || host.suspicion.has_answered_since(entry.last_packet) {
        return Finding::Nothing;
    }
    if last_answered > entry.last_packet {
        return Finding::Silent;
    }
    if now.reached(entry.last_packet + JUDGE_TIME) { Finding::Nothing } else { Finding::Open }
}
