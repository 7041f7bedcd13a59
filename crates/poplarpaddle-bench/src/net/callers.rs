//! Callers: flows with their requests, and what they are told.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use poplarpaddle::map::{self, Map};
use poplarpaddle::packet::{Direction, Flow, Kind};
use poplarpaddle::time::Time;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::history::{Observation, Request, decode_submission, encode_submission};
use super::packet::{Packet, SEGMENT_BYTES};

/// First retransmission of an opening; doubles each time.
const OPENING_RETRANSMIT: Duration = Duration::from_secs(1);

/// First retransmission of other packets; doubles each time.
const RETRANSMIT: Duration = Duration::from_millis(300);

/// Longest time between two retransmissions. Hosts use up to 120 s; a shorter time keeps runs short.
const MAX_RETRANSMIT: Duration = Duration::from_secs(4);

/// Retransmissions of a last packet before the caller forgets the flow.
const CLOSING_RETRANSMITS: u32 = 6;

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
    initial_sequence: u32,
    /// Sequence number of the next new byte.
    next_sequence: u32,
    /// Sequence number of the next byte of the target.
    next_expected: u32,
    /// The second segment of an answer came before the first.
    has_second_segment: bool,
    pending: VecDeque<usize>,
    in_flight: Option<usize>,
    unfinished: usize,
    is_standing: bool,
    retransmissions: u32,
    epoch: u32,
}

/// When to call [`Callers::repeat`].
#[derive(Debug, Clone, Copy)]
pub struct Timer {
    /// Time from now.
    pub delay: Duration,
    /// Index of the flow.
    pub flow: usize,
    /// Stamp to pass back.
    pub epoch: u32,
}

/// What the callers do.
#[derive(Debug, Default)]
pub struct Effects {
    /// Packets to the fabric.
    pub packets: Vec<Packet>,
    /// Timers to set.
    pub timers: Vec<Timer>,
}

/// All callers.
#[derive(Debug)]
pub struct Callers {
    /// Requests.
    pub requests: Vec<Request>,
    /// Flows that ended although neither end closed them, by cause.
    pub broken: BTreeMap<String, u64>,
    /// Answers that belong to another request.
    pub wrong_answers: u64,
    /// Flows that opened.
    pub opened: u64,
    /// A request that was refused or lost with its flow is sent again when that is safe.
    pub retries: bool,
    flows: Vec<Connection>,
    by_flow: Map<Flow, usize>,
    rng: Pcg64Mcg,
}

impl Callers {
    /// Returns no callers.
    #[must_use]
    pub fn new(seed: u64, retries: bool) -> Self {
        Self {
            requests: Vec::new(),
            broken: BTreeMap::new(),
            wrong_answers: 0,
            opened: 0,
            retries,
            flows: Vec::new(),
            by_flow: map::seeded(seed),
            rng: Pcg64Mcg::seed_from_u64(seed ^ 2),
        }
    }

    /// Adds a flow; standing ones stay open after their last request.
    pub fn add_flow(&mut self, flow: Flow, is_standing: bool) -> usize {
        self.flows.push(Connection {
            flow,
            phase: Phase::Idle,
            initial_sequence: 0,
            next_sequence: 0,
            next_expected: 0,
            has_second_segment: false,
            pending: VecDeque::new(),
            in_flight: None,
            unfinished: 0,
            is_standing,
            retransmissions: 0,
            epoch: 0,
        });
        self.flows.len() - 1
    }

    /// Adds a request; the caller of this function lets it arrive in time.
    pub fn add_request(&mut self, request: Request) -> usize {
        self.flows[request.flow].unfinished += 1;
        self.requests.push(request);
        self.requests.len() - 1
    }

    /// Returns the flow of a request.
    #[must_use]
    pub fn flow(&self, request: usize) -> Flow {
        self.flows[self.requests[request].flow].flow
    }

    /// Returns true when a flow belongs to a caller that opens it for one request.
    #[must_use]
    pub fn is_short_lived(&self, flow: &Flow) -> bool {
        self.by_flow.get(flow).is_some_and(|&index| !self.flows[index].is_standing)
    }

    /// Returns the number of requests on flows that still wait for an answer.
    #[must_use]
    pub fn unanswered_flows(&self) -> usize {
        self.flows.iter().filter(|connection| connection.phase == Phase::Open && connection.in_flight.is_some()).count()
    }

    /// Opens a flow that sends nothing.
    pub fn open_idle_flow(&mut self, index: usize, effects: &mut Effects) {
        self.open(index, effects);
    }

