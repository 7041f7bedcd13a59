//! Avoidance of outliers: hosts that accept connections, but do not respond to requests.
//!
//! In a large fleet, each balancer sends a host only a few requests a minute, so its own observations come too late. A
//! balancer therefore reports each silence of a host, and members tell each other of the hosts that several of them
//! reported. New flows avoid a suspected host as long as another one has capacity; its established flows are not
//! affected.
//!
//! # Trade-offs
//!
//! Requests whose processing takes long look like silence, so some hosts are suspected wrongly. That costs little,
//! because a suspicion only makes the host the last choice, ends soon, and never concerns more than a quarter of the
//! hosts of a service. If more were suspected, the remaining hosts would get so much work that they fell silent too.

use std::time::Duration;

use rand::RngExt as _;

use super::host::Index;
use super::{Engine, Outlet, Silence};
use crate::mark::{HostId, Mark};
use crate::time::Time;

/// Time for which new flows avoid a host that did not respond to this balancer.
const OWN_SUSPICION: Duration = Duration::from_secs(1);

/// Minimum time for which new flows avoid a host that did not respond to several members; doubles with each further
/// suspicion in a row. Up to [`MAX_JITTER_PERCENT`] is added at random, so that few members try the host again first and
/// tell the others if it is still silent.
const SHARED_SUSPICION: Duration = Duration::from_secs(4);

/// Maximum share of that time that is added to it, in percent.
const MAX_JITTER_PERCENT: u32 = 100;

/// Maximum exponent of that time.
const MAX_DOUBLINGS: u32 = 2;

/// Time without a suspicion after which the next one does not count as being in a row.
const FORGET_TIME: Duration = Duration::from_secs(16);

/// Time after a request within which its response contradicts the reports of others.
const OWN_EVIDENCE: Duration = Duration::from_millis(300);

/// Maximum share of the hosts of a service that may be suspected: one in this many.
const MAX_SUSPECTED: usize = 4;

/// What responses and their absence tell about one host.
#[derive(Debug, Default)]
pub(super) struct Suspicion {
    /// Time until which new flows avoid the host.
    until: Time,
    /// Number of shared suspicions in a row.
    in_a_row: u32,
    /// When the latest request was sent that the host has answered.
    last_answered: Time,
}

impl Suspicion {
    pub(super) fn is_active(&self, now: Time) -> bool {
        !now.reached(self.until)
    }

    /// Returns true when the host has answered a request that was sent at `time` or later.
    pub(super) fn has_answered_since(&self, time: Time) -> bool {
        self.last_answered >= time
    }

    /// Returns true when the host has answered a request that was sent a moment ago.
    fn answered_recently(&self, now: Time) -> bool {
        !now.reached(self.last_answered + OWN_EVIDENCE)
    }

    /// Records the response to a request that was sent at `sent`. A timely one ends the suspicion.
    pub(super) fn answered(&mut self, sent: Time, is_timely: bool) {
        self.last_answered = self.last_answered.max(sent);
        if is_timely {
            self.until = Time::default();
            self.in_a_row = 0;
        }
    }

    /// Records that the host did not respond to this balancer.
    fn begin_own(&mut self, now: Time) {
        self.until = self.until.max(now + OWN_SUSPICION);
    }

    /// Records that the host did not respond to several members. Adds `jitter_percent` to the time of the suspicion.
    fn begin_shared(&mut self, now: Time, jitter_percent: u32) {
        if now.reached(self.until + FORGET_TIME) {
            self.in_a_row = 0;
        }
        let time = SHARED_SUSPICION * (1 << self.in_a_row) * (100 + jitter_percent) / 100;
        self.until = self.until.max(now + time);
        self.in_a_row = (self.in_a_row + 1).min(MAX_DOUBLINGS);
    }
}

impl Engine {
    /// Makes new flows avoid the host `id`, which several members reported as silent.
    pub fn suspect(&mut self, now: Time, id: HostId, outlet: &mut dyn Outlet) {
        let mut sharing = self.hosts.with_mark(Mark::of(id)).iter().copied();
        let found = sharing.find(|index| self.hosts.get(*index).is_some_and(|host| host.record.id == id));
        let Some(index) = found.filter(|index| self.may_suspect(now, *index)) else { return };
        let jitter_percent = self.random.random_range(0..=MAX_JITTER_PERCENT);
        let Some(host) = self.hosts.get_mut(index) else { return };
        if host.suspicion.answered_recently(now) {
            return;
        }
        host.suspicion.begin_shared(now, jitter_percent);
        outlet.record_event(now, "host.suspected", &host.name, "it did not respond to several members");
    }

    /// Reports that the host `index` did not answer an opening that was sent at `sent`, unless this balancer's own link
    /// may be the cause.
    pub(super) fn report_silence(&mut self, now: Time, index: Index, sent: Time, outlet: &mut dyn Outlet) {
        let Some(host) = self.hosts.get(index) else { return };
        let own_link_works = self.last_prompt_answer.max(self.last_answered_request) >= sent;
        if own_link_works && !self.links[host.zone].is_down() {
            self.host_silent(now, index, outlet);
        }
    }

    /// Suspects a host that is silent while others answer, and reports it.
    pub(super) fn host_silent(&mut self, now: Time, index: Index, outlet: &mut dyn Outlet) {
        let Some(host) = self.hosts.get(index) else { return };
        let silence = Silence { host: host.record.id, rate: self.hosts.rate(index) };
        outlet.report_silence(&silence);
        if self.may_suspect(now, index)
            && let Some(host) = self.hosts.get_mut(index)
        {
            host.suspicion.begin_own(now);
        }
    }

    /// Returns true when no more hosts of the service are suspected than [`MAX_SUSPECTED`] allows, the host `index`
    /// included.
    fn may_suspect(&self, now: Time, index: Index) -> bool {
        let Some(host) = self.hosts.get(index) else { return false };
        let hosts = self.hosts.with_service(&host.record.service);
        let is_suspected = |other: &&Index| {
            **other == index || self.hosts.get(**other).is_some_and(|host| host.suspicion.is_active(now))
        };
        hosts.iter().filter(is_suspected).count() * MAX_SUSPECTED <= hosts.len()
    }
}
