//! Compares random sequences of gate calls with a model that only tracks waiting and running work.

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

/// A call of the gate, or an advance of the time by some milliseconds.
///
/// A selector is the index of a current item, modulo the number of these. `Hosts` has, for each host, the index of its
/// state in [`STATES`], or `None` if the host is not listed.
#[derive(Debug, Clone)]
enum Step {
    Offer { priority: usize, opening: bool, host: u8, wait_ms: u64, bytes: usize },
    Finish { selector: usize, end: u8 },
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
        5 => (any::<usize>(), 0..4_u8).prop_map(|(selector, end)| Step::Finish { selector, end }),
        1 => (0..HOSTS).prop_map(Step::Adopt),
        1 => (0..HOSTS).prop_map(Step::Connect),
        1 => (0..HOSTS).prop_map(Step::Disconnect),
        1 => any::<usize>().prop_map(Step::Cancel),
        1 => prop::collection::vec(prop::option::weighted(0.9, 0..STATES.len()), HOSTS as usize).prop_map(Step::Hosts),
        4 => (0..100_u64).prop_map(Step::Advance),
    ]
}

/// A piece of work as the model tracks it.
#[derive(Debug, Clone, Copy)]
struct Work {
    opening: bool,
    priority: usize,
    deadline: Time,
    bytes: usize,
}

/// The gate under test and its expected state.
struct Model {
    gate: Queue,
    now: Time,
    /// State of each host; `None` for a host that is not listed.
    states: Vec<Option<HostState>>,
    waiting: Map<TicketId, Work>,
    /// Every ticket that ever waited.
    seen: Map<TicketId, Work>,
    /// Host, work and start time of the work in flight.
    running: Vec<(u8, Work, Time)>,
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
            Step::Finish { selector, end } => self.finish(selector, end),
            Step::Adopt(host) => {
                self.gate.adopt(self.now, address(host));
                let work = Work { opening: false, priority: 0, deadline: Time::NEVER, bytes: 0 };
                self.running.push((host, work, self.now));
            }
            Step::Connect(host) => self.gate.connect(address(host)),
            Step::Disconnect(host) => self.gate.disconnect(address(host)),
            Step::Cancel(selector) => {
                let mut ids: Vec<TicketId> = self.waiting.keys().copied().collect();
                ids.sort();
                if let Some(&id) = ids.get(selector % ids.len().max(1)) {
                    self.waiting.remove(&id);
                    self.gate.cancel(id);
                }
            }
            Step::Hosts(ref states) => self.set_hosts(states),
            Step::Advance(millis) => self.now = self.now + std::time::Duration::from_millis(millis),
        }
        self.take_departures();
        self.check_invariants();
    }

    fn offer(&mut self, priority: usize, opening: bool, host: u8, wait_ms: u64, bytes: usize) {
        let candidates: Vec<Ipv4Addr> = if opening { (0..HOSTS).map(address).collect() } else { vec![address(host)] };
        let deadline = self.now + std::time::Duration::from_millis(wait_ms);
        let work = Work { opening, priority, deadline, bytes };
        let ticket = Ticket { flow: flow(), priority, opening, candidates: &candidates, deadline, bytes };
        let decision = self.gate.offer(self.now, &ticket);
        self.handle_decision(decision, work);
    }

    fn handle_decision(&mut self, decision: Decision, work: Work) {
        match decision {
            Decision::Start(host) => self.handle_start(host, work),
            Decision::Wait(id) => {
                assert!(self.seen.insert(id, work).is_none(), "ticket {id} was issued twice");
                self.waiting.insert(id, work);
            }
            Decision::Refuse(reason) => {
                let full = reason == Reason::QueueFull;
                assert!(work.opening || full, "payload was refused with reason {reason}");
                assert!(work.opening || !self.fits(work), "payload was refused although it fits into the queue");
            }
        }
    }

    fn fits(&self, work: Work) -> bool {
        let class = work.priority.min(2);
        let same_class: Vec<&Work> = self.waiting.values().filter(|other| other.priority.min(2) == class).collect();
        same_class.len() < ENTRIES && same_class.iter().map(|other| other.bytes).sum::<usize>() + work.bytes <= BYTES
    }

    fn handle_start(&mut self, host: Ipv4Addr, work: Work) {
        assert!(!self.now.reached(work.deadline), "work started after its deadline");
        let index = host.octets()[3];
        let state = self.states[usize::from(index)];
        let open = matches!(state, Some(HostState::Serving | HostState::Cold));
        assert!(open || !work.opening, "opening started on a host in state {state:?}");
        self.running.push((index, work, self.now));
        let limit = self.gate.limit(host).expect("host of running work is known");
        assert!(
            self.gate.in_flight(host) <= limit,
            "{} in flight exceed the limit of {limit}",
            self.gate.in_flight(host)
        );
    }

    fn finish(&mut self, selector: usize, end: u8) {
        if self.running.is_empty() {
            return;
        }
        let (host, work, started) = self.running.swap_remove(selector % self.running.len());
        let failed = work.opening && matches!(end, 1 | 2);
        let end = match end {
            1 if failed => End::Shed,
            2 if failed => End::Unanswered,
            3 => End::Closed,
            _ => End::Answered(started),
        };
        self.gate.finish(self.now, address(host), work.priority, end);
        if failed {
            let candidates: Vec<Ipv4Addr> = (0..HOSTS).map(address).collect();
            let Work { priority, deadline, bytes, .. } = work;
            let ticket = Ticket { flow: flow(), priority, opening: true, candidates: &candidates, deadline, bytes };
            let decision = self.gate.retry(self.now, &ticket, address(host));
            self.handle_decision(decision, work);
        }
    }

    fn take_departures(&mut self) {
        while let Some(departure) = self.gate.next(self.now) {
            let (Departure::Start(id, _) | Departure::Expire(id)) = departure;
            let work = self.waiting.remove(&id).expect("a departing ticket was waiting");
            match departure {
                Departure::Start(_, host) => self.handle_start(host, work),
                Departure::Expire(_) => assert!(self.now.reached(work.deadline), "ticket {id} expired early"),
            }
        }
        assert!(self.gate.deadline() > self.now, "the deadline of the gate has already passed");
    }

    fn check_invariants(&self) {
        assert_eq!(self.gate.waiting(), self.waiting.len());
        for host in 0..HOSTS {
            let running = self.running.iter().filter(|(on, ..)| *on == host).count();
            assert_eq!(self.gate.in_flight(address(host)) as usize, running, "in flight on host {host}");
        }
        for class in 0..3 {
            let same_class: Vec<&Work> = self.waiting.values().filter(|work| work.priority.min(2) == class).collect();
            assert!(same_class.len() <= ENTRIES, "more waiting tickets than allowed");
            assert!(same_class.iter().map(|work| work.bytes).sum::<usize>() <= BYTES, "more held bytes than allowed");
        }
    }
}

/// Guards against lost tickets and tickets that end twice, more work in flight than the limits allow, starts after the
/// deadline or on hosts that accept no openings, refused payload, and unbounded queues, in random orders of calls.
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
        assert_eq!(model.gate.waiting(), 0, "tickets still wait after their deadlines");
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}
