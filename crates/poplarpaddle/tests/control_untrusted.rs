//! Tests with untrusted messages and random events on virtual time.
#![allow(
    missing_docs,
    dead_code,
    clippy::pedantic,
    reason = "test names describe the behavior; the shared network has unused items"
)]

use poplarpaddle::control::{Action, Answer, CallId, Node, Offer, Settings};
use poplarpaddle::error::Kind;
use poplarpaddle::path::MemberId;
use poplarpaddle::store::{Call, Object, Outcome};
use poplarpaddle::time::Time;
use poplarpaddle::wire::{Gossip, Leaving, Record, State};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

#[path = "control/net.rs"]
mod net;
#[path = "control/store.rs"]
mod store;

use net::{FakeConfig, Net, address};

fn record(id: u64, n: u16) -> Record {
    Record {
        id: MemberId(id),
        name: format!("balancer-{n}"),
        zone: "zone".into(),
        region: "region".into(),
        peer: address(n),
        relay: address(n + 1000),
        incarnation: 0,
        state: State::Alive,
    }
}

fn gossip() -> Gossip {
    Gossip {
        version: 1,
        sender: record(2, 2),
        generation: 3,
        digest: [7; 32],
        table: 9,
        updates: vec![record(3, 3), Record { state: State::Suspect, ..record(4, 4) }],
        leaving: vec![Leaving { host: [10, 1, 0, 1].into(), ttl_ms: 30_000 }],
        ping: Some(MemberId(3)),
        pong: Some(MemberId(4)),
        page: Some(MemberId(0)),
    }
}

fn node() -> Node {
    let settings = Settings { id: MemberId(1), peer: address(1), ..Default::default() };
    Node::new(Time::from_millis(0), settings, Box::new(FakeConfig::default()))
}

/// Guards against invalid records that enter the member table. Each one is an error of kind `Message` that names the
/// field, and the message has no effect.
#[test]
fn invalid_messages_are_rejected() {
    type Change = fn(&mut Gossip);
    let cases: [(&str, Change); 13] = [
        ("version", |g| g.version = 2),
        ("sender.name", |g| g.sender.name.clear()),
        ("sender.zone", |g| g.sender.zone = "z".repeat(65)),
        ("sender.region", |g| g.sender.region = "other".into()),
        ("sender.peer", |g| g.sender.peer.set_port(0)),
        ("sender.relay", |g| g.sender.relay.set_ip([0, 0, 0, 0].into())),
        ("sender.incarnation", |g| g.sender.incarnation = u64::MAX),
        ("generation", |g| g.generation = u64::MAX),
        ("updates: 65", |g| g.updates = vec![record(3, 3); 65]),
        ("updates.id", |g| g.updates.push(Record { name: "other".into(), ..record(1, 1) })),
        ("updates.incarnation", |g| g.updates[0].incarnation = 1 << 60),
        ("leaving: 65", |g| g.leaving = vec![g.leaving[0]; 65]),
        ("leaving.ttl_ms", |g| g.leaving[0].ttl_ms = 60_001),
    ];
    for (path, change) in cases {
        let mut node = node();
        let mut message = gossip();
        change(&mut message);
        let error = node.handle_message(Time::from_millis(1), &message).unwrap_err();
        assert_eq!(error.kind(), Kind::Message, "{path}");
        assert!(error.message().starts_with(&format!("gossip {path}")), "{path}: {error}");
        assert!(node.status(Time::from_millis(1)).members.is_empty(), "{path}: the message had an effect");
    }
    node().handle_message(Time::from_millis(1), &gossip()).unwrap();
}

/// Guards against a panic, an endless loop or an oversized response caused by mutated bytes of a message.
#[test]
fn mutated_bytes_never_panic() {
    let mut random = Pcg64Mcg::seed_from_u64(11);
    let bytes = gossip().encode().unwrap();
    let mut node = node();
    let (mut accepted, mut decoded) = (0, 0);
    for round in 0..50_000_u64 {
        let now = Time::from_millis(round * 20);
        let mut mutant = bytes.clone();
        for _ in 0..random.random_range(1..4) {
            let at = random.random_range(0..mutant.len());
            mutant[at] = random.random();
        }
        if random.random_bool(0.1) {
            mutant.truncate(random.random_range(0..bytes.len()));
        }
        let Ok(message) = Gossip::decode(&mutant) else { continue };
        decoded += 1;
        if let Ok(answer) = node.handle_message(now, &message) {
            accepted += 1;
            assert!(answer.encode().unwrap().len() < 3_000);
        }
        let _ = node.handle_answer(now, &Answer::Gossip { to: message.sender.peer, outcome: Ok(&message) });
        node.tick(now);
        assert!(node.deadline() > now, "round {round}: the next tick is due at once");
        assert!(node.take_actions().len() < 100, "round {round}");
    }
    assert!(
        decoded > 10_000 && accepted > 5_000,
        "decoded {decoded}, accepted {accepted}: too few for a meaningful test"
    );
    assert!(node.status(Time::from_millis(0)).members.len() < 4096, "the member table is not bounded");
}

