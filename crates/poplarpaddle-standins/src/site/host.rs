//! A host: accepts flows, runs requests in slots, answers consumers directly.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::packet::{ACK, FIN, MAX_DATA, Packet, RST, SYN};
use super::{Unacknowledged, retransmit_delay};

/// Requests that wait for a slot before further ones are rejected.
const QUEUE_LIMIT: usize = 12;

/// Times that a packet is sent again before the host gives the flow up.
const MAX_RETRANSMITS: u32 = 8;

/// A flow at the host, by consumer and route.
type Key = (SocketAddrV4, SocketAddrV4);

/// First sequence number of the host's end.
const FIRST_SEQ: u32 = 1000;

#[derive(Debug)]
struct Flow {
    /// Echo to repeat.
    echo: u32,
    /// Next sequence number of the consumer.
    expected_seq: u32,
    /// Next sequence number of the host.
    next_seq: u32,
    open: bool,
    pending: BTreeMap<u32, Unacknowledged>,
}

/// What a host does, in order: packets for consumers and events for the judge.
#[derive(Debug, Default)]
pub struct Output {
    /// Packets, to the consumer's address.
    pub packets: Vec<(SocketAddrV4, Vec<u8>)>,
    /// Requests that started, by identifier, with the route that they came through.
    pub started: Vec<(u64, SocketAddrV4)>,
    /// Packets that differ from what their sender wrote.
    pub altered: u64,
}

/// A host.
#[derive(Debug)]
pub struct Host {
    /// Identifier that packets carry in front.
    pub id: u64,
    /// Whether it takes part at all.
    pub alive: bool,
    slots: usize,
    service_time: Duration,
    response_size: usize,
    flows: BTreeMap<Key, Flow>,
    queue: VecDeque<(Key, u64)>,
    running: Vec<(Instant, Key, u64)>,
}

impl Host {
    /// Returns a host that runs `slots` requests at a time, each for `service_time`, and answers with `response_size` bytes.
    #[must_use]
    pub fn new(id: u64, slots: usize, service_time: Duration, response_size: usize) -> Self {
        let (flows, queue, running) = Default::default();
        Self { id, alive: true, slots, service_time, response_size, flows, queue, running }
    }

    /// Crashes: flows are forgotten.
    pub fn crash(&mut self) {
        self.alive = false;
        self.flows.clear();
        self.queue.clear();
        self.running.clear();
    }

    /// Takes a datagram.
    pub fn handle_datagram(&mut self, now: Instant, bytes: &[u8], output: &mut Output) {
        let Some((head, rest)) = bytes.split_first_chunk::<8>() else { return };
        let destination = u64::from_be_bytes(*head);
        if !self.alive || (destination != 0 && destination != self.id) {
            return;
        }
        let Some((packet, valid)) = Packet::decode(rest) else {
            output.altered += 1;
            return;
        };
        if !valid {
            output.altered += 1;
            return;
        }
        self.handle_packet(now, &packet, output);
        self.start_requests(now, output);
    }

    /// Performs what is due: ends of requests and repeats.
    pub fn tick(&mut self, now: Instant, output: &mut Output) {
        let (done, running) = std::mem::take(&mut self.running).into_iter().partition(|(end, ..)| *end <= now);
        self.running = running;
        let done: Vec<(Instant, Key, u64)> = done;
        for (_, key, id) in done {
            self.respond(now, key, id, true, output);
        }
        self.start_requests(now, output);
        for (key, flow) in &mut self.flows {
            for pending in flow.pending.values_mut().filter(|pending| pending.due <= now) {
                pending.retransmits += 1;
                pending.due = now + retransmit_delay(pending.retransmits);
                output.packets.push((key.0, pending.bytes.clone()));
            }
        }
        self.flows.retain(|_, flow| flow.pending.values().all(|pending| pending.retransmits <= MAX_RETRANSMITS));
    }

