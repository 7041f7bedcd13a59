//! Places that accepted openings keep for the first request of their callers.
//!
//! A place is kept about as long as callers usually take from opening to first payload, so that a caller that sends
//! nothing costs its host little. Payload that comes later asks the gate like any other on an idle flow.

use std::collections::VecDeque;
use std::time::Duration;

use super::Engine;
use crate::admission::End;
use crate::flow::{Entry, Flag, Slot};
use crate::packet::Flow;
use crate::time::Time;

/// Shortest time that a place is kept. Payload may overtake the acknowledgement by this much on its way to the owner.
const MIN_RESERVATION: Duration = Duration::from_millis(20);

/// Mean and deviation before the first samples. They cover callers on the same continent.
const INITIAL_ESTIMATE: Estimate = Estimate { mean: Duration::from_millis(50), deviation: Duration::from_millis(25) };

/// A running estimate by the weights that TCP uses for its round trips.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    mean: Duration,
    deviation: Duration,
}

impl Estimate {
    fn add(&mut self, sample: Duration) {
        self.deviation = (self.deviation * 3 + sample.abs_diff(self.mean)) / 4;
        self.mean = (self.mean * 7 + sample) / 8;
    }

    fn allowance(&self) -> Duration {
        self.mean + self.deviation * 4
    }
}

/// A flow that opened and whose caller has not sent payload yet, as far as known.
#[derive(Debug, Clone, Copy)]
struct Reservation {
    slot: Slot,
    flow: Flow,
    started: Time,
}

/// Reservations of an engine, the oldest first.
#[derive(Debug)]
pub(super) struct Reservations {
    estimate: Estimate,
    queue: VecDeque<Reservation>,
}

impl Default for Reservations {
    fn default() -> Self {
        Self { estimate: INITIAL_ESTIMATE, queue: VecDeque::new() }
    }
}

impl Reservations {
    /// Returns when the place of an opening that started at this time is given up.
    fn expiry(&self, started: Time, limit: Duration) -> Time {
        started + self.estimate.allowance().max(MIN_RESERVATION).min(limit)
    }

    pub(super) fn deadline(&self, limit: Duration) -> Time {
        self.queue.front().map_or(Time::NEVER, |first| self.expiry(first.started, limit))
    }
}

impl Engine {
    /// Keeps the place of an opening that its target accepted.
    pub(super) fn reserve(&mut self, slot: Slot) {
        let Some(entry) = self.table.get(slot).filter(|entry| entry.has(Flag::Working)) else { return };
        let Entry { flow, started, .. } = *entry;
        self.reservations.queue.push_back(Reservation { slot, flow, started });
    }

    /// Notes how long a caller took to send its first payload.
    pub(super) fn sample_first_payload_delay(&mut self, now: Time, slot: Slot) {
        let Some(entry) = self.table.get(slot).filter(|entry| awaits_first_payload(entry)) else { return };
        let delay = now.since(entry.started);
        // A flow that stays idle after its opening says nothing about the usual callers.
        if delay <= self.timings.first_payload_timeout {
            self.reservations.estimate.add(delay);
        }
    }

    /// Gives up the places of openings whose callers sent nothing in time.
    pub(super) fn expire_reservations(&mut self, now: Time) {
        while now.reached(self.reservations.deadline(self.timings.first_payload_timeout)) {
            let Some(Reservation { slot, flow, started }) = self.reservations.queue.pop_front() else { return };
            let is_same = |entry: &Entry| entry.flow == flow && entry.started == started && awaits_first_payload(entry);
            if self.table.get(slot).is_some_and(is_same) {
                let key = self.locate(&flow).map_or(0, |location| location.key);
                self.finish(now, key, slot, End::Closed);
            }
        }
    }
}

/// Returns true for a flow that opened here and whose caller has sent no payload.
fn awaits_first_payload(entry: &Entry) -> bool {
    entry.stage.is_bound()
        && entry.has(Flag::OpeningSeen)
        && entry.next_sequence == entry.opening_sequence.wrapping_add(1)
}
