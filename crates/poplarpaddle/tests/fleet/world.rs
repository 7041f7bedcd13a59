//! Simulation of nodes, the links between them, and a store, on virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use poplarpaddle::error::{Error, Kind, Result};
use poplarpaddle::feed::{self, Topic};
use poplarpaddle::fleet::{Action, Node, Response, Settings};
use poplarpaddle::former;
use poplarpaddle::mark::HostId;
use poplarpaddle::membership;
use poplarpaddle::path::MemberId;
use poplarpaddle::registry::{Address, General, Host, Route, Service, State as HostState, ZoneDrain, ZoneDrainDelta};
use poplarpaddle::replica::{Delta, Item, Removed};
use poplarpaddle::revision::Revision;
use poplarpaddle::time::Time;
use poplarpaddle::wire::{Record, State, Transfer};

/// One-way delay between two nodes.
const HOP_MS: u64 = 1;

/// Response time of the store.
const STORE_MS: u64 = 4;

/// Time after which a read without a response fails.
const READ_TIMEOUT_MS: u64 = 1200;

/// Time after the end of a watch at which it fails if there was no response.
const WATCH_SLACK_MS: u64 = 500;

/// How the store responds to the calls of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    Reachable,
    /// Calls fail at once.
    Refused,
    /// Calls get no response.
    Silent,
}

