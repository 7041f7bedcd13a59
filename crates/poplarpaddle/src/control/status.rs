//! Status of a node for operators and tools.

use std::net::{Ipv4Addr, SocketAddr};

use serde::Serialize;

use super::Node;
use crate::time::Time;
use crate::view::{Host, HostState};
use crate::wire::{Record, State};

/// A member as observed by this node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Member {
    /// Id of the process.
    pub id: String,
    /// Name of the node.
    pub name: String,
    /// Zone of the node.
    pub zone: String,
    /// HTTP address for peers.
    pub peer: SocketAddr,
    /// Membership state.
    pub state: State,
    /// Incarnation number.
    pub incarnation: u64,
    /// Generation in force according to the last message from the member, `None` when no message has arrived.
    pub generation: Option<u64>,
}

/// A lease for which this node may contend.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Lease {
    /// Name of the lease object.
    pub name: String,
    /// Epoch of the lease, `None` when this node does not hold it.
    pub epoch: Option<u64>,
}

/// State of a target host as observed by this node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Target {
    /// Address of the host.
    pub address: Ipv4Addr,
    /// Name of the state in lower case.
    pub state: &'static str,
    /// Slots in use according to its load report.
    pub busy: Option<u16>,
    /// Open connections according to its load report.
    pub connections: Option<u32>,
}

/// Body of `GET /status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Status {
    /// This node.
    pub me: Member,
    /// Region of this node.
    pub region: String,
    /// Fleet of this node.
    pub fleet: String,
    /// Generation in force, 0 for none.
    pub generation: u64,
    /// Digest of its manifest in hexadecimal.
    pub digest: String,
    /// Other members, including dead ones, sorted by id.
    pub members: Vec<Member>,
    /// Leases of the zone.
    pub leases: Vec<Lease>,
    /// Target hosts that are polled, leaving or misplaced, sorted by address.
    pub hosts: Vec<Target>,
    /// True when this node accepts traffic.
    pub ready: bool,
    /// Reason why this node is not ready.
    pub reason: Option<&'static str>,
}

impl Node {
    /// Returns the status of this node, for `GET /status`.
    #[must_use]
    pub fn status(&self, now: Time) -> Status {
        let me = self.membership.me();
        let leases = &self.store.leases;
        let mut hosts: Vec<_> = self.hosts.iter().map(|(address, host)| target(*address, host)).collect();
        hosts.sort_unstable_by_key(|host| host.address);
        let reason = self.not_ready_reason();
        Status {
            me: self.member(me),
            region: me.region.clone(),
            fleet: self.settings.fleet.clone(),
            generation: self.config.generation(),
            digest: self.config.digest().to_string(),
            members: self.membership.others().map(|record| self.member(record)).collect(),
            leases: leases.iter().map(|l| Lease { name: l.name().to_owned(), epoch: l.holds(now) }).collect(),
            hosts,
            ready: reason.is_none(),
            reason,
        }
    }

    /// Returns the reason why this node accepts no traffic, `None` when it accepts traffic.
    fn not_ready_reason(&self) -> Option<&'static str> {
        if self.membership.me().state != State::Alive {
            return Some("leaving");
        }
        self.config.current().is_none().then_some("no configuration is in force yet")
    }

    fn member(&self, record: &Record) -> Member {
        let own = (record.id == self.settings.id).then(|| self.config.generation());
        let reported = self.fetcher.peers.get(&record.id).map(|peer| peer.generation);
        Member {
            id: record.id.to_string(),
            name: record.name.clone(),
            zone: record.zone.clone(),
            peer: record.peer,
            state: record.state,
            incarnation: record.incarnation,
            generation: own.or(reported),
        }
    }
}

const fn target(address: Ipv4Addr, host: &Host) -> Target {
    let state = match host.state {
        HostState::Serving => "serving",
        HostState::Unknown => "unknown",
        HostState::Cold => "cold",
        HostState::Draining => "draining",
        HostState::Down => "down",
        HostState::Misplaced => "misplaced",
    };
    Target { address, state, busy: host.busy, connections: host.connections }
}
