//! Generates traffic: many flows of simulated callers from one process.
//!
//! A short flow carries one request. A long flow sends batches of requests with pauses until the run ends. Every
//! request and every flow is recorded with its outcome.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::clock;
use crate::net::{self, Prefix, Stop};
use crate::protocol::Request;
use crate::record::{self, Outcome, Record, Recorder, Summary};
use crate::stack::{self, App, Handle, Side, Stack, Tunnel};

pub mod flow;

use flow::{Action, Exchange, Flow, Kind, Phase};

/// First port used on each caller address.
const FIRST_PORT: u64 = 1024;
/// Maximum number of ports used on each caller address.
pub const MAX_PORTS: u64 = 64_000;
/// Number of low bits of a request id that count the requests of a process. The bits above identify the process.
const COUNTER_BITS: u32 = 32;
/// Mask of the address bits that identify the process in a request id. It keeps ids below 2^53, up to which every JSON
/// parser represents integers exactly.
const PROCESS_MASK: u64 = 0xF_FFFF;
/// Time after the last possible timeout at which the process exits even if flows are left, in microseconds.
const SHUTDOWN_GRACE: u64 = 10 * clock::SECOND;

/// A service that callers connect to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name of the service, sent in each request.
    pub name: String,
    /// Address and port.
    pub address: SocketAddrV4,
}

/// Settings of the callers. Times are in microseconds.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Prefix of the caller addresses. Its first address is not used.
    pub prefix: Prefix,
    /// Number of caller addresses.
    pub addresses: u64,
    /// Number of ports per address, at most 64000. With fewer ports, endpoints are reused sooner.
    pub ports: u64,
    /// UDP address of the fabric.
    pub fabric: SocketAddr,
    /// Services, called in round-robin order.
    pub services: Vec<Service>,
    /// Number of short flows opened per second.
    pub rate: f64,
    /// Number of long flows.
    pub long: u64,
    /// Time over which the long flows are opened.
    pub ramp: u64,
    /// Mean pause between the batches of a long flow.
    pub pause: u64,
    /// Number of requests per batch of a long flow.
    pub pipeline: usize,
    /// Minimum response body size in bytes.
    pub response_min: u32,
    /// Maximum response body size in bytes.
    pub response_max: u32,
    /// Fraction of requests that are idempotent, 0 to 1.
    pub idempotent: f64,
    /// Timeout of a handshake and of a response.
    pub timeout: u64,
    /// Time from the creation of a request to its deadline, after which it must not start at a target; 0 for no
    /// deadline.
    pub deadline: u64,
    /// Maximum number of further connection attempts after a refused one.
    pub retries: u32,
    /// Duration of the run.
    pub duration: u64,
    /// Random seed.
    pub seed: u64,
}

/// State of all callers of a process.
pub struct Caller {
    settings: Settings,
    recorder: Recorder,
    rng: Pcg64,
    flows: HashMap<Handle, Flow>,
    timers: BinaryHeap<Reverse<(u64, Handle)>>,
    start: u64,
    /// When the next short flow is opened.
    next_short: u64,
    /// When the next long flow is opened.
    next_long: u64,
    opened: u64,
    allocated_endpoints: u64,
    opened_long: u64,
    requests: u64,
    counts: BTreeMap<String, u64>,
    done: bool,
}

impl std::fmt::Debug for Caller {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Caller").field("settings", &self.settings).finish_non_exhaustive()
    }
}

/// Runs the callers over `socket` until they have finished or `stop` is set. Writes the summary and returns it.
#[must_use]
pub fn run(settings: Settings, socket: Arc<UdpSocket>, recorder: &Recorder, stop: &Stop) -> Summary {
    let tunnel = Tunnel { socket, fabric: settings.fabric };
    let inbox = net::spawn_receiver(Arc::clone(&tunnel.socket), stop.clone());
    let address = settings.prefix.address();
    let stack_settings = stack::Settings { side: Side::Caller, address, seed: settings.seed };
    let mut stack = Stack::new(stack_settings, &tunnel);
    let mut caller = Caller::new(settings, recorder.clone(), clock::now());
    stack::drive(&mut caller, &mut stack, &inbox, stop);
    let summary = caller.summary();
    recorder.write(&Record::Summary(summary.clone()));
    stop.set();
    summary
}