/// Scheduled event.
#[derive(Debug)]
enum Event {
    Datagram {
        to: SocketAddr,
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    /// The store responds to a read or watch.
    Store {
        node: usize,
        run_id: u64,
        topic: Topic,
        response: Result<Response>,
    },
    /// A watch ends without a change.
    WatchEnd {
        node: usize,
        run_id: u64,
        call: u64,
    },
    /// A watch fails because there was no response.
    WatchTimeout {
        node: usize,
        run_id: u64,
        call: u64,
    },
    /// A pull from a peer ends.
    Pulled {
        node: usize,
        run_id: u64,
        member: MemberId,
        changes: Result<Box<Transfer>>,
    },
}

/// Watch in progress.
#[derive(Debug)]
struct Watch {
    node: usize,
    run_id: u64,
    call: u64,
    topic: Topic,
    revision: Revision,
}

type Routes = Vec<(Address, Route)>;

/// The simulated store.
#[derive(Debug, Clone, Default)]
pub struct Store {
    pub revision: u64,
    /// Number of times that the store was restored from a copy.
    pub epoch: u64,
    hosts: BTreeMap<String, (Host, u64)>,
    removed: BTreeMap<String, u64>,
    drains: BTreeMap<String, u64>,
    ended_drains: BTreeMap<String, u64>,
    config: Option<(General, Routes, u64)>,
    /// Changes before this revision are no longer known.
    floor: u64,
    /// Former services that the nodes have saved.
    pub former: Vec<former::Entry>,
}

/// A node and its state in the simulation.
pub struct Instance {
    pub node: Option<Node>,
    /// Number of starts of the node; events for an earlier run are dropped.
    pub run_id: u64,
    pub zone: &'static str,
    pub address: SocketAddr,
    pub store_access: Access,
    pub store_calls: u64,
    /// Version of the configuration in force at the node, which must not decrease until the node is restarted.
    version: u64,
    /// Hosts as passed to the data path.
    pub hosts: BTreeMap<String, Host>,
    /// Drained zones as passed to the data path.
    pub drained: BTreeSet<String>,
    /// Events about zone drains.
    pub drain_events: Vec<String>,
    /// Topics that the node has called the store for.
    pub topics_called: BTreeSet<String>,
    pub zone_alive_at: BTreeMap<String, Time>,
    /// When the last message from another member arrived, and the longest time between two of them.
    pub last_contact: Time,
    pub longest_silence: Duration,
    /// Services as passed to the data path.
    pub services: Vec<Service>,
    /// When the data path was told last that the members in the node's zone changed.
    pub neighbors_changed_at: Time,
    /// Number of snapshots of the hosts that the node has sent to others.
    pub snapshots: u64,
    /// Former services that the data path was told.
    pub former: Vec<former::Entry>,
    /// Hosts that the data path was told to suspect.
    pub suspected: Vec<HostId>,
    /// Number of datagrams that the node has sent.
    pub datagrams: u64,
}

/// Simulated fleet with its store.
pub struct Simulation {
    pub now: Time,
    pub instances: Vec<Instance>,
    pub store: Store,
    pub bound: Duration,
    pub topics: &'static [Topic],
    /// Pairs of nodes that cannot reach each other.
    cuts: BTreeSet<(usize, usize)>,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    /// Scheduled events by the number that `events` refers to.
    payloads: BTreeMap<u64, Event>,
    next: u64,
    watches: Vec<Watch>,
    /// Number of registrations that hosts have written.
    registrations: u64,
}

pub fn host(number: u64, state: HostState) -> Host {
    Host {
        id: HostId(number),
        service: "bookings".into(),
        address: format!("10.128.0.{}:8080", number % 250 + 1).parse().unwrap(),
        zone: "a".into(),
        slots: 3,
        state,
        cold_until: Time::default(),
        born: 1,
        sequence: 1,
    }
}

impl Simulation {
    /// Returns a simulation with `counts` nodes in the zones `a`, `b` and `c`, none of them started.
    pub fn new(counts: &[usize]) -> Self {
        let mut instances = Vec::new();
        for (index, (zone, count)) in ["a", "b", "c"].into_iter().zip(counts).enumerate() {
            for number in 0..*count {
                let address = format!("10.0.{index}.{}:7000", number + 1).parse().unwrap();
                instances.push(Instance {
                    node: None,
                    run_id: 0,
                    zone,
                    address,
                    store_access: Access::Reachable,
                    store_calls: 0,
                    version: 0,
                    hosts: BTreeMap::new(),
                    drained: BTreeSet::new(),
                    drain_events: Vec::new(),
                    topics_called: BTreeSet::new(),
                    zone_alive_at: BTreeMap::new(),
                    last_contact: Time::default(),
                    longest_silence: Duration::ZERO,
                    services: Vec::new(),
                    neighbors_changed_at: Time::default(),
                    snapshots: 0,
                    former: Vec::new(),
                    suspected: Vec::new(),
                    datagrams: 0,
                });
            }
        }
        Self {
            now: Time::from_millis(10_000),
            instances,
            store: Store::default(),
            bound: Duration::from_secs(3),
            topics: &Topic::REQUIRED,
            cuts: BTreeSet::new(),
            events: BinaryHeap::new(),
            payloads: BTreeMap::new(),
            next: 0,
            watches: Vec::new(),
            registrations: 0,
        }
    }

    /// Returns a simulation with a configuration and hosts whose nodes have run for five seconds.
    pub fn running(counts: &[usize]) -> Self {
        Self::running_with(counts, &Topic::REQUIRED)
    }

    /// Like [`Self::running`], with nodes that replicate `topics`.
    pub fn running_with(counts: &[usize], topics: &'static [Topic]) -> Self {
        let mut simulation = Self { topics, ..Self::new(counts) };
        simulation.publish(7, &[443]);
        for number in 1..=5 {
            simulation.put_host(number, HostState::Ready);
        }
        for index in 0..simulation.instances.len() {
            simulation.start(index);
            simulation.run(10);
        }
        simulation.run(5000);
        simulation
    }

    pub fn start(&mut self, index: usize) {
        let seeds =
            self.instances.iter().step_by(self.instances.len().div_ceil(3)).map(|instance| instance.address).collect();
        let now = self.now;
        let instance = &mut self.instances[index];
        instance.run_id += 1;
        instance.version = 0;
        instance.hosts.clear();
        instance.drained.clear();
        instance.drain_events.clear();
        let id = MemberId(poplarpaddle::map::hash(instance.run_id, &instance.address));
        let me = Record {
            id,
            name: format!("edge-{index}"),
            zone: instance.zone.into(),
            region: "r".into(),
            peer: instance.address,
            relay: instance.address,
            incarnation: 0,
            state: State::Alive,
        };
        let membership = membership::Settings { seeds, alone_ms: 50, ..Default::default() };
        let feed = feed::Settings { bound: self.bound, topics: self.topics };
        instance.node = Some(Node::new(now, Settings { membership, feed, ..Default::default() }, me));
        self.tick(index);
    }

