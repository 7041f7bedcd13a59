//! The data path: forwards, relays, holds or drops each packet.
//!
//! The engine decides about one packet at a time and calls an [`Outlet`] with the decision. The outlet rewrites and sends
//! packets, so the engine does not depend on sockets or IP headers.
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
//! A balancer relays a packet from the fabric to the owner of its shard ([`Hop::Owner`]). If the receiver has another
//! owner in its view, it relays the packet once more ([`Hop::Redirect`]), and that balancer handles the packet in any
//! case. A balancer that handles a packet of a flow without an entry relays it to the former owners of the shard one after
//! another ([`Hop::Previous`]); a former owner that has no entry either sends it back ([`Hop::Unknown`]). The hop and the
//! sender of a packet determine the next relay, so relaying needs no state, and a packet takes at most two relays plus two
//! for each of the [`ownership::MAX_FORMER`](crate::ownership::MAX_FORMER) former owners. With equal views and one former
//! owner that is three.
//!
//! # Trade-offs
//!
//! Flow entries are not replicated to peers; recovering a lost entry costs the flow one or a few round trips instead.
//! Openings, payload that waits for the gate and packets of flows under probe are held as copies within one limit. Beyond
//! that limit they are not held, and the caller's retransmission replaces the copy.

mod account;
mod assign;
mod caller;
mod engine;
mod hedging;
mod hold;
mod opening;
mod probing;
mod reserve;
mod settings;
mod silent;
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

/// Identifies a member. Each process picks a random id when it starts.
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
    /// From a balancer that is not the owner in its own view to the owner in that view, which handles the packet in any
    /// case.
    Redirect,
    /// From the new owner, which has no entry, to a former owner.
    Previous,
    /// From a former owner, which has no usable entry either, back to the new owner, which relays the packet to the next
    /// former owner or probes the targets.
    Unknown,
}

/// Sender of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Source {
    /// The fabric.
    Fabric,
    /// Another balancer.
    Peer(MemberId, Hop),
}

/// Why a packet was not forwarded. Each reason has a counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, derive_more::Display)]
pub enum Reason {
    /// The destination is no service address and the source is no target.
    UnknownService,
    /// The packet cannot be parsed.
    Malformed,
    /// The opening carries payload.
    PayloadInOpening,
    /// No configuration is in force.
    NoConfiguration,
    /// No balancer owns the shard.
    NoOwner,
    /// The service has no usable target for the flow.
    NoTarget,
    /// The opening failed at a target, and the budget for retries is used up.
    RetryBudget,
    /// The queue of the priority is full.
    QueueFull,
    /// The packet cannot be served before its deadline.
    Deadline,
    /// The packet is from or for a target that may not serve the flow.
    WrongTarget,
    /// The packet is a reset that answers a probe or that belongs to no known connection.
    StrayReset,
    /// The limit on held packets or on flows is reached.
    HoldFull,
    /// The packet may not be relayed again.
    HopLimit,
    /// The packet belongs to no known connection, and no target was found for it.
    UnknownFlow,
    /// Every candidate target answered that it does not know the connection.
    Unrecoverable,
    /// The target of a bound flow did not answer before the deadline.
    Silent,
}

impl Reason {
    /// All reasons, in the order of their counters.
    pub const ALL: [Self; 16] = [
        Self::UnknownService,
        Self::Malformed,
        Self::PayloadInOpening,
        Self::NoConfiguration,
        Self::NoOwner,
        Self::NoTarget,
        Self::RetryBudget,
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

/// Carries out the decisions of an [`Engine`].
pub trait Outlet {
    /// Sends the packet of a caller to `target`.
    fn to_target(&mut self, target: Ipv4Addr, packet: &View<'_>);

    /// Sends the packet of a target to the caller.
    fn to_caller(&mut self, packet: &View<'_>);

    /// Relays the packet to another balancer.
    fn relay(&mut self, member: MemberId, hop: Hop, packet: &View<'_>);

    /// Refuses the opening `packet` to its caller. No payload of the flow was forwarded to a target.
    fn refuse(&mut self, packet: &View<'_>, reason: Reason);

    /// Resets the flow at its caller, in answer to `packet`. The reset does not tell the caller whether a request ran. When
    /// no packet triggered the reset, the bytes of `packet` are empty and its acknowledgement number is the sequence number
    /// that the caller expects.
    fn reset_caller(&mut self, packet: &View<'_>, reason: Reason);

    /// Resets the flow at `target`. `sequence` is the next sequence number of the caller, as far as it is known.
    fn reset_target(&mut self, target: Ipv4Addr, flow: &Flow, sequence: u32);

    /// Drops the packet and counts the reason.
    fn discard(&mut self, packet: &View<'_>, reason: Reason);

    /// Records an event for the timeline.
    fn event(&mut self, event: Event);
}
