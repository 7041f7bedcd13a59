//! Guards against members that miss a change, and against every member reading the store.

use std::time::Duration;

use poplarpaddle::feed::{self, Action, Announcement, Feed, Position, Topic};
use poplarpaddle::fleet::{self, Fault, Response, Revisions};
use poplarpaddle::path::MemberId;
use poplarpaddle::registry::{General, State};
use poplarpaddle::time::Time;

use super::world::{Access, Simulation, service};

/// Time within which a change must take effect at every member.
const BOUND_MS: u64 = 3000;

fn assert_version(simulation: &Simulation, version: u64, except: &[usize]) {
    for index in (0..simulation.instances.len()).filter(|index| !except.contains(index)) {
        assert_eq!(simulation.version(index), version, "node {index}");
    }
}

/// If every member watched the store, the number of calls would grow with the fleet.
#[test]
fn one_member_reads_the_store() {
    let mut simulation = Simulation::running(&[7, 9, 4]);
    for instance in &mut simulation.instances {
        instance.store_calls = 0;
    }
    simulation.run(30_000);
    let readers = simulation.instances.iter().filter(|instance| instance.store_calls > 2).count();
    let calls: u64 = simulation.instances.iter().map(|instance| instance.store_calls).sum();
    assert_eq!(readers, 1);
    assert!(calls <= 2 * 30_000 / 1000 + 20, "{calls} calls in 30 s");
}

/// A change must take effect soon at every member, not only at the reader.
#[test]
fn a_change_reaches_every_member() {
    let mut simulation = Simulation::running(&[7, 9, 4]);
    simulation.publish(9, &[443, 8443]);
    simulation.put_host(3, State::Draining);
    simulation.run(200);
    assert_version(&simulation, 9, &[]);
    for instance in &simulation.instances {
        assert_eq!(instance.hosts["i-3"].state, State::Draining, "{}", instance.address);
    }
    simulation.remove_host(3);
    simulation.run(200);
    assert!(simulation.instances.iter().all(|instance| !instance.hosts.contains_key("i-3")));
}

/// A bound on cold hosts has to reach the data path of every member, and change there with the configuration.
#[test]
fn the_services_of_a_configuration_reach_every_data_path() {
    let mut simulation = Simulation::running(&[7, 9, 4]);
    for version in [9, 10] {
        simulation.publish(version, &[443]);
        simulation.run(200);
        for instance in &simulation.instances {
            assert_eq!(instance.services, [service(version)], "{}", instance.address);
        }
    }
}

/// A member that hears no other one for 1.5 s counts as cut off and opens nothing at cold hosts.
#[test]
fn members_hear_others_often_at_rest() {
    for zones in [[1, 1, 1].as_slice(), &[7, 9, 4]] {
        let mut simulation = Simulation::running(zones);
        simulation.run(2000);
        simulation.instances.iter_mut().for_each(|instance| instance.longest_silence = Duration::ZERO);
        simulation.run(20_000);
        let longest = simulation.instances.iter().map(|instance| instance.longest_silence).max().unwrap();
        assert!(longest < Duration::from_millis(1500), "{zones:?}: {longest:?}");
    }
}

/// The worst case is the loss of the reader together with the members that would take over from it.
#[test]
fn a_change_right_after_the_loss_of_the_reader_is_in_force_within_the_bound() {
    let mut simulation = Simulation::running(&[7, 9, 4]);
    let readers = first_readers(&simulation, 3);
    for index in &readers {
        simulation.kill(*index);
    }
    simulation.publish(9, &[443]);
    simulation.run(BOUND_MS);
    assert_version(&simulation, 9, &readers);
}

/// Readers whose calls the store refuses or does not answer must not keep the other members from getting changes.
#[test]
fn a_change_that_no_reader_can_read_is_in_force_within_the_bound() {
    for store_access in [Access::Refused, Access::Silent] {
        let mut simulation = Simulation::running(&[7, 9, 4]);
        for index in first_readers(&simulation, 3) {
            simulation.instances[index].store_access = store_access;
        }
        simulation.publish(9, &[443]);
        simulation.run(BOUND_MS);
        assert_version(&simulation, 9, &[]);
    }
}

/// A member that is cut off from its peers, but not from the store, has to read the store itself.
#[test]
fn members_without_peers_read_the_store_themselves() {
    let mut simulation = Simulation::running(&[7, 9, 4]);
    for index in [1, 8, 17] {
        simulation.isolate(index);
    }
    simulation.publish(9, &[443]);
    simulation.run(BOUND_MS);
    assert_version(&simulation, 9, &[]);
}

/// A member whose calls the store refuses gets changes from its peers.
#[test]
fn members_refused_by_the_store_get_changes_from_peers() {
    let mut simulation = Simulation::running(&[7, 9, 4]);
    for index in 0..7 {
        simulation.instances[index].store_access = Access::Refused;
    }
    simulation.publish(9, &[443]);
    simulation.run(BOUND_MS);
    assert_version(&simulation, 9, &[]);
    simulation.kill(2);
    simulation.run(100);
    simulation.start(2);
    simulation.run(500);
    assert!(
        simulation.node(2).is_ready(),
        "a member that starts while the store refuses its calls gets the state from peers"
    );
}

