//! Encoding of the messages between balancers.
//!
//! All messages are encoded by `rmp-serde`. [`Gossip`] is sent over HTTP, and relayed packets over UDP, one [`Relay`]
//! per datagram. In fleets whose hosts register themselves, balancers send gossip and the revisions of their state, as an
//! [`Announcement`], over UDP, one [`Datagram`] per datagram, and pull the state itself over HTTP as a [`Transfer`].

use std::net::{Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind, Result};
use crate::feed::Announcement;
use crate::mark::HostId;
use crate::path::{Hop, MemberId};
use crate::registry::{General, HostDelta, RouteDelta, ZoneDrainDelta};

/// Maximum length of an encoded gossip message, in bytes. A full message takes about 2 kB.
pub const MAX_GOSSIP: usize = 16 * 1024;

/// Version of the peer protocol. Messages of another version are rejected.
pub const VERSION: u8 = 1;

/// Version of [`Datagram`]. Datagrams of another version are rejected.
pub const DATAGRAM_VERSION: u8 = 4;

/// Version of [`Transfer`]. Transfers of another version are rejected.
pub const TRANSFER_VERSION: u8 = 3;

/// Length of the checksum of a datagram, in bytes.
const CHECKSUM_LENGTH: usize = 4;

/// State of a member in gossip messages. At the same incarnation, a later variant overrides an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// The member answers.
    Alive,
    /// The member did not answer a ping, and is declared dead unless it refutes the suspicion.
    Suspect,
    /// The member is about to stop and owns no shards.
    Leaving,
    /// The member has stopped or failed.
    Dead,
}

/// Identity, addresses and state of one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Id of the member.
    pub id: MemberId,
    /// Name of the member, from its settings.
    pub name: String,
    /// Zone of the member, from its settings.
    pub zone: String,
    /// Region of the member, from its settings.
    pub region: String,
    /// HTTP address for peers and tools.
    pub peer: SocketAddr,
    /// UDP address for relayed packets.
    pub relay: SocketAddr,
    /// Version of the record; raised only by the member itself, for example to refute a suspicion.
    pub incarnation: u64,
    /// State of the member at this incarnation.
    pub state: State,
}

/// A target host that is leaving according to the VM list of the platform, or that must get no new flows for another
/// reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Leaving {
    /// Address of the host.
    pub host: Ipv4Addr,
    /// Time for which the entry stays valid, in milliseconds. A relative time needs no synchronized clocks.
    pub ttl_ms: u32,
}

/// A gossip message. The answer has the same type.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// [`VERSION`] of the sender.
    pub version: u8,
    /// Record of the sender.
    pub sender: Record,
    /// Generation of the configuration in force at the sender; 0 for none.
    pub generation: u64,
    /// Digest of the manifest of that generation.
    #[serde(with = "serde_bytes")]
    pub digest: [u8; 32],
    /// Digest of the records of the members that are not dead. Equal tables have equal digests.
    pub table: u64,
    /// Recently changed records, and records of the requested page.
    pub updates: Vec<Record>,
    /// Target hosts that are leaving.
    pub leaving: Vec<Leaving>,
    /// Asks the receiver to ping this member on behalf of the sender.
    pub ping: Option<MemberId>,
    /// Reports that this member answered an indirect ping that the receiver had asked for.
    pub pong: Option<MemberId>,
    /// In a request, asks for the records of members from this id on. In an answer, the id at which the next page
    /// starts.
    pub page: Option<MemberId>,
}

impl Gossip {
    /// Returns the encoded message.
    ///
    /// # Errors
    ///
    /// [`Kind::Internal`] if the encoder fails, which no value of this type causes.
    pub fn encode(&self) -> Result<Vec<u8>> {
        rmp_serde::to_vec(self).map_err(|e| Error::new(Kind::Internal, format!("cannot encode gossip: {e}")))
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// [`Kind::Message`] if `bytes` is longer than [`MAX_GOSSIP`] or not a gossip message.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        if bytes.len() > MAX_GOSSIP {
            let text = format!("gossip of {} bytes exceeds the maximum of {MAX_GOSSIP} bytes", bytes.len());
            return Err(Error::new(Kind::Message, text));
        }
        rmp_serde::from_slice(bytes).map_err(|e| Error::new(Kind::Message, format!("cannot decode gossip: {e}")))
    }
}

/// A packet relayed between balancers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay<'a> {
    /// [`VERSION`] of the sender.
    pub version: u8,
    /// Id of the sender.
    pub sender: MemberId,
    /// Reason for the relay.
    pub hop: Hop,
    /// The raw IP packet.
    #[serde(borrow, with = "serde_bytes")]
    pub packet: &'a [u8],
}

