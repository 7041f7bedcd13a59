//! Bound on the openings that all balancers together send to a cold host.
//!
//! A service may bound the rate of openings at hosts that have just started. Balancers keep the bound without a message
//! per opening: one member of the host's own zone, its owner, opens flows there, and all others leave the host out
//! until it is warm. The owner has the highest random weight of (host, member) among the members that it sees.
//!
//! # Differing views
//!
//! An owner uses at most half of the bound, so two members that both believe to be the owner stay within it together.
//! So that there are no more than two, a member opens nothing at cold hosts
//!
//! - until its view of the members has settled after its start and after a time without a message from other members,
//!   for example because it was cut off or its process paused,
//! - while it leaves, or sees fewer than half of the members of its zone that it saw lately,
//! - at a host that a member owned before which has just left its view.
//!
//! # Trade-offs
//!
//! Where no member may open, the capacity of a cold host is not used for the rest of its cold start. That is always
//! within the bound. Hosts in a zone without balancers get their first flows when they are warm.

use std::time::Duration;

use super::host::{Host, Index};
use super::{Engine, Outlet};
use crate::map::{self, Map};
use crate::mark::HostId;
use crate::path::MemberId;
use crate::registry::Service;
use crate::time::Time;

/// Window of the bound.
const WINDOW: Duration = Duration::from_secs(1);

/// Time for which a member that left the view keeps its hosts: the window, and the time that may pass between two
/// members learning of the same departure.
const HANDOVER: Duration = Duration::from_millis(1500);

/// Time without a change of the view after which it has settled.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time after which the view counts as settled although members still join, or no other member is known.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(10);

/// Time without a message from other members after which this one counts as cut off. They declare it dead and take over
/// its hosts no sooner.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time for which a member that left the view counts when the view is compared with what was seen lately.
const MEMORY: Duration = Duration::from_mins(1);

/// Openings that an owner may send to a host at once in addition to the first one.
const MAX_BURST: u64 = 1;

/// Time between two attempts to place openings that wait because only cold hosts are left.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Nanoseconds in 1,000 s, the unit of [`Service::cold_rate`].
const RATE_UNIT: u64 = 1_000_000_000_000;

/// Settings of the bound. A cold host gets at most `cold_rate` × `overrun_percent` / 100 + `slack` openings in any
/// second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Percentage by which [`Service::cold_rate`] is multiplied.
    pub overrun_percent: u32,
    /// Number of openings in addition.
    pub slack: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self { overrun_percent: 100, slack: 0 }
    }
}

/// Rate at which an owner opens flows at one cold host of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Pace {
    /// Time between two openings; none if the bound allows no opening for each of two owners.
    interval: Option<Duration>,
    /// Time by which openings may come early, up to [`MAX_BURST`] intervals.
    tolerance: Duration,
    /// When the first opening at this pace may be sent.
    starts: Time,
}

impl Pace {
    /// Returns the pace for the rate of a service, which keeps to half of the bound in each closed window.
    fn new(settings: Settings, cold_rate: u32, starts: Time) -> Self {
        let bound = u64::from(cold_rate) * u64::from(settings.overrun_percent) / 100 + u64::from(settings.slack) * 1000;
        let share = bound / 2 / 1000;
        let rate = u64::from(cold_rate).min(share * 1000);
        if rate == 0 {
            return Self { interval: None, tolerance: Duration::ZERO, starts };
        }
        let interval = Duration::from_nanos(RATE_UNIT / rate + 1);
        let in_window = u64::try_from(WINDOW.as_nanos() / interval.as_nanos()).unwrap_or(u64::MAX) + 1;
        let burst = share.saturating_sub(in_window).min(MAX_BURST);
        let tolerance = if burst > 0 { interval } else { Duration::ZERO };
        Self { interval: Some(interval), tolerance, starts }
    }
}

/// What this member knows of a cold host.
#[derive(Debug, Clone, Copy)]
struct Cold {
    /// When the next opening is due at an even pace.
    next: Time,
    /// Revision of the view that `owned_from` was derived from.
    revision: u64,
    /// When this member owns the host; [`Time::NEVER`] if another one does.
    owned_from: Time,
}

/// A member that left the view.
#[derive(Debug, Clone, Copy)]
struct Departed {
    member: MemberId,
    at: Time,
}

/// Decides whether this member may open a flow at a cold host.
#[derive(Debug)]
pub(super) struct Warmup {
    settings: Settings,
    /// Pace of each service that has a bound.
    paces: Map<String, Pace>,
    hosts: Map<HostId, Cold>,
    /// This member; none until the members are known.
    me: Option<MemberId>,
    /// The other members of the own zone.
    neighbors: Vec<MemberId>,
    /// In the order of [`Departed::at`].
    departed: Vec<Departed>,
    /// Number of the view, which grows with each change.
    revision: u64,
    /// When the view has settled.
    settled: Time,
    /// When the view counts as settled although it grows.
    settle_limit: Time,
    /// When the last message from another member arrived.
    last_contact: Time,
    is_leaving: bool,
    /// When openings that wait for a cold host are tried again.
    retry: Time,
    /// Number of cold hosts that this member owned at the last sweep.
    owned: usize,
}

