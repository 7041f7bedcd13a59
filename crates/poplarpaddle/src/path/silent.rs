//! Silent connections: flows whose target answers nothing although its host is up.

use super::engine::record;
use super::{Engine, Outlet, Reason};
use crate::flow::{Entry, Flag, Slot, Stage};
use crate::ownership::Location;
use crate::packet::{Direction, Kind, View};
use crate::time::Time;

impl Engine {
    /// Returns true when the target did not answer the flow before the deadline although its host was up.
    pub(super) fn is_silent(&self, now: Time, location: &Location, entry: &Entry, packet: &View<'_>) -> bool {
        // The answers of targets pass through the owner, so no other balancer can tell that a flow is silent. While
        // views differ, another balancer may forward answers too. Only a retransmission of the first unanswered byte
        // shows that the caller has received none.
        let is_owner = location.owner == Some(self.me);
        let is_due =
            entry.unanswered_since != Time::NEVER && now.reached(entry.unanswered_since + self.timings.answer_timeout);
        let is_retransmission = packet.sequence.wrapping_sub(entry.unanswered_sequence).cast_signed() <= 0;
        is_owner && is_due && is_retransmission && self.has_lost_connection(now, entry)
    }

    /// Returns true when the host was up while the last copy of the flow's payload was sent to it, so that the
    /// connection must be lost rather than the host.
    fn has_lost_connection(&self, now: Time, entry: &Entry) -> bool {
        self.has_answered_others(entry) || self.has_answered_health_checks(now, entry)
    }

    /// Returns true when the host answered health checks before and after the last copy of the flow's payload was sent
    /// to it. For a host without other flows there is no other evidence. A host that stopped at that time would have
    /// been marked down by now.
    fn has_answered_health_checks(&self, now: Time, entry: &Entry) -> bool {
        let was_answering = self.answering_since.get(&entry.target).is_some_and(|since| *since <= entry.last_active);
        was_answering && now.reached(entry.last_active + self.timings.down_detection)
    }

    /// Returns true when the host sent packets of other flows before and after the last copy of the flow's payload was
    /// sent to it. A host that was only paused will still answer the flow; one that answered other flows has lost the
    /// connection.
    fn has_answered_others(&self, entry: &Entry) -> bool {
        entry.has(Flag::Responsive)
            && self.last_received.get(&entry.target).is_some_and(|received| *received > entry.last_active)
    }

    /// Resets a silent flow whose caller has not retransmitted since the deadline passed. Returns true when it did.
    ///
    /// Callers double the time between retransmissions, so the next one may come long after the deadline. The caller
    /// must have retransmitted at least once, because a single copy may have been lost.
    pub(super) fn reset_silent(&mut self, now: Time, slot: Slot, outlet: &mut dyn Outlet) -> bool {
        let Some(entry) = self.table.get(slot).copied() else { return false };
        let is_due =
            entry.unanswered_since != Time::NEVER && now.reached(entry.unanswered_since + self.timings.answer_timeout);
        let is_resettable =
            entry.stage == Stage::Confirmed && entry.has(Flag::Retransmitted) && entry.acknowledged != 0;
        if !is_due || !is_resettable || self.is_shared(now) || !self.has_lost_connection(now, &entry) {
            return false;
        }
        let Ok(location) = self.locate(&entry.flow) else { return false };
        if location.owner != Some(self.me) {
            return false;
        }
        let last = View::new(entry.flow, Direction::FromCaller, Kind::Data, &[]);
        let last = View { sequence: entry.next_sequence, acknowledgement: entry.acknowledged, ..last };
        self.reset_both_ends(now, &location, slot, &entry, &last, outlet);
        true
    }

    /// Removes a silent flow and resets it at its target and its caller.
    pub(super) fn reset_both_ends(
        &mut self,
        now: Time,
        location: &Location,
        slot: Slot,
        entry: &Entry,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        self.remove(now, location.key, slot);
        self.reset_target(location, entry, packet.sequence, outlet);
        self.reset_caller(packet, Reason::Silent, outlet);
        let detail = format!("target {}", entry.target);
        record(now, "flow.silent", entry.flow.to_string(), detail, outlet);
    }
}
