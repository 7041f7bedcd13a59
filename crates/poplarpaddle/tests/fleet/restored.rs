//! Guards against state of a store that has come back from a copy some seconds old: what was written since is gone, and
//! the revisions since are given out again.

use poplarpaddle::registry::State;

use super::world::Simulation;

/// Duration of the outage before the store is back, in milliseconds.
const OUTAGE_MS: u64 = 2000;

/// Time within which a change has to be in force, in milliseconds.
const BOUND_MS: u64 = 3000;

/// A configuration whose revision had belonged to an earlier one was never applied.
#[test]
fn a_configuration_at_a_revision_that_was_given_out_before_is_in_force() {
    let mut simulation = Simulation::running(&[2, 2, 2]);
    let copy = simulation.store.clone();
    simulation.publish(8, &[443, 444]);
    simulation.run(500);
    simulation.publish(9, &[443, 444, 445]);
    simulation.run(500);
    simulation.restore(&copy, OUTAGE_MS);
    simulation.publish(9, &[443, 444, 445]);
    simulation.run(BOUND_MS);
    simulation.publish(12, &[443, 446]);
    simulation.run(BOUND_MS);
    assert_eq!(simulation.versions(), [12; 6]);
}

/// A host that drains at a revision that had belonged to another change kept getting flows.
#[test]
fn a_host_that_drains_at_a_revision_that_was_given_out_before_is_draining() {
    let mut simulation = Simulation::running(&[2, 2, 2]);
    let copy = simulation.store.clone();
    simulation.put_host(6, State::Ready);
    simulation.run(500);
    simulation.restore(&copy, OUTAGE_MS);
    simulation.put_host(2, State::Draining);
    simulation.run(BOUND_MS);
    for instance in &simulation.instances {
        assert_eq!(instance.hosts["i-2"].state, State::Draining);
    }
}
