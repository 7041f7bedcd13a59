//! Fetches newer configurations from peers.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::{Action, Digest, Node, Offer};
use crate::error::{Error, Result};
use crate::map;
use crate::membership::millis;
use crate::path::MemberId;
use crate::time::Time;
use crate::wire::{Record, State};

/// Maximum number of parts that are fetched at the same time.
const MAX_PARALLEL: usize = 4;

/// Maximum number of peers whose generation is recorded.
const MAX_PEERS: usize = 4096;

/// Maximum number of times that the backoff doubles.
const MAX_DOUBLINGS: u32 = 6;

/// Generation reported by a peer, and the backoff after failed fetches from it.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) address: SocketAddr,
    pub(super) generation: u64,
    failures: u32,
    retry: Time,
    /// Latest generation for which the manifest of the peer was found to differ from that of this node.
    conflict: u64,
}

/// A fetch whose outcome is pending.
#[derive(Debug)]
struct Fetch {
    /// Address of the peer, `None` for the store.
    peer: Option<SocketAddr>,
    until: Time,
}

/// Source of the missing parts.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) enum Source {
    /// The object store.
    #[default]
    Store,
    /// Peers that report at least this generation.
    Peer(u64),
}

/// Generations of the peers and pending fetches.
#[derive(Debug, Default)]
pub(super) struct Fetcher {
    pub(super) peers: BTreeMap<MemberId, Peer>,
    manifest: Option<Fetch>,
    /// Missing parts, each with its pending fetch.
    parts: BTreeMap<Digest, Option<Fetch>>,
    /// Source of the manifest whose parts are missing.
    pub(super) source: Source,
    retry: Option<Time>,
}

impl Fetcher {
    /// Records the generation that a peer reports.
    pub(super) fn record_generation(&mut self, sender: &Record, generation: u64) {
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&sender.id) {
            return;
        }
        let address = sender.peer;
        let new = Peer { address, generation, failures: 0, retry: Time::default(), conflict: 0 };
        let peer = self.peers.entry(sender.id).or_insert(new);
        peer.address = address;
        peer.generation = generation;
    }

    /// Returns true the first time that the manifest of a peer is found to differ for `generation`.
    pub(super) fn is_new_conflict(&mut self, id: MemberId, generation: u64) -> bool {
        let peer = self.peers.get_mut(&id).filter(|peer| peer.conflict != generation);
        peer.is_some_and(|peer| {
            peer.conflict = generation;
            true
        })
    }

    pub(super) fn deadline(&self) -> Time {
        let parts = self.parts.values().flatten();
        let fetches = parts.chain(&self.manifest).map(|fetch| fetch.until);
        fetches.chain(self.retry).min().unwrap_or(Time::NEVER)
    }

    /// Returns the peer with the highest generation above `above` from which the node `me` may fetch now. Ties are
    /// broken by the number of failures, then by a weight that differs between nodes; otherwise all nodes would choose
    /// the same peer.
    fn best_peer(&self, now: Time, above: u64, me: MemberId) -> Option<SocketAddr> {
        let candidates = self.peers.values().filter(|peer| peer.generation > above && now.reached(peer.retry));
        let weight = |peer: &Peer| map::hash(me.0, &peer.address);
        candidates.max_by_key(|peer| (peer.generation, Reverse(peer.failures), weight(peer))).map(|peer| peer.address)
    }

    fn next_retry(&self, above: u64) -> Option<Time> {
        self.peers.values().filter(|peer| peer.generation > above).map(|peer| peer.retry).min()
    }

    /// Records a failed fetch and starts the backoff of the peer.
    fn record_failure(&mut self, now: Time, address: SocketAddr, initial_ms: u64, max_ms: u64) {
        for peer in self.peers.values_mut().filter(|peer| peer.address == address) {
            let pause = (initial_ms << peer.failures.min(MAX_DOUBLINGS)).min(max_ms);
            peer.failures += 1;
            peer.retry = now + millis(pause);
        }
    }

    fn record_success(&mut self, address: SocketAddr) {
        for peer in self.peers.values_mut().filter(|peer| peer.address == address) {
            peer.failures = 0;
        }
    }

    /// Returns missing parts that are not being fetched, at most as many as may be fetched now.
    fn unrequested_parts(&self) -> Vec<Digest> {
        let running = self.parts.values().flatten().count();
        let unrequested = self.parts.iter().filter(|(_, fetch)| fetch.is_none()).map(|(digest, _)| *digest);
        unrequested.take(MAX_PARALLEL.saturating_sub(running)).collect()
    }

    /// Marks parts as being fetched and returns them.
    pub(super) fn start_parts(&mut self, peer: Option<SocketAddr>, until: Time) -> Vec<Digest> {
        let due = self.unrequested_parts();
        for digest in &due {
            self.parts.insert(*digest, Some(Fetch { peer, until }));
        }
        due
    }

    /// Ends the fetch of a part; returns false when the part is no longer missing.
    pub(super) fn finish_part(&mut self, digest: &Digest) -> bool {
        self.parts.get_mut(digest).map(Option::take).is_some()
    }

    fn clear(&mut self) {
        self.manifest = None;
        self.parts.clear();
        self.source = Source::Store;
    }

    /// Returns the generation that is being fetched from a peer, `in_force` if there is none or it is lower.
    fn pending_generation(&self, in_force: u64) -> u64 {
        match self.source {
            Source::Peer(generation) if !self.parts.is_empty() => generation.max(in_force),
            Source::Peer(_) | Source::Store => in_force,
        }
    }
}

