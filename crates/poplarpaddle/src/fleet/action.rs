//! Actions that a node requests from its caller.

use std::net::SocketAddr;

use crate::event::Event;
use crate::feed::Topic;
use crate::former;
use crate::mark::HostId;
use crate::path::MemberId;
use crate::registry::Address;
use crate::revision::Revision;
use crate::time::Time;

/// Revisions of the collections that a node has; none for those that it lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Revisions {
    /// Revision of the hosts.
    pub hosts: Revision,
    /// Version of the configuration.
    pub routes: Revision,
    /// Revision of the zone drains.
    pub zone_drains: Revision,
}

/// Action that a [`Node`](super::Node) requests from its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram to a peer.
    Send(SocketAddr, Vec<u8>),
    /// Read a snapshot of a collection from the store.
    Read(Topic),
    /// Watch a collection in the store for changes.
    Watch {
        /// The collection.
        topic: Topic,
        /// Revision of the store that this node's state corresponds to.
        revision: Revision,
        /// When the store has to respond if there is no change.
        until: Time,
    },
    /// Pull changes from a peer, which gets them from [`Node::changes_since`](super::Node::changes_since).
    Pull {
        /// The member.
        member: MemberId,
        /// Address of the member.
        peer: SocketAddr,
        /// Revisions that this node has.
        since: Revisions,
        /// When the pull times out.
        until: Time,
    },
    /// The hosts with these names were added, changed or removed in [`Node::hosts`](super::Node::hosts).
    HostsChanged(Vec<String>),
    /// The routes with these addresses were added, changed or removed in [`Node::routes`](super::Node::routes).
    RoutesChanged(Vec<Address>),
    /// The services in [`Node::general`](super::Node::general) changed.
    ServicesChanged,
    /// These zones were added to or removed from [`Node::zone_drains`](super::Node::zone_drains). The list is empty when
    /// the zone drains became known and there is none.
    ZoneDrainsChanged(Vec<String>),
    /// A message from a member of this zone arrived, so the zone is reachable.
    ZoneAlive(String),
    /// The members in the own zone changed, so the routers may move flows between them.
    NeighborsChanged,
    /// Several members report that these hosts do not respond.
    HostsSuspected(Vec<HostId>),
    /// Call the store for former services of routes.
    Former(former::Action),
    /// Established flows of these routes may belong to these services.
    FormerServices(Vec<former::Entry>),
    /// Record an event.
    Event(Event),
}
