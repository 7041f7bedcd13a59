//! Load of a large fleet in which some hosts accept flows and do not respond, replayed on nodes and engines.
//!
//! Each member sends a host a request every few seconds only, so a member that goes by its own observations meets the
//! silent hosts as often as a random choice does.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddrV4};

use poplarpaddle::direct::{CheckId, Decision, Engine, Hop, Outlet, Settings, Silence};
use poplarpaddle::mark::{HostId, Mark};
use poplarpaddle::packet::{Direction, Flow, Kind, View};
use poplarpaddle::registry::{Route, State};
use poplarpaddle::time::Time;
use rand::{RngExt as _, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::world::{Simulation, host};

const MEMBERS: usize = 60;
const HOSTS: u64 = 120;
/// Every host with a number divisible by this is silent for a time.
const SILENT_EVERY: u64 = 8;
/// Requests per millisecond; each member sends a host one request in 10 s.
const PER_MS: f64 = 0.72;
const SILENT_MS: std::ops::Range<u64> = 3000..8000;
const END_MS: u64 = 8000;
/// Time until the members have to avoid the silent hosts.
const LEARN_MS: u64 = 1500;

/// Output of one call of an engine.
#[derive(Default)]
struct Effects {
    hop: Option<Hop>,
    silences: Vec<Silence>,
}

impl Outlet for Effects {
    fn forward(&mut self, hop: &Hop, _bytes: &[u8]) {
        self.hop = Some(*hop);
    }
    fn reset(&mut self, _flow: &Flow, _sequence: u32) {}
    fn ping(&mut self, _zone: &str) -> bool {
        true
    }
    fn check(&mut self, _id: CheckId, _address: SocketAddrV4) {}
    fn report_silence(&mut self, silence: &Silence) {
        self.silences.push(*silence);
    }
    fn record_decision(&mut self, _decision: &Decision<'_>) {}
    fn record_event(&mut self, _now: Time, _name: &str, _subject: &str, _detail: &str) {}
}

/// What a caller does next on its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Request,
    Close,
}

/// A step that is due; ordered by time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    /// Time in milliseconds.
    at: u64,
    member: usize,
    /// Port of the caller.
    port: u16,
    host: HostId,
    step: Step,
}

struct Load {
    simulation: Simulation,
    engines: Vec<Engine>,
    random: Pcg64Mcg,
    steps: BinaryHeap<Reverse<Due>>,
    /// Time at which each request that met a silent host was sent, in milliseconds.
    met_silent: Vec<u64>,
    requests: Vec<u64>,
}

impl Load {
    fn new(seed: u64) -> Self {
        let mut simulation = Simulation::running(&[20, 20, 20]);
        let engine = |index: usize| {
            let zone = simulation.instances[index].zone.to_owned();
            let mut engine = Engine::new(Settings { zone, seed: index as u64, ..Default::default() });
            for number in 1..=HOSTS {
                let host = host(number, State::Ready);
                engine.set_host(simulation.now, &format!("i-{number:x}"), Some(&host), simulation.now);
            }
            let route = Route { service: "bookings".into(), ..Default::default() };
            engine.set_route(simulation.now, SERVICE, Some(&route));
            engine
        };
        let engines = (0..MEMBERS).map(engine).collect();
        simulation.run(1);
        let random = Pcg64Mcg::seed_from_u64(seed);
        Self { simulation, engines, random, steps: BinaryHeap::new(), met_silent: Vec::new(), requests: Vec::new() }
    }

    /// Calls an engine and passes its reports to its node.
    fn call(&mut self, index: usize, call: impl FnOnce(&mut Engine, Time, &mut Effects)) -> Option<Hop> {
        let mut effects = Effects::default();
        call(&mut self.engines[index], self.simulation.now, &mut effects);
        for silence in effects.silences {
            self.simulation.with(index, |node, now| node.report_silence(now, silence.host, silence.rate));
        }
        effects.hop
    }

    fn send(&mut self, index: usize, port: u16, mark: Mark, kind: Kind, acknowledgement: u32) -> Option<Hop> {
        let flow = Flow { caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), port), service: SERVICE };
        let payload = if acknowledgement == 50 { 100 } else { 0 };
        let view = View { payload, acknowledgement, sequence: 8, ..View::new(flow, Direction::FromCaller, kind, &[0]) };
        self.call(index, |engine, now, effects| engine.packet(now, mark, &view, effects))
    }

    fn open(&mut self, now: u64, port: u16) {
        let member = self.random.random_range(0..MEMBERS);
        let hop = self.send(member, port, Mark::NONE, Kind::Opening, 0).expect("an opening is placed");
        self.steps.push(Reverse(Due { at: now + 8, member, port, host: hop.host, step: Step::Request }));
    }

    fn step(&mut self, due: Due) {
        let Due { at, member, port, host, step } = due;
        let mark = Mark::of(host);
        if step == Step::Close {
            self.send(member, port, mark, Kind::Data, 51);
            self.send(member, port, mark, Kind::Closing, 51);
            return;
        }
        self.send(member, port, mark, Kind::Data, 50);
        self.requests.push(at);
        if host.0.is_multiple_of(SILENT_EVERY) && SILENT_MS.contains(&at) {
            return self.met_silent.push(at);
        }
        // A few requests take seven times as long as the others.
        let work = if self.random.random_bool(0.03) { 280 } else { 40 };
        self.steps.push(Reverse(Due { at: at + work, step: Step::Close, ..due }));
    }

    fn run(&mut self) {
        let mut port = 1000;
        for now in 0..END_MS {
            if self.random.random_bool(PER_MS) {
                port += 1;
                self.open(now, port);
            }
            while self.steps.peek().is_some_and(|Reverse(due)| due.at <= now) {
                let Some(Reverse(due)) = self.steps.pop() else { break };
                self.step(due);
            }
            self.simulation.run(1);
            for index in 0..MEMBERS {
                for id in std::mem::take(&mut self.simulation.instances[index].suspected) {
                    self.call(index, |engine, now, effects| engine.suspect(now, id, effects));
                }
                if self.simulation.now.reached(self.engines[index].deadline()) {
                    self.call(index, |engine, now, effects| engine.tick(now, effects));
                }
            }
        }
    }

    /// Returns the share of the requests in a span of milliseconds that met a silent host.
    fn share(&self, span: std::ops::Range<u64>) -> f64 {
        let count = |times: &[u64]| times.iter().filter(|time| span.contains(time)).count() as f64;
        count(&self.met_silent) / count(&self.requests)
    }
}

const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// A random choice meets a silent host with an eighth of the requests, for as long as these are silent.
#[test]
fn members_of_a_large_fleet_avoid_silent_hosts() {
    for seed in 1..=3 {
        let mut load = Load::new(seed);
        load.run();
        let first = load.share(SILENT_MS.start..SILENT_MS.start + LEARN_MS);
        let rest = load.share(SILENT_MS.start + LEARN_MS..SILENT_MS.end);
        assert!(rest <= 0.125 / 4.0, "seed {seed}: {first:.3} at first, {rest:.3} after {LEARN_MS} ms");
    }
}
