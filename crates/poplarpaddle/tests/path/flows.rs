//! Tests of flows at a single owner.

use std::sync::Arc;

use poplarpaddle::packet::Kind;
use poplarpaddle::path::{Reason, Settings};

use crate::fleet::{Action, Node, answer, config, data, flow, host, members, reset, syn, syn_ack, view};
use crate::gate::Limited;

fn node() -> Node {
    Node::new(Settings::default(), &view(1, &config(&[6, 3], 2), &members(&[1], &[]), &[]))
}

/// Guards against packets that are not forwarded to the flow's target or caller between opening and close.
#[test]
fn open_data_close() {
    let mut node = node();
    let target = node.open(flow(1));
    assert_eq!(node.fabric(&data(flow(1), 101, 501, 20)), [Action::Target(target, Kind::Data, 101)]);
    assert_eq!(node.fabric(&answer(flow(1), target, 501, 121, 30)), [Action::Caller(Kind::Data)]);
    let mut close = data(flow(1), 121, 531, 0);
    close.kind = Kind::Closing;
    assert_eq!(node.fabric(&close), [Action::Target(target, Kind::Closing, 121)]);
    let mut close = answer(flow(1), target, 531, 122, 0);
    close.kind = Kind::Closing;
    assert_eq!(node.fabric(&close), [Action::Caller(Kind::Closing)]);
    assert_eq!(node.engine.counters().flows, 1, "delayed packets are still forwarded to their target");
    node.wait(20_000);
    assert_eq!(node.engine.counters().flows, 0, "a closed flow is removed from the table");
}

/// Guards against payload that a target processes before the flow is bound to it.
#[test]
fn opening_with_payload_is_dropped() {
    let mut opening = syn(flow(1), 100);
    opening.payload = 8;
    assert_eq!(node().fabric(&opening), [Action::Discard(Reason::PayloadInOpening)]);
}

/// Guards against resetting a caller when one target refuses its opening although another target would accept it.
#[test]
fn refused_opening_is_retried_on_another_target() {
    let mut node = node();
    let actions = node.fabric(&syn(flow(1), 100));
    let [Action::Target(first, ..)] = actions[..] else { panic!("{actions:?}") };
    let actions = node.fabric(&reset(flow(1), first, 101));
    let [Action::Discard(Reason::StrayReset), Action::Target(second, Kind::Opening, 100)] = actions[..] else {
        panic!("{actions:?}")
    };
    assert_ne!(first, second);
}

/// Guards against work that occupies a slot of its host for a minute because its answers pass through another balancer, as
/// on the two sides of a partition.
#[test]
fn work_that_ends_elsewhere_frees_its_slot() {
    let settings = Settings { gates: Arc::new(Limited { limit: 2 }), ..Default::default() };
    let mut node = Node::new(settings, &view(1, &config(&[1], 1), &members(&[1], &[]), &[]));
    let target = node.open(flow(1));
    assert_eq!(node.fabric(&data(flow(1), 101, 501, 20)).len(), 1);
    assert_eq!(node.open(flow(2)), target);
    assert_eq!(node.fabric(&data(flow(2), 101, 501, 20)).len(), 1);
    // The answer to flow 1 and the caller's next request passed through another balancer; the target's acknowledgement of
    // that request arrives here.
    assert_eq!(node.fabric(&answer(flow(1), target, 531, 141, 0)), [Action::Caller(Kind::Data)]);
    node.wait(400);
    assert_eq!(node.fabric(&syn(flow(3), 100)), [Action::Target(target, Kind::Opening, 100)]);
}

