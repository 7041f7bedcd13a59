//! Estimates from samples: a smoothed time with an upper bound that few samples exceed, and a rate.

use std::time::Duration;

use crate::time::Time;

/// Time over which a rate is measured.
const RATE_WINDOW: Duration = Duration::from_secs(1);

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

    /// Returns the smoothed time; none before the first sample.
    pub(super) fn mean(&self) -> Option<Duration> {
        (self.smoothed > 0).then(|| Duration::from_micros(self.smoothed))
    }

    /// Returns the smoothed time plus four deviations, as TCP computes its retransmission timeout; none before the
    /// first sample.
    pub(super) fn bound(&self) -> Option<Duration> {
        (self.smoothed > 0).then(|| Duration::from_micros(self.smoothed + 4 * self.deviation))
    }
}

/// Rate of events, measured over the last complete window.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Rate {
    /// Number of events in the current window.
    count: u32,
    window_end: Time,
    per_second: u32,
}

impl Rate {
    /// Counts an event.
    pub(super) const fn count(&mut self) {
        self.count = self.count.saturating_add(1);
    }

    /// Ends the window if it is over. The caller calls this more often than a window takes.
    pub(super) fn measure(&mut self, now: Time) {
        if now.reached(self.window_end) {
            self.per_second = std::mem::take(&mut self.count);
            self.window_end = now + RATE_WINDOW;
        }
    }

    /// Returns the number of events per second; 0 before the end of the first window.
    pub(super) const fn per_second(&self) -> u32 {
        self.per_second
    }
}
