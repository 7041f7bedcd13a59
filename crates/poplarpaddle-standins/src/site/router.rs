//! Routers: which balancer a packet goes to.

use std::net::SocketAddrV4;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;

/// How a router selects among the balancers in rotation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Hash {
    /// Only the flows of a balancer that leaves move.
    #[default]
    Rendezvous,
    /// Nearly all flows move when a balancer joins or leaves.
    Modulo,
}

/// A balancer as the routers see it.
#[derive(Debug, Clone, Copy)]
pub struct Balancer {
    /// Where packets are sent.
    pub address: SocketAddrV4,
    /// Misses in a row; two take it out of rotation.
    pub failed_checks: u32,
}

/// Returns the balancer for a flow, which is named by a hash of its addresses and ports.
#[must_use]
pub fn choose(hash: Hash, balancers: &[Balancer], flow: u64) -> Option<SocketAddrV4> {
    let ready: Vec<&Balancer> = balancers.iter().filter(|balancer| balancer.failed_checks < 2).collect();
    let below_half = ready.len() * 2 < balancers.len();
    let candidates: Vec<&Balancer> = if below_half { balancers.iter().collect() } else { ready };
    let chosen = match hash {
        Hash::Modulo => candidates.get(usize::try_from(flow % (candidates.len().max(1) as u64)).ok()?)?,
        Hash::Rendezvous => candidates.iter().max_by_key(|balancer| weight(flow, balancer.address))?,
    };
    Some(chosen.address)
}

fn weight(flow: u64, address: SocketAddrV4) -> u64 {
    let text = format!("{flow} {address}");
    let hash = blake3::hash(text.as_bytes());
    u64::from_be_bytes(hash.as_bytes()[..8].try_into().unwrap_or_default())
}

/// Returns a number that names a flow.
#[must_use]
pub fn flow_hash(consumer: SocketAddrV4, route: SocketAddrV4) -> u64 {
    weight(0, consumer) ^ weight(1, route)
}

/// Returns a random element.
pub fn pick<T: Copy>(rng: &mut Pcg64Mcg, all: &[T]) -> Option<T> {
    all.choose(rng).copied()
}

/// Returns a source of random numbers.
#[must_use]
pub fn rng(seed: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed)
}
