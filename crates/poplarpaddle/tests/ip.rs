//! Tests of parsing and rewriting raw packets.

use std::net::{Ipv4Addr, SocketAddrV4};

use etherparse::{Ipv4HeaderSlice, PacketBuilder, TcpSlice};
use poplarpaddle::error::Kind as ErrorKind;
use poplarpaddle::ip;
use poplarpaddle::map;
use poplarpaddle::packet::{Direction, Flow, Kind};
use poplarpaddle::path::Reason;
use poplarpaddle::view::{Config, Port, Service, ServiceIndex};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const CALLER: Ipv4Addr = Ipv4Addr::new(192, 0, 2, 7);
const SERVICE: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const TARGET: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 1);

fn config() -> Config {
    let ports = vec![Port { port: 80, priority: 0, idempotent: false }];
    let service = Service { name: "bookings".into(), address: SERVICE, ports, shards: 1, targets: Vec::new() };
    let mut config = Config {
        generation: 1,
        seed: 1,
        services: vec![std::sync::Arc::new(service)],
        priorities: Vec::new(),
        addresses: map::seeded(1),
        endpoints: map::seeded(1),
    };
    config.addresses.insert(SocketAddrV4::new(SERVICE, 80), ServiceIndex(0));
    config.endpoints.insert(SocketAddrV4::new(TARGET, 80), ServiceIndex(0));
    config
}

/// Returns a packet with these TCP flags (S for SYN, A for ACK, F for FIN, R for RST, P for PSH).
fn packet(from: (Ipv4Addr, u16), to: (Ipv4Addr, u16), flags: &str, payload: &[u8]) -> Vec<u8> {
    let mut builder = PacketBuilder::ipv4(from.0.octets(), to.0.octets(), 9).tcp(from.1, to.1, 1000, 4096);
    for flag in flags.chars() {
        builder = match flag {
            'S' => builder.syn(),
            'A' => builder.ack(7000),
            'F' => builder.fin(),
            'R' => builder.rst(),
            _ => builder.psh(),
        };
    }
    let mut bytes = Vec::new();
    builder.write(&mut bytes, payload).expect("a valid packet");
    bytes
}

/// Returns a packet from the caller to the service with these TCP flags.
fn request(flags: &str, payload: &[u8]) -> Vec<u8> {
    packet((CALLER, 4000), (SERVICE, 80), flags, payload)
}

/// Checks lengths and both checksums, independently of the code under test, and returns source, destination and segment.
fn check(bytes: &[u8]) -> (SocketAddrV4, SocketAddrV4, TcpSlice<'_>) {
    let ip = Ipv4HeaderSlice::from_slice(bytes).expect("an IPv4 header");
    assert_eq!(ip.to_header().calc_header_checksum(), ip.header_checksum());
    let tcp = TcpSlice::from_slice(&bytes[ip.slice().len()..]).expect("a TCP header");
    assert_eq!(tcp.calc_checksum_ipv4(ip.source(), ip.destination()), Ok(tcp.checksum()));
    let source = SocketAddrV4::new(ip.source_addr(), tcp.source_port());
    (source, SocketAddrV4::new(ip.destination_addr(), tcp.destination_port()), tcp)
}

/// Guards against packets that are parsed with a wrong kind, direction or end of message.
#[test]
fn parse_recognizes_kind_direction_and_end() {
    let cases = [
        ("S", "", Kind::Opening, false),
        ("SA", "", Kind::Accept, false),
        ("A", "", Kind::Data, false),
        ("A", "hello", Kind::Data, false),
        ("AP", "hello", Kind::Data, true),
        ("AP", "", Kind::Data, false),
        ("AF", "", Kind::Closing, true),
        ("R", "", Kind::Reset, false),
        ("RA", "", Kind::Reset, false),
    ];
    let config = config();
    let flow = Flow { caller: SocketAddrV4::new(CALLER, 4000), service: SocketAddrV4::new(SERVICE, 80) };
    for (flags, payload, kind, end) in cases {
        let from_caller = request(flags, payload.as_bytes());
        let from_target = packet((TARGET, 80), (CALLER, 4000), flags, payload.as_bytes());
        for (bytes, direction) in [(from_caller, Direction::FromCaller), (from_target, Direction::FromTarget(TARGET))] {
            let view = ip::parse(&bytes, &config).expect("a valid packet");
            assert_eq!((view.flow, view.direction, view.kind, view.end), (flow, direction, kind, end), "{flags}");
            assert_eq!((view.sequence, view.payload as usize), (1000, payload.len()), "{flags}");
            assert_eq!(view.acknowledgement, if flags.contains('A') { 7000 } else { 0 }, "{flags}");
        }
    }
}

/// Guards against forwarding corrupted, fragmented or unrelated packets to a target.
#[test]
fn parse_rejects_invalid_and_unrelated_packets() {
    let good = request("A", b"hello");
    let with = |change: &dyn Fn(&mut Vec<u8>)| {
        let mut bytes = good.clone();
        change(&mut bytes);
        bytes
    };
    let mut udp = Vec::new();
    PacketBuilder::ipv4(CALLER.octets(), SERVICE.octets(), 9).udp(4000, 80).write(&mut udp, b"hello").expect("valid");
    let cases = [
        ("empty", Vec::new(), Reason::Malformed),
        ("truncated", good[..good.len() - 1].to_vec(), Reason::Malformed),
        ("IPv6", with(&|bytes| bytes[0] = 0x65), Reason::Malformed),
        ("fragment", with(&|bytes| bytes[6] = 0x20), Reason::Malformed),
        ("UDP", udp, Reason::Malformed),
        ("corrupted address", with(&|bytes| bytes[16] ^= 1), Reason::Malformed),
        ("corrupted payload", with(&|bytes| bytes[40] ^= 1), Reason::Malformed),
        ("SYN and FIN", request("SF", b""), Reason::Malformed),
        ("unknown port", packet((CALLER, 4000), (SERVICE, 81), "A", b""), Reason::UnknownService),
        ("unknown service", packet((CALLER, 4000), (TARGET, 80), "A", b""), Reason::UnknownService),
    ];
    let config = config();
    for (name, bytes, reason) in cases {
        let error = ip::parse(&bytes, &config).expect_err(name);
        assert_eq!(ip::reason(&error), reason, "{name}: {error}");
    }
    let padded = with(&|bytes| bytes.extend([0; 6]));
    assert_eq!(ip::parse(&padded, &config).expect("a padded packet").bytes, good);
}