/// Guards against dropping the packets of a new connection as delayed ones. The caller was refused, ignored a SYN-ACK to a
/// delayed copy of its opening, and opened a new connection from the same port.
#[test]
fn new_opening_replaces_one_that_was_never_acknowledged() {
    const FAR: u32 = 1 << 30;
    let mut node = node();
    let actions = node.fabric(&syn(flow(1), 100));
    let [Action::Target(target, ..)] = actions[..] else { panic!("{actions:?}") };
    assert_eq!(node.fabric(&syn_ack(flow(1), target, 500, 101)), [Action::Caller(Kind::Accept)]);
    assert_eq!(node.fabric(&syn(flow(1), FAR)), [Action::Target(target, Kind::Opening, FAR)]);
    assert_eq!(node.fabric(&syn_ack(flow(1), target, 2 * FAR, FAR + 1)), [Action::Caller(Kind::Accept)]);
    let request = data(flow(1), FAR + 1, 2 * FAR + 1, 10);
    assert_eq!(node.fabric(&request), [Action::Target(target, Kind::Data, FAR + 1)]);
}

/// Guards against dropping the answers of the flow's target because an earlier copy of the opening is queued here or was
/// placed on another target, while the caller completed the handshake through another balancer.
#[test]
fn answer_of_the_connected_target_replaces_an_unconfirmed_placement() {
    for limit in [0, 1] {
        let settings = Settings { gates: Arc::new(Limited { limit }), ..Default::default() };
        for is_accepted in [false, true] {
            let mut node = Node::new(settings.clone(), &view(1, &config(&[2], 1), &members(&[1], &[]), &[]));
            let placed = node.fabric(&syn(flow(1), 100));
            let mut expected = vec![Action::Caller(Kind::Data)];
            let mut connected = host(0, 0);
            if let [Action::Target(other, ..)] = placed[..] {
                connected = if other == connected { host(0, 1) } else { connected };
                if is_accepted {
                    assert_eq!(node.fabric(&syn_ack(flow(1), other, 500, 101)), [Action::Caller(Kind::Accept)]);
                    expected.insert(0, Action::ResetTarget(other));
                }
            }
            // A packet of an older connection does not show that the handshake was completed.
            let old = node.fabric(&answer(flow(1), connected, 901, 0x4000_0000, 30));
            assert_eq!(old, [Action::Discard(Reason::WrongTarget)], "limit {limit}");
            assert_eq!(node.fabric(&answer(flow(1), connected, 901, 121, 30)), expected, "limit {limit}");
            assert_eq!(node.engine.target(&flow(1)), Some(connected));
        }
    }
}

/// Guards against silent connections that occupy the slots of their host, so that new flows are refused.
#[test]
fn silent_flow_frees_its_slot() {
    let settings = Settings { gates: Arc::new(Limited { limit: 1 }), ..Default::default() };
    let mut node = Node::new(settings, &view(1, &config(&[1], 1), &members(&[1], &[]), &[]));
    let target = node.open(flow(1));
    assert_eq!(node.fabric(&data(flow(1), 101, 501, 20)), [Action::Target(target, Kind::Data, 101)]);
    node.wait(1_700);
    assert_eq!(node.fabric(&syn(flow(2), 100)), [Action::Target(target, Kind::Opening, 100)]);
    // Work that the target acknowledged occupies its slot for as long as it runs.
    assert_eq!(node.fabric(&syn_ack(flow(2), target, 500, 101)), [Action::Caller(Kind::Accept)]);
    assert_eq!(node.fabric(&data(flow(2), 101, 501, 20)), [Action::Target(target, Kind::Data, 101)]);
    assert_eq!(node.fabric(&answer(flow(2), target, 501, 121, 0)), [Action::Caller(Kind::Data)]);
    node.wait(1_700);
    assert_eq!(node.fabric(&syn(flow(3), 100)), []);
}

/// Guards against a stale opening that blocks a newer connection from the same caller port. This happens at an owner that
/// was frozen while another one opened the newer connection.
#[test]
fn unacknowledged_opening_does_not_block_a_newer_connection() {
    const FAR: u32 = 1 << 30;
    let mut node = node();
    let actions = node.fabric(&syn(flow(1), 100));
    let [Action::Target(target, ..)] = actions[..] else { panic!("{actions:?}") };
    node.fabric(&syn_ack(flow(1), target, 500, 101));
    let request = data(flow(1), FAR + 1, 2 * FAR + 1, 10);
    let actions = node.fabric(&request);
    assert!(matches!(actions[..], [Action::Target(..)]), "the newer connection continues at once: {actions:?}");
}
