//! Tests of the accounting of work and of held packets. The gate of these tests panics when work finishes twice or without
//! having started.

use std::sync::Arc;

use poplarpaddle::packet::Kind;
use poplarpaddle::path::{Bounds, Reason, Settings};

use crate::fleet::{Action, Node, answer, config, data, flow, host, members, reset, syn, syn_ack, view};
use crate::gate::Limited;

/// Returns a node with one target in service 0, which runs one piece of work at a time.
fn node(bounds: Bounds) -> Node {
    let settings = Settings { gates: Arc::new(Limited { limit: 1 }), bounds, ..Default::default() };
    Node::new(settings, &view(1, &config(&[1, 1], 1), &members(&[1], &[]), &[]))
}

fn target(kind: Kind, sequence: u32) -> Action {
    Action::Target(host(0, 0), kind, sequence)
}

/// Sends an answer that ends the work of the flow's opening.
fn first_answer(node: &mut Node, caller: u16) -> Vec<Action> {
    node.fabric(&answer(flow(caller), host(0, 0), 501, 101, 9))
}

/// Guards against payload that overtakes earlier payload of its flow, and against work that starts while the host is full.
#[test]
fn payload_waits_in_order() {
    let mut node = node(Bounds::default());
    node.open(flow(1));
    first_answer(&mut node, 1);
    node.open(flow(2));
    assert_eq!(node.fabric(&data(flow(1), 101, 510, 10)), [], "the host is full");
    assert_eq!(node.fabric(&data(flow(1), 111, 510, 10)), [], "held behind the first segment");
    assert_eq!(
        node.fabric(&data(flow(1), 121, 510, 0)),
        [target(Kind::Data, 121)],
        "a bare acknowledgement is not held"
    );
    let actions = first_answer(&mut node, 2);
    assert_eq!(actions, [Action::Caller(Kind::Data), target(Kind::Data, 101), target(Kind::Data, 111)]);
}

/// Guards against refusing payload of an established flow, and against held bytes that are not freed.
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

/// Guards against refusing a flow that was forwarded. Only the opening that waited, and was never forwarded, is refused.
#[test]
fn opening_that_waits_too_long_is_refused() {
    let mut node = node(Bounds::default());
    node.open(flow(1));
    node.fabric(&data(flow(1), 101, 501, 10));
    assert_eq!(node.fabric(&syn(flow(2), 100)), []);
    assert_eq!(node.fabric(&syn(flow(2), 100)), [], "a retransmission is absorbed by the queued copy");
    assert_eq!(node.wait(300), [Action::Refuse(Reason::Deadline)]);
    assert_eq!(node.engine.counters().flows, 1);
}

/// Guards against refusing a flow whose payload was forwarded, in response to a delayed copy of its opening.
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

/// Guards against slots that are never freed after an opening without a request, a lost answer or a reset.
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

/// Guards against openings that a target refuses and that are then neither retried nor refused to the caller, or are refused
/// to it twice.
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

/// Guards against mistaking a new connection for a retransmission of the old opening, and the reverse.
#[test]
fn repeated_and_new_openings() {
    let mut node = node(Bounds::default());
    node.fabric(&syn(flow(1), 100));
    assert_eq!(node.fabric(&syn(flow(1), 100)), [target(Kind::Opening, 100)], "retransmission while pending");
    node.fabric(&syn_ack(flow(1), host(0, 0), 500, 101));
    assert_eq!(node.fabric(&syn(flow(1), 100)), [target(Kind::Opening, 100)], "retransmission while accepted");
    node.fabric(&data(flow(1), 101, 501, 0));
    let placed = node.engine.counters().placed;
    node.fabric(&reset(flow(1), host(0, 0), 101));
    assert_eq!(
        node.fabric(&syn(flow(1), 77_000)),
        [target(Kind::Opening, 77_000)],
        "new connection after the old one ended"
    );
    assert_eq!(node.engine.counters().placed, placed + 1);
}

