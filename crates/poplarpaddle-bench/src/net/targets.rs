//! Targets as TCP endpoints, which track their connections.

use std::net::Ipv4Addr;
use std::time::Duration;

use poplarpaddle::map::{self, Map};
use poplarpaddle::packet::{Direction, Flow, Kind};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::packet::{Packet, SEGMENT_BYTES};
use super::views::zone_of;
use crate::fleet::{HostIndex, relative_to_mean};
use crate::scenario::Deployment;
use crate::target::Target;

/// State of a connection at its target.
#[derive(Debug, Clone, Copy)]
struct Connection {
    /// Initial sequence number of the caller.
    initial_sequence: u32,
    /// Sequence number of the next byte expected from the caller.
    next_expected: u32,
    /// Sequence number of the next byte to send.
    next_sequence: u32,
    is_open: bool,
    is_closed: bool,
    /// Last submission received on the connection.
    submission: u64,
    /// Whether the answer to the last submission was sent.
    is_answered: bool,
}

/// A target host.
#[derive(Debug)]
pub struct Host {
    /// Address.
    pub address: Ipv4Addr,
    /// Index of the zone.
    pub zone: usize,
    /// Index of the service that runs on the host.
    pub service: usize,
    /// Slots, queue and state.
    pub target: Target,
    /// Additional time until an opening is handled.
    pub opening_delay: Duration,
    /// Whether the host drops openings.
    pub drops_openings: bool,
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
            opening_delay: Duration::ZERO,
            drops_openings: false,
            connections: map::seeded(1),
            silent: map::Set::with_hasher(map::state(1)),
        }
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.connections.values().filter(|connection| !connection.is_closed).count()
    }

    /// Drops all further packets of the open connections for which `selects` returns true, as if a middlebox had lost
    /// their state.
    pub fn silence(&mut self, mut selects: impl FnMut() -> bool) {
        let mut open: Vec<Flow> =
            self.connections.iter().filter(|(_, connection)| !connection.is_closed).map(|(flow, _)| *flow).collect();
        open.sort_unstable();
        self.silent.extend(open.into_iter().filter(|_| selects()));
    }

    /// Stops the process, which resets its connections; returns the resets.
    pub fn stop(&mut self) -> Vec<Packet> {
        let mut open: Vec<(Flow, Connection)> =
            self.connections.drain().filter(|(_, connection)| !connection.is_closed).collect();
        open.sort_unstable_by_key(|(flow, _)| *flow);
        self.target.connections = 0;
        self.target.sheds = true;
        let base = |flow| Packet::new(flow, Direction::FromTarget(self.address), Kind::Reset);
        let reset = |(flow, connection): (Flow, Connection)| Packet { kind: Kind::Reset, ..connection.ack(base(flow)) };
        open.into_iter().map(reset).collect()
    }

    /// Starts a process of another service, which does not know the connections of the previous one.
    pub fn reassign(&mut self, service: usize) {
        self.service = service;
        self.connections.clear();
        self.target.connections = 0;
        self.target.sheds = false;
    }

    /// Returns true when packets of this flow are dropped.
    #[must_use]
    pub fn is_silent(&self, flow: &Flow) -> bool {
        self.silent.contains(flow)
    }

    /// Handles a packet and returns the packets sent in response. New requests are queued at the target.
    pub fn packet(&mut self, packet: &Packet, rng: &mut Pcg64Mcg) -> Vec<Packet> {
        let base = Packet::new(packet.flow, Direction::FromTarget(self.address), Kind::Data);
        let reset = Packet {
            kind: Kind::Reset,
            sequence: packet.acknowledgement,
            acknowledgement: packet.next_sequence(),
            ..base
        };
        match (packet.kind, self.connections.get_mut(&packet.flow)) {
            (Kind::Reset, connection) => {
                if connection
                    .is_some_and(|connection| connection.next_expected == packet.sequence && !connection.is_closed)
                {
                    self.connections.remove(&packet.flow);
                    self.target.connections -= 1;
                }
                Vec::new()
            }
            (Kind::Opening, Some(connection)) if connection.is_open && !connection.is_closed => {
                vec![connection.ack(base)]
            }
            (Kind::Opening, Some(connection))
                if connection.initial_sequence == packet.sequence && !connection.is_closed =>
            {
                vec![connection.accept(base)]
            }
            (Kind::Opening, connection) => {
                // A second opening replaces the first one if the handshake has not ended.
                let replaces = connection.is_some_and(|connection| !connection.is_closed);
                if !replaces && !self.target.accept() {
                    return vec![reset];
                }
                let connection = Connection::new(packet.sequence, rng.random());
                self.connections.insert(packet.flow, connection);
                vec![connection.accept(base)]
            }
            (_, None) => vec![reset],
            (Kind::Closing, Some(connection))
                if connection.is_closed && packet.next_sequence() == connection.next_expected =>
            {
                vec![connection.closing(base)]
            }
            (_, Some(connection)) if connection.is_closed => Vec::new(),
            (_, Some(connection)) => match connection.handle_segment(packet, base) {
                Some(reaction) => {
                    if let Some(submission) = reaction.starts {
                        self.target.enqueue(usize::try_from(submission).unwrap_or(usize::MAX));
                    }
                    self.target.connections -= u32::from(reaction.closes);
                    reaction.answers
                }
                None => vec![reset],
            },
        }
    }

    /// Returns the answer to a finished request if its connection still waits for it.
    pub fn answer(&mut self, flow: Flow, submission: u64) -> Vec<Packet> {
        let base = Packet::new(flow, Direction::FromTarget(self.address), Kind::Data);
        match self.connections.get_mut(&flow) {
            Some(connection)
                if connection.submission == submission && !connection.is_answered && !connection.is_closed =>
            {
                connection.is_answered = true;
                connection.next_sequence = connection.next_sequence.wrapping_add(2 * SEGMENT_BYTES);
                connection.answer(base)
            }
            _ => Vec::new(),
        }
    }
}

