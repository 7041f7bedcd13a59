//! What a node tells people and tools.

use std::net::{Ipv4Addr, SocketAddr};

use serde::Serialize;

use super::Node;
use crate::time::Time;
use crate::view::{Host, HostState};
use crate::wire::{Record, State};

/// A member as this node sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Member {
    /// Id of the process.
    pub id: String,
    /// Name from its settings.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// HTTP address.
    pub peer: SocketAddr,
    /// State.
    pub state: State,
    /// Incarnation.
    pub incarnation: u64,
    /// Generation in force when this node last heard from it, none when it never did.
    pub generation: Option<u64>,
}

/// A lease that this node may hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Lease {
    /// Name of the object.
    pub name: String,
    /// Epoch while this node holds it.
    pub epoch: Option<u64>,
}

/// What is known of a target host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Target {
    /// Address.
    pub address: Ipv4Addr,
    /// State in lower case.
    pub state: &'static str,
    /// Slots in use by its report.
    pub busy: Option<u16>,
    /// Connections by its report.
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
    /// Other members, dead ones included, in the order of their ids.
    pub members: Vec<Member>,
    /// Leases of the zone.
    pub leases: Vec<Lease>,
    /// Target hosts that are polled or leaving, in the order of their addresses.
    pub hosts: Vec<Target>,
    /// True when this node takes traffic.
    pub ready: bool,
    /// Why it is not ready.
    pub reason: Option<&'static str>,
}

impl Node {
    /// Returns what this node knows, for `GET /status`.
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

    /// Returns why this node takes no traffic, none when it does.
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
