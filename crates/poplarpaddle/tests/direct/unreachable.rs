//! Guards against callers that wait for their timeouts because the host of their flow is gone, and against resets of
//! flows whose host is well.

use poplarpaddle::direct::{Reason, Verdict};
use poplarpaddle::mark::{HostId, Mark};
use poplarpaddle::packet::{Flow, Kind};
use poplarpaddle::registry::{Host, Route};

use super::support::{Harness, ZONES, flow, host, route};

const RESET: (Verdict, Option<Reason>) = (Verdict::Reset, Some(Reason::Unreachable));

/// Port of a route whose requests may run twice.
const IDEMPOTENT: u16 = 443;
/// Port of a route whose requests must not run twice.
const ONCE: u16 = 444;

/// Returns a harness with two hosts in each zone and a route of each kind.
fn harness() -> Harness {
    let mut harness = Harness::with_hosts(1, 2);
    harness.route(IDEMPOTENT, Some(&Route { idempotent: true, ..route("bookings") }));
    harness.route(ONCE, Some(&route("bookings")));
    harness
}

/// Opens flows on the port until two of them are at one host. Returns the flows and the host.
fn two_flows(harness: &mut Harness, port: u16, first_caller: u16) -> (Flow, Flow, HostId) {
    let mut placed: Vec<(Flow, HostId)> = Vec::new();
    for caller in first_caller.. {
        let opened = flow(caller, port);
        let host = harness.establish(opened);
        if let Some((other, _)) = placed.iter().find(|(_, other)| *other == host) {
            return (*other, opened, host);
        }
        placed.push((opened, host));
    }
    unreachable!("there are more callers than hosts");
}

/// Opens a flow at a host other than `silent`, so that the engine sees an answer.
fn answer_elsewhere(harness: &mut Harness, silent: HostId, first_caller: u16) {
    for caller in first_caller.. {
        harness.send_opening(flow(caller, ONCE), 0);
        let hop = harness.last_hop();
        if hop.host != silent {
            harness.advance(8);
            return harness.send(flow(caller, ONCE), hop.mark.unwrap(), Kind::Data, 100, 50);
        }
    }
}

/// Leaves the openings to zone b and the pings of its members unanswered.
fn lose_zone_b(harness: &mut Harness) {
    for caller in 500..560 {
        harness.send_opening(flow(caller, ONCE), 0);
        let hop = harness.last_hop();
        harness.advance(10);
        if hop.host.0 / 100 != 1 {
            harness.send(flow(caller, ONCE), hop.mark.unwrap(), Kind::Data, 100, 50);
        }
    }
}

fn is_reset(harness: &Harness, flow: Flow) -> bool {
    let has_decision = harness
        .record
        .decisions
        .iter()
        .any(|(decided, verdict, reason)| *decided == flow && (*verdict, *reason) == RESET);
    assert_eq!(has_decision, harness.record.resets.iter().any(|(reset, _)| *reset == flow));
    has_decision
}

/// A request on an established flow, which its caller retransmits after 200 ms because the host has crashed, ends soon
/// after. So do the other flows at this host, and later requests on such flows end at once.
#[test]
fn flows_at_a_crashed_host_are_reset() {
    let mut harness = harness();
    let (waiting, idle, crashed) = two_flows(&mut harness, IDEMPOTENT, 1);
    let (waits, _, _) = (waiting, idle, crashed);
    harness.advance(200);
    // The request was the first packet with payload; `establish` sends it with the sequence number 8.
    harness.send(waits, Mark::of(crashed), Kind::Data, 100, 50);
    answer_elsewhere(&mut harness, crashed, 500);
    assert_eq!(harness.finish_checks(Some(crashed)), 1);
    assert!(is_reset(&harness, waiting) && is_reset(&harness, idle));
    assert!(harness.record.resets.contains(&(waiting, 50)), "the caller accepts only the sequence number it expects");
    assert!(harness.record.events.iter().any(|event| event.starts_with("host.unreachable")));

    harness.send(flow(400, IDEMPOTENT), Mark::of(crashed), Kind::Data, 100, 77);
    assert!(is_reset(&harness, flow(400, IDEMPOTENT)), "a request on a flow that another balancer opened");
    for caller in 600..650 {
        harness.send_opening(flow(caller, IDEMPOTENT), 0);
        assert_ne!(harness.last_hop().host, crashed, "an unreachable host gets no openings");
    }
}

