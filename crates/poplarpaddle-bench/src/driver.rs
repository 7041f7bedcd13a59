//! Replays traces of requests on virtual time.
//!
//! Callers send the requests of a flow one after the other, and retransmit dropped payload until the deadline. The
//! balancers under test decide on each request, and the [`Fleet`] runs it.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use poplarpaddle::map::{self, Map};
use poplarpaddle::packet::Flow;
use poplarpaddle::time::Time;

use crate::balancers::{Balancers, Output, Request, Signal};
use crate::fleet::{Fleet, HostIndex};
use crate::scenario::{Deployment, Fault, lookup_port};
use crate::trace::Record;

/// Virtual time at which a trace begins.
const START: Time = Time::from_millis(1_000);

/// Interval between two load reports of a host.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between two samples of the open flows.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// Delay of the first retransmission of a dropped packet; it doubles with each further one.
const RETRANSMIT: Duration = Duration::from_millis(200);

/// Time that the balancers wait for the answer to an opening.
const OPENING_TIMEOUT: Duration = Duration::from_millis(250);

/// Divisor of the run length that gives the warm-up, which the figures leave out.
const WARM_UP_DIVISOR: u32 = 10;

/// Result of a request for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// Answered before its deadline.
    InTime,
    /// Answered after its deadline.
    Late,
    /// The opening was refused immediately.
    Refused,
    /// The opening was refused after it had waited in a queue or failed at a target.
    Expired,
    /// Abandoned by the caller, because its packets were dropped until the deadline.
    GivenUp,
    /// The flow was reset.
    Broken,
}

/// A request and its outcome.
#[derive(Debug)]
pub struct RequestState {
    /// Index of the priority.
    pub priority: usize,
    /// True when the request belongs to the flood.
    pub flood: bool,
    /// Outcome; `None` until the request ends.
    pub outcome: Option<Outcome>,
    /// Number of times that a target ran the request.
    pub runs: u32,
    /// Number of openings that were sent to targets for the request.
    pub attempts: u32,
    flow: usize,
    service_time: Duration,
    submitted: Time,
    deadline: Time,
}

/// Results of a run.
#[derive(Debug)]
pub struct Results {
    /// Requests in the order of their traces, those of the steady trace first.
    pub requests: Vec<RequestState>,
    /// Number of flows that were opened.
    pub flows: u64,
    /// Flows that ended although neither end closed them, by cause.
    pub broken: BTreeMap<&'static str, u64>,
    /// Open flows of a host divided by the mean of its service, for each host and sample.
    pub flow_balance: Vec<f64>,
    /// Slot time used by a host divided by the mean of its service, for each host.
    pub work_balance: Vec<f64>,
    /// Share of the slot time within the measured window that was spent on requests answered in time.
    pub slots_busy_useful: f64,
}

/// Parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct Setup<'a> {
    /// Services, hosts and network delays.
    pub deployment: &'a Deployment,
    /// Fault of the targets.
    pub fault: Fault,
    /// Seed of misleading reports.
    pub seed: u64,
    /// Length of the trace.
    pub length: Duration,
    /// Trace of the steady load.
    pub steady: &'a [Record],
    /// Trace of the flood, which adds to the steady load.
    pub flood: &'a [Record],
}

/// Replays the traces of `setup` against `balancers`.
///
/// # Errors
///
/// Fails when no service of the deployment has the port of a record.
pub fn run(setup: &Setup<'_>, balancers: &mut dyn Balancers) -> eyre::Result<Results> {
    let mut driver = Driver::new(setup, balancers);
    driver.prepare()?;
    driver.run();
    Ok(driver.into_results())
}

