//! Guards against openings that are resent only when their callers retransmit them, and against two hosts that answer
//! the same opening.

use poplarpaddle::direct::{Reason, Verdict};
use poplarpaddle::mark::{HostId, Mark};
use poplarpaddle::packet::{Flow, Kind};
use poplarpaddle::registry::Host;

use super::support::{Harness, flow, host, route};

/// A single unanswered opening was probably lost. An answer from a second host would break the flow, so the opening is
/// resent to the same host, which treats it as a retransmission.
#[test]
fn a_lost_opening_is_resent_to_the_same_host() {
    let mut harness = Harness::with_hosts(1, 5);
    for caller in 1..50 {
        harness.establish(flow(caller, 443));
    }
    harness.send_opening(flow(100, 443), 0);
    let first_hop = harness.last_hop();
    harness.advance(40);
    let resent = &harness.record.sent[harness.record.sent.len() - 1];
    assert_eq!(resent.hop, first_hop);
    assert!(harness.record.decisions.iter().any(|(_, verdict, _)| *verdict == Verdict::Repeated));
}

/// A crashed host must not delay each caller by the 200 ms until its retransmission: after two unanswered openings,
/// further ones move to another host at once.
#[test]
fn openings_move_from_a_silent_host_before_their_callers_retransmit() {
    let mut harness = Harness::with_hosts(3, 5);
    for caller in 1..50 {
        let placed = harness.establish(flow(caller, 443));
        harness.send(flow(caller, 443), Mark::of(placed), Kind::Closing, 0, 60);
    }
    let crashed = harness.establish(flow(60, 443));
    harness.send(flow(60, 443), Mark::of(crashed), Kind::Closing, 0, 60);
    let mut late = 0;
    for caller in 100..300 {
        harness.send_opening(flow(caller, 443), 0);
        let mut hop = harness.last_hop();
        let mut waited = 8;
        while hop.host == crashed && waited < 190 {
            harness.advance(10);
            waited += 10;
            let latest = harness.record.sent.iter().rfind(|sent| sent.bytes.len() == 2).unwrap().hop;
            hop = latest;
        }
        late += u32::from(hop.host == crashed);
        harness.advance(8);
        if hop.host != crashed {
            harness.send(flow(caller, 443), hop.mark.unwrap(), Kind::Data, 100, 50);
            harness.send(flow(caller, 443), hop.mark.unwrap(), Kind::Closing, 0, 60);
        }
    }
    assert!(late <= 1, "{late} openings stayed at a crashed host until their callers retransmitted them");
    assert!(harness.record.events.iter().any(|event| event.starts_with("host.silent")));
}

/// Sends an opening, and then an opening every 10 ms to other hosts, which answer. Returns the host of the first one.
fn opening_without_answer(harness: &mut Harness, unanswered: Flow, millis: u16) -> HostId {
    harness.send_opening(unanswered, 0);
    let placed = harness.last_hop().host;
    for caller in 0..millis / 10 {
        harness.send_opening(flow(1000 + caller, 443), 0);
        let hop = harness.last_hop();
        harness.advance(10);
        if hop.host != placed {
            harness.send(flow(1000 + caller, 443), hop.mark.unwrap(), Kind::Data, 100, 50);
            harness.send(flow(1000 + caller, 443), hop.mark.unwrap(), Kind::Closing, 0, 60);
        }
    }
    placed
}

fn moves(harness: &Harness, of: Flow) -> usize {
    harness.record.decisions.iter().filter(|(decided, verdict, _)| *decided == of && *verdict == Verdict::Moved).count()
}

