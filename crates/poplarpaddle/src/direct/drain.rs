//! Drained zones, whose hosts get no new flows, and the return of a zone.
//!
//! An operator drains a zone and takes it back later. The order is in force from the next opening on: openings that are
//! queued, buffered or retransmitted by their callers leave the zone too. Established flows stay.
//!
//! If every usable host of a service is in a drained zone, its openings are placed as if no zone was drained. Hosts
//! that are unreachable or do not answer count as usable here, because an order must not end when links fail. The
//! exception is a balancer that is cut off from every zone with other hosts and from the store as well: it cannot know
//! whether the order still holds, and its callers would get no answer at all. It uses drained zones until it reaches
//! another zone or the store.
//!
//! The hosts of a zone may have become cold while it was drained. Their registrations and the end of the drain arrive
//! independently of each other, so the hosts of a zone that has just returned are presumed to be cold.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt as _;
use smallvec::SmallVec;

use super::host::{Host, Index};
use super::select::MAX_CANDIDATES;
use super::{Engine, Outlet};
use crate::map::{self, Map};
use crate::registry::Service;
use crate::time::Time;

/// Time for which a host that starts is slower than usual, if its service states none.
const DEFAULT_COLD_START: Duration = Duration::from_secs(2);

/// Time after the return of a zone in which registrations that were written before it may still arrive.
const REORDERING: Duration = Duration::from_millis(500);

/// Time between two checks whether the store responds, while no host outside the drained zones can be reached.
const STORE_CHECK_PAUSE: Duration = Duration::from_secs(1);

/// Time for which the balancer counts as cut off after a check to which the store did not respond. It covers the time
/// to the result of the next check while openings arrive. After a pause without openings, the state of the network is
/// unknown again.
const CUT_OFF_TIME: Duration = Duration::from_millis(1500);

/// Maximum number of hosts that are drawn at random to find [`MAX_CANDIDATES`] usable ones.
const MAX_DRAWS: usize = 4 * MAX_CANDIDATES;

/// State of the zone drains.
#[derive(Debug)]
pub(super) struct Drains {
    /// False while openings wait until the drained zones are known.
    is_known: bool,
    /// Names of the drained zones, including those without hosts.
    zones: BTreeSet<String>,
    /// Whether the zone of each link is drained, by the index of the link.
    links: Vec<bool>,
    /// Time for which a host of a service is slower after its start, for each service that states one.
    cold_starts: Map<String, Duration>,
    /// Services whose usable hosts are all in drained zones.
    exhausted: BTreeSet<String>,
    /// Services that were added to `exhausted` and that no event has been recorded for.
    unreported: Vec<String>,
    /// Time until which this balancer counts as cut off from the hosts outside the drained zones and from the store.
    cut_off_until: Time,
    /// True when the caller has to check whether the store responds.
    wants_store_check: bool,
    /// True while a check is in progress and no zone has been regained since it began.
    awaits_store_check: bool,
    next_store_check: Time,
}

impl Drains {
    /// Returns the state without drained zones and links. `is_known` is false if openings have to wait until the
    /// drained zones are known.
    pub(super) fn new(is_known: bool) -> Self {
        Self {
            is_known,
            zones: BTreeSet::new(),
            links: Vec::new(),
            cold_starts: map::seeded(0),
            exhausted: BTreeSet::new(),
            unreported: Vec::new(),
            cut_off_until: Time::default(),
            wants_store_check: false,
            awaits_store_check: false,
            next_store_check: Time::default(),
        }
    }

    /// Replaces the cold start times of the services.
    pub(super) fn set_services(&mut self, services: &[Service]) {
        let stated = services.iter().filter(|service| service.cold_start_ms > 0);
        let time = |service: &Service| Duration::from_millis(u64::from(service.cold_start_ms));
        self.cold_starts.clear();
        self.cold_starts.extend(stated.map(|service| (service.name.clone(), time(service))));
    }

    /// Returns the time for which a host of `service` is slower after its start.
    fn cold_start(&self, service: &str) -> Duration {
        self.cold_starts.get(service).copied().unwrap_or(DEFAULT_COLD_START)
    }

    pub(super) const fn is_known(&self) -> bool {
        self.is_known
    }

    /// Adds the next link, which leads to `zone`.
    pub(super) fn add_link(&mut self, zone: &str) {
        self.links.push(self.zones.contains(zone));
    }

    /// Returns true when the host gets no new flows because its zone is drained.
    pub(super) fn excludes(&self, now: Time, host: &Host) -> bool {
        self.contains(host) && !self.is_cut_off(now) && !self.exhausted.contains(&host.record.service)
    }

    /// Returns true when the host is in a drained zone.
    fn contains(&self, host: &Host) -> bool {
        self.links[host.zone]
    }

    /// Returns true when at least one zone is drained.
    fn is_active(&self) -> bool {
        !self.zones.is_empty()
    }

    /// Records that no host outside the drained zones can be reached. Returns true if drained zones may be used.
    fn may_use_drained(&mut self, now: Time) -> bool {
        if now.reached(self.next_store_check) {
            self.next_store_check = now + STORE_CHECK_PAUSE;
            self.wants_store_check = true;
        }
        self.is_cut_off(now)
    }

    fn is_cut_off(&self, now: Time) -> bool {
        !now.reached(self.cut_off_until)
    }

    /// Records that another zone can be reached. The result of a check in progress is then ignored.
    pub(super) fn end_cut_off(&mut self) {
        self.cut_off_until = Time::default();
        self.awaits_store_check = false;
    }

