//! Event loop of the simulation, which delivers packets and updates and performs the planned changes and failures.

mod actions;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use poplarpaddle::map::{self, Map};
use poplarpaddle::ownership::Ownership;
use poplarpaddle::packet::{Direction, Kind};
use poplarpaddle::path::{MemberId, Source};
use poplarpaddle::time::Time;
use poplarpaddle::view::{Config, HostState, Presence};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::balancer::{self, Balancer, Egress};
use super::callers::{Callers, Effects, Timer};
use super::history::{Run, decode_submission};
use super::packet::Packet;
use super::plan::{Action, Selector, Setup};
use super::targets::{Host, Targets};
use super::views::{self, FleetState, Update, ZONES};

/// Virtual time at which a run starts.
pub const START: Time = Time::from_millis(1_000);

/// One-way delay within a zone.
const LOCAL_HOP: Duration = Duration::from_micros(100);

/// Upper bound of the random addition to the delay of each hop in microseconds, which lets packets overtake each other.
const JITTER_US: u64 = 200;

/// Interval between two samples of the open flows.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which the fabric notices that a balancer stops answering, leaves, starts or resumes.
const FABRIC_LAG: Duration = Duration::from_secs(1);

/// Time from when a balancer starts to leave until its process exits.
const DRAIN_TIME: Duration = Duration::from_secs(5);

/// Size of the socket buffer of a frozen balancer in packets; further packets are dropped.
const SOCKET_PACKETS: usize = 512;

/// Shortest and longest delay of an update in milliseconds.
type DelayRange = std::ops::Range<u64>;

/// Delay of updates that a balancer announces about itself.
const ANNOUNCED_MS: DelayRange = 50..1_500;

/// Delay of updates about a balancer or host that no longer answers.
const DETECTED_MS: DelayRange = 1_500..3_000;

/// Delay of a new configuration, which has to be in force everywhere within 7 s.
const PUBLISHED_MS: DelayRange = 200..7_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Live,
    Frozen,
    Gone,
}

#[derive(Debug)]
struct Node {
    id: MemberId,
    zone: usize,
    state: State,
    balancer: Box<dyn Balancer>,
    fleet_state: FleetState,
    deadline: Time,
    /// Packets and updates that arrived while the process was frozen.
    socket_buffer: Vec<Event>,
    /// Additional delay of all updates to this balancer.
    update_delay: Duration,
}

#[derive(Debug, Clone)]
enum Event {
    /// Performs the action of a step.
    Perform(usize),
    /// A request arrives at its caller.
    Arrive(usize),
    /// The retransmission timer of a flow fires.
    Retransmit(Timer),
    /// A packet arrives at a balancer.
    Balancer(usize, Source, Packet),
    /// A packet arrives at a target.
    Target(Ipv4Addr, Packet),
    /// A packet of a target arrives at its caller.
    Caller(Packet),
    /// The refusal of an opening arrives at its caller.
    Refused(Packet),
    /// A reset by a balancer arrives at a caller, with its cause.
    Reset(Packet, String),
    /// A target completes a submission.
    Completed(Ipv4Addr, u64),
    /// An update with its version arrives at a balancer.
    Update(usize, u64, Update),
    /// The fabric starts or stops sending packets to a balancer.
    Fabric(usize, bool),
    /// The process of a leaving balancer exits.
    Exit(usize),
    /// Samples the open flows.
    Sample,
    /// A caller opens a flow on which it sends nothing.
    OpenIdle(usize),
}

/// State of a run.
#[derive(Debug)]
pub struct Simulation<'a> {
    /// Callers with the histories of their requests.
    pub callers: Callers,
    /// Packets of one service that reached a target of another.
    pub misrouted: u64,
    /// Openings that reached targets, except those of standing flows.
    pub openings: u64,
    /// Open flows of a host divided by the mean of its service, for each host and sample.
    pub flow_balance: Vec<f64>,
    /// Target hosts.
    pub targets: Targets,
    setup: &'a Setup<'a>,
    now: Time,
    events: BTreeMap<(Time, u64), Event>,
    /// Number of the last event or update, which orders simultaneous events and is the version of updates.
    sequence: u64,
    rng: Pcg64Mcg,
    nodes: Vec<Node>,
    ids: Map<MemberId, usize>,
    /// Indexes of the balancers to which the fabric sends packets.
    fabric: Vec<usize>,
    /// Actual state of the fleet, without the delays of updates.
    actual: FleetState,
    /// Zone that is partitioned from the others.
    partitioned: Option<usize>,
    duplicates_openings: bool,
    delays_packets: bool,
    /// One of this many openings is lost on the way to its host.
    lost_openings: Option<u32>,
}

