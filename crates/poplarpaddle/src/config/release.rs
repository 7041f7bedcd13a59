//! Endpoints and addresses that left a service and must not be used by another one yet.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};

use serde::{Deserialize, Serialize};

use super::{Entry, Row};
use crate::map::seeded;
use crate::object::{Port, Set};
use crate::time::Time;

/// Endpoints that left a service: every target in `targets` on every port in `ports`.
///
/// When the service was removed or its address changed, `address` is released as well.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Released {
    /// Name of the service.
    pub service: String,
    /// Address of the service before the release.
    pub address: Ipv4Addr,
    /// Ports of the released endpoints.
    pub ports: Vec<Port>,
    /// Targets of the released endpoints.
    pub targets: Vec<Row>,
    /// Time from which another service may use the endpoints, in milliseconds since the Unix epoch.
    pub not_before_ms: u64,
}

impl Released {
    /// Returns the time from which another service may use the endpoints.
    #[must_use]
    pub const fn not_before(&self) -> Time {
        Time::from_millis(self.not_before_ms)
    }

    /// Returns the released endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = SocketAddrV4> {
        let ports = |row: &Row| {
            let address = row.address;
            self.ports.iter().map(move |port| SocketAddrV4::new(address, port.port))
        };
        self.targets.iter().flat_map(ports)
    }
}

/// Returns the entries of `before` that are still reserved at `now`, without the targets that `set` assigns to the same
/// service again.
#[must_use]
pub fn still_released(before: &[Released], set: &Set, now: Time) -> Vec<Released> {
    let reserved = before.iter().filter(|released| !now.reached(released.not_before()));
    let mut targets_by_service = Addresses::default();
    let kept = reserved.filter_map(|released| targets_by_service.without_returned(set, released));
    kept.collect()
}

/// Returns the endpoints and addresses of the services `before` that `set` no longer assigns to the same service.
#[must_use]
pub fn newly_released(before: &[Entry], set: &Set, not_before: Time) -> Vec<Released> {
    let mut targets_by_service = Addresses::default();
    let groups = before.iter().map(|entry| Released {
        service: entry.name.clone(),
        address: entry.address,
        ports: entry.ports.clone(),
        targets: entry.targets.clone(),
        not_before_ms: not_before.as_millis(),
    });
    let mut released: Vec<Released> = Vec::new();
    for group in groups {
        let Some(service) = set.services.get(&group.service).filter(|service| service.address == group.address) else {
            released.push(group);
            continue;
        };
        let (kept, dropped): (Vec<Port>, Vec<Port>) =
            group.ports.iter().cloned().partition(|old| service.ports.iter().any(|port| port.port == old.port));
        let on_kept_ports = Released { ports: kept, ..group.clone() };
        released.extend(targets_by_service.without_returned(set, &on_kept_ports));
        if !dropped.is_empty() && !group.targets.is_empty() {
            released.push(Released { ports: dropped, ..group });
        }
    }
    released
}

/// Target addresses by service, collected on first use.
#[derive(Debug, Default)]
struct Addresses<'a> {
    targets: Option<crate::map::Map<&'a str, BTreeSet<Ipv4Addr>>>,
}

impl<'a> Addresses<'a> {
    fn of_service(&mut self, set: &'a Set, service: &str) -> Option<&BTreeSet<Ipv4Addr>> {
        let targets = self.targets.get_or_insert_with(|| {
            let mut map = seeded::<&str, BTreeSet<Ipv4Addr>>(0);
            for target in set.targets.values() {
                map.entry(target.service.as_str()).or_default().insert(target.address);
            }
            map
        });
        targets.get(service)
    }

    /// Returns `released` without the targets that the service has again on all ports of the group, `None` when nothing
    /// remains.
    fn without_returned(&mut self, set: &'a Set, released: &Released) -> Option<Released> {
        let Some(service) = set.services.get(&released.service) else {
            return Some(released.clone());
        };
        let has_ports = released.ports.iter().all(|old| service.ports.iter().any(|port| port.port == old.port));
        let moved = service.address != released.address;
        let Some(addresses) = self.of_service(set, &released.service).filter(|_addresses| has_ports && !moved) else {
            return (moved || !released.targets.is_empty()).then(|| released.clone());
        };
        let targets: Vec<Row> =
            released.targets.iter().filter(|row| !addresses.contains(&row.address)).cloned().collect();
        (!targets.is_empty()).then(|| Released { targets, ..released.clone() })
    }
}
