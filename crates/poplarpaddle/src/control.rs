//! The control side of a balancer: members, configuration, leases and health in one state machine.
//!
//! [`Node`] takes the time, peer messages and the outcomes of its actions, and gives [`Action`]s. It performs no I/O.
//!
//! # Trade-offs
//!
//! Actions are plain data that the caller performs in any order. A lost action costs only time: each has a deadline
//! after which the node tries again, at another peer where there is one.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use crate::error::{Error, Result};
use crate::event::Event;
use crate::health::Health;
use crate::map::{self, Map};
use crate::membership::{self, Membership, Outbound};
use crate::path::MemberId;
use crate::time::Time;
use crate::view;
use crate::wire::{self, Gossip, Leaving, Record};

mod action;
mod fetch;
mod leaving;
mod settings;
mod status;
mod store_client;

pub use crate::config::{Digest, Offer};
pub use action::{Action, Answer, CallId};
use fetch::Fetcher;
use leaving::LeavingHosts;
pub use settings::Settings;
pub use status::{Lease, Member, Status, Target};
use store_client::StoreClient;

/// Configuration of a node. It verifies what peers and the store offer.
pub trait Configuration: Send {
    /// Offers the bytes of a manifest, or of an update.
    ///
    /// # Errors
    ///
    /// The fault of the manifest.
    fn offer(&mut self, manifest: &[u8]) -> Result<Offer>;

    /// Supplies the bytes of a part.
    ///
    /// # Errors
    ///
    /// The fault of the part or of the set that it completes.
    fn supply(&mut self, part: &[u8]) -> Result<Offer>;

    /// Returns the generation in force, 0 for none.
    fn generation(&self) -> u64;

    /// Returns the digest of the manifest in force.
    fn digest(&self) -> Digest;

    /// Returns the digest from which a peer may serve an update, all zeros for none.
    fn base(&self) -> Digest {
        self.digest()
    }

    /// Returns the update from the manifest `base` to the one in force as it is served to peers.
    fn update(&self, _base: &Digest) -> Option<&[u8]> {
        None
    }

    /// Returns the manifest in force as it is served to peers.
    fn manifest(&self) -> Option<&[u8]>;

    /// Returns a part of the generation in force as it is served to peers.
    fn part(&self, digest: &Digest) -> Option<&[u8]>;

    /// Returns the compiled configuration in force.
    fn current(&self) -> Option<&Arc<view::Config>>;
}

/// The control side of one balancer.
pub struct Node {
    settings: Settings,
    config: Box<dyn Configuration>,
    membership: Membership,
    fetcher: Fetcher,
    store: StoreClient,
    health: Health,
    leaving_hosts: LeavingHosts,
    actions: Vec<Action>,
    hosts: Map<Ipv4Addr, view::Host>,
    members: Arc<[view::Member]>,
    revision: u64,
    hosts_changed: bool,
    dirty: bool,
}

impl std::fmt::Debug for Node {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Node").field("id", &self.settings.id).finish_non_exhaustive()
    }
}

impl Node {
    /// Returns a node that knows only itself and its seeds.
    #[must_use]
    pub fn new(now: Time, settings: Settings, config: Box<dyn Configuration>) -> Self {
        let me = Record {
            id: settings.id,
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            peer: settings.peer,
            relay: settings.relay,
            incarnation: 0,
            state: wire::State::Alive,
        };
        let mut health = Health::new(settings.health.clone());
        if let Some(current) = config.current() {
            health.configure(current);
        }
        let members = membership::Settings { seed: settings.seed, ..settings.membership.clone() };
        Self {
            membership: Membership::new(now, members, me),
            fetcher: Fetcher::default(),
            store: StoreClient::new(now, &settings),
            health,
            leaving_hosts: LeavingHosts::default(),
            actions: Vec::new(),
            hosts: map::seeded(settings.seed),
            members: Arc::new([]),
            revision: 0,
            hosts_changed: false,
            dirty: true,
            config,
            settings,
        }
    }

    /// Takes a message of a peer and returns the answer.
    ///
    /// # Errors
    ///
    /// [`Kind::Message`](crate::error::Kind::Message) for a message that is not valid; it has no effect.
    pub fn handle_message(&mut self, now: Time, message: &Gossip) -> Result<Gossip> {
        membership::check(self.membership.me(), message)?;
        self.receive_gossip(now, message);
        let answer = self.build_message(now, &Outbound::to(&message.sender), message.page);
        self.emit_actions(now);
        Ok(answer)
    }

