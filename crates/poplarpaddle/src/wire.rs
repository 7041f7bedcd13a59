//! Messages between balancers.
//!
//! Peer messages are encoded by `rmp-serde`. Gossip goes over HTTP; relayed packets go over UDP, one [`Relay`] a datagram.
//! Balancers whose hosts register themselves send gossip and short news as one [`Note`] a datagram, and pull a [`Parcel`]
//! over HTTP.

use std::net::{Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind, Result};
use crate::feed::Announcement;
use crate::path::{Hop, MemberId};
use crate::registry::{General, HostDelta, RouteDelta};

/// Longest encoded gossip message, in bytes. A full message takes about 2 kB.
pub const MAX_GOSSIP: usize = 16 * 1024;

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

/// A target host that the platform's VM list says is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Leaving {
    /// Address of the host.
    pub host: Ipv4Addr,
    /// How long the entry stays valid, in milliseconds. A relative time needs no common clock.
    pub ttl_ms: u32,
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
    #[serde(with = "serde_bytes")]
    pub digest: [u8; 32],
    /// Digest of the records that are not dead; equal tables have equal digests.
    pub table: u64,
    /// Latest changes of member records.
    pub updates: Vec<Record>,
    /// Target hosts that are leaving.
    pub leaving: Vec<Leaving>,
    /// Asks the receiver to ping this member on behalf of the sender.
    pub ping: Option<MemberId>,
    /// Reports that this member answered a ping that the receiver asked for.
    pub pong: Option<MemberId>,
    /// In a message, asks for the records of members whose ids are not below this one. In an answer, the id at which
    /// the next page starts.
    pub page: Option<MemberId>,
}

impl Gossip {
    /// Returns the encoded message.
    ///
    /// # Errors
    ///
    /// [`Kind::Internal`] when the encoder fails, which no value of this type causes.
    pub fn encode(&self) -> Result<Vec<u8>> {
        rmp_serde::to_vec(self).map_err(|e| Error::new(Kind::Internal, format!("encoding of gossip: {e}")))
    }

    /// Returns the message in `bytes`.
    ///
    /// # Errors
    ///
    /// [`Kind::Message`] when `bytes` is longer than [`MAX_GOSSIP`] or no gossip message.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        if bytes.len() > MAX_GOSSIP {
            let text = format!("gossip of {} bytes is longer than {MAX_GOSSIP}", bytes.len());
            return Err(Error::new(Kind::Message, text));
        }
        rmp_serde::from_slice(bytes).map_err(|e| Error::new(Kind::Message, format!("gossip: {e}")))
    }
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

/// What a [`Note`] does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Gossip that asks for an answer with the same number.
    Ask(Gossip),
    /// The answer.
    Answer(Gossip),
    /// Positions that are told along the tree of members.
    Tell(MemberId),
    /// Asks for a [`Body::Pong`], to find out whether a zone can be reached.
    Ping(MemberId),
    /// Answers a [`Body::Ping`].
    Pong(MemberId),
}

/// One datagram between balancers whose hosts register themselves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// [`VERSION`] of the sender.
    pub version: u8,
    /// Number of the question.
    pub number: u32,
    /// Positions of the sender.
    pub news: Announcement,
    /// What the note does.
    pub body: Body,
}

impl Note {
    /// Returns the encoded note.
    ///
    /// # Errors
    ///
    /// [`Kind::Internal`] when the encoder fails, which no value of this type causes.
    pub fn encode(&self) -> Result<Vec<u8>> {
        rmp_serde::to_vec(self).map_err(|e| Error::new(Kind::Internal, format!("encoding of a note: {e}")))
    }

    /// Returns the note in `bytes`.
    ///
    /// # Errors
    ///
    /// [`Kind::Message`] when `bytes` is longer than [`MAX_GOSSIP`], no note, or of another version.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        if bytes.len() > MAX_GOSSIP {
            let text = format!("note of {} bytes is longer than {MAX_GOSSIP}", bytes.len());
            return Err(Error::new(Kind::Message, text));
        }
        let note: Self = rmp_serde::from_slice(bytes).map_err(|e| Error::new(Kind::Message, format!("note: {e}")))?;
        if note.version != VERSION {
            return Err(Error::new(Kind::Message, format!("note version: {} is not {VERSION}", note.version)));
        }
        Ok(note)
    }
}

/// What changed at a member, as the answer to a pull.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Parcel {
    /// [`VERSION`] of the sender.
    pub version: u8,
    /// Positions of the sender.
    pub news: Announcement,
    /// Changes of the hosts. [`Host::cold_until`](crate::registry::Host::cold_until) counts from the sending.
    pub hosts: HostDelta,
    /// Changes of the routes.
    pub routes: RouteDelta,
    /// What the configuration says about all routes.
    pub general: General,
}

impl Parcel {
    /// Returns the encoded parcel.
    ///
    /// # Errors
    ///
    /// [`Kind::Internal`] when the encoder fails, which no value of this type causes.
    pub fn encode(&self) -> Result<Vec<u8>> {
        rmp_serde::to_vec(self).map_err(|e| Error::new(Kind::Internal, format!("encoding of a parcel: {e}")))
    }

    /// Returns the parcel in `bytes`.
    ///
    /// # Errors
    ///
    /// [`Kind::Message`] when `bytes` is no parcel or of another version.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let parcel: Self =
            rmp_serde::from_slice(bytes).map_err(|e| Error::new(Kind::Message, format!("parcel: {e}")))?;
        if parcel.version != VERSION {
            return Err(Error::new(Kind::Message, format!("parcel version: {} is not {VERSION}", parcel.version)));
        }
        Ok(parcel)
    }
}