/// Guards against a peer that prevents fetches from other peers by reporting a high generation that it cannot serve.
#[test]
fn false_generation_does_not_block_fetches() {
    let mut node = node();
    let correct = Gossip { generation: 5, ..gossip() };
    let faulty = Gossip { sender: record(9, 9), generation: 1 << 50, ..gossip() };
    let manifest = serde_json::to_vec(&net::manifest(5, &["a"])).unwrap();
    let mut now = 0;
    while node.status(Time::from_millis(now)).generation < 5 {
        now += 100;
        assert!(now < 7_000, "the configuration is not in force after 7 s");
        let time = Time::from_millis(now);
        for message in [&correct, &Gossip { generation: faulty.generation + now, ..faulty.clone() }] {
            node.handle_message(time, message).unwrap();
        }
        node.tick(time);
        for action in node.take_actions() {
            match action {
                // The faulty peer serves a manifest whose parts do not exist.
                Action::FetchManifest { peer, .. } => {
                    let missing_parts = serde_json::to_vec(&net::manifest(1 << 50, &["none"])).unwrap();
                    let bytes = if peer == address(9) { &missing_parts } else { &manifest };
                    let _ = node.handle_answer(time, &Answer::Manifest { peer, outcome: Ok(bytes) });
                }
                Action::FetchPart { peer, digest } => {
                    let part = net::part_bytes("a");
                    let bytes = if peer == address(9) { &b"x"[..] } else { &part };
                    let _ = node.handle_answer(time, &Answer::Part { peer, digest, outcome: Ok(bytes) });
                }
                _ => {}
            }
        }
    }
}

#[derive(Debug, Clone)]
enum Change {
    Kill(u16),
    Leave(u16),
    Start,
    Pause(u16, u64),
    Cut(u16, bool),
    Heal,
    Publish,
    Loss(bool),
    Store(bool),
    LoseAnswers(u32),
    Wait(u64),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        (0..12_u16).prop_map(Change::Kill),
        (0..12_u16).prop_map(Change::Leave),
        Just(Change::Start),
        (0..12_u16, 500..30_000_u64).prop_map(|(n, ms)| Change::Pause(n, ms)),
        (0..3_u16, any::<bool>()).prop_map(|(zone, store)| Change::Cut(zone, store)),
        Just(Change::Heal),
        Just(Change::Publish),
        any::<bool>().prop_map(Change::Loss),
        any::<bool>().prop_map(Change::Store),
        (1..4_u32).prop_map(Change::LoseAnswers),
        (100..15_000_u64).prop_map(Change::Wait),
    ]
}

/// Applies `change`; `serial` is the number of a new node or generation.
fn perform(net: &mut Net, change: &Change, serial: u16) {
    let nth = |net: &Net, n: u16| *net.processes.keys().nth(usize::from(n) % net.processes.len()).unwrap();
    match change {
        // Four nodes always stay, so that new nodes have members to join.
        Change::Kill(n) if net.processes.len() > 4 => {
            let at = nth(net, *n);
            net.remove(at);
        }
        Change::Leave(n) if net.processes.len() > 4 => {
            let (at, now) = (nth(net, *n), net.now);
            net.processes.get_mut(&at).unwrap().node.leave(now);
            net.run(500);
            net.assert_single_holders();
            net.processes.get_mut(&at).unwrap().node.stop(net.now);
            net.run(10);
            net.remove(at);
        }
        Change::Kill(_) | Change::Leave(_) => {}
        Change::Start => {
            let seeds: Vec<_> = net.processes.keys().copied().take(2).collect();
            net.start(100 + serial, &seeds);
        }
        Change::Pause(n, ms) => {
            let at = nth(net, *n);
            let until = net.now + std::time::Duration::from_millis(*ms);
            net.processes.get_mut(&at).unwrap().pause_until(until);
        }
        Change::Cut(zone, store) => drop(net.cut.insert(format!("zone-{zone}"), *store)),
        Change::Heal => net.cut.clear(),
        Change::Publish => net.store.publish(u64::from(serial), &["a", &format!("b{serial}")]),
        Change::Loss(on) => net.loss = if *on { 0.1 } else { 0.0 },
        Change::Store(up) => net.store.down = !up,
        Change::LoseAnswers(count) => net.store.lose_answers = Some(("lease".into(), *count)),
        Change::Wait(ms) => {
            for _ in 0..ms.div_ceil(250) {
                net.run(250);
                net.assert_single_holders();
            }
        }
    }
}

