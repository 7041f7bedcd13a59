//! Settings of a publish.

use std::time::Duration;

use crate::retry;

/// Settings of one publish.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of the fleet.
    pub fleet: String,
    /// Seed of the random generator for the publish id, the retry jitter and the seed of a new fleet. Callers obtain it
    /// from the operating system; two publishers with the same seed could not tell their writes apart.
    pub seed: u64,
    /// Timeout of the whole publish.
    pub timeout: Duration,
    /// Timeout of one call.
    pub call_timeout: Duration,
    /// Time for which a released endpoint stays reserved for its service.
    pub release_hold: Duration,
    /// Retry budget of reads and writes. It consists of the reserve only; successful calls add nothing to it.
    pub retry: retry::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        let backoff = Duration::from_millis(50);
        let max_backoff = Duration::from_secs(2);
        Self {
            fleet: String::new(),
            seed: 0,
            timeout: Duration::from_secs(20),
            call_timeout: Duration::from_secs(5),
            release_hold: Duration::from_mins(1),
            retry: retry::Settings { percent: 0, reserve: 30, burst: 30, backoff, max_backoff },
        }
    }
}
