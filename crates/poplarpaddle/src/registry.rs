//! Hosts that register themselves and routes that a configuration lists.
//!
//! This is what a balancer knows of a deployment whose hosts announce themselves and whose configuration names services
//! only: a [`Host`] for each registration and a [`Route`] for each address that callers use.
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

/// What a host says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize, derive_more::Display)]
pub enum State {
    /// Takes new flows.
    #[default]
    #[display("ready")]
    Ready,
    /// Leaves soon and takes no new flows.
    #[display("draining")]
    Draining,
}

/// A registered host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Identifies the host in packets.
    pub id: HostId,
    /// The service whose requests it runs.
    pub service: String,
    /// Where it takes packets.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: String,
    /// Requests that it runs at the same time.
    pub slots: u16,
    /// Whether it takes new flows.
    pub state: State,
    /// Until when it is slow after its start.
    pub cold_until: Time,
    /// Revision at which the registration was created; decides between two hosts with one mark.
    pub created: u64,
    /// Start of the process, in Unix milliseconds, 0 if unknown. A later start has lost all flows.
    pub born: u64,
}

/// How the requests of a route may be treated, as the configuration says.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Route {
    /// Name in the configuration.
    pub name: String,
    /// The service that takes new flows.
    pub service: String,
    /// Further services that take a share of the new flows; empty when all go to [`Route::service`].
    pub shares: Vec<Share>,
    /// Rank of the priority, 0 is the most urgent.
    pub rank: u8,
    /// Time after which an answer is late, in milliseconds.
    pub target_ms: u32,
    /// Time after which an answer is of no use, in milliseconds.
    pub timeout_ms: u32,
}

impl Route {
    /// Returns true when new flows of the route may go to `service`.
    #[must_use]
    pub fn allows(&self, service: &str) -> bool {
        if self.shares.is_empty() { self.service == service } else { self.shares.iter().any(|s| s.service == service) }
    }
}

/// Share of new flows that a service takes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: String,
    /// Its part of the sum of all weights.
    pub weight: u32,
}

/// What a configuration says about all routes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct General {
    /// Version that the operator gave the configuration, 0 before the first one.
    pub version: u64,
    /// Time after which a flow without packets may be forgotten, in milliseconds.
    pub idle_ms: u32,
}

/// Address and port that callers use for a route.
pub type Address = SocketAddrV4;

/// Hosts by the name of their registration.
pub type Hosts = Replica<String, Host>;

/// Changes of [`Hosts`].
pub type HostDelta = Delta<String, Host>;

/// Routes by address.
pub type Routes = Replica<Address, Route>;

/// Changes of [`Routes`].
pub type RouteDelta = Delta<Address, Route>;

/// Returns true when `address` can be the address of a host or route.
#[must_use]
pub fn is_usable(address: SocketAddrV4) -> bool {
    let ip = address.ip();
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !ip.is_broadcast()
}
