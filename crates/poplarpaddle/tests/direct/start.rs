//! Guards against losing the packets that arrive while a balancer starts.

use poplarpaddle::direct::{Reason, Verdict};
use poplarpaddle::mark::Mark;
use poplarpaddle::packet::Kind;

use super::support::{World, flow, host, route};

/// A dropped opening costs its caller the 200 or 400 ms until its next copy; after a loss of all machines a balancer gets
/// packets from the moment at which its socket is bound.
#[test]
fn openings_before_hosts_and_routes_are_known_are_placed_once_they_are() {
    let mut world = World::new(1);
    world.open(flow(1, 443), 0);
    world.list(&host(1, "bookings", "a"));
    world.after(5);
    assert!(world.record.sent.is_empty(), "no route is known yet");
    world.route(443, Some(&route("bookings")));
    world.after(1);
    assert_eq!(world.record.sent.len(), 1);
    assert!(world.record.resets.is_empty());
}

/// A flow that was open before the start has its mark, so its packets need no entry.
#[test]
fn packets_of_established_flows_are_held_too() {
    let mut world = World::new(1);
    let host = host(1, "bookings", "a");
    world.send(flow(1, 443), Mark::of(host.id), Kind::Data, 10, 1);
    world.route(443, Some(&route("bookings")));
    world.list(&host);
    world.after(1);
    assert_eq!(world.last().host, host.id);
}

/// A copy that went through another balancer opened the flow while its opening was held here. A second host must not get it.
#[test]
fn held_openings_of_open_flows_are_left_out() {
    let mut world = World::new(1);
    let one = host(1, "bookings", "a");
    world.open(flow(1, 443), 0);
    world.send(flow(1, 443), Mark::of(one.id), Kind::Data, 100, 50);
    world.route(443, Some(&route("bookings")));
    world.list(&one);
    world.after(1);
    assert!(world.record.decisions.is_empty(), "{:?}", world.record.decisions);
    assert_eq!(world.last().host, one.id);
}

/// A held opening that is too old was repeated by its caller or given up.
#[test]
fn held_packets_expire() {
    let mut world = World::new(1);
    world.open(flow(1, 443), 0);
    world.after(700);
    world.list(&host(1, "bookings", "a"));
    world.route(443, Some(&route("bookings")));
    world.after(1);
    assert!(world.record.sent.is_empty());
}

/// Callers can send any number of packets before a balancer is ready.
#[test]
fn held_packets_are_bounded() {
    let mut world = World::new(1);
    for caller in 1..5000 {
        world.open(flow(caller, 443), 0);
    }
    let dropped = world
        .record
        .decisions
        .iter()
        .filter(|(_, verdict, reason)| *verdict == Verdict::Dropped && *reason == Some(Reason::Starting));
    assert!(dropped.count() > 2000);
}
