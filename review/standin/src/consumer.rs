//! A consumer's end of a flow, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use crate::host::{FIRST_WAIT, LONGEST_WAIT};
use crate::packet::{ACK, FIN, Packet, RST, SYN};

/// What a flow is used for.
#[derive(Debug, Clone, Copy)]
pub struct Use {
    pub requests: u32,
    /// Pause between an answer and the next request.
    pub pause: Duration,
    pub work_ms: u32,
    pub size: u32,
    /// Time for one request, the consumer's time budget.
    pub budget: Duration,
}

/// How a flow ended for its consumer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Done,
    /// No answer to the opening in 1.4 s.
    Unopened,
    HostReset,
    SystemReset,
    OutOfTime,
}

#[derive(Debug, PartialEq, Eq)]
enum State {
    Opening(usize),
    Waiting,
    Pausing(Instant),
}

pub struct Flow {
    pub consumer: SocketAddrV4,
    pub route: SocketAddrV4,
    pub used_for: Use,
    pub started: Instant,
    /// The first sequence number of the host whose answer was accepted.
    pub host_isn: Option<u32>,
    pub answered: u32,
    /// The `ack` of the last packet sent.
    pub last_ack: u32,
    /// When the last request was sent first.
    pub request_at: Instant,
    echo: u32,
    next_seq: u32,
    expected: u32,
    state: State,
    resend: (Instant, u32),
    request: Vec<u8>,
    request_id: u64,
    received: Vec<u8>,
    early: BTreeMap<u32, Vec<u8>>,
    unacked: u32,
}

/// A packet that arrived for a flow, as far as a check needs it.
pub enum Seen {
    Nothing,
    /// An answer to the opening from another host than the one accepted.
    SecondAnswer,
    Answered(u64),
    End(End),
}

const ISN: u32 = 0x1122_3344;

impl Flow {
    pub fn open(
        now: Instant,
        consumer: SocketAddrV4,
        route: SocketAddrV4,
        used_for: Use,
        out: &mut Vec<Packet>,
    ) -> Self {
        let mut flow = Self {
            consumer,
            route,
            used_for,
            started: now,
            host_isn: None,
            answered: 0,
            last_ack: 0,
            request_at: now,
            echo: 0,
            next_seq: ISN,
            expected: 0,
            state: State::Opening(0),
            resend: (now + FIRST_WAIT, 0),
            request: Vec::new(),
            request_id: 0,
            received: Vec::new(),
            early: BTreeMap::new(),
            unacked: 0,
        };
        flow.send(SYN, &[], out);
        flow.next_seq = ISN.wrapping_add(1);
        flow
    }

    fn send(&mut self, flags: u8, data: &[u8], out: &mut Vec<Packet>) {
        let (echo, seq, ack) = (self.echo, self.next_seq, self.expected);
        self.last_ack = ack;
        self.unacked = 0;
        let data = data.to_vec();
        out.push(Packet { src: self.consumer, dst: self.route, flags, echo, seq, ack, data, no_sum: false });
    }

    fn send_request(&mut self, now: Instant, id: u64, out: &mut Vec<Packet>) {
        self.request_id = id;
        self.request = id.to_be_bytes().to_vec();
        self.request.extend(self.used_for.size.to_be_bytes());
        self.request.extend(self.used_for.work_ms.to_be_bytes());
        self.received.clear();
        self.state = State::Waiting;
        self.request_at = now;
        self.resend = (now + FIRST_WAIT, 0);
        let request = self.request.clone();
        self.send(ACK, &request, out);
    }

    /// Handles a packet for this flow. `next_id` is the id of the next request.
    pub fn packet(&mut self, now: Instant, packet: &Packet, next_id: &mut u64, out: &mut Vec<Packet>) -> Seen {
        if packet.has(RST) {
            return Seen::End(if packet.no_sum { End::SystemReset } else { End::HostReset });
        }
        // Each packet that an end sends carries the last echo that it received on the flow.
        self.echo = packet.echo;
        if packet.has(SYN) {
            if self.host_isn.is_none() {
                self.host_isn = Some(packet.seq);
                self.expected = packet.seq.wrapping_add(1);
                *next_id += 1;
                self.send_request(now, *next_id, out);
                return Seen::Nothing;
            }
            return if self.host_isn == Some(packet.seq) { Seen::Nothing } else { Seen::SecondAnswer };
        }
        if packet.data.is_empty() {
            return Seen::Nothing;
        }
        let ahead = packet.seq.wrapping_sub(self.expected) as i32;
        if ahead != 0 {
            if ahead > 0 {
                self.early.insert(packet.seq, packet.data.clone());
            }
            self.send(ACK, &[], out);
            return Seen::Nothing;
        }
        self.take(&packet.data);
        while let Some(data) = self.early.remove(&self.expected) {
            self.take(&data);
        }
        self.unacked += 1;
        if self.state != State::Waiting || self.received.len() < 12 + self.used_for.size as usize {
            if self.unacked >= 2 {
                self.send(ACK, &[], out);
            }
            return Seen::Nothing;
        }
        let id = u64::from_be_bytes(self.received[..8].try_into().unwrap());
        self.answered += 1;
        self.next_seq = self.next_seq.wrapping_add(16);
        if self.answered >= self.used_for.requests {
            self.send(ACK | FIN, &[], out);
            return Seen::End(End::Done);
        }
        self.send(ACK, &[], out);
        self.state = State::Pausing(now + self.used_for.pause);
        Seen::Answered(id)
    }

    fn take(&mut self, data: &[u8]) {
        self.received.extend(data);
        self.expected = self.expected.wrapping_add(data.len() as u32);
    }

    /// Sends what is due. Returns the end of the flow, if it ends.
    pub fn tick(&mut self, now: Instant, next_id: &mut u64, out: &mut Vec<Packet>) -> Option<End> {
        match self.state {
            State::Opening(copies) => {
                let since = now - self.started;
                if since >= Duration::from_millis(1400) {
                    return Some(End::Unopened);
                }
                let due = usize::from(since.as_millis() >= 200) + usize::from(since.as_millis() >= 600);
                if due > copies {
                    self.state = State::Opening(due);
                    // A copy of the opening; its `ack` counts the copies.
                    let (src, dst) = (self.consumer, self.route);
                    let ack = due as u32;
                    out.push(Packet { src, dst, flags: SYN, echo: 0, seq: ISN, ack, data: Vec::new(), no_sum: false });
                }
            }
            State::Waiting => {
                if now - self.request_at >= self.used_for.budget {
                    return Some(End::OutOfTime);
                }
                let (at, resends) = self.resend;
                if now >= at && self.received.is_empty() {
                    self.resend = (now + (FIRST_WAIT * (1 << (resends + 1).min(4))).min(LONGEST_WAIT), resends + 1);
                    let request = self.request.clone();
                    self.send(ACK, &request, out);
                }
            }
            State::Pausing(until) => {
                if now >= until {
                    *next_id += 1;
                    self.send_request(now, *next_id, out);
                }
            }
        }
        None
    }
}