    /// Passes the node to `call` and performs its actions.
    pub fn with(&mut self, index: usize, call: impl FnOnce(&mut Node, Time)) {
        let (run_id, now) = (self.instances[index].run_id, self.now);
        self.with_node(index, run_id, |node| call(node, now));
    }

    pub fn kill(&mut self, index: usize) {
        self.instances[index].node = None;
    }

    pub fn node(&self, index: usize) -> &Node {
        self.instances[index].node.as_ref().expect("the node runs")
    }

    pub fn version(&self, index: usize) -> u64 {
        self.instances[index].node.as_ref().map_or(0, |node| node.general().version)
    }

    pub fn cut(&mut self, one: usize, other: usize) {
        self.cuts.insert((one.min(other), one.max(other)));
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Cuts one node off from every other one.
    pub fn isolate(&mut self, index: usize) {
        for other in (0..self.instances.len()).filter(|other| *other != index) {
            self.cut(index, other);
        }
    }

    /// Cuts a zone off from the others.
    pub fn cut_zone(&mut self, zone: &str) {
        for one in 0..self.instances.len() {
            for other in 0..one {
                if (self.instances[one].zone == zone) != (self.instances[other].zone == zone) {
                    self.cut(one, other);
                }
            }
        }
    }

    pub fn publish(&mut self, version: u64, ports: &[u16]) {
        self.publish_service(version, ports, "bookings");
    }

    /// Publishes a configuration whose routes lead to the service `name`.
    pub fn publish_service(&mut self, version: u64, ports: &[u16], name: &str) {
        self.store.revision += 1;
        let general = General { version, idle_ms: 15_000, services: vec![service(version)] };
        let route = |port: &u16| {
            let address = format!("198.18.0.1:{port}").parse().unwrap();
            (address, Route { service: name.into(), timeout_ms: u32::from(*port), ..Default::default() })
        };
        self.store.config = Some((general, ports.iter().map(route).collect(), self.store.revision));
        self.notify_watches(Topic::Routes);
    }

    pub fn put_host(&mut self, number: u64, state: HostState) {
        self.registrations += 1;
        self.put_registration(number, Host { sequence: self.registrations, ..host(number, state) });
    }

    pub fn put_registration(&mut self, number: u64, registration: Host) {
        self.store.revision += 1;
        let name = format!("i-{number:x}");
        self.store.removed.remove(&name);
        self.store.hosts.insert(name, (registration, self.store.revision));
        self.notify_watches(Topic::Hosts);
    }

    pub fn remove_host(&mut self, number: u64) {
        self.store.revision += 1;
        let name = format!("i-{number:x}");
        self.store.hosts.remove(&name);
        self.store.removed.insert(name, self.store.revision);
        self.notify_watches(Topic::Hosts);
    }

    pub fn drain_zone(&mut self, zone: &str) {
        self.store.revision += 1;
        self.store.ended_drains.remove(zone);
        self.store.drains.insert(zone.to_owned(), self.store.revision);
        self.notify_watches(Topic::ZoneDrains);
    }

    /// Returns the drained zones according to the store.
    pub fn drained_zones(&self) -> BTreeSet<String> {
        self.store.drains.keys().cloned().collect()
    }

    pub fn return_zone(&mut self, zone: &str) {
        self.store.revision += 1;
        self.store.drains.remove(zone);
        self.store.ended_drains.insert(zone.to_owned(), self.store.revision);
        self.notify_watches(Topic::ZoneDrains);
    }

    /// Drops the history of the store and interrupts all watches.
    pub fn compact(&mut self) {
        self.store.floor = self.store.revision + 1;
        for watch in std::mem::take(&mut self.watches) {
            let Watch { node, run_id, topic, .. } = watch;
            let response = Err(Error::new(Kind::Unavailable, "the watch was interrupted"));
            self.schedule(1, Event::Store { node, run_id, topic, response });
        }
    }

    /// Takes the store away for `millis`, after which it returns with the content and the revisions of `copy`.
    pub fn restore(&mut self, copy: &Store, millis: u64) {
        self.set_store_access(Access::Refused);
        for watch in std::mem::take(&mut self.watches) {
            let Watch { node, run_id, topic, .. } = watch;
            let response = Err(Error::new(Kind::Unavailable, "the watch was interrupted"));
            self.schedule(1, Event::Store { node, run_id, topic, response });
        }
        self.run(millis);
        self.store = Store { epoch: self.store.epoch + 1, ..copy.clone() };
        self.set_store_access(Access::Reachable);
    }

    /// Sets how the store responds to the calls of all nodes.
    pub fn set_store_access(&mut self, access: Access) {
        for instance in &mut self.instances {
            instance.store_access = access;
        }
    }

    /// Returns the versions of the configurations in force at the nodes that run.
    pub fn versions(&self) -> Vec<u64> {
        let nodes = self.instances.iter().filter_map(|instance| instance.node.as_ref());
        nodes.map(|node| node.general().version).collect()
    }

    pub fn run(&mut self, millis: u64) {
        let until = Time::from_millis(self.now.as_millis() + millis);
        loop {
            let event = self.events.peek().map_or(Time::NEVER, |Reverse((time, _))| *time);
            let deadlines = self.instances.iter().filter_map(|instance| instance.node.as_ref()).map(Node::deadline);
            let due = deadlines.min().unwrap_or(Time::NEVER).min(event);
            if due > until {
                break;
            }
            self.now = self.now.max(due);
            if event <= self.now {
                let Some(Reverse((_, key))) = self.events.pop() else { continue };
                let event = self.payloads.remove(&key).expect("every scheduled event is stored");
                self.handle(event);
                continue;
            }
            for index in 0..self.instances.len() {
                self.tick(index);
            }
        }
        self.now = until;
    }

    fn tick(&mut self, index: usize) {
        let now = self.now;
        if let Some(node) = &mut self.instances[index].node
            && now.reached(node.deadline())
        {
            node.tick(now);
        }
        self.drain_actions(index);
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Datagram { to, from, bytes } => {
                let (Some(index), Some(sender)) = (self.index(to), self.index(from)) else { return };
                if !self.reaches(sender, index) {
                    return;
                }
                if let Some(node) = &mut self.instances[index].node {
                    // The only error that a message of a node can cause is a late response to a gossip request.
                    let _late: Result<()> = node.datagram(now, from, &bytes);
                }
                self.drain_actions(index);
            }
            Event::Store { node, run_id, topic, response } => {
                self.with_node(node, run_id, |node| node.store_answered(now, topic, response))
            }
            Event::WatchEnd { node, run_id, call } => {
                let is_reachable = self.instances[node].store_access == Access::Reachable;
                if let Some(position) = self.watches.iter().position(|watch| watch.call == call && is_reachable) {
                    let Watch { topic, revision, .. } = self.watches.remove(position);
                    // Changes that the store could not send while it was unreachable are still unknown to the node.
                    let changes = self.store.changes(topic, revision);
                    let response = changes.unwrap_or(Response::Unchanged { as_of: self.store.as_of() });
                    self.with_node(node, run_id, |node| node.store_answered(now, topic, Ok(response)));
                }
            }
            Event::WatchTimeout { node, run_id, call } => {
                if let Some(position) = self.watches.iter().position(|watch| watch.call == call) {
                    let topic = self.watches.remove(position).topic;
                    let response = Err(Error::new(Kind::Timeout, "no response to a watch"));
                    self.with_node(node, run_id, |node| node.store_answered(now, topic, response));
                }
            }
            Event::Pulled { node, run_id, member, changes } => {
                self.with_node(node, run_id, |node| node.pulled(now, member, changes.map(|changes| *changes)));
            }
        }
    }

