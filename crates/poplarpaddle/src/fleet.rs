//! One balancer of a fleet, with its view of the hosts, routes and zone drains in a store.
//!
//! [`Node`] connects [`membership`], [`feed`] and the [`registry`](crate::registry). Its inputs are the datagrams of
//! peers, the responses of the store and the changes pulled from peers. Its outputs are datagrams, calls to the store
//! and to peers, and changes for the data path.
//!
//! ```
//! use poplarpaddle::fleet::{Action, Node, Settings};
//! use poplarpaddle::path::MemberId;
//! use poplarpaddle::time::Time;
//! use poplarpaddle::wire::{Record, State};
//!
//! let address = "10.0.0.1:7000".parse().unwrap();
//! let (name, zone, region) = ("edge-1".into(), "kitami".into(), "okhotsk".into());
//! let (id, incarnation, state) = (MemberId(1), 0, State::Alive);
//! let me = Record { id, name, zone, region, peer: address, relay: address, incarnation, state };
//! let mut node = Node::new(Time::from_millis(1), Settings::default(), me);
//! node.tick(Time::from_millis(500));
//! assert!(node.actions().iter().any(|action| matches!(action, Action::Read(_))));
//! ```
//!
//! # Trade-offs
//!
//! The node writes nothing to the store but [`former`] services; members find each other only through seeds and gossip.
//! A member that finds no other one still serves packets, but reads the store itself, which costs additional calls.

mod action;
mod apply;
mod messages;
mod outlier;
mod restore;
mod store;

use std::net::SocketAddr;
use std::time::Duration;

use crate::error::{Error, Kind, Result};
use crate::event::Event;
use crate::feed::{self, Announcement, Feed, Topic};
use crate::former::{self, Tracker};
use crate::map::{self, Map};
use crate::membership::{self, Membership};
use crate::path::MemberId;
use crate::registry::{General, Hosts, Routes, ZoneDrains};
use crate::revision::Revision;
use crate::time::Time;
use crate::wire::{Record, State, TRANSFER_VERSION, Transfer};

pub use action::{Action, Revisions};
use messages::Requests;
pub use outlier::MAX_OUTLIERS;
use outlier::Outliers;
use restore::Restoration;
pub use store::{Fault, Pending, Response, Store};

/// Time budget per host or route in a snapshot. An entry has about 66 bytes, so this limits snapshots to 10 Mbit/s.
const ENTRY_TRANSFER_TIME: Duration = Duration::from_micros(50);

/// Further snapshots are refused while those already sent need more than this time to transfer at that rate. It lets the
/// members of a small site get theirs at the first attempt.
const MAX_TRANSFER_BACKLOG: Duration = Duration::from_millis(100);

/// Settings of a [`Node`].
#[derive(Debug, Clone)]
pub struct Settings {
    /// Settings of the membership.
    pub membership: membership::Settings,
    /// Settings of the feed.
    pub feed: feed::Settings,
    /// Maximum lifetime of a flow.
    pub flow_life: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            membership: membership::Settings::default(),
            feed: feed::Settings::default(),
            flow_life: Duration::from_mins(1),
        }
    }
}

/// One balancer.
#[derive(Debug)]
pub struct Node {
    membership: Membership,
    feed: Feed,
    hosts: Hosts,
    routes: Routes,
    zone_drains: ZoneDrains,
    general: General,
    requests: Requests,
    outliers: Outliers,
    former: Tracker,
    /// True for each topic whose last call to the store failed.
    store_lost: [bool; 3],
    /// Revisions of the errors in entries that were reported, by the name of the entry and the text.
    reported: Map<(String, String), Revision>,
    /// Reachable members including this one, in the order of identifiers.
    members: Vec<MemberId>,
    /// The other members in the own zone that are alive or suspect, in the order of identifiers.
    neighbors: Vec<MemberId>,
    /// Revision of the membership that `members` and `neighbors` were derived from.
    membership_revision: u64,
    restoration: Restoration,
    /// Time at which all snapshots sent so far have been transferred at the permitted rate.
    transferring_until: Time,
    actions: Vec<Action>,
}

impl Node {
    /// Returns a node that knows only itself.
    #[must_use]
    pub fn new(now: Time, settings: Settings, me: Record) -> Self {
        let feed = Feed::new(settings.feed, me.id);
        Self {
            members: vec![me.id],
            neighbors: Vec::new(),
            membership: Membership::new(now, settings.membership, me),
            feed,
            hosts: Hosts::default(),
            routes: Routes::default(),
            zone_drains: ZoneDrains::default(),
            general: General::default(),
            requests: Requests::default(),
            outliers: Outliers::default(),
            former: Tracker::new(now, settings.flow_life),
            store_lost: [false; 3],
            reported: map::seeded(0),
            membership_revision: 0,
            restoration: Restoration::default(),
            transferring_until: Time::default(),
            actions: Vec::new(),
        }
    }