impl<'a> Simulation<'a> {
    /// Returns a simulation before its first event.
    #[must_use]
    pub fn new(setup: &'a Setup<'a>) -> Self {
        let mut simulation = Self {
            callers: Callers::new(setup.seed, setup.retries),
            misrouted: 0,
            openings: 0,
            flow_balance: Vec::new(),
            targets: Targets::new(setup.deployment),
            setup,
            now: START,
            events: BTreeMap::new(),
            sequence: 0,
            rng: Pcg64Mcg::seed_from_u64(setup.seed),
            nodes: Vec::new(),
            ids: map::seeded(setup.seed),
            fabric: Vec::new(),
            actual: FleetState::default(),
            partitioned: None,
            duplicates_openings: false,
            delays_packets: false,
            lost_openings: None,
        };
        let config = views::config(setup.deployment, setup.seed, setup.hedge_percent > 0);
        simulation.actual.update(1, Update::Config(Arc::new(config)));
        for host in &simulation.targets.hosts {
            simulation.actual.update(1, Update::Host(host.address, HostState::Serving));
        }
        for index in 0..setup.balancers {
            simulation.add_node(index % ZONES);
        }
        for index in 0..simulation.nodes.len() {
            simulation.nodes[index].fleet_state = simulation.actual.clone();
            simulation.fabric.push(index);
            simulation.apply(index);
        }
        for (index, step) in setup.steps.iter().enumerate() {
            simulation.schedule_at(START + step.at, Event::Perform(index));
        }
        simulation.schedule_at(START + SAMPLE_INTERVAL, Event::Sample);
        simulation
    }

    /// Schedules the arrival of a request at its caller.
    pub fn schedule_request(&mut self, after: Duration, request: usize) {
        self.schedule_at(START + after, Event::Arrive(request));
    }

    /// Schedules the opening of a flow on which the caller sends nothing.
    pub fn schedule_idle_flow(&mut self, after: Duration, flow: usize) {
        self.schedule_at(START + after, Event::OpenIdle(flow));
    }

    /// Runs the simulation for the length in its setup.
    pub fn run(&mut self) {
        let end = START + self.setup.length;
        loop {
            let next = self.events.first_key_value().map_or(Time::NEVER, |(&(time, _), _)| time);
            let live = self.nodes.iter().enumerate().filter(|(_, node)| node.state == State::Live);
            let due = live.map(|(index, node)| (node.deadline.max(self.now), index)).min();
            match due {
                Some((time, index)) if time < next && time <= end => {
                    self.now = time;
                    self.with_balancer(index, |balancer, now, egress| balancer.tick(now, egress));
                }
                _ if next > end => return,
                _ => {
                    let Some(((time, _), event)) = self.events.pop_first() else { return };
                    self.now = time;
                    self.handle(event);
                }
            }
        }
    }

    /// Returns the number of hedged openings of all balancers.
    #[must_use]
    pub fn hedges(&self) -> u64 {
        self.nodes.iter().map(|node| node.balancer.hedges()).sum()
    }

    fn schedule_at(&mut self, time: Time, event: Event) {
        self.sequence += 1;
        self.events.insert((time, self.sequence), event);
    }

