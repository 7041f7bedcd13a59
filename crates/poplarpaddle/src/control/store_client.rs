//! The store calls of a node: contending for the leases of its zone, and the duties of a lease holder.
//!
//! A lease holder watches the manifest, reads the VM list and writes the status of its zone. All other nodes get the
//! configuration and the leaving hosts from their peers.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use super::fetch::Source;
use super::leaving::TTL_MS;
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

/// Number of leases of a zone.
const LEASES: usize = 2;

/// Number of members of a zone that contend for its leases.
const CONTENDERS: usize = 3;

/// Seed of the weights that select the contenders; the same on all members.
const WEIGHT_SEED: u64 = 0x6c65_6173_6573;

/// Time from the deadline of a call until its response counts as lost.
const GRACE: Duration = Duration::from_millis(500);

/// Purpose of a store call; that of a lease call contains the index of the lease.
#[derive(Debug, Clone, Copy)]
pub(super) enum Purpose {
    Lease(usize),
    Watch,
    Vms,
    Part(Digest),
    ReadStatus,
    WriteStatus,
}

/// A store call whose outcome is pending.
#[derive(Debug)]
struct Request {
    purpose: Purpose,
    until: Time,
}

/// Schedule of a call that is repeated periodically.
#[derive(Debug, Default)]
struct Schedule {
    in_flight: bool,
    next: Time,
    started: Time,
}

impl Schedule {
    const fn is_due(&self, now: Time) -> bool {
        !self.in_flight && now.reached(self.next)
    }

    const fn start(&mut self, now: Time) {
        self.in_flight = true;
        self.started = now;
    }

    fn end(&mut self, next: Time) {
        self.in_flight = false;
        self.next = next;
    }
}

/// State of the leases and of the store calls.
#[derive(Debug)]
pub(super) struct Client {
    pub(super) leases: Vec<Lease>,
    /// Epoch of each lease while it is held, as last reported in an event.
    held_epochs: [Option<u64>; LEASES],
    /// Id of the latest call of each lease.
    lease_calls: [CallId; LEASES],
    calls: BTreeMap<CallId, Request>,
    last_id: u64,
    watch: Schedule,
    /// Version of the manifest object read last, 0 for none.
    manifest_version: u64,
    vms: Schedule,
    pub(super) reporter: Reporter,
    /// Missing parts are not read from the store before this time.
    part_retry: Time,
    /// This node does not contend for a lease before this time.
    contend_from: Time,
    /// True when this node is one of the contenders of its zone.
    pub(super) contender: bool,
}

impl Client {
    pub(super) fn new(now: Time, settings: &super::Settings) -> Self {
        let lease = |n: usize| Lease::new(settings.lease.clone(), format!("{}-{n}", settings.zone), settings.id);
        Self {
            leases: (0..LEASES).map(lease).collect(),
            held_epochs: [None; LEASES],
            lease_calls: [CallId(0); LEASES],
            calls: BTreeMap::new(),
            last_id: 0,
            watch: Schedule::default(),
            manifest_version: 0,
            vms: Schedule::default(),
            reporter: Reporter::default(),
            part_retry: Time::default(),
            contend_from: now + millis(settings.contend_after_ms),
            contender: false,
        }
    }

    /// Returns the index and the epoch of a lease that this node holds.
    pub(super) fn holds(&self, now: Time) -> Option<(usize, u64)> {
        let held = self.leases.iter().enumerate();
        held.into_iter().find_map(|(n, lease)| lease.holds(now).map(|epoch| (n, epoch)))
    }

    pub(super) fn deadline(&self) -> Time {
        let leases = self.leases.iter().map(Lease::deadline);
        let calls = self.calls.values().map(|call| call.until);
        // An expired lease has neither a deadline nor duties.
        let held = self.leases.iter().zip(&self.held_epochs).filter(|(_, held)| held.is_some());
        let until = held.map(|(lease, _)| lease.renewal_deadline()).min();
        let duties = [&self.watch, &self.vms, &self.reporter.schedule];
        let duties = duties.into_iter().filter(|duty| until.is_some() && !duty.in_flight).map(|duty| duty.next);
        leases.chain(calls).chain(duties).chain(until).min().unwrap_or(Time::NEVER)
    }
}

