//! Settings of the daemon.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

/// Settings of one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of the process in logs and at peers.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Where callers' packets arrive.
    pub packets: SocketAddrV4,
    /// Where peers reach this process, by UDP and by HTTP.
    pub peer: SocketAddr,
    /// Where status, events and metrics are served.
    pub tools: SocketAddr,
    /// Addresses of peers to find the others through.
    pub seeds: Vec<SocketAddr>,
    /// Time after which a change in the store has to be in force.
    pub bound: Duration,
    /// Time for which packets are forwarded after the announcement of a stop.
    pub drain: Duration,
    /// Longest life of a flow.
    pub flow_life: Duration,
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
            drain: Duration::from_millis(2500),
            flow_life: Duration::from_mins(1),
        }
    }
}
