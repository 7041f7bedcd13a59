//! Decisions about work that waits for capacity: which class starts next, and how long new work will wait.
//!
//! Work waits in classes, the most urgent first. A class also has a [`Share`] of the starts that several classes
//! compete for, so that a flood of urgent work delays the rest, but does not starve it. What waits, and where it may
//! start, is up to the queue that uses this module: the [gate](crate::admission) of the own data path, or the queue of
//! openings of the [direct](crate::direct) one.
//!
//! ```
//! use poplarpaddle::waiting::{self, Share};
//!
//! let classes = [Share::new(50), Share::new(5)];
//! assert_eq!(waiting::choose(classes.iter().enumerate()), Some(0));
//! ```

mod share;

use std::time::Duration;

pub use self::share::{PORTION_ONE, Share};

/// Returns the class that starts next among those that compete: the one with the most credit if any has enough for a
/// start, otherwise the most urgent one. The contenders are in the order of urgency.
pub fn choose<'a, C: Copy>(contenders: impl Iterator<Item = (C, &'a Share)>) -> Option<C> {
    let mut chosen: Option<(C, &Share)> = None;
    for (class, share) in contenders {
        let is_better = chosen.is_none_or(|(_, best)| share.has_start() && share.credit() > best.credit());
        if is_better {
            chosen = Some((class, share));
        }
    }
    chosen.map(|(class, _)| class)
}

/// Returns how long new work waits for its start behind `ahead` other pieces of work of its class.
///
/// By Little's law, `capacity` pieces of work in progress end once per mean service time. The class gets `portion` of
/// that, in units of `1 /` [`PORTION_ONE`].
#[must_use]
pub fn expected_wait(service_time: Duration, portion: u64, ahead: u64, capacity: u64) -> Duration {
    let per_start = service_time.as_nanos() * u128::from(PORTION_ONE) / u128::from(portion.max(1));
    let wait = per_start.saturating_mul(u128::from(ahead) + 1) / u128::from(capacity.max(1));
    Duration::from_nanos(u64::try_from(wait).unwrap_or(u64::MAX))
}