/// The caller of a long download has acknowledged much of it when its host becomes unreachable. A reset with the
/// acknowledgement number of the request is out of the caller's window then, so that the caller does not take it as a
/// reset.
#[test]
fn a_reset_carries_the_acknowledgement_number_of_the_callers_last_packet() {
    let mut harness = harness();
    let (downloading, waiting, lost) = two_flows(&mut harness, IDEMPOTENT, 1);
    for acknowledgement in [2_450, 100_050, 240_050] {
        harness.advance(5);
        harness.send(downloading, Mark::of(lost), Kind::Data, 0, acknowledgement);
    }
    harness.advance(185);
    harness.send(waiting, Mark::of(lost), Kind::Data, 100, 50);
    answer_elsewhere(&mut harness, lost, 500);
    harness.finish_checks(Some(lost));
    assert!(harness.record.resets.contains(&(downloading, 240_050)), "{:?}", harness.record.resets);
    assert!(harness.record.resets.contains(&(waiting, 50)), "{:?}", harness.record.resets);
}

/// After a change of the members, the routers may send the later packets of a flow to another balancer. The number that
/// this one knows may then be out of the caller's window, so the flow is only reset in answer to a packet.
#[test]
fn a_flow_that_may_have_moved_is_reset_only_in_answer_to_its_packets() {
    let mut harness = harness();
    let (moved, waiting, lost) = two_flows(&mut harness, IDEMPOTENT, 1);
    harness.engine.flows_may_move(harness.now);
    harness.advance(200);
    harness.send(waiting, Mark::of(lost), Kind::Data, 100, 50);
    answer_elsewhere(&mut harness, lost, 500);
    harness.finish_checks(Some(lost));
    assert!(!is_reset(&harness, moved) && !is_reset(&harness, waiting), "{:?}", harness.record.resets);
    harness.send(moved, Mark::of(lost), Kind::Data, 100, 240_050);
    assert!(harness.record.resets.contains(&(moved, 240_050)), "{:?}", harness.record.resets);
}

/// Once the routers have settled, a packet shows that they still send the flow here.
#[test]
fn a_flow_that_has_stayed_after_a_change_of_the_members_is_reset() {
    let mut harness = harness();
    let (stayed, waiting, lost) = two_flows(&mut harness, IDEMPOTENT, 1);
    harness.engine.flows_may_move(harness.now);
    for _ in 0..10 {
        harness.advance(250);
        harness.send(stayed, Mark::of(lost), Kind::Data, 0, 2_050);
        harness.send(waiting, Mark::of(lost), Kind::Data, 0, 2_050);
    }
    for _ in 0..2 {
        harness.advance(200);
        harness.send(waiting, Mark::of(lost), Kind::Data, 100, 2_050);
    }
    answer_elsewhere(&mut harness, lost, 500);
    harness.finish_checks(Some(lost));
    assert!(harness.record.resets.contains(&(stayed, 2_050)), "{:?}", harness.record.resets);
}

/// Requests that must not run twice may have run, so their callers gain nothing from a reset, and an answer may still
/// come.
#[test]
fn flows_whose_requests_must_not_run_twice_are_kept() {
    let mut harness = harness();
    let (waiting, idle, crashed) = two_flows(&mut harness, ONCE, 1);
    harness.advance(200);
    harness.send(waiting, Mark::of(crashed), Kind::Data, 100, 50);
    answer_elsewhere(&mut harness, crashed, 500);
    harness.finish_checks(Some(crashed));
    harness.send(idle, Mark::of(crashed), Kind::Data, 100, 70);
    assert_eq!(harness.last_hop().host, crashed);
    assert!(harness.record.resets.is_empty());
}

