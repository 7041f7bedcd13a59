//! Guards against openings that are still sent to an unreachable zone.

use poplarpaddle::mark::{HostId, Mark};
use poplarpaddle::packet::Kind;

use super::support::{Harness, flow, name};

fn zone_of(host: u64) -> usize {
    usize::try_from(host / 100).unwrap()
}

/// Opens a flow every 10 ms for `millis`. Hosts in the zones `reachable` answer. Returns for each opening the time
/// until it was sent to a host that answers, or none when that took until the caller's retransmission.
fn run_traffic(harness: &mut Harness, first_caller: u16, millis: u64, reachable: &[usize]) -> Vec<Option<u64>> {
    let start = harness.now.as_millis();
    let mut open: Vec<(u16, u64)> = Vec::new();
    let mut waits = Vec::new();
    let mut caller = first_caller;
    while harness.now.as_millis() < start + millis {
        harness.send_opening(flow(caller, 443), 0);
        open.push((caller, harness.now.as_millis()));
        caller += 1;
        harness.advance(10);
        let now = harness.now.as_millis();
        let sent = &harness.record.sent;
        let open_flows: Vec<_> = open.iter().map(|(caller, since)| (*caller, *since)).collect();
        let decisions = harness.record.decisions.clone();
        let mut answered = Vec::new();
        for (caller, since) in open_flows {
            let index = decisions.iter().rposition(|(decided, ..)| *decided == flow(caller, 443)).unwrap();
            // Every decision in this test forwards one packet.
            let hop = sent.iter().filter(|sent| sent.bytes.len() == 2).nth(index).unwrap().hop;
            if reachable.contains(&zone_of(hop.host.0)) {
                answered.push((caller, since, hop));
            }
        }
        for (caller, since, hop) in answered {
            open.retain(|(other, _)| *other != caller);
            harness.send(flow(caller, 443), hop.mark.unwrap(), Kind::Data, 100, 50);
            harness.send(flow(caller, 443), hop.mark.unwrap(), Kind::Closing, 0, 60);
            waits.push(Some(now - since));
        }
        open.retain(|(_, since)| {
            let expired = now - since >= 200;
            if expired {
                waits.push(None);
            }
            !expired
        });
    }
    waits
}

/// Callers in a zone that is cut off still reach its balancers. The balancers must detect the partition within tenths
/// of a second, and move the openings that wait for hosts beyond it to reachable ones.
#[test]
fn a_partition_and_its_end_are_detected_within_tenths_of_a_second() {
    let mut harness = Harness::with_hosts(5, 4);
    run_traffic(&mut harness, 1000, 2000, &[0, 1, 2]);
    let waits = run_traffic(&mut harness, 3000, 4000, &[0]);
    assert!(harness.record.events.contains(&"zone.lost b".to_owned()));
    assert!(harness.record.events.contains(&"zone.lost c".to_owned()));
    let late = waits.iter().filter(|wait| wait.is_none()).count();
    assert!(
        late * 100 <= waits.len() * 3,
        "{late} of {} openings waited for their callers' retransmissions",
        waits.len()
    );
    assert!(harness.record.pings.iter().any(|zone| zone == "b"));

    harness.engine.zone_alive(harness.now, "b", &mut harness.record);
    assert!(harness.record.events.contains(&"zone.regained b".to_owned()));
    harness.record.sent.clear();
    harness.record.decisions.clear();
    run_traffic(&mut harness, 9000, 500, &[0, 1]);
    assert!(harness.record.sent.iter().any(|sent| zone_of(sent.hop.host.0) == 1), "the zone is used again");
}

