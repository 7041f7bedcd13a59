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
use crate::map::{self, Map};
use crate::membership::{self, Letter, Membership};
use crate::path::MemberId;
use crate::store;
use crate::time::Time;
use crate::view;
use crate::wire::{self, Gossip, Record};

mod spread;

use spread::Spread;

/// blake3 digest of a manifest or a part.
pub type Digest = [u8; 32];

/// What became of offered or supplied bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Offer {
    /// The generation is lower than the one in force.
    Stale,
    /// The generation is in force already.
    Current,
    /// These parts are needed first.
    Missing(Vec<Digest>),
    /// The generation is in force from now on.
    Applied,
}

/// Configuration of a node. It verifies what peers and the store offer.
pub trait Configuration: Send {
    /// Offers the bytes of a manifest.
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

    /// Returns the manifest in force as it is served to peers.
    fn manifest(&self) -> Option<&[u8]>;

    /// Returns a part of the generation in force as it is served to peers.
    fn part(&self, digest: &Digest) -> Option<&[u8]>;

    /// Returns the compiled configuration in force.
    fn current(&self) -> Option<&Arc<view::Config>>;
}

/// Settings of [`Node`]. Times are in milliseconds.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Identifies this process; random for each start.
    pub id: MemberId,
    /// Name of the node.
    pub name: String,
    /// Zone of the node.
    pub zone: String,
    /// Region of the node.
    pub region: String,
    /// Fleet, which names the manifest in the store.
    pub fleet: String,
    /// HTTP address for peers.
    pub peer: SocketAddr,
    /// UDP address for relayed packets.
    pub relay: SocketAddr,
    /// Seed of random choices.
    pub seed: u64,
    /// Members that get a push of a new generation.
    pub fanout: usize,
    /// Time for a fetch from a peer or the store.
    pub fetch_ms: u64,
    /// First pause before a peer that failed is asked again; doubles with each failure.
    pub backoff_ms: u64,
    /// Longest such pause.
    pub backoff_most_ms: u64,
    /// Settings of the membership.
    pub membership: membership::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        let unset = SocketAddr::from(([127, 0, 0, 1], 1));
        Self {
            id: MemberId(0),
            name: "balancer".to_owned(),
            zone: "zone".to_owned(),
            region: "region".to_owned(),
            fleet: "fleet".to_owned(),
            peer: unset,
            relay: unset,
            seed: 0,
            fanout: 3,
            // Several tries fit into the 7 s in which a configuration has to be in force.
            fetch_ms: 700,
            backoff_ms: 100,
            backoff_most_ms: 5000,
            membership: membership::Settings::default(),
        }
    }
}

/// Identifies a store call of one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// What the caller of a [`Node`] has to do.
#[derive(Debug, Clone)]
pub enum Action {
    /// Sends a message; the outcome comes back as [`Answer::Gossip`].
    SendGossip {
        /// Peer address of the receiver.
        to: SocketAddr,
        /// The message.
        message: Box<Gossip>,
    },
    /// Calls the store; the outcome comes back as [`Answer::Store`].
    Store {
        /// Identifies the call in its answer.
        id: CallId,
        /// The call.
        call: store::Call,
        /// When the outcome is of no use any more.
        deadline: Time,
    },
    /// Fetches the manifest of a peer; the outcome comes back as [`Answer::Manifest`].
    FetchManifest {
        /// Peer address.
        peer: SocketAddr,
    },
    /// Fetches a part from a peer; the outcome comes back as [`Answer::Part`].
    FetchPart {
        /// Peer address.
        peer: SocketAddr,
        /// Digest of the part.
        digest: Digest,
    },
    /// Polls the load report of a host; the outcome comes back as [`Answer::Load`].
    Poll {
        /// Address of the host.
        host: Ipv4Addr,
    },
    /// Hands a new view to the data path.
    Apply(view::View),
    /// Records an event.
    Event(Event),
}

/// Outcome of an action.
#[derive(Debug)]
pub enum Answer<'a> {
    /// Of [`Action::SendGossip`].
    Gossip {
        /// Peer address of the receiver.
        to: SocketAddr,
        /// The answer of the peer.
        outcome: std::result::Result<&'a Gossip, &'a Error>,
    },
    /// Of [`Action::Store`].
    Store {
        /// Id of the call.
        id: CallId,
        /// Outcome.
        outcome: &'a store::Outcome,
    },
    /// Of [`Action::FetchManifest`].
    Manifest {
        /// Peer address.
        peer: SocketAddr,
        /// Bytes of the manifest.
        outcome: std::result::Result<&'a [u8], &'a Error>,
    },
    /// Of [`Action::FetchPart`].
    Part {
        /// Peer address.
        peer: SocketAddr,
        /// Digest of the part.
        digest: Digest,
        /// Bytes of the part.
        outcome: std::result::Result<&'a [u8], &'a Error>,
    },
    /// Of [`Action::Poll`].
    Load {
        /// Address of the host.
        host: Ipv4Addr,
        /// Body of the report.
        outcome: std::result::Result<&'a [u8], &'a Error>,
    },
}

