//! Compiles a manifest and its parts into the lookup tables of the data path.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use super::{Entry, Manifest, Part, Released, Row, bucket_of};
use crate::error::{Error, Kind, Result};
use crate::map::{Map, seeded};
use crate::object::{Port, default_shards};
use crate::view;

/// Compiles a generation. `parts` contains the parts of the manifest in bucket order, without those of empty buckets.
///
/// A released endpoint still maps to the service that released it, and the previous address of a service still maps to
/// that service. A removed service stays in the configuration, with only its released targets, while the manifest lists
/// any of them: its established flows continue, and it receives no new ones. A port that was removed from a service is
/// unknown at once; only its endpoints stay mapped.
///
/// # Errors
///
/// [`Kind::Object`] when the parts contradict each other or the manifest; the message names the object, the field and
/// its value.
pub fn compile(manifest: &Manifest, parts: impl IntoIterator<Item = Result<Part>>) -> Result<view::Config> {
    let priorities = priorities(manifest);
    let occupied = manifest.parts.iter().enumerate().filter(|(_, digest)| digest.is_some());
    let compiled = occupied.zip(parts).map(|((index, _), part)| compile_part(manifest, &priorities, index, part?));
    assemble(manifest, compiled.collect::<Result<Vec<_>>>()?.iter())
}

/// Compiled services of one part, shared by all generations that contain the part.
pub(super) type Services = Arc<[Arc<view::Service>]>;

/// Compiles the part of the bucket `index`. Apart from `part`, the result depends only on the priorities and the number
/// of buckets.
pub(super) fn compile_part(
    manifest: &Manifest,
    priorities: &[view::Priority],
    index: usize,
    part: Part,
) -> Result<Services> {
    let mut services = Vec::with_capacity(part.services.len());
    for entry in part.services {
        let expected = bucket_of(&entry.name, manifest.parts.len());
        if expected != index {
            return Err(fault("service", &entry.name, "bucket", &index, &expected));
        }
        services.push(Arc::new(compile_service(priorities, entry)?));
    }
    Ok(services.into())
}

/// Combines the services of all parts into a configuration.
pub(super) fn assemble<'a>(manifest: &Manifest, parts: impl Iterator<Item = &'a Services>) -> Result<view::Config> {
    let mut services: Vec<Arc<view::Service>> = parts.flat_map(|part| part.iter().cloned()).collect();
    services.sort_unstable_by(|a, b| a.name.cmp(&b.name));
    let mut compiler = Compiler::new(manifest);
    let removed = removed_services(manifest, &services);
    compiler.services = services;
    for entry in removed {
        let released_only = compile_service(&compiler.priorities, entry)?;
        compiler.services.push(Arc::new(released_only));
    }
    compiler.services.sort_unstable_by(|a, b| a.name.cmp(&b.name));
    compiler.index()?;
    for released in &manifest.released {
        compiler.add_released(released)?;
    }
    Ok(compiler.config(manifest))
}

/// Returns the priorities of a manifest, sorted by rank.
pub(super) fn priorities(manifest: &Manifest) -> Vec<view::Priority> {
    let mut priorities: Vec<view::Priority> = manifest.priorities.iter().map(priority).collect();
    priorities.sort_by(|a, b| (a.rank, &a.name).cmp(&(b.rank, &b.name)));
    priorities
}

/// Returns an entry without targets for each removed service that still has released endpoints.
fn removed_services(manifest: &Manifest, services: &[Arc<view::Service>]) -> Vec<Entry> {
    let mut removed: Vec<Entry> = Vec::new();
    for group in &manifest.released {
        if services.binary_search_by(|service| service.name.cmp(&group.service)).is_ok() {
            continue;
        }
        let found = removed.iter().position(|entry| entry.name == group.service);
        let index = found.unwrap_or_else(|| {
            removed.push(empty_entry(group));
            removed.len() - 1
        });
        add_ports(&mut removed[index], group, manifest);
    }
    removed
}

fn empty_entry(group: &Released) -> Entry {
    let (name, address) = (group.service.clone(), group.address);
    Entry { name, address, ports: Vec::new(), shards: None, targets: Vec::new() }
}

/// Adds the ports of a group of released endpoints to `entry`. A port whose priority was removed as well gets the least
/// urgent one; no new flows arrive there.
fn add_ports(entry: &mut Entry, group: &Released, manifest: &Manifest) {
    let least_urgent = manifest.priorities.iter().max_by_key(|priority| priority.rank);
    for port in &group.ports {
        if entry.ports.iter().any(|known| known.port == port.port) {
            continue;
        }
        let known = manifest.priorities.iter().any(|priority| priority.name == port.priority);
        let fallback = least_urgent.filter(|_priority| !known).map(|priority| priority.name.clone());
        let priority = fallback.unwrap_or_else(|| port.priority.clone());
        entry.ports.push(Port { port: port.port, priority, idempotent: port.idempotent });
    }
}

fn fault(kind: &str, name: &str, field: &str, value: &dyn std::fmt::Display, allowed: &dyn std::fmt::Display) -> Error {
    Error::new(Kind::Object, format!("{kind} {name:?}: {field} is {value}, allowed: {allowed}"))
}

/// Lookup tables of one generation, as built so far.
#[derive(Debug)]
struct Compiler {
    priorities: Vec<view::Priority>,
    services: Vec<Arc<view::Service>>,
    addresses: Map<SocketAddrV4, view::ServiceIndex>,
    endpoints: Map<SocketAddrV4, view::ServiceIndex>,
}

