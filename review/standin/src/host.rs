//! A host as PROTOCOL.md describes it: it accepts flows, runs requests and answers consumers directly.
//!
//! A request is one packet of 16 bytes: an id, the length of the answer, and the work in ms. The answer is the id, the
//! length, and that many bytes.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use crate::packet::{ACK, FIN, MAX_DATA, Packet, RST, SYN};

/// Consumer and route.
pub type Key = (SocketAddrV4, SocketAddrV4);

pub const FIRST_WAIT: Duration = Duration::from_millis(200);
pub const LONGEST_WAIT: Duration = Duration::from_millis(1600);
/// Packets that an end has in flight at most.
const WINDOW: usize = 16;
const MAX_RESENDS: u32 = 8;

struct Flow {
    isn: u32,
    expected: u32,
    echo: u32,
    open: bool,
    /// Bytes not acknowledged yet, from the sequence number `base` on; `sent` of them were sent.
    out: Vec<u8>,
    base: u32,
    sent: usize,
    resend: Option<(Instant, u32)>,
    done: Vec<(Instant, u64, u32)>,
}

pub struct Host {
    pub name: String,
    pub id: u64,
    pub service: &'static str,
    pub zone: &'static str,
    pub address: SocketAddrV4,
    pub alive: bool,
    /// Cut off from all machines of the system.
    pub cut: bool,
    pub draining: bool,
    flows: HashMap<Key, Flow>,
    /// Flows that have ended here.
    ended: HashMap<Key, u32>,
}

/// What a host does in one step.
pub enum Deed {
    Send(Packet),
    /// The host has the end of the handshake.
    Opened(Key),
    Ran(Key, u64),
    /// It took an opening packet.
    Took(Key),
    Closed(Key),
}

impl Host {
    pub fn new(id: u64, service: &'static str, zone: &'static str, address: SocketAddrV4) -> Self {
        let (flows, ended) = (HashMap::new(), HashMap::new());
        let name = format!("i-{id:x}");
        Self { name, id, service, zone, address, alive: true, cut: false, draining: false, flows, ended }
    }

