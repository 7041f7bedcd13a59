//! A consumer's flow for one request.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::host::pattern;
use super::packet::{ACK, FIN, Packet, RST, SYN};
use super::repeat_after;

/// When copies of an opening are sent.
const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];

/// When an opening without an answer is given up.
const GIVE_UP: Duration = Duration::from_millis(1400);

/// First sequence number of the consumer's end.
const FIRST_SEQ: u32 = 5000;

/// How a try ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
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
pub struct Try {
    consumer: SocketAddrV4,
    route: SocketAddrV4,
    id: u64,
    started: Instant,
    copies: u32,
    /// Sequence number and echo of the host's end once it answered.
    peer: Option<(u32, u32)>,
    request: (Instant, u32),
    next: u32,
    parts: BTreeMap<u32, Vec<u8>>,
}

impl Try {
    /// Returns a try and its opening.
    #[must_use]
    pub fn start(now: Instant, consumer: SocketAddrV4, route: SocketAddrV4, id: u64) -> (Self, Vec<u8>) {
        let (copies, peer, request, next, parts) = (0, None, (now, 0), 0, BTreeMap::new());
        let this = Self { consumer, route, id, started: now, copies, peer, request, next, parts };
        let opening = this.packet(SYN, 0, FIRST_SEQ, 0, &[]);
        (this, opening)
    }

    /// Takes a packet for this flow. Packets to send are added to `out`.
    pub fn datagram(&mut self, now: Instant, bytes: &[u8], out: &mut Vec<Vec<u8>>) -> Option<End> {
        if Packet::is_reset_of_system(bytes) {
            return Some(if self.peer.is_some() { End::ResetBySystem } else { End::Unopened });
        }
        let (packet, right) = Packet::decode(bytes)?;
        if !right {
            return Some(End::Wrong);
        }
        if packet.has(RST) {
            return Some(if self.peer.is_some() { End::ResetByHost } else { End::Unopened });
        }
        if packet.has(SYN) {
            if self.peer.is_none() {
                self.next = packet.seq.wrapping_add(1);
                self.peer = Some((self.next, packet.echo));
                self.request = (now + repeat_after(0), 0);
                out.push(self.ask());
            }
            return None;
        }
        let (first, _) = self.peer?;
        self.peer = Some((first, packet.echo));
        if packet.data.is_empty() {
            return None;
        }
        self.parts.insert(packet.seq, packet.data);
        while let Some(part) = self.parts.get(&self.next) {
            self.next = self.next.wrapping_add(u32::try_from(part.len()).unwrap_or_default());
        }
        out.push(self.packet(ACK, packet.echo, FIRST_SEQ + 9, self.next, &[]));
        let end = self.complete(first)?;
        out.push(self.packet(ACK | FIN, packet.echo, FIRST_SEQ + 9, self.next, &[]));
        Some(end)
    }

    /// Performs what is due.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Vec<u8>>) -> Option<End> {
        if self.peer.is_none() {
            let copies = COPIES.iter().filter(|after| now >= self.started + **after).count();
            if copies > self.copies as usize {
                self.copies += 1;
                out.push(self.packet(SYN, 0, FIRST_SEQ, self.copies, &[]));
            }
            return (now >= self.started + GIVE_UP).then_some(End::Unopened);
        }
        let (due, times) = self.request;
        if self.parts.is_empty() && now >= due {
            self.request = (now + repeat_after(times + 1), times + 1);
            out.push(self.ask());
        }
        None
    }

    fn ask(&self) -> Vec<u8> {
        let (first, echo) = self.peer.unwrap_or_default();
        self.packet(ACK, echo, FIRST_SEQ + 1, first, &self.id.to_be_bytes())
    }

    fn complete(&self, first: u32) -> Option<End> {
        let mut body = Vec::new();
        let mut at = first;
        while let Some(part) = self.parts.get(&at) {
            body.extend_from_slice(part);
            at = at.wrapping_add(u32::try_from(part.len()).unwrap_or_default());
        }
        let head = body.get(..13)?;
        let length = u32::from_be_bytes([head[9], head[10], head[11], head[12]]) as usize;
        let content = body.get(13..13 + length)?;
        let right = head[..8] == self.id.to_be_bytes()
            && body.len() == 13 + length
            && content.iter().enumerate().all(|(at, byte)| *byte == pattern(self.id, at));
        Some(match (right, head[8]) {
            (false, _) => End::Wrong,
            (true, 0) => End::Rejected,
            (true, _) => End::Answered,
        })
    }

    fn packet(&self, flags: u8, echo: u32, seq: u32, ack: u32, data: &[u8]) -> Vec<u8> {
        let (source, destination) = (self.consumer, self.route);
        Packet { source, destination, flags, echo, seq, ack, data: data.to_vec() }.encode()
    }
}
