//! Guards against packets to a host that no configuration allows, and against resets of live flows.

use poplarpaddle::direct::{Reason, Verdict};
use poplarpaddle::mark::{HostId, Mark};
use poplarpaddle::packet::Kind;
use poplarpaddle::registry::{Host, Share, State};
use poplarpaddle::time::Time;

use super::support::{Harness, flow, host, route};

/// Every balancer, even one that has just started, must forward a packet to the host of its flow.
#[test]
fn a_mark_leads_to_the_same_host_at_every_balancer() {
    let mut first = Harness::with_hosts(1, 5);
    let placed = first.establish(flow(1, 443));
    let mut second = Harness::with_hosts(99, 5);
    second.send(flow(1, 443), Mark::of(placed), Kind::Data, 10, 51);
    assert_eq!(second.last_hop().host, placed);
    assert_eq!(second.last_hop().mark, None, "the mark of an established flow stays as it is");
}

/// A caller may forge a mark. Its packets must not reach a host of a service that the route does not allow.
#[test]
fn forged_marks_reach_no_host_of_another_service() {
    let mut harness = Harness::with_hosts(1, 2);
    let foreign = host(77, "crewdocs", "a");
    harness.register(&foreign);
    for mark in [Mark::of(foreign.id), Mark(0x1234_5678), Mark::NONE] {
        harness.send(flow(1, 443), mark, Kind::Data, 10, 1);
    }
    assert!(harness.record.sent.is_empty());
    assert!(harness.record.resets.is_empty(), "a reset would break a flow that may be live");
    let reasons: Vec<_> = harness.record.decisions.iter().map(|(_, _, reason)| reason.unwrap()).collect();
    assert_eq!(reasons, [Reason::ForeignHost, Reason::UnknownMark, Reason::UnknownMark]);
}

/// Hosts answer callers directly, so an answer of a host that reaches a balancer is forged.
#[test]
fn packets_of_hosts_are_dropped() {
    let mut harness = Harness::with_hosts(1, 2);
    harness.send(flow(1, 443), Mark::NONE, Kind::Accept, 0, 1);
    assert!(harness.record.sent.is_empty() && harness.record.resets.is_empty());
    assert_eq!(harness.record.decisions[0].2, Some(Reason::NotFromCaller));
}

/// When a configuration moves a route to another service, open flows stay at their hosts, and new flows go to the new
/// service.
#[test]
fn a_moved_route_keeps_open_flows_and_moves_new_ones() {
    let mut harness = Harness::with_hosts(1, 2);
    let new_host = host(77, "crewdocs", "a");
    harness.register(&new_host);
    let old_host = harness.establish(flow(1, 443));
    harness.route(443, Some(&route("crewdocs")));
    harness.send(flow(1, 443), Mark::of(old_host), Kind::Data, 10, 51);
    assert_eq!(harness.last_hop().host, old_host);
    harness.send_opening(flow(2, 443), 0);
    assert_eq!(harness.last_hop().host, new_host.id);
}

/// Flows of a removed route are reset at once, so that their callers do not wait for a timeout.
#[test]
fn a_dropped_route_resets_openings_and_flows_but_no_resets() {
    let mut harness = Harness::with_hosts(1, 2);
    let placed = harness.establish(flow(1, 443));
    harness.route(443, None);
    harness.route(80, Some(&route("bookings")));
    harness.record = Default::default();
    harness.send_opening(flow(2, 443), 0);
    harness.send(flow(1, 443), Mark::of(placed), Kind::Data, 10, 4242);
    harness.send(flow(3, 443), Mark::of(placed), Kind::Reset, 0, 1);
    assert!(harness.record.sent.is_empty());
    assert_eq!(harness.record.resets, [(flow(2, 443), 0), (flow(1, 443), 4242)]);
    let verdicts: Vec<_> = harness.record.decisions.iter().map(|(_, verdict, _)| *verdict).collect();
    assert_eq!(verdicts, [Verdict::Refused, Verdict::Reset, Verdict::Dropped]);
}

/// A draining host gets no new flow once its state is known, and keeps the open ones.
#[test]
fn draining_and_removed_hosts_get_no_openings_but_keep_flows() {
    let mut harness = Harness::with_hosts(1, 1);
    let placed = harness.establish(flow(1, 443));
    let zone = ["a", "b", "c"][(placed.0 / 100) as usize];
    harness.register(&Host { state: State::Draining, ..host(placed.0, "bookings", zone) });
    for caller in 10..40 {
        harness.send_opening(flow(caller, 443), 0);
        assert_ne!(harness.last_hop().host, placed);
    }
    harness.deregister(placed.0);
    harness.advance(5000);
    harness.send(flow(1, 443), Mark::of(placed), Kind::Data, 10, 51);
    assert_eq!(harness.last_hop().host, placed);
}

/// An opening is refused at once when no host accepts new flows.
#[test]
fn openings_without_a_host_are_refused_at_once() {
    let mut harness = Harness::with_hosts(1, 1);
    for id in [1, 101, 201] {
        harness.deregister(id);
    }
    harness.send_opening(flow(1, 443), 0);
    assert_eq!(harness.record.resets.len(), 1);
    assert_eq!(harness.record.decisions[0], (flow(1, 443), Verdict::Refused, Some(Reason::NoHost)));
}