    fn schedule_after(&mut self, delay: Duration, event: Event) {
        let jitter = Duration::from_micros(self.rng.random_range(0..JITTER_US));
        self.schedule_at(self.now + delay + jitter, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Perform(step) => self.perform(&self.setup.steps[step].action),
            Event::Arrive(request) => self.with_callers(|callers, now, effects| {
                callers.submit(now, request, effects);
                None
            }),
            Event::OpenIdle(flow) => self.with_callers(|callers, _, effects| {
                callers.open_idle_flow(flow, effects);
                None
            }),
            Event::Retransmit(timer) => self.with_callers(|callers, now, effects| {
                callers.retransmit(now, timer, effects);
                None
            }),
            Event::Caller(packet) => self.with_callers(|callers, now, effects| callers.receive(now, &packet, effects)),
            Event::Refused(packet) => self.with_callers(|callers, now, _| callers.handle_refusal(now, &packet)),
            Event::Reset(packet, cause) => {
                let sequence = packet.acknowledgement;
                self.with_callers(|callers, now, _| callers.handle_reset(now, &packet.flow, sequence, &cause));
            }
            Event::Balancer(index, ..) | Event::Update(index, ..) if self.nodes[index].state == State::Frozen => {
                let is_update = matches!(event, Event::Update(..));
                if is_update || self.nodes[index].socket_buffer.len() < SOCKET_PACKETS {
                    self.nodes[index].socket_buffer.push(event);
                }
            }
            Event::Balancer(index, source, packet) => {
                self.with_balancer(index, |balancer, now, egress| balancer.packet(now, source, &packet, egress));
            }
            Event::Update(index, version, update) => {
                if self.nodes[index].fleet_state.update(version, update) {
                    self.apply(index);
                }
            }
            Event::Target(address, packet) => self.deliver_to_target(address, &packet),
            Event::Completed(address, submission) => self.complete(address, submission),
            Event::Fabric(index, sends) => {
                self.fabric.retain(|other| *other != index);
                if sends && self.nodes[index].state == State::Live {
                    self.fabric.push(index);
                }
            }
            Event::Exit(index) => {
                self.nodes[index].state = State::Gone;
                let update = Update::Member(self.nodes[index].id, None);
                self.broadcast(&update, ANNOUNCED_MS);
            }
            Event::Sample => {
                self.flow_balance.extend(self.targets.balance());
                self.schedule_at(self.now + SAMPLE_INTERVAL, Event::Sample);
            }
        }
    }

    /// Passes the callers to `call`, sends their packets and sets their timers. A returned request is submitted again
    /// after a short delay.
    fn with_callers(&mut self, call: impl FnOnce(&mut Callers, Time, &mut Effects) -> Option<usize>) {
        let mut effects = Effects::default();
        let resubmitted = call(&mut self.callers, self.now, &mut effects);
        if let Some(request) = resubmitted {
            let delay = Duration::from_millis(self.rng.random_range(200..1_000));
            self.schedule_after(delay, Event::Arrive(request));
        }
        for timer in effects.timers {
            self.schedule_at(self.now + timer.delay, Event::Retransmit(timer));
        }
        for packet in effects.packets {
            let copies = if self.duplicates_openings && packet.kind == Kind::Opening { 2 } else { 1 };
            for _ in 0..copies {
                self.send_via_fabric(None, &packet);
            }
        }
    }

    /// Sends a packet to a random balancer. The packet comes from a target in `zone`, or from a caller if that is
    /// `None`.
    fn send_via_fabric(&mut self, zone: Option<usize>, packet: &Packet) {
        if self.fabric.is_empty() {
            return;
        }
        let index = self.fabric[self.rng.random_range(0..self.fabric.len())];
        let mut delay = match zone {
            Some(zone) if self.is_partitioned(zone, self.nodes[index].zone) => return,
            Some(zone) => self.hop_delay(zone, self.nodes[index].zone),
            None => Duration::from_micros(self.setup.deployment.caller_hop_us),
        };
        if self.delays_packets && self.rng.random_range(0..20) == 0 {
            delay += Duration::from_millis(self.rng.random_range(1..3_000));
        }
        self.schedule_after(delay, Event::Balancer(index, Source::Fabric, *packet));
    }

