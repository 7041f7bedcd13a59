//! Measures the memory of a balancer's registered hosts and routes and the cost of a change, at several sizes.
//!
//! Run it with `cargo run --release -p poplarpaddle --example registry`. Memory is the resident set of the process.
#![allow(missing_docs, clippy::pedantic, reason = "prints measured figures")]

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Instant;

use poplarpaddle::direct::{Engine, Settings};
use poplarpaddle::feed::Topic;
use poplarpaddle::fleet::{self, Node, Response, Revisions};
use poplarpaddle::mark::HostId;
use poplarpaddle::path::MemberId;
use poplarpaddle::registry::{General, Host, Route, State};
use poplarpaddle::replica::{Delta, Item};
use poplarpaddle::revision::Revision;
use poplarpaddle::time::Time;
use poplarpaddle::wire;

/// Numbers of hosts and routes of the compared sizes; the last one is the size for which the load balancer is
/// designed.
const SIZES: [(u32, u32); 4] = [(150, 250), (1_500, 1_100), (15_000, 3_300), (73_000, 11_000)];

fn main() {
    println!("hosts, routes, resident MB, read ms, bytes of a change of one host, of one route, of all, pull ms");
    for (hosts, routes) in SIZES {
        measure(hosts, routes);
    }
}

fn measure(hosts: u32, routes: u32) {
    let before = resident_mb();
    let now = Time::from_millis(1);
    let mut node = Node::new(now, fleet::Settings::default(), record());
    let mut engine = Engine::new(Settings { zone: "zone-0".into(), ..Default::default() });
    let start = Instant::now();
    node.store_answered(now, Topic::Hosts, Ok(Response::Hosts { delta: all_hosts(hosts), faults: Vec::new() }));
    let content =
        Some((General { version: 1, idle_ms: 15_000, ..General::default() }, (0..routes).map(route).collect()));
    node.store_answered(now, Topic::Routes, Ok(Response::Routes { as_of: 2.into(), content, faults: Vec::new() }));
    for (name, host) in node.hosts().iter() {
        engine.set_host(now, name, Some(host), now);
    }
    for (address, route) in node.routes().iter() {
        engine.set_route(now, *address, Some(route));
    }
    drop(node.actions());
    let read_ms = start.elapsed().as_millis();
    let resident = resident_mb() - before;
    let item = Item { value: Host { state: State::Draining, ..host(0) }, ..item(0, 3) };
    let delta = Delta { base: 2.into(), to: 3.into(), put: vec![item], removed: Vec::new(), gaps: vec![] };
    node.store_answered(now, Topic::Hosts, Ok(Response::Hosts { delta, faults: Vec::new() }));
    let mut changed: Vec<_> = (0..routes).map(route).collect();
    changed[0].1.timeout_ms = 9;
    let content = Some((General { version: 2, idle_ms: 15_000, ..General::default() }, changed));
    node.store_answered(now, Topic::Routes, Ok(Response::Routes { as_of: 4.into(), content, faults: Vec::new() }));
    let since =
        |hosts: u64, version: u64| Revisions { hosts: hosts.into(), routes: version.into(), ..Revisions::default() };
    let one_host = node.changes_since(now, since(2, 2)).unwrap().encode().unwrap().len();
    let one_route = node.changes_since(now, since(4, 1)).unwrap().encode().unwrap().len();
    let start = Instant::now();
    let whole = node.changes_since(now, Revisions::default()).unwrap().encode().unwrap().len();
    let pull_ms = start.elapsed().as_millis();
    println!("{hosts}, {routes}, {resident:.1}, {read_ms}, {one_host}, {one_route}, {whole}, {pull_ms}");
}

fn resident_mb() -> f64 {
    const PAGE_BYTES: f64 = 4096.0;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or_default();
    pages * PAGE_BYTES / 1e6
}

fn record() -> wire::Record {
    let address = "10.0.0.1:7000".parse().expect("a valid address");
    wire::Record {
        id: MemberId(1),
        name: "edge-1".into(),
        zone: "zone-0".into(),
        region: "region".into(),
        peer: address,
        relay: address,
        incarnation: 0,
        state: wire::State::Alive,
    }
}

fn all_hosts(count: u32) -> Delta<String, Host> {
    Delta {
        base: Revision::NONE,
        to: 2.into(),
        put: (0..count).map(|number| item(number, 1)).collect(),
        removed: Vec::new(),
        gaps: Vec::new(),
    }
}

fn item(number: u32, changed: u64) -> Item<String, Host> {
    Item { key: format!("i-{:010x}", u64::from(number) + 1), value: host(number), changed: changed.into() }
}

fn host(number: u32) -> Host {
    Host {
        id: HostId(u64::from(number) + 1),
        service: format!("service-{}", number % 11_000),
        address: SocketAddrV4::new(Ipv4Addr::from_bits(0x0a00_0000 + number), 8080),
        zone: format!("zone-{}", number % 12),
        slots: 3,
        state: State::Ready,
        cold_until: Time::default(),
        born: 1,
        sequence: 1,
    }
}

fn route(number: u32) -> (SocketAddrV4, Route) {
    let service = format!("service-{}", number % 11_000);
    let address = SocketAddrV4::new(Ipv4Addr::from_bits(0xc612_0000 + number), 443);
    (address, Route { name: format!("route-{number}"), service, timeout_ms: 2000, ..Default::default() })
}