/// Each zone has to follow the store on its own when it is cut off, and no member may go back to an older state when
/// the partition ends.
#[test]
fn partitioned_zones_each_follow_the_store() {
    let mut simulation = Simulation::running(&[7, 9, 4]);
    simulation.cut_zone("b");
    simulation.run(2000);
    simulation.publish(9, &[443]);
    simulation.run(BOUND_MS);
    assert_version(&simulation, 9, &[]);
    for index in 7..16 {
        simulation.instances[index].store_access = Access::Silent;
    }
    simulation.publish(12, &[443]);
    simulation.run(5000);
    assert_eq!(simulation.version(8), 9, "the zone is cut off from the store too");
    simulation.heal();
    simulation.run(6000);
    assert_version(&simulation, 12, &[]);
}

/// When watches get no response and the store then drops its history, only a snapshot reveals the changes in between.
#[test]
fn changes_before_a_compaction_are_found_in_a_snapshot() {
    let mut simulation = Simulation::running(&[7, 9, 4]);
    for instance in &mut simulation.instances {
        instance.store_access = Access::Silent;
    }
    simulation.remove_host(2);
    simulation.publish(9, &[443]);
    simulation.run(900);
    for instance in &mut simulation.instances {
        instance.store_access = Access::Reachable;
    }
    simulation.compact();
    simulation.run(BOUND_MS);
    assert_version(&simulation, 9, &[]);
    assert!(simulation.instances.iter().all(|instance| !instance.hosts.contains_key("i-2")));
}

/// After a power failure of all machines, no member has any state, and most have to get it from the first readers.
#[test]
fn a_fleet_that_lost_all_state_is_ready_soon_after_its_start() {
    let mut simulation = Simulation::running(&[7, 9, 4]);
    for index in 0..simulation.instances.len() {
        simulation.kill(index);
    }
    simulation.run(1500);
    for index in 0..simulation.instances.len() {
        simulation.start(index);
    }
    simulation.run(50);
    assert!((0..20).all(|index| simulation.node(index).is_ready()));
}

/// During a long outage of the store the last state stays in force. Changes must be read soon after the outage ends.
#[test]
fn a_change_after_an_outage_is_in_force_within_the_bound() {
    let mut simulation = Simulation::running(&[7, 9, 4]);
    for store_access in [Access::Refused, Access::Silent] {
        for instance in &mut simulation.instances {
            instance.store_access = store_access;
        }
        simulation.run(10_000);
        assert!(simulation.instances.iter().all(|instance| instance.node.as_ref().unwrap().is_ready()));
        for instance in &mut simulation.instances {
            instance.store_access = Access::Reachable;
        }
        let version = simulation.version(0) + 3;
        simulation.publish(version, &[443]);
        // The bound does not apply right after the end of an outage, while members reconnect to the store.
        simulation.run(4000);
        assert_version(&simulation, version, &[]);
    }
}

/// The version of the configuration only increases, so a lower one must not take effect.
#[test]
fn a_lower_version_does_not_come_into_force() {
    let mut simulation = Simulation::running(&[3]);
    simulation.publish(5, &[80]);
    simulation.run(3000);
    assert_version(&simulation, 7, &[]);
    simulation.publish(8, &[80]);
    simulation.run(3000);
    assert_version(&simulation, 8, &[]);
}

/// Returns the first `count` members in the order in which they become the reader.
fn first_readers(simulation: &Simulation, count: usize) -> Vec<usize> {
    let mut order: Vec<usize> = (0..simulation.instances.len()).collect();
    order.sort_by_key(|index| simulation.node(*index).membership().me().id);
    order.truncate(count);
    order
}

/// After a restart of all machines, all others pulled snapshots from the first members that were ready. With 300
/// machines, one member sent half a megabyte per second, and its responses arrived after the timeout.
#[test]
fn a_member_sends_snapshots_at_a_bounded_rate() {
    let mut simulation = Simulation::new(&[20, 20, 20]);
    simulation.publish(7, &[443]);
    for number in 1..=2000 {
        simulation.put_host(number, State::Ready);
    }
    for instance in &mut simulation.instances[1..] {
        instance.store_access = Access::Refused;
    }
    for index in 0..simulation.instances.len() {
        simulation.start(index);
    }
    simulation.run(500);
    // A snapshot of 2,001 entries takes 100 ms at 10 Mbit/s, and another one may wait for as long.
    let max_snapshots = simulation.instances.iter().map(|instance| instance.snapshots).max().unwrap();
    assert!(max_snapshots <= 7, "a member sent a snapshot {max_snapshots} times in 500 ms");
    simulation.run(2500);
    for index in 0..simulation.instances.len() {
        assert!(simulation.node(index).is_ready(), "node {index}");
    }
}

