//! Costs of flows and packets in the engine of a balancer that owns a shard.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use poplarpaddle::map;
use poplarpaddle::packet::Kind;
use poplarpaddle::path::{Engine, Settings};
use poplarpaddle::prelude::*;
use poplarpaddle::view::{self, Config, Member, Port, Presence, Priority, Service, ServiceIndex, Target};
use poplarpaddle::wire::{Relay, VERSION};

use super::{Line, Metric, count, lines, shortest_ns};

/// Numbers of flows of one owner; a balancer of a fleet of the target size has 7,800.
const FLOWS: [u32; 4] = [1_000, 7_800, 50_000, 400_000];

/// Numbers of targets of one service.
const TARGETS: [u8; 4] = [4, 8, 16, 64];

/// Sizes of the relayed IP packets in bytes.
const PACKETS: [u32; 3] = [40, 576, 1_500];

/// Number of flows whose owner dies.
const LOST: u32 = 2_000;

/// Number of packets in one time measurement.
const BATCH: u32 = 100_000;

/// Number of time measurements, of which the shortest counts.
const ROUNDS: u32 = 5;

/// Step between the flows of consecutive packets. Odd and larger than every size, so that the steps visit all flows in
/// an order without locality.
const STRIDE: u32 = 0x9e37_79b1;

const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 80);

const fn metric(name: &'static str, size: &'static str, unit: &'static str) -> Metric {
    Metric { group: "flow", name, size, unit }
}

const BY_FLOWS: [Metric; 3] = [
    metric("table", "flows of an owner", "bytes for each flow"),
    metric("packet", "flows of an owner", "ns for a packet of a known flow"),
    metric("packet-ratio", "flows of an owner", "time of a packet over that at the first size"),
];

const BY_TARGETS: [Metric; 2] = [
    metric("probes", "targets of the service", "probe packets for a flow recovered after its owner died"),
    metric("recovered", "targets of the service", "recovered flows as a share of the lost ones"),
];

const BY_BYTES: [Metric; 1] =
    [metric("relay", "bytes of the IP packet", "bytes that a relay adds, UDP and IP not included")];

/// Measures the slopes.
///
/// # Errors
///
/// When a relayed packet cannot be encoded.
pub fn measure() -> eyre::Result<Vec<Line>> {
    let mut rows = FLOWS.into_iter().map(by_flows).collect::<eyre::Result<Vec<_>>>()?;
    let first = rows[0][1];
    for row in &mut rows {
        row.push(row[1] / first);
    }
    let mut results = lines(&BY_FLOWS, &FLOWS, &rows);
    let rows: Vec<_> = TARGETS.into_iter().map(by_targets).collect();
    results.extend(lines(&BY_TARGETS, &TARGETS.map(u32::from), &rows));
    let rows = PACKETS.into_iter().map(by_bytes).collect::<eyre::Result<Vec<_>>>()?;
    results.extend(lines(&BY_BYTES, &PACKETS, &rows));
    Ok(results)
}

/// Records the packets sent to targets.
#[derive(Debug, Default)]
struct Sink {
    targets: Vec<(Ipv4Addr, Flow)>,
}