/// When a balancer enters or leaves the rotation, the caller's next packet may pass through another one, and the flow is
/// open although nothing shows it here. A second host once answered the same opening then and reset the flow.
#[test]
fn an_opening_without_an_answer_stays_at_its_host_until_its_caller_repeats_it() {
    let mut harness = Harness::with_hosts(1, 5);
    for caller in 1..50 {
        harness.establish(flow(caller, 443));
    }
    let moved = flow(100, 443);
    opening_without_answer(&mut harness, moved, 190);
    // The host accepts connections.
    harness.finish_checks(None);
    assert_eq!(moves(&harness, moved), 0, "{:?}", harness.record.events);
    harness.advance(10);
    harness.send_opening(moved, 1);
    assert_eq!(moves(&harness, moved), 1, "the caller has no answer yet, so no host has the flow");
}

/// When all answers take longer than callers wait before they repeat an opening, for example on an overloaded machine, the
/// copy does not show that the host has not answered. A second host once got the copy then, and reset the flow.
#[test]
fn a_callers_copy_stays_at_its_host_while_no_host_answers_in_time() {
    for accepts_connections in [true, false] {
        let mut harness = Harness::with_hosts(1, 5);
        for caller in 1..50 {
            harness.establish(flow(caller, 443));
        }
        harness.advance(200);
        let late = flow(100, 443);
        harness.send_opening(late, 0);
        let host = harness.last_hop().host;
        for caller in 200..220 {
            harness.send_opening(flow(caller, 443), 0);
            harness.advance(10);
        }
        harness.finish_checks(if accepts_connections { None } else { Some(host) });
        harness.send_opening(late, 1);
        assert_eq!(moves(&harness, late), 0, "its answer may be on the way");
        harness.advance(400);
        harness.send_opening(late, 2);
        assert_eq!(moves(&harness, late), usize::from(!accepts_connections));
    }
}

/// A host that refuses connections is gone, so its openings need not wait for their callers.
#[test]
fn openings_leave_a_host_that_turns_out_to_be_unreachable() {
    let mut harness = Harness::with_hosts(1, 5);
    for caller in 1..50 {
        harness.establish(flow(caller, 443));
    }
    let waiting = flow(100, 443);
    let crashed = opening_without_answer(&mut harness, waiting, 70);
    assert_eq!(moves(&harness, waiting), 0);
    assert_eq!(harness.finish_checks(Some(crashed)), 1);
    let elsewhere = flow(2000, 443);
    harness.send_opening(elsewhere, 0);
    let hop = harness.last_hop();
    assert_ne!(hop.host, crashed);
    harness.advance(8);
    harness.send(elsewhere, hop.mark.unwrap(), Kind::Data, 100, 50);
    harness.advance(1);
    assert_eq!(moves(&harness, waiting), 1, "{:?}", harness.record.events);
}

/// A retransmission of the caller is forwarded at once, regardless of the engine's own timers and retry budget.
#[test]
fn a_retransmission_of_the_caller_is_forwarded() {
    let mut harness = Harness::with_hosts(1, 2);
    harness.send_opening(flow(1, 443), 0);
    harness.advance(199);
    let before = harness.record.sent.len();
    harness.send_opening(flow(1, 443), 1);
    assert_eq!(harness.record.sent.len(), before + 1);
    assert_eq!(harness.record.sent[before].bytes, [0, 1], "the retransmission is forwarded unchanged");
}

/// A retransmission that arrives after the flow was established must go to its host, because another host would answer
/// it too.
#[test]
fn a_late_retransmission_goes_to_the_host_of_the_flow() {
    let mut harness = Harness::with_hosts(1, 5);
    let placed = harness.establish(flow(1, 443));
    harness.send_opening(flow(1, 443), 1);
    assert_eq!(harness.last_hop().host, placed);
}

/// When no host answers, openings are still sent, because a host may have recovered.
#[test]
fn openings_are_sent_when_every_host_is_silent() {
    let mut harness = Harness::with_hosts(1, 1);
    for caller in 1..60 {
        harness.send_opening(flow(caller, 443), 0);
        harness.advance(50);
    }
    let before = harness.record.sent.len();
    harness.send_opening(flow(100, 443), 0);
    assert_eq!(harness.record.sent.len(), before + 1);
    assert!(harness.record.resets.is_empty());
}