impl Node {
    /// Starts the store calls that are due.
    pub(super) fn sync_store(&mut self, now: Time) {
        self.expire_calls(now);
        self.contend(now);
        self.report_lease_changes(now);
        self.read_parts(now);
        if self.store.holds(now).is_none() {
            return;
        }
        if self.store.watch.is_due(now) {
            self.watch(now);
        }
        if self.store.vms.is_due(now) {
            self.store.vms.start(now);
            self.call(now, Purpose::Vms, self.settings.call_ms, Call::Vms);
        }
        if self.store.reporter.schedule.is_due(now) {
            self.read_status(now);
        }
    }

    fn call(&mut self, now: Time, purpose: Purpose, time_ms: u64, call: Call) -> CallId {
        self.store.last_id += 1;
        let id = CallId(self.store.last_id);
        let deadline = now + millis(time_ms);
        self.store.calls.insert(id, Request { purpose, until: deadline + GRACE });
        self.actions.push(Action::Store { id, call, deadline });
        id
    }

    /// Treats calls without a response as calls with an unknown outcome.
    fn expire_calls(&mut self, now: Time) {
        let due = self.store.calls.iter().filter(|(_, call)| now.reached(call.until));
        let due: Vec<_> = due.map(|(id, _)| *id).collect();
        for id in due {
            self.on_store(now, id, &Outcome::Unknown);
        }
    }

    pub(super) fn on_store(&mut self, now: Time, id: CallId, outcome: &Outcome) {
        let Some(call) = self.store.calls.remove(&id) else { return };
        match call.purpose {
            Purpose::Lease(n) if self.store.lease_calls[n] == id => self.store.leases[n].handle_outcome(now, outcome),
            // The lease abandoned this call and started another one; this outcome must not be mistaken for that call's.
            Purpose::Lease(_) => {}
            Purpose::Watch => self.on_watch(now, outcome),
            Purpose::Vms => self.on_vms(now, outcome),
            Purpose::Part(digest) => self.on_store_part(now, digest, outcome),
            Purpose::ReadStatus => self.on_status_read(now, outcome),
            Purpose::WriteStatus => self.on_status_written(),
        }
    }

    /// Returns true when this node is one of the [`CONTENDERS`] members of its zone with the highest weights.
    pub(super) fn is_contender(&self) -> bool {
        let me = self.membership.me();
        if me.state != State::Alive {
            return false;
        }
        let weight = |id: MemberId| Reverse((map::hash(WEIGHT_SEED, &id.0), id));
        let rival = |record: &&Record| record.zone == me.zone && matches!(record.state, State::Alive | State::Suspect);
        let higher = self.membership.others().filter(rival).filter(|record| weight(record.id) < weight(me.id));
        higher.take(CONTENDERS).count() < CONTENDERS
    }

    /// Contends for one lease; a node that holds one does not contend for the other.
    fn contend(&mut self, now: Time) {
        // A node that has just started does not know all members of its zone yet.
        let contender = now.reached(self.store.contend_from) && self.store.contender;
        for n in 0..LEASES {
            let mine = self.store.leases[n].may_hold();
            let other = (0..LEASES).any(|m| m != n && self.store.leases[m].may_hold());
            let wanted = contender && (mine || !other);
            if let Some(call) = self.store.leases[n].tick(now, wanted) {
                self.store.lease_calls[n] = self.call(now, Purpose::Lease(n), self.settings.lease.call_ms, call);
            }
        }
    }

    fn report_lease_changes(&mut self, now: Time) {
        for n in 0..LEASES {
            let lease = &self.store.leases[n];
            let (held, before) = (lease.holds(now), self.store.held_epochs[n]);
            if held == before {
                continue;
            }
            let name = lease.name().to_owned();
            self.store.held_epochs[n] = held;
            let (event, epoch) = held.map_or(("lease.lost", before), |epoch| ("lease.held", Some(epoch)));
            self.event(now, event, name, format!("epoch {}", epoch.unwrap_or(0)));
        }
    }

