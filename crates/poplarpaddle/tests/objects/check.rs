//! Tests of parsing and checking objects.

use poplarpaddle::check;
use poplarpaddle::config::{Entry, Row, newly_released, still_released};
use poplarpaddle::object::{Item, Kind, Set};
use poplarpaddle::time::Time;
use serde_json::json;

use crate::support::set;

fn lines(faults: &[impl ToString]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

/// Guards against a parser that stops at the first fault, does not name the field or accepts an unknown one.
#[test]
fn every_fault_of_a_file_is_named() {
    let cases = [
        (Kind::Zone, r#"{"name": 5, "regoin": "nz-south"}"#),
        (Kind::Priority, r#"{"name": "urgent", "rank": -1, "share": 900, "queue_ms": "long"}"#),
        (Kind::Service, r#"{"name": "bookings", "address": "10.0.0", "ports": [{"port": 70000}, 80], "shards": 1.5}"#),
        (Kind::Service, r#"{"name": "bookings", "address": "10.0.0.1", "ports": "80", "shards": null}"#),
        (Kind::Target, r#"{"name": "b-1", "slots": 3, "draining": "no"}"#),
        (Kind::Target, r#"["b-1"]"#),
        (Kind::Target, r#"{"name": "b-1""#),
    ];
    let read = |(kind, text): (Kind, &str)| lines(&Item::from_json("a.json", kind, text.as_bytes()).unwrap_err());
    insta::assert_snapshot!(cases.map(read).join("\n--\n"));
}

fn faulty() -> Set {
    let object = |kind: Kind, value: &serde_json::Value| Item::from_value("value", kind, value).unwrap();
    let port = |port: u16, priority: &str| json!({"port": port, "priority": priority});
    let service =
        |name: &str, address: &str, ports: serde_json::Value| json!({"name": name, "address": address, "ports": ports});
    let target = |name: &str, service: &str, zone: &str, address: &str, slots: u16| json!({"name": name, "service": service, "zone": zone, "address": address, "slots": slots, "connections": 4400});
    let long = "x".repeat(64);
    let mut wide = service("wide", "10.0.0.1", json!([port(0, "urgent"), port(80, "late"), port(80, "urgent")]));
    wide["shards"] = json!(0);
    let objects = [
        (Kind::Zone, json!({"name": "Zone A", "region": ""})),
        (Kind::Zone, json!({"name": "a", "region": "south"})),
        (Kind::Priority, json!({"name": "urgent", "rank": 0, "share": 60, "queue_ms": 0})),
        (Kind::Priority, json!({"name": "normal", "rank": 0, "share": 101, "queue_ms": 600_001})),
        (Kind::Service, wide),
        (Kind::Service, service("empty", "10.0.0.1", json!([]))),
        (Kind::Service, service("group", "224.0.0.1", json!([port(80, "urgent")]))),
        (Kind::Service, service("nowhere", "0.0.0.0", json!([port(80, "urgent")]))),
        (Kind::Service, service(&long, "255.255.255.255", json!([port(80, "urgent")]))),
        (Kind::Target, target("t1", "wide", "a", "127.0.0.1", 3)),
        (Kind::Target, target("t2", "group", "a", "127.0.0.1", 4)),
        (Kind::Target, target("t3", "wide", "a", "127.0.0.1", 3)),
        (Kind::Target, target("t4", "absent", "b", "10.0.0.1", 0)),
        (Kind::Target, target("t5", "group", "a", "239.1.1.1", 3)),
    ];
    let mut set = Set::default();
    for (kind, value) in objects {
        let item = object(kind, &value);
        let name = item.name().to_owned();
        set.insert("value", &name, item).unwrap();
    }
    set
}

/// Guards against a check that misses faults of a set.
#[test]
fn every_fault_of_a_set_is_found_in_one_pass() {
    insta::assert_snapshot!(lines(&check::set(&faulty())));
    assert_eq!(check::set(&set(5, 4)), [], "a valid set must have no faults");
}

/// Guards against an endpoint or address that another service uses while responses of old flows are still in flight.
#[test]
fn released_endpoints_are_kept_from_other_services() {
    let old = set(2, 2);
    let entries: Vec<Entry> = poplarpaddle::config::to_parts(&old, 1).remove(0).services;
    assert_eq!(entries[0].targets[0], Row::from(&old.targets["host-0"]));
    let mut new = old.clone();
    new.targets.get_mut("host-0").unwrap().service = "service-1".to_owned();
    let freed = old.services["service-0"].address;
    new.services.remove("service-0");
    new.targets.retain(|_, target| target.service == "service-1");
    new.services.get_mut("service-1").unwrap().address = freed;
    let end = Time::from_millis(60_000);
    let groups = newly_released(&entries, &new, end);
    let found = check::released(&new, &groups, Time::from_millis(500));
    insta::assert_snapshot!(lines(&found));
    assert_eq!(check::released(&new, &groups, end), [], "the endpoints must be free when the reservation has ended");
    assert_eq!(still_released(&groups, &new, Time::from_millis(59_999)).len(), groups.len());
    assert_eq!(still_released(&groups, &new, end), []);
    assert_eq!(
        still_released(&groups, &old, Time::from_millis(1)),
        [],
        "the same service may use its endpoints again at once"
    );
}