    /// Takes the outcome of an action.
    ///
    /// # Errors
    ///
    /// The fault of an answer that is not valid; it counts as a failure of the action.
    pub fn handle_answer(&mut self, now: Time, answer: &Answer<'_>) -> Result<()> {
        let result = match answer {
            Answer::Gossip { to, outcome } => self.on_gossip(now, *to, *outcome),
            Answer::Manifest { peer, outcome } => self.on_manifest(now, *peer, *outcome),
            Answer::Part { peer, digest, outcome } => self.on_part(now, *peer, *digest, *outcome),
            Answer::Store { id, outcome } => {
                self.on_store(now, *id, outcome);
                Ok(())
            }
            Answer::Load { host, outcome } => {
                self.hosts_changed = true;
                let result = self.health.record_answer(*host, *outcome);
                self.announce_misplaced(now, *host);
                result
            }
        };
        self.emit_actions(now);
        result
    }

    /// Performs what is due.
    pub fn tick(&mut self, now: Time) {
        self.membership.tick(now);
        for host in self.health.tick(now) {
            self.actions.push(Action::Poll { host });
        }
        self.hosts_changed = true;
        self.emit_actions(now);
    }

    /// Sets the hosts whose load reports this node polls: those of the shards that it owns.
    pub fn set_polled_hosts(&mut self, now: Time, hosts: &[Ipv4Addr]) {
        self.health.set_hosts(now, hosts);
        self.hosts_changed = true;
        self.emit_actions(now);
    }

    /// Returns what is known of the hosts now, as the next [`Action::Apply`] has it.
    #[must_use]
    pub fn hosts(&self) -> Arc<Map<Ipv4Addr, view::Host>> {
        Arc::new(self.hosts.clone())
    }

    /// Returns the time of the next tick.
    #[must_use]
    pub fn deadline(&self) -> Time {
        let inner = self.membership.deadline().min(self.fetcher.deadline());
        inner.min(self.store.deadline()).min(self.health.deadline())
    }

    /// Takes the actions that are due.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Announces to several peers at once that this node leaves.
    pub fn leave(&mut self, now: Time) {
        self.membership.leave(now);
        self.emit_actions(now);
    }

    /// Tells several peers at once that this process ends now, after its drain deadline.
    pub fn stop(&mut self, now: Time) {
        self.membership.stop(now);
        self.emit_actions(now);
    }

    /// Returns what a peer with the manifest `base` needs first: an update where there is one, or the manifest in force.
    #[must_use]
    pub fn manifest(&self, base: &Digest) -> Option<&[u8]> {
        self.config.update(base).or_else(|| self.config.manifest())
    }

    /// Returns a part in force as it is served to peers.
    #[must_use]
    pub fn part(&self, digest: &Digest) -> Option<&[u8]> {
        self.config.part(digest)
    }

    fn receive_gossip(&mut self, now: Time, gossip: &Gossip) {
        self.membership.receive(now, gossip);
        self.fetcher.record_generation(&gossip.sender, gossip.generation);
        let generation = self.config.generation();
        let differs = gossip.generation == generation && Digest::from(gossip.digest) != self.config.digest();
        if differs && generation > 0 && self.fetcher.is_new_conflict(gossip.sender.id, generation) {
            // Publishing rules this out; it takes a restored store or two stores.
            self.event(now, "config.conflict", generation.to_string(), format!("differs at {}", gossip.sender.name));
        }
        for leaving in &gossip.leaving {
            self.record_leaving(now, *leaving);
        }
    }

    /// Takes the entry of a host that is leaving.
    fn record_leaving(&mut self, now: Time, leaving: Leaving) {
        if self.leaving_hosts.insert(now, leaving) {
            self.hosts_changed = true;
            self.membership.request_push();
            self.event(now, "host.leaving", leaving.host.to_string(), String::new());
        }
    }

    /// Tells the others of a misplaced host. They give it no new flows, as if it were leaving, so that an owner of its
    /// shard which has not polled it yet does not either.
    fn announce_misplaced(&mut self, now: Time, host: Ipv4Addr) {
        let is_misplaced = self.health.host_of(host).is_some_and(|known| known.state == view::HostState::Misplaced);
        if is_misplaced && self.leaving_hosts.insert(now, Leaving { host, ttl_ms: leaving::TTL_MS }) {
            self.membership.request_push();
            self.event(now, "host.misplaced", host.to_string(), String::new());
        }
    }

