//! Checks a configuration of routes and services before balancers get it, and compares it with the one in force.
//!
//! ```
//! use poplarpaddle::check::routes::{Configuration, Field, Severity};
//! use poplarpaddle::registry::Route;
//!
//! let route = Route { name: "r-1".into(), service: "bookings".into(), timeout_ms: 2000, ..Default::default() };
//! let routes = vec![(Some("198.18.0.1:80".parse().unwrap()), route)];
//! let findings = Configuration { routes, ..Default::default() }.findings();
//! assert_eq!((findings[0].field, findings[0].severity), (Field::Service, Severity::Error));
//! ```
//!
//! All findings come from one pass. A value that contradicts another for certain is an error; one that only has no
//! effect or may surprise is a warning. Fields are named by [`Field`], so that each format can print its own names.

mod change;

use std::collections::BTreeMap;
use std::fmt::Debug;

pub use self::change::{Change, Difference};
use crate::registry::{Address, General, Route, Service, Share, is_usable};

/// A configuration as decoded, with everything in its order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Configuration {
    /// General settings and services.
    pub general: General,
    /// Routes, each with its address if that could be decoded.
    pub routes: Vec<(Option<Address>, Route)>,
}

/// Effect of a finding. Errors sort before warnings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum Severity {
    /// The configuration must not be sent.
    #[display("error")]
    Error,
    /// The configuration can be sent, but a part of it has no effect or may surprise.
    #[display("warning")]
    Warning,
}

/// Entry of a configuration that a finding or a change concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Entry {
    /// The configuration itself.
    General,
    /// Route at this index.
    Route(usize),
    /// Service at this index.
    Service(usize),
}

/// Field of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Field {
    /// [`General::version`].
    Version,
    /// [`General::idle_ms`].
    Idle,
    /// Name of a route or service.
    Name,
    /// Address of a route.
    Address,
    /// [`Route::service`].
    Service,
    /// [`Route::shares`].
    Shares,
    /// [`Route::rank`].
    Rank,
    /// [`Route::target_ms`].
    Target,
    /// [`Route::timeout_ms`].
    Timeout,
    /// [`Route::idempotent`].
    Idempotent,
    /// [`Service::cold_start_ms`].
    ColdStart,
    /// [`Service::cold_rate`].
    ColdRate,
}

/// Error or warning about a value.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Effect of the finding.
    pub severity: Severity,
    /// Entry with the value.
    pub entry: Entry,
    /// Field with the value.
    pub field: Field,
    /// The value.
    pub value: String,
    /// What is allowed or expected, and why.
    pub expected: String,
}

impl Configuration {
    /// Returns all findings, errors first, each group in the order of the configuration.
    #[must_use]
    pub fn findings(&self) -> Vec<Finding> {
        let mut checker = Checker { configuration: self, findings: Vec::new() };
        checker.names();
        checker.addresses();
        for (index, (_, route)) in self.routes.iter().enumerate() {
            checker.references(Entry::Route(index), route);
            checker.weights(Entry::Route(index), route);
            checker.times(Entry::Route(index), route);
        }
        checker.services();
        checker.findings.sort();
        checker.findings
    }

    /// Returns the error of the version if balancers that have `in_force` would not change over to this configuration.
    #[must_use]
    pub fn version_finding(&self, in_force: &Self) -> Option<Finding> {
        let (version, current) = (self.general.version, in_force.general.version);
        let is_stale = version < current || (version == current && !self.changes(in_force).is_empty());
        is_stale.then(|| Finding {
            severity: Severity::Error,
            entry: Entry::General,
            field: Field::Version,
            value: version.to_string(),
            expected: format!("above {current}, the version in force, as balancers never go back"),
        })
    }

    /// Returns the entry's name in the configuration, empty if it has none.
    #[must_use]
    pub fn name(&self, entry: Entry) -> &str {
        match entry {
            Entry::General => "",
            Entry::Route(index) => self.routes.get(index).map_or("", |(_, route)| &route.name),
            Entry::Service(index) => self.general.services.get(index).map_or("", |service| &service.name),
        }
    }
}

struct Checker<'a> {
    configuration: &'a Configuration,
    findings: Vec<Finding>,
}

