//! Adaptive limit of the work in flight on one host.
//!
//! ```
//! use poplarpaddle::limit::{Limit, Settings};
//! use poplarpaddle::time::Time;
//!
//! let mut limit = Limit::new(Settings::default(), 3);
//! assert_eq!(limit.allowed(), 5);
//! limit.decrease(Time::from_millis(1));
//! assert_eq!(limit.allowed(), 2);
//! ```
//!
//! The limit starts at the slots of the host plus a small backlog, so that a slot that becomes free finds its next work
//! at the host instead of one network trip away. A shed or unanswered opening halves it, a timely answer adds a part of
//! one. Load reports never enter: they lag, and a host that reports idle slots while it sheds would attract all work.

use std::time::Duration;

use crate::time::Time;

/// Limits are kept in thousandths, so that an answer can raise them by less than one.
const UNIT: u32 = 1_000;

/// Failures without an accepted opening after which openings pause. The first one may be a short burst.
const PAUSE_AFTER: u32 = 2;

/// Largest exponent of the pause; keeps the shift in range.
const MAX_PAUSE_STEPS: u32 = 10;

/// Settings of the limit of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Work beyond the slots that may be on its way or wait at the host itself.
    ///
    /// With 1, slots were busy for only 0.89 to 0.91 of the time in a flood of openings, because an opening holds its
    /// place during the handshake. With 3 the gain over 2 was below 0.02 and more work waits where it has no order.
    pub backlog: u16,
    /// Shortest time between two cuts. Openings of one burst that are shed together count as one signal.
    pub decrease_interval: Duration,
    /// Pause of openings after failures in a row; doubles with each further one.
    pub pause: Duration,
    /// Longest pause.
    pub max_pause: Duration,
    /// How long a timely answer outweighs a report that says cold.
    pub trust: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            backlog: 2,
            decrease_interval: Duration::from_millis(20),
            pause: Duration::from_millis(100),
            max_pause: Duration::from_secs(5),
            trust: Duration::from_secs(5),
        }
    }
}

/// Limit of one host.
#[derive(Debug, Clone)]
pub struct Limit {
    settings: Settings,
    slots: u16,
    thousandths: u32,
    failures: u32,
    next_decrease: Time,
    paused_until: Time,
    trusted_until: Time,
}

impl Limit {
    /// Returns the limit of a warm host with `slots` slots.
    #[must_use]
    pub fn new(settings: Settings, slots: u16) -> Self {
        let mut limit = Self {
            settings,
            slots,
            thousandths: UNIT,
            failures: 0,
            next_decrease: Time::default(),
            paused_until: Time::default(),
            trusted_until: Time::default(),
        };
        limit.thousandths = limit.ceiling();
        limit
    }

    /// Returns how much work may be in flight, at least 1.
    #[must_use]
    pub const fn allowed(&self) -> u32 {
        self.thousandths / UNIT
    }

    /// Returns the time before which the host takes no openings.
    #[must_use]
    pub const fn paused_until(&self) -> Time {
        self.paused_until
    }

    /// Changes the slots. The limit keeps its distance to the ceiling in proportion.
    pub fn set_slots(&mut self, slots: u16) {
        if slots == self.slots {
            return;
        }
        let before = self.ceiling();
        self.slots = slots;
        let scaled = u64::from(self.thousandths) * u64::from(self.ceiling()) / u64::from(before);
        self.thousandths = u32::try_from(scaled).unwrap_or(u32::MAX).clamp(UNIT, self.ceiling());
    }

    /// Starts the warm-up because the host is said to be cold, unless it answered in time a moment ago.
    pub fn start_warm_up(&mut self, now: Time) {
        if now.reached(self.trusted_until) {
            self.thousandths = UNIT;
        }
    }

    /// Accounts for an answer in time: one more piece of work for each round of answers.
    pub fn increase(&mut self, now: Time) {
        self.trusted_until = now + self.settings.trust;
        let step = UNIT / self.allowed();
        self.thousandths = self.thousandths.saturating_add(step).min(self.ceiling());
    }

    /// Accounts for an opening that starts. While the host fails, one opening per pause tries it.
    pub fn record_start(&mut self, now: Time) {
        if self.failures >= PAUSE_AFTER {
            self.paused_until = now + self.pause();
        }
    }

    /// Accounts for an accepted opening, which ends a pause.
    ///
    /// Answers do not end it: a host that sheds openings goes on answering its established flows.
    pub const fn record_accept(&mut self) {
        self.failures = 0;
        self.paused_until = Time::from_nanos(0);
    }

    /// Accounts for a shed or unanswered opening.
    pub fn decrease(&mut self, now: Time) {
        if !now.reached(self.next_decrease) {
            return;
        }
        self.next_decrease = now + self.settings.decrease_interval;
        self.thousandths = (self.thousandths / 2).max(UNIT);
        self.failures = self.failures.saturating_add(1);
        // A host that sheds everything always has room, so the least-loaded choice would send every opening there first.
        if self.failures >= PAUSE_AFTER {
            self.paused_until = now + self.pause();
        }
    }

    fn pause(&self) -> Duration {
        let steps = self.failures.saturating_sub(PAUSE_AFTER).min(MAX_PAUSE_STEPS);
        self.settings.pause.saturating_mul(1 << steps).min(self.settings.max_pause)
    }

    fn ceiling(&self) -> u32 {
        let total = u32::from(self.slots) + u32::from(self.settings.backlog);
        total.max(1) * UNIT
    }
}
