//! Tests how the fabric routes and drops single packets.

#![allow(missing_docs, reason = "test code")]

use std::net::{Ipv4Addr, SocketAddr};

use etherparse::PacketBuilder;
use poplarpaddle_standins::fabric::flows::Key;
use poplarpaddle_standins::fabric::{Engine, parse_routes};
use poplarpaddle_standins::net::Datagram;

const CALLER: Ipv4Addr = Ipv4Addr::new(127, 20, 0, 1);
const SERVICE: Ipv4Addr = Ipv4Addr::new(127, 30, 0, 1);
const TARGET: Ipv4Addr = Ipv4Addr::new(127, 10, 0, 1);
const UNKNOWN: Ipv4Addr = Ipv4Addr::new(127, 40, 0, 1);
const ROUTES: &str = r#"{
    "services": ["127.30.0.0/16"],
    "targets": {"127.10.0.1": "127.0.0.1:2"},
    "callers": [{"prefix": "127.20.0.0/16", "address": "127.0.0.1:1"}],
    "balancers": [
        {"data": "127.0.0.1:31", "health": "http://127.0.0.1:41/health", "up": true},
        {"data": "127.0.0.1:32", "health": "http://127.0.0.1:42/health", "up": true},
        {"data": "127.0.0.1:33", "health": "http://127.0.0.1:43/health", "up": false}
    ]
}"#;

fn engine(seed: u64) -> Engine {
    Engine::new(parse_routes(ROUTES).unwrap(), seed)
}

