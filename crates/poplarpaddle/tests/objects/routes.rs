//! Tests of the check of a configuration of routes and services.

use poplarpaddle::check::routes::{Change, Configuration, Difference, Entry, Field, Severity};
use poplarpaddle::registry::{Address, General, Route, Service, Share};

fn route(name: &str) -> Route {
    let service = "a".to_owned();
    Route { name: name.to_owned(), service, target_ms: 300, timeout_ms: 2000, ..Route::default() }
}

fn address(port: u16) -> Address {
    Address::new([198, 18, 0, 1].into(), port)
}

fn service(name: &str) -> Service {
    Service { name: name.to_owned(), cold_start_ms: 2000, cold_rate: 4500 }
}

fn share(service: &str, weight: u32) -> Share {
    Share { service: service.to_owned(), weight }
}

/// Two routes; the second divides its flows between both services.
fn valid() -> Configuration {
    let shares = vec![share("a", 90), share("b", 10)];
    let routes = vec![(Some(address(80)), route("r-1")), (Some(address(443)), Route { shares, ..route("r-2") })];
    let general = General { version: 7, idle_ms: 15_000, services: vec![service("a"), service("b")] };
    Configuration { general, routes }
}

/// Returns the only finding after an edit of the valid configuration: severity, entry, field, value.
fn only_finding(edit: impl FnOnce(&mut Configuration)) -> (Severity, Entry, Field, String) {
    let mut configuration = valid();
    edit(&mut configuration);
    let mut findings = configuration.findings();
    assert_eq!(findings.len(), 1, "{findings:?}");
    let finding = findings.remove(0);
    assert!(!finding.expected.is_empty());
    (finding.severity, finding.entry, finding.field, finding.value)
}

#[test]
fn a_valid_configuration_has_no_findings() {
    assert_eq!(valid().findings(), []);
}

/// Guards against a rule that does not apply, or that reports another place or value.
#[test]
fn every_error_is_named_with_its_place() {
    use Severity::Error;
    let (first, second) = (Entry::Route(0), Entry::Route(1));
    let found = only_finding(|c| c.routes[1].0 = Some(address(80)));
    assert_eq!(found, (Error, second, Field::Address, "198.18.0.1:80".to_owned()));
    let found = only_finding(|c| c.routes[0].0 = Some("224.0.0.1:80".parse().unwrap()));
    assert_eq!(found, (Error, first, Field::Address, "224.0.0.1:80".to_owned()));
    let found = only_finding(|c| c.routes[1].1.name = "r-1".to_owned());
    assert_eq!(found, (Error, second, Field::Name, "\"r-1\"".to_owned()));
    let found = only_finding(|c| c.general.services.push(service("b")));
    assert_eq!(found, (Error, Entry::Service(2), Field::Name, "\"b\"".to_owned()));
    let found = only_finding(|c| c.routes[0].1.service = "x".to_owned());
    assert_eq!(found, (Error, first, Field::Service, "\"x\"".to_owned()));
    let found = only_finding(|c| c.routes[1].1.shares.push(share("x", 1)));
    assert_eq!(found, (Error, second, Field::Shares, "\"x\"".to_owned()));
    let found = only_finding(|c| c.routes[0].1.shares = vec![share("a", 0), share("b", 0)]);
    assert_eq!(found, (Error, first, Field::Shares, "0".to_owned()));
    let found = only_finding(|c| c.routes[0].1.timeout_ms = 0);
    assert_eq!(found, (Error, first, Field::Timeout, "0".to_owned()));
    let found = only_finding(|c| c.routes[0].1.target_ms = 2001);
    assert_eq!(found, (Error, first, Field::Target, "2001".to_owned()));
}

/// Guards against a warning that prevents a configuration which works, and against one that is missing.
#[test]
fn what_has_no_effect_or_may_surprise_is_a_warning() {
    use Severity::Warning;
    let found = only_finding(|c| c.routes[0].1.shares = vec![share("a", 1), share("b", 0)]);
    assert_eq!(found, (Warning, Entry::Route(0), Field::Shares, "\"b\"".to_owned()));
    let found = only_finding(|c| c.general.services.push(service("c")));
    assert_eq!(found, (Warning, Entry::Service(2), Field::Name, "\"c\"".to_owned()));
    let found = only_finding(|c| c.routes[0].1.timeout_ms = 15_001);
    assert_eq!(found, (Warning, Entry::Route(0), Field::Timeout, "15001".to_owned()));
    let found = only_finding(|c| c.general.services[0].cold_start_ms = 0);
    assert_eq!(found, (Warning, Entry::Service(0), Field::ColdStart, "0".to_owned()));
}

#[test]
fn all_findings_come_at_once_and_errors_first() {
    let mut configuration = valid();
    configuration.general.services.insert(0, service("c"));
    configuration.routes[0].1.timeout_ms = 0;
    configuration.routes[1].1.target_ms = 5000;
    let findings = configuration.findings();
    let places: Vec<_> = findings.iter().map(|finding| (finding.severity, finding.entry)).collect();
    let expected = [
        (Severity::Error, Entry::Route(0)),
        (Severity::Error, Entry::Route(1)),
        (Severity::Warning, Entry::Service(0)),
    ];
    assert_eq!(places, expected);
}

/// Guards against a version that balancers ignore, because they have it already or a later one.
#[test]
fn a_version_must_be_above_the_one_in_force_unless_nothing_differs() {
    let in_force = valid();
    assert_eq!(valid().version_finding(&in_force), None);
    let mut newer = valid();
    newer.routes[0].1.timeout_ms = 2500;
    for (version, is_valid) in [(6, false), (7, false), (8, true)] {
        newer.general.version = version;
        let finding = newer.version_finding(&in_force);
        assert_eq!(finding.is_none(), is_valid, "{version}: {finding:?}");
        assert!(finding.is_none_or(|finding| finding.field == Field::Version && finding.value == version.to_string()));
    }
}

#[test]
fn differences_are_named_and_sorted() {
    let mut newer = valid();
    newer.general.idle_ms = 20_000;
    newer.routes[1].0 = Some(address(8443));
    newer.routes[0].1.service = "b".to_owned();
    newer.general.services = vec![service("c"), Service { cold_rate: 2250, ..service("a") }];
    let changed = |field, before: &str, after: &str| Difference::Changed {
        field,
        before: before.to_owned(),
        after: after.to_owned(),
    };
    let route =
        |port, name: &str, difference| Change::Route { address: address(port), name: name.to_owned(), difference };
    let service = |name: &str, difference| Change::Service { name: name.to_owned(), difference };
    let expected = [
        Change::General(changed(Field::Idle, "15000", "20000")),
        route(80, "r-1", changed(Field::Service, "\"a\"", "\"b\"")),
        route(443, "r-2", Difference::Removed),
        route(8443, "r-2", Difference::Added),
        service("a", changed(Field::ColdRate, "4.5", "2.25")),
        service("b", Difference::Removed),
        service("c", Difference::Added),
    ];
    assert_eq!(newer.changes(&valid()), expected);
}
