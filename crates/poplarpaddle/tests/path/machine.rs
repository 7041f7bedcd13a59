//! State machine test: random changes of members, configuration, hosts and flows against several engines.

use poplarpaddle::hedge;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::world::Simulation;

/// Balancers that the simulation starts with.
const INITIAL_MEMBERS: [u64; 3] = [1, 2, 3];

/// Number of caller ports. There are few, so that they are often reused.
const CALLER_PORTS: u16 = 6;

/// A change of the fleet or the network, or an action of a caller.
#[derive(Debug, Clone, Copy)]
enum Step {
    Open(u16),
    Send(u16),
    Close(u16),
    Deliver,
    DeliverOne,
    Lose,
    Delay,
    Wait(u64),
    Join(u64),
    Leave(u64),
    Kill(u64),
    Freeze(u64),
    Thaw(u64),
    UpdateView(u64),
    Shed(u8, bool),
    Misplace(u8, bool),
    Pause(u8, bool),
    Configure(u16, usize),
    Settle,
}

/// Generator of steps. It needs no reference state, since a step that does not apply does nothing.
#[derive(Debug)]
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_state: &()) -> BoxedStrategy<Step> {
        prop_oneof![
            5 => (0..CALLER_PORTS).prop_map(Step::Open),
            8 => (0..CALLER_PORTS).prop_map(Step::Send),
            3 => (0..CALLER_PORTS).prop_map(Step::Close),
            5 => Just(Step::Deliver),
            4 => Just(Step::DeliverOne),
            1 => Just(Step::Lose),
            2 => Just(Step::Delay),
            3 => (1..1500_u64).prop_map(Step::Wait),
            1 => (1..13_u64).prop_map(Step::Join),
            1 => (1..13_u64).prop_map(Step::Leave),
            1 => (1..13_u64).prop_map(Step::Kill),
            1 => (1..13_u64).prop_map(Step::Freeze),
            2 => (1..13_u64).prop_map(Step::Thaw),
            2 => (1..13_u64).prop_map(Step::UpdateView),
            1 => (0..4_u8, any::<bool>()).prop_map(|(host, on)| Step::Shed(host, on)),
            1 => (0..4_u8, any::<bool>()).prop_map(|(host, on)| Step::Misplace(host, on)),
            1 => (0..4_u8, any::<bool>()).prop_map(|(host, on)| Step::Pause(host, on)),
            1 => (1..4_u16, 0..3_usize).prop_map(|(shards, released)| Step::Configure(shards, released)),
            1 => Just(Step::Settle),
        ]
        .boxed()
    }

    fn apply((): (), _transition: &Step) {}
}

/// Applies the steps to a simulation.
#[derive(Debug)]
struct Runner;

impl StateMachineTest for Runner {
    type SystemUnderTest = Simulation;
    type Reference = Steps;

    fn init_test(_ref_state: &()) -> Simulation {
        Simulation::new(&INITIAL_MEMBERS, hedge::Settings::default())
    }

    fn apply(mut state: Simulation, _ref_state: &(), transition: Step) -> Simulation {
        match transition {
            Step::Open(flow) => state.open(flow),
            Step::Send(flow) => state.send(flow),
            Step::Close(flow) => state.close(flow),
            Step::Deliver => state.deliver(),
            Step::DeliverOne => state.deliver_one(),
            Step::Lose => state.lose(),
            Step::Delay => state.delay(),
            Step::Wait(millis) => state.wait(millis),
            Step::Join(id) => state.join(id),
            Step::Leave(id) => state.leave(id),
            Step::Kill(id) => state.kill(id),
            Step::Freeze(id) => state.freeze(id),
            Step::Thaw(id) => state.thaw(id),
            Step::UpdateView(id) => state.update_view(id),
            Step::Shed(host, on) => state.shed(host, on),
            Step::Misplace(host, on) => state.misplace(host, on),
            Step::Pause(host, on) => state.pause(host, on),
            Step::Configure(shards, released) => state.configure(shards, released),
            Step::Settle => state.settle(),
        }
        state
    }

    fn teardown(mut state: Simulation, _ref_state: ()) {
        state.settle();
    }
}

/// Applies the steps to a simulation that hedges every opening that takes longer than the ones before.
#[derive(Debug)]
struct HedgingRunner;

impl StateMachineTest for HedgingRunner {
    type SystemUnderTest = Simulation;
    type Reference = Steps;

    fn init_test(_ref_state: &()) -> Simulation {
        let hedge = hedge::Settings { percent: 100, burst: 10, samples: 1 };
        Simulation::new(&INITIAL_MEMBERS, hedge)
    }

    fn apply(state: Simulation, ref_state: &(), transition: Step) -> Simulation {
        Runner::apply(state, ref_state, transition)
    }

    fn teardown(state: Simulation, ref_state: ()) {
        Runner::teardown(state, ref_state);
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against bound flows that break while their target lives, packets sent to a wrong service, refusals of flows
    /// whose payload was processed, and inconsistent accounting with a gate, under any order of member changes.
    #[test]
    fn flows_survive_member_changes(sequential 1..120 => Runner);

    /// Guards against hedged openings that break a flow, leave their work in a gate, or let an answer of the second host
    /// reach a caller that is connected to the first, under any order of member changes.
    #[test]
    fn hedged_flows_survive_member_changes(sequential 1..120 => HedgingRunner);
}
