//! Guards against the loss of packets that arrive while a balancer starts.

use poplarpaddle::direct::{Reason, Verdict};
use poplarpaddle::mark::Mark;
use poplarpaddle::packet::Kind;

use super::support::{Harness, flow, host, route};

/// A dropped opening delays its caller by the 200 or 400 ms until the next retransmission. When all machines restart, a
/// balancer receives packets as soon as its socket is bound.
#[test]
fn openings_before_hosts_and_routes_are_known_are_placed_once_they_are() {
    let mut harness = Harness::new(1);
    harness.send_opening(flow(1, 443), 0);
    harness.register(&host(1, "bookings", "a"));
    harness.advance(5);
    assert!(harness.record.sent.is_empty(), "no route is known yet");
    harness.route(443, Some(&route("bookings")));
    harness.advance(1);
    assert_eq!(harness.record.sent.len(), 1);
    assert!(harness.record.resets.is_empty());
}

/// Packets of a flow that was established before the start carry a mark, so they can be forwarded without an entry.
#[test]
fn packets_of_established_flows_are_buffered_too() {
    let mut harness = Harness::new(1);
    let host = host(1, "bookings", "a");
    harness.send(flow(1, 443), Mark::of(host.id), Kind::Data, 10, 1);
    harness.route(443, Some(&route("bookings")));
    harness.register(&host);
    harness.advance(1);
    assert_eq!(harness.last_hop().host, host.id);
}

/// A retransmission through another balancer established the flow while its opening was buffered here. The buffered
/// opening must not reach a second host.
#[test]
fn buffered_openings_of_established_flows_are_not_placed() {
    let mut harness = Harness::new(1);
    let one = host(1, "bookings", "a");
    harness.send_opening(flow(1, 443), 0);
    harness.send(flow(1, 443), Mark::of(one.id), Kind::Data, 100, 50);
    harness.route(443, Some(&route("bookings")));
    harness.register(&one);
    harness.advance(1);
    assert!(harness.record.decisions.is_empty(), "{:?}", harness.record.decisions);
    assert_eq!(harness.last_hop().host, one.id);
}

/// Once its caller has repeated an opening, the copy may have been placed by another balancer. The first packet must not
/// reach a second host then.
#[test]
fn a_buffered_opening_is_not_placed_after_its_caller_has_repeated_it() {
    let mut harness = Harness::new(1);
    harness.send_opening(flow(1, 443), 0);
    harness.advance(190);
    harness.send_opening(flow(2, 443), 0);
    harness.advance(15);
    harness.register(&host(1, "bookings", "a"));
    harness.route(443, Some(&route("bookings")));
    harness.advance(1);
    let placed: Vec<_> = harness.record.decisions.iter().map(|(flow, ..)| *flow).collect();
    assert_eq!(placed, [flow(2, 443)]);
}

/// An opening that was buffered for too long has been retransmitted or given up by its caller.
#[test]
fn buffered_packets_expire() {
    let mut harness = Harness::new(1);
    harness.send_opening(flow(1, 443), 0);
    harness.advance(700);
    harness.register(&host(1, "bookings", "a"));
    harness.route(443, Some(&route("bookings")));
    harness.advance(1);
    assert!(harness.record.sent.is_empty());
}

/// Memory is bounded although callers can send any number of packets before a balancer is ready.
#[test]
fn buffered_packets_are_bounded() {
    let mut harness = Harness::new(1);
    for caller in 1..5000 {
        harness.send_opening(flow(caller, 443), 0);
    }
    let dropped = harness
        .record
        .decisions
        .iter()
        .filter(|(_, verdict, reason)| *verdict == Verdict::Dropped && *reason == Some(Reason::Starting));
    assert!(dropped.count() > 2000);
}
