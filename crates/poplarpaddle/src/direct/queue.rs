//! Priority queue of openings that wait until a host has capacity.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::map::{self, Map};
use crate::packet::Flow;
use crate::registry::Address;
use crate::time::Time;

/// Maximum number of queued openings.
const MAX_QUEUED: usize = 4096;

/// Sort key of a queued opening: the most urgent first, then in the order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Key {
    rank: u8,
    arrival: u64,
}

/// An opening in the queue.
#[derive(Debug)]
pub(super) struct Opening {
    pub(super) flow: Flow,
    pub(super) service: String,
    pub(super) sequence: u32,
    /// Acknowledgement number of the packet, which a reset has to carry.
    pub(super) acknowledgement: u32,
    /// Time at which it is placed even if no host has capacity.
    pub(super) until: Time,
    pub(super) bytes: SmallVec<[u8; 64]>,
}

/// Queue of openings, at most one per flow.
#[derive(Debug)]
pub(super) struct Queue {
    openings: BTreeMap<Key, Opening>,
    keys: Map<Flow, Key>,
    next: u64,
}

impl Queue {
    pub(super) fn new(seed: u64) -> Self {
        Self { openings: BTreeMap::new(), keys: map::seeded(seed), next: 0 }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.openings.is_empty()
    }

    /// Adds an opening, or returns it when the queue is full.
    pub(super) fn push(&mut self, rank: u8, opening: Opening) -> Option<Opening> {
        if self.openings.len() >= MAX_QUEUED {
            return Some(opening);
        }
        self.remove(&opening.flow);
        let key = Key { rank, arrival: self.next };
        self.next += 1;
        self.keys.insert(opening.flow, key);
        self.openings.insert(key, opening);
        None
    }

    /// Replaces the bytes of a queued opening by those of its retransmission. Returns false when no opening
    /// of the flow with this sequence number is queued.
    pub(super) fn replace(&mut self, flow: &Flow, sequence: u32, bytes: &[u8]) -> bool {
        let queued = self.keys.get(flow).and_then(|key| self.openings.get_mut(key));
        let Some(opening) = queued.filter(|opening| opening.sequence == sequence) else { return false };
        opening.bytes = SmallVec::from_slice(bytes);
        true
    }

    /// Replaces the service of each queued opening to `address` by the one that `change` returns, if any.
    pub(super) fn set_service(&mut self, address: Address, mut change: impl FnMut(&str) -> Option<String>) {
        for opening in self.openings.values_mut().filter(|opening| opening.flow.service == address) {
            if let Some(service) = change(&opening.service) {
                opening.service = service;
            }
        }
    }

    pub(super) fn remove(&mut self, flow: &Flow) -> Option<Opening> {
        let key = self.keys.remove(flow)?;
        self.openings.remove(&key)
    }

    /// Returns the most urgent opening whose service is not in `full_services`.
    pub(super) fn first_except(&self, full_services: &[String]) -> Option<&Opening> {
        self.openings.values().find(|opening| !full_services.contains(&opening.service))
    }

    /// Returns the flows of all openings, the most urgent first.
    pub(super) fn flows(&self) -> Vec<Flow> {
        self.openings.values().map(|opening| opening.flow).collect()
    }

    /// Returns the flows whose openings have reached [`Opening::until`].
    pub(super) fn expired(&self, now: Time) -> Vec<Flow> {
        self.openings.values().filter(|opening| now.reached(opening.until)).map(|opening| opening.flow).collect()
    }

    pub(super) fn deadline(&self) -> Time {
        self.openings.values().map(|opening| opening.until).min().unwrap_or(Time::NEVER)
    }
}
