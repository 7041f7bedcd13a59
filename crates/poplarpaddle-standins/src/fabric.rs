//! Simulates the network between callers, balancers and targets.
//!
//! Each datagram carries one raw IPv4 packet, which the fabric routes by its addresses only. Packets to a service and
//! packets from targets go to a balancer that is chosen at random for every packet.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use eyre::Result;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::net::{Datagram, Prefix, Stop};
use crate::stack::Header;

pub mod flows;
pub mod http;

use flows::{Key, Table};

/// Maximum time to wait for a packet, in microseconds, so that the stop flag is noticed soon.
const MAX_SLEEP: u64 = 20 * clock::MILLISECOND;
/// Maximum additional delay of a reordered packet, in microseconds.
const REORDER_DELAY: u64 = 5 * clock::MILLISECOND;
/// Maximum number of queued packets. Further ones are dropped, as on a congested link.
const MAX_DELAYED: usize = 200_000;

/// A balancer and its health as seen by the fabric.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Balancer {
    /// UDP address for packets.
    pub data: SocketAddr,
    /// URL that returns status 200 while the balancer accepts packets.
    pub health: String,
    /// True if the latest health check succeeded.
    #[serde(default)]
    pub up: bool,
}

/// Routing table of the fabric.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Routes {
    /// Prefixes of service addresses.
    pub services: Vec<Prefix>,
    /// UDP address of the process of each target.
    pub targets: BTreeMap<Ipv4Addr, SocketAddr>,
    /// UDP address of the process behind each caller prefix.
    pub callers: Vec<CallerRoute>,
    /// All balancers, healthy or not.
    pub balancers: Vec<Balancer>,
}

/// Route to the process that runs the callers of a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerRoute {
    /// Addresses of the callers.
    pub prefix: Prefix,
    /// UDP address of the process.
    pub address: SocketAddr,
}

/// Next hop of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextHop {
    /// Process of the caller, by its UDP address.
    Caller(SocketAddr),
    /// Any healthy balancer.
    Balancer,
    /// Process of the target, by its UDP address.
    Target(SocketAddr),
    /// No route matches the packet.
    Unroutable,
}

impl Routes {
    /// Returns the next hop of a packet by its source and destination addresses.
    #[must_use]
    pub fn next_hop(&self, header: &Header) -> NextHop {
        let (source, destination) = (*header.source.ip(), *header.destination.ip());
        if self.is_service(source) {
            let route = self.callers.iter().find(|route| route.prefix.contains(destination));
            return route.map_or(NextHop::Unroutable, |route| NextHop::Caller(route.address));
        }
        if self.is_service(destination) || self.targets.contains_key(&source) {
            return NextHop::Balancer;
        }
        self.targets.get(&destination).map_or(NextHop::Unroutable, |&address| NextHop::Target(address))
    }

    fn is_service(&self, address: Ipv4Addr) -> bool {
        self.services.iter().any(|prefix| prefix.contains(address))
    }

    /// Returns the key of the flow that a packet belongs to.
    fn flow_key(&self, header: &Header) -> Key {
        if self.is_service(*header.source.ip()) || self.targets.contains_key(header.source.ip()) {
            return Key { caller: header.destination, port: header.source.port() };
        }
        Key { caller: header.source, port: header.destination.port() }
    }
}

/// Faults that the fabric injects. Fractions are between 0 and 1.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Faults {
    /// Fraction of packets lost.
    pub loss: f64,
    /// Fraction of packets delivered twice.
    pub duplicate: f64,
    /// Fraction of packets that get an additional random delay, so that later packets may overtake them.
    pub reorder: f64,
    /// Delay of every packet, in milliseconds.
    pub delay_ms: u64,
    /// Pairs of UDP addresses between which packets are dropped in both directions.
    pub cut: Vec<(SocketAddr, SocketAddr)>,
    /// If true, a silenced flow loses only its packets between balancers and targets, as with a middlebox on that path.
    pub silent_targets: bool,
}

