//! Random sequences of failures against the bound of configuration.
//!
//! `POPLARPADDLE_SEEDS=1000..1500 cargo test -p poplarpaddle --test fleet random` runs other seeds.

use poplarpaddle::registry::State;
use rand::{RngExt as _, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::world::{Path, World};

const BOUND_MS: u64 = 3000;

/// Span after a disturbance in which bounds do not hold.
const WINDOW_MS: u64 = 4000;

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("POPLARPADDLE_SEEDS") else { return 0..12 };
    let (from, to) = text.split_once("..").expect("POPLARPADDLE_SEEDS is FROM..TO");
    from.parse().expect("a number")..to.parse().expect("a number")
}

/// Disturbs the fleet at random; the world asserts that no version goes back.
fn disturb(world: &mut World, random: &mut Pcg64Mcg) {
    let count = world.places.len();
    let node = random.random_range(0..count);
    match random.random_range(0..9) {
        0 => world.kill(node),
        1 => (0..count).filter(|_| random.random_bool(0.6)).collect::<Vec<_>>().into_iter().for_each(|i| world.kill(i)),
        2 => world.isolate(node),
        3 => world.cut_zone(["a", "b", "c"][random.random_range(0..3)]),
        4 => world.places[node].path = Path::Silent,
        5 => world.places.iter_mut().for_each(|place| place.path = Path::Refused),
        6 => world.places.iter_mut().for_each(|place| place.path = Path::Silent),
        7 => world.compact(),
        _ => {
            for place in &mut world.places {
                if random.random_bool(0.35) {
                    place.path = Path::Refused;
                }
            }
        }
    }
}

#[test]
fn versions_and_hosts_are_in_force_within_the_bound_after_any_disturbance() {
    for seed in seeds() {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut world = World::running(&[3, 4, 2]);
        let mut version = 7;
        for _ in 0..4 {
            for _ in 0..random.random_range(1..4) {
                disturb(&mut world, &mut random);
                world.run(random.random_range(0..3000));
                version += random.random_range(1..9);
                world.publish(version, &[443, 1000 + version as u16]);
            }
            world.heal();
            for place in &mut world.places {
                place.path = Path::Open;
            }
            for index in 0..world.places.len() {
                if world.places[index].node.is_none() {
                    world.start(index);
                }
            }
            world.run(WINDOW_MS);
            version += 1;
            world.publish(version, &[443]);
            world.put_host(random.random_range(1..9), State::Draining);
            let gone = random.random_range(1..9);
            world.remove_host(gone);
            world.run(BOUND_MS);
            for index in 0..world.places.len() {
                assert_eq!(world.version(index), version, "seed {seed}, node {index}");
                let name = format!("i-{gone:x}");
                assert!(!world.places[index].hosts.contains_key(&name), "seed {seed}, node {index}, host {name}");
            }
        }
    }
}
