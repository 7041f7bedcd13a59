//! Hedging: when a second host gets a copy of an opening that the first one is slow to accept.
//!
//! ```
//! use std::time::Duration;
//! use poplarpaddle::hedge::{Policy, Room, Settings};
//!
//! let mut policy = Policy::new(Settings { percent: 5, ..Default::default() });
//! assert_eq!(policy.delay(), None);
//! for _ in 0..100 {
//!     policy.record_accept(Duration::from_millis(2));
//! }
//! assert!(policy.delay() < Some(Duration::from_millis(6)));
//! assert_eq!(policy.check(Room { free: 30, slots: 40, waiting: 0 }), Ok(()));
//! ```
//!
//! The module decides, and the data path carries the decisions out: a copy of the opening (the SYN of a new flow) goes
//! to a second host, the first host that accepts gets the flow, and the other one is reset. Openings carry no payload,
//! so the other host has run nothing.
//!
//! # Trade-offs
//!
//! A slow host delays only the part of the openings that it gets. As long as that part is below a tenth, the percentile
//! from which the delay follows does not include it, and the hedges go to its openings. When more hosts are slow, the
//! delay grows until hedging ends by itself, since another host would most likely be as slow.

mod times;

use std::time::Duration;

use crate::retry;

use self::times::Times;

/// Percentile of the times to accept that an opening must exceed.
const DELAY_PERCENTILE: u32 = 90;

/// Multiple of the median time that an opening must exceed too. Where times hardly differ, the percentile alone would
/// hedge ordinary openings.
const MEDIAN_FACTOR: u32 = 2;

/// Least percentage of the slots that must be free. With fewer, a second copy competes with other work.
const MIN_FREE_PERCENT: u64 = 25;

/// Settings of a [`Policy`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Hedges allowed per 100 accepted openings; 0 turns hedging off.
    pub percent: u32,
    /// Maximum number of unused hedges that are saved for a burst.
    pub burst: u32,
    /// Least number of accepted openings from which the delay follows.
    pub samples: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self { percent: 0, burst: 10, samples: 50 }
    }
}

impl Settings {
    /// Returns true unless hedging is off.
    #[must_use]
    pub const fn is_enabled(&self) -> bool {
        self.percent > 0
    }
}

/// Load of the hosts that a gate starts work on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Room {
    /// Slots without work.
    pub free: u64,
    /// All slots.
    pub slots: u64,
    /// Pieces of work that wait for a slot.
    pub waiting: usize,
}

impl Room {
    /// Returns true when the hosts have room for redundant work.
    #[must_use]
    pub const fn is_sufficient(&self) -> bool {
        self.waiting == 0 && self.free > 0 && self.free * 100 >= self.slots * MIN_FREE_PERCENT
    }
}

/// Why an opening is not hedged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The hosts are short of free slots.
    NoRoom,
    /// The budget is used up.
    Budget,
}

/// Decides about the hedges of one shard.
#[derive(Debug, Clone)]
pub struct Policy {
    samples: u32,
    times: Times,
    budget: retry::Budget,
}

impl Policy {
    /// Returns a policy without samples and with an empty budget.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let Settings { percent, burst, samples } = settings;
        let budget = retry::Settings { percent, reserve: 0, burst, ..Default::default() };
        Self { samples, times: Times::default(), budget: retry::Budget::new(budget) }
    }

    /// Accounts for an opening that a host accepted after `elapsed`. It earns a part of a hedge.
    pub fn record_accept(&mut self, elapsed: Duration) {
        self.times.add(elapsed);
        self.budget.deposit();
    }

    /// Accounts for a host that accepted an opening after `elapsed`, later than the other host. It earns no part of a
    /// hedge.
    pub fn record_late_accept(&mut self, elapsed: Duration) {
        self.times.add(elapsed);
    }

    /// Returns the time after which an opening without an answer is hedged; none before enough openings were accepted.
    #[must_use]
    pub fn delay(&self) -> Option<Duration> {
        if self.times.count() < self.samples.max(1) {
            return None;
        }
        let usual = self.times.percentile(50)? * MEDIAN_FACTOR;
        Some(self.times.percentile(DELAY_PERCENTILE)?.max(usual))
    }

    /// Takes one hedge out of the budget if the hosts have room for it.
    ///
    /// # Errors
    ///
    /// Returns why the opening must not be hedged; the budget is then unchanged.
    pub fn check(&mut self, room: Room) -> Result<(), Refusal> {
        if !room.is_sufficient() {
            return Err(Refusal::NoRoom);
        }
        if self.budget.withdraw() { Ok(()) } else { Err(Refusal::Budget) }
    }
}
