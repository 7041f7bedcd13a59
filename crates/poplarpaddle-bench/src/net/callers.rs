//! Callers with their flows and requests, and the results that they observe.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use poplarpaddle::map::{self, Map};
use poplarpaddle::packet::{Direction, Flow, Kind};
use poplarpaddle::time::Time;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::history::{Observation, Request, decode_submission, encode_submission};
use super::packet::{Packet, SEGMENT_BYTES};

/// Delay of the first retransmission of an opening; it doubles with each further one.
const OPENING_RETRANSMIT: Duration = Duration::from_secs(1);

/// Delay of the first retransmission of other packets; it doubles with each further one.
const RETRANSMIT: Duration = Duration::from_millis(300);

/// Maximum delay between two retransmissions. TCP stacks use up to 120 s; a lower maximum keeps runs short.
const MAX_RETRANSMIT: Duration = Duration::from_secs(4);

/// Number of retransmissions of a closing packet after which the caller forgets the flow.
const CLOSING_RETRANSMITS: u32 = 6;

/// Phase of a connection at its caller. `Idle` and `Done` connections are not open and can be opened again.
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
    /// Sequence number of the next byte to send.
    next_sequence: u32,
    /// Sequence number of the next byte expected from the target.
    next_expected: u32,
    /// Whether the second segment of an answer arrived before the first.
    has_second_segment: bool,
    /// Requests that wait to be sent.
    pending: VecDeque<usize>,
    /// Request that was sent and is not answered.
    in_flight: Option<usize>,
    /// Number of requests that have not ended. A flow closes when none are left, unless it is standing.
    unfinished: usize,
    is_standing: bool,
    /// Number of retransmissions of the last packet.
    retransmissions: u32,
    /// Increases when the caller has no use for the current retransmission timer any more, which is then ignored.
    epoch: u32,
}

/// Timer after which [`Callers::retransmit`] has to be called.
#[derive(Debug, Clone, Copy)]
pub struct Timer {
    /// Time until the timer fires.
    pub delay: Duration,
    /// Index of the flow.
    pub flow: usize,
    /// Epoch of the flow. The timer is ignored when the flow has entered another epoch before it fires.
    pub epoch: u32,
}

/// Packets and timers that a call to [`Callers`] produces.
#[derive(Debug, Default)]
pub struct Effects {
    /// Packets to send to the fabric.
    pub packets: Vec<Packet>,
    /// Timers to set.
    pub timers: Vec<Timer>,
}

/// All callers of a simulation.
#[derive(Debug)]
pub struct Callers {
    /// Requests with their histories.
    pub requests: Vec<Request>,
    /// Flows that ended although neither end closed them, by cause.
    pub broken: BTreeMap<String, u64>,
    /// Number of answers that belonged to another request.
    pub wrong_answers: u64,
    /// Number of flows that were opened.
    pub opened: u64,
    /// Whether callers retry a refused request, and an idempotent request whose flow was reset.
    pub retries: bool,
    flows: Vec<Connection>,
    by_flow: Map<Flow, usize>,
    rng: Pcg64Mcg,
}

impl Callers {
    /// Returns an empty set of callers.
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

    /// Adds a flow and returns its index. A standing flow stays open after its last request.
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

    /// Adds a request and returns its index. [`Callers::submit`] must be called for it later.
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

    /// Returns true when the flow is known and not standing, that is, its caller closes it after its last request.
    #[must_use]
    pub fn is_short_lived(&self, flow: &Flow) -> bool {
        self.by_flow.get(flow).is_some_and(|&index| !self.flows[index].is_standing)
    }

    /// Returns the number of open flows with an unanswered request.
    #[must_use]
    pub fn unanswered_flows(&self) -> usize {
        self.flows.iter().filter(|connection| connection.phase == Phase::Open && connection.in_flight.is_some()).count()
    }

    /// Opens a flow on which the caller sends no request.
    pub fn open_idle_flow(&mut self, index: usize, effects: &mut Effects) {
        self.open(index, effects);
    }

    /// Submits a request on its flow, which is opened if necessary.
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
        let initial_sequence = self.rng.random::<u32>().max(1);
        let connection = &mut self.flows[index];
        self.by_flow.insert(connection.flow, index);
        connection.phase = Phase::Opening;
        connection.initial_sequence = initial_sequence;
        connection.next_sequence = initial_sequence.wrapping_add(1);
        connection.next_expected = 0;
        connection.has_second_segment = false;
        connection.retransmissions = 0;
        connection.epoch += 1;
        connection.send(index, effects);
    }

    /// Sends the next request of a flow, or closes the flow after the last one.
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

    /// Retransmits the last packet of a flow if it is still unanswered.
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

    /// Abandons a flow whose opening got no answer before the deadline of its request.
    fn give_up(&mut self, index: usize) {
        let connection = &mut self.flows[index];
        connection.phase = Phase::Done;
        if connection.pending.pop_front().is_some() {
            connection.unfinished -= 1;
        }
    }

    /// Handles the refusal of an opening, which asserts that no request ran; returns a request to submit again.
    pub fn handle_refusal(&mut self, now: Time, opening: &Packet) -> Option<usize> {
        let index = *self.by_flow.get(&opening.flow)?;
        let connection = &mut self.flows[index];
        if connection.phase != Phase::Opening || connection.initial_sequence != opening.sequence {
            return None;
        }
        connection.phase = Phase::Idle;
        connection.epoch += 1;
        let request = *connection.pending.front()?;
        // The refusal covers the submission that would have followed and every earlier one on this connection.
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

    /// Handles a reset with this sequence number; returns a request to submit again.
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

    /// Handles a packet from a target; returns a request to submit again.
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
        let (kind, initial_delay) = match self.phase {
            Phase::Opening => (Kind::Opening, OPENING_RETRANSMIT),
            Phase::Closing => (Kind::Closing, RETRANSMIT),
            Phase::Idle | Phase::Open | Phase::Done => return,
        };
        effects.packets.push(Packet { end: kind == Kind::Closing, ..self.packet(kind) });
        self.set_timer(index, initial_delay, effects);
    }

    fn send_request(&self, index: usize, submission: u64, effects: &mut Effects) {
        effects.packets.push(Packet { payload: SEGMENT_BYTES, end: true, submission, ..self.packet(Kind::Data) });
        self.set_timer(index, RETRANSMIT, effects);
    }

    fn set_timer(&self, flow: usize, initial_delay: Duration, effects: &mut Effects) {
        let delay = initial_delay.saturating_mul(1 << self.retransmissions.min(6)).min(MAX_RETRANSMIT);
        effects.timers.push(Timer { delay, flow, epoch: self.epoch });
    }
}
