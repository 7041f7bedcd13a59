//! Actions that a node requests, and their outcomes.

use std::net::{Ipv4Addr, SocketAddr};

use super::Digest;
use crate::error::Error;
use crate::event::Event;
use crate::store;
use crate::time::Time;
use crate::view;
use crate::wire::Gossip;

/// Id of a store call, unique within one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// An action that the caller of a [`Node`](super::Node) has to perform.
#[derive(Debug, Clone)]
pub enum Action {
    /// Sends a message to a peer; the outcome is returned as [`Answer::Gossip`].
    SendGossip {
        /// Peer address of the receiver.
        to: SocketAddr,
        /// The message.
        message: Box<Gossip>,
    },
    /// Calls the store; the outcome is returned as [`Answer::Store`].
    Store {
        /// Id of the call, repeated in its outcome.
        id: CallId,
        /// The call.
        call: store::Call,
        /// Time after which the outcome is no longer of use.
        deadline: Time,
    },
    /// Fetches the manifest of a peer; the outcome is returned as [`Answer::Manifest`].
    FetchManifest {
        /// Peer address.
        peer: SocketAddr,
        /// Digest of the manifest from which an update of the peer may start, all zeros for none.
        base: Digest,
    },
    /// Fetches a part from a peer; the outcome is returned as [`Answer::Part`].
    FetchPart {
        /// Peer address.
        peer: SocketAddr,
        /// Digest of the part.
        digest: Digest,
    },
    /// Polls the load report of a host; the outcome is returned as [`Answer::Load`].
    Poll {
        /// Address of the host.
        host: Ipv4Addr,
    },
    /// Passes a new view to the data path.
    Apply(view::View),
    /// Records an event.
    Event(Event),
}

/// Outcome of an [`Action`].
#[derive(Debug)]
pub enum Answer<'a> {
    /// Outcome of [`Action::SendGossip`].
    Gossip {
        /// Peer address of the receiver.
        to: SocketAddr,
        /// Response of the peer.
        outcome: std::result::Result<&'a Gossip, &'a Error>,
    },
    /// Outcome of [`Action::Store`].
    Store {
        /// Id of the call.
        id: CallId,
        /// Outcome of the call.
        outcome: &'a store::Outcome,
    },
    /// Outcome of [`Action::FetchManifest`].
    Manifest {
        /// Peer address.
        peer: SocketAddr,
        /// Bytes of the manifest or update.
        outcome: std::result::Result<&'a [u8], &'a Error>,
    },
    /// Outcome of [`Action::FetchPart`].
    Part {
        /// Peer address.
        peer: SocketAddr,
        /// Digest of the part.
        digest: Digest,
        /// Bytes of the part.
        outcome: std::result::Result<&'a [u8], &'a Error>,
    },
    /// Outcome of [`Action::Poll`].
    Load {
        /// Address of the host.
        host: Ipv4Addr,
        /// Body of the report.
        outcome: std::result::Result<&'a [u8], &'a Error>,
    },
}
