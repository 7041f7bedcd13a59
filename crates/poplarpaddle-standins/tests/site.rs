//! Guards against a simulation of the operators' platform that tolerates what the platform would not.
#![allow(missing_docs, clippy::pedantic, reason = "tests name their failures in their names and comments")]

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use poplarpaddle_standins::site::consumer::{Attempt, Outcome};
use poplarpaddle_standins::site::host::{Host, Output};
use poplarpaddle_standins::site::packet::Packet;
use poplarpaddle_standins::site::router::{Balancer, Hash, choose};
use poplarpaddle_standins::site::store::{Behavior, Store};
use serde_json::{Value, json};

fn consumer(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([127, 64, 0, 1].into(), port)
}

fn route() -> SocketAddrV4 {
    "198.18.0.1:443".parse().unwrap()
}

fn with_host_id(id: u64, bytes: &[u8]) -> Vec<u8> {
    [&id.to_be_bytes()[..], bytes].concat()
}

/// Runs one request against a host. `change` may alter the datagrams to the host. Returns the outcome and the host's
/// output without packets.
fn run_request(host: &mut Host, change: impl Fn(Vec<u8>) -> Vec<u8>) -> (Option<Outcome>, Output) {
    let mut now = Instant::now();
    let (mut request, syn) = Attempt::start(now, consumer(2000), route(), 42);
    let mut to_host = vec![syn];
    let mut totals = Output::default();
    for _ in 0..400 {
        let mut output = Output::default();
        for bytes in to_host.drain(..) {
            host.handle_datagram(now, &with_host_id(host.id, &change(bytes)), &mut output);
        }
        host.tick(now, &mut output);
        totals.started.extend(&output.started);
        totals.altered += output.altered;
        for (_, bytes) in output.packets {
            if let Some(outcome) = request.handle_datagram(now, &bytes, &mut to_host) {
                return (Some(outcome), totals);
            }
        }
        now += Duration::from_millis(5);
        if let Some(outcome) = request.tick(now, &mut to_host) {
            return (Some(outcome), totals);
        }
    }
    (None, totals)
}

/// Guards against a host that truncates a response of several packets or runs a request twice.
#[test]
fn a_request_is_answered_in_full_and_runs_once() {
    let mut host = Host::new(7, 3, Duration::from_millis(20), 9000);
    let (outcome, totals) = run_request(&mut host, |bytes| bytes);
    assert_eq!(outcome, Some(Outcome::Answered));
    assert_eq!(totals.started, [(42, route())]);
}

/// The checksum covers everything but the echo value, so that a change of other fields by a balancer is detected.
#[test]
fn a_changed_packet_is_detected_but_a_changed_echo_is_allowed() {
    let mut host = Host::new(7, 3, Duration::from_millis(20), 100);
    let (outcome, totals) = run_request(&mut host, |mut bytes| {
        bytes[4..8].copy_from_slice(&[1, 2, 3, 4]);
        bytes
    });
    assert_eq!((outcome, totals.altered), (Some(Outcome::Answered), 0));
    let mut host = Host::new(7, 3, Duration::from_millis(20), 100);
    let (outcome, totals) = run_request(&mut host, |mut bytes| {
        bytes[16] ^= 1;
        bytes
    });
    assert_eq!(outcome, Some(Outcome::Unopened));
    assert!(totals.altered > 0);
}

/// Guards against a host that accepts packets which a balancer sent to another host.
#[test]
fn a_host_ignores_packets_for_another_host() {
    let mut host = Host::new(7, 3, Duration::from_millis(20), 100);
    let (_, syn) = Attempt::start(Instant::now(), consumer(2000), route(), 42);
    let mut output = Output::default();
    host.handle_datagram(Instant::now(), &with_host_id(8, &syn), &mut output);
    assert!(output.packets.is_empty());
    host.handle_datagram(Instant::now(), &with_host_id(0, &syn), &mut output);
    assert_eq!(output.packets.len(), 1);
}

/// Guards against a host that ignores packets of flows that it does not know.
#[test]
fn a_packet_of_an_unknown_flow_gets_a_reset() {
    let mut host = Host::new(7, 3, Duration::from_millis(20), 100);
    let packet =
        Packet { source: consumer(1), destination: route(), flags: 4, echo: 0, seq: 1, ack: 2000, data: vec![] };
    let mut output = Output::default();
    host.handle_datagram(Instant::now(), &with_host_id(7, &packet.encode()), &mut output);
    let (reset, valid) = Packet::decode(&output.packets[0].1).unwrap();
    assert!(valid && reset.has(16) && !Packet::is_system_reset(&output.packets[0].1));
}

/// Guards against a consumer that ignores a reset by the system under test, which has no valid checksum.
#[test]
fn a_system_reset_ends_a_flow() {
    let (mut request, _) = Attempt::start(Instant::now(), consumer(2000), route(), 42);
    let mut reset = vec![0; 32];
    reset[8] = 16;
    assert_eq!(request.handle_datagram(Instant::now(), &reset, &mut Vec::new()), Some(Outcome::Unopened));
}

/// Guards against routers that move too few or too many flows when a balancer leaves, or that overload the few
/// balancers in rotation when most are out.
#[test]
fn rendezvous_hashing_moves_few_flows_and_modulo_hashing_most() {
    let address = |number: u8| SocketAddrV4::new([127, 1, 0, number].into(), 1);
    let all: Vec<Balancer> = (1..=10).map(|number| Balancer { address: address(number), failed_checks: 0 }).collect();
    let mut fewer = all.clone();
    fewer[3].failed_checks = 2;
    for (hash, moved_at_most, moved_at_least) in [(Hash::Rendezvous, 150, 50), (Hash::Modulo, 1000, 800)] {
        let moved = (0..1000).filter(|flow| choose(hash, &all, *flow) != choose(hash, &fewer, *flow)).count();
        assert!((moved_at_least..=moved_at_most).contains(&moved), "{hash:?} moved {moved}");
    }
    let mut most_out = all.clone();
    most_out[..6].iter_mut().for_each(|balancer| balancer.failed_checks = 2);
    let used: std::collections::BTreeSet<_> =
        (0..1000).filter_map(|flow| choose(Hash::Modulo, &most_out, flow)).collect();
    assert_eq!(used.len(), 10, "all balancers are used if fewer than half are in rotation");
}

