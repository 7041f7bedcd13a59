//! The event loop: carries packets and news, and brings about failures.

mod act;

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

use super::balancer::{self, Balancer, Sent};
use super::callers::{Callers, Out, Timer};
use super::history::{Run, of_number};
use super::packet::Packet;
use super::plan::{Action, Pick, Setup};
use super::targets::{Host, Targets};
use super::views::{self, Knowledge, News, ZONES};

/// Virtual time at which a run begins.
pub const START: Time = Time::from_millis(1_000);

/// One-way time within a zone.
const LOCAL_HOP: Duration = Duration::from_micros(100);

/// Largest addition to each hop, so that packets overtake each other.
const JITTER_US: u64 = 200;

/// Time between two samples of open flows.
const SAMPLE: Duration = Duration::from_secs(1);

/// The fabric stops to send packets to a balancer this long after the balancer stopped to answer or began to leave.
const FABRIC_LAG: Duration = Duration::from_secs(1);

/// A balancer that leaves ends after this time.
const DRAIN: Duration = Duration::from_secs(5);

/// Packets that wait in the socket of a frozen balancer; further ones get lost.
const SOCKET: usize = 512;

/// Quickest and slowest arrival of news in milliseconds.
type Range = std::ops::Range<u64>;

/// News that a balancer sends of itself.
const ANNOUNCED_MS: Range = 50..1_500;

/// News that a balancer or host answers no more.
const DETECTED_MS: Range = 1_500..3_000;

/// A configuration is in force everywhere within 7 s.
const PUBLISHED_MS: Range = 200..7_000;

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
    knowledge: Knowledge,
    deadline: Time,
    /// What waits in the socket while the process is frozen.
    socket: Vec<Event>,
    /// Added to the arrival of all news.
    late: Duration,
}

#[derive(Debug, Clone)]
enum Event {
    Act(usize),
    Arrive(usize),
    Repeat(Timer),
    Balancer(usize, Source, Packet),
    Target(Ipv4Addr, Packet),
    Caller(Packet),
    Refused(Packet),
    Reset(Packet, String),
    Done(Ipv4Addr, u64),
    News(usize, u64, News),
    Fabric(usize, bool),
    Exit(usize),
    Sample,
    Idle(usize),
}

/// Everything of a run.
#[derive(Debug)]
pub struct World<'a> {
    /// Callers with the histories of their requests.
    pub callers: Callers,
    /// Packets of one service at a target of another.
    pub misrouted: u64,
    /// Openings that reached targets, without those of standing flows.
    pub openings: u64,
    /// Open flows of a host over the mean of its service, over hosts and samples.
    pub flow_balance: Vec<f64>,
    /// Targets.
    pub targets: Targets,
    setup: &'a Setup<'a>,
    now: Time,
    events: BTreeMap<(Time, u64), Event>,
    count: u64,
    rng: Pcg64Mcg,
    nodes: Vec<Node>,
    ids: Map<MemberId, usize>,
    /// Balancers that the fabric sends to.
    fabric: Vec<usize>,
    truth: Knowledge,
    cut: Option<usize>,
    duplicates: bool,
    delays: bool,
}

impl<'a> World<'a> {
    /// Returns a world before the first event.
    #[must_use]
    pub fn new(setup: &'a Setup<'a>) -> Self {
        let mut world = Self {
            callers: Callers::new(setup.seed, setup.retries),
            misrouted: 0,
            openings: 0,
            flow_balance: Vec::new(),
            targets: Targets::new(setup.deployment),
            setup,
            now: START,
            events: BTreeMap::new(),
            count: 0,
            rng: Pcg64Mcg::seed_from_u64(setup.seed),
            nodes: Vec::new(),
            ids: map::seeded(setup.seed),
            fabric: Vec::new(),
            truth: Knowledge::default(),
            cut: None,
            duplicates: false,
            delays: false,
        };
        world.truth.learn(1, News::Config(Arc::new(views::config(setup.deployment, setup.seed))));
        for host in &world.targets.hosts {
            world.truth.learn(1, News::Host(host.address, HostState::Serving));
        }
        for index in 0..setup.balancers {
            world.add_node(index % ZONES);
        }
        for index in 0..world.nodes.len() {
            world.nodes[index].knowledge = world.truth.clone();
            world.fabric.push(index);
            world.apply(index);
        }
        for (index, step) in setup.steps.iter().enumerate() {
            world.at(START + step.at, Event::Act(index));
        }
        world.at(START + SAMPLE, Event::Sample);
        world
    }