/// Guards against callers that exhaust memory: flows and held bytes are limited, and new flows still open.
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
    assert_eq!(node.engine.counters().held, 0, "no packet is held forever");
    node.open(flow(1));
}

/// Guards against silent connections that occupy all slots of a host until their work expires, so that other flows wait for
/// a minute.
#[test]
fn retransmitted_request_without_acknowledgement_frees_its_slot() {
    let mut node = node(Bounds::default());
    node.open(flow(1));
    let request = data(flow(1), 101, 501, 10);
    assert_eq!(node.fabric(&request), [target(Kind::Data, 101)]);
    assert_eq!(node.fabric(&syn(flow(2), 100)), [], "the host is full");
    assert_eq!(node.fabric(&request), [target(Kind::Data, 101)], "an immediate copy frees no slot");
    node.wait(250);
    let actions = node.fabric(&request);
    assert_eq!(actions, [target(Kind::Data, 101), target(Kind::Opening, 100)]);
}

/// Guards against requests that occupy their slots for a minute because their callers' retransmissions go to another owner,
/// as while a zone is cut off.
#[test]
fn request_without_acknowledgement_frees_its_slot() {
    let mut node = node(Bounds::default());
    node.open(flow(1));
    node.fabric(&data(flow(1), 101, 501, 10));
    node.wait(1_600);
    assert_eq!(node.fabric(&syn(flow(2), 100)), [target(Kind::Opening, 100)]);
}

/// Guards against work that occupies its slot for a minute because its answer went to another owner, as when a zone that was
/// cut off is connected again.
#[test]
fn work_from_before_a_member_change_frees_its_slot() {
    let mut node = node(Bounds::default());
    node.open(flow(1));
    node.fabric(&data(flow(1), 101, 501, 10));
    node.fabric(&answer(flow(1), host(0, 0), 501, 111, 0));
    node.wait(1_000);
    node.apply(&view(1, &config(&[1, 1], 1), &members(&[1], &[2]), &[]));
    node.wait(6_200);
    assert_eq!(node.fabric(&syn(flow(2), 100)), [target(Kind::Opening, 100)]);
}

/// Guards against freeing the slot of a request that its target acknowledged and is still working on.
#[test]
fn acknowledged_request_keeps_its_slot() {
    let mut node = node(Bounds::default());
    node.open(flow(1));
    let request = data(flow(1), 101, 501, 10);
    node.fabric(&request);
    node.fabric(&answer(flow(1), host(0, 0), 501, 111, 0));
    node.wait(250);
    assert_eq!(node.fabric(&syn(flow(2), 100)), [], "the host is full");
    assert_eq!(node.fabric(&request), [target(Kind::Data, 101)], "the host stays full after a retransmission");
}

/// Guards against callers that open flows, send nothing, and occupy all slots of a host for seconds.
#[test]
fn opening_without_request_frees_its_slot_soon() {
    let mut node = node(Bounds::default());
    node.open(flow(1));
    assert_eq!(node.fabric(&syn(flow(2), 100)), [], "the host is full");
    assert_eq!(node.wait(290), [target(Kind::Opening, 100)], "the opening starts before its queue deadline");
}

/// Guards against freeing the slots of distant callers, whose first request arrives late because of the long round trip.
#[test]
fn reservations_last_as_long_as_callers_usually_take() {
    let mut node = node(Bounds::default());
    for caller in 1..20 {
        node.open(flow(caller));
        node.wait(200);
        node.fabric(&data(flow(caller), 101, 501, 10));
        node.fabric(&answer(flow(caller), host(0, 0), 501, 111, 9));
    }
    node.open(flow(20));
    assert_eq!(node.fabric(&syn(flow(21), 100)), [], "the host is full");
    assert_eq!(node.wait(200), [], "the host stays full while the caller may still send");
}
