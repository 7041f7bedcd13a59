//! What a node does against the object store: contending for leases, and the duties of a lease holder.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use super::departure::TTL_MS;
use super::spread::Source;
use super::{Action, CallId, Digest, Node, Offer};
use crate::config;
use crate::lease::Lease;
use crate::map;
use crate::membership::millis;
use crate::path::MemberId;
use crate::store::{Call, Object, Outcome, Vm, VmState};
use crate::time::Time;
use crate::wire::{Leaving, Record, State};

mod report;

use report::Reporter;

/// Leases of a zone.
const LEASES: usize = 2;

/// Members of a zone that contend for its leases.
const CONTENDERS: usize = 3;

/// Seed of the weights that choose contenders; the same on all members.
const WEIGHT_SEED: u64 = 0x6c65_6173_6573;

/// Grace beyond the deadline of a call before its answer counts as lost.
const GRACE: Duration = Duration::from_millis(500);

/// What a call is for.
#[derive(Debug, Clone, Copy)]
pub(super) enum Purpose {
    Lease(usize),
    Watch,
    Vms,
    Part(Digest),
    ReadStatus,
    WriteStatus,
}

#[derive(Debug)]
struct Running {
    purpose: Purpose,
    until: Time,
}

/// A call that is repeated.
#[derive(Debug, Default)]
struct Repeated {
    running: bool,
    next: Time,
    started: Time,
}

impl Repeated {
    const fn is_due(&self, now: Time) -> bool {
        !self.running && now.reached(self.next)
    }

    const fn start(&mut self, now: Time) {
        self.running = true;
        self.started = now;
    }

    fn end(&mut self, next: Time) {
        self.running = false;
        self.next = next;
    }
}

/// Calls to the store and what they gave.
#[derive(Debug)]
pub(super) struct Relay {
    pub(super) leases: Vec<Lease>,
    held: [Option<u64>; LEASES],
    /// Latest call of each lease.
    lease_calls: [CallId; LEASES],
    calls: BTreeMap<CallId, Running>,
    serial: u64,
    watch: Repeated,
    manifest_version: u64,
    vms: Repeated,
    pub(super) reporter: Reporter,
    part_retry: Time,
    contend_from: Time,
    /// True when this node is one of the contenders of its zone.
    pub(super) contender: bool,
}

impl Relay {
    pub(super) fn new(now: Time, settings: &super::Settings) -> Self {
        let lease = |n: usize| Lease::new(settings.lease.clone(), format!("{}-{n}", settings.zone), settings.id);
        Self {
            leases: (0..LEASES).map(lease).collect(),
            held: [None; LEASES],
            lease_calls: [CallId(0); LEASES],
            calls: BTreeMap::new(),
            serial: 0,
            watch: Repeated::default(),
            manifest_version: 0,
            vms: Repeated::default(),
            reporter: Reporter::default(),
            part_retry: Time::default(),
            contend_from: now + millis(settings.contend_ms),
            contender: false,
        }
    }

    /// Returns the number and the epoch of a lease that is held.
    pub(super) fn holds(&self, now: Time) -> Option<(usize, u64)> {
        let held = self.leases.iter().enumerate();
        held.into_iter().find_map(|(n, lease)| lease.holds(now).map(|epoch| (n, epoch)))
    }

    pub(super) fn deadline(&self) -> Time {
        let leases = self.leases.iter().map(Lease::deadline);
        let calls = self.calls.values().map(|running| running.until);
        // A lapsed lease has no deadline and no duties.
        let held = self.leases.iter().zip(&self.held).filter(|(_, held)| held.is_some());
        let until = held.map(|(lease, _)| lease.until()).min();
        let duties = [&self.watch, &self.vms, &self.reporter.repeated];
        let duties = duties.into_iter().filter(|duty| until.is_some() && !duty.running).map(|duty| duty.next);
        leases.chain(calls).chain(duties).chain(until).min().unwrap_or(Time::NEVER)
    }
}

