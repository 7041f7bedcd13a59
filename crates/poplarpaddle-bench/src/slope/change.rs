//! Costs of a configuration change, by the number of targets.

use std::time::Instant;

use poplarpaddle::config::{Digest, Offer, State};
use poplarpaddle::object::{Kind, Set};
use poplarpaddle::publish::{End, Publish, Settings, Step};
use poplarpaddle::time::Time;

use super::input::{self, FLEET, Generation};
use super::store::Memory;
use super::{Line, Metric, count, lines, shortest_ns};

/// Numbers of targets.
const SIZES: [u32; 4] = [7_300, 18_250, 36_500, 73_000];

const fn metric(name: &'static str, unit: &'static str) -> Metric {
    Metric { group: "change", name, size: "targets", unit }
}

const METRICS: [Metric; 10] = [
    metric("manifest", "bytes"),
    metric("part", "bytes of one changed part"),
    metric("update", "bytes from a peer for one change of one target"),
    metric("all-parts", "bytes of all parts"),
    metric("first", "ns to verify, compile and swap a whole configuration"),
    metric("change", "ns to verify, compile and swap one change"),
    metric("publish-reads", "store reads of one publish"),
    metric("publish-writes", "store writes of one publish"),
    metric("publish-bytes", "bytes of values read by one publish"),
    metric("publish-time", "ns of one publish, store included"),
];

/// Measures the slopes of a change of one target.
///
/// # Errors
///
/// When a generated configuration is rejected.
pub fn measure() -> eyre::Result<Vec<Line>> {
    let rows = SIZES.into_iter().map(row).collect::<eyre::Result<Vec<_>>>()?;
    Ok(lines(&METRICS, &SIZES, &rows))
}

fn row(targets: u32) -> eyre::Result<Vec<f64>> {
    let services = input::services(targets);
    let mut set = input::set(services, targets);
    let first = Generation::new(&set, 1)?;
    let mut changes = Vec::new();
    for number in 0..3 {
        input::add_target(&mut set, number, targets + number);
        changes.push(Generation::new(&set, u64::from(number) + 2)?);
    }
    let part = changes[0].parts.iter().filter(|part| !first.parts.contains(part)).map(Vec::len).sum::<usize>();
    let all = first.parts.iter().map(Vec::len).sum::<usize>();
    let first_time = shortest_ns(3, || drop(first.apply(&mut State::new(FLEET))));
    let one_change_time = change_time(&first, &changes)?;
    let mut state = State::new(FLEET);
    first.apply(&mut state)?;
    let base = state.base();
    changes[0].apply(&mut state)?;
    let update = state.update(&base).map_or(0, <[u8]>::len);
    let mut row =
        vec![count(first.manifest.len())?, count(part)?, count(update)?, count(all)?, first_time, one_change_time];
    row.extend(publish(&set, targets)?);
    Ok(row)
}

/// Returns the shortest time in nanoseconds from the arrival of the changed parts until the generation is in force.
fn change_time(first: &Generation, changes: &[Generation]) -> eyre::Result<f64> {
    let mut best = f64::INFINITY;
    let mut state = State::new(FLEET);
    first.apply(&mut state)?;
    for change in changes {
        let Offer::Missing(missing) = state.offer(&change.manifest)? else { eyre::bail!("no part is missing") };
        let parts: Vec<_> = change.parts.iter().filter(|part| missing.contains(&Digest::of(part))).collect();
        let time = shortest_ns(1, || parts.iter().for_each(|part| drop(state.supply(part))));
        best = best.min(time);
    }
    Ok(best)
}

fn run_publish(store: &mut Memory, seed: u64) -> eyre::Result<()> {
    let mut now = Time::from_millis(1);
    let mut publish = Publish::new(now, Settings { fleet: FLEET.to_owned(), seed, ..Default::default() });
    loop {
        match publish.next(now) {
            Step::Call { call, .. } => publish.handle_outcome(now, store.perform(&call)),
            Step::Wait(until) => now = until,
            Step::End(End::Published(_)) => return Ok(()),
            Step::End(other) => eyre::bail!("publish ended with {other:?}"),
        }
    }
}

/// Returns reads, writes, bytes read and nanoseconds of the publish that adds one target to `set`.
fn publish(set: &Set, targets: u32) -> eyre::Result<Vec<f64>> {
    let mut store = Memory::default();
    for kind in Kind::ALL {
        for name in set.names(kind) {
            if let Some(item) = set.get(kind, name) {
                store.insert(&kind.to_string(), name, item.to_value()?);
            }
        }
    }
    run_publish(&mut store, 1)?;
    let mut added = Set::default();
    input::add_target(&mut added, 0, targets + 10);
    for (name, target) in &added.targets {
        let item = poplarpaddle::object::Item::from(target.clone());
        store.insert(&Kind::Target.to_string(), name, item.to_value()?);
    }
    store.reset();
    let start = Instant::now();
    run_publish(&mut store, 2)?;
    let time = start.elapsed().as_secs_f64() * 1e9;
    Ok(vec![f64::from(store.reads), f64::from(store.writes), count(store.read_bytes)?, time])
}
