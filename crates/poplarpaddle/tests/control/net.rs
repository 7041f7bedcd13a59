//! A network of nodes on virtual time, with loss, cuts and pauses, and a stand-in of the store.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use poplarpaddle::control::{Action, Answer, CallId, Digest, Node, Settings};
use poplarpaddle::error::Kind;
use poplarpaddle::membership;
use poplarpaddle::prelude::*;
use poplarpaddle::store::{Call, Outcome, Vm, VmState};
use poplarpaddle::view::{self, Presence};
use poplarpaddle::wire::Gossip;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::store::FakeStore;

#[path = "config.rs"]
mod config;

pub use config::{FakeConfig, manifest, part_bytes};

/// One-way delay between nodes, and between a node and the store.
const DELAY: Duration = Duration::from_millis(1);
/// When a sender gives up waiting for an answer.
const TIMEOUT: Duration = Duration::from_millis(700);

/// What arrives at a node.
enum Parcel {
    Request(SocketAddr, Vec<u8>),
    Reply(SocketAddr, Vec<u8>),
    Failed(SocketAddr),
    ManifestRequest(SocketAddr),
    Manifest(SocketAddr, Option<Vec<u8>>),
    PartRequest(SocketAddr, Digest),
    Part(SocketAddr, Digest, Option<Vec<u8>>),
    Store(CallId, Outcome),
    Load(std::net::Ipv4Addr, Option<Vec<u8>>),
}

pub struct Host {
    pub id: MemberId,
    pub node: Node,
    pub view: Option<view::View>,
    pub views: Vec<(Time, view::View)>,
    pub events: Vec<Event>,
    pub zone: String,
    pub sent: u64,
    pub received: u64,
    paused: Time,
}

pub struct Net {
    pub now: Time,
    pub hosts: BTreeMap<SocketAddr, Host>,
    pub store: FakeStore,
    /// Load reports by host, none for a host that does not answer.
    pub loads: BTreeMap<std::net::Ipv4Addr, String>,
    pub loss: f64,
    /// Zones that cannot reach other zones, and whether they can reach the store.
    pub cut: BTreeMap<String, bool>,
    parcels: BTreeMap<(Time, u64), (SocketAddr, Parcel)>,
    /// Earliest ticks; an entry whose deadline moved is checked again.
    ticks: BTreeSet<(Time, SocketAddr)>,
    serial: u64,
    random: Pcg64Mcg,
}

pub fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7000))
}

impl Host {
    pub fn pause_until(&mut self, until: Time) {
        self.paused = until;
    }
}

