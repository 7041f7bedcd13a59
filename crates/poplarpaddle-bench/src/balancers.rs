//! Interface between the driver and the balancers under test.
//!
//! The driver simulates callers and targets; an implementation of [`Balancers`] covers everything between them.
//! [`Dispatcher`] drives one [`Gate`] for each service. Engines are driven packet by packet in [`net`](crate::net),
//! because calls for whole requests cannot express duplicates, partitions and resets.

use std::net::Ipv4Addr;
use std::time::Duration;

use poplarpaddle::admission::{Decision, Departure, End, Gate, Host, Ticket, TicketId};
use poplarpaddle::map::{self, Map};
use poplarpaddle::packet::Flow;
use poplarpaddle::time::Time;

use crate::scenario::{Policy, priorities};

/// Size of a packet that waits in a gate, in bytes.
const PACKET_BYTES: usize = 60;

/// A request as the driver passes it to the balancers.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Identifies the request in an [`Output`].
    pub id: usize,
    /// Flow that carries the request.
    pub flow: Flow,
    /// Index of the service.
    pub service: usize,
    /// Index of the priority.
    pub priority: usize,
    /// Time by which the caller needs the answer.
    pub deadline: Time,
    /// Host that the established flow is bound to; `None` for an opening.
    pub bound: Option<Ipv4Addr>,
}

/// Reaction of a target to a forwarded opening or request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// The target accepted the opening.
    Accepted,
    /// The target refused the opening.
    Shed,
    /// The target did not answer the opening in time.
    Unanswered,
    /// The target sent the complete answer to the request.
    Answered,
    /// The target does not know the flow and resets it.
    Reset,
}

/// Action of the balancers on a request, which is given by its [`Request::id`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Forwards the opening or the payload to a host.
    Forward(usize, Ipv4Addr),
    /// Tells the caller that the opening was refused and that no target ran the request.
    Refuse(usize),
    /// Drops the payload; the caller's TCP retransmits it.
    Drop(usize),
}

/// All balancers between callers and targets.
pub trait Balancers {
    /// Sets the hosts of a service as the control plane knows them.
    fn set_hosts(&mut self, now: Time, service: usize, hosts: &[Host], outputs: &mut Vec<Output>);

    /// Establishes a flow before the run begins; returns its host, or `None` when no host can take the flow.
    fn establish(&mut self, now: Time, request: &Request) -> Option<Ipv4Addr>;

    /// Handles an opening, or the payload of a request on an established flow.
    fn request(&mut self, now: Time, request: &Request, outputs: &mut Vec<Output>);

    /// Handles the reaction of `host` to a forwarded request.
    fn signal(&mut self, now: Time, request: usize, host: Ipv4Addr, signal: Signal, outputs: &mut Vec<Output>);

    /// Ends a flow on `host`.
    fn close(&mut self, now: Time, service: usize, host: Ipv4Addr, outputs: &mut Vec<Output>);

    /// Handles the timeouts that are due at `now`.
    fn tick(&mut self, now: Time, outputs: &mut Vec<Output>);

    /// Returns the time of the next [`Balancers::tick`].
    fn deadline(&self) -> Time;
}

/// A request that waits in a gate or was forwarded and has not ended.
#[derive(Debug)]
struct Pending {
    request: Request,
    candidates: Vec<Ipv4Addr>,
    start_deadline: Time,
    started: Time,
}

impl Pending {
    fn ticket(&self) -> Ticket<'_> {
        Ticket {
            flow: self.request.flow,
            priority: self.request.priority,
            opening: self.request.bound.is_none(),
            candidates: &self.candidates,
            deadline: self.start_deadline,
            bytes: PACKET_BYTES,
        }
    }
}

/// Gate of one service, which has a single shard here.
#[derive(Debug)]
struct Shard {
    gate: Box<dyn Gate>,
    hosts: Vec<Ipv4Addr>,
    waiting: Map<TicketId, usize>,
}

/// Dispatches whole requests through one gate for each service.
#[derive(Debug)]
pub struct Dispatcher {
    seed: u64,
    shards: Vec<Shard>,
    pending: Map<usize, Pending>,
    /// Longest time in the queue for each priority.
    queue_timeouts: Vec<Duration>,
}

impl Dispatcher {
    /// Returns a dispatcher with a gate of `policy` for each of `services` services.
    #[must_use]
    pub fn new(policy: Policy, seed: u64, services: usize) -> Self {
        let shard = |_| Shard { gate: policy.gate(seed), hosts: Vec::new(), waiting: map::seeded(seed) };
        let queue_timeouts =
            priorities().iter().map(|priority| Duration::from_millis(priority.queue_ms.into())).collect();
        Self { seed, shards: (0..services).map(shard).collect(), pending: map::seeded(seed), queue_timeouts }
    }

