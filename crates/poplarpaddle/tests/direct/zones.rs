//! Guards against openings that go on to a zone which is cut off.

use poplarpaddle::mark::{HostId, Mark};
use poplarpaddle::packet::Kind;

use super::support::{World, flow, name};

fn zone_of(host: u64) -> usize {
    usize::try_from(host / 100).unwrap()
}

/// Opens flows every 10 ms for `millis`; hosts in the zones of `reached` answer. Returns, for each opening, the time
/// until a host that answers had it, as far as that was before the caller's own copy.
fn traffic(world: &mut World, first: u16, millis: u64, reached: &[usize]) -> Vec<Option<u64>> {
    let start = world.now.as_millis();
    let mut open: Vec<(u16, u64)> = Vec::new();
    let mut waits = Vec::new();
    let mut caller = first;
    while world.now.as_millis() < start + millis {
        world.open(flow(caller, 443), 0);
        open.push((caller, world.now.as_millis()));
        caller += 1;
        world.after(10);
        let now = world.now.as_millis();
        let sent = &world.record.sent;
        let latest: Vec<_> = open.iter().map(|(caller, since)| (*caller, *since)).collect();
        let decisions = world.record.decisions.clone();
        let mut answered = Vec::new();
        for (caller, since) in latest {
            let index = decisions.iter().rposition(|(of, ..)| *of == flow(caller, 443)).unwrap();
            // Every decision in this test sends one packet.
            let hop = sent.iter().filter(|sent| sent.bytes.len() == 2).nth(index).unwrap().hop;
            if reached.contains(&zone_of(hop.host.0)) {
                answered.push((caller, since, hop));
            }
        }
        for (caller, since, hop) in answered {
            open.retain(|(other, _)| *other != caller);
            world.send(flow(caller, 443), hop.mark.unwrap(), Kind::Data, 100, 50);
            world.send(flow(caller, 443), hop.mark.unwrap(), Kind::Closing, 0, 60);
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

/// The callers of a zone that is cut off still send to its balancers. The cut must be found in tenths of a second, and
/// openings that wait for a host behind it must move to one in reach.
#[test]
fn a_cut_is_found_in_tenths_of_a_second_and_its_end_too() {
    let mut world = World::with_hosts(5, 4);
    traffic(&mut world, 1000, 2000, &[0, 1, 2]);
    let cut = traffic(&mut world, 3000, 4000, &[0]);
    assert!(world.record.beliefs.contains(&"zone.lost b".to_owned()));
    assert!(world.record.beliefs.contains(&"zone.lost c".to_owned()));
    let late = cut.iter().filter(|wait| wait.is_none()).count();
    assert!(late * 100 <= cut.len() * 3, "{late} of {} openings waited for their callers' copies", cut.len());
    assert!(world.record.pings.iter().any(|zone| zone == "b"));

    world.engine.heard(world.now, "b", &mut world.record);
    assert!(world.record.beliefs.contains(&"zone.regained b".to_owned()));
    world.record.sent.clear();
    world.record.decisions.clear();
    traffic(&mut world, 9000, 500, &[0, 1]);
    assert!(world.record.sent.iter().any(|sent| zone_of(sent.hop.host.0) == 1), "the zone is used again");
}

/// Members that answer pings show that a zone is in reach: its hosts are judged one by one.
#[test]
fn silent_hosts_of_a_zone_in_reach_do_not_cut_it_off() {
    let mut world = World::with_hosts(5, 4);
    for caller in 1..200 {
        world.open(flow(caller, 443), 0);
        let hop = world.last();
        for zone in std::mem::take(&mut world.record.pings) {
            world.engine.heard(world.now, &zone, &mut world.record);
        }
        if zone_of(hop.host.0) != 1 {
            world.send(flow(caller, 443), hop.mark.unwrap(), Kind::Data, 100, 50);
            world.send(flow(caller, 443), hop.mark.unwrap(), Kind::Closing, 0, 60);
        }
        for _ in 0..10 {
            world.after(1);
            for zone in std::mem::take(&mut world.record.pings) {
                world.engine.heard(world.now, &zone, &mut world.record);
            }
        }
    }
    assert!(!world.record.beliefs.iter().any(|belief| belief.starts_with("zone.lost")));
    assert!(world.record.beliefs.iter().any(|belief| belief.starts_with("host.silent")));
}

/// Packets of established flows go on to a zone that is believed cut off: only their host can answer them.
#[test]
fn established_flows_stay_with_a_host_behind_a_cut() {
    let mut world = World::with_hosts(5, 4);
    let mut caller = 1;
    let there = loop {
        let placed = world.establish(flow(caller, 443));
        if zone_of(placed.0) == 1 {
            break placed;
        }
        caller += 1;
    };
    traffic(&mut world, 3000, 1000, &[0]);
    world.send(flow(caller, 443), Mark::of(there), Kind::Data, 10, 51);
    assert_eq!(world.last().host, there);
    assert!(world.record.resets.is_empty());
}

/// Members of other regions are not known, and after a return of all machines few are. Without anybody to ask, a zone with
/// some silent hosts counted as cut off, and all openings left its other hosts for a second at a time.
#[test]
fn a_zone_without_members_to_ask_is_not_believed_cut_off() {
    let mut world = World::with_hosts(5, 4);
    world.record.alone_in = vec!["b"];
    for caller in 1..200 {
        world.open(flow(caller, 443), 0);
        let hop = world.last();
        world.after(8);
        // One of the four hosts of the zone is silent.
        if hop.host.0 != 101 {
            world.send(flow(caller, 443), hop.mark.unwrap(), Kind::Data, 100, 50);
            world.send(flow(caller, 443), hop.mark.unwrap(), Kind::Closing, 0, 60);
        }
        world.after(2);
    }
    assert!(!world.record.beliefs.iter().any(|belief| belief.starts_with("zone.lost")));
    assert!(world.record.beliefs.contains(&format!("host.silent {}", name(HostId(101)))));
}
