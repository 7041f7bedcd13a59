//! The network between callers, balancers and targets.
//!
//! Each datagram is one raw IPv4 packet. The fabric looks at its addresses only and sends packets for a service, and
//! answers of targets, to a balancer chosen at random for every packet.

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

/// Longest sleep of the engine, so that a stop is seen soon.
const MAX_SLEEP: u64 = 20 * clock::MILLISECOND;
/// Longest extra delay of a packet that is to be overtaken, in microseconds.
const REORDER_DELAY: u64 = 5 * clock::MILLISECOND;
/// Delayed packets held at most; further ones are dropped like on a full link.
const MAX_DELAYED: usize = 200_000;

/// A balancer as the fabric knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Balancer {
    /// UDP address for packets.
    pub data: SocketAddr,
    /// URL that answers 200 while the balancer takes packets.
    pub health: String,
    /// Result of the latest health check.
    #[serde(default)]
    pub up: bool,
}

/// Where packets go.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Routes {
    /// Prefixes of service addresses.
    pub services: Vec<Prefix>,
    /// UDP address of each target.
    pub targets: BTreeMap<Ipv4Addr, SocketAddr>,
    /// UDP address of each caller prefix.
    pub callers: Vec<CallerRoute>,
    /// Balancers.
    pub balancers: Vec<Balancer>,
}

/// Route to a process with callers.
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
    /// The process of the caller.
    Caller(SocketAddr),
    /// Any balancer.
    Balancer,
    /// The process of the target.
    Target(SocketAddr),
    /// No route.
    Unroutable,
}

impl Routes {
    /// Returns the next hop by the addresses of a packet.
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

    /// Returns the flow of a packet.
    fn flow_key(&self, header: &Header) -> Key {
        if self.is_service(*header.source.ip()) || self.targets.contains_key(header.source.ip()) {
            return Key { caller: header.destination, port: header.source.port() };
        }
        Key { caller: header.source, port: header.destination.port() }
    }
}

/// What goes wrong on the way. Shares are between 0 and 1.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Faults {
    /// Share of packets lost.
    pub loss: f64,
    /// Share of packets delivered twice.
    pub duplicate: f64,
    /// Share of packets that later ones may overtake.
    pub reorder: f64,
    /// Delay of every packet, in milliseconds.
    pub delay_ms: u64,
    /// Pairs of UDP addresses between which no packet passes, in either direction.
    pub cut: Vec<(SocketAddr, SocketAddr)>,
    /// A silenced flow loses its packets between balancers and targets only, as when the middlebox stands there.
    pub silent_targets: bool,
}

/// What the fabric did.
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
    /// Packets that are not TCP over IPv4.
    pub malformed: u64,
    /// Packets without a route.
    pub no_route: u64,
    /// Packets for a balancer while none was up.
    pub no_balancer: u64,
    /// Packets lost by [`Faults::loss`].
    pub lost: u64,
    /// Packets between cut addresses.
    pub cut: u64,
    /// Packets of silenced flows.
    pub silenced: u64,
    /// Packets delivered twice.
    pub duplicated: u64,
    /// Packets that could be overtaken.
    pub reordered: u64,
    /// Packets dropped because too many were delayed.
    pub overflow: u64,
}

/// A packet on its way.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Delivery {
    /// When it is delivered, in microseconds.
    pub due: u64,
    /// Order among packets with the same time.
    pub sequence: u64,
    /// UDP address of the receiver.
    pub to: SocketAddr,
    /// The packet.
    pub bytes: Vec<u8>,
}

/// Decides about each packet; performs no I/O.
#[derive(Debug)]
pub struct Engine {
    /// Routes.
    pub routes: Routes,
    /// Faults.
    pub faults: Faults,
    /// Open flows.
    pub flows: Table,
    /// Counts.
    pub counts: Counts,
    rng: Pcg64,
    sequence: u64,
    delayed: BinaryHeap<Reverse<Delivery>>,
}

impl Engine {
    /// Returns a fabric without faults.
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

    /// Takes a packet; it is delivered by [`Engine::next`].
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

    /// Returns the next packet that is due.
    pub fn pop_due(&mut self, now: u64) -> Option<Delivery> {
        self.delayed.peek().filter(|Reverse(delivery)| delivery.due <= now)?;
        self.delayed.pop().map(|Reverse(delivery)| delivery)
    }

    /// Returns when the next packet is due.
    #[must_use]
    pub fn due(&self) -> u64 {
        self.delayed.peek().map_or(u64::MAX, |Reverse(delivery)| delivery.due)
    }

    /// Silences a share of the open flows, chosen by the seed.
    pub fn silence_share(&mut self, share: f64) -> usize {
        let rng = &mut self.rng;
        self.flows.silence_where(|_| rng.random_bool(share))
    }

    fn should_silence(&mut self, hop: NextHop, header: &Header) -> bool {
        let key = self.routes.flow_key(header);
        let at_edge = matches!(hop, NextHop::Caller(_)) || self.routes.is_service(*header.destination.ip());
        if at_edge {
            self.flows.observe(key, header);
        }
        self.flows.is_silenced(&key) && !(at_edge && self.faults.silent_targets)
    }

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
            // The copy takes a way of its own, so both balancers may see the packet at one moment.
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

/// An engine that the packet thread, the health checks and the admin interface share.
#[derive(Debug, Clone)]
pub struct Shared(Arc<Mutex<Engine>>);

impl Shared {
    /// Shares `engine`.
    #[must_use]
    pub fn new(engine: Engine) -> Self {
        Self(Arc::new(Mutex::new(engine)))
    }

    /// Locks the engine.
    pub fn lock(&self) -> MutexGuard<'_, Engine> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Moves packets until `stop` is set.
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
            // A datagram that cannot be sent is a lost packet.
            drop(socket.send_to(&delivery.bytes, delivery.to));
        }
    }
}

/// Reads routes from JSON text.
///
/// # Errors
///
/// Fails when the text does not have the form of [`Routes`].
pub fn parse_routes(text: &str) -> Result<Routes> {
    Ok(serde_json::from_str(text)?)
}
