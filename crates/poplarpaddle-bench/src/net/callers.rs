//! Callers: flows with their requests, and what they are told.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use poplarpaddle::map::{self, Map};
use poplarpaddle::packet::{Direction, Flow, Kind};
use poplarpaddle::time::Time;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::history::{Told, Work, number, of_number};
use super::packet::{Packet, SIZE};

/// First retransmission of an opening; doubles each time.
const OPENING_REPEAT: Duration = Duration::from_secs(1);

/// First retransmission of other packets; doubles each time.
const REPEAT: Duration = Duration::from_millis(300);

/// Longest time between two retransmissions. Hosts use up to 120 s; a shorter time keeps runs short.
const MAX_REPEAT: Duration = Duration::from_secs(4);

/// Retransmissions of a last packet before the caller forgets the flow.
const CLOSING_REPEATS: u32 = 6;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Idle,
    Opening,
    Open,
    Closing,
    Done,
}

#[derive(Debug)]
struct Connection {
    flow: Flow,
    phase: Phase,
    first: u32,
    /// Sequence number of the next new byte.
    next: u32,
    /// Sequence number of the next byte of the target.
    received: u32,
    /// The second segment of an answer came before the first.
    is_ahead: bool,
    pending: VecDeque<usize>,
    current: Option<usize>,
    left: usize,
    is_standing: bool,
    repeats: u32,
    stamp: u32,
}

/// When to call [`Callers::repeat`].
#[derive(Debug, Clone, Copy)]
pub struct Timer {
    /// Time from now.
    pub wait: Duration,
    /// Index of the flow.
    pub flow: usize,
    /// Stamp to pass back.
    pub stamp: u32,
}

/// What the callers do.
#[derive(Debug, Default)]
pub struct Out {
    /// Packets to the fabric.
    pub packets: Vec<Packet>,
    /// Timers to set.
    pub timers: Vec<Timer>,
}

/// All callers.
#[derive(Debug)]
pub struct Callers {
    /// Requests.
    pub works: Vec<Work>,
    /// Flows that ended although neither end closed them, by cause.
    pub broken: BTreeMap<String, u64>,
    /// Answers that belong to another request.
    pub wrong_answers: u64,
    /// Flows that opened.
    pub opened: u64,
    /// A request that was refused or lost with its flow is sent again when that is safe.
    pub retries: bool,
    flows: Vec<Connection>,
    current: Map<Flow, usize>,
    rng: Pcg64Mcg,
}

impl Callers {
    /// Returns no callers.
    #[must_use]
    pub fn new(seed: u64, retries: bool) -> Self {
        Self {
            works: Vec::new(),
            broken: BTreeMap::new(),
            wrong_answers: 0,
            opened: 0,
            retries,
            flows: Vec::new(),
            current: map::seeded(seed),
            rng: Pcg64Mcg::seed_from_u64(seed ^ 2),
        }
    }

    /// Adds a flow; standing ones stay open after their last request.
    pub fn add_flow(&mut self, flow: Flow, is_standing: bool) -> usize {
        self.flows.push(Connection {
            flow,
            phase: Phase::Idle,
            first: 0,
            next: 0,
            received: 0,
            is_ahead: false,
            pending: VecDeque::new(),
            current: None,
            left: 0,
            is_standing,
            repeats: 0,
            stamp: 0,
        });
        self.flows.len() - 1
    }

    /// Adds a request; the caller of this function lets it arrive in time.
    pub fn add_work(&mut self, work: Work) -> usize {
        self.flows[work.flow].left += 1;
        self.works.push(work);
        self.works.len() - 1
    }

    /// Returns the flow of a request.
    #[must_use]
    pub fn flow(&self, work: usize) -> Flow {
        self.flows[self.works[work].flow].flow
    }

    /// Returns true when a flow belongs to a caller that opens it for one request.
    #[must_use]
    pub fn is_passing(&self, flow: &Flow) -> bool {
        self.current.get(flow).is_some_and(|&index| !self.flows[index].is_standing)
    }

