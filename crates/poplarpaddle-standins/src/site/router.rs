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
    Steady,
    /// Nearly all flows move when a balancer joins or leaves.
    Mod,
}

/// A balancer as the routers see it.
#[derive(Debug, Clone, Copy)]
pub struct Balancer {
    /// Where packets are sent.
    pub packets: SocketAddrV4,
    /// Misses in a row; two take it out of rotation.
    pub misses: u32,
}

/// Returns the balancer for a flow, which is named by a hash of its addresses and ports.
#[must_use]
pub fn choose(hash: Hash, balancers: &[Balancer], flow: u64) -> Option<SocketAddrV4> {
    let ready: Vec<&Balancer> = balancers.iter().filter(|balancer| balancer.misses < 2).collect();
    let few = ready.len() * 2 < balancers.len();
    let used: Vec<&Balancer> = if few { balancers.iter().collect() } else { ready };
    let chosen = match hash {
        Hash::Mod => used.get(usize::try_from(flow % (used.len().max(1) as u64)).ok()?)?,
        Hash::Steady => used.iter().max_by_key(|balancer| weight(flow, balancer.packets))?,
    };
    Some(chosen.packets)
}

fn weight(flow: u64, address: SocketAddrV4) -> u64 {
    let text = format!("{flow} {address}");
    let hash = blake3::hash(text.as_bytes());
    u64::from_be_bytes(hash.as_bytes()[..8].try_into().unwrap_or_default())
}

/// Returns a number that names a flow.
#[must_use]
pub fn flow(consumer: SocketAddrV4, route: SocketAddrV4) -> u64 {
    weight(0, consumer) ^ weight(1, route)
}

/// Returns a random element.
pub fn pick<T: Copy>(random: &mut Pcg64Mcg, all: &[T]) -> Option<T> {
    all.choose(random).copied()
}

/// Returns a source of random numbers.
#[must_use]
pub fn random(seed: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed)
}
