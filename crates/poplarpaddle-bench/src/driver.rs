//! Replay of traces on virtual time.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use poplarpaddle::map::{self, Map};
use poplarpaddle::packet::Flow;
use poplarpaddle::time::Time;

use crate::balancers::{Balancers, Output, Request, Signal};
use crate::fleet::{Fleet, Place};
use crate::scenario::{Deployment, Fault, of_port};
use crate::trace::Record;

/// Virtual time at which a trace begins.
const START: Time = Time::from_millis(1_000);

/// Time between two load reports of a host.
const POLL: Duration = Duration::from_secs(1);

/// Time between two samples of open flows.
const SAMPLE: Duration = Duration::from_millis(500);

/// First retransmission of a dropped packet; doubles each time.
const RETRANSMIT: Duration = Duration::from_millis(200);

/// How long the balancers wait for the answer to an opening.
const OPENING_TIMEOUT: Duration = Duration::from_millis(250);

/// Part of the run that is left out of the figures at its beginning, as a divisor.
const WARM_UP_PART: u32 = 10;

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// Answered before its deadline.
    InTime,
    /// Answered after its deadline.
    Late,
    /// Its opening was refused at once.
    Refused,
    /// Its opening was refused after it had waited or failed elsewhere.
    Expired,
    /// Given up by the caller, whose packets were dropped until the deadline.
    GivenUp,
    /// Its flow broke.
    Broken,
}

/// A request and what became of it.
#[derive(Debug)]
pub struct Work {
    /// Index of the priority.
    pub priority: usize,
    /// True when it belongs to the flood.
    pub flood: bool,
    /// How it ended.
    pub outcome: Option<Outcome>,
    /// How often a target ran it.
    pub runs: u32,
    /// How often an opening was sent to a target for it.
    pub tries: u32,
    flow: usize,
    service_time: Duration,
    submitted: Time,
    deadline: Time,
}

/// What happened in a run.
#[derive(Debug)]
pub struct History {
    /// Requests in the order of the traces, the steady one first.
    pub works: Vec<Work>,
    /// Flows that were open at any time.
    pub flows: u64,
    /// Flows that ended although neither end closed them, by cause.
    pub broken: BTreeMap<&'static str, u64>,
    /// Open flows of a host over the mean of its service, over hosts and samples.
    pub flow_balance: Vec<f64>,
    /// Work of a host over the mean of its service.
    pub work_balance: Vec<f64>,
    /// Share of slot time within the measured window that went to work answered in time.
    pub slots_busy_useful: f64,
}

/// A run.
#[derive(Debug, Clone, Copy)]
pub struct Setup<'a> {
    /// Fleet.
    pub deployment: &'a Deployment,
    /// What is wrong.
    pub fault: Fault,
    /// Seed of misleading reports.
    pub seed: u64,
    /// Length of the trace.
    pub length: Duration,
    /// Steady work.
    pub steady: &'a [Record],
    /// Flood on top.
    pub flood: &'a [Record],
}

/// Replays the traces of `setup` against `balancers`.
///
/// # Errors
///
/// Fails when a record has a port that no service of the deployment has.
pub fn run(setup: &Setup<'_>, balancers: &mut dyn Balancers) -> eyre::Result<History> {
    let mut driver = Driver::new(setup, balancers);
    driver.prepare()?;
    driver.go();
    Ok(driver.history())
}

#[derive(Debug)]
struct FlowState {
    flow: Flow,
    service: usize,
    priority: usize,
    host: Option<Ipv4Addr>,
    busy: bool,
    pending: VecDeque<usize>,
    /// Requests that have not ended; standing flows stay open without any.
    left: usize,
    standing: bool,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrive(usize),
    Again(usize),
    Opening(usize, Ipv4Addr),
    Payload(usize, Ipv4Addr),
    Done(usize, Ipv4Addr),
    Signal(usize, Ipv4Addr, Signal),
    Poll,
    Sample,
    Drain,
}

struct Driver<'a> {
    setup: &'a Setup<'a>,
    balancers: &'a mut dyn Balancers,
    now: Time,
    events: BTreeMap<(Time, u64), Event>,
    sequence: u64,
    works: Vec<Work>,
    flows: Vec<FlowState>,
    flow_index: Map<(SocketAddrV4, u16), usize>,
    fleet: Fleet,
    retransmissions: Map<usize, u32>,
    opened: u64,
    broken: BTreeMap<&'static str, u64>,
    useful: Duration,
}

impl<'a> Driver<'a> {
    fn new(setup: &'a Setup<'a>, balancers: &'a mut dyn Balancers) -> Self {
        Self {
            setup,
            balancers,
            now: START,
            events: BTreeMap::new(),
            sequence: 0,
            works: Vec::new(),
            flows: Vec::new(),
            flow_index: map::seeded(setup.seed),
            fleet: Fleet::new(setup),
            retransmissions: map::seeded(setup.seed),
            opened: 0,
            broken: BTreeMap::new(),
            useful: Duration::ZERO,
        }
    }