    /// Lets a request arrive at its caller.
    pub fn schedule(&mut self, after: Duration, work: usize) {
        self.at(START + after, Event::Arrive(work));
    }

    /// Lets a caller open a flow on which it sends nothing.
    pub fn schedule_idle(&mut self, after: Duration, flow: usize) {
        self.at(START + after, Event::Idle(flow));
    }

    /// Runs until the end of the setup.
    pub fn go(&mut self) {
        let end = START + self.setup.length;
        loop {
            let next = self.events.first_key_value().map_or(Time::NEVER, |(&(time, _), _)| time);
            let live = self.nodes.iter().enumerate().filter(|(_, node)| node.state == State::Live);
            let due = live.map(|(index, node)| (node.deadline.max(self.now), index)).min();
            match due {
                Some((time, index)) if time < next && time <= end => {
                    self.now = time;
                    self.with(index, |balancer, now, sent| balancer.tick(now, sent));
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

    fn at(&mut self, time: Time, event: Event) {
        self.count += 1;
        self.events.insert((time, self.count), event);
    }

    fn after(&mut self, wait: Duration, event: Event) {
        let jitter = Duration::from_micros(self.rng.random_range(0..JITTER_US));
        self.at(self.now + wait + jitter, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Act(step) => self.act(&self.setup.steps[step].action),
            Event::Arrive(work) => self.call(|callers, now, out| {
                callers.arrive(now, work, out);
                None
            }),
            Event::Idle(flow) => self.call(|callers, _, out| {
                callers.open_idle(flow, out);
                None
            }),
            Event::Repeat(timer) => self.call(|callers, now, out| {
                callers.repeat(now, timer, out);
                None
            }),
            Event::Caller(packet) => self.call(|callers, now, out| callers.packet(now, &packet, out)),
            Event::Refused(packet) => self.call(|callers, now, _| callers.refuse(now, &packet)),
            Event::Reset(packet, cause) => {
                let sequence = packet.acknowledgement;
                self.call(|callers, now, _| callers.reset(now, &packet.flow, sequence, &cause));
            }
            Event::Balancer(index, ..) | Event::News(index, ..) if self.nodes[index].state == State::Frozen => {
                let is_news = matches!(event, Event::News(..));
                if is_news || self.nodes[index].socket.len() < SOCKET {
                    self.nodes[index].socket.push(event);
                }
            }
            Event::Balancer(index, source, packet) => {
                self.with(index, |balancer, now, sent| balancer.packet(now, source, &packet, sent));
            }
            Event::News(index, number, news) => {
                if self.nodes[index].knowledge.learn(number, news) {
                    self.apply(index);
                }
            }
            Event::Target(address, packet) => self.target(address, &packet),
            Event::Done(address, request) => self.done(address, request),
            Event::Fabric(index, sends) => {
                self.fabric.retain(|other| *other != index);
                if sends && self.nodes[index].state == State::Live {
                    self.fabric.push(index);
                }
            }
            Event::Exit(index) => {
                self.nodes[index].state = State::Gone;
                let news = News::Member(self.nodes[index].id, None);
                self.tell(&news, ANNOUNCED_MS);
            }
            Event::Sample => {
                self.flow_balance.extend(self.targets.balance());
                self.at(self.now + SAMPLE, Event::Sample);
            }
        }
    }

    /// Calls the callers and carries what they send. A request that they return is sent again a little later.
    fn call(&mut self, call: impl FnOnce(&mut Callers, Time, &mut Out) -> Option<usize>) {
        let mut out = Out::default();
        let again = call(&mut self.callers, self.now, &mut out);
        if let Some(work) = again {
            let pause = Duration::from_millis(self.rng.random_range(200..1_000));
            self.after(pause, Event::Arrive(work));
        }
        for timer in out.timers {
            self.at(self.now + timer.wait, Event::Repeat(timer));
        }
        for packet in out.packets {
            let copies = if self.duplicates && packet.kind == Kind::Opening { 2 } else { 1 };
            for _ in 0..copies {
                self.spray(None, &packet);
            }
        }
    }

    /// Sends a packet to a random balancer: from a caller, or from a target in `zone`.
    fn spray(&mut self, zone: Option<usize>, packet: &Packet) {
        if self.fabric.is_empty() {
            return;
        }
        let index = self.fabric[self.rng.random_range(0..self.fabric.len())];
        let mut wait = match zone {
            Some(zone) if self.is_cut(zone, self.nodes[index].zone) => return,
            Some(zone) => self.hop(zone, self.nodes[index].zone),
            None => Duration::from_micros(self.setup.deployment.caller_hop_us),
        };
        if self.delays && self.rng.random_range(0..20) == 0 {
            wait += Duration::from_millis(self.rng.random_range(1..3_000));
        }
        self.after(wait, Event::Balancer(index, Source::Fabric, *packet));
    }

    const fn hop(&self, one: usize, other: usize) -> Duration {
        // The hop of a deployment counts the relay between two zones too.
        if one == other { LOCAL_HOP } else { Duration::from_micros(self.setup.deployment.target_hop_us / 2) }
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        self.cut.is_some_and(|cut| (one == cut) != (other == cut))
    }

    fn with(&mut self, index: usize, act: impl FnOnce(&mut dyn Balancer, Time, &mut Vec<Sent>)) {
        let node = &mut self.nodes[index];
        if node.state != State::Live {
            return;
        }
        let mut sent = Vec::new();
        act(&mut *node.balancer, self.now, &mut sent);
        node.deadline = node.balancer.deadline();
        for one in sent {
            self.carry(index, one);
        }
    }

    fn carry(&mut self, index: usize, sent: Sent) {
        let to_caller = Duration::from_micros(self.setup.deployment.caller_hop_us);
        match sent {
            Sent::Target(address, packet) => self.send_target(index, address, packet),
            Sent::ResetTarget(address, flow, sequence) => {
                let reset = Packet::new(flow, Direction::FromCaller, Kind::Reset);
                self.send_target(index, address, Packet { sequence, ..reset });
            }
            Sent::Caller(packet) => self.after(to_caller, Event::Caller(packet)),
            Sent::Refuse(packet) => self.after(to_caller, Event::Refused(packet)),
            Sent::ResetCaller(packet, reason) => self.after(to_caller, Event::Reset(packet, reason.to_string())),
            Sent::Relay(member, hop, packet) => {
                let Some(&other) = self.ids.get(&member) else { return };
                let (from, to) = (self.nodes[index].zone, self.nodes[other].zone);
                if !self.is_cut(from, to) {
                    let source = Source::Peer(self.nodes[index].id, hop);
                    self.after(self.hop(from, to), Event::Balancer(other, source, packet));
                }
            }
        }
    }

    fn send_target(&mut self, index: usize, address: Ipv4Addr, packet: Packet) {
        let Some(host) = self.targets.get(address) else { return };
        let (from, to) = (self.nodes[index].zone, host.zone);
        if !self.is_cut(from, to) {
            self.after(self.hop(from, to), Event::Target(address, packet));
        }
    }

    fn target(&mut self, address: Ipv4Addr, packet: &Packet) {
        let Some(host) = self.targets.get(address) else { return };
        self.openings += u64::from(packet.kind == Kind::Opening && self.callers.is_passing(&packet.flow));
        self.misrouted += u64::from(host.service != views::service_of(*packet.flow.service.ip()));
        if host.target.silent || host.is_silent(&packet.flow) {
            return;
        }
        let answers = host.packet(packet, &mut self.rng);
        self.answer(address, &answers);
        self.serve(address);
    }

    fn answer(&mut self, address: Ipv4Addr, answers: &[Packet]) {
        let Some(Host { zone, .. }) = self.targets.get(address) else { return };
        let zone = *zone;
        for packet in answers {
            self.spray(Some(zone), packet);
        }
    }

    /// Gives free slots of a host to its queue.
    fn serve(&mut self, address: Ipv4Addr) {
        while let Some((request, took)) = self.next_request(address) {
            let (work, attempt) = of_number(request);
            self.callers.works[work].runs.push(Run { attempt, host: address, time: self.now, took });
            self.at(self.now + took, Event::Done(address, request));
        }
    }

    fn next_request(&mut self, address: Ipv4Addr) -> Option<(u64, Duration)> {
        let host = self.targets.get(address)?;
        let request = u64::try_from(host.target.pop()?).ok()?;
        let took = host.target.service(self.callers.works[of_number(request).0].service_time);
        host.target.busy_time += took;
        Some((request, took))
    }

    fn done(&mut self, address: Ipv4Addr, request: u64) {
        let flow = self.callers.flow(of_number(request).0);
        let Some(host) = self.targets.get(address) else { return };
        host.target.end();
        let answers = if host.is_silent(&flow) { Vec::new() } else { host.answer(flow, request) };
        self.answer(address, &answers);
        self.serve(address);
    }
}
