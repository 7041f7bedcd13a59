//! One flow of a caller.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};

use smoltcp::socket::tcp;

use crate::clock;
use crate::protocol::{Answer, Request, Verdict};
use crate::record::Outcome;
use crate::target::write;

/// Time for which an ended flow stays known, so that repeated packets of the other end are answered.
const LINGER: u64 = clock::SECOND;
/// Time after which an ending that the other end does not complete is given up.
const ENDING: u64 = 5 * clock::SECOND;

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
    Opening,
    /// Requests are sent.
    Open,
    /// The last answer arrived or the flow broke.
    Ending,
}

/// A request that was sent or waits for the handshake.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sent {
    /// The request.
    pub request: Request,
    /// When the caller began with it, in microseconds.
    pub start: u64,
}

/// What the caller has to do after a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
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
    pub opened: u64,
    /// Openings so far.
    pub tries: u32,
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
    ended: u64,
    inbound: VecDeque<u8>,
    outbound: VecDeque<u8>,
    outstanding: VecDeque<Sent>,
    outcomes: Vec<(Sent, Outcome)>,
}

impl Flow {
    /// Returns a flow whose first request is `first`.
    #[must_use]
    pub fn new(now: u64, kind: Kind, service: usize, first: Sent) -> Self {
        Self {
            local: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
            service,
            kind,
            phase: Phase::Opening,
            opened: now,
            tries: 0,
            established: false,
            broken: None,
            answered: 0,
            pause: 0,
            due: 0,
            timer: u64::MAX,
            next_send: 0,
            ended: 0,
            inbound: VecDeque::new(),
            outbound: VecDeque::new(),
            outstanding: VecDeque::from([first]),
            outcomes: Vec::new(),
        }
    }

    /// Notes that an opening is sent from `local`.
    pub const fn connect(&mut self, now: u64, local: SocketAddrV4, timeout: u64) {
        self.local = local;
        self.tries += 1;
        self.due = now + timeout;
        self.timer = u64::MAX;
    }

    /// Adds a request to the outstanding ones.
    pub fn send(&mut self, sent: Sent) {
        self.outbound.extend(sent.request.encode());
        self.outstanding.push_back(sent);
    }

    /// Moves bytes to the socket.
    pub fn pump(&mut self, socket: &mut tcp::Socket<'_>) {
        if self.phase == Phase::Open {
            write(&mut self.outbound, socket);
        }
    }

    /// Takes the requests whose outcome became known.
    pub fn outcomes(&mut self) -> Vec<(Sent, Outcome)> {
        std::mem::take(&mut self.outcomes)
    }

    /// Gives all outstanding requests the same outcome.
    pub fn fail(&mut self, outcome: Outcome) {
        self.outcomes.extend(self.outstanding.drain(..).map(|sent| (sent, outcome)));
    }

    /// Returns true when repeated packets of the other end are no longer expected.
    #[must_use]
    pub const fn settled(&self, now: u64) -> bool {
        now >= self.ended + LINGER
    }

    /// Looks at the socket and the time. `ending` tells long flows to finish.
    pub fn step(&mut self, now: u64, ending: bool, timeout: u64, socket: &mut tcp::Socket<'_>) -> Next {
        match self.phase {
            Phase::Opening => self.step_opening(now, timeout, socket),
            Phase::Open => self.step_open(now, ending, timeout, socket),
            Phase::Ending => self.step_ending(now, socket),
        }
    }

    fn step_opening(&mut self, now: u64, timeout: u64, socket: &mut tcp::Socket<'_>) -> Next {
        match socket.state() {
            tcp::State::Closed => Next::Refused,
            tcp::State::SynSent | tcp::State::SynReceived if now >= self.due => {
                self.fail(Outcome::Timeout);
                self.end(now, socket)
            }
            tcp::State::SynSent | tcp::State::SynReceived => Next::Keep,
            _ => {
                self.established = true;
                self.phase = Phase::Open;
                let requests: Vec<u8> = self.outstanding.iter().flat_map(|sent| sent.request.encode()).collect();
                self.outbound.extend(requests);
                self.step_open(now, false, timeout, socket)
            }
        }
    }

    fn step_open(&mut self, now: u64, ending: bool, timeout: u64, socket: &mut tcp::Socket<'_>) -> Next {
        self.read(socket);
        if !self.take_answers(now) {
            return self.break_off(now, Outcome::WrongAnswer, socket);
        }
        let Some(oldest) = self.outstanding.front().map(|sent| sent.start) else {
            return self.step_idle(now, ending, socket);
        };
        if !socket.may_recv() {
            return self.break_off(now, Outcome::Reset, socket);
        }
        if now >= oldest + timeout {
            return self.break_off(now, Outcome::Timeout, socket);
        }
        self.due = oldest + timeout;
        Next::Keep
    }

    fn step_idle(&mut self, now: u64, ending: bool, socket: &mut tcp::Socket<'_>) -> Next {
        if self.kind == Kind::Short || ending {
            return self.end(now, socket);
        }
        if !socket.may_recv() {
            return self.break_off(now, Outcome::Reset, socket);
        }
        self.due = self.next_send;
        if now >= self.next_send { Next::Send } else { Next::Keep }
    }

    fn step_ending(&mut self, now: u64, socket: &tcp::Socket<'_>) -> Next {
        let closed = matches!(socket.state(), tcp::State::Closed | tcp::State::TimeWait);
        if (closed && self.settled(now)) || now >= self.ended + ENDING {
            return Next::Remove;
        }
        self.due = self.ended + if closed { LINGER } else { ENDING };
        Next::Keep
    }

    fn read(&mut self, socket: &mut tcp::Socket<'_>) {
        let mut buffer = [0; 4096];
        while let Ok(length @ 1..) = socket.recv_slice(&mut buffer) {
            self.inbound.extend(&buffer[..length]);
        }
    }

    /// Checks the answers that arrived, in any order; returns false when one is wrong.
    fn take_answers(&mut self, now: u64) -> bool {
        loop {
            let answer = match Answer::decode(&mut self.inbound) {
                Ok(Some(answer)) => answer,
                Ok(None) => return true,
                Err(_) => return false,
            };
            let place = self.outstanding.iter().position(|sent| sent.request.id == answer.id);
            let Some(sent) = place.and_then(|place| self.outstanding.remove(place)) else { return false };
            let outcome = match answer.check(&sent.request) {
                Verdict::Correct => Outcome::Answered,
                Verdict::Expired => Outcome::Expired,
                Verdict::Wrong => Outcome::WrongAnswer,
            };
            self.outcomes.push((sent, outcome));
            if outcome == Outcome::WrongAnswer {
                return false;
            }
            self.answered += u64::from(outcome == Outcome::Answered);
            self.next_send = now + self.pause;
        }
    }

    fn break_off(&mut self, now: u64, outcome: Outcome, socket: &mut tcp::Socket<'_>) -> Next {
        self.broken = Some(outcome);
        self.fail(outcome);
        socket.abort();
        self.end(now, socket)
    }

    fn end(&mut self, now: u64, socket: &mut tcp::Socket<'_>) -> Next {
        // An opening that got no answer is aborted; the reset removes what a target may have accepted.
        if self.established {
            socket.close();
        } else {
            socket.abort();
        }
        self.phase = Phase::Ending;
        self.ended = now;
        self.due = now + LINGER;
        Next::Ended
    }
}
