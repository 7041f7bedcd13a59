//! A simulated network of nodes on virtual time, with message loss, partitions, pauses and a fake store.

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
/// Time after which a sender stops waiting for a response.
const TIMEOUT: Duration = Duration::from_millis(700);

/// A message or result that is delivered to a node.
enum Delivery {
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

/// A process that runs one node.
pub struct Process {
    pub id: MemberId,
    pub node: Node,
    pub view: Option<view::View>,
    pub views: Vec<(Time, view::View)>,
    pub events: Vec<Event>,
    pub zone: String,
    /// Gossip bytes sent.
    pub sent: u64,
    /// Gossip bytes received.
    pub received: u64,
    /// The node handles nothing before this time.
    paused: Time,
}

/// The nodes, the fake store and the messages in flight between them.
pub struct Net {
    pub now: Time,
    pub processes: BTreeMap<SocketAddr, Process>,
    pub store: FakeStore,
    /// Load reports by host; hosts without an entry do not respond.
    pub loads: BTreeMap<std::net::Ipv4Addr, String>,
    /// Probability that a message between two nodes is lost.
    pub loss: f64,
    /// Zones that cannot reach other zones, each with whether it can reach the store.
    pub cut: BTreeMap<String, bool>,
    deliveries: BTreeMap<(Time, u64), (SocketAddr, Delivery)>,
    /// Scheduled ticks. A tick whose deadline has moved is scheduled again.
    ticks: BTreeSet<(Time, SocketAddr)>,
    last_serial: u64,
    random: Pcg64Mcg,
}

pub fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7000))
}

impl Process {
    pub fn pause_until(&mut self, until: Time) {
        self.paused = until;
    }
}