impl Compiler {
    fn new(manifest: &Manifest) -> Self {
        let seed = manifest.seed.0;
        Self {
            priorities: priorities(manifest),
            services: Vec::new(),
            addresses: seeded(seed),
            endpoints: seeded(seed),
        }
    }

    /// Fills the lookup tables from the services, which must be in their final order.
    fn index(&mut self) -> Result<()> {
        let services = std::mem::take(&mut self.services);
        // Without a reservation, growing the maps would rehash every entry several times for each change.
        self.addresses.reserve(services.iter().map(|service| service.ports.len()).sum());
        self.endpoints.reserve(services.iter().map(|service| service.ports.len() * service.targets.len()).sum());
        for (index, pair) in services.windows(2).enumerate() {
            if pair[0].name == pair[1].name {
                return Err(fault("service", &pair[0].name, "entry", &(index + 1), &"at most one for each name"));
            }
        }
        for (index, service) in services.iter().enumerate() {
            let index = view::ServiceIndex(u32::try_from(index).unwrap_or(u32::MAX));
            for port in &service.ports {
                let address = SocketAddrV4::new(service.address, port.port);
                insert_unique(&mut self.addresses, &services, address, index, "address")?;
                for target in &service.targets {
                    let endpoint = SocketAddrV4::new(target.address, port.port);
                    insert_unique(&mut self.endpoints, &services, endpoint, index, "endpoint")?;
                }
            }
        }
        self.services = services;
        Ok(())
    }

    fn add_released(&mut self, released: &Released) -> Result<()> {
        let found = self.services.binary_search_by(|service| service.name.as_str().cmp(&released.service));
        let Ok(position) = found else {
            return Err(fault("service", &released.service, "released entry", &"unassigned", &"a known service"));
        };
        let index = view::ServiceIndex(u32::try_from(position).unwrap_or(u32::MAX));
        for endpoint in released.endpoints() {
            let owner = *self.endpoints.entry(endpoint).or_insert(index);
            if owner != index {
                return Err(already_used(&self.services, "released endpoint", endpoint, index, owner));
            }
        }
        // Generations share their services; only a service with released targets needs a copy of its own.
        let service = Arc::make_mut(&mut self.services[position]);
        for port in service.ports.iter().filter(|port| released.ports.iter().any(|old| old.port == port.port)) {
            self.addresses.entry(SocketAddrV4::new(released.address, port.port)).or_insert(index);
        }
        let present: BTreeSet<Ipv4Addr> = service.targets.iter().map(|target| target.address).collect();
        let absent = released.targets.iter().filter(|row| !present.contains(&row.address));
        service.targets.extend(absent.map(|row| target(row.clone(), true)));
        Ok(())
    }

    fn config(self, manifest: &Manifest) -> view::Config {
        let Self { priorities, services, addresses, endpoints } = self;
        let (generation, seed) = (manifest.generation, manifest.seed.0);
        view::Config { generation, seed, services, priorities, addresses, endpoints }
    }
}

fn compile_service(priorities: &[view::Priority], entry: Entry) -> Result<view::Service> {
    let count = u16::try_from(entry.targets.len()).unwrap_or(u16::MAX);
    let port = |port: &Port| find_priority(priorities, &entry.name, port);
    let ports = entry.ports.iter().map(port).collect::<Result<Vec<_>>>()?;
    if ports.is_empty() {
        return Err(fault("service", &entry.name, "number of ports", &0, &"1 or more"));
    }
    let shards = entry.shards.unwrap_or_else(|| default_shards(usize::from(count)));
    if shards == 0 {
        return Err(fault("service", &entry.name, "shards", &0, &"1 or more"));
    }
    let mut targets: Vec<view::Target> = entry.targets.into_iter().map(|row| target(row, false)).collect();
    targets.sort_unstable_by(|a, b| a.name.cmp(&b.name));
    Ok(view::Service { name: entry.name, address: entry.address, ports, shards, targets })
}

fn find_priority(priorities: &[view::Priority], service: &str, port: &Port) -> Result<view::Port> {
    let found = priorities.iter().position(|priority| priority.name == port.priority);
    let Some(priority) = found else {
        return Err(fault("service", service, "priority", &port.priority, &"a priority of the manifest"));
    };
    Ok(view::Port { port: port.port, priority, idempotent: port.idempotent })
}

fn insert_unique(
    map: &mut Map<SocketAddrV4, view::ServiceIndex>,
    services: &[Arc<view::Service>],
    address: SocketAddrV4,
    index: view::ServiceIndex,
    field: &str,
) -> Result<()> {
    match map.insert(address, index) {
        None => Ok(()),
        Some(owner) => Err(already_used(services, field, address, index, owner)),
    }
}

fn already_used(
    services: &[Arc<view::Service>],
    field: &str,
    address: SocketAddrV4,
    index: view::ServiceIndex,
    owner: view::ServiceIndex,
) -> Error {
    let name = |index: view::ServiceIndex| services.get(index.0 as usize).map_or("", |service| service.name.as_str());
    let allowed = format!("one that service {:?} does not have", name(owner));
    fault("service", name(index), field, &address, &allowed)
}

fn priority(object: &crate::object::Priority) -> view::Priority {
    view::Priority { name: object.name.clone(), rank: object.rank, share: object.share, queue_ms: object.queue_ms }
}

fn target(row: Row, released: bool) -> view::Target {
    let Row { name, zone, address, slots, connections, draining } = row;
    view::Target { name, zone, address, slots, connections, draining, released }
}
