//! State machine of one flow at its caller.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};

use smoltcp::socket::tcp;

use crate::clock;
use crate::protocol::{Request, Response, Verdict};
use crate::record::Outcome;
use crate::target::fill_send_buffer;

/// Time for which a closed flow is kept so that it can answer packets that the peer retransmits, in microseconds.
const LINGER: u64 = clock::SECOND;
/// Time after which a flow is removed even if the peer does not complete the close, in microseconds.
const CLOSE_TIMEOUT: u64 = 5 * clock::SECOND;

/// Kind of a flow, which determines how long it lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Carries one request.
    Short,
    /// Sends requests with pauses until the run ends.
    Long,
}

/// Phase of the lifecycle of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The handshake is in progress.
    Connecting,
    /// The handshake completed and requests can be sent.
    Established,
    /// The flow ended after its last response, a failure or a handshake timeout, and lingers.
    Closing,
}

/// A request that has no outcome yet: it was sent or waits for the end of the handshake.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exchange {
    /// The request.
    pub request: Request,
    /// When the caller started the request, in microseconds.
    pub start: u64,
}

/// Action that the caller has to take after [`Flow::step`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Keep the flow unchanged.
    Keep,
    /// Send the next batch of requests.
    Send,
    /// Retry or record the flow, because its SYN was answered with a reset.
    Refused,
    /// Record the flow, because it ended. It still lingers.
    Ended,
    /// Remove the flow.
    Remove,
}

/// A flow of a caller.
#[derive(Debug)]
pub struct Flow {
    /// Endpoint of the caller.
    pub local: SocketAddrV4,
    /// Index of the service in the settings.
    pub service: usize,
    /// Kind of the flow.
    pub kind: Kind,
    /// Current phase.
    pub phase: Phase,
    /// When the first connection attempt was made.
    pub opened_at: u64,
    /// Number of connection attempts so far.
    pub attempts: u32,
    /// True once the handshake completed.
    pub established: bool,
    /// Why the flow broke after its handshake, if it did.
    pub broken: Option<Outcome>,
    /// Number of requests that got a correct response.
    pub answered: u64,
    /// Pause between the response to the outstanding batch and the next batch.
    pub pause: u64,
    /// When [`Flow::step`] has to be called even if no packet arrives.
    pub due: u64,
    /// When the timer of the flow fires, [`u64::MAX`] if none is set.
    pub timer: u64,
    next_send: u64,
    closed_at: u64,
    inbound: VecDeque<u8>,
    outbound: VecDeque<u8>,
    outstanding: VecDeque<Exchange>,
    outcomes: Vec<(Exchange, Outcome)>,
}

impl Flow {
    /// Returns a flow whose first request is `first`.
    #[must_use]
    pub fn new(now: u64, kind: Kind, service: usize, first: Exchange) -> Self {
        Self {
            local: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
            service,
            kind,
            phase: Phase::Connecting,
            opened_at: now,
            attempts: 0,
            established: false,
            broken: None,
            answered: 0,
            pause: 0,
            due: 0,
            timer: u64::MAX,
            next_send: 0,
            closed_at: 0,
            inbound: VecDeque::new(),
            outbound: VecDeque::new(),
            outstanding: VecDeque::from([first]),
            outcomes: Vec::new(),
        }
    }

    /// Records a connection attempt from `local`.
    pub const fn connect(&mut self, now: u64, local: SocketAddrV4, timeout: u64) {
        self.local = local;
        self.attempts += 1;
        self.due = now + timeout;
        self.timer = u64::MAX;
    }

    /// Queues a request for sending and adds it to the outstanding ones.
    pub fn send(&mut self, exchange: Exchange) {
        self.outbound.extend(exchange.request.encode());
        self.outstanding.push_back(exchange);
    }

    /// Moves queued bytes into the send buffer of the socket.
    pub fn pump(&mut self, socket: &mut tcp::Socket<'_>) {
        if self.phase == Phase::Established {
            fill_send_buffer(&mut self.outbound, socket);
        }
    }

    /// Removes and returns the requests whose outcome became known.
    pub fn take_outcomes(&mut self) -> Vec<(Exchange, Outcome)> {
        std::mem::take(&mut self.outcomes)
    }

    /// Ends all outstanding requests with `outcome`.
    pub fn fail(&mut self, outcome: Outcome) {
        self.outcomes.extend(self.outstanding.drain(..).map(|exchange| (exchange, outcome)));
    }

    /// Returns true if the time for answering retransmitted packets is over.
    #[must_use]
    pub const fn linger_elapsed(&self, now: u64) -> bool {
        now >= self.closed_at + LINGER
    }