/// Content of a [`Datagram`] in addition to the positions of its sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A gossip message that requests a [`Body::Response`] with the same number.
    #[serde(rename = "Ask")]
    Request(Gossip),
    /// The gossip message that answers a [`Body::Request`].
    #[serde(rename = "Answer")]
    Response(Gossip),
    /// Announces the positions to other members along a dissemination tree. Holds the id of the sender.
    #[serde(rename = "Tell")]
    Announce(MemberId),
    /// Requests a [`Body::Pong`], to find out whether a zone can be reached. Holds the id of the sender.
    Ping(MemberId),
    /// Answers a [`Body::Ping`]. Holds the id of the sender.
    Pong(MemberId),
    /// Reports that a host did not respond to the sender. Holds the id of the sender.
    Report(MemberId, Report),
    /// Tells of hosts that several members reported. Holds the id of the sender.
    Outliers(MemberId, Vec<HostId>),
}

/// Report that a host did not respond to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The host.
    pub host: HostId,
    /// Rate at which the member sends requests to an average host of the service, in requests per 1,000 s.
    pub rate: u32,
}

/// One UDP datagram between balancers whose hosts register themselves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// [`DATAGRAM_VERSION`] of the sender.
    pub version: u8,
    /// Number of the request, repeated in the response.
    pub number: u32,
    /// Positions of the state of the sender.
    pub news: Announcement,
    /// Message that the datagram carries in addition to the positions.
    pub body: Body,
}

impl Datagram {
    /// Returns the encoded datagram, which ends with a checksum.
    ///
    /// # Errors
    ///
    /// [`Kind::Internal`] if the encoder fails, which no value of this type causes.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let mut bytes = rmp_serde::to_vec(self)
            .map_err(|e| Error::new(Kind::Internal, format!("cannot encode a datagram: {e}")))?;
        bytes.extend(checksum(&bytes));
        Ok(bytes)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// [`Kind::Message`] if `bytes` is longer than [`MAX_GOSSIP`], damaged, malformed, or of another version.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        if bytes.len() > MAX_GOSSIP {
            let text = format!("datagram of {} bytes exceeds the maximum of {MAX_GOSSIP} bytes", bytes.len());
            return Err(Error::new(Kind::Message, text));
        }
        // A damaged position of the state would spread to all members, which would then wait for that revision.
        let split = bytes.split_last_chunk().filter(|(content, sum)| checksum(content) == **sum);
        let Some((content, _sum)) = split else {
            let text = "the checksum of a datagram does not match: it is damaged or of another version";
            return Err(Error::new(Kind::Message, text));
        };
        let datagram: Self = rmp_serde::from_slice(content)
            .map_err(|e| Error::new(Kind::Message, format!("cannot decode a datagram: {e}")))?;
        if datagram.version != DATAGRAM_VERSION {
            return Err(Error::new(
                Kind::Message,
                format!("datagram version {} is not supported, expected {DATAGRAM_VERSION}", datagram.version),
            ));
        }
        Ok(datagram)
    }
}

/// Returns the checksum of the content of a datagram.
fn checksum(content: &[u8]) -> [u8; CHECKSUM_LENGTH] {
    let mut sum = [0; CHECKSUM_LENGTH];
    blake3::Hasher::new().update(content).finalize_xof().fill(&mut sum);
    sum
}

/// State transfer: the hosts, routes and zone drains that changed at a member, or all of them, as the answer to a pull.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// [`TRANSFER_VERSION`] of the sender.
    pub version: u8,
    /// Positions of the state of the sender.
    pub news: Announcement,
    /// Changes of the hosts. [`Host::cold_until`](crate::registry::Host::cold_until) is relative to the time of
    /// sending.
    pub hosts: HostDelta,
    /// Changes of the routes.
    pub routes: RouteDelta,
    /// Configuration that applies to all routes.
    pub general: General,
    /// Changes of the zone drains; empty at revision 0 if the sender does not replicate them.
    pub zone_drains: ZoneDrainDelta,
}

impl Transfer {
    /// Returns the encoded transfer.
    ///
    /// # Errors
    ///
    /// [`Kind::Internal`] if the encoder fails, which no value of this type causes.
    pub fn encode(&self) -> Result<Vec<u8>> {
        rmp_serde::to_vec(self).map_err(|e| Error::new(Kind::Internal, format!("cannot encode a state transfer: {e}")))
    }

    /// Decodes a state transfer.
    ///
    /// # Errors
    ///
    /// [`Kind::Message`] if `bytes` is malformed or of another version.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let transfer: Self = rmp_serde::from_slice(bytes)
            .map_err(|e| Error::new(Kind::Message, format!("cannot decode a state transfer: {e}")))?;
        if transfer.version != TRANSFER_VERSION {
            return Err(Error::new(
                Kind::Message,
                format!("state transfer version {} is not supported, expected {TRANSFER_VERSION}", transfer.version),
            ));
        }
        Ok(transfer)
    }
}
