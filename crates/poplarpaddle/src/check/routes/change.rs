//! Differences between two configurations.

use std::collections::BTreeMap;

use super::{Configuration, Field};
use crate::registry::{Address, General, Route, Service};

/// Difference between the configuration in force and its successor.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    /// The general settings differ.
    General(Difference),
    /// The route at an address differs.
    Route {
        /// Address of the route.
        address: Address,
        /// Name of the route, the new one if it was renamed.
        name: String,
        /// What differs.
        difference: Difference,
    },
    /// A service differs.
    Service {
        /// Name of the service.
        name: String,
        /// What differs.
        difference: Difference,
    },
}

/// How an entry differs between two configurations.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Difference {
    /// Only the newer configuration contains the entry.
    Added,
    /// Only the older configuration contains the entry.
    Removed,
    /// The value of a field differs.
    Changed {
        /// The field.
        field: Field,
        /// Value in the older configuration.
        before: String,
        /// Value in the newer configuration.
        after: String,
    },
}

impl Configuration {
    /// Returns the differences from `in_force` to this configuration except for the version, sorted.
    #[must_use]
    pub fn changes(&self, in_force: &Self) -> Vec<Change> {
        let idle = |general: &General| vec![(Field::Idle, general.idle_ms.to_string())];
        let mut changes: Vec<Change> =
            changed(idle(&in_force.general), idle(&self.general)).map(Change::General).collect();
        let (before, after) = (routes(in_force), routes(self));
        let differences = compare(&before, &after, route_fields);
        changes.extend(differences.into_iter().map(|(address, difference)| {
            let route = after.get(&address).or_else(|| before.get(&address));
            let name = route.map_or_else(String::new, |route| route.name.clone());
            Change::Route { address, name, difference }
        }));
        let differences = compare(&services(in_force), &services(self), service_fields);
        let change = |(name, difference): (&str, Difference)| Change::Service { name: name.to_owned(), difference };
        changes.extend(differences.into_iter().map(change));
        changes.sort();
        changes
    }
}

fn routes(configuration: &Configuration) -> BTreeMap<Address, &Route> {
    configuration.routes.iter().filter_map(|(address, route)| Some(((*address)?, route))).collect()
}

fn services(configuration: &Configuration) -> BTreeMap<&str, &Service> {
    configuration.general.services.iter().map(|service| (service.name.as_str(), service)).collect()
}

/// Returns the differences between the values of two maps, by the values' fields.
fn compare<K: Ord + Copy, V: Copy>(
    before: &BTreeMap<K, V>,
    after: &BTreeMap<K, V>,
    fields: impl Fn(V) -> Vec<(Field, String)>,
) -> Vec<(K, Difference)> {
    let removed = before.keys().filter(|key| !after.contains_key(key)).map(|key| (*key, Difference::Removed));
    let mut differences: Vec<(K, Difference)> = removed.collect();
    for (key, value) in after {
        match before.get(key) {
            None => differences.push((*key, Difference::Added)),
            Some(older) => {
                let changed = changed(fields(*older), fields(*value));
                differences.extend(changed.map(|difference| (*key, difference)));
            }
        }
    }
    differences
}

/// Returns the fields whose values differ. Both lists have the same fields in the same order.
fn changed(before: Vec<(Field, String)>, after: Vec<(Field, String)>) -> impl Iterator<Item = Difference> {
    let pairs = before.into_iter().zip(after).filter(|(before, after)| before != after);
    pairs.map(|((field, before), (_, after))| Difference::Changed { field, before, after })
}

fn route_fields(route: &Route) -> Vec<(Field, String)> {
    vec![
        (Field::Name, format!("{:?}", route.name)),
        (Field::Service, destination(route)),
        (Field::Rank, route.rank.to_string()),
        (Field::Target, route.target_ms.to_string()),
        (Field::Timeout, route.timeout_ms.to_string()),
        (Field::Idempotent, route.idempotent.to_string()),
    ]
}

fn service_fields(service: &Service) -> Vec<(Field, String)> {
    vec![(Field::ColdStart, thousandths(service.cold_start_ms)), (Field::ColdRate, thousandths(service.cold_rate))]
}

/// Returns the service of a route, or its services with their weights.
fn destination(route: &Route) -> String {
    let shares: Vec<String> =
        route.shares.iter().map(|share| format!("{:?} {}", share.service, share.weight)).collect();
    if shares.is_empty() { format!("{:?}", route.service) } else { shares.join(", ") }
}

/// Returns a number of thousandths in units.
fn thousandths(number: u32) -> String {
    (f64::from(number) / 1000.0).to_string()
}