    /// A request arrives.
    pub fn submit(&mut self, now: Time, request: usize, effects: &mut Effects) {
        self.requests[request].arrived = now;
        let index = self.requests[request].flow;
        self.flows[index].pending.push_back(request);
        match self.flows[index].phase {
            Phase::Idle | Phase::Done => self.open(index, effects),
            Phase::Open => self.send_next(index, effects),
            Phase::Opening | Phase::Closing => {}
        }
    }

    fn open(&mut self, index: usize, effects: &mut Effects) {
        let first = self.rng.random::<u32>().max(1);
        let connection = &mut self.flows[index];
        self.by_flow.insert(connection.flow, index);
        connection.phase = Phase::Opening;
        connection.initial_sequence = first;
        connection.next_sequence = first.wrapping_add(1);
        connection.next_expected = 0;
        connection.has_second_segment = false;
        connection.retransmissions = 0;
        connection.epoch += 1;
        connection.send(index, effects);
    }

    /// Sends the next request, or closes the flow after the last one.
    fn send_next(&mut self, index: usize, effects: &mut Effects) {
        let connection = &mut self.flows[index];
        if connection.in_flight.is_some() || connection.phase != Phase::Open {
            return;
        }
        connection.retransmissions = 0;
        connection.epoch += 1;
        if let Some(request) = connection.pending.pop_front() {
            connection.in_flight = Some(request);
            self.requests[request].attempts += 1;
            let submission = encode_submission(request, self.requests[request].attempts);
            connection.send_request(index, submission, effects);
        } else if connection.unfinished == 0 && !connection.is_standing {
            connection.phase = Phase::Closing;
            connection.send(index, effects);
        }
    }

    /// Repeats what has no answer.
    pub fn retransmit(&mut self, now: Time, timer: Timer, effects: &mut Effects) {
        let connection = &mut self.flows[timer.flow];
        if connection.epoch != timer.epoch {
            return;
        }
        connection.retransmissions += 1;
        match connection.phase {
            Phase::Opening
                if connection.pending.front().is_some_and(|&request| now.reached(self.requests[request].deadline)) =>
            {
                self.give_up(timer.flow);
            }
            Phase::Closing if connection.retransmissions > CLOSING_RETRANSMITS => connection.phase = Phase::Done,
            Phase::Open => {
                if let Some(request) = connection.in_flight {
                    let submission = encode_submission(request, self.requests[request].attempts);
                    connection.send_request(timer.flow, submission, effects);
                }
            }
            _ => connection.send(timer.flow, effects),
        }
    }

    /// The opening got no answer until the deadline of its request.
    fn give_up(&mut self, index: usize) {
        let connection = &mut self.flows[index];
        connection.phase = Phase::Done;
        if connection.pending.pop_front().is_some() {
            connection.unfinished -= 1;
        }
    }

    /// An opening was refused with the claim that nothing ran.
    pub fn handle_refusal(&mut self, now: Time, opening: &Packet) -> Option<usize> {
        let index = *self.by_flow.get(&opening.flow)?;
        let connection = &mut self.flows[index];
        if connection.phase != Phase::Opening || connection.initial_sequence != opening.sequence {
            return None;
        }
        connection.phase = Phase::Idle;
        connection.epoch += 1;
        let request = *connection.pending.front()?;
        // The claim covers the submission that would have followed, and every earlier one on this connection.
        let attempt = self.requests[request].attempts + 1;
        self.requests[request].observations.push((attempt, Observation::NotRun(now)));
        self.requests[request].attempts = attempt;
        connection.pending.pop_front();
        if self.retries {
            return Some(request);
        }
        connection.unfinished -= 1;
        None
    }

    /// A reset with this sequence number reaches a caller; returns a request to send again.
    pub fn handle_reset(&mut self, now: Time, flow: &Flow, sequence: u32, cause: &str) -> Option<usize> {
        let index = *self.by_flow.get(flow)?;
        let connection = &mut self.flows[index];
        if !matches!(connection.phase, Phase::Open | Phase::Closing) || connection.next_expected != sequence {
            return None;
        }
        if connection.phase == Phase::Open {
            *self.broken.entry(cause.to_owned()).or_insert(0) += 1;
        }
        connection.phase = Phase::Idle;
        connection.epoch += 1;
        let request = connection.in_flight.take()?;
        let attempts = self.requests[request].attempts;
        self.requests[request].observations.push((attempts, Observation::Unknown(now)));
        if self.retries && self.requests[request].idempotent {
            return Some(request);
        }
        connection.unfinished -= 1;
        None
    }