#[derive(Debug)]
struct FlowState {
    flow: Flow,
    service: usize,
    priority: usize,
    /// Host that the established flow is bound to.
    host: Option<Ipv4Addr>,
    /// Whether a request of the flow was submitted and has not ended.
    busy: bool,
    /// Requests that arrived and have not been submitted.
    pending: VecDeque<usize>,
    /// Requests that have not ended. A flow closes when none are left, unless it is standing.
    unfinished: usize,
    standing: bool,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    /// A request arrives at its caller.
    Arrive(usize),
    /// A caller retransmits a dropped request.
    Retransmit(usize),
    /// The opening for a request arrives at a host.
    Opening(usize, Ipv4Addr),
    /// The payload of a request arrives at a host.
    Payload(usize, Ipv4Addr),
    /// A host completes a request.
    Completed(usize, Ipv4Addr),
    /// The reaction of a host to a request arrives at the balancers.
    Signal(usize, Ipv4Addr, Signal),
    /// Collects the load reports.
    Poll,
    /// Samples the open flows.
    Sample,
    /// Starts draining the affected hosts.
    Drain,
}

struct Driver<'a> {
    setup: &'a Setup<'a>,
    balancers: &'a mut dyn Balancers,
    now: Time,
    events: BTreeMap<(Time, u64), Event>,
    /// Number of events scheduled so far, which orders simultaneous events.
    event_count: u64,
    requests: Vec<RequestState>,
    flows: Vec<FlowState>,
    flow_index: Map<(SocketAddrV4, u16), usize>,
    fleet: Fleet,
    retransmissions: Map<usize, u32>,
    opened: u64,
    broken: BTreeMap<&'static str, u64>,
    /// Slot time within the measured window that was spent on requests answered in time.
    useful_time: Duration,
}

impl<'a> Driver<'a> {
    fn new(setup: &'a Setup<'a>, balancers: &'a mut dyn Balancers) -> Self {
        Self {
            setup,
            balancers,
            now: START,
            events: BTreeMap::new(),
            event_count: 0,
            requests: Vec::new(),
            flows: Vec::new(),
            flow_index: map::seeded(setup.seed),
            fleet: Fleet::new(setup),
            retransmissions: map::seeded(setup.seed),
            opened: 0,
            broken: BTreeMap::new(),
            useful_time: Duration::ZERO,
        }
    }

    fn end(&self) -> Time {
        START + self.setup.length
    }

    /// Returns the start of the measured window.
    fn window_start(&self) -> Time {
        START + self.setup.length / WARM_UP_DIVISOR
    }

    fn target_hop(&self) -> Duration {
        Duration::from_micros(self.setup.deployment.target_hop_us)
    }

    fn caller_hop(&self) -> Duration {
        Duration::from_micros(self.setup.deployment.caller_hop_us)
    }

    fn schedule(&mut self, time: Time, event: Event) {
        self.event_count += 1;
        self.events.insert((time, self.event_count), event);
    }

    fn prepare(&mut self) -> eyre::Result<()> {
        self.fleet.poll();
        self.publish_hosts();
        for (records, flood) in [(self.setup.steady, false), (self.setup.flood, true)] {
            for record in records {
                self.add_record(record, flood)?;
            }
        }
        self.fleet.start_faults();
        self.schedule(START + POLL_INTERVAL, Event::Poll);
        self.schedule(self.window_start(), Event::Sample);
        if self.setup.fault == Fault::Drain {
            self.schedule(START + self.setup.length / 3, Event::Drain);
        }
        Ok(())
    }