    /// Drains a zone or ends its drain. Returns false if that changes nothing.
    fn set(&mut self, zone: &str, drained: bool) -> bool {
        // Every change results in another set of usable hosts, so the services have to be evaluated and reported again.
        self.exhausted.clear();
        if drained { self.zones.insert(zone.to_owned()) } else { self.zones.remove(zone) }
    }

    /// Records whether all usable hosts of a service are in drained zones.
    fn set_exhausted(&mut self, service: &str, is_exhausted: bool) {
        if is_exhausted == self.exhausted.contains(service) {
            return;
        }
        if is_exhausted {
            self.exhausted.insert(service.to_owned());
            self.unreported.push(service.to_owned());
        } else {
            self.exhausted.remove(service);
        }
    }
}

impl Engine {
    /// Drains a zone, so that its hosts get no new flows, or ends its drain. A zone without hosts may be drained too.
    pub fn set_zone_drain(&mut self, now: Time, zone: &str, drained: bool, outlet: &mut dyn Outlet) {
        if !self.drains.set(zone, drained) {
            return;
        }
        let link = self.links.iter().position(|link| link.zone == zone);
        let is_empty = link.is_none_or(|link| self.hosts.iter().all(|(_, host)| host.zone != link));
        if drained && is_empty && !self.hosts.is_empty() {
            outlet.record_event(now, "zone.without_hosts", zone, "the zone was drained, but no host is in it");
        }
        let Some(link) = link else { return };
        self.drains.links[link] = drained;
        if !drained {
            self.presume_cold(now, link);
        }
        self.serve_queue_soon(now);
    }

    /// Records that the drained zones are known, which openings wait for if
    /// [`Settings::zone_drains`](super::Settings::zone_drains) is set.
    pub fn zone_drains_known(&mut self) {
        self.drains.is_known = true;
        self.update_ready();
    }

    /// Returns true when the caller has to check whether the store responds. Each check is requested once, and its
    /// result is passed to [`Self::store_checked`].
    pub const fn take_store_check(&mut self) -> bool {
        let wants_check = std::mem::replace(&mut self.drains.wants_store_check, false);
        self.drains.awaits_store_check |= wants_check;
        wants_check
    }

    /// Records the result of a check whether the store responds.
    pub fn store_checked(&mut self, now: Time, responds: bool, outlet: &mut dyn Outlet) {
        let counts = std::mem::replace(&mut self.drains.awaits_store_check, false);
        let was_cut_off = self.drains.is_cut_off(now);
        let is_cut_off = !responds && counts;
        self.drains.cut_off_until = if is_cut_off { now + CUT_OFF_TIME } else { Time::default() };
        if is_cut_off && !was_cut_off {
            let detail =
                "no host outside the drained zones and no store can be reached, so new flows go to drained zones";
            outlet.record_event(now, "zones.cut_off", &self.settings.zone, detail);
        }
        self.serve_queue_soon(now);
    }

    /// Records an event for each service that has had to use drained zones since the last call.
    pub(super) fn report_exhausted(&mut self, now: Time, outlet: &mut dyn Outlet) {
        for service in self.drains.unreported.drain(..) {
            let detail = "every usable host is in a drained zone, so new flows go there nevertheless";
            outlet.record_event(now, "zones.all_drained", &service, detail);
        }
    }

    /// Returns the hosts of a service to compare: usable ones outside drained zones. Returns none if no zone is drained
    /// or all usable hosts are in drained zones.
    pub(super) fn undrained_candidates(
        &mut self,
        now: Time,
        service: &str,
    ) -> Option<SmallVec<[Index; MAX_CANDIDATES]>> {
        if !self.drains.is_active() {
            return None;
        }
        let is_usable = |index: &Index| {
            let host = self.hosts.get(*index).filter(|host| host.accepts_new(now) && !self.drains.contains(host));
            host.is_some() && self.hosts.owns_mark(*index)
        };
        let hosts = self.hosts.with_service(service);
        let mut usable = SmallVec::new();
        if hosts.len() > MAX_CANDIDATES {
            let draws = (0..MAX_DRAWS).map(|_| hosts[self.random.random_range(0..hosts.len())]);
            usable.extend(draws.filter(is_usable).take(MAX_CANDIDATES));
        }
        if usable.is_empty() {
            usable.extend(hosts.iter().copied().filter(is_usable).take(MAX_CANDIDATES));
        }
        let is_exhausted = usable.is_empty() && !hosts.is_empty();
        self.drains.set_exhausted(service, is_exhausted);
        let is_lost = |index: &Index| self.hosts.get(*index).is_some_and(|host| self.links[host.zone].is_down());
        if usable.is_empty() || (usable.iter().all(is_lost) && self.drains.may_use_drained(now)) {
            return None;
        }
        Some(usable)
    }

    /// Ends the presumption that a host is cold, because its registration has changed, unless the registration may be
    /// older than the return of its zone.
    pub(super) fn confirm_warmth(&mut self, now: Time, index: Index) {
        let Some(host) = self.hosts.get_mut(index) else { return };
        if now.reached(host.warmth_known_from) {
            host.presumed_cold_until = Time::default();
        }
    }

    /// Presumes that the hosts of a zone are cold, because its drain has ended.
    fn presume_cold(&mut self, now: Time, link: usize) {
        for host in self.hosts.iter_mut().filter(|host| host.zone == link) {
            host.presumed_cold_until = now + self.drains.cold_start(&host.record.service);
            host.warmth_known_from = now + REORDERING;
        }
    }
}