impl Net {
    pub fn new(seed: u64) -> Self {
        Self {
            now: Time::from_millis(1_000_000),
            processes: BTreeMap::new(),
            store: FakeStore::default(),
            loads: BTreeMap::new(),
            loss: 0.0,
            cut: BTreeMap::new(),
            deliveries: BTreeMap::new(),
            ticks: BTreeSet::new(),
            last_serial: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Returns a network of `count` nodes in three zones that all have the same two seeds, after it ran for `ms`.
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
        let process = Process {
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
        let (name, role, zone) = (format!("balancer-{n}"), "balancer".into(), process.zone.clone());
        let vm = Vm { name, role, zone, address: address(n).to_string(), state: VmState::Live };
        self.store.vms.push(vm);
        self.processes.insert(address(n), process);
        self.ticks.insert((self.now, address(n)));
    }

    /// Kills a node, which announces nothing.
    pub fn kill(&mut self, n: u16) {
        self.remove(address(n));
    }

    /// Removes a node and its entry in the VM list.
    pub fn remove(&mut self, at: SocketAddr) {
        self.processes.remove(&at).unwrap();
        self.store.vms.retain(|vm| vm.address != at.to_string());
    }

    /// Pauses a node; deliveries wait until it resumes.
    pub fn pause(&mut self, n: u16, ms: u64) {
        let until = self.now + Duration::from_millis(ms);
        self.process(n).pause_until(until);
    }

    pub fn process(&mut self, n: u16) -> &mut Process {
        self.processes.get_mut(&address(n)).unwrap()
    }

    /// Returns the ids of the members with `presence` in the view of node `n`.
    pub fn members(&mut self, n: u16, presence: Presence) -> BTreeSet<MemberId> {
        let view = self.process(n).view.clone().unwrap();
        view.members.iter().filter(|member| member.presence == presence).map(|member| member.id).collect()
    }

    /// Returns the gossip bytes that a node sends and receives per second: the mean and the maximum over all nodes.
    pub fn gossip_rate(&mut self, ms: u64) -> (u64, u64) {
        for process in self.processes.values_mut() {
            (process.sent, process.received) = (0, 0);
        }
        self.run(ms);
        let rates: Vec<_> =
            self.processes.values().map(|process| (process.sent + process.received) * 1000 / ms).collect();
        (rates.iter().sum::<u64>() / rates.len() as u64, rates.into_iter().max().unwrap())
    }

    /// Returns true when the view of every node contains exactly the running nodes.
    pub fn converged(&self) -> bool {
        let running: BTreeSet<_> = self.processes.values().map(|process| process.id).collect();
        let seen = |process: &Process| -> BTreeSet<_> {
            process.view.iter().flat_map(|v| v.members.iter()).map(|m| m.id).collect()
        };
        self.processes.values().all(|process| seen(process) == running)
    }

    pub fn generations(&self) -> BTreeSet<u64> {
        let generation =
            |process: &Process| process.view.as_ref().and_then(|v| v.config.as_ref()).map_or(0, |c| c.generation);
        self.processes.values().map(generation).collect()
    }

    /// Returns the nodes of `zone` that hold a lease according to their own clocks.
    pub fn holders(&self, zone: &str) -> Vec<SocketAddr> {
        let holds = |process: &Process| process.node.status(self.now).leases.iter().any(|lease| lease.epoch.is_some());
        let nodes = self.processes.iter().filter(|(_, process)| process.zone == zone && holds(process));
        nodes.map(|(at, _)| *at).collect()
    }

    /// Returns the epochs of the leases of `zone` in the store.
    pub fn epochs(&self, zone: &str) -> Vec<u64> {
        let epoch = |n| self.store.get("lease", &format!("{zone}-{n}")).and_then(|lease| lease.value["epoch"].as_u64());
        (0..2).filter_map(epoch).collect()
    }

    /// Checks that no lease has two holders according to their own clocks, which all show the same time here.
    pub fn assert_single_holders(&self) {
        let mut held = BTreeSet::new();
        for (at, process) in &self.processes {
            for lease in process.node.status(self.now).leases.into_iter().filter(|lease| lease.epoch.is_some()) {
                assert!(held.insert(lease.name.clone()), "{at} is a second holder of {} at {}", lease.name, self.now);
            }
        }
    }

    /// Checks that no node applied a lower generation after a higher one.
    pub fn assert_generations_never_decrease(&self) {
        for (at, process) in &self.processes {
            let generation = |view: &view::View| view.config.as_ref().map_or(0, |config| config.generation);
            let seen: Vec<_> = process.views.iter().map(|(_, view)| generation(view)).collect();
            assert!(seen.is_sorted(), "{at} returned to an older generation: {seen:?}");
        }
    }

    /// Runs until `done` returns true, for at most `ms`. Returns the elapsed time in milliseconds, `None` on a timeout.
    pub fn run_until(&mut self, ms: u64, done: impl Fn(&Self) -> bool) -> Option<u64> {
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
            let delivery = self.deliveries.keys().next().map_or(Time::NEVER, |(time, _)| *time);
            let tick = self.ticks.first().copied().filter(|(time, _)| *time <= delivery);
            let next = tick.map_or(delivery, |(time, _)| time);
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            if let Some((_, to)) = tick {
                self.ticks.pop_first();
                self.tick(to);
            } else if let Some((_, (to, delivery))) = self.deliveries.pop_first() {
                self.deliver(to, delivery);
            }
        }
        self.now = end;
    }

    /// Ticks a node unless its deadline has moved since the tick was scheduled.
    fn tick(&mut self, to: SocketAddr) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(&to) else { return };
        let due = process.node.deadline().max(process.paused);
        if now.reached(due) {
            process.node.tick(now);
            self.perform_actions(to);
        } else {
            self.ticks.insert((due, to));
        }
    }

    fn schedule(&mut self, to: SocketAddr, after: Duration, delivery: Delivery) {
        self.last_serial += 1;
        self.deliveries.insert((self.now + after, self.last_serial), (to, delivery));
    }

    /// Returns true when a message between the two nodes is delivered.
    fn is_delivered(&mut self, from: SocketAddr, to: SocketAddr) -> bool {
        let lost = self.random.random_bool(self.loss);
        let (Some(from), Some(to)) = (self.processes.get(&from), self.processes.get(&to)) else { return false };
        let is_cut = from.zone != to.zone && (self.cut.contains_key(&from.zone) || self.cut.contains_key(&to.zone));
        !lost && !is_cut
    }

    /// Sends a request to `to`, or delivers `failure` to the sender after the timeout.
    fn send(&mut self, from: SocketAddr, to: SocketAddr, delivery: Delivery, failure: Delivery) {
        if self.is_delivered(from, to) {
            self.schedule(to, DELAY, delivery);
        } else {
            self.schedule(from, TIMEOUT, failure);
        }
    }

    fn reply(&mut self, from: SocketAddr, to: SocketAddr, delivery: Delivery, failure: Delivery) {
        if self.is_delivered(from, to) {
            self.schedule(to, DELAY, delivery);
        } else {
            self.schedule(to, TIMEOUT, failure);
        }
    }