/// Guards against wrong checksums after a rewrite, and against a rewrite that hides corruption of the payload.
#[test]
fn rewrite_keeps_checksums_valid() {
    let mut out = vec![9; 3];
    for payload in [&b""[..], b"a", b"hello, world", &[0xff; 1400]] {
        for address in [TARGET, Ipv4Addr::BROADCAST, Ipv4Addr::UNSPECIFIED] {
            let bytes = request("AP", payload);
            ip::to_target(&bytes, address, &mut out).expect("a valid packet");
            let (source, destination, tcp) = check(&out);
            assert_eq!((source, destination), (SocketAddrV4::new(CALLER, 4000), SocketAddrV4::new(address, 80)));
            assert_eq!(tcp.payload(), payload);
            let answer = packet((address, 80), (CALLER, 4000), "AP", payload);
            ip::to_caller(&answer, SERVICE, &mut out).expect("a valid packet");
            assert_eq!(check(&out).0, SocketAddrV4::new(SERVICE, 80));
        }
    }
}

/// Guards against resets that the caller ignores, and against resets in answer to a reset.
#[test]
fn reset_follows_the_sequence_rules() {
    let cases = [
        ("S", "", (0, true, 1001)),
        ("", "hello", (0, true, 1005)),
        ("A", "hello", (7000, false, 0)),
        ("AF", "", (7000, false, 0)),
    ];
    let mut out = Vec::new();
    for (flags, payload, expected) in cases {
        ip::reset_for(&request(flags, payload.as_bytes()), &mut out).expect("a valid packet");
        let (source, destination, tcp) = check(&out);
        assert_eq!((source, destination), (SocketAddrV4::new(SERVICE, 80), SocketAddrV4::new(CALLER, 4000)));
        assert!(tcp.rst() && !tcp.syn());
        assert_eq!((tcp.sequence_number(), tcp.ack(), tcp.acknowledgment_number()), expected, "{flags} {payload}");
    }
    let error = ip::reset_for(&request("R", b""), &mut out).expect_err("a reset");
    assert_eq!(error.kind(), ErrorKind::Packet);
    let flow = Flow { caller: SocketAddrV4::new(CALLER, 4000), service: SocketAddrV4::new(SERVICE, 80) };
    ip::reset_target(TARGET, &flow, 77, &mut out);
    let (source, destination, tcp) = check(&out);
    assert_eq!((source, destination), (flow.caller, SocketAddrV4::new(TARGET, 80)));
    assert_eq!((tcp.rst(), tcp.sequence_number()), (true, 77));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 20_000, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Default::default() })]

    /// Guards against panics on bytes that a caller chooses, with and without valid checksums.
    #[test]
    fn mutated_bytes_never_panic(
        length in 0..80_usize,
        changes in prop::collection::vec((0..64_usize, any::<u8>()), 0..4),
        repair in any::<bool>(),
    ) {
        let mut bytes = request("AP", b"hello, world, hello, world");
        for (at, value) in changes {
            bytes[at] = value;
        }
        if repair {
            repair_checksums(&mut bytes);
        }
        bytes.truncate(length.max(20));
        let config = config();
        let mut out = Vec::new();
        let view = ip::parse(&bytes, &config);
        if let Ok(view) = view {
            prop_assert!(view.bytes.len() <= bytes.len());
        }
        for result in [ip::to_target(&bytes, TARGET, &mut out), ip::to_caller(&bytes, SERVICE, &mut out), ip::reset_for(&bytes, &mut out)] {
            if result.is_ok() {
                check(&out);
            }
        }
    }
}

/// Recomputes both checksums, so that mutated packets pass the checksum verification.
fn repair_checksums(bytes: &mut [u8]) {
    let header = usize::from(bytes[0] & 15) * 4;
    if header < 20 || header + 20 > bytes.len() {
        return;
    }
    bytes[10..12].fill(0);
    let sum = sum(&bytes[..header], 0);
    bytes[10..12].copy_from_slice(&sum.to_be_bytes());
    let total = usize::from(u16::from_be_bytes([bytes[2], bytes[3]])).clamp(header + 18, bytes.len());
    let mut pseudo = bytes[12..20].to_vec();
    pseudo.extend([0, 6]);
    pseudo.extend(u16::try_from(total - header).unwrap_or(0).to_be_bytes());
    bytes[header + 16..header + 18].fill(0);
    let start = !self::sum(&pseudo, 0);
    let sum = self::sum(&bytes[header..total], start);
    bytes[header + 16..header + 18].copy_from_slice(&sum.to_be_bytes());
}

/// Returns the Internet checksum of `bytes`, with `start` added to the sum.
fn sum(bytes: &[u8], start: u16) -> u16 {
    let mut sum = u32::from(start);
    for pair in bytes.chunks(2) {
        sum += u32::from(u16::from_be_bytes([pair[0], pair.get(1).copied().unwrap_or(0)]));
    }
    while sum > 0xffff {
        sum = (sum >> 16) + (sum & 0xffff);
    }
    !u16::try_from(sum).unwrap_or(0)
}
