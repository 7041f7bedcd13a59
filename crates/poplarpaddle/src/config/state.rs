//! The generation in force at a node, and the parts that are missing for a newer one.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::compile::{Services, assemble, compile_part, priorities};
use super::update::{Generation, Update};
use super::{Digest, MAX_TOTAL_BYTES, Manifest, Part};
use crate::control::Configuration;
use crate::error::{Error, Kind, Result};
use crate::map::{Map, seeded};
use crate::view;

/// Result of offering a manifest or supplying a part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Offer {
    /// A higher generation is in force or being fetched.
    Stale,
    /// The generation in force already contains it.
    Current,
    /// These parts are missing; the generation is put in force once they are supplied.
    Missing(Vec<Digest>),
    /// The generation was put in force.
    Applied,
}

/// Encoded parts by their digests.
pub(super) type Parts = Map<Digest, Arc<[u8]>>;

/// The configuration of one node: the generation in force and the one being fetched.
#[derive(Debug)]
pub struct State {
    fleet: String,
    active: Option<Active>,
    pending: Option<Pending>,
    /// True after an update failed; the next fetch requests the full manifest and parts.
    needs_full: bool,
}

/// The generation in force.
#[derive(Debug)]
struct Active {
    bytes: Vec<u8>,
    digest: Digest,
    parts: Parts,
    /// Compiled services of each bucket, `None` for an empty one; reused for the next generation.
    buckets: Vec<Option<Bucket>>,
    /// Update from the previous generation, as served to peers.
    update: Option<Response>,
    config: Arc<view::Config>,
}

/// Response to peers that have the manifest `base`: an encoded update.
#[derive(Debug)]
struct Response {
    base: Digest,
    bytes: Vec<u8>,
}

/// The compiled part of a bucket.
#[derive(Debug, Clone)]
struct Bucket {
    digest: Digest,
    services: Services,
}

/// A generation whose missing parts are being fetched.
#[derive(Debug)]
struct Pending {
    bytes: Vec<u8>,
    digest: Digest,
    manifest: Manifest,
    parts: Parts,
    missing: BTreeSet<Digest>,
    /// Total size of the parts in bytes.
    total: usize,
}

impl State {
    /// Creates the state of a node of `fleet`, without a configuration.
    #[must_use]
    pub fn new(fleet: &str) -> Self {
        Self { fleet: fleet.to_owned(), active: None, pending: None, needs_full: false }
    }

    /// Accepts the bytes of a manifest from the store or a peer, or those of an update from a peer.
    ///
    /// Parts of the generation in force are reused, so only changed ones are missing.
    ///
    /// # Errors
    ///
    /// [`Kind::Message`] when it is malformed or belongs to another fleet, [`Kind::Limit`] when it exceeds a limit,
    /// [`Kind::Digest`] when its generation is in force with different content, [`Kind::Object`] when it does not
    /// compile. The generation in force does not change.
    pub fn offer(&mut self, manifest: &[u8]) -> Result<Offer> {
        if Update::is_update(manifest) {
            let offer = self.offer_update(manifest);
            self.needs_full |= offer.is_err();
            return offer;
        }
        let digest = Digest::of(manifest);
        if digest == self.digest() {
            return Ok(Offer::Current);
        }
        if let Some(pending) = self.pending.as_ref().filter(|pending| pending.digest == digest) {
            return Ok(pending.offer());
        }
        let decoded = Manifest::decode(manifest)?;
        self.verify(&decoded, digest)?;
        let pending_generation = self.pending.as_ref().map_or(0, |pending| pending.manifest.generation);
        if decoded.generation < self.generation().max(pending_generation) {
            return Ok(Offer::Stale);
        }
        self.pending = Some(self.start(manifest.to_vec(), digest, decoded)?);
        self.try_apply()
    }

    /// Accepts the bytes of a part.
    ///
    /// # Errors
    ///
    /// [`Kind::Digest`] when neither the generation in force nor the one being fetched contains a part with the digest
    /// of these bytes. [`Kind::Limit`] when the parts together exceed a limit, [`Kind::Message`] or [`Kind::Object`]
    /// when the generation does not compile; it is then discarded. The generation in force does not change.
    pub fn supply(&mut self, part: &[u8]) -> Result<Offer> {
        let digest = Digest::of(part);
        let Some(pending) = self.pending.as_mut().filter(|pending| pending.missing.contains(&digest)) else {
            return self.supply_known(digest);
        };
        pending.add(digest, Arc::from(part)).inspect_err(|_error| self.pending = None)?;
        self.try_apply()
    }

