//! One balancer of a fleet whose hosts register themselves in a store.
//!
//! [`Node`] connects [`membership`], [`feed`] and the [`registry`](crate::registry): datagrams
//! of peers, answers of the store and pulled parcels go in; datagrams, calls and changes for the data path come out.
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
//! The node writes nothing to the store. Members find each other through seeds and gossip alone; a member that knows
//! nobody reads the store by itself and serves all the same, at the price of its own calls.

mod apply;
mod messages;

use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use crate::error::{Error, Kind, Result};
use crate::event::Event;
use crate::feed::{self, Announcement, Feed, Topic};
use crate::map::{self, Map};
use crate::membership::{self, Membership};
use crate::path::MemberId;
use crate::registry::{Address, General, HostDelta, Hosts, Route, Routes};
use crate::time::Time;
use crate::wire::{Record, State, Transfer, VERSION};

use messages::Requests;

/// Time that one host or route takes in a whole state, about 66 bytes: a member hands out 10 Mbit/s.
const ENTRY_TRANSFER_TIME: Duration = Duration::from_micros(50);

/// Longest time for which a whole state may wait for others, so that the members of a small site need not ask twice.
const MAX_TRANSFER_BACKLOG: Duration = Duration::from_millis(100);

/// Settings of a [`Node`].
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// Settings of the membership.
    pub membership: membership::Settings,
    /// Settings of the feed.
    pub feed: feed::Settings,
}

/// What to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram to a peer.
    Send(SocketAddr, Vec<u8>),
    /// Read a whole collection from the store.
    Read(Topic),
    /// Wait for changes of a collection.
    Watch {
        /// The collection.
        topic: Topic,
        /// Revision of the store up to which the state is known.
        revision: u64,
        /// When the store answers without a change.
        until: Time,
    },
    /// Fetch the parcel of a peer.
    Pull {
        /// The member.
        member: MemberId,
        /// Its address.
        peer: SocketAddr,
        /// Known revision of the hosts.
        hosts: u64,
        /// Known revision of the routes.
        routes: u64,
        /// When the answer is of no use any more.
        until: Time,
    },
    /// Hosts changed in the own state.
    HostsChanged(Vec<String>),
    /// Routes changed in the own state.
    RoutesChanged(Vec<Address>),
    /// A member of the zone was heard.
    ZoneReachable(String),
    /// An event for the time line.
    Event(Event),
}

/// What the store says about a topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Response {
    /// Registered hosts, or their changes.
    Hosts {
        /// The changes.
        delta: HostDelta,
        /// Registrations that cannot be read; they name no host to use.
        faults: Vec<Fault>,
    },
    /// The whole configuration, or none when the operator has not written one yet.
    Routes {
        /// Revision of the store.
        as_of: u64,
        /// Routes and what holds for all of them.
        content: Option<(General, Vec<(Address, Route)>)>,
    },
    /// A configuration that cannot be read.
    Unreadable {
        /// Revision of the store.
        as_of: u64,
        /// Field, value, and what is allowed.
        text: String,
    },
    /// Nothing changed up to a revision of the store.
    Unchanged {
        /// Revision of the store.
        as_of: u64,
    },
    /// The history after the revision of the watch is gone.
    HistoryGone,
}

/// A registration that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Name of the registration.
    pub name: String,
    /// Its revision.
    pub revision: u64,
    /// Field, value, and what is allowed.
    pub text: String,
}

/// Future of a call to the store.
pub type ResponseFuture<'a> = Pin<Box<dyn Future<Output = Result<Response>> + Send + 'a>>;

/// Reads hosts and routes from a store.
pub trait Store: Send + Sync {
    /// Reads a whole collection.
    fn read(&self, topic: Topic, deadline: Time) -> ResponseFuture<'_>;

    /// Waits for a change after `revision`, until the time `until` at the store. An answer is of use until `deadline`.
    fn watch(&self, topic: Topic, revision: u64, until: Time, deadline: Time) -> ResponseFuture<'_>;
}

/// One balancer.
#[derive(Debug)]
pub struct Node {
    membership: Membership,
    feed: Feed,
    hosts: Hosts,
    routes: Routes,
    general: General,
    requests: Requests,
    /// Topics whose last call to the store failed.
    store_lost: [bool; 2],
    /// Revisions of unreadable registrations that were reported.
    reported: Map<String, u64>,
    /// Members that can be reached, in the order of their identifiers, and the revision of the membership then.
    members: Vec<MemberId>,
    membership_revision: u64,
    /// Until when the whole states that were handed out keep the link busy.
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
            membership: Membership::new(now, settings.membership, me),
            feed,
            hosts: Hosts::default(),
            routes: Routes::default(),
            general: General::default(),
            requests: Requests::default(),
            store_lost: [false; 2],
            reported: map::seeded(0),
            membership_revision: 0,
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

    /// Returns what holds for all routes.
    #[must_use]
    pub const fn general(&self) -> General {
        self.general
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

    /// Returns true once hosts and routes are known.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.hosts.as_of() > 0 && self.general.version > 0
    }

    /// Takes the actions since the last call.
    pub fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Performs what is due.
    pub fn tick(&mut self, now: Time) {
        for to in self.requests.expired(now) {
            self.membership.send_failed(now, to);
        }
        self.membership.tick(now);
        self.dispatch(now);
    }

    /// Returns the time of the next tick.
    #[must_use]
    pub fn deadline(&self) -> Time {
        self.membership.deadline().min(self.feed.deadline()).min(self.requests.deadline())
    }

