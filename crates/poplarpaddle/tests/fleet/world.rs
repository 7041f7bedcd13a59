//! Nodes, their links and a store on virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use poplarpaddle::error::{Error, Kind, Result};
use poplarpaddle::feed::{self, Topic};
use poplarpaddle::fleet::{Action, Node, Reading, Settings};
use poplarpaddle::ledger::{Delta, Item, Removed};
use poplarpaddle::mark::HostId;
use poplarpaddle::membership;
use poplarpaddle::path::MemberId;
use poplarpaddle::registry::{Address, General, Host, Route, State as HostState};
use poplarpaddle::time::Time;
use poplarpaddle::wire::{Record, State, Transfer};

/// One way between two nodes.
const HOP_MS: u64 = 1;

/// Answer of the store.
const STORE_MS: u64 = 4;

/// Time after which the I/O side gives up a silent read.
const READ_MS: u64 = 1200;

/// Time after the end of a watch at which the I/O side gives it up.
const SLACK_MS: u64 = 500;

/// What a node's calls to the store meet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    Open,
    Refused,
    Silent,
}

#[derive(Debug)]
enum Event {
    Datagram { to: SocketAddr, from: SocketAddr, bytes: Vec<u8> },
    Store { node: usize, life: u64, topic: Topic, reading: Result<Reading> },
    WatchEnd { node: usize, life: u64, call: u64 },
    WatchFail { node: usize, life: u64, call: u64 },
    Pulled { node: usize, life: u64, member: MemberId, parcel: Result<Transfer> },
}

#[derive(Debug)]
struct Watch {
    node: usize,
    life: u64,
    call: u64,
    topic: Topic,
    revision: u64,
}

type Routes = Vec<(Address, Route)>;

/// The operators' store.
#[derive(Debug, Default)]
pub struct Store {
    pub revision: u64,
    hosts: BTreeMap<String, (Host, u64)>,
    gone: BTreeMap<String, u64>,
    config: Option<(General, Routes, u64)>,
    /// History before this revision is gone.
    floor: u64,
}

/// A node with what the test keeps about it.
pub struct Place {
    pub node: Option<Node>,
    pub life: u64,
    pub zone: &'static str,
    pub address: SocketAddr,
    pub path: Path,
    pub calls: u64,
    /// Highest version that the present life had in force.
    version: u64,
    /// Hosts and routes as the data path was told.
    pub hosts: BTreeMap<String, Host>,
    pub heard: BTreeMap<String, Time>,
    /// Times that the node handed out everything.
    pub whole: u64,
}

pub struct World {
    pub now: Time,
    pub places: Vec<Place>,
    pub store: Store,
    pub bound: Duration,
    /// Pairs of nodes that cannot reach each other.
    cuts: BTreeSet<(usize, usize)>,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    bodies: BTreeMap<u64, Event>,
    next: u64,
    watches: Vec<Watch>,
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
        created: 1,
        born: 1,
    }
}

impl World {
    /// Returns a world with `counts` nodes in the zones `a`, `b`, `c`, not started.
    pub fn new(counts: &[usize]) -> Self {
        let mut places = Vec::new();
        for (index, (zone, count)) in ["a", "b", "c"].into_iter().zip(counts).enumerate() {
            for number in 0..*count {
                let address = format!("10.0.{index}.{}:7000", number + 1).parse().unwrap();
                places.push(Place {
                    node: None,
                    life: 0,
                    zone,
                    address,
                    path: Path::Open,
                    calls: 0,
                    version: 0,
                    hosts: BTreeMap::new(),
                    heard: BTreeMap::new(),
                    whole: 0,
                });
            }
        }
        Self {
            now: Time::from_millis(10_000),
            places,
            store: Store::default(),
            bound: Duration::from_secs(3),
            cuts: BTreeSet::new(),
            events: BinaryHeap::new(),
            bodies: BTreeMap::new(),
            next: 0,
            watches: Vec::new(),
        }
    }

