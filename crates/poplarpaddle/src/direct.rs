//! Data path for direct server return, over transports whose packets carry a mark.
//!
//! A balancer sees only the packets that callers send; hosts answer callers directly. The first packet of a flow is its
//! opening (a SYN in TCP). The balancer selects a host for each opening and writes the host's [mark](crate::mark) into
//! the packet. Every later packet of the flow carries the mark, so any balancer can forward it without a flow table.
//! The [`Engine`] keeps an entry only for flows that it has seen, to count the requests in progress at each host and to
//! detect openings that no host answers.
//!
//! ```
//! use poplarpaddle::direct::{Engine, Settings};
//! use poplarpaddle::time::Time;
//!
//! let engine = Engine::new(Settings { zone: "kitami".into(), ..Default::default() });
//! assert_eq!(engine.deadline(), Time::NEVER);
//! ```
//!
//! # Unanswered openings
//!
//! A host's answer goes to the caller, and the caller's next packet shows that the answer arrived. If no such packet
//! arrives within a few round trips, the opening was lost, its host is dead, full or unreachable, or the packet passes
//! through another balancer. If two hosts answered the same opening, the flow would break, because the caller would repeat
//! the mark of the second answer and acknowledge the first. The engine therefore sends the opening to the same host again.
//! It uses another host only if the caller retransmits the opening, which shows that no answer has arrived, or if the first
//! host is known to be unreachable by other means.
//!
//! # Unreachable hosts
//!
//! A host that crashes or is cut off leaves its established flows without an answer. The engine checks hosts that it has
//! a reason to doubt, and resets the flows of those that are unreachable, if their requests may run twice.
//!
//! # Outliers
//!
//! A host can accept connections and yet not respond to requests. New flows avoid hosts that are silent while others
//! respond, to this balancer or to several members.
//!
//! # Cold hosts
//!
//! A service may bound the openings that a host gets after its start. One balancer then opens flows at each cold host,
//! see [`warmup`].
//!
//! # Drained zones
//!
//! An operator can drain a zone: its hosts keep their established flows and get no new ones.
//!
//! # Trade-offs
//!
//! Losing an entry only makes the request counts less exact, so entries are not replicated to peers. In return, each
//! balancer knows only the part of a host's load that passes through itself.

mod buffer;
mod drain;
mod engine;
mod estimate;
mod host;
mod idle;
mod link;
mod opening;
mod outlier;
mod queue;
mod reach;
mod route;
mod select;
mod settings;
mod sweep;
pub mod warmup;

pub use engine::Engine;
pub use settings::{Counters, Settings};

use std::net::SocketAddrV4;

use crate::error::Result;
use crate::mark::{HostId, Mark};
use crate::packet::{Flow, View};
use crate::time::Time;

/// Reason why a packet is dropped, rejected or sent to a host again. Each reason has a counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, derive_more::Display)]
pub enum Reason {
    /// The datagram does not contain a valid packet.
    #[display("malformed")]
    Malformed,
    /// The packet comes from a host; only callers send packets to balancers.
    #[display("not_from_caller")]
    NotFromCaller,
    /// Hosts or routes are not known yet, and the buffer for packets that arrive before that is full.
    #[display("starting")]
    Starting,
    /// No route has the destination address and port.
    #[display("unknown_route")]
    UnknownRoute,
    /// No known host has the mark.
    #[display("unknown_mark")]
    UnknownMark,
    /// The host with the mark belongs to a service that the route does not allow.
    #[display("foreign_host")]
    ForeignHost,
    /// No host of the service accepts new flows.
    #[display("no_host")]
    NoHost,
    /// Only hosts that have just started accept new flows, and the bound on their openings is reached.
    #[display("cold_hosts")]
    ColdHosts,
    /// The host did not answer the opening in time.
    #[display("unanswered")]
    Unanswered,
    /// The zone of the host is unreachable.
    #[display("zone_down")]
    ZoneDown,
    /// The host of the established flow is unreachable.
    #[display("unreachable")]
    Unreachable,
    /// The hosts have so much work that a request could not start before its caller gives up.
    #[display("late")]
    Late,
}

impl Reason {
    /// Every reason, in the order of the counters.
    pub const ALL: [Self; 12] = [
        Self::Malformed,
        Self::NotFromCaller,
        Self::Starting,
        Self::UnknownRoute,
        Self::UnknownMark,
        Self::ForeignHost,
        Self::NoHost,
        Self::ColdHosts,
        Self::Unanswered,
        Self::ZoneDown,
        Self::Unreachable,
        Self::Late,
    ];
}

