//! Replays loads that hosts have no room for, and checks who waits, who is refused and who is placed.

use std::collections::BTreeMap;

use poplarpaddle::direct::{Reason, Verdict};
use poplarpaddle::mark::{HostId, Mark};
use poplarpaddle::packet::{Flow, Kind};
use poplarpaddle::registry::{Host, Route};

use super::support::{Harness, flow, host, route};

const URGENT: u16 = 443;
const IDLE: u16 = 444;

/// Time after which callers give up, in milliseconds.
const TIMEOUT: u32 = 1_000;

/// Returns a harness with `hosts` hosts of 1 slot, which take 2 requests more, and a route of each kind.
fn harness(hosts: u64) -> Harness {
    let mut harness = Harness::new(1);
    for id in 1..=hosts {
        harness.register(&Host { slots: 1, ..host(id, "bookings", "a") });
    }
    for (port, rank) in [(URGENT, 0), (IDLE, 2)] {
        harness.route(port, Some(&Route { rank, timeout_ms: TIMEOUT, ..route("bookings") }));
    }
    harness
}

/// Serves one request in `millis`, from which the engine learns the response time.
fn serve_one(harness: &mut Harness, millis: u64) {
    let served = flow(60_000, URGENT);
    let placed = harness.establish(served);
    harness.advance(millis);
    harness.send(served, Mark::of(placed), Kind::Data, 0, 2_050);
    harness.send(served, Mark::of(placed), Kind::Closing, 0, 2_050);
}

fn with_verdict(harness: &Harness, verdict: Verdict) -> Vec<Flow> {
    let matching = harness.record.decisions.iter().filter(|(_, decided, _)| *decided == verdict);
    matching.map(|(flow, ..)| *flow).collect()
}

/// Ends the request of a placed flow, which lets a queued opening start.
fn finish(harness: &mut Harness, flow: Flow) {
    harness.send(flow, Mark::of(HostId(1)), Kind::Closing, 0, 60);
}

/// Burst of the urgent kind: the least urgent openings were not placed as long as an urgent one waited.
#[test]
fn a_burst_of_urgent_openings_leaves_the_least_urgent_ones_a_share() {
    let mut harness = harness(1);
    for caller in 1..=10 {
        harness.send_opening(flow(caller, IDLE), 0);
    }
    for caller in 1..=200 {
        harness.send_opening(flow(caller, URGENT), 0);
    }
    // A share of 5 percent is earned by 20 starts and spent on the next.
    for finished in 0..=100 {
        let placed = with_verdict(&harness, Verdict::Placed)[finished];
        finish(&mut harness, placed);
    }
    let placed = with_verdict(&harness, Verdict::Placed);
    let idle = placed.iter().skip(3).filter(|flow| flow.service.port() == IDLE).count();
    assert_eq!(idle, 5);
}

/// Burst of the idle kind: an urgent opening is placed next, however many others wait.
#[test]
fn a_burst_of_idle_openings_does_not_delay_urgent_ones() {
    let mut harness = harness(1);
    for caller in 1..=100 {
        harness.send_opening(flow(caller, IDLE), 0);
    }
    for caller in 1..=10 {
        harness.send_opening(flow(caller, URGENT), 0);
        let placed = with_verdict(&harness, Verdict::Placed)[usize::from(caller) - 1];
        finish(&mut harness, placed);
        assert_eq!(with_verdict(&harness, Verdict::Placed).last(), Some(&flow(caller, URGENT)));
    }
}

/// Return of all: of the crowd that comes at once, those that could not start before their callers give up are refused at
/// once, before a host got them, and the others are not.
#[test]
fn of_a_crowd_only_those_that_come_too_late_are_refused() {
    for (hosts, crowd) in [(3, 300), (2, 300), (3, 60)] {
        let mut harness = harness(hosts);
        serve_one(&mut harness, 50);
        harness.record.decisions.clear();
        for caller in 1..=crowd {
            harness.send_opening(flow(caller, IDLE), 0);
        }
        let refused = with_verdict(&harness, Verdict::Refused);
        // Each host takes 3 requests of 50 ms, so within the timeout as many start as 20 times that.
        let served_in_time = 3 * usize::try_from(hosts).unwrap() * 20;
        assert_eq!(usize::from(crowd) - refused.len(), (served_in_time + 3 * hosts as usize - 1).min(crowd.into()));
        let resets: Vec<Flow> = harness.record.resets.iter().map(|(flow, _)| *flow).collect();
        assert_eq!(resets, refused, "each is told at once");
        assert!(
            harness
                .record
                .decisions
                .iter()
                .all(|(_, verdict, reason)| { (*verdict == Verdict::Refused) == (*reason == Some(Reason::Late)) })
        );
    }
}

