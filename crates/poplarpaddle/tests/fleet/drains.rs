//! Guards against orders to drain a zone that a member misses, forgets, or takes back by itself.

use poplarpaddle::feed::{Settings, Topic};
use poplarpaddle::fleet::{Fault, Response};
use poplarpaddle::registry::{General, ZoneDrain, ZoneDrainDelta};
use poplarpaddle::replica::{Delta, Item};
use poplarpaddle::revision::Revision;

use super::world::{Access, Simulation};

fn running(counts: &[usize]) -> Simulation {
    Simulation::running_with(counts, &Topic::ALL)
}

/// Returns the drained zones that the data path of each running member knows.
fn drained(simulation: &Simulation) -> Vec<Vec<String>> {
    let running = simulation.instances.iter().filter(|instance| instance.node.is_some());
    running.map(|instance| instance.drained.iter().cloned().collect()).collect()
}

fn all_know(simulation: &Simulation, zones: &[&str]) -> bool {
    drained(simulation).iter().all(|known| known == zones)
}

fn snapshot(to: u64, zones: &[(&str, u64)]) -> ZoneDrainDelta {
    let item =
        |(zone, changed): &(&str, u64)| Item { key: zone.to_string(), value: ZoneDrain, changed: (*changed).into() };
    Delta {
        base: Revision::NONE,
        to: to.into(),
        put: zones.iter().map(item).collect(),
        removed: Vec::new(),
        gaps: vec![],
    }
}

#[test]
fn an_order_reaches_every_member_within_tenths_of_a_second_and_so_does_its_end() {
    let mut simulation = running(&[8, 8, 8]);
    simulation.drain_zone("b");
    simulation.run(300);
    assert!(all_know(&simulation, &["b"]), "{:?}", drained(&simulation));
    assert_eq!(simulation.instances[5].drain_events, ["zone.drained b"]);
    simulation.return_zone("b");
    simulation.run(300);
    assert!(all_know(&simulation, &[]), "{:?}", drained(&simulation));
    assert_eq!(simulation.instances[5].drain_events, ["zone.drained b", "zone.returned b"]);
}

/// The end of one order must not end the other.
#[test]
fn two_drains_that_overlap_are_independent() {
    let mut simulation = running(&[3, 3, 3]);
    simulation.drain_zone("a");
    simulation.run(300);
    simulation.drain_zone("b");
    simulation.run(300);
    assert!(all_know(&simulation, &["a", "b"]));
    simulation.return_zone("a");
    simulation.run(300);
    assert!(all_know(&simulation, &["b"]));
}

/// A lost connection to the store must not end a drain.
#[test]
fn a_drain_that_ends_during_an_outage_holds_until_the_store_tells() {
    let mut simulation = running(&[2, 2]);
    simulation.drain_zone("b");
    simulation.run(300);
    for instance in &mut simulation.instances {
        instance.store_access = Access::Silent;
    }
    simulation.return_zone("b");
    simulation.run(20_000);
    assert!(all_know(&simulation, &["b"]), "{:?}", drained(&simulation));
    for instance in &mut simulation.instances {
        instance.store_access = Access::Reachable;
    }
    simulation.run(5000);
    assert!(all_know(&simulation, &[]), "{:?}", drained(&simulation));
}

/// A zone that is cut off from the others has a reader of its own.
#[test]
fn an_order_reaches_a_zone_that_is_cut_off_within_the_bound() {
    let mut simulation = running(&[3, 3, 3]);
    simulation.cut_zone("c");
    simulation.drain_zone("a");
    simulation.run(3000);
    assert!(all_know(&simulation, &["a"]), "{:?}", drained(&simulation));
}

/// Neither the watch nor a peer tells a member that has just started of an older order, so it needs the whole state.
#[test]
fn a_member_that_starts_during_an_outage_learns_the_order_from_a_peer() {
    let mut simulation = running(&[3, 3]);
    simulation.drain_zone("a");
    simulation.run(300);
    for instance in &mut simulation.instances {
        instance.store_access = Access::Silent;
    }
    simulation.kill(4);
    simulation.run(1000);
    simulation.start(4);
    simulation.run(2000);
    assert!(simulation.node(4).is_ready());
    assert!(all_know(&simulation, &["a"]), "{:?}", drained(&simulation));
}

/// A member that took openings before it knows the drains would place some in a drained zone.
#[test]
fn a_member_is_ready_only_once_it_knows_the_drains() {
    let hosts = || Response::Hosts {
        delta: Delta { base: Revision::NONE, to: 5.into(), put: vec![], removed: vec![], gaps: vec![] },
        faults: vec![],
    };
    let general = General { version: 7, ..Default::default() };
    let drains = || Response::ZoneDrains { delta: snapshot(5, &[]), faults: vec![] };
    for (topics, needs_drains) in [(Topic::ALL.as_slice(), true), (Settings::default().topics, false)] {
        let mut simulation = Simulation::new(&[1]);
        simulation.topics = topics;
        simulation.instances[0].store_access = Access::Silent;
        simulation.start(0);
        simulation.with(0, |node, now| {
            node.store_answered(now, Topic::Hosts, Ok(hosts()));
            node.store_answered(
                now,
                Topic::Routes,
                Ok(Response::Routes { as_of: 5.into(), content: Some((general.clone(), vec![])), faults: Vec::new() }),
            );
        });
        assert_eq!(simulation.node(0).is_ready(), !needs_drains);
        simulation.with(0, |node, now| node.store_answered(now, Topic::ZoneDrains, Ok(drains())));
        assert!(simulation.node(0).is_ready());
    }
}

