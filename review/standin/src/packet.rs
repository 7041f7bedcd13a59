//! Packets as PROTOCOL.md lays them out: a header of 32 bytes, big-endian, and up to 1,200 bytes of data.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const FIN: u8 = 1;
pub const SYN: u8 = 2;
pub const ACK: u8 = 4;
pub const RST: u8 = 16;
pub const HEADER: usize = 32;
pub const MAX_DATA: usize = 1200;

#[derive(Debug, Clone)]
pub struct Packet {
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub flags: u8,
    pub echo: u32,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
    /// The sum is 0, as in a reset of the system's own.
    pub no_sum: bool,
}

impl Packet {
    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = vec![0; 4];
        out.extend(self.echo.to_be_bytes());
        out.extend([self.flags, 0]);
        out.extend(self.dst.port().to_be_bytes());
        out.extend(self.src.ip().octets());
        out.extend(self.src.port().to_be_bytes());
        out.extend(self.dst.ip().octets());
        out.extend((self.data.len() as u16).to_be_bytes());
        out.extend(self.seq.to_be_bytes());
        out.extend(self.ack.to_be_bytes());
        out.extend(&self.data);
        let sum = checksum(&out);
        out[..4].copy_from_slice(&sum.to_be_bytes());
        out
    }

    /// Returns the packet, and whether its sum is right.
    pub fn decode(bytes: &[u8]) -> Option<(Self, bool)> {
        if bytes.len() < HEADER {
            return None;
        }
        let u16_at = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let u32_at = |at: usize| u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
        if usize::from(u16_at(22)) != bytes.len() - HEADER {
            return None;
        }
        let packet = Self {
            src: SocketAddrV4::new(Ipv4Addr::from(u32_at(12)), u16_at(16)),
            dst: SocketAddrV4::new(Ipv4Addr::from(u32_at(18)), u16_at(10)),
            flags: bytes[8],
            echo: u32_at(4),
            seq: u32_at(24),
            ack: u32_at(28),
            data: bytes[HEADER..].to_vec(),
            no_sum: u32_at(0) == 0,
        };
        let valid = u32_at(0) == checksum(bytes);
        Some((packet, valid))
    }
}

/// A keyed sum over all fields except `echo` and `pad`; never 0. The programs under test don't know the key.
fn checksum(bytes: &[u8]) -> u32 {
    let mut hash: u64 = 0x5eed_0f_a_5a1e;
    for (at, byte) in bytes.iter().enumerate().skip(8) {
        if at != 9 {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3).rotate_left(5);
        }
    }
    ((hash >> 16) as u32) | 1
}
