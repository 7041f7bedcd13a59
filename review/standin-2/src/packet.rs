//! Packets of the platform (PROTOCOL.md, "Packets"): a header of 32 bytes and up to 1,200 bytes of data.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const FIN: u8 = 1;
pub const SYN: u8 = 2;
pub const ACK: u8 = 4;
pub const RST: u8 = 16;
const BOUNCED: u8 = 32;

/// Key of the sum, known to consumers and hosts only.
const KEY: u32 = 0x5eed_2b07;

#[derive(Debug, Clone)]
pub struct Packet {
    pub source: SocketAddrV4,
    pub destination: SocketAddrV4,
    pub flags: u8,
    pub echo: u32,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; 32];
        bytes[4..8].copy_from_slice(&self.echo.to_be_bytes());
        bytes[8] = self.flags;
        bytes[10..12].copy_from_slice(&self.destination.port().to_be_bytes());
        bytes[12..16].copy_from_slice(&self.source.ip().octets());
        bytes[16..18].copy_from_slice(&self.source.port().to_be_bytes());
        bytes[18..22].copy_from_slice(&self.destination.ip().octets());
        bytes[22..24].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        bytes[24..28].copy_from_slice(&self.seq.to_be_bytes());
        bytes[28..32].copy_from_slice(&self.ack.to_be_bytes());
        bytes.extend_from_slice(&self.data);
        let sum = sum(&bytes);
        bytes[0..4].copy_from_slice(&sum.to_be_bytes());
        bytes
    }

    /// Returns the packet and its sum field compared with the right one: `Some(true)` if it matches.
    pub fn decode(bytes: &[u8]) -> Option<(Self, Sum)> {
        if bytes.len() < 32 {
            return None;
        }
        let word = |at: usize| u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
        let half = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let packet = Self {
            source: SocketAddrV4::new(Ipv4Addr::from(word(12)), half(16)),
            destination: SocketAddrV4::new(Ipv4Addr::from(word(18)), half(10)),
            flags: bytes[8] & !BOUNCED,
            echo: word(4),
            seq: word(24),
            ack: word(28),
            data: bytes[32..].to_vec(),
        };
        if usize::from(half(22)) != packet.data.len() {
            return None;
        }
        let given = word(0);
        let kind = if given == sum(bytes) {
            Sum::Right
        } else if given == 0 {
            Sum::Zero
        } else {
            Sum::Wrong
        };
        Some((packet, kind))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sum {
    Right,
    Zero,
    Wrong,
}

/// Keyed sum over all fields except `echo`, `pad` and BOUNCED; never 0.
fn sum(bytes: &[u8]) -> u32 {
    let mut hash = KEY;
    let mut add = |byte: u8| hash = (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193).rotate_left(5);
    for (at, byte) in bytes.iter().enumerate().skip(8) {
        match at {
            8 => add(byte & !BOUNCED),
            9 => {}
            _ => add(*byte),
        }
    }
    hash.max(1)
}