proptest! {
    #![proptest_config(Config { cases: 60, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() })]

    /// Guards against two simultaneous holders of one lease, a node that returns to an older configuration, a stale
    /// status, and a fleet that does not converge after any sequence of events.
    #[test]
    fn fleet_recovers_from_random_events(changes in prop::collection::vec(change(), 1..30)) {
        let mut net = Net::fleet(1, 12, 8_000);
        net.store.publish(1, &["a"]);
        for (n, change) in changes.iter().enumerate() {
            perform(&mut net, change, n as u16 + 2);
            net.run(50);
        }
        net.cut.clear();
        net.loss = 0.0;
        net.store.down = false;
        // The longest pause ends within this time, then leases expire and the last manifest reaches all nodes.
        perform(&mut net, &Change::Wait(60_000), 0);
        net.assert_generations_never_decrease();
        prop_assert!(net.converged(), "the members do not all know each other");
        let newest = net.store.get("manifest", "fleet").unwrap().value["generation"].as_u64().unwrap();
        prop_assert_eq!(net.generations(), [newest].into());
        prop_assert!(net.store.status_epochs_sorted(), "a stale holder wrote a status");
        for zone in ["zone-0", "zone-1", "zone-2"] {
            let members = net.processes.values().filter(|process| process.zone == zone).count();
            prop_assert_eq!(net.holders(zone).len(), members.min(2), "{}", zone);
        }
    }
}

/// Ticks `node` until it calls the store for `zone-0`, and returns the call.
fn lease_call(node: &mut Node, now: &mut u64) -> (CallId, Call) {
    loop {
        let lease = |action| match action {
            Action::Store { id, call, .. } if format!("{call:?}").contains("zone-0") => Some((id, call)),
            _ => None,
        };
        if let Some(found) = node.take_actions().into_iter().find_map(lease) {
            return found;
        }
        *now = node.deadline().as_millis().max(*now + 1);
        assert!(*now < 60_000, "no call for the lease");
        node.tick(Time::from_millis(*now));
    }
}

/// Guards against a late response to a write that is mistaken for the response to the read-back, which is then ignored.
#[test]
fn late_answer_of_a_lease_call_is_ignored() {
    let (mut node, mut now) = (node(), 0);
    let answer = |node: &mut Node, now, id, outcome| {
        node.handle_answer(Time::from_millis(now), &Answer::Store { id, outcome: &outcome }).unwrap();
    };
    let (first, _) = lease_call(&mut node, &mut now);
    answer(&mut node, now, first, Outcome::Object(None));
    let (write, Call::Put { kind, name, value, .. }) = lease_call(&mut node, &mut now) else { panic!("no write") };
    let (read, Call::Get { .. }) = lease_call(&mut node, &mut now) else { panic!("no read-back") };
    answer(&mut node, now, write, Outcome::Written(5));
    answer(&mut node, now, read, Outcome::Object(Some(Object { kind, name, version: 5, value })));
    assert_eq!(node.status(Time::from_millis(now)).leases[0].epoch, Some(1));
}

/// Guards against two different manifests of one generation that are not reported.
#[test]
fn differing_manifests_are_reported_once_for_each_peer() {
    let settings = Settings { id: MemberId(1), peer: address(1), ..Default::default() };
    let mut node = Node::new(Time::from_millis(0), settings, Box::new(FakeConfig::with_parts(3, &["a"])));
    for ms in 1..10 {
        node.handle_message(Time::from_millis(ms), &gossip()).unwrap();
    }
    let conflict = |action: &Action| matches!(action, Action::Event(event) if event.name == "config.conflict");
    assert_eq!(node.take_actions().iter().filter(|action| conflict(action)).count(), 1);
}

/// Guards against a fake configuration that accepts what the real one rejects; the tests above rely on it.
#[test]
fn fake_configuration_needs_its_parts() {
    use poplarpaddle::control::Configuration;
    let mut config = FakeConfig::with_parts(2, &["a"]);
    let bytes = |generation| serde_json::to_vec(&net::manifest(generation, &["a", "b"])).unwrap();
    assert_eq!(config.offer(&bytes(1)), Ok(Offer::Stale));
    assert!(matches!(config.offer(&bytes(3)), Ok(Offer::Missing(parts)) if parts.len() == 1));
    assert_eq!(config.generation(), 2);
    assert_eq!(config.supply(&net::part_bytes("b")), Ok(Offer::Applied));
}