    /// Passes a node to `call` and performs its actions, unless it was stopped or restarted since the run `run_id`.
    fn with_node(&mut self, index: usize, run_id: u64, call: impl FnOnce(&mut Node)) {
        if self.instances[index].run_id == run_id
            && let Some(node) = &mut self.instances[index].node
        {
            call(node);
            self.drain_actions(index);
        }
    }

    /// Performs the actions of a node and checks that its version did not decrease.
    fn drain_actions(&mut self, index: usize) {
        let Some(node) = &mut self.instances[index].node else { return };
        for action in node.actions() {
            self.perform(index, action);
        }
        let version = self.version(index);
        let instance = &mut self.instances[index];
        assert!(version >= instance.version, "node {index} went from version {} back to {version}", instance.version);
        instance.version = version;
    }

    fn perform(&mut self, index: usize, action: Action) {
        let (from, run_id, now) = (self.instances[index].address, self.instances[index].run_id, self.now);
        match action {
            Action::Send(to, bytes) => {
                self.instances[index].datagrams += 1;
                self.schedule(HOP_MS, Event::Datagram { to, from, bytes });
            }
            Action::Read(topic) => self.read(index, run_id, topic),
            Action::Watch { topic, revision, until } => self.watch(index, run_id, topic, revision, until),
            Action::Pull { member, peer, since, .. } => {
                let reachable = self.index(peer).filter(|other| self.reaches(index, *other));
                let (wait, changes) = match reachable.map(|other| &mut self.instances[other]) {
                    Some(Instance { node: Some(node), snapshots, .. }) => {
                        let changes = node.changes_since(now, since);
                        *snapshots += u64::from(changes.as_ref().is_ok_and(|changes| changes.hosts.base.is_none()));
                        (
                            2 * HOP_MS,
                            changes.map(|changes| Box::new(Transfer::decode(&changes.encode().unwrap()).unwrap())),
                        )
                    }
                    _ => (300, Err(Error::new(Kind::Unavailable, "no response to a pull"))),
                };
                self.schedule(wait, Event::Pulled { node: index, run_id, member, changes });
            }
            Action::HostsChanged(names) => {
                let instance = &mut self.instances[index];
                let Some(node) = &instance.node else { return };
                for name in names {
                    match node.hosts().get(&name) {
                        Some(host) => drop(instance.hosts.insert(name, host.clone())),
                        None => drop(instance.hosts.remove(&name)),
                    }
                }
            }
            Action::ZoneAlive(zone) => {
                let instance = &mut self.instances[index];
                instance.zone_alive_at.insert(zone, now);
                instance.longest_silence = instance.longest_silence.max(now.since(instance.last_contact));
                instance.last_contact = now;
            }
            Action::ServicesChanged => {
                let instance = &mut self.instances[index];
                instance.services = instance.node.as_ref().map_or(Vec::new(), |node| node.general().services.clone());
            }
            Action::NeighborsChanged => self.instances[index].neighbors_changed_at = now,
            Action::HostsSuspected(hosts) => self.instances[index].suspected.extend(hosts),
            Action::Former(action) => self.call_former(index, action),
            Action::FormerServices(entries) => self.instances[index].former.extend(entries),
            Action::ZoneDrainsChanged(zones) => {
                let instance = &mut self.instances[index];
                let Some(node) = &instance.node else { return };
                for zone in zones {
                    match node.zone_drains().get(&zone) {
                        Some(ZoneDrain) => drop(instance.drained.insert(zone)),
                        None => drop(instance.drained.remove(&zone)),
                    }
                }
            }
            Action::Event(event) if event.name.contains("drain") || event.name == "zone.returned" => {
                self.instances[index].drain_events.push(format!("{} {}", event.name, event.subject));
            }
            Action::RoutesChanged(_) | Action::Event(_) => {}
        }
    }

