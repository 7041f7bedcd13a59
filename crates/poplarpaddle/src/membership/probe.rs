//! Pings, indirect pings, contacts to seeds and to dead members.

use std::net::SocketAddr;

use super::{Letter, Membership, millis};
use crate::path::MemberId;
use crate::time::Time;
use crate::wire::State;

/// Most indirect pings that this member performs for others at one time.
const MAX_FAVOURS: usize = 64;

/// Seeds that are contacted at once while no other member is known.
const FIRST_CONTACTS: usize = 3;

/// A ping whose answer is outstanding.
#[derive(Debug)]
pub(super) struct Probe {
    /// When others are asked, [`Time::NEVER`] once they were.
    ask: Time,
    /// When the member is suspected.
    fail: Time,
}

impl Probe {
    pub(super) fn deadline(&self) -> Time {
        self.ask.min(self.fail)
    }
}

/// An indirect ping for another member.
#[derive(Debug)]
pub(super) struct Favour {
    requester: MemberId,
    member: MemberId,
    until: Time,
}

impl Membership {
    /// Pings the peer of the period.
    pub(super) fn ping(&mut self, now: Time) {
        if !now.reached(self.next_ping) {
            return;
        }
        let period = now.as_millis() / self.settings.ping_ms.max(1);
        self.next_ping = Time::from_millis((period + 1) * self.settings.ping_ms.max(1));
        let Some(member) = self.ring.peer(period) else { return };
        let page = now.reached(self.next_page).then_some(self.page_cursor);
        if page.is_some() {
            self.next_page = now + millis(self.settings.page_ms);
        }
        self.probe(now, member, page);
    }

    /// Pings `member` and expects an answer.
    pub(super) fn probe(&mut self, now: Time, member: MemberId, page: Option<MemberId>) {
        let Some(entry) = self.table.get(&member) else { return };
        self.letters.push(Letter { page, ..Letter::to(&entry.record) });
        let ask = now + millis(self.settings.answer_ms);
        let fail = now + millis(self.settings.fail_ms);
        self.probes.entry(member).or_insert(Probe { ask, fail });
    }

    /// Takes the failure to deliver a message to `to`.
    pub fn failed(&mut self, now: Time, to: SocketAddr) {
        self.wake(now);
        if self.syncing {
            self.syncing = false;
        }
        for (id, probe) in &mut self.probes {
            let same = self.table.get(id).is_some_and(|entry| entry.record.peer == to);
            if same && probe.ask != Time::NEVER {
                probe.ask = now;
            }
        }
    }

    /// Takes the answer of `sender` at the address `to`. Members that had this address before are gone, since a process
    /// with another id listens there.
    pub fn answered(&mut self, now: Time, to: SocketAddr, sender: MemberId) {
        let gone = |(id, entry): (&MemberId, &super::Entry)| {
            (*id != sender && entry.record.peer == to && entry.record.state != State::Dead).then_some(*id)
        };
        let replaced: Vec<_> = self.table.iter().filter_map(gone).collect();
        for id in replaced {
            self.declare_dead(now, id);
        }
        self.refresh();
    }

    pub(super) fn check_probes(&mut self, now: Time) {
        let due: Vec<_> =
            self.probes.iter().filter(|(_, probe)| now.reached(probe.deadline())).map(|(id, _)| *id).collect();
        for id in due {
            self.check_probe(now, id);
        }
        self.favours.retain(|favour| !now.reached(favour.until));
    }

    fn check_probe(&mut self, now: Time, id: MemberId) {
        let Some(probe) = self.probes.get_mut(&id) else { return };
        if now.reached(probe.fail) {
            self.probes.remove(&id);
            self.suspect(now, id);
            return;
        }
        probe.ask = Time::NEVER;
        for helper in self.sample(self.settings.helpers, Some(id)) {
            self.letters.push(Letter { ping: Some(id), ..Letter::to(&helper) });
        }
    }

    /// Pings `member` on behalf of `requester`.
    pub(super) fn favour(&mut self, now: Time, requester: MemberId, member: MemberId) {
        let Some(entry) = self.table.get(&member) else { return };
        if self.favours.len() >= MAX_FAVOURS {
            return;
        }
        self.letters.push(Letter::to(&entry.record));
        let until = now + millis(self.settings.fail_ms);
        self.favours.push(Favour { requester, member, until });
    }

    /// Takes a message that came from `id` itself.
    pub(super) fn heard(&mut self, now: Time, id: MemberId) {
        self.probes.remove(&id);
        let suspect = millis(self.settings.suspect_ms);
        if let Some(entry) = self.table.get_mut(&id) {
            entry.answers(now, suspect);
        }
        let table = &self.table;
        for favour in self.favours.extract_if(.., |favour| favour.member == id) {
            if let Some(requester) = table.get(&favour.requester) {
                self.letters.push(Letter { pong: Some(id), ..Letter::to(&requester.record) });
            }
        }
    }

    /// Pings one dead member at a low rate, so that a healed partition merges.
    pub(super) fn ping_dead(&mut self, now: Time) {
        if !now.reached(self.next_dead) {
            return;
        }
        self.next_dead = now + millis(self.settings.dead_ping_ms);
        let dead = |(id, entry): (&MemberId, &super::Entry)| (entry.is_lost()).then_some(*id);
        let mut after = self.table.range((std::ops::Bound::Excluded(self.dead_cursor), std::ops::Bound::Unbounded));
        let Some(id) = after.find_map(dead).or_else(|| self.table.iter().find_map(dead)) else { return };
        self.dead_cursor = id;
        if let Some(entry) = self.table.get(&id) {
            self.letters.push(Letter::to(&entry.record));
        }
    }

    /// Contacts seeds whose members are unknown.
    pub(super) fn contact_seeds(&mut self, now: Time) {
        if !now.reached(self.next_seed) {
            return;
        }
        let alone = self.ring.ids().len() == 1;
        let (pause, count) = if alone { (self.settings.alone_ms, FIRST_CONTACTS) } else { (self.settings.seed_ms, 1) };
        self.next_seed = now + millis(pause);
        let unknown = self.unknown_seeds();
        let page = alone.then_some(MemberId(0));
        self.syncing |= alone;
        for step in 0..count.min(unknown.len()) {
            let to = unknown[(self.seed_cursor + step) % unknown.len()];
            self.letters.push(Letter { to, member: None, ping: None, pong: None, page });
        }
        self.seed_cursor = self.seed_cursor.wrapping_add(count);
    }

    fn unknown_seeds(&self) -> Vec<SocketAddr> {
        let known: std::collections::BTreeSet<_> = self
            .table
            .values()
            .filter(|entry| entry.record.state != State::Dead)
            .map(|entry| entry.record.peer)
            .chain([self.me.peer])
            .collect();
        let seeds = self.settings.seeds.iter().chain(&self.vms);
        seeds.copied().filter(|seed| !known.contains(seed)).collect()
    }
}
