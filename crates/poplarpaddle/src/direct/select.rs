//! Selection of the host for a new flow.

use rand::RngExt as _;
use smallvec::SmallVec;

use super::Engine;
use super::host::{Host, Index};
use crate::time::Time;

/// Maximum number of hosts compared for an opening. From a larger service, this many are drawn at random, so that the
/// time per opening does not grow with the service.
pub(super) const MAX_CANDIDATES: usize = 64;

/// Load of a request on a host that has just started, in percent of its load on a warm host.
const COLD_PERCENT: u64 = 170;

/// Scale factor of loads, which keeps fractions when the load is divided by the number of slots.
const LOAD_UNIT: u64 = 100;

/// How well a host is able to take a new flow, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Fitness {
    Free,
    /// The host does not respond to requests.
    Suspected,
    /// The slots and the backlog of the host are taken.
    Full,
}

/// Cost of selecting a host; the lowest wins. Fields are compared in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Cost {
    /// False for hosts that a trial opening may go to because one is due in their zone.
    no_trial: bool,
    /// True for hosts that do not answer or whose zone is unreachable.
    failing: bool,
    fitness: Fitness,
    /// Requests in progress per slot, weighted by [`COLD_PERCENT`] on cold hosts. The new request is included unless
    /// this member is the only one that opens flows at the host: then it sees all requests of that host, but only a
    /// part of those at other hosts.
    load: u64,
    /// Random number that decides between hosts that are equal otherwise.
    tie_breaker: u32,
}

impl Engine {
    /// Returns the best host of `service` for a new flow, other than those in `excluded`, and whether it has capacity.
    pub(super) fn select_host(&mut self, now: Time, service: &str, excluded: &[Index]) -> Option<(Index, bool)> {
        let candidates = self.undrained_candidates(now, service).unwrap_or_else(|| self.candidates(service));
        let mut best: Option<(Cost, Index)> = None;
        let mut second: Option<(Cost, Index)> = None;
        let mut left_out = false;
        for index in candidates {
            if excluded.contains(&index) || !self.hosts.owns_mark(index) {
                continue;
            }
            let tie_breaker = self.random.random();
            if !self.hosts.get(index).is_some_and(|host| host.accepts_new(now)) {
                continue;
            }
            if !self.may_open(now, index) {
                left_out = true;
                continue;
            }
            let Some(host) = self.hosts.get(index) else { continue };
            let cost = self.cost(now, host, tie_breaker);
            if best.is_none_or(|(other, _)| cost < other) {
                second = best.replace((cost, index));
            } else if second.is_none_or(|(other, _)| cost < other) {
                second = Some((cost, index));
            }
        }
        self.counters.cold_left_out += u64::from(left_out);
        let (cost, index) = self.with_fewer_idle_flows(best?, second);
        let zone = self.hosts.get(index)?.zone;
        if !cost.no_trial {
            self.links[zone].start_trial(now);
        }
        Some((index, cost.fitness != Fitness::Full))
    }

    /// Returns the one of the two best hosts that has fewer idle flows, if they are equal otherwise. The callers of
    /// these flows will send further requests there. Of all equal hosts, two are drawn at random: if the one with the
    /// fewest flows always won, a host that joins would get the next flow of every balancer.
    fn with_fewer_idle_flows(&self, best: (Cost, Index), second: Option<(Cost, Index)>) -> (Cost, Index) {
        let idle_flows = |index: Index| self.hosts.get(index).map_or(0, |host| host.idle_flows);
        let equal = second.filter(|(cost, _)| Cost { tie_breaker: best.0.tie_breaker, ..*cost } == best.0);
        equal.filter(|(_, index)| idle_flows(*index) < idle_flows(best.1)).unwrap_or(best)
    }

    /// Returns true when the host or its zone is unreachable or the host is paused because it does not answer openings.
    pub(super) fn is_failing(&self, now: Time, host: &Host) -> bool {
        self.links[host.zone].is_down() || is_avoided(now, host)
    }

    fn cost(&self, now: Time, host: &Host, tie_breaker: u32) -> Cost {
        let busy = u64::from(host.busy);
        let failing = self.is_failing(now, host);
        let is_trial = self.links[host.zone].is_trial_due(now) && !is_avoided(now, host);
        let capacity = u32::from(host.record.slots) + u32::from(self.settings.limit.backlog);
        let new = u64::from(!self.warmup.is_bounded(now, host));
        let cold_percent = if host.is_cold(now) { COLD_PERCENT } else { 100 };
        // A failing host never counts as full: its requests may have ended without this balancer seeing it.
        let fitness = match (host.busy - host.overdue >= capacity, host.suspicion.is_active(now)) {
            (true, _) if !failing => Fitness::Full,
            (_, true) => Fitness::Suspected,
            (_, false) => Fitness::Free,
        };
        Cost {
            no_trial: !is_trial,
            failing,
            fitness,
            load: (busy + new) * LOAD_UNIT * cold_percent / u64::from(host.record.slots.max(1)),
            tie_breaker,
        }
    }

    /// Returns the hosts of a service to compare.
    pub(super) fn candidates(&mut self, service: &str) -> SmallVec<[Index; MAX_CANDIDATES]> {
        let hosts = self.hosts.with_service(service);
        if hosts.len() <= MAX_CANDIDATES {
            return hosts.into();
        }
        let count = hosts.len();
        (0..MAX_CANDIDATES).map(|_| hosts[self.random.random_range(0..count)]).collect()
    }
}

/// Returns true when the host is unreachable or paused because it does not answer openings.
fn is_avoided(now: Time, host: &Host) -> bool {
    host.reach.is_unreachable(now) || !now.reached(host.limit.paused_until())
}