    pub fn registration(&self, seq: u64) -> String {
        let state = if self.draining { "draining" } else { "ready" };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":3,\"state\":\"{state}\",\"cold_left_ms\":0,\"seq\":{seq},\"born\":1764900000000}}",
            self.service, self.address, self.zone
        )
    }

    /// The host crashes and forgets its flows.
    pub fn crash(&mut self) {
        self.alive = false;
        self.flows.clear();
    }

    pub fn has_open(&self, key: &Key) -> bool {
        self.alive && self.flows.get(key).is_some_and(|flow| flow.open)
    }

    /// Handles a datagram from a machine: 8 bytes that name the host, then a packet.
    pub fn datagram(&mut self, now: Instant, bytes: &[u8], deeds: &mut Vec<Deed>) -> Option<Packet> {
        let (head, rest) = bytes.split_first_chunk::<8>()?;
        let meant = u64::from_be_bytes(*head);
        if !self.alive || self.cut || (meant != 0 && meant != self.id) {
            return None;
        }
        let (packet, valid) = Packet::decode(rest)?;
        if valid {
            self.packet(now, &packet, deeds);
        }
        Some(packet)
    }

    fn packet(&mut self, now: Instant, packet: &Packet, deeds: &mut Vec<Deed>) {
        let key = (packet.src, packet.dst);
        if packet.has(SYN) {
            if !packet.has(ACK) {
                self.accept(packet, deeds);
            }
            return;
        }
        let flow = self.flows.get_mut(&key).filter(|flow| flow.open || packet.ack == flow.isn.wrapping_add(1));
        let Some(flow) = flow else {
            // It holds no such flow.
            if self.ended.contains_key(&key) && packet.has(FIN) {
                deeds.push(Deed::Send(reply(packet, ACK, packet.ack, packet.seq.wrapping_add(1))));
            } else if !packet.has(RST) && !(self.ended.contains_key(&key) && packet.data.is_empty()) {
                deeds.push(Deed::Send(reply(packet, RST, packet.ack, packet.seq)));
            }
            return;
        };
        if packet.has(RST) {
            self.flows.remove(&key);
            deeds.push(Deed::Closed(key));
            return;
        }
        flow.echo = packet.echo;
        if !flow.open {
            flow.open = true;
            deeds.push(Deed::Opened(key));
        }
        let acked = packet.ack.wrapping_sub(flow.base) as usize;
        if acked > 0 && acked <= flow.sent {
            flow.out.drain(..acked);
            flow.base = packet.ack;
            flow.sent -= acked;
            flow.resend = (flow.sent > 0).then(|| (now + FIRST_WAIT, 0));
        }
        if packet.data.len() == 16 && packet.seq == flow.expected {
            flow.expected = flow.expected.wrapping_add(16);
            let id = u64::from_be_bytes(packet.data[..8].try_into().unwrap());
            let size = u32::from_be_bytes(packet.data[8..12].try_into().unwrap());
            let work = u32::from_be_bytes(packet.data[12..].try_into().unwrap());
            flow.done.push((now + Duration::from_millis(work.into()), id, size));
            deeds.push(Deed::Ran(key, id));
        }
        if packet.has(FIN) {
            let end = packet.seq.wrapping_add(1);
            deeds.push(Deed::Send(reply(packet, ACK | FIN, packet.ack, end)));
            self.flows.remove(&key);
            self.ended.insert(key, end);
            deeds.push(Deed::Closed(key));
            return;
        }
        self.pump(now, key, deeds);
    }

    fn accept(&mut self, packet: &Packet, deeds: &mut Vec<Deed>) {
        let key = (packet.src, packet.dst);
        // The first sequence number of a flow differs from host to host.
        let isn = (self.id as u32).wrapping_mul(0x9e37_79b1) ^ packet.seq.rotate_left(7);
        let flow = self.flows.entry(key).or_insert_with(|| Flow {
            isn,
            expected: packet.seq.wrapping_add(1),
            echo: packet.echo,
            open: false,
            out: Vec::new(),
            base: isn.wrapping_add(1),
            sent: 0,
            resend: None,
            done: Vec::new(),
        });
        if !flow.open {
            flow.echo = packet.echo;
            deeds.push(Deed::Took(key));
        }
        let mut answer = reply(packet, SYN | ACK, flow.isn, packet.seq.wrapping_add(1));
        answer.echo = flow.echo;
        deeds.push(Deed::Send(answer));
    }

    /// Ends work whose time has come, and sends again what wasn't acknowledged.
    pub fn tick(&mut self, now: Instant, deeds: &mut Vec<Deed>) {
        if !self.alive {
            return;
        }
        let mut due = Vec::new();
        let mut lost = Vec::new();
        for (key, flow) in &mut self.flows {
            let mut ready = false;
            flow.done.retain(|(end, id, size)| {
                if *end > now {
                    return true;
                }
                flow.out.extend(id.to_be_bytes());
                flow.out.extend(size.to_be_bytes());
                flow.out.extend((0..*size).map(|at| (at as u8) ^ (*id as u8)));
                ready = true;
                false
            });
            if let Some((at, resends)) = flow.resend.filter(|(at, _)| *at <= now) {
                let _ = at;
                flow.sent = 0;
                flow.resend = Some((now + (FIRST_WAIT * (1 << (resends + 1).min(4))).min(LONGEST_WAIT), resends + 1));
                ready = true;
                if resends >= MAX_RESENDS {
                    lost.push(*key);
                }
            }
            if ready {
                due.push(*key);
            }
        }
        for key in lost {
            self.flows.remove(&key);
            deeds.push(Deed::Closed(key));
        }
        for key in due {
            self.pump(now, key, deeds);
        }
    }

    /// Sends as much as the window allows.
    fn pump(&mut self, now: Instant, key: Key, deeds: &mut Vec<Deed>) {
        let Some(flow) = self.flows.get_mut(&key) else { return };
        while flow.sent < flow.out.len() && flow.sent < WINDOW * MAX_DATA {
            let end = (flow.sent + MAX_DATA).min(flow.out.len());
            deeds.push(Deed::Send(Packet {
                src: key.1,
                dst: key.0,
                flags: ACK,
                echo: flow.echo,
                seq: flow.base.wrapping_add(flow.sent as u32),
                ack: flow.expected,
                data: flow.out[flow.sent..end].to_vec(),
                no_sum: false,
            }));
            flow.sent = end;
            flow.resend.get_or_insert((now + FIRST_WAIT, 0));
        }
    }
}

fn reply(packet: &Packet, flags: u8, seq: u32, ack: u32) -> Packet {
    Packet { src: packet.dst, dst: packet.src, flags, echo: packet.echo, seq, ack, data: Vec::new(), no_sum: false }
}
