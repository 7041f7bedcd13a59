//! Memory of a node's configuration, at rest and during changes, by the number of targets.

use std::net::Ipv4Addr;

use poplarpaddle::config::State;
use poplarpaddle::health::{Health, Settings};
use poplarpaddle::time::Time;

use super::input::{self, FLEET, Generation};
use super::{Line, Metric, lines, peak_bytes, reset_peak, resident_bytes};

/// Numbers of targets.
const SIZES: [u32; 4] = [7_300, 18_250, 36_500, 73_000];

/// Number of changes that follow the first generation.
const CHANGES: u32 = 3;

const fn metric(name: &'static str, unit: &'static str) -> Metric {
    Metric { group: "memory", name, size: "targets", unit }
}

const METRICS: [Metric; 4] = [
    metric("rest", "resident bytes after the first generation"),
    metric("peak", "resident bytes at the peak of three changes"),
    metric("kept", "resident bytes after three changes"),
    metric("health", "resident bytes of the health check after three changes"),
];

/// Measures the slopes.
///
/// # Errors
///
/// When a generated configuration is rejected.
pub fn measure() -> eyre::Result<Vec<Line>> {
    let rows = SIZES.into_iter().map(row).collect::<eyre::Result<Vec<_>>>()?;
    Ok(lines(&METRICS, &SIZES, &rows))
}

fn row(targets: u32) -> eyre::Result<Vec<f64>> {
    let mut set = input::set(input::services(targets), targets);
    let first = Generation::new(&set, 1)?;
    let mut changes = Vec::new();
    for number in 0..CHANGES {
        input::add_target(&mut set, number, targets + number);
        changes.push(Generation::new(&set, u64::from(number) + 2)?);
    }
    let mut state = State::new(FLEET);
    let before = resident_bytes();
    first.apply(&mut state)?;
    let rest = resident_bytes() - before;
    reset_peak();
    for change in &changes {
        change.apply(&mut state)?;
    }
    let mut row = vec![rest, peak_bytes() - before, resident_bytes() - before];
    let Some(config) = state.current() else { eyre::bail!("no configuration is in force") };
    let before = resident_bytes();
    let mut health = Health::new(Settings::default());
    health.set_hosts(Time::from_millis(0), &hosts());
    health.configure(config);
    row.push(resident_bytes() - before);
    // Leaked, so that the measurement of the next size cannot reuse freed memory.
    std::mem::forget((state, set, first, changes, health));
    Ok(row)
}

/// Returns the hosts that one node polls in a fleet of the target size.
fn hosts() -> Vec<Ipv4Addr> {
    (0..29).map(|number| Ipv4Addr::from(0x7f10_0001 + number * 100)).collect()
}
