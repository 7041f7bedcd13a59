//! View of the fleet that the control plane passes to the data path.
//!
//! Each change builds a new view, which is shared by reference counting, so the data path replaces its view in one step and
//! never sees a partial change.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use crate::map::Map;
use crate::path::MemberId;

/// Index of a service in [`Config::services`]; valid within one generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceIndex(pub u32);

/// A port of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Port {
    /// TCP port.
    pub port: u16,
    /// Index in [`Config::priorities`].
    pub priority: usize,
    /// True when all requests of the port are idempotent.
    pub idempotent: bool,
}

/// A target of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the target object.
    pub name: String,
    /// Name of the availability zone.
    pub zone: String,
    /// Address of the host.
    pub address: Ipv4Addr,
    /// Number of requests that the host can work on at the same time.
    pub slots: u16,
    /// Number of connections that the host can hold.
    pub connections: u32,
    /// True when the target object is marked as draining.
    pub draining: bool,
    /// True when the target was removed from the service a short time ago. Its established flows continue.
    pub released: bool,
}

/// A service with its ports and targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name of the service object.
    pub name: String,
    /// Address that callers connect to.
    pub address: Ipv4Addr,
    /// Ports with their priorities.
    pub ports: Vec<Port>,
    /// Number of shards, at least 1.
    pub shards: u16,
    /// Targets sorted by name, followed by the released ones.
    pub targets: Vec<Target>,
}

/// A priority of requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Priority {
    /// Name of the priority object.
    pub name: String,
    /// Rank, where 0 is the most urgent.
    pub rank: u8,
    /// Guaranteed share of all starts, in percent.
    pub share: u8,
    /// Longest wait for a start, in milliseconds.
    pub queue_ms: u32,
}

/// A compiled generation of the configuration.
#[derive(Debug, Clone)]
pub struct Config {
    /// Generation number. It only increases.
    pub generation: u64,
    /// Seed of placement and ownership, equal on every balancer of the fleet.
    pub seed: u64,
    /// Services sorted by name. Generations share the services that did not change.
    pub services: Vec<Arc<Service>>,
    /// Priorities sorted by rank.
    pub priorities: Vec<Priority>,
    /// Services by address and port.
    pub addresses: Map<SocketAddrV4, ServiceIndex>,
    /// Services by target address and port, including released endpoints.
    pub endpoints: Map<SocketAddrV4, ServiceIndex>,
}

/// Role of a reachable member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Presence {
    /// Owns shards.
    Alive,
    /// Owns no shards, but still relays packets and forwards those of its known flows.
    Leaving,
}

/// A member that can be reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Identifies the member.
    pub id: MemberId,
    /// Whether the member owns shards.
    pub presence: Presence,
    /// UDP address for relayed packets.
    pub relay: std::net::SocketAddr,
}

/// State of a host according to its health checks and the VM list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum HostState {
    /// Accepts new flows. Also the state of a host without health checks.
    #[default]
    Serving,
    /// Has health checks, but has not answered any yet. Openings wait, because the host may run another service than its
    /// object says.
    Unknown,
    /// Accepts new flows, at a reduced rate at first.
    Cold,
    /// Accepts no new flows.
    Draining,
    /// Does not answer health checks.
    Down,
    /// Reports that it serves another service. No packets are sent to it.
    Misplaced,
}

impl HostState {
    /// Returns true when new flows may be placed on the host now or soon. Openings for an unknown host wait for its first
    /// report.
    #[must_use]
    pub const fn takes_new_flows(self) -> bool {
        matches!(self, Self::Serving | Self::Unknown | Self::Cold)
    }
}

/// Latest report of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Host {
    /// Health state.
    pub state: HostState,
    /// Slots in use according to the host, whose report may be delayed or wrong.
    pub busy: Option<u16>,
    /// Open connections according to the host.
    pub connections: Option<u32>,
}

/// State of the fleet for the data path.
#[derive(Debug, Clone)]
pub struct View {
    /// Id of this balancer.
    pub me: MemberId,
    /// Configuration in force, none before the first one was accepted.
    pub config: Option<Arc<Config>>,
    /// Reachable members, including this balancer, sorted by id.
    pub members: Arc<[Member]>,
    /// Hosts by address. A host without an entry is [`HostState::Serving`].
    pub hosts: Arc<Map<Ipv4Addr, Host>>,
}