impl Net {
    pub fn new(seed: u64) -> Self {
        Self {
            now: Time::from_millis(1_000_000),
            hosts: BTreeMap::new(),
            store: FakeStore::default(),
            loads: BTreeMap::new(),
            loss: 0.0,
            cut: BTreeMap::new(),
            parcels: BTreeMap::new(),
            ticks: BTreeSet::new(),
            serial: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Returns a network of `count` nodes in three zones that all know two seeds, after `ms` of running.
    pub fn fleet(seed: u64, count: u16, ms: u64) -> Self {
        let mut net = Self::new(seed);
        for n in 0..count {
            net.start(n, &[address(0), address(1)]);
        }
        net.run(ms);
        net
    }

    pub fn start(&mut self, n: u16, seeds: &[SocketAddr]) {
        self.start_with(n, seeds, FakeConfig::default());
    }

    pub fn start_with(&mut self, n: u16, seeds: &[SocketAddr], config: FakeConfig) {
        let zone = format!("zone-{}", n % 3);
        let id = MemberId(self.random.random());
        let settings = Settings {
            id,
            name: format!("balancer-{n}"),
            zone: zone.clone(),
            peer: address(n),
            relay: SocketAddr::new(address(n).ip(), 7001),
            seed: id.0,
            membership: membership::Settings { seeds: seeds.to_vec(), ..Default::default() },
            ..Default::default()
        };
        let node = Node::new(self.now, settings, Box::new(config));
        let host = Host {
            id,
            node,
            view: None,
            views: Vec::new(),
            events: Vec::new(),
            zone,
            sent: 0,
            received: 0,
            paused: Time::default(),
        };
        let (name, role, zone) = (format!("balancer-{n}"), "balancer".into(), host.zone.clone());
        let vm = Vm { name, role, zone, address: address(n).to_string(), state: VmState::Live };
        self.store.vms.push(vm);
        self.hosts.insert(address(n), host);
        self.ticks.insert((self.now, address(n)));
    }

    /// Kills a node without a word.
    pub fn kill(&mut self, n: u16) {
        self.remove(address(n));
    }

    pub fn remove(&mut self, at: SocketAddr) {
        self.hosts.remove(&at).unwrap();
        self.store.vms.retain(|vm| vm.address != at.to_string());
    }

    /// Freezes a node; what arrives waits until it resumes.
    pub fn pause(&mut self, n: u16, ms: u64) {
        let until = self.now + Duration::from_millis(ms);
        self.host(n).pause_until(until);
    }

    pub fn host(&mut self, n: u16) -> &mut Host {
        self.hosts.get_mut(&address(n)).unwrap()
    }

    /// Returns the ids that node `n` may reach, by presence.
    pub fn members(&mut self, n: u16, presence: Presence) -> BTreeSet<MemberId> {
        let view = self.host(n).view.clone().unwrap();
        view.members.iter().filter(|member| member.presence == presence).map(|member| member.id).collect()
    }

    /// Returns the gossip bytes that each node sends and receives a second, on average and at most.
    pub fn gossip_rate(&mut self, ms: u64) -> (u64, u64) {
        for host in self.hosts.values_mut() {
            (host.sent, host.received) = (0, 0);
        }
        self.run(ms);
        let rates: Vec<_> = self.hosts.values().map(|host| (host.sent + host.received) * 1000 / ms).collect();
        (rates.iter().sum::<u64>() / rates.len() as u64, rates.into_iter().max().unwrap())
    }

    /// Returns true when every node reaches exactly the nodes that run.
    pub fn agree(&self) -> bool {
        let running: BTreeSet<_> = self.hosts.values().map(|host| host.id).collect();
        let seen =
            |host: &Host| -> BTreeSet<_> { host.view.iter().flat_map(|v| v.members.iter()).map(|m| m.id).collect() };
        self.hosts.values().all(|host| seen(host) == running)
    }

    pub fn generations(&self) -> BTreeSet<u64> {
        let generation = |host: &Host| host.view.as_ref().and_then(|v| v.config.as_ref()).map_or(0, |c| c.generation);
        self.hosts.values().map(generation).collect()
    }

    /// Returns the nodes of `zone` that hold a lease by their own clocks.
    pub fn holders(&self, zone: &str) -> Vec<SocketAddr> {
        let holds = |host: &Host| host.node.status(self.now).leases.iter().any(|lease| lease.epoch.is_some());
        let nodes = self.hosts.iter().filter(|(_, host)| host.zone == zone && holds(host));
        nodes.map(|(at, _)| *at).collect()
    }

    /// Returns the epochs of the leases of `zone` in the store.
    pub fn epochs(&self, zone: &str) -> Vec<u64> {
        let epoch = |n| self.store.get("lease", &format!("{zone}-{n}")).and_then(|lease| lease.value["epoch"].as_u64());
        (0..2).filter_map(epoch).collect()
    }

    /// Checks that no lease has two holders by their own clocks, which all show the same time here.
    pub fn assert_single_holders(&self) {
        let mut held = BTreeSet::new();
        for (at, host) in &self.hosts {
            for lease in host.node.status(self.now).leases.into_iter().filter(|lease| lease.epoch.is_some()) {
                assert!(held.insert(lease.name.clone()), "{at} is a second holder of {} at {}", lease.name, self.now);
            }
        }
    }

    /// Checks that no node ever applied a lower generation after a higher one.
    pub fn assert_never_back(&self) {
        for (at, host) in &self.hosts {
            let generation = |view: &view::View| view.config.as_ref().map_or(0, |config| config.generation);
            let seen: Vec<_> = host.views.iter().map(|(_, view)| generation(view)).collect();
            assert!(seen.is_sorted(), "{at} went back: {seen:?}");
        }
    }

    /// Runs until `done` holds, at most `ms`; returns the time that it took.
    pub fn until(&mut self, ms: u64, done: impl Fn(&Self) -> bool) -> Option<u64> {
        let start = self.now;
        while !done(self) {
            if self.now.since(start) >= Duration::from_millis(ms) {
                return None;
            }
            self.run(20);
        }
        Some(self.now.since(start).as_millis() as u64)
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        loop {
            let parcel = self.parcels.keys().next().map_or(Time::NEVER, |(time, _)| *time);
            let tick = self.ticks.first().copied().filter(|(time, _)| *time <= parcel);
            let next = tick.map_or(parcel, |(time, _)| time);
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            if let Some((_, to)) = tick {
                self.ticks.pop_first();
                self.tick(to);
            } else if let Some((_, (to, parcel))) = self.parcels.pop_first() {
                self.deliver(to, parcel);
            }
        }
        self.now = end;
    }

    /// Ticks a node unless its deadline moved since the entry was made.
    fn tick(&mut self, to: SocketAddr) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&to) else { return };
        let due = host.node.deadline().max(host.paused);
        if now.reached(due) {
            host.node.tick(now);
            self.perform(to);
        } else {
            self.ticks.insert((due, to));
        }
    }

