//! The control plane of a balancer: membership, configuration, leases and target health in one state machine.
//!
//! [`Node`] receives the time, messages from peers and the outcomes of its actions, and returns [`Action`]s. It
//! performs no I/O.
//!
//! # Trade-offs
//!
//! Actions are plain data that the caller may perform in any order. A lost action costs only time: each has a deadline,
//! after which the node retries, with another peer if there is one.

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
use leaving::Hosts;
pub use settings::Settings;
pub use status::{Lease, Member, Status, Target};
use store_client::Client;

/// Configuration of a node. It verifies the manifests and parts that peers and the store offer.
pub trait Configuration: Send {
    /// Offers the bytes of a manifest, or of an update.
    ///
    /// # Errors
    ///
    /// The reason why the manifest or update is invalid.
    fn offer(&mut self, manifest: &[u8]) -> Result<Offer>;

    /// Supplies the bytes of a part.
    ///
    /// # Errors
    ///
    /// The reason why the part, or the generation that it completes, is invalid.
    fn supply(&mut self, part: &[u8]) -> Result<Offer>;

    /// Returns the number of the generation in force, 0 for none.
    fn generation(&self) -> u64;

    /// Returns the digest of the manifest in force.
    fn digest(&self) -> Digest;

    /// Returns the digest of the manifest from which an update of a peer may start, all zeros for none.
    fn base(&self) -> Digest {
        self.digest()
    }

    /// Returns the encoded update from the manifest `base` to the one in force, as served to peers.
    fn update(&self, _base: &Digest) -> Option<&[u8]> {
        None
    }

    /// Returns the encoded manifest in force, as served to peers.
    fn manifest(&self) -> Option<&[u8]>;

    /// Returns an encoded part of the generation in force or being fetched, as served to peers.
    fn part(&self, digest: &Digest) -> Option<&[u8]>;

    /// Returns the compiled configuration in force.
    fn current(&self) -> Option<&Arc<view::Config>>;
}

/// The control plane of one balancer.
pub struct Node {
    settings: Settings,
    config: Box<dyn Configuration>,
    membership: Membership,
    fetcher: Fetcher,
    store: Client,
    health: Health,
    leaving_hosts: Hosts,
    actions: Vec<Action>,
    hosts: Map<Ipv4Addr, view::Host>,
    members: Arc<[view::Member]>,
    /// Revision of the membership from which `members` was taken.
    revision: u64,
    /// True when `hosts` may be outdated.
    hosts_changed: bool,
    /// True when a new view has to be emitted.
    dirty: bool,
}

impl std::fmt::Debug for Node {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Node").field("id", &self.settings.id).finish_non_exhaustive()
    }
}

impl Node {
    /// Creates a node that knows only itself and its seeds.
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
            store: Client::new(now, &settings),
            health,
            leaving_hosts: Hosts::default(),
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

    /// Handles a message from a peer and returns the response.
    ///
    /// # Errors
    ///
    /// [`Kind::Message`](crate::error::Kind::Message) when the message is invalid; it then has no effect.
    pub fn handle_message(&mut self, now: Time, message: &Gossip) -> Result<Gossip> {
        membership::check(self.membership.me(), message)?;
        self.receive_gossip(now, message);
        let response = self.build_message(now, &Outbound::to(&message.sender), message.page);
        self.emit_actions(now);
        Ok(response)
    }

    /// Handles the outcome of an action.
    ///
    /// # Errors
    ///
    /// The reason why a response is invalid; the action then counts as failed.
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

    /// Performs all work that is due at `now`.
    pub fn tick(&mut self, now: Time) {
        self.membership.tick(now);
        for host in self.health.tick(now) {
            self.actions.push(Action::Poll { host });
        }
        self.hosts_changed = true;
        self.emit_actions(now);
    }

