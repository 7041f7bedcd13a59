//! Assignment of shards to their current and former owners.
//!
//! A shard is owned by the member with the highest random weight of (shard, member), known as rendezvous hashing, so that a
//! change of one member moves only the shards of that member. While no member is alive, the leaving ones own the shards.
//!
//! ```
//! use poplarpaddle::ownership::Ownership;
//!
//! let ownership = Ownership::default();
//! assert_eq!(ownership.owned_by(poplarpaddle::path::MemberId(1)).count(), 0);
//! ```
//!
//! Each shard keeps a short list of former owners, which may hold entries of its flows. A member that has just started has
//! seen no former owners; it uses the members with the next highest weights instead, since one of them owned the shard
//! before it joined. An update computes one weight for each pair of a shard and a joined member, and the weights of all
//! members for each shard whose owner is gone.

use smallvec::SmallVec;

use crate::map;
use crate::packet::Flow;
use crate::path::MemberId;
use crate::view::{Config, Member, Presence, ServiceIndex};

/// Number of former owners kept for each shard. Three cover a rolling replacement that moves a shard in each of three steps
/// while a flow sends no packets. Each former owner costs two relays before the first probe.
pub const MAX_FORMER: usize = 3;

/// A list of former owners, latest first.
pub type Owners = SmallVec<[MemberId; MAX_FORMER]>;

/// A shard and its owners.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shard {
    /// Identifies the shard in all generations of the configuration with the same seed.
    pub key: u64,
    /// The owner, none if there are no members.
    pub owner: Option<MemberId>,
    /// Former owners, latest first. Some may be unreachable.
    pub former: Owners,
    weight: u64,
}

/// Service, shard and owner of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Location {
    /// Index of the service.
    pub service: ServiceIndex,
    /// Hash of the flow, equal on every balancer.
    pub hash: u64,
    /// Index of the shard in its service.
    pub shard: u16,
    /// Key of the shard.
    pub key: u64,
    /// Owner of the shard.
    pub owner: Option<MemberId>,
}

#[derive(Debug, Clone, Default)]
struct Service {
    name: String,
    shards: Vec<Shard>,
    /// Shards from before the number of shards last changed. Their owners may hold entries.
    previous_layout: Vec<Shard>,
}

/// Owners of all shards of a configuration.
#[derive(Debug, Clone, Default)]
pub struct Ownership {
    seed: u64,
    /// Members that may own shards, sorted.
    owners: Vec<MemberId>,
    /// Members that can be reached, sorted.
    reachable: Vec<MemberId>,
    services: Vec<Service>,
}

impl Ownership {
    /// Replaces the members.
    pub fn set_members(&mut self, members: &[Member]) {
        let owners = owners_of(members);
        let joined: Vec<MemberId> = owners.iter().copied().filter(|id| !contains(&self.owners, *id)).collect();
        self.reachable = sorted(members.iter());
        let was_empty = self.owners.is_empty();
        self.owners = owners;
        let (owners, reachable) = (&self.owners, &self.reachable);
        for service in &mut self.services {
            for shard in &mut service.shards {
                if was_empty || shard.owner.is_none() {
                    shard.rank(owners, reachable);
                } else {
                    shard.update(owners, &joined);
                }
            }
        }
    }

    /// Replaces the configuration. Services are matched by name and keep the owners of their shards if the seed is the same.
    pub fn set_config(&mut self, config: &Config) {
        let is_same_seed = self.seed == config.seed;
        self.seed = config.seed;
        let mut old: map::Map<String, Service> = map::seeded(config.seed);
        for service in self.services.drain(..) {
            old.insert(service.name.clone(), service);
        }
        for service in &config.services {
            let old_service = old.remove(&service.name).filter(|_| is_same_seed);
            let service = self.build_service(&service.name, service.shards.max(1), old_service.unwrap_or_default());
            self.services.push(service);
        }
    }

    /// Returns the location of `flow`, none when no service has its address.
    #[must_use]
    pub fn locate(&self, config: &Config, flow: &Flow) -> Option<Location> {
        let service = *config.addresses.get(&flow.service)?;
        self.locate_in(service, self.hash(flow))
    }

    /// Returns the hash of a flow, equal on every balancer.
    #[must_use]
    pub fn hash(&self, flow: &Flow) -> u64 {
        map::hash(self.seed, flow)
    }

    /// Returns true when both have the same services with the same numbers of shards.
    #[must_use]
    pub fn has_same_layout(&self, other: &Self) -> bool {
        let is_same =
            |(one, other): (&Service, &Service)| one.name == other.name && one.shards.len() == other.shards.len();
        self.services.len() == other.services.len() && self.services.iter().zip(&other.services).all(is_same)
    }

    /// Returns true when both hash flows in the same way.
    #[must_use]
    pub const fn has_same_hash(&self, other: &Self) -> bool {
        self.seed == other.seed
    }

    /// Returns the location of a flow of `service` with this hash.
    #[must_use]
    pub fn locate_in(&self, service: ServiceIndex, hash: u64) -> Option<Location> {
        let shards = &self.services.get(service.0 as usize)?.shards;
        let shard = shard_index(hash, shards.len());
        let Shard { key, owner, .. } = shards[shard];
        Some(Location { service, hash, shard: u16::try_from(shard).unwrap_or(u16::MAX), key, owner })
    }

