//! The data path with several balancers on short runs with a fixed seed. The bounds are the aims, not measured figures.

use poplarpaddle_bench::net::plan::{SCENARIOS, Scenario};
use poplarpaddle_bench::net::report::{Line, Plan};
use poplarpaddle_bench::scenario::DEPLOYMENTS;

const SEED: u64 = 1;
const BALANCERS: usize = 13;
const FLOWS: usize = 2_000;

fn measure(scenario: &Scenario, is_design: bool) -> Vec<Line> {
    let plan = |deployment| Plan { deployment, scenario: *scenario, seed: SEED, balancers: BALANCERS, flows: FLOWS };
    DEPLOYMENTS.iter().map(|deployment| plan(deployment).measure(is_design)).collect()
}

fn assert_history(line: &Line) {
    assert_eq!((line.run_twice, line.refused_but_run, line.misrouted, line.wrong_answers), (0, 0, 0, 0), "{line:?}");
}

/// Guards against planned changes that break a flow, alone or two at once.
#[test]
fn planned_changes_break_no_flow() {
    for scenario in SCENARIOS.iter().filter(|scenario| scenario.is_planned) {
        for line in measure(scenario, true) {
            assert_history(&line);
            assert_eq!(line.broken_flows, 0, "{line:?}");
        }
    }
}
