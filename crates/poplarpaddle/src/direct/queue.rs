//! Openings that wait for room at the hosts.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::map::{self, Map};
use crate::packet::Flow;
use crate::time::Time;

/// Most openings that wait.
const MAX_WAITING: usize = 4096;

/// Position of an opening: the most urgent first, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    rank: u8,
    number: u64,
}

/// An opening that waits.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) flow: Flow,
    pub(super) service: String,
    pub(super) opening: u32,
    /// When it is placed although no host has room.
    pub(super) until: Time,
    pub(super) bytes: SmallVec<[u8; 64]>,
}

/// Waiting openings.
#[derive(Debug)]
pub(super) struct Queue {
    waiting: BTreeMap<Place, Waiting>,
    places: Map<Flow, Place>,
    next: u64,
}

impl Queue {
    pub(super) fn new(seed: u64) -> Self {
        Self { waiting: BTreeMap::new(), places: map::seeded(seed), next: 0 }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds an opening, or returns it when too many wait.
    pub(super) fn push(&mut self, rank: u8, waiting: Waiting) -> Option<Waiting> {
        if self.waiting.len() >= MAX_WAITING {
            return Some(waiting);
        }
        self.remove(&waiting.flow);
        let place = Place { rank, number: self.next };
        self.next += 1;
        self.places.insert(waiting.flow, place);
        self.waiting.insert(place, waiting);
        None
    }

    /// Takes a copy of an opening that waits, as its caller sends it on; false when that opening does not wait.
    pub(super) fn copy(&mut self, flow: &Flow, opening: u32, bytes: &[u8]) -> bool {
        let found = self.places.get(flow).and_then(|place| self.waiting.get_mut(place));
        let Some(waiting) = found.filter(|waiting| waiting.opening == opening) else { return false };
        waiting.bytes = SmallVec::from_slice(bytes);
        true
    }

    pub(super) fn remove(&mut self, flow: &Flow) -> Option<Waiting> {
        let place = self.places.remove(flow)?;
        self.waiting.remove(&place)
    }

    /// Returns the opening that is served first, without those of the services in `full`.
    pub(super) fn first(&self, full: &[String]) -> Option<&Waiting> {
        self.waiting.values().find(|waiting| !full.contains(&waiting.service))
    }

    /// Returns the flows that have waited long enough.
    pub(super) fn expired(&self, now: Time) -> Vec<Flow> {
        self.waiting.values().filter(|waiting| now.reached(waiting.until)).map(|waiting| waiting.flow).collect()
    }

    pub(super) fn deadline(&self) -> Time {
        self.waiting.values().map(|waiting| waiting.until).min().unwrap_or(Time::NEVER)
    }
}