/// While the store is down, registrations expire although their hosts are alive. They are renewed within two seconds
/// after it is back.
#[test]
fn a_host_whose_registration_expired_in_an_outage_gets_new_flows_in_its_grace_period() {
    let mut harness = Harness::new(1);
    harness.register(&host(1, "bookings", "a"));
    harness.route(443, Some(&route("bookings")));
    let grace = Time::from_millis(3000);
    harness.engine.set_host(harness.now, "i-1", None, grace);
    harness.send_opening(flow(1, 443), 0);
    assert_eq!(harness.last_hop().host, HostId(1));
    harness.advance(2500);
    harness.send_opening(flow(2, 443), 0);
    assert_eq!(harness.record.decisions.last().unwrap().2, Some(Reason::NoHost));
}

/// Returns two identifiers with the same mark, found by search.
fn colliding_ids() -> (u64, u64) {
    let mut seen = std::collections::HashMap::new();
    for id in 1..u64::MAX {
        if let Some(older) = seen.insert(Mark::of(HostId(id)), id) {
            return (older, id);
        }
    }
    unreachable!("marks have 32 bits");
}

/// Among 73,000 hosts, two with the same mark are likely. Packets with that mark must go to the same host at every
/// balancer.
#[test]
fn the_older_of_two_hosts_with_the_same_mark_gets_the_flows() {
    let (older, younger) = colliding_ids();
    for order in [[older, younger], [younger, older]] {
        let mut harness = Harness::new(1);
        harness.route(443, Some(&route("bookings")));
        for id in order {
            let born = if id == older { 5 } else { 9 };
            harness.register(&Host { born, ..host(id, "bookings", "a") });
        }
        for caller in 1..20 {
            assert_eq!(harness.establish(flow(caller, 443)).0, older);
        }
        harness.deregister(older);
        assert_eq!(harness.establish(flow(30, 443)).0, younger, "the younger host takes over the mark");
    }
}

/// A host that restarts with its old identifier at another address counts as a new host, which gets all packets with
/// the mark.
#[test]
fn a_host_that_restarts_at_another_address_gets_the_packets_with_its_mark() {
    let mut harness = Harness::new(1);
    harness.route(443, Some(&route("bookings")));
    harness.register(&host(1, "bookings", "a"));
    let mut restarted = host(1, "bookings", "a");
    restarted.address.set_port(9999);
    restarted.born = 2;
    harness.register(&restarted);
    harness.send_opening(flow(1, 443), 0);
    assert_eq!(harness.last_hop().address, restarted.address);
    harness.send(flow(2, 443), Mark::of(HostId(1)), Kind::Data, 10, 1);
    assert_eq!(harness.last_hop().address, restarted.address);
}

/// New flows follow the weights of a route with several services.
#[test]
fn shares_divide_new_flows_by_weight() {
    let mut harness = Harness::with_slots(1, 2, 1000);
    let other = Host { slots: 1000, ..host(77, "crewdocs", "a") };
    harness.register(&other);
    let share = |service: &str, weight| Share { service: service.to_owned(), weight };
    let shares = vec![share("bookings", 90), share("crewdocs", 10), share("gone", 0)];
    harness.route(443, Some(&poplarpaddle::registry::Route { shares, ..route("bookings") }));
    let mut to_other = 0;
    for caller in 1..=1000 {
        harness.send_opening(flow(caller, 443), 0);
        to_other += u32::from(harness.last_hop().host == other.id);
    }
    assert!((60..140).contains(&to_other), "{to_other} of 1000 with a weight of 10 in 100");
}

/// A configuration without routes was once treated as not known yet. Openings and packets of established flows were
/// then buffered for 600 ms instead of being refused.
#[test]
fn openings_are_refused_at_once_when_the_last_route_is_dropped() {
    let mut harness = Harness::with_hosts(1, 2);
    let placed = harness.establish(flow(1, 443));
    harness.route(443, None);
    harness.send_opening(flow(2, 443), 0);
    assert_eq!(harness.record.resets, [(flow(2, 443), 0)]);
    harness.send(flow(1, 443), Mark::of(placed), Kind::Data, 100, 50);
    assert_eq!(harness.record.resets.len(), 2);
}

/// A balancer that starts after a route moved to another service drops the packets of its open flows until it is told of
/// the former service.
#[test]
fn open_flows_of_a_former_service_continue_at_a_new_balancer() {
    let mut harness = Harness::with_hosts(1, 2);
    let former = host(77, "crewdocs", "a");
    harness.register(&former);
    harness.send(flow(1, 443), Mark::of(former.id), Kind::Data, 10, 51);
    assert!(harness.record.sent.is_empty());
    let until = Time::from_nanos(harness.now.as_nanos() + 5_000_000_000);
    harness.engine.allow_former_service(flow(1, 443).service, "crewdocs", until);
    harness.send(flow(1, 443), Mark::of(former.id), Kind::Data, 10, 51);
    assert_eq!(harness.last_hop().host, former.id);
    harness.advance(6000);
    harness.record.sent.clear();
    harness.send(flow(2, 443), Mark::of(former.id), Kind::Data, 10, 51);
    assert!(harness.record.sent.is_empty(), "no flow from before the change is left");
}
