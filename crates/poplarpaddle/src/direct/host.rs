//! Table of hosts, indexed by name, mark and service, with the requests in progress at each.

use std::net::SocketAddrV4;
use std::time::Duration;

use smallvec::SmallVec;

use super::estimate::{Estimate, Rate};
use super::outlier::Suspicion;
use super::reach::Reach;
use crate::limit::Limit;
use crate::map::{self, Map};
use crate::mark::Mark;
use crate::registry::{self, State};
use crate::time::Time;

/// Index of a host, stable for the lifetime of its entry.
pub(super) type Index = u32;

/// A host that is or was registered.
#[derive(Debug)]
pub(super) struct Host {
    pub(super) name: String,
    pub(super) record: registry::Host,
    pub(super) mark: Mark,
    /// Index of the link to its zone.
    pub(super) zone: usize,
    /// Number of flows with a request in progress, counting only those that this balancer knows of.
    pub(super) busy: u32,
    /// Number of those flows whose request takes longer than most.
    pub(super) overdue: u32,
    /// Number of open flows without a request in progress, as counted by the last sweep.
    pub(super) idle_flows: u32,
    pub(super) limit: Limit,
    /// Number of consecutive openings without an answer.
    pub(super) unanswered: u32,
    /// When the host last answered an opening.
    pub(super) last_answer: Time,
    pub(super) reach: Reach,
    pub(super) suspicion: Suspicion,
    /// Time until which the host counts as cold whatever its registration says, because its zone has returned from a
    /// drain.
    pub(super) presumed_cold_until: Time,
    /// Time from which a changed registration was written after the return of the host's zone, and so ends the
    /// presumption that the host is cold.
    pub(super) warmth_known_from: Time,
    /// Time until which the host accepts new flows after its registration ended; none while it is registered.
    pub(super) grace: Option<Time>,
    /// When the host is removed from the table.
    pub(super) remove_at: Time,
    /// True once another host is registered at the address of this one, whose registration has ended.
    pub(super) is_replaced: bool,
}

impl Host {
    /// Returns true when the host accepts new flows: it is ready, and registered or within its grace period.
    pub(super) fn accepts_new(&self, now: Time) -> bool {
        let is_active = self.grace.is_none_or(|until| !now.reached(until));
        is_active && self.record.state == State::Ready
    }

    /// Returns true when the host is slower than usual, because it has just started or is presumed to have.
    pub(super) fn is_cold(&self, now: Time) -> bool {
        !now.reached(self.record.cold_until) || !now.reached(self.presumed_cold_until)
    }

    pub(super) const fn is_registered(&self) -> bool {
        self.grace.is_none()
    }

    /// Returns true when the registration and its grace period have ended.
    pub(super) fn has_left(&self, now: Time) -> bool {
        self.grace.is_some_and(|until| now.reached(until))
    }

    /// Returns true when this host has taken over the address of `other`. A registration under the same identifier may
    /// be a damaged one of the same process, and one of an earlier start may be left over from a host that ended before
    /// `other` started.
    fn has_replaced(&self, other: &Self) -> bool {
        self.record.id != other.record.id && self.record.started_after(&other.record)
    }

    /// Returns true when the host has ended for certain: it has left, and has accepted no connection since, or another
    /// host has its address. A running host renews its registration and accepts connections. If `is_zone_down`, a
    /// failed check shows nothing about the host. Nor does one from before the end of the registration: the host may
    /// have been cut off for a while, and both may be due to that.
    pub(super) fn is_gone(&self, now: Time, is_zone_down: bool) -> bool {
        let Some(left) = self.grace.filter(|until| now.reached(*until)) else { return false };
        self.is_replaced || (!is_zone_down && self.reach.is_unreachable_since(now, left))
    }
}

/// The hosts of one service.
#[derive(Debug, Default)]
struct Service {
    /// Every host of the service, including those whose registration has ended.
    hosts: Vec<Index>,
    /// Time from a request to the first bytes of its response.
    response_time: Estimate,
    /// Rate at which this balancer sends requests to all hosts.
    requests: Rate,
}

/// Work in progress at the hosts of a service, as far as this balancer knows of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Load {
    /// Mean time from a request to the first bytes of its response.
    pub(super) service_time: Duration,
    /// Number of requests that the hosts take.
    pub(super) capacity: u64,
    /// Number of requests in progress beyond that.
    pub(super) excess: u64,
}

/// Every host that may have flows: registered ones, and others until [`Host::remove_at`].
#[derive(Debug)]
pub(super) struct Table {
    hosts: Map<Index, Host>,
    names: Map<String, Index>,
    marks: Map<Mark, SmallVec<[Index; 1]>>,
    services: Map<String, Service>,
    next: Index,
}

impl Default for Table {
    fn default() -> Self {
        Self { hosts: map::seeded(0), names: map::seeded(0), marks: map::seeded(0), services: map::seeded(0), next: 0 }
    }
}

