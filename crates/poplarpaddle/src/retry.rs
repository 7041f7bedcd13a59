//! Budget and backoff of retried openings.
//!
//! ```
//! use poplarpaddle::retry::{Budget, Settings};
//!
//! let mut budget = Budget::new(Settings { reserve: 1, ..Default::default() });
//! assert!(budget.withdraw());
//! assert!(!budget.withdraw());
//! ```
//!
//! The budget is kept per gate and not per flow: when all hosts shed, retries must not multiply the load, whichever
//! flows they belong to. The backoff grows with the failures in a row over all hosts for the same reason, and needs no
//! state per flow.

use std::time::Duration;

/// Tokens are kept in hundredths, so that an opening can add a percentage.
const UNIT: u32 = 100;

/// Largest exponent of the backoff; keeps the shift in range.
const MAX_STEPS: u32 = 10;

/// Settings of retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Retries per 100 openings that started.
    pub percent: u32,
    /// Retries that are allowed before any opening started.
    pub reserve: u32,
    /// Retries that can be saved up for a burst.
    pub burst: u32,
    /// Backoff after the first failure; doubles with each further one without an answer in between.
    pub backoff: Duration,
    /// Longest backoff.
    pub max_backoff: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            percent: 10,
            reserve: 10,
            burst: 50,
            backoff: Duration::from_millis(2),
            max_backoff: Duration::from_millis(500),
        }
    }
}

/// Budget and backoff of one gate.
#[derive(Debug, Clone)]
pub struct Budget {
    settings: Settings,
    hundredths: u32,
    failures: u32,
}

impl Budget {
    /// Returns a budget that holds the reserve.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self { settings, hundredths: settings.reserve.saturating_mul(UNIT), failures: 0 }
    }

    /// Accounts for an opening that started for the first time.
    pub fn deposit(&mut self) {
        let max = self.settings.burst.max(self.settings.reserve).saturating_mul(UNIT);
        self.hundredths = self.hundredths.saturating_add(self.settings.percent).min(max);
    }

    /// Takes one retry out of the budget; false when it is used up.
    pub fn withdraw(&mut self) -> bool {
        let Some(remaining) = self.hundredths.checked_sub(UNIT) else {
            return false;
        };
        self.hundredths = remaining;
        true
    }

    /// Accounts for a shed or unanswered opening.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Accounts for an answer.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Returns how long the next retry waits.
    #[must_use]
    pub fn backoff(&self) -> Duration {
        let steps = self.failures.saturating_sub(1).min(MAX_STEPS);
        self.settings.backoff.saturating_mul(1 << steps).min(self.settings.max_backoff)
    }
}
