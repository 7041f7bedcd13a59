//! Consumer side of a flow, which carries one request.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::host::response_byte;
use super::packet::{ACK, FIN, Packet, RST, SYN};
use super::retransmit_delay;

/// Times after the first SYN at which it is retransmitted.
const SYN_RETRANSMITS: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];

/// Time after which a handshake without a reply is abandoned.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1400);

/// Initial sequence number of the consumer.
const FIRST_SEQ: u32 = 5000;

/// Outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The complete response arrived and says that the request ran.
    Answered,
    /// The host responded that it did not run the request.
    Rejected,
    /// The handshake did not complete.
    Unopened,
    /// The host reset the flow after the handshake.
    ResetByHost,
    /// The system under test reset the flow after the handshake.
    ResetBySystem,
    /// The response is incorrect, or a packet was altered.
    Wrong,
}

/// One attempt to send a request and receive its response.
#[derive(Debug)]
pub struct Attempt {
    consumer: SocketAddrV4,
    route: SocketAddrV4,
    id: u64,
    started: Instant,
    syn_retransmits: u32,
    /// First data sequence number of the host and its latest echo value, once the handshake completed.
    peer: Option<(u32, u32)>,
    /// When the request is retransmitted next, and how often it was retransmitted.
    request_timer: (Instant, u32),
    next_seq: u32,
    segments: BTreeMap<u32, Vec<u8>>,
}

impl Attempt {
    /// Returns an attempt and its first packet, the SYN.
    #[must_use]
    pub fn start(now: Instant, consumer: SocketAddrV4, route: SocketAddrV4, id: u64) -> (Self, Vec<u8>) {
        let (syn_retransmits, peer, request_timer, next_seq, segments) = (0, None, (now, 0), 0, BTreeMap::new());
        let attempt =
            Self { consumer, route, id, started: now, syn_retransmits, peer, request_timer, next_seq, segments };
        let syn = attempt.packet(SYN, 0, FIRST_SEQ, 0, &[]);
        (attempt, syn)
    }

    /// Handles a packet of this flow and appends the packets to send to `out`. Returns the outcome once it is known.
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
        // The SYN takes one sequence number and the request takes 8.
        out.push(self.packet(ACK, packet.echo, FIRST_SEQ + 9, self.next_seq, &[]));
        let outcome = self.parse_response(first)?;
        out.push(self.packet(ACK | FIN, packet.echo, FIRST_SEQ + 9, self.next_seq, &[]));
        Some(outcome)
    }

    /// Handles expired timers and appends the packets to send to `out`. Returns the outcome once it is known.
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

    /// Checks the response, which consists of the id (8 bytes), whether the request ran (1 byte), the length of the
    /// content (4 bytes) and the content. Returns `None` while it is incomplete.
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
