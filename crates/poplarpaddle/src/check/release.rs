//! Checks that no service uses endpoints and addresses that another service released recently.

use std::net::{Ipv4Addr, SocketAddrV4};

use crate::config::Released;
use crate::map::{Map, seeded};
use crate::object::{Fault, Set};
use crate::time::Time;

/// Returns a fault for each endpoint or address in `set` that another service released and that is still reserved at
/// `now`.
///
/// During the reservation, responses of established flows are still mapped to the service that released the endpoint.
#[must_use]
pub fn released(set: &Set, released: &[Released], now: Time) -> Vec<Fault> {
    let reserved: Vec<&Released> = released.iter().filter(|group| !now.reached(group.not_before())).collect();
    if reserved.is_empty() {
        return Vec::new();
    }
    let mut faults = Vec::new();
    check_services(set, &reserved, now, &mut faults);
    check_targets(set, &reserved, now, &mut faults);
    faults
}

fn check_services(set: &Set, reserved: &[&Released], now: Time, faults: &mut Vec<Fault>) {
    let mut addresses: Map<Ipv4Addr, &Released> = seeded(0);
    addresses.extend(reserved.iter().map(|group| (group.address, *group)));
    for service in set.services.values() {
        let group = addresses.get(&service.address).filter(|group| group.service != service.name);
        if let Some(group) = group {
            let location = format!("service {:?}", service.name);
            faults.push(Fault::new(location, "address", &service.address, allowed(group, now)));
        }
    }
}

fn check_targets(set: &Set, reserved: &[&Released], now: Time, faults: &mut Vec<Fault>) {
    let mut endpoints: Map<SocketAddrV4, &Released> = seeded(0);
    endpoints.extend(reserved.iter().flat_map(|group| group.endpoints().map(move |endpoint| (endpoint, *group))));
    for target in set.targets.values() {
        let ports = set.services.get(&target.service).map_or(&[][..], |service| service.ports.as_slice());
        for port in ports {
            let endpoint = SocketAddrV4::new(target.address, port.port);
            let group = endpoints.get(&endpoint).filter(|group| group.service != target.service);
            if let Some(group) = group {
                let location = format!("target {:?}", target.name);
                faults.push(Fault::new(location, "endpoint", &endpoint, allowed(group, now)));
            }
        }
    }
}

fn allowed(group: &Released, now: Time) -> String {
    let wait = group.not_before().since(now);
    let seconds = wait.as_millis().div_ceil(1000);
    format!(
        "one that service {:?} did not release; publish without it first, and with it after {seconds} s",
        group.service
    )
}
