//! Messages between balancers.
//!
//! Peer messages are encoded by `rmp-serde`. Gossip goes over HTTP; relayed packets go over UDP, one [`Relay`] a datagram.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::path::{Hop, MemberId};

/// Version of the peer protocol; a message of another version is refused.
pub const VERSION: u8 = 1;

/// State of a member as members tell one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// Answers.
    Alive,
    /// Did not answer; declared dead unless it refutes.
    Suspect,
    /// Stops soon; owns no shards.
    Leaving,
    /// Gone.
    Dead,
}

/// What members know of one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Identifies the member.
    pub id: MemberId,
    /// Name from its settings.
    pub name: String,
    /// Zone from its settings.
    pub zone: String,
    /// Region from its settings.
    pub region: String,
    /// HTTP address for peers and tools.
    pub peer: SocketAddr,
    /// UDP address for relayed packets.
    pub relay: SocketAddr,
    /// Raised by the member itself to refute a suspicion.
    pub incarnation: u64,
    /// State at this incarnation.
    pub state: State,
}

/// One gossip message; the answer has the same form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// [`VERSION`] of the sender.
    pub version: u8,
    /// Record of the sender.
    pub sender: Record,
    /// Configuration generation in force at the sender, 0 for none.
    pub generation: u64,
    /// Digest of the manifest of that generation.
    pub digest: [u8; 32],
    /// Latest changes of member records.
    pub updates: Vec<Record>,
    /// VMs that the platform's list says are leaving, by host address or name.
    pub leaving: Vec<String>,
    /// Asks the receiver to ping this member on behalf of the sender.
    pub ping: Option<MemberId>,
}

/// A packet relayed between balancers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay<'a> {
    /// [`VERSION`] of the sender.
    pub version: u8,
    /// The sender.
    pub sender: MemberId,
    /// Why it is relayed.
    pub hop: Hop,
    /// The raw IP packet.
    #[serde(borrow, with = "serde_bytes")]
    pub packet: &'a [u8],
}
