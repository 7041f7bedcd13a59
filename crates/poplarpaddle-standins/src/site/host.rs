//! Host that accepts flows, runs requests in slots and responds to consumers directly, bypassing the balancers.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use super::packet::{ACK, FIN, MAX_DATA, Packet, RST, SYN};
use super::{Unacknowledged, retransmit_delay};

/// Maximum number of queued requests. Further requests are rejected.
const QUEUE_LIMIT: usize = 12;

/// Maximum number of retransmissions of a packet before the host drops the flow.
const MAX_RETRANSMITS: u32 = 8;

/// Key of a flow: the endpoints of the consumer and of the route.
type Key = (SocketAddrV4, SocketAddrV4);

/// Initial sequence number of the host.
const FIRST_SEQ: u32 = 1000;

#[derive(Debug)]
struct Flow {
    /// Latest echo value of the consumer, returned in each packet.
    echo: u32,
    /// Next sequence number expected from the consumer.
    expected_seq: u32,
    /// Next sequence number that the host sends.
    next_seq: u32,
    /// True once the consumer has completed the handshake.
    open: bool,
    /// Unacknowledged packets by sequence number.
    pending: BTreeMap<u32, Unacknowledged>,
}

/// Output of a host, in order: packets for consumers, and events for the checks of the run.
#[derive(Debug, Default)]
pub struct Output {
    /// Packets to send, with the endpoint of the consumer.
    pub packets: Vec<(SocketAddrV4, Vec<u8>)>,
    /// Ids of the requests that started, with the route that each arrived through.
    pub started: Vec<(u64, SocketAddrV4)>,
    /// Number of received packets that were altered on the way.
    pub altered: u64,
}

/// A host that runs requests.
#[derive(Debug)]
pub struct Host {
    /// Id that packets for this host carry as a prefix.
    pub id: u64,
    /// False once the host has crashed or was removed.
    pub alive: bool,
    slots: usize,
    service_time: Duration,
    response_size: usize,
    flows: BTreeMap<Key, Flow>,
    queue: VecDeque<(Key, u64)>,
    /// End time, flow and id of each running request.
    running: Vec<(Instant, Key, u64)>,
}

impl Host {
    /// Returns a host that runs `slots` requests concurrently, each for `service_time`, and responds with
    /// `response_size` bytes.
    #[must_use]
    pub fn new(id: u64, slots: usize, service_time: Duration, response_size: usize) -> Self {
        let (flows, queue, running) = Default::default();
        Self { id, alive: true, slots, service_time, response_size, flows, queue, running }
    }

    /// Crashes the host, which loses all flows and requests.
    pub fn crash(&mut self) {
        self.alive = false;
        self.flows.clear();
        self.queue.clear();
        self.running.clear();
    }

    /// Handles a datagram, which starts with the id of its host, or 0 for any host. It is ignored if the host is down
    /// or another host is addressed.
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

    /// Handles expired timers: finishes requests and retransmits packets.
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
            // The acknowledgement belongs to a handshake with another host.
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

    /// Responds with the request's id, whether it ran, the length of the content, and the content.
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

/// Returns the byte at `offset` of the response content of request `id`.
#[must_use]
pub fn response_byte(id: u64, offset: usize) -> u8 {
    id.to_be_bytes()[offset % 8].wrapping_add(u8::try_from(offset % 251).unwrap_or_default())
}

fn send(key: Key, flags: u8, echo: u32, seq: u32, ack: u32, data: &[u8], output: &mut Output) -> Vec<u8> {
    let packet = Packet { source: key.1, destination: key.0, flags, echo, seq, ack, data: data.to_vec() };
    let bytes = packet.encode();
    output.packets.push((key.0, bytes.clone()));
    bytes
}