/// Retries must not multiply the load when all hosts are down.
#[test]
fn retries_stay_within_their_budget() {
    let mut harness = Harness::with_hosts(1, 5);
    let openings = 2000;
    for caller in 1..=openings {
        harness.send_opening(flow(caller, 443), 0);
        harness.advance(2);
    }
    harness.advance(1000);
    let sent = harness.record.sent.len();
    let max_sent = usize::from(openings) * 125 / 100 + 200;
    assert!(sent <= max_sent, "{sent} packets for {openings} openings");
}

/// Flows must be distributed evenly, because the busiest host determines how long callers wait.
#[test]
fn openings_go_to_the_host_with_the_fewest_requests() {
    let mut harness = Harness::with_hosts(1, 5);
    for caller in 1..=150 {
        harness.establish(flow(caller, 443));
    }
    let mut counts = std::collections::BTreeMap::new();
    for sent in harness.record.sent.iter().filter(|sent| sent.bytes.len() == 2) {
        *counts.entry(sent.hop.host).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 15);
    assert!(counts.values().all(|count| (9..=11).contains(count)), "{counts:?}");
}

/// A request ends when its caller acknowledges the response, even if the flow stays open.
#[test]
fn an_answered_request_no_longer_counts_as_load() {
    let mut harness = Harness::new(1);
    harness.route(443, Some(&route("bookings")));
    for id in [1, 2] {
        harness.register(&host(id, "bookings", "a"));
    }
    let first = harness.establish(flow(1, 443));
    harness.send(flow(1, 443), Mark::of(first), Kind::Data, 0, 2050);
    // The first host is idle again, so both hosts have the same load and both get openings.
    let mut hosts = std::collections::BTreeSet::new();
    for caller in 10..30 {
        let placed = harness.establish(flow(caller, 443));
        harness.send(flow(caller, 443), Mark::of(placed), Kind::Closing, 0, 60);
        hosts.insert(placed);
    }
    assert_eq!(hosts.len(), 2);
}

/// A host that has just started is slow, so it gets fewer flows until it is warm.
#[test]
fn a_cold_host_gets_fewer_flows() {
    let mut harness = Harness::with_hosts(1, 2);
    let cold_until = poplarpaddle::time::Time::from_millis(60_000);
    harness.register(&Host { cold_until, ..host(1, "bookings", "a") });
    let mut cold = 0;
    for caller in 1..=60 {
        cold += u32::from(harness.establish(flow(caller, 443)).0 == 1);
    }
    assert!((4..=8).contains(&cold), "{cold} of 60 flows, an even share is 10");
}

/// After all machines have restarted, the first balancer that is ready gets the openings of all callers. Hosts reject
/// requests beyond their own queue, so the balancer has to queue the rest.
#[test]
fn openings_are_queued_until_hosts_have_capacity() {
    let mut harness = Harness::with_slots(1, 2, 3);
    let callers = 200;
    for caller in 1..=callers {
        harness.send_opening(flow(caller, 443), 0);
    }
    let sent = |harness: &Harness| -> Vec<(u16, poplarpaddle::direct::Hop)> {
        let placed = harness.record.decisions.iter().filter(|(_, verdict, _)| *verdict == Verdict::Placed);
        let hops = harness.record.sent.iter().filter(|sent| sent.bytes.len() == 2).map(|sent| sent.hop);
        placed.map(|(flow, ..)| flow.caller.port()).zip(hops).collect()
    };
    // Each of the 6 hosts has 3 slots and a backlog of 2.
    assert_eq!(sent(&harness).len(), 30);
    let mut completed = 0;
    while completed < 60 {
        let (caller, hop) = sent(&harness)[completed];
        harness.send(flow(caller, 443), hop.mark.unwrap(), Kind::Data, 100, 50);
        harness.send(flow(caller, 443), hop.mark.unwrap(), Kind::Closing, 0, 60);
        completed += 1;
        assert!(sent(&harness).len() <= 30 + completed, "each completed request lets one queued opening start");
    }
    assert_eq!(sent(&harness).len(), 90);
    assert!(harness.record.resets.is_empty());
}

