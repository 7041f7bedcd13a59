//! Priority classes: the waiting tickets of one priority and its share of starts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use super::{Order, Ticket, TicketId};
use crate::time::Time;
use crate::waiting::Share;

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
    /// Share of the contested starts; its portion is that of openings.
    pub(super) share: Share,
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
        Self { share: Share::new(share), openings: BTreeSet::new(), payloads: BTreeMap::new(), entries: 0, bytes: 0 }
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
            self.share.clear();
        }
    }

    /// Accounts for a start that this priority competed for and that went to `winner`.
    pub(super) fn record_start(&mut self, winner: Winner) {
        self.share.record_start(winner != Winner::Other);
        if !self.openings.is_empty() {
            self.share.observe_start(winner == Winner::Opening);
        }
    }
}