/// The control side of one balancer.
pub struct Node {
    settings: Settings,
    config: Box<dyn Configuration>,
    membership: Membership,
    spread: Spread,
    actions: Vec<Action>,
    hosts: Map<Ipv4Addr, view::Host>,
    members: Arc<[view::Member]>,
    revision: u64,
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
        let members = membership::Settings { seed: settings.seed, ..settings.membership.clone() };
        Self {
            membership: Membership::new(now, members, me),
            spread: Spread::default(),
            actions: Vec::new(),
            hosts: map::seeded(settings.seed),
            members: Arc::new([]),
            revision: 0,
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
    pub fn message(&mut self, now: Time, message: &Gossip) -> Result<Gossip> {
        membership::check(self.membership.me(), message)?;
        self.gossip(now, message);
        let answer = self.compose(&Letter::to(&message.sender), message.page);
        self.settle(now);
        Ok(answer)
    }

    /// Takes the outcome of an action.
    ///
    /// # Errors
    ///
    /// The fault of an answer that is not valid; it counts as a failure of the action.
    pub fn answer(&mut self, now: Time, answer: &Answer<'_>) -> Result<()> {
        let result = match answer {
            Answer::Gossip { to, outcome } => self.gossip_answer(now, *to, *outcome),
            Answer::Manifest { peer, outcome } => self.manifest_answer(now, *peer, *outcome),
            Answer::Part { peer, digest, outcome } => self.part_answer(now, *peer, *digest, *outcome),
            Answer::Store { .. } | Answer::Load { .. } => Ok(()),
        };
        self.settle(now);
        result
    }

    /// Performs what is due.
    pub fn tick(&mut self, now: Time) {
        self.membership.tick(now);
        self.settle(now);
    }

    /// Returns the time of the next tick.
    #[must_use]
    pub fn deadline(&self) -> Time {
        self.membership.deadline().min(self.spread.deadline())
    }

    /// Takes the actions that are due.
    pub fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Announces to several peers at once that this node leaves.
    pub fn leave(&mut self, now: Time) {
        self.membership.leave(now);
        self.settle(now);
    }

    /// Returns the manifest in force as it is served to peers.
    #[must_use]
    pub fn manifest(&self) -> Option<&[u8]> {
        self.config.manifest()
    }

    /// Returns a part in force as it is served to peers.
    #[must_use]
    pub fn part(&self, digest: &Digest) -> Option<&[u8]> {
        self.config.part(digest)
    }

    fn gossip(&mut self, now: Time, gossip: &Gossip) {
        self.membership.receive(now, gossip);
        self.spread.heard(&gossip.sender, gossip.generation);
    }

    fn gossip_answer(
        &mut self,
        now: Time,
        to: SocketAddr,
        outcome: std::result::Result<&Gossip, &Error>,
    ) -> Result<()> {
        let Ok(gossip) = outcome else {
            self.membership.failed(now, to);
            return Ok(());
        };
        membership::check(self.membership.me(), gossip)?;
        self.membership.answered(now, to, gossip.sender.id);
        self.gossip(now, gossip);
        self.membership.paged(gossip);
        Ok(())
    }

    /// Returns the message of `letter`; `page` is a page of the table that it has to carry.
    fn compose(&mut self, letter: &Letter, page: Option<MemberId>) -> Gossip {
        let (updates, next) = self.membership.updates(letter.member, page);
        Gossip {
            version: wire::VERSION,
            sender: self.membership.me().clone(),
            generation: self.config.generation(),
            digest: self.config.digest(),
            updates,
            leaving: Vec::new(),
            ping: letter.ping,
            pong: letter.pong,
            page: letter.page.or(next),
        }
    }

    /// Turns the state after an input into actions.
    fn settle(&mut self, now: Time) {
        self.spread(now);
        self.apply();
        for event in self.membership.events() {
            self.actions.push(Action::Event(event));
        }
        for letter in self.membership.letters() {
            self.send(&letter);
        }
    }

    fn send(&mut self, letter: &Letter) {
        let message = self.compose(letter, None);
        self.actions.push(Action::SendGossip { to: letter.to, message: Box::new(message) });
    }

    /// Hands a view to the data path if something in it changed.
    fn apply(&mut self) {
        if self.membership.condemned() {
            self.apply_condemned();
        }
        if self.revision != self.membership.revision() {
            self.revision = self.membership.revision();
            let members = self.membership.reachable();
            self.dirty |= self.members[..] != members[..];
            self.members = members.into();
        }
        if std::mem::take(&mut self.dirty) {
            let members = Arc::clone(&self.members);
            self.push_view(members);
        }
    }

    /// Hands out a view in which this node owns nothing. Others owned its shards while they held it dead, so the data
    /// path has to see that it lost and regained them.
    fn apply_condemned(&mut self) {
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
        let view = view::View {
            me: self.settings.id,
            config: self.config.current().cloned(),
            members,
            hosts: Arc::new(self.hosts.clone()),
        };
        self.actions.push(Action::Apply(view));
    }

    fn event(&mut self, now: Time, name: &str, subject: String, detail: String) {
        self.actions.push(Action::Event(Event { time: now, name: name.to_owned(), subject, detail }));
    }
}