impl Checker<'_> {
    fn add(&mut self, severity: Severity, entry: Entry, field: Field, value: &dyn Debug, expected: String) {
        self.findings.push(Finding { severity, entry, field, value: format!("{value:?}"), expected });
    }

    fn error(&mut self, entry: Entry, field: Field, value: &dyn Debug, expected: String) {
        self.add(Severity::Error, entry, field, value, expected);
    }

    fn warning(&mut self, entry: Entry, field: Field, value: &dyn Debug, expected: String) {
        self.add(Severity::Warning, entry, field, value, expected);
    }

    /// Finds names that two routes or two services share: logs and settings could not tell them apart. An empty name
    /// stands for one that could not be decoded, here and in references.
    fn names(&mut self) {
        let configuration = self.configuration;
        let name = |entry| Some(configuration.name(entry)).filter(|name| !name.is_empty());
        self.unique((0..configuration.routes.len()).map(Entry::Route), name, Field::Name);
        self.unique((0..configuration.general.services.len()).map(Entry::Service), name, Field::Name);
    }

    fn addresses(&mut self) {
        let routes = &self.configuration.routes;
        for (index, address) in routes.iter().enumerate().filter_map(|(index, route)| Some((index, route.0?))) {
            if !is_usable(address) {
                let expected = "a unicast IPv4 address with a port from 1 to 65535".to_owned();
                self.error(Entry::Route(index), Field::Address, &address, expected);
            }
        }
        let address = |entry| match entry {
            Entry::Route(index) => routes.get(index).and_then(|(address, _)| *address),
            _ => None,
        };
        self.unique((0..routes.len()).map(Entry::Route), address, Field::Address);
    }

    /// Finds entries whose `value` an earlier entry has.
    fn unique<V>(&mut self, entries: impl Iterator<Item = Entry>, value: impl Fn(Entry) -> Option<V>, field: Field)
    where
        V: Ord + Copy + Debug,
    {
        let mut first = BTreeMap::new();
        for entry in entries {
            let Some(value) = value(entry) else { continue };
            let earlier = *first.entry(value).or_insert(entry);
            if earlier != entry {
                let place = match earlier {
                    Entry::Route(index) => format!("route {index} ({:?})", self.configuration.name(earlier)),
                    Entry::Service(index) => format!("service {index}"),
                    Entry::General => continue,
                };
                let reason = if field == Field::Address { ", as only one of the two can ever match" } else { "" };
                self.error(entry, field, &value, format!("one that {place} does not have{reason}"));
            }
        }
    }

    fn references(&mut self, entry: Entry, route: &Route) {
        let known = |name: &str| {
            name.is_empty() || self.configuration.general.services.iter().any(|service| service.name == name)
        };
        let expected = || "one of the services of the configuration".to_owned();
        let unknown: Vec<&Share> = route.shares.iter().filter(|share| !known(&share.service)).collect();
        let is_known = known(&route.service);
        for share in unknown {
            self.error(entry, Field::Shares, &share.service, expected());
        }
        if route.shares.is_empty() && !is_known {
            self.error(entry, Field::Service, &route.service, expected());
        }
    }

    fn weights(&mut self, entry: Entry, route: &Route) {
        let unused: Vec<&Share> = route.shares.iter().filter(|share| share.weight == 0).collect();
        if unused.is_empty() {
            return;
        }
        if unused.len() == route.shares.len() {
            self.error(entry, Field::Shares, &0, "a weight above 0 for at least one service".to_owned());
            return;
        }
        for share in unused {
            let expected = "a weight above 0, as the service never gets a flow with 0".to_owned();
            self.warning(entry, Field::Shares, &share.service, expected);
        }
    }

    fn times(&mut self, entry: Entry, route: &Route) {
        let (target, timeout, idle) = (route.target_ms, route.timeout_ms, self.configuration.general.idle_ms);
        if timeout == 0 {
            let expected = "above 0, as every response comes after a timeout of 0".to_owned();
            self.error(entry, Field::Timeout, &timeout, expected);
            return;
        }
        if target > timeout {
            let expected = format!("at most {timeout}, the timeout, as callers no longer wait after it");
            self.error(entry, Field::Target, &target, expected);
        }
        if idle > 0 && timeout > idle {
            let expected =
                format!("at most {idle}, the idle time, as a flow may be discarded while a long request still runs");
            self.warning(entry, Field::Timeout, &timeout, expected);
        }
    }

    fn services(&mut self) {
        for (index, service) in self.configuration.general.services.iter().enumerate() {
            let entry = Entry::Service(index);
            let is_named = !service.name.is_empty();
            if is_named && !self.configuration.routes.iter().any(|(_, route)| gets_flows(route, &service.name)) {
                let expected = "a service that a route sends flows to, as this one gets none".to_owned();
                self.warning(entry, Field::Name, &service.name, expected);
            }
            self.cold_start(entry, service);
        }
    }

    fn cold_start(&mut self, entry: Entry, service: &Service) {
        if service.cold_rate > 0 && service.cold_start_ms == 0 {
            let expected =
                "above 0 with a bound on cold hosts, which otherwise depends on the hosts' own registrations"
                    .to_owned();
            self.warning(entry, Field::ColdStart, &0, expected);
        }
    }
}

/// Returns true when new flows of the route can reach `service`.
fn gets_flows(route: &Route, service: &str) -> bool {
    if route.shares.is_empty() {
        return route.service == service;
    }
    route.shares.iter().any(|share| share.service == service && share.weight > 0)
}
