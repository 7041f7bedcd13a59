//! Time in microseconds since the Unix epoch, monotonic within one process.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Microseconds in a millisecond.
pub const MILLISECOND: u64 = 1_000;
/// Microseconds in a second.
pub const SECOND: u64 = 1_000_000;

struct Start {
    wall: Duration,
    monotonic: Instant,
}

static START: OnceLock<Start> = OnceLock::new();

/// Returns the current time in microseconds since the Unix epoch.
///
/// The wall clock is read only once, so stepping it does not move the returned time backwards.
#[must_use]
pub fn now() -> u64 {
    let start = START.get_or_init(|| Start {
        wall: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
        monotonic: Instant::now(),
    });
    u64::try_from((start.wall + start.monotonic.elapsed()).as_micros()).unwrap_or(u64::MAX)
}

/// Returns the time from `now` until `deadline`, or zero if `deadline` has passed.
#[must_use]
pub const fn until(now: u64, deadline: u64) -> Duration {
    Duration::from_micros(deadline.saturating_sub(now))
}
