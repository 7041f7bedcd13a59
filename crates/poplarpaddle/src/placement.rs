//! Candidate targets of a flow in order of preference.
//!
//! Candidates are ordered by the highest random weight of (flow, target), so all balancers with the same configuration
//! compute the same order without communicating.
//!
//! ```
//! use std::net::Ipv4Addr;
//! use poplarpaddle::placement::{self, Load};
//!
//! let hosts: Vec<Ipv4Addr> = (1..=5).map(|last| Ipv4Addr::new(10, 0, 0, last)).collect();
//! let load = |host: Ipv4Addr| Load { used: u64::from(host.octets()[3]), limit: 4 };
//! assert_eq!(placement::choose(&hosts, load), Some(hosts[0]));
//! ```
//!
//! [`choose`] returns the least loaded of the first [`CHOICES`] candidates. With few choices, the target of a flow is near
//! the front of the candidate order, so probing finds it early; the cost is a slightly less even load.

use std::net::Ipv4Addr;

use smallvec::SmallVec;

use crate::map::{self, Map};
use crate::ownership::Location;
use crate::view::{Config, Host, HostState, Service, ServiceIndex, Target};

/// Number of first candidates among which the least loaded is chosen. The others are considered only if these are at their
/// limits.
pub const CHOICES: usize = 4;

/// A list of hosts in order of preference.
pub type Candidates = SmallVec<[Ipv4Addr; 16]>;

/// Load of a host, as far as a gate knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Number of pieces of work in flight or of open connections.
    pub used: u64,
    /// Limit on `used`.
    pub limit: u64,
}

/// Returns the least loaded (used over limit) of the first [`CHOICES`] candidates, or of the others when these are at their
/// limits; none when all are. Ties go to the earlier candidate.
pub fn choose(candidates: &[Ipv4Addr], mut load: impl FnMut(Ipv4Addr) -> Load) -> Option<Ipv4Addr> {
    let (first, rest) = candidates.split_at(candidates.len().min(CHOICES));
    least_loaded(first, &mut load).or_else(|| least_loaded(rest, &mut load))
}

fn least_loaded(candidates: &[Ipv4Addr], load: &mut impl FnMut(Ipv4Addr) -> Load) -> Option<Ipv4Addr> {
    let mut best: Option<(Ipv4Addr, Load)> = None;
    for host in candidates {
        let host_load = load(*host);
        let has_capacity = host_load.used < host_load.limit;
        if has_capacity && best.is_none_or(|(_, other)| is_less_loaded(host_load, other)) {
            best = Some((*host, host_load));
        }
    }
    best.map(|(host, _)| host)
}

fn is_less_loaded(one: Load, other: Load) -> bool {
    u128::from(one.used) * u128::from(other.limit) < u128::from(other.used) * u128::from(one.limit)
}

/// Returns the targets of one shard.
///
/// Targets are assigned to the shards round-robin in the order of their names, so the numbers of targets of two shards
/// differ by at most one. With fewer targets than shards, some shards share a target.
pub fn shard_targets(service: &Service, shard: u16) -> impl Iterator<Item = &Target> {
    let configured = service.targets.partition_point(|target| !target.released);
    let shard = usize::from(shard);
    let first = if shard < configured { shard } else { shard % configured.max(1) };
    let step = if shard < configured { usize::from(service.shards.max(1)) } else { configured.max(1) };
    service.targets[..configured].iter().skip(first).step_by(step)
}

/// Returns true when packets of `service` may be sent to `port` of `address`.
#[must_use]
pub fn is_allowed(
    config: &Config,
    hosts: &Map<Ipv4Addr, Host>,
    service: ServiceIndex,
    address: Ipv4Addr,
    port: u16,
) -> bool {
    let endpoint = std::net::SocketAddrV4::new(address, port);
    let belongs_to_service = config.endpoints.get(&endpoint) == Some(&service);
    belongs_to_service && hosts.get(&address).is_none_or(|host| host.state != HostState::Misplaced)
}

/// Returns true when new flows may be placed on `target`.
#[must_use]
pub fn is_usable(hosts: &Map<Ipv4Addr, Host>, target: &Target) -> bool {
    let state = hosts.get(&target.address).copied().unwrap_or_default().state;
    !target.released && !target.draining && state.takes_new_flows()
}

/// Returns the hosts for a new flow: the usable targets of its shard, or of the whole service when its shard has none.
#[must_use]
pub fn usable_hosts(config: &Config, hosts: &Map<Ipv4Addr, Host>, location: &Location, port: u16) -> Candidates {
    let service = &config.services[location.service.0 as usize];
    let is_eligible = |target: &&Target| {
        is_usable(hosts, target) && is_allowed(config, hosts, location.service, target.address, port)
    };
    let own = order_by_weight(location, shard_targets(service, location.shard).filter(is_eligible));
    if own.is_empty() { order_by_weight(location, service.targets.iter().filter(is_eligible)) } else { own }
}

/// Returns the hosts that may know an established flow: first the targets of its shard, then the others of the service.
#[must_use]
pub fn probe_candidates(config: &Config, hosts: &Map<Ipv4Addr, Host>, location: &Location, port: u16) -> Candidates {
    let service = &config.services[location.service.0 as usize];
    let is_eligible = |target: &&Target| is_allowed(config, hosts, location.service, target.address, port);
    let mut found = order_by_weight(location, shard_targets(service, location.shard).filter(is_eligible));
    let all = order_by_weight(location, service.targets.iter().filter(is_eligible));
    let own = found.len();
    found.extend(all);
    remove_duplicates(&mut found, own);
    found
}

/// Removes the hosts that are among the first `own` ones from the rest of the list.
fn remove_duplicates(hosts: &mut Candidates, own: usize) {
    let first: Candidates = hosts[..own].into();
    let mut number = 0;
    hosts.retain(|host| {
        number += 1;
        number <= own || !first.contains(host)
    });
}

fn order_by_weight<'a>(location: &Location, targets: impl Iterator<Item = &'a Target>) -> Candidates {
    let weighted = targets.map(|target| (map::hash(location.hash, &target.address), target.address));
    let mut weighted: SmallVec<[(u64, Ipv4Addr); 16]> = weighted.collect();
    weighted.sort_unstable_by(|one, other| other.cmp(one));
    weighted.dedup();
    weighted.into_iter().map(|(_, address)| address).collect()
}
