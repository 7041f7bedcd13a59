//! Work and held packets at the gate. The gate of these tests fails on work that finishes twice or never started.

use std::sync::Arc;

use poplarpaddle::packet::Kind;
use poplarpaddle::path::{Bounds, Reason, Settings};

use crate::fleet::{Action, Node, answer, config, data, flow, host, members, reset, syn, syn_ack, view};
use crate::gate::Limited;

/// Returns an engine with one target that runs one piece of work at a time.
fn node(bounds: Bounds) -> Node {
    let settings = Settings { gates: Arc::new(Limited { limit: 1 }), bounds, ..Default::default() };
    Node::new(settings, &view(1, &config(&[1, 1], 1), &members(&[1], &[]), &[]))
}

fn target(kind: Kind, sequence: u32) -> Action {
    Action::Target(host(0, 0), kind, sequence)
}

/// Ends the work that the opening of a flow reserved.
fn first_answer(node: &mut Node, caller: u16) -> Vec<Action> {
    node.fabric(&answer(flow(caller), host(0, 0), 501, 101, 9))
}

/// Guards against payload that overtakes payload of its flow, and against work that starts while the host is full.
#[test]
fn payload_waits_in_order() {
    let mut node = node(Bounds::default());
    node.open(flow(1));
    first_answer(&mut node, 1);
    node.open(flow(2));
    assert_eq!(node.fabric(&data(flow(1), 101, 510, 10)), [], "the host is full");
    assert_eq!(node.fabric(&data(flow(1), 111, 510, 10)), [], "behind the first segment");
    assert_eq!(node.fabric(&data(flow(1), 121, 510, 0)), [target(Kind::Data, 121)], "no payload to overtake");
    let actions = first_answer(&mut node, 2);
    assert_eq!(actions, [Action::Caller(Kind::Data), target(Kind::Data, 101), target(Kind::Data, 111)]);
}

/// Guards against payload of an established flow that is refused, and against held bytes that stay.
#[test]
fn payload_that_waits_too_long_is_dropped() {
    let mut node = node(Bounds::default());
    node.open(flow(1));
    first_answer(&mut node, 1);
    node.open(flow(2));
    node.fabric(&data(flow(2), 101, 501, 10));
    node.fabric(&data(flow(1), 101, 510, 10));
    assert_eq!(node.wait(300), [Action::Discard(Reason::Deadline)]);
    assert_eq!(node.engine.counters().held_bytes, 0);
}

/// Guards against a refusal that is not true: the opening that waited was never forwarded, and only it is refused.
#[test]
fn opening_that_waits_too_long_is_refused() {
    let mut node = node(Bounds::default());
    node.open(flow(1));
    node.fabric(&data(flow(1), 101, 501, 10));
    assert_eq!(node.fabric(&syn(flow(2), 100)), []);
    assert_eq!(node.fabric(&syn(flow(2), 100)), [], "a repeat waits with the first copy");
    assert_eq!(node.wait(300), [Action::Refuse(Reason::Deadline)]);
    assert_eq!(node.engine.counters().flows, 1);
}

/// Guards against a refusal after payload was forwarded, by a repeat of the opening that comes late.
#[test]
fn bound_flow_is_never_refused() {
    let mut node = node(Bounds::default());
    node.open(flow(1));
    node.fabric(&data(flow(1), 101, 501, 10));
    let mut released = config(&[1, 1], 1);
    Arc::make_mut(&mut released.services[0]).targets[0].released = true;
    node.apply(&view(1, &released, &members(&[1], &[]), &[]));
    assert_eq!(node.fabric(&syn(flow(1), 100)), [target(Kind::Opening, 100)]);
    assert_eq!(node.fabric(&syn(flow(2), 100)), [Action::Refuse(Reason::NoTarget)]);
    assert_eq!(node.fabric(&data(flow(1), 111, 501, 10)), [target(Kind::Data, 111)]);
}

/// Guards against a slot that an opening without request, a lost answer or a reset keeps for ever.
#[test]
fn work_ends_without_an_answer() {
    for (name, millis) in [("opening without payload", 3_100), ("payload without answer", 61_100)] {
        let mut node = node(Bounds::default());
        node.open(flow(1));
        if millis > 10_000 {
            node.fabric(&data(flow(1), 101, 501, 10));
        }
        node.wait(millis);
        assert_eq!(node.fabric(&syn(flow(2), 100)), [target(Kind::Opening, 100)], "{name}");
    }
    let mut node = node(Bounds::default());
    node.open(flow(1));
    node.fabric(&reset(flow(1), host(0, 0), 101));
    assert_eq!(node.fabric(&syn(flow(2), 100)), [target(Kind::Opening, 100)], "reset");
}

/// Guards against a shed opening that is neither tried again nor refused, and against one that is refused twice.
#[test]
fn opening_without_another_target_is_refused_once() {
    let mut node = node(Bounds::default());
    node.fabric(&syn(flow(1), 100));
    let actions = node.fabric(&reset(flow(1), host(0, 0), 101));
    assert_eq!(actions, [Action::Discard(Reason::StrayReset), Action::Refuse(Reason::NoTarget)]);
    assert_eq!(node.wait(5000), []);
    node.fabric(&syn(flow(1), 100));
    assert_eq!(node.wait(600), [Action::Refuse(Reason::NoTarget)], "unanswered");
}

