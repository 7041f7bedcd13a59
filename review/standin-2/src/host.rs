//! A host (PROTOCOL.md, "Flows" and "Hosts"): accepts flows, runs requests in slots, answers consumers directly.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use crate::packet::{ACK, FIN, Packet, RST, SYN, Sum};

/// The consumer's end and the route.
pub type Key = (SocketAddrV4, SocketAddrV4);

const FIRST_PAUSE: Duration = Duration::from_millis(200);
const LAST_PAUSE: Duration = Duration::from_millis(1600);
const MAX_REPEATS: u32 = 8;
/// Packets in flight at most, and their data at most.
const WINDOW: usize = 16;
const MAX_DATA: usize = 1200;

#[derive(Debug)]
struct Sent {
    packet: Packet,
    due: Instant,
    pause: Duration,
    repeats: u32,
}

#[derive(Debug)]
struct Flow {
    is_open: bool,
    echo: u32,
    seq: u32,
    next_seq: u32,
    expected: u32,
    sent: Vec<Sent>,
    /// Data that waits for room in flight.
    waiting: VecDeque<Vec<u8>>,
}

/// What a host saw or did, for the judge.
#[derive(Debug)]
pub enum Seen {
    /// The flow opened here.
    Opened(Key),
    /// A packet of the flow arrived: whether it is an opening.
    Arrived(Key, bool),
    /// The host began to work on the request.
    Ran(u64),
    /// A packet that its sender did not write so.
    Altered,
}

/// A request: its id and the length of the body that it asks for.
#[derive(Debug, Clone, Copy)]
struct Work {
    id: u64,
    bytes: usize,
}

#[derive(Debug)]
pub struct Host {
    pub id: u64,
    pub slots: usize,
    pub work: Duration,
    flows: HashMap<Key, Flow>,
    ended: HashSet<Key>,
    queue: VecDeque<(Key, Work)>,
    running: Vec<(Instant, Key, Work)>,
    /// True while the host is cut off from all machines.
    pub is_cut: bool,
    random: u32,
    pub out: Vec<Packet>,
    pub seen: Vec<Seen>,
}

impl Host {
    pub fn new(id: u64, slots: usize, work: Duration, seed: u32) -> Self {
        Self {
            id,
            slots,
            work,
            flows: HashMap::new(),
            ended: HashSet::new(),
            queue: VecDeque::new(),
            running: Vec::new(),
            is_cut: false,
            random: seed | 1,
            out: Vec::new(),
            seen: Vec::new(),
        }
    }

    pub fn datagram(&mut self, now: Instant, bytes: &[u8]) {
        if self.is_cut {
            return;
        }
        let Some((head, rest)) = bytes.split_first_chunk::<8>() else { return };
        let id = u64::from_be_bytes(*head);
        let Some((packet, sum)) = Packet::decode(rest) else { return self.seen.push(Seen::Altered) };
        let key = (packet.source, packet.destination);
        self.seen.push(Seen::Arrived(key, packet.has(SYN)));
        if id != 0 && id != self.id {
            return;
        }
        if sum != Sum::Right || (packet.has(SYN) && packet.has(ACK)) {
            return self.seen.push(Seen::Altered);
        }
        if packet.has(SYN) {
            self.accept(now, key, &packet)
        } else {
            self.packet(now, key, packet)
        }
        self.start(now);
    }

    pub fn tick(&mut self, now: Instant) {
        let (done, running): (Vec<_>, Vec<_>) = self.running.drain(..).partition(|(end, ..)| *end <= now);
        self.running = running;
        for (_, key, work) in done {
            self.respond(now, key, work);
        }
        self.start(now);
        let mut given_up = Vec::new();
        for (key, flow) in &mut self.flows {
            for sent in flow.sent.iter_mut().filter(|sent| sent.due <= now) {
                if sent.repeats >= MAX_REPEATS {
                    given_up.push(*key);
                    break;
                }
                sent.repeats += 1;
                sent.pause = (sent.pause * 2).min(LAST_PAUSE);
                sent.due = now + sent.pause;
                sent.packet.echo = flow.echo;
                sent.packet.ack = flow.expected;
                self.out.push(sent.packet.clone());
            }
        }
        for key in given_up {
            self.flows.remove(&key);
        }
    }

    fn accept(&mut self, now: Instant, key: Key, packet: &Packet) {
        if !self.flows.contains_key(&key) {
            self.random = self.random.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            let seq = self.random;
            self.ended.remove(&key);
            let expected = packet.seq.wrapping_add(1);
            let sent = Sent {
                packet: reply(key, SYN | ACK, packet.echo, seq, expected, Vec::new()),
                due: now + FIRST_PAUSE,
                pause: FIRST_PAUSE,
                repeats: 0,
            };
            let next_seq = seq.wrapping_add(1);
            let flow = Flow {
                is_open: false,
                echo: packet.echo,
                seq,
                next_seq,
                expected,
                sent: vec![sent],
                waiting: VecDeque::new(),
            };
            self.flows.insert(key, flow);
        }
        let Some(flow) = self.flows.get_mut(&key).filter(|flow| !flow.is_open) else { return };
        flow.echo = packet.echo;
        self.out.push(reply(key, SYN | ACK, flow.echo, flow.seq, flow.expected, Vec::new()));
    }

