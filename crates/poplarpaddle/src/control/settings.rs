//! Settings of a node.

use std::net::SocketAddr;

use crate::path::MemberId;
use crate::{health, lease, membership};

/// Settings of [`Node`](super::Node). Times are in milliseconds.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Identifies this process; random for each start.
    pub id: MemberId,
    /// Name of the node.
    pub name: String,
    /// Zone of the node.
    pub zone: String,
    /// Region of the node.
    pub region: String,
    /// Fleet, which names the manifest in the store.
    pub fleet: String,
    /// HTTP address for peers.
    pub peer: SocketAddr,
    /// UDP address for relayed packets.
    pub relay: SocketAddr,
    /// Seed of random choices.
    pub seed: u64,
    /// Members that get a push of a new generation.
    pub fanout: usize,
    /// Time for a fetch from a peer or the store.
    pub fetch_ms: u64,
    /// First pause before a peer that failed is asked again; doubles with each failure.
    pub backoff_ms: u64,
    /// Longest such pause.
    pub backoff_max_ms: u64,
    /// Time after the start before this node contends for a lease.
    pub contend_after_ms: u64,
    /// Time for a call to the store.
    pub call_ms: u64,
    /// Pause before a read from the store that failed is repeated, and shortest time from one watch to the next.
    pub store_retry_ms: u64,
    /// Time for which the store holds a watch open.
    pub watch_ms: u64,
    /// Period of reads of the VM list by a lease holder.
    pub vms_ms: u64,
    /// Period of writes of the zone's status by a lease holder.
    pub status_ms: u64,
    /// Settings of the membership; its seed is [`Settings::seed`].
    pub membership: membership::Settings,
    /// Settings of the leases.
    pub lease: lease::Settings,
    /// Settings of the load reports.
    pub health: health::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        let unset = SocketAddr::from(([127, 0, 0, 1], 1));
        Self {
            id: MemberId(0),
            name: "balancer".to_owned(),
            zone: "zone".to_owned(),
            region: "region".to_owned(),
            fleet: "fleet".to_owned(),
            peer: unset,
            relay: unset,
            seed: 0,
            fanout: 3,
            // Several tries fit into the 7 s in which a configuration has to be in force.
            fetch_ms: 700,
            backoff_ms: 100,
            backoff_max_ms: 5000,
            // Joining takes below 0.5 s; the rest is for lost messages.
            contend_after_ms: 2000,
            // A store that takes 2 s a call still has to be of use.
            call_ms: 3000,
            store_retry_ms: 1000,
            watch_ms: 10_000,
            vms_ms: 1000,
            status_ms: 10_000,
            membership: membership::Settings::default(),
            lease: lease::Settings::default(),
            health: health::Settings::default(),
        }
    }
}
