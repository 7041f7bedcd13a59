//! Checks what hedging changes for callers and hosts, on virtual time with a fixed seed.

use poplarpaddle_bench::net::latency::{Line, Plan, SCENARIOS};
use poplarpaddle_bench::scenario::DEPLOYMENTS;

/// Limit on hedged openings per 100 accepted ones.
const PERCENT: u32 = 5;

/// Hedges that the owners of all shards may save for bursts, as a share of the openings of a run of 10 s or longer.
const BURST_SHARE: f64 = 0.02;

fn measure(name: &str, percent: u32) -> Vec<Line> {
    let scenario = SCENARIOS.into_iter().find(|known| known.name == name).expect("scenario exists");
    let plan = |deployment| Plan { deployment, scenario, seed: 1, balancers: 13, seconds: 10 };
    DEPLOYMENTS.iter().map(|deployment| plan(deployment).measure(percent).expect("the trace fits")).collect()
}

fn assert_history(line: &Line) {
    assert_eq!((line.run_again, line.broken_flows, line.wrong_answers), (0, 0, 0), "{line:?}");
    assert!(line.extra <= f64::from(PERCENT) / 100.0 + BURST_SHARE, "{line:?}");
}

/// Guards against hedging that leaves the slowest answers as they are, costs more than its limit, or runs requests twice.
#[test]
fn hedging_cuts_the_slowest_answers_of_lost_openings() {
    for (without, with) in measure("path_lost_openings", 0).iter().zip(measure("path_lost_openings", PERCENT)) {
        assert_history(&with);
        assert_eq!(without.hedges, 0);
        assert!(with.p99_ms <= without.p99_ms && with.p999_ms < without.p999_ms, "{without:?} {with:?}");
    }
}

/// Guards against hedging that adds work when nearly all slots are in use.
#[test]
fn hedging_stops_when_the_hosts_are_nearly_full() {
    for line in measure("path_lost_openings_near_full", PERCENT) {
        assert_history(&line);
        assert!(line.extra < 0.01, "{line:?}");
    }
}