    fn on_gossip(&mut self, now: Time, to: SocketAddr, outcome: std::result::Result<&Gossip, &Error>) -> Result<()> {
        let Ok(gossip) = outcome else {
            self.membership.send_failed(now, to);
            return Ok(());
        };
        if let Err(error) = membership::check(self.membership.me(), gossip) {
            self.membership.send_failed(now, to);
            return Err(error);
        }
        self.membership.confirm_address(now, to, gossip.sender.id);
        self.receive_gossip(now, gossip);
        self.membership.handle_page(gossip);
        Ok(())
    }

    /// Returns the message of `letter`; `page` is a page of the table that it has to carry.
    fn build_message(&mut self, now: Time, letter: &Outbound, page: Option<MemberId>) -> Gossip {
        let (updates, next) = self.membership.updates(letter.member, page);
        // A member that reads the table may have joined after the last of these messages.
        let limit = if page.is_some() { u32::MAX } else { self.membership.retransmissions() };
        Gossip {
            version: wire::VERSION,
            sender: self.membership.me().clone(),
            generation: self.config.generation(),
            digest: self.config.digest().into(),
            table: self.membership.digest(),
            updates,
            leaving: self.leaving_hosts.next_batch(now, limit),
            ping: letter.ping,
            pong: letter.pong,
            page: letter.page.or(next),
        }
    }

    /// Turns the state after an input into actions.
    fn emit_actions(&mut self, now: Time) {
        if self.revision != self.membership.revision() {
            self.members_changed();
        }
        self.sync_store(now);
        self.fetch(now);
        self.apply(now);
        for event in self.membership.events() {
            self.actions.push(Action::Event(event));
        }
        for letter in self.membership.outbound() {
            self.send(now, &letter);
        }
    }

    fn send(&mut self, now: Time, letter: &Outbound) {
        let message = self.build_message(now, letter, None);
        self.actions.push(Action::SendGossip { to: letter.to, message: Box::new(message) });
    }

    /// Hands a view to the data path if something in it changed.
    fn apply(&mut self, now: Time) {
        if self.membership.declared_dead() {
            self.apply_without_shards();
        }
        self.hosts_changed |= self.leaving_hosts.expire(now);
        if std::mem::take(&mut self.hosts_changed) {
            self.update_hosts();
        }
        if std::mem::take(&mut self.dirty) {
            let members = Arc::clone(&self.members);
            self.push_view(members);
        }
    }

    /// Brings up to date what depends on the reachable members.
    fn members_changed(&mut self) {
        self.revision = self.membership.revision();
        let members = self.membership.reachable();
        self.dirty |= self.members[..] != members[..];
        self.members = members.into();
        self.store.contender = self.is_contender();
        self.remove_dead_peers();
    }

    /// Brings the states of hosts up to date. Load figures alone are no reason for a new view.
    fn update_hosts(&mut self) {
        let mut hosts = map::seeded(self.settings.seed);
        hosts.extend(self.health.hosts());
        for address in self.leaving_hosts.hosts() {
            let host: &mut view::Host = hosts.entry(address).or_default();
            if host.state.takes_new_flows() {
                host.state = view::HostState::Draining;
            }
        }
        let state =
            |map: &Map<Ipv4Addr, view::Host>, address: &Ipv4Addr| map.get(address).copied().unwrap_or_default().state;
        let differs = |address: &Ipv4Addr| state(&hosts, address) != state(&self.hosts, address);
        self.dirty |= hosts.keys().chain(self.hosts.keys()).any(differs);
        self.hosts = hosts;
    }

    /// Hands out a view in which this node owns nothing. Others owned its shards while they held it dead, so the data
    /// path has to see that it lost and regained them.
    fn apply_without_shards(&mut self) {
        let mut members = self.membership.reachable();
        for member in &mut members {
            if member.id == self.settings.id {
                member.presence = view::Presence::Leaving;
            }
        }
        self.push_view(members.into());
        self.dirty = true;
    }

    fn push_view(&mut self, members: Arc<[view::Member]>) {
        let view =
            view::View { me: self.settings.id, config: self.config.current().cloned(), members, hosts: self.hosts() };
        self.actions.push(Action::Apply(view));
    }

    fn event(&mut self, now: Time, name: &str, subject: String, detail: String) {
        self.actions.push(Action::Event(Event { time: now, name: name.to_owned(), subject, detail }));
    }
}