    /// Returns the number of requests on flows that still wait for an answer.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.flows.iter().filter(|known| known.phase == Phase::Open && known.current.is_some()).count()
    }

    /// Opens a flow that sends nothing.
    pub fn open_idle(&mut self, index: usize, out: &mut Out) {
        self.open(index, out);
    }

    /// A request arrives.
    pub fn arrive(&mut self, now: Time, work: usize, out: &mut Out) {
        self.works[work].arrived = now;
        let index = self.works[work].flow;
        self.flows[index].pending.push_back(work);
        match self.flows[index].phase {
            Phase::Idle | Phase::Done => self.open(index, out),
            Phase::Open => self.advance(index, out),
            Phase::Opening | Phase::Closing => {}
        }
    }

    fn open(&mut self, index: usize, out: &mut Out) {
        let first = self.rng.random::<u32>().max(1);
        let known = &mut self.flows[index];
        self.current.insert(known.flow, index);
        known.phase = Phase::Opening;
        known.first = first;
        known.next = first.wrapping_add(1);
        known.received = 0;
        known.is_ahead = false;
        known.repeats = 0;
        known.stamp += 1;
        known.send(index, out);
    }

    /// Sends the next request, or closes the flow after the last one.
    fn advance(&mut self, index: usize, out: &mut Out) {
        let known = &mut self.flows[index];
        if known.current.is_some() || known.phase != Phase::Open {
            return;
        }
        known.repeats = 0;
        known.stamp += 1;
        if let Some(work) = known.pending.pop_front() {
            known.current = Some(work);
            self.works[work].attempts += 1;
            let request = number(work, self.works[work].attempts);
            known.send_request(index, request, out);
        } else if known.left == 0 && !known.is_standing {
            known.phase = Phase::Closing;
            known.send(index, out);
        }
    }

    /// Repeats what has no answer.
    pub fn repeat(&mut self, now: Time, timer: Timer, out: &mut Out) {
        let known = &mut self.flows[timer.flow];
        if known.stamp != timer.stamp {
            return;
        }
        known.repeats += 1;
        match known.phase {
            Phase::Opening if known.pending.front().is_some_and(|&work| now.reached(self.works[work].deadline)) => {
                self.give_up(timer.flow);
            }
            Phase::Closing if known.repeats > CLOSING_REPEATS => known.phase = Phase::Done,
            Phase::Open => {
                if let Some(work) = known.current {
                    let request = number(work, self.works[work].attempts);
                    known.send_request(timer.flow, request, out);
                }
            }
            _ => known.send(timer.flow, out),
        }
    }

    /// The opening got no answer until the deadline of its request.
    fn give_up(&mut self, index: usize) {
        let known = &mut self.flows[index];
        known.phase = Phase::Done;
        if known.pending.pop_front().is_some() {
            known.left -= 1;
        }
    }

    /// An opening was refused with the claim that nothing ran.
    pub fn refuse(&mut self, now: Time, opening: &Packet) -> Option<usize> {
        let index = *self.current.get(&opening.flow)?;
        let known = &mut self.flows[index];
        if known.phase != Phase::Opening || known.first != opening.sequence {
            return None;
        }
        known.phase = Phase::Idle;
        known.stamp += 1;
        let work = *known.pending.front()?;
        // The claim covers the submission that would have followed, and every earlier one on this connection.
        let attempt = self.works[work].attempts + 1;
        self.works[work].told.push((attempt, Told::NotRun(now)));
        self.works[work].attempts = attempt;
        known.pending.pop_front();
        if self.retries {
            return Some(work);
        }
        known.left -= 1;
        None
    }

    /// A reset with this sequence number reaches a caller; returns a request to send again.
    pub fn reset(&mut self, now: Time, flow: &Flow, sequence: u32, cause: &str) -> Option<usize> {
        let index = *self.current.get(flow)?;
        let known = &mut self.flows[index];
        if !matches!(known.phase, Phase::Open | Phase::Closing) || known.received != sequence {
            return None;
        }
        if known.phase == Phase::Open {
            *self.broken.entry(cause.to_owned()).or_insert(0) += 1;
        }
        known.phase = Phase::Idle;
        known.stamp += 1;
        let work = known.current.take()?;
        let attempts = self.works[work].attempts;
        self.works[work].told.push((attempts, Told::Unknown(now)));
        if self.retries && self.works[work].idempotent {
            return Some(work);
        }
        known.left -= 1;
        None
    }

    /// A packet of a target reaches a caller.
    pub fn packet(&mut self, now: Time, packet: &Packet, out: &mut Out) -> Option<usize> {
        if packet.kind == Kind::Reset {
            return self.reset(now, &packet.flow, packet.sequence, "reset by a target");
        }
        let index = *self.current.get(&packet.flow)?;
        let known = &mut self.flows[index];
        match (packet.kind, known.phase) {
            (Kind::Accept, Phase::Opening) if packet.acknowledgement == known.next => {
                known.phase = Phase::Open;
                known.received = packet.after();
                self.opened += 1;
                known.acknowledge(out);
                self.advance(index, out);
            }
            (_, Phase::Opening) => {
                let reset = Packet::new(known.flow, Direction::FromCaller, Kind::Reset);
                out.packets.push(Packet { sequence: packet.acknowledgement, ..reset });
            }
            (Kind::Closing, Phase::Closing) => {
                known.phase = Phase::Done;
                known.stamp += 1;
                known.received = packet.after();
                known.next = known.next.wrapping_add(1);
                known.acknowledge(out);
            }
            (Kind::Accept, Phase::Open | Phase::Closing) | (Kind::Closing, Phase::Done) => known.acknowledge(out),
            (Kind::Data, Phase::Open) if packet.payload > 0 => self.answer(now, index, packet, out),
            _ => {}
        }
        None
    }

    fn answer(&mut self, now: Time, index: usize, packet: &Packet, out: &mut Out) {
        let known = &mut self.flows[index];
        let is_next = packet.sequence == known.received;
        let is_second = packet.sequence == known.received.wrapping_add(SIZE) && packet.end;
        if !is_next && !is_second {
            return known.acknowledge(out);
        }
        let Some(work) = known.current else { return };
        let (answered, _) = of_number(packet.request);
        self.wrong_answers += u64::from(answered != work);
        if is_second {
            known.is_ahead = true;
            return;
        }
        known.received = known.received.wrapping_add(SIZE);
        if !packet.end && !known.is_ahead {
            return;
        }
        if known.is_ahead {
            known.received = known.received.wrapping_add(SIZE);
        }
        known.is_ahead = false;
        known.next = known.next.wrapping_add(SIZE);
        known.current = None;
        known.left -= 1;
        known.acknowledge(out);
        let attempts = self.works[work].attempts;
        self.works[work].told.push((attempts, Told::Answer(now)));
        self.advance(index, out);
    }
}

