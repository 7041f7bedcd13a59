//! What a node wants done, and what became of it.

use std::net::{Ipv4Addr, SocketAddr};

use super::Digest;
use crate::error::Error;
use crate::event::Event;
use crate::store;
use crate::time::Time;
use crate::view;
use crate::wire::Gossip;

/// Identifies a store call of one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// What the caller of a [`Node`](super::Node) has to do.
#[derive(Debug, Clone)]
pub enum Action {
    /// Sends a message; the outcome comes back as [`Answer::Gossip`].
    SendGossip {
        /// Peer address of the receiver.
        to: SocketAddr,
        /// The message.
        message: Box<Gossip>,
    },
    /// Calls the store; the outcome comes back as [`Answer::Store`].
    Store {
        /// Identifies the call in its answer.
        id: CallId,
        /// The call.
        call: store::Call,
        /// When the outcome is of no use any more.
        deadline: Time,
    },
    /// Fetches the manifest of a peer; the outcome comes back as [`Answer::Manifest`].
    FetchManifest {
        /// Peer address.
        peer: SocketAddr,
        /// Digest from which the peer may serve an update, all zeros for none.
        base: Digest,
    },
    /// Fetches a part from a peer; the outcome comes back as [`Answer::Part`].
    FetchPart {
        /// Peer address.
        peer: SocketAddr,
        /// Digest of the part.
        digest: Digest,
    },
    /// Polls the load report of a host; the outcome comes back as [`Answer::Load`].
    Poll {
        /// Address of the host.
        host: Ipv4Addr,
    },
    /// Hands a new view to the data path.
    Apply(view::View),
    /// Records an event.
    Event(Event),
}

/// Outcome of an action.
#[derive(Debug)]
pub enum Answer<'a> {
    /// Of [`Action::SendGossip`].
    Gossip {
        /// Peer address of the receiver.
        to: SocketAddr,
        /// The answer of the peer.
        outcome: std::result::Result<&'a Gossip, &'a Error>,
    },
    /// Of [`Action::Store`].
    Store {
        /// Id of the call.
        id: CallId,
        /// Outcome.
        outcome: &'a store::Outcome,
    },
    /// Of [`Action::FetchManifest`].
    Manifest {
        /// Peer address.
        peer: SocketAddr,
        /// Bytes of the manifest.
        outcome: std::result::Result<&'a [u8], &'a Error>,
    },
    /// Of [`Action::FetchPart`].
    Part {
        /// Peer address.
        peer: SocketAddr,
        /// Digest of the part.
        digest: Digest,
        /// Bytes of the part.
        outcome: std::result::Result<&'a [u8], &'a Error>,
    },
    /// Of [`Action::Poll`].
    Load {
        /// Address of the host.
        host: Ipv4Addr,
        /// Body of the report.
        outcome: std::result::Result<&'a [u8], &'a Error>,
    },
}
