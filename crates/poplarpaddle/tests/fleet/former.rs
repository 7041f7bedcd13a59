//! Guards against balancers that drop the packets of established flows because they started after their route moved to
//! another service.

use poplarpaddle::time::Time;

use super::world::{Access, Simulation};

const FORMER: &str = "bookings";

fn services(simulation: &Simulation, index: usize) -> Vec<&str> {
    simulation.instances[index].former.iter().map(|entry| entry.service.as_str()).collect()
}

/// Kills all nodes and starts them again.
fn restart_all(simulation: &mut Simulation) {
    for index in 0..simulation.instances.len() {
        simulation.kill(index);
    }
    simulation.run(1000);
    for index in 0..simulation.instances.len() {
        simulation.start(index);
    }
    simulation.run(3000);
}

/// Nobody is left who was running at the change, so the former service is known to the store alone.
#[test]
fn a_former_service_outlives_the_restart_of_all_members() {
    let mut simulation = Simulation::running(&[2, 2, 2]);
    simulation.publish_service(8, &[443], "crewdocs");
    simulation.run(1000);
    restart_all(&mut simulation);
    simulation.with(3, |node, now| node.report_missing_service(now));
    assert_eq!(services(&simulation, 3), [FORMER]);
}

/// The reader may be turned away by the store, or die, between the read of a change and the call that saves it.
#[test]
fn a_change_is_saved_once_the_store_is_back() {
    let mut simulation = Simulation::running(&[2, 2, 2]);
    simulation.publish_service(8, &[443], "crewdocs");
    // The watch in progress still delivers the change.
    for instance in &mut simulation.instances {
        instance.store_access = Access::Refused;
    }
    simulation.run(4000);
    assert_eq!(simulation.version(5), 8);
    assert!(simulation.store.former.is_empty());
    for instance in &mut simulation.instances {
        instance.store_access = Access::Reachable;
    }
    simulation.run(2000);
    assert!(simulation.store.former.iter().any(|entry| entry.service == FORMER));
}

/// A forged mark looks like the packet of a flow at a former service. It must not cause a call to the store each time.
#[test]
fn packets_with_forged_marks_cause_few_calls() {
    let mut simulation = Simulation::running(&[1, 1, 1]);
    let before = simulation.instances[0].store_calls;
    let mut quiet = Simulation::running(&[1, 1, 1]);
    for _ in 0..60 {
        simulation.with(0, |node, now| node.report_missing_service(now));
        simulation.run(1000);
        quiet.run(1000);
    }
    let calls = simulation.instances[0].store_calls - before;
    let usual = quiet.instances[0].store_calls - before;
    assert!(calls <= usual + 7, "{calls} calls in a minute, {usual} without such packets");
}

/// A configuration that leaves every route at its service causes no further call.
#[test]
fn an_unchanged_service_is_not_saved() {
    let mut simulation = Simulation::running(&[2, 2, 2]);
    simulation.publish(8, &[443, 444]);
    simulation.run(1000);
    assert!(simulation.store.former.is_empty());
}

/// A flow lives for a minute at most, so a service is forgotten after that, whatever the clock of the writer says.
#[test]
fn a_former_service_is_forgotten() {
    let mut simulation = Simulation::running(&[2, 2, 2]);
    simulation.publish_service(8, &[443], "crewdocs");
    simulation.run(1000);
    restart_all(&mut simulation);
    // The clock of the writer was ahead.
    simulation.store.former.iter_mut().for_each(|entry| entry.until = Time::NEVER);
    simulation.with(3, |node, now| node.report_missing_service(now));
    let until = simulation.instances[3].former[0].until;
    assert!(until.since(simulation.now).as_secs() <= 60);
}
