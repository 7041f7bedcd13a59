//! Registered hosts, configured routes, and drained zones.
//!
//! Hosts register themselves in a store, and the configuration refers only to services, not to hosts. A balancer knows
//! a [`Host`] for each registration and a [`Route`] for each address that callers connect to.
//!
//! ```
//! use poplarpaddle::registry::Route;
//!
//! let route = Route { service: "bookings".into(), ..Default::default() };
//! assert!(route.allows("bookings"));
//! assert!(!route.allows("crewdocs"));
//! ```

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::mark::HostId;
use crate::replica::{Delta, Replica};
use crate::time::Time;

/// State of a host according to its registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize, derive_more::Display)]
pub enum State {
    /// Accepts new flows.
    #[default]
    #[display("ready")]
    Ready,
    /// Is about to stop and accepts no new flows.
    #[display("draining")]
    Draining,
}

/// A registered host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Identifier from which the [mark](crate::mark::Mark) in packets is derived.
    pub id: HostId,
    /// Service that the host belongs to.
    pub service: String,
    /// Address to which packets are forwarded.
    pub address: SocketAddrV4,
    /// Zone that the host runs in.
    pub zone: String,
    /// Number of requests that the host processes concurrently.
    pub slots: u16,
    /// Whether the host accepts new flows.
    pub state: State,
    /// Time until which the host is slower than usual because it has just started.
    pub cold_until: Time,
    /// Start of the host's process, in Unix milliseconds, 0 if unknown. A restarted process has lost all flows. Decides
    /// which of two hosts with the same mark owns it.
    pub born: u64,
    /// Number of the registration, which grows with each one that the process writes.
    pub sequence: u64,
}

impl Host {
    /// Returns true when the process of this host started later than that of `other`, as far as both are known.
    #[must_use]
    pub const fn started_after(&self, other: &Self) -> bool {
        other.born > 0 && self.born > other.born
    }

    /// Returns true when the host wrote this registration after `other`, or when both are the same one. Unlike their
    /// revisions, this does not depend on the history of the store.
    #[must_use]
    pub const fn is_written_since(&self, other: &Self) -> bool {
        self.started_after(other) || (self.born > 0 && self.born == other.born && self.sequence >= other.sequence)
    }
}

/// Configured route from an address to one or more services.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Route {
    /// Name in the configuration.
    pub name: String,
    /// Service that new flows go to.
    pub service: String,
    /// Services among which new flows are divided by weight; empty when all go to [`Route::service`].
    pub shares: Vec<Share>,
    /// Priority rank; 0 is the most urgent.
    pub rank: u8,
    /// Time after which a response counts as late, in milliseconds.
    pub target_ms: u32,
    /// Time after which a response is useless to the caller, in milliseconds.
    pub timeout_ms: u32,
    /// True if running a request twice has the same effect as running it once, so that callers repeat requests whose
    /// flow was reset.
    #[serde(default)]
    pub idempotent: bool,
}

impl Route {
    /// Returns true when new flows of the route may go to `service`.
    #[must_use]
    pub fn allows(&self, service: &str) -> bool {
        self.services().any(|allowed| allowed == service)
    }

    /// Returns the services that new flows of the route go to.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        let single = self.shares.is_empty().then_some(self.service.as_str());
        single.into_iter().chain(self.shares.iter().map(|share| share.service.as_str()))
    }
}

/// Share of the new flows of a route that go to a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: String,
    /// Weight of the service; its share is the weight divided by the sum of all weights of the route.
    pub weight: u32,
}

/// Settings of a configuration that are not specific to a route.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct General {
    /// Version that the operator assigned to the configuration, 0 before the first one.
    pub version: u64,
    /// Time without packets after which the state of a flow may be dropped, in milliseconds.
    pub idle_ms: u32,
    /// Services, in the order of the configuration.
    #[serde(default)]
    pub services: Vec<Service>,
}

/// A service, as far as a configuration describes it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Time for which a host is cold after its start, in milliseconds; 0 if unknown.
    pub cold_start_ms: u32,
    /// Rate of openings that a cold host bears, in openings per 1,000 s; 0 for no bound.
    pub cold_rate: u32,
}

/// Address and port of a route, as callers connect to it.
pub type Address = SocketAddrV4;

/// Order of an operator that hosts of a zone get no new flows. It holds while the store has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ZoneDrain;

/// Registered hosts, keyed by the name of the registration.
pub type Hosts = Replica<String, Host>;

/// Changes of [`Hosts`].
pub type HostDelta = Delta<String, Host>;

/// Routes, keyed by address.
pub type Routes = Replica<Address, Route>;

/// Changes of [`Routes`].
pub type RouteDelta = Delta<Address, Route>;

/// Drained zones, keyed by the name of the zone.
pub type ZoneDrains = Replica<String, ZoneDrain>;

/// Changes of [`ZoneDrains`].
pub type ZoneDrainDelta = Delta<String, ZoneDrain>;

/// Returns true when `address` is valid for a host or route: its port is not 0, and its IP address is a unicast
/// address.
#[must_use]
pub fn is_usable(address: SocketAddrV4) -> bool {
    let ip = address.ip();
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !ip.is_broadcast()
}
