//! Admission control for new work at the owner of a shard.
//!
//! New work is an opening (the SYN of a new flow) or the first payload of a request on an idle flow. A [`Gate`] decides
//! whether the work starts now, waits or is refused, and on which host it starts. The data path holds the packets; the
//! gate only queues [`Ticket`]s.

mod class;
mod host;
mod queue;
mod settings;

use std::net::Ipv4Addr;

pub use self::queue::Queue;
pub use self::settings::{Order, Settings};
use crate::hedge;
use crate::packet::Flow;
use crate::path::Reason;
use crate::time::Time;
use crate::view::HostState;

/// Identifies a waiting ticket within its gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, derive_more::Display)]
pub struct TicketId(pub u64);

/// A request to start one piece of new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket<'a> {
    /// The flow that the work belongs to.
    pub flow: Flow,
    /// Index of the priority in [`Settings::priorities`]; 0 is the most urgent.
    pub priority: usize,
    /// True for an opening, which may be refused. False for payload of an established flow, which waits instead and is
    /// refused only if the queue is full.
    pub opening: bool,
    /// Candidate hosts in order of preference; exactly one for an established flow.
    pub candidates: &'a [Ipv4Addr],
    /// Time before which the work must start.
    pub deadline: Time,
    /// Bytes of the packets that are held while the work waits.
    pub bytes: usize,
}

/// Decision of a gate about a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The work starts on this host now.
    Start(Ipv4Addr),
    /// The work waits; [`Gate::next`] returns the ticket once it leaves the queue.
    Wait(TicketId),
    /// The work is refused.
    Refuse(Reason),
}

/// A ticket that left the queue of a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Departure {
    /// The work starts on this host now.
    Start(TicketId, Ipv4Addr),
    /// The deadline passed before a host had capacity.
    Expire(TicketId),
}

/// How a piece of work ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The answer is complete; the work had started at the given time.
    Answered(Time),
    /// The host refused the opening.
    Shed,
    /// The host did not answer the opening in time.
    Unanswered,
    /// The flow closed, or no answer was recognised before the expiry deadline. Carries no information about the speed
    /// of the host.
    Closed,
}

/// State of a host as given to a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Host {
    /// Address of the host.
    pub address: Ipv4Addr,
    /// Number of requests that the host runs concurrently, from its configuration.
    pub slots: u16,
    /// Maximum number of connections of the host, from its configuration.
    pub connections: u32,
    /// State derived from health checks, the configuration and the VM list.
    pub state: HostState,
    /// Busy slots according to the host's load report, which may be outdated or wrong.
    pub busy: Option<u16>,
}

/// Decides when, and on which host, new work of one shard starts.
pub trait Gate: Send + std::fmt::Debug {
    /// Replaces the list of hosts. Work in flight on a host that is no longer listed stays accounted for.
    fn set_hosts(&mut self, now: Time, hosts: &[Host]);

    /// Requests the start of a piece of work.
    fn offer(&mut self, now: Time, ticket: &Ticket<'_>) -> Decision;

    /// Accounts for work that this gate did not start, but whose packets show that it runs on `host`.
    fn adopt(&mut self, now: Time, host: Ipv4Addr);

    /// Accounts for the end of a piece of work on `host`.
    fn finish(&mut self, now: Time, host: Ipv4Addr, priority: usize, end: End);

    /// Requests the start of an opening on another host after `failed` refused it or did not answer it. Subject to the
    /// retry budget.
    ///
    /// Call [`Gate::finish`] for the failed attempt first.
    fn retry(&mut self, now: Time, ticket: &Ticket<'_>, failed: Ipv4Addr) -> Decision;

    /// Accounts for a flow that was established on `host`.
    fn connect(&mut self, host: Ipv4Addr);

    /// Accounts for the end of a flow on `host`.
    fn disconnect(&mut self, host: Ipv4Addr);

    /// Removes a waiting ticket, for example because its flow ended.
    fn cancel(&mut self, ticket: TicketId);

    /// Removes and returns the next ticket that leaves the queue at `now`, or `None` if all remaining tickets keep waiting.
    fn next(&mut self, now: Time) -> Option<Departure>;

    /// Returns the time at which [`Gate::next`] must be called next, even if no other method is called before.
    fn deadline(&self) -> Time;

    /// Returns the number of waiting tickets.
    fn waiting(&self) -> usize;

    /// Returns the load of the hosts that accept new work. A gate without this figure allows no hedging.
    fn room(&self) -> hedge::Room {
        hedge::Room::default()
    }

    /// Returns the least loaded candidate that would run one more opening at once. Call [`Gate::adopt`] when it gets
    /// one.
    fn spare_host(&self, _now: Time, _candidates: &[Ipv4Addr]) -> Option<Ipv4Addr> {
        None
    }
}

/// Returns the gate that the balancer uses in production, a [`Queue`].
#[must_use]
pub fn gate(settings: Settings) -> Box<dyn Gate> {
    Box::new(Queue::new(settings))
}