    fn end(&self) -> Time {
        START + self.setup.length
    }

    /// Start of the measured window.
    fn window(&self) -> Time {
        START + self.setup.length / WARM_UP_PART
    }

    fn target_hop(&self) -> Duration {
        Duration::from_micros(self.setup.deployment.target_hop_us)
    }

    fn caller_hop(&self) -> Duration {
        Duration::from_micros(self.setup.deployment.caller_hop_us)
    }

    fn at(&mut self, time: Time, event: Event) {
        self.sequence += 1;
        self.events.insert((time, self.sequence), event);
    }

    fn prepare(&mut self) -> eyre::Result<()> {
        self.fleet.poll();
        self.publish();
        for (records, flood) in [(self.setup.steady, false), (self.setup.flood, true)] {
            for record in records {
                self.add(record, flood)?;
            }
        }
        self.fleet.begin();
        self.at(START + POLL, Event::Poll);
        self.at(self.window(), Event::Sample);
        if self.setup.fault == Fault::Drain {
            self.at(START + self.setup.length / 3, Event::Drain);
        }
        Ok(())
    }

    fn add(&mut self, record: &Record, flood: bool) -> eyre::Result<()> {
        let (service, priority) =
            of_port(record.port).ok_or_else(|| eyre::eyre!("no service has port {} of {record:?}", record.port))?;
        let address = SocketAddrV4::new(Place { service, host: 0 }.address(), record.port);
        let flow = Flow { caller: record.caller, service: address };
        let next = self.flows.len();
        let index = *self.flow_index.entry((record.caller, record.port)).or_insert(next);
        if index == next {
            let standing = record.is_standing();
            self.flows.push(FlowState {
                flow,
                service,
                priority,
                host: None,
                busy: false,
                pending: VecDeque::new(),
                left: 0,
                standing,
            });
        }
        if record.is_standing() {
            self.establish(index);
            return Ok(());
        }
        self.flows[index].left += 1;
        let time = START + Duration::from_micros(record.time_us);
        self.at(time, Event::Arrive(self.works.len()));
        self.works.push(Work {
            priority,
            flood,
            outcome: None,
            runs: 0,
            tries: 0,
            flow: index,
            service_time: Duration::from_micros(record.service_us),
            submitted: time,
            deadline: START + Duration::from_micros(record.deadline_us),
        });
        Ok(())
    }

    fn establish(&mut self, index: usize) {
        let flow = &self.flows[index];
        let (flow, service, priority) = (flow.flow, flow.service, flow.priority);
        let request = Request { id: usize::MAX, flow, service, priority, deadline: Time::NEVER, bound: None };
        let host = self.balancers.establish(START, &request);
        let accepted = host.filter(|&host| self.fleet.target(host).accept());
        self.flows[index].host = accepted;
        self.opened += u64::from(accepted.is_some());
    }

    fn go(&mut self) {
        loop {
            let next = self.events.first_key_value().map_or(Time::NEVER, |(&(time, _), _)| time);
            let due = self.balancers.deadline().max(self.now);
            if due < next {
                self.now = due;
                self.call(|balancers, now, outputs| balancers.tick(now, outputs));
                continue;
            }
            let Some(((time, _), event)) = self.events.pop_first() else {
                return;
            };
            self.now = time;
            self.handle(event);
        }
    }

