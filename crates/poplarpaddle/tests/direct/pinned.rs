//! Guards against flows that break because a second host answers their opening too and so changes the mark of their
//! packets.

use poplarpaddle::direct::{Reason, Verdict};
use poplarpaddle::mark::{HostId, Mark};
use poplarpaddle::packet::{Flow, Kind};

use super::support::{Harness, flow, host, route};

const CALLER: u16 = 100;

fn opened() -> Flow {
    flow(CALLER, 443)
}

/// Sends openings of other callers for `millis`. Hosts in the zones `answering` other than `late` answer them.
fn run_traffic(harness: &mut Harness, first_caller: u16, millis: u16, answering: &[u64], late: Option<HostId>) {
    for caller in first_caller..first_caller + millis / 10 {
        harness.send_opening(flow(caller, 443), 0);
        let hop = harness.last_hop();
        harness.advance(10);
        if answering.contains(&(hop.host.0 / 100)) && Some(hop.host) != late {
            harness.send(flow(caller, 443), hop.mark.unwrap(), Kind::Data, 100, 50);
            harness.send(flow(caller, 443), hop.mark.unwrap(), Kind::Closing, 0, 60);
        }
    }
}

/// Returns the hosts of the opening of the flow under test, the first and the latest.
fn hosts_of_opening(harness: &Harness) -> (HostId, HostId) {
    let placements =
        harness.record.decisions.iter().filter(|(_, verdict, _)| !matches!(verdict, Verdict::Queued | Verdict::Reset));
    let openings = harness.record.sent.iter().filter(|sent| sent.bytes.len() == 2);
    let mut hosts = placements.zip(openings).filter(|((flow, ..), _)| *flow == opened()).map(|(_, sent)| sent.hop.host);
    let first = hosts.next().unwrap();
    (first, hosts.last().unwrap_or(first))
}

/// The opening reaches a host that answers after more than 200 ms while others answer in time, so the caller's copy goes
/// to a second host. Returns both.
fn late_host(harness: &mut Harness) -> (HostId, HostId) {
    run_traffic(harness, 1000, 500, &[0, 1, 2], None);
    harness.send_opening(opened(), 0);
    let late = harness.last_hop().host;
    run_traffic(harness, 2000, 200, &[0, 1, 2], Some(late));
    harness.finish_checks(None);
    harness.send_opening(opened(), 1);
    let hosts = hosts_of_opening(harness);
    assert!(hosts.0 == late && hosts.1 != late, "{hosts:?}");
    hosts
}

/// Sends a packet of the flow with the mark of `answered_last`, and checks that it reaches `connected` with its mark.
fn assert_reaches(harness: &mut Harness, kind: Kind, answered_last: HostId, connected: HostId) {
    harness.send(opened(), Mark::of(answered_last), kind, 10, 2_050);
    let hop = harness.last_hop();
    assert_eq!((hop.host, hop.mark), (connected, Some(Mark::of(connected))));
}

/// The trace of review/4 beside load: the first host answers after 370 ms, the second one had the copy of the caller after
/// 200 ms. The later answer changes the mark of the caller's packets, and its host once reset the flow.
#[test]
fn a_late_answer_of_another_host_does_not_move_a_flow() {
    for first_answers_first in [false, true] {
        let mut harness = Harness::with_hosts(1, 5);
        let (first, second) = late_host(&mut harness);
        let (connected, other) = if first_answers_first { (first, second) } else { (second, first) };
        harness.advance(8);
        harness.send(opened(), Mark::of(connected), Kind::Data, 100, 50);
        assert_eq!(harness.last_hop().host, connected);
        harness.advance(162);
        for kind in [Kind::Data, Kind::Data, Kind::Closing, Kind::Data] {
            assert_reaches(&mut harness, kind, other, connected);
        }
        assert!(harness.record.resets.is_empty());
    }
}

