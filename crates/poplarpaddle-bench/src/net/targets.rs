//! Targets as TCP endpoints that know their connections.

use std::net::Ipv4Addr;

use poplarpaddle::map::{self, Map};
use poplarpaddle::packet::{Direction, Flow, Kind};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::packet::{Packet, SIZE};
use super::views::zone_of;
use crate::fleet::{Place, over_mean};
use crate::scenario::Deployment;
use crate::target::Target;

/// A connection as its target knows it.
#[derive(Debug, Clone, Copy)]
struct Connection {
    first: u32,
    received: u32,
    sent: u32,
    is_open: bool,
    is_closed: bool,
    /// The last request, and whether its answer was sent.
    request: u64,
    is_answered: bool,
}

/// A host.
#[derive(Debug)]
pub struct Host {
    /// Address.
    pub address: Ipv4Addr,
    /// Index of the zone.
    pub zone: usize,
    /// Index of the service that runs there.
    pub service: usize,
    /// Slots and queue.
    pub target: Target,
    connections: Map<Flow, Connection>,
    silent: map::Set<Flow>,
}

impl Host {
    /// Returns a host without connections.
    #[must_use]
    pub fn new(address: Ipv4Addr, zone: usize, service: usize, target: Target) -> Self {
        Self {
            address,
            zone,
            service,
            target,
            connections: map::seeded(1),
            silent: map::Set::with_hasher(map::state(1)),
        }
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.connections.values().filter(|connection| !connection.is_closed).count()
    }

    /// A middlebox loses the state of the open connections for which `selects` returns true; packets of them get lost.
    pub fn silence(&mut self, mut selects: impl FnMut() -> bool) {
        let mut open: Vec<Flow> =
            self.connections.iter().filter(|(_, known)| !known.is_closed).map(|(flow, _)| *flow).collect();
        open.sort_unstable();
        self.silent.extend(open.into_iter().filter(|_| selects()));
    }

    /// The process ends and resets its connections; returns the resets.
    pub fn stop(&mut self) -> Vec<Packet> {
        let mut open: Vec<(Flow, Connection)> =
            self.connections.drain().filter(|(_, known)| !known.is_closed).collect();
        open.sort_unstable_by_key(|(flow, _)| *flow);
        self.target.connections = 0;
        self.target.sheds = true;
        let base = |flow| Packet::new(flow, Direction::FromTarget(self.address), Kind::Reset);
        let reset = |(flow, known): (Flow, Connection)| Packet { kind: Kind::Reset, ..known.state(base(flow)) };
        open.into_iter().map(reset).collect()
    }

    /// The host serves another service from now on and has lost its connections.
    pub fn convert(&mut self, service: usize) {
        self.service = service;
        self.connections.clear();
        self.target.connections = 0;
        self.target.sheds = false;
    }

    /// Returns true when packets of this flow get lost.
    #[must_use]
    pub fn is_silent(&self, flow: &Flow) -> bool {
        self.silent.contains(flow)
    }

    /// Takes a packet and returns the answer, if any. New requests go to the queue of the target.
    pub fn packet(&mut self, packet: &Packet, rng: &mut Pcg64Mcg) -> Vec<Packet> {
        let base = Packet::new(packet.flow, Direction::FromTarget(self.address), Kind::Data);
        let reset =
            Packet { kind: Kind::Reset, sequence: packet.acknowledgement, acknowledgement: packet.after(), ..base };
        match (packet.kind, self.connections.get_mut(&packet.flow)) {
            (Kind::Reset, known) => {
                if known.is_some_and(|known| known.received == packet.sequence && !known.is_closed) {
                    self.connections.remove(&packet.flow);
                    self.target.connections -= 1;
                }
                Vec::new()
            }
            (Kind::Opening, Some(known)) if known.is_open && !known.is_closed => vec![known.state(base)],
            (Kind::Opening, Some(known)) if known.first == packet.sequence && !known.is_closed => {
                vec![known.accept(base)]
            }
            (Kind::Opening, known) => {
                // A second opening before the handshake ended replaces the first.
                let replaces = known.is_some_and(|known| !known.is_closed);
                if !replaces && !self.target.accept() {
                    return vec![reset];
                }
                let connection = Connection::new(packet.sequence, rng.random());
                self.connections.insert(packet.flow, connection);
                vec![connection.accept(base)]
            }
            (_, None) => vec![reset],
            (Kind::Closing, Some(known)) if known.is_closed && packet.after() == known.received => {
                vec![known.closing(base)]
            }
            (_, Some(known)) if known.is_closed => Vec::new(),
            (_, Some(known)) => match known.take(packet, base) {
                Some(taken) => {
                    if let Some(request) = taken.starts {
                        self.target.push(usize::try_from(request).unwrap_or(usize::MAX));
                    }
                    self.target.connections -= u32::from(taken.closes);
                    taken.answers
                }
                None => vec![reset],
            },
        }
    }

