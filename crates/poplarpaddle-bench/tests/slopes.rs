//! Bounds of the target size on what a slope measures. Each bound follows from a requirement.

use poplarpaddle_bench::slope::harness::Harness;
use poplarpaddle_bench::slope::{Line, change, flow, spread};

/// Changes a day.
const CHANGES: f64 = 6000.0;

/// Bytes a second that a node may spend on control.
const BYTES: f64 = 4000.0;

fn last(lines: &[Line], name: &str) -> f64 {
    let line = lines.iter().find(|line| line.slope == name).unwrap();
    assert!(line.sizes.len() >= 3 && line.sizes.len() == line.values.len(), "{line:?}");
    *line.values.last().unwrap()
}

/// Guards against a change at 73,000 targets that takes the whole budget of a node for control, or several seconds of the
/// 7 s in which it has to be in force.
#[test]
fn a_change_fits_into_the_budget() {
    let lines = change::measure().unwrap();
    let bytes = last(&lines, "change.manifest") + last(&lines, "change.part");
    assert!(bytes * CHANGES / 86_400.0 < BYTES, "{bytes} bytes for each change");
    // An update is fetched and served once by each node on average. A tenth of the budget is left to it, since gossip and
    // polls need the rest.
    let update = last(&lines, "change.update");
    assert!(update > 100.0 && 2.0 * update * CHANGES / 86_400.0 < BYTES / 10.0, "{update} bytes for each update");
    let calls = last(&lines, "change.publish-reads") + last(&lines, "change.publish-writes");
    // Ten changes in one second may take a tenth of the reads and writes of the platform.
    assert!(calls * 10.0 < 200.0, "{calls} calls for each publish");
}

/// Guards against flows that are lost with their owner, and against an owner whose table outgrows a small VM.
#[test]
fn flows_are_recovered_and_small() {
    let lines = flow::measure().unwrap();
    assert!((last(&lines, "flow.recovered") - 1.0).abs() < f64::EPSILON);
    // 500,000 flows, the largest table of a balancer today, have to fit into 64 MB.
    assert!(last(&lines, "flow.table") < 128.0);
}

/// Guards against a load on the platform that grows with the fleet: 24 lease holders have to leave most of the several
/// hundred writes and 2,000 reads a second to others.
#[test]
fn leases_cost_the_same_at_every_size() {
    let calls = |members| {
        let mut harness = Harness::new(members).unwrap();
        harness.run(30_000).unwrap();
        harness.reset();
        harness.run(60_000).unwrap();
        [harness.store.reads, harness.store.watches, harness.store.writes]
    };
    let small = calls(16);
    assert_eq!(small, calls(800));
    let [reads, watches, writes] = small.map(|calls| f64::from(calls) * 24.0 / 60.0);
    assert!(reads + watches < 200.0, "{reads} reads and {watches} watches a second");
    assert!(writes > 0.0 && writes < 30.0, "{writes} writes a second");
}

/// Guards against one peer that serves the whole configuration to all nodes of a region that come back at once.
#[test]
fn fetches_are_divided_among_peers() {
    let lines = spread::measure().unwrap();
    // An even choice among 64 peers by 640 nodes gives 10 to each; 3 times that is beyond chance.
    assert!(last(&lines, "spread.most-asked") < 3.0, "{lines:?}");
}