/// Packet counters of the fabric.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Packets received.
    pub received: u64,
    /// Packets sent to callers.
    pub to_callers: u64,
    /// Packets sent to targets.
    pub to_targets: u64,
    /// Packets sent to each balancer.
    pub to_balancers: BTreeMap<SocketAddr, u64>,
    /// Packets dropped because they are not TCP over IPv4.
    pub malformed: u64,
    /// Packets dropped because no route matched.
    pub no_route: u64,
    /// Packets dropped because no balancer was up.
    pub no_balancer: u64,
    /// Packets dropped by [`Faults::loss`].
    pub lost: u64,
    /// Packets dropped by [`Faults::cut`].
    pub cut: u64,
    /// Packets dropped because their flow was silenced.
    pub silenced: u64,
    /// Packets delivered twice.
    pub duplicated: u64,
    /// Packets delayed by [`Faults::reorder`].
    pub reordered: u64,
    /// Packets dropped because the queue was full.
    pub overflow: u64,
}

/// A packet queued for delivery.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Delivery {
    /// Time of delivery, in microseconds.
    pub due: u64,
    /// Sequence number, which orders packets with the same delivery time.
    pub sequence: u64,
    /// UDP address of the receiver.
    pub to: SocketAddr,
    /// The raw IP packet.
    pub bytes: Vec<u8>,
}

/// Routes packets and injects faults. Performs no I/O.
#[derive(Debug)]
pub struct Engine {
    /// Routing table.
    pub routes: Routes,
    /// Injected faults.
    pub faults: Faults,
    /// Tracked flows.
    pub flows: Table,
    /// Packet counters.
    pub counts: Counts,
    rng: Pcg64,
    sequence: u64,
    delayed: BinaryHeap<Reverse<Delivery>>,
}

impl Engine {
    /// Returns an engine that injects no faults.
    #[must_use]
    pub fn new(routes: Routes, seed: u64) -> Self {
        Self {
            routes,
            faults: Faults::default(),
            flows: Table::default(),
            counts: Counts::default(),
            rng: Pcg64::seed_from_u64(seed),
            sequence: 0,
            delayed: BinaryHeap::new(),
        }
    }

    /// Routes a received packet. If it is not dropped, [`Engine::pop_due`] returns it at its delivery time.
    pub fn handle_packet(&mut self, now: u64, datagram: Datagram) {
        self.counts.received += 1;
        let Some(header) = Header::parse(&datagram.bytes) else {
            self.counts.malformed += 1;
            return;
        };
        let hop = self.routes.next_hop(&header);
        if self.should_silence(hop, &header) {
            self.counts.silenced += 1;
            return;
        }
        let Some(to) = self.resolve(hop) else { return };
        if self.is_cut(datagram.from, to) {
            self.counts.cut += 1;
            return;
        }
        self.send(now, hop, to, datagram.bytes);
    }

    /// Removes and returns the next packet whose delivery time has come.
    pub fn pop_due(&mut self, now: u64) -> Option<Delivery> {
        self.delayed.peek().filter(|Reverse(delivery)| delivery.due <= now)?;
        self.delayed.pop().map(|Reverse(delivery)| delivery)
    }

    /// Returns the delivery time of the next packet.
    #[must_use]
    pub fn due(&self) -> u64 {
        self.delayed.peek().map_or(u64::MAX, |Reverse(delivery)| delivery.due)
    }

    /// Silences a random fraction of the open flows and returns their number.
    pub fn silence_share(&mut self, share: f64) -> usize {
        let rng = &mut self.rng;
        self.flows.silence_where(|_| rng.random_bool(share))
    }

    /// Tracks the flow of a packet and returns true if the packet is to be dropped because its flow is silenced.
    fn should_silence(&mut self, hop: NextHop, header: &Header) -> bool {
        let key = self.routes.flow_key(header);
        let on_caller_leg = matches!(hop, NextHop::Caller(_)) || self.routes.is_service(*header.destination.ip());
        if on_caller_leg {
            self.flows.observe(key, header);
        }
        self.flows.is_silenced(&key) && !(on_caller_leg && self.faults.silent_targets)
    }