/// Guards against a new connection that is taken for a repeat of the old one, and the other way round.
#[test]
fn repeated_and_new_openings() {
    let mut node = node(Bounds::default());
    node.fabric(&syn(flow(1), 100));
    assert_eq!(node.fabric(&syn(flow(1), 100)), [target(Kind::Opening, 100)], "repeat while pending");
    node.fabric(&syn_ack(flow(1), host(0, 0), 500, 101));
    assert_eq!(node.fabric(&syn(flow(1), 100)), [target(Kind::Opening, 100)], "repeat while accepted");
    node.fabric(&data(flow(1), 101, 501, 0));
    let placed = node.engine.counters().placed;
    node.fabric(&reset(flow(1), host(0, 0), 101));
    assert_eq!(node.fabric(&syn(flow(1), 77_000)), [target(Kind::Opening, 77_000)], "new after the end");
    assert_eq!(node.engine.counters().placed, placed + 1);
}

/// Guards against tables that callers fill: flows and held bytes are bounded, and known flows go on.
#[test]
fn tables_are_bounded() {
    let bounds = Bounds { flows: 16, held_bytes: 1000, held_packets: 2 };
    let mut node =
        Node::new(Settings { bounds, ..Default::default() }, &view(1, &config(&[3], 1), &members(&[1], &[]), &[]));
    for caller in 0..200 {
        node.fabric(&syn(flow(caller), 100));
        node.fabric(&data(flow(1000 + caller), 100, 7, 5));
        let counters = node.engine.counters();
        assert!(counters.flows <= 16 && counters.held_bytes <= 1000, "{counters:?}");
    }
    assert!(node.engine.counters().evicted > 0);
    node.wait(20_000);
    assert_eq!(node.engine.counters().held, 0, "nothing is held for ever");
    node.open(flow(1));
}

/// Guards against silent connections that hold all places of a host until their work expires, so that flows that are
/// well wait for a minute.
#[test]
fn repeated_request_without_acknowledgement_frees_its_place() {
    let mut node = node(Bounds::default());
    node.open(flow(1));
    let request = data(flow(1), 101, 501, 10);
    assert_eq!(node.fabric(&request), [target(Kind::Data, 101)]);
    assert_eq!(node.fabric(&syn(flow(2), 100)), [], "the host is full");
    assert_eq!(node.fabric(&request), [target(Kind::Data, 101)], "a copy at once says nothing");
    node.wait(250);
    let actions = node.fabric(&request);
    assert_eq!(actions, [target(Kind::Data, 101), target(Kind::Opening, 100)]);
}

/// Guards against requests that hold their places for a minute because their callers' repeats go to another owner, as
/// while a zone is cut off.
#[test]
fn request_without_acknowledgement_frees_its_place() {
    let mut node = node(Bounds::default());
    node.open(flow(1));
    node.fabric(&data(flow(1), 101, 501, 10));
    node.wait(1_600);
    assert_eq!(node.fabric(&syn(flow(2), 100)), [target(Kind::Opening, 100)]);
}

/// Guards against work that holds its place for a minute because its answer went to another owner, as when a zone that
/// was cut off comes back.
#[test]
fn work_from_before_a_change_of_members_frees_its_place() {
    let mut node = node(Bounds::default());
    node.open(flow(1));
    node.fabric(&data(flow(1), 101, 501, 10));
    node.fabric(&answer(flow(1), host(0, 0), 501, 111, 0));
    node.wait(1_000);
    node.apply(&view(1, &config(&[1, 1], 1), &members(&[1], &[2]), &[]));
    node.wait(6_200);
    assert_eq!(node.fabric(&syn(flow(2), 100)), [target(Kind::Opening, 100)]);
}

/// Guards against places that a request loses although its target acknowledged it and goes on working.
#[test]
fn acknowledged_request_keeps_its_place() {
    let mut node = node(Bounds::default());
    node.open(flow(1));
    let request = data(flow(1), 101, 501, 10);
    node.fabric(&request);
    node.fabric(&answer(flow(1), host(0, 0), 501, 111, 0));
    node.wait(250);
    assert_eq!(node.fabric(&syn(flow(2), 100)), [], "the host is full");
    assert_eq!(node.fabric(&request), [target(Kind::Data, 101)], "and stays full after a repeat");
}

/// Guards against callers that open flows, send nothing, and hold every place of a host for seconds.
#[test]
fn opening_without_request_frees_its_place_soon() {
    let mut node = node(Bounds::default());
    node.open(flow(1));
    assert_eq!(node.fabric(&syn(flow(2), 100)), [], "the host is full");
    assert_eq!(node.wait(290), [target(Kind::Opening, 100)], "before the deadline of the queue");
}

/// Guards against places that distant callers lose during their handshake.
#[test]
fn places_last_as_long_as_callers_usually_take() {
    let mut node = node(Bounds::default());
    for caller in 1..20 {
        node.open(flow(caller));
        node.wait(200);
        node.fabric(&data(flow(caller), 101, 501, 10));
        node.fabric(&answer(flow(caller), host(0, 0), 501, 111, 9));
    }
    node.open(flow(20));
    assert_eq!(node.fabric(&syn(flow(21), 100)), [], "the host is full");
    assert_eq!(node.wait(200), [], "and stays so while the caller may still send");
}
