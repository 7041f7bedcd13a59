//! Reservations: an accepted opening keeps its slot at the host for the first request of its caller.
//!
//! A reservation lasts about as long as callers usually take from the opening to the first payload, so that a caller that
//! sends nothing occupies the slot only briefly. Payload that arrives later has to be admitted by the gate, as on any idle
//! flow.

use std::collections::VecDeque;
use std::time::Duration;

use super::Engine;
use crate::admission::End;
use crate::flow::{Entry, Flag, Slot};
use crate::packet::Flow;
use crate::time::Time;

/// Shortest reservation. On the way to the owner, a caller's payload may overtake the last packet of its handshake by this
/// much.
const MIN_RESERVATION: Duration = Duration::from_millis(20);

/// Mean and deviation before the first sample. They cover callers on the same continent.
const INITIAL_ESTIMATE: Estimate = Estimate { mean: Duration::from_millis(50), deviation: Duration::from_millis(25) };

/// A running estimate of mean and deviation, with the weights that TCP uses for round-trip times.
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

/// A flow whose opening was accepted and whose caller had not sent payload when the reservation was made.
#[derive(Debug, Clone, Copy)]
struct Reservation {
    /// Position of the flow in the table, not a slot of the host.
    slot: Slot,
    flow: Flow,
    /// Time at which the work of the opening started.
    started: Time,
}

/// The reservations of an engine, oldest first.
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
    /// Returns the time at which the reservation of an opening that started at `started` expires, after `limit` at the
    /// latest.
    fn expiry(&self, started: Time, limit: Duration) -> Time {
        started + self.estimate.allowance().max(MIN_RESERVATION).min(limit)
    }

    pub(super) fn deadline(&self, limit: Duration) -> Time {
        self.queue.front().map_or(Time::NEVER, |first| self.expiry(first.started, limit))
    }
}

impl Engine {
    /// Reserves the host's slot for the caller of an opening that the target accepted.
    pub(super) fn reserve(&mut self, slot: Slot) {
        let Some(entry) = self.table.get(slot).filter(|entry| entry.has(Flag::Working)) else { return };
        let Entry { flow, started, .. } = *entry;
        self.reservations.queue.push_back(Reservation { slot, flow, started });
    }

    /// Adds the time that the caller took to send its first payload to the estimate.
    pub(super) fn sample_first_payload_delay(&mut self, now: Time, slot: Slot) {
        let Some(entry) = self.table.get(slot).filter(|entry| awaits_first_payload(entry)) else { return };
        let delay = now.since(entry.started);
        // A flow that stays idle after its opening is no sample of the usual delay.
        if delay <= self.timings.first_payload_timeout {
            self.reservations.estimate.add(delay);
        }
    }

    /// Frees the hosts' slots that are reserved for callers that sent no payload in time.
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

/// Returns true for a flow that was opened through this balancer and whose caller has sent no payload.
fn awaits_first_payload(entry: &Entry) -> bool {
    entry.stage.is_bound()
        && entry.has(Flag::OpeningSeen)
        && entry.next_sequence == entry.opening_sequence.wrapping_add(1)
}