impl Table {
    pub(super) fn get(&self, index: Index) -> Option<&Host> {
        self.hosts.get(&index)
    }

    pub(super) fn get_mut(&mut self, index: Index) -> Option<&mut Host> {
        self.hosts.get_mut(&index)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (Index, &Host)> {
        self.hosts.iter().map(|(index, host)| (*index, host))
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Host> {
        self.hosts.values_mut()
    }

    pub(super) fn find(&self, name: &str) -> Option<Index> {
        self.names.get(name).copied()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Returns the hosts of a service, including those whose registration has ended.
    pub(super) fn with_service(&self, service: &str) -> &[Index] {
        self.services.get(service).map_or(&[], |service| service.hosts.as_slice())
    }

    /// Adds a sample of the time from a request to its response.
    pub(super) fn sample_response(&mut self, index: Index, time: Duration) {
        if let Some(host) = self.hosts.get(&index)
            && let Some(service) = self.services.get_mut(&host.record.service)
        {
            service.response_time.sample(time);
        }
    }

    /// Returns the response time that few requests of the host's service exceed; none before the first sample.
    pub(super) fn response_bound(&self, index: Index) -> Option<Duration> {
        let host = self.hosts.get(&index)?;
        self.services.get(&host.record.service)?.response_time.bound()
    }

    /// Returns the work in progress at those hosts of a service for which `accepts_new` is true, extrapolated from the
    /// hosts in `sample`. Each host takes `backlog` requests beyond its slots. Returns none before the first response,
    /// and if no host in `sample` accepts new flows.
    pub(super) fn load(
        &self,
        name: &str,
        sample: &[Index],
        backlog: u32,
        accepts_new: impl Fn(&Host) -> bool,
    ) -> Option<Load> {
        let service = self.services.get(name)?;
        let (mut capacity, mut excess) = (0, 0);
        for host in sample.iter().filter_map(|index| self.hosts.get(index)).filter(|host| accepts_new(host)) {
            let room = u32::from(host.record.slots) + backlog;
            capacity += u64::from(room);
            excess += u64::from((host.busy - host.overdue).saturating_sub(room));
        }
        if capacity == 0 {
            return None;
        }
        let extrapolate = |sum: u64| sum * service.hosts.len() as u64 / sample.len().max(1) as u64;
        let service_time = service.response_time.mean()?;
        Some(Load { service_time, capacity: extrapolate(capacity), excess: extrapolate(excess) })
    }

    /// Counts a request that starts at a host.
    pub(super) fn begin_request(&mut self, index: Index) {
        if let Some(host) = self.hosts.get_mut(&index) {
            host.busy += 1;
            if let Some(service) = self.services.get_mut(&host.record.service) {
                service.requests.count();
            }
        }
    }

    /// Replaces the numbers of idle flows. `hosts` yields the host of each idle flow.
    pub(super) fn count_idle_flows(&mut self, hosts: impl Iterator<Item = Index>) {
        for host in self.hosts.values_mut() {
            host.idle_flows = 0;
        }
        for index in hosts {
            if let Some(host) = self.hosts.get_mut(&index) {
                host.idle_flows += 1;
            }
        }
    }

    /// Updates the rates of requests.
    pub(super) fn measure_rates(&mut self, now: Time) {
        for service in self.services.values_mut() {
            service.requests.measure(now);
        }
    }

    /// Returns the rate at which this balancer sends requests to an average host of the same service as `index`, in
    /// requests per 1,000 s.
    pub(super) fn rate(&self, index: Index) -> u32 {
        let service = self.hosts.get(&index).and_then(|host| self.services.get(&host.record.service));
        service.map_or(0, |service| {
            let hosts = u32::try_from(service.hosts.len()).unwrap_or(u32::MAX).max(1);
            service.requests.per_second().saturating_mul(1000) / hosts
        })
    }

    /// Counts a request in progress that takes longer than most.
    pub(super) fn count_overdue(&mut self, index: Index) {
        if let Some(host) = self.hosts.get_mut(&index) {
            host.overdue += 1;
        }
    }

    /// Counts the end of a request. `overdue` is true when [`Self::count_overdue`] was called for it.
    pub(super) fn end_request(&mut self, index: Index, overdue: bool) {
        if let Some(host) = self.hosts.get_mut(&index) {
            host.busy = host.busy.saturating_sub(1);
            host.overdue = host.overdue.saturating_sub(u32::from(overdue));
        }
    }

    /// Returns the hosts with a mark: registered ones first, each group in the order in which the hosts started.
    pub(super) fn with_mark(&self, mark: Mark) -> &[Index] {
        self.marks.get(&mark).map_or(&[], |hosts| hosts.as_slice())
    }

    /// Returns true when `index` comes first among the hosts with its mark.
    pub(super) fn owns_mark(&self, index: Index) -> bool {
        let Some(host) = self.hosts.get(&index) else { return false };
        self.with_mark(host.mark).first() == Some(&index)
    }

    /// Adds or updates a registered host. `new_limit` creates the limit of a new entry.
    pub(super) fn register(
        &mut self,
        name: &str,
        host: &registry::Host,
        zone: usize,
        new_limit: impl FnOnce() -> Limit,
    ) {
        let known =
            self.find(name).filter(|index| self.hosts.get(index).is_some_and(|old| is_same_host(&old.record, host)));
        if let Some(index) = known
            && let Some(entry) = self.hosts.get_mut(&index)
        {
            entry.limit.set_slots(host.slots);
            if entry.record.born != host.born {
                entry.unanswered = 0;
                entry.reach = Reach::default();
                entry.suspicion = Suspicion::default();
            }
            entry.record = host.clone();
            entry.grace = None;
            entry.remove_at = Time::NEVER;
            entry.is_replaced = false;
            self.sort_mark(mark_of(host));
            return;
        }
        // A new host, or another one under the same name. In that case the entry of the former host keeps its mark,
        // because it may still have flows.
        let index = self.next;
        self.next = self.next.wrapping_add(1);
        let entry = Host {
            name: name.to_owned(),
            mark: mark_of(host),
            record: host.clone(),
            zone,
            busy: 0,
            overdue: 0,
            idle_flows: 0,
            limit: new_limit(),
            unanswered: 0,
            last_answer: Time::default(),
            reach: Reach::default(),
            suspicion: Suspicion::default(),
            presumed_cold_until: Time::default(),
            warmth_known_from: Time::default(),
            grace: None,
            remove_at: Time::NEVER,
            is_replaced: false,
        };
        self.hosts.insert(index, entry);
        self.names.insert(name.to_owned(), index);
        self.marks.entry(mark_of(host)).or_default().push(index);
        self.services.entry(host.service.clone()).or_default().hosts.push(index);
        self.sort_mark(mark_of(host));
    }

    /// Marks a host as no longer registered. It accepts new flows until `grace` and is removed at `remove_at`.
    pub(super) fn deregister(&mut self, index: Index, grace: Time, remove_at: Time) {
        let Some(host) = self.hosts.get_mut(&index) else { return };
        if host.is_registered() {
            host.grace = Some(grace);
            host.remove_at = remove_at;
        }
        let mark = host.mark;
        self.sort_mark(mark);
    }

    /// Records which of the hosts in `left`, whose registrations have ended, have lost their addresses to others. A
    /// host that registers again under its identifier, for example in another zone, may be running still.
    pub(super) fn mark_replaced(&mut self, left: &[Index]) {
        let mut former: Map<SocketAddrV4, SmallVec<[Index; 1]>> = map::seeded(0);
        for index in left {
            if let Some(host) = self.hosts.get(index) {
                former.entry(host.record.address).or_default().push(*index);
            }
        }
        let mut replaced = Vec::new();
        for host in self.hosts.values().filter(|host| host.is_registered()) {
            let indices = former.get(&host.record.address).into_iter().flatten().copied();
            let is_replaced = |index: &Index| self.hosts.get(index).is_some_and(|left| host.has_replaced(left));
            replaced.extend(indices.filter(is_replaced));
        }
        for index in replaced {
            if let Some(host) = self.hosts.get_mut(&index) {
                host.is_replaced = true;
            }
        }
    }

    /// Removes the hosts whose [`Host::remove_at`] has been reached.
    pub(super) fn remove_expired(&mut self, now: Time) {
        let expired: Vec<Index> =
            self.hosts.iter().filter(|(_, host)| now.reached(host.remove_at)).map(|(index, _)| *index).collect();
        for index in expired {
            let Some(host) = self.hosts.remove(&index) else { continue };
            if self.names.get(&host.name) == Some(&index) {
                self.names.remove(&host.name);
            }
            if let Some(sharing) = self.marks.get_mut(&host.mark) {
                sharing.retain(|other| *other != index);
            }
            if let Some(service) = self.services.get_mut(&host.record.service) {
                service.hosts.retain(|other| *other != index);
            }
            if self.with_mark(host.mark).is_empty() {
                self.marks.remove(&host.mark);
            }
        }
    }

    /// Sorts the hosts with a mark as [`Self::with_mark`] returns them.
    fn sort_mark(&mut self, mark: Mark) {
        let hosts = &self.hosts;
        let sort_key =
            |index: &Index| hosts.get(index).map(|host| (!host.is_registered(), host.record.born, host.record.id));
        if let Some(sharing) = self.marks.get_mut(&mark) {
            sharing.sort_by_key(sort_key);
        }
    }
}

fn mark_of(host: &registry::Host) -> Mark {
    Mark::of(host.id)
}

/// Returns true when both registrations belong to the same host, so its flows and counts stay valid.
fn is_same_host(one: &registry::Host, other: &registry::Host) -> bool {
    (one.id, one.address, &one.service, &one.zone) == (other.id, other.address, &other.service, &other.zone)
}