fn port(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Returns a segment between port 1024 of the caller and port 8000 of the service. With `syn`, it is a SYN with that
/// sequence number.
fn segment(source: Ipv4Addr, destination: Ipv4Addr, syn: Option<u32>) -> Vec<u8> {
    let from_caller = source == CALLER;
    let (source_port, destination_port) = if from_caller { (1024, 8000) } else { (8000, 1024) };
    let builder = PacketBuilder::ipv4(source.octets(), destination.octets(), 64);
    let builder = builder.tcp(source_port, destination_port, syn.unwrap_or(5), 1000);
    let builder = if syn.is_some() { builder.syn() } else { builder.ack(9) };
    let mut bytes = Vec::new();
    builder.write(&mut bytes, &[]).unwrap();
    bytes
}

/// Handles a packet from port `from` and returns the destination ports of all queued packets, regardless of delays.
fn deliver(engine: &mut Engine, from: u16, bytes: &[u8]) -> Vec<u16> {
    engine.handle_packet(0, Datagram { from: port(from), bytes: bytes.to_vec() });
    std::iter::from_fn(|| engine.pop_due(u64::MAX)).map(|delivery| delivery.to.port()).collect()
}

/// Guards against packets that bypass the balancers or reach the wrong process.
#[test]
fn packets_are_routed_by_source_and_destination() {
    let cases = [
        (SERVICE, CALLER, &[1][..]),
        (CALLER, TARGET, &[2]),
        (CALLER, SERVICE, &[31, 32]),
        (TARGET, CALLER, &[31, 32]),
        (SERVICE, UNKNOWN, &[]),
        (CALLER, UNKNOWN, &[]),
    ];
    for (source, destination, receivers) in cases {
        let to = deliver(&mut engine(1), 9, &segment(source, destination, None));
        assert_eq!(to.is_empty(), receivers.is_empty(), "{source} to {destination}: {to:?}");
        assert!(to.iter().all(|port| receivers.contains(port)), "{source} to {destination}: {to:?}");
    }
    let mut engine = engine(1);
    assert!(deliver(&mut engine, 9, &[69, 0, 1]).is_empty());
    assert_eq!(engine.counts.malformed, 1);
}

/// Guards against a choice of balancer that depends on the flow, is not reproducible, or includes balancers that are
/// down.
#[test]
fn every_packet_goes_to_a_random_balancer_that_is_up() {
    let packet = segment(CALLER, SERVICE, None);
    let choices = |seed| {
        let mut engine = engine(seed);
        (0..1000).flat_map(|_| deliver(&mut engine, 9, &packet)).collect::<Vec<_>>()
    };
    let first = choices(1);
    let to_first = first.iter().filter(|&&port| port == 31).count();
    assert!((400..600).contains(&to_first), "{to_first}");
    assert!(!first.contains(&33));
    assert_eq!(first, choices(1));
    assert_ne!(first, choices(2));
}

/// Guards against a cut that affects only one direction or other pairs of addresses.
#[test]
fn a_cut_stops_packets_in_both_directions() {
    let mut engine = engine(1);
    engine.routes.balancers.truncate(1);
    engine.faults.cut = vec![(port(31), port(2))];
    assert!(deliver(&mut engine, 31, &segment(CALLER, TARGET, None)).is_empty());
    assert!(deliver(&mut engine, 2, &segment(TARGET, CALLER, None)).is_empty());
    assert_eq!(engine.counts.cut, 2);
    assert_eq!(deliver(&mut engine, 31, &segment(SERVICE, CALLER, None)), [1]);
    assert_eq!(deliver(&mut engine, 32, &segment(CALLER, TARGET, None)), [2]);
}

/// Guards against silencing that also affects new flows, or that misses one leg of the silenced flow.
#[test]
fn silencing_drops_open_flows_but_not_new_ones() {
    let mut engine = engine(1);
    let legs = [(CALLER, SERVICE), (CALLER, TARGET), (TARGET, CALLER), (SERVICE, CALLER)];
    let passed = |engine: &mut Engine| {
        let deliver =
            |&&(source, destination): &&_| !deliver(engine, 9, &segment(source, destination, None)).is_empty();
        legs.iter().filter(deliver).count()
    };
    let key: Key = "127.20.0.1:1024>127.30.0.1:8000".parse().unwrap();
    assert!(!engine.flows.silence(&key), "the flow is not open yet");
    assert_eq!(deliver(&mut engine, 9, &segment(CALLER, SERVICE, Some(5))).len(), 1);
    assert_eq!(passed(&mut engine), 4);
    assert!(engine.flows.silence(&key));
    assert_eq!(passed(&mut engine), 0);
    engine.faults.silent_targets = true;
    assert_eq!(passed(&mut engine), 2, "the legs of the caller pass if the middlebox is next to the targets");
    engine.faults.silent_targets = false;
    assert!(
        deliver(&mut engine, 9, &segment(CALLER, SERVICE, Some(5))).is_empty(),
        "a retransmitted SYN belongs to the silenced flow"
    );
    assert_eq!(deliver(&mut engine, 9, &segment(CALLER, SERVICE, Some(6))).len(), 1);
    assert_eq!(engine.silence_share(1.0), 0, "a flow in its handshake is not open yet");
    assert_eq!(passed(&mut engine), 4);
    assert_eq!(engine.silence_share(1.0), 1);
    assert_eq!(passed(&mut engine), 0);
}

/// Guards against faults without effect, which would make the product look robust.
#[test]
fn faults_drop_duplicate_and_delay_packets() {
    let packet = segment(CALLER, TARGET, None);
    let mut engine = engine(1);
    engine.faults.loss = 0.5;
    let arrived: usize = (0..1000).map(|_| deliver(&mut engine, 9, &packet).len()).sum();
    assert!((400..600).contains(&arrived), "{arrived}");
    engine.faults.loss = 0.0;
    engine.faults.duplicate = 1.0;
    assert_eq!(deliver(&mut engine, 9, &packet), [2, 2]);
    engine.faults.duplicate = 0.0;
    engine.faults.delay_ms = 3;
    engine.handle_packet(1000, Datagram { from: port(9), bytes: packet });
    assert_eq!(engine.due(), 4000);
    assert!(engine.pop_due(3999).is_none());
    assert!(engine.pop_due(4000).is_some());
}
