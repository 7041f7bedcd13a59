//! Tests of the generation in force at a node.

use std::net::SocketAddrV4;
use std::sync::Arc;

use poplarpaddle::config::{Digest, Manifest, Offer, Released, Row, State, bucket_count, bucket_of};
use poplarpaddle::error::Kind;
use poplarpaddle::object::{Item, Kind as ItemKind, Set};

use crate::support::{add_target, generation, set};

fn apply(state: &mut State, set: &Set, number: u64) -> Offer {
    let (manifest, parts) = generation(set, number);
    let Offer::Missing(missing) = state.offer(&manifest.encode().unwrap()).unwrap() else {
        return Offer::Current;
    };
    let wanted = parts.iter().filter(|part| missing.contains(&Digest::of(part)));
    wanted.map(|part| state.supply(part).unwrap()).last().unwrap()
}

/// Guards against a node that returns to an older configuration or applies an incomplete newer one.
#[test]
fn generation_never_goes_back() {
    let mut state = State::new("kauri");
    let old = set(4, 3);
    assert_eq!(apply(&mut state, &old, 2), Offer::Applied);
    let mut new = old.clone();
    add_target(&mut new, 1, 900);
    let (manifest, parts) = generation(&new, 3);
    let bytes = manifest.encode().unwrap();
    let Offer::Missing(missing) = state.offer(&bytes).unwrap() else { panic!("the changed part is missing") };
    assert_eq!(missing.len(), 1, "unchanged parts must not be fetched again");
    assert_eq!(state.generation(), 2, "the generation must not change before every part is present");
    let older = generation(&old, 1).0.encode().unwrap();
    assert_eq!(state.offer(&older).unwrap(), Offer::Stale);
    let part = parts.iter().find(|part| Digest::of(part) == missing[0]).unwrap();
    assert_eq!(state.supply(part).unwrap(), Offer::Applied);
    assert_eq!(state.generation(), 3);
    assert_eq!(state.manifest(), Some(bytes.as_slice()));
    assert_eq!(state.digest(), Digest::of(&bytes));
    assert_eq!(state.part(&missing[0]), Some(part.as_slice()));
    for (offered, expected) in [(&older, Offer::Stale), (&bytes, Offer::Current)] {
        assert_eq!(state.offer(offered).unwrap(), expected);
        assert_eq!(state.generation(), 3);
    }
}

/// Guards against a node that accepts parts that its manifest does not list, the configuration of another fleet, or a
/// generation that does not compile.
#[test]
fn invalid_content_is_rejected() {
    let fleet = set(4, 3);
    let (manifest, parts) = generation(&fleet, 2);
    let mut state = State::new("kauri");
    apply(&mut state, &fleet, 1);
    let changed = |change: &dyn Fn(&mut Manifest)| {
        let mut manifest = manifest.clone();
        change(&mut manifest);
        poplarpaddle::config::encode(&manifest).unwrap()
    };
    let swapped = changed(&|manifest| manifest.parts.rotate_left(1));
    let cases = [
        (changed(&|manifest| manifest.fleet = "kitami".to_owned()), Kind::Message, "fleet is \"kitami\""),
        (changed(&|manifest| manifest.generation = 1), Kind::Digest, "digest of generation 1 is"),
        (changed(&|manifest| manifest.generation = 0), Kind::Message, "generation is 0, allowed: 1 or more"),
        (changed(&|manifest| manifest.format = 9), Kind::Message, "format is 9, allowed: 1"),
        (changed(&|manifest| manifest.parts.clear()), Kind::Message, "number of parts is 0, allowed: 1 to 8192"),
        (changed(&|manifest| manifest.priorities.clear()), Kind::Object, "priority is urgent, allowed: a priority"),
        (swapped, Kind::Object, "bucket is"),
        (b"{\"format\":1,".to_vec(), Kind::Message, "manifest is malformed: EOF"),
        (vec![b' '; 1_000_001], Kind::Limit, "manifest has 1000001 bytes, allowed: up to 1000000"),
    ];
    for (bytes, kind, text) in cases {
        let error = state.offer(&bytes).unwrap_err();
        assert_eq!(error.kind(), kind, "{error}");
        assert!(error.message().contains(text), "{error}");
        assert_eq!(state.generation(), 1);
    }
    let mut fresh = State::new("kauri");
    fresh.offer(&manifest.encode().unwrap()).unwrap();
    let mut damaged = parts.iter().find(|part| part.len() > 100).unwrap().clone();
    damaged[40] ^= 1;
    assert_eq!(fresh.supply(&damaged).unwrap_err().kind(), Kind::Digest);
    assert_eq!(fresh.generation(), 0);
}

