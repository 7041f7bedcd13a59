//! Tests of publishing to a store with conflicts, lost responses and outages.

use std::time::Duration;

use poplarpaddle::config::PublishId;
use poplarpaddle::error::Kind;
use poplarpaddle::object::{Change, Set};
use poplarpaddle::publish::{End, Published};
use poplarpaddle::store::Call;
use poplarpaddle::time::Time;
use serde_json::json;

use crate::fake::{Behavior, Fake};
use crate::support::{Operator, add_target, fill, manifest, set};

const START: Time = Time::from_millis(1_000_000);

fn filled(set: &Set) -> Fake {
    let store = Fake::default();
    fill(&store, set);
    store
}

fn published(end: End) -> Published {
    match end {
        End::Published(published) => published,
        other => panic!("{other:?}"),
    }
}

fn names(changes: &[Change]) -> Vec<String> {
    changes.iter().map(ToString::to_string).collect()
}

fn is_manifest_write(call: &Call) -> bool {
    matches!(call, Call::Put { kind, .. } if kind == "manifest")
}

fn publish(store: &Fake, seed: u64, now: Time) -> End {
    Operator::new(seed, now).run(store, |_call| Behavior::Answer)
}

fn add(store: &Fake, index: u32) {
    let mut extra = Set::default();
    add_target(&mut extra, 0, index);
    fill(store, &extra);
}

/// Guards against a publish that writes more than the change requires, changes the seed or reuses a generation.
#[test]
fn a_change_rewrites_one_part() {
    let store = filled(&set(6, 4));
    let first = published(publish(&store, 1, START));
    assert_eq!((first.generation, first.changes.len()), (1, 3 + 2 + 6 + 24));
    let seed = manifest(&store).seed;
    store.log.lock().unwrap().clear();
    assert_eq!(publish(&store, 2, START), End::Unchanged { generation: 1 });
    assert!(
        store.log.lock().unwrap().iter().all(|call| !matches!(call, Call::Put { .. })),
        "an unchanged set must cause no write"
    );
    add(&store, 900);
    store.log.lock().unwrap().clear();
    let second = published(publish(&store, 3, START));
    assert_eq!((second.generation, second.parts), (2, 1));
    assert_eq!(names(&second.changes), ["added target \"host-900\""]);
    let writes = store.log.lock().unwrap().iter().filter(|call| matches!(call, Call::Put { .. })).count();
    assert_eq!(writes, 2, "only one part and the manifest must be written");
    assert_eq!(manifest(&store).seed, seed);
}

/// Guards against a publish that silently overwrites what another operator published in the meantime.
#[test]
fn a_publish_after_another_one_reports_a_conflict() {
    let store = filled(&set(6, 4));
    publish(&store, 1, START);
    add(&store, 900);
    let mut slow = Operator::new(2, START);
    while !slow.call().is_ok_and(|call| is_manifest_write(&call)) {
        slow.step(&store, Behavior::Answer);
    }
    add(&store, 901);
    store.put("zone", "nz-south-a", json!({"name": "nz-south-a", "region": "nz-west"}));
    let first = published(publish(&store, 3, START));
    let before = manifest(&store);
    let End::Conflict(conflict) = slow.run(&store, |_call| Behavior::Answer) else {
        panic!("the publish must end with a conflict")
    };
    assert_eq!((conflict.generation, conflict.publish), (first.generation, first.publish));
    let expected = ["changed zone \"nz-south-a\"", "added target \"host-900\"", "added target \"host-901\""];
    assert_eq!(names(&conflict.changes), expected);
    assert_eq!(manifest(&store), before);
    let error = End::Conflict(conflict).error().unwrap();
    assert_eq!(error.kind(), Kind::Conflict);
    assert!(error.message().contains("added target \"host-901\""), "{error}");
}

/// Guards against a generation that balancers refuse because they have one with the same number, or a higher one, from
/// before the store was restored from a copy.
#[test]
fn a_generation_is_higher_than_those_in_force_that_a_restored_store_has_lost() {
    let store = filled(&set(1, 3));
    assert_eq!(published(publish(&store, 1, START)).generation, 1);
    store.put("status", "zone-0", json!({"generation": 4}));
    store.put("status", "zone-1", json!({"generation": 3}));
    store.put("status", "zone-2", json!("unreadable"));
    assert_eq!(published(publish(&store, 2, START)).generation, 5, "the objects in the store are not in force");
    assert_eq!(publish(&store, 3, START), End::Unchanged { generation: 5 });
    add(&store, 900);
    assert_eq!(published(publish(&store, 4, START)).generation, 6);
}

/// Guards against a lost response that is treated as a success or a failure, or leads to a second generation.
#[test]
fn a_lost_answer_is_read_back() {
    // Behavior of the store for each manifest write, then the expected number of manifest writes.
    let cases = [
        (vec![Behavior::LoseAnswer], 1),
        (vec![Behavior::DropRequest, Behavior::Answer], 2),
        (vec![Behavior::DropRequest, Behavior::DropRequest, Behavior::LoseAnswer], 3),
        (vec![Behavior::Refuse, Behavior::LoseAnswer], 2),
    ];
    for (behaviors, attempts) in cases {
        let store = filled(&set(2, 2));
        let mut remaining = behaviors.clone().into_iter();
        let mut operator = Operator::new(5, START);
        let end = operator
            .run(&store, |call| if is_manifest_write(call) { remaining.next().unwrap() } else { Behavior::Answer });
        let result = published(end);
        assert_eq!((result.generation, result.publish), (1, operator.publish.id()), "{behaviors:?}");
        assert_eq!(manifest(&store).generation, 1);
        assert_eq!(store.get("manifest", "kauri").unwrap().version, 1, "{behaviors:?}");
        let writes = store.log.lock().unwrap().iter().filter(|call| is_manifest_write(call)).count();
        assert_eq!(writes, attempts, "{behaviors:?}");
    }
}

