//! Adaptive concurrency limit: how much work may be in flight on one host.
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
//! A host runs one request per slot. The limit starts at the number of slots plus a small backlog, so that a slot that
//! becomes free finds its next work already at the host instead of one network trip away. An opening (the SYN of a new
//! flow) that the host sheds or does not answer halves the limit; a timely answer adds a fraction of one to it. The
//! busy slots in load reports are ignored: the reports lag, and a host that reports idle slots while it sheds would
//! attract all work.

use std::time::Duration;

use crate::time::Time;

/// Limits are stored in thousandths, so that an answer can raise them by less than one.
const UNIT: u32 = 1_000;

/// Number of failures without an accepted opening in between after which openings pause. A single failure may come from
/// a short burst.
const PAUSE_AFTER: u32 = 2;

/// Maximum exponent of the pause; keeps the shift in range.
const MAX_PAUSE_STEPS: u32 = 10;

/// Settings of the limit of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Work beyond the slots that may be in transit or queued at the host.
    ///
    /// With 1, slots were busy for only 0.89 to 0.91 of the time in a flood of openings, because an opening counts
    /// against the limit during the handshake. With 3, the gain over 2 was below 0.02, and more work waits at the host,
    /// where it is not ordered by priority.
    pub backlog: u16,
    /// Minimum time between two decreases. Openings of one burst that are shed together count as one failure.
    pub decrease_interval: Duration,
    /// Pause of openings after consecutive failures; doubles with each further failure.
    pub pause: Duration,
    /// Maximum pause.
    pub max_pause: Duration,
    /// Time after a timely answer during which a load report with the state cold is ignored.
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

/// Concurrency limit of one host.
#[derive(Debug, Clone)]
pub struct Limit {
    settings: Settings,
    slots: u16,
    /// The limit, in thousandths.
    thousandths: u32,
    /// Number of failures since the last accepted opening.
    failures: u32,
    next_decrease: Time,
    paused_until: Time,
    /// Time until which the host is not treated as cold, whatever its load reports say.
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

    /// Returns the amount of work that may be in flight, at least 1.
    #[must_use]
    pub const fn allowed(&self) -> u32 {
        self.thousandths / UNIT
    }

    /// Returns the number of requests that the host runs at the same time.
    #[must_use]
    pub fn slots(&self) -> u32 {
        u32::from(self.slots)
    }

    /// Returns the time until which no openings may start on the host.
    #[must_use]
    pub const fn paused_until(&self) -> Time {
        self.paused_until
    }

    /// Changes the number of slots. The limit keeps its ratio to its maximum, which is the slots plus the backlog.
    pub fn set_slots(&mut self, slots: u16) {
        if slots == self.slots {
            return;
        }
        let before = self.ceiling();
        self.slots = slots;
        let scaled = u64::from(self.thousandths) * u64::from(self.ceiling()) / u64::from(before);
        self.thousandths = u32::try_from(scaled).unwrap_or(u32::MAX).clamp(UNIT, self.ceiling());
    }

    /// Lowers the limit to 1, because the host is reported or assumed to be cold. Timely answers raise it again. Has no
    /// effect if the host recently answered in time.
    pub fn start_warm_up(&mut self, now: Time) {
        if now.reached(self.trusted_until) {
            self.thousandths = UNIT;
        }
    }

    /// Accounts for a timely answer. The limit grows by one once as many answers have arrived as it allows in flight.
    pub fn increase(&mut self, now: Time) {
        self.trusted_until = now + self.settings.trust;
        let step = UNIT / self.allowed();
        self.thousandths = self.thousandths.saturating_add(step).min(self.ceiling());
    }

    /// Accounts for an opening that starts. While the host keeps failing, one opening per pause probes it.
    pub fn record_start(&mut self, now: Time) {
        if self.failures >= PAUSE_AFTER {
            self.paused_until = now + self.pause();
        }
    }

    /// Accounts for an accepted opening, which ends a pause.
    ///
    /// Answers do not end a pause, because a host that sheds openings still answers on its established flows.
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
        // Without a pause, a host that sheds everything would always have capacity and be the least loaded candidate
        // of every opening.
        if self.failures >= PAUSE_AFTER {
            self.paused_until = now + self.pause();
        }
    }

    fn pause(&self) -> Duration {
        let steps = self.failures.saturating_sub(PAUSE_AFTER).min(MAX_PAUSE_STEPS);
        self.settings.pause.saturating_mul(1 << steps).min(self.settings.max_pause)
    }

    /// Returns the maximum of the limit, in thousandths.
    fn ceiling(&self) -> u32 {
        let total = u32::from(self.slots) + u32::from(self.settings.backlog);
        total.max(1) * UNIT
    }
}