    /// Replaces the addresses through which members find each other.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.membership.set_vms(seeds);
    }

    /// Announces that this member leaves.
    pub fn leave(&mut self, now: Time) {
        self.membership.leave(now);
        self.dispatch(now);
    }

    /// Tells several members that this one stops now.
    pub fn stop(&mut self, now: Time) {
        self.membership.stop(now);
        self.dispatch(now);
    }

    /// Takes the answer of the store to a call about `topic`.
    pub fn store_answered(&mut self, now: Time, topic: Topic, response: Result<Response>) {
        let outcome = response.and_then(|response| self.apply(now, topic, response));
        let was_lost = std::mem::replace(&mut self.store_lost[topic as usize], outcome.is_err());
        match &outcome {
            Err(error) if !was_lost => self.event(now, "store.lost", &topic.to_string(), error.to_string()),
            Ok(_) if was_lost => self.event(now, "store.regained", &topic.to_string(), String::new()),
            _ => {}
        }
        let outcome = outcome.unwrap_or(feed::Outcome::Failed);
        self.feed.store_answered(now, topic, outcome);
        self.dispatch(now);
    }

    /// Returns what changed after the revisions that a peer knows.
    ///
    /// # Errors
    ///
    /// [`Kind::Limit`] when the peer needs everything and another one got that a moment ago.
    pub fn changes_since(&mut self, now: Time, hosts: u64, routes: u64) -> Result<Transfer> {
        self.limit_snapshots(now, hosts, routes)?;
        let mut delta = self.hosts.delta(hosts);
        for item in &mut delta.put {
            item.value.cold_until = Time::default() + item.value.cold_until.since(now);
        }
        Ok(Transfer {
            version: VERSION,
            news: self.announcement(now),
            hosts: delta,
            routes: self.routes.delta(routes),
            general: self.general,
        })
    }

    /// Bounds the rate of whole collections. When all members start at once, all of them ask the few that are ready, whose
    /// links and processors would be busy with answers that come too late.
    fn limit_snapshots(&mut self, now: Time, hosts: u64, routes: u64) -> Result<()> {
        let host_entries = if self.hosts.needs_snapshot(hosts) { self.hosts.len() } else { 0 };
        let route_entries = if self.routes.needs_snapshot(routes) { self.routes.len() } else { 0 };
        let entries = u32::try_from(host_entries + route_entries).unwrap_or(u32::MAX);
        if entries == 0 {
            return Ok(());
        }
        if self.transferring_until > now + MAX_TRANSFER_BACKLOG {
            return Err(Error::new(Kind::Limit, "other members got the whole state a moment ago"));
        }
        self.transferring_until = self.transferring_until.max(now) + ENTRY_TRANSFER_TIME * entries;
        Ok(())
    }

    /// Takes the outcome of a pull.
    pub fn pulled(&mut self, now: Time, member: MemberId, parcel: Result<Transfer>) {
        let announcement = parcel.and_then(|parcel| self.apply_parcel(now, parcel));
        if let Err(error) = &announcement {
            self.event(now, "pull.failed", &member.to_string(), error.to_string());
        }
        self.feed.pulled(now, member, announcement.as_ref().ok());
        self.dispatch(now);
    }

    /// Asks up to `count` members of `zone` for a sign of life. Returns how many were asked.
    pub fn ping_zone(&mut self, now: Time, zone: &str, count: usize) -> usize {
        let mut peers: Vec<SocketAddr> = self.peers_in(zone).collect();
        let asked = peers.len().min(count);
        if asked > 0 {
            let start = self.requests.next_number() % peers.len();
            peers.rotate_left(start);
        }
        for peer in peers.into_iter().take(asked) {
            self.ping(now, peer);
        }
        asked
    }

    /// Returns true when [`Self::ping_zone`] has a member to ask. Members of other regions are not known.
    #[must_use]
    pub fn can_ping(&self, zone: &str) -> bool {
        self.peers_in(zone).next().is_some()
    }

    fn peers_in<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = SocketAddr> + 'a {
        let may_be_alive =
            move |record: &&Record| record.zone == zone && matches!(record.state, State::Alive | State::Suspect);
        self.membership.others().filter(may_be_alive).map(|record| record.peer)
    }

    fn announcement(&self, now: Time) -> Announcement {
        self.feed.announcement(now, self.membership.me().id)
    }

    /// Passes on what the parts want to do.
    fn dispatch(&mut self, now: Time) {
        self.refresh_members();
        self.hosts.advance(self.feed.as_of(Topic::Hosts));
        self.routes.advance(self.feed.as_of(Topic::Routes));
        self.feed.tick(now, &self.members);
        self.send_gossip(now);
        for event in self.membership.events() {
            self.actions.push(Action::Event(event));
        }
        for action in self.feed.actions() {
            self.perform(action);
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
                let (hosts, routes) = (self.hosts.as_of(), self.routes.as_of());
                self.actions.push(Action::Pull { member, peer, hosts, routes, until });
            }
            feed::Action::Announce(member, announcement) => self.announce(member, announcement),
        }
    }

    fn refresh_members(&mut self) {
        if self.membership_revision == self.membership.revision() {
            return;
        }
        self.membership_revision = self.membership.revision();
        let me = self.membership.me();
        let alive = self.membership.others().filter(|record| record.state == State::Alive);
        self.members = alive.map(|record| record.id).chain([me.id]).collect();
        self.members.sort_unstable();
    }

    fn event(&mut self, now: Time, name: &str, subject: &str, detail: String) {
        let event = Event { time: now, name: name.to_owned(), subject: subject.to_owned(), detail };
        self.actions.push(Action::Event(event));
    }
}

fn stale(text: String) -> Error {
    Error::new(Kind::Stale, text)
}