impl Outlet for Sink {
    fn to_target(&mut self, target: Ipv4Addr, packet: &Packet<'_>) {
        self.targets.push((target, packet.flow));
    }
    fn to_caller(&mut self, packet: &Packet<'_>) {
        black_box(packet);
    }
    fn relay(&mut self, _member: MemberId, _hop: Hop, _packet: &Packet<'_>) {}
    fn refuse(&mut self, _packet: &Packet<'_>, _reason: Reason) {}
    fn reset_caller(&mut self, _packet: &Packet<'_>, _reason: Reason) {}
    fn reset_target(&mut self, _target: Ipv4Addr, _flow: &Flow, _sequence: u32) {}
    fn discard(&mut self, _packet: &Packet<'_>, _reason: Reason) {}
    fn event(&mut self, _event: Event) {}
}

fn config(targets: u8) -> Config {
    let target = |number: u8| Target {
        name: format!("target-{number:03}"),
        zone: "a".into(),
        address: Ipv4Addr::new(10, 1, 0, number),
        slots: 3,
        connections: 4400,
        draining: false,
        released: false,
    };
    let targets: Vec<Target> = (1..=targets).map(target).collect();
    let mut config = Config {
        generation: 1,
        seed: 11,
        services: Vec::new(),
        priorities: vec![Priority { name: "plain".into(), rank: 0, share: 100, queue_ms: 300 }],
        addresses: map::seeded(1),
        endpoints: map::seeded(1),
    };
    config.addresses.insert(SERVICE, ServiceIndex(0));
    for target in &targets {
        config.endpoints.insert(SocketAddrV4::new(target.address, 80), ServiceIndex(0));
    }
    let ports = vec![Port { port: 80, priority: 0, idempotent: false }];
    let service = Service { name: "bookings".into(), address: *SERVICE.ip(), ports, shards: 1, targets };
    config.services.push(Arc::new(service));
    config
}

fn flow(number: u32) -> Flow {
    let [_, high, middle, low] = (number / 50_000).to_be_bytes();
    let port = u16::try_from(number % 50_000).unwrap_or(0) + 10_000;
    Flow { caller: SocketAddrV4::new(Ipv4Addr::new(192, high, middle, low), port), service: SERVICE }
}

fn engine(now: Time, targets: u8) -> Engine {
    let mut engine = Engine::new(Settings { me: MemberId(1), seed: 7, ..Default::default() });
    let member = Member { id: MemberId(1), presence: Presence::Alive, relay: ([127, 0, 0, 1], 9000).into() };
    let view = view::View {
        me: MemberId(1),
        config: Some(Arc::new(config(targets))),
        members: Arc::new([member]),
        hosts: Arc::new(map::seeded(1)),
    };
    engine.apply(now, &view, &mut Sink::default());
    engine
}

fn data(flow: Flow) -> Packet<'static> {
    let packet = Packet::new(flow, Direction::FromCaller, Kind::Data, &[]);
    Packet { sequence: 101, acknowledgement: 501, payload: 9, ..packet }
}

fn answer(flow: Flow, target: Ipv4Addr, kind: Kind) -> Packet<'static> {
    let packet = Packet::new(flow, Direction::FromTarget(target), kind, &[]);
    Packet { sequence: 501, acknowledgement: 110, end: true, payload: 9, ..packet }
}

/// Returns the bytes of the flow table for each flow, and the nanoseconds to handle a packet of a known flow.
fn by_flows(flows: u32) -> eyre::Result<Vec<f64>> {
    let now = Time::from_millis(1);
    let targets = 15;
    let mut engine = engine(now, targets);
    for number in 0..flows {
        let target = Ipv4Addr::new(10, 1, 0, u8::try_from(number % u32::from(targets))? + 1);
        engine.packet(now, Source::Fabric, &answer(flow(number), target, Kind::Data), &mut Sink::default());
    }
    let bytes = count(engine.counters().table_bytes)?;
    let mut sink = Sink::default();
    let mut number = 0_u32;
    let time = shortest_ns(ROUNDS, || {
        for _packet in 0..BATCH {
            number = number.wrapping_add(STRIDE);
            let acknowledgement = Packet { payload: 0, ..data(flow(number % flows)) };
            engine.packet(now, Source::Fabric, &acknowledgement, &mut sink);
            sink.targets.clear();
        }
    });
    Ok(vec![bytes / f64::from(flows), time / f64::from(BATCH)])
}

/// Opens flows at one owner and recovers them at another owner that does not know them. Returns the probes for each
/// recovered flow and the share of the flows that were recovered.
fn by_targets(targets: u8) -> Vec<f64> {
    let now = Time::from_millis(1);
    let mut old = engine(now, targets);
    let mut new = engine(now, targets);
    let mut recovered = 0_u32;
    for number in 0..LOST {
        let flow = flow(number);
        let opening = Packet { sequence: 100, ..Packet::new(flow, Direction::FromCaller, Kind::Opening, &[]) };
        let mut sink = Sink::default();
        old.packet(now, Source::Fabric, &opening, &mut sink);
        let Some((bound, _)) = sink.targets.pop() else { continue };
        new.packet(now, Source::Fabric, &data(flow), &mut sink);
        while let Some((probed, _)) = sink.targets.pop() {
            let is_bound = probed == bound;
            let kind = if is_bound { Kind::Data } else { Kind::Reset };
            new.packet(now, Source::Fabric, &answer(flow, probed, kind), &mut sink);
            recovered += u32::from(is_bound);
            if is_bound {
                break;
            }
        }
    }
    let probes = u32::try_from(new.counters().probes).map_or(f64::NAN, f64::from);
    vec![probes / f64::from(recovered), f64::from(recovered) / f64::from(LOST)]
}

/// Returns the number of bytes that a relay adds to an IP packet of `bytes` bytes.
fn by_bytes(bytes: u32) -> eyre::Result<Vec<f64>> {
    let packet = vec![0; bytes as usize];
    let relay = Relay { version: VERSION, sender: MemberId(u64::MAX), hop: Hop::Owner, packet: &packet };
    Ok(vec![count(rmp_serde::to_vec(&relay)?.len())? - f64::from(bytes)])
}