/// Of the queued openings, the most urgent one is placed first.
#[test]
fn the_most_urgent_opening_leaves_the_queue_first() {
    let mut harness = Harness::new(1);
    harness.register(&Host { slots: 3, ..host(1, "bookings", "a") });
    harness.route(443, Some(&poplarpaddle::registry::Route { rank: 2, ..route("bookings") }));
    harness.route(80, Some(&poplarpaddle::registry::Route { rank: 0, ..route("bookings") }));
    for caller in 1..=8 {
        harness.send_opening(flow(caller, 443), 0);
    }
    harness.send_opening(flow(50, 80), 0);
    let mark = harness.last_hop().mark.unwrap();
    harness.send(flow(1, 443), mark, Kind::Closing, 0, 60);
    assert_eq!(harness.record.decisions.last().unwrap().0, flow(50, 80));
}

/// Openings must not wait for requests whose end another balancer sees. After a restart of all machines, a balancer
/// once delayed its openings for eight seconds, because each opening that had waited in vain counted as a request
/// itself.
#[test]
fn overdue_requests_do_not_delay_openings() {
    let mut harness = Harness::with_slots(1, 2, 3);
    // The packets that end these requests go to another balancer.
    for caller in 1..=30 {
        harness.establish(flow(caller, 443));
    }
    harness.advance(150);
    for caller in 100..130 {
        harness.send_opening(flow(caller, 443), 0);
        harness.advance(60);
        assert!(harness.record.decisions.contains(&(flow(caller, 443), Verdict::Placed, None)), "caller {caller}");
        let mark = harness.last_hop().mark.unwrap();
        harness.send(flow(caller, 443), mark, Kind::Data, 100, 50);
        harness.send(flow(caller, 443), mark, Kind::Closing, 0, 60);
    }
}

/// The caller's retransmission may reach another balancer and be placed there, and a flow with two hosts breaks. So an
/// opening must leave the queue before its caller retransmits it.
#[test]
fn a_waiting_opening_is_placed_before_its_callers_copy() {
    let mut harness = Harness::new(1);
    harness.register(&Host { slots: 3, ..host(1, "bookings", "a") });
    harness.route(443, Some(&route("bookings")));
    let placed = (1..=5).map(|caller| harness.establish(flow(caller, 443))).last().unwrap();
    harness.send_opening(flow(6, 443), 0);
    harness.advance(100);
    for caller in 1..=5 {
        harness.send(flow(caller, 443), Mark::of(placed), Kind::Data, 100, 50);
    }
    assert!(!harness.record.decisions.contains(&(flow(6, 443), Verdict::Placed, None)));
    harness.advance(99);
    assert!(harness.record.decisions.contains(&(flow(6, 443), Verdict::Placed, None)));
}

/// When another balancer places a retransmission, the flow is established there. An opening that was still queued here
/// used to be sent to a second host, whose answer broke the flow.
#[test]
fn a_queued_opening_is_removed_when_its_flow_is_established_elsewhere() {
    let mut harness = Harness::with_slots(1, 1, 1);
    harness.record.zones_without_members = vec!["b", "c"];
    let hosts: Vec<_> = (1..=9).map(|caller| harness.establish(flow(caller, 443))).collect();
    harness.send_opening(flow(50, 443), 0);
    assert_eq!(harness.record.decisions.last().unwrap().1, Verdict::Queued);
    harness.send(flow(50, 443), Mark::of(hosts[0]), Kind::Data, 100, 50);
    harness.send(flow(1, 443), Mark::of(hosts[0]), Kind::Closing, 0, 60);
    harness.advance(300);
    assert!(
        !harness
            .record
            .decisions
            .iter()
            .any(|(decided, verdict, _)| *decided == flow(50, 443) && *verdict == Verdict::Placed)
    );
}

