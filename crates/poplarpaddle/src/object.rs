//! The objects that operators edit.
//!
//! Objects refer to one another by name. Each is small and edited on its own; only the whole set is checked and
//! published. JSON is the form in files and in the store; unknown fields are errors.
//!
//! ```
//! use poplarpaddle::object::{Item, Kind};
//!
//! let text = br#"{"name": "nz-south-a", "region": 7}"#;
//! let faults = Item::from_json("zone/nz-south-a.json", Kind::Zone, text).unwrap_err();
//! assert_eq!(faults[0].to_string(), "zone/nz-south-a.json: region is 7, allowed: a text");
//! ```
//!
//! Objects are read field by field from the JSON value instead of by `serde`, which stops at the first fault and names
//! no field for a value of the wrong type.

mod change;
mod fault;
mod item;
mod parsed_set;
mod reader;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

pub use self::change::{Change, Difference};
pub use self::fault::Fault;
pub use self::item::Item;
pub use self::parsed_set::ParsedSet;
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

/// A class of urgency.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Priority {
    /// Unique name.
    pub name: String,
    /// 0 is the most urgent; ranks are unique.
    pub rank: u8,
    /// Per cent of starts that the class keeps while it waits and more urgent work floods in.
    pub share: u8,
    /// Longest wait for a start, in milliseconds.
    pub queue_ms: u32,
}

/// A port of a service and the priority of the work on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Port {
    /// TCP port, the same at the service address and at the targets.
    pub port: u16,
    /// Name of the priority.
    pub priority: String,
}

/// A service: one address with ports, served by targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// Address that callers use; belongs to one service.
    pub address: Ipv4Addr,
    /// Ports, at least one.
    pub ports: Vec<Port>,
    /// Number of shards; without it one per 16 targets.
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
    /// Requests that run at the same time.
    pub slots: u16,
    /// Open connections that the host holds.
    pub connections: u32,
    /// True when the target takes no new flows.
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

/// The whole set of objects, by name.
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

/// Targets of one shard when the service object names no number of shards.
const TARGETS_PER_SHARD: usize = 16;

/// Returns the number of shards of a service with `targets` targets whose object names none.
#[must_use]
pub fn default_shards(targets: usize) -> u16 {
    let shards = targets.div_ceil(TARGETS_PER_SHARD).max(1);
    u16::try_from(shards).unwrap_or(u16::MAX)
}