    fn handle_packet(&mut self, now: Instant, packet: &Packet, output: &mut Output) {
        let key = (packet.source, packet.destination);
        if packet.has(SYN) {
            if !packet.has(ACK) {
                self.accept(now, key, packet, output);
            }
            return;
        }
        let Some(flow) = self.flows.get_mut(&key) else {
            if !packet.has(RST) {
                send(key, RST, packet.echo, packet.ack, packet.seq, &[], output);
            }
            return;
        };
        if packet.has(RST) {
            self.flows.remove(&key);
            return;
        }
        if packet.ack <= FIRST_SEQ {
            // The handshake of another host.
            return;
        }
        flow.echo = packet.echo;
        flow.open = true;
        flow.pending.retain(|seq, _| *seq >= packet.ack);
        if packet.data.len() == 8 && packet.seq == flow.expected_seq {
            flow.expected_seq = flow.expected_seq.wrapping_add(8);
            let id = u64::from_be_bytes(packet.data[..8].try_into().unwrap_or_default());
            if self.queue.len() < QUEUE_LIMIT {
                self.queue.push_back((key, id));
            } else {
                self.respond(now, key, id, false, output);
            }
        }
        if packet.has(FIN) {
            self.flows.remove(&key);
            let ack = packet.seq.wrapping_add(1);
            send(key, ACK, packet.echo, packet.ack, ack, &[], output);
        }
    }

    fn accept(&mut self, now: Instant, key: Key, packet: &Packet, output: &mut Output) {
        let new_flow = Flow {
            echo: packet.echo,
            expected_seq: packet.seq.wrapping_add(1),
            next_seq: FIRST_SEQ + 1,
            open: false,
            pending: BTreeMap::new(),
        };
        let flow = self.flows.entry(key).or_insert(new_flow);
        if flow.open {
            return;
        }
        flow.echo = packet.echo;
        let bytes = send(key, SYN | ACK, flow.echo, FIRST_SEQ, flow.expected_seq, &[], output);
        flow.pending.entry(FIRST_SEQ).or_insert(Unacknowledged {
            bytes,
            due: now + retransmit_delay(0),
            retransmits: 0,
        });
    }

    fn start_requests(&mut self, now: Instant, output: &mut Output) {
        while self.running.len() < self.slots
            && let Some((key, id)) = self.queue.pop_front()
        {
            output.started.push((id, key.1));
            self.running.push((now + self.service_time, key, id));
        }
    }

    /// Answers with the request's identifier, whether it ran, the length, and that many bytes.
    fn respond(&mut self, now: Instant, key: Key, id: u64, ran: bool, output: &mut Output) {
        let Some(flow) = self.flows.get_mut(&key) else { return };
        let length = if ran { self.response_size } else { 0 };
        let mut body = id.to_be_bytes().to_vec();
        body.push(u8::from(ran));
        body.extend_from_slice(&u32::try_from(length).unwrap_or_default().to_be_bytes());
        body.extend((0..length).map(|index| response_byte(id, index)));
        for chunk in body.chunks(MAX_DATA) {
            let seq = flow.next_seq;
            flow.next_seq = flow.next_seq.wrapping_add(u32::try_from(chunk.len()).unwrap_or_default());
            let bytes = send(key, ACK, flow.echo, seq, flow.expected_seq, chunk, output);
            flow.pending.insert(seq, Unacknowledged { bytes, due: now + retransmit_delay(0), retransmits: 0 });
        }
    }
}

/// Byte of the answer to request `id` at a position.
#[must_use]
pub fn response_byte(id: u64, at: usize) -> u8 {
    id.to_be_bytes()[at % 8].wrapping_add(u8::try_from(at % 251).unwrap_or_default())
}

fn send(key: Key, flags: u8, echo: u32, seq: u32, ack: u32, data: &[u8], output: &mut Output) -> Vec<u8> {
    let packet = Packet { source: key.1, destination: key.0, flags, echo, seq, ack, data: data.to_vec() };
    let bytes = packet.encode();
    output.packets.push((key.0, bytes.clone()));
    bytes
}
