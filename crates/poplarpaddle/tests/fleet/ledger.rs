//! Guards against replicas that go back to an older state, lose a change, or depend on how changes were received.

use poplarpaddle::error::Kind;
use poplarpaddle::replica::{Delta, Item, Removed, Replica};
use poplarpaddle::revision::Revision;
use proptest::prelude::*;

fn item(key: u8, value: u32, changed: u64) -> Item<u8, u32> {
    Item { key, value, changed: changed.into() }
}

fn snapshot(to: u64, put: Vec<Item<u8, u32>>) -> Delta<u8, u32> {
    Delta { base: Revision::NONE, to: to.into(), put, removed: Vec::new(), gaps: vec![] }
}

fn content(replica: &Replica<u8, u32>) -> Vec<(u8, u32)> {
    let mut all: Vec<_> = replica.iter().map(|(key, value)| (*key, *value)).collect();
    all.sort_unstable();
    all
}

/// A stale read of the store may return state that is seconds old.
#[test]
fn an_older_delta_changes_nothing() {
    let mut replica = Replica::default();
    replica.merge(snapshot(9, vec![item(1, 10, 9)])).unwrap();
    assert_eq!(replica.merge(snapshot(7, vec![item(2, 20, 7)])).unwrap(), Vec::<u8>::new());
    assert_eq!(content(&replica), [(1, 10)]);
}

/// If a delta with a gap before it were applied, the changes in the gap would be lost.
#[test]
fn a_delta_that_starts_later_is_refused() {
    let mut replica = Replica::default();
    replica.merge(snapshot(9, vec![item(1, 10, 9)])).unwrap();
    let gap = Delta { base: 11.into(), to: 12.into(), put: vec![], removed: vec![], gaps: vec![] };
    assert_eq!(replica.merge(gap).unwrap_err().kind(), Kind::Stale);
}

/// When a watch was interrupted, only a snapshot reveals the removals that it missed.
#[test]
fn a_snapshot_removes_the_keys_that_it_does_not_contain() {
    let mut replica = Replica::default();
    replica.merge(snapshot(9, vec![item(1, 10, 3), item(2, 20, 9)])).unwrap();
    assert_eq!(replica.merge(snapshot(11, vec![item(2, 20, 9)])).unwrap(), [1]);
    let delta = replica.delta(9.into());
    assert_eq!(delta.removed, [Removed { key: 1, at: 11.into() }]);
}

/// A delta that overlaps with the current state must not restore a removed key.
#[test]
fn a_removed_key_comes_back_only_with_a_later_change() {
    let mut replica = Replica::default();
    replica.merge(snapshot(5, vec![item(1, 10, 3)])).unwrap();
    replica
        .merge(Delta {
            base: 5.into(),
            to: 8.into(),
            put: vec![],
            removed: vec![Removed { key: 1, at: 8.into() }],
            gaps: vec![],
        })
        .unwrap();
    replica
        .merge(Delta { base: 5.into(), to: 9.into(), put: vec![item(1, 10, 3)], removed: vec![], gaps: vec![] })
        .unwrap();
    assert!(replica.is_empty());
    replica
        .merge(Delta { base: 9.into(), to: 10.into(), put: vec![item(1, 11, 10)], removed: vec![], gaps: vec![] })
        .unwrap();
    assert_eq!(content(&replica), [(1, 11)]);
}

/// Equal values keep the revision of their last change, so that peers receive only the routes that a new configuration
/// changes.
#[test]
fn a_snapshot_of_new_values_changes_only_values_that_differ() {
    let mut replica = Replica::default();
    let first = replica.snapshot_of(5.into(), vec![(1, 10), (2, 20)]);
    replica.merge(first).unwrap();
    let second = replica.snapshot_of(8.into(), vec![(1, 10), (2, 21), (3, 30)]);
    assert_eq!(replica.merge(second).unwrap(), [2, 3]);
    let keys: Vec<u8> = replica.delta(5.into()).put.iter().map(|item| item.key).collect();
    assert_eq!(keys, [2, 3]);
}

/// A member that reads a snapshot knows nothing of a value that was added and removed since its last one. A peer that had
/// seen the addition kept the value for good.
#[test]
fn a_value_that_a_snapshot_has_skipped_is_removed_at_a_peer_that_knows_it() {
    let mut reader: Replica<u8, u32> = Replica::default();
    reader.merge(snapshot(5, vec![item(1, 10, 3)])).unwrap();
    let mut peer = reader.clone();
    peer.merge(Delta { base: 5.into(), to: 7.into(), put: vec![item(2, 20, 7)], removed: vec![], gaps: vec![] })
        .unwrap();
    reader.merge(snapshot(8, vec![item(1, 10, 3)])).unwrap();
    peer.merge(reader.delta(peer.as_of())).unwrap();
    assert_eq!(content(&peer), [(1, 10)]);
    assert!(!reader.needs_snapshot(5.into()) && !reader.needs_snapshot(8.into()), "others need only the changes");
}

/// A member that pulls the changes from one that has skipped some skips them as well.
#[test]
fn a_value_that_a_peer_of_a_peer_has_skipped_is_removed() {
    let mut reader: Replica<u8, u32> = Replica::default();
    reader.merge(snapshot(5, vec![item(1, 10, 3)])).unwrap();
    let (mut between, mut peer) = (reader.clone(), reader.clone());
    peer.merge(Delta { base: 5.into(), to: 7.into(), put: vec![item(2, 20, 7)], removed: vec![], gaps: vec![] })
        .unwrap();
    reader.merge(snapshot(8, vec![item(1, 10, 3)])).unwrap();
    between.merge(reader.delta(between.as_of())).unwrap();
    peer.merge(between.delta(peer.as_of())).unwrap();
    assert_eq!(content(&peer), [(1, 10)]);
}

#[derive(Debug, Clone)]
enum Step {
    Put(u8, u32),
    Remove(u8),
    /// The follower pulls the changes since its own state.
    Pull,
    /// The reader reads a snapshot.
    Snapshot,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..12u8, any::<u32>()).prop_map(|(key, value)| Step::Put(key, value)),
        (0..12u8).prop_map(Step::Remove),
        Just(Step::Pull),
        Just(Step::Snapshot),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(8), failure_persistence: None, ..Default::default() })]

    /// A follower that pulls from a reader ends up with the state of the store for every sequence of snapshots and
    /// deltas.
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
                    reader.merge(Delta { base, to: revision.into(), put: vec![item(key, value, revision)], removed: vec![], gaps: vec![] }).unwrap();
                }
                Step::Remove(key) => {
                    revision += 1;
                    if store.remove(&key).is_some() {
                        let base = reader.as_of();
                        let removed = vec![Removed { key, at: revision.into() }];
                        reader.merge(Delta { base, to: revision.into(), put: vec![], removed, gaps: vec![] }).unwrap();
                    }
                }
                Step::Pull => drop(follower.merge(reader.delta(follower.as_of())).unwrap()),
                Step::Snapshot => {
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