/// A third of the hosts gone: idle flows whose requests must not run twice stayed at their hosts, and each caller's next
/// request waited in vain for its timeout. Once its registration has ended too, the host has ended for certain.
#[test]
fn flows_at_a_host_that_has_ended_are_reset_whatever_their_requests() {
    let mut harness = harness();
    let (waiting, idle, ended) = two_flows(&mut harness, ONCE, 1);
    harness.send(idle, Mark::of(ended), Kind::Data, 0, 2_050);
    harness.advance(200);
    harness.send(waiting, Mark::of(ended), Kind::Data, 100, 50);
    answer_elsewhere(&mut harness, ended, 500);
    harness.finish_checks(Some(ended));
    assert!(harness.record.resets.is_empty(), "the registration has not ended");
    harness.deregister(ended.0);
    while harness.record.checks.is_empty() {
        harness.advance(50);
    }
    assert!(harness.record.resets.is_empty(), "the failed check is older than the end of the registration");
    answer_elsewhere(&mut harness, ended, 600);
    assert_eq!(harness.finish_checks(Some(ended)), 1);
    harness.advance(500);
    assert!(is_reset(&harness, idle) && is_reset(&harness, waiting), "{:?}", harness.record.resets);
    harness.send(flow(400, ONCE), Mark::of(ended), Kind::Data, 100, 77);
    assert!(is_reset(&harness, flow(400, ONCE)), "a request on a flow that another balancer opened");
}

/// No request shows that the host of idle flows has ended. The end of its registration leads to a check.
#[test]
fn a_host_whose_registration_has_ended_is_checked() {
    let mut harness = harness();
    let (first, second, ended) = two_flows(&mut harness, ONCE, 1);
    for idle in [first, second] {
        harness.send(idle, Mark::of(ended), Kind::Data, 0, 2_050);
    }
    // Longer than the engine keeps the entries of the flows.
    harness.advance(8_000);
    harness.deregister(ended.0);
    harness.advance(500);
    answer_elsewhere(&mut harness, ended, 500);
    assert_eq!(harness.finish_checks(Some(ended)), 1);
    harness.advance(500);
    assert!(is_reset(&harness, first) && is_reset(&harness, second), "{:?}", harness.record.events);
}

/// The address of a host that has ended may belong to another one, which accepts the connection of a check.
#[test]
fn flows_at_a_host_whose_address_belongs_to_another_are_reset() {
    let mut harness = harness();
    let (idle, _, ended) = two_flows(&mut harness, ONCE, 1);
    harness.deregister(ended.0);
    let address = host(ended.0, "", "").address;
    harness.register(&Host { address, ..host(299, "crewdocs", "a") });
    harness.advance(500);
    harness.finish_checks(None);
    assert!(is_reset(&harness, idle), "{:?}", harness.record.events);
}

/// A host that registers again in another zone or service has a new entry, and its flows may live.
#[test]
fn flows_at_a_host_that_registers_again_under_its_identifier_are_kept() {
    let mut harness = harness();
    let (_, _, placed) = two_flows(&mut harness, ONCE, 1);
    harness.register(&host(placed.0, "crewdocs", "c"));
    harness.advance(500);
    harness.finish_checks(None);
    harness.advance(500);
    assert!(harness.record.resets.is_empty(), "{:?}", harness.record.events);
}

