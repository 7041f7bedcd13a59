//! Choice of the peer to ping in each period.

use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

use crate::path::MemberId;

/// Members that are not dead, as a ring in the order of their ids, and the shuffled distances of the current cycle.
///
/// A cycle is a sequence of periods in which a member pings every other member once.
#[derive(Debug, Default)]
pub(super) struct Ring {
    ids: Vec<MemberId>,
    /// Index of this member in `ids`.
    position: usize,
    /// Number of the cycle for which `distances` was shuffled.
    cycle: u64,
    /// For each period of the cycle, the distance on the ring from a member to the peer that it pings.
    distances: Vec<usize>,
}

impl Ring {
    pub(super) fn rebuild(&mut self, me: MemberId, others: impl Iterator<Item = MemberId>) {
        self.ids.clear();
        self.ids.extend(others);
        self.ids.push(me);
        self.ids.sort_unstable();
        self.position = self.ids.binary_search(&me).unwrap_or(0);
    }

    pub(super) fn ids(&self) -> &[MemberId] {
        &self.ids
    }

    /// Returns the peer to ping in `period`. Members with equal tables choose the same distance on the ring, so that
    /// each member is pinged by exactly one other.
    pub(super) fn peer(&mut self, period: u64) -> Option<MemberId> {
        let peers = self.ids.len().checked_sub(1).filter(|peers| *peers > 0)?;
        let cycle = period / peers as u64;
        if self.cycle != cycle || self.distances.len() != peers {
            self.shuffle(cycle, peers);
        }
        let step = usize::try_from(period % peers as u64).ok()?;
        let distance = self.distances.get(step)?;
        self.ids.get((self.position + distance) % self.ids.len()).copied()
    }

    fn shuffle(&mut self, cycle: u64, peers: usize) {
        self.distances = (1..=peers).collect();
        self.distances.shuffle(&mut Pcg64Mcg::seed_from_u64(cycle));
        self.cycle = cycle;
    }
}
