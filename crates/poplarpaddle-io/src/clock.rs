//! Clock of the process.
//!
//! ```
//! use poplarpaddle_io::clock::Clock;
//!
//! let clock = Clock::new();
//! let first = clock.now();
//! assert!(clock.now() >= first);
//! ```

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime};

use poplarpaddle::time::Time;

/// Readings of the wall clock and the monotonic clock, taken together once per process.
static ANCHOR: OnceLock<Anchor> = OnceLock::new();

#[derive(Debug, Clone, Copy)]
struct Anchor {
    time: Time,
    instant: Instant,
}

/// Source of [`Time`] that never goes backwards within the process. All clocks of a process show the same time.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    anchor: Anchor,
}

impl Clock {
    /// Returns a clock. The first call in a process reads the wall clock.
    #[must_use]
    pub fn new() -> Self {
        let anchor = *ANCHOR.get_or_init(|| Anchor { time: wall_clock(), instant: Instant::now() });
        Self { anchor }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.anchor.time + self.anchor.instant.elapsed()
    }

    /// Returns the time left until `deadline`, or zero if it has passed.
    #[must_use]
    pub fn until(&self, deadline: Time) -> Duration {
        deadline.since(self.now())
    }

    /// Returns the instant of `deadline` for timers, at most one day from now.
    #[must_use]
    pub fn instant(&self, deadline: Time) -> Instant {
        const MAX_DELAY: Duration = Duration::from_hours(24);
        Instant::now() + self.until(deadline).min(MAX_DELAY)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

fn wall_clock() -> Time {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    Time::from_nanos(0) + since
}
