//! What is played, and what consumers and hosts saw.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use serde::Serialize;

use super::router::Hash;
use super::store::Behavior;

/// A fault of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// The store treats calls so for a while.
    Store(Behavior),
    /// The history is dropped.
    Compact,
    /// A host crashes and its registration lapses later.
    Crash,
    /// A host reports that it drains, and leaves later.
    Drain,
    /// A configuration with one more route is written.
    Configure,
}

/// A fault with its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    /// What happens.
    pub kind: FaultKind,
    /// When, from the start of traffic.
    pub at: Duration,
    /// For how long, where that means something.
    pub duration: Duration,
}

/// What is played.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Address of the store.
    pub store: SocketAddr,
    /// Where each balancer takes packets and answers the routers. All take packets at one port.
    pub balancers: Vec<(SocketAddrV4, SocketAddr)>,
    /// Zones, over which balancers and hosts are dealt in turn.
    pub zones: Vec<String>,
    /// Hosts of each of the two services.
    pub hosts: [usize; 2],
    /// Requests a second.
    pub rate: f64,
    /// Traffic lasts so long.
    pub duration: Duration,
    /// How routers select.
    pub hash: Hash,
    /// Seed of all random choices.
    pub seed: u64,
    /// Faults.
    pub faults: Vec<Fault>,
}

/// What consumers and hosts saw.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Requests of consumers.
    pub requests: u64,
    /// Answered in full.
    pub answered: u64,
    /// Not answered within the time budget.
    pub unanswered: u64,
    /// Tries whose flow never opened.
    pub unopened: u64,
    /// Tries that a host said it did not run.
    pub rejected: u64,
    /// Requests that may run once and ran more often.
    pub run_twice: u64,
    /// Requests that ran at a service which their route does not allow.
    pub misrouted: u64,
    /// Packets that hosts got otherwise than they were written.
    pub altered: u64,
    /// Answers that are not the whole answer to their request.
    pub wrong: u64,
    /// Open flows that the system reset.
    pub reset_by_system: u64,
    /// Openings that a host took later than the drain bound after it said that it drains.
    pub drained_late: u64,
    /// Calls to the store, and refused ones among them.
    pub store_calls: (u64, u64),
    /// Median and 99th percentile of the time to the answer, in milliseconds.
    pub times_ms: (u64, u64),
}

impl Report {
    /// Returns true when no rule was broken.
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