    /// Performs a call about former services at once, since no test depends on its duration.
    fn call_former(&mut self, index: usize, action: former::Action) {
        let is_reachable = self.instances[index].store_access == Access::Reachable;
        let outcome = if is_reachable { Ok(()) } else { Err(Error::new(Kind::Unavailable, "the store is away")) };
        self.instances[index].store_calls += 1;
        let now = self.now;
        match action {
            former::Action::Save(entries) => {
                if is_reachable {
                    self.store.former.extend(entries);
                }
                self.with(index, |node, _| node.former_saved(now, &outcome));
            }
            former::Action::Load => {
                let entries = self.store.former.clone();
                self.with(index, |node, _| node.former_loaded(now, outcome.map(|()| entries)));
            }
        }
    }

    fn read(&mut self, node: usize, run_id: u64, topic: Topic) {
        self.instances[node].store_calls += 1;
        self.instances[node].topics_called.insert(topic.to_string());
        let (wait, response) = match self.instances[node].store_access {
            Access::Reachable => (STORE_MS, Ok(self.store.snapshot(topic))),
            Access::Refused => (HOP_MS, Err(Error::new(Kind::Unavailable, "status 503"))),
            Access::Silent => (READ_TIMEOUT_MS, Err(Error::new(Kind::Timeout, "no response to a read"))),
        };
        self.schedule(wait, Event::Store { node, run_id, topic, response });
    }

