//! Expiry of entries and of work, and room for new entries.

use std::time::Duration;

use super::{Engine, Outlet};
use crate::admission::End;
use crate::flow::{Entry, Flag, Slot, Stage};
use crate::time::Time;

/// Parts of the table; one is swept at a time, so that a pass does not delay packets.
const PARTS: u32 = 16;

/// Time between two parts. A pass takes a second, so deadlines of entries are that much late at most.
const INTERVAL: Duration = Duration::from_micros(62_500);

/// The same while another balancer serves flows of this one too; work whose end is not seen fills a gate soon.
const SHARED_INTERVAL: Duration = Duration::from_millis(8);

/// Entries looked at to find the one to evict. More would find an older one and cost more for each new flow.
const EVICTION_SAMPLE: u32 = 32;

/// Where the sweep is.
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
    /// Sweeps the next part of the table when it is due.
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

    fn work_deadline(&self, now: Time, entry: &Entry) -> Time {
        let has_payload =
            !entry.has(Flag::OpeningSeen) || entry.next_sequence != entry.opening_sequence.wrapping_add(1);
        let is_open = entry.stage.is_bound() && !has_payload;
        let limit = match entry.has(Flag::Adopted) {
            _ if self.is_shared(now) && (has_payload || entry.has(Flag::Adopted)) => self.timings.shared_work_timeout,
            true => self.timings.adopted_work_timeout,
            false if is_open => self.timings.first_payload_timeout,
            false => self.timings.work_timeout,
        };
        // Payload without any sign of its target is not worked on. Its caller may repeat it by way of another owner, so
        // that this one learns no more of it.
        let unacknowledged = if entry.unanswered_since == Time::NEVER {
            Time::NEVER
        } else {
            entry.unanswered_since + self.timings.acknowledgement_timeout
        };
        // A long request loses its place too early this way, which only lets its host take more for a while.
        let may_have_ended = if entry.started < self.members_changed_at {
            self.members_changed_at + self.timings.adopted_work_timeout
        } else {
            Time::NEVER
        };
        (entry.started + limit).min(unacknowledged).min(may_have_ended)
    }

    /// Makes room for one entry; false when none of the sampled entries can go.
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

    /// Returns the entry to evict among the next few: finished ones first, then the longest idle.
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
