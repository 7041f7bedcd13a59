//! Packets of the platform: a header of 32 bytes, big-endian, then up to 1,200 bytes of data.

use std::net::{Ipv4Addr, SocketAddrV4};

/// Length of the header.
pub const HEADER_LEN: usize = 32;

/// Most data in one packet.
pub const MAX_DATA: usize = 1200;

/// Flag of a packet that ends one direction.
pub const FIN: u8 = 1;
/// Flag of a packet that opens a flow.
pub const SYN: u8 = 2;
/// Flag of a packet with an acknowledgement.
pub const ACK: u8 = 4;
/// Flag of a packet that ends the flow at once.
pub const RST: u8 = 16;

/// Key of the checksum, which the system under test does not know.
const KEY: [u8; 32] = *b"standin-site packets' secret key";

/// A packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    /// Sender's end.
    pub source: SocketAddrV4,
    /// Receiver's end.
    pub destination: SocketAddrV4,
    /// Flags.
    pub flags: u8,
    /// Value that the ends repeat to each other.
    pub echo: u32,
    /// Sequence number.
    pub seq: u32,
    /// Acknowledgement number; in an opening the number of the copy.
    pub ack: u32,
    /// Data.
    pub data: Vec<u8>,
}

impl Packet {
    /// Returns true when the flag is set.
    #[must_use]
    pub const fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// Returns the packet as bytes with its checksum.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; 4];
        bytes.extend_from_slice(&self.echo.to_be_bytes());
        bytes.extend_from_slice(&[self.flags, 0]);
        bytes.extend_from_slice(&self.destination.port().to_be_bytes());
        bytes.extend_from_slice(&self.source.ip().octets());
        bytes.extend_from_slice(&self.source.port().to_be_bytes());
        bytes.extend_from_slice(&self.destination.ip().octets());
        bytes.extend_from_slice(&u16::try_from(self.data.len()).unwrap_or(u16::MAX).to_be_bytes());
        bytes.extend_from_slice(&self.seq.to_be_bytes());
        bytes.extend_from_slice(&self.ack.to_be_bytes());
        bytes.extend_from_slice(&self.data);
        let sum = checksum(&bytes);
        bytes[..4].copy_from_slice(&sum);
        bytes
    }

    /// Returns the packet in `bytes` and whether its checksum is right; none when the bytes are no packet.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<(Self, bool)> {
        let head = bytes.get(..HEADER_LEN)?;
        let u32_at = |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let u16_at = |at: usize| u16::from_be_bytes([head[at], head[at + 1]]);
        let data = &bytes[HEADER_LEN..];
        if usize::from(u16_at(22)) != data.len() {
            return None;
        }
        let packet = Self {
            source: SocketAddrV4::new(Ipv4Addr::from_bits(u32_at(12)), u16_at(16)),
            destination: SocketAddrV4::new(Ipv4Addr::from_bits(u32_at(18)), u16_at(10)),
            flags: head[8],
            echo: u32_at(4),
            seq: u32_at(24),
            ack: u32_at(28),
            data: data.to_vec(),
        };
        Some((packet, head[..4] == checksum(bytes)))
    }

    /// Returns true for a reset of the system: no data and the checksum 0.
    #[must_use]
    pub fn is_system_reset(bytes: &[u8]) -> bool {
        bytes.len() == HEADER_LEN && bytes[..4] == [0; 4] && bytes[8] & RST != 0
    }
}

/// Covers all but the checksum itself, the echo and the pad.
fn checksum(bytes: &[u8]) -> [u8; 4] {
    let mut hasher = blake3::Hasher::new_keyed(&KEY);
    hasher.update(&bytes[8..9]);
    hasher.update(&bytes[10..]);
    let hash = hasher.finalize();
    let mut sum = [0; 4];
    sum.copy_from_slice(&hash.as_bytes()[..4]);
    // 0 marks resets of the system.
    sum[0] |= 1;
    sum
}
