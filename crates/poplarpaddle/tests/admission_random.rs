//! Random sequences of gate calls against a model that only counts.

use std::net::Ipv4Addr;

use poplarpaddle::admission::{Decision, Departure, End, Gate, Host, Queue, Settings, Ticket, TicketId};
use poplarpaddle::map;
use poplarpaddle::prelude::*;
use poplarpaddle::view::HostState;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const HOSTS: u8 = 4;
const ENTRIES: usize = 12;
const BYTES: usize = 1_000;
const STATES: [HostState; 5] =
    [HostState::Serving, HostState::Cold, HostState::Draining, HostState::Down, HostState::Misplaced];

#[derive(Debug, Clone)]
enum Step {
    Offer { priority: usize, opening: bool, host: u8, wait_ms: u64, bytes: usize },
    Finish { pick: usize, end: u8 },
    Adopt(u8),
    Connect(u8),
    Disconnect(u8),
    Cancel(usize),
    Hosts(Vec<Option<usize>>),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let offer = (0..4_usize, any::<bool>(), 0..HOSTS, 0..200_u64, 0..300_usize)
        .prop_map(|(priority, opening, host, wait_ms, bytes)| Step::Offer { priority, opening, host, wait_ms, bytes });
    prop_oneof![
        8 => offer,
        5 => (any::<usize>(), 0..4_u8).prop_map(|(pick, end)| Step::Finish { pick, end }),
        1 => (0..HOSTS).prop_map(Step::Adopt),
        1 => (0..HOSTS).prop_map(Step::Connect),
        1 => (0..HOSTS).prop_map(Step::Disconnect),
        1 => any::<usize>().prop_map(Step::Cancel),
        1 => prop::collection::vec(prop::option::weighted(0.9, 0..STATES.len()), HOSTS as usize).prop_map(Step::Hosts),
        4 => (0..100_u64).prop_map(Step::Advance),
    ]
}

/// A ticket as the model remembers it.
#[derive(Debug, Clone, Copy)]
struct Known {
    opening: bool,
    priority: usize,
    deadline: Time,
    bytes: usize,
}

struct Model {
    gate: Queue,
    now: Time,
    states: Vec<Option<HostState>>,
    waiting: Map<TicketId, Known>,
    seen: Map<TicketId, Known>,
    running: Vec<(u8, Known, Time)>,
}

fn address(host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 2, host)
}

fn flow() -> Flow {
    Flow { caller: "192.0.2.7:40000".parse().expect("valid"), service: "10.0.0.1:80".parse().expect("valid") }
}

impl Model {
    fn new() -> Self {
        let settings = Settings { entries: ENTRIES, bytes: BYTES, ..Default::default() };
        let mut model = Self {
            gate: Queue::new(settings),
            now: Time::from_millis(1_000),
            states: Vec::new(),
            waiting: map::seeded(1),
            seen: map::seeded(1),
            running: Vec::new(),
        };
        model.set_hosts(&[Some(0); HOSTS as usize]);
        model
    }

