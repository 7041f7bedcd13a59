//! The generation that a publish is going to write.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde_json::Value;

use super::end::Published;
use crate::check;
use crate::config::{
    Digest, Entry, FORMAT, Manifest, Part, PublishId, Released, Seed, bucket_count, encode, newly_released,
    still_released, to_parts, to_set,
};
use crate::error::{Error, Kind, Result};
use crate::map::Map;
use crate::object::{Change, Fault, Input, Set};
use crate::store::Object;
use crate::time::Time;

/// The generation in the store on which a publish is based.
#[derive(Debug)]
pub(super) struct Base {
    pub(super) version: u64,
    pub(super) manifest: Manifest,
}

impl Base {
    pub(super) fn read(object: &Object, fleet: &str) -> Result<Self> {
        let manifest = Manifest::decode(&encode(&object.value)?)?;
        if manifest.fleet != fleet {
            let message = format!("manifest {fleet:?} in the store belongs to fleet {:?}", manifest.fleet);
            return Err(Error::new(Kind::Message, message));
        }
        Ok(Self { version: object.version, manifest })
    }
}

/// What a new generation follows.
#[derive(Debug, Clone, Copy)]
pub(super) struct Earlier<'a> {
    pub(super) base: Option<&'a Base>,
    /// Highest generation that a zone has in force.
    pub(super) in_force: u64,
}

/// A generation that has not been written yet.
#[derive(Debug)]
pub(super) struct Draft {
    manifest: Manifest,
    /// JSON values of the parts that the base does not contain, by digest.
    pub(super) parts: BTreeMap<Digest, Value>,
    /// Decoded form of `parts`.
    decoded: Map<Digest, Part>,
    /// JSON value of the manifest, set by [`Draft::encode_manifest`].
    pub(super) manifest_value: Value,
    part_bytes: usize,
    manifest_bytes: usize,
}

impl Draft {
    pub(super) fn new(fleet: &str, publish: PublishId, seed: Seed, set: &Set, earlier: Earlier<'_>) -> Result<Self> {
        let before = earlier.base.map(|base| &base.manifest);
        let count = bucket_count(set.targets.len(), before.map(|manifest| manifest.parts.len()))?;
        let manifest = Manifest {
            format: FORMAT,
            fleet: fleet.to_owned(),
            generation: before.map_or(0, |manifest| manifest.generation).max(earlier.in_force).saturating_add(1),
            publish,
            earlier: before.map(Manifest::lineage).unwrap_or_default(),
            seed: before.map_or(seed, |manifest| manifest.seed),
            zones: set.zones.values().cloned().collect(),
            priorities: set.priorities.values().cloned().collect(),
            parts: Vec::with_capacity(count),
            released: Vec::new(),
        };
        let decoded = crate::map::seeded(0);
        let (parts, manifest_value) = (BTreeMap::new(), Value::Null);
        let mut draft = Self { manifest, parts, decoded, manifest_value, part_bytes: 0, manifest_bytes: 0 };
        let known: BTreeSet<Digest> = before.into_iter().flat_map(Manifest::digests).collect();
        for (bucket, part) in to_parts(set, count).into_iter().enumerate() {
            draft.add(bucket, part, &known)?;
        }
        Ok(draft)
    }

    fn add(&mut self, bucket: usize, part: Part, known: &BTreeSet<Digest>) -> Result<()> {
        if part.services.is_empty() {
            self.manifest.parts.push(None);
            return Ok(());
        }
        let bytes = part.encode(bucket)?;
        let digest = Digest::of(&bytes);
        self.manifest.parts.push(Some(digest));
        if !known.contains(&digest) {
            self.part_bytes += bytes.len();
            let value = serde_json::from_slice(&bytes).map_err(|error| {
                Error::new(Kind::Internal, format!("part of bucket {bucket} cannot be decoded after encoding: {error}"))
            })?;
            self.parts.insert(digest, value);
            self.decoded.insert(digest, part);
        }
        Ok(())
    }

    /// Returns the digests of the parts of the base that the draft does not contain.
    pub(super) fn replaced(&self, base: Option<&Base>) -> VecDeque<Digest> {
        let kept: BTreeSet<Digest> = self.manifest.digests().collect();
        let before = base.into_iter().flat_map(|base| base.manifest.digests());
        before.filter(|digest| !kept.contains(digest)).collect()
    }

    /// Adds the endpoints and addresses that are released, and returns every fault of the objects.
    pub(super) fn check(
        &mut self,
        objects: &Input,
        base: Option<&Base>,
        replaced: &[&Part],
        now: Time,
        not_before: Time,
    ) -> Vec<Fault> {
        let entries: Vec<Entry> = replaced.iter().flat_map(|part| part.services.iter().cloned()).collect();
        let before = base.map_or(&[][..], |base| base.manifest.released.as_slice());
        let mut groups: Vec<Released> = still_released(before, &objects.set, now);
        groups.extend(newly_released(&entries, &objects.set, not_before));
        let mut faults = check::input(objects);
        faults.extend(check::released(&objects.set, &groups, now));
        self.manifest.released = groups;
        faults
    }

    /// Returns true when the draft contains the same objects as the base.
    pub(super) fn is_unchanged(&self, base: &Base) -> bool {
        let (ours, before) = (&self.manifest, &base.manifest);
        ours.parts == before.parts && ours.zones == before.zones && ours.priorities == before.priorities
    }

    /// Encodes the manifest.
    pub(super) fn encode_manifest(&mut self) -> Result<()> {
        let bytes = self.manifest.encode()?;
        self.manifest_bytes = bytes.len();
        self.manifest_value = serde_json::from_slice(&bytes).map_err(|error| {
            Error::new(Kind::Internal, format!("manifest cannot be decoded after encoding: {error}"))
        })?;
        Ok(())
    }

    pub(super) fn report(self, base: Option<&Base>, fetched: &Map<Digest, Part>) -> Published {
        let mut parts = fetched.clone();
        parts.extend(self.decoded);
        Published {
            generation: self.manifest.generation,
            publish: self.manifest.publish,
            parts: self.parts.len(),
            part_bytes: self.part_bytes,
            manifest_bytes: self.manifest_bytes,
            changes: changes(base, &self.manifest, &parts),
        }
    }
}

/// Returns the digests of the parts that only one of the two generations contains.
pub(super) fn differing_parts(base: Option<&Base>, other: &Manifest) -> Vec<Digest> {
    let before: BTreeSet<Digest> = base.into_iter().flat_map(|base| base.manifest.digests()).collect();
    let after: BTreeSet<Digest> = other.digests().collect();
    before.symmetric_difference(&after).copied().collect()
}

/// Returns the objects in which two generations differ. `parts` contains the parts that only one of them contains.
pub(super) fn changes(base: Option<&Base>, other: &Manifest, parts: &Map<Digest, Part>) -> Vec<Change> {
    let differing: BTreeSet<Digest> = differing_parts(base, other).into_iter().collect();
    let load = |manifest: &Manifest| {
        let digests = manifest.digests().filter(|digest| differing.contains(digest));
        let parts: Vec<Part> = digests.filter_map(|digest| parts.get(&digest).cloned()).collect();
        to_set(manifest, parts)
    };
    let before = base.map(|base| load(&base.manifest)).unwrap_or_default();
    before.changes(&load(other))
}
