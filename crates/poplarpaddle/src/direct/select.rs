//! The host for a new flow.

use rand::RngExt as _;
use smallvec::SmallVec;

use super::Engine;
use super::host::{Host, Index};
use crate::time::Time;

/// Hosts of a service that are compared. Beyond that, as many are drawn at random, so that the cost of an opening does
/// not grow with the service.
const MAX_CANDIDATES: usize = 64;

/// Work on a cold host counts this many percent of the same work on a warm one.
const COLD_PERCENT: u64 = 170;

/// Unit of the load of a host: one flow on one slot.
const LOAD_UNIT: u64 = 100;

/// How much a host is preferred; lower is better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Cost {
    /// Hosts that are believed dead or cut off come last.
    failing: bool,
    /// Hosts at the limit of work come after the others.
    full: bool,
    load: u64,
    tie_breaker: u32,
}

impl Engine {
    /// Returns the best host of `service` for a new flow, other than `except`, and whether it has room.
    pub(super) fn select_host(&mut self, now: Time, service: &str, excluded: &[Index]) -> Option<(Index, bool)> {
        let candidates = self.candidates(service);
        let mut best: Option<(Cost, Index)> = None;
        for index in candidates {
            if excluded.contains(&index) || !self.hosts.owns_mark(index) {
                continue;
            }
            let tie_breaker = self.random.random();
            let Some(host) = self.hosts.get(index).filter(|host| host.accepts_new(now)) else { continue };
            let cost = self.cost(now, host, tie_breaker);
            if best.is_none_or(|(other, _)| cost < other) {
                best = Some((cost, index));
            }
        }
        let (cost, index) = best?;
        let zone = self.hosts.get(index)?.zone;
        self.links[zone].start_trial(now);
        Some((index, !cost.full))
    }

    /// Returns true when openings to the host fail at present.
    pub(super) fn is_failing(&self, now: Time, host: &Host) -> bool {
        self.links[host.zone].is_down() || !now.reached(host.limit.paused_until())
    }

    fn cost(&self, now: Time, host: &Host, tie_breaker: u32) -> Cost {
        let busy = u64::from(host.busy);
        let failing = self.is_failing(now, host);
        let capacity = u32::from(host.record.slots) + u32::from(self.settings.limit.backlog);
        let cold_percent = if now.reached(host.record.cold_until) { 100 } else { COLD_PERCENT };
        Cost {
            failing,
            // A doubtful host is tried all the same: its work may have ended unseen.
            full: !failing && host.busy - host.overdue >= capacity,
            load: (busy + 1) * LOAD_UNIT * cold_percent / u64::from(host.record.slots.max(1)),
            tie_breaker,
        }
    }

    fn candidates(&mut self, service: &str) -> SmallVec<[Index; MAX_CANDIDATES]> {
        let hosts = self.hosts.with_service(service);
        if hosts.len() <= MAX_CANDIDATES {
            return hosts.into();
        }
        let count = hosts.len();
        (0..MAX_CANDIDATES).map(|_| hosts[self.random.random_range(0..count)]).collect()
    }
}