impl Warmup {
    pub(super) fn new(settings: Settings) -> Self {
        Self {
            settings,
            paces: map::seeded(0),
            hosts: map::seeded(0),
            me: None,
            neighbors: Vec::new(),
            departed: Vec::new(),
            revision: 0,
            settled: Time::NEVER,
            settle_limit: Time::NEVER,
            last_contact: Time::default(),
            is_leaving: false,
            retry: Time::NEVER,
            owned: 0,
        }
    }

    /// Records a message from another member. After a time without one, members may have joined and left unnoticed.
    pub(super) fn record_contact(&mut self, now: Time) {
        if now.since(self.last_contact) > CONTACT_TIMEOUT {
            self.settled = self.settled.max(now + SETTLE_TIME);
            self.settle_limit = now + MAX_SETTLE_TIME;
        }
        self.last_contact = now;
    }

    /// Returns when openings that wait for a cold host are to be tried again.
    pub(super) const fn deadline(&self) -> Time {
        self.retry
    }

    /// Schedules the next attempt to place openings that wait for a cold host.
    pub(super) fn retry_soon(&mut self, now: Time) {
        self.retry = self.retry.min(now + RETRY_INTERVAL);
    }

    /// Returns true once when the next attempt is due.
    pub(super) fn take_retry(&mut self, now: Time) -> bool {
        let is_due = now.reached(self.retry);
        if is_due {
            self.retry = Time::NEVER;
        }
        is_due
    }

    /// Returns true when the bound allows an opening at `host` now.
    pub(super) fn may_open(&mut self, now: Time, host: &Host) -> bool {
        let Some(pace) = self.pace(now, host) else { return true };
        let Some(interval) = pace.interval else { return false };
        if !now.reached(pace.starts) || self.obstacle(now).is_some() {
            return false;
        }
        let cold = self.cold(host.record.id);
        now.reached(cold.owned_from) && now + pace.tolerance.min(interval) >= cold.next
    }

    /// Counts an opening that is sent to `host`.
    pub(super) fn count(&mut self, now: Time, host: &Host) {
        let Some(Pace { interval: Some(interval), .. }) = self.pace(now, host) else { return };
        let id = host.record.id;
        self.cold(id);
        if let Some(cold) = self.hosts.get_mut(&id) {
            cold.next = cold.next.max(now) + interval;
        }
    }

    /// Returns true when `host` is cold and its service has a bound.
    pub(super) fn is_bounded(&self, now: Time, host: &Host) -> bool {
        self.pace(now, host).is_some()
    }

    /// Returns the pace of the openings at `host`; none without a bound.
    fn pace(&self, now: Time, host: &Host) -> Option<Pace> {
        if self.paces.is_empty() || !host.is_cold(now) {
            return None;
        }
        self.paces.get(&host.record.service).copied()
    }

    /// Returns why this member may open flows at no cold host at all.
    fn obstacle(&self, now: Time) -> Option<&'static str> {
        if self.me.is_none() || !now.reached(self.settled) {
            return Some("the view of the members has not settled");
        }
        if self.is_leaving {
            return Some("this member leaves");
        }
        if !self.neighbors.is_empty() && now.since(self.last_contact) > CONTACT_TIMEOUT {
            return Some("no other member is heard");
        }
        let forgotten = self.departed.partition_point(|departed| now.reached(departed.at + MEMORY));
        let missing = self.departed.len() - forgotten;
        // This member counts as well. With exactly half of the members, both halves of a divided zone may have an
        // owner, since each owner uses half of the bound.
        (missing > self.neighbors.len() + 1).then_some("fewer than half of the zone's members are seen")
    }

    /// Returns the entry of a cold host with its ownership by the present view.
    fn cold(&mut self, host: HostId) -> Cold {
        let known = self.hosts.get(&host).copied();
        if let Some(cold) = known.filter(|cold| cold.revision == self.revision) {
            return cold;
        }
        let next = known.map_or(Time::default(), |cold| cold.next);
        let cold = Cold { next, revision: self.revision, owned_from: self.owned_from(host) };
        self.hosts.insert(host, cold);
        cold
    }

    /// Returns when this member owns a host. A member that left the view counts for [`HANDOVER`] longer.
    fn owned_from(&self, host: HostId) -> Time {
        let Some(me) = self.me else { return Time::NEVER };
        let mine = weight(host, me);
        let is_ahead = |member: MemberId| weight(host, member) > mine;
        if self.neighbors.iter().any(|member| is_ahead(*member)) {
            return Time::NEVER;
        }
        let departed = self.departed.iter().filter(|departed| is_ahead(departed.member));
        departed.map(|departed| departed.at + HANDOVER).max().unwrap_or_default()
    }

    /// Replaces the bounds of the services. A changed pace starts after a window, so that the openings before it count
    /// under the bound before it.
    fn set_services(&mut self, now: Time, services: &[Service]) {
        let mut paces = map::seeded(0);
        for service in services.iter().filter(|service| service.cold_rate > 0) {
            let mut pace = Pace::new(self.settings, service.cold_rate, now + WINDOW);
            if let Some(old) = self.paces.get(&service.name)
                && (old.interval, old.tolerance) == (pace.interval, pace.tolerance)
            {
                pace.starts = old.starts;
            }
            paces.insert(service.name.clone(), pace);
        }
        self.paces = paces;
    }

    /// Replaces the view of the members of the own zone.
    fn set_members(&mut self, now: Time, me: MemberId, neighbors: &[MemberId]) {
        if self.me.replace(me) != Some(me) {
            self.settled = now + MAX_SETTLE_TIME;
            self.settle_limit = Time::NEVER;
        }
        let has_grown = neighbors.iter().any(|member| !self.neighbors.contains(member));
        let left = self.neighbors.iter().filter(|member| !neighbors.contains(member));
        let left: Vec<Departed> = left.map(|member| Departed { member: *member, at: now }).collect();
        self.departed.retain(|departed| !neighbors.contains(&departed.member) && !now.reached(departed.at + MEMORY));
        self.departed.extend(left);
        self.neighbors = neighbors.to_vec();
        self.revision += 1;
        if has_grown && !now.reached(self.settled) {
            self.settle_limit = self.settle_limit.min(now + MAX_SETTLE_TIME);
            self.settled = (now + SETTLE_TIME).min(self.settle_limit);
        }
    }
}