/// Action that the engine takes on a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
pub enum Verdict {
    /// The opening is queued until a host has capacity.
    #[display("queued")]
    Queued,
    /// The opening is sent to a host for the first time.
    #[display("placed")]
    Placed,
    /// The opening is sent to the same host again.
    #[display("repeated")]
    Repeated,
    /// The opening is sent to a different host.
    #[display("moved")]
    Moved,
    /// The opening is rejected with a reset before any host received it.
    #[display("refused")]
    Refused,
    /// A packet of an established flow is answered with a reset.
    #[display("reset")]
    Reset,
    /// The packet is dropped.
    #[display("dropped")]
    Dropped,
}

/// Decision about a flow, as reported to [`Outlet::record_decision`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision<'a> {
    /// The flow.
    pub flow: Flow,
    /// The action taken.
    pub verdict: Verdict,
    /// Reason for the verdict; none when an opening is placed or queued normally.
    pub reason: Option<Reason>,
    /// Name of the host that the flow is sent to; none when no host is involved.
    pub host: Option<&'a str>,
    /// Number of flows with a request in progress at that host, counting only those that this balancer knows of.
    pub busy: u32,
    /// Number of consecutive openings that the host has not answered.
    pub unanswered: u32,
    /// Number of times that this opening was sent so far.
    pub attempt: u32,
    /// What a reset of an established flow is based on; none for other verdicts.
    pub basis: Option<Basis>,
}

/// What a reset of an established flow is based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Basis {
    /// Sequence number of the reset: the acknowledgement number of the caller's last packet that arrived here.
    pub sequence: u32,
    /// When that packet arrived.
    pub seen: Time,
}

impl Decision<'_> {
    /// Returns a decision that involves no host.
    #[must_use]
    pub const fn new(flow: Flow, verdict: Verdict, reason: Option<Reason>) -> Self {
        Self { flow, verdict, reason, host: None, busy: 0, unanswered: 0, attempt: 0, basis: None }
    }
}

/// Destination of a forwarded packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hop {
    /// Identifier of the host that the packet is meant for. Another host that reuses the address has another identifier.
    pub host: HostId,
    /// Address of the host.
    pub address: SocketAddrV4,
    /// Mark to write into the packet; none keeps the mark that the packet carries.
    pub mark: Option<Mark>,
}

/// Identifies a check of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CheckId {
    host: host::Index,
    /// When the check began.
    begun: Time,
}

/// A host that does not respond while others do, as reported to [`Outlet::report_silence`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Silence {
    /// The host.
    pub host: HostId,
    /// Rate at which this balancer sends requests to an average host of the service, in requests per 1,000 s.
    pub rate: u32,
}

/// Encoding of packets in the datagrams of a transport.
pub trait Layout: Send + Sync {
    /// Parses a caller's datagram into the mark and a view of the packet.
    ///
    /// # Errors
    ///
    /// [`Kind::Packet`](crate::error::Kind::Packet) when the datagram does not contain a valid packet.
    fn parse<'a>(&self, datagram: &'a [u8]) -> Result<(Mark, View<'a>)>;

    /// Writes the datagram that carries the packet in `bytes` to a host.
    fn write(&self, hop: &Hop, bytes: &[u8], datagram: &mut Vec<u8>);

    /// Writes the datagram that resets a flow and returns its destination. `sequence` is the sequence number that the
    /// caller expects next.
    fn write_reset(&self, flow: &Flow, sequence: u32, datagram: &mut Vec<u8>) -> SocketAddrV4;
}

/// Receives the output of an [`Engine`].
pub trait Outlet {
    /// Sends the bytes of a packet to a host.
    fn forward(&mut self, hop: &Hop, bytes: &[u8]);

    /// Sends a reset of the flow to the caller. `sequence` is the sequence number that the caller expects next.
    fn reset(&mut self, flow: &Flow, sequence: u32);

    /// Pings members of a zone; their replies are passed to [`Engine::zone_alive`]. Returns false when no member of
    /// the zone is known, so that a missing reply does not mean that the zone is unreachable.
    fn ping(&mut self, zone: &str) -> bool;

    /// Begins a check whether the machine of a host accepts a connection at `address` within
    /// [`Settings::check_timeout`]. The result is passed to [`Engine::checked`].
    fn check(&mut self, id: CheckId, address: SocketAddrV4);

    /// Reports a host that did not respond, to those members that collect such reports. The hosts that several members
    /// report are passed to [`Engine::suspect`].
    fn report_silence(&mut self, silence: &Silence);

    /// Records a decision about a flow.
    fn record_decision(&mut self, decision: &Decision<'_>);

    /// Records a change in the detected state of a host or zone: the name of the event, the host or zone that it
    /// concerns, and the cause.
    fn record_event(&mut self, now: Time, name: &str, subject: &str, detail: &str);
}