/// Guards against a change that recompiles the whole configuration, which needs more memory than the control plane of a
/// node may use, and against shared services that keep outdated priority indices.
#[test]
fn services_of_unchanged_parts_are_shared() {
    let mut fleet = set(40, 3);
    let mut state = State::new("kauri");
    apply(&mut state, &fleet, 1);
    let before = Arc::clone(state.current().unwrap());
    add_target(&mut fleet, 1, 900);
    apply(&mut state, &fleet, 2);
    let after = Arc::clone(state.current().unwrap());
    let changed_bucket = bucket_of("service-1", 16);
    for (old, new) in before.services.iter().zip(&after.services) {
        assert_eq!(Arc::ptr_eq(old, new), bucket_of(&new.name, 16) != changed_bucket, "{}", new.name);
    }
    let urgent = fleet.priorities.get_mut("urgent").unwrap();
    urgent.rank = 2;
    apply(&mut state, &fleet, 3);
    let config = state.current().unwrap();
    assert!(config.services.iter().all(|service| config.priorities[service.ports[0].priority].name == "urgent"));
}

/// Guards against a node whose manifest and parts differ from those of its peers after an update, and against a node
/// that never receives a generation because updates to it fail.
#[test]
fn updates_rebuild_the_full_manifest_and_parts() {
    let mut fleet = set(40, 3);
    let (mut server, mut node) = (State::new("kauri"), State::new("kauri"));
    assert_eq!(
        node.base(),
        Digest::default(),
        "a node without a configuration must request the full manifest and parts"
    );
    for state in [&mut server, &mut node] {
        apply(state, &fleet, 1);
    }
    add_target(&mut fleet, 1, 900);
    fleet.targets.remove("host-6").unwrap();
    let gone = fleet.services.remove("service-9").unwrap();
    fleet.targets.retain(|_, target| target.service != gone.name);
    fleet.priorities.get_mut("normal").unwrap().queue_ms = 700;
    apply(&mut server, &fleet, 2);
    let update = server.update(&node.base()).unwrap().to_vec();
    assert_eq!(server.update(&server.digest()), None);
    let text = String::from_utf8(update.clone()).unwrap();
    let cases = [
        (text.replacen("host-900", "host-901", 1), Kind::Digest, "digest of the part is"),
        (text.replacen("\"queue_ms\":700", "\"queue_ms\":701", 1), Kind::Digest, "digest of the manifest is"),
        (text.replacen("\"format\":1", "\"format\":2", 1), Kind::Message, "format is 2, allowed: 1"),
        (text.replacen("\"index\":", "\"index\":90", 1), Kind::Message, "allowed: below 16"),
        (text[..60].to_owned(), Kind::Message, "update is malformed"),
    ];
    for (damaged, kind, expected) in cases {
        assert_ne!(damaged, text);
        let error = node.offer(damaged.as_bytes()).unwrap_err();
        assert_eq!(error.kind(), kind, "{error}");
        assert!(error.message().contains(expected), "{error}");
        assert_eq!(
            (node.generation(), node.base()),
            (1, Digest::default()),
            "the next fetch must request the full manifest and parts"
        );
    }
    let mut late = State::new("kauri");
    assert_eq!(late.offer(&update).unwrap_err().kind(), Kind::Digest);
    assert_eq!(node.offer(&update).unwrap(), Offer::Applied);
    assert_eq!((node.manifest(), node.digest(), node.base()), (server.manifest(), server.digest(), server.digest()));
    let manifest = Manifest::decode(node.manifest().unwrap()).unwrap();
    assert!(manifest.digests().all(|digest| node.part(&digest) == server.part(&digest)));
    assert_eq!(node.current().unwrap().services, server.current().unwrap().services);
    assert_eq!(node.offer(&update).unwrap(), Offer::Current);
}

