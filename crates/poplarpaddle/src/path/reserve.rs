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
const SHORTEST: Duration = Duration::from_millis(20);

/// Mean and deviation before the first samples. They cover callers on the same continent.
const FIRST: Estimate = Estimate { mean: Duration::from_millis(50), deviation: Duration::from_millis(25) };

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
        Self { estimate: FIRST, queue: VecDeque::new() }
    }
}

impl Reservations {
    /// Returns when the place of an opening that started at this time is given up.
    fn until(&self, started: Time, longest: Duration) -> Time {
        started + self.estimate.allowance().max(SHORTEST).min(longest)
    }

    pub(super) fn deadline(&self, longest: Duration) -> Time {
        self.queue.front().map_or(Time::NEVER, |first| self.until(first.started, longest))
    }
}

impl Engine {
    /// Keeps the place of an opening that its target accepted.
    pub(super) fn reserve(&mut self, slot: Slot) {
        let Some(entry) = self.table.at(slot).filter(|entry| entry.has(Flag::Working)) else { return };
        let Entry { flow, started, .. } = *entry;
        self.reservations.queue.push_back(Reservation { slot, flow, started });
    }

    /// Notes how long a caller took to send its first payload.
    pub(super) fn note_first_payload(&mut self, now: Time, slot: Slot) {
        let Some(entry) = self.table.at(slot).filter(|entry| is_without_payload(entry)) else { return };
        let took = now.since(entry.started);
        // A flow that stays idle after its opening says nothing about the usual callers.
        if took <= self.timings.first_payload {
            self.reservations.estimate.add(took);
        }
    }

    /// Gives up the places of openings whose callers sent nothing in time.
    pub(super) fn give_up_places(&mut self, now: Time) {
        while now.reached(self.reservations.deadline(self.timings.first_payload)) {
            let Some(Reservation { slot, flow, started }) = self.reservations.queue.pop_front() else { return };
            let is_same = |entry: &Entry| entry.flow == flow && entry.started == started && is_without_payload(entry);
            if self.table.at(slot).is_some_and(is_same) {
                let key = self.locate(&flow).map_or(0, |place| place.key);
                self.finish(now, key, slot, End::Closed);
            }
        }
    }
}

/// Returns true for a flow that opened here and whose caller has sent no payload.
fn is_without_payload(entry: &Entry) -> bool {
    entry.stage.is_bound() && entry.has(Flag::Opened) && entry.next == entry.opening.wrapping_add(1)
}
