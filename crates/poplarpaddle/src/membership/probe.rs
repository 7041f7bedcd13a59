//! Pings, indirect pings, and contacts to seeds and dead members.

use std::net::SocketAddr;

use super::{Membership, Outbound, millis};
use crate::path::MemberId;
use crate::time::Time;
use crate::wire::State;

/// Maximum number of indirect pings that this member performs for others at the same time.
const MAX_PING_REQUESTS: usize = 64;

/// Number of seeds that are contacted at the same time while no other member is known.
const FIRST_CONTACTS: usize = 3;

/// A ping whose answer is outstanding.
#[derive(Debug)]
pub(super) struct Probe {
    /// Time at which other members are asked for indirect pings; [`Time::NEVER`] once they have been asked.
    indirect: Time,
    /// Time at which the member is suspected.
    suspect: Time,
}

impl Probe {
    pub(super) fn deadline(&self) -> Time {
        self.indirect.min(self.suspect)
    }
}

/// An indirect ping that another member asked for.
#[derive(Debug)]
pub(super) struct PingRequest {
    requester: MemberId,
    member: MemberId,
    /// Time after which the request is dropped.
    until: Time,
}

impl Membership {
    /// Pings the peer of the current period.
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

    /// Pings `member` and suspects it later if it does not answer.
    pub(super) fn probe(&mut self, now: Time, member: MemberId, page: Option<MemberId>) {
        let Some(entry) = self.table.get(&member) else { return };
        self.outbound.push(Outbound { page, ..Outbound::to(&entry.record) });
        let indirect = now + millis(self.settings.answer_ms);
        let suspect = now + millis(self.settings.fail_ms);
        self.probes.entry(member).or_insert(Probe { indirect, suspect });
    }

    /// Handles the failure to deliver a message to `to`.
    pub fn send_failed(&mut self, now: Time, to: SocketAddr) {
        self.detect_pause(now);
        if self.syncing {
            self.syncing = false;
        }
        for (id, probe) in &mut self.probes {
            let same = self.table.get(id).is_some_and(|entry| entry.record.peer == to);
            if same && probe.indirect != Time::NEVER {
                probe.indirect = now;
            }
        }
    }

    /// Handles an answer of `sender` from the address `to`. Other members with this address are declared dead, because
    /// a process with another id listens there now.
    pub fn confirm_address(&mut self, now: Time, to: SocketAddr, sender: MemberId) {
        let stale = |(id, entry): (&MemberId, &super::Entry)| {
            (*id != sender && entry.record.peer == to && entry.record.state != State::Dead).then_some(*id)
        };
        let replaced: Vec<_> = self.table.iter().filter_map(stale).collect();
        for id in replaced {
            self.declare_dead(now, id);
        }
        self.refresh();
    }

    /// Handles outstanding pings and indirect pings whose deadlines have passed.
    pub(super) fn check_probes(&mut self, now: Time) {
        let due: Vec<_> =
            self.probes.iter().filter(|(_, probe)| now.reached(probe.deadline())).map(|(id, _)| *id).collect();
        for id in due {
            self.check_probe(now, id);
        }
        self.ping_requests.retain(|request| !now.reached(request.until));
    }

    fn check_probe(&mut self, now: Time, id: MemberId) {
        let Some(probe) = self.probes.get_mut(&id) else { return };
        if now.reached(probe.suspect) {
            self.probes.remove(&id);
            self.suspect(now, id);
            return;
        }
        probe.indirect = Time::NEVER;
        for peer in self.sample(self.settings.indirect_pings, Some(id)) {
            self.outbound.push(Outbound { ping: Some(id), ..Outbound::to(&peer) });
        }
    }

    /// Pings `member` on behalf of `requester`.
    pub(super) fn ping_for(&mut self, now: Time, requester: MemberId, member: MemberId) {
        let Some(entry) = self.table.get(&member) else { return };
        if self.ping_requests.len() >= MAX_PING_REQUESTS {
            return;
        }
        self.outbound.push(Outbound::to(&entry.record));
        let until = now + millis(self.settings.fail_ms);
        self.ping_requests.push(PingRequest { requester, member, until });
    }

    /// Handles a message that `id` itself has sent: ends its probe and answers the requests for indirect pings of it.
    pub(super) fn record_contact(&mut self, now: Time, id: MemberId) {
        self.probes.remove(&id);
        let suspect = millis(self.settings.suspect_ms);
        if let Some(entry) = self.table.get_mut(&id) {
            entry.record_contact(now, suspect);
        }
        let table = &self.table;
        for request in self.ping_requests.extract_if(.., |request| request.member == id) {
            if let Some(requester) = table.get(&request.requester) {
                self.outbound.push(Outbound { pong: Some(id), ..Outbound::to(&requester.record) });
            }
        }
    }

    /// Pings the dead members that did not announce that they leave, one after the other at a low rate, so that the
    /// sides of a healed partition merge.
    pub(super) fn ping_dead(&mut self, now: Time) {
        if !now.reached(self.next_dead_ping) {
            return;
        }
        self.next_dead_ping = now + millis(self.settings.dead_ping_ms);
        let dead = |(id, entry): (&MemberId, &super::Entry)| (entry.is_lost()).then_some(*id);
        let mut after = self.table.range((std::ops::Bound::Excluded(self.dead_cursor), std::ops::Bound::Unbounded));
        let Some(id) = after.find_map(dead).or_else(|| self.table.iter().find_map(dead)) else { return };
        self.dead_cursor = id;
        if let Some(entry) = self.table.get(&id) {
            self.outbound.push(Outbound::to(&entry.record));
        }
    }

    /// Contacts seeds that are not the address of a known live member.
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
            self.outbound.push(Outbound { to, member: None, ping: None, pong: None, page });
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
        let seeds = self.settings.seeds.iter().chain(&self.discovered_seeds);
        seeds.copied().filter(|seed| !known.contains(seed)).collect()
    }
}
