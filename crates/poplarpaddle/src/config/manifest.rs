//! Manifests: the description of one generation of the configuration.

use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::{Digest, MAX_BUCKETS, Released, decode, encode, text};
use crate::error::{Error, Kind, Result};
use crate::object::{Priority, Zone};

/// Format version of manifests and parts; a node rejects any other.
pub const FORMAT: u8 = 1;

/// Maximum number of earlier publish ids in a manifest.
const MAX_EARLIER: usize = 16;

/// Random id of one attempt to publish.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, derive_more::Display)]
#[display("{_0:032x}")]
pub struct PublishId(pub u128);

/// Seed of placement and shard ownership. It is a string in JSON, because many JSON parsers read numbers as 64-bit
/// floats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, derive_more::Display)]
#[display("{_0:016x}")]
pub struct Seed(pub u64);

impl FromStr for PublishId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        u128::from_str_radix(text, 16).map(Self).map_err(|error| not_hexadecimal("publish id", text, &error))
    }
}

impl FromStr for Seed {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        u64::from_str_radix(text, 16).map(Self).map_err(|error| not_hexadecimal("seed", text, &error))
    }
}

fn not_hexadecimal(item: &str, text: &str, error: &std::num::ParseIntError) -> Error {
    Error::new(Kind::Message, format!("{item} {text:?} is not a hexadecimal number: {error}"))
}

impl Serialize for PublishId {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
        text::serialize(self, serializer)
    }
}

impl<'de> Deserialize<'de> for PublishId {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        text::deserialize(deserializer)
    }
}

/// The manifest of one generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Format version, the [`FORMAT`] of the publisher.
    pub format: u8,
    /// Name of the fleet.
    pub fleet: String,
    /// Generation number, which starts at 1 and only increases.
    pub generation: u64,
    /// Id of the attempt that published this generation.
    pub publish: PublishId,
    /// Publish ids of the preceding generations, the latest first. A publisher that received no response to its write
    /// finds its id here when the write took effect and others published on top of it.
    pub earlier: Vec<PublishId>,
    /// Seed of the fleet, the same since the first generation.
    #[serde(with = "text")]
    pub seed: Seed,
    /// Zones, sorted by name.
    pub zones: Vec<Zone>,
    /// Priorities, sorted by name.
    pub priorities: Vec<Priority>,
    /// Digest of the part of each bucket, `None` for a bucket without services.
    pub parts: Vec<Option<Digest>>,
    /// Endpoints and addresses that left their service recently and are still reserved.
    pub released: Vec<Released>,
}

impl Manifest {
    /// Decodes a manifest from its JSON bytes.
    ///
    /// # Errors
    ///
    /// [`Kind::Limit`] when it exceeds [`super::MAX_BYTES`], [`Kind::Message`] when it is malformed or a field has a
    /// value that is not allowed; the message then names the field and its value.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let manifest: Self = decode("manifest", bytes)?;
        manifest.verify()?;
        Ok(manifest)
    }

    /// Encodes the manifest as JSON.
    ///
    /// # Errors
    ///
    /// [`Kind::Limit`] when the result exceeds [`super::MAX_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>> {
        let bytes = encode(self)?;
        if bytes.len() > super::MAX_BYTES {
            let (size, allowed, released) = (bytes.len(), super::MAX_BYTES, self.released.len());
            let message = format!(
                "manifest of fleet {:?} has {size} bytes with {released} groups of released endpoints, allowed: up to \
                 {allowed}",
                self.fleet
            );
            return Err(Error::new(Kind::Limit, message));
        }
        Ok(bytes)
    }

    /// Returns the digests of the parts.
    pub fn digests(&self) -> impl Iterator<Item = Digest> {
        self.parts.iter().flatten().copied()
    }

    /// Returns true when `publish` is the id of this generation or of one of the earlier ones that it lists.
    #[must_use]
    pub fn descends_from(&self, publish: PublishId) -> bool {
        self.publish == publish || self.earlier.contains(&publish)
    }

    /// Returns the publish ids that the next manifest lists as earlier ones.
    #[must_use]
    pub fn lineage(&self) -> Vec<PublishId> {
        std::iter::once(self.publish).chain(self.earlier.iter().copied()).take(MAX_EARLIER).collect()
    }

    fn verify(&self) -> Result<()> {
        let count = self.parts.len();
        if self.format != FORMAT {
            return Err(invalid("format", &self.format, &FORMAT));
        }
        if self.generation == 0 {
            return Err(invalid("generation", &self.generation, &"1 or more"));
        }
        if count == 0 || count > MAX_BUCKETS {
            return Err(invalid("number of parts", &count, &format_args!("1 to {MAX_BUCKETS}")));
        }
        if self.earlier.len() > MAX_EARLIER {
            return Err(invalid("number of earlier ids", &self.earlier.len(), &format_args!("up to {MAX_EARLIER}")));
        }
        Ok(())
    }
}

fn invalid(field: &str, value: &dyn std::fmt::Display, allowed: &dyn std::fmt::Display) -> Error {
    Error::new(Kind::Message, format!("manifest: {field} is {value}, allowed: {allowed}"))
}
