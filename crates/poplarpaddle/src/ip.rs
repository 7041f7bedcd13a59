//! Parsing and rewriting of raw IPv4/TCP packets.
//!
//! ```
//! use poplarpaddle::ip;
//! use poplarpaddle::packet::Flow;
//!
//! let flow = Flow {
//!     caller: "192.0.2.7:40000".parse().unwrap(),
//!     service: "10.0.0.1:80".parse().unwrap(),
//! };
//! let mut reset = Vec::new();
//! ip::reset_target("10.1.0.1".parse().unwrap(), &flow, 7, &mut reset);
//! assert_eq!(reset.len(), 40);
//! ```
//!
//! Only unfragmented IPv4 packets with TCP are accepted. Both checksums are verified, since a corrupted address or port
//! would send the packet to another service. A rewrite changes one address and updates the checksums incrementally
//! (RFC 1624). It does not compute the checksum of the payload again, so that the receiver still detects corruption in
//! transit.

use std::net::{Ipv4Addr, SocketAddrV4};

use etherparse::{IpNumber, Ipv4HeaderSlice, PacketBuilder, TcpSlice};

use crate::error::{Error, Kind as ErrorKind, Result};
use crate::packet::{Direction, Flow, Kind, View};
use crate::path::Reason;
use crate::view::Config;

/// Time to live of the packets that this module builds.
const TTL: u8 = 64;

/// Offset of the header checksum in an IPv4 header.
const IP_CHECKSUM_OFFSET: usize = 10;

/// Offset of the source address in an IPv4 header.
const SOURCE_OFFSET: usize = 12;

/// Offset of the destination address in an IPv4 header.
const DESTINATION_OFFSET: usize = 16;

/// Offset of the checksum in a TCP header.
const TCP_CHECKSUM_OFFSET: usize = 16;

/// A packet whose lengths and checksums were verified.
struct Segment<'a> {
    ip: Ipv4HeaderSlice<'a>,
    tcp: TcpSlice<'a>,
    bytes: &'a [u8],
}

impl Segment<'_> {
    fn source(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip.source_addr(), self.tcp.source_port())
    }

    fn destination(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip.destination_addr(), self.tcp.destination_port())
    }

    fn acknowledgement(&self) -> u32 {
        if self.tcp.ack() { self.tcp.acknowledgment_number() } else { 0 }
    }

    fn payload(&self) -> u32 {
        // The total length of an IPv4 packet has 16 bits.
        u32::try_from(self.tcp.payload().len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of sequence numbers that the segment occupies.
    fn length(&self) -> u32 {
        self.payload() + u32::from(self.tcp.syn()) + u32::from(self.tcp.fin())
    }
}

/// Parses a packet and finds its flow and direction in `config`.
///
/// Bytes after the total length of the packet are ignored.
///
/// # Errors
///
/// [`ErrorKind::Packet`] when the packet is not an unfragmented IPv4/TCP packet with correct lengths and checksums, and
/// [`ErrorKind::Missing`] when its destination is no service and its source is no target. [`reason`] returns the reason to
/// count for both.
pub fn parse<'a>(bytes: &'a [u8], config: &Config) -> Result<View<'a>> {
    let segment = segment(bytes)?;
    let (flow, direction) = resolve(segment.source(), segment.destination(), config)?;
    Ok(View {
        flow,
        direction,
        kind: kind(&segment.tcp)?,
        payload: segment.payload(),
        sequence: segment.tcp.sequence_number(),
        acknowledgement: segment.acknowledgement(),
        end: segment.tcp.fin() || (segment.tcp.psh() && segment.payload() > 0),
        request: None,
        bytes: segment.bytes,
    })
}

/// Returns the reason to count for an error of [`parse`].
#[must_use]
pub fn reason(error: &Error) -> Reason {
    if error.kind() == ErrorKind::Missing { Reason::UnknownService } else { Reason::Malformed }
}