    /// Calls the balancers and carries out what they decide.
    fn call(&mut self, call: impl FnOnce(&mut dyn Balancers, Time, &mut Vec<Output>)) {
        let mut outputs = Vec::new();
        call(self.balancers, self.now, &mut outputs);
        for output in outputs {
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Forward(work, host) => {
                let arrival = self.now + self.target_hop();
                let bound = self.flows[self.works[work].flow].host.is_some();
                self.works[work].tries += u32::from(!bound);
                let event = if bound { Event::Payload(work, host) } else { Event::Opening(work, host) };
                self.at(arrival, event);
            }
            Output::Refuse(work) => {
                let at_once = self.works[work].submitted == self.now;
                self.finish(work, if at_once { Outcome::Refused } else { Outcome::Expired });
            }
            Output::Drop(work) => {
                let times = self.retransmissions.entry(work).or_insert(0);
                let wait = RETRANSMIT * (1 << (*times).min(6));
                *times += 1;
                self.at(self.now + wait, Event::Again(work));
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(work) => {
                let flow = self.works[work].flow;
                self.flows[flow].pending.push_back(work);
                self.advance(flow);
            }
            Event::Again(work) => {
                if self.now.reached(self.works[work].deadline) {
                    self.finish(work, Outcome::GivenUp);
                } else {
                    self.submit(work);
                }
            }
            Event::Opening(work, host) => {
                let target = self.fleet.target(host);
                let (signal, wait) = match (target.silent, target.accept()) {
                    (true, _) => (Signal::Unanswered, OPENING_TIMEOUT),
                    (false, true) => (Signal::Accepted, self.target_hop()),
                    (false, false) => (Signal::Shed, self.target_hop()),
                };
                self.at(self.now + wait, Event::Signal(work, host, signal));
            }
            Event::Payload(work, host) => self.payload(work, host),
            Event::Done(work, host) => {
                self.fleet.target(host).end();
                self.at(self.now + self.target_hop(), Event::Signal(work, host, Signal::Answered));
                self.serve(host);
            }
            Event::Signal(work, host, signal) => self.signal(work, host, signal),
            Event::Poll => {
                self.fleet.poll();
                self.publish();
                if !self.now.reached(self.end()) {
                    self.at(self.now + POLL, Event::Poll);
                }
            }
            Event::Sample => {
                self.fleet.sample();
                if !(self.now + SAMPLE).reached(self.end()) {
                    self.at(self.now + SAMPLE, Event::Sample);
                }
            }
            Event::Drain => {
                self.fleet.drain();
                self.publish();
            }
        }
    }

    /// Sends the next request of a flow, or closes the flow when there is none.
    fn advance(&mut self, index: usize) {
        let flow = &mut self.flows[index];
        if flow.busy {
            return;
        }
        if let Some(work) = flow.pending.pop_front() {
            flow.busy = true;
            self.submit(work);
        } else if flow.left == 0 && !flow.standing {
            self.close(index);
        }
    }

    fn submit(&mut self, work: usize) {
        self.works[work].submitted = self.now;
        let Work { flow, deadline, .. } = self.works[work];
        let flow = &self.flows[flow];
        let request = Request {
            id: work,
            flow: flow.flow,
            service: flow.service,
            priority: flow.priority,
            deadline,
            bound: flow.host,
        };
        self.call(|balancers, now, outputs| balancers.request(now, &request, outputs));
    }

    fn close(&mut self, index: usize) {
        let service = self.flows[index].service;
        if let Some(host) = self.flows[index].host.take() {
            self.fleet.target(host).connections -= 1;
            self.call(|balancers, now, outputs| balancers.close(now, service, host, outputs));
        }
    }

    fn payload(&mut self, work: usize, host: Ipv4Addr) {
        if self.flows[self.works[work].flow].host == Some(host) {
            self.fleet.target(host).push(work);
            self.serve(host);
        } else {
            self.at(self.now + self.target_hop(), Event::Signal(work, host, Signal::Reset));
        }
    }

    /// Gives free slots of a host to its queue.
    fn serve(&mut self, host: Ipv4Addr) {
        while let Some(work) = self.fleet.target(host).pop() {
            let warm = self.works[work].service_time;
            let took = self.fleet.target(host).service(warm);
            let done = self.now + took;
            self.works[work].runs += 1;
            self.account(work, host, done);
            self.at(done, Event::Done(work, host));
        }
    }

    fn account(&mut self, work: usize, host: Ipv4Addr, done: Time) {
        let within = done.min(self.end()).since(self.now.max(self.window()));
        let in_time = done + self.target_hop() + self.caller_hop() <= self.works[work].deadline;
        self.fleet.target(host).busy_time += within;
        if in_time && self.fleet.is_counted(host) {
            self.useful += within;
        }
    }

    fn signal(&mut self, work: usize, host: Ipv4Addr, signal: Signal) {
        self.call(|balancers, now, outputs| balancers.signal(now, work, host, signal, outputs));
        match signal {
            Signal::Accepted => {
                self.flows[self.works[work].flow].host = Some(host);
                self.opened += 1;
                let arrival = self.now + self.caller_hop() * 2 + self.target_hop();
                self.at(arrival, Event::Payload(work, host));
            }
            Signal::Answered => {
                let in_time = self.now + self.caller_hop() <= self.works[work].deadline;
                self.finish(work, if in_time { Outcome::InTime } else { Outcome::Late });
            }
            Signal::Reset => {
                *self.broken.entry("moved to another host").or_insert(0) += 1;
                self.close(self.works[work].flow);
                self.finish(work, Outcome::Broken);
            }
            Signal::Shed | Signal::Unanswered => {}
        }
    }

    fn finish(&mut self, work: usize, outcome: Outcome) {
        self.works[work].outcome = Some(outcome);
        let index = self.works[work].flow;
        self.flows[index].busy = false;
        self.flows[index].left -= 1;
        self.advance(index);
    }

    /// Tells the balancers the objects as they are and the reports as they were.
    fn publish(&mut self) {
        for service in 0..self.setup.deployment.services.len() {
            let hosts = self.fleet.hosts(service);
            self.call(|balancers, now, outputs| balancers.set_hosts(now, service, &hosts, outputs));
        }
    }

    fn history(self) -> History {
        let window = self.end().since(self.window());
        History {
            slots_busy_useful: self.useful.as_secs_f64() / (self.fleet.counted_slots() * window.as_secs_f64()),
            works: self.works,
            flows: self.opened,
            broken: self.broken,
            work_balance: self.fleet.work_balance(),
            flow_balance: self.fleet.flow_balance,
        }
    }
}