/// The time in the queue is bounded, because hosts may be idle although the balancer did not see their requests end.
#[test]
fn a_queued_opening_is_placed_after_its_timeout() {
    let mut harness = Harness::new(1);
    harness.register(&Host { slots: 3, ..host(1, "bookings", "a") });
    harness.route(443, Some(&route("bookings")));
    for caller in 1..=6 {
        harness.send_opening(flow(caller, 443), 0);
    }
    harness.send_opening(flow(6, 443), 1);
    assert_eq!(harness.record.decisions.iter().filter(|(_, verdict, _)| *verdict == Verdict::Placed).count(), 5);
    harness.advance(401);
    assert!(harness.record.decisions.contains(&(flow(6, 443), Verdict::Placed, None)));
}

/// A caller whose opening cannot be served any more has to learn it at once. An opening that left the queue without a
/// host was once dropped without a decision, and its caller waited for its own retransmission.
#[test]
fn a_queued_opening_is_refused_when_the_last_host_is_gone() {
    let mut harness = Harness::new(1);
    harness.route(443, Some(&route("bookings")));
    harness.register(&Host { slots: 1, ..host(1, "bookings", "a") });
    // The host has a slot and a backlog of 2.
    for caller in 1..=3 {
        harness.establish(flow(caller, 443));
    }
    let queued = flow(4, 443);
    harness.send_opening(queued, 0);
    assert_eq!(harness.record.decisions.last(), Some(&(queued, Verdict::Queued, None)));
    harness.deregister(1);
    harness.advance(1);
    assert!(harness.record.resets.iter().any(|(reset, _)| *reset == queued), "{:?}", harness.record.resets);
    assert!(harness.record.decisions.contains(&(queued, Verdict::Refused, Some(Reason::NoHost))));
}

/// A route that is dropped while an opening is queued ends the opening. Found by the random test with seeds from 1000 on.
#[test]
fn a_queued_opening_is_refused_when_its_route_is_gone() {
    let mut harness = Harness::new(1);
    harness.register(&Host { slots: 3, ..host(1, "bookings", "a") });
    harness.route(443, Some(&route("bookings")));
    for caller in 1..=6 {
        harness.send_opening(flow(caller, 443), 0);
    }
    harness.route(443, None);
    harness.advance(200);
    assert!(harness.record.decisions.contains(&(flow(6, 443), Verdict::Refused, Some(Reason::UnknownRoute))));
}

/// A route that moves to another service while an opening is queued takes the opening along. Found by the random test with
/// seed 1920.
#[test]
fn a_queued_opening_follows_its_route() {
    let mut harness = Harness::new(1);
    harness.register(&Host { slots: 3, ..host(1, "bookings", "a") });
    harness.register(&host(2, "crewdocs", "a"));
    harness.route(443, Some(&route("bookings")));
    for caller in 1..=6 {
        harness.send_opening(flow(caller, 443), 0);
    }
    harness.route(443, Some(&route("crewdocs")));
    harness.deregister(1);
    harness.advance(1);
    assert_eq!(harness.last_hop().host.0, 2);
    assert!(harness.record.resets.is_empty());
}

/// An opening that is queued when its balancer stops must still reach a host. It was once lost, and its caller waited for
/// its own retransmission.
#[test]
fn queued_openings_are_placed_when_the_balancer_stops() {
    let mut harness = Harness::new(1);
    harness.register(&Host { slots: 3, ..host(1, "bookings", "a") });
    harness.route(443, Some(&route("bookings")));
    for caller in 1..=8 {
        harness.send_opening(flow(caller, 443), 0);
    }
    let placed = |harness: &Harness| {
        harness.record.decisions.iter().filter(|(_, verdict, _)| *verdict == Verdict::Placed).count()
    };
    assert_eq!(placed(&harness), 5);
    harness.engine.stop(harness.now, &mut harness.record);
    assert_eq!(placed(&harness), 8);
}
