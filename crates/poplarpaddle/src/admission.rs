//! Admission of new work at the owner of a shard.
//!
//! New work is an opening or the first payload of a request on an idle flow. A [`Gate`] decides whether it starts now,
//! waits, or is refused, and which host it starts on. The data path holds the packets; the gate holds only tickets.

mod class;
mod host;
mod queue;
mod settings;

use std::net::Ipv4Addr;

pub use self::queue::Queue;
pub use self::settings::{Order, Settings};
use crate::packet::Flow;
use crate::path::Reason;
use crate::time::Time;
use crate::view::HostState;

/// Identifies a ticket that waits in a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, derive_more::Display)]
pub struct TicketId(pub u64);

/// A piece of new work that asks to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket<'a> {
    /// The flow that the work belongs to.
    pub flow: Flow,
    /// Index of the priority, 0 is the most urgent.
    pub priority: usize,
    /// True for an opening, which may be refused; false for payload of an established flow, which may only wait.
    pub opening: bool,
    /// Usable hosts in the order of preference; exactly one for an established flow.
    pub candidates: &'a [Ipv4Addr],
    /// The work must start before this time.
    pub deadline: Time,
    /// Bytes held while the work waits.
    pub bytes: usize,
}

/// What a gate decides about a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The work starts on this host now.
    Start(Ipv4Addr),
    /// The work waits; the gate returns the ticket from [`Gate::next`].
    Wait(TicketId),
    /// The work does not start.
    Refuse(Reason),
}

/// A ticket that left the queue of a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Departure {
    /// The work starts on this host now.
    Start(TicketId, Ipv4Addr),
    /// The deadline passed before a host had room.
    Expire(TicketId),
}

/// How a piece of work ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The answer ended; the work had started at this time.
    Answered(Time),
    /// The host refused the opening.
    Shed,
    /// The host did not answer the opening in time.
    Unanswered,
    /// The flow closed or no answer was recognised until the expiry deadline. Says nothing about the host's speed.
    Closed,
}

/// What a gate knows of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Host {
    /// Address of the host.
    pub address: Ipv4Addr,
    /// Slots of the host by its object.
    pub slots: u16,
    /// Connections that the host holds by its object.
    pub connections: u32,
    /// State by health checks, its object and the VM list.
    pub state: HostState,
    /// Busy slots by the host's own report, which may lag or mislead.
    pub busy: Option<u16>,
}

/// Decides when and where new work of one shard starts.
pub trait Gate: Send + std::fmt::Debug {
    /// Replaces what is known of the hosts. Work in flight on a host that is no longer listed keeps its account.
    fn set_hosts(&mut self, now: Time, hosts: &[Host]);

    /// Asks to start a piece of work.
    fn offer(&mut self, now: Time, ticket: &Ticket<'_>) -> Decision;

    /// Accounts for work that runs on `host` although this gate did not start it, as learned from its packets.
    fn adopt(&mut self, now: Time, host: Ipv4Addr);

    /// Accounts for the end of a piece of work that had started on `host`.
    fn finish(&mut self, now: Time, host: Ipv4Addr, priority: usize, end: End);

    /// Asks to start an opening elsewhere after `failed` refused it or left it unanswered, within the retry budget.
    /// [`Gate::finish`] was called for the failed try before.
    fn retry(&mut self, now: Time, ticket: &Ticket<'_>, failed: Ipv4Addr) -> Decision;

    /// Counts a flow that opened on `host`.
    fn connect(&mut self, host: Ipv4Addr);

    /// Counts a flow that ended on `host`.
    fn disconnect(&mut self, host: Ipv4Addr);

    /// Removes a waiting ticket, for example because its flow ended.
    fn cancel(&mut self, ticket: TicketId);

    /// Returns the next ticket that leaves the queue at `now`, none when no more does.
    fn next(&mut self, now: Time) -> Option<Departure>;

    /// Returns the next time at which [`Gate::next`] has to be called without other input.
    fn deadline(&self) -> Time;

    /// Returns the number of waiting tickets.
    fn waiting(&self) -> usize;
}

/// Returns the gate of the design.
#[must_use]
pub fn gate(settings: Settings) -> Box<dyn Gate> {
    Box::new(Queue::new(settings))
}