    /// Returns a world with a configuration and hosts whose nodes have run for five seconds.
    pub fn running(counts: &[usize]) -> Self {
        let mut world = Self::new(counts);
        world.publish(7, &[443]);
        for number in 1..=5 {
            world.put_host(number, HostState::Ready);
        }
        for index in 0..world.places.len() {
            world.start(index);
            world.run(10);
        }
        world.run(5000);
        world
    }

    pub fn start(&mut self, index: usize) {
        let seeds = self.places.iter().step_by(self.places.len().div_ceil(3)).map(|place| place.address).collect();
        let now = self.now;
        let place = &mut self.places[index];
        place.life += 1;
        place.version = 0;
        place.hosts.clear();
        let id = MemberId(poplarpaddle::map::hash(place.life, &place.address));
        let me = Record {
            id,
            name: format!("edge-{index}"),
            zone: place.zone.into(),
            region: "r".into(),
            peer: place.address,
            relay: place.address,
            incarnation: 0,
            state: State::Alive,
        };
        let membership = membership::Settings { seed: id.0, seeds, alone_ms: 50, ..Default::default() };
        let feed = feed::Settings { bound: self.bound };
        place.node = Some(Node::new(now, Settings { membership, feed }, me));
        self.tick(index);
    }

    pub fn kill(&mut self, index: usize) {
        self.places[index].node = None;
    }

    pub fn node(&self, index: usize) -> &Node {
        self.places[index].node.as_ref().expect("the node runs")
    }

    pub fn version(&self, index: usize) -> u64 {
        self.places[index].node.as_ref().map_or(0, |node| node.general().version)
    }

    pub fn cut(&mut self, one: usize, other: usize) {
        self.cuts.insert((one.min(other), one.max(other)));
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Cuts one node off from every other one.
    pub fn isolate(&mut self, index: usize) {
        for other in (0..self.places.len()).filter(|other| *other != index) {
            self.cut(index, other);
        }
    }

    /// Cuts a zone off from the others.
    pub fn cut_zone(&mut self, zone: &str) {
        for one in 0..self.places.len() {
            for other in 0..one {
                if (self.places[one].zone == zone) != (self.places[other].zone == zone) {
                    self.cut(one, other);
                }
            }
        }
    }

    pub fn publish(&mut self, version: u64, ports: &[u16]) {
        self.store.revision += 1;
        let general = General { version, idle_ms: 15_000 };
        let route = |port: &u16| {
            let address = format!("198.18.0.1:{port}").parse().unwrap();
            (address, Route { service: "bookings".into(), timeout_ms: u32::from(*port), ..Default::default() })
        };
        self.store.config = Some((general, ports.iter().map(route).collect(), self.store.revision));
        self.changed(Topic::Routes);
    }

    pub fn put_host(&mut self, number: u64, state: HostState) {
        self.store.revision += 1;
        let name = format!("i-{number:x}");
        self.store.gone.remove(&name);
        self.store.hosts.insert(name, (host(number, state), self.store.revision));
        self.changed(Topic::Hosts);
    }

    pub fn remove_host(&mut self, number: u64) {
        self.store.revision += 1;
        let name = format!("i-{number:x}");
        self.store.hosts.remove(&name);
        self.store.gone.insert(name, self.store.revision);
        self.changed(Topic::Hosts);
    }

    /// Drops the history and cuts the watches.
    pub fn compact(&mut self) {
        self.store.floor = self.store.revision + 1;
        for watch in std::mem::take(&mut self.watches) {
            let Watch { node, life, topic, .. } = watch;
            let reading = Err(Error::new(Kind::Unavailable, "the watch was cut off"));
            self.later(1, Event::Store { node, life, topic, reading });
        }
    }

    pub fn run(&mut self, millis: u64) {
        let until = Time::from_millis(self.now.as_millis() + millis);
        loop {
            let event = self.events.peek().map_or(Time::NEVER, |Reverse((time, _))| *time);
            let deadlines = self.places.iter().filter_map(|place| place.node.as_ref()).map(Node::deadline);
            let due = deadlines.min().unwrap_or(Time::NEVER).min(event);
            if due > until {
                break;
            }
            self.now = self.now.max(due);
            if event <= self.now {
                let Some(Reverse((_, key))) = self.events.pop() else { continue };
                let body = self.bodies.remove(&key).expect("every event has a body");
                self.handle(body);
                continue;
            }
            for index in 0..self.places.len() {
                self.tick(index);
            }
        }
        self.now = until;
    }

    fn tick(&mut self, index: usize) {
        let now = self.now;
        if let Some(node) = &mut self.places[index].node
            && now.reached(node.deadline())
        {
            node.tick(now);
        }
        self.act(index);
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Datagram { to, from, bytes } => {
                let (Some(index), Some(sender)) = (self.index(to), self.index(from)) else { return };
                if !self.reaches(sender, index) {
                    return;
                }
                if let Some(node) = &mut self.places[index].node {
                    // A late answer to a gossip message is the only fault that a message of a node can have.
                    let _late: Result<()> = node.datagram(now, from, &bytes);
                }
                self.act(index);
            }
            Event::Store { node, life, topic, reading } => {
                self.with(node, life, |node| node.answered(now, topic, reading))
            }
            Event::WatchEnd { node, life, call } => {
                let open = self.places[node].path == Path::Open;
                if let Some(position) = self.watches.iter().position(|watch| watch.call == call && open) {
                    let topic = self.watches.remove(position).topic;
                    let reading = Ok(Reading::Unchanged { as_of: self.store.revision });
                    self.with(node, life, |node| node.answered(now, topic, reading));
                }
            }
            Event::WatchFail { node, life, call } => {
                if let Some(position) = self.watches.iter().position(|watch| watch.call == call) {
                    let topic = self.watches.remove(position).topic;
                    let reading = Err(Error::new(Kind::Timeout, "no answer to a watch"));
                    self.with(node, life, |node| node.answered(now, topic, reading));
                }
            }
            Event::Pulled { node, life, member, parcel } => {
                self.with(node, life, |node| node.pulled(now, member, parcel));
            }
        }
    }