async fn serve(store: &Store) -> String {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let router = store.router();
    tokio::spawn(async move { axum::serve(listener, router).await });
    format!("http://{address}/poplarpaddle/objects")
}

async fn get(url: &str) -> (u16, Value) {
    let response = reqwest::get(url).await.unwrap();
    (response.status().as_u16(), response.json().await.unwrap_or(Value::Null))
}

/// Guards against a store whose pages or watches omit objects or changes, or that serves a watch from before a
/// compaction.
#[tokio::test]
async fn lists_are_paginated_and_watches_continue_from_them() {
    let store = Store::new(10_000);
    for number in 0..120 {
        store.set("servers", &format!("i-{number:03}"), json!({"number": number}));
    }
    let url = serve(&store).await;
    let (_, first) = get(&format!("{url}/servers")).await;
    assert_eq!((first["items"].as_array().unwrap().len(), &first["has_more"]), (50, &json!(true)));
    let (_, last) = get(&format!("{url}/servers?after=i-099")).await;
    assert_eq!((last["items"].as_array().unwrap().len(), &last["has_more"]), (20, &json!(false)));
    let as_of = last["as_of"].as_u64().unwrap();
    store.set("servers", "i-000", json!({"number": 0}));
    let (_, same) = get(&format!("{url}/servers?watch={as_of}&wait_ms=20")).await;
    assert_eq!(same["events"], json!([]), "a write that changes nothing causes no event");
    store.remove("servers", "i-000");
    let (_, events) = get(&format!("{url}/servers?watch={as_of}&wait_ms=20")).await;
    assert_eq!(
        (&events["events"][0]["deleted"], &events["events"][0]["object"]["meta"]["name"]),
        (&json!(true), &json!("i-000"))
    );
    store.compact();
    assert_eq!(get(&format!("{url}/servers?watch={as_of}&wait_ms=20")).await.0, 410);
}

/// Guards against a restored store that keeps what was written after the copy, or tells nothing of its new epoch.
#[tokio::test]
async fn a_restored_store_gives_out_revisions_again() {
    let store = Store::new(10_000);
    let url = serve(&store).await;
    let client = reqwest::Client::new();
    store.set("config", "main", json!({"version": 1}));
    store.copy();
    let own = json!({"meta": {"name": "one"}, "spec": 1});
    assert!(client.post(format!("{url}/own")).json(&own).send().await.unwrap().status().is_success());
    store.set("config", "main", json!({"version": 2}));
    store.set("servers", "i-1", json!({}));
    let before = get(&format!("{url}/config")).await.1["as_of"].as_u64().unwrap();
    store.restore("own");
    let response = reqwest::get(format!("{url}/config")).await.unwrap();
    assert_eq!(response.headers()["store-era"], "1");
    let page: Value = response.json().await.unwrap();
    assert_eq!(page["items"][0]["spec"]["version"], 2, "the operator has written it again");
    assert!(page["as_of"].as_u64().unwrap() < before);
    assert_eq!(get(&format!("{url}/servers/i-1")).await.0, 200);
    assert_eq!(get(&format!("{url}/own/one")).await.0, 404, "nobody else writes it again");
    assert_eq!(get(&format!("{url}/config?watch={before}&wait_ms=20")).await.0, 410);
}

/// Guards against a store that accepts stale writes, or that loses a write together with its response.
#[tokio::test]
async fn writes_are_conditional_and_their_responses_can_be_lost() {
    let store = Store::new(10_000);
    let url = serve(&store).await;
    let client = reqwest::Client::new();
    let object = json!({"meta": {"name": "one"}, "spec": 1});
    let created: Value = client.post(format!("{url}/own")).json(&object).send().await.unwrap().json().await.unwrap();
    let revision = created["meta"]["revision"].as_u64().unwrap();
    assert_eq!(client.post(format!("{url}/own")).json(&object).send().await.unwrap().status(), 409);
    let stale = json!({"meta": {"name": "one", "revision": revision + 5}, "spec": 2});
    assert_eq!(client.put(format!("{url}/own/one")).json(&stale).send().await.unwrap().status(), 409);
    store.set_behavior(Behavior::LosingResponses);
    let write = json!({"meta": {"name": "one", "revision": revision}, "spec": 3});
    let result = client.put(format!("{url}/own/one")).json(&write).timeout(Duration::from_millis(100)).send().await;
    assert!(result.unwrap_err().is_timeout());
    store.set_behavior(Behavior::Normal);
    assert_eq!(get(&format!("{url}/own/one")).await.1["spec"], 3, "the write took effect");
    store.set_behavior(Behavior::Unavailable);
    assert_eq!(get(&format!("{url}/own/one")).await.0, 503);
}

/// Guards against a store that does not enforce its rate limit.
#[tokio::test]
async fn calls_beyond_the_rate_are_refused() {
    let store = Store::new(5);
    let url = serve(&store).await;
    let mut refused = 0;
    for _ in 0..8 {
        refused += u32::from(get(&format!("{url}/servers")).await.0 == 429);
    }
    assert_eq!((refused, store.calls()), (3, (8, 3)));
}
