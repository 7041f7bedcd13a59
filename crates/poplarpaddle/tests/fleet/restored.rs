//! Guards against state of a store that has come back from a copy some seconds old: what was written since is gone, and
//! the revisions since are given out again.

use std::collections::BTreeMap;

use poplarpaddle::feed::Topic;
use poplarpaddle::registry::{Host, State};
use rand::{RngExt as _, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::random::{inject_failure, order, recover, seeds};
use super::world::{Simulation, Store};

/// Duration of the outage before the store is back, in milliseconds.
const OUTAGE_MS: u64 = 2000;

/// Time within which a change has to be in force, in milliseconds.
const BOUND_MS: u64 = 3000;

/// A configuration whose revision had belonged to an earlier one was never applied.
#[test]
fn a_configuration_at_a_revision_that_was_given_out_before_is_in_force() {
    let mut simulation = Simulation::running(&[2, 2, 2]);
    let copy = simulation.store.clone();
    simulation.publish(8, &[443, 444]);
    simulation.run(500);
    simulation.publish(9, &[443, 444, 445]);
    simulation.run(500);
    simulation.restore(&copy, OUTAGE_MS);
    simulation.publish(9, &[443, 444, 445]);
    simulation.run(BOUND_MS);
    simulation.publish(12, &[443, 446]);
    simulation.run(BOUND_MS);
    assert_eq!(simulation.versions(), [12; 6]);
}

/// A host that drains at a revision that had belonged to another change kept getting flows.
#[test]
fn a_host_that_drains_at_a_revision_that_was_given_out_before_is_draining() {
    let mut simulation = Simulation::running(&[2, 2, 2]);
    let copy = simulation.store.clone();
    simulation.put_host(6, State::Ready);
    simulation.run(500);
    simulation.restore(&copy, OUTAGE_MS);
    simulation.put_host(2, State::Draining);
    simulation.run(BOUND_MS);
    for instance in &simulation.instances {
        assert_eq!(instance.hosts["i-2"].state, State::Draining);
    }
}

/// A member that starts before the operator has written the configuration again kept the older one of the copy.
#[test]
fn a_member_that_starts_while_the_store_has_an_older_configuration_gets_the_later_one() {
    let mut simulation = Simulation::running(&[2, 2]);
    let copy = simulation.store.clone();
    simulation.publish(8, &[443, 444]);
    simulation.run(500);
    simulation.restore(&copy, OUTAGE_MS);
    simulation.run(500);
    for index in 0..simulation.instances.len() {
        simulation.start(index);
        simulation.run(1000);
        assert_eq!(simulation.versions(), [8; 4], "after the restart of {index}");
    }
}

/// A host that had begun to drain after the copy was taken got flows again.
#[test]
fn a_host_that_drains_stays_so_while_the_copy_has_it_as_ready() {
    let mut simulation = Simulation::running(&[2, 2]);
    let copy = simulation.store.clone();
    simulation.put_host(2, State::Draining);
    simulation.run(500);
    simulation.restore(&copy, OUTAGE_MS);
    simulation.run(BOUND_MS);
    for instance in &simulation.instances {
        assert_eq!(instance.hosts["i-2"].state, State::Draining);
    }
}

/// Hosts that the copy lacks have time to register again, and those that had left get no flows meanwhile. Afterwards the
/// store is right.
#[test]
fn hosts_that_came_and_left_after_the_copy_are_settled_after_a_while() {
    let mut simulation = Simulation::running(&[2, 2, 2]);
    let copy = simulation.store.clone();
    simulation.put_host(6, State::Ready);
    simulation.put_host(7, State::Ready);
    simulation.remove_host(3);
    simulation.run(500);
    let names = |simulation: &Simulation| -> Vec<Vec<String>> {
        simulation.instances.iter().map(|instance| instance.hosts.keys().cloned().collect()).collect()
    };
    let before = names(&simulation);
    simulation.restore(&copy, OUTAGE_MS);
    simulation.run(1000);
    assert_eq!(names(&simulation), before, "while the hosts register again");
    simulation.put_host(7, State::Ready);
    simulation.run(2 * BOUND_MS);
    assert_eq!(names(&simulation), vec![["i-1", "i-2", "i-3", "i-4", "i-5", "i-7"].map(String::from).to_vec(); 6]);
    simulation.remove_host(3);
    simulation.run(BOUND_MS);
    assert_eq!(names(&simulation), vec![["i-1", "i-2", "i-4", "i-5", "i-7"].map(String::from).to_vec(); 6]);
}

/// An order to drain a zone that the copy lacks would end, and one that had ended would come back.
#[test]
fn zones_stay_drained_and_returned_until_the_operator_has_written_again() {
    let mut simulation = Simulation::running_with(&[2, 2], &Topic::ALL);
    simulation.drain_zone("b");
    simulation.run(500);
    let copy = simulation.store.clone();
    simulation.return_zone("b");
    simulation.drain_zone("a");
    simulation.run(500);
    simulation.restore(&copy, OUTAGE_MS);
    for rewritten in [false, true] {
        if rewritten {
            simulation.drain_zone("a");
            simulation.return_zone("b");
        }
        simulation.run(if rewritten { 2 * BOUND_MS } else { 1000 });
        for instance in &simulation.instances {
            assert_eq!(instance.drained.iter().collect::<Vec<_>>(), ["a"], "written again: {rewritten}");
            assert!(!instance.drain_events.iter().any(|event| event == "zone.returned a"));
        }
    }
}

/// The members write former services once. After a restart, flows of a moved route were dropped for good.
#[test]
fn former_services_that_the_store_has_lost_are_saved_again() {
    let mut simulation = Simulation::running(&[2, 2]);
    let copy = simulation.store.clone();
    simulation.publish_service(8, &[443], "crewdocs");
    simulation.run(1500);
    assert!(!simulation.store.former.is_empty());
    simulation.restore(&copy, OUTAGE_MS);
    simulation.publish_service(8, &[443], "crewdocs");
    simulation.run(BOUND_MS);
    assert_eq!(simulation.store.former[0].service, "bookings");
}

/// Two copies in a row, the second of which is older than the first.
#[test]
fn a_store_that_is_restored_twice_is_followed() {
    let mut simulation = Simulation::running(&[2, 2, 2]);
    let oldest = simulation.store.clone();
    simulation.publish(8, &[443, 444]);
    let older = simulation.store.clone();
    simulation.publish(9, &[443, 445]);
    simulation.run(500);
    for copy in [older, oldest] {
        simulation.restore(&copy, OUTAGE_MS);
        simulation.run(100);
    }
    simulation.publish(9, &[443, 445]);
    simulation.put_host(2, State::Draining);
    simulation.run(BOUND_MS);
    simulation.publish(11, &[443, 446]);
    simulation.run(BOUND_MS);
    assert_eq!(simulation.versions(), [11; 6]);
    for instance in &simulation.instances {
        assert_eq!(instance.hosts["i-2"].state, State::Draining);
    }
}

/// Number of copies of the store, of which the oldest is a few seconds old.
const COPIES: usize = 6;

/// Writes again what the operator and the hosts had written, as far as the store lacks it.
fn write_again(simulation: &mut Simulation, lost: &Store) {
    if let Some((version, ports)) = lost.published() {
        simulation.publish(version, &ports);
    }
    for number in 1..9 {
        match lost.host(number) {
            Some(host) if simulation.store.host(number) != Some(host) => {
                simulation.put_registration(number, host.clone())
            }
            None if simulation.store.host(number).is_some() => simulation.remove_host(number),
            _ => {}
        }
    }
    for zone in ["a", "b", "c"] {
        match (lost.is_drained(zone), simulation.store.is_drained(zone)) {
            (true, false) => simulation.drain_zone(zone),
            (false, true) => simulation.return_zone(zone),
            _ => {}
        }
    }
}

/// Returns the name, the state and the number of each registration.
fn registrations(hosts: &BTreeMap<String, Host>) -> Vec<(String, State, u64)> {
    hosts.iter().map(|(name, host)| (name.clone(), host.state, host.sequence)).collect()
}

/// Guards against members that keep or take older state after any sequence of copies, changes and other failures.
#[test]
fn the_state_of_the_store_is_in_force_within_the_bound_after_random_copies() {
    for seed in seeds() {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut simulation = Simulation::running_with(&[3, 4, 2], &Topic::ALL);
        let mut version = 7;
        for round in 0..4 {
            let mut copies = Vec::new();
            for _ in 0..COPIES {
                copies.push(simulation.store.clone());
                version += random.random_range(1..9);
                simulation.publish(version, &[443, 1000 + version as u16]);
                let (host, state) = (random.random_range(1..9), random.random_bool(0.5));
                simulation.put_host(host, if state { State::Ready } else { State::Draining });
                simulation.remove_host(random.random_range(1..9));
                order(&mut simulation, &mut random);
                simulation.run(random.random_range(0..1500));
            }
            if random.random_bool(0.5) {
                inject_failure(&mut simulation, &mut random);
            }
            let lost = simulation.store.clone();
            simulation.restore(&copies[random.random_range(0..COPIES)], random.random_range(0..3000));
            simulation.run(random.random_range(0..2000));
            write_again(&mut simulation, &lost);
            recover(&mut simulation);
            version += 1;
            simulation.publish(version, &[443]);
            order(&mut simulation, &mut random);
            simulation.put_host(random.random_range(1..9), State::Draining);
            simulation.remove_host(random.random_range(1..9));
            simulation.run(BOUND_MS);
            let (hosts, drained) = (simulation.store.hosts(), simulation.drained_zones());
            for (index, instance) in simulation.instances.iter().enumerate() {
                let place = format!("seed {seed}, round {round}, node {index}");
                assert_eq!(simulation.version(index), version, "{place}");
                assert_eq!(registrations(&instance.hosts), registrations(&hosts), "{place}");
                assert_eq!(instance.drained, drained, "{place}");
            }
        }
    }
}