/// Writes the packet to `out` with `target` as its destination address, replacing the content of `out`.
///
/// # Errors
///
/// [`ErrorKind::Packet`] as for [`parse`].
pub fn to_target(bytes: &[u8], target: Ipv4Addr, out: &mut Vec<u8>) -> Result<()> {
    rewrite(bytes, DESTINATION_OFFSET, target, out)
}

/// Writes the packet to `out` with `service` as its source address, replacing the content of `out`.
///
/// # Errors
///
/// [`ErrorKind::Packet`] as for [`parse`].
pub fn to_caller(bytes: &[u8], service: Ipv4Addr, out: &mut Vec<u8>) -> Result<()> {
    rewrite(bytes, SOURCE_OFFSET, service, out)
}

/// Writes a reset that answers the packet to `out`, replacing its content, by the rules of RFC 9293 section 3.10.7.1.
///
/// If the packet has an acknowledgement number, that is the sequence number of the reset. Otherwise the reset has sequence
/// number 0 and acknowledges everything that the packet carries.
///
/// # Errors
///
/// [`ErrorKind::Packet`] as for [`parse`], and if the packet is a reset itself, which must not be answered.
pub fn reset_for(bytes: &[u8], out: &mut Vec<u8>) -> Result<()> {
    let segment = segment(bytes)?;
    let (from, to) = (segment.destination(), segment.source());
    if segment.tcp.rst() {
        return Err(Error::new(
            ErrorKind::Packet,
            format!("the packet from {to} to {from} is a reset, which must not be answered"),
        ));
    }
    let ip_header = PacketBuilder::ipv4(from.ip().octets(), to.ip().octets(), TTL);
    let number = segment.tcp.sequence_number().wrapping_add(segment.length());
    let builder = if segment.tcp.ack() {
        ip_header.tcp(from.port(), to.port(), segment.tcp.acknowledgment_number(), 0).rst()
    } else {
        ip_header.tcp(from.port(), to.port(), 0, 0).rst().ack(number)
    };
    out.clear();
    builder
        .write(out, &[])
        .map_err(|error| Error::new(ErrorKind::Packet, format!("cannot build a reset from {from} to {to}: {error}")))
}

/// Writes a reset of `flow` for its caller to `out`, replacing its content. The caller accepts the reset if `sequence` is
/// the next sequence number that it expects.
pub fn reset_caller(flow: &Flow, sequence: u32, out: &mut Vec<u8>) {
    write_reset(flow.service, flow.caller, sequence, out);
}

/// Writes a reset of `flow` for `target` to `out`, replacing its content. The target accepts the reset if `sequence` is the
/// next sequence number that it expects.
pub fn reset_target(target: Ipv4Addr, flow: &Flow, sequence: u32, out: &mut Vec<u8>) {
    write_reset(flow.caller, SocketAddrV4::new(target, flow.service.port()), sequence, out);
}

fn write_reset(from: SocketAddrV4, to: SocketAddrV4, sequence: u32, out: &mut Vec<u8>) {
    out.clear();
    let builder = PacketBuilder::ipv4(from.ip().octets(), to.ip().octets(), TTL);
    let builder = builder.tcp(from.port(), to.port(), sequence, 0).rst();
    let written = builder.write(out, &[]);
    debug_assert!(written.is_ok(), "a packet without payload has a valid length");
}

