//! Consumers, routers, readiness checks and the processes under test; records what was sent, answered and run.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{Read as _, Write as _};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::host::{Host, Key, Seen, seal};
use crate::packet::{ACK, FIN, Packet, RST, SYN, Sum};
use crate::store::Store;

pub const ZONES: [&str; 3] = ["kitami", "abashiri", "monbetsu"];
pub const HEARTBEAT: Duration = Duration::from_millis(770);
const SYN_COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const SYN_LIMIT: Duration = Duration::from_millis(1400);
const FIRST_PAUSE: Duration = Duration::from_millis(200);
const LAST_PAUSE: Duration = Duration::from_millis(1600);
/// A reset counts on an open flow if its `seq` is within this of the consumer's last `ack`.
const RESET_WINDOW: u32 = 76_800;
/// Two missed checks take a node out of rotation.
const MISSES: u32 = 2;

pub struct Node {
    pub zone: usize,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    pub child: Option<Child>,
    misses: Arc<AtomicU32>,
}

pub struct Server {
    pub host: Host,
    pub name: String,
    pub zone: usize,
    pub address: SocketAddrV4,
    pub service: &'static str,
    pub state: &'static str,
    socket: UdpSocket,
    /// Accepts health probes; none while the host is cut off, which refuses them.
    listener: Option<TcpListener>,
    /// What its registration says now; none while it does not write.
    pub writes: bool,
    beat: u64,
    pub next_beat: Instant,
    pub born: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    Waiting,
    Answered(Instant),
    /// Reset by the system on an open flow.
    ResetBySystem(Instant),
    ResetByHost(Instant),
    /// The time budget ended.
    Unanswered,
    /// The flow never opened.
    Unopened,
    Mixed,
}

pub struct Request {
    pub id: u64,
    pub sent: Instant,
    pub fate: Fate,
    pub ran: Vec<(Instant, usize)>,
}

struct Unacked {
    packet: Packet,
    due: Instant,
    pause: Duration,
}