impl Node {
    /// Starts the fetches that are due and retries those that timed out.
    pub(super) fn fetch(&mut self, now: Time) {
        self.expire_fetches(now);
        let generation = self.config.generation();
        self.fetcher.retry = None;
        self.fetch_parts(now);
        if self.fetcher.manifest.is_none() {
            let pending = self.fetcher.pending_generation(generation);
            match self.fetcher.best_peer(now, pending, self.settings.id) {
                Some(peer) => self.fetch_manifest(now, peer),
                None => self.fetcher.retry = self.fetcher.next_retry(pending),
            }
        }
    }

    fn fetch_manifest(&mut self, now: Time, peer: SocketAddr) {
        let until = now + millis(self.settings.fetch_ms);
        self.fetcher.manifest = Some(Fetch { peer: Some(peer), until });
        self.actions.push(Action::FetchManifest { peer, base: self.config.base() });
    }

    fn fetch_parts(&mut self, now: Time) {
        let Source::Peer(generation) = self.fetcher.source else { return };
        if self.fetcher.unrequested_parts().is_empty() {
            return;
        }
        let Some(peer) = self.fetcher.best_peer(now, generation.saturating_sub(1), self.settings.id) else {
            // No available peer has this generation, so the fetch restarts with the manifest of the next best peer.
            self.fetcher.parts.clear();
            return;
        };
        for digest in self.fetcher.start_parts(Some(peer), now + millis(self.settings.fetch_ms)) {
            self.actions.push(Action::FetchPart { peer, digest });
        }
    }

    fn expire_fetches(&mut self, now: Time) {
        let mut failed = Vec::new();
        if let Some(fetch) = self.fetcher.manifest.take_if(|fetch| now.reached(fetch.until)) {
            failed.extend(fetch.peer);
        }
        for slot in self.fetcher.parts.values_mut() {
            if let Some(fetch) = slot.take_if(|fetch| now.reached(fetch.until)) {
                failed.extend(fetch.peer);
            }
        }
        failed.sort_unstable();
        failed.dedup();
        for peer in failed {
            self.fetch_failed(now, peer);
        }
    }

    fn fetch_failed(&mut self, now: Time, peer: SocketAddr) {
        let (initial_ms, max_ms) = (self.settings.backoff_ms, self.settings.backoff_max_ms);
        self.fetcher.record_failure(now, peer, initial_ms, max_ms);
    }