impl Node {
    /// Performs what is due against the store.
    pub(super) fn relay(&mut self, now: Time) {
        self.expire_calls(now);
        self.contend(now);
        self.note_leases(now);
        self.store_parts(now);
        if self.relay.holds(now).is_none() {
            return;
        }
        if self.relay.watch.is_due(now) {
            self.watch(now);
        }
        if self.relay.vms.is_due(now) {
            self.relay.vms.start(now);
            self.call(now, Purpose::Vms, self.settings.call_ms, Call::Vms);
        }
        if self.relay.reporter.repeated.is_due(now) {
            self.read_status(now);
        }
    }

    fn call(&mut self, now: Time, purpose: Purpose, time_ms: u64, call: Call) -> CallId {
        self.relay.serial += 1;
        let id = CallId(self.relay.serial);
        let deadline = now + millis(time_ms);
        self.relay.calls.insert(id, Running { purpose, until: deadline + GRACE });
        self.actions.push(Action::Store { id, call, deadline });
        id
    }

    /// Treats calls without an answer as ones with an unknown outcome.
    fn expire_calls(&mut self, now: Time) {
        let due = self.relay.calls.iter().filter(|(_, running)| now.reached(running.until));
        let due: Vec<_> = due.map(|(id, _)| *id).collect();
        for id in due {
            self.store_answer(now, id, &Outcome::Unknown);
        }
    }

    pub(super) fn store_answer(&mut self, now: Time, id: CallId, outcome: &Outcome) {
        let Some(running) = self.relay.calls.remove(&id) else { return };
        match running.purpose {
            Purpose::Lease(n) if self.relay.lease_calls[n] == id => self.relay.leases[n].outcome(now, outcome),
            // The lease gave this call up and made another one, which this answer must not be taken for.
            Purpose::Lease(_) => {}
            Purpose::Watch => self.watched(now, outcome),
            Purpose::Vms => self.listed(now, outcome),
            Purpose::Part(digest) => self.store_part(now, digest, outcome),
            Purpose::ReadStatus => self.status_read(now, outcome),
            Purpose::WriteStatus => self.status_written(),
        }
    }

    /// Returns true when this node is one of the members of its zone with the highest weight.
    pub(super) fn is_contender(&self) -> bool {
        let me = self.membership.me();
        if me.state != State::Alive {
            return false;
        }
        let weight = |id: MemberId| Reverse((map::hash(WEIGHT_SEED, &id.0), id));
        let rival = |record: &&Record| record.zone == me.zone && matches!(record.state, State::Alive | State::Suspect);
        let heavier = self.membership.others().filter(rival).filter(|record| weight(record.id) < weight(me.id));
        heavier.take(CONTENDERS).count() < CONTENDERS
    }

    /// Contends for one lease; a node that has one leaves the other to others.
    fn contend(&mut self, now: Time) {
        // A node that has just started does not know the members of its zone yet.
        let contender = now.reached(self.relay.contend_from) && self.relay.contender;
        for n in 0..LEASES {
            let engaged = self.relay.leases[n].engaged();
            let other = (0..LEASES).any(|m| m != n && self.relay.leases[m].engaged());
            let wanted = contender && (engaged || !other);
            if let Some(call) = self.relay.leases[n].tick(now, wanted) {
                self.relay.lease_calls[n] = self.call(now, Purpose::Lease(n), self.settings.lease.call_ms, call);
            }
        }
    }

    fn note_leases(&mut self, now: Time) {
        for n in 0..LEASES {
            let lease = &self.relay.leases[n];
            let (held, before) = (lease.holds(now), self.relay.held[n]);
            if held == before {
                continue;
            }
            let name = lease.name().to_owned();
            self.relay.held[n] = held;
            let (event, epoch) = held.map_or(("lease.lost", before), |epoch| ("lease.held", Some(epoch)));
            self.event(now, event, name, format!("epoch {}", epoch.unwrap_or(0)));
        }
    }

