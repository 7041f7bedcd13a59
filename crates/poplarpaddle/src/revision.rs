//! Revisions of a store that can be restored from a copy.
//!
//! A store counts its changes. After it was restored from a copy, it counts on from the state of the copy, so it assigns
//! the numbers since then a second time, to other changes. It starts a new epoch each time, and a [`Revision`] has both.
//!
//! ```
//! use poplarpaddle::revision::Revision;
//!
//! let before = Revision { epoch: 1, number: 23 };
//! let restored = Revision { epoch: 2, number: 21 };
//! assert!(restored > before);
//! assert_eq!(restored.to_string(), "2.21");
//! ```

use serde::{Deserialize, Serialize};

/// Place in the history of a store. Revisions of a later epoch are higher, whatever their numbers.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Default,
    Serialize,
    Deserialize,
    derive_more::Display,
    derive_more::From,
)]
#[display("{epoch}.{number}")]
#[from((u64, u64))]
pub struct Revision {
    /// Number that rises each time that the store is restored from a copy; 0 for a store that does not tell.
    pub epoch: u64,
    /// Number of changes up to this one in the history that the store has in this epoch.
    pub number: u64,
}

impl Revision {
    /// Revision before the first change.
    pub const NONE: Self = Self { epoch: 0, number: 0 };

    /// Returns true when this is [`Self::NONE`].
    #[must_use]
    pub const fn is_none(self) -> bool {
        self.epoch == 0 && self.number == 0
    }
}

impl From<u64> for Revision {
    /// Returns the revision with a number in the history of a store that was never restored.
    fn from(number: u64) -> Self {
        Self { epoch: 0, number }
    }
}