    /// Returns the number of the generation in force, 0 for none.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.active.as_ref().map_or(0, |active| active.config.generation)
    }

    /// Returns the digest of the manifest in force, all zeros for none.
    #[must_use]
    pub fn digest(&self) -> Digest {
        self.active.as_ref().map_or_else(Digest::default, |active| active.digest)
    }

    /// Returns the digest of the manifest from which an update of a peer may start, all zeros when the node needs the
    /// full manifest and parts.
    #[must_use]
    pub fn base(&self) -> Digest {
        if self.needs_full { Digest::default() } else { self.digest() }
    }

    /// Returns the encoded update from the manifest `base` to the one in force, as served to peers.
    #[must_use]
    pub fn update(&self, base: &Digest) -> Option<&[u8]> {
        let update = self.active.as_ref().and_then(|active| active.update.as_ref());
        update.filter(|update| update.base == *base).map(|update| update.bytes.as_slice())
    }

    /// Returns the encoded manifest in force, as served to peers.
    #[must_use]
    pub fn manifest(&self) -> Option<&[u8]> {
        self.active.as_ref().map(|active| active.bytes.as_slice())
    }

    /// Returns an encoded part of the generation in force or being fetched, as served to peers.
    #[must_use]
    pub fn part(&self, digest: &Digest) -> Option<&[u8]> {
        let active = self.active.as_ref().and_then(|active| active.parts.get(digest));
        let pending = || self.pending.as_ref().and_then(|pending| pending.parts.get(digest));
        active.or_else(pending).map(AsRef::as_ref)
    }

    /// Returns the compiled generation in force.
    #[must_use]
    pub fn current(&self) -> Option<&Arc<view::Config>> {
        self.active.as_ref().map(|active| &active.config)
    }

    fn offer_update(&mut self, bytes: &[u8]) -> Result<Offer> {
        let update = Update::decode(bytes)?;
        if update.digest == self.digest() {
            return Ok(Offer::Current);
        }
        if update.manifest.generation <= self.generation() {
            return Ok(Offer::Stale);
        }
        let Some(active) = &self.active else {
            let message = format!("update: base is {}, allowed: none without a configuration in force", update.base);
            return Err(Error::new(Kind::Digest, message));
        };
        let manifest = Manifest::decode(&active.bytes)?;
        let rebuilt =
            update.rebuild(Generation { digest: active.digest, manifest: &manifest, parts: &active.parts })?;
        let mut offer = self.offer(&rebuilt.manifest)?;
        for part in rebuilt.parts {
            if matches!(offer, Offer::Missing(_)) {
                offer = self.supply(&part)?;
            }
        }
        Ok(offer)
    }

    fn verify(&self, manifest: &Manifest, digest: Digest) -> Result<()> {
        if manifest.fleet != self.fleet {
            let message = format!("manifest: fleet is {:?}, allowed: {:?}", manifest.fleet, self.fleet);
            return Err(Error::new(Kind::Message, message));
        }
        if manifest.generation == self.generation() {
            let (generation, own) = (manifest.generation, self.digest());
            let message = format!("manifest: digest of generation {generation} is {digest}, allowed: {own}");
            return Err(Error::new(Kind::Digest, message));
        }
        Ok(())
    }

    fn start(&self, bytes: Vec<u8>, digest: Digest, manifest: Manifest) -> Result<Pending> {
        let missing = manifest.digests().collect();
        let mut pending = Pending { bytes, digest, manifest, parts: seeded(0), missing, total: 0 };
        for digest in pending.manifest.digests().collect::<Vec<_>>() {
            let active = self.active.as_ref().and_then(|active| active.parts.get(&digest));
            let before = || self.pending.as_ref().and_then(|pending| pending.parts.get(&digest));
            if let Some(part) = active.or_else(before) {
                pending.add(digest, Arc::clone(part))?;
            }
        }
        Ok(pending)
    }

    fn supply_known(&self, digest: Digest) -> Result<Offer> {
        if self.part(&digest).is_some() {
            return Ok(self.pending.as_ref().map_or(Offer::Current, Pending::offer));
        }
        let generation = self.generation();
        let message = format!("part: digest is {digest}, allowed: a missing part of a generation above {generation}");
        Err(Error::new(Kind::Digest, message))
    }

    /// Puts the pending generation in force unless parts are missing.
    fn try_apply(&mut self) -> Result<Offer> {
        if let Some(pending) = self.pending.as_ref().filter(|pending| !pending.missing.is_empty()) {
            return Ok(pending.offer());
        }
        let Some(pending) = self.pending.take() else {
            return Ok(Offer::Current);
        };
        let buckets = self.compile(&pending)?;
        let config = Arc::new(assemble(&pending.manifest, buckets.iter().flatten().map(|bucket| &bucket.services))?);
        let update = self.encode_update(&pending);
        let Pending { bytes, digest, parts, .. } = pending;
        self.active = Some(Active { bytes, digest, parts, buckets, update, config });
        self.needs_full = false;
        Ok(Offer::Applied)
    }

    /// Returns the update from the generation in force to the pending one. Without it, peers fetch the full manifest
    /// and parts.
    fn encode_update(&self, pending: &Pending) -> Option<Response> {
        let active = self.active.as_ref()?;
        let manifest = Manifest::decode(&active.bytes).ok()?;
        let old = Generation { digest: active.digest, manifest: &manifest, parts: &active.parts };
        let new = Generation { digest: pending.digest, manifest: &pending.manifest, parts: &pending.parts };
        let bytes = Update::between(old, new).ok()??;
        Some(Response { base: active.digest, bytes })
    }

    /// Compiles the parts that the generation in force does not contain. Parts are decoded one at a time, so that peak
    /// memory does not include a second copy of all targets.
    fn compile(&self, pending: &Pending) -> Result<Vec<Option<Bucket>>> {
        let manifest = &pending.manifest;
        let priorities = priorities(manifest);
        // Compiled ports contain the index of their priority, and the check of a bucket depends on the number of
        // buckets.
        let reusable =
            |active: &&Active| active.buckets.len() == manifest.parts.len() && active.config.priorities == priorities;
        let base = self.active.as_ref().filter(reusable);
        let mut buckets = Vec::with_capacity(manifest.parts.len());
        for (index, digest) in manifest.parts.iter().enumerate() {
            let known = base.and_then(|active| active.buckets[index].as_ref());
            buckets.push(match (digest, known) {
                (None, _) => None,
                (Some(digest), Some(known)) if known.digest == *digest => Some(known.clone()),
                (Some(digest), _) => {
                    let services = compile_part(manifest, &priorities, index, pending.decode(digest)?)?;
                    Some(Bucket { digest: *digest, services })
                }
            });
        }
        Ok(buckets)
    }
}

