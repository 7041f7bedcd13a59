//! Queue of openings that wait until a host has capacity.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::map::{self, Map};
use crate::packet::Flow;
use crate::registry::Address;
use crate::time::Time;
use crate::waiting::{self, Share};

/// Maximum number of queued openings.
const MAX_QUEUED: usize = 4096;

/// Place of a queued opening: its priority rank, and its position in the order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
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

/// The openings of one priority rank, in the order of arrival, and their share of the capacity.
#[derive(Debug)]
struct Class {
    openings: BTreeMap<u64, Opening>,
    share: Share,
}

/// Queue of openings, at most one per flow.
#[derive(Debug)]
pub(super) struct Queue {
    /// Classes by rank, the most urgent first. A class stays once its rank was used, with the portion that it got.
    classes: BTreeMap<u8, Class>,
    keys: Map<Flow, Key>,
    next: u64,
    /// Share of the contested capacity that each rank keeps, in percent.
    share_percent: u8,
}

impl Queue {
    pub(super) fn new(seed: u64, share_percent: u8) -> Self {
        Self { classes: BTreeMap::new(), keys: map::seeded(seed), next: 0, share_percent }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Adds an opening, or returns it when the queue is full.
    pub(super) fn push(&mut self, rank: u8, opening: Opening) -> Option<Opening> {
        if self.keys.len() >= MAX_QUEUED {
            return Some(opening);
        }
        self.remove(&opening.flow);
        let key = Key { rank, arrival: self.next };
        self.next += 1;
        self.keys.insert(opening.flow, key);
        let share = Share::new(self.share_percent);
        let class = self.classes.entry(rank).or_insert_with(|| Class { openings: BTreeMap::new(), share });
        class.openings.insert(key.arrival, opening);
        None
    }

    /// Replaces the bytes of a queued opening by those of its retransmission. Returns false when no opening
    /// of the flow with this sequence number is queued.
    pub(super) fn replace(&mut self, flow: &Flow, sequence: u32, bytes: &[u8]) -> bool {
        let queued =
            self.keys.get(flow).and_then(|key| self.classes.get_mut(&key.rank)?.openings.get_mut(&key.arrival));
        let Some(opening) = queued.filter(|opening| opening.sequence == sequence) else { return false };
        opening.bytes = SmallVec::from_slice(bytes);
        true
    }

    /// Replaces the service of each queued opening to `address` by the one that `change` returns, if any.
    pub(super) fn set_service(&mut self, address: Address, mut change: impl FnMut(&str) -> Option<String>) {
        let openings = self.classes.values_mut().flat_map(|class| class.openings.values_mut());
        for opening in openings.filter(|opening| opening.flow.service == address) {
            if let Some(service) = change(&opening.service) {
                opening.service = service;
            }
        }
    }

    pub(super) fn remove(&mut self, flow: &Flow) -> Option<Opening> {
        let key = self.keys.remove(flow)?;
        let class = self.classes.get_mut(&key.rank)?;
        let opening = class.openings.remove(&key.arrival);
        if class.openings.is_empty() {
            class.share.clear();
        }
        opening
    }

    /// Returns the opening that is placed next if its service has capacity: that of the most urgent rank, or of one
    /// whose share has not been used. Ignores openings whose service is in `full_services`.
    pub(super) fn next_except<'a>(&'a self, full_services: &'a [String]) -> Option<&'a Opening> {
        let contenders = self.contenders(full_services);
        let rank = waiting::choose(contenders.map(|(rank, class, _)| (rank, &class.share)))?;
        self.contenders(full_services).find(|(other, ..)| *other == rank).map(|(.., opening)| opening)
    }

    /// Accounts for the opening that [`Self::next_except`] returned, which is about to be placed. The portion of a
    /// class changes only if an opening of the same service waits in it.
    pub(super) fn record_start(&mut self, flow: &Flow, full_services: &[String]) {
        let Some(started) = self.keys.get(flow).copied() else { return };
        let opening = self.classes.get(&started.rank).and_then(|class| class.openings.get(&started.arrival));
        let Some(service) = opening.map(|opening| opening.service.clone()) else { return };
        let ranks: SmallVec<[u8; 4]> = self.contenders(full_services).map(|(rank, ..)| rank).collect();
        for rank in ranks {
            let competes = self.competes(rank, &service);
            if let Some(class) = self.classes.get_mut(&rank) {
                class.share.record_start(rank == started.rank);
                if competes {
                    class.share.observe_start(rank == started.rank);
                }
            }
        }
    }

    /// Returns the portion of the capacity of `service` that openings of `rank` can expect, in the unit of
    /// [`Share::portion`]. If no opening of another rank waits for the same service, that is all of the capacity,
    /// whatever portion the class got before.
    pub(super) fn portion(&self, rank: u8, service: &str) -> u64 {
        let is_contested = self.classes.keys().any(|other| *other != rank && self.competes(*other, service));
        let class = self.classes.get(&rank).filter(|_| is_contested);
        class.map_or(waiting::PORTION_ONE, |class| class.share.portion())
    }

    /// Returns true when an opening of `rank` waits for a host of `service`.
    fn competes(&self, rank: u8, service: &str) -> bool {
        let class = self.classes.get(&rank);
        class.is_some_and(|class| class.openings.values().any(|opening| opening.service == service))
    }

    /// Returns the number of openings of a service with this rank, and with any rank.
    pub(super) fn count(&self, rank: u8, service: &str) -> (u64, u64) {
        let count = |class: &Class| class.openings.values().filter(|opening| opening.service == service).count() as u64;
        (self.classes.get(&rank).map_or(0, count), self.classes.values().map(count).sum())
    }

    /// Returns the flows of all openings, the most urgent first.
    pub(super) fn flows(&self) -> Vec<Flow> {
        self.openings().map(|opening| opening.flow).collect()
    }

    /// Returns the flows whose openings have reached [`Opening::until`].
    pub(super) fn expired(&self, now: Time) -> Vec<Flow> {
        self.openings().filter(|opening| now.reached(opening.until)).map(|opening| opening.flow).collect()
    }

    pub(super) fn deadline(&self) -> Time {
        self.openings().map(|opening| opening.until).min().unwrap_or(Time::NEVER)
    }

    fn openings(&self) -> impl Iterator<Item = &Opening> {
        self.classes.values().flat_map(|class| class.openings.values())
    }

    /// Returns each rank with an opening whose service is not in `full_services`, and its first such opening.
    fn contenders<'a>(&'a self, full_services: &'a [String]) -> impl Iterator<Item = (u8, &'a Class, &'a Opening)> {
        self.classes.iter().filter_map(|(rank, class)| {
            let opening = class.openings.values().find(|opening| !full_services.contains(&opening.service))?;
            Some((*rank, class, opening))
        })
    }
}