    /// Returns the UDP address of the next hop. Counts the packet and returns `None` if there is none.
    fn resolve(&mut self, hop: NextHop) -> Option<SocketAddr> {
        match hop {
            NextHop::Caller(address) | NextHop::Target(address) => Some(address),
            NextHop::Unroutable => {
                self.counts.no_route += 1;
                None
            }
            NextHop::Balancer => self.pick_balancer(),
        }
    }

    fn pick_balancer(&mut self) -> Option<SocketAddr> {
        let up: Vec<_> = self.routes.balancers.iter().filter(|balancer| balancer.up).collect();
        if up.is_empty() {
            self.counts.no_balancer += 1;
            return None;
        }
        Some(up[self.rng.random_range(0..up.len())].data)
    }

    fn is_cut(&self, from: SocketAddr, to: SocketAddr) -> bool {
        self.faults.cut.iter().any(|&pair| pair == (from, to) || pair == (to, from))
    }

    fn send(&mut self, now: u64, hop: NextHop, to: SocketAddr, bytes: Vec<u8>) {
        if self.chance(self.faults.loss) {
            self.counts.lost += 1;
            return;
        }
        match hop {
            NextHop::Caller(_) => self.counts.to_callers += 1,
            NextHop::Target(_) => self.counts.to_targets += 1,
            NextHop::Balancer | NextHop::Unroutable => *self.counts.to_balancers.entry(to).or_default() += 1,
        }
        if self.chance(self.faults.duplicate) {
            self.counts.duplicated += 1;
            // The copy is routed independently, so two balancers may receive the packet at the same time.
            let other = if hop == NextHop::Balancer { self.pick_balancer() } else { None };
            self.schedule(now, other.unwrap_or(to), bytes.clone());
        }
        self.schedule(now, to, bytes);
    }

    fn schedule(&mut self, now: u64, to: SocketAddr, bytes: Vec<u8>) {
        let mut due = now + self.faults.delay_ms * clock::MILLISECOND;
        if self.chance(self.faults.reorder) {
            self.counts.reordered += 1;
            due += self.rng.random_range(1..=REORDER_DELAY);
        }
        if self.delayed.len() >= MAX_DELAYED {
            self.counts.overflow += 1;
            return;
        }
        self.sequence += 1;
        self.delayed.push(Reverse(Delivery { due, sequence: self.sequence, to, bytes }));
    }

    fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random_bool(share.min(1.0))
    }
}

/// An engine shared by the packet thread, the health checks and the admin interface.
#[derive(Debug, Clone)]
pub struct Shared(Arc<Mutex<Engine>>);

impl Shared {
    /// Returns a shared handle to `engine`.
    #[must_use]
    pub fn new(engine: Engine) -> Self {
        Self(Arc::new(Mutex::new(engine)))
    }

    /// Locks the engine.
    pub fn lock(&self) -> MutexGuard<'_, Engine> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Receives and delivers packets until `stop` is set.
pub fn run(engine: &Shared, socket: &UdpSocket, inbox: &Receiver<Datagram>, stop: &Stop) {
    while !stop.is_set() {
        let now = clock::now();
        let deadline = engine.lock().due().min(now + MAX_SLEEP);
        let first = inbox.recv_timeout(clock::until(now, deadline)).ok();
        if let Some(datagram) = first {
            engine.lock().handle_packet(clock::now(), datagram);
        }
        let now = clock::now();
        loop {
            let Some(delivery) = engine.lock().pop_due(now) else { break };
            // A datagram that cannot be sent counts as a lost packet.
            drop(socket.send_to(&delivery.bytes, delivery.to));
        }
    }
}

/// Parses routes from JSON.
///
/// # Errors
///
/// Returns an error if the text is not a valid JSON representation of [`Routes`].
pub fn parse_routes(text: &str) -> Result<Routes> {
    Ok(serde_json::from_str(text)?)
}