/// A registration that another writer damaged may name another service, and that of a host which ended before names its
/// former address. Neither shows that another host has taken over the address of a running one.
#[test]
fn flows_at_a_running_host_whose_address_others_name_are_kept() {
    for is_older in [false, true] {
        let mut harness = harness();
        let (_, _, running) = two_flows(&mut harness, ONCE, 1);
        let former = host(running.0, "crewdocs", ZONES[usize::try_from(running.0 / 100).unwrap()]);
        if is_older {
            harness.register(&Host { id: HostId(299), born: 1, ..former });
            harness.deregister(running.0);
        } else {
            harness.register(&Host { born: 1_000, ..former });
        }
        for _ in 0..4 {
            harness.advance(500);
            harness.finish_checks(None);
        }
        assert!(harness.record.resets.is_empty(), "older {is_older}: {:?}", harness.record.events);
    }
}

/// An idle flow that the routers may have moved is not reset, neither now nor later. It must not be looked at in each sweep
/// for the rest of its life.
#[test]
fn idle_flows_at_a_host_that_has_ended_are_forgotten() {
    let mut harness = harness();
    let (first, second, ended) = two_flows(&mut harness, ONCE, 1);
    harness.advance(8_000);
    let before = harness.engine.counters().idle_flows;
    harness.engine.flows_may_move(harness.now);
    harness.deregister(ended.0);
    harness.advance(500);
    answer_elsewhere(&mut harness, ended, 500);
    assert_eq!(harness.finish_checks(Some(ended)), 1);
    harness.advance(500);
    assert!(!is_reset(&harness, first) && !is_reset(&harness, second));
    assert_eq!(harness.engine.counters().idle_flows, before - 2);
}

/// A host restarts under its name and address while a check of its former process is in progress. The failure of that check
/// says nothing about the new process.
#[test]
fn a_check_of_a_former_process_says_nothing_about_the_next_one() {
    let mut harness = harness();
    let (waiting, _, restarted) = two_flows(&mut harness, IDEMPOTENT, 1);
    harness.advance(200);
    harness.send(waiting, Mark::of(restarted), Kind::Data, 100, 50);
    let former = std::mem::take(&mut harness.record.checks);
    let zone = ZONES[usize::try_from(restarted.0 / 100).unwrap()];
    harness.register(&Host { born: 2, ..host(restarted.0, "bookings", zone) });
    harness.advance(50);
    harness.send(waiting, Mark::of(restarted), Kind::Data, 100, 50);
    assert_eq!((former.len(), harness.record.checks.len()), (1, 1));
    harness.advance(1);
    harness.engine.checked(harness.now, former[0].0, false, &mut harness.record);
    answer_elsewhere(&mut harness, restarted, 500);
    assert!(harness.record.resets.is_empty(), "{:?}", harness.record.events);
    assert_eq!(harness.finish_checks(Some(restarted)), 1);
    assert!(is_reset(&harness, waiting), "the check of the new process counts");
}

/// Registrations lapse in an outage of the store, and when a host is cut off from it alone. A host that accepts connections
/// runs, and a reset would break its flows.
#[test]
fn flows_at_a_running_host_whose_registration_has_ended_are_kept() {
    for has_grace in [false, true] {
        let mut harness = harness();
        let (waiting, _, lapsed) = two_flows(&mut harness, ONCE, 1);
        let grace = harness.now + std::time::Duration::from_secs(if has_grace { 2 } else { 0 });
        harness.engine.set_host(harness.now, &super::support::name(lapsed), None, grace);
        for _ in 0..8 {
            harness.advance(200);
            harness.send(waiting, Mark::of(lapsed), Kind::Data, 100, 50);
            answer_elsewhere(&mut harness, lapsed, 500);
            harness.finish_checks(has_grace.then_some(lapsed));
        }
        assert!(harness.record.resets.is_empty(), "grace {has_grace}: {:?}", harness.record.events);
    }
}

