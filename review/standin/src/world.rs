//! Store, routers, hosts and consumers around balancers that run as processes of their own, on loopback.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io::{Read as _, Write as _};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

use crate::consumer::{End, Flow, Seen, Use};
use crate::edge::{self, Edge, Ports};
use crate::host::{Deed, Host, Key};
use crate::packet::Packet;
use crate::record::Record;
use crate::store::Store;

/// One way, between consumers and the places of the system.
const CLIENT_DELAY: Duration = Duration::from_millis(3);
/// `flow_max_s`: older flows don't count.
const FLOW_MAX: Duration = Duration::from_secs(60);
const TICK: Duration = Duration::from_millis(2);
/// A reset of the system's own has a `seq` this close to the consumer's last `ack`.
const RESET_RANGE: u32 = 76_800;

enum Input {
    Host(usize, Vec<u8>),
    Consumer(Vec<u8>),
    Ready(usize, bool),
}

enum Job {
    ToEdge(usize, Vec<u8>),
    ToConsumer(usize, SocketAddrV4, Vec<u8>),
}

/// Consumers that open flows at a steady rate.
#[derive(Clone, Copy)]
pub struct Traffic {
    pub per_s: f64,
    pub service: usize,
    pub used_for: Use,
}

/// Packets of an open flow that reached other hosts since one reached its own.
#[derive(Clone, Copy)]
struct Astray {
    packets: u32,
    since: Instant,
}

#[derive(Default, Debug)]
pub struct Count {
    pub flows: u64,
    pub answered: u64,
    pub done: u64,
    pub unopened: u64,
    pub host_resets: u64,
    pub system_resets: u64,
    pub out_of_time: u64,
    pub second_answers: u64,
}

pub struct World {
    pub record: Record,
    pub store: Store,
    pub hosts: Vec<Host>,
    pub edges: Vec<Edge>,
    pub count: Count,
    /// The rules that were broken, once for each time.
    pub broken: Vec<&'static str>,
    pub traffic: Vec<Traffic>,
    /// When each host's draining was confirmed by the store.
    pub draining: HashMap<usize, Instant>,
    /// Last disturbance of each machine.
    pub edge_disturbed: HashMap<usize, Instant>,
    /// The machine that took the last packet of each flow.
    last_edge: HashMap<Key, usize>,
    /// Last disturbance of each host or its links.
    pub disturbed: HashMap<usize, Instant>,
    pub root: PathBuf,
    pub flows: HashMap<Key, Flow>,
    ports: Ports,
    folder: PathBuf,
    store_ip: Ipv4Addr,
    consumer_ips: Vec<Ipv4Addr>,
    consumer_sockets: Vec<Arc<UdpSocket>>,
    host_sockets: Vec<Arc<UdpSocket>>,
    listening: Vec<Arc<AtomicU8>>,
    /// Channels that fill the queue of a host that is cut off.
    fillers: HashMap<usize, Vec<TcpStream>>,
    inputs: Receiver<Input>,
    sender: Sender<Input>,
    jobs: BinaryHeap<Reverse<(Instant, u64)>>,
    job_of: HashMap<u64, Job>,
    next_job: u64,
    next_port: u16,
    next_id: u64,
    issued: Vec<f64>,
    started: Instant,
    opened: HashMap<Key, usize>,
    sent_first: HashMap<Key, Instant>,
    astray: HashMap<Key, Astray>,
    next_tick: Instant,
    drain: Duration,
}

pub const ZONES: [&str; 3] = ["nz-south-a", "nz-south-b", "nz-south-c"];
pub const SERVICES: [&str; 2] = ["bookings", "crewdocs"];

/// Returns the address that consumers of a service connect to.
pub fn route(service: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 255, 7, 1 + service as u8), 8443)
}

fn hash(parts: &[u32]) -> u64 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for part in parts {
        hash = (hash ^ u64::from(*part)).wrapping_mul(0x0100_0000_01b3);
        hash ^= hash >> 29;
        hash = hash.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    }
    hash ^ (hash >> 32)
}

