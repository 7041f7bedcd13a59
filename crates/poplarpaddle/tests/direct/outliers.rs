//! Guards against new flows at hosts that accept connections and do not respond, and against hosts that are avoided
//! without need.

use poplarpaddle::mark::{HostId, Mark};
use poplarpaddle::packet::Kind;

use super::support::{Harness, flow};

/// Port of the route.
const PORT: u16 = 443;

/// Time after which a request without a response is reported, in milliseconds.
const REPORT_MS: u64 = 700;

/// Opens a flow, sends a request on it and returns its host. The host responds after 40 ms unless it is `silent`.
fn request(harness: &mut Harness, caller: u16, silent: Option<HostId>) -> HostId {
    let host = harness.establish(flow(caller, PORT));
    harness.advance(40);
    if Some(host) != silent {
        harness.send(flow(caller, PORT), Mark::of(host), Kind::Data, 0, 51);
    }
    host
}

/// Sends requests until one meets `silent`, and further ones until it is reported. Returns the next unused caller.
fn report(harness: &mut Harness, silent: HostId, first_caller: u16) -> u16 {
    let mut caller = first_caller;
    while request(harness, caller, Some(silent)) != silent {
        caller += 1;
    }
    for _ in 0..REPORT_MS / 48 {
        caller += 1;
        request(harness, caller, Some(silent));
    }
    caller + 1
}

fn count(harness: &mut Harness, host: HostId, callers: std::ops::Range<u16>) -> usize {
    callers.filter(|caller| request(harness, *caller, None) == host).count()
}

#[test]
fn a_silent_host_is_reported_and_avoided() {
    let mut harness = Harness::with_hosts(1, 2);
    let next = report(&mut harness, HostId(1), 1);
    assert!(!harness.record.silences.is_empty());
    assert!(harness.record.silences.iter().all(|silence| silence.host == HostId(1)), "{:?}", harness.record.silences);
    assert_eq!(count(&mut harness, HostId(1), next..next + 10), 0);
}

/// Otherwise a balancer whose own link is down would make others avoid healthy hosts.
#[test]
fn nothing_is_reported_while_no_host_responds() {
    let mut harness = Harness::with_hosts(1, 2);
    for caller in 1..30 {
        let opened = flow(caller, PORT);
        harness.establish(opened);
    }
    harness.advance(3000);
    assert_eq!(harness.record.silences, []);
}

/// A request can take long while the host responds to others.
#[test]
fn a_host_that_responds_to_later_requests_is_not_reported() {
    let mut harness = Harness::with_hosts(1, 1);
    let slow = harness.establish(flow(1, PORT));
    for acknowledgement in 50..70 {
        // Another balancer placed this flow on the same host.
        harness.send(flow(2, PORT), Mark::of(slow), Kind::Data, 100, acknowledgement);
        harness.advance(40);
        harness.send(flow(2, PORT), Mark::of(slow), Kind::Data, 0, acknowledgement + 1);
    }
    assert_eq!(harness.record.silences, []);
}

#[test]
fn a_host_that_other_members_report_is_avoided_for_seconds_and_then_tried_again() {
    let mut harness = Harness::with_hosts(1, 2);
    harness.advance(1000);
    harness.engine.suspect(harness.now, HostId(1), &mut harness.record);
    assert_eq!(harness.record.events, ["host.suspected i-1"]);
    assert_eq!(count(&mut harness, HostId(1), 1..60), 0);
    harness.advance(8000);
    assert!(count(&mut harness, HostId(1), 100..160) > 0);
}

/// If all members tried the host again at the same moment, each would lose requests to it before the reports of the
/// first ones have reached the others.
#[test]
fn members_try_a_suspected_host_again_at_different_times() {
    let tries_after_5_s = |seed| {
        let mut harness = Harness::with_hosts(seed, 2);
        harness.advance(1000);
        harness.engine.suspect(harness.now, HostId(1), &mut harness.record);
        harness.advance(5000);
        count(&mut harness, HostId(1), 1..20) > 0
    };
    let trying = (1..=40).filter(|seed| tries_after_5_s(*seed)).count();
    assert!((4..=24).contains(&trying), "{trying} of 40 members try the host again between 5 and 6 s");
}

/// Own observations are more certain than those of others, whose way to the host differs.
#[test]
fn a_host_that_has_just_responded_is_not_suspected() {
    let mut harness = Harness::with_hosts(1, 2);
    let host = request(&mut harness, 1, None);
    harness.engine.suspect(harness.now, host, &mut harness.record);
    assert_eq!(harness.record.events, [] as [&str; 0]);
}

#[test]
fn a_timely_response_ends_the_suspicion() {
    let mut harness = Harness::with_hosts(1, 2);
    let host = harness.establish(flow(1, PORT));
    harness.advance(40);
    harness.engine.suspect(harness.now, host, &mut harness.record);
    harness.send(flow(1, PORT), Mark::of(host), Kind::Data, 0, 51);
    assert!(count(&mut harness, host, 2..60) > 0);
}

/// If most hosts were avoided, the others would be overloaded.
#[test]
fn no_more_than_a_quarter_of_the_hosts_is_suspected() {
    let mut harness = Harness::with_hosts(1, 4);
    harness.advance(1000);
    for id in [1, 2, 3, 4, 101, 102, 103, 104] {
        harness.engine.suspect(harness.now, HostId(id), &mut harness.record);
    }
    assert_eq!(harness.record.events, ["host.suspected i-1", "host.suspected i-2", "host.suspected i-3"]);
}

/// A suspicion may be wrong, so it must not make work wait or be refused.
#[test]
fn a_suspected_host_is_used_when_the_others_are_full() {
    let mut harness = Harness::with_slots(1, 2, 1);
    harness.advance(1000);
    harness.engine.suspect(harness.now, HostId(1), &mut harness.record);
    // One slot and a backlog of two at each of the five other hosts.
    let hosts: Vec<HostId> = (1..=16).map(|caller| harness.establish(flow(caller, PORT))).collect();
    assert_eq!(hosts.iter().position(|host| *host == HostId(1)), Some(15));
}

#[test]
fn established_flows_stay_at_a_suspected_host() {
    let mut harness = Harness::with_hosts(1, 2);
    let host = harness.establish(flow(1, PORT));
    harness.advance(1000);
    harness.engine.suspect(harness.now, host, &mut harness.record);
    harness.send(flow(1, PORT), Mark::of(host), Kind::Data, 100, 60);
    assert_eq!(harness.last_hop().host, host);
    assert!(harness.record.resets.is_empty());
}

#[test]
fn a_host_that_starts_again_is_not_suspected() {
    let mut harness = Harness::with_hosts(1, 2);
    harness.advance(1000);
    harness.engine.suspect(harness.now, HostId(1), &mut harness.record);
    let restarted = super::support::host(1, "bookings", "a");
    harness.register(&poplarpaddle::registry::Host { born: 2, ..restarted });
    assert!(count(&mut harness, HostId(1), 1..60) > 0);
}

#[test]
fn an_unknown_host_is_ignored() {
    let mut harness = Harness::with_hosts(1, 2);
    harness.engine.suspect(harness.now, HostId(77), &mut harness.record);
    assert!(harness.record.events.is_empty());
}
