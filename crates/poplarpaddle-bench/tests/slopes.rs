//! Checks measured slopes against the requirements at the target size, from which each bound follows.

use poplarpaddle_bench::slope::harness::Harness;
use poplarpaddle_bench::slope::{Line, change, flow, spread};

/// Configuration changes per day.
const CHANGES: f64 = 6000.0;

/// Bytes per second that a node may use for control.
const BYTES: f64 = 4000.0;

fn last(lines: &[Line], name: &str) -> f64 {
    let line = lines.iter().find(|line| line.slope == name).unwrap();
    assert!(line.sizes.len() >= 3 && line.sizes.len() == line.values.len(), "{line:?}");
    *line.values.last().unwrap()
}

/// Guards against changes at 73,000 targets that use up the budget of a node for control, or several of the 7 s within
/// which a change has to be in force.
#[test]
fn changes_stay_within_the_control_budget() {
    let lines = change::measure().unwrap();
    let bytes = last(&lines, "change.manifest") + last(&lines, "change.part");
    assert!(bytes * CHANGES / 86_400.0 < BYTES, "{bytes} bytes for each change");
    // On average each node fetches an update once and serves it once. Updates may use a tenth of the budget, because
    // gossip and polls need the rest.
    let update = last(&lines, "change.update");
    assert!(update > 100.0 && 2.0 * update * CHANGES / 86_400.0 < BYTES / 10.0, "{update} bytes for each update");
    let calls = last(&lines, "change.publish-reads") + last(&lines, "change.publish-writes");
    // Ten changes in one second may use a tenth of the platform's limit of reads and writes.
    assert!(calls * 10.0 < 200.0, "{calls} calls for each publish");
}

/// Guards against flows that are lost when their owner dies, and against flow tables that outgrow a small VM.
#[test]
fn flows_are_recovered_and_fit_into_memory() {
    let lines = flow::measure().unwrap();
    assert!((last(&lines, "flow.recovered") - 1.0).abs() < f64::EPSILON);
    // The largest flow table of a current balancer, with 500,000 flows, has to fit into 64 MB.
    assert!(last(&lines, "flow.table") < 128.0);
}

/// Guards against a load on the platform that grows with the fleet: 24 lease holders have to leave most of the
/// platform's several hundred writes and 2,000 reads per second to others.
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
    assert!(reads + watches < 200.0, "{reads} reads and {watches} watches per second");
    assert!(writes > 0.0 && writes < 30.0, "{writes} writes per second");
}

/// Guards against a single peer that has to serve the whole configuration to all nodes of a region when they start at
/// once.
#[test]
fn fetches_are_distributed_among_peers() {
    let lines = spread::measure().unwrap();
    // If 640 nodes choose among 64 peers uniformly, each peer serves 10 on average; chance does not explain 3 times
    // that.
    assert!(last(&lines, "spread.most-asked") < 3.0, "{lines:?}");
}
