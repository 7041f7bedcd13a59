//! Slopes: measurements of how a cost grows with the size that it depends on.
//!
//! A [`Line`] holds one slope at three or more sizes, so that superlinear growth is visible. Counts and bytes are exact
//! for a seed. Memory is read from the resident set of the process and times come from the clock of the machine, so
//! both are only indicative.
//!
//! The target size, which several groups mention, is the size of a fleet for which the load balancer is designed.
//! [`input`] defines its numbers of targets, services and zones.

use std::time::Instant;

use serde::Serialize;

pub mod change;
pub mod flow;
pub mod gossip;
pub mod harness;
pub mod host;
pub mod input;
pub mod memory;
pub mod owner;
pub mod spread;
pub mod store;

/// Measured slope, which is one line of output.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Line {
    /// Name of the slope.
    pub slope: String,
    /// Command that measures it.
    pub command: String,
    /// Quantity that the sizes count.
    pub size: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
    /// Sizes in ascending order.
    pub sizes: Vec<u32>,
    /// One value for each size.
    pub values: Vec<f64>,
}

/// Description of a slope: its group, name and units.
#[derive(Debug, Clone, Copy)]
pub struct Metric {
    /// Group, which is the argument of the command.
    pub group: &'static str,
    /// Name within the group.
    pub name: &'static str,
    /// Quantity that the sizes count.
    pub size: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
}

impl Metric {
    /// Returns the line with `values` at `sizes`.
    #[must_use]
    pub fn line(&self, sizes: &[u32], values: Vec<f64>) -> Line {
        Line {
            slope: format!("{}.{}", self.group, self.name),
            command: format!("scripts/slopes.sh {}", self.group),
            size: self.size,
            unit: self.unit,
            sizes: sizes.to_vec(),
            values,
        }
    }
}

/// Transposes rows, which hold the values of all metrics at one size, into one line for each metric.
///
/// # Panics
///
/// When a row has fewer values than there are metrics.
#[must_use]
pub fn lines(metrics: &[Metric], sizes: &[u32], rows: &[Vec<f64>]) -> Vec<Line> {
    let column = |index: usize| rows.iter().map(|row| row[index]).collect();
    metrics.iter().enumerate().map(|(index, metric)| metric.line(sizes, column(index))).collect()
}

/// Returns the resident bytes of this process, or 0 on systems that do not report them.
#[must_use]
pub fn resident_bytes() -> f64 {
    status("VmRSS:")
}

/// Returns the peak of the resident bytes of this process since [`reset_peak`].
#[must_use]
pub fn peak_bytes() -> f64 {
    status("VmHWM:")
}

/// Resets [`peak_bytes`]. Without the permission to reset it, the peak is that of the whole run, which may be too high
/// but is never too low.
pub fn reset_peak() {
    drop(std::fs::write("/proc/self/clear_refs", "5"));
}

fn status(field: &str) -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(field)).unwrap_or_default();
    let kilobytes = line.split_whitespace().next().and_then(|number| number.parse::<f64>().ok());
    kilobytes.unwrap_or_default() * 1024.0
}

/// Returns the shortest time of `rounds` calls of `work` in nanoseconds, because other load on the machine can only
/// lengthen a time.
pub fn shortest_ns(rounds: u32, mut work: impl FnMut()) -> f64 {
    let time = |_round| {
        let start = Instant::now();
        work();
        start.elapsed().as_secs_f64() * 1e9
    };
    (0..rounds).map(time).fold(f64::INFINITY, f64::min)
}

/// Converts a count to a value of a [`Line`].
///
/// # Errors
///
/// When the count exceeds 32 bits, which no measured count does.
pub fn count(number: usize) -> eyre::Result<f64> {
    Ok(f64::from(u32::try_from(number)?))
}