    fn with(&mut self, index: usize, life: u64, call: impl FnOnce(&mut Node)) {
        if self.places[index].life == life
            && let Some(node) = &mut self.places[index].node
        {
            call(node);
            self.act(index);
        }
    }

    fn act(&mut self, index: usize) {
        let Some(node) = &mut self.places[index].node else { return };
        for action in node.actions() {
            self.perform(index, action);
        }
        let version = self.version(index);
        let place = &mut self.places[index];
        assert!(version >= place.version, "node {index} went from version {} back to {version}", place.version);
        place.version = version;
    }

    fn perform(&mut self, index: usize, action: Action) {
        let (from, life, now) = (self.places[index].address, self.places[index].life, self.now);
        match action {
            Action::Send(to, bytes) => self.later(HOP_MS, Event::Datagram { to, from, bytes }),
            Action::Read(topic) => self.read(index, life, topic),
            Action::Watch { topic, revision, until } => self.watch(index, life, topic, revision, until),
            Action::Pull { member, peer, hosts, routes, .. } => {
                let answers = self.index(peer).filter(|other| self.reaches(index, *other));
                let (wait, parcel) = match answers.map(|other| &mut self.places[other]) {
                    Some(Place { node: Some(node), whole, .. }) => {
                        let parcel = node.parcel(now, hosts, routes);
                        *whole += u64::from(parcel.as_ref().is_ok_and(|parcel| parcel.hosts.base == 0));
                        (2 * HOP_MS, parcel.map(|parcel| Transfer::decode(&parcel.encode().unwrap()).unwrap()))
                    }
                    _ => (300, Err(Error::new(Kind::Unavailable, "no answer to a pull"))),
                };
                self.later(wait, Event::Pulled { node: index, life, member, parcel });
            }
            Action::HostsChanged(names) => {
                let place = &mut self.places[index];
                let Some(node) = &place.node else { return };
                for name in names {
                    match node.hosts().get(&name) {
                        Some(host) => drop(place.hosts.insert(name, host.clone())),
                        None => drop(place.hosts.remove(&name)),
                    }
                }
            }
            Action::Heard(zone) => drop(self.places[index].heard.insert(zone, now)),
            Action::RoutesChanged(_) | Action::Event(_) => {}
        }
    }