    fn watch(&mut self, node: usize, run_id: u64, topic: Topic, revision: Revision, until: Time) {
        self.instances[node].store_calls += 1;
        self.instances[node].topics_called.insert(topic.to_string());
        if self.instances[node].store_access == Access::Refused {
            let response = Err(Error::new(Kind::Unavailable, "status 503"));
            return self.schedule(HOP_MS, Event::Store { node, run_id, topic, response });
        }
        if self.instances[node].store_access == Access::Reachable {
            let response = self.store.changes(topic, revision);
            if let Some(response) = response {
                return self.schedule(STORE_MS, Event::Store { node, run_id, topic, response: Ok(response) });
            }
        }
        let call = self.next;
        self.watches.push(Watch { node, run_id, call, topic, revision });
        let wait = until.since(self.now).as_millis() as u64;
        self.schedule(wait, Event::WatchEnd { node, run_id, call });
        self.schedule(wait + WATCH_SLACK_MS, Event::WatchTimeout { node, run_id, call });
    }

    /// Completes the watches of a topic after a change.
    fn notify_watches(&mut self, topic: Topic) {
        let mut kept = Vec::new();
        for watch in std::mem::take(&mut self.watches) {
            let response = self.store.changes(watch.topic, watch.revision);
            match response {
                Some(response)
                    if watch.topic == topic && self.instances[watch.node].store_access == Access::Reachable =>
                {
                    let Watch { node, run_id, .. } = watch;
                    self.schedule(STORE_MS, Event::Store { node, run_id, topic, response: Ok(response) });
                }
                _ => kept.push(watch),
            }
        }
        self.watches.extend(kept);
    }

    fn index(&self, address: SocketAddr) -> Option<usize> {
        self.instances.iter().position(|instance| instance.address == address)
    }

    fn reaches(&self, one: usize, other: usize) -> bool {
        !self.cuts.contains(&(one.min(other), one.max(other)))
    }

    /// Schedules an event `millis` from now.
    fn schedule(&mut self, millis: u64, event: Event) {
        let key = self.next;
        self.next += 1;
        self.payloads.insert(key, event);
        self.events.push(Reverse((Time::from_nanos(self.now.as_nanos() + millis * 1_000_000), key)));
    }
}

/// Returns the service in a version of the configuration.
pub fn service(version: u64) -> Service {
    Service { name: "bookings".into(), cold_start_ms: 2000, cold_rate: u32::try_from(version).unwrap() * 1000 }
}

impl Store {
    fn snapshot(&self, topic: Topic) -> Response {
        match topic {
            Topic::Hosts => {
                let put = self.hosts.iter().map(|(name, (host, changed))| Item {
                    key: name.clone(),
                    value: host.clone(),
                    changed: self.at(*changed),
                });
                let delta = Delta {
                    base: Revision::NONE,
                    to: self.as_of(),
                    put: put.collect(),
                    removed: Vec::new(),
                    gaps: vec![],
                };
                Response::Hosts { delta, faults: Vec::new() }
            }
            Topic::Routes => {
                let content = self.config.clone().map(|(general, routes, _)| (general, routes));
                Response::Routes { as_of: self.as_of(), content, faults: Vec::new() }
            }
            Topic::ZoneDrains => Response::ZoneDrains { delta: self.drains_since(0), faults: Vec::new() },
        }
    }