    fn watch(&mut self, now: Time) {
        self.store.watch.start(now);
        let watch_ms = self.settings.watch_ms;
        let (kind, name) = ("manifest".to_owned(), self.settings.fleet.clone());
        let call = Call::Watch { kind, name, after: self.store.manifest_version, deadline: now + millis(watch_ms) };
        self.call(now, Purpose::Watch, watch_ms + self.settings.call_ms, call);
    }

    fn on_watch(&mut self, now: Time, outcome: &Outcome) {
        // The pause prevents a busy loop when a watch returns an unchanged object before its deadline.
        let pause = (self.store.watch.started + millis(self.settings.store_retry_ms)).max(now);
        self.store.watch.end(pause);
        let Outcome::Object(Some(object)) = outcome else {
            // A store that was restored from a copy may have given the version to another manifest meanwhile.
            self.store.manifest_version = 0;
            return;
        };
        if object.version == self.store.manifest_version {
            return;
        }
        self.store.watch.end(now);
        self.store.manifest_version = object.version;
        match self.offer(now, &encode_value(object)) {
            Ok(Offer::Missing(_)) => {
                self.fetcher.source = Source::Store;
                self.store.part_retry = now;
            }
            Ok(Offer::Applied | Offer::Current) => {}
            // Generations in the store only increase, so the object was restored or belongs to another store.
            Ok(Offer::Stale) => {
                self.event(now, "config.stale", object.name.clone(), format!("version {}", object.version));
            }
            Err(error) => self.event(now, "config.refused", object.name.clone(), error.to_string()),
        }
    }

    /// Reads the missing parts of a manifest that came from the store.
    fn read_parts(&mut self, now: Time) {
        if self.fetcher.source != Source::Store || !now.reached(self.store.part_retry) {
            return;
        }
        for digest in self.fetcher.start_parts(None, now + millis(self.settings.call_ms) + GRACE) {
            let (kind, name) = ("part".to_owned(), digest.to_string());
            self.call(now, Purpose::Part(digest), self.settings.call_ms, Call::Get { kind, name });
        }
    }

    fn on_store_part(&mut self, now: Time, digest: Digest, outcome: &Outcome) {
        if !self.fetcher.finish_part(&digest) {
            return;
        }
        let result = match outcome {
            Outcome::Object(Some(object)) => {
                self.supply(now, digest, &encode_value(object)).map(|_| ()).map_err(|e| e.to_string())
            }
            other => Err(format!("{other:?}")),
        };
        if let Err(text) = result {
            self.store.part_retry = now + millis(self.settings.store_retry_ms);
            let name = digest.to_string();
            self.event(now, "config.part-failed", name, text);
        }
    }

    fn on_vms(&mut self, now: Time, outcome: &Outcome) {
        let next = (self.store.vms.started + millis(self.settings.vms_ms)).max(now);
        self.store.vms.end(next);
        let Outcome::Vms(vms) = outcome else { return };
        for vm in vms.iter().filter(|vm| vm.role == "target" && vm.state == VmState::Leaving) {
            if let Ok(host) = vm.address.parse::<Ipv4Addr>() {
                self.record_leaving(now, Leaving { host, ttl_ms: TTL_MS });
            }
        }
        let seeds = self.balancer_addresses(vms);
        self.membership.set_discovered_seeds(seeds);
    }

    /// Returns the addresses of the balancers in all zones with known members, those of this node's zone first.
    /// Balancers of other regions would reject the messages of this node.
    fn balancer_addresses(&self, vms: &[Vm]) -> Vec<SocketAddr> {
        let own = &self.settings.zone;
        let is_reachable = |vm: &&Vm| vm.zone == *own || self.membership.others().any(|record| record.zone == vm.zone);
        let live = vms.iter().filter(|vm| vm.role == "balancer" && vm.state == VmState::Live);
        let mut found: Vec<_> = live.filter(is_reachable).collect();
        found.sort_by_key(|vm| (vm.zone != *own, &vm.name));
        found.into_iter().filter_map(|vm| vm.address.parse().ok()).collect()
    }
}

/// Returns the bytes from which the digest of a manifest or part is computed. A value that cannot be encoded yields no
/// bytes, which match no digest.
fn encode_value(object: &Object) -> Vec<u8> {
    config::encode(&object.value).unwrap_or_default()
}