    fn add_record(&mut self, record: &Record, flood: bool) -> eyre::Result<()> {
        let (service, priority) =
            lookup_port(record.port).ok_or_else(|| eyre::eyre!("no service has port {} of {record:?}", record.port))?;
        let address = SocketAddrV4::new(HostIndex { service, host: 0 }.address(), record.port);
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
                unfinished: 0,
                standing,
            });
        }
        if record.is_standing() {
            self.establish(index);
            return Ok(());
        }
        self.flows[index].unfinished += 1;
        let time = START + Duration::from_micros(record.time_us);
        self.schedule(time, Event::Arrive(self.requests.len()));
        self.requests.push(RequestState {
            priority,
            flood,
            outcome: None,
            runs: 0,
            attempts: 0,
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

    fn run(&mut self) {
        loop {
            let next = self.events.first_key_value().map_or(Time::NEVER, |(&(time, _), _)| time);
            let due = self.balancers.deadline().max(self.now);
            if due < next {
                self.now = due;
                self.with_balancers(|balancers, now, outputs| balancers.tick(now, outputs));
                continue;
            }
            let Some(((time, _), event)) = self.events.pop_first() else {
                return;
            };
            self.now = time;
            self.handle(event);
        }
    }

    /// Calls the balancers and executes their outputs.
    fn with_balancers(&mut self, call: impl FnOnce(&mut dyn Balancers, Time, &mut Vec<Output>)) {
        let mut outputs = Vec::new();
        call(self.balancers, self.now, &mut outputs);
        for output in outputs {
            self.execute(output);
        }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Forward(request, host) => {
                let arrival = self.now + self.target_hop();
                let bound = self.flows[self.requests[request].flow].host.is_some();
                self.requests[request].attempts += u32::from(!bound);
                let event = if bound { Event::Payload(request, host) } else { Event::Opening(request, host) };
                self.schedule(arrival, event);
            }
            Output::Refuse(request) => {
                let is_immediate = self.requests[request].submitted == self.now;
                self.finish(request, if is_immediate { Outcome::Refused } else { Outcome::Expired });
            }
            Output::Drop(request) => {
                let retransmissions = self.retransmissions.entry(request).or_insert(0);
                let delay = RETRANSMIT * (1 << (*retransmissions).min(6));
                *retransmissions += 1;
                self.schedule(self.now + delay, Event::Retransmit(request));
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => {
                let flow = self.requests[request].flow;
                self.flows[flow].pending.push_back(request);
                self.send_next(flow);
            }
            Event::Retransmit(request) => {
                if self.now.reached(self.requests[request].deadline) {
                    self.finish(request, Outcome::GivenUp);
                } else {
                    self.submit(request);
                }
            }
            Event::Opening(request, host) => {
                let target = self.fleet.target(host);
                let (signal, delay) = match (target.silent, target.accept()) {
                    (true, _) => (Signal::Unanswered, OPENING_TIMEOUT),
                    (false, true) => (Signal::Accepted, self.target_hop()),
                    (false, false) => (Signal::Shed, self.target_hop()),
                };
                self.schedule(self.now + delay, Event::Signal(request, host, signal));
            }
            Event::Payload(request, host) => self.handle_payload(request, host),
            Event::Completed(request, host) => {
                self.fleet.target(host).release_slot();
                self.schedule(self.now + self.target_hop(), Event::Signal(request, host, Signal::Answered));
                self.fill_slots(host);
            }
            Event::Signal(request, host, signal) => self.handle_signal(request, host, signal),
            Event::Poll => {
                self.fleet.poll();
                self.publish_hosts();
                if !self.now.reached(self.end()) {
                    self.schedule(self.now + POLL_INTERVAL, Event::Poll);
                }
            }
            Event::Sample => {
                self.fleet.sample();
                if !(self.now + SAMPLE_INTERVAL).reached(self.end()) {
                    self.schedule(self.now + SAMPLE_INTERVAL, Event::Sample);
                }
            }
            Event::Drain => {
                self.fleet.drain();
                self.publish_hosts();
            }
        }
    }

    /// Sends the next request of a flow, or closes the flow when no request is left.
    fn send_next(&mut self, index: usize) {
        let flow = &mut self.flows[index];
        if flow.busy {
            return;
        }
        if let Some(request) = flow.pending.pop_front() {
            flow.busy = true;
            self.submit(request);
        } else if flow.unfinished == 0 && !flow.standing {
            self.close(index);
        }
    }

    fn submit(&mut self, index: usize) {
        self.requests[index].submitted = self.now;
        let RequestState { flow, deadline, .. } = self.requests[index];
        let flow = &self.flows[flow];
        let request = Request {
            id: index,
            flow: flow.flow,
            service: flow.service,
            priority: flow.priority,
            deadline,
            bound: flow.host,
        };
        self.with_balancers(|balancers, now, outputs| balancers.request(now, &request, outputs));
    }

    fn close(&mut self, index: usize) {
        let service = self.flows[index].service;
        if let Some(host) = self.flows[index].host.take() {
            self.fleet.target(host).connections -= 1;
            self.with_balancers(|balancers, now, outputs| balancers.close(now, service, host, outputs));
        }
    }

    fn handle_payload(&mut self, request: usize, host: Ipv4Addr) {
        if self.flows[self.requests[request].flow].host == Some(host) {
            self.fleet.target(host).enqueue(request);
            self.fill_slots(host);
        } else {
            self.schedule(self.now + self.target_hop(), Event::Signal(request, host, Signal::Reset));
        }
    }

    /// Starts queued requests on the free slots of a host.
    fn fill_slots(&mut self, host: Ipv4Addr) {
        while let Some(request) = self.fleet.target(host).start_next() {
            let warm = self.requests[request].service_time;
            let service_time = self.fleet.target(host).service_time(warm);
            let done = self.now + service_time;
            self.requests[request].runs += 1;
            self.record_slot_time(request, host, done);
            self.schedule(done, Event::Completed(request, host));
        }
    }

    fn record_slot_time(&mut self, request: usize, host: Ipv4Addr, done: Time) {
        let measured = done.min(self.end()).since(self.now.max(self.window_start()));
        let in_time = done + self.target_hop() + self.caller_hop() <= self.requests[request].deadline;
        self.fleet.target(host).busy_time += measured;
        if in_time && self.fleet.is_counted(host) {
            self.useful_time += measured;
        }
    }

    fn handle_signal(&mut self, request: usize, host: Ipv4Addr, signal: Signal) {
        self.with_balancers(|balancers, now, outputs| balancers.signal(now, request, host, signal, outputs));
        match signal {
            Signal::Accepted => {
                self.flows[self.requests[request].flow].host = Some(host);
                self.opened += 1;
                let arrival = self.now + self.caller_hop() * 2 + self.target_hop();
                self.schedule(arrival, Event::Payload(request, host));
            }
            Signal::Answered => {
                let in_time = self.now + self.caller_hop() <= self.requests[request].deadline;
                self.finish(request, if in_time { Outcome::InTime } else { Outcome::Late });
            }
            Signal::Reset => {
                *self.broken.entry("moved to another host").or_insert(0) += 1;
                self.close(self.requests[request].flow);
                self.finish(request, Outcome::Broken);
            }
            Signal::Shed | Signal::Unanswered => {}
        }
    }

    fn finish(&mut self, request: usize, outcome: Outcome) {
        self.requests[request].outcome = Some(outcome);
        let index = self.requests[request].flow;
        self.flows[index].busy = false;
        self.flows[index].unfinished -= 1;
        self.send_next(index);
    }

    /// Passes the hosts of all services to the balancers, as [`Fleet::hosts`] returns them.
    fn publish_hosts(&mut self) {
        for service in 0..self.setup.deployment.services.len() {
            let hosts = self.fleet.hosts(service);
            self.with_balancers(|balancers, now, outputs| balancers.set_hosts(now, service, &hosts, outputs));
        }
    }

    fn into_results(self) -> Results {
        let window = self.end().since(self.window_start());
        Results {
            slots_busy_useful: self.useful_time.as_secs_f64() / (self.fleet.counted_slots() * window.as_secs_f64()),
            requests: self.requests,
            flows: self.opened,
            broken: self.broken,
            work_balance: self.fleet.work_balance(),
            flow_balance: self.fleet.flow_balance,
        }
    }
}
