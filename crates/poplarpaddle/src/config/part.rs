//! Parts: the services of one bucket with their targets.

use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

use super::{Digest, MAX_BYTES, Manifest, decode, encode};
use crate::error::{Error, Kind, Result};
use crate::object::{Port, Service, Set, Target};

/// Minimum number of buckets.
const MIN_BUCKETS: usize = 16;

/// Maximum average number of targets for each bucket.
///
/// A part with 320 targets of about 60 bytes is as long as the digests of 256 buckets in the manifest. At 73,000
/// targets this minimizes the number of bytes that a node fetches for one change.
const TARGETS_PER_BUCKET: usize = 320;

/// A bucket count is kept while it is at most this many times the needed one, because changing it rewrites every part.
const MAX_EXCESS_FACTOR: usize = 4;

/// A target without its service. In JSON it is an array of six columns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "Columns", from = "Columns")]
pub struct Row {
    /// Name of the target.
    pub name: String,
    /// Name of the zone.
    pub zone: String,
    /// Address of the host.
    pub address: Ipv4Addr,
    /// Number of slots of the host.
    pub slots: u16,
    /// Maximum number of open connections of the host.
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

/// A service with its targets, as listed in a part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Name of the service.
    pub name: String,
    /// Address to which callers connect.
    pub address: Ipv4Addr,
    /// Ports with their priorities.
    pub ports: Vec<Port>,
    /// Number of shards, if the service object sets one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shards: Option<u16>,
    /// Targets, sorted by name.
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
    /// Services, sorted by name.
    pub services: Vec<Entry>,
}

impl Part {
    /// Decodes a part from its JSON bytes.
    ///
    /// # Errors
    ///
    /// [`Kind::Limit`] when it exceeds [`MAX_BYTES`], [`Kind::Message`] when it is malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        decode("part", bytes)
    }

    /// Encodes the part of `bucket` as JSON.
    ///
    /// # Errors
    ///
    /// [`Kind::Limit`] when the result exceeds [`MAX_BYTES`]; the message names the bucket and its largest service.
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
/// The needed number is the smallest power of two that is at least 16 and gives a bucket at most 320 targets on
/// average. The `previous` number is kept while it is at least the needed one and at most four times as high.
///
/// # Errors
///
/// [`Kind::Limit`] when there are too many targets for [`super::MAX_BUCKETS`] buckets.
pub fn bucket_count(targets: usize, previous: Option<usize>) -> Result<usize> {
    let needed = targets.div_ceil(TARGETS_PER_BUCKET).next_power_of_two().max(MIN_BUCKETS);
    if needed > super::MAX_BUCKETS {
        let allowed = super::MAX_BUCKETS * TARGETS_PER_BUCKET;
        return Err(Error::new(Kind::Limit, format!("the set has {targets} targets, allowed: up to {allowed}")));
    }
    let kept = previous.filter(|count| (needed..=needed * MAX_EXCESS_FACTOR).contains(count));
    Ok(kept.unwrap_or(needed))
}

/// Returns the bucket index of a service. It is the same on every platform and in every version.
#[must_use]
pub fn bucket_of(service: &str, buckets: usize) -> usize {
    let digest = blake3::hash(service.as_bytes());
    let prefix = digest.as_bytes().first_chunk().map_or(0, |bytes| u64::from_le_bytes(*bytes));
    let index = prefix % (buckets.max(1) as u64);
    usize::try_from(index).unwrap_or(0)
}

/// Divides the services of a set with their targets into `buckets` parts. Targets whose service is missing are left
/// out.
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

/// Returns the set of objects that a manifest and its parts contain.
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
