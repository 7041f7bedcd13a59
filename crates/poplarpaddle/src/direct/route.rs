//! Table of the routes in force, with the services that established flows may belong to.

use crate::map::{self, Map};
use crate::registry::{Address, Route};
use crate::time::Time;

/// A service that a route used before a change, so that established flows may still belong to it.
#[derive(Debug)]
struct Former {
    service: String,
    until: Time,
}

#[derive(Debug)]
struct Entry {
    route: Route,
    former: Vec<Former>,
}

/// Routes in force.
#[derive(Debug)]
pub(super) struct Table {
    entries: Map<Address, Entry>,
}

impl Default for Table {
    fn default() -> Self {
        Self { entries: map::seeded(0) }
    }
}

impl Table {
    /// Adds or replaces a route, or removes it when `route` is none. Services that a replaced route used keep their
    /// established flows until `keep_until`.
    pub(super) fn set(&mut self, address: Address, route: Option<&Route>, keep_until: Time, now: Time) {
        let Some(route) = route else {
            self.entries.remove(&address);
            return;
        };
        let Some(entry) = self.entries.get_mut(&address) else {
            self.entries.insert(address, Entry { route: route.clone(), former: Vec::new() });
            return;
        };
        entry.former.retain(|former| !now.reached(former.until));
        for service in entry.route.services().filter(|service| !route.allows(service)) {
            entry.former.push(Former { service: service.to_owned(), until: keep_until });
        }
        entry.route = route.clone();
    }

    /// Allows established flows of a route to belong to `service` until `until`.
    pub(super) fn allow_former(&mut self, address: Address, service: &str, until: Time) {
        if let Some(entry) = self.entries.get_mut(&address) {
            entry.former.push(Former { service: service.to_owned(), until });
        }
    }

    pub(super) fn get(&self, address: Address) -> Option<&Route> {
        self.entries.get(&address).map(|entry| &entry.route)
    }

    /// Returns true when an established flow of the route may belong to a host of `service`.
    pub(super) fn allows_established(&self, now: Time, address: Address, service: &str) -> bool {
        let Some(entry) = self.entries.get(&address) else { return false };
        let is_former = |former: &Former| former.service == service && !now.reached(former.until);
        entry.route.allows(service) || entry.former.iter().any(is_former)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Returns the service for a new flow, by weight when the route has shares. `draw` is a random number.
pub(super) fn choose(route: &Route, draw: u64) -> &str {
    let total: u64 = route.shares.iter().map(|share| u64::from(share.weight)).sum();
    if total == 0 {
        return &route.service;
    }
    let mut remaining = draw % total;
    for share in &route.shares {
        let weight = u64::from(share.weight);
        if remaining < weight {
            return &share.service;
        }
        remaining -= weight;
    }
    &route.service
}
