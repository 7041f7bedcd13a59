//! Outlier detection across members.
//!
//! A member that gets no response from a host reports it to two members, which all members select in the same way. Once
//! several members have reported a host, these two tell random members, which pass it on, so that every member knows it
//! within tenths of a second. Reports are rare and go to two members, so their cost per member does not grow with the
//! fleet.

use std::cmp::Reverse;
use std::time::Duration;

use smallvec::SmallVec;

use super::{Action, Node};
use crate::map::{self, Map};
use crate::mark::HostId;
use crate::path::MemberId;
use crate::time::Time;
use crate::wire::{Body, Report};

/// Number of members that collect the reports on a host.
const COLLECTORS: usize = 2;

/// Time for which a report counts.
const REPORT_TIME: Duration = Duration::from_secs(1);

/// Number of members whose reports are needed, because the reports of a single one may have a cause at that member.
const MIN_REPORTERS: usize = 2;

/// Share of the requests to a host that have to be reported, in percent. The longest hundredth of the requests may take
/// long enough to be reported although the host is well.
const REPORTED_PERCENT: u64 = 15;

/// Requests per 1,000 s in one request per second.
const MILLI: u64 = 1000;

/// Time for which a host that was told to others is neither told again nor passed on.
const TOLD_TIME: Duration = Duration::from_secs(3);

/// Number of members that each member tells of new outliers. With 3, some members of a fleet of 300 would miss them.
const FANOUT: usize = 4;

/// Time between two messages that pass outliers on.
const SPREAD_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of outliers in a message.
pub const MAX_OUTLIERS: usize = 64;

/// Maximum number of hosts on which reports are collected at the same time.
const MAX_REPORTED_HOSTS: usize = 4096;

/// Maximum number of reports on one host.
const MAX_REPORTS: usize = 512;

/// Reports on one host, each with its sender and the time until which it counts.
type Reports = SmallVec<[(MemberId, Time); 4]>;

/// Reports on hosts, and the outliers that members tell each other.
#[derive(Debug)]
pub(super) struct Outliers {
    reports: Map<HostId, Reports>,
    /// Outliers that were told, with the time until which they are not told again.
    told: Map<HostId, Time>,
    /// Outliers that this member has to pass on.
    fresh: Vec<HostId>,
    next_spread: Time,
}

impl Default for Outliers {
    fn default() -> Self {
        Self { reports: map::seeded(0), told: map::seeded(0), fresh: Vec::new(), next_spread: Time::default() }
    }
}

impl Outliers {
    /// Returns the time at which outliers have to be passed on.
    pub(super) fn deadline(&self) -> Time {
        if self.fresh.is_empty() { Time::NEVER } else { self.next_spread }
    }

    /// Adds a report of `sender`. Returns true when the host now counts as an outlier in a fleet of `members`.
    fn add(&mut self, now: Time, sender: MemberId, report: Report, members: usize) -> bool {
        if self.is_told(now, report.host) {
            return false;
        }
        if self.reports.len() >= MAX_REPORTED_HOSTS {
            self.reports.retain(|_, reports| reports.iter().any(|(_, until)| !now.reached(*until)));
        }
        if self.reports.len() >= MAX_REPORTED_HOSTS {
            return false;
        }
        let reports = self.reports.entry(report.host).or_default();
        reports.retain(|(_, until)| !now.reached(*until));
        if reports.len() < MAX_REPORTS {
            reports.push((sender, now + REPORT_TIME));
        }
        let is_outlier = is_conclusive(reports, report.rate, members);
        if is_outlier {
            self.reports.remove(&report.host);
        }
        is_outlier
    }

    fn is_told(&self, now: Time, host: HostId) -> bool {
        self.told.get(&host).is_some_and(|until| !now.reached(*until))
    }

    /// Records outliers as told and returns those that were not told a moment ago. They are passed on.
    fn tell(&mut self, now: Time, hosts: &[HostId]) -> Vec<HostId> {
        self.told.retain(|_, until| !now.reached(*until));
        let mut new = Vec::new();
        for host in hosts {
            if self.told.insert(*host, now + TOLD_TIME).is_none() {
                self.reports.remove(host);
                new.push(*host);
            }
        }
        self.fresh.extend(&new);
        new
    }
}

/// Returns true when the reports on a host outweigh the requests that it has presumably answered. `rate` is the rate at
/// which one of the `members` sends it requests, in requests per 1,000 s.
fn is_conclusive(reports: &Reports, rate: u32, members: usize) -> bool {
    let mut senders: SmallVec<[MemberId; 8]> = reports.iter().map(|(sender, _)| *sender).collect();
    senders.sort_unstable();
    senders.dedup();
    let requests = u64::from(rate) * members as u64 / MILLI;
    let needed = usize::try_from(requests * REPORTED_PERCENT / 100).unwrap_or(usize::MAX).min(MAX_REPORTS);
    reports.len() >= needed.max(MIN_REPORTERS) && senders.len() >= MIN_REPORTERS.min(members)
}

impl Node {
    /// Reports a host that did not respond to this member. `rate` is the rate at which this member sends requests to an
    /// average host of the service, in requests per 1,000 s.
    pub fn report_silence(&mut self, now: Time, host: HostId, rate: u32) {
        let me = self.membership.me().id;
        let report = Report { host, rate };
        for collector in self.collectors(host) {
            if collector == me {
                self.collect(now, me, report);
            } else if let Some(peer) = self.membership.record(collector).map(|record| record.peer) {
                self.send(peer, 0, self.positions(now), Body::Report(me, report));
            }
        }
        self.dispatch(now);
    }

    /// Handles a report of a member on a host.
    pub(super) fn collect(&mut self, now: Time, sender: MemberId, report: Report) {
        if self.outliers.add(now, sender, report, self.members.len()) {
            self.handle_outliers(now, &[report.host]);
        }
    }

    /// Handles outliers that this member has found or was told of.
    pub(super) fn handle_outliers(&mut self, now: Time, hosts: &[HostId]) {
        let new = self.outliers.tell(now, hosts);
        if !new.is_empty() {
            self.actions.push(Action::HostsSuspected(new));
        }
    }

    /// Passes new outliers on to random members.
    pub(super) fn spread_outliers(&mut self, now: Time) {
        if !now.reached(self.outliers.deadline()) {
            return;
        }
        self.outliers.next_spread = now + SPREAD_INTERVAL;
        let count = self.outliers.fresh.len().min(MAX_OUTLIERS);
        let hosts: Vec<HostId> = self.outliers.fresh.drain(..count).collect();
        let me = self.membership.me().id;
        for record in self.membership.sample(FANOUT, None) {
            self.send(record.peer, 0, self.positions(now), Body::Outliers(me, hosts.clone()));
        }
    }

    /// Returns the members that collect the reports on a host: those with the highest random weights of (host, member).
    fn collectors(&self, host: HostId) -> SmallVec<[MemberId; COLLECTORS]> {
        let mut ranked: SmallVec<[(Reverse<u64>, MemberId); COLLECTORS]> = SmallVec::new();
        for member in &self.members {
            let rank = (Reverse(map::hash(0, &(host.0, member.0))), *member);
            let position = ranked.partition_point(|other| *other < rank);
            if position < COLLECTORS {
                ranked.truncate(COLLECTORS - 1);
                ranked.insert(position, rank);
            }
        }
        ranked.into_iter().map(|(_, member)| member).collect()
    }
}