    /// Returns the registered hosts.
    #[must_use]
    pub const fn hosts(&self) -> &Hosts {
        &self.hosts
    }

    /// Returns the routes in force.
    #[must_use]
    pub const fn routes(&self) -> &Routes {
        &self.routes
    }

    /// Returns the drained zones.
    #[must_use]
    pub const fn zone_drains(&self) -> &ZoneDrains {
        &self.zone_drains
    }

    /// Returns the general settings of the configuration in force.
    #[must_use]
    pub const fn general(&self) -> &General {
        &self.general
    }

    /// Returns the other members in the own zone that are alive or suspect.
    #[must_use]
    pub fn neighbors(&self) -> &[MemberId] {
        &self.neighbors
    }

    /// Returns the membership.
    #[must_use]
    pub const fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the feed.
    #[must_use]
    pub const fn feed(&self) -> &Feed {
        &self.feed
    }

    /// Returns the epoch of the store, which rises each time that it is restored from a copy; 0 if it is not known.
    #[must_use]
    pub fn store_epoch(&self) -> u64 {
        self.restoration.epoch()
    }

    /// Returns true once all collections that this node replicates are known.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let knows_zone_drains = !self.zone_drains.as_of().is_none() || !self.feed.has_topic(Topic::ZoneDrains);
        !self.hosts.as_of().is_none() && self.general.version > 0 && knows_zone_drains
    }

    /// Returns the actions requested since the last call.
    pub fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Processes everything that is due at `now`.
    pub fn tick(&mut self, now: Time) {
        for to in self.requests.expired(now) {
            self.membership.send_failed(now, to);
        }
        self.membership.tick(now);
        self.settle(now);
        self.dispatch(now);
    }

    /// Returns the time at which [`Self::tick`] has to be called next.
    #[must_use]
    pub fn deadline(&self) -> Time {
        let messages = self.requests.deadline().min(self.outliers.deadline());
        let own = self.restoration.deadline().min(self.former.deadline()).min(messages);
        self.membership.deadline().min(self.feed.deadline()).min(own)
    }

    /// Replaces the seed addresses through which this node finds other members.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.membership.set_discovered_seeds(seeds);
    }

    /// Announces that this member is about to leave.
    pub fn leave(&mut self, now: Time) {
        self.membership.leave(now);
        self.dispatch(now);
    }

    /// Notifies several members that this one stops now.
    pub fn stop(&mut self, now: Time) {
        self.membership.stop(now);
        self.dispatch(now);
    }

    /// Handles the response of the store to a read or watch of `topic`.
    pub fn store_answered(&mut self, now: Time, topic: Topic, response: Result<Response>) {
        let outcome = response.and_then(|response| self.apply(now, topic, response));
        let was_lost = std::mem::replace(&mut self.store_lost[topic as usize], outcome.is_err());
        match &outcome {
            Err(error) if !was_lost => self.record_event(now, "store.lost", &topic.to_string(), error.to_string()),
            Ok(_) if was_lost => self.record_event(now, "store.regained", &topic.to_string(), String::new()),
            _ => {}
        }
        let outcome = outcome.unwrap_or(feed::Outcome::Failed);
        self.feed.store_answered(now, topic, outcome);
        self.dispatch(now);
    }

    /// Returns the changes after the revisions that a peer has.
    ///
    /// # Errors
    ///
    /// [`Kind::Limit`] when the peer needs a snapshot and too many were sent a moment ago.
    pub fn changes_since(&mut self, now: Time, since: Revisions) -> Result<Transfer> {
        self.limit_snapshots(now, since)?;
        let mut delta = self.hosts.delta(since.hosts);
        // Members do not share a clock, so the time is sent relative to `now`.
        for item in &mut delta.put {
            item.value.cold_until = Time::default() + item.value.cold_until.since(now);
        }
        Ok(Transfer {
            version: TRANSFER_VERSION,
            news: self.positions(now),
            hosts: delta,
            routes: self.routes.delta(since.routes),
            general: self.general.clone(),
            zone_drains: self.zone_drains.delta(since.zone_drains),
        })
    }

    /// Bounds the rate of snapshots. When all members start at once, they all pull from the few that are ready. Without
    /// the bound, the links and processors of those would be busy with responses that arrive too late.
    fn limit_snapshots(&mut self, now: Time, since: Revisions) -> Result<()> {
        let host_entries = if self.hosts.needs_snapshot(since.hosts) { self.hosts.len() } else { 0 };
        let route_entries = if self.routes.needs_snapshot(since.routes) { self.routes.len() } else { 0 };
        let drain_entries = if self.zone_drains.needs_snapshot(since.zone_drains) { self.zone_drains.len() } else { 0 };
        let entries = u32::try_from(host_entries + route_entries + drain_entries).unwrap_or(u32::MAX);
        if entries == 0 {
            return Ok(());
        }
        if self.transferring_until > now + MAX_TRANSFER_BACKLOG {
            return Err(Error::new(Kind::Limit, "too many snapshots were sent to other members a moment ago"));
        }
        self.transferring_until = self.transferring_until.max(now) + ENTRY_TRANSFER_TIME * entries;
        Ok(())
    }

    /// Handles the outcome of a pull from `member`.
    pub fn pulled(&mut self, now: Time, member: MemberId, changes: Result<Transfer>) {
        let announcement = changes.and_then(|changes| self.apply_changes(now, changes));
        if let Err(error) = &announcement {
            self.record_event(now, "pull.failed", &member.to_string(), error.to_string());
        }
        self.feed.pulled(now, member, announcement.as_ref().ok());
        self.dispatch(now);
    }

    /// Records that a packet was dropped because the route of its flow does not allow the host with its mark.
    pub fn report_missing_service(&mut self, now: Time) {
        self.former.report_missing(now);
        self.dispatch(now);
    }

    /// Handles the outcome of [`former::Action::Save`].
    pub fn former_saved(&mut self, now: Time, outcome: &Result<()>) {
        if let Err(error) = outcome {
            self.record_event(now, "former.not_saved", "routes", error.to_string());
        }
        self.former.saved(now, outcome.is_ok());
        self.dispatch(now);
    }

    /// Handles the outcome of [`former::Action::Load`].
    pub fn former_loaded(&mut self, now: Time, outcome: Result<Vec<former::Entry>>) {
        if let Err(error) = &outcome {
            self.record_event(now, "former.not_loaded", "routes", error.to_string());
        }
        let new = self.former.loaded(now, outcome.ok());
        if !new.is_empty() {
            self.record_event(
                now,
                "former.loaded",
                &new.len().to_string(),
                "established flows may belong there".to_owned(),
            );
            self.actions.push(Action::FormerServices(new));
        }
        self.dispatch(now);
    }

    /// Returns the other members of a zone that are alive or suspect.
    fn peers_in<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a Record> + 'a {
        let may_be_alive =
            move |record: &&Record| record.zone == zone && matches!(record.state, State::Alive | State::Suspect);
        self.membership.others().filter(may_be_alive)
    }

    /// Returns the announcement of the positions of this node.
    fn positions(&self, now: Time) -> Announcement {
        self.feed.announcement(now, self.membership.me().id)
    }

    /// Updates the feed and collects the actions of the membership and the feed. Called after each input.
    fn dispatch(&mut self, now: Time) {
        self.refresh_members();
        self.detect_restoration(now);
        self.hosts.advance(self.feed.as_of(Topic::Hosts));
        self.zone_drains.advance(self.feed.as_of(Topic::ZoneDrains));
        self.feed.tick(now, &self.members);
        self.send_gossip(now);
        self.spread_outliers(now);
        for event in self.membership.events() {
            self.actions.push(Action::Event(event));
        }
        for action in self.feed.actions() {
            self.perform(action);
        }
        while let Some(action) = self.former.next(now, self.feed.is_first()) {
            self.actions.push(Action::Former(action));
        }
    }

    fn perform(&mut self, action: feed::Action) {
        match action {
            feed::Action::Read(topic) => self.actions.push(Action::Read(topic)),
            feed::Action::Watch { topic, revision, until } => {
                self.actions.push(Action::Watch { topic, revision, until });
            }
            feed::Action::Pull { member, until } => {
                let Some(peer) = self.membership.record(member).map(|record| record.peer) else { return };
                let since = Revisions {
                    hosts: self.hosts.as_of(),
                    routes: self.routes.as_of(),
                    zone_drains: self.zone_drains.as_of(),
                };
                self.actions.push(Action::Pull { member, peer, since, until });
            }
            feed::Action::Announce(member, announcement) => self.announce(member, announcement),
        }
    }

    /// Updates `members` and `neighbors` after a change of the membership.
    fn refresh_members(&mut self) {
        if self.membership_revision == self.membership.revision() {
            return;
        }
        self.membership_revision = self.membership.revision();
        let me = self.membership.me();
        let alive = self.membership.others().filter(|record| record.state == State::Alive);
        self.members = alive.map(|record| record.id).chain([me.id]).collect();
        self.members.sort_unstable();
        let neighbors: Vec<MemberId> = self.peers_in(&me.zone).map(|record| record.id).collect();
        if neighbors != self.neighbors {
            self.neighbors = neighbors;
            self.actions.push(Action::NeighborsChanged);
        }
    }

    fn record_event(&mut self, now: Time, name: &str, subject: &str, detail: String) {
        let event = Event { time: now, name: name.to_owned(), subject: subject.to_owned(), detail };
        self.actions.push(Action::Event(event));
    }
}

fn stale(text: String) -> Error {
    Error::new(Kind::Stale, text)
}