    /// Sets the hosts whose load reports this node polls: the hosts of the shards that it owns.
    pub fn set_polled_hosts(&mut self, now: Time, hosts: &[Ipv4Addr]) {
        self.health.set_hosts(now, hosts);
        self.hosts_changed = true;
        self.emit_actions(now);
    }

    /// Returns the current states of the target hosts, as the next [`Action::Apply`] contains them.
    #[must_use]
    pub fn hosts(&self) -> Arc<Map<Ipv4Addr, view::Host>> {
        Arc::new(self.hosts.clone())
    }

    /// Returns the time at which the next tick is due.
    #[must_use]
    pub fn deadline(&self) -> Time {
        let inner = self.membership.deadline().min(self.fetcher.deadline());
        inner.min(self.store.deadline()).min(self.health.deadline())
    }

    /// Takes the actions that the caller has to perform.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Announces to several peers at once that this node is leaving.
    pub fn leave(&mut self, now: Time) {
        self.membership.leave(now);
        self.emit_actions(now);
    }

    /// Announces to several peers at once that this process exits now, at the end of its drain.
    pub fn stop(&mut self, now: Time) {
        self.membership.stop(now);
        self.emit_actions(now);
    }

    /// Returns what a peer with the manifest `base` fetches first: an update if there is one, otherwise the manifest in
    /// force.
    #[must_use]
    pub fn manifest(&self, base: &Digest) -> Option<&[u8]> {
        self.config.update(base).or_else(|| self.config.manifest())
    }

    /// Returns an encoded part, as served to peers.
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
            // Publishing never creates two manifests of one generation. The cause is a restored store or a second
            // store.
            self.event(now, "config.conflict", generation.to_string(), format!("differs at {}", gossip.sender.name));
        }
        for leaving in &gossip.leaving {
            self.record_leaving(now, *leaving);
        }
    }

    /// Records that a host is leaving.
    fn record_leaving(&mut self, now: Time, leaving: Leaving) {
        if self.leaving_hosts.insert(now, leaving) {
            self.hosts_changed = true;
            self.membership.request_push();
            self.event(now, "host.leaving", leaving.host.to_string(), String::new());
        }
    }

    /// Announces a misplaced host to the other members. They treat it like a leaving host and assign it no new flows,
    /// so an owner of its shard that has not polled it yet does not use it either.
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

    /// Builds the message for `outbound`. With `page`, the message also carries that page of the member table.
    fn build_message(&mut self, now: Time, outbound: &Outbound, page: Option<MemberId>) -> Gossip {
        let (updates, next) = self.membership.updates(outbound.member, page);
        // A member that reads the table may have joined after these entries were sent for the last time.
        let limit = if page.is_some() { u32::MAX } else { self.membership.retransmissions() };
        Gossip {
            version: wire::VERSION,
            sender: self.membership.me().clone(),
            generation: self.config.generation(),
            digest: self.config.digest().into(),
            table: self.membership.digest(),
            updates,
            leaving: self.leaving_hosts.next_batch(now, limit),
            ping: outbound.ping,
            pong: outbound.pong,
            page: outbound.page.or(next),
        }
    }

    /// Emits the actions that are due after an input.
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
        for outbound in self.membership.outbound() {
            self.send(now, &outbound);
        }
    }

    fn send(&mut self, now: Time, outbound: &Outbound) {
        let message = self.build_message(now, outbound, None);
        self.actions.push(Action::SendGossip { to: outbound.to, message: Box::new(message) });
    }

    /// Emits a new view for the data path if its content changed.
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

    /// Updates everything that depends on the reachable members.
    fn members_changed(&mut self) {
        self.revision = self.membership.revision();
        let members = self.membership.reachable();
        self.dirty |= self.members[..] != members[..];
        self.members = members.into();
        self.store.contender = self.is_contender();
        self.remove_dead_peers();
    }

    /// Updates the states of hosts. Changes of load figures alone do not cause a new view.
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

    /// Emits a view in which this node owns no shards. Other members owned its shards while they considered it dead, so
    /// the data path must observe that the node lost and regained them.
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
