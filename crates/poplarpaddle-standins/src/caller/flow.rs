//! One flow of a caller.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};

use smoltcp::socket::tcp;

use crate::clock;
use crate::protocol::{Request, Response, Verdict};
use crate::record::Outcome;
use crate::target::fill_send_buffer;

/// Time for which an ended flow stays known, so that repeated packets of the other end are answered.
const LINGER: u64 = clock::SECOND;
/// Time after which an ending that the other end does not complete is given up.
const CLOSE_TIMEOUT: u64 = 5 * clock::SECOND;

/// How long a flow lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// One request.
    Short,
    /// Requests with pauses over the whole run.
    Long,
}

/// Where a flow is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The handshake is under way.
    Connecting,
    /// Requests are sent.
    Established,
    /// The last answer arrived or the flow broke.
    Closing,
}

/// A request that was sent or waits for the handshake.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exchange {
    /// The request.
    pub request: Request,
    /// When the caller began with it, in microseconds.
    pub start: u64,
}

/// What the caller has to do after a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Nothing.
    Keep,
    /// Send the next requests.
    Send,
    /// The opening was answered by a reset.
    Refused,
    /// The flow has ended; it still lingers.
    Ended,
    /// Forget the flow.
    Remove,
}

/// A flow.
#[derive(Debug)]
pub struct Flow {
    /// Caller's endpoint.
    pub local: SocketAddrV4,
    /// Index of the service.
    pub service: usize,
    /// How long it lasts.
    pub kind: Kind,
    /// Where it is in its life.
    pub phase: Phase,
    /// When it was first opened.
    pub opened_at: u64,
    /// Openings so far.
    pub attempts: u32,
    /// True once the handshake completed.
    pub established: bool,
    /// Why it broke.
    pub broken: Option<Outcome>,
    /// Answered requests.
    pub answered: u64,
    /// Pause after the outstanding requests.
    pub pause: u64,
    /// When it has to be looked at without a packet.
    pub due: u64,
    /// When its timer fires, [`u64::MAX`] when it has none.
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

    /// Notes that an opening is sent from `local`.
    pub const fn connect(&mut self, now: u64, local: SocketAddrV4, timeout: u64) {
        self.local = local;
        self.attempts += 1;
        self.due = now + timeout;
        self.timer = u64::MAX;
    }

    /// Adds a request to the outstanding ones.
    pub fn send(&mut self, exchange: Exchange) {
        self.outbound.extend(exchange.request.encode());
        self.outstanding.push_back(exchange);
    }

    /// Moves bytes to the socket.
    pub fn pump(&mut self, socket: &mut tcp::Socket<'_>) {
        if self.phase == Phase::Established {
            fill_send_buffer(&mut self.outbound, socket);
        }
    }

    /// Takes the requests whose outcome became known.
    pub fn take_outcomes(&mut self) -> Vec<(Exchange, Outcome)> {
        std::mem::take(&mut self.outcomes)
    }

    /// Gives all outstanding requests the same outcome.
    pub fn fail(&mut self, outcome: Outcome) {
        self.outcomes.extend(self.outstanding.drain(..).map(|exchange| (exchange, outcome)));
    }

    /// Returns true when repeated packets of the other end are no longer expected.
    #[must_use]
    pub const fn linger_elapsed(&self, now: u64) -> bool {
        now >= self.closed_at + LINGER
    }

    /// Looks at the socket and the time. `finish` tells long flows to finish.
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

    /// Checks the answers that arrived, in any order; returns false when one is wrong.
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
        // An opening that got no answer is aborted; the reset removes what a target may have accepted.
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
