//! Tests of flows without an entry, wrong targets and silent targets.

use std::net::Ipv4Addr;

use poplarpaddle::packet::{Kind, View};
use poplarpaddle::path::{Hop, MemberId, Reason, Settings, Source};
use poplarpaddle::view::HostState;

use crate::fleet::{Action, Node, answer, config, data, flow, host, members, owner, reset, syn, syn_ack, view};

fn node() -> Node {
    Node::new(Settings::default(), &view(1, &config(&[4, 2], 1), &members(&[1], &[]), &[]))
}

/// Returns the target that a probe was sent to.
fn probed(actions: &[Action]) -> Ipv4Addr {
    let found =
        actions.iter().find_map(|action| if let Action::Target(target, ..) = action { Some(*target) } else { None });
    found.unwrap_or_else(|| panic!("no probe: {actions:?}"))
}

/// Guards against losing a flow whose owner died. All candidates but the right one answer the probe with a reset.
#[test]
fn probe_finds_the_target_and_drops_resets() {
    let mut node = node();
    let segment = data(flow(1), 700, 900, 10);
    let mut target = probed(&node.fabric(&segment));
    assert_eq!(node.fabric(&data(flow(1), 710, 900, 10)), [], "a later segment is held during the probe");
    for _ in 0..2 {
        let actions = node.fabric(&reset(flow(1), target, 0));
        assert_eq!(actions[0], Action::Discard(Reason::StrayReset));
        target = probed(&actions);
    }
    let actions = node.fabric(&answer(flow(1), target, 900, 710, 20));
    assert_eq!(actions, [Action::Caller(Kind::Data), Action::Target(target, Kind::Data, 710)]);
    assert_eq!(node.engine.target(&flow(1)), Some(target));
}

/// Guards against a caller that waits forever on a connection that no target knows.
#[test]
fn caller_is_reset_after_the_last_candidate() {
    let mut node = node();
    let mut actions = node.fabric(&data(flow(1), 700, 900, 10));
    for _ in 0..4 {
        let target = probed(&actions);
        actions = node.fabric(&reset(flow(1), target, 0));
    }
    assert_eq!(actions[1..], [Action::ResetCaller(Reason::Unrecoverable)]);
    assert_eq!(node.engine.counters().held, 0);
}

/// Guards against resetting a flow whose target is only slow: a candidate that did not answer may hold the connection.
#[test]
fn flow_with_a_slow_candidate_is_not_reset() {
    let mut node = node();
    let first = probed(&node.fabric(&data(flow(1), 700, 900, 10)));
    let mut actions = node.wait(200);
    assert_ne!(probed(&actions), first, "the next candidate follows");
    for _ in 0..3 {
        let target = probed(&actions);
        actions = node.fabric(&reset(flow(1), target, 0));
    }
    assert_eq!(actions[1..], [Action::Discard(Reason::UnknownFlow)]);
}

/// Probes all targets of a service whose hosts 2 and 3 are in another zone, and returns the actions at the end of the probe.
/// Hosts that are down do not answer; the others do not know the connection.
fn end_of_probe(down: &[u8]) -> Vec<Action> {
    let mut config = config(&[4, 2], 1);
    std::sync::Arc::make_mut(&mut config.services[0]).targets[2..]
        .iter_mut()
        .for_each(|target| target.zone = "b".into());
    let state = |number| if down.contains(&number) { HostState::Down } else { HostState::Serving };
    let states: Vec<_> = (0..4).map(|number| (host(0, number), state(number))).collect();
    let mut node = Node::new(Settings::default(), &view(1, &config, &members(&[1], &[]), &states));
    let mut actions = node.fabric(&data(flow(1), 700, 900, 10));
    for _ in 0..4 {
        let target = probed(&actions);
        let is_down = states.contains(&(target, HostState::Down));
        actions = if is_down { node.wait(200) } else { node.fabric(&reset(flow(1), target, 0)) };
    }
    actions
}

/// Guards against resetting flows that are still served by the balancers of a zone that is cut off.
#[test]
fn unreachable_zone_may_hold_the_connection() {
    assert!(end_of_probe(&[2, 3]).contains(&Action::Discard(Reason::UnknownFlow)));
}

/// Guards against a caller that waits forever for a dead host while the rest of its zone is up.
#[test]
fn dead_host_in_a_reachable_zone_has_lost_the_connection() {
    assert!(end_of_probe(&[2]).contains(&Action::ResetCaller(Reason::Unrecoverable)));
}