impl Caller {
    /// Returns callers whose run starts at `now`.
    #[must_use]
    pub fn new(settings: Settings, recorder: Recorder, now: u64) -> Self {
        Self {
            rng: Pcg64::seed_from_u64(settings.seed ^ u64::from(u32::from(settings.prefix.address()))),
            settings,
            recorder,
            flows: HashMap::new(),
            timers: BinaryHeap::new(),
            start: now,
            next_short: now,
            next_long: now,
            opened: 0,
            allocated_endpoints: 0,
            opened_long: 0,
            requests: 0,
            counts: BTreeMap::new(),
            done: false,
        }
    }

    fn summary(&self) -> Summary {
        let mut counts = self.counts.clone();
        let open = self.flows.values().filter(|flow| flow.phase != Phase::Closing).count();
        counts.insert("requests".to_owned(), self.requests);
        counts.insert("flows".to_owned(), self.opened);
        counts.insert("long_flows".to_owned(), self.opened_long);
        counts.insert("unfinished_flows".to_owned(), open as u64);
        Summary { process: format!("caller {}", self.settings.prefix), counts }
    }

    const fn end(&self) -> u64 {
        self.start + self.settings.duration
    }

    fn count(&mut self, name: &str) {
        *self.counts.entry(name.to_owned()).or_default() += 1;
    }

    fn open_due_flows(&mut self, now: u64, stack: &mut Stack) {
        while self.opened_long < self.settings.long && self.next_long <= now && now < self.end() {
            self.opened_long += 1;
            self.next_long += self.settings.ramp / self.settings.long;
            self.open(now, Kind::Long, stack);
        }
        while self.settings.rate > 0.0 && self.next_short <= now && now < self.end() {
            // Independent callers form a Poisson process, whose gaps are exponentially distributed.
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.settings.rate;
            self.next_short += u64::try_from(std::time::Duration::from_secs_f64(gap).as_micros()).unwrap_or(u64::MAX);
            self.open(now, Kind::Short, stack);
        }
    }

    fn open(&mut self, now: u64, kind: Kind, stack: &mut Stack) {
        let service = usize::try_from(self.opened).unwrap_or(0) % self.settings.services.len();
        let request = self.new_request(now, service);
        let flow = Flow::new(now, kind, service, Exchange { request, start: now });
        self.connect(now, flow, stack);
    }

    /// Opens a flow from the least recently used endpoint.
    fn connect(&mut self, now: u64, mut flow: Flow, stack: &mut Stack) {
        let mut local = self.allocate_endpoint();
        // If the number of ports is limited, a long flow may still use the next endpoint.
        while self.settings.ports < MAX_PORTS && self.flows.values().any(|other| other.local == local) {
            local = self.allocate_endpoint();
        }
        self.opened += 1;
        flow.connect(now, local, self.settings.timeout);
        match stack.connect(local, self.settings.services[flow.service].address) {
            Ok(handle) => {
                self.insert(now, handle, flow);
            }
            Err(error) => eprintln!("cannot open a flow: {error}"),
        }
    }

    /// Returns the next caller endpoint, cycling through all addresses and then through their ports.
    fn allocate_endpoint(&mut self) -> SocketAddrV4 {
        let index = self.allocated_endpoints;
        self.allocated_endpoints += 1;
        let offset = 1 + index % self.settings.addresses;
        let address = u32::from(self.settings.prefix.address()) + u32::try_from(offset).unwrap_or(1);
        let port = FIRST_PORT + (index / self.settings.addresses) % self.settings.ports;
        SocketAddrV4::new(Ipv4Addr::from(address), u16::try_from(port).unwrap_or(u16::MAX))
    }

    fn new_request(&mut self, now: u64, service: usize) -> Request {
        let process = (u64::from(u32::from(self.settings.prefix.address())) >> 8) & PROCESS_MASK;
        self.requests += 1;
        let deadline = if self.settings.deadline == 0 { 0 } else { now + self.settings.deadline };
        Request {
            id: (process << COUNTER_BITS) | self.requests,
            service: self.settings.services[service].name.clone(),
            idempotent: self.rng.random_bool(self.settings.idempotent),
            response_size: self.rng.random_range(self.settings.response_min..=self.settings.response_max),
            deadline,
        }
    }

    fn step(&mut self, now: u64, handle: Handle, stack: &mut Stack) {
        let Some(mut flow) = self.flows.remove(&handle) else { return };
        let finish = now >= self.end();
        let action = flow.step(now, finish, self.settings.timeout, stack.socket(handle));
        for (exchange, outcome) in flow.take_outcomes() {
            self.record_request(now, &flow, exchange, outcome);
        }
        match action {
            Action::Keep => {}
            Action::Send => self.send(now, &mut flow),
            Action::Refused => return self.handle_refusal(now, flow, handle, stack),
            Action::Ended => self.record_flow(now, &flow),
            Action::Remove => return stack.remove(handle),
        }
        flow.pump(stack.socket(handle));
        self.insert(now, handle, flow);
    }

