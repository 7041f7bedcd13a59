//! Tests of hedged openings.

use std::net::Ipv4Addr;
use std::sync::Arc;

use poplarpaddle::admission::{self, Gate};
use poplarpaddle::hedge;
use poplarpaddle::packet::{Kind, View};
use poplarpaddle::path::{Factory, Settings};
use poplarpaddle::prelude::*;
use poplarpaddle::view::{Config, Priority};

use crate::fleet::{
    Action, Node, answer, config, data, flow, host, members, owner, reset, syn, syn_ack, view, with_idempotent_ports,
};

/// Openings that are accepted before a test starts, so that the delay is known.
const SAMPLES: u16 = 60;

/// A time after which an opening is slow, and which is shorter than the timeout of an opening.
const SLOW_MS: u64 = 50;

#[derive(Debug)]
struct Gates;

impl Factory for Gates {
    fn gate(&self, _service: &str, _shard: u16, priorities: &[Priority]) -> Box<dyn Gate> {
        admission::gate(admission::Settings { priorities: priorities.to_vec(), ..Default::default() })
    }
}

fn settings(percent: u32) -> Settings {
    let hedge = hedge::Settings { percent, ..Default::default() };
    Settings { seed: 5, gates: Arc::new(Gates), hedge, ..Default::default() }
}

fn node_of(config: &Config, percent: u32) -> Node {
    let mut node = Node::new(settings(percent), &view(1, config, &members(&[1], &[]), &[]));
    warm_up(&mut node);
    node
}

fn node() -> Node {
    node_of(&with_idempotent_ports(config(&[6], 1)), 20)
}

/// Opens and closes flows that are accepted at once.
fn warm_up(node: &mut Node) {
    for caller in 0..SAMPLES {
        let flow = flow(1_000 + caller);
        let target = node.open(flow);
        let mut close = data(flow, 101, 501, 0);
        close.kind = Kind::Reset;
        assert_eq!(node.fabric(&close), [Action::Target(target, Kind::Reset, 101)]);
    }
}

/// Sends an opening and waits until it is hedged; returns its first and second target.
fn hedged(node: &mut Node, flow: Flow) -> (Ipv4Addr, Ipv4Addr) {
    let first = node.fabric(&syn(flow, 100));
    let second = node.wait(SLOW_MS);
    match (&*first, &*second) {
        (&[Action::Target(first, Kind::Opening, 100)], &[Action::Target(second, Kind::Opening, 100)]) => {
            assert_ne!(first, second);
            (first, second)
        }
        other => panic!("{other:?}"),
    }
}

/// Guards against a second target whose SYN-ACK or answer reaches a caller that is connected to the other one, and against
/// a connection that stays half open at the loser.
#[test]
fn first_answer_wins_and_the_other_target_is_reset_after_the_acknowledgement() {
    for is_second_faster in [false, true] {
        let mut node = node();
        let (first, second) = hedged(&mut node, flow(1));
        let (winner, loser) = if is_second_faster { (second, first) } else { (first, second) };
        assert_eq!(node.fabric(&syn_ack(flow(1), winner, 500, 101)), [Action::Caller(Kind::Accept)]);
        let late = node.fabric(&syn_ack(flow(1), loser, 0x4000_0000, 101));
        assert_eq!(late, [Action::Discard(Reason::WrongTarget)], "the caller may be connected to it elsewhere");
        let request = node.fabric(&data(flow(1), 101, 501, 20));
        assert_eq!(request, [Action::Target(winner, Kind::Data, 101), Action::ResetTarget(loser)]);
        assert_eq!(node.fabric(&answer(flow(1), winner, 501, 121, 30)), [Action::Caller(Kind::Data)]);
        // The reset was lost, and the loser repeats its SYN-ACK.
        let repeated = node.fabric(&syn_ack(flow(1), loser, 0x4000_0000, 101));
        assert_eq!(repeated, [Action::Discard(Reason::WrongTarget), Action::ResetTarget(loser)]);
        assert_eq!(node.fabric(&answer(flow(1), loser, 0x4000_0001, 101, 0)), [Action::Discard(Reason::WrongTarget)]);
        assert_eq!(node.engine.target(&flow(1)), Some(winner));
        let counters = node.engine.counters();
        assert_eq!((counters.hedges, counters.hedges_won), (1, u64::from(is_second_faster)));
    }
}

/// Guards against an opening that fails although one of its two targets could still accept it.
#[test]
fn opening_continues_with_the_target_that_remains() {
    for is_first_shedding in [false, true] {
        let mut node = node();
        let (first, second) = hedged(&mut node, flow(1));
        let (shedding, other) = if is_first_shedding { (first, second) } else { (second, first) };
        assert_eq!(node.fabric(&reset(flow(1), shedding, 101)), [Action::Discard(Reason::StrayReset)]);
        assert_eq!(node.wait(20), [], "no third target gets a copy");
        assert_eq!(node.fabric(&syn_ack(flow(1), other, 500, 101)), [Action::Caller(Kind::Accept)]);
        assert_eq!(node.engine.target(&flow(1)), Some(other));
    }
}