    fn post(&mut self, to: SocketAddr, after: Duration, parcel: Parcel) {
        self.serial += 1;
        self.parcels.insert((self.now + after, self.serial), (to, parcel));
    }

    /// Returns true when a message between the two passes.
    fn passes(&mut self, from: SocketAddr, to: SocketAddr) -> bool {
        let lost = self.random.random_bool(self.loss);
        let (Some(from), Some(to)) = (self.hosts.get(&from), self.hosts.get(&to)) else { return false };
        let apart = from.zone != to.zone && (self.cut.contains_key(&from.zone) || self.cut.contains_key(&to.zone));
        !lost && !apart
    }

    /// Sends `parcel`, or has the request to `to` fail later.
    fn send(&mut self, from: SocketAddr, to: SocketAddr, parcel: Parcel, failure: Parcel) {
        if self.passes(from, to) {
            self.post(to, DELAY, parcel);
        } else {
            self.post(from, TIMEOUT, failure);
        }
    }

    fn reply(&mut self, from: SocketAddr, to: SocketAddr, parcel: Parcel, failure: Parcel) {
        if self.passes(from, to) {
            self.post(to, DELAY, parcel);
        } else {
            self.post(to, TIMEOUT, failure);
        }
    }

    fn deliver(&mut self, to: SocketAddr, parcel: Parcel) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&to) else {
            // The process is gone: the request fails at its sender.
            match parcel {
                Parcel::Request(from, _) => self.post(from, TIMEOUT, Parcel::Failed(to)),
                Parcel::ManifestRequest(from) => self.post(from, TIMEOUT, Parcel::Manifest(to, None)),
                Parcel::PartRequest(from, digest) => self.post(from, TIMEOUT, Parcel::Part(to, digest, None)),
                _ => {}
            }
            return;
        };
        if host.paused > now {
            let after = host.paused.since(now) + Duration::from_nanos(1);
            self.post(to, after, parcel);
            return;
        }
        let lost = Error::new(Kind::Timeout, "lost");
        match parcel {
            Parcel::Request(from, bytes) => {
                host.received += bytes.len() as u64;
                let answer = host.node.message(now, &Gossip::decode(&bytes).unwrap());
                if let Ok(answer) = answer {
                    let bytes = answer.encode().unwrap();
                    host.sent += bytes.len() as u64;
                    self.reply(to, from, Parcel::Reply(to, bytes), Parcel::Failed(to));
                }
            }
            Parcel::Reply(from, bytes) => {
                host.received += bytes.len() as u64;
                let gossip = Gossip::decode(&bytes).unwrap();
                host.node.answer(now, &Answer::Gossip { to: from, outcome: Ok(&gossip) }).unwrap();
            }
            Parcel::Failed(peer) => {
                host.node.answer(now, &Answer::Gossip { to: peer, outcome: Err(&lost) }).unwrap();
            }
            Parcel::ManifestRequest(from) => {
                let bytes = host.node.manifest(&Digest::default()).map(<[u8]>::to_vec);
                self.reply(to, from, Parcel::Manifest(to, bytes), Parcel::Manifest(to, None));
            }
            Parcel::PartRequest(from, digest) => {
                let bytes = host.node.part(&digest).map(<[u8]>::to_vec);
                self.reply(to, from, Parcel::Part(to, digest, bytes), Parcel::Part(to, digest, None));
            }
            Parcel::Manifest(peer, bytes) => {
                let outcome = bytes.as_deref().ok_or(&lost);
                let _ = host.node.answer(now, &Answer::Manifest { peer, outcome });
            }
            Parcel::Part(peer, digest, bytes) => {
                let outcome = bytes.as_deref().ok_or(&lost);
                let _ = host.node.answer(now, &Answer::Part { peer, digest, outcome });
            }
            Parcel::Store(id, outcome) => {
                host.node.answer(now, &Answer::Store { id, outcome: &outcome }).unwrap();
            }
            Parcel::Load(load, bytes) => {
                let outcome = bytes.as_deref().ok_or(&lost);
                let _ = host.node.answer(now, &Answer::Load { host: load, outcome });
            }
        }
        self.perform(to);
    }

    fn perform(&mut self, from: SocketAddr) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&from) else { return };
        let actions = host.node.actions();
        self.ticks.insert((host.node.deadline().max(host.paused), from));
        for action in actions {
            self.act(from, now, action);
        }
    }

    fn act(&mut self, from: SocketAddr, now: Time, action: Action) {
        let host = self.hosts.get_mut(&from).unwrap();
        match action {
            Action::SendGossip { to, message } => {
                let bytes = message.encode().unwrap();
                host.sent += bytes.len() as u64;
                self.send(from, to, Parcel::Request(from, bytes), Parcel::Failed(to));
            }
            Action::FetchManifest { peer, .. } => {
                self.send(from, peer, Parcel::ManifestRequest(from), Parcel::Manifest(peer, None));
            }
            Action::FetchPart { peer, digest } => {
                self.send(from, peer, Parcel::PartRequest(from, digest), Parcel::Part(peer, digest, None));
            }
            Action::Apply(view) => {
                host.views.push((now, view.clone()));
                host.view = Some(view);
            }
            Action::Event(event) => host.events.push(event),
            Action::Poll { host: load } => {
                let report = self.loads.get(&load).map(|text| text.clone().into_bytes());
                self.post(from, DELAY, Parcel::Load(load, report));
            }
            Action::Store { id, call, deadline } => {
                let reachable = self.cut.get(&host.zone).copied().unwrap_or(true);
                let write = matches!(call, Call::Put { .. } | Call::Delete { .. });
                if now.since(Time::from_millis(1_000_000)) > Duration::from_secs(5) {
                    self.store.callers.insert(from);
                }
                let (after, outcome) = self.store.call(now, &call, deadline, reachable);
                debug_assert!(write || outcome != Outcome::Unknown, "only a write has an unknown outcome");
                self.post(from, after, Parcel::Store(id, outcome));
            }
        }
    }
}
