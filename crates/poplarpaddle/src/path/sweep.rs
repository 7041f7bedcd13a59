//! Expiry of entries and of work, and eviction of entries from a full table.

use std::time::Duration;

use super::{Engine, Outlet};
use crate::admission::End;
use crate::flow::{Entry, Flag, Slot, Stage};
use crate::time::Time;

/// Number of parts of the table. One part is swept at a time, so that sweeping does not delay packets.
const PARTS: u32 = 16;

/// Time between the sweeps of two parts. A sweep of the whole table takes one second, so entries expire at most that much
/// late.
const INTERVAL: Duration = Duration::from_micros(62_500);

/// Time between the sweeps of two parts while another balancer serves flows of this one too. It is shorter because a gate
/// fills quickly with work whose end is not seen.
const SHARED_INTERVAL: Duration = Duration::from_millis(8);

/// Number of entries examined to find the one to evict. A larger sample would find an older entry but cost more for each
/// new flow.
const EVICTION_SAMPLE: u32 = 32;

/// Progress of the sweep through the table and of the search for entries to evict.
#[derive(Debug, Default)]
pub(super) struct Sweep {
    deadline: Time,
    part: u32,
    eviction_cursor: u32,
}

impl Sweep {
    pub(super) const fn deadline(&self) -> Time {
        self.deadline
    }
}

impl Engine {
    /// Sweeps the next part of the table if it is due.
    pub(super) fn sweep(&mut self, now: Time, outlet: &mut dyn Outlet) {
        if self.table.is_empty() || !now.reached(self.sweep.deadline) {
            return;
        }
        let size = self.table.slots().div_ceil(PARTS);
        let first = self.sweep.part * size;
        for slot in (first..first + size).map(Slot) {
            if !self.reset_silent(now, slot, outlet) {
                self.expire_entry(now, slot);
            }
        }
        self.sweep.part = (self.sweep.part + 1) % PARTS;
        self.sweep.deadline = now + if self.is_shared(now) { SHARED_INTERVAL } else { INTERVAL };
    }

    /// Removes an entry that expired, or ends its work if only that is overdue.
    fn expire_entry(&mut self, now: Time, slot: Slot) {
        let Some(entry) = self.table.get(slot) else { return };
        if entry.has(Flag::Held) {
            return;
        }
        let is_expired = now.reached(entry.last_active + self.retention(entry));
        let is_unanswered = entry.stage == Stage::Pending && !self.is_shared(now);
        let end = if is_unanswered { End::Unanswered } else { End::Closed };
        let is_work_overdue = entry.has(Flag::Working) && now.reached(self.work_deadline(now, entry));
        if !is_expired && !is_work_overdue {
            return;
        }
        let key = self.locate(&entry.flow).map_or(0, |location| location.key);
        self.finish(now, key, slot, end);
        if is_expired {
            self.remove(now, key, slot);
        }
    }

    /// Returns how long an entry is kept without packets.
    fn retention(&self, entry: &Entry) -> Duration {
        match entry.stage {
            _ if entry.is_finished() => self.timings.closed_retention,
            Stage::Queued | Stage::Pending | Stage::Probing => self.timings.opening_budget,
            Stage::Accepted | Stage::Learned | Stage::Relayed | Stage::RelayFailed => self.timings.unconfirmed_timeout,
            Stage::Confirmed => self.timings.idle_timeout,
        }
    }

    /// Returns true while another balancer serves flows of this one too.
    pub(super) fn is_shared(&self, now: Time) -> bool {
        !now.reached(self.shared_until)
    }

    /// Returns the time at which the work of an entry ends if the end of its answer is not seen.
    fn work_deadline(&self, now: Time, entry: &Entry) -> Time {
        let has_payload =
            !entry.has(Flag::OpeningSeen) || entry.next_sequence != entry.opening_sequence.wrapping_add(1);
        let awaits_payload = entry.stage.is_bound() && !has_payload;
        let limit = match entry.has(Flag::Adopted) {
            _ if self.is_shared(now) && (has_payload || entry.has(Flag::Adopted)) => self.timings.shared_work_timeout,
            true => self.timings.adopted_work_timeout,
            false if awaits_payload => self.timings.first_payload_timeout,
            false => self.timings.work_timeout,
        };
        // A target that acknowledges none of the payload is not working on it. The caller may retransmit it through another
        // owner, in which case this balancer sees no more packets of it.
        let unacknowledged = if entry.unanswered_since == Time::NEVER {
            Time::NEVER
        } else {
            entry.unanswered_since + self.timings.acknowledgement_timeout
        };
        // The answer to work that started before a change of the members may have gone to another owner. Ending the work
        // frees the slot of a long request too early, which only lets its host start more work for a while.
        let may_have_ended = if entry.started < self.members_changed_at {
            self.members_changed_at + self.timings.adopted_work_timeout
        } else {
            Time::NEVER
        };
        (entry.started + limit).min(unacknowledged).min(may_have_ended)
    }

    /// Makes sure that the table can take one more entry, evicting one if necessary. Returns false when none of the sampled
    /// entries can be evicted.
    pub(super) fn ensure_capacity(&mut self, now: Time) -> bool {
        if !self.table.is_full() {
            return true;
        }
        let Some(slot) = self.victim() else { return false };
        let flow = self.table.get(slot).map(|entry| entry.flow);
        let key = flow.and_then(|flow| self.locate(&flow).ok()).map_or(0, |location| location.key);
        self.counters.evicted += 1;
        self.remove(now, key, slot);
        true
    }

    /// Returns the entry to evict among the next few: a finished one first, otherwise the one that was idle the longest.
    fn victim(&mut self) -> Option<Slot> {
        let slots = self.table.slots();
        let mut best: Option<(bool, Time, Slot)> = None;
        for _ in 0..EVICTION_SAMPLE.min(slots) {
            let slot = Slot(self.sweep.eviction_cursor % slots);
            self.sweep.eviction_cursor = slot.0 + 1;
            let Some(entry) = self.table.get(slot).filter(|entry| !entry.has(Flag::Held)) else { continue };
            let rank = (!entry.is_finished(), entry.last_active, slot);
            best = Some(best.map_or(rank, |best| best.min(rank)));
        }
        best.map(|(_, _, slot)| slot)
    }
}
