//! Packets as every carrier can describe them.
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
//! A view borrows the bytes of the packet and carries the few fields that decisions need, so the data path copies a
//! packet only when it has to hold it. A carrier that knows requests (their id, priority or deadline) adds a
//! [`Request`]; TCP/IP does not, and everything works without one.

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

/// Which end sent a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Direction {
    /// The caller sent it to the service address.
    FromCaller,
    /// The target at this address sent it to the caller.
    FromTarget(Ipv4Addr),
}

/// What a packet does to its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
pub enum Kind {
    /// Opens the flow (TCP SYN).
    Opening,
    /// Accepts the opening (TCP SYN-ACK).
    Accept,
    /// Carries payload or only an acknowledgement.
    Data,
    /// Closes one direction (TCP FIN).
    Closing,
    /// Ends the flow at once (TCP RST).
    Reset,
}

/// Attributes of the request that a packet belongs to, where the carrier knows them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Identifies the request.
    pub id: u64,
    /// True when running the request twice has the effect of running it once.
    pub idempotent: bool,
    /// Rank of the priority, 0 is the most urgent. Overrides the rank of the service port.
    pub rank: Option<u8>,
    /// An answer after this time is of no use to the caller.
    pub deadline: Time,
}

/// A borrowed view of one packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct View<'a> {
    /// The flow, with the service address also for packets from a target.
    pub flow: Flow,
    /// Which end sent the packet.
    pub direction: Direction,
    /// What the packet does.
    pub kind: Kind,
    /// Payload length in bytes.
    pub payload: u32,
    /// Sequence number; of an opening it tells a new connection from a repeated packet.
    pub sequence: u32,
    /// Acknowledgement number, 0 when the packet has none.
    pub acknowledgement: u32,
    /// True when the packet ends an answer or a request (TCP PSH or FIN, or the carrier's own mark).
    pub end: bool,
    /// Attributes of the request, if known.
    pub request: Option<Request>,
    /// The packet as the carrier sends it (for TCP/IP the raw IP packet).
    pub bytes: &'a [u8],
}

impl<'a> View<'a> {
    /// Returns a view without payload, numbers and request attributes.
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
