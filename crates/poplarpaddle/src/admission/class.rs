//! Priority classes: the waiting tickets of one priority and its share of starts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use super::{Order, Ticket, TicketId};
use crate::time::Time;

/// Credit that is spent on one start ahead of more urgent work, in percent of a start.
pub(super) const CREDIT_START: u32 = 100;

/// Maximum credit of a priority. Without it, shares that add up to more than 100 percent would let credits grow without
/// bound.
const MAX_CREDIT: u32 = 10 * CREDIT_START;

/// The value 1 in the fixed-point representation of [`Class::portion`].
pub(super) const PORTION_ONE: u64 = 1 << 16;

/// Smoothing factor of the observed portion: one start has the weight `1 / (1 << PORTION_SHIFT)`.
const PORTION_SHIFT: u32 = 5;

/// Sort key of a ticket within its queue; the smallest key starts first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Key {
    position: u64,
    pub(super) id: TicketId,
}

impl Key {
    pub(super) const fn new(order: Order, id: TicketId, deadline: Time) -> Self {
        let position = match order {
            Order::Arrival => 0,
            Order::Newest => u64::MAX - id.0,
            Order::Deadline => deadline.as_nanos(),
        };
        Self { position, id }
    }
}

/// Recipient of a start that several priorities competed for, from the point of view of one of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Winner {
    /// An opening of this priority.
    Opening,
    /// Payload of this priority.
    Payload,
    /// Another priority.
    Other,
}

/// A waiting ticket.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) key: Key,
    pub(super) priority: usize,
    pub(super) opening: bool,
    /// True for a retry, which waits for its backoff and earns nothing for the retry budget.
    pub(super) retried: bool,
    pub(super) candidates: Box<[Ipv4Addr]>,
    pub(super) deadline: Time,
    /// Time from which the ticket may start; later than the offer if the ticket is a retry with backoff.
    pub(super) ready: Time,
    pub(super) bytes: usize,
}

/// Queue and share of one priority.
#[derive(Debug)]
pub(super) struct Class {
    /// Guaranteed share of the contested starts, in percent.
    share: u32,
    /// Part of the share that is not used yet, in percent of a start.
    pub(super) credit: u32,
    /// Smoothed portion of the recent contested starts that went to openings of this priority, in units of
    /// `1 / PORTION_ONE`.
    portion: u64,
    /// Openings that may start on any of their candidates.
    pub(super) openings: BTreeSet<Key>,
    /// Payload of established flows, by the host of the flow.
    pub(super) payloads: BTreeMap<Ipv4Addr, BTreeSet<Key>>,
    /// Number of waiting tickets, including retries in backoff.
    entries: usize,
    /// Bytes of the packets that are held for these tickets.
    bytes: usize,
}

impl Class {
    pub(super) fn new(share: u8) -> Self {
        Self {
            share: u32::from(share),
            credit: 0,
            portion: PORTION_ONE,
            openings: BTreeSet::new(),
            payloads: BTreeMap::new(),
            entries: 0,
            bytes: 0,
        }
    }

    /// Returns true if the queue stays within `entries` tickets and `bytes` bytes with this ticket. Openings may use
    /// only three quarters of both.
    pub(super) const fn fits(&self, ticket: &Ticket<'_>, entries: usize, bytes: usize) -> bool {
        let (entries, bytes) =
            if ticket.opening { (entries - entries / 4, bytes - bytes / 4) } else { (entries, bytes) };
        self.entries < entries && self.bytes.saturating_add(ticket.bytes) <= bytes
    }

    /// Counts a ticket of `bytes` bytes against the bounds.
    pub(super) const fn admit(&mut self, bytes: usize) {
        self.entries += 1;
        self.bytes += bytes;
    }

    /// Makes a ticket eligible to start.
    pub(super) fn insert(&mut self, entry: &Entry) {
        match entry.candidates.first() {
            Some(&host) if !entry.opening => {
                self.payloads.entry(host).or_default().insert(entry.key);
            }
            _ => {
                self.openings.insert(entry.key);
            }
        }
    }

    /// Removes a ticket from the queue and no longer counts it against the bounds.
    pub(super) fn remove(&mut self, entry: &Entry) {
        self.entries -= 1;
        self.bytes -= entry.bytes;
        self.openings.remove(&entry.key);
        if let Some(host) = entry.candidates.first()
            && let Some(queue) = self.payloads.get_mut(host)
        {
            queue.remove(&entry.key);
            if queue.is_empty() {
                self.payloads.remove(host);
            }
        }
        if self.openings.is_empty() && self.payloads.is_empty() {
            self.credit = 0;
        }
    }

    /// Accounts for a start that this priority competed for and that went to `winner`.
    pub(super) fn record_start(&mut self, winner: Winner) {
        self.credit = (self.credit + self.share).min(MAX_CREDIT);
        if winner != Winner::Other {
            self.credit = self.credit.saturating_sub(CREDIT_START);
        }
        if !self.openings.is_empty() {
            self.portion -= self.portion >> PORTION_SHIFT;
            self.portion += if winner == Winner::Opening { PORTION_ONE >> PORTION_SHIFT } else { 0 };
        }
    }

    /// Returns the portion of starts that openings of this priority can expect, in units of `1 / PORTION_ONE`, at least
    /// 1.
    pub(super) fn portion(&self) -> u64 {
        self.portion.clamp(1, PORTION_ONE)
    }
}
