//! What control hands to the data path.
//!
//! A view is built anew for each change and shared by reference count, so the data path swaps it in one step and never
//! sees half of a change.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use crate::map::Map;
use crate::path::MemberId;

/// Index of a service in [`Config::services`]; valid within one generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceIndex(pub u32);

/// A port of a service as the data path needs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Port {
    /// TCP port.
    pub port: u16,
    /// Index in [`Config::priorities`].
    pub priority: usize,
}

/// A target as the data path needs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the object.
    pub name: String,
    /// Zone name.
    pub zone: String,
    /// Address of the host.
    pub address: Ipv4Addr,
    /// Slots of the host.
    pub slots: u16,
    /// Connections that the host holds.
    pub connections: u32,
    /// True when the object says draining.
    pub draining: bool,
    /// True when the target left the service a short time ago; its established flows go on.
    pub released: bool,
}

/// A service as the data path needs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name of the object.
    pub name: String,
    /// Address that callers use.
    pub address: Ipv4Addr,
    /// Ports with their priorities.
    pub ports: Vec<Port>,
    /// Number of shards, at least 1.
    pub shards: u16,
    /// Targets in the order of their names; the released ones follow.
    pub targets: Vec<Target>,
}

/// A priority as the data path needs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Priority {
    /// Name of the object.
    pub name: String,
    /// 0 is the most urgent.
    pub rank: u8,
    /// Guaranteed per cent of starts.
    pub share: u8,
    /// Longest wait for a start, in milliseconds.
    pub queue_ms: u32,
}

/// A compiled generation of the configuration.
#[derive(Debug, Clone)]
pub struct Config {
    /// Generation number; only goes up.
    pub generation: u64,
    /// Seed of placement and ownership, equal on every balancer of the fleet.
    pub seed: u64,
    /// Services in the order of their names; generations share those that did not change.
    pub services: Vec<Arc<Service>>,
    /// Priorities in the order of their ranks.
    pub priorities: Vec<Priority>,
    /// Service by its address and port.
    pub addresses: Map<SocketAddrV4, ServiceIndex>,
    /// Service by target address and port, released endpoints included.
    pub endpoints: Map<SocketAddrV4, ServiceIndex>,
}

/// State of a member as the data path needs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Presence {
    /// Owns shards.
    Alive,
    /// Owns no shards, still relays and knows its flows.
    Leaving,
}

/// A member that can be reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Identifies the member.
    pub id: MemberId,
    /// Whether it owns shards.
    pub presence: Presence,
    /// UDP address for relayed packets.
    pub relay: std::net::SocketAddr,
}

/// What health checks and the VM list say of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum HostState {
    /// Takes new flows; also for a host that nobody polls.
    #[default]
    Serving,
    /// Polled but not heard yet: openings wait, because the host may run another service than its object says.
    Unknown,
    /// Takes new flows slowly at first.
    Cold,
    /// Takes no new flows.
    Draining,
    /// Does not answer health checks.
    Down,
    /// Says that it serves another service; gets no packet.
    Misplaced,
}

impl HostState {
    /// Returns true when new flows may go to the host now or soon: openings for an unknown one wait for its first report.
    #[must_use]
    pub const fn takes_new_flows(self) -> bool {
        matches!(self, Self::Serving | Self::Unknown | Self::Cold)
    }
}

/// Latest report of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Host {
    /// State.
    pub state: HostState,
    /// Slots in use by the host's own report, which may lag or mislead.
    pub busy: Option<u16>,
    /// Connections open by the host's own report.
    pub connections: Option<u32>,
}

/// Everything that the data path knows of the fleet.
#[derive(Debug, Clone)]
pub struct View {
    /// This balancer.
    pub me: MemberId,
    /// Configuration in force, none before the first was accepted.
    pub config: Option<Arc<Config>>,
    /// Members that can be reached, this balancer included, in the order of their ids.
    pub members: Arc<[Member]>,
    /// Hosts by address; a host without an entry is [`HostState::Serving`].
    pub hosts: Arc<Map<Ipv4Addr, Host>>,
}