    const fn hop_delay(&self, from: usize, to: usize) -> Duration {
        // `target_hop_us` includes a relay between two balancers, so a single hop between zones takes half of it.
        if from == to { LOCAL_HOP } else { Duration::from_micros(self.setup.deployment.target_hop_us / 2) }
    }

    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        self.partitioned.is_some_and(|zone| (from == zone) != (to == zone))
    }

    fn with_balancer(&mut self, index: usize, call: impl FnOnce(&mut dyn Balancer, Time, &mut Vec<Egress>)) {
        let node = &mut self.nodes[index];
        if node.state != State::Live {
            return;
        }
        let mut egress = Vec::new();
        call(&mut *node.balancer, self.now, &mut egress);
        node.deadline = node.balancer.deadline();
        for output in egress {
            self.transmit(index, output);
        }
    }

    fn transmit(&mut self, index: usize, egress: Egress) {
        let delay = Duration::from_micros(self.setup.deployment.caller_hop_us);
        match egress {
            Egress::Target(address, packet) => self.send_target(index, address, packet),
            Egress::ResetTarget(address, flow, sequence) => {
                let reset = Packet::new(flow, Direction::FromCaller, Kind::Reset);
                self.send_target(index, address, Packet { sequence, ..reset });
            }
            Egress::Caller(packet) => self.schedule_after(delay, Event::Caller(packet)),
            Egress::Refuse(packet) => self.schedule_after(delay, Event::Refused(packet)),
            Egress::ResetCaller(packet, reason) => self.schedule_after(delay, Event::Reset(packet, reason.to_string())),
            Egress::Relay(member, hop, packet) => {
                let Some(&other) = self.ids.get(&member) else { return };
                let (from, to) = (self.nodes[index].zone, self.nodes[other].zone);
                if !self.is_partitioned(from, to) {
                    let source = Source::Peer(self.nodes[index].id, hop);
                    self.schedule_after(self.hop_delay(from, to), Event::Balancer(other, source, packet));
                }
            }
        }
    }

    fn send_target(&mut self, index: usize, address: Ipv4Addr, packet: Packet) {
        let Some(host) = self.targets.get(address) else { return };
        let (from, to) = (self.nodes[index].zone, host.zone);
        let is_opening = packet.kind == Kind::Opening;
        let delay = if is_opening { host.opening_delay } else { Duration::ZERO };
        let is_dropped = is_opening && host.drops_openings;
        let is_lost = is_opening && self.lost_openings.is_some_and(|one_in| self.rng.random_range(0..one_in) == 0);
        if !self.is_partitioned(from, to) && !is_dropped && !is_lost {
            self.schedule_after(self.hop_delay(from, to) + delay, Event::Target(address, packet));
        }
    }

    fn deliver_to_target(&mut self, address: Ipv4Addr, packet: &Packet) {
        let Some(host) = self.targets.get(address) else { return };
        self.openings += u64::from(packet.kind == Kind::Opening && self.callers.is_short_lived(&packet.flow));
        self.misrouted += u64::from(host.service != views::service_index(*packet.flow.service.ip()));
        if host.target.silent || host.is_silent(&packet.flow) {
            return;
        }
        let answers = host.packet(packet, &mut self.rng);
        self.send_answers(address, &answers);
        self.fill_slots(address);
    }

    fn send_answers(&mut self, address: Ipv4Addr, answers: &[Packet]) {
        let Some(Host { zone, .. }) = self.targets.get(address) else { return };
        let zone = *zone;
        for packet in answers {
            self.send_via_fabric(Some(zone), packet);
        }
    }

    /// Starts queued requests on the free slots of a host.
    fn fill_slots(&mut self, address: Ipv4Addr) {
        while let Some((submission, slot_time)) = self.start_next(address) {
            let (request, attempt) = decode_submission(submission);
            self.callers.requests[request].runs.push(Run { attempt, host: address, time: self.now, slot_time });
            self.schedule_at(self.now + slot_time, Event::Completed(address, submission));
        }
    }

    fn start_next(&mut self, address: Ipv4Addr) -> Option<(u64, Duration)> {
        let host = self.targets.get(address)?;
        let submission = u64::try_from(host.target.start_next()?).ok()?;
        let slot_time = host.target.service_time(self.callers.requests[decode_submission(submission).0].service_time);
        host.target.busy_time += slot_time;
        Some((submission, slot_time))
    }

    fn complete(&mut self, address: Ipv4Addr, submission: u64) {
        let flow = self.callers.flow(decode_submission(submission).0);
        let Some(host) = self.targets.get(address) else { return };
        host.target.release_slot();
        let answers = if host.is_silent(&flow) { Vec::new() } else { host.answer(flow, submission) };
        self.send_answers(address, &answers);
        self.fill_slots(address);
    }
}
