//! Which balancers of the region can be reached.
//!
//! The protocol is of the SWIM family. Each member pings one peer a period, asks others for an indirect ping before it
//! suspects a peer, and piggybacks changes on every message. [`Membership`] keeps the table; the caller turns each
//! [`Outbound`] into a message and passes every message and answer back.
//!
//! ```
//! use poplarpaddle::membership::{Membership, Settings};
//! use poplarpaddle::time::Time;
//! use poplarpaddle::wire::{Record, State};
//!
//! let me = Record {
//!     id: poplarpaddle::path::MemberId(1),
//!     name: "a".into(),
//!     zone: "kitami".into(),
//!     region: "okhotsk".into(),
//!     peer: "10.0.0.1:7000".parse().unwrap(),
//!     relay: "10.0.0.1:7001".parse().unwrap(),
//!     incarnation: 0,
//!     state: State::Alive,
//! };
//! let seeds = vec!["10.0.0.2:7000".parse().unwrap()];
//! let mut membership = Membership::new(Time::from_millis(0), Settings { seeds, ..Default::default() }, me);
//! membership.tick(Time::from_millis(0));
//! assert_eq!(membership.outbound()[0].to, "10.0.0.2:7000".parse().unwrap());
//! ```
//!
//! # Trade-offs
//!
//! All members derive the peer of a period from the wall clock and one shared shuffle, so that every member is pinged
//! exactly once a period. Independent shuffles leave a member of 16 unpinged for two periods with probability 0.12,
//! which breaks the bound of 3 s. With clocks that differ by more than a period the choice is as good as random.
//!
//! A death that is heard of and not observed is first verified. This costs [`Settings::verify_ms`] where a suspicion
//! was lost, and keeps a healed partition from declaring each side dead on the other.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;

use crate::event::Event;
use crate::map;
use crate::path::MemberId;
use crate::time::Time;
use crate::view::{self, Presence};
use crate::wire::{Gossip, Record, State};

mod check;
mod probe;
mod ring;
mod spread;
mod table;

pub use check::{MAX_COUNTER, MAX_LEAVING, MAX_TTL_MS, MAX_UPDATES, check};
use probe::{PingRequest, Probe};
use ring::Ring;
use spread::Update;
use table::Entry;

/// Settings of [`Membership`]. Times are in milliseconds.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Period of pings.
    pub ping_ms: u64,
    /// Time for the answer to a ping before others are asked to ping.
    pub answer_ms: u64,
    /// Time from the ping to the suspicion.
    pub fail_ms: u64,
    /// Members that are asked for an indirect ping.
    pub indirect_pings: usize,
    /// Time from suspicion to death.
    pub suspect_ms: u64,
    /// Time from the report of a death to the death of a member that was not suspected before.
    pub verify_ms: u64,
    /// Lateness of a tick beyond the ping period that shows that this process was paused.
    pub pause_ms: u64,
    /// Period of pings of dead members.
    pub dead_ping_ms: u64,
    /// Time after which a dead member is forgotten.
    pub forget_ms: u64,
    /// Time after which a dead member that had announced its leaving is forgotten.
    pub forget_left_ms: u64,
    /// Period of contacts to unknown seeds once another member is known.
    pub seed_ms: u64,
    /// Period of contacts to seeds while no other member is known.
    pub alone_ms: u64,
    /// Period of the exchange of a page of the table, which repairs lost updates.
    pub page_ms: u64,
    /// Time for which the table has to differ from the tables of all peers heard before a whole table is read.
    pub divergence_ms: u64,
    /// Shortest time between two pushes of changes.
    pub push_ms: u64,
    /// Members that get a push.
    pub fanout: usize,
    /// Members that are told of the leaving at once.
    pub leave_fanout: usize,
    /// Retransmissions of an update, times log2 of the members.
    pub retransmit: u32,
    /// Longest time for which an update is carried.
    pub update_ms: u64,
    /// Encoded updates in one message, in bytes.
    pub update_bytes: usize,
    /// Most members in the table.
    pub limit: usize,
    /// Seed of random choices.
    pub seed: u64,
    /// Peer addresses that are contacted while no member with the address is known.
    pub seeds: Vec<SocketAddr>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ping_ms: 500,
            // The round trip within a region is below 3 ms; the rest is for scheduling on a busy machine.
            answer_ms: 150,
            // 500 (next ping) + 400 + 1500 (suspicion) leaves 600 ms of the 3 s for dissemination.
            fail_ms: 400,
            alone_ms: 500,
            indirect_pings: 3,
            suspect_ms: 1500,
            verify_ms: 500,
            pause_ms: 300,
            dead_ping_ms: 2500,
            forget_ms: 3_600_000,
            forget_left_ms: 60_000,
            seed_ms: 2000,
            page_ms: 10_000,
            // Ordinary changes reach all members in less.
            divergence_ms: 3000,
            push_ms: 200,
            fanout: 3,
            leave_fanout: 6,
            retransmit: 3,
            update_ms: 10_000,
            update_bytes: 1200,
            // A region of the target size has 2,500 members.
            limit: 4096,
            seed: 0,
            seeds: Vec::new(),
        }
    }
}

