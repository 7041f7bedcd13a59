//! Marks that identify the host of a flow within the packets of the flow.
//!
//! With a transport whose packets have a field for a mark, a balancer needs no flow table to find the host of an
//! established flow. The balancer that places the flow on a host writes the host's mark into the opening, the first
//! packet of the flow. Host and caller repeat the mark in every later packet, and every balancer maps a mark to the
//! same host.
//!
//! ```
//! use poplarpaddle::mark::{HostId, Mark};
//!
//! let host = HostId(0x7f3a_91c2);
//! assert_eq!(Mark::of(host), Mark::of(host));
//! assert_ne!(Mark::of(host), Mark::NONE);
//! ```
//!
//! # Trade-offs
//!
//! A mark has 32 bits and a host identifier up to 64, so two hosts can share a mark; among 73,000 hosts one such pair
//! is likely. Of two registered hosts with the same mark, the one that started first owns it, and the other gets no new
//! flows until the first is gone. Every balancer derives this from the same registry, so balancers need not coordinate.

use serde::{Deserialize, Serialize};

/// Identifier of a host for the lifetime of its registration.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize, derive_more::Display,
)]
#[display("{_0:x}")]
pub struct HostId(pub u64);

/// Mark of a host.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize, derive_more::Display,
)]
#[display("{_0:08x}")]
pub struct Mark(pub u32);

impl Mark {
    /// Mark that belongs to no host. Openings carry it when callers send them.
    pub const NONE: Self = Self(0);

    /// Returns the mark of a host: the upper half of the `SplitMix64` hash of its identifier, or 1 if that is 0.
    ///
    /// The function is part of the protocol between balancers. It must not depend on a library that may change it,
    /// because balancers of two releases serve the same flows during an upgrade.
    #[must_use]
    pub const fn of(host: HostId) -> Self {
        let mut bits = host.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^= bits >> 31;
        let upper = (bits >> 32) as u32;
        Self(if upper == 0 { 1 } else { upper })
    }
}
