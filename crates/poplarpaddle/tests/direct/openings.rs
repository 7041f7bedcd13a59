//! Guards against openings that wait for their callers' copies, and against two hosts that answer one opening.

use poplarpaddle::direct::Verdict;
use poplarpaddle::mark::Mark;
use poplarpaddle::packet::Kind;
use poplarpaddle::registry::Host;

use super::support::{World, flow, host, route};

/// A single opening without an answer was lost. A second host that answers would spoil the flow, so it goes to the same
/// host again; the host takes it as a copy.
#[test]
fn a_lost_opening_goes_to_the_same_host_again() {
    let mut world = World::with_hosts(1, 5);
    for caller in 1..50 {
        world.establish(flow(caller, 443));
    }
    world.open(flow(100, 443), 0);
    let first = world.last();
    world.after(40);
    let again = &world.record.sent[world.record.sent.len() - 1];
    assert_eq!(again.hop, first);
    assert!(world.record.decisions.iter().any(|(_, verdict, _)| *verdict == Verdict::Repeated));
}

/// A crashed host must not cost each caller 200 ms: after two openings without an answer the others move at once.
#[test]
fn openings_leave_a_silent_host_before_their_callers_repeat_them() {
    let mut world = World::with_hosts(3, 5);
    for caller in 1..50 {
        let placed = world.establish(flow(caller, 443));
        world.send(flow(caller, 443), Mark::of(placed), Kind::Closing, 0, 60);
    }
    let dead = world.establish(flow(60, 443));
    world.send(flow(60, 443), Mark::of(dead), Kind::Closing, 0, 60);
    let mut late = 0;
    for caller in 100..300 {
        world.open(flow(caller, 443), 0);
        let mut hop = world.last();
        let mut waited = 8;
        while hop.host == dead && waited < 190 {
            world.after(10);
            waited += 10;
            let latest = world.record.sent.iter().rfind(|sent| sent.bytes.len() == 2).unwrap().hop;
            hop = latest;
        }
        late += u32::from(hop.host == dead);
        world.after(8);
        if hop.host != dead {
            world.send(flow(caller, 443), hop.mark.unwrap(), Kind::Data, 100, 50);
            world.send(flow(caller, 443), hop.mark.unwrap(), Kind::Closing, 0, 60);
        }
    }
    assert!(late <= 1, "{late} openings stayed at a dead host until their callers repeated them");
    assert!(world.record.beliefs.iter().any(|belief| belief.starts_with("host.silent")));
}

/// The caller's own copy drives an attempt even when the budget of the engine is used up.
#[test]
fn a_copy_of_the_caller_is_sent_on() {
    let mut world = World::with_hosts(1, 2);
    world.open(flow(1, 443), 0);
    world.after(199);
    let before = world.record.sent.len();
    world.open(flow(1, 443), 1);
    assert_eq!(world.record.sent.len(), before + 1);
    assert_eq!(world.record.sent[before].bytes, [0, 1], "the copy is sent as its caller wrote it");
}

/// A copy that comes after the flow opened must go to its host: another one would answer it too.
#[test]
fn a_late_copy_goes_to_the_host_of_the_flow() {
    let mut world = World::with_hosts(1, 5);
    let placed = world.establish(flow(1, 443));
    world.open(flow(1, 443), 1);
    assert_eq!(world.last().host, placed);
}

/// When every host is silent, openings still go out: one of them may be back.
#[test]
fn openings_go_out_when_every_host_is_silent() {
    let mut world = World::with_hosts(1, 1);
    for caller in 1..60 {
        world.open(flow(caller, 443), 0);
        world.after(50);
    }
    let before = world.record.sent.len();
    world.open(flow(100, 443), 0);
    assert_eq!(world.record.sent.len(), before + 1);
    assert!(world.record.resets.is_empty());
}

