//! The host for a new flow.

use rand::RngExt as _;
use smallvec::SmallVec;

use super::Engine;
use super::host::{Host, Index};
use crate::time::Time;

/// Hosts of a service that are compared. Beyond that, as many are drawn at random, so that the cost of an opening does
/// not grow with the service.
const COMPARED: usize = 64;

/// Work on a cold host counts this many percent of the same work on a warm one.
const COLD_PERCENT: u64 = 170;

/// Unit of the load of a host: one flow on one slot.
const UNIT: u64 = 100;

/// How much a host is preferred; lower is better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Hosts that are believed dead or cut off come last.
    doubtful: bool,
    /// Hosts at the limit of work come after the others.
    full: bool,
    load: u64,
    tie: u32,
}

impl Engine {
    /// Returns the best host of `service` for a new flow, other than `except`, and whether it has room.
    pub(super) fn place(&mut self, now: Time, service: &str, except: &[Index]) -> Option<(Index, bool)> {
        let candidates = self.candidates(service);
        let mut best: Option<(Rank, Index)> = None;
        for index in candidates {
            if except.contains(&index) || !self.hosts.owns_mark(index) {
                continue;
            }
            let tie = self.random.random();
            let Some(host) = self.hosts.get(index).filter(|host| host.takes_new(now)) else { continue };
            let rank = self.rank(now, host, tie);
            if best.is_none_or(|(other, _)| rank < other) {
                best = Some((rank, index));
            }
        }
        let (rank, index) = best?;
        let zone = self.hosts.get(index)?.zone;
        self.links[zone].try_once(now);
        Some((index, !rank.full))
    }

    /// Returns true when openings to the host fail at present.
    pub(super) fn is_doubtful(&self, now: Time, host: &Host) -> bool {
        self.links[host.zone].is_down() || !now.reached(host.limit.paused_until())
    }

    fn rank(&self, now: Time, host: &Host, tie: u32) -> Rank {
        let busy = u64::from(host.busy);
        let doubtful = self.is_doubtful(now, host);
        let room = u32::from(host.record.slots) + u32::from(self.settings.limit.backlog);
        let percent = if now.reached(host.record.cold_until) { 100 } else { COLD_PERCENT };
        Rank {
            doubtful,
            // A doubtful host is tried all the same: its work may have ended unseen.
            full: !doubtful && host.busy - host.overdue >= room,
            load: (busy + 1) * UNIT * percent / u64::from(host.record.slots.max(1)),
            tie,
        }
    }

    fn candidates(&mut self, service: &str) -> SmallVec<[Index; COMPARED]> {
        let all = self.hosts.of_service(service);
        if all.len() <= COMPARED {
            return all.into();
        }
        let count = all.len();
        (0..COMPARED).map(|_| all[self.random.random_range(0..count)]).collect()
    }
}
