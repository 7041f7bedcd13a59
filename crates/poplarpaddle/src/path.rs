//! The data path: what happens to each packet.
//!
//! The engine decides about one packet at a time and calls an [`Outlet`] with the outcome. The outlet rewrites and sends,
//! so the engine itself knows nothing of sockets or IP headers.
//!
//! ```
//! use poplarpaddle::path::{Engine, MemberId, Settings};
//! use poplarpaddle::time::Time;
//!
//! let engine = Engine::new(Settings { me: MemberId(1), seed: 7, ..Default::default() });
//! assert_eq!(engine.deadline(), Time::NEVER);
//! ```
//!
//! # Hops
//!
//! A packet from the fabric goes to the owner of its shard ([`Hop::Owner`]). A receiver that sees another owner passes
//! it on once ([`Hop::Redirect`]), and the next one handles it in any case. A handler without an entry asks the former
//! owners of the shard one after the other: [`Hop::Previous`] there, [`Hop::Unknown`] back. Each relay follows from the
//! hop and the sender of the one before, so no state is kept, and a packet takes at most two relays plus two for each
//! of the [`ownership::MAX_FORMER`](crate::ownership::MAX_FORMER) former owners. With equal views and one former owner that is
//! three.
//!
//! # Trade-offs
//!
//! Nothing is copied to peers; a lost entry costs the flow one or a few round trips instead. Openings, payload that
//! waits and packets under probe are held as copies within one bound, and beyond it the caller's retransmission takes
//! their place.

mod account;
mod assign;
mod caller;
mod engine;
mod hold;
mod opening;
mod probing;
mod reserve;
mod settings;
mod sweep;
mod target;
mod unlimited;

pub use engine::Engine;
pub use settings::{Bounds, Counters, Factory, Settings, Timings};
pub use unlimited::Unlimited;

use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

use crate::event::Event;
use crate::packet::{Flow, View};

/// Identifies a member; random for each process start.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize, derive_more::Display,
)]
#[display("{_0:016x}")]
pub struct MemberId(pub u64);

/// Why one balancer relays a packet to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Hop {
    /// From the ingress to the owner of the flow's shard.
    Owner,
    /// From a balancer that is not the owner in its own view, to the owner in that view. Handled there in any case.
    Redirect,
    /// From the new owner without an entry to the previous owner.
    Previous,
    /// From the previous owner, which has no entry either, back to the new owner, which now probes.
    Unknown,
}

/// Where a packet came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Source {
    /// The fabric.
    Fabric,
    /// Another balancer.
    Peer(MemberId, Hop),
}

/// Why a packet is not forwarded. Each reason has a counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, derive_more::Display)]
pub enum Reason {
    /// No service has the destination address and port, or no target the source.
    UnknownService,
    /// The packet cannot be parsed.
    Malformed,
    /// An opening carries payload.
    PayloadInOpening,
    /// No configuration is in force.
    NoConfiguration,
    /// No balancer owns the shard.
    NoOwner,
    /// No usable target.
    NoTarget,
    /// The queue of the priority is full.
    QueueFull,
    /// The packet cannot be served before its deadline.
    Deadline,
    /// A packet of a target that is not the target of the flow.
    WrongTarget,
    /// A reset that answers a probe, or that cannot be assigned to a flow.
    StrayReset,
    /// The bound on held packets is reached.
    HoldFull,
    /// The packet was relayed too often.
    HopLimit,
    /// The previous owner does not know the flow either and the new owner cannot be found.
    UnknownFlow,
    /// Every candidate of a flow answered that it does not know the connection.
    Unrecoverable,
    /// A bound flow's target answered nothing until the deadline.
    Silent,
}

impl Reason {
    /// Every reason, in the order of the counters.
    pub const ALL: [Self; 15] = [
        Self::UnknownService,
        Self::Malformed,
        Self::PayloadInOpening,
        Self::NoConfiguration,
        Self::NoOwner,
        Self::NoTarget,
        Self::QueueFull,
        Self::Deadline,
        Self::WrongTarget,
        Self::StrayReset,
        Self::HoldFull,
        Self::HopLimit,
        Self::UnknownFlow,
        Self::Unrecoverable,
        Self::Silent,
    ];
}

/// Takes the outcome of decisions.
pub trait Outlet {
    /// Sends the packet of a caller to `target`.
    fn to_target(&mut self, target: Ipv4Addr, packet: &View<'_>);

    /// Sends the packet of a target to the caller.
    fn to_caller(&mut self, packet: &View<'_>);

    /// Relays the packet to another balancer.
    fn relay(&mut self, member: MemberId, hop: Hop, packet: &View<'_>);

    /// Tells the caller that the flow is refused; no payload of it was forwarded to a target.
    fn refuse(&mut self, packet: &View<'_>, reason: Reason);

    /// Resets the flow at the caller, in answer to `packet`. Says nothing about whether a request ran. Without a packet at
    /// hand the bytes are empty, and the acknowledgement number is the sequence number that the caller expects.
    fn reset_caller(&mut self, packet: &View<'_>, reason: Reason);

    /// Resets the flow at `target`. `sequence` is the next sequence number of the caller as far as known.
    fn reset_target(&mut self, target: Ipv4Addr, flow: &Flow, sequence: u32);

    /// Drops the packet and counts the reason.
    fn discard(&mut self, packet: &View<'_>, reason: Reason);

    /// Records an event for the time line.
    fn event(&mut self, event: Event);
}