/// Returns a network 127.A.B.0 in which no address is in use.
fn free_net(count: u8) -> Option<(u8, u8)> {
    let mut seed = std::process::id();
    for _ in 0..50 {
        seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let (a, b) = (20 + (seed >> 8) as u8 % 200, (seed >> 16) as u8);
        let all_free = (1..=count).all(|host| TcpListener::bind((Ipv4Addr::new(127, a, b, 10 + host), 9464)).is_ok());
        if all_free {
            return Some((a, b));
        }
    }
    None
}

impl World {
    /// Starts the store, the hosts and the consumers. `edges` and `hosts` give the zone of each, and hosts their service.
    pub fn new(
        root: &Path,
        folder: &Path,
        record: Record,
        edges: &[usize],
        hosts: &[(usize, usize)],
    ) -> std::io::Result<Self> {
        let none = || std::io::Error::other("no free addresses");
        let (a, b) = free_net(edges.len() as u8).ok_or_else(none)?;
        let ip = |last: usize| Ipv4Addr::new(127, a, b, last as u8);
        let ports = Ports { packets: 8172, ready: 8167, control: 8166, inner: 7720, store: 8169 };
        let store_ip = ip(2);
        let store = Store::serve(SocketAddrV4::new(store_ip, ports.store))?;
        let (sender, inputs) = channel();
        let now = Instant::now();
        let mut world = Self {
            record,
            store,
            hosts: Vec::new(),
            edges: Vec::new(),
            count: Count::default(),
            broken: Vec::new(),
            traffic: Vec::new(),
            draining: HashMap::new(),
            edge_disturbed: HashMap::new(),
            last_edge: HashMap::new(),
            disturbed: HashMap::new(),
            root: root.to_owned(),
            flows: HashMap::new(),
            ports,
            folder: folder.to_owned(),
            store_ip,
            consumer_ips: Vec::new(),
            consumer_sockets: Vec::new(),
            host_sockets: Vec::new(),
            listening: Vec::new(),
            fillers: HashMap::new(),
            inputs,
            sender,
            jobs: BinaryHeap::new(),
            job_of: HashMap::new(),
            next_job: 0,
            next_port: 1024,
            next_id: 0,
            issued: Vec::new(),
            started: now,
            opened: HashMap::new(),
            sent_first: HashMap::new(),
            astray: HashMap::new(),
            next_tick: now,
            drain: Duration::from_millis(3000),
        };
        for (number, zone) in edges.iter().enumerate() {
            world.edges.push(Edge::new(&world.folder, number + 1, ip(11 + number), ZONES[*zone]));
        }
        for (number, (service, zone)) in hosts.iter().enumerate() {
            let id = 0x7f3a_0000 + hash(&[std::process::id(), number as u32]) % 0xffff;
            let address = SocketAddrV4::new(ip(101 + number), 8080);
            world.add_host(Host::new(id, SERVICES[*service], ZONES[*zone], address))?;
        }
        for zone in 0..3 {
            let consumer = ip(241 + zone);
            let socket = Arc::new(UdpSocket::bind((consumer, ports.packets))?);
            world.consumer_ips.push(consumer);
            world.consumer_sockets.push(Arc::clone(&socket));
            let sender = world.sender.clone();
            receive(socket, move |bytes| sender.send(Input::Consumer(bytes)).is_ok());
        }
        world.write_config(7);
        for index in 0..world.hosts.len() {
            world.register(index);
        }
        Ok(world)
    }

    fn add_host(&mut self, host: Host) -> std::io::Result<()> {
        let index = self.hosts.len();
        let socket = Arc::new(UdpSocket::bind(host.address)?);
        self.host_sockets.push(Arc::clone(&socket));
        let sender = self.sender.clone();
        receive(socket, move |bytes| sender.send(Input::Host(index, bytes)).is_ok());
        let listening = Arc::new(AtomicU8::new(ANSWER));
        serve_health(host.address, Arc::clone(&listening));
        self.listening.push(listening);
        self.hosts.push(host);
        Ok(())
    }