/// Repeats must not multiply the load of a fleet whose hosts are all down.
#[test]
fn repeats_stay_within_their_budget() {
    let mut world = World::with_hosts(1, 5);
    let openings = 2000;
    for caller in 1..=openings {
        world.open(flow(caller, 443), 0);
        world.after(2);
    }
    world.after(1000);
    let sent = world.record.sent.len();
    let most = usize::from(openings) * 125 / 100 + 200;
    assert!(sent <= most, "{sent} packets for {openings} openings");
}

/// Work must be spread evenly: the busiest host decides how long callers wait.
#[test]
fn openings_go_to_the_host_with_the_least_work() {
    let mut world = World::with_hosts(1, 5);
    for caller in 1..=150 {
        world.establish(flow(caller, 443));
    }
    let mut counts = std::collections::BTreeMap::new();
    for sent in world.record.sent.iter().filter(|sent| sent.bytes.len() == 2) {
        *counts.entry(sent.hop.host).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 15);
    assert!(counts.values().all(|count| (9..=11).contains(count)), "{counts:?}");
}

/// A request ends when its caller acknowledges the answer, also on a flow that stays open.
#[test]
fn an_answered_request_no_longer_counts_as_work() {
    let mut world = World::new(1);
    world.route(443, Some(&route("bookings")));
    for id in [1, 2] {
        world.list(&host(id, "bookings", "a"));
    }
    let first = world.establish(flow(1, 443));
    world.send(flow(1, 443), Mark::of(first), Kind::Data, 0, 2050);
    // The first host is idle again, so both have the same load and both get openings.
    let mut hosts = std::collections::BTreeSet::new();
    for caller in 10..30 {
        let placed = world.establish(flow(caller, 443));
        world.send(flow(caller, 443), Mark::of(placed), Kind::Closing, 0, 60);
        hosts.insert(placed);
    }
    assert_eq!(hosts.len(), 2);
}

/// A host that has just started is slow; it gets less work until it is warm.
#[test]
fn a_cold_host_gets_less_work() {
    let mut world = World::with_hosts(1, 2);
    let cold_until = poplarpaddle::time::Time::from_millis(60_000);
    world.list(&Host { cold_until, ..host(1, "bookings", "a") });
    let mut cold = 0;
    for caller in 1..=60 {
        cold += u32::from(world.establish(flow(caller, 443)).0 == 1);
    }
    assert!((4..=8).contains(&cold), "{cold} of 60 flows, an even share is 10");
}

/// After a loss of all machines the first balancer that is ready gets the openings of everybody. Hosts reject what they
/// cannot queue, so the rest has to wait here.
#[test]
fn a_crowd_waits_until_hosts_have_room() {
    let mut world = World::with_slots(1, 2, 3);
    let callers = 200;
    for caller in 1..=callers {
        world.open(flow(caller, 443), 0);
    }
    let sent = |world: &World| -> Vec<(u16, poplarpaddle::direct::Hop)> {
        let placed = world.record.decisions.iter().filter(|(_, verdict, _)| *verdict == Verdict::Placed);
        let hops = world.record.sent.iter().filter(|sent| sent.bytes.len() == 2).map(|sent| sent.hop);
        placed.map(|(flow, ..)| flow.caller.port()).zip(hops).collect()
    };
    // Each of 6 hosts has 3 slots and takes 2 more.
    assert_eq!(sent(&world).len(), 30);
    let mut done = 0;
    while done < 60 {
        let (caller, hop) = sent(&world)[done];
        world.send(flow(caller, 443), hop.mark.unwrap(), Kind::Data, 100, 50);
        world.send(flow(caller, 443), hop.mark.unwrap(), Kind::Closing, 0, 60);
        done += 1;
        assert!(sent(&world).len() <= 30 + done, "work that ends lets one opening start");
    }
    assert_eq!(sent(&world).len(), 90);
    assert!(world.record.resets.is_empty());
}