/// In a partition, the registrations of a zone's hosts lapse and their checks fail, although the hosts run and serve again
/// after it.
#[test]
fn flows_in_a_lost_zone_whose_registrations_have_ended_are_kept() {
    let mut harness = harness();
    let mut in_zone = Vec::new();
    for caller in 1..40 {
        let placed = harness.establish(flow(caller, ONCE));
        if placed.0 / 100 == 1 {
            in_zone.push(flow(caller, ONCE));
        }
    }
    lose_zone_b(&mut harness);
    harness.deregister(101);
    harness.deregister(102);
    let checks = std::mem::take(&mut harness.record.checks);
    for (id, _) in checks {
        harness.engine.checked(harness.now, id, false, &mut harness.record);
    }
    answer_elsewhere(&mut harness, HostId(101), 700);
    harness.advance(500);
    assert!(harness.record.events.iter().any(|event| event.starts_with("host.unreachable i-65")));
    assert!(
        !in_zone.is_empty() && !in_zone.iter().any(|flow| is_reset(&harness, *flow)),
        "{:?}",
        harness.record.events
    );
}

/// A host that is only slow accepts connections, and its flows go on.
#[test]
fn flows_at_a_slow_host_are_kept() {
    let mut harness = harness();
    let (waiting, _, slow) = two_flows(&mut harness, IDEMPOTENT, 1);
    for _ in 0..10 {
        harness.advance(200);
        harness.send(waiting, Mark::of(slow), Kind::Data, 100, 50);
        answer_elsewhere(&mut harness, slow, 500);
        harness.finish_checks(None);
    }
    assert!(harness.record.resets.is_empty());
}

/// While no host answers, the balancer's own link may be the cause, and a reset would end flows that are well.
#[test]
fn nothing_is_reset_while_no_other_host_answers() {
    let mut harness = harness();
    let (waiting, _, crashed) = two_flows(&mut harness, IDEMPOTENT, 1);
    harness.advance(200);
    harness.send(waiting, Mark::of(crashed), Kind::Data, 100, 50);
    assert_eq!(harness.finish_checks(Some(crashed)), 1);
    assert!(harness.record.resets.is_empty());
    answer_elsewhere(&mut harness, crashed, 500);
    assert!(is_reset(&harness, waiting), "another host has answered since");
}

/// A check that failed during a short interruption shows nothing about the host seconds later. In a quiet night, the next
/// opening anywhere once confirmed it then, and flows were reset whose host had long answered again.
#[test]
fn an_old_failed_check_is_not_confirmed() {
    let mut harness = harness();
    let (waiting, _, interrupted) = two_flows(&mut harness, IDEMPOTENT, 1);
    harness.advance(200);
    harness.send(waiting, Mark::of(interrupted), Kind::Data, 100, 50);
    assert_eq!(harness.finish_checks(Some(interrupted)), 1);
    for _ in 0..4 {
        harness.advance(1500);
        harness.send(waiting, Mark::of(interrupted), Kind::Data, 0, 2_050);
    }
    answer_elsewhere(&mut harness, interrupted, 500);
    assert!(harness.record.resets.is_empty(), "{:?}", harness.record.resets);
}

/// While this balancer's own link was congested for some tenths of a second, by state that it sent to other members, a check
/// failed. The first answer after that once confirmed it, and flows were reset whose host was well.
#[test]
fn an_answer_after_the_time_of_a_check_does_not_confirm_it() {
    for (ends_after, answered_after, is_confirmed) in
        [(200, 300, false), (2, 250, false), (200, 150, true), (2, 150, true)]
    {
        let mut harness = harness();
        let (waiting, _, doubted) = two_flows(&mut harness, IDEMPOTENT, 1);
        harness.advance(200);
        harness.send(waiting, Mark::of(doubted), Kind::Data, 100, 50);
        // The helper takes 8 ms for an answer.
        for time in 1..=300 {
            harness.advance(1);
            if time == ends_after {
                assert_eq!(harness.finish_checks(Some(doubted)), 1);
            }
            if time == answered_after - 8 {
                answer_elsewhere(&mut harness, doubted, 500);
            }
        }
        assert_eq!(is_reset(&harness, waiting), is_confirmed, "{ends_after} {answered_after}");
    }
}