impl Pending {
    fn offer(&self) -> Offer {
        Offer::Missing(self.missing.iter().copied().collect())
    }

    fn add(&mut self, digest: Digest, part: Arc<[u8]>) -> Result<()> {
        if !self.missing.remove(&digest) {
            return Ok(());
        }
        self.total += part.len();
        if self.total > MAX_TOTAL_BYTES {
            let (generation, total) = (self.manifest.generation, self.total);
            let message = format!(
                "manifest: parts of generation {generation} have {total} bytes or more, allowed: up to {MAX_TOTAL_BYTES}"
            );
            return Err(Error::new(Kind::Limit, message));
        }
        self.parts.insert(digest, part);
        Ok(())
    }

    fn decode(&self, digest: &Digest) -> Result<Part> {
        let bytes = self.parts.get(digest).map_or(&[][..], AsRef::as_ref);
        Part::decode(bytes)
    }
}

impl Configuration for State {
    fn offer(&mut self, manifest: &[u8]) -> Result<Offer> {
        Self::offer(self, manifest)
    }

    fn supply(&mut self, part: &[u8]) -> Result<Offer> {
        Self::supply(self, part)
    }

    fn generation(&self) -> u64 {
        Self::generation(self)
    }

    fn digest(&self) -> Digest {
        Self::digest(self)
    }

    fn base(&self) -> Digest {
        Self::base(self)
    }

    fn update(&self, base: &Digest) -> Option<&[u8]> {
        Self::update(self, base)
    }

    fn manifest(&self) -> Option<&[u8]> {
        Self::manifest(self)
    }

    fn part(&self, digest: &Digest) -> Option<&[u8]> {
        Self::part(self, digest)
    }

    fn current(&self) -> Option<&Arc<view::Config>> {
        Self::current(self)
    }
}
