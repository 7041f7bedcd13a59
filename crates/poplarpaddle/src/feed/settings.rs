//! Settings of the replication, and the times derived from them.

use std::time::Duration;

use super::Topic;

/// Settings of a [`Feed`](super::Feed).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Time within which a change in the store has to take effect at every member that can reach the store.
    pub bound: Duration,
    /// Collections that the member replicates. The others are neither read nor announced.
    pub topics: &'static [Topic],
}

impl Default for Settings {
    fn default() -> Self {
        // The requirement is that a change takes effect everywhere within 7 s.
        Self { bound: Duration::from_secs(7), topics: &Topic::REQUIRED }
    }
}

impl Settings {
    /// Returns the time for which a watch waits for a change.
    #[must_use]
    pub fn watch_timeout(&self) -> Duration {
        self.bound.mul_f64(0.35)
    }

    /// Returns the time for a peer to answer a pull of snapshots of all collections. At the size that the system is
    /// designed for, with a bound of 7 s, such a pull takes 4.2 s.
    #[must_use]
    pub fn snapshot_timeout(&self) -> Duration {
        self.bound.mul_f64(0.7)
    }

    /// Returns the age of the last confirmation from peers at which a member reads the store itself. `rank` is the
    /// position of the member in the order of identifiers.
    ///
    /// Lower ranks take over first, so that the failure of a reader does not make all members read the store at once.
    /// The highest value leaves 0.15 of the bound for the calls to the store.
    #[must_use]
    pub fn takeover_age(&self, rank: usize) -> Duration {
        match rank {
            0 => Duration::ZERO,
            1 => self.bound.mul_f64(0.55),
            2 => self.bound.mul_f64(0.70),
            _ => self.bound.mul_f64(0.85),
        }
    }
}