    /// Removes the generations reported by members that are dead now.
    pub(super) fn remove_dead_peers(&mut self) {
        let membership = &self.membership;
        let alive = |id: &MemberId| membership.record(*id).is_some_and(|record| record.state != State::Dead);
        self.fetcher.peers.retain(|id, _| alive(id));
    }

    pub(super) fn on_manifest(
        &mut self,
        now: Time,
        peer: SocketAddr,
        outcome: std::result::Result<&[u8], &Error>,
    ) -> Result<()> {
        if self.fetcher.manifest.take_if(|fetch| fetch.peer == Some(peer)).is_none() {
            return Ok(());
        }
        let reported = self.fetcher.peers.values().filter(|known| known.address == peer).map(|known| known.generation);
        let reported = reported.max().unwrap_or(0);
        let result = outcome.map_err(Clone::clone).and_then(|bytes| self.offer(now, bytes));
        match result {
            Ok(Offer::Missing(_)) => self.fetcher.source = Source::Peer(reported),
            Ok(Offer::Applied) => self.fetcher.record_success(peer),
            // The fetch failed, the manifest is invalid, or the peer reported a higher generation than it serves.
            Ok(Offer::Stale | Offer::Current) | Err(_) => self.fetch_failed(now, peer),
        }
        result.map(|_| ())
    }

    pub(super) fn on_part(
        &mut self,
        now: Time,
        peer: SocketAddr,
        digest: Digest,
        outcome: std::result::Result<&[u8], &Error>,
    ) -> Result<()> {
        if !self.fetcher.finish_part(&digest) {
            return Ok(());
        }
        let result = outcome.map_err(Clone::clone).and_then(|bytes| self.supply(now, digest, bytes));
        match result {
            Ok(_) => self.fetcher.record_success(peer),
            Err(_) => self.fetch_failed(now, peer),
        }
        result.map(|_| ())
    }

    /// Offers a manifest and records its missing parts.
    pub(super) fn offer(&mut self, now: Time, bytes: &[u8]) -> Result<Offer> {
        let before = self.config.generation();
        let offer = self.config.offer(bytes)?;
        self.on_offer(now, before, &offer);
        Ok(offer)
    }

    /// Supplies the part `digest`.
    pub(super) fn supply(&mut self, now: Time, digest: Digest, bytes: &[u8]) -> Result<Offer> {
        let found = Digest::of(bytes);
        if found != digest {
            let text = format!("part {digest}: digest of the received bytes is {found}");
            return Err(Error::new(crate::error::Kind::Digest, text));
        }
        let before = self.config.generation();
        let offer = match self.config.supply(bytes) {
            Ok(offer) => offer,
            Err(error) => {
                // All parts are present and the generation does not compile: only another manifest can help.
                self.fetcher.parts.clear();
                return Err(error);
            }
        };
        self.fetcher.parts.remove(&digest);
        self.on_offer(now, before, &offer);
        Ok(offer)
    }

    fn on_offer(&mut self, now: Time, before: u64, offer: &Offer) {
        match offer {
            Offer::Missing(digests) => {
                let parts = &mut self.fetcher.parts;
                parts.retain(|digest, _| digests.contains(digest));
                for digest in digests {
                    parts.entry(*digest).or_insert(None);
                }
            }
            Offer::Applied => self.on_applied(now, before),
            Offer::Stale | Offer::Current => {}
        }
    }

    /// Propagates a new generation after it was put in force.
    fn on_applied(&mut self, now: Time, before: u64) {
        let generation = self.config.generation();
        self.fetcher.clear();
        if generation <= before {
            return;
        }
        self.dirty = true;
        if let Some(config) = self.config.current() {
            self.health.configure(config);
        }
        self.hosts_changed = true;
        self.membership.push_to(self.settings.fanout);
        self.store.reporter.expedite(now);
        let digest = self.config.digest();
        self.event(now, "config.applied", generation.to_string(), digest.to_string());
    }
}