/// The answer to a request that was sent after the check had begun shows that the host is well.
#[test]
fn a_host_that_answers_requests_after_a_failed_check_is_trusted() {
    let mut harness = harness();
    let (waiting, other, interrupted) = two_flows(&mut harness, IDEMPOTENT, 1);
    harness.advance(200);
    harness.send(waiting, Mark::of(interrupted), Kind::Data, 100, 50);
    assert_eq!(harness.finish_checks(Some(interrupted)), 1);
    harness.send(other, Mark::of(interrupted), Kind::Data, 100, 60);
    harness.advance(40);
    harness.send(other, Mark::of(interrupted), Kind::Data, 0, 2_060);
    answer_elsewhere(&mut harness, interrupted, 500);
    assert!(harness.record.resets.is_empty(), "{:?}", harness.record.resets);
}

/// On a balancer with few openings, answers to requests show that its own link works.
#[test]
fn answers_to_requests_at_other_hosts_confirm_a_failed_check() {
    let mut harness = harness();
    let (waiting, _, crashed) = two_flows(&mut harness, IDEMPOTENT, 1);
    let elsewhere =
        (200..).find(|caller| harness.establish(flow(*caller, ONCE)) != crashed).map(|caller| flow(caller, ONCE));
    let (elsewhere, well) = (elsewhere.unwrap(), harness.last_hop().host);
    harness.advance(200);
    harness.send(waiting, Mark::of(crashed), Kind::Data, 100, 50);
    assert_eq!(harness.finish_checks(Some(crashed)), 1);
    assert!(harness.record.resets.is_empty());
    harness.send(elsewhere, Mark::of(well), Kind::Data, 100, 70);
    harness.advance(40);
    harness.send(elsewhere, Mark::of(well), Kind::Data, 0, 2_070);
    assert!(is_reset(&harness, waiting), "{:?}", harness.record.events);
}

/// A request that its caller has retransmitted may be answered because of its first copy, which was sent before the check.
#[test]
fn the_answer_to_a_repeated_request_does_not_confirm_a_failed_check() {
    let mut harness = harness();
    let (waiting, _, suspected) = two_flows(&mut harness, IDEMPOTENT, 1);
    let elsewhere =
        (200..).find(|caller| harness.establish(flow(*caller, ONCE)) != suspected).map(|caller| flow(caller, ONCE));
    let (elsewhere, well) = (elsewhere.unwrap(), harness.last_hop().host);
    harness.advance(200);
    harness.send(waiting, Mark::of(suspected), Kind::Data, 100, 50);
    assert_eq!(harness.finish_checks(Some(suspected)), 1);
    harness.send(elsewhere, Mark::of(well), Kind::Data, 100, 50);
    harness.advance(5);
    harness.send(elsewhere, Mark::of(well), Kind::Data, 0, 2_050);
    assert!(harness.record.resets.is_empty(), "{:?}", harness.record.resets);
}

/// Many unreachable hosts are checked again one after the other. A host whose turn has not come must not lose flows for a
/// check that failed seconds ago.
#[test]
fn an_unreachable_host_that_is_not_checked_again_is_trusted_after_seconds() {
    let mut harness = harness();
    let (waiting, _, lost) = two_flows(&mut harness, IDEMPOTENT, 1);
    harness.advance(200);
    harness.send(waiting, Mark::of(lost), Kind::Data, 100, 50);
    answer_elsewhere(&mut harness, lost, 500);
    harness.finish_checks(Some(lost));
    assert!(is_reset(&harness, waiting));
    // The results of further checks do not arrive.
    harness.advance(3500);
    let resets = harness.record.resets.len();
    harness.send(flow(900, IDEMPOTENT), Mark::of(lost), Kind::Data, 100, 50);
    assert_eq!(harness.last_hop().host, lost);
    assert_eq!(harness.record.resets.len(), resets);
}

