//! Sets of objects, manifests and publishes for the tests.

use std::net::Ipv4Addr;

use poplarpaddle::config::{Digest, FORMAT, Manifest, PublishId, Seed, to_parts};
use poplarpaddle::object::{Kind, Port, Priority, Service, Set, Target, Zone};
use poplarpaddle::publish::{End, Publish, Settings, Step};
use poplarpaddle::store::Call;
use poplarpaddle::time::Time;

use crate::fake::{Behavior, Fake};

/// Returns a set of `services` services on port 80 with `targets` targets each.
pub fn set(services: u32, targets: u32) -> Set {
    let mut set = Set::default();
    for zone in ["nz-south-a", "nz-south-b", "nz-south-c"] {
        let object = Zone { name: zone.to_owned(), region: "nz-south".to_owned() };
        set.zones.insert(zone.to_owned(), object);
    }
    for (rank, name) in ["urgent", "normal"].into_iter().enumerate() {
        let rank = u8::try_from(rank).unwrap();
        let object = Priority { name: name.to_owned(), rank, share: 20, queue_ms: 500 };
        set.priorities.insert(name.to_owned(), object);
    }
    for service in 0..services {
        add_service(&mut set, service);
        (0..targets).for_each(|target| add_target(&mut set, service, service * targets + target));
    }
    set
}

pub fn add_service(set: &mut Set, index: u32) {
    let name = format!("service-{index}");
    let address = Ipv4Addr::from(0x0a00_0001 + index);
    let ports = vec![Port { port: 80, priority: "urgent".to_owned(), idempotent: false }];
    set.services.insert(name.clone(), Service { name, address, ports, shards: None });
}

pub fn add_target(set: &mut Set, service: u32, index: u32) {
    let name = format!("host-{index}");
    let zone = ["nz-south-a", "nz-south-b", "nz-south-c"][index as usize % 3].to_owned();
    let service = format!("service-{service}");
    let address = Ipv4Addr::from(0x7f10_0001 + index);
    let target = Target { name: name.clone(), service, zone, address, slots: 3, connections: 4400, draining: false };
    set.targets.insert(name, target);
}

/// Returns the manifest and the encoded parts of a generation without released endpoints.
pub fn generation(set: &Set, generation: u64) -> (Manifest, Vec<Vec<u8>>) {
    let encode = |(bucket, part): (usize, &poplarpaddle::config::Part)| part.encode(bucket).unwrap();
    let divided = to_parts(set, 16);
    let parts: Vec<Vec<u8>> = divided.iter().enumerate().map(encode).collect();
    let occupied =
        |(part, bytes): (&poplarpaddle::config::Part, &Vec<u8>)| (!part.services.is_empty()).then(|| Digest::of(bytes));
    let manifest = Manifest {
        format: FORMAT,
        fleet: "kauri".to_owned(),
        generation,
        publish: PublishId(u128::from(generation)),
        earlier: Vec::new(),
        seed: Seed(7),
        zones: set.zones.values().cloned().collect(),
        priorities: set.priorities.values().cloned().collect(),
        parts: divided.iter().zip(&parts).map(occupied).collect(),
        released: Vec::new(),
    };
    (manifest, parts)
}

/// Writes every object of `set` to the store.
pub fn fill(store: &Fake, set: &Set) {
    for kind in Kind::ALL {
        for name in set.names(kind) {
            store.put(&kind.to_string(), name, set.get(kind, name).unwrap().to_value().unwrap());
        }
    }
}

/// An operator who runs one publish, with a virtual clock.
pub struct Operator {
    pub publish: Publish,
    pub now: Time,
}

impl Operator {
    pub fn new(seed: u64, now: Time) -> Self {
        let settings = Settings { fleet: "kauri".to_owned(), seed, ..Default::default() };
        Self { publish: Publish::new(now, settings), now }
    }

    /// Returns the next call, or the result of the publish.
    pub fn call(&mut self) -> Result<Call, End> {
        loop {
            match self.publish.next(self.now) {
                Step::Call { call, .. } => return Ok(call),
                Step::Wait(until) => self.now = until,
                Step::End(end) => return Err(end),
            }
        }
    }

    /// Performs one call; returns the result once the publish has ended.
    pub fn step(&mut self, store: &Fake, behavior: Behavior) -> Option<End> {
        match self.call() {
            Ok(call) => self.publish.handle_outcome(self.now, store.perform(&call, behavior)),
            Err(end) => return Some(end),
        }
        None
    }

    pub fn run(&mut self, store: &Fake, mut behavior: impl FnMut(&Call) -> Behavior) -> End {
        loop {
            match self.call() {
                Ok(call) => self.publish.handle_outcome(self.now, store.perform(&call, behavior(&call))),
                Err(end) => return end,
            }
        }
    }
}

/// Returns the manifest in the store.
pub fn manifest(store: &Fake) -> Manifest {
    let object = store.get("manifest", "kauri").unwrap();
    Manifest::decode(&poplarpaddle::config::encode(&object.value).unwrap()).unwrap()
}
