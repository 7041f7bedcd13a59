//! Packets and flows, independent of the transport that carries them.
//!
//! ```
//! use poplarpaddle::packet::{Direction, Flow, Kind, View};
//!
//! let flow = Flow {
//!     caller: "192.0.2.7:40000".parse().unwrap(),
//!     service: "10.0.0.1:80".parse().unwrap(),
//! };
//! let opening = View::new(flow, Direction::FromCaller, Kind::Opening, &[]);
//! assert!(!opening.has_payload());
//! ```
//!
//! A view borrows the bytes of the packet and holds the few fields that decisions need, so the data path copies a packet
//! only when it has to hold it. A transport that knows about requests (their id, priority or deadline) adds a [`Request`];
//! TCP/IP does not, and the data path works without one.

use std::net::{Ipv4Addr, SocketAddrV4};

use serde::{Deserialize, Serialize};

use crate::time::Time;

/// A flow: one caller's connection to one service address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, derive_more::Display)]
#[display("{caller}>{service}")]
pub struct Flow {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Address and port of the service.
    pub service: SocketAddrV4,
}

/// End of the flow that sent a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Direction {
    /// Sent by the caller to the service address.
    FromCaller,
    /// Sent to the caller by the target at this address.
    FromTarget(Ipv4Addr),
}

/// Effect of a packet on its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
pub enum Kind {
    /// Opens the flow (TCP SYN).
    Opening,
    /// Accepts the opening (TCP SYN-ACK).
    Accept,
    /// Carries payload or an acknowledgement only.
    Data,
    /// Closes one direction (TCP FIN).
    Closing,
    /// Ends the flow at once (TCP RST).
    Reset,
}

/// Attributes of the request that a packet belongs to, if the transport knows them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Identifies the request.
    pub id: u64,
    /// True when running the request twice has the same effect as running it once.
    pub idempotent: bool,
    /// Rank of the priority, where 0 is the most urgent. Overrides the rank of the service port.
    pub rank: Option<u8>,
    /// Time after which the caller has no use for an answer.
    pub deadline: Time,
}

/// A borrowed view of one packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct View<'a> {
    /// The flow. It has the service address in packets from a target too.
    pub flow: Flow,
    /// End that sent the packet.
    pub direction: Direction,
    /// Effect of the packet on its flow.
    pub kind: Kind,
    /// Payload length in bytes.
    pub payload: u32,
    /// Sequence number. In an opening, it distinguishes a new connection from a retransmission.
    pub sequence: u32,
    /// Acknowledgement number, 0 when the packet has none. In an opening, the number of copies that the caller has sent
    /// before, if the transport counts them there.
    pub acknowledgement: u32,
    /// True when the packet ends an answer or a request (TCP PSH or FIN, or the transport's own marker).
    pub end: bool,
    /// Attributes of the request, if known.
    pub request: Option<Request>,
    /// The packet in the format of the transport (for TCP/IP the raw IP packet).
    pub bytes: &'a [u8],
}

impl<'a> View<'a> {
    /// Returns a view without payload, sequence numbers and request attributes.
    #[must_use]
    pub const fn new(flow: Flow, direction: Direction, kind: Kind, bytes: &'a [u8]) -> Self {
        Self { flow, direction, kind, payload: 0, sequence: 0, acknowledgement: 0, end: false, request: None, bytes }
    }

    /// Returns true when the packet carries payload.
    #[must_use]
    pub const fn has_payload(&self) -> bool {
        self.payload > 0
    }
}
