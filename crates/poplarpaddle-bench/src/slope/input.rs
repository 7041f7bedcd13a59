//! Generates sets of configuration objects of any size, in the proportions of the target size.

use std::net::Ipv4Addr;

use poplarpaddle::config::{Digest, Manifest, Offer, Part, PublishId, Seed, State, bucket_count, to_parts};
use poplarpaddle::object::{Port, Priority, Service, Set, Target, Zone};

/// Name of the fleet of all sets.
pub const FLEET: &str = "slopes";

/// Number of targets of a fleet of the target size.
pub const TARGETS: u32 = 73_000;

/// Number of services of a fleet of the target size.
pub const SERVICES: u32 = 11_000;

/// Number of zones of a fleet of the target size.
const ZONES: u32 = 12;

/// Returns the number of services in proportion to `targets`, at least 1.
#[must_use]
pub const fn services(targets: u32) -> u32 {
    let services = targets * (SERVICES / 1000) / (TARGETS / 1000);
    if services == 0 { 1 } else { services }
}

/// Returns a set of `targets` targets distributed evenly over `services` services.
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
        let ports = vec![Port { port: 80, priority: "urgent".to_owned(), idempotent: false }];
        let address = Ipv4Addr::from(0x0a00_0001 + index);
        set.services.insert(name.clone(), Service { name, address, ports, shards: None });
    }
    (0..targets).for_each(|index| add_target(&mut set, index % services, index));
    set
}

/// Adds the target with number `index` to a service.
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

/// A configuration generation as a node fetches it.
#[derive(Debug)]
pub struct Generation {
    /// Encoded manifest.
    pub manifest: Vec<u8>,
    /// Encoded parts that are not empty.
    pub parts: Vec<Vec<u8>>,
    /// Decoded parts. They are kept because later allocations would reuse their memory and escape the measurement.
    pub decoded: Vec<Part>,
}

impl Generation {
    /// Encodes a set as generation `number`.
    ///
    /// # Errors
    ///
    /// When the set exceeds a limit of the configuration.
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
            // The maximum number of earlier publishes in a manifest.
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
    /// When the node rejects the generation.
    pub fn apply(&self, state: &mut State) -> eyre::Result<()> {
        let mut offer = state.offer(&self.manifest)?;
        if let Offer::Missing(missing) = &offer {
            let missing = missing.clone();
            for part in self.parts.iter().filter(|part| missing.contains(&Digest::of(part))) {
                offer = state.supply(part)?;
            }
        }
        eyre::ensure!(offer == Offer::Applied, "the generation was not applied: {offer:?}");
        Ok(())
    }
}

/// Returns the configuration state of a node with `targets` targets.
///
/// # Errors
///
/// When the set exceeds a limit of the configuration.
pub fn state(targets: u32) -> eyre::Result<State> {
    let mut state = State::new(FLEET);
    Generation::new(&set(services(targets), targets), 1)?.apply(&mut state)?;
    Ok(state)
}