/// After a burst of the urgent kind, nothing competes with the idle kind any more. What it got in the burst must not count.
#[test]
fn openings_are_not_refused_for_a_burst_that_is_over() {
    let mut harness = harness(1);
    serve_one(&mut harness, 50);
    harness.record.decisions.clear();
    for caller in 1..=20 {
        harness.send_opening(flow(caller, IDLE), 0);
    }
    for started in 0..200 {
        harness.send_opening(flow(1_000 + started, URGENT), 0);
        let placed = with_verdict(&harness, Verdict::Placed)[usize::from(started)];
        finish(&mut harness, placed);
    }
    let placed = with_verdict(&harness, Verdict::Placed);
    let queued = with_verdict(&harness, Verdict::Queued).into_iter().filter(|flow| !placed.contains(flow));
    // The packet of a queued flow takes it out of the queue.
    queued.chain(placed.iter().copied()).for_each(|ended| finish(&mut harness, ended));
    harness.record.decisions.clear();
    for caller in 2_001..=2_013 {
        harness.send_opening(flow(caller, IDLE), 0);
    }
    assert_eq!(with_verdict(&harness, Verdict::Placed).len(), 3);
    assert!(with_verdict(&harness, Verdict::Refused).is_empty());
}

/// A burst of the urgent kind at another service takes nothing of the hosts that the idle kind waits for.
#[test]
fn openings_are_not_refused_for_a_burst_at_other_hosts() {
    let mut harness = harness(1);
    harness.register(&Host { slots: 1, ..host(2, "crewdocs", "a") });
    harness.route(IDLE, Some(&Route { rank: 2, timeout_ms: TIMEOUT, ..route("crewdocs") }));
    harness.establish(flow(60_000, IDLE));
    harness.advance(50);
    harness.send(flow(60_000, IDLE), Mark::of(HostId(2)), Kind::Data, 0, 2_050);
    harness.send(flow(60_000, IDLE), Mark::of(HostId(2)), Kind::Closing, 0, 2_050);
    harness.record.decisions.clear();
    (1..=4).for_each(|caller| harness.send_opening(flow(caller, IDLE), 0));
    (1..=10).for_each(|caller| harness.send_opening(flow(caller, URGENT), 0));
    let placed = |harness: &Harness, port: u16, index: u16| {
        let mut placed = with_verdict(harness, Verdict::Placed).into_iter().filter(|flow| flow.service.port() == port);
        placed.nth(usize::from(index)).unwrap()
    };
    for started in 0..300 {
        harness.send_opening(flow(1_000 + started, URGENT), 0);
        let ended = placed(&harness, URGENT, started);
        finish(&mut harness, ended);
        // The idle kind goes on, at a lower rate than its share of the starts.
        if started % 25 == 24 {
            let ended = placed(&harness, IDLE, started / 25);
            harness.send(ended, Mark::of(HostId(2)), Kind::Closing, 0, 60);
            harness.send_opening(flow(1_000 + started, IDLE), 0);
        }
    }
    assert!(with_verdict(&harness, Verdict::Placed).iter().filter(|flow| flow.service.port() == IDLE).count() > 10);
    (2_001..=2_010).for_each(|caller| harness.send_opening(flow(caller, IDLE), 0));
    assert!(with_verdict(&harness, Verdict::Refused).is_empty(), "{:?}", with_verdict(&harness, Verdict::Refused));
}

