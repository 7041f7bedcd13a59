//! Measures the time to handle a packet by the number of flows, the memory for each flow, and the pause of a
//! configuration change that moves flows between shards.
//!
//! `known` visits flows in an order without locality, which is the worst case for CPU caches. `opening` and `unknown`
//! each include the caller's reset, which ends the flow again.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use poplarpaddle::map;
use poplarpaddle::packet::Kind;
use poplarpaddle::path::{Engine, Settings};
use poplarpaddle::prelude::*;
use poplarpaddle::view::{self, Config, Member, Port, Presence, Priority, Service, ServiceIndex, Target};

/// Numbers of flows, up to the largest table of a balancer today.
const SIZES: [u32; 3] = [10_000, 100_000, 500_000];

/// Number of targets of the service, as in the larger service of a current user.
const TARGETS: u8 = 15;

/// Step between the flows of consecutive packets. Odd and larger than every size, so that the steps visit all flows in
/// an order without locality.
const STRIDE: u32 = 0x9e37_79b1;

const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 80);

/// Discards all output of the engine.
struct Sink;

impl Outlet for Sink {
    fn to_target(&mut self, target: Ipv4Addr, packet: &Packet<'_>) {
        black_box((target, packet));
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

fn config(shards: u16) -> Config {
    let targets = (1..=TARGETS).map(|number| Target {
        name: format!("target-{number:02}"),
        zone: "a".into(),
        address: Ipv4Addr::new(10, 1, 0, number),
        slots: 3,
        connections: 4400,
        draining: false,
        released: false,
    });
    let targets: Vec<Target> = targets.collect();
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
    let service = Service { name: "bookings".into(), address: *SERVICE.ip(), ports, shards, targets };
    config.services.push(Arc::new(service));
    config
}

fn flow(number: u32) -> Flow {
    let [_, high, middle, low] = (number / 50_000).to_be_bytes();
    let port = u16::try_from(number % 50_000).unwrap_or(0) + 10_000;
    Flow { caller: SocketAddrV4::new(Ipv4Addr::new(192, high, middle, low), port), service: SERVICE }
}

fn packet(flow: Flow, kind: Kind, sequence: u32) -> Packet<'static> {
    Packet { sequence, acknowledgement: 501, ..Packet::new(flow, Direction::FromCaller, kind, &[]) }
}

/// Returns the view of a fleet with a single member.
fn view(config: &Arc<Config>) -> view::View {
    let member = Member { id: MemberId(1), presence: Presence::Alive, relay: ([127, 0, 0, 1], 9000).into() };
    view::View {
        me: MemberId(1),
        config: Some(Arc::clone(config)),
        members: Arc::new([member]),
        hosts: Arc::new(map::seeded(1)),
    }
}

/// Returns an engine with `flows` established flows in its table.
fn engine(flows: u32, now: Time) -> Engine {
    let mut engine = Engine::new(Settings { me: MemberId(1), seed: 7, ..Default::default() });
    engine.apply(now, &view(&Arc::new(config(1))), &mut Sink);
    for number in 0..flows {
        let target = Ipv4Addr::new(10, 1, 0, u8::try_from(number % u32::from(TARGETS)).unwrap_or(0) + 1);
        let answer = Packet::new(flow(number), Direction::FromTarget(target), Kind::Data, &[]);
        let answer = Packet { sequence: 501, acknowledgement: 101, end: true, payload: 9, ..answer };
        engine.packet(now, Source::Fabric, &answer, &mut Sink);
    }
    engine
}

fn bench(criterion: &mut Criterion) {
    let now = Time::from_millis(1);
    let mut group = criterion.benchmark_group("path");
    for size in SIZES {
        let mut engine = engine(size, now);
        let counters = engine.counters();
        let per_flow = counters.table_bytes / counters.flows;
        println!("{size} flows: {per_flow} bytes per flow, {} bytes in the table", counters.table_bytes);
        let configs = [1, 2].map(|shards| view(&Arc::new(config(shards))));
        let mut round = 0;
        group.bench_function(BenchmarkId::new("move_flows", size), |bencher| {
            bencher.iter(|| {
                round += 1;
                engine.apply(now, &configs[round % 2], &mut Sink);
            });
        });
        let mut number = 0_u32;
        group.bench_function(BenchmarkId::new("known", size), |bencher| {
            bencher.iter(|| {
                number = number.wrapping_add(STRIDE);
                let flow = flow(number % size);
                engine.packet(now, Source::Fabric, &packet(flow, Kind::Data, 101), &mut Sink);
            });
        });
        // The caller's reset follows each packet, so that the number of flows remains constant.
        for (name, kind) in [("opening", Kind::Opening), ("unknown", Kind::Data)] {
            group.bench_function(BenchmarkId::new(name, size), |bencher| {
                bencher.iter(|| {
                    number = number.wrapping_add(1);
                    let flow = flow(size + number % size);
                    engine.packet(now, Source::Fabric, &packet(flow, kind, 100), &mut Sink);
                    engine.packet(now, Source::Fabric, &packet(flow, Kind::Reset, 101), &mut Sink);
                });
            });
        }
    }
    group.finish();
}

criterion_group! {
    name = path;
    config = Criterion::default()
        .warm_up_time(Duration::from_millis(500))
        .measurement_time(Duration::from_secs(2))
        .sample_size(30)
        .without_plots();
    targets = bench
}
criterion_main!(path);