    /// Inserts a flow into the table. Only the earliest timer of a flow is valid; the next one is set when it fires.
    fn insert(&mut self, now: u64, handle: Handle, mut flow: Flow) {
        let due = flow.due.max(now + 1);
        if due < flow.timer {
            flow.timer = due;
            self.timers.push(Reverse((due, handle)));
        }
        self.flows.insert(handle, flow);
    }

    fn send(&mut self, now: u64, flow: &mut Flow) {
        let pause = self.settings.pause;
        let pause = self.rng.random_range(pause / 2..=pause + pause / 2);
        for _ in 0..self.settings.pipeline.max(1) {
            let request = self.new_request(now, flow.service);
            flow.send(Exchange { request, start: now });
        }
        flow.pause = pause;
        flow.due = now + self.settings.timeout;
    }

    fn handle_refusal(&mut self, now: u64, mut flow: Flow, handle: Handle, stack: &mut Stack) {
        stack.remove(handle);
        if flow.attempts <= self.settings.retries && now < self.end() {
            self.count("retries");
            return self.connect(now, flow, stack);
        }
        flow.fail(Outcome::Refused);
        for (exchange, outcome) in flow.take_outcomes() {
            self.record_request(now, &flow, exchange, outcome);
        }
        self.record_flow(now, &flow);
    }

    fn record_request(&mut self, now: u64, flow: &Flow, exchange: Exchange, outcome: Outcome) {
        self.count(counter_name(outcome));
        self.recorder.write(&Record::Request(record::Request {
            id: exchange.request.id,
            service: exchange.request.service,
            idempotent: exchange.request.idempotent,
            outcome,
            start_us: exchange.start,
            end_us: now,
            flow: flow.local.to_string(),
            tries: flow.attempts,
        }));
    }

    fn record_flow(&mut self, now: u64, flow: &Flow) {
        let service = &self.settings.services[flow.service];
        let (name, address) = (service.name.clone(), service.address);
        if flow.established {
            self.count("established_flows");
        }
        if flow.broken.is_some() {
            self.count("broken_flows");
        }
        self.recorder.write(&Record::Flow(record::Flow {
            flow: format!("{}>{address}", flow.local),
            service: name,
            long: flow.kind == Kind::Long,
            established: flow.established,
            broken: flow.broken,
            answered: flow.answered,
            start_us: flow.opened_at,
            end_us: now,
        }));
    }

    /// Removes the expired timers and returns the flows that they belong to.
    fn expired_timers(&mut self, now: u64) -> Vec<Handle> {
        let mut handles = Vec::new();
        while let Some(&Reverse((due, handle))) = self.timers.peek()
            && due <= now
        {
            self.timers.pop();
            if let Some(flow) = self.flows.get_mut(&handle).filter(|flow| flow.timer == due) {
                flow.timer = u64::MAX;
                handles.push(handle);
            }
        }
        handles
    }
}

impl App for Caller {
    fn advance(&mut self, now: u64, stack: &mut Stack, touched: &[Handle]) {
        self.open_due_flows(now, stack);
        let expired_timers = self.expired_timers(now);
        for &handle in touched.iter().chain(&expired_timers) {
            self.step(now, handle, stack);
        }
        let last = self.end() + self.settings.timeout + SHUTDOWN_GRACE;
        let finished = |flow: &Flow| flow.phase == Phase::Closing && flow.linger_elapsed(now);
        self.done = now >= last || (now >= self.end() && self.flows.values().all(finished));
    }

    fn due(&self) -> u64 {
        let timer = self.timers.peek().map_or(u64::MAX, |&Reverse((due, _))| due);
        let short = if self.settings.rate > 0.0 { self.next_short } else { u64::MAX };
        let long = if self.opened_long < self.settings.long { self.next_long } else { u64::MAX };
        timer.min(short).min(long).min(self.end())
    }

    fn done(&self) -> bool {
        self.done
    }
}

const fn counter_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::Refused => "refused",
        Outcome::Expired => "expired",
        Outcome::Reset => "reset",
        Outcome::Timeout => "timeout",
        Outcome::WrongAnswer => "wrong_answer",
    }
}