    /// Returns the reachable members other than the owner that may hold the entry of a flow, the most likely first.
    #[must_use]
    pub fn former(&self, location: &Location) -> Owners {
        let mut former = Owners::new();
        let Some(service) = self.services.get(location.service.0 as usize) else { return former };
        let current = &service.shards[shard_index(location.hash, service.shards.len())];
        let previous_shard = (!service.previous_layout.is_empty())
            .then(|| &service.previous_layout[shard_index(location.hash, service.previous_layout.len())]);
        let members = previous_shard
            .into_iter()
            .flat_map(|shard| shard.owner.into_iter().chain(shard.former.iter().copied().take(1)))
            .chain(current.former.iter().copied());
        for member in members {
            if former.len() < MAX_FORMER
                && Some(member) != location.owner
                && !former.contains(&member)
                && self.is_reachable(member)
            {
                former.push(member);
            }
        }
        former
    }

    /// Returns the shards that `member` owns, each with its service and its index in the service, in the order of services.
    pub fn owned_by(&self, member: MemberId) -> impl Iterator<Item = (ServiceIndex, u16, &Shard)> {
        self.services.iter().zip(0..).flat_map(move |(service, service_index)| {
            let shards = service.shards.iter().zip(0..);
            let owned = shards.filter(move |(shard, _)| shard.owner == Some(member));
            owned.map(move |(shard, index)| (ServiceIndex(service_index), index, shard))
        })
    }

    /// Returns true when `member` can be reached.
    #[must_use]
    pub fn is_reachable(&self, member: MemberId) -> bool {
        contains(&self.reachable, member)
    }

    fn build_service(&self, name: &str, count: u16, old_service: Service) -> Service {
        let mut shards = Vec::with_capacity(usize::from(count));
        for index in 0..count {
            let old_shard = old_service.shards.get(usize::from(index)).cloned();
            shards.push(old_shard.unwrap_or_else(|| self.build_shard(name, index)));
        }
        let is_resized = !old_service.shards.is_empty() && old_service.shards.len() != shards.len();
        let previous_layout = if is_resized { old_service.shards } else { old_service.previous_layout };
        Service { name: name.to_owned(), shards, previous_layout }
    }

    fn build_shard(&self, name: &str, index: u16) -> Shard {
        let key = map::hash(self.seed, &(name, index));
        let mut shard = Shard { key, owner: None, former: Owners::new(), weight: 0 };
        shard.rank(&self.owners, &self.reachable);
        shard
    }
}

impl Shard {
    /// Sets the owner and the former owners by weight alone.
    fn rank(&mut self, owners: &[MemberId], reachable: &[MemberId]) {
        self.choose(owners);
        let mut ranked: SmallVec<[(u64, MemberId); MAX_FORMER]> = SmallVec::new();
        for member in reachable.iter().copied().filter(|member| Some(*member) != self.owner) {
            let weight = weight(self.key, member);
            let position = ranked.partition_point(|(other, _)| *other > weight);
            if position < MAX_FORMER {
                ranked.truncate(MAX_FORMER - 1);
                ranked.insert(position.min(ranked.len()), (weight, member));
            }
        }
        self.former = ranked.into_iter().map(|(_, member)| member).collect();
    }

    /// Updates the owner and the former owners after a change of members.
    fn update(&mut self, owners: &[MemberId], joined: &[MemberId]) {
        let old_owner = self.owner;
        if old_owner.is_none_or(|owner| !contains(owners, owner)) {
            self.choose(owners);
        } else {
            for member in joined {
                self.consider(*member);
            }
        }
        if old_owner != self.owner {
            self.push_former(old_owner);
        }
    }

    fn choose(&mut self, owners: &[MemberId]) {
        self.owner = None;
        for member in owners {
            self.consider(*member);
        }
    }

    fn consider(&mut self, member: MemberId) {
        let weight = weight(self.key, member);
        if self.owner.is_none_or(|owner| (weight, member) > (self.weight, owner)) {
            self.owner = Some(member);
            self.weight = weight;
        }
    }

    fn push_former(&mut self, old_owner: Option<MemberId>) {
        let owner = self.owner;
        self.former.retain(|member| Some(*member) != owner && Some(*member) != old_owner);
        if let Some(old_owner) = old_owner {
            self.former.truncate(MAX_FORMER - 1);
            self.former.insert(0, old_owner);
        }
    }
}

fn owners_of(members: &[Member]) -> Vec<MemberId> {
    let owners = sorted(members.iter().filter(|member| member.presence == Presence::Alive));
    if owners.is_empty() { sorted(members.iter()) } else { owners }
}

fn sorted<'a>(members: impl Iterator<Item = &'a Member>) -> Vec<MemberId> {
    let mut ids: Vec<MemberId> = members.map(|member| member.id).collect();
    ids.sort_unstable();
    ids
}

/// Returns whether the sorted `ids` contain `id`. With 2,500 members, a linear search for each shard took most of the time
/// of an update.
fn contains(ids: &[MemberId], id: MemberId) -> bool {
    ids.binary_search(&id).is_ok()
}

fn weight(key: u64, member: MemberId) -> u64 {
    map::hash(key, &member.0)
}

#[expect(clippy::cast_possible_truncation, reason = "the remainder is below the number of shards")]
const fn shard_index(hash: u64, shards: usize) -> usize {
    (hash % shards as u64) as usize
}
