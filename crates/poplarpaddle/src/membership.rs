//! Gossip membership and failure detection among the balancers of a region.
//!
//! The protocol belongs to the SWIM family. Each member pings one peer per period, asks other members for indirect
//! pings before it suspects a peer, and piggybacks changes on every message. [`Membership`] holds the member table; the
//! caller encodes and sends a message for each [`Outbound`] and passes all received messages and answers back.
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
//! All members derive the peer to ping from the wall clock and a shared pseudo-random shuffle, so that every member is
//! pinged exactly once per period. With independent shuffles, a member in a region of 16 is not pinged for two periods
//! with probability 0.12, which violates the bound of 3 s for detecting a failure. If clocks differ by more than a
//! period, the choice is no worse than a random one.
//!
//! A member that is reported dead by others is pinged before the report is accepted. This delays the detection by
//! [`Settings::verify_ms`] if the message about the suspicion was lost. In return, the two sides of a healed partition
//! do not declare each other dead.

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
    /// Interval between two pings.
    pub ping_ms: u64,
    /// Time to wait for the answer to a ping before other members are asked for indirect pings.
    pub answer_ms: u64,
    /// Time from a ping to the suspicion of the pinged member if it does not answer.
    pub fail_ms: u64,
    /// Number of members that are asked for an indirect ping.
    pub indirect_pings: usize,
    /// Time after which a suspected member that does not refute the suspicion is declared dead.
    pub suspect_ms: u64,
    /// Time for which a member that others report dead can refute the report before it is declared dead. The report is
    /// accepted immediately if the member is leaving or has been suspected for at least half of `suspect_ms`.
    pub verify_ms: u64,
    /// This process counts as paused if the time between two calls that pass the time, such as [`Membership::tick`] and
    /// [`Membership::receive`], exceeds the ping interval by more than this.
    pub pause_ms: u64,
    /// Interval between two pings of dead members.
    pub dead_ping_ms: u64,
    /// Time after which a dead member is removed from the table.
    pub forget_ms: u64,
    /// Time after which a dead member that had announced that it leaves is removed from the table.
    pub forget_left_ms: u64,
    /// Interval between two attempts to contact seeds that are not the address of a live member, once another member is
    /// known.
    pub seed_ms: u64,
    /// Interval between two attempts to contact seeds while no other member is known.
    pub alone_ms: u64,
    /// Interval between two requests for a page of a peer's table, which repair lost updates, and minimum time between
    /// two transfers of a whole table.
    pub page_ms: u64,
    /// Time for which the table digests in all received messages must differ from the own digest before the whole table
    /// of a peer is requested.
    pub divergence_ms: u64,
    /// Minimum time between two pushes of changes.
    pub push_ms: u64,
    /// Number of members that receive a push.
    pub fanout: usize,
    /// Number of members that are notified immediately when this member leaves or stops.
    pub leave_fanout: usize,
    /// Factor by which log2 of the number of members is multiplied to get the number of messages that carry an update.
    pub retransmit: u32,
    /// Maximum time for which messages carry an update.
    pub update_ms: u64,
    /// Maximum size of the encoded updates in one message, in bytes.
    pub update_bytes: usize,
    /// Maximum number of members, including this one.
    pub limit: usize,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Peer addresses that are contacted as long as no live member with that address is known.
    pub seeds: Vec<SocketAddr>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ping_ms: 500,
            // The round trip within a region takes less than 3 ms; the rest allows for scheduling delays on a busy
            // machine.
            answer_ms: 150,
            // 500 ms (next ping) + 400 ms + 1500 ms (suspicion) leave 600 ms of the 3 s for dissemination.
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
            // Ordinary changes reach all members in less time.
            divergence_ms: 3000,
            push_ms: 200,
            fanout: 3,
            leave_fanout: 6,
            retransmit: 3,
            update_ms: 10_000,
            update_bytes: 1200,
            // A region of the design size has 2,500 members.
            limit: 4096,
            seed: 0,
            seeds: Vec::new(),
        }
    }
}

/// A gossip message to send. The caller adds the remaining fields of [`Gossip`] and passes the answer to
/// [`Membership::receive`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outbound {
    /// Peer address of the recipient.
    pub to: SocketAddr,
    /// Member id of the recipient; `None` if only its address is known.
    pub member: Option<MemberId>,
    /// See [`Gossip::ping`].
    pub ping: Option<MemberId>,
    /// See [`Gossip::pong`].
    pub pong: Option<MemberId>,
    /// See [`Gossip::page`].
    pub page: Option<MemberId>,
}

impl Outbound {
    /// Returns a plain ping to the member of `record`.
    #[must_use]
    pub const fn to(record: &Record) -> Self {
        Self { to: record.peer, member: Some(record.id), ping: None, pong: None, page: None }
    }
}