    /// Advances the flow by the state of its socket and the time. With `finish`, a long flow closes when it is idle.
    pub fn step(&mut self, now: u64, finish: bool, timeout: u64, socket: &mut tcp::Socket<'_>) -> Action {
        match self.phase {
            Phase::Connecting => self.step_connecting(now, timeout, socket),
            Phase::Established => self.step_established(now, finish, timeout, socket),
            Phase::Closing => self.step_closing(now, socket),
        }
    }

    fn step_connecting(&mut self, now: u64, timeout: u64, socket: &mut tcp::Socket<'_>) -> Action {
        match socket.state() {
            tcp::State::Closed => Action::Refused,
            tcp::State::SynSent | tcp::State::SynReceived if now >= self.due => {
                self.fail(Outcome::Timeout);
                self.close(now, socket)
            }
            tcp::State::SynSent | tcp::State::SynReceived => Action::Keep,
            _ => {
                self.established = true;
                self.phase = Phase::Established;
                let requests: Vec<u8> =
                    self.outstanding.iter().flat_map(|exchange| exchange.request.encode()).collect();
                self.outbound.extend(requests);
                self.step_established(now, false, timeout, socket)
            }
        }
    }

    fn step_established(&mut self, now: u64, finish: bool, timeout: u64, socket: &mut tcp::Socket<'_>) -> Action {
        self.read(socket);
        if !self.process_responses(now) {
            return self.abort(now, Outcome::WrongAnswer, socket);
        }
        let Some(oldest) = self.outstanding.front().map(|exchange| exchange.start) else {
            return self.step_idle(now, finish, socket);
        };
        if !socket.may_recv() {
            return self.abort(now, Outcome::Reset, socket);
        }
        if now >= oldest + timeout {
            return self.abort(now, Outcome::Timeout, socket);
        }
        self.due = oldest + timeout;
        Action::Keep
    }

    fn step_idle(&mut self, now: u64, finish: bool, socket: &mut tcp::Socket<'_>) -> Action {
        if self.kind == Kind::Short || finish {
            return self.close(now, socket);
        }
        if !socket.may_recv() {
            return self.abort(now, Outcome::Reset, socket);
        }
        self.due = self.next_send;
        if now >= self.next_send { Action::Send } else { Action::Keep }
    }

    fn step_closing(&mut self, now: u64, socket: &tcp::Socket<'_>) -> Action {
        let closed = matches!(socket.state(), tcp::State::Closed | tcp::State::TimeWait);
        if (closed && self.linger_elapsed(now)) || now >= self.closed_at + CLOSE_TIMEOUT {
            return Action::Remove;
        }
        self.due = self.closed_at + if closed { LINGER } else { CLOSE_TIMEOUT };
        Action::Keep
    }

    fn read(&mut self, socket: &mut tcp::Socket<'_>) {
        let mut buffer = [0; 4096];
        while let Ok(length @ 1..) = socket.recv_slice(&mut buffer) {
            self.inbound.extend(&buffer[..length]);
        }
    }

    /// Checks the responses that arrived, in any order. Returns false if one is wrong.
    fn process_responses(&mut self, now: u64) -> bool {
        loop {
            let response = match Response::decode(&mut self.inbound) {
                Ok(Some(response)) => response,
                Ok(None) => return true,
                Err(_) => return false,
            };
            let index = self.outstanding.iter().position(|exchange| exchange.request.id == response.id);
            let Some(exchange) = index.and_then(|index| self.outstanding.remove(index)) else { return false };
            let outcome = match response.check(&exchange.request) {
                Verdict::Correct => Outcome::Answered,
                Verdict::Expired => Outcome::Expired,
                Verdict::Wrong => Outcome::WrongAnswer,
            };
            self.outcomes.push((exchange, outcome));
            if outcome == Outcome::WrongAnswer {
                return false;
            }
            self.answered += u64::from(outcome == Outcome::Answered);
            self.next_send = now + self.pause;
        }
    }

    fn abort(&mut self, now: u64, outcome: Outcome, socket: &mut tcp::Socket<'_>) -> Action {
        self.broken = Some(outcome);
        self.fail(outcome);
        socket.abort();
        self.close(now, socket)
    }

    fn close(&mut self, now: u64, socket: &mut tcp::Socket<'_>) -> Action {
        // An unanswered connection attempt is aborted. The reset removes a connection that a target may have accepted.
        if self.established {
            socket.close();
        } else {
            socket.abort();
        }
        self.phase = Phase::Closing;
        self.closed_at = now;
        self.due = now + LINGER;
        Action::Ended
    }
}
