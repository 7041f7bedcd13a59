//! The data path for carriers whose packets have room for a mark and whose hosts answer callers directly.
//!
//! A balancer sees only the packets of callers. It places each opening on a host and writes the host's
//! [mark](crate::mark) into it; every later packet of the flow carries the mark, so that any balancer forwards it without
//! a flow table. The [`Engine`] keeps entries only of the flows that it saw, to count the work of hosts and to notice
//! openings that no host answers.
//!
//! ```
//! use poplarpaddle::direct::{Engine, Settings};
//! use poplarpaddle::time::Time;
//!
//! let engine = Engine::new(Settings { zone: "kitami".into(), ..Default::default() });
//! assert_eq!(engine.deadline(), Time::NEVER);
//! ```
//!
//! # Openings without an answer
//!
//! The answer of a host goes to the caller, and the caller's next packet shows that it came. An opening that shows
//! nothing within a few round trips was lost, or its host is dead, full or cut off. The engine sends the opening again:
//! to the same host while other openings show that the host answers, and to another one otherwise. Two hosts that both
//! answer would spoil the flow, because the caller repeats the mark of the second answer and acknowledges the first.
//!
//! # Trade-offs
//!
//! Losing an entry costs nothing but a count, so nothing is copied to peers. The price is that each balancer knows only
//! its own share of the work of a host.

mod buffer;
mod engine;
mod estimate;
mod host;
mod link;
mod opening;
mod queue;
mod route;
mod select;
mod settings;

pub use engine::Engine;
pub use settings::{Counters, Settings};

use std::net::SocketAddrV4;

use crate::error::Result;
use crate::mark::{HostId, Mark};
use crate::packet::{Flow, View};
use crate::time::Time;

/// Why a packet is not forwarded, or not where it would go otherwise. Each reason has a counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, derive_more::Display)]
pub enum Reason {
    /// The datagram is no packet.
    #[display("malformed")]
    Malformed,
    /// A host sent the packet; only callers send to balancers.
    #[display("not_from_caller")]
    NotFromCaller,
    /// Hosts or routes are not known yet, and there is no room to hold the packet until they are.
    #[display("starting")]
    Starting,
    /// No route has the destination address and port.
    #[display("unknown_route")]
    UnknownRoute,
    /// No known host has the mark.
    #[display("unknown_mark")]
    UnknownMark,
    /// The host with the mark is of a service that the route does not allow.
    #[display("foreign_host")]
    ForeignHost,
    /// No host of the service takes new flows.
    #[display("no_host")]
    NoHost,
    /// The host did not answer the opening in time.
    #[display("unanswered")]
    Unanswered,
    /// The zone of the host cannot be reached.
    #[display("zone_down")]
    ZoneDown,
}

impl Reason {
    /// Every reason, in the order of the counters.
    pub const ALL: [Self; 9] = [
        Self::Malformed,
        Self::NotFromCaller,
        Self::Starting,
        Self::UnknownRoute,
        Self::UnknownMark,
        Self::ForeignHost,
        Self::NoHost,
        Self::Unanswered,
        Self::ZoneDown,
    ];
}

/// What is done with a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
pub enum Verdict {
    /// The opening waits for room at the hosts.
    #[display("queued")]
    Queued,
    /// The opening goes to a host for the first time.
    #[display("placed")]
    Placed,
    /// The opening goes to the same host again.
    #[display("repeated")]
    Repeated,
    /// The opening goes to another host.
    #[display("moved")]
    Moved,
    /// The opening is answered with a reset; no host got it.
    #[display("refused")]
    Refused,
    /// A packet of an established flow is answered with a reset.
    #[display("reset")]
    Reset,
    /// The packet is dropped.
    #[display("dropped")]
    Dropped,
}

/// A decision about a flow, for logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision<'a> {
    /// The flow.
    pub flow: Flow,
    /// What is done.
    pub verdict: Verdict,
    /// Why it is not the usual case.
    pub reason: Option<Reason>,
    /// The host, as far as one is known.
    pub host: Option<&'a str>,
    /// Flows with work on that host, as far as this balancer placed them.
    pub busy: u32,
    /// Openings in a row that the host has not answered.
    pub unanswered: u32,
    /// Attempts for this opening so far.
    pub attempt: u32,
}

impl Decision<'_> {
    /// Returns a decision that concerns no host.
    #[must_use]
    pub const fn new(flow: Flow, verdict: Verdict, reason: Option<Reason>) -> Self {
        Self { flow, verdict, reason, host: None, busy: 0, unanswered: 0, attempt: 0 }
    }
}

/// Where a packet goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hop {
    /// The host that may take the packet; at a reused address another host has another identifier.
    pub host: HostId,
    /// Address of the host.
    pub address: SocketAddrV4,
    /// The mark to write into the packet, or none to leave the one that it has.
    pub mark: Option<Mark>,
}

/// How packets lie in datagrams.
pub trait Layout: Send + Sync {
    /// Returns the mark and the view of the packet in a datagram of a caller.
    ///
    /// # Errors
    ///
    /// [`Kind::Packet`](crate::error::Kind::Packet) when the datagram is no packet.
    fn parse<'a>(&self, datagram: &'a [u8]) -> Result<(Mark, View<'a>)>;

    /// Writes the datagram that takes the packet in `bytes` to a host.
    fn write(&self, hop: &Hop, bytes: &[u8], datagram: &mut Vec<u8>);

    /// Writes the datagram that resets a flow, and returns where it goes. `sequence` is the next number that the caller
    /// expects.
    fn write_reset(&self, flow: &Flow, sequence: u32, datagram: &mut Vec<u8>) -> SocketAddrV4;
}

/// Takes the outcome of decisions.
pub trait Outlet {
    /// Sends the bytes of a packet to a host.
    fn forward(&mut self, hop: &Hop, bytes: &[u8]);

    /// Resets the flow at the caller. `sequence` is the next number that the caller expects.
    fn reset(&mut self, flow: &Flow, sequence: u32);

    /// Asks members of a zone for a sign of life, which comes back by [`Engine::heard`]. Returns false when no member there
    /// is known, so that silence says nothing.
    fn ping(&mut self, zone: &str) -> bool;

    /// Records a decision.
    fn record_decision(&mut self, decision: &Decision<'_>);

    /// Records that the belief about a host or zone changed: what, its name, and why.
    fn record_event(&mut self, now: Time, name: &str, subject: &str, detail: &str);
}