/// A message to send. The answer goes to [`Membership::receive`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outbound {
    /// Peer address of the receiver.
    pub to: SocketAddr,
    /// The receiver, none when only its address is known.
    pub member: Option<MemberId>,
    /// See [`Gossip::ping`].
    pub ping: Option<MemberId>,
    /// See [`Gossip::pong`].
    pub pong: Option<MemberId>,
    /// See [`Gossip::page`].
    pub page: Option<MemberId>,
}

impl Outbound {
    /// Returns a plain ping of `record`.
    #[must_use]
    pub const fn to(record: &Record) -> Self {
        Self { to: record.peer, member: Some(record.id), ping: None, pong: None, page: None }
    }
}

/// Table of members and failure detector of one member.
#[derive(Debug)]
pub struct Membership {
    settings: Settings,
    me: Record,
    table: BTreeMap<MemberId, Entry>,
    ring: Ring,
    probes: BTreeMap<MemberId, Probe>,
    ping_requests: Vec<PingRequest>,
    /// Records to spread.
    queue: BTreeMap<MemberId, Update>,
    outbound: Vec<Outbound>,
    events: Vec<Event>,
    random: Pcg64Mcg,
    vms: Vec<SocketAddr>,
    seed_cursor: usize,
    dead_cursor: MemberId,
    page_cursor: MemberId,
    /// True while the whole table of a peer is read page by page.
    syncing: bool,
    last_input: Time,
    next_ping: Time,
    next_dead_ping: Time,
    next_seed: Time,
    next_page: Time,
    next_sync: Time,
    next_push: Time,
    push_pending: bool,
    /// Number of changes of the table, and the number that ring and digest contain.
    changes: u64,
    refreshed: u64,
    /// Since when no peer with an equal table was heard.
    diverged_since: Option<Time>,
    digest: u64,
    revision: u64,
    declared_dead: bool,
    /// Lowest incarnation at which a report of the own death is news.
    next_death_incarnation: u64,
}

pub(crate) const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

impl Membership {
    /// Returns a membership that knows only the member `me`.
    #[must_use]
    pub fn new(now: Time, settings: Settings, me: Record) -> Self {
        let random = Pcg64Mcg::seed_from_u64(settings.seed ^ me.id.0);
        let mut membership = Self {
            ring: Ring::default(),
            table: BTreeMap::new(),
            probes: BTreeMap::new(),
            ping_requests: Vec::new(),
            queue: BTreeMap::new(),
            outbound: Vec::new(),
            events: Vec::new(),
            random,
            vms: Vec::new(),
            seed_cursor: 0,
            dead_cursor: MemberId(0),
            page_cursor: MemberId(0),
            syncing: false,
            last_input: now,
            next_ping: now,
            next_dead_ping: now,
            next_seed: now,
            next_page: now + millis(settings.page_ms),
            next_sync: now,
            next_push: now,
            push_pending: false,
            changes: 1,
            refreshed: 0,
            diverged_since: None,
            digest: 0,
            revision: 1,
            declared_dead: false,
            next_death_incarnation: 0,
            settings,
            me,
        };
        membership.refresh();
        membership
    }

    /// Returns the own record.
    #[must_use]
    pub const fn me(&self) -> &Record {
        &self.me
    }

    /// Returns the records of the other members in the order of their ids, dead ones included.
    pub fn others(&self) -> impl Iterator<Item = &Record> {
        self.table.values().map(|entry| &entry.record)
    }

    /// Returns the record of `id`.
    #[must_use]
    pub fn record(&self, id: MemberId) -> Option<&Record> {
        if id == self.me.id { Some(&self.me) } else { self.table.get(&id).map(|entry| &entry.record) }
    }

    /// Returns a number that changes whenever [`Self::reachable`] may have changed.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the members that can be reached, this one included, in the order of their ids.
    #[must_use]
    pub fn reachable(&self) -> Vec<view::Member> {
        self.ring.ids().iter().filter_map(|id| self.record(*id)).map(member).collect()
    }

    /// Returns the digest of the members that can be reached, see [`Gossip::table`].
    #[must_use]
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Takes the outbound that are due.
    pub fn outbound(&mut self) -> Vec<Outbound> {
        std::mem::take(&mut self.outbound)
    }

    /// Takes the events since the last call.
    pub fn events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Returns true once after others declared this member dead, or may have done so while it was paused. Other members
    /// may have owned its shards then.
    pub fn declared_dead(&mut self) -> bool {
        std::mem::take(&mut self.declared_dead)
    }

    /// Replaces the seeds that come from the VM list.
    pub fn set_vms(&mut self, mut addresses: Vec<SocketAddr>) {
        addresses.truncate(self.settings.limit);
        self.vms = addresses;
    }