    fn watch(&mut self, now: Time) {
        self.relay.watch.start(now);
        let watch_ms = self.settings.watch_ms;
        let (kind, name) = ("manifest".to_owned(), self.settings.fleet.clone());
        let call = Call::Watch { kind, name, after: self.relay.manifest_version, deadline: now + millis(watch_ms) };
        self.call(now, Purpose::Watch, watch_ms + self.settings.call_ms, call);
    }

    fn watched(&mut self, now: Time, outcome: &Outcome) {
        // An unchanged object before the deadline of the watch must not lead to a busy loop.
        let pause = (self.relay.watch.started + millis(self.settings.store_retry_ms)).max(now);
        self.relay.watch.end(pause);
        let Outcome::Object(Some(object)) = outcome else { return };
        if object.version == self.relay.manifest_version {
            return;
        }
        self.relay.watch.end(now);
        self.relay.manifest_version = object.version;
        match self.offer(now, &encoded(object)) {
            Ok(Offer::Missing(_)) => {
                self.spread.source = Source::Store;
                self.relay.part_retry = now;
            }
            Ok(Offer::Applied | Offer::Current) => {}
            // The manifest of the store only goes up, so this is a restored or a foreign object.
            Ok(Offer::Stale) => {
                self.event(now, "config.stale", object.name.clone(), format!("version {}", object.version));
            }
            Err(error) => self.event(now, "config.refused", object.name.clone(), error.to_string()),
        }
    }

    /// Reads missing parts of a manifest that came from the store.
    fn store_parts(&mut self, now: Time) {
        if self.spread.source != Source::Store || !now.reached(self.relay.part_retry) {
            return;
        }
        for digest in self.spread.start_parts(None, now + millis(self.settings.call_ms) + GRACE) {
            let (kind, name) = ("part".to_owned(), digest.to_string());
            self.call(now, Purpose::Part(digest), self.settings.call_ms, Call::Get { kind, name });
        }
    }

    fn store_part(&mut self, now: Time, digest: Digest, outcome: &Outcome) {
        if !self.spread.end_part(&digest) {
            return;
        }
        let result = match outcome {
            Outcome::Object(Some(object)) => {
                self.supply(now, digest, &encoded(object)).map(|_| ()).map_err(|e| e.to_string())
            }
            other => Err(format!("{other:?}")),
        };
        if let Err(text) = result {
            self.relay.part_retry = now + millis(self.settings.store_retry_ms);
            let name = digest.to_string();
            self.event(now, "config.part-failed", name, text);
        }
    }

    fn listed(&mut self, now: Time, outcome: &Outcome) {
        let next = (self.relay.vms.started + millis(self.settings.vms_ms)).max(now);
        self.relay.vms.end(next);
        let Outcome::Vms(vms) = outcome else { return };
        for vm in vms.iter().filter(|vm| vm.role == "target" && vm.state == VmState::Leaving) {
            if let Ok(host) = vm.address.parse::<Ipv4Addr>() {
                self.depart(now, Leaving { host, ttl_ms: TTL_MS });
            }
        }
        let seeds = self.balancers(vms);
        self.membership.set_discovered_seeds(seeds);
    }

    /// Returns the balancers in zones where members are known, those of the own zone first. Balancers of other regions
    /// would refuse the contact.
    fn balancers(&self, vms: &[Vm]) -> Vec<SocketAddr> {
        let own = &self.settings.zone;
        let near = |vm: &&Vm| vm.zone == *own || self.membership.others().any(|record| record.zone == vm.zone);
        let live = vms.iter().filter(|vm| vm.role == "balancer" && vm.state == VmState::Live);
        let mut found: Vec<_> = live.filter(near).collect();
        found.sort_by_key(|vm| (vm.zone != *own, &vm.name));
        found.into_iter().filter_map(|vm| vm.address.parse().ok()).collect()
    }
}

/// Returns the bytes of a manifest or part that its digest stands for. A value that cannot be encoded gives no bytes,
/// which no digest matches.
fn encoded(object: &Object) -> Vec<u8> {
    config::encode(&object.value).unwrap_or_default()
}