/// Guards against a successful write with a lost response that is reported as a conflict, because another operator
/// publishes before the manifest is read back.
#[test]
fn a_lost_success_is_found_in_a_later_manifest() {
    for (behavior, accepted) in [(Behavior::LoseAnswer, true), (Behavior::DropRequest, false)] {
        let store = filled(&set(2, 2));
        let mut first = Operator::new(6, START);
        while !first.call().is_ok_and(|call| is_manifest_write(&call)) {
            first.step(&store, Behavior::Answer);
        }
        first.step(&store, behavior);
        add(&store, 900);
        published(publish(&store, 7, START));
        match first.run(&store, |_call| Behavior::Answer) {
            End::Published(result) => assert!(accepted && result.generation == 1),
            End::Conflict(conflict) => assert!(!accepted && conflict.generation == 1),
            other => panic!("{other:?}"),
        }
    }
}

/// Guards against a publish that never ends, a partly written generation, and a definite result for a write whose
/// outcome is unknown.
#[test]
fn a_publish_fails_during_an_outage_and_leaves_no_manifest() {
    let total = {
        let store = filled(&set(6, 2));
        publish(&store, 8, START);
        store.log.lock().unwrap().len()
    };
    for up in 0..total {
        let store = filled(&set(6, 2));
        let mut remaining = up;
        let mut operator = Operator::new(9, START);
        let end = operator.run(&store, |_call| {
            let behavior = if remaining > 0 { Behavior::Answer } else { Behavior::Refuse };
            remaining = remaining.saturating_sub(1);
            behavior
        });
        let End::Failed(error) = end else { panic!("{end:?} after {up} calls") };
        assert!(matches!(error.kind(), Kind::Unavailable | Kind::Timeout), "{error}");
        assert!(store.get("manifest", "kauri").is_none(), "after {up} calls");
        assert!(operator.now.since(START) <= Duration::from_secs(20), "after {up} calls");
        let again = published(publish(&store, 10, START));
        assert_eq!(again.generation, 1, "parts written by the failed publish must not affect the next one");
    }
    let store = filled(&set(2, 2));
    let mut down = false;
    let end = Operator::new(11, START).run(&store, |call| {
        let behavior = if down { Behavior::Refuse } else { Behavior::Answer };
        down |= is_manifest_write(call);
        if is_manifest_write(call) { Behavior::LoseAnswer } else { behavior }
    });
    assert!(matches!(end, End::Unconfirmed { .. }), "{end:?}");
    assert_eq!(end.error().unwrap().kind(), Kind::Timeout);
}

/// Guards against responses of old flows that are mapped to another service after an endpoint was moved.
#[test]
fn a_moved_endpoint_waits_for_its_time() {
    let store = filled(&set(2, 3));
    publish(&store, 1, START);
    let moved = json!({"name": "host-0", "service": "service-1", "zone": "nz-south-a", "address": "127.16.0.1",
        "slots": 3, "connections": 4400, "draining": false});
    store.put("target", "host-0", moved.clone());
    let End::Rejected(faults) = publish(&store, 2, START) else { panic!("the endpoint was moved in one step") };
    assert!(faults[0].to_string().contains("127.16.0.1:80"), "{}", faults[0]);
    let delete = Call::Delete { kind: "target".to_owned(), name: "host-0".to_owned(), version: 2 };
    store.perform(&delete, Behavior::Answer);
    published(publish(&store, 3, START));
    let released = manifest(&store).released;
    assert_eq!((released.len(), released[0].not_before_ms), (1, 1_060_000));
    // Later publishes keep the entry.
    add(&store, 900);
    published(publish(&store, 4, START + Duration::from_secs(30)));
    assert_eq!(manifest(&store).released, released);
    store.put("target", "host-0", moved);
    let early = publish(&store, 5, START + Duration::from_secs(59));
    assert_eq!(early.error().unwrap().kind(), Kind::Object, "{early:?}");
    published(publish(&store, 6, START + Duration::from_mins(1)));
    assert_eq!(manifest(&store).released, []);
}

/// Guards against a publish that reports only some of the faults, and against writes of a faulty set.
#[test]
fn a_faulty_set_is_rejected_as_a_whole() {
    let store = filled(&set(2, 2));
    store.put("service", "service-0", json!({"name": "service-0", "address": "10.0.0.1", "ports": [], "shrads": 2}));
    store.put(
        "target",
        "host-1",
        json!({"name": "host-1", "service": "absent", "zone": "nowhere",
        "address": "127.16.0.3", "slots": 0, "connections": 1}),
    );
    let End::Rejected(faults) = publish(&store, 1, START) else { panic!("the set has faults") };
    insta::assert_snapshot!(poplarpaddle::object::Fault::error(&faults));
    assert!(store.get("manifest", "kauri").is_none());
    store.put("manifest", "kauri", json!({"generation": "none"}));
    let error = publish(&store, 2, START).error().unwrap();
    assert!(error.message().starts_with("manifest is malformed"), "{error}");
}

/// Guards against operators with the same publish id.
#[test]
fn publish_ids_are_derived_from_the_seed() {
    let id = |seed: u64| Operator::new(seed, START).publish.id();
    assert_eq!(id(1), id(1));
    assert_ne!(id(1), id(2));
    assert_eq!(id(1).to_string().parse::<PublishId>().unwrap(), id(1));
}