pub struct Flow {
    pub key: Key,
    pub zone: usize,
    pub started: Instant,
    copies: usize,
    iseq: u32,
    next_seq: u32,
    peer_next: u32,
    echo: u32,
    pub is_open: bool,
    pub is_done: bool,
    unacked: Vec<Unacked>,
    pub requests: Vec<Request>,
    pub second_at: Option<Instant>,
    /// Pause between an answer and the next request; none if there is one request, or a second one at `second_at`.
    pub every: Option<Duration>,
    /// True if the consumer keeps the flow open after its last answer.
    pub keep: bool,
    /// Length of the bodies that its requests ask for.
    pub bytes: usize,
    /// Part of the answer that has arrived.
    answer: Vec<u8>,
    /// Resets of the system with a `seq` that no reset has on an open flow: when, and how far from the last `ack`.
    pub strays: Vec<(Instant, u32)>,
    /// The host that had the end of the handshake, and when.
    pub opened: Option<(Instant, usize)>,
    pub arrivals: Vec<(Instant, usize, bool)>,
    pub sends: Vec<(Instant, usize, &'static str, u32)>,
    pub notes: Vec<(Instant, String)>,
}

pub struct Site {
    pub start: Instant,
    port: u16,
    pub nodes: Vec<Node>,
    pub servers: Vec<Server>,
    pub store: Store,
    consumers: Vec<(Ipv4Addr, UdpSocket)>,
    pub flows: Vec<Flow>,
    by_end: HashMap<SocketAddrV4, usize>,
    live: Vec<usize>,
    by_request: HashMap<u64, (usize, usize)>,
    pub route: SocketAddrV4,
    edge: PathBuf,
    /// File with the ids of the processes that were started.
    pids: PathBuf,
    /// New flows a second.
    pub rate: f64,
    owed: f64,
    last_spawn: Instant,
    /// When the second requests of flows that start now are sent; none for flows with one request.
    pub second_at: Option<Instant>,
    pub budget: Duration,
    /// Pause between the requests of flows that start now; none for flows with one or two.
    pub every: Option<Duration>,
    /// True if flows that start now are kept open after their last answer.
    pub keep: bool,
    /// Length of the bodies that flows that start now ask for.
    pub bytes: usize,
    next_request: u64,
    next_port: u16,
    random: u64,
    pub version: u64,
    pub journal: String,
    pub altered: u64,
    pub mixed: u64,
}

impl Site {
    pub fn new(edge: PathBuf, folder: PathBuf, nodes_per_zone: usize, hosts_per_zone: usize) -> Result<Self, String> {
        let start = Instant::now();
        let seed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_nanos() as u64;
        let fail = |what: &str, error: std::io::Error| format!("{what}: {error}");
        let mut random = seed ^ u64::from(std::process::id()) << 32;
        let mut chosen = None;
        for _ in 0..50 {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let base = 10 + (random >> 40) as u8 % 220;
            let port = 20_000 + (random >> 48) as u16 % 8_000;
            let ip = Ipv4Addr::new(127, base, 1, 1);
            let is_free =
                (0..8).all(|at| TcpListener::bind((ip, port + at)).is_ok()) && UdpSocket::bind((ip, port)).is_ok();
            if is_free && TcpListener::bind((ip, 9464)).is_ok() {
                chosen = Some((base, port));
                break;
            }
        }
        let (base, port) = chosen.ok_or("no free loopback ports")?;
        let store_address = SocketAddrV4::new(Ipv4Addr::new(127, base, 200, 1), port + 2);
        let store = Store::start(store_address).map_err(|error| fail("store", error))?;
        let mut servers = Vec::new();
        let unix_ms = seed / 1_000_000;
        for number in 0..hosts_per_zone * 3 {
            let address = SocketAddrV4::new(Ipv4Addr::new(127, base, 128, number as u8 + 1), 8080);
            let socket = UdpSocket::bind(address).map_err(|error| fail("host", error))?;
            socket.set_nonblocking(true).map_err(|error| fail("host", error))?;
            let listener = TcpListener::bind(address).map_err(|error| fail("host", error))?;
            listener.set_nonblocking(true).map_err(|error| fail("host", error))?;
            let id = 0x7f3a_0000 + (random & 0xffff) * 256 + number as u64 + 1;
            servers.push(Server {
                host: Host::new(id, 2, Duration::from_millis(22), (random as u32).wrapping_add(number as u32 * 7919)),
                name: format!("i-{id:x}"),
                zone: number % 3,
                address,
                service: "pour-slot",
                state: "ready",
                socket,
                listener: Some(listener),
                writes: true,
                beat: 0,
                next_beat: start,
                born: unix_ms,
            });
        }
        let mut consumers = Vec::new();
        for zone in 0..3 {
            let ip = Ipv4Addr::new(127, base, 64, zone as u8 + 1);
            let socket = UdpSocket::bind((ip, port)).map_err(|error| fail("consumer", error))?;
            socket.set_nonblocking(true).map_err(|error| fail("consumer", error))?;
            consumers.push((ip, socket));
        }
        let mut nodes = Vec::new();
        for number in 0..nodes_per_zone * 3 {
            let ip = Ipv4Addr::new(127, base, 1, number as u8 + 1);
            let misses = Arc::new(AtomicU32::new(MISSES));
            let node = Node {
                zone: number % 3,
                ip,
                settings: folder.join(format!("edge-{number}.toml")),
                log: folder.join(format!("edge-{number}.log")),
                child: None,
                misses: Arc::clone(&misses),
            };
            std::fs::write(&node.settings, settings(&node, base, port, store_address))
                .map_err(|e| fail("settings", e))?;
            let ready = SocketAddr::from((ip, port + 1));
            std::thread::spawn(move || check_readiness(ready, &misses));
            nodes.push(node);
        }
        let route = SocketAddrV4::new(Ipv4Addr::new(127, base, 99, 1), 8443);
        let mut site = Self {
            start,
            port,
            nodes,
            servers,
            store,
            consumers,
            flows: Vec::new(),
            by_end: HashMap::new(),
            live: Vec::new(),
            by_request: HashMap::new(),
            route,
            edge,
            pids: folder.join("pids"),
            rate: 0.0,
            owed: 0.0,
            last_spawn: start,
            second_at: None,
            budget: Duration::from_secs(5),
            every: None,
            keep: false,
            bytes: 500,
            next_request: 1,
            next_port: 30_000,
            random,
            version: 7,
            journal: String::new(),
            altered: 0,
            mixed: 0,
        };
        site.write_config("idempotent");
        site.beat();
        Ok(site)
    }