    fn deliver(&mut self, to: SocketAddr, delivery: Delivery) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(&to) else {
            // The process has been removed, so the request fails at its sender.
            match delivery {
                Delivery::Request(from, _) => self.schedule(from, TIMEOUT, Delivery::Failed(to)),
                Delivery::ManifestRequest(from) => self.schedule(from, TIMEOUT, Delivery::Manifest(to, None)),
                Delivery::PartRequest(from, digest) => self.schedule(from, TIMEOUT, Delivery::Part(to, digest, None)),
                _ => {}
            }
            return;
        };
        if process.paused > now {
            let after = process.paused.since(now) + Duration::from_nanos(1);
            self.schedule(to, after, delivery);
            return;
        }
        let lost = Error::new(Kind::Timeout, "lost");
        match delivery {
            Delivery::Request(from, bytes) => {
                process.received += bytes.len() as u64;
                let response = process.node.handle_message(now, &Gossip::decode(&bytes).unwrap());
                if let Ok(response) = response {
                    let bytes = response.encode().unwrap();
                    process.sent += bytes.len() as u64;
                    self.reply(to, from, Delivery::Reply(to, bytes), Delivery::Failed(to));
                }
            }
            Delivery::Reply(from, bytes) => {
                process.received += bytes.len() as u64;
                let gossip = Gossip::decode(&bytes).unwrap();
                process.node.handle_answer(now, &Answer::Gossip { to: from, outcome: Ok(&gossip) }).unwrap();
            }
            Delivery::Failed(peer) => {
                process.node.handle_answer(now, &Answer::Gossip { to: peer, outcome: Err(&lost) }).unwrap();
            }
            Delivery::ManifestRequest(from) => {
                let bytes = process.node.manifest(&Digest::default()).map(<[u8]>::to_vec);
                self.reply(to, from, Delivery::Manifest(to, bytes), Delivery::Manifest(to, None));
            }
            Delivery::PartRequest(from, digest) => {
                let bytes = process.node.part(&digest).map(<[u8]>::to_vec);
                self.reply(to, from, Delivery::Part(to, digest, bytes), Delivery::Part(to, digest, None));
            }
            Delivery::Manifest(peer, bytes) => {
                let outcome = bytes.as_deref().ok_or(&lost);
                let _ = process.node.handle_answer(now, &Answer::Manifest { peer, outcome });
            }
            Delivery::Part(peer, digest, bytes) => {
                let outcome = bytes.as_deref().ok_or(&lost);
                let _ = process.node.handle_answer(now, &Answer::Part { peer, digest, outcome });
            }
            Delivery::Store(id, outcome) => {
                process.node.handle_answer(now, &Answer::Store { id, outcome: &outcome }).unwrap();
            }
            Delivery::Load(host, bytes) => {
                let outcome = bytes.as_deref().ok_or(&lost);
                let _ = process.node.handle_answer(now, &Answer::Load { host, outcome });
            }
        }
        self.perform_actions(to);
    }

    fn perform_actions(&mut self, from: SocketAddr) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(&from) else { return };
        let actions = process.node.take_actions();
        self.ticks.insert((process.node.deadline().max(process.paused), from));
        for action in actions {
            self.perform_action(from, now, action);
        }
    }

    fn perform_action(&mut self, from: SocketAddr, now: Time, action: Action) {
        let process = self.processes.get_mut(&from).unwrap();
        match action {
            Action::SendGossip { to, message } => {
                let bytes = message.encode().unwrap();
                process.sent += bytes.len() as u64;
                self.send(from, to, Delivery::Request(from, bytes), Delivery::Failed(to));
            }
            Action::FetchManifest { peer, .. } => {
                self.send(from, peer, Delivery::ManifestRequest(from), Delivery::Manifest(peer, None));
            }
            Action::FetchPart { peer, digest } => {
                self.send(from, peer, Delivery::PartRequest(from, digest), Delivery::Part(peer, digest, None));
            }
            Action::Apply(view) => {
                process.views.push((now, view.clone()));
                process.view = Some(view);
            }
            Action::Event(event) => process.events.push(event),
            Action::Poll { host } => {
                let report = self.loads.get(&host).map(|text| text.clone().into_bytes());
                self.schedule(from, DELAY, Delivery::Load(host, report));
            }
            Action::Store { id, call, deadline } => {
                let reachable = self.cut.get(&process.zone).copied().unwrap_or(true);
                let write = matches!(call, Call::Put { .. } | Call::Delete { .. });
                if now.since(Time::from_millis(1_000_000)) > Duration::from_secs(5) {
                    self.store.callers.insert(from);
                }
                let (after, outcome) = self.store.call(now, &call, deadline, reachable);
                debug_assert!(write || outcome != Outcome::Unknown, "only a write has an unknown outcome");
                self.schedule(from, after, Delivery::Store(id, outcome));
            }
        }
    }
}