    fn set_hosts(&mut self, states: &[Option<usize>]) {
        self.states = states.iter().map(|state| state.map(|state| STATES[state])).collect();
        let listed = (0..HOSTS).zip(&self.states).filter_map(|(host, state)| {
            Some(Host { address: address(host), slots: 2, connections: 50, state: (*state)?, busy: None })
        });
        self.gate.set_hosts(self.now, &listed.collect::<Vec<_>>());
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Offer { priority, opening, host, wait_ms, bytes } => {
                self.offer(priority, opening, host, wait_ms, bytes);
            }
            Step::Finish { pick, end } => self.finish(pick, end),
            Step::Adopt(host) => {
                self.gate.adopt(self.now, address(host));
                let known = Known { opening: false, priority: 0, deadline: Time::NEVER, bytes: 0 };
                self.running.push((host, known, self.now));
            }
            Step::Connect(host) => self.gate.connect(address(host)),
            Step::Disconnect(host) => self.gate.disconnect(address(host)),
            Step::Cancel(pick) => {
                let mut ids: Vec<TicketId> = self.waiting.keys().copied().collect();
                ids.sort();
                if let Some(&id) = ids.get(pick % ids.len().max(1)) {
                    self.waiting.remove(&id);
                    self.gate.cancel(id);
                }
            }
            Step::Hosts(ref states) => self.set_hosts(states),
            Step::Advance(millis) => self.now = self.now + std::time::Duration::from_millis(millis),
        }
        self.depart();
        self.check();
    }

    fn offer(&mut self, priority: usize, opening: bool, host: u8, wait_ms: u64, bytes: usize) {
        let candidates: Vec<Ipv4Addr> = if opening { (0..HOSTS).map(address).collect() } else { vec![address(host)] };
        let deadline = self.now + std::time::Duration::from_millis(wait_ms);
        let known = Known { opening, priority, deadline, bytes };
        let ticket = Ticket { flow: flow(), priority, opening, candidates: &candidates, deadline, bytes };
        let decision = self.gate.offer(self.now, &ticket);
        self.decided(decision, known);
    }

    fn decided(&mut self, decision: Decision, known: Known) {
        match decision {
            Decision::Start(host) => self.started(host, known),
            Decision::Wait(id) => {
                assert!(self.seen.insert(id, known).is_none(), "{id} was given twice");
                self.waiting.insert(id, known);
            }
            Decision::Refuse(reason) => {
                let full = reason == Reason::QueueFull;
                assert!(known.opening || full, "payload was refused as {reason}");
                assert!(known.opening || !self.has_room(known), "payload was refused although the queue has room");
            }
        }
    }

    fn has_room(&self, known: Known) -> bool {
        let lane = known.priority.min(2);
        let mates: Vec<&Known> = self.waiting.values().filter(|other| other.priority.min(2) == lane).collect();
        mates.len() < ENTRIES && mates.iter().map(|other| other.bytes).sum::<usize>() + known.bytes <= BYTES
    }

    fn started(&mut self, host: Ipv4Addr, known: Known) {
        assert!(!self.now.reached(known.deadline), "work started after its deadline");
        let index = host.octets()[3];
        let state = self.states[usize::from(index)];
        let open = matches!(state, Some(HostState::Serving | HostState::Cold));
        assert!(open || !known.opening, "opening started on a host in state {state:?}");
        self.running.push((index, known, self.now));
        let limit = self.gate.limit(host).expect("host of running work is known");
        assert!(self.gate.in_flight(host) <= limit, "{} in flight exceed {limit}", self.gate.in_flight(host));
    }

    fn finish(&mut self, pick: usize, end: u8) {
        if self.running.is_empty() {
            return;
        }
        let (host, known, started) = self.running.swap_remove(pick % self.running.len());
        let failed = known.opening && matches!(end, 1 | 2);
        let end = match end {
            1 if failed => End::Shed,
            2 if failed => End::Unanswered,
            3 => End::Closed,
            _ => End::Answered(started),
        };
        self.gate.finish(self.now, address(host), known.priority, end);
        if failed {
            let candidates: Vec<Ipv4Addr> = (0..HOSTS).map(address).collect();
            let Known { priority, deadline, bytes, .. } = known;
            let ticket = Ticket { flow: flow(), priority, opening: true, candidates: &candidates, deadline, bytes };
            let decision = self.gate.retry(self.now, &ticket, address(host));
            self.decided(decision, known);
        }
    }

    fn depart(&mut self) {
        while let Some(departure) = self.gate.next(self.now) {
            let (Departure::Start(id, _) | Departure::Expire(id)) = departure;
            let known = self.waiting.remove(&id).expect("a departing ticket waits and has not ended before");
            match departure {
                Departure::Start(_, host) => self.started(host, known),
                Departure::Expire(_) => assert!(self.now.reached(known.deadline), "{id} expired early"),
            }
        }
        assert!(self.gate.deadline() > self.now, "the gate is due again at once");
    }

    fn check(&self) {
        assert_eq!(self.gate.waiting(), self.waiting.len());
        for host in 0..HOSTS {
            let running = self.running.iter().filter(|(on, ..)| *on == host).count();
            assert_eq!(self.gate.in_flight(address(host)) as usize, running, "in flight on host {host}");
        }
        for lane in 0..3 {
            let mates: Vec<&Known> = self.waiting.values().filter(|known| known.priority.min(2) == lane).collect();
            assert!(mates.len() <= ENTRIES, "bound on entries");
            assert!(mates.iter().map(|known| known.bytes).sum::<usize>() <= BYTES, "bound on bytes");
        }
    }
}

/// Guards against tickets that are lost or end twice, work in flight beyond the limit, starts after the deadline or on
/// closed hosts, refused payload, and queues beyond their bounds, in orders of calls that nobody thought of.
#[test]
fn every_ticket_ends_once_and_limits_hold() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let outcome = runner.run(&prop::collection::vec(step(), 1..250), |steps| {
        let mut model = Model::new();
        for step in &steps {
            model.apply(step);
        }
        model.apply(&Step::Advance(10_000));
        assert_eq!(model.gate.waiting(), 0, "tickets outlived their deadlines");
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}