    /// A packet of a target reaches a caller.
    pub fn receive(&mut self, now: Time, packet: &Packet, effects: &mut Effects) -> Option<usize> {
        if packet.kind == Kind::Reset {
            return self.handle_reset(now, &packet.flow, packet.sequence, "reset by a target");
        }
        let index = *self.by_flow.get(&packet.flow)?;
        let connection = &mut self.flows[index];
        match (packet.kind, connection.phase) {
            (Kind::Accept, Phase::Opening) if packet.acknowledgement == connection.next_sequence => {
                connection.phase = Phase::Open;
                connection.next_expected = packet.next_sequence();
                self.opened += 1;
                connection.send_ack(effects);
                self.send_next(index, effects);
            }
            (_, Phase::Opening) => {
                let reset = Packet::new(connection.flow, Direction::FromCaller, Kind::Reset);
                effects.packets.push(Packet { sequence: packet.acknowledgement, ..reset });
            }
            (Kind::Closing, Phase::Closing) => {
                connection.phase = Phase::Done;
                connection.epoch += 1;
                connection.next_expected = packet.next_sequence();
                connection.next_sequence = connection.next_sequence.wrapping_add(1);
                connection.send_ack(effects);
            }
            (Kind::Accept, Phase::Open | Phase::Closing) | (Kind::Closing, Phase::Done) => connection.send_ack(effects),
            (Kind::Data, Phase::Open) if packet.payload > 0 => self.handle_answer(now, index, packet, effects),
            _ => {}
        }
        None
    }

    fn handle_answer(&mut self, now: Time, index: usize, packet: &Packet, effects: &mut Effects) {
        let connection = &mut self.flows[index];
        let is_next_segment = packet.sequence == connection.next_expected;
        let is_second_segment = packet.sequence == connection.next_expected.wrapping_add(SEGMENT_BYTES) && packet.end;
        if !is_next_segment && !is_second_segment {
            return connection.send_ack(effects);
        }
        let Some(request) = connection.in_flight else { return };
        let (answered, _) = decode_submission(packet.submission);
        self.wrong_answers += u64::from(answered != request);
        if is_second_segment {
            connection.has_second_segment = true;
            return;
        }
        connection.next_expected = connection.next_expected.wrapping_add(SEGMENT_BYTES);
        if !packet.end && !connection.has_second_segment {
            return;
        }
        if connection.has_second_segment {
            connection.next_expected = connection.next_expected.wrapping_add(SEGMENT_BYTES);
        }
        connection.has_second_segment = false;
        connection.next_sequence = connection.next_sequence.wrapping_add(SEGMENT_BYTES);
        connection.in_flight = None;
        connection.unfinished -= 1;
        connection.send_ack(effects);
        let attempts = self.requests[request].attempts;
        self.requests[request].observations.push((attempts, Observation::Answer(now)));
        self.send_next(index, effects);
    }
}

impl Connection {
    fn packet(&self, kind: Kind) -> Packet {
        let acknowledgement = if kind == Kind::Opening { 0 } else { self.next_expected };
        let sequence = if kind == Kind::Opening { self.initial_sequence } else { self.next_sequence };
        Packet { sequence, acknowledgement, ..Packet::new(self.flow, Direction::FromCaller, kind) }
    }

    fn send_ack(&self, effects: &mut Effects) {
        effects.packets.push(self.packet(Kind::Data));
    }

    fn send(&self, index: usize, effects: &mut Effects) {
        let (kind, first) = match self.phase {
            Phase::Opening => (Kind::Opening, OPENING_RETRANSMIT),
            Phase::Closing => (Kind::Closing, RETRANSMIT),
            Phase::Idle | Phase::Open | Phase::Done => return,
        };
        effects.packets.push(Packet { end: kind == Kind::Closing, ..self.packet(kind) });
        self.set_timer(index, first, effects);
    }

    fn send_request(&self, index: usize, submission: u64, effects: &mut Effects) {
        effects.packets.push(Packet { payload: SEGMENT_BYTES, end: true, submission, ..self.packet(Kind::Data) });
        self.set_timer(index, RETRANSMIT, effects);
    }

    fn set_timer(&self, flow: usize, first: Duration, effects: &mut Effects) {
        let delay = first.saturating_mul(1 << self.retransmissions.min(6)).min(MAX_RETRANSMIT);
        effects.timers.push(Timer { delay, flow, epoch: self.epoch });
    }
}