/// A zone whose members answer pings late in an overload counts as lost, and its waiting openings move. Its hosts once
/// answered as well, and the flows broke.
#[test]
fn a_late_answer_from_a_zone_that_counted_as_lost_does_not_move_a_flow() {
    let mut harness = Harness::with_hosts(5, 4);
    run_traffic(&mut harness, 1000, 500, &[0, 1, 2], None);
    let first = loop {
        harness.send_opening(opened(), 0);
        let first = harness.last_hop().host;
        if first.0 / 100 == 1 {
            break first;
        }
        harness.send(opened(), Mark::of(first), Kind::Closing, 0, 60);
        harness.record.sent.clear();
        harness.record.decisions.clear();
    };
    run_traffic(&mut harness, 2000, 190, &[0, 2], None);
    assert!(harness.record.events.contains(&"zone.lost b".to_owned()));
    assert!(harness.record.decisions.contains(&(opened(), Verdict::Moved, Some(Reason::ZoneDown))));
    let (_, second) = hosts_of_opening(&harness);
    harness.send(opened(), Mark::of(second), Kind::Data, 100, 50);
    assert_eq!(harness.last_hop().host, second);
    harness.engine.zone_alive(harness.now, "b", &mut harness.record);
    assert_reaches(&mut harness, Kind::Data, first, second);
}

/// A copy that reaches a balancer without the flow is placed anew, while the host that another balancer chose may answer
/// as well. That one's answer once moved the flow.
#[test]
fn a_flow_that_began_with_a_copy_stays_at_the_host_that_answers_first() {
    let elsewhere = HostId(101);
    for connects_here in [true, false] {
        let mut harness = Harness::with_hosts(1, 1);
        while {
            harness.send_opening(opened(), 1);
            harness.last_hop().host == elsewhere
        } {
            harness.send(opened(), Mark::of(elsewhere), Kind::Reset, 0, 60);
        }
        let here = harness.last_hop().host;
        let (connected, other) = if connects_here { (here, elsewhere) } else { (elsewhere, here) };
        harness.send(opened(), Mark::of(connected), Kind::Data, 100, 50);
        assert_reaches(&mut harness, Kind::Data, other, connected);
    }
}

/// The host without the connection repeats its answer for some ten seconds, so the flow must stay known while its caller
/// pauses, but not for ever.
#[test]
fn an_idle_flow_stays_at_its_host_while_others_repeat_their_answers() {
    let mut harness = Harness::with_hosts(1, 5);
    let (first, second) = late_host(&mut harness);
    harness.send(opened(), Mark::of(second), Kind::Data, 100, 50);
    harness.advance(20_000);
    assert_reaches(&mut harness, Kind::Data, first, second);
    harness.advance(61_000);
    assert_eq!(harness.engine.counters().flows, 0);
}

/// The route still decides whether a flow may go on, and the mark decides once the host is gone.
#[test]
fn a_flow_at_a_known_host_follows_its_route() {
    let mut harness = Harness::with_hosts(1, 5);
    harness.register(&host(7, "crewdocs", "a"));
    let (first, second) = late_host(&mut harness);
    harness.send(opened(), Mark::of(second), Kind::Data, 100, 50);
    harness.route(443, Some(&route("crewdocs")));
    harness.advance(59_000);
    assert_reaches(&mut harness, Kind::Data, first, second);
    harness.advance(2_000);
    let before = harness.record.sent.len();
    harness.send(opened(), Mark::of(HostId(7)), Kind::Data, 10, 2_050);
    assert_eq!(harness.record.sent.len(), before);
    assert_eq!(harness.record.decisions.last(), Some(&(opened(), Verdict::Dropped, Some(Reason::ForeignHost))));

    let mut harness = Harness::with_hosts(1, 5);
    let (first, second) = late_host(&mut harness);
    harness.send(opened(), Mark::of(second), Kind::Data, 100, 50);
    harness.deregister(second.0);
    for _ in 0..7 {
        harness.advance(10_000);
        harness.send(opened(), Mark::of(second), Kind::Data, 10, 2_050);
    }
    harness.send(opened(), Mark::of(first), Kind::Data, 10, 2_050);
    assert_eq!(harness.last_hop().host, first);
}