    /// Returns the hosts that may take a request, in the order of highest-random-weight hashing of its flow.
    fn candidates(&self, request: &Request) -> Vec<Ipv4Addr> {
        if let Some(host) = request.bound {
            return vec![host];
        }
        let mut hosts = self.shards[request.service].hosts.clone();
        hosts.sort_by_cached_key(|host| map::hash(self.seed, &(request.flow, host)));
        hosts
    }

    fn pending(&self, now: Time, request: &Request) -> Pending {
        let start_deadline = request.deadline.min(now + self.queue_timeouts[request.priority]);
        Pending { request: *request, candidates: self.candidates(request), start_deadline, started: now }
    }

    fn decide(&mut self, now: Time, decision: Decision, mut pending: Pending, outputs: &mut Vec<Output>) {
        let id = pending.request.id;
        match decision {
            Decision::Start(host) => {
                pending.started = now;
                outputs.push(Output::Forward(id, host));
            }
            Decision::Wait(ticket) => {
                self.shards[pending.request.service].waiting.insert(ticket, id);
            }
            Decision::Refuse(_) => {
                outputs.push(refusal(&pending.request));
                return;
            }
        }
        self.pending.insert(id, pending);
    }

    fn process_departures(&mut self, now: Time, service: usize, outputs: &mut Vec<Output>) {
        while let Some(departure) = self.shards[service].gate.next(now) {
            let (Departure::Start(ticket, _) | Departure::Expire(ticket)) = departure;
            let Some(id) = self.shards[service].waiting.remove(&ticket) else {
                continue;
            };
            match departure {
                Departure::Start(_, host) => {
                    if let Some(pending) = self.pending.get_mut(&id) {
                        pending.started = now;
                    }
                    outputs.push(Output::Forward(id, host));
                }
                Departure::Expire(_) => {
                    outputs.extend(self.pending.remove(&id).map(|pending| refusal(&pending.request)));
                }
            }
        }
    }
}

const fn refusal(request: &Request) -> Output {
    if request.bound.is_some() { Output::Drop(request.id) } else { Output::Refuse(request.id) }
}

impl Balancers for Dispatcher {
    fn set_hosts(&mut self, now: Time, service: usize, hosts: &[Host], outputs: &mut Vec<Output>) {
        self.shards[service].hosts = hosts.iter().map(|host| host.address).collect();
        self.shards[service].gate.set_hosts(now, hosts);
        self.process_departures(now, service, outputs);
    }

    fn establish(&mut self, now: Time, request: &Request) -> Option<Ipv4Addr> {
        let pending = self.pending(now, request);
        let gate = &mut self.shards[request.service].gate;
        let Decision::Start(host) = gate.offer(now, &pending.ticket()) else {
            return None;
        };
        gate.finish(now, host, request.priority, End::Closed);
        gate.connect(host);
        Some(host)
    }

    fn request(&mut self, now: Time, request: &Request, outputs: &mut Vec<Output>) {
        let pending = self.pending(now, request);
        let decision = self.shards[request.service].gate.offer(now, &pending.ticket());
        self.decide(now, decision, pending, outputs);
        self.process_departures(now, request.service, outputs);
    }

    fn signal(&mut self, now: Time, request: usize, host: Ipv4Addr, signal: Signal, outputs: &mut Vec<Output>) {
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        let (service, priority, started) = (pending.request.service, pending.request.priority, pending.started);
        let gate = &mut self.shards[service].gate;
        match signal {
            Signal::Accepted => {
                gate.connect(host);
                return;
            }
            Signal::Answered => gate.finish(now, host, priority, End::Answered(started)),
            Signal::Reset => gate.finish(now, host, priority, End::Closed),
            Signal::Shed => gate.finish(now, host, priority, End::Shed),
            Signal::Unanswered => gate.finish(now, host, priority, End::Unanswered),
        }
        if let Some(pending) = self.pending.remove(&request)
            && matches!(signal, Signal::Shed | Signal::Unanswered)
        {
            let decision = self.shards[service].gate.retry(now, &pending.ticket(), host);
            self.decide(now, decision, pending, outputs);
        }
        self.process_departures(now, service, outputs);
    }

    fn close(&mut self, now: Time, service: usize, host: Ipv4Addr, outputs: &mut Vec<Output>) {
        self.shards[service].gate.disconnect(host);
        self.process_departures(now, service, outputs);
    }

    fn tick(&mut self, now: Time, outputs: &mut Vec<Output>) {
        for service in 0..self.shards.len() {
            self.process_departures(now, service, outputs);
        }
    }

    fn deadline(&self) -> Time {
        self.shards.iter().map(|shard| shard.gate.deadline()).min().unwrap_or(Time::NEVER)
    }
}