    /// Announces to several members at once that this one leaves.
    pub fn leave(&mut self, now: Time) {
        if self.me.state == State::Leaving {
            return;
        }
        self.me.state = State::Leaving;
        self.me.incarnation += 1;
        self.record_change(now, "member.leaving", self.me.id, true);
        let fanout = self.settings.leave_fanout;
        self.push_to(fanout);
        self.refresh();
    }

    /// Tells several members at once that this one stops now, so that they need not find out.
    pub fn stop(&mut self, now: Time) {
        self.me.state = State::Dead;
        self.me.incarnation += 1;
        self.record_change(now, "member.stopped", self.me.id, true);
        let fanout = self.settings.leave_fanout;
        self.push_to(fanout);
        self.refresh();
    }

    /// Takes a checked message or answer: `gossip` was received from its sender just now.
    pub fn receive(&mut self, now: Time, gossip: &Gossip) {
        self.detect_pause(now);
        if gossip.sender.id == self.me.id {
            return;
        }
        self.apply(now, &gossip.sender, true);
        self.record_contact(now, gossip.sender.id);
        for record in &gossip.updates {
            self.apply(now, record, false);
        }
        self.refresh();
        self.check_digest(now, gossip);
        if let Some(member) = gossip.ping {
            self.ping_for(now, gossip.sender.id, member);
        }
        if let Some(member) = gossip.pong {
            self.probes.remove(&member);
        }
    }

    /// Performs what is due.
    pub fn tick(&mut self, now: Time) {
        self.detect_pause(now);
        self.ping(now);
        self.check_probes(now);
        self.expire(now);
        self.expire_updates(now);
        self.ping_dead(now);
        self.contact_seeds(now);
        self.push(now);
        self.refresh();
    }

    /// Returns the time of the next tick.
    #[must_use]
    pub fn deadline(&self) -> Time {
        let probes = self.probes.values().map(Probe::deadline);
        let table = self.table.values().map(|entry| entry.deadline);
        let push = if self.push_pending { self.next_push } else { Time::NEVER };
        let seeds = if self.ring.ids().len() == 1 { self.next_seed } else { Time::NEVER };
        probes.chain(table).chain([self.next_ping, push, seeds]).min().unwrap_or(Time::NEVER)
    }

    /// Notices a pause of this process. Its timers are stale then: peers may have answered and refuted in the
    /// meantime, so probes are given up and suspicions start afresh.
    fn detect_pause(&mut self, now: Time) {
        let gap = now.since(self.last_input);
        self.last_input = now;
        if gap <= millis(self.settings.ping_ms + self.settings.pause_ms) {
            return;
        }
        // Others declare a silent member dead after this time and refuted records may hide it from this member.
        self.declared_dead |= gap >= millis(self.settings.suspect_ms);
        self.probes.clear();
        self.ping_requests.clear();
        for entry in self.table.values_mut() {
            entry.restart_deadline(now, millis(self.settings.suspect_ms));
        }
        self.record_event(now, "member.paused", self.me.id, format!("no tick for {} ms", gap.as_millis()));
    }

    fn record_event(&mut self, now: Time, name: &str, subject: MemberId, detail: String) {
        self.events.push(Event { time: now, name: name.to_owned(), subject: subject.to_string(), detail });
    }

    /// Spreads the record of `id`. `reachable_changed` tells whether [`Self::reachable`] changes.
    fn record_change(&mut self, now: Time, name: &str, id: MemberId, reachable_changed: bool) {
        self.queue.insert(id, Update { since: now, sent: 0 });
        self.push_pending = true;
        self.changes += 1;
        self.revision += u64::from(reachable_changed);
        let detail = self.record(id).map_or_else(String::new, |r| format!("{} at {}", r.name, r.peer));
        self.record_event(now, name, id, detail);
    }

    /// Brings ring and digest up to date, once for all the changes of an input.
    fn refresh(&mut self) {
        if self.refreshed == self.changes {
            return;
        }
        self.refreshed = self.changes;
        let alive = self.table.values().filter(|entry| entry.record.state != State::Dead);
        self.ring.rebuild(self.me.id, alive.map(|entry| entry.record.id));
        let record_hash = |record: &Record| map::hash(0, &(record.id.0, record.incarnation, record.state));
        let hashes = self.ring.ids().iter().filter_map(|id| self.record(*id)).map(record_hash);
        self.digest = hashes.fold(0, |digest, hash| digest ^ hash);
    }

    /// Returns up to `count` random members that are not dead.
    fn sample(&mut self, count: usize, except: Option<MemberId>) -> Vec<Record> {
        let me = self.me.id;
        let ids: Vec<_> = self.ring.ids().iter().copied().filter(|id| *id != me && Some(*id) != except).collect();
        let chosen = ids.sample(&mut self.random, count);
        chosen.filter_map(|id| self.table.get(id)).map(|entry| entry.record.clone()).collect()
    }
}

const fn member(record: &Record) -> view::Member {
    let presence = match record.state {
        State::Leaving | State::Dead => Presence::Leaving,
        State::Alive | State::Suspect => Presence::Alive,
    };
    view::Member { id: record.id, presence, relay: record.relay }
}