fn segment(bytes: &[u8]) -> Result<Segment<'_>> {
    let ip = Ipv4HeaderSlice::from_slice(bytes).map_err(|error| malformed("invalid IPv4 header", error))?;
    let total = usize::from(ip.total_len());
    let header = ip.slice().len();
    if total < header || total > bytes.len() {
        return Err(malformed("invalid IPv4 total length", format!("{total} in a packet of {} bytes", bytes.len())));
    }
    if ip.is_fragmenting_payload() {
        return Err(malformed("IPv4 fragments are not accepted", format!("offset {}", ip.fragments_offset().value())));
    }
    if ip.protocol() != IpNumber::TCP {
        return Err(malformed("IPv4 protocol is not TCP", ip.protocol().0));
    }
    if ip.to_header().calc_header_checksum() != ip.header_checksum() {
        return Err(malformed("wrong IPv4 header checksum", format!("{:#06x}", ip.header_checksum())));
    }
    let bytes = &bytes[..total];
    let tcp = TcpSlice::from_slice(&bytes[header..]).map_err(|error| malformed("invalid TCP header", error))?;
    let checksum = tcp.calc_checksum_ipv4(ip.source(), ip.destination());
    if checksum.is_err() || checksum.is_ok_and(|checksum| checksum != tcp.checksum()) {
        return Err(malformed("wrong TCP checksum", format!("{:#06x}", tcp.checksum())));
    }
    Ok(Segment { ip, tcp, bytes })
}

/// Returns the error for a packet that is not accepted, for example `wrong TCP checksum: 0x1234`.
fn malformed(problem: &str, value: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::Packet, format!("{problem}: {value}"))
}

fn resolve(source: SocketAddrV4, destination: SocketAddrV4, config: &Config) -> Result<(Flow, Direction)> {
    if config.addresses.contains_key(&destination) {
        return Ok((Flow { caller: source, service: destination }, Direction::FromCaller));
    }
    let service = config.endpoints.get(&source).and_then(|index| config.services.get(index.0 as usize));
    let Some(service) = service else {
        let message = format!("destination {destination} is no service address and source {source} is no target");
        return Err(Error::new(ErrorKind::Missing, message));
    };
    let service = SocketAddrV4::new(service.address, source.port());
    Ok((Flow { caller: destination, service }, Direction::FromTarget(*source.ip())))
}

fn kind(tcp: &TcpSlice<'_>) -> Result<Kind> {
    match (tcp.rst(), tcp.syn(), tcp.fin(), tcp.ack()) {
        (true, ..) => Ok(Kind::Reset),
        (_, true, true, _) => Err(malformed("invalid TCP flags", "SYN and FIN")),
        (_, true, _, true) => Ok(Kind::Accept),
        (_, true, ..) => Ok(Kind::Opening),
        (_, _, true, _) => Ok(Kind::Closing),
        _ => Ok(Kind::Data),
    }
}

fn rewrite(bytes: &[u8], offset: usize, address: Ipv4Addr, out: &mut Vec<u8>) -> Result<()> {
    let segment = segment(bytes)?;
    let header = segment.ip.slice().len();
    out.clear();
    out.extend_from_slice(segment.bytes);
    let old = [out[offset], out[offset + 1], out[offset + 2], out[offset + 3]];
    out[offset..offset + 4].copy_from_slice(&address.octets());
    adjust_checksum(out, IP_CHECKSUM_OFFSET, old, address.octets());
    adjust_checksum(out, header + TCP_CHECKSUM_OFFSET, old, address.octets());
    Ok(())
}

/// Updates the checksum at `offset` for a change of one address.
fn adjust_checksum(bytes: &mut [u8], offset: usize, old: [u8; 4], new: [u8; 4]) {
    let checksum = u16::from_be_bytes([bytes[offset], bytes[offset + 1]]);
    let mut sum = u32::from(!checksum);
    for (old, new) in old.chunks_exact(2).zip(new.chunks_exact(2)) {
        sum += u32::from(!u16::from_be_bytes([old[0], old[1]]));
        sum += u32::from(u16::from_be_bytes([new[0], new[1]]));
    }
    while sum > u32::from(u16::MAX) {
        sum = (sum >> 16) + (sum & u32::from(u16::MAX));
    }
    let checksum = !u16::try_from(sum).unwrap_or(u16::MAX);
    bytes[offset..offset + 2].copy_from_slice(&checksum.to_be_bytes());
}