/// Guards against a half-open connection at the second target after the caller gave up.
#[test]
fn reset_of_the_caller_reaches_both_targets() {
    let mut node = node();
    let (first, second) = hedged(&mut node, flow(1));
    let mut abort = data(flow(1), 101, 0, 0);
    abort.kind = Kind::Reset;
    let expected = [Action::Target(first, Kind::Reset, 101), Action::Target(second, Kind::Reset, 101)];
    assert_eq!(node.fabric(&abort), expected);
    assert_eq!(
        node.fabric(&syn_ack(flow(2), second, 500, 101)).len(),
        1,
        "a flow without a hedge is learned as before"
    );
}

/// Runs the same load on a node: openings of which every fifth is answered late, with requests on them.
fn play(node: &mut Node) -> Vec<Action> {
    let mut actions = Vec::new();
    for caller in 0..200 {
        let flow = flow(caller);
        let sent = node.fabric(&syn(flow, 100));
        actions.extend(node.wait(if caller % 5 == 0 { SLOW_MS } else { 1 }));
        if let [Action::Target(target, ..)] = sent[..] {
            let packets: [View<'_>; 3] =
                [syn_ack(flow, target, 500, 101), data(flow, 101, 501, 20), answer(flow, target, 501, 121, 30)];
            actions.extend(packets.iter().flat_map(|packet| node.fabric(packet)));
        }
        actions.extend(sent);
    }
    actions
}

/// Guards against hedging that is on without its setting, and against hedged requests that are not idempotent.
#[test]
fn only_idempotent_ports_are_hedged_and_only_with_the_setting() {
    let plain = config(&[6], 1);
    let marked = with_idempotent_ports(plain.clone());
    let expected = play(&mut node_of(&plain, 0));
    assert_eq!(play(&mut node_of(&marked, 0)), expected, "off");
    assert_eq!(play(&mut node_of(&plain, 20)), expected, "not idempotent");
    let mut node = node_of(&marked, 20);
    assert_ne!(play(&mut node), expected);
    assert!(node.engine.counters().hedges > 0);
}

/// Guards against hedges that add work while the targets are short of slots.
#[test]
fn full_targets_get_no_hedges() {
    let mut node = node();
    // 6 targets have 18 slots; a quarter of them has to be free.
    for caller in 100..114 {
        node.open(flow(caller));
        node.fabric(&data(flow(caller), 101, 501, 20));
    }
    node.fabric(&syn(flow(1), 100));
    assert_eq!(node.wait(SLOW_MS), []);
    let counters = node.engine.counters();
    assert_eq!((counters.hedges, counters.hedges_without_room), (0, 1));
}

/// Guards against a dead target that keeps getting openings because their hedges are accepted elsewhere. It has the fewest
/// connections, so each opening would go there first.
#[test]
fn target_that_loses_without_an_answer_is_avoided() {
    let mut node = node_of(&with_idempotent_ports(config(&[2], 1)), 100);
    let dead = host(0, 0);
    let mut openings = 0;
    for caller in 0..200 {
        let mut sent = node.fabric(&syn(flow(caller), 100));
        if matches!(sent[..], [Action::Target(target, ..)] if target == dead) {
            openings += 1;
            // The copy is answered within a millisecond, so that the delay stays short.
            while sent.len() == 1 {
                sent.extend(node.wait(1));
            }
        }
        if sent.iter().any(|action| *action == Action::Target(host(0, 1), Kind::Opening, 100)) {
            node.fabric(&syn_ack(flow(caller), host(0, 1), 500, 101));
            node.fabric(&data(flow(caller), 101, 501, 20));
            node.fabric(&answer(flow(caller), host(0, 1), 501, 121, 30));
        }
        node.wait(500);
    }
    // 100 s at one opening for each pause, whose length doubles from 100 ms to 5 s.
    assert!((1..40).contains(&openings), "{openings}");
}

/// Guards against a flow that breaks because its owner leaves while both targets may still accept its opening. The new
/// owner knows neither of them.
#[test]
fn hedged_opening_survives_the_leave_of_its_owner() {
    let config = with_idempotent_ports(config(&[6], 1));
    let first_owner = owner(&config, &[1, 2]);
    let new_owner = 3 - first_owner;
    let both = members(&[1, 2], &[]);
    let mut old = Node::new(settings(20), &view(first_owner, &config, &both, &[]));
    let mut new = Node::new(settings(20), &view(new_owner, &config, &both, &[]));
    warm_up(&mut old);
    let (first, second) = hedged(&mut old, flow(1));
    let left = members(&[new_owner], &[first_owner]);
    old.apply(&view(first_owner, &config, &left, &[]));
    new.apply(&view(new_owner, &config, &left, &[]));
    assert_eq!(new.fabric(&syn_ack(flow(1), second, 500, 101)), [Action::Caller(Kind::Accept)]);
    assert_eq!(new.fabric(&syn_ack(flow(1), first, 0x4000_0000, 101)), [Action::Discard(Reason::WrongTarget)]);
    assert_eq!(new.fabric(&data(flow(1), 101, 501, 20)), [Action::Target(second, Kind::Data, 101)]);
    assert_eq!(new.fabric(&answer(flow(1), second, 501, 121, 30)), [Action::Caller(Kind::Data)]);
    let repeated = new.fabric(&syn_ack(flow(1), first, 0x4000_0000, 101));
    assert_eq!(repeated, [Action::Discard(Reason::WrongTarget), Action::ResetTarget(first)]);
    assert_eq!(old.wait(2_000), [], "the old owner neither resets nor retries the opening");
}