/// Answers that take longer than a check show a congested link, on which checks fail although the hosts are well.
#[test]
fn late_answers_of_other_hosts_do_not_confirm_a_failed_check() {
    let mut harness = harness();
    let (waiting, _, suspected) = two_flows(&mut harness, IDEMPOTENT, 1);
    harness.advance(200);
    harness.send(waiting, Mark::of(suspected), Kind::Data, 100, 50);
    harness.send_opening(flow(500, ONCE), 0);
    let hop = harness.last_hop();
    harness.finish_checks(Some(suspected));
    harness.advance(250);
    harness.send(flow(500, ONCE), hop.mark.unwrap(), Kind::Data, 100, 50);
    assert!(harness.record.resets.is_empty());
}

/// A host that returns must get its packets again: a check shows it within seconds, and so does its registration by a new
/// process.
#[test]
fn a_host_that_returns_is_used_again() {
    for restarts in [false, true] {
        let mut harness = harness();
        let (waiting, _, lost) = two_flows(&mut harness, IDEMPOTENT, 1);
        harness.advance(200);
        harness.send(waiting, Mark::of(lost), Kind::Data, 100, 50);
        answer_elsewhere(&mut harness, lost, 500);
        harness.finish_checks(Some(lost));
        assert!(is_reset(&harness, waiting));
        if restarts {
            let zone = ["a", "b", "c"][usize::try_from(lost.0 / 100).unwrap()];
            harness.register(&poplarpaddle::registry::Host { born: 2, ..host(lost.0, "bookings", zone) });
        } else {
            for _ in 0..25 {
                harness.advance(100);
                harness.finish_checks(None);
            }
            assert!(harness.record.events.iter().any(|event| event.starts_with("host.reachable")));
        }
        let resets = harness.record.resets.len();
        harness.send(flow(900, IDEMPOTENT), Mark::of(lost), Kind::Data, 100, 50);
        assert_eq!(harness.last_hop().host, lost);
        assert_eq!(harness.record.resets.len(), resets);
    }
}

/// Hosts that stay away must not be checked again and again, nor all at once when many are in doubt.
#[test]
fn checks_are_limited() {
    let mut harness = Harness::with_hosts(1, 30);
    harness.route(IDEMPOTENT, Some(&Route { idempotent: true, ..route("bookings") }));
    let placed: Vec<(Flow, HostId)> =
        (1..=90).map(|caller| (flow(caller, IDEMPOTENT), harness.establish(flow(caller, IDEMPOTENT)))).collect();
    harness.advance(200);
    for (flow, host) in &placed {
        harness.send(*flow, Mark::of(*host), Kind::Data, 100, 50);
    }
    assert_eq!(harness.record.checks.len(), 16);
    let (flow, host) = placed[0];
    let mut checks = 0;
    for _ in 0..100 {
        checks += harness.finish_checks(Some(host));
        harness.advance(100);
        harness.send(flow, Mark::of(host), Kind::Data, 100, 50);
    }
    assert!(checks <= 16 + 10, "{checks} checks in 10 s");
}

/// The loss of a zone makes its hosts doubtful, so that requests on flows there end without a retransmission.
#[test]
fn hosts_in_a_lost_zone_are_checked() {
    let mut harness = harness();
    let mut in_zone = Vec::new();
    for caller in 1..40 {
        let placed = harness.establish(flow(caller, IDEMPOTENT));
        if placed.0 / 100 == 1 {
            in_zone.push((flow(caller, IDEMPOTENT), placed));
        }
    }
    lose_zone_b(&mut harness);
    assert!(harness.record.events.contains(&"zone.lost b".to_owned()));
    let checks = std::mem::take(&mut harness.record.checks);
    assert!(checks.len() >= 2, "{checks:?}");
    for (id, _) in checks {
        harness.engine.checked(harness.now, id, false, &mut harness.record);
    }
    answer_elsewhere(&mut harness, HostId(101), 700);
    assert!(in_zone.iter().all(|(flow, _)| is_reset(&harness, *flow)), "{:?}", harness.record.events);
}