/// No opening waits here for longer than the queue keeps it. So a less urgent one, whose share is small, waits no longer than
/// all the work ahead of it takes.
#[test]
fn openings_are_not_refused_for_their_share_alone() {
    let mut harness = harness(1);
    serve_one(&mut harness, 50);
    harness.record.decisions.clear();
    (1..=20).for_each(|caller| harness.send_opening(flow(caller, IDLE), 0));
    for started in 0..200 {
        harness.send_opening(flow(1_000 + started, URGENT), 0);
        let placed = with_verdict(&harness, Verdict::Placed)[usize::from(started)];
        finish(&mut harness, placed);
    }
    // 17 openings wait, so the last of these starts after 26 times 50 ms / 3.
    (2_001..=2_009).for_each(|caller| harness.send_opening(flow(caller, IDLE), 0));
    assert!(with_verdict(&harness, Verdict::Refused).is_empty(), "{:?}", with_verdict(&harness, Verdict::Refused));
}

/// Moving callers: a copy whose original went through another balancer may belong to a flow that is open by now.
#[test]
fn a_copy_of_an_opening_is_not_refused() {
    let mut harness = harness(1);
    serve_one(&mut harness, 50);
    for caller in 1..=200 {
        harness.send_opening(flow(caller, IDLE), 0);
    }
    assert!(with_verdict(&harness, Verdict::Refused).contains(&flow(200, IDLE)));
    harness.send_opening(flow(300, IDLE), 1);
    assert!(!with_verdict(&harness, Verdict::Refused).contains(&flow(300, IDLE)));
}

/// Without a known timeout or response time, nothing shows that an opening comes too late.
#[test]
fn openings_are_not_refused_on_a_guess() {
    for knows_timeout in [false, true] {
        let mut harness = harness(1);
        if !knows_timeout {
            harness.route(IDLE, Some(&Route { rank: 2, ..route("bookings") }));
            serve_one(&mut harness, 50);
        }
        for caller in 1..=300 {
            harness.send_opening(flow(caller, IDLE), 0);
        }
        assert!(with_verdict(&harness, Verdict::Refused).is_empty());
    }
}

/// Opens a long flow, on which one request is answered, and returns its host.
fn open_long_flow(harness: &mut Harness, caller: u16) -> HostId {
    let opened = flow(caller, URGENT);
    let placed = harness.establish(opened);
    harness.advance(30);
    harness.send(opened, Mark::of(placed), Kind::Data, 0, 2_050);
    placed
}

/// Moving callers: long flows were spread by the requests in progress at their opening, which are few, so at random. At the
/// peak, all of them send requests.
#[test]
fn long_flows_are_spread_by_the_flows_that_are_open() {
    let mut harness = Harness::with_hosts(1, 10);
    let mut counts = BTreeMap::new();
    for caller in 1..=300 {
        *counts.entry(open_long_flow(&mut harness, caller)).or_insert(0) += 1;
        harness.advance(150);
    }
    // Two choices leave the fullest host above the mean by the logarithm of the logarithm of the number of hosts.
    assert!(counts.values().all(|count| *count <= 10 + 3), "{counts:?}");
}

/// A host that joins has no flows. It must not get the next flow of every balancer.
#[test]
fn a_host_that_joins_gets_its_flows_over_time() {
    let mut harness = Harness::with_hosts(1, 10);
    for caller in 1..=100 {
        open_long_flow(&mut harness, caller);
    }
    harness.register(&host(299, "bookings", "a"));
    let mut joined = 0;
    for caller in 200..300 {
        joined += u32::from(open_long_flow(&mut harness, caller) == HostId(299));
    }
    // One of two choices among 31 hosts: 6.5 of 100 on average.
    assert!((1..=13).contains(&joined), "{joined} of 100 flows");
}

/// Return of all while a zone is drained: its hosts take none of the crowd, so openings that only they could serve in time
/// are refused.
#[test]
fn the_capacity_of_a_drained_zone_is_not_expected() {
    let refused = |has_drained_zone: bool| {
        let mut harness = harness(2);
        if has_drained_zone {
            for id in 101..=102 {
                harness.register(&Host { slots: 1, ..host(id, "bookings", "b") });
            }
            harness.engine.set_zone_drain(harness.now, "b", true, &mut harness.record);
        }
        serve_one(&mut harness, 50);
        for caller in 1..=300 {
            harness.send_opening(flow(caller, IDLE), 0);
        }
        with_verdict(&harness, Verdict::Refused).len()
    };
    assert!(refused(false) > 0);
    assert_eq!(refused(true), refused(false));
}
