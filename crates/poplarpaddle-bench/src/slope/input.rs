//! Sets of objects of any size, in the proportions of the target size.

use std::net::Ipv4Addr;

use poplarpaddle::config::{Digest, Manifest, Offer, Part, PublishId, Seed, State, bucket_count, to_parts};
use poplarpaddle::object::{Port, Priority, Service, Set, Target, Zone};

/// Fleet of all sets.
pub const FLEET: &str = "slopes";

/// Targets of the target size.
pub const TARGETS: u32 = 73_000;

/// Services of the target size.
pub const SERVICES: u32 = 11_000;

/// Zones of the target size.
const ZONES: u32 = 12;

/// Returns the number of services that goes with `targets`.
#[must_use]
pub const fn services(targets: u32) -> u32 {
    let services = targets * (SERVICES / 1000) / (TARGETS / 1000);
    if services == 0 { 1 } else { services }
}

/// Returns a set of `targets` targets spread evenly over `services` services.
#[must_use]
pub fn set(services: u32, targets: u32) -> Set {
    let mut set = Set::default();
    for number in 0..ZONES {
        let name = zone(number);
        set.zones.insert(name.clone(), Zone { name, region: format!("region-{}", number / 3) });
    }
    for (name, rank) in [("urgent", 0), ("normal", 1)] {
        let object = Priority { name: name.to_owned(), rank, share: 20, queue_ms: 500 };
        set.priorities.insert(name.to_owned(), object);
    }
    for index in 0..services {
        let name = format!("service-{index}");
        let ports = vec![Port { port: 80, priority: "urgent".to_owned() }];
        let address = Ipv4Addr::from(0x0a00_0001 + index);
        set.services.insert(name.clone(), Service { name, address, ports, shards: None });
    }
    (0..targets).for_each(|index| add_target(&mut set, index % services, index));
    set
}

/// Adds the target `index` to a service.
pub fn add_target(set: &mut Set, service: u32, index: u32) {
    let (name, service) = (format!("host-{index}"), format!("service-{service}"));
    let address = Ipv4Addr::from(0x7f10_0001 + index);
    let zone = zone(index % ZONES);
    let target = Target { name: name.clone(), service, zone, address, slots: 3, connections: 4400, draining: false };
    set.targets.insert(name, target);
}

fn zone(number: u32) -> String {
    format!("region-{}-{}", number / 3, number % 3)
}

/// Manifest and parts as a node fetches them.
#[derive(Debug)]
pub struct Generation {
    /// Bytes of the manifest.
    pub manifest: Vec<u8>,
    /// Bytes of the occupied parts.
    pub parts: Vec<Vec<u8>>,
    /// Decoded parts. Memory that is freed here would hide memory that is measured later.
    pub decoded: Vec<Part>,
}

impl Generation {
    /// Encodes a set as the generation `number`.
    ///
    /// # Errors
    ///
    /// When the set exceeds a bound of the configuration.
    pub fn new(set: &Set, number: u64) -> eyre::Result<Self> {
        let divided = to_parts(set, bucket_count(set.targets.len(), None)?);
        let mut parts = Vec::new();
        let mut digests = Vec::new();
        for (bucket, part) in divided.iter().enumerate() {
            if part.services.is_empty() {
                digests.push(None);
                continue;
            }
            let bytes = part.encode(bucket)?;
            digests.push(Some(Digest::of(&bytes)));
            parts.push(bytes);
        }
        let manifest = Manifest {
            format: poplarpaddle::config::FORMAT,
            fleet: FLEET.to_owned(),
            generation: number,
            publish: PublishId(u128::from(number)),
            // As many as a manifest keeps.
            earlier: (0..16).map(|earlier| PublishId(u128::MAX - earlier - u128::from(number))).collect(),
            seed: Seed(7),
            zones: set.zones.values().cloned().collect(),
            priorities: set.priorities.values().cloned().collect(),
            parts: digests,
            released: Vec::new(),
        };
        Ok(Self { manifest: manifest.encode()?, parts, decoded: divided })
    }

    /// Puts this generation in force at a node.
    ///
    /// # Errors
    ///
    /// When the node refuses it.
    pub fn apply(&self, state: &mut State) -> eyre::Result<()> {
        let mut offer = state.offer(&self.manifest)?;
        if let Offer::Missing(missing) = &offer {
            let missing = missing.clone();
            for part in self.parts.iter().filter(|part| missing.contains(&Digest::of(part))) {
                offer = state.supply(part)?;
            }
        }
        eyre::ensure!(offer == Offer::Applied, "the generation is not in force: {offer:?}");
        Ok(())
    }
}

/// Returns a node's configuration of `targets` targets.
///
/// # Errors
///
/// When the set exceeds a bound of the configuration.
pub fn state(targets: u32) -> eyre::Result<State> {
    let mut state = State::new(FLEET);
    Generation::new(&set(services(targets), targets), 1)?.apply(&mut state)?;
    Ok(state)
}
