//! Checks that changes take effect in time after random sequences of failures.
//!
//! `POPLARPADDLE_SEEDS=1000..1500 cargo test -p poplarpaddle --test fleet random` runs other seeds.

use poplarpaddle::feed::Topic;
use poplarpaddle::registry::State;
use rand::{RngExt as _, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::world::{Access, Simulation};

/// Time within which a change must take effect at every member.
const BOUND_MS: u64 = 3000;

/// Time after the end of the failures during which the bound does not apply.
const RECOVERY_MS: u64 = 4000;

pub fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("POPLARPADDLE_SEEDS") else { return 0..12 };
    let (from, to) = text.split_once("..").expect("POPLARPADDLE_SEEDS is FROM..TO");
    from.parse().expect("a number")..to.parse().expect("a number")
}

/// Applies a random failure to the fleet. The simulation asserts that no version decreases.
pub fn inject_failure(simulation: &mut Simulation, random: &mut Pcg64Mcg) {
    let count = simulation.instances.len();
    let node = random.random_range(0..count);
    match random.random_range(0..9) {
        0 => simulation.kill(node),
        1 => (0..count)
            .filter(|_| random.random_bool(0.6))
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|i| simulation.kill(i)),
        2 => simulation.isolate(node),
        3 => simulation.cut_zone(["a", "b", "c"][random.random_range(0..3)]),
        4 => simulation.instances[node].store_access = Access::Silent,
        5 => simulation.instances.iter_mut().for_each(|instance| instance.store_access = Access::Refused),
        6 => simulation.instances.iter_mut().for_each(|instance| instance.store_access = Access::Silent),
        7 => simulation.compact(),
        _ => {
            for instance in &mut simulation.instances {
                if random.random_bool(0.35) {
                    instance.store_access = Access::Refused;
                }
            }
        }
    }
}

/// Ends all failures and starts the nodes that do not run.
pub fn recover(simulation: &mut Simulation) {
    simulation.heal();
    for instance in &mut simulation.instances {
        instance.store_access = Access::Reachable;
    }
    for index in 0..simulation.instances.len() {
        if simulation.instances[index].node.is_none() {
            simulation.start(index);
        }
    }
    simulation.run(RECOVERY_MS);
}

/// Guards against members that miss a change, or apply it too late, after failures of nodes, links and the store.
#[test]
fn versions_and_hosts_are_in_force_within_the_bound_after_random_failures() {
    for seed in seeds() {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut simulation = Simulation::running(&[3, 4, 2]);
        let mut version = 7;
        for _ in 0..4 {
            for _ in 0..random.random_range(1..4) {
                inject_failure(&mut simulation, &mut random);
                simulation.run(random.random_range(0..3000));
                version += random.random_range(1..9);
                simulation.publish(version, &[443, 1000 + version as u16]);
            }
            recover(&mut simulation);
            version += 1;
            simulation.publish(version, &[443]);
            simulation.put_host(random.random_range(1..9), State::Draining);
            let removed = random.random_range(1..9);
            simulation.remove_host(removed);
            simulation.run(BOUND_MS);
            for index in 0..simulation.instances.len() {
                assert_eq!(simulation.version(index), version, "seed {seed}, node {index}");
                let name = format!("i-{removed:x}");
                assert!(
                    !simulation.instances[index].hosts.contains_key(&name),
                    "seed {seed}, node {index}, host {name}"
                );
            }
        }
    }
}

/// Guards against drains that a member misses, or that a failure ends, in any order of orders and failures.
#[test]
fn zone_drains_are_in_force_within_the_bound_after_random_failures() {
    for seed in seeds() {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut simulation = Simulation::running_with(&[3, 4, 2], &Topic::ALL);
        for _ in 0..4 {
            for _ in 0..random.random_range(1..4) {
                inject_failure(&mut simulation, &mut random);
                simulation.run(random.random_range(0..3000));
                order(&mut simulation, &mut random);
            }
            recover(&mut simulation);
            order(&mut simulation, &mut random);
            simulation.run(BOUND_MS);
            let expected = simulation.drained_zones();
            for (index, instance) in simulation.instances.iter().enumerate() {
                assert_eq!(instance.drained, expected, "seed {seed}, node {index}");
            }
        }
    }
}

/// Drains a random zone or takes it back.
pub fn order(simulation: &mut Simulation, random: &mut Pcg64Mcg) {
    let zone = ["a", "b", "c"][random.random_range(0..3)];
    if simulation.drained_zones().contains(zone) {
        simulation.return_zone(zone);
    } else {
        simulation.drain_zone(zone);
    }
}