    /// Returns the answer to a request that ended, when its connection still waits for it.
    pub fn answer(&mut self, flow: Flow, request: u64) -> Vec<Packet> {
        let base = Packet::new(flow, Direction::FromTarget(self.address), Kind::Data);
        match self.connections.get_mut(&flow) {
            Some(known) if known.request == request && !known.is_answered && !known.is_closed => {
                known.is_answered = true;
                known.sent = known.sent.wrapping_add(2 * SIZE);
                known.answer(base)
            }
            _ => Vec::new(),
        }
    }
}

/// What a connection does with a segment.
#[derive(Debug, Default)]
struct Taken {
    answers: Vec<Packet>,
    starts: Option<u64>,
    closes: bool,
}

impl Connection {
    const fn new(first: u32, own: u32) -> Self {
        Self {
            first,
            received: first.wrapping_add(1),
            sent: own,
            is_open: false,
            is_closed: false,
            request: u64::MAX,
            is_answered: true,
        }
    }

    const fn state(&self, base: Packet) -> Packet {
        Packet { sequence: self.sent, acknowledgement: self.received, ..base }
    }

    const fn accept(&self, base: Packet) -> Packet {
        Packet { kind: Kind::Accept, ..self.state(base) }
    }

    const fn closing(&self, base: Packet) -> Packet {
        Packet { kind: Kind::Closing, end: true, ..self.state(base) }
    }

    /// Returns both segments of the last answer.
    fn answer(&self, base: Packet) -> Vec<Packet> {
        let segment = |back: u32, end| Packet {
            payload: SIZE,
            sequence: self.sent.wrapping_sub(back),
            end,
            request: self.request,
            ..self.state(base)
        };
        vec![segment(2 * SIZE, false), segment(SIZE, true)]
    }

    /// Takes a segment; none when the caller acknowledges another target's opening.
    fn take(&mut self, packet: &Packet, base: Packet) -> Option<Taken> {
        if !self.is_open {
            if packet.acknowledgement != self.sent.wrapping_add(1) || packet.sequence != self.received {
                return None;
            }
            self.is_open = true;
            self.sent = self.sent.wrapping_add(1);
        }
        let is_next = packet.sequence == self.received;
        let is_repeat = packet.payload > 0 && packet.after() == self.received && packet.request == self.request;
        let mut taken = Taken::default();
        match packet.kind {
            Kind::Closing if is_next => {
                self.received = packet.after();
                self.is_closed = true;
                taken.closes = true;
                taken.answers.push(self.closing(base));
            }
            _ if packet.payload == 0 && is_next => {}
            Kind::Data if is_next => {
                self.received = packet.after();
                self.request = packet.request;
                self.is_answered = false;
                taken.starts = Some(packet.request);
                taken.answers.push(self.state(base));
            }
            Kind::Data if is_repeat && self.is_answered => taken.answers = self.answer(base),
            _ => taken.answers.push(self.state(base)),
        }
        Some(taken)
    }
}

/// All hosts of a deployment.
#[derive(Debug)]
pub struct Targets {
    /// Hosts in the order of services and numbers.
    pub hosts: Vec<Host>,
    index: Map<Ipv4Addr, usize>,
}

impl Targets {
    /// Returns idle hosts.
    #[must_use]
    pub fn new(deployment: &Deployment) -> Self {
        let mut hosts = Vec::new();
        for (service, known) in deployment.services.iter().enumerate() {
            for host in 0..usize::from(known.hosts) {
                let place = Place { service, host };
                let target = Target::new(deployment.slots, deployment.connections);
                hosts.push(Host::new(place.address(), zone_of(place), service, target));
            }
        }
        let mut index = map::seeded(1);
        index.extend(hosts.iter().enumerate().map(|(position, host)| (host.address, position)));
        Self { hosts, index }
    }

    /// Returns the host with an address.
    pub fn get(&mut self, address: Ipv4Addr) -> Option<&mut Host> {
        self.index.get(&address).map(|&position| &mut self.hosts[position])
    }

    /// Returns open flows of each host over the mean of its service. Hosts that scenarios take work from are left out.
    #[must_use]
    pub fn balance(&self) -> Vec<f64> {
        self.over_mean(|host| f64::from(host.target.connections))
    }

    /// Returns slot time of each host over the mean of its service.
    #[must_use]
    pub fn work_balance(&self) -> Vec<f64> {
        self.over_mean(|host| host.target.busy_time.as_secs_f64())
    }

    fn over_mean(&self, value: impl Fn(&Host) -> f64) -> Vec<f64> {
        let services = self.hosts.iter().map(|host| host.service).max().map_or(0, |last| last + 1);
        let usual = |service| self.hosts.iter().filter(move |host| host.service == service && !host.target.special);
        (0..services).flat_map(|service| over_mean(usual(service).map(&value))).collect()
    }
}
