//! Rate-limited log of decisions and events.

use std::collections::BTreeMap;
use std::time::Duration;

use poplarpaddle::direct::{Decision, Verdict};
use poplarpaddle::time::Time;
use slog::{Logger, info};

/// Rate limit of log lines for openings that are placed at a host, in lines per second.
const PLACED_PER_SECOND: u32 = 40;

/// Rate limit of log lines for all other decisions, in lines per second.
const OTHER_PER_SECOND: u32 = 40;

/// Capacity of a token bucket, in seconds at its rate.
const BURST_SECONDS: u32 = 5;

/// Time from the first suppressed line until the number of suppressed lines is logged.
const REPORT_DELAY: Duration = Duration::from_secs(5);

/// Token bucket that limits the rate of one class of log lines. A line costs 1000 millitokens.
#[derive(Debug)]
struct Bucket {
    per_second: u32,
    millitokens: u64,
    refilled: Time,
}

impl Bucket {
    const fn new(per_second: u32) -> Self {
        Self { per_second, millitokens: per_second as u64 * BURST_SECONDS as u64 * 1000, refilled: Time::NEVER }
    }

    /// Refills the bucket up to `now`, then takes the tokens for one line. Returns false if there are too few.
    fn try_acquire(&mut self, now: Time) -> bool {
        let elapsed = now.since(self.refilled.min(now));
        self.refilled = now;
        let capacity = u64::from(self.per_second * BURST_SECONDS) * 1000;
        let gained =
            u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX).saturating_mul(self.per_second.into()) / 1000;
        self.millitokens = self.millitokens.saturating_add(gained).min(capacity);
        let available = self.millitokens >= 1000;
        self.millitokens -= if available { 1000 } else { 0 };
        available
    }
}

/// Writes decisions and events to the log.
#[derive(Debug)]
pub(super) struct Journal {
    logger: Logger,
    placed: Bucket,
    other: Bucket,
    suppressed: BTreeMap<String, u64>,
    next_report: Time,
}

impl Journal {
    pub(super) const fn new(logger: Logger) -> Self {
        Self {
            logger,
            placed: Bucket::new(PLACED_PER_SECOND),
            other: Bucket::new(OTHER_PER_SECOND),
            suppressed: BTreeMap::new(),
            next_report: Time::NEVER,
        }
    }

    /// Logs a decision with the version of the configuration and the age of the state that it is based on.
    pub(super) fn record_decision(&mut self, now: Time, decision: &Decision<'_>, version: u64, age: Duration) {
        let is_placed = decision.verdict == Verdict::Placed;
        let bucket = if is_placed { &mut self.placed } else { &mut self.other };
        if !bucket.try_acquire(now) {
            self.count_suppressed(now, decision.verdict.to_string());
            return;
        }
        info!(self.logger, "decision";
            "flow" => %decision.flow,
            "verdict" => %decision.verdict,
            "reason" => decision.reason.map(|reason| reason.to_string()),
            "host" => decision.host,
            "busy" => decision.busy,
            "unanswered" => decision.unanswered,
            "attempt" => decision.attempt,
            "sequence" => decision.basis.map(|basis| basis.sequence),
            "caller_seen_ms" => decision.basis.map(|basis| millis(now.since(basis.seen))),
            "config" => version,
            "state_age_ms" => millis(age));
    }

    /// Logs a change in the detected state of a member, host or zone.
    pub(super) fn record_event(&self, name: &str, subject: &str, detail: &str) {
        info!(self.logger, "belief"; "event" => name, "subject" => subject, "detail" => detail);
    }

    /// Logs the number of suppressed lines for each verdict if a report is due.
    pub(super) fn report(&mut self, now: Time) {
        if !now.reached(self.next_report) {
            return;
        }
        self.next_report = Time::NEVER;
        for (verdict, count) in std::mem::take(&mut self.suppressed) {
            info!(self.logger, "decisions left out"; "verdict" => verdict, "count" => count);
        }
    }

    /// Returns the time at which the next report is due.
    pub(super) const fn deadline(&self) -> Time {
        self.next_report
    }

    fn count_suppressed(&mut self, now: Time, verdict: String) {
        *self.suppressed.entry(verdict).or_default() += 1;
        if self.next_report == Time::NEVER {
            self.next_report = now + REPORT_DELAY;
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
