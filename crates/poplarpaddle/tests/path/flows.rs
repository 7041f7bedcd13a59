//! Flows at one owner.

use poplarpaddle::packet::Kind;
use poplarpaddle::path::{Reason, Settings};

use crate::fleet::{Act, Node, answer, config, data, flow, members, reset, syn, syn_ack, view};

fn node() -> Node {
    Node::new(Settings::default(), &view(1, &config(&[6, 3], 2), &members(&[1], &[]), &[]))
}

/// Guards against answers and requests that lose their target between opening and close.
#[test]
fn open_data_close() {
    let mut node = node();
    let target = node.open(flow(1));
    assert_eq!(node.fabric(&data(flow(1), 101, 501, 20)), [Act::Target(target, Kind::Data, 101)]);
    assert_eq!(node.fabric(&answer(flow(1), target, 501, 121, 30)), [Act::Caller(Kind::Data)]);
    let mut close = data(flow(1), 121, 531, 0);
    close.kind = Kind::Closing;
    assert_eq!(node.fabric(&close), [Act::Target(target, Kind::Closing, 121)]);
    let mut close = answer(flow(1), target, 531, 122, 0);
    close.kind = Kind::Closing;
    assert_eq!(node.fabric(&close), [Act::Caller(Kind::Closing)]);
    assert_eq!(node.engine.counters().flows, 1, "late packets still find their target");
    node.wait(20_000);
    assert_eq!(node.engine.counters().flows, 0, "a closed flow leaves the table");
}

/// Guards against payload that runs before the flow is bound to a target.
#[test]
fn opening_with_payload_is_dropped() {
    let mut opening = syn(flow(1), 100);
    opening.payload = 8;
    assert_eq!(node().fabric(&opening), [Act::Discard(Reason::PayloadInOpening)]);
}

/// Guards against a caller that is told "reset" although another target would take its opening.
#[test]
fn opening_that_was_shed_goes_to_another_target() {
    let mut node = node();
    let acts = node.fabric(&syn(flow(1), 100));
    let [Act::Target(first, ..)] = acts[..] else { panic!("{acts:?}") };
    let acts = node.fabric(&reset(flow(1), first, 101));
    let [Act::Discard(Reason::StrayReset), Act::Target(second, Kind::Opening, 100)] = acts[..] else {
        panic!("{acts:?}")
    };
    assert_ne!(first, second);
}

/// Guards against a caller whose packets are dropped as late because it was refused, took no notice of a SYN-ACK to a
/// late copy of its opening, and opened again from the same port.
#[test]
fn new_opening_replaces_one_that_was_never_acknowledged() {
    const FAR: u32 = 1 << 30;
    let mut node = node();
    let acts = node.fabric(&syn(flow(1), 100));
    let [Act::Target(target, ..)] = acts[..] else { panic!("{acts:?}") };
    assert_eq!(node.fabric(&syn_ack(flow(1), target, 500, 101)), [Act::Caller(Kind::Accept)]);
    assert_eq!(node.fabric(&syn(flow(1), FAR)), [Act::Target(target, Kind::Opening, FAR)]);
    assert_eq!(node.fabric(&syn_ack(flow(1), target, 2 * FAR, FAR + 1)), [Act::Caller(Kind::Accept)]);
    let request = data(flow(1), FAR + 1, 2 * FAR + 1, 10);
    assert_eq!(node.fabric(&request), [Act::Target(target, Kind::Data, FAR + 1)]);
}

/// Guards against a stale opening that stops a newer connection of the same caller port, as at an owner that was frozen
/// while another one opened that connection.
#[test]
fn opening_that_was_never_acknowledged_gives_way() {
    const FAR: u32 = 1 << 30;
    let mut node = node();
    let acts = node.fabric(&syn(flow(1), 100));
    let [Act::Target(target, ..)] = acts[..] else { panic!("{acts:?}") };
    node.fabric(&syn_ack(flow(1), target, 500, 101));
    let request = data(flow(1), FAR + 1, 2 * FAR + 1, 10);
    assert_eq!(node.fabric(&request), [Act::Discard(Reason::UnknownFlow)], "late at first");
    node.wait(3_100);
    let acts = node.fabric(&request);
    assert!(matches!(acts[..], [Act::ResetTarget(reset), Act::Target(..)] if reset == target), "{acts:?}");
}
