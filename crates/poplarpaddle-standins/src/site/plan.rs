//! Plan of a simulation run and report of its results.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use serde::Serialize;

use super::router::Hash;
use super::store::Behavior;

/// Kind of an injected fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// The store behaves like this for the duration of the fault.
    Store(Behavior),
    /// The store drops its history of changes.
    Compact,
    /// A copy of the store is taken.
    Copy,
    /// The store rejects calls, and is restored from the latest copy when the fault ends.
    Restore,
    /// A host crashes. Its registration is removed when the fault ends.
    Crash,
    /// A host reports that it drains. It leaves when the fault ends.
    Drain,
    /// The operator writes a new configuration, in which one route has another port.
    Configure,
}

/// A fault with its start and duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start of the fault, relative to the start of traffic.
    pub at: Duration,
    /// Duration of the fault. Ignored for [`FaultKind::Compact`], [`FaultKind::Copy`] and [`FaultKind::Configure`].
    pub duration: Duration,
}

/// Plan of a simulation run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Address of the store.
    pub store: SocketAddr,
    /// Addresses of each balancer for packets and for readiness checks. All balancers use the same port for packets.
    pub balancers: Vec<(SocketAddrV4, SocketAddr)>,
    /// Availability zones, assigned to the hosts in round-robin order.
    pub zones: Vec<String>,
    /// Number of hosts of each of the two services.
    pub hosts: [usize; 2],
    /// Requests per second.
    pub rate: f64,
    /// Duration of the traffic.
    pub duration: Duration,
    /// How routers select a balancer for a flow.
    pub hash: Hash,
    /// Random seed.
    pub seed: u64,
    /// Faults to inject.
    pub faults: Vec<Fault>,
}

/// Results of a simulation run, as observed by consumers and hosts.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Number of requests of consumers.
    pub requests: u64,
    /// Requests that got their complete response.
    pub answered: u64,
    /// Requests that got no complete response in time or could not be retried.
    pub unanswered: u64,
    /// Attempts whose handshake did not complete.
    pub unopened: u64,
    /// Attempts that a host rejected without running the request.
    pub rejected: u64,
    /// Non-idempotent requests that ran more than once.
    pub run_twice: u64,
    /// Requests that ran at a host of another service than that of their route.
    pub misrouted: u64,
    /// Packets that were altered on the way to a host.
    pub altered: u64,
    /// Attempts that received an incorrect response or an altered packet.
    pub wrong: u64,
    /// Open flows that the system under test reset while their host was alive.
    pub reset_by_system: u64,
    /// SYNs that reached a draining host after the drain grace period.
    pub drained_late: u64,
    /// Version of the last configuration that the operator wrote.
    pub config_version: u64,
    /// Number of calls to the store, and how many of them were refused.
    pub store_calls: (u64, u64),
    /// Median and 99th percentile of the response time, in milliseconds.
    pub times_ms: (u64, u64),
}

impl Report {
    /// Returns true if no rule was violated.
    #[must_use]
    pub const fn is_clean(&self) -> bool {
        self.run_twice == 0
            && self.misrouted == 0
            && self.altered == 0
            && self.wrong == 0
            && self.reset_by_system == 0
            && self.drained_late == 0
    }
}