/// Guards against packets to a misplaced target, and against concluding that a flow is lost although the misplaced target
/// was not probed.
#[test]
fn misplaced_target_gets_no_packet() {
    let (config, members) = (config(&[4, 2], 1), members(&[1], &[]));
    let mut node = Node::new(Settings::default(), &view(1, &config, &members, &[]));
    let target = node.open(flow(1));
    let states = [(target, HostState::Misplaced)];
    node.apply(&view(1, &config, &members, &states));
    let segment = data(flow(1), 101, 501, 10);
    assert_eq!(node.fabric(&segment), [Action::Discard(Reason::WrongTarget)]);
    assert_eq!(node.fabric(&answer(flow(1), target, 501, 101, 9)), [Action::Discard(Reason::WrongTarget)]);
    let mut actions = node.fabric(&data(flow(2), 700, 900, 10));
    for _ in 0..3 {
        let probed_target = probed(&actions);
        assert_ne!(probed_target, target);
        actions = node.fabric(&reset(flow(2), probed_target, 0));
    }
    assert_eq!(actions[1..], [Action::Discard(Reason::UnknownFlow)]);
    node.apply(&view(1, &config, &members, &[]));
    assert_eq!(
        node.fabric(&segment),
        [Action::Target(target, Kind::Data, 101)],
        "the flow continues after the wrong report is corrected"
    );
}

/// Guards against sending packets to an endpoint after it moved to another service.
#[test]
fn endpoint_of_another_service_gets_no_packet() {
    let (mut config, members) = (config(&[4, 2], 1), members(&[1], &[]));
    let mut node = Node::new(Settings::default(), &view(1, &config, &members, &[]));
    node.open(flow(1));
    for index in config.endpoints.values_mut() {
        index.0 = 1;
    }
    node.apply(&view(1, &config, &members, &[]));
    assert_eq!(node.fabric(&data(flow(1), 101, 501, 10)), [Action::ResetCaller(Reason::WrongTarget)]);
    assert_eq!(node.fabric(&syn(flow(2), 7)), [Action::Refuse(Reason::NoTarget)]);
}

