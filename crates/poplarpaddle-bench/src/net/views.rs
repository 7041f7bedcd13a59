//! State of the fleet as each balancer knows it. Updates reach the balancers independently, at different times.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use poplarpaddle::map;
use poplarpaddle::object::default_shards;
use poplarpaddle::path::MemberId;
use poplarpaddle::view::{self, Config, HostState, Member, Presence, ServiceIndex};

use crate::fleet::HostIndex;
use crate::scenario::{Deployment, PRIORITIES, priorities};

/// Port of the most urgent priority of every service.
const BASE_PORT: u16 = 8_000;

/// Number of availability zones of a deployment.
pub const ZONES: usize = 3;

/// Returns the address of a service and the port of one of its priorities.
#[must_use]
pub fn service_address(index: usize, priority: usize) -> SocketAddrV4 {
    let last = u8::try_from(index + 1).unwrap_or(u8::MAX);
    SocketAddrV4::new(Ipv4Addr::new(127, 30, 0, last), BASE_PORT + u16::try_from(priority).unwrap_or(0))
}

/// Returns the index of the service with this address.
#[must_use]
pub fn service_index(address: Ipv4Addr) -> usize {
    usize::from(address.octets()[3]) - 1
}

/// Returns the zone of a host.
#[must_use]
pub const fn zone_of(index: HostIndex) -> usize {
    index.host % ZONES
}

/// Returns the first configuration generation of a deployment, whose requests are idempotent or not.
#[must_use]
pub fn config(deployment: &Deployment, seed: u64, is_idempotent: bool) -> Config {
    let services = deployment.services.iter().enumerate().map(|(number, service)| {
        let targets =
            (0..usize::from(service.hosts)).map(|host| target(deployment, HostIndex { service: number, host }));
        Arc::new(view::Service {
            name: service.name.to_owned(),
            address: *self::service_address(number, 0).ip(),
            ports: (0..PRIORITIES.len()).map(|priority| port(number, priority, is_idempotent)).collect(),
            shards: default_shards(usize::from(service.hosts)),
            targets: targets.collect(),
        })
    });
    let mut config = Config {
        generation: 1,
        seed,
        services: services.collect(),
        priorities: priorities(),
        addresses: map::seeded(seed),
        endpoints: map::seeded(seed),
    };
    rebuild_indexes(&mut config);
    config
}

/// Rebuilds the lookup tables of a configuration from its services.
pub fn rebuild_indexes(config: &mut Config) {
    config.addresses.clear();
    config.endpoints.clear();
    for (number, service) in (0..).zip(&config.services) {
        for port in &service.ports {
            config.addresses.insert(SocketAddrV4::new(service.address, port.port), ServiceIndex(number));
            for target in &service.targets {
                config.endpoints.insert(SocketAddrV4::new(target.address, port.port), ServiceIndex(number));
            }
        }
    }
}

fn port(service: usize, priority: usize, idempotent: bool) -> view::Port {
    view::Port { port: self::service_address(service, priority).port(), priority, idempotent }
}

fn target(deployment: &Deployment, index: HostIndex) -> view::Target {
    view::Target {
        name: format!("target-{}-{:03}", index.service, index.host),
        zone: format!("zone-{}", zone_of(index)),
        address: index.address(),
        slots: deployment.slots,
        connections: deployment.connections,
        draining: false,
        released: false,
    }
}

/// An update of the fleet's state.
#[derive(Debug, Clone)]
pub enum Update {
    /// Presence of a balancer; `None` when it is gone.
    Member(MemberId, Option<Presence>),
    /// State of a host.
    Host(Ipv4Addr, HostState),
    /// Generation of the configuration.
    Config(Arc<Config>),
}

/// A value with the version of the update that set it.
#[derive(Debug, Clone, Copy)]
struct Versioned<T> {
    version: u64,
    value: T,
}

impl<T> Versioned<T> {
    /// Replaces the value if `version` is newer; returns true when it was replaced.
    fn update(&mut self, version: u64, value: T) -> bool {
        let is_new = self.version < version;
        if is_new {
            *self = Self { version, value };
        }
        is_new
    }
}

/// State of the fleet as one balancer knows it. An older update never replaces a newer one.
#[derive(Debug, Clone, Default)]
pub struct FleetState {
    members: BTreeMap<MemberId, Versioned<Option<Presence>>>,
    hosts: BTreeMap<Ipv4Addr, Versioned<HostState>>,
    config: Option<Arc<Config>>,
}

impl FleetState {
    /// Applies an update with its version; returns true when it is newer than the current value.
    pub fn update(&mut self, version: u64, update: Update) -> bool {
        match update {
            Update::Member(id, presence) => {
                let initial = Versioned { version: 0, value: None };
                self.members.entry(id).or_insert(initial).update(version, presence)
            }
            Update::Host(address, state) => {
                let initial = Versioned { version: 0, value: HostState::Serving };
                self.hosts.entry(address).or_insert(initial).update(version, state)
            }
            Update::Config(config) => {
                let is_new = self.config.as_ref().is_none_or(|current| current.generation < config.generation);
                if is_new {
                    self.config = Some(config);
                }
                is_new
            }
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub const fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Returns the presence of a balancer; `None` when it is gone or unknown.
    #[must_use]
    pub fn presence(&self, id: MemberId) -> Option<Presence> {
        self.members.get(&id).and_then(|current| current.value)
    }

    /// Returns the state as a view for the engine of the balancer `me`.
    #[must_use]
    pub fn view(&self, me: MemberId) -> view::View {
        let member = |(id, current): (&MemberId, &Versioned<Option<Presence>>)| {
            current.value.map(|presence| Member { id: *id, presence, relay: ([127, 0, 0, 1], 9).into() })
        };
        let mut hosts = map::seeded(1);
        for (address, current) in &self.hosts {
            hosts.insert(*address, view::Host { state: current.value, ..Default::default() });
        }
        view::View {
            me,
            config: self.config.clone(),
            members: self.members.iter().filter_map(member).collect(),
            hosts: Arc::new(hosts),
        }
    }
}
