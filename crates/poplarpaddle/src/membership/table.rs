//! The member table and the changes of its records.

use std::time::Duration;

use super::{Membership, Outbound, millis};
use crate::path::MemberId;
use crate::time::Time;
use crate::wire::{Gossip, Record, State};

/// Table entry of another member.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) record: Record,
    /// Time at which a suspected member or a leaving one that did not answer a ping is declared dead, or at which a dead
    /// one is removed; otherwise [`Time::NEVER`].
    pub(super) deadline: Time,
    /// Time of the last change of the record or restart of its deadline.
    since: Time,
    /// True once the member has announced that it leaves.
    left: bool,
}

impl Entry {
    /// Restarts the time after which the member is declared dead, if it is running.
    pub(super) fn restart_deadline(&mut self, now: Time, time: Duration) {
        if self.record.state != State::Dead && self.deadline != Time::NEVER {
            self.deadline = now + time;
            self.since = now;
        }
    }

    /// Handles a message from the member. A suspicion remains until the member refutes it, but its deadline restarts.
    pub(super) fn record_contact(&mut self, now: Time, suspect: Duration) {
        match self.record.state {
            State::Suspect => self.restart_deadline(now, suspect),
            State::Leaving => self.deadline = Time::NEVER,
            State::Alive | State::Dead => {}
        }
    }

    /// Returns true for a dead member that did not announce that it leaves.
    pub(super) fn is_lost(&self) -> bool {
        self.record.state == State::Dead && !self.left
    }
}

impl Membership {
    /// Applies a received record if it is newer. `direct` tells whether it came from the member itself.
    pub(super) fn apply(&mut self, now: Time, record: &Record, direct: bool) {
        if record.id == self.me.id {
            self.refute(now, record);
            return;
        }
        let Some(entry) = self.table.get(&record.id) else {
            self.insert(now, record);
            return;
        };
        let (known, state) = (entry.record.incarnation, entry.record.state);
        if (record.incarnation, record.state) <= (known, state) {
            return;
        }
        if record.state == State::Dead && matches!(state, State::Alive | State::Suspect) {
            self.reported_dead(now, record);
            return;
        }
        self.replace(now, record);
        if direct && state == State::Dead {
            self.sync(now, record);
        }
    }

    /// Handles a received record of this member. Raises the incarnation if the received record is not older than the
    /// current one and has another state.
    fn refute(&mut self, now: Time, record: &Record) {
        if record.state == State::Dead && record.incarnation >= self.next_death_incarnation {
            // The incarnation of the record may be lower than the current one if the suspicion was refuted too late.
            self.declared_dead = true;
            self.next_death_incarnation = record.incarnation + 1;
        }
        if record.incarnation < self.me.incarnation || record.state == self.me.state {
            return;
        }
        self.me.incarnation = record.incarnation + 1;
        self.record_change(now, "member.refuted", self.me.id, false);
    }

    fn insert(&mut self, now: Time, record: &Record) {
        if record.state == State::Dead || !self.ensure_capacity() {
            return;
        }
        let deadline =
            if record.state == State::Suspect { now + millis(self.settings.suspect_ms) } else { Time::NEVER };
        let left = record.state == State::Leaving;
        self.table.insert(record.id, Entry { record: record.clone(), deadline, since: now, left });
        self.record_change(now, "member.joined", record.id, true);
    }

    /// Returns true if the table has capacity for one more member. If it is full, removes the dead member whose removal
    /// is due first.
    fn ensure_capacity(&mut self) -> bool {
        if self.table.len() + 1 < self.settings.limit {
            return true;
        }
        let dead = self.table.iter().filter(|(_, entry)| entry.record.state == State::Dead);
        let Some(id) = dead.min_by_key(|(_, entry)| entry.deadline).map(|(id, _)| *id) else { return false };
        self.table.remove(&id);
        self.queue.remove(&id);
        true
    }