    /// Returns the version and the ports of the configuration.
    pub fn published(&self) -> Option<(u64, Vec<u16>)> {
        let (general, routes, _) = self.config.as_ref()?;
        Some((general.version, routes.iter().map(|(address, _)| address.port()).collect()))
    }

    /// Returns a registered host.
    pub fn host(&self, number: u64) -> Option<&Host> {
        self.hosts.get(&format!("i-{number:x}")).map(|(host, _)| host)
    }

    /// Returns all registered hosts by name.
    pub fn hosts(&self) -> BTreeMap<String, Host> {
        self.hosts.iter().map(|(name, (host, _))| (name.clone(), host.clone())).collect()
    }

    pub fn is_drained(&self, zone: &str) -> bool {
        self.drains.contains_key(zone)
    }

    /// Returns the revision with a number in the current epoch.
    pub fn at(&self, number: u64) -> Revision {
        Revision { epoch: self.epoch, number }
    }

    /// Returns the current revision.
    pub fn as_of(&self) -> Revision {
        self.at(self.revision)
    }

    /// Returns the changes of the zone drains after the revision `base`.
    fn drains_since(&self, base: u64) -> ZoneDrainDelta {
        let put = self.drains.iter().filter(|(_, changed)| **changed > base);
        let put = put
            .map(|(zone, changed)| Item { key: zone.clone(), value: ZoneDrain, changed: self.at(*changed) })
            .collect();
        let removed = self.ended_drains.iter().filter(|(_, at)| base > 0 && **at > base);
        let removed = removed.map(|(zone, at)| Removed { key: zone.clone(), at: self.at(*at) }).collect();
        let base = if base > 0 { self.at(base) } else { Revision::NONE };
        Delta { base, to: self.as_of(), put, removed, gaps: vec![] }
    }

    /// Returns the changes after a revision, or none when there are none.
    fn changes(&self, topic: Topic, since: Revision) -> Option<Response> {
        let Revision { epoch, number: since } = since;
        if epoch != self.epoch || since + 1 < self.floor || since > self.revision {
            return Some(Response::HistoryGone { epoch: self.epoch });
        }
        match topic {
            Topic::ZoneDrains => {
                let delta = self.drains_since(since);
                let has_changes = !delta.put.is_empty() || !delta.removed.is_empty();
                has_changes.then_some(Response::ZoneDrains { delta, faults: Vec::new() })
            }
            Topic::Routes => {
                let is_new = self.config.as_ref().is_some_and(|(_, _, revision)| *revision > since);
                is_new.then(|| self.snapshot(topic))
            }
            Topic::Hosts => {
                let put = self.hosts.iter().filter(|(_, (_, changed))| *changed > since);
                let put: Vec<_> = put
                    .map(|(name, (host, changed))| Item {
                        key: name.clone(),
                        value: host.clone(),
                        changed: self.at(*changed),
                    })
                    .collect();
                let removed = self.removed.iter().filter(|(_, at)| **at > since);
                let removed: Vec<_> = removed.map(|(key, at)| Removed { key: key.clone(), at: self.at(*at) }).collect();
                let has_changes = !put.is_empty() || !removed.is_empty();
                let delta = Delta { base: self.at(since), to: self.as_of(), put, removed, gaps: vec![] };
                has_changes.then_some(Response::Hosts { delta, faults: Vec::new() })
            }
        }
    }
}
