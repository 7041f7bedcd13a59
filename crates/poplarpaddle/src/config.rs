//! The published configuration: manifest, parts and the generation in force at a node.
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
//! A [`Manifest`] lists the digests of [`Part`]s. A part holds the services of one bucket with their targets, so a change
//! of one object rewrites one part and the manifest. A relay fetches both for each change: more buckets make the part
//! smaller and the manifest longer, and [`bucket_count`] keeps the two at a similar size. Peers that have the generation
//! before get an update with the changed services only, see [`State::update`].
//!
//! Manifest and parts are JSON with sorted keys, see [`encode`]. The bytes are the same from the store and from peers,
//! which lets one digest stand for both. JSON costs more bytes than a binary form; targets are written as rows without
//! field names to make up for it.

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

/// Largest encoded manifest or part in bytes; the store takes values up to 1 MB.
pub const MAX_BYTES: usize = 1_000_000;

/// Largest number of buckets; a manifest with more would exceed [`MAX_BYTES`] by its digests alone.
pub const MAX_BUCKETS: usize = 8192;

/// Largest sum of the part bytes of one generation.
///
/// A node may spend 32 MB on control, and the bytes are held beside the compiled form.
pub const MAX_TOTAL_BYTES: usize = 16_000_000;

/// Returns the JSON bytes of `value` with sorted keys.
///
/// # Errors
///
/// [`Kind::Internal`] when `value` has no JSON form.
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
