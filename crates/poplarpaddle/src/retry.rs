//! Budget and backoff for retries, such as openings (the SYNs of new flows) that are sent to another host.
//!
//! ```
//! use poplarpaddle::retry::{Budget, Settings};
//!
//! let mut budget = Budget::new(Settings { reserve: 1, ..Default::default() });
//! assert!(budget.withdraw());
//! assert!(!budget.withdraw());
//! ```
//!
//! The budget is kept per gate and not per flow, because retries must not multiply the load when all hosts shed,
//! whichever flows they belong to. For the same reason, the backoff grows with the consecutive failures over all hosts;
//! it needs no state per flow.

use std::time::Duration;

/// Tokens are stored in hundredths, so that an opening can add a percentage of one retry.
const UNIT: u32 = 100;

/// Maximum exponent of the backoff; keeps the shift in range.
const MAX_STEPS: u32 = 10;

/// Settings of a [`Budget`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Retries earned per 100 openings that started.
    pub percent: u32,
    /// Retries that are allowed before any opening has started.
    pub reserve: u32,
    /// Maximum number of unused retries that are saved for a burst.
    pub burst: u32,
    /// Backoff after the first failure; doubles with each further failure without a success in between.
    pub backoff: Duration,
    /// Maximum backoff.
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

/// Retry budget and backoff, for example of one gate.
#[derive(Debug, Clone)]
pub struct Budget {
    settings: Settings,
    hundredths: u32,
    failures: u32,
}

impl Budget {
    /// Returns a budget that contains the reserve.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self { settings, hundredths: settings.reserve.saturating_mul(UNIT), failures: 0 }
    }

    /// Accounts for the first start of an opening, which earns a part of a retry.
    pub fn deposit(&mut self) {
        let max = self.settings.burst.max(self.settings.reserve).saturating_mul(UNIT);
        self.hundredths = self.hundredths.saturating_add(self.settings.percent).min(max);
    }

    /// Takes one retry out of the budget. Returns false if the budget is exhausted.
    pub fn withdraw(&mut self) -> bool {
        let Some(remaining) = self.hundredths.checked_sub(UNIT) else {
            return false;
        };
        self.hundredths = remaining;
        true
    }

    /// Accounts for a failure, such as a shed or unanswered opening.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Accounts for a success, such as an answer, which resets the backoff.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Returns the time to wait before the next retry.
    #[must_use]
    pub fn backoff(&self) -> Duration {
        let steps = self.failures.saturating_sub(1).min(MAX_STEPS);
        self.settings.backoff.saturating_mul(1 << steps).min(self.settings.max_backoff)
    }
}
