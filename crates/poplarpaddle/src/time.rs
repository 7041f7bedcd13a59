//! Points in time.
//!
//! ```
//! use std::time::Duration;
//! use poplarpaddle::time::Time;
//!
//! let start = Time::from_millis(10);
//! let deadline = start + Duration::from_millis(5);
//! assert!(!start.reached(deadline));
//! assert!(deadline.reached(deadline));
//! ```
//!
//! State stores deadlines as [`Time`] and not as durations, so that checking a deadline is one comparison.

use std::ops::Add;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Nanoseconds since the Unix epoch, monotonic within one process.
///
/// A process reads the wall clock once at its start and adds the progress of its monotonic clock. Time therefore never
/// goes backwards within a process, and times of different processes can be ordered on one timeline.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize, derive_more::Display,
)]
#[display("{_0}ns")]
pub struct Time(u64);

impl Time {
    /// The maximum time; stands for "no deadline".
    pub const NEVER: Self = Self(u64::MAX);

    /// Returns the time `nanos` nanoseconds after the Unix epoch.
    #[must_use]
    pub const fn from_nanos(nanos: u64) -> Self {
        Self(nanos)
    }

    /// Returns the time `millis` milliseconds after the Unix epoch.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000_000))
    }

    /// Returns the number of nanoseconds since the Unix epoch.
    #[must_use]
    pub const fn as_nanos(self) -> u64 {
        self.0
    }

    /// Returns the number of whole milliseconds since the Unix epoch.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000_000
    }

    /// Returns true if this time is at or after `deadline`.
    #[must_use]
    pub const fn reached(self, deadline: Self) -> bool {
        self.0 >= deadline.0
    }

    /// Returns the duration since `earlier`, or zero if `earlier` is later than this time.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let nanos = u64::try_from(rhs.as_nanos()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(nanos))
    }
}
