//! Routers, which select the balancer that a packet is sent to.

use std::net::SocketAddrV4;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;

/// How a router selects a balancer by the hash of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Hash {
    /// Rendezvous hashing: when a balancer leaves, only its flows move.
    #[default]
    Rendezvous,
    /// Hash modulo the number of balancers: when a balancer joins or leaves, nearly all flows move.
    Modulo,
}

/// A balancer and its health as seen by the routers.
#[derive(Debug, Clone, Copy)]
pub struct Balancer {
    /// Address that packets are sent to.
    pub address: SocketAddrV4,
    /// Number of consecutive failed readiness checks. With two, the balancer is out of rotation.
    pub failed_checks: u32,
}

/// Returns the balancer for a flow, given by its [`flow_hash`]. If fewer than half of the balancers are in rotation,
/// all of them are used.
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

/// Returns the hash of a flow.
#[must_use]
pub fn flow_hash(consumer: SocketAddrV4, route: SocketAddrV4) -> u64 {
    weight(0, consumer) ^ weight(1, route)
}

/// Returns a random element, or `None` if there is none.
pub fn pick<T: Copy>(rng: &mut Pcg64Mcg, all: &[T]) -> Option<T> {
    all.choose(rng).copied()
}

/// Returns a random number generator with the given seed.
#[must_use]
pub fn rng(seed: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed)
}