/// Guards against a second target that interferes with a bound flow, as after two owners placed the same opening.
#[test]
fn packets_of_a_wrong_target_are_dropped() {
    let mut node = node();
    let target = node.open(flow(1));
    let wrong = (0..4).map(|number| host(0, number)).find(|host| *host != target).expect("four targets");
    let cases: [(View<'static>, Reason); 3] = [
        (syn_ack(flow(1), wrong, 9000, 101), Reason::WrongTarget),
        (reset(flow(1), wrong, 101), Reason::WrongTarget),
        (answer(flow(1), wrong, 9000, 101, 5), Reason::WrongTarget),
    ];
    for (packet, reason) in cases {
        assert_eq!(node.fabric(&packet), [Action::Discard(reason)], "{packet:?}");
    }
    assert_eq!(
        node.fabric(&reset(flow(1), target, 101)),
        [Action::Caller(Kind::Reset)],
        "the target of the flow may reset it"
    );
}

/// Guards against a flow that stays bound to a target whose SYN-ACK the caller ignored, because another owner had placed the
/// opening too and its target answered first.
#[test]
fn opening_at_two_owners() {
    let mut node = node();
    let actions = node.fabric(&syn(flow(1), 100));
    let ours = probed(&actions);
    node.fabric(&syn_ack(flow(1), ours, 500, 101));
    let request = data(flow(1), 101, 80_000_001, 10);
    let actions = node.fabric(&request);
    assert_eq!(actions[0], Action::ResetTarget(ours), "the connection that the caller ignored is reset");
    let mut probed_target = probed(&actions);
    if probed_target == ours {
        probed_target = probed(&node.fabric(&reset(flow(1), ours, 0)));
    }
    assert_eq!(node.fabric(&answer(flow(1), probed_target, 80_000_001, 111, 5)), [Action::Caller(Kind::Data)]);
    assert_eq!(node.engine.target(&flow(1)), Some(probed_target));
}

/// Guards against a delayed packet of an earlier connection that resets a new one on the same port.
#[test]
fn delayed_packet_does_not_affect_a_new_opening() {
    let mut node = node();
    let delayed = data(flow(1), 900_000_000, 77, 10);
    let target = probed(&node.fabric(&syn(flow(1), 100)));
    assert_eq!(node.fabric(&delayed), [Action::Discard(Reason::UnknownFlow)], "pending");
    assert_eq!(node.fabric(&syn_ack(flow(1), target, 500, 101)), [Action::Caller(Kind::Accept)]);
    let actions = node.fabric(&delayed);
    assert!(!actions.contains(&Action::ResetTarget(target)), "the new connection is not reset");
    let actions = answer_probes(&mut node, actions, target, &answer(flow(1), target, 501, 101, 0));
    assert_eq!(actions.last(), Some(&Action::ResetCaller(Reason::Unrecoverable)), "the caller ignores the old numbers");
    let actions = node.fabric(&data(flow(1), 101, 501, 10));
    let actions = answer_probes(&mut node, actions, target, &answer(flow(1), target, 501, 111, 5));
    assert_eq!(actions, [Action::Caller(Kind::Data)]);
}

/// Answers probes of `target` with `state` and all others with resets, until no probe follows.
fn answer_probes(node: &mut Node, mut actions: Vec<Action>, target: Ipv4Addr, state: &View<'_>) -> Vec<Action> {
    while let Some(Action::Target(probed_target, ..)) =
        actions.iter().find(|action| matches!(action, Action::Target(..)))
    {
        actions = if *probed_target == target {
            node.fabric(state)
        } else {
            node.fabric(&reset(state.flow, *probed_target, 0))
        };
    }
    actions
}

/// Guards against callers that wait forever on a connection that a middlebox dropped.
#[test]
fn silent_connection_is_reset_at_both_ends() {
    let mut node = node();
    let target = node.open(flow(1));
    let request = data(flow(1), 101, 501, 10);
    node.fabric(&request);
    node.wait(6000);
    node.fabric(&answer(flow(2), target, 4, 5, 6));
    assert_eq!(node.fabric(&request), [Action::Target(target, Kind::Data, 101)], "not due yet");
    node.wait(6000);
    node.fabric(&answer(flow(2), target, 10, 5, 6));
    assert_eq!(node.fabric(&request), [Action::ResetTarget(target), Action::ResetCaller(Reason::Silent)]);
}

/// Guards against callers that wait on a silent connection until their next retransmission, which TCP delays more and more.
/// Also guards against resetting flows whose answers pass through another balancer, whose only copy may have been lost, or
/// whose host answers no flow.
#[test]
fn silent_connection_is_reset_without_another_retransmission() {
    // Whether the caller retransmits, whether it acknowledges more bytes of the target, whether the host answers other flows
    // afterwards, and whether the flow is reset.
    let cases = [
        (true, false, true, true),
        (false, false, true, false),
        (true, true, true, false),
        (true, false, false, false),
    ];
    for (retransmits, acknowledges, answers_others, expected) in cases {
        let mut node = node();
        let target = node.open(flow(1));
        let request = data(flow(1), 101, 501, 10);
        node.fabric(&answer(flow(2), target, 4, 5, 6));
        node.fabric(&request);
        node.wait(3000);
        node.fabric(&answer(flow(2), target, 10, 5, 6));
        if retransmits {
            node.fabric(&request);
        }
        if acknowledges {
            node.fabric(&data(flow(1), 111, 551, 0));
        }
        node.wait(100);
        if answers_others {
            node.fabric(&answer(flow(2), target, 16, 5, 6));
        }
        let actions = node.wait(9000);
        let is_reset = actions == [Action::ResetTarget(target), Action::ResetCaller(Reason::Silent)];
        assert_eq!(is_reset, expected, "{retransmits} {acknowledges} {answers_others}: {actions:?}");
    }
}

/// Guards against silent connections that are never reset on a host without other flows, and against resetting all flows of
/// a host that was down when the last copy was sent to it.
#[test]
fn silent_connection_is_reset_on_a_quiet_host() {
    for (down, expected) in [(false, true), (true, false)] {
        let mut node = node();
        let target = node.open(flow(1));
        let state = |state| view(1, &config(&[4, 2], 1), &members(&[1], &[]), &[(target, state)]);
        node.apply(&state(HostState::Serving));
        let request = data(flow(1), 101, 501, 10);
        node.fabric(&request);
        node.wait(3000);
        if down {
            node.apply(&state(HostState::Down));
        }
        node.fabric(&request);
        node.wait(500);
        node.apply(&state(HostState::Serving));
        let actions = node.wait(9000);
        assert_eq!(actions.contains(&Action::ResetCaller(Reason::Silent)), expected, "down {down}: {actions:?}");
    }
}

/// Guards against resetting all flows of a host that was paused for longer than the deadline.
#[test]
fn paused_host_keeps_its_flows() {
    let mut node = node();
    let target = node.open(flow(1));
    let request = data(flow(1), 101, 501, 10);
    node.fabric(&request);
    for _ in 0..3 {
        node.wait(6000);
        assert_eq!(node.fabric(&request), [Action::Target(target, Kind::Data, 101)]);
    }
    node.wait(1000);
    node.fabric(&answer(flow(2), target, 4, 5, 6));
    assert_eq!(node.fabric(&request), [Action::Target(target, Kind::Data, 101)], "the host has just resumed");
    assert_eq!(node.fabric(&answer(flow(1), target, 501, 111, 6)), [Action::Caller(Kind::Data)]);
}

/// Guards against relaying repeatedly to a former owner whose stale entry leads to a target without the connection.
#[test]
fn reset_after_relaying_to_a_former_owner_starts_a_probe() {
    let config = config(&[4, 2], 1);
    let all = members(&[1, 2], &[]);
    let flow = flow(1);
    let owner = owner(&config, &[1, 2]);
    let other = MemberId(3 - owner);
    let mut node = Node::new(Settings { me: MemberId(owner), ..Default::default() }, &view(owner, &config, &all, &[]));
    let segment = data(flow, 700, 900, 10);
    assert_eq!(node.fabric(&segment), [Action::Relay(other, Hop::Previous)]);
    assert_eq!(node.fabric(&reset(flow, host(0, 0), 0)), [Action::Discard(Reason::StrayReset)]);
    probed(&node.fabric(&segment));
    let unknown = Source::Peer(other, Hop::Unknown);
    probed(&node.packet(unknown, &data(crate::fleet::flow(2), 700, 900, 10)));
}