/// Reaction of a connection to a segment.
#[derive(Debug, Default)]
struct Reaction {
    answers: Vec<Packet>,
    /// Submission that the target has to queue.
    starts: Option<u64>,
    /// Whether the segment closed the connection.
    closes: bool,
}

impl Connection {
    const fn new(initial_sequence: u32, own_sequence: u32) -> Self {
        Self {
            initial_sequence,
            next_expected: initial_sequence.wrapping_add(1),
            next_sequence: own_sequence,
            is_open: false,
            is_closed: false,
            submission: u64::MAX,
            is_answered: true,
        }
    }

    /// Returns `base` with the current sequence and acknowledgement numbers, which acknowledges all received data.
    const fn ack(&self, base: Packet) -> Packet {
        Packet { sequence: self.next_sequence, acknowledgement: self.next_expected, ..base }
    }

    const fn accept(&self, base: Packet) -> Packet {
        Packet { kind: Kind::Accept, ..self.ack(base) }
    }

    const fn closing(&self, base: Packet) -> Packet {
        Packet { kind: Kind::Closing, end: true, ..self.ack(base) }
    }

    /// Returns both segments of the last answer.
    fn answer(&self, base: Packet) -> Vec<Packet> {
        let segment = |offset: u32, end| Packet {
            payload: SEGMENT_BYTES,
            sequence: self.next_sequence.wrapping_sub(offset),
            end,
            submission: self.submission,
            ..self.ack(base)
        };
        vec![segment(2 * SEGMENT_BYTES, false), segment(SEGMENT_BYTES, true)]
    }

    /// Handles a segment; returns `None` when the caller acknowledges the handshake of another target.
    fn handle_segment(&mut self, packet: &Packet, base: Packet) -> Option<Reaction> {
        if !self.is_open {
            if packet.acknowledgement != self.next_sequence.wrapping_add(1) || packet.sequence != self.next_expected {
                return None;
            }
            self.is_open = true;
            self.next_sequence = self.next_sequence.wrapping_add(1);
        }
        let is_next_segment = packet.sequence == self.next_expected;
        let is_retransmission =
            packet.payload > 0 && packet.next_sequence() == self.next_expected && packet.submission == self.submission;
        let mut reaction = Reaction::default();
        match packet.kind {
            Kind::Closing if is_next_segment => {
                self.next_expected = packet.next_sequence();
                self.is_closed = true;
                reaction.closes = true;
                reaction.answers.push(self.closing(base));
            }
            _ if packet.payload == 0 && is_next_segment => {}
            Kind::Data if is_next_segment => {
                self.next_expected = packet.next_sequence();
                self.submission = packet.submission;
                self.is_answered = false;
                reaction.starts = Some(packet.submission);
                reaction.answers.push(self.ack(base));
            }
            Kind::Data if is_retransmission && self.is_answered => reaction.answers = self.answer(base),
            _ => reaction.answers.push(self.ack(base)),
        }
        Some(reaction)
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
        for (service, spec) in deployment.services.iter().enumerate() {
            for host in 0..usize::from(spec.hosts) {
                let host_index = HostIndex { service, host };
                let target = Target::new(deployment.slots, deployment.connections);
                hosts.push(Host::new(host_index.address(), zone_of(host_index), service, target));
            }
        }
        let mut index = map::seeded(1);
        index.extend(hosts.iter().enumerate().map(|(position, host)| (host.address, position)));
        Self { hosts, index }
    }

    /// Returns the host with this address.
    pub fn get(&mut self, address: Ipv4Addr) -> Option<&mut Host> {
        self.index.get(&address).map(|&position| &mut self.hosts[position])
    }

    /// Returns the open flows of each host divided by the mean of its service, without hosts that lose work in the run.
    #[must_use]
    pub fn balance(&self) -> Vec<f64> {
        self.relative_to_mean(|host| f64::from(host.target.connections))
    }

    /// Returns the slot time of each host divided by the mean of its service, without hosts that lose work in the run.
    #[must_use]
    pub fn work_balance(&self) -> Vec<f64> {
        self.relative_to_mean(|host| host.target.busy_time.as_secs_f64())
    }

    fn relative_to_mean(&self, value: impl Fn(&Host) -> f64) -> Vec<f64> {
        let services = self.hosts.iter().map(|host| host.service).max().map_or(0, |last| last + 1);
        let unaffected =
            |service| self.hosts.iter().filter(move |host| host.service == service && !host.target.affected);
        (0..services).flat_map(|service| relative_to_mean(unaffected(service).map(&value))).collect()
    }
}
