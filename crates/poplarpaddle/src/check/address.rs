//! Checks that each address and endpoint belongs to only one service.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};

use crate::map::{Map, seeded};
use crate::object::{Fault, Service, Set, Target};

/// Allowed addresses, as shown in a fault.
const ALLOWED: &str = "a unicast address of a host";

/// Owners of the addresses and endpoints seen so far.
pub(super) struct Addresses<'a> {
    set: &'a Set,
    services: Map<Ipv4Addr, &'a Service>,
    hosts: Map<Ipv4Addr, &'a Target>,
    endpoints: Map<SocketAddrV4, &'a Target>,
}

impl<'a> Addresses<'a> {
    pub(super) fn new(set: &'a Set) -> Self {
        Self { set, services: seeded(0), hosts: seeded(0), endpoints: seeded(0) }
    }

    pub(super) fn check(mut self, faults: &mut Vec<Fault>) {
        self.set.services.values().for_each(|service| self.service(service, faults));
        self.set.targets.values().for_each(|target| self.target(target, faults));
    }

    fn service(&mut self, service: &'a Service, faults: &mut Vec<Fault>) {
        let location = format!("service {:?}", service.name);
        check_unicast(&location, service.address, faults);
        if let Some(other) = self.services.get(&service.address) {
            let allowed = format!("an address that service {:?} does not have", other.name);
            faults.push(Fault::new(location, "address", &service.address, allowed));
            return;
        }
        self.services.insert(service.address, service);
    }

    fn target(&mut self, target: &'a Target, faults: &mut Vec<Fault>) {
        let location = format!("target {:?}", target.name);
        check_unicast(&location, target.address, faults);
        if let Some(service) = self.services.get(&target.address) {
            let allowed = format!("an address other than that of service {:?}", service.name);
            faults.push(Fault::new(&location, "address", &target.address, allowed));
        }
        self.host(&location, target, faults);
        let Some(service) = self.set.services.get(&target.service) else {
            return;
        };
        // Port 0 and repeated ports are reported as faults of the service.
        let ports: BTreeSet<u16> = service.ports.iter().map(|port| port.port).filter(|port| *port != 0).collect();
        for port in ports {
            self.endpoint(&location, target, SocketAddrV4::new(target.address, port), faults);
        }
    }

    /// Reports targets with the same address that describe their host differently, because they share its slots.
    fn host(&mut self, location: &str, target: &'a Target, faults: &mut Vec<Fault>) {
        let Some(other) = self.hosts.get(&target.address) else {
            self.hosts.insert(target.address, target);
            return;
        };
        let allowed = |value: &dyn std::fmt::Display| {
            format!("{value}, as set by target {:?} of the same host {}", other.name, target.address)
        };
        if other.zone != target.zone {
            faults.push(Fault::new(location, "zone", &format_args!("{:?}", target.zone), allowed(&other.zone)));
        }
        if other.slots != target.slots {
            faults.push(Fault::new(location, "slots", &target.slots, allowed(&other.slots)));
        }
        if other.connections != target.connections {
            faults.push(Fault::new(location, "connections", &target.connections, allowed(&other.connections)));
        }
    }

    fn endpoint(&mut self, location: &str, target: &'a Target, endpoint: SocketAddrV4, faults: &mut Vec<Fault>) {
        let Some(other) = self.endpoints.get(&endpoint) else {
            self.endpoints.insert(endpoint, target);
            return;
        };
        let owner = format!("target {:?} of service {:?}", other.name, other.service);
        let allowed = format!("an endpoint that {owner} does not have");
        faults.push(Fault::new(location, "endpoint", &endpoint, allowed));
    }
}

fn check_unicast(location: &str, address: Ipv4Addr, faults: &mut Vec<Fault>) {
    let reason = match address {
        _ if address.is_unspecified() || address.octets()[0] == 0 => "unspecified",
        _ if address.is_multicast() => "multicast",
        _ if address.is_broadcast() => "broadcast",
        _ if address.octets()[0] >= 240 => "reserved",
        _ => return,
    };
    faults.push(Fault::new(location, "address", &format_args!("{address} ({reason})"), ALLOWED));
}