/// Urgent work goes first among those that wait.
#[test]
fn the_most_urgent_opening_leaves_the_queue_first() {
    let mut world = World::new(1);
    world.list(&Host { slots: 3, ..host(1, "bookings", "a") });
    world.route(443, Some(&poplarpaddle::registry::Route { rank: 2, ..route("bookings") }));
    world.route(80, Some(&poplarpaddle::registry::Route { rank: 0, ..route("bookings") }));
    for caller in 1..=8 {
        world.open(flow(caller, 443), 0);
    }
    world.open(flow(50, 80), 0);
    let mark = world.last().mark.unwrap();
    world.send(flow(1, 443), mark, Kind::Closing, 0, 60);
    assert_eq!(world.record.decisions.last().unwrap().0, flow(50, 80));
}

/// Openings must not wait for work whose end passed another balancer. One balancer went on to hold up its openings for
/// eight seconds after a return of all machines, because each that waited in vain counted as work again.
#[test]
fn work_that_takes_longer_than_usual_does_not_hold_up_openings() {
    let mut world = World::with_slots(1, 2, 3);
    // The packets that end their work go to another balancer.
    for caller in 1..=30 {
        world.establish(flow(caller, 443));
    }
    world.after(150);
    for caller in 100..130 {
        world.open(flow(caller, 443), 0);
        world.after(60);
        assert!(world.record.decisions.contains(&(flow(caller, 443), Verdict::Placed, None)), "caller {caller}");
        let mark = world.last().mark.unwrap();
        world.send(flow(caller, 443), mark, Kind::Data, 100, 50);
        world.send(flow(caller, 443), mark, Kind::Closing, 0, 60);
    }
}

/// The caller's copy may come to another balancer and be placed there, so an opening leaves the queue before the copy: an
/// opening at two hosts is spoiled.
#[test]
fn a_waiting_opening_is_placed_before_its_callers_copy() {
    let mut world = World::new(1);
    world.list(&Host { slots: 3, ..host(1, "bookings", "a") });
    world.route(443, Some(&route("bookings")));
    let placed = (1..=5).map(|caller| world.establish(flow(caller, 443))).last().unwrap();
    world.open(flow(6, 443), 0);
    world.after(100);
    for caller in 1..=5 {
        world.send(flow(caller, 443), Mark::of(placed), Kind::Data, 100, 50);
    }
    assert!(!world.record.decisions.contains(&(flow(6, 443), Verdict::Placed, None)));
    world.after(99);
    assert!(world.record.decisions.contains(&(flow(6, 443), Verdict::Placed, None)));
}

/// A copy that another balancer placed opens the flow. The opening that still waited here went to a second host, whose answer
/// spoiled the flow.
#[test]
fn a_waiting_opening_is_forgotten_when_its_flow_is_established_elsewhere() {
    let mut world = World::with_slots(1, 1, 1);
    world.record.alone_in = vec!["b", "c"];
    let hosts: Vec<_> = (1..=9).map(|caller| world.establish(flow(caller, 443))).collect();
    world.open(flow(50, 443), 0);
    assert_eq!(world.record.decisions.last().unwrap().1, Verdict::Queued);
    world.send(flow(50, 443), Mark::of(hosts[0]), Kind::Data, 100, 50);
    world.send(flow(1, 443), Mark::of(hosts[0]), Kind::Closing, 0, 60);
    world.after(300);
    assert!(!world.record.decisions.iter().any(|(of, verdict, _)| *of == flow(50, 443) && *verdict == Verdict::Placed));
}

/// A wait ends: hosts may be idle although their work's end was not seen.
#[test]
fn an_opening_that_waited_for_long_is_placed_all_the_same() {
    let mut world = World::new(1);
    world.list(&Host { slots: 3, ..host(1, "bookings", "a") });
    world.route(443, Some(&route("bookings")));
    for caller in 1..=6 {
        world.open(flow(caller, 443), 0);
    }
    world.open(flow(6, 443), 1);
    assert_eq!(world.record.decisions.iter().filter(|(_, verdict, _)| *verdict == Verdict::Placed).count(), 5);
    world.after(401);
    assert!(world.record.decisions.contains(&(flow(6, 443), Verdict::Placed, None)));
}