/// Members that answer pings show that their zone is reachable, so only its silent hosts are avoided.
#[test]
fn silent_hosts_do_not_make_a_reachable_zone_count_as_lost() {
    let mut harness = Harness::with_hosts(5, 4);
    for caller in 1..200 {
        harness.send_opening(flow(caller, 443), 0);
        let hop = harness.last_hop();
        for zone in std::mem::take(&mut harness.record.pings) {
            harness.engine.zone_alive(harness.now, &zone, &mut harness.record);
        }
        if zone_of(hop.host.0) != 1 {
            harness.send(flow(caller, 443), hop.mark.unwrap(), Kind::Data, 100, 50);
            harness.send(flow(caller, 443), hop.mark.unwrap(), Kind::Closing, 0, 60);
        }
        for _ in 0..10 {
            harness.advance(1);
            for zone in std::mem::take(&mut harness.record.pings) {
                harness.engine.zone_alive(harness.now, &zone, &mut harness.record);
            }
        }
    }
    assert!(!harness.record.events.iter().any(|event| event.starts_with("zone.lost")));
    assert!(harness.record.events.iter().any(|event| event.starts_with("host.silent")));
}

/// Packets of established flows are still sent to a zone that counts as lost, because only their host can answer them.
#[test]
fn established_flows_stay_with_a_host_in_an_unreachable_zone() {
    let mut harness = Harness::with_hosts(5, 4);
    let mut caller = 1;
    let unreachable_host = loop {
        let placed = harness.establish(flow(caller, 443));
        if zone_of(placed.0) == 1 {
            break placed;
        }
        caller += 1;
    };
    run_traffic(&mut harness, 3000, 1000, &[0]);
    harness.send(flow(caller, 443), Mark::of(unreachable_host), Kind::Data, 10, 51);
    assert_eq!(harness.last_hop().host, unreachable_host);
    assert!(harness.record.resets.is_empty());
}

/// Members of other regions are not known, and few members are known after all machines have restarted. A zone without
/// known members but with some silent hosts once counted as lost, so that its other hosts got no openings for a second
/// at a time.
#[test]
fn a_zone_without_known_members_does_not_count_as_lost() {
    let mut harness = Harness::with_hosts(5, 4);
    harness.record.zones_without_members = vec!["b"];
    for caller in 1..200 {
        harness.send_opening(flow(caller, 443), 0);
        let hop = harness.last_hop();
        harness.advance(8);
        // One of the four hosts in the zone does not answer.
        if hop.host.0 != 101 {
            harness.send(flow(caller, 443), hop.mark.unwrap(), Kind::Data, 100, 50);
            harness.send(flow(caller, 443), hop.mark.unwrap(), Kind::Closing, 0, 60);
        }
        harness.advance(2);
    }
    assert!(!harness.record.events.iter().any(|event| event.starts_with("zone.lost")));
    assert!(harness.record.events.contains(&format!("host.silent {}", name(HostId(101)))));
}

/// When every member of a lost zone is gone for good, no message can show that the zone is reachable again. An opening
/// per second has to try it, and the first answer ends the loss.
#[test]
fn a_lost_zone_without_members_is_tried_by_openings() {
    let mut harness = Harness::with_hosts(5, 4);
    run_traffic(&mut harness, 1000, 1000, &[0, 1, 2]);
    run_traffic(&mut harness, 3000, 1000, &[0, 2]);
    assert!(harness.record.events.contains(&"zone.lost b".to_owned()));
    harness.record.zones_without_members = vec!["b"];
    run_traffic(&mut harness, 5000, 1500, &[0, 1, 2]);
    assert!(harness.record.events.contains(&"zone.regained b".to_owned()), "{:?}", harness.record.events);
}

/// While members can be pinged, their answers end the loss of a zone, so no caller has to wait for a trial.
#[test]
fn a_lost_zone_with_members_gets_no_openings() {
    let mut harness = Harness::with_hosts(5, 4);
    run_traffic(&mut harness, 1000, 1000, &[0, 1, 2]);
    run_traffic(&mut harness, 3000, 1000, &[0, 2]);
    harness.record.sent.clear();
    harness.record.decisions.clear();
    run_traffic(&mut harness, 5000, 3000, &[0, 2]);
    assert!(harness.record.sent.iter().all(|sent| zone_of(sent.hop.host.0) != 1));
}