    /// Writes the configuration: one route to the service `pour-slot`.
    pub fn write_config(&mut self, route_type: &str) {
        let (version, ip, port) = (self.version, self.route.ip(), self.route.port());
        self.version += 3;
        let spec = format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"{ip}\",\"path_prefix\":\"/{port}/\",\"route_type\":\"{route_type}\",\"timeout_ms\":5000,\"target_latency_ms\":500,\"priority\":1,\"service\":\"pour-slot\",\"max_attempts\":2}}],\"services\":[{{\"name\":\"pour-slot\",\"health_path\":\"/health\"}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
        );
        self.store.set("config", "main", &spec);
        self.note(&format!("operator: version {version} confirmed, route {} to pour-slot, {route_type}", self.route));
    }

    pub fn note(&mut self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.journal, "{at:8.3} s  {text}");
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.duration_since(self.start).as_secs_f64()
    }

    fn draw(&mut self) -> u64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.random >> 24
    }

    /// Starts the process on a node with the command of the deploy file.
    pub fn start_node(&mut self, index: usize) -> Result<(), String> {
        let node = &mut self.nodes[index];
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&node.log).map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(&self.edge)
            .env_clear()
            .env("POPLARPADDLE_BOOT", &node.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("cannot start {}: {error}", self.edge.display()))?;
        let (pid, ip) = (child.id(), node.ip);
        node.child = Some(child);
        let pids = std::fs::OpenOptions::new().create(true).append(true).open(&self.pids);
        let _ = pids.and_then(|mut file| writeln!(file, "{pid}"));
        self.note(&format!("edge-{index} ({ip}) started, process {pid}"));
        Ok(())
    }

    pub fn signal(&mut self, index: usize, name: &str) {
        if let Some(child) = &self.nodes[index].child {
            let pid = child.id().to_string();
            let _ = Command::new("kill").arg(format!("-{name}")).arg(&pid).status();
            self.note(&format!("edge-{index}: SIG{name} to process {pid}"));
        }
    }

    pub fn kill_node(&mut self, index: usize) {
        if let Some(mut child) = self.nodes[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.note(&format!("edge-{index}: SIGKILL"));
        }
    }

    /// Returns the nodes whose processes ended by themselves.
    pub fn ended(&mut self) -> Vec<usize> {
        let ended = |node: &mut Node| node.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))));
        (0..self.nodes.len()).filter(|index| ended(&mut self.nodes[*index])).collect()
    }

    pub fn in_rotation(&self, index: usize) -> bool {
        self.nodes[index].misses.load(Ordering::Relaxed) < MISSES
    }

    /// Runs until `end`.
    pub fn run_until(&mut self, end: Instant) {
        while Instant::now() < end {
            if !self.step() {
                std::thread::sleep(Duration::from_micros(300));
            }
        }
    }

    /// Handles all datagrams and timers that are due. Returns true if there was a datagram.
    pub fn step(&mut self) -> bool {
        let mut buffer = [0; 2048];
        let mut busy = false;
        for index in 0..self.servers.len() {
            while let Some(Ok((stream, _))) = self.servers[index].listener.as_ref().map(TcpListener::accept) {
                std::thread::spawn(move || drop(health(stream)));
            }
            while let Ok((length, _)) = self.servers[index].socket.recv_from(&mut buffer) {
                busy = true;
                self.servers[index].host.datagram(Instant::now(), &buffer[..length]);
            }
            self.servers[index].host.tick(Instant::now());
            self.flush_host(index);
        }
        for at in 0..self.consumers.len() {
            while let Ok((length, _)) = self.consumers[at].1.recv_from(&mut buffer) {
                busy = true;
                self.receive(&buffer[..length]);
            }
        }
        self.beat();
        self.spawn();
        self.tick_flows();
        busy
    }

    fn flush_host(&mut self, index: usize) {
        let now = Instant::now();
        let (out, seen) = {
            let host = &mut self.servers[index].host;
            (std::mem::take(&mut host.out), std::mem::take(&mut host.seen))
        };
        for seen in seen {
            match seen {
                Seen::Opened(key) => {
                    if let Some(flow) = self.flow_of(key) {
                        flow.opened = flow.opened.or(Some((now, index)));
                        flow.notes.push((now, format!("host {index} has the end of the handshake")));
                    }
                }
                Seen::Arrived(key, is_opening) => {
                    if let Some(flow) = self.flow_of(key) {
                        flow.arrivals.push((now, index, is_opening));
                    }
                }
                Seen::Ran(id) => {
                    if let Some((flow, request)) = self.by_request.get(&id).copied() {
                        self.flows[flow].requests[request].ran.push((now, index));
                    }
                }
                Seen::Altered => self.altered += 1,
            }
        }
        for packet in out {
            let to = SocketAddrV4::new(*packet.destination.ip(), self.port);
            let _ = self.servers[index].socket.send_to(&packet.encode(), to);
        }
    }

    fn flow_of(&mut self, key: Key) -> Option<&mut Flow> {
        let index = *self.by_end.get(&key.0)?;
        Some(&mut self.flows[index])
    }

    /// Hosts write their registrations.
    fn beat(&mut self) {
        let now = Instant::now();
        if self.store.is_silent() {
            return;
        }
        for server in &mut self.servers {
            if !server.writes || now < server.next_beat {
                continue;
            }
            server.next_beat = now + HEARTBEAT;
            server.beat += 1;
            let spec = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{}\",\"cold_left_ms\":0,\"seq\":{},\"born\":{}}}",
                server.service,
                server.address,
                ZONES[server.zone],
                server.host.slots,
                server.state,
                server.beat,
                server.born
            );
            self.store.set("servers", &server.name, &spec);
        }
    }

    /// A host reports `draining`. Returns when the store has accepted that.
    pub fn drain(&mut self, index: usize) -> Instant {
        self.servers[index].state = "draining";
        self.servers[index].next_beat = Instant::now();
        self.beat();
        self.note(&format!("host {index} reports draining, confirmed by the store"));
        Instant::now()
    }

    fn spawn(&mut self) {
        let now = Instant::now();
        self.owed += now.duration_since(self.last_spawn).as_secs_f64() * self.rate;
        self.last_spawn = now;
        while self.owed >= 1.0 {
            self.owed -= 1.0;
            self.start_flow();
        }
    }

    /// Cuts a host off from all machines (refusing), or ends the cut.
    pub fn cut_host(&mut self, index: usize, is_cut: bool) -> Result<(), String> {
        let server = &mut self.servers[index];
        server.host.is_cut = is_cut;
        server.listener = None;
        if !is_cut {
            let listener = TcpListener::bind(server.address).map_err(|error| format!("host: {error}"))?;
            listener.set_nonblocking(true).map_err(|error| format!("host: {error}"))?;
            server.listener = Some(listener);
        }
        self.note(&format!(
            "host {index} {}",
            if is_cut { "is cut off from all machines" } else { "is reached again" }
        ));
        Ok(())
    }

    pub fn start_flow(&mut self) -> usize {
        let now = Instant::now();
        let zone = (self.draw() % 3) as usize;
        self.next_port = if self.next_port == u16::MAX { 1024 } else { self.next_port + 1 };
        let end = SocketAddrV4::new(self.consumers[zone].0, self.next_port);
        let iseq = self.draw() as u32;
        let jitter = Duration::from_millis(self.draw() % 1200);
        let index = self.flows.len();
        let flow = Flow {
            key: (end, self.route),
            zone,
            started: now,
            copies: 0,
            iseq,
            next_seq: iseq.wrapping_add(1),
            peer_next: 0,
            echo: 0,
            is_open: false,
            is_done: false,
            unacked: Vec::new(),
            requests: Vec::new(),
            second_at: self.second_at.map(|at| at + jitter),
            every: self.every,
            keep: self.keep,
            bytes: self.bytes,
            answer: Vec::new(),
            strays: Vec::new(),
            opened: None,
            arrivals: Vec::new(),
            sends: Vec::new(),
            notes: Vec::new(),
        };
        self.flows.push(flow);
        self.by_end.insert(end, index);
        self.live.push(index);
        self.add_request(index);
        self.send_syn(index);
        index
    }

    fn add_request(&mut self, flow: usize) -> u64 {
        let id = self.next_request;
        self.next_request += 1;
        self.by_request.insert(id, (flow, self.flows[flow].requests.len()));
        let request = Request { id, sent: Instant::now(), fate: Fate::Waiting, ran: Vec::new() };
        self.flows[flow].requests.push(request);
        id
    }

    fn send_syn(&mut self, index: usize) {
        let flow = &self.flows[index];
        let (seq, ack) = (flow.iseq, flow.copies as u32);
        self.send(index, SYN, 0, seq, ack, Vec::new(), "SYN");
    }

    #[allow(clippy::too_many_arguments)]
    fn send(&mut self, index: usize, flags: u8, echo: u32, seq: u32, ack: u32, data: Vec<u8>, label: &'static str) {
        let key = self.flows[index].key;
        let zone = self.flows[index].zone;
        let Some(node) = self.choose(key, zone) else { return };
        let packet = Packet { source: key.0, destination: key.1, flags, echo, seq, ack, data };
        let to = SocketAddrV4::new(self.nodes[node].ip, self.port);
        let _ = self.consumers[zone].1.send_to(&packet.encode(), to);
        self.flows[index].sends.push((Instant::now(), node, label, echo));
    }

    /// Selects a node by the hash over the nodes in rotation (`steady`: only the flows of a node that leaves move).
    fn choose(&self, key: Key, zone: usize) -> Option<usize> {
        let in_zone: Vec<usize> = (0..self.nodes.len()).filter(|index| self.nodes[*index].zone == zone).collect();
        let ready: Vec<usize> = in_zone.iter().copied().filter(|index| self.in_rotation(*index)).collect();
        let used = if ready.is_empty() {
            (0..self.nodes.len()).filter(|index| self.in_rotation(*index)).collect()
        } else if ready.len() * 2 < in_zone.len() {
            in_zone
        } else {
            ready
        };
        used.into_iter().max_by_key(|index| {
            let mut hash = 0xcbf2_9ce4_8422_2325_u64 ^ (*index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            for word in [u32::from(*key.0.ip()), key.0.port().into(), u32::from(*key.1.ip()), key.1.port().into()] {
                hash = (hash ^ u64::from(word)).wrapping_mul(0xff51_afd7_ed55_8ccd);
                hash ^= hash >> 29;
            }
            hash
        })
    }

    /// A consumer receives a datagram.
    fn receive(&mut self, bytes: &[u8]) {
        let now = Instant::now();
        let Some((packet, sum)) = Packet::decode(bytes) else {
            self.mixed += 1;
            return;
        };
        let Some(index) = self.by_end.get(&packet.destination).copied() else { return };
        if packet.source != self.flows[index].key.1 {
            return;
        }
        let own_reset = sum == Sum::Zero && packet.has(RST) && packet.data.is_empty();
        if sum != Sum::Right && !own_reset {
            self.mixed += 1;
            return;
        }
        if self.flows[index].is_done {
            return;
        }
        if packet.has(RST) {
            return self.receive_reset(now, index, &packet, own_reset);
        }
        let flow = &mut self.flows[index];
        flow.echo = packet.echo;
        if packet.has(SYN) && packet.has(ACK) {
            if !flow.is_open {
                flow.is_open = true;
                flow.peer_next = packet.seq.wrapping_add(1);
                flow.notes.push((now, format!("SYN+ACK seq {:08x} echo {:08x}: open", packet.seq, packet.echo)));
                self.ack(index);
                self.send_request(index, 0);
            } else if packet.seq.wrapping_add(1) != flow.peer_next && flow.notes.len() < 60 {
                let text = format!("SYN+ACK of another host, seq {:08x} echo {:08x}", packet.seq, packet.echo);
                flow.notes.push((now, text));
            }
            return;
        }
        if !flow.is_open {
            return;
        }
        let acked = packet.ack;
        flow.unacked.retain(|unacked| {
            let length = unacked.packet.data.len() as u32 + u32::from(unacked.packet.has(FIN));
            (acked.wrapping_sub(unacked.packet.seq.wrapping_add(length)) as i32) < 0
        });
        if packet.data.is_empty() {
            return;
        }
        if packet.seq == flow.peer_next {
            flow.peer_next = flow.peer_next.wrapping_add(packet.data.len() as u32);
            flow.answer.extend_from_slice(&packet.data);
            if let Some(text) = complete(&flow.answer) {
                flow.answer.clear();
                match flow.requests.iter_mut().find(|request| request.fate == Fate::Waiting) {
                    Some(request) => {
                        let id = request.id;
                        let is_right = text.contains(&format!("X-Server-Seal: {}\r\n", seal(id)))
                            && text.contains(&format!("\r\n\r\ndone {id} "));
                        request.fate = if is_right { Fate::Answered(now) } else { Fate::Mixed };
                        self.mixed += u64::from(!is_right);
                    }
                    None => self.mixed += 1,
                }
            }
        }
        self.ack(index);
        let flow = &self.flows[index];
        let is_idle = flow.requests.iter().all(|request| request.fate != Fate::Waiting);
        if let Some(every) = flow.every.filter(|_| is_idle && flow.second_at.is_none()) {
            self.flows[index].second_at = Some(now + every);
            return;
        }
        let is_over = flow.second_at.is_none() && !flow.keep;
        if is_over && is_idle {
            self.close(index);
        }
    }

    fn receive_reset(&mut self, now: Instant, index: usize, packet: &Packet, own: bool) {
        let flow = &mut self.flows[index];
        if flow.is_open
            && own
            && flow.peer_next.wrapping_sub(packet.seq).min(packet.seq.wrapping_sub(flow.peer_next)) > RESET_WINDOW
        {
            let distance = flow.peer_next.wrapping_sub(packet.seq).min(packet.seq.wrapping_sub(flow.peer_next));
            flow.strays.push((now, distance));
            flow.notes
                .push((now, format!("reset by the system with seq {:08x}, {distance} from the last ack", packet.seq)));
            return;
        }
        let by = if own { "the system" } else { "a host" };
        flow.notes.push((now, format!("reset by {by}, seq {:08x}", packet.seq)));
        let fate = match (flow.is_open, own) {
            (false, _) => Fate::Unopened,
            (true, true) => Fate::ResetBySystem(now),
            (true, false) => Fate::ResetByHost(now),
        };
        // A flow without a request in progress is broken too: its next request gets no answer here.
        if flow.requests.iter().all(|request| request.fate != Fate::Waiting) && flow.is_open {
            self.add_request(index);
        }
        let flow = &mut self.flows[index];
        for request in flow.requests.iter_mut().filter(|request| request.fate == Fate::Waiting) {
            request.fate = fate;
        }
        flow.is_done = true;
    }

    fn ack(&mut self, index: usize) {
        let flow = &self.flows[index];
        let (echo, seq, ack) = (flow.echo, flow.next_seq, flow.peer_next);
        self.send(index, ACK, echo, seq, ack, Vec::new(), "ACK");
    }

    fn send_request(&mut self, index: usize, request: usize) {
        let id = self.flows[index].requests[request].id;
        let bytes = self.flows[index].bytes;
        let text = format!("GET /mould/{bytes} HTTP/1.1\r\nHost: pour\r\nX-Attempt-Id: {id}\r\n\r\n");
        let flow = &mut self.flows[index];
        let (echo, seq, ack) = (flow.echo, flow.next_seq, flow.peer_next);
        flow.next_seq = flow.next_seq.wrapping_add(text.len() as u32);
        let packet =
            Packet { source: flow.key.0, destination: flow.key.1, flags: ACK, echo, seq, ack, data: text.into_bytes() };
        let data = packet.data.clone();
        flow.unacked.push(Unacked { packet, due: Instant::now() + FIRST_PAUSE, pause: FIRST_PAUSE });
        self.send(index, ACK, echo, seq, ack, data, "request");
    }

    fn close(&mut self, index: usize) {
        let flow = &mut self.flows[index];
        flow.is_done = true;
        let (echo, seq, ack) = (flow.echo, flow.next_seq, flow.peer_next);
        self.send(index, ACK | FIN, echo, seq, ack, Vec::new(), "FIN");
    }

    fn tick_flows(&mut self) {
        let now = Instant::now();
        let live = std::mem::take(&mut self.live);
        let mut kept = Vec::with_capacity(live.len());
        for index in live {
            self.tick_flow(now, index);
            if !self.flows[index].is_done {
                kept.push(index);
            }
        }
        kept.append(&mut self.live);
        self.live = kept;
    }

    fn tick_flow(&mut self, now: Instant, index: usize) {
        let budget = self.budget;
        let flow = &mut self.flows[index];
        if flow.is_done {
            return;
        }
        if let Some(request) =
            flow.requests.iter_mut().find(|request| request.fate == Fate::Waiting && now > request.sent + budget)
        {
            request.fate = Fate::Unanswered;
            flow.is_done = true;
            return;
        }
        if !flow.is_open {
            let copies = flow.copies;
            if now > flow.started + SYN_LIMIT {
                flow.requests[0].fate = Fate::Unopened;
                flow.is_done = true;
            } else if copies < SYN_COPIES.len() && now > flow.started + SYN_COPIES[copies] {
                flow.copies += 1;
                self.send_syn(index);
            }
            return;
        }
        if flow.second_at.is_some_and(|at| now > at) && flow.requests.iter().all(|r| r.fate != Fate::Waiting) {
            flow.second_at = None;
            let at = flow.requests.len();
            self.add_request(index);
            self.send_request(index, at);
        }
        let (echo, peer_next) = (self.flows[index].echo, self.flows[index].peer_next);
        let mut again = Vec::new();
        for unacked in self.flows[index].unacked.iter_mut().filter(|unacked| now > unacked.due) {
            unacked.pause = (unacked.pause * 2).min(LAST_PAUSE);
            unacked.due = now + unacked.pause;
            again.push((unacked.packet.flags, unacked.packet.seq, unacked.packet.data.clone()));
        }
        for (flags, seq, data) in again {
            self.send(index, flags, echo, seq, peer_next, data, "request again");
        }
    }

    /// Describes a flow in full for the record.
    pub fn describe(&self, index: usize) -> String {
        let flow = &self.flows[index];
        let mut lines: Vec<(Instant, String)> = Vec::new();
        for (at, node, label, echo) in &flow.sends {
            lines.push((*at, format!("consumer sends {label} with echo {echo:08x} through edge-{node}")));
        }
        for (at, host, is_opening) in &flow.arrivals {
            lines.push((*at, format!("{} arrives at host {host}", if *is_opening { "opening" } else { "packet" })));
        }
        lines.extend(flow.notes.iter().cloned());
        for request in &flow.requests {
            for (at, host) in &request.ran {
                lines.push((*at, format!("host {host} runs request {}", request.id)));
            }
        }
        lines.sort_by_key(|(at, _)| *at);
        let mut text = format!(
            "flow {index} from {} ({}), opened at {:?}\n",
            flow.key.0,
            ZONES[flow.zone],
            flow.opened.map(|(at, host)| format!("host {host}, {:.3} s", self.seconds(at)))
        );
        for request in &flow.requests {
            let _ = writeln!(
                text,
                "  request {} sent {:.3} s: {}",
                request.id,
                self.seconds(request.sent),
                self.fate(request.fate)
            );
        }
        for (at, line) in lines {
            let _ = writeln!(text, "    {:8.3} s  {line}", self.seconds(at));
        }
        text
    }

    pub fn fate(&self, fate: Fate) -> String {
        match fate {
            Fate::Answered(at) => format!("answered {:.3} s", self.seconds(at)),
            Fate::ResetBySystem(at) => format!("reset by the system {:.3} s", self.seconds(at)),
            Fate::ResetByHost(at) => format!("reset by a host {:.3} s", self.seconds(at)),
            other => format!("{other:?}"),
        }
    }

    /// One line for each request.
    pub fn requests(&self) -> String {
        let mut text = String::new();
        for (index, flow) in self.flows.iter().enumerate() {
            for request in &flow.requests {
                let ran: Vec<String> = request.ran.iter().map(|(_, host)| host.to_string()).collect();
                let _ = writeln!(
                    text,
                    "request {} flow {index} sent {:.3} s, {}, run at host [{}]",
                    request.id,
                    self.seconds(request.sent),
                    self.fate(request.fate),
                    ran.join(" ")
                );
            }
        }
        text
    }

    pub fn stop(&mut self) {
        for index in 0..self.nodes.len() {
            if let Some(mut child) = self.nodes[index].child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.stop();
    }
}

fn settings(node: &Node, base: u8, port: u16, store: SocketAddrV4) -> String {
    let (ip, zone) = (node.ip, ZONES[node.zone]);
    let seeds: Vec<String> = (1..=3).map(|number| format!("\"127.{base}.1.{number}:{}\"", port + 3)).collect();
    format!(
        "node_name = \"edge-{ip}\"\nrole = \"balancer\"\nmachine_class = \"edge\"\nserves = [\"edge\",\"control_plane\"]\n\
ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"okhotsk\"\ninternal_port_range = [{},{}]\nseeds = [{}]\nbootstrap = true\n\
in_fault_budget = false\ndiscovery = \"platform\"\nentry = \"announce\"\nheartbeat_ms = 770\n\
contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\",\"platform\"]\nhash = \"steady\"\nencap = \"echo\"\n\
[zones]\nkitami = \"okhotsk\"\nabashiri = \"okhotsk\"\nmonbetsu = \"okhotsk\"\n\
[listen]\npacket_addr = \"{ip}:{port}\"\nreadiness_addr = \"{ip}:{}\"\ncontrol = \"{ip}:{}\"\n\
[limits]\ncpu_share = 0.17\ncores = 1\nmemory_mb = 182\nmax_fds = 2870\nlink_mbps = 700.0\ndisk_mb = 0\n\
[fault_tolerance]\nmachines = 2\nzones = 1\nregions = 0\n\
[bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\nstability_window_ms = 4000\nack_ms = 5000\ncatch_up_s = 4\ndrain_ms = 3000\n\
grace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 3000\nrollback_slack_ms = 250\nmax_stretch_ms = 12000\nrecovery_s = 12\n\
flow_disruption_ms = 2000\nflow_max_s = 60\n\
[platform]\naddress = \"{store}\"\nencap = \"objects\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\n\
value_bytes = 1048576\nmin_ttl_ms = 1000\n",
        port + 4,
        port + 7,
        seeds.join(","),
        port + 1,
        port + 3
    )
}

/// Checks readiness twice a second.
fn check_readiness(address: SocketAddr, misses: &AtomicU32) {
    loop {
        let next = Instant::now() + Duration::from_millis(500);
        if is_ready(address).unwrap_or(false) {
            misses.store(0, Ordering::Relaxed);
        } else {
            let _ = misses.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |misses| Some(misses.saturating_add(1)));
        }
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

fn is_ready(address: SocketAddr) -> std::io::Result<bool> {
    let timeout = Duration::from_millis(450);
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(b"GET /poplarpaddle/ready HTTP/1.1\r\nHost: edge\r\nConnection: close\r\n\r\n")?;
    let mut head = [0; 12];
    stream.read_exact(&mut head)?;
    Ok(&head == b"HTTP/1.1 200")
}

/// Returns the text of an answer once all of it has arrived.
fn complete(answer: &[u8]) -> Option<String> {
    let end = answer.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = std::str::from_utf8(&answer[..end]).ok()?;
    let length: usize = head.lines().find_map(|line| line.strip_prefix("Content-Length: "))?.parse().ok()?;
    (answer.len() >= end + length).then(|| String::from_utf8_lossy(answer).into_owned())
}

/// Answers a health probe.
fn health(mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let mut buffer = [0; 1024];
    while stream.read(&mut buffer)? > 0 {
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")?;
    }
    Ok(())
}
