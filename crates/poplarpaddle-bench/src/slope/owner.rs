//! Costs of computing the owners of shards, by the number of targets and by the number of members.

use std::hint::black_box;

use poplarpaddle::config::State;
use poplarpaddle::ownership::Ownership;
use poplarpaddle::path::MemberId;
use poplarpaddle::view::{Member, Presence};

use super::input::{self, Generation};
use super::{Line, Metric, count, lines, resident_bytes, shortest_ns};

/// Numbers of targets; the number of services is in proportion.
const TARGETS: [u32; 4] = [7_300, 18_250, 36_500, 73_000];

/// Numbers of members of one region.
const MEMBERS: [u32; 5] = [16, 100, 500, 1000, 2500];

/// Number of time measurements, of which the shortest counts.
const ROUNDS: u32 = 5;

const fn metric(name: &'static str, size: &'static str, unit: &'static str) -> Metric {
    Metric { group: "owner", name, size, unit }
}

const BY_TARGETS: [Metric; 4] = [
    metric("shards", "targets", "shards"),
    metric("memory", "targets", "resident bytes of the owners of all shards"),
    metric("join-by-targets", "targets", "ns for a member that joins 2,500"),
    metric("leave-by-targets", "targets", "ns for a member that leaves 2,500"),
];

const BY_MEMBERS: [Metric; 4] = [
    metric("join", "members", "ns for a member that joins, 11,000 services"),
    metric("leave", "members", "ns for a member that leaves, 11,000 services"),
    metric("owned", "members", "shards of one member"),
    metric("config", "members", "ns for a new generation with the same services"),
];

/// Measures the slopes.
///
/// # Errors
///
/// When a generated configuration is rejected.
pub fn measure() -> eyre::Result<Vec<Line>> {
    let rows = TARGETS.into_iter().map(by_targets).collect::<eyre::Result<Vec<_>>>()?;
    let mut results = lines(&BY_TARGETS, &TARGETS, &rows);
    let rows = MEMBERS.into_iter().map(by_members).collect::<eyre::Result<Vec<_>>>()?;
    results.extend(lines(&BY_MEMBERS, &MEMBERS, &rows));
    Ok(results)
}

fn members(count: u32) -> Vec<Member> {
    let member = |number: u32| Member {
        id: MemberId(u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        presence: Presence::Alive,
        relay: ([10, 0, 0, 1], 7001).into(),
    };
    let mut members: Vec<Member> = (1..=count).map(member).collect();
    members.sort_by_key(|member| member.id);
    members
}

/// Returns the times in nanoseconds to handle a member that joins a region, which then has `count` members, and a member
/// that leaves it.
fn join_leave_times(ownership: &mut Ownership, count: u32) -> [f64; 2] {
    let all = members(count);
    let mut fewer = all.clone();
    fewer.remove(all.len() / 2);
    let (mut join, mut leave) = (f64::INFINITY, f64::INFINITY);
    for _round in 0..ROUNDS {
        leave = leave.min(shortest_ns(1, || ownership.set_members(&fewer)));
        join = join.min(shortest_ns(1, || ownership.set_members(&all)));
    }
    [join, leave]
}

fn by_targets(targets: u32) -> eyre::Result<Vec<f64>> {
    let set = input::set(input::services(targets), targets);
    let generation = Generation::new(&set, 1)?;
    let mut state = State::new(input::FLEET);
    generation.apply(&mut state)?;
    let Some(config) = state.current() else { eyre::bail!("no configuration is in force") };
    let before = resident_bytes();
    let mut ownership = Ownership::default();
    ownership.set_members(&members(2500));
    ownership.set_config(config);
    let bytes = resident_bytes() - before;
    let shards: usize = config.services.iter().map(|service| usize::from(service.shards)).sum();
    let [join, leave] = join_leave_times(&mut ownership, 2500);
    // Leaked, so that the measurement of the next size cannot reuse freed memory.
    std::mem::forget((ownership, state, generation, set));
    Ok(vec![count(shards)?, bytes, join, leave])
}

fn by_members(number: u32) -> eyre::Result<Vec<f64>> {
    let state = input::state(input::TARGETS)?;
    let Some(config) = state.current() else { eyre::bail!("no configuration is in force") };
    let mut ownership = Ownership::default();
    ownership.set_members(&members(number));
    ownership.set_config(config);
    let [join, leave] = join_leave_times(&mut ownership, number);
    let owned = ownership.owned_by(members(number)[0].id).count();
    let again = shortest_ns(ROUNDS, || ownership.set_config(black_box(config)));
    Ok(vec![join, leave, count(owned)?, again])
}