/// Member table and failure detector of one member.
#[derive(Debug)]
pub struct Membership {
    settings: Settings,
    me: Record,
    /// The other members.
    table: BTreeMap<MemberId, Entry>,
    ring: Ring,
    /// Outstanding pings.
    probes: BTreeMap<MemberId, Probe>,
    /// Indirect pings that this member performs for others.
    ping_requests: Vec<PingRequest>,
    /// Updates that messages carry.
    queue: BTreeMap<MemberId, Update>,
    outbound: Vec<Outbound>,
    events: Vec<Event>,
    random: Pcg64Mcg,
    /// See [`Membership::set_discovered_seeds`].
    discovered_seeds: Vec<SocketAddr>,
    /// Position in the list of unknown seeds from which the next seeds are contacted.
    seed_cursor: usize,
    /// Dead member that was pinged last.
    dead_cursor: MemberId,
    /// Id at which the next requested page starts.
    page_cursor: MemberId,
    /// True while the whole table of a peer is being requested page by page.
    syncing: bool,
    /// Time of the latest message, tick or failed send.
    last_input: Time,
    next_ping: Time,
    next_dead_ping: Time,
    next_seed: Time,
    next_page: Time,
    next_sync: Time,
    next_push: Time,
    /// True if there are changes to push, which happens no earlier than `next_push`.
    push_pending: bool,
    /// Number of changes of the table.
    changes: u64,
    /// Number of changes that the ring and the digest include.
    refreshed: u64,
    /// Time since which the table digests in all received messages have differed from the own digest; `None` if the
    /// latest one was equal.
    diverged_since: Option<Time>,
    digest: u64,
    revision: u64,
    /// See [`Membership::declared_dead`].
    declared_dead: bool,
    /// Lowest incarnation at which a report that this member is dead has not been handled yet.
    next_death_incarnation: u64,
}

pub(crate) const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

impl Membership {
    /// Returns a membership whose only member is `me`.
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
            discovered_seeds: Vec::new(),
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

    /// Returns the record of this member.
    #[must_use]
    pub const fn me(&self) -> &Record {
        &self.me
    }

    /// Returns the records of the other members, including dead ones, in the order of their ids.
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

    /// Returns the members that are not dead, including this one, in the order of their ids.
    #[must_use]
    pub fn reachable(&self) -> Vec<view::Member> {
        self.ring.ids().iter().filter_map(|id| self.record(*id)).map(member).collect()
    }

    /// Returns the digest of the records of the members that are not dead, see [`Gossip::table`].
    #[must_use]
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Takes the messages to send.
    pub fn outbound(&mut self) -> Vec<Outbound> {
        std::mem::take(&mut self.outbound)
    }

    /// Takes the events since the last call.
    pub fn events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Returns true once after other members declared this member dead, or may have done so while its process was
    /// paused. Other members may have owned its shards in the meantime.
    pub fn declared_dead(&mut self) -> bool {
        std::mem::take(&mut self.declared_dead)
    }

    /// Replaces the seeds that are discovered at run time, for example from the VM list. The seeds in the settings
    /// remain.
    pub fn set_discovered_seeds(&mut self, mut addresses: Vec<SocketAddr>) {
        addresses.truncate(self.settings.limit);
        self.discovered_seeds = addresses;
    }

    /// Notifies several members immediately that this member is about to leave.
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

    /// Notifies several members immediately that this member stops now, so that they do not have to detect it.
    pub fn stop(&mut self, now: Time) {
        self.me.state = State::Dead;
        self.me.incarnation += 1;
        self.record_change(now, "member.stopped", self.me.id, true);
        let fanout = self.settings.leave_fanout;
        self.push_to(fanout);
        self.refresh();
    }

    /// Handles a message or answer that was just received from its sender and has passed [`check()`].
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

    /// Performs all actions that are due.
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

    /// Returns the time at which [`Self::tick`] must be called next.
    #[must_use]
    pub fn deadline(&self) -> Time {
        let probes = self.probes.values().map(Probe::deadline);
        let table = self.table.values().map(|entry| entry.deadline);
        let push = if self.push_pending { self.next_push } else { Time::NEVER };
        let seeds = if self.ring.ids().len() == 1 { self.next_seed } else { Time::NEVER };
        probes.chain(table).chain([self.next_ping, push, seeds]).min().unwrap_or(Time::NEVER)
    }

    /// Detects a pause of this process.
    ///
    /// After a pause, timers are stale: peers may have answered pings and refuted suspicions in the meantime.
    /// Outstanding pings are therefore dropped and the deadlines of suspicions restart.
    fn detect_pause(&mut self, now: Time) {
        let gap = now.since(self.last_input);
        self.last_input = now;
        if gap <= millis(self.settings.ping_ms + self.settings.pause_ms) {
            return;
        }
        // Other members declare a member dead that does not answer for this time. This member may not learn of that,
        // because a later record that refutes its death may already have replaced the one that reported it.
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

    /// Queues the changed record of `id` for dissemination and records an event. `reachable_changed` tells whether the
    /// result of [`Self::reachable`] changes.
    fn record_change(&mut self, now: Time, name: &str, id: MemberId, reachable_changed: bool) {
        self.queue.insert(id, Update { since: now, sent: 0 });
        self.push_pending = true;
        self.changes += 1;
        self.revision += u64::from(reachable_changed);
        let detail = self.record(id).map_or_else(String::new, |r| format!("{} at {}", r.name, r.peer));
        self.record_event(now, name, id, detail);
    }

    /// Updates the ring and the digest if the table has changed. Called once for all changes of an input.
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

    /// Returns up to `count` random members that are not dead, without this member and `except`.
    pub(crate) fn sample(&mut self, count: usize, except: Option<MemberId>) -> Vec<Record> {
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
