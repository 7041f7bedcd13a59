//! Content digests.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::text;
use crate::error::{Error, Kind};

/// BLAKE3 digest of a manifest or part, written as 64 hexadecimal digits. All zeros stand for "none".
#[derive(
    Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, derive_more::From, derive_more::Into, derive_more::AsRef,
)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Returns the digest of `bytes`.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Digest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match blake3::Hash::from_hex(text) {
            Ok(hash) => Ok(Self(*hash.as_bytes())),
            Err(_invalid) => {
                Err(Error::new(Kind::Message, format!("digest {text:?} is invalid, allowed: 64 hexadecimal digits")))
            }
        }
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        text::serialize(self, serializer)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        text::deserialize(deserializer)
    }
}
