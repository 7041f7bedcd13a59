//! Packet format of the platform: a big-endian header of 32 bytes, followed by up to 1,200 bytes of data.

use std::net::{Ipv4Addr, SocketAddrV4};

/// Length of the header, in bytes.
pub const HEADER_LEN: usize = 32;

/// Maximum amount of data in one packet, in bytes.
pub const MAX_DATA: usize = 1200;

/// Flag of a packet that closes one direction of a flow.
pub const FIN: u8 = 1;
/// Flag of a packet that opens a flow.
pub const SYN: u8 = 2;
/// Flag of a packet that carries an acknowledgement number.
pub const ACK: u8 = 4;
/// Flag of a packet that resets a flow.
pub const RST: u8 = 16;

/// Key of the checksum. The system under test does not know it and so cannot fix up an altered packet.
const KEY: [u8; 32] = *b"standin-site packets' secret key";

/// A packet of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    /// Endpoint of the sender.
    pub source: SocketAddrV4,
    /// Endpoint of the receiver.
    pub destination: SocketAddrV4,
    /// Flags, a combination of [`FIN`], [`SYN`], [`ACK`] and [`RST`].
    pub flags: u8,
    /// Value that each side copies from the latest packet of the other. Balancers may rewrite it.
    pub echo: u32,
    /// Sequence number.
    pub seq: u32,
    /// Acknowledgement number. In a SYN, the number of the retransmission.
    pub ack: u32,
    /// Payload.
    pub data: Vec<u8>,
}

impl Packet {
    /// Returns true if `flag` is set.
    #[must_use]
    pub const fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// Encodes the packet with its checksum.
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

    /// Decodes a packet and returns it with true if its checksum is valid. Returns `None` if `bytes` are not a packet.
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

    /// Returns true if the packet is a reset by the system under test, which has no data and the checksum 0.
    #[must_use]
    pub fn is_system_reset(bytes: &[u8]) -> bool {
        bytes.len() == HEADER_LEN && bytes[..4] == [0; 4] && bytes[8] & RST != 0
    }
}

/// Returns the checksum of a packet, which covers all bytes except the checksum itself, the echo value and the padding
/// byte.
fn checksum(bytes: &[u8]) -> [u8; 4] {
    let mut hasher = blake3::Hasher::new_keyed(&KEY);
    hasher.update(&bytes[8..9]);
    hasher.update(&bytes[10..]);
    let hash = hasher.finalize();
    let mut sum = [0; 4];
    sum.copy_from_slice(&hash.as_bytes()[..4]);
    // The checksum 0 is reserved for resets by the system under test.
    sum[0] |= 1;
    sum
}
