//! The published configuration: manifests, parts and the generation in force at a node.
//!
//! ```
//! use poplarpaddle::config::{Digest, State};
//!
//! let state = State::new("kauri");
//! assert_eq!(state.generation(), 0);
//! assert_eq!(state.digest(), Digest::default());
//! assert!(state.current().is_none());
//! ```
//!
//! A [`Manifest`] lists the digests of its [`Part`]s. A part contains the services of one bucket with their targets, so
//! changing one object rewrites one part and the manifest. A lease holder, which reads the store for its zone, fetches
//! both for each change. More buckets make a part smaller and the manifest longer; [`bucket_count`] keeps the two at a
//! similar size. Peers that have the previous generation receive an update with only the changed services, see
//! [`State::update`].
//!
//! Manifests and parts are JSON with sorted keys, see [`encode`]. The store and peers serve the same bytes, so one
//! digest identifies the content from either source. JSON takes more bytes than a binary format; to compensate, targets
//! are written as rows without field names.

mod compile;
mod digest;
mod manifest;
mod part;
mod release;
mod state;
mod text;
mod update;

use serde::Serialize;

pub use self::compile::compile;
pub use self::digest::Digest;
pub use self::manifest::{FORMAT, Manifest, PublishId, Seed};
pub use self::part::{Entry, Part, Row, bucket_count, bucket_of, to_parts, to_set};
pub use self::release::{Released, newly_released, still_released};
pub use self::state::{Offer, State};
use crate::error::{Error, Kind, Result};

/// Maximum size of an encoded manifest or part in bytes; the store accepts values of up to 1 MB.
pub const MAX_BYTES: usize = 1_000_000;

/// Maximum number of buckets; with more, the digests alone would make a manifest exceed [`MAX_BYTES`].
pub const MAX_BUCKETS: usize = 8192;

/// Maximum total size of the parts of one generation in bytes.
///
/// A node may use 32 MB of memory for its control plane, which stores these bytes in addition to the compiled form.
pub const MAX_TOTAL_BYTES: usize = 16_000_000;

/// Encodes `value` as JSON with sorted keys.
///
/// # Errors
///
/// [`Kind::Internal`] when `value` cannot be represented as JSON.
pub fn encode(value: &impl Serialize) -> Result<Vec<u8>> {
    let mut value = serde_json::to_value(value).map_err(|error| internal(&error))?;
    value.sort_all_objects();
    serde_json::to_vec(&value).map_err(|error| internal(&error))
}

fn internal(error: &serde_json::Error) -> Error {
    Error::new(Kind::Internal, format!("configuration cannot be encoded as JSON: {error}"))
}

fn decode<'a, T: serde::Deserialize<'a>>(item: &str, bytes: &'a [u8]) -> Result<T> {
    if bytes.len() > MAX_BYTES {
        let size = bytes.len();
        return Err(Error::new(Kind::Limit, format!("{item} has {size} bytes, allowed: up to {MAX_BYTES}")));
    }
    serde_json::from_slice(bytes).map_err(|error| Error::new(Kind::Message, format!("{item} is malformed: {error}")))
}
