//! What members tell each other about the state that they have.

use serde::{Deserialize, Serialize};

use crate::path::MemberId;
use crate::revision::Revision;

/// Collection in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
pub enum Topic {
    /// Registered hosts.
    #[display("hosts")]
    Hosts,
    /// Configured routes.
    #[display("routes")]
    Routes,
    /// Drained zones.
    #[display("zone drains")]
    ZoneDrains,
}

impl Topic {
    /// Every topic, in the order of [`Announcement::positions`].
    pub const ALL: [Self; 3] = [Self::Hosts, Self::Routes, Self::ZoneDrains];

    /// Topics that every deployment has.
    pub const REQUIRED: [Self; 2] = [Self::Hosts, Self::Routes];
}

/// Revisions of one topic that a member has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Position {
    /// Revision of the last change; of the routes, the version of the configuration.
    pub revision: Revision,
    /// Highest revision of the store at which the state is known to be current.
    pub as_of: Revision,
    /// Time since the store confirmed that the state was current, in milliseconds; `u32::MAX` if it never did. A
    /// relative time requires no synchronized clocks.
    pub age_ms: u32,
    /// Digest of the state; 0 for the routes, which are compared by the version alone.
    pub digest: u64,
}

/// Announcement of the state that a member has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Member that received the state from the store; root of the tree along which the announcement is forwarded.
    pub root: MemberId,
    /// Positions in the order of [`Topic::ALL`]; the default for topics that the sender does not replicate.
    pub positions: [Position; 3],
}
