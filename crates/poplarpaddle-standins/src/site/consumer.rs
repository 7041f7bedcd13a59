//! A consumer's flow for one request.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::host::response_byte;
use super::packet::{ACK, FIN, Packet, RST, SYN};
use super::retransmit_delay;

/// When copies of an opening are sent.
const SYN_RETRANSMITS: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];

/// When an opening without an answer is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1400);

/// First sequence number of the consumer's end.
const FIRST_SEQ: u32 = 5000;

/// How a try ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer of a run came.
    Answered,
    /// The host said that it did not run the request.
    Rejected,
    /// The flow never opened.
    Unopened,
    /// The flow was reset by its host after it had opened.
    ResetByHost,
    /// The flow was reset by the system after it had opened.
    ResetBySystem,
    /// An answer that is not the whole answer to this request.
    Wrong,
}

/// One try of a request.
#[derive(Debug)]
pub struct Attempt {
    consumer: SocketAddrV4,
    route: SocketAddrV4,
    id: u64,
    started: Instant,
    syn_retransmits: u32,
    /// Sequence number and echo of the host's end once it answered.
    peer: Option<(u32, u32)>,
    request_timer: (Instant, u32),
    next_seq: u32,
    segments: BTreeMap<u32, Vec<u8>>,
}

impl Attempt {
    /// Returns a try and its opening.
    #[must_use]
    pub fn start(now: Instant, consumer: SocketAddrV4, route: SocketAddrV4, id: u64) -> (Self, Vec<u8>) {
        let (syn_retransmits, peer, request_timer, next_seq, segments) = (0, None, (now, 0), 0, BTreeMap::new());
        let attempt =
            Self { consumer, route, id, started: now, syn_retransmits, peer, request_timer, next_seq, segments };
        let syn = attempt.packet(SYN, 0, FIRST_SEQ, 0, &[]);
        (attempt, syn)
    }

    /// Takes a packet for this flow. Packets to send are added to `out`.
    pub fn handle_datagram(&mut self, now: Instant, bytes: &[u8], out: &mut Vec<Vec<u8>>) -> Option<Outcome> {
        if Packet::is_system_reset(bytes) {
            return Some(if self.peer.is_some() { Outcome::ResetBySystem } else { Outcome::Unopened });
        }
        let (packet, valid) = Packet::decode(bytes)?;
        if !valid {
            return Some(Outcome::Wrong);
        }
        if packet.has(RST) {
            return Some(if self.peer.is_some() { Outcome::ResetByHost } else { Outcome::Unopened });
        }
        if packet.has(SYN) {
            if self.peer.is_none() {
                self.next_seq = packet.seq.wrapping_add(1);
                self.peer = Some((self.next_seq, packet.echo));
                self.request_timer = (now + retransmit_delay(0), 0);
                out.push(self.request_packet());
            }
            return None;
        }
        let (first, _) = self.peer?;
        self.peer = Some((first, packet.echo));
        if packet.data.is_empty() {
            return None;
        }
        self.segments.insert(packet.seq, packet.data);
        while let Some(segment) = self.segments.get(&self.next_seq) {
            self.next_seq = self.next_seq.wrapping_add(u32::try_from(segment.len()).unwrap_or_default());
        }
        out.push(self.packet(ACK, packet.echo, FIRST_SEQ + 9, self.next_seq, &[]));
        let outcome = self.parse_response(first)?;
        out.push(self.packet(ACK | FIN, packet.echo, FIRST_SEQ + 9, self.next_seq, &[]));
        Some(outcome)
    }

    /// Performs what is due.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Vec<u8>>) -> Option<Outcome> {
        if self.peer.is_none() {
            let syn_retransmits = SYN_RETRANSMITS.iter().filter(|after| now >= self.started + **after).count();
            if syn_retransmits > self.syn_retransmits as usize {
                self.syn_retransmits += 1;
                out.push(self.packet(SYN, 0, FIRST_SEQ, self.syn_retransmits, &[]));
            }
            return (now >= self.started + CONNECT_TIMEOUT).then_some(Outcome::Unopened);
        }
        let (due, retransmits) = self.request_timer;
        if self.segments.is_empty() && now >= due {
            self.request_timer = (now + retransmit_delay(retransmits + 1), retransmits + 1);
            out.push(self.request_packet());
        }
        None
    }

    fn request_packet(&self) -> Vec<u8> {
        let (first, echo) = self.peer.unwrap_or_default();
        self.packet(ACK, echo, FIRST_SEQ + 1, first, &self.id.to_be_bytes())
    }

    fn parse_response(&self, first: u32) -> Option<Outcome> {
        let mut body = Vec::new();
        let mut offset = first;
        while let Some(segment) = self.segments.get(&offset) {
            body.extend_from_slice(segment);
            offset = offset.wrapping_add(u32::try_from(segment.len()).unwrap_or_default());
        }
        let head = body.get(..13)?;
        let length = u32::from_be_bytes([head[9], head[10], head[11], head[12]]) as usize;
        let content = body.get(13..13 + length)?;
        let valid = head[..8] == self.id.to_be_bytes()
            && body.len() == 13 + length
            && content.iter().enumerate().all(|(offset, byte)| *byte == response_byte(self.id, offset));
        Some(match (valid, head[8]) {
            (false, _) => Outcome::Wrong,
            (true, 0) => Outcome::Rejected,
            (true, _) => Outcome::Answered,
        })
    }

    fn packet(&self, flags: u8, echo: u32, seq: u32, ack: u32, data: &[u8]) -> Vec<u8> {
        let (source, destination) = (self.consumer, self.route);
        Packet { source, destination, flags, echo, seq, ack, data: data.to_vec() }.encode()
    }
}