/// Stale reads of the store and late transfers show an earlier state.
#[test]
fn an_old_snapshot_or_transfer_neither_ends_a_drain_nor_brings_one_back() {
    let mut simulation = running(&[2]);
    let before = simulation.store.revision;
    let mut old = None;
    simulation.with(1, |node, now| old = Some(node.changes_since(now, Default::default()).unwrap()));
    simulation.drain_zone("a");
    simulation.run(300);
    let member = simulation.node(1).membership().me().id;
    simulation.with(0, |node, now| node.pulled(now, member, Ok(old.unwrap())));
    let stale = Response::ZoneDrains { delta: snapshot(before, &[]), faults: Vec::new() };
    simulation.with(0, |node, now| node.store_answered(now, Topic::ZoneDrains, Ok(stale)));
    assert!(all_know(&simulation, &["a"]), "{:?}", drained(&simulation));

    let drained_at = simulation.store.revision;
    simulation.return_zone("a");
    simulation.run(300);
    let stale = Response::ZoneDrains { delta: snapshot(drained_at, &[("a", drained_at)]), faults: Vec::new() };
    simulation.with(0, |node, now| node.store_answered(now, Topic::ZoneDrains, Ok(stale)));
    assert!(all_know(&simulation, &[]), "{:?}", drained(&simulation));
}

/// When the store has dropped its history, the next snapshot shows which drains have ended.
#[test]
fn a_drain_that_ends_while_the_history_is_dropped_ends() {
    let mut simulation = running(&[2, 2]);
    simulation.drain_zone("a");
    simulation.run(300);
    simulation.return_zone("a");
    simulation.compact();
    simulation.run(3000);
    assert!(all_know(&simulation, &[]), "{:?}", drained(&simulation));
}

/// A member that starts after a drain has ended never knew it. Its announcements once confirmed the state of a member that
/// had missed the end, which then kept the drain for good.
#[test]
fn a_member_that_missed_the_end_of_a_drain_is_not_confirmed_by_one_that_never_knew_it() {
    let mut simulation = running(&[1, 1]);
    simulation.kill(1);
    simulation.drain_zone("a");
    simulation.run(5000);
    simulation.instances[0].store_access = Access::Silent;
    simulation.return_zone("a");
    simulation.put_host(9, poplarpaddle::registry::State::Ready);
    simulation.start(1);
    simulation.run(3000);
    assert!(all_know(&simulation, &[]), "{:?}", drained(&simulation));
}

/// An entry that cannot be read is logged once per revision and leaves the others in force.
#[test]
fn an_invalid_entry_is_reported_once_and_costs_only_itself() {
    let mut simulation = running(&[1]);
    let revision = simulation.store.revision;
    let fault = Fault { name: String::new(), revision: (revision + 1).into(), text: "the name is empty".into() };
    for to in [revision + 2, revision + 3] {
        let delta = snapshot(to, &[("b", revision + 1)]);
        let response = Response::ZoneDrains { delta, faults: vec![fault.clone()] };
        simulation.with(0, |node, now| node.store_answered(now, Topic::ZoneDrains, Ok(response)));
    }
    assert_eq!(simulation.instances[0].drain_events, ["zone_drain.unreadable ", "zone.drained b"]);
}

/// A deployment that does not call for zone drains must not pay for them.
#[test]
fn without_the_topic_nothing_is_read_and_nothing_changes() {
    let mut simulation = Simulation::running(&[2, 2]);
    simulation.drain_zone("a");
    simulation.run(5000);
    for instance in &simulation.instances {
        assert!(!instance.topics_called.contains("zone drains"), "{:?}", instance.topics_called);
        assert!(instance.drained.is_empty() && instance.drain_events.is_empty());
        assert!(instance.node.as_ref().unwrap().is_ready());
    }
}

/// During an outage every member calls the store. A third topic must not add a third call each time.
#[test]
fn an_outage_costs_no_calls_for_the_drains() {
    let calls = |topics| {
        let mut simulation = Simulation::running_with(&[3, 3], topics);
        for instance in &mut simulation.instances {
            instance.store_access = Access::Refused;
        }
        simulation.run(4000);
        let before: u64 = simulation.instances.iter().map(|instance| instance.store_calls).sum();
        simulation.run(20_000);
        simulation.instances.iter().map(|instance| instance.store_calls).sum::<u64>() - before
    };
    let (without, with) = (calls(&Topic::REQUIRED), calls(&Topic::ALL));
    assert!(with * 10 <= without * 11, "{with} calls instead of {without}");
}

/// While settings are rolled out, some members replicate the drains and others do not.
#[test]
fn members_with_and_without_the_topic_work_together() {
    let mut simulation = running(&[2, 2]);
    simulation.topics = &Topic::REQUIRED;
    for index in [0, 2] {
        simulation.kill(index);
        simulation.run(1000);
        simulation.start(index);
        simulation.run(3000);
    }
    simulation.drain_zone("b");
    simulation.put_host(9, poplarpaddle::registry::State::Ready);
    simulation.run(3000);
    assert_eq!(drained(&simulation), [vec![], vec!["b".to_owned()], vec![], vec!["b".to_owned()]]);
    assert!(simulation.instances.iter().all(|instance| instance.hosts.contains_key("i-9")));
}