impl Engine {
    /// Replaces the members of the own zone: this one and the others that may be alive. They share out the cold hosts
    /// of the zone.
    pub fn set_members(&mut self, now: Time, me: MemberId, neighbors: &[MemberId]) {
        self.warmup.set_members(now, me, neighbors);
    }

    /// Replaces the services that state a cold start time or a bound on the openings at cold hosts.
    pub fn set_services(&mut self, now: Time, services: &[Service]) {
        self.drains.set_services(services);
        self.warmup.set_services(now, services);
    }

    /// Records that this balancer leaves. The routers move its flows, and others own its cold hosts.
    pub fn leave(&mut self, now: Time) {
        self.warmup.is_leaving = true;
        self.flows_may_move(now);
    }

    /// Returns true when an opening may be sent to the host `index` now: it is warm, its service has no bound, or this
    /// member owns the host and the bound allows it.
    pub(super) fn may_open(&mut self, now: Time, index: Index) -> bool {
        let (hosts, warmup, zone) = (&self.hosts, &mut self.warmup, &self.settings.zone);
        hosts
            .get(index)
            .is_none_or(|host| !warmup.is_bounded(now, host) || may_own(zone, host) && warmup.may_open(now, host))
    }

    /// Returns true when a cold host of the service would accept a new flow if the bound allowed it.
    pub(super) fn has_cold_host(&self, now: Time, service: &str) -> bool {
        let hosts = self.hosts.with_service(service).iter().filter_map(|index| self.hosts.get(*index));
        hosts.into_iter().any(|host| host.accepts_new(now) && self.warmup.is_bounded(now, host))
    }

    /// Counts an opening that is sent to the host `index`.
    pub(super) fn count_opening(&mut self, now: Time, index: Index) {
        if let Some(host) = self.hosts.get(index) {
            self.warmup.count(now, host);
        }
    }

    /// Counts the cold hosts whose services have a bound, and reports when this member begins or ceases to own some.
    pub(super) fn sweep_cold_hosts(&mut self, now: Time, outlet: &mut dyn Outlet) {
        let (hosts, warmup, zone) = (&self.hosts, &mut self.warmup, &self.settings.zone);
        let cold: Vec<&Host> = hosts.iter().map(|(_, host)| host).filter(|host| warmup.is_bounded(now, host)).collect();
        self.counters.cold_hosts = cold.len() as u64;
        let near: Vec<HostId> = cold.iter().filter(|host| may_own(zone, host)).map(|host| host.record.id).collect();
        warmup.hosts.retain(|id, cold| near.contains(id) || !now.reached(cold.next + WINDOW));
        let obstacle = warmup.obstacle(now);
        let owned = near.iter().filter(|id| obstacle.is_none() && now.reached(warmup.cold(**id).owned_from)).count();
        let before = std::mem::replace(&mut warmup.owned, owned);
        if (owned > 0) == (before > 0) {
            return;
        }
        let name = if owned > 0 { "cold_hosts.owned" } else { "cold_hosts.released" };
        let detail =
            obstacle.unwrap_or(if owned > 0 { "opens flows there" } else { "warm, gone or owned by another member" });
        outlet.record_event(now, name, &owned.max(before).to_string(), detail);
    }
}

/// Returns true when a member of `zone` may own the host.
fn may_own(zone: &str, host: &Host) -> bool {
    host.record.zone == zone
}

/// Returns the weight of a member for a host, equal on every balancer. The identifier decides between equal hashes.
fn weight(host: HostId, member: MemberId) -> (u64, MemberId) {
    (map::hash(host.0, &member.0), member)
}