    /// Adds a host and registers it.
    pub fn new_host(&mut self, service: &'static str, zone: &'static str) -> std::io::Result<()> {
        let number = self.hosts.len();
        let id = 0x7f3a_0000 + hash(&[std::process::id(), number as u32]) % 0xffff;
        let ip = Ipv4Addr::from(self.hosts[0].address.ip().to_bits() + number as u32);
        self.add_host(Host::new(id, service, zone, SocketAddrV4::new(ip, 8080)))?;
        self.register(number);
        Ok(())
    }

    /// Sets what the host does with new channels.
    pub fn listen(&self, index: usize, how: u8) {
        self.listening[index].store(how, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(8));
    }

    pub fn write_config(&mut self, version: u64) {
        let kind = ["idempotent", "download"];
        let routes: Vec<String> = (0..2)
            .map(|service| {
                let (to, name, kind) = (route(service), SERVICES[service], kind[service]);
                format!(
                    "{{\"name\":\"r-{service}\",\"host\":\"{}\",\"path_prefix\":\"/{}/\",\"route_type\":\"{kind}\",\"timeout_ms\":5000,\"target_latency_ms\":200,\"priority\":2,\"service\":\"{name}\",\"max_attempts\":2}}",
                    to.ip(),
                    to.port()
                )
            })
            .collect();
        let services = SERVICES.map(|name| {
            format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":4444,\"protocol\":\"h1\",\"tls\":false}}")
        });
        let spec = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"idle_timeout_ms\":15000}}}}",
            routes.join(","),
            services.join(",")
        );
        self.store.put("config", "main", spec.as_bytes());
        self.record.note(&format!("operator: configuration {version} confirmed by the store"));
    }

    pub fn register(&mut self, index: usize) {
        let host = &self.hosts[index];
        self.store.put("servers", &host.name, host.registration(4).as_bytes());
        let state = if host.draining { "draining" } else { "ready" };
        let text = format!("store: host {} of {} in {} is registered as {state}", host.name, host.service, host.zone);
        self.record.note(&text);
    }

    /// The host reports that it drains, and the store confirms it.
    pub fn drain_host(&mut self, index: usize) {
        self.hosts[index].draining = true;
        self.register(index);
        self.draining.insert(index, Instant::now());
    }

    /// The host exits and its entry is removed.
    pub fn end_host(&mut self, index: usize) {
        self.hosts[index].crash();
        self.listen(index, REFUSE);
        let name = self.hosts[index].name.clone();
        self.store.delete("servers", &name);
        self.record.note(&format!("store: host {name} has ended, its entry is removed"));
    }

    /// The host is cut off from all machines of the system, or is no longer. Channels to it hang meanwhile: its queue of
    /// new channels is full, so that the kernel drops their opening packets.
    pub fn cut_host(&mut self, index: usize, cut: bool) {
        self.hosts[index].cut = cut;
        if cut {
            self.listen(index, HOLD);
            let address = SocketAddr::V4(self.hosts[index].address);
            let fillers = self.fillers.entry(index).or_default();
            while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(20)) {
                fillers.push(stream);
                if fillers.len() > 600 {
                    // The kernel lets more wait; then they are refused.
                    self.listening[index].store(REFUSE, Ordering::SeqCst);
                    break;
                }
            }
        } else {
            self.fillers.remove(&index);
            self.listen(index, ANSWER);
        }
        self.disturbed.insert(index, Instant::now());
        let name = &self.hosts[index].name;
        let text = if cut { "is cut off from the machines" } else { "is reached by the machines again" };
        self.record.say(&format!("host {name} {text}"));
    }

    pub fn crash_host(&mut self, index: usize) {
        self.hosts[index].crash();
        self.listen(index, REFUSE);
        self.disturbed.insert(index, Instant::now());
        let text = format!("host {} crashes", self.hosts[index].name);
        self.record.say(&text);
    }

    /// The machine freezes, or wakes again.
    pub fn freeze_edge(&mut self, index: usize, frozen: bool) {
        self.edges[index].signal(if frozen { "-STOP" } else { "-CONT" });
        self.edge_disturbed.insert(index, Instant::now());
        let text = if frozen { "freezes" } else { "wakes" };
        let text = format!("{} {text}", self.edges[index].name);
        self.record.say(&text);
    }

    pub fn start_edge(&mut self, index: usize) -> std::io::Result<()> {
        let seeds: Vec<Ipv4Addr> = self.edges.iter().map(|edge| edge.ip).collect();
        self.edges[index].write_settings(self.ports, &seeds, self.store_ip)?;
        let root = self.root.clone();
        self.edges[index].start(&root)?;
        self.record.note(&format!("platform: {} is started", self.edges[index].name));
        Ok(())
    }

    /// Starts all machines and waits until all are in rotation.
    pub fn start_edges(&mut self) -> std::io::Result<bool> {
        for index in 0..self.edges.len() {
            self.start_edge(index)?;
            let (address, sender) = (SocketAddrV4::new(self.edges[index].ip, self.ports.ready), self.sender.clone());
            std::thread::spawn(move || {
                loop {
                    let begun = Instant::now();
                    if sender.send(Input::Ready(index, edge::is_ready(address))).is_err() {
                        return;
                    }
                    std::thread::sleep(Duration::from_millis(500).saturating_sub(begun.elapsed()));
                }
            });
        }
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end && self.edges.iter().any(|edge| edge.misses > 0) {
            self.run(Duration::from_millis(50));
        }
        // Traffic starts some seconds after the machines do.
        self.run(Duration::from_secs(5));
        Ok(self.edges.iter().all(|edge| edge.misses == 0))
    }

    /// Handles what happens for the time `length`.
    pub fn run(&mut self, length: Duration) {
        let end = Instant::now() + length;
        loop {
            let now = Instant::now();
            if now >= end {
                return;
            }
            let due = self.jobs.peek().map_or(self.next_tick, |Reverse((at, _))| (*at).min(self.next_tick)).min(end);
            match self.inputs.recv_timeout(due.saturating_duration_since(now)) {
                Ok(input) => self.handle(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.work(Instant::now());
        }
    }

    fn work(&mut self, now: Instant) {
        while let Some(Reverse((at, number))) = self.jobs.peek().copied() {
            if at > now {
                break;
            }
            self.jobs.pop();
            match self.job_of.remove(&number) {
                Some(Job::ToEdge(zone, bytes)) => self.to_edge(zone, &bytes),
                Some(Job::ToConsumer(host, to, bytes)) => drop(self.host_sockets[host].send_to(&bytes, to)),
                None => {}
            }
        }
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + TICK;
        let elapsed = (now - self.started).as_secs_f64();
        self.started = now;
        for index in 0..self.traffic.len() {
            let traffic = self.traffic[index];
            if self.issued.len() <= index {
                self.issued.push(0.0);
            }
            self.issued[index] += elapsed * traffic.per_s;
            while self.issued[index] >= 1.0 {
                self.issued[index] -= 1.0;
                let zone = self.next_port as usize % 3;
                self.open_flow(zone, traffic.service, traffic.used_for);
            }
        }
        for index in 0..self.hosts.len() {
            let mut deeds = Vec::new();
            self.hosts[index].tick(now, &mut deeds);
            self.perform(index, deeds);
        }
        let keys: Vec<Key> = self.flows.keys().copied().collect();
        for key in keys {
            let mut out = Vec::new();
            let Some(flow) = self.flows.get_mut(&key) else { continue };
            let end = flow.tick(now, &mut self.next_id, &mut out);
            self.send_all(out);
            if let Some(end) = end {
                self.end_flow(key, end, None);
            }
        }
    }

    /// A consumer of the zone opens a flow.
    pub fn open_flow(&mut self, zone: usize, service: usize, used_for: Use) -> Key {
        self.next_port = if self.next_port >= 60_000 { 1024 } else { self.next_port + 1 };
        let consumer = SocketAddrV4::new(self.consumer_ips[zone], self.next_port);
        let key = (consumer, route(service));
        let mut out = Vec::new();
        let now = Instant::now();
        self.flows.insert(key, Flow::open(now, key.0, key.1, used_for, &mut out));
        self.sent_first.insert(key, now);
        self.count.flows += 1;
        self.record.note(&format!("consumer {}: sends the opening of a flow to {}", key.0, key.1));
        self.send_all(out);
        key
    }

    fn send_all(&mut self, packets: Vec<Packet>) {
        for packet in packets {
            let zone = self.consumer_ips.iter().position(|ip| ip == packet.src.ip()).unwrap_or(0);
            self.schedule(Job::ToEdge(zone, packet.encode()));
        }
    }

    fn schedule(&mut self, job: Job) {
        self.next_job += 1;
        self.job_of.insert(self.next_job, job);
        self.jobs.push(Reverse((Instant::now() + CLIENT_DELAY, self.next_job)));
    }

    /// The router of a zone sends a consumer's packet to one of the zone's machines, by a steady hash.
    fn to_edge(&mut self, zone: usize, bytes: &[u8]) {
        let of_zone = |edge: &&Edge| edge.zone == ZONES[zone];
        let all: Vec<&Edge> = self.edges.iter().filter(of_zone).collect();
        let ready: Vec<&Edge> = all.iter().copied().filter(|edge| edge.misses < 2).collect();
        let mut chosen = if ready.len() * 2 < all.len() && !ready.is_empty() { all } else { ready };
        if chosen.is_empty() {
            // None is in rotation: the machines of the nearest zones.
            chosen = self.edges.iter().filter(|edge| edge.misses < 2).collect();
        }
        let Some((packet, _)) = Packet::decode(bytes) else { return };
        let ends =
            [packet.src.ip().to_bits(), packet.src.port().into(), packet.dst.ip().to_bits(), packet.dst.port().into()];
        let weight = |edge: &&&Edge| hash(&[ends[0], ends[1], ends[2], ends[3], edge.ip.to_bits()]);
        let Some(edge) = chosen.iter().max_by_key(weight) else { return };
        let (ip, to) = (edge.ip, SocketAddrV4::new(edge.ip, self.ports.packets));
        if let Some(index) = self.edges.iter().position(|edge| edge.ip == ip) {
            self.last_edge.insert((packet.src, packet.dst), index);
        }
        let _ = self.consumer_sockets[zone].send_to(bytes, to);
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Ready(index, ready) => {
                let edge = &mut self.edges[index];
                let before = edge.misses;
                edge.misses = if ready { 0 } else { (edge.misses + 1).min(2) };
                if (before < 2) != (edge.misses < 2) {
                    let text = if edge.misses < 2 { "comes into rotation" } else { "is out of rotation" };
                    let text = format!("router: {} {text}", edge.name);
                    self.record.note(&text);
                }
            }
            Input::Host(index, bytes) => {
                let now = Instant::now();
                let mut deeds = Vec::new();
                let packet = self.hosts[index].datagram(now, &bytes, &mut deeds);
                self.perform(index, deeds);
                if let Some(packet) = packet {
                    self.check_place(now, index, (packet.src, packet.dst));
                }
            }
            Input::Consumer(bytes) => self.at_consumer(&bytes),
        }
    }

    fn perform(&mut self, index: usize, deeds: Vec<Deed>) {
        let name = self.hosts[index].name.clone();
        for deed in deeds {
            match deed {
                Deed::Send(packet) => {
                    if packet.has(crate::packet::RST) {
                        self.record.note(&format!("host {name}: resets {} to {}", packet.dst, packet.src));
                    }
                    let to = SocketAddrV4::new(*packet.dst.ip(), self.ports.packets);
                    self.schedule(Job::ToConsumer(index, to, packet.encode()));
                }
                Deed::Took(key) => {
                    self.record.note(&format!("host {name}: takes the opening of {} to {}", key.0, key.1));
                    self.check_drain(index, key);
                }
                Deed::Opened(key) => {
                    self.record.note(&format!("host {name}: {} to {} is open here", key.0, key.1));
                    self.opened.insert(key, index);
                }
                Deed::Ran(key, id) => self.record.note(&format!("host {name}: runs request {id} of {}", key.0)),
                Deed::Closed(key) => {
                    if self.opened.get(&key) == Some(&index) {
                        self.opened.remove(&key);
                    }
                    self.astray.remove(&key);
                }
            }
        }
    }

    /// DRAIN: the opening was sent, and arrived, later than `drain_ms` after the store confirmed that the host drains.
    fn check_drain(&mut self, index: usize, key: Key) {
        let (Some(since), Some(sent)) = (self.draining.get(&index), self.sent_first.get(&key)) else { return };
        if *sent > *since + self.drain {
            let late = (Instant::now() - *since).as_millis();
            let name = &self.hosts[index].name;
            let text =
                format!("host {name} got the opening of {} {late} ms after the store confirmed that it drains", key.0);
            self.break_rule("DRAIN", text);
        }
    }

    /// FLOW (b): for 2 s, three or more packets of an open flow reach other hosts and none its own.
    fn check_place(&mut self, now: Instant, index: usize, key: Key) {
        let Some(own) = self.opened.get(&key).copied() else { return };
        if own == index {
            self.astray.remove(&key);
            return;
        }
        let astray = self.astray.entry(key).or_insert(Astray { packets: 0, since: now });
        astray.packets += 1;
        if astray.packets >= 3
            && now - astray.since >= Duration::from_secs(2)
            && self.is_calm(own, now)
            && self.is_taker_calm(&key, now)
        {
            let text = format!(
                "for 2 s, packets of the open flow {} reached {} and none its host",
                key.0, self.hosts[index].name
            );
            self.break_rule("FLOW", text);
        }
    }

    /// Returns true when the host lives, without a disturbance of it or its links in the stability window.
    fn is_calm(&self, index: usize, now: Instant) -> bool {
        let at = self.disturbed.get(&index);
        self.hosts[index].alive && at.is_none_or(|at| now - *at > Duration::from_secs(4))
    }

    /// Returns true when the machine that took the flow's last packet had no disturbance in the stability window.
    fn is_taker_calm(&self, key: &Key, now: Instant) -> bool {
        let at = self.last_edge.get(key).and_then(|edge| self.edge_disturbed.get(edge));
        at.is_none_or(|at| now - *at > Duration::from_secs(4))
    }

    fn at_consumer(&mut self, bytes: &[u8]) {
        let Some((packet, valid)) = Packet::decode(bytes) else { return };
        let key = (packet.dst, packet.src);
        let now = Instant::now();
        let Some(flow) = self.flows.get_mut(&key) else { return };
        if !valid && !packet.no_sum {
            return self.break_rule("MIXED", format!("{} got a packet that its sender didn't write so", key.0));
        }
        let mut out = Vec::new();
        let last_ack = flow.last_ack;
        let is_open = flow.host_isn.is_some();
        if packet.no_sum {
            let distance = (packet.seq.wrapping_sub(last_ack) as i32).unsigned_abs();
            let text = format!(
                "system: resets {} from {}, with seq {} for a last ack {last_ack}, {distance} apart",
                key.0, key.1, packet.seq
            );
            self.record.note(&text);
            let at_host = self.opened.get(&key).is_some_and(|own| self.hosts[*own].has_open(&key));
            if is_open && at_host && distance > RESET_RANGE {
                // Not a reset of the system's own by the pages, and no packet of the host either; it resets nothing.
                let text = format!(
                    "{} got a packet with sum 0 that neither its host wrote nor is a reset of the system's own: seq {distance} from its last ack",
                    key.0
                );
                return self.break_rule("MIXED", text);
            }
        }
        let seen = flow.packet(now, &packet, &mut self.next_id, &mut out);
        self.send_all(out);
        match seen {
            Seen::Nothing => {}
            Seen::SecondAnswer => {
                self.count.second_answers += 1;
                self.record.note(&format!("consumer {}: gets an answer to its opening from a second host", key.0));
            }
            Seen::Answered(id) => {
                self.count.answered += 1;
                self.record.note(&format!("consumer {}: request {id} is answered", key.0));
            }
            Seen::End(end) => self.end_flow(key, end, Some(&packet)),
        }
    }

    fn end_flow(&mut self, key: Key, end: End, packet: Option<&Packet>) {
        let Some(flow) = self.flows.remove(&key) else { return };
        let now = Instant::now();
        self.record.note(&format!("consumer {}: its flow ends: {end:?}", key.0));
        match end {
            End::Done => {
                self.count.done += 1;
                self.count.answered += 1;
            }
            End::Unopened => self.count.unopened += 1,
            End::OutOfTime => self.count.out_of_time += 1,
            End::HostReset => self.count.host_resets += 1,
            End::SystemReset => self.count.system_resets += 1,
        }
        // FLOW (a): a reset of an open flow that its host didn't send.
        let Some(own) = self.opened.get(&key).copied() else { return };
        let from_own =
            packet.is_some_and(|packet| !packet.no_sum) && end == End::HostReset && !self.hosts[own].has_open(&key);
        let is_reset = matches!(end, End::HostReset | End::SystemReset) && now - flow.started < FLOW_MAX;
        if is_reset
            && !from_own
            && self.hosts[own].has_open(&key)
            && self.is_calm(own, now)
            && self.is_taker_calm(&key, now)
        {
            let by = if end == End::SystemReset { "the system" } else { "another host" };
            let text = format!(
                "the flow {} to {} was open at {} for {} ms and was reset by {by}",
                key.0,
                key.1,
                self.hosts[own].name,
                (now - flow.started).as_millis()
            );
            self.break_rule("FLOW", text);
        }
    }

    pub fn break_rule(&mut self, rule: &'static str, text: String) {
        if self.broken.len() < 20 {
            self.record.say(&format!("BROKEN {rule}: {text}"));
        }
        self.broken.push(rule);
    }
}