    fn packet(&mut self, now: Instant, key: Key, packet: Packet) {
        let Some(flow) = self.flows.get_mut(&key) else {
            let is_quiet = packet.data.is_empty() && !packet.has(FIN);
            if packet.has(RST) || (self.ended.contains(&key) && is_quiet) {
                return;
            }
            if self.ended.contains(&key) && packet.data.is_empty() {
                let ack = packet.seq.wrapping_add(1);
                return self.out.push(reply(key, ACK, packet.echo, packet.ack, ack, Vec::new()));
            }
            let ack = packet.seq;
            return self.out.push(reply(key, RST, packet.echo, packet.ack, ack, Vec::new()));
        };
        if packet.has(RST) {
            self.flows.remove(&key);
            return;
        }
        if !flow.is_open {
            if packet.ack != flow.seq.wrapping_add(1) {
                // The consumer acknowledges another host's answer: the flow is not open here. Say nothing.
                return;
            }
            flow.is_open = true;
            self.seen.push(Seen::Opened(key));
        }
        flow.echo = packet.echo;
        flow.sent.retain(|sent| {
            let end = sent.packet.seq.wrapping_add(length(&sent.packet));
            (packet.ack.wrapping_sub(end) as i32) < 0
        });
        let mut wants_ack = false;
        if !packet.data.is_empty() {
            wants_ack = true;
            if packet.seq == flow.expected {
                flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
                if let Some(work) = work(&packet.data) {
                    self.queue.push_back((key, work));
                }
            }
        }
        if packet.has(FIN) {
            let (seq, ack, echo) = (flow.next_seq, packet.seq.wrapping_add(1), flow.echo);
            self.flows.remove(&key);
            self.ended.insert(key);
            return self.out.push(reply(key, ACK | FIN, echo, seq, ack, Vec::new()));
        }
        if wants_ack {
            let (seq, ack, echo) = (flow.next_seq, flow.expected, flow.echo);
            self.out.push(reply(key, ACK, echo, seq, ack, Vec::new()));
        }
        self.fill(now, key);
    }

    fn start(&mut self, now: Instant) {
        while self.running.len() < self.slots
            && let Some((key, work)) = self.queue.pop_front()
        {
            self.seen.push(Seen::Ran(work.id));
            self.running.push((now + self.work, key, work));
        }
    }

    fn respond(&mut self, now: Instant, key: Key, work: Work) {
        let Some(flow) = self.flows.get_mut(&key) else { return };
        let Work { id, bytes } = work;
        let body = format!("done {id} {}", "x".repeat(bytes));
        let seal = seal(id);
        let text = format!("HTTP/1.1 200 OK\r\nX-Server-Seal: {seal}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        flow.waiting.extend(text.as_bytes().chunks(MAX_DATA).map(<[u8]>::to_vec));
        self.fill(now, key);
    }

    /// Sends data that waits as far as there is room in flight.
    fn fill(&mut self, now: Instant, key: Key) {
        let Some(flow) = self.flows.get_mut(&key) else { return };
        while flow.sent.len() < WINDOW
            && let Some(data) = flow.waiting.pop_front()
        {
            let packet = reply(key, ACK, flow.echo, flow.next_seq, flow.expected, data);
            flow.next_seq = flow.next_seq.wrapping_add(packet.data.len() as u32);
            self.out.push(packet.clone());
            flow.sent.push(Sent { packet, due: now + FIRST_PAUSE, pause: FIRST_PAUSE, repeats: 0 });
        }
    }
}

/// Seal of a response, which only hosts write.
pub fn seal(id: u64) -> String {
    format!("{:016x}", id.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(17) ^ 0x5ea1)
}

fn work(data: &[u8]) -> Option<Work> {
    let text = std::str::from_utf8(data).ok()?;
    let id = text.lines().find_map(|line| line.strip_prefix("X-Attempt-Id: "))?.trim().parse().ok()?;
    let path = text.strip_prefix("GET /mould/")?;
    Some(Work { id, bytes: path.split(' ').next()?.parse().ok()? })
}

fn length(packet: &Packet) -> u32 {
    packet.data.len() as u32 + u32::from(packet.flags & (SYN | FIN) != 0)
}

fn reply(key: Key, flags: u8, echo: u32, seq: u32, ack: u32, data: Vec<u8>) -> Packet {
    Packet { source: key.1, destination: key.0, flags, echo, seq, ack, data }
}