    fn read(&mut self, node: usize, life: u64, topic: Topic) {
        self.places[node].calls += 1;
        let (wait, reading) = match self.places[node].path {
            Path::Open => (STORE_MS, Ok(self.store.list(topic))),
            Path::Refused => (HOP_MS, Err(Error::new(Kind::Unavailable, "status 503"))),
            Path::Silent => (READ_MS, Err(Error::new(Kind::Timeout, "no answer to a read"))),
        };
        self.later(wait, Event::Store { node, life, topic, reading });
    }

    fn watch(&mut self, node: usize, life: u64, topic: Topic, revision: u64, until: Time) {
        self.places[node].calls += 1;
        if self.places[node].path == Path::Refused {
            let reading = Err(Error::new(Kind::Unavailable, "status 503"));
            return self.later(HOP_MS, Event::Store { node, life, topic, reading });
        }
        if self.places[node].path == Path::Open {
            let reading = self.store.changes(topic, revision);
            if let Some(reading) = reading {
                return self.later(STORE_MS, Event::Store { node, life, topic, reading: Ok(reading) });
            }
        }
        let call = self.next;
        self.watches.push(Watch { node, life, call, topic, revision });
        let wait = until.since(self.now).as_millis() as u64;
        self.later(wait, Event::WatchEnd { node, life, call });
        self.later(wait + SLACK_MS, Event::WatchFail { node, life, call });
    }

    fn changed(&mut self, topic: Topic) {
        let mut kept = Vec::new();
        for watch in std::mem::take(&mut self.watches) {
            let reading = self.store.changes(watch.topic, watch.revision);
            match reading {
                Some(reading) if watch.topic == topic && self.places[watch.node].path == Path::Open => {
                    let Watch { node, life, .. } = watch;
                    self.later(STORE_MS, Event::Store { node, life, topic, reading: Ok(reading) });
                }
                _ => kept.push(watch),
            }
        }
        self.watches.extend(kept);
    }

    fn index(&self, address: SocketAddr) -> Option<usize> {
        self.places.iter().position(|place| place.address == address)
    }

    fn reaches(&self, one: usize, other: usize) -> bool {
        !self.cuts.contains(&(one.min(other), one.max(other)))
    }

    fn later(&mut self, millis: u64, event: Event) {
        let key = self.next;
        self.next += 1;
        self.bodies.insert(key, event);
        self.events.push(Reverse((Time::from_nanos(self.now.as_nanos() + millis * 1_000_000), key)));
    }
}

impl Store {
    fn list(&self, topic: Topic) -> Reading {
        match topic {
            Topic::Hosts => {
                let put = self.hosts.iter().map(|(name, (host, changed))| Item {
                    key: name.clone(),
                    value: host.clone(),
                    changed: *changed,
                });
                let delta = Delta { base: 0, to: self.revision, put: put.collect(), removed: Vec::new() };
                Reading::Hosts { delta, faults: Vec::new() }
            }
            Topic::Routes => {
                let content = self.config.clone().map(|(general, routes, _)| (general, routes));
                Reading::Routes { as_of: self.revision, content }
            }
        }
    }

    fn changes(&self, topic: Topic, since: u64) -> Option<Reading> {
        if since + 1 < self.floor {
            return Some(Reading::HistoryGone);
        }
        match topic {
            Topic::Routes => {
                let is_new = self.config.as_ref().is_some_and(|(_, _, revision)| *revision > since);
                is_new.then(|| self.list(topic))
            }
            Topic::Hosts => {
                let put = self.hosts.iter().filter(|(_, (_, changed))| *changed > since);
                let put: Vec<_> = put
                    .map(|(name, (host, changed))| Item { key: name.clone(), value: host.clone(), changed: *changed })
                    .collect();
                let removed = self.gone.iter().filter(|(_, at)| **at > since);
                let removed: Vec<_> = removed.map(|(key, at)| Removed { key: key.clone(), at: *at }).collect();
                let any = !put.is_empty() || !removed.is_empty();
                let delta = Delta { base: since, to: self.revision, put, removed };
                any.then_some(Reading::Hosts { delta, faults: Vec::new() })
            }
        }
    }
}
