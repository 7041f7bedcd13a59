//! Tests of the sizes of manifests and parts as the fleet grows.

use poplarpaddle::config::{Digest, Manifest, bucket_count, to_parts};
use poplarpaddle::error::Kind;
use poplarpaddle::object::Set;
use poplarpaddle::publish::{End, Published};
use poplarpaddle::time::Time;

use crate::fake::{Behavior, Fake};
use crate::support::{Operator, add_target, fill, manifest, set};

fn publish(store: &Fake, seed: u64) -> End {
    Operator::new(seed, Time::from_millis(1)).run(store, |_call| Behavior::Answer)
}

fn published(store: &Fake, seed: u64) -> Published {
    match publish(store, seed) {
        End::Published(published) => published,
        other => panic!("{other:?}"),
    }
}

/// Guards against a change whose size grows with the fleet beyond the control budget of a node: 4 KB/s at 6,000 changes
/// a day leave 57,600 bytes for each change.
#[test]
fn bytes_of_one_change_stay_in_the_budget() {
    let mut lines = Vec::new();
    for (services, targets) in [(11, 73), (1_100, 7_300), (11_000, 73_000)] {
        let mut objects = set(services, 0);
        (0..targets).for_each(|index| add_target(&mut objects, index % services, index));
        let store = Fake::default();
        fill(&store, &objects);
        let first = published(&store, 1);
        let mut extra = Set::default();
        add_target(&mut extra, 0, targets);
        fill(&store, &extra);
        let change = published(&store, 2);
        let buckets = manifest(&store).parts.len();
        let (all, part, total) = (first.part_bytes, change.part_bytes, change.part_bytes + change.manifest_bytes);
        lines.push(format!(
            "{targets} targets, {buckets} buckets: manifest {}, all parts {all}, changed part {part}, change {total} bytes",
            change.manifest_bytes
        ));
        assert_eq!(change.parts, 1);
        assert!(total <= 57_600, "{}", lines.join("\n"));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against a part that the store rejects during a publish because of its size, and against an error that does
/// not name the part.
#[test]
fn a_part_that_is_too_large_is_named() {
    let objects = set(1, 19_000);
    let store = Fake::default();
    fill(&store, &objects);
    let error = publish(&store, 1).error().unwrap();
    assert_eq!(error.kind(), Kind::Limit);
    let expected = "its largest service is \"service-0\" with 19000 targets";
    assert!(error.message().starts_with("part of bucket ") && error.message().ends_with(expected), "{error}");
    assert!(store.get("manifest", "kauri").is_none());
}

/// Guards against an encoding that depends on the order of fields in memory, which would give peers and the store
/// different digests.
#[test]
fn bytes_are_the_same_from_the_store() {
    let objects = set(3, 2);
    let count = bucket_count(objects.targets.len(), None).unwrap();
    for (bucket, part) in to_parts(&objects, count).iter().enumerate() {
        let bytes = part.encode(bucket).unwrap();
        let value: serde_json::Value = serde_json::from_slice(&bytes).unwrap();
        assert_eq!(Digest::of(&poplarpaddle::config::encode(&value).unwrap()), Digest::of(&bytes));
    }
    let store = Fake::default();
    fill(&store, &objects);
    published(&store, 1);
    let value = store.get("manifest", "kauri").unwrap().value;
    let bytes = poplarpaddle::config::encode(&value).unwrap();
    assert_eq!(Manifest::decode(&bytes).unwrap().encode().unwrap(), bytes);
}