/// The zone of the balancer is drained and then cut off from the others and from the store. Its callers must be served
/// there, since nothing else is left and the order may have ended. Once another zone is back, the order holds again.
#[test]
fn a_drained_zone_that_is_cut_off_serves_its_callers() {
    let mut harness = Harness::with_hosts(8, 4);
    harness.engine.set_zone_drain(harness.now, "a", true, &mut harness.record);
    run_traffic(&mut harness, 1000, 2000, &[0, 1, 2]);
    harness.store_responds = false;
    let waits = run_traffic(&mut harness, 3000, 2000, &[0]);
    assert!(waits[50..].iter().all(|wait| *wait == Some(10)), "{waits:?}");
    assert!(harness.record.events.contains(&"zones.cut_off a".to_owned()));
    harness.engine.zone_alive(harness.now, "b", &mut harness.record);
    harness.record.sent.clear();
    harness.send_opening(flow(9000, 443), 0);
    assert_eq!(zone_of(harness.last_hop().host.0), 1);
}

/// As long as the store responds, the order holds, even if the other zones cannot be reached.
#[test]
fn a_drained_zone_gets_no_openings_while_the_store_responds() {
    let mut harness = Harness::with_hosts(9, 4);
    harness.engine.set_zone_drain(harness.now, "a", true, &mut harness.record);
    run_traffic(&mut harness, 1000, 2000, &[0]);
    assert!(harness.record.sent.iter().all(|sent| zone_of(sent.hop.host.0) != 0));
}

/// Drains zone a, loses the others while the store responds, and sends an opening for which the engine requests a check.
fn lose_other_zones(seed: u64) -> Harness {
    let mut harness = Harness::with_hosts(seed, 4);
    harness.engine.set_zone_drain(harness.now, "a", true, &mut harness.record);
    run_traffic(&mut harness, 1000, 2000, &[0]);
    harness.advance(1500);
    harness.send_opening(flow(5000, 443), 0);
    assert!(harness.engine.take_store_check());
    harness
}

/// In an overload, messages of all other zones are late, and so is the store. A zone that is regained during the check
/// shows that the balancer is not cut off, and the zones may seem lost again later.
#[test]
fn a_check_of_the_store_does_not_count_once_a_zone_is_regained() {
    let mut harness = lose_other_zones(10);
    harness.engine.zone_alive(harness.now, "b", &mut harness.record);
    harness.now = harness.now + std::time::Duration::from_millis(400);
    harness.engine.store_checked(harness.now, false, &mut harness.record);
    run_traffic(&mut harness, 7000, 2000, &[0]);
    assert!(harness.record.sent.iter().all(|sent| zone_of(sent.hop.host.0) != 0));
    assert!(!harness.record.events.contains(&"zones.cut_off a".to_owned()));
}

/// A cut may end while no caller opens a flow, so no check shows that the store is back.
#[test]
fn a_cut_that_was_seen_long_ago_does_not_end_an_order() {
    let mut harness = lose_other_zones(11);
    harness.engine.store_checked(harness.now, false, &mut harness.record);
    assert!(harness.record.events.contains(&"zones.cut_off a".to_owned()));
    harness.send_opening(flow(7000, 443), 0);
    assert_eq!(zone_of(harness.last_hop().host.0), 0);
    harness.advance(5000);
    harness.send_opening(flow(7001, 443), 0);
    assert_ne!(zone_of(harness.last_hop().host.0), 0);
}

/// With all zones drained, drained zones are used whether the store responds or not. Each check is a call to the store.
#[test]
fn the_store_is_not_checked_while_all_zones_are_drained() {
    let mut harness = Harness::with_hosts(12, 4);
    for zone in ["a", "b", "c"] {
        harness.engine.set_zone_drain(harness.now, zone, true, &mut harness.record);
    }
    harness.send_opening(flow(1, 443), 0);
    assert!(!harness.engine.take_store_check());
}
