//! Tests of health checks and load reports.
#![allow(missing_docs, clippy::pedantic, reason = "tests are named by their failure")]

use std::net::Ipv4Addr;
use std::sync::Arc;

use poplarpaddle::error::{Error, Kind};
use poplarpaddle::health::{Health, Report, Settings};
use poplarpaddle::map;
use poplarpaddle::time::Time;
use poplarpaddle::view::{Config, HostState, Service, Target};

const HOST: Ipv4Addr = Ipv4Addr::new(10, 1, 0, 1);

fn config() -> Config {
    let target = Target {
        name: "t".into(),
        zone: "z".into(),
        address: HOST,
        slots: 3,
        connections: 4400,
        draining: false,
        released: false,
    };
    let service = |name: &str, targets| {
        Arc::new(Service {
            name: name.into(),
            address: Ipv4Addr::new(10, 0, 0, 1),
            ports: Vec::new(),
            shards: 1,
            targets,
        })
    };
    Config {
        generation: 1,
        seed: 0,
        services: vec![service("bookings", vec![target]), service("crewdocs", Vec::new())],
        priorities: Vec::new(),
        addresses: map::seeded(0),
        endpoints: map::seeded(0),
    }
}

/// Guards against malformed reports that cause a panic, are accepted, or give an error without the reason.
#[test]
fn malformed_reports_give_descriptive_errors() {
    let long = vec![b' '; 5000];
    let cases: [(&[u8], &str); 6] = [
        (b"", "EOF while parsing a value at line 1 column 0"),
        (b"[]", "invalid length 0, expected struct Report"),
        (br#"{"service":"s"}"#, "missing field `slots`"),
        (br#"{"service":"s","slots":70000}"#, "invalid value: integer `70000`, expected u16"),
        (br#"{"service":"s","slots":1,"busy":0,"connections":0,"state":"happy"}"#, "unknown variant `happy`"),
        (&long, "load report of 5000 bytes exceeds the maximum of 4096 bytes"),
    ];
    for (body, expected) in cases {
        let error = Report::parse(body).unwrap_err();
        assert_eq!(error.kind(), Kind::Message);
        assert!(error.message().contains(expected), "{}", error.message());
    }
}

/// Guards against a state that does not match the polls: a host that is down too early or never recovers, or a
/// misplaced host that is not detected.
#[test]
fn state_is_derived_from_the_polls() {
    let report = |service: &str, state: &str| {
        format!(r#"{{"service":"{service}","slots":3,"busy":2,"connections":7,"state":"{state}","new_field":1}}"#)
    };
    let steps = [
        (Some(report("bookings", "cold")), HostState::Cold),
        (Some(report("bookings", "serving")), HostState::Serving),
        (None, HostState::Serving),
        (None, HostState::Serving),
        (Some(report("bookings", "serving")), HostState::Serving),
        (None, HostState::Serving),
        (None, HostState::Serving),
        (None, HostState::Down),
        (Some("no report".to_owned()), HostState::Serving),
        (Some(report("crewdocs", "serving")), HostState::Misplaced),
        (Some(report("bookings", "draining")), HostState::Draining),
    ];
    let mut health = Health::new(Settings::default());
    health.configure(&Arc::new(config()));
    health.set_hosts(Time::from_millis(0), &[HOST]);
    for (n, (body, expected)) in steps.iter().enumerate() {
        let now = health.deadline();
        assert_eq!(health.tick(now), [HOST], "step {n}");
        match body {
            Some(text) => drop(health.record_answer(HOST, Ok(text.as_bytes()))),
            None => health.record_answer(HOST, Err(&Error::new(Kind::Timeout, "none"))).unwrap(),
        }
        let (_, host) = health.hosts().next().unwrap();
        assert_eq!(host.state, *expected, "step {n}");
    }
}

/// Guards against a host that is never polled again after an answer was lost, and against late answers that are not
/// ignored.
#[test]
fn lost_answers_count_as_failures() {
    let mut health = Health::new(Settings::default());
    health.set_hosts(Time::from_millis(0), &[HOST]);
    for _ in 0..8 {
        let now = health.deadline();
        health.tick(now);
    }
    assert_eq!(health.hosts().next().unwrap().1.state, HostState::Down);
    health.record_answer(HOST, Ok(b"late")).unwrap();
    assert_eq!(health.hosts().next().unwrap().1.state, HostState::Down);
    health.set_hosts(Time::from_millis(9_000), &[]);
    assert_eq!((health.hosts().count(), health.deadline()), (0, Time::NEVER));
}

/// Guards against polls that use the whole bandwidth of a node for control traffic at the design size (29 hosts per
/// node, about 0.3 KB per poll, 4 KB/s for all control traffic), and against draining hosts that are detected after
/// more than 5 s.
#[test]
fn poll_rate_is_bounded_and_every_host_is_polled_within_5_s() {
    let body = br#"{"service":"bookings","slots":3,"busy":2,"connections":7,"state":"serving"}"#;
    for (hosts, max_polls) in [(1, 60), (4, 240), (29, 600)] {
        let hosts: Vec<Ipv4Addr> = (1..=hosts).map(|number| Ipv4Addr::new(10, 1, 0, number)).collect();
        let mut health = Health::new(Settings::default());
        health.set_hosts(Time::from_millis(0), &hosts);
        let mut last = std::collections::BTreeMap::new();
        let mut polls = 0;
        while !health.deadline().reached(Time::from_millis(70_000)) {
            let now = health.deadline();
            for host in health.tick(now) {
                health.record_answer(host, Ok(body)).unwrap();
                let before = last.insert(host, now).unwrap_or_else(|| Time::from_millis(0));
                assert!(now.since(before).as_millis() < 5000, "{host} was not polled for {:?}", now.since(before));
                polls += u32::from(now.reached(Time::from_millis(10_000)));
            }
        }
        assert!(polls <= max_polls, "{polls} polls per minute of {} hosts", hosts.len());
        assert!(polls >= 12 * u32::try_from(hosts.len()).unwrap());
    }
}

/// Guards against new work for a host whose first poll has not ended, because the host may run another service, and
/// against a host that never gets new work because its report is malformed.
#[test]
fn host_is_unknown_until_its_first_poll_ends() {
    let failure = Error::new(Kind::Unavailable, "refused");
    let good: &[u8] = br#"{"service":"bookings","slots":3,"busy":0,"connections":0,"state":"serving"}"#;
    for outcome in [Ok(good), Ok(&b"no report"[..]), Err(&failure)] {
        let mut health = Health::new(Settings::default());
        health.configure(&Arc::new(config()));
        health.set_hosts(Time::from_millis(0), &[HOST]);
        assert_eq!(health.host_of(HOST).map(|host| host.state), Some(HostState::Unknown));
        let first = health.deadline();
        assert!(first <= Time::from_millis(100), "openings wait for the first poll, which is too late: {first}");
        assert_eq!(health.tick(first), [HOST]);
        assert_eq!(health.host_of(HOST).map(|host| host.state), Some(HostState::Unknown));
        let _ = health.record_answer(HOST, outcome);
        assert_eq!(health.host_of(HOST).map(|host| host.state), Some(HostState::Serving));
    }
}
