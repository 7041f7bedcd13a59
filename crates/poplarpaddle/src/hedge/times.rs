//! Percentiles of recent times.

use std::time::Duration;

/// Buckets for each doubling of the time. A percentile is at most a fifth too high.
const BUCKETS_PER_OCTAVE: u32 = 4;

/// Lower bound of the first bucket with its own range, in microseconds.
const FIRST_MICROS: u64 = 64;

/// Number of buckets, which covers times of up to a minute.
const BUCKETS: usize = 80;

/// Number of samples at which all counts are halved, so that old samples lose their weight.
const WINDOW: u32 = 1_000;

/// Histogram of times, in which samples lose their weight with each further [`WINDOW`] of them.
#[derive(Debug, Clone)]
pub(super) struct Times {
    counts: [u32; BUCKETS],
    total: u32,
}

impl Default for Times {
    fn default() -> Self {
        Self { counts: [0; BUCKETS], total: 0 }
    }
}

impl Times {
    pub(super) fn add(&mut self, time: Duration) {
        self.counts[bucket(time)] += 1;
        self.total += 1;
        if self.total >= WINDOW {
            for count in &mut self.counts {
                *count /= 2;
            }
            self.total = self.counts.iter().sum();
        }
    }

    /// Returns the number of samples, at most [`WINDOW`].
    pub(super) const fn count(&self) -> u32 {
        self.total
    }

    /// Returns an upper bound of the time that `percent` percent of the samples do not exceed; none without samples.
    pub(super) fn percentile(&self, percent: u32) -> Option<Duration> {
        let rank = (self.total * percent).div_ceil(100).max(1);
        let mut seen = 0;
        let reaches_rank = |count: &u32| {
            seen += count;
            seen >= rank
        };
        self.counts.iter().position(reaches_rank).map(upper_bound)
    }
}

/// Returns the bucket of a time: each octave is divided into buckets of equal width.
fn bucket(time: Duration) -> usize {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX).max(FIRST_MICROS);
    let octave = (micros / FIRST_MICROS).ilog2();
    let base = FIRST_MICROS << octave;
    let part = (micros - base) / (base / u64::from(BUCKETS_PER_OCTAVE));
    let index = u64::from(octave * BUCKETS_PER_OCTAVE) + part;
    usize::try_from(index).unwrap_or(BUCKETS).min(BUCKETS - 1)
}

fn upper_bound(bucket: usize) -> Duration {
    let index = u64::try_from(bucket + 1).unwrap_or(u64::MAX);
    let (octave, part) = (index / u64::from(BUCKETS_PER_OCTAVE), index % u64::from(BUCKETS_PER_OCTAVE));
    let base = FIRST_MICROS << octave;
    Duration::from_micros(base + part * (base / u64::from(BUCKETS_PER_OCTAVE)))
}