/// Guards against responses of old flows that no longer map to their service, and against new flows on released
/// targets.
#[test]
fn released_endpoints_stay_mapped() {
    let mut fleet = set(2, 2);
    let moved = fleet.targets.remove("host-0").unwrap();
    let gone = fleet.services.remove("service-1").unwrap();
    let lost: Vec<Row> = ["host-2", "host-3"].map(|name| Row::from(&fleet.targets.remove(name).unwrap())).into();
    let kept = fleet.services["service-0"].clone();
    let group = |service: &poplarpaddle::object::Service, targets: Vec<Row>| Released {
        service: service.name.clone(),
        address: service.address,
        ports: service.ports.clone(),
        targets,
        not_before_ms: 60_000,
    };
    let (mut manifest, parts) = generation(&fleet, 1);
    manifest.released = vec![group(&kept, vec![Row::from(&moved)]), group(&gone, lost)];
    let mut state = State::new("kauri");
    state.offer(&manifest.encode().unwrap()).unwrap();
    let applied = parts.iter().filter(|part| manifest.digests().any(|digest| digest == Digest::of(part)));
    assert_eq!(applied.map(|part| state.supply(part).unwrap()).last(), Some(Offer::Applied));
    let config = state.current().unwrap();
    let names: Vec<&str> = config.services.iter().map(|service| service.name.as_str()).collect();
    assert_eq!(names, ["service-0", "service-1"]);
    let flags = |index: usize| config.services[index].targets.iter().map(|target| target.released).collect::<Vec<_>>();
    assert_eq!(flags(0), [false, true]);
    assert_eq!(flags(1), [true, true]);
    for (endpoint, service) in [("127.16.0.1:80", 0), ("127.16.0.2:80", 0), ("127.16.0.3:80", 1)] {
        assert_eq!(config.endpoints[&endpoint.parse::<SocketAddrV4>().unwrap()].0, service, "{endpoint}");
    }
    assert_eq!(config.addresses[&"10.0.0.2:80".parse::<SocketAddrV4>().unwrap()].0, 1);
}

/// Guards against bucket indices that change between versions, and against unnecessary changes of the bucket count,
/// which rewrite every part.
#[test]
fn buckets_are_stable() {
    let counts = [(0, None, 16), (20, None, 16), (5_121, None, 32), (73_000, None, 256), (73_000, Some(1024), 1024)];
    for (targets, before, expected) in counts {
        assert_eq!(bucket_count(targets, before).unwrap(), expected, "{targets} targets after {before:?} buckets");
    }
    assert_eq!(bucket_count(3_000_000, None).unwrap_err().kind(), Kind::Limit);
    let found = ["bookings", "crewdocs", "pour-slot", "catalogue"].map(|name| bucket_of(name, 16));
    assert_eq!(found, [14, 12, 4, 10]);
}

/// Guards against requests that count as idempotent without the attribute, and against a digest that changes for services
/// without it, which would republish all parts.
#[test]
fn ports_are_idempotent_only_by_their_attribute() {
    let text = |port: &str| format!(r#"{{"name": "a", "address": "10.0.0.1", "ports": [{port}]}}"#);
    let read = |port: &str| Item::from_json("a.json", ItemKind::Service, text(port).as_bytes());
    for (port, expected) in [
        (r#"{"port":80,"priority":"urgent"}"#, false),
        (r#"{"port":80,"priority":"urgent","idempotent":false}"#, false),
        (r#"{"port":80,"priority":"urgent","idempotent":true}"#, true),
    ] {
        let Ok(Item::Service(service)) = read(port) else { panic!("{port}") };
        let is_written = serde_json::to_string(&service).unwrap().contains("idempotent");
        assert_eq!((service.ports[0].idempotent, is_written), (expected, expected), "{port}");
        let mut fleet = set(1, 3);
        fleet.services.get_mut("service-0").unwrap().ports = service.ports;
        let mut state = State::new("kauri");
        apply(&mut state, &fleet, 1);
        assert_eq!(state.current().unwrap().services[0].ports[0].idempotent, expected, "{port}");
    }
    let faults = read(r#"{"port":80,"priority":"urgent","idempotent":"yes"}"#).unwrap_err();
    assert_eq!(faults[0].to_string(), r#"a.json: ports[0].idempotent is "yes", allowed: true or false"#);
}