    /// Replaces the record of a known member, sets the deadline of its new state and disseminates the change.
    fn replace(&mut self, now: Time, record: &Record) {
        let Some(entry) = self.table.get_mut(&record.id) else { return };
        let before = entry.record.state;
        let moved = entry.record.relay != record.relay;
        entry.record = record.clone();
        entry.since = now;
        entry.left |= record.state == State::Leaving;
        entry.deadline = match record.state {
            State::Alive | State::Leaving => Time::NEVER,
            State::Suspect => now + millis(self.settings.suspect_ms),
            State::Dead if entry.left => now + millis(self.settings.forget_left_ms),
            State::Dead => now + millis(self.settings.forget_ms),
        };
        let name = match record.state {
            State::Alive => "member.alive",
            State::Suspect => "member.suspect",
            State::Leaving => "member.leaving",
            State::Dead => "member.dead",
        };
        let reachable_changed = moved || reachability(before) != reachability(record.state);
        if record.state == State::Dead {
            self.probes.remove(&record.id);
        }
        self.record_change(now, name, record.id, reachable_changed);
    }

    /// Handles a record that declares a live or suspected member dead.
    ///
    /// After a partition, each side reports the members of the other side as dead. The record is therefore accepted
    /// immediately only if the member has been suspected here for some time. Otherwise it is suspected and pinged first, and
    /// declared dead after [`Settings::verify_ms`] if it does not refute the report.
    ///
    /// [`Settings::verify_ms`]: super::Settings::verify_ms
    fn reported_dead(&mut self, now: Time, record: &Record) {
        let verify = now + millis(self.settings.verify_ms);
        let half = millis(self.settings.suspect_ms / 2);
        let Some(entry) = self.table.get_mut(&record.id) else { return };
        if entry.record.state == State::Suspect && now.reached(entry.since + half) {
            self.replace(now, record);
            return;
        }
        let known = (entry.record.incarnation, entry.record.state);
        if known != (record.incarnation, State::Suspect) {
            self.replace(now, &Record { state: State::Suspect, ..record.clone() });
            self.probe(now, record.id, None);
        }
        if let Some(entry) = self.table.get_mut(&record.id) {
            entry.deadline = entry.deadline.min(verify);
        }
    }

    /// Handles a ping of `id` that was not answered in time.
    pub(super) fn suspect(&mut self, now: Time, id: MemberId) {
        let deadline = now + millis(self.settings.suspect_ms);
        let Some(entry) = self.table.get_mut(&id) else { return };
        match entry.record.state {
            State::Alive => {
                let record = Record { state: State::Suspect, ..entry.record.clone() };
                self.replace(now, &record);
            }
            State::Leaving => entry.deadline = entry.deadline.min(deadline),
            State::Suspect | State::Dead => {}
        }
    }

    pub(super) fn declare_dead(&mut self, now: Time, id: MemberId) {
        let Some(entry) = self.table.get(&id) else { return };
        let record = Record { state: State::Dead, ..entry.record.clone() };
        self.replace(now, &record);
    }

    /// Declares members dead, or removes dead ones, when their deadlines have passed.
    pub(super) fn expire(&mut self, now: Time) {
        let due: Vec<_> =
            self.table.iter().filter(|(_, entry)| now.reached(entry.deadline)).map(|(id, _)| *id).collect();
        for id in due {
            if self.table.get(&id).is_some_and(|entry| entry.record.state != State::Dead) {
                self.declare_dead(now, id);
                continue;
            }
            self.table.remove(&id);
            self.queue.remove(&id);
        }
    }

    /// Compares the digests of the tables, and requests the whole table of the sender if updates were lost, that is, if
    /// the tables have differed for longer than the dissemination of changes takes. Updates are lost, for example, when
    /// many members start at the same time.
    pub(super) fn check_digest(&mut self, now: Time, gossip: &Gossip) {
        if gossip.table == self.digest {
            self.diverged_since = None;
            return;
        }
        let since = *self.diverged_since.get_or_insert(now);
        if now.reached(since + millis(self.settings.divergence_ms)) {
            self.diverged_since = Some(now);
            self.sync(now, &gossip.sender);
        }
    }

    /// Requests the whole table of `peer`, which may know other members than this one.
    fn sync(&mut self, now: Time, peer: &Record) {
        if !now.reached(self.next_sync) {
            return;
        }
        self.next_sync = now + millis(self.settings.page_ms);
        self.syncing = true;
        self.outbound.push(Outbound { page: Some(MemberId(0)), ..Outbound::to(peer) });
    }
}

/// Maps states to groups. The result of [`Membership::reachable`] changes only if a member moves to another group.
const fn reachability(state: State) -> u8 {
    match state {
        State::Alive | State::Suspect => 0,
        State::Leaving => 1,
        State::Dead => 2,
    }
}
