//! Guards against state that goes back, loses a change, or differs by the way it came.

use poplarpaddle::error::Kind;
use poplarpaddle::replica::{Delta, Item, Removed, Replica};
use proptest::prelude::*;

fn item(key: u8, value: u32, changed: u64) -> Item<u8, u32> {
    Item { key, value, changed }
}

fn snapshot(to: u64, put: Vec<Item<u8, u32>>) -> Delta<u8, u32> {
    Delta { base: 0, to, put, removed: Vec::new() }
}

fn content(replica: &Replica<u8, u32>) -> Vec<(u8, u32)> {
    let mut all: Vec<_> = replica.iter().map(|(key, value)| (*key, *value)).collect();
    all.sort_unstable();
    all
}

/// A stale read of the store may be seconds old.
#[test]
fn an_older_delta_changes_nothing() {
    let mut replica = Replica::default();
    replica.merge(snapshot(9, vec![item(1, 10, 9)])).unwrap();
    assert_eq!(replica.merge(snapshot(7, vec![item(2, 20, 7)])).unwrap(), Vec::<u8>::new());
    assert_eq!(content(&replica), [(1, 10)]);
}

/// Changes in between would be lost.
#[test]
fn a_delta_that_starts_later_is_refused() {
    let mut replica = Replica::default();
    replica.merge(snapshot(9, vec![item(1, 10, 9)])).unwrap();
    let gap = Delta { base: 11, to: 12, put: vec![], removed: vec![] };
    assert_eq!(replica.merge(gap).unwrap_err().kind(), Kind::Stale);
}

/// A list is the only word of a removal that a cut watch missed.
#[test]
fn a_list_removes_what_it_does_not_hold() {
    let mut replica = Replica::default();
    replica.merge(snapshot(9, vec![item(1, 10, 3), item(2, 20, 9)])).unwrap();
    assert_eq!(replica.merge(snapshot(11, vec![item(2, 20, 9)])).unwrap(), [1]);
    let delta = replica.delta(9);
    assert_eq!(delta.removed, [Removed { key: 1, at: 11 }]);
}

/// A delta that overlaps with what is known must not bring a removed key back.
#[test]
fn a_removed_key_comes_back_only_with_a_later_change() {
    let mut replica = Replica::default();
    replica.merge(snapshot(5, vec![item(1, 10, 3)])).unwrap();
    replica.merge(Delta { base: 5, to: 8, put: vec![], removed: vec![Removed { key: 1, at: 8 }] }).unwrap();
    replica.merge(Delta { base: 5, to: 9, put: vec![item(1, 10, 3)], removed: vec![] }).unwrap();
    assert!(replica.is_empty());
    replica.merge(Delta { base: 9, to: 10, put: vec![item(1, 11, 10)], removed: vec![] }).unwrap();
    assert_eq!(content(&replica), [(1, 11)]);
}

/// Equal values keep the revision of their last change, so that a rewritten configuration spreads as a few routes.
#[test]
fn a_difference_holds_only_what_changed() {
    let mut replica = Replica::default();
    let first = replica.difference(5, vec![(1, 10), (2, 20)]);
    replica.merge(first).unwrap();
    let second = replica.difference(8, vec![(1, 10), (2, 21), (3, 30)]);
    assert_eq!(replica.merge(second).unwrap(), [2, 3]);
    let keys: Vec<u8> = replica.delta(5).put.iter().map(|item| item.key).collect();
    assert_eq!(keys, [2, 3]);
}

#[derive(Debug, Clone)]
enum Step {
    Put(u8, u32),
    Remove(u8),
    /// The follower asks with what it has.
    Pull,
    /// The reader lists all.
    List,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..12u8, any::<u32>()).prop_map(|(key, value)| Step::Put(key, value)),
        (0..12u8).prop_map(Step::Remove),
        Just(Step::Pull),
        Just(Step::List),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(8), failure_persistence: None, ..Default::default() })]

    /// A follower that pulls from a reader ends with the state of the store, however lists and deltas alternate.
    #[test]
    fn followers_end_with_the_state_of_the_store(steps in proptest::collection::vec(step(), 1..60)) {
        let mut store = std::collections::BTreeMap::new();
        let mut revision = 1;
        let mut reader = Replica::default();
        let mut follower: Replica<u8, u32> = Replica::default();
        reader.merge(snapshot(revision, vec![])).unwrap();
        for step in steps {
            match step {
                Step::Put(key, value) => {
                    revision += 1;
                    store.insert(key, (value, revision));
                    let base = reader.as_of();
                    reader.merge(Delta { base, to: revision, put: vec![item(key, value, revision)], removed: vec![] }).unwrap();
                }
                Step::Remove(key) => {
                    revision += 1;
                    if store.remove(&key).is_some() {
                        let base = reader.as_of();
                        let removed = vec![Removed { key, at: revision }];
                        reader.merge(Delta { base, to: revision, put: vec![], removed }).unwrap();
                    }
                }
                Step::Pull => drop(follower.merge(reader.delta(follower.as_of())).unwrap()),
                Step::List => {
                    revision += 1;
                    let put = store.iter().map(|(key, (value, changed))| item(*key, *value, *changed)).collect();
                    reader.merge(snapshot(revision, put)).unwrap();
                }
            }
        }
        let expected: Vec<(u8, u32)> = store.iter().map(|(key, (value, _))| (*key, *value)).collect();
        prop_assert_eq!(content(&reader), expected.clone());
        follower.merge(reader.delta(follower.as_of())).unwrap();
        prop_assert_eq!(content(&follower), expected);
    }
}
