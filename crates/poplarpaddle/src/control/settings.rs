//! Settings of a node.

use std::net::SocketAddr;

use crate::path::MemberId;
use crate::{health, lease, membership};

/// Settings of [`Node`](super::Node). Times are in milliseconds.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Random id of this process, new at each start.
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
    /// Seed of the random choices.
    pub seed: u64,
    /// Number of members to which a new generation is pushed.
    pub fanout: usize,
    /// Timeout of a fetch from a peer.
    pub fetch_ms: u64,
    /// First pause before another fetch from a peer that failed; doubles with each failure.
    pub backoff_ms: u64,
    /// Maximum pause before another fetch from a peer that failed.
    pub backoff_max_ms: u64,
    /// Time after the start before this node contends for a lease.
    pub contend_after_ms: u64,
    /// Timeout of a store call.
    pub call_ms: u64,
    /// Pause before a failed read from the store is repeated, and minimum time from the start of one watch to the next.
    pub store_retry_ms: u64,
    /// Time for which the store holds a watch open.
    pub watch_ms: u64,
    /// Period at which a lease holder reads the VM list.
    pub vms_ms: u64,
    /// Period at which a lease holder writes the status of its zone.
    pub status_ms: u64,
    /// Settings of the membership. Its seed is replaced by [`Settings::seed`].
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
            // Allows several attempts within the 7 s in which a configuration has to be in force.
            fetch_ms: 700,
            backoff_ms: 100,
            backoff_max_ms: 5000,
            // Joining takes less than 0.5 s; the rest allows for lost messages.
            contend_after_ms: 2000,
            // A store that takes 2 s for each call must remain usable.
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