fn receive(socket: Arc<UdpSocket>, mut handle: impl FnMut(Vec<u8>) -> bool + Send + 'static) {
    std::thread::spawn(move || {
        let mut buffer = [0; 2048];
        while let Ok((length, _)) = socket.recv_from(&mut buffer) {
            if !handle(buffer[..length].to_vec()) {
                return;
            }
        }
    });
}

/// Channels to a host are accepted, and health probes answered.
pub const ANSWER: u8 = 0;
/// Nothing listens.
pub const REFUSE: u8 = 1;
/// New channels wait in the queue.
pub const HOLD: u8 = 2;

/// Listens for health probes, as `listening` says.
fn serve_health(address: SocketAddrV4, listening: Arc<AtomicU8>) {
    std::thread::spawn(move || {
        loop {
            if listening.load(Ordering::SeqCst) == REFUSE {
                std::thread::sleep(Duration::from_millis(2));
                continue;
            }
            let Ok(listener) = TcpListener::bind(address) else { return };
            let _ = listener.set_nonblocking(true);
            loop {
                match listening.load(Ordering::SeqCst) {
                    REFUSE => break,
                    HOLD => std::thread::sleep(Duration::from_millis(2)),
                    _ => match listener.accept() {
                        Ok((stream, _)) => drop(std::thread::spawn(move || answer_health(stream))),
                        Err(_) => std::thread::sleep(Duration::from_millis(2)),
                    },
                }
            }
        }
    });
}

fn answer_health(mut stream: TcpStream) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let mut buffer = [0; 1024];
    if matches!(stream.read(&mut buffer), Ok(length) if length > 0) {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    }
}
