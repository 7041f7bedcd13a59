//! Smoothed estimate of a time and an upper bound that few samples exceed.

use std::time::Duration;

/// Largest sample, in microseconds; longer times are clamped to it.
const MAX_MICROS: u64 = 1_000_000;

/// Smoothed time and mean deviation, in microseconds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Estimate {
    smoothed: u64,
    deviation: u64,
}

impl Estimate {
    /// Adds a sample.
    pub(super) fn sample(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX).clamp(1, MAX_MICROS);
        if self.smoothed == 0 {
            self.smoothed = micros;
            self.deviation = micros / 2;
            return;
        }
        let distance = self.smoothed.abs_diff(micros);
        self.deviation = (3 * self.deviation + distance) / 4;
        self.smoothed = (7 * self.smoothed + micros) / 8;
    }

    /// Returns the smoothed time plus four deviations, as TCP computes its retransmission timeout; none before the
    /// first sample.
    pub(super) fn bound(&self) -> Option<Duration> {
        (self.smoothed > 0).then(|| Duration::from_micros(self.smoothed + 4 * self.deviation))
    }
}