impl Connection {
    fn packet(&self, kind: Kind) -> Packet {
        let acknowledgement = if kind == Kind::Opening { 0 } else { self.received };
        let sequence = if kind == Kind::Opening { self.first } else { self.next };
        Packet { sequence, acknowledgement, ..Packet::new(self.flow, Direction::FromCaller, kind) }
    }

    fn acknowledge(&self, out: &mut Out) {
        out.packets.push(self.packet(Kind::Data));
    }

    fn send(&self, index: usize, out: &mut Out) {
        let (kind, first) = match self.phase {
            Phase::Opening => (Kind::Opening, OPENING_REPEAT),
            Phase::Closing => (Kind::Closing, REPEAT),
            Phase::Idle | Phase::Open | Phase::Done => return,
        };
        out.packets.push(Packet { end: kind == Kind::Closing, ..self.packet(kind) });
        self.set_timer(index, first, out);
    }

    fn send_request(&self, index: usize, request: u64, out: &mut Out) {
        out.packets.push(Packet { payload: SIZE, end: true, request, ..self.packet(Kind::Data) });
        self.set_timer(index, REPEAT, out);
    }

    fn set_timer(&self, flow: usize, first: Duration, out: &mut Out) {
        let wait = first.saturating_mul(1 << self.repeats.min(6)).min(MAX_REPEAT);
        out.timers.push(Timer { wait, flow, stamp: self.stamp });
    }
}
