//! Guards against losing the packets that arrive while a balancer starts.

use poplarpaddle::direct::{Reason, Verdict};
use poplarpaddle::mark::Mark;
use poplarpaddle::packet::Kind;

use super::support::{Harness, flow, host, route};

/// A dropped opening costs its caller the 200 or 400 ms until its next copy; after a loss of all machines a balancer gets
/// packets from the moment at which its socket is bound.
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

/// A flow that was open before the start has its mark, so its packets need no entry.
#[test]
fn packets_of_established_flows_are_held_too() {
    let mut harness = Harness::new(1);
    let host = host(1, "bookings", "a");
    harness.send(flow(1, 443), Mark::of(host.id), Kind::Data, 10, 1);
    harness.route(443, Some(&route("bookings")));
    harness.register(&host);
    harness.advance(1);
    assert_eq!(harness.last_hop().host, host.id);
}

/// A copy that went through another balancer opened the flow while its opening was held here. A second host must not get it.
#[test]
fn held_openings_of_open_flows_are_left_out() {
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

/// A held opening that is too old was repeated by its caller or given up.
#[test]
fn held_packets_expire() {
    let mut harness = Harness::new(1);
    harness.send_opening(flow(1, 443), 0);
    harness.advance(700);
    harness.register(&host(1, "bookings", "a"));
    harness.route(443, Some(&route("bookings")));
    harness.advance(1);
    assert!(harness.record.sent.is_empty());
}

/// Callers can send any number of packets before a balancer is ready.
#[test]
fn held_packets_are_bounded() {
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
