//! Settings of the daemon for direct server return.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use poplarpaddle::direct::warmup;

/// Settings of one daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of this balancer in logs and at its peers.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// UDP address that receives the packets of callers.
    pub packets: SocketAddrV4,
    /// Address that peers contact, by UDP for gossip and by HTTP for pulls.
    pub peer: SocketAddr,
    /// HTTP address that serves status, events and metrics.
    pub tools: SocketAddr,
    /// Addresses of peers from which the other members are learned.
    pub seeds: Vec<SocketAddr>,
    /// Time within which a change in the store has to be in force.
    pub bound: Duration,
    /// True if operators can drain zones through the store.
    pub zone_drains: bool,
    /// Minimum time for which a leaving balancer continues to forward packets.
    pub drain: Duration,
    /// Maximum time for which a leaving balancer continues to forward packets while they still arrive.
    pub max_drain: Duration,
    /// Maximum lifetime of a flow. A removed host, and a service removed from a route, keeps its established flows for
    /// this time.
    pub flow_life: Duration,
    /// Bound on the openings at hosts that have just started.
    pub warmup: warmup::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        let loopback = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        Self {
            name: String::new(),
            zone: String::new(),
            region: String::new(),
            packets: loopback,
            peer: loopback.into(),
            tools: loopback.into(),
            seeds: Vec::new(),
            bound: Duration::from_secs(7),
            zone_drains: false,
            drain: Duration::from_millis(2500),
            max_drain: Duration::from_millis(4500),
            flow_life: Duration::from_mins(1),
            warmup: warmup::Settings::default(),
        }
    }
}
