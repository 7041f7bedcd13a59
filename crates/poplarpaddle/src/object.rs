//! The objects that operators edit.
//!
//! Objects refer to one another by name. Each is small and edited separately; the check and the publish always cover
//! the whole set. Files and the store contain objects as JSON; unknown fields are errors.
//!
//! ```
//! use poplarpaddle::object::{Item, Kind};
//!
//! let text = br#"{"name": "nz-south-a", "region": 7}"#;
//! let faults = Item::from_json("zone/nz-south-a.json", Kind::Zone, text).unwrap_err();
//! assert_eq!(faults[0].to_string(), "zone/nz-south-a.json: region is 7, allowed: a string");
//! ```
//!
//! Objects are read field by field from the JSON value instead of with `serde`, which stops at the first fault and does
//! not name the field of a value with the wrong type.

mod change;
mod fault;
mod input;
mod item;
mod reader;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

pub use self::change::{Change, Difference};
pub use self::fault::Fault;
pub use self::input::Input;
pub use self::item::Item;
use crate::error::{Error, Kind as ErrorKind};

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Unique name.
    pub name: String,
    /// Region of the zone. Balancers of one region share the ownership of shards.
    pub region: String,
}

/// A priority class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Priority {
    /// Unique name.
    pub name: String,
    /// Unique rank; 0 is the most urgent.
    pub rank: u8,
    /// Percentage of request starts that remains for queued requests of this class during a flood of more urgent ones.
    pub share: u8,
    /// Maximum time that a request waits for its start, in milliseconds.
    pub queue_ms: u32,
}

/// A port of a service and the priority of its requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Port {
    /// TCP port, the same at the service address and at the targets.
    pub port: u16,
    /// Name of the priority.
    pub priority: String,
    /// True when all requests of the port are idempotent, so that they may be hedged.
    #[serde(default, skip_serializing_if = "is_false")]
    pub idempotent: bool,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde calls")]
const fn is_false(value: &bool) -> bool {
    !*value
}

/// A service: one address with ports, served by targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// Address to which callers connect; it belongs to one service only.
    pub address: Ipv4Addr,
    /// Ports, at least one.
    pub ports: Vec<Port>,
    /// Number of shards; one for every 16 targets if not set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shards: Option<u16>,
}

/// A target: one service on one host. Targets with the same address share the host's slots.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Unique name.
    pub name: String,
    /// Name of the service.
    pub service: String,
    /// Name of the zone.
    pub zone: String,
    /// Address of the host.
    pub address: Ipv4Addr,
    /// Number of requests that the host processes at the same time.
    pub slots: u16,
    /// Maximum number of open connections of the host.
    pub connections: u32,
    /// True when the target receives no new flows.
    #[serde(default)]
    pub draining: bool,
}

/// Kinds of objects that operators edit, in the order in which they are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// [`Zone`].
    #[display("zone")]
    Zone,
    /// [`Priority`].
    #[display("priority")]
    Priority,
    /// [`Service`].
    #[display("service")]
    Service,
    /// [`Target`].
    #[display("target")]
    Target,
}

impl Kind {
    /// Every kind, in the order in which objects are written.
    pub const ALL: [Self; 4] = [Self::Zone, Self::Priority, Self::Service, Self::Target];
}

impl FromStr for Kind {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let found = Self::ALL.into_iter().find(|kind| kind.to_string() == text);
        found.ok_or_else(|| {
            Error::new(
                ErrorKind::Argument,
                format!("kind {text:?} is unknown, allowed: zone, priority, service, target"),
            )
        })
    }
}

/// The complete set of objects, by name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Set {
    /// Zones by name.
    #[serde(default)]
    pub zones: BTreeMap<String, Zone>,
    /// Priorities by name.
    #[serde(default)]
    pub priorities: BTreeMap<String, Priority>,
    /// Services by name.
    #[serde(default)]
    pub services: BTreeMap<String, Service>,
    /// Targets by name.
    #[serde(default)]
    pub targets: BTreeMap<String, Target>,
}

/// Number of targets for each shard when the service object sets no number of shards.
const TARGETS_PER_SHARD: usize = 16;

/// Returns the number of shards of a service with `targets` targets whose object sets none.
#[must_use]
pub fn default_shards(targets: usize) -> u16 {
    let shards = targets.div_ceil(TARGETS_PER_SHARD).max(1);
    u16::try_from(shards).unwrap_or(u16::MAX)
}