/// A member without state must not wait for an unresponsive peer for as long as the bound for changes allows.
#[test]
fn a_snapshot_pull_times_out_within_the_bound() {
    let (bound, start) = (Duration::from_millis(BOUND_MS), Time::from_millis(10_000));
    let mut feed = Feed::new(feed::Settings { bound, ..Default::default() }, MemberId(9));
    feed.tick(start, &[MemberId(1), MemberId(2), MemberId(9)]);
    let announcement = Announcement {
        root: MemberId(1),
        positions: [Position { revision: 5.into(), as_of: 5.into(), age_ms: 10, digest: 0 }; 3],
    };
    let next_pull = |feed: &mut Feed| {
        let mut actions = feed.actions().into_iter();
        actions
            .find_map(|action| if let Action::Pull { member, until } = action { Some((member, until)) } else { None })
    };
    feed.receive(start, MemberId(1), &announcement, false);
    let (member, until) = next_pull(&mut feed).unwrap();
    assert_eq!(member, MemberId(1));
    assert!(until < start + bound && until > start + Duration::from_millis(300));
    feed.tick(until, &[MemberId(1), MemberId(2), MemberId(9)]);
    feed.receive(until, MemberId(2), &announcement, false);
    assert_eq!(next_pull(&mut feed).unwrap().0, MemberId(2));
}

/// A balancer that has just read a snapshot does not know the changes before it, so its peers need a snapshot as well.
/// On a small site they must get it at once, because a refusal would leave them without the changes until the next
/// announcement.
#[test]
fn members_of_a_small_site_get_a_snapshot_at_once() {
    let mut simulation = Simulation::running(&[4, 3, 3]);
    let now = simulation.now;
    let node = simulation.instances[0].node.as_mut().unwrap();
    for _ in 0..9 {
        node.changes_since(now, Revisions::default()).unwrap();
    }
}

/// The data path has to know that the routers may move flows: when a member of the zone starts, leaves or dies, but not at
/// rest and not for members of other zones.
#[test]
fn the_members_of_a_zone_are_told_when_it_changes() {
    let mut simulation = Simulation::running(&[3, 3]);
    simulation.run(3000);
    let told = |simulation: &Simulation, since: Time| -> Vec<usize> {
        let is_told = |index: &usize| simulation.instances[*index].neighbors_changed_at >= since;
        (1..simulation.instances.len()).filter(is_told).collect()
    };
    let start = simulation.now;
    simulation.run(3000);
    assert_eq!(told(&simulation, start), [] as [usize; 0], "nothing has changed");
    simulation.with(0, |node, now| node.leave(now));
    simulation.run(1000);
    assert_eq!(told(&simulation, start), [1, 2], "a member of the zone leaves");
    let start = simulation.now;
    simulation.start(0);
    simulation.run(1000);
    assert_eq!(told(&simulation, start), [1, 2], "it starts again");
    let start = simulation.now;
    simulation.kill(0);
    simulation.run(5000);
    assert_eq!(told(&simulation, start), [1, 2], "it is gone");
}

/// The second error of a service may be the one in its bound, which an operator has to know of.
#[test]
fn each_error_in_a_service_is_reported_once_per_revision() {
    let mut simulation = Simulation::running(&[1]);
    let revision = simulation.store.revision + 1;
    let fault = |text: &str| Fault { name: "bookings".into(), revision: revision.into(), text: text.into() };
    let faults = vec![fault("cold_start_s -1"), fault("cold_per_s \"many\"")];
    let mut reported = Vec::new();
    for as_of in [revision, revision + 1] {
        let content = Some((General { version: 8, ..Default::default() }, Vec::new()));
        let response = Response::Routes { as_of: as_of.into(), content, faults: faults.clone() };
        simulation.with(0, |node, now| {
            node.store_answered(now, Topic::Routes, Ok(response));
            for action in node.actions() {
                if let fleet::Action::Event(event) = action
                    && event.name == "service.unreadable"
                {
                    reported.push(event.detail);
                }
            }
        });
    }
    let expected = ["cold_start_s -1", "cold_per_s \"many\""].map(|text| format!("revision 0.{revision}: {text}"));
    assert_eq!(reported, expected);
}

/// A member that starts after a host has left never knew it. Its announcements confirmed the state of a member that had
/// missed the removal, which then kept the host for good.
#[test]
fn a_member_that_missed_a_removal_is_not_confirmed_by_one_that_never_knew_the_host() {
    let mut simulation = Simulation::running(&[1, 1]);
    simulation.kill(1);
    simulation.run(5000);
    simulation.instances[0].store_access = Access::Silent;
    simulation.remove_host(3);
    simulation.publish(8, &[443]);
    simulation.start(1);
    simulation.run(BOUND_MS);
    assert!(!simulation.instances[0].hosts.contains_key("i-3"), "{:?}", simulation.instances[0].hosts);
}
