//! Parts: the services of one bucket with their targets.

use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

use super::{Digest, MAX_BYTES, Manifest, decode, encode};
use crate::error::{Error, Kind, Result};
use crate::object::{Port, Service, Set, Target};

/// Buckets of a small fleet.
const MIN_BUCKETS: usize = 16;

/// Targets for each bucket in a large fleet.
///
/// With 320 targets of about 60 bytes a part is as long as the digests of 256 buckets in the manifest, which is where
/// the bytes that a node fetches for one change are fewest at 73,000 targets.
const TARGETS_PER_BUCKET: usize = 320;

/// A count up to this factor above the needed one is kept, since another count rewrites every part.
const MAX_EXCESS_FACTOR: usize = 4;

/// A target without its service; a row of six columns in JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "Columns", from = "Columns")]
pub struct Row {
    /// Name of the target.
    pub name: String,
    /// Name of the zone.
    pub zone: String,
    /// Address of the host.
    pub address: Ipv4Addr,
    /// Slots of the host.
    pub slots: u16,
    /// Connections that the host holds.
    pub connections: u32,
    /// True when the target takes no new flows.
    pub draining: bool,
}

#[derive(Serialize, Deserialize)]
struct Columns(String, String, Ipv4Addr, u16, u32, bool);

impl From<Row> for Columns {
    fn from(row: Row) -> Self {
        Self(row.name, row.zone, row.address, row.slots, row.connections, row.draining)
    }
}

impl From<Columns> for Row {
    fn from(columns: Columns) -> Self {
        let Columns(name, zone, address, slots, connections, draining) = columns;
        Self { name, zone, address, slots, connections, draining }
    }
}

impl From<&Target> for Row {
    fn from(target: &Target) -> Self {
        Self {
            name: target.name.clone(),
            zone: target.zone.clone(),
            address: target.address,
            slots: target.slots,
            connections: target.connections,
            draining: target.draining,
        }
    }
}

impl Row {
    fn into_target(self, service: &str) -> Target {
        let Self { name, zone, address, slots, connections, draining } = self;
        Target { name, service: service.to_owned(), zone, address, slots, connections, draining }
    }
}

/// A service with its targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Name of the service.
    pub name: String,
    /// Address that callers use.
    pub address: Ipv4Addr,
    /// Ports with their priorities.
    pub ports: Vec<Port>,
    /// Number of shards as the object says.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shards: Option<u16>,
    /// Targets in the order of their names.
    pub targets: Vec<Row>,
}

impl From<&Service> for Entry {
    fn from(service: &Service) -> Self {
        Self {
            name: service.name.clone(),
            address: service.address,
            ports: service.ports.clone(),
            shards: service.shards,
            targets: Vec::new(),
        }
    }
}

/// The services of one bucket.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// Services in the order of their names.
    pub services: Vec<Entry>,
}

impl Part {
    /// Reads a part from its JSON bytes.
    ///
    /// # Errors
    ///
    /// [`Kind::Limit`] when it exceeds [`MAX_BYTES`], [`Kind::Message`] when it is malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        decode("part", bytes)
    }

    /// Returns the JSON bytes of the part of `bucket`.
    ///
    /// # Errors
    ///
    /// [`Kind::Limit`] when they exceed [`MAX_BYTES`]; the message names the bucket and its largest service.
    pub fn encode(&self, bucket: usize) -> Result<Vec<u8>> {
        let bytes = encode(self)?;
        if bytes.len() <= MAX_BYTES {
            return Ok(bytes);
        }
        let largest = self.services.iter().max_by_key(|entry| entry.targets.len());
        let (name, targets) = largest.map_or(("", 0), |entry| (entry.name.as_str(), entry.targets.len()));
        let message = format!(
            "part of bucket {bucket} has {} bytes, allowed: up to {MAX_BYTES}; its largest service is {name:?} with \
             {targets} targets",
            bytes.len()
        );
        Err(Error::new(Kind::Limit, message))
    }
}

/// Returns the number of buckets for `targets` targets.
///
/// It is the smallest power of two that is at least 16 and gives at most 320 targets to a bucket on average. The count
/// `before` of the last generation is kept while it is at least that and at most four times that.
///
/// # Errors
///
/// [`Kind::Limit`] when there are too many targets for [`super::MAX_BUCKETS`].
pub fn bucket_count(targets: usize, previous: Option<usize>) -> Result<usize> {
    let needed = targets.div_ceil(TARGETS_PER_BUCKET).next_power_of_two().max(MIN_BUCKETS);
    if needed > super::MAX_BUCKETS {
        let allowed = super::MAX_BUCKETS * TARGETS_PER_BUCKET;
        return Err(Error::new(Kind::Limit, format!("the set has {targets} targets, allowed: up to {allowed}")));
    }
    let kept = previous.filter(|count| (needed..=needed * MAX_EXCESS_FACTOR).contains(count));
    Ok(kept.unwrap_or(needed))
}

/// Returns the bucket of a service, the same on every platform and version.
#[must_use]
pub fn bucket_of(service: &str, buckets: usize) -> usize {
    let digest = blake3::hash(service.as_bytes());
    let prefix = digest.as_bytes().first_chunk().map_or(0, |bytes| u64::from_le_bytes(*bytes));
    let index = prefix % (buckets.max(1) as u64);
    usize::try_from(index).unwrap_or(0)
}

/// Divides the services of a set with their targets into `buckets` parts. Targets without a service are left out.
#[must_use]
pub fn to_parts(set: &Set, buckets: usize) -> Vec<Part> {
    let mut entries: std::collections::BTreeMap<&str, Entry> =
        set.services.values().map(|service| (service.name.as_str(), Entry::from(service))).collect();
    for target in set.targets.values() {
        if let Some(entry) = entries.get_mut(target.service.as_str()) {
            entry.targets.push(Row::from(target));
        }
    }
    let mut parts = vec![Part::default(); buckets.max(1)];
    for (name, entry) in entries {
        parts[bucket_of(name, buckets)].services.push(entry);
    }
    parts
}

/// Returns the set that a manifest and parts hold.
#[must_use]
pub fn to_set(manifest: &Manifest, parts: impl IntoIterator<Item = Part>) -> Set {
    let mut set = Set::default();
    set.zones.extend(manifest.zones.iter().map(|zone| (zone.name.clone(), zone.clone())));
    set.priorities.extend(manifest.priorities.iter().map(|priority| (priority.name.clone(), priority.clone())));
    for entry in parts.into_iter().flat_map(|part| part.services) {
        let Entry { name, address, ports, shards, targets } = entry;
        let targets = targets.into_iter().map(|row| row.into_target(&name));
        set.targets.extend(targets.map(|target| (target.name.clone(), target)));
        set.services.insert(name.clone(), Service { name, address, ports, shards });
    }
    set
}

impl Digest {
    /// Returns the name of the store object that holds the part with this digest.
    #[must_use]
    pub fn object_name(&self) -> String {
        self.to_string()
    }
}
