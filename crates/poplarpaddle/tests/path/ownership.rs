//! Tests of changes of ownership and configuration.

use poplarpaddle::ownership::Ownership;
use poplarpaddle::packet::Kind;
use poplarpaddle::path::{Hop, MemberId, Settings, Source};
use poplarpaddle::view::Config;

use crate::fleet::{Action, Node, answer, config, data, flow, members, owner, reset, syn, syn_ack, view};

fn node(id: u64, config: &Config, alive: &[u64], leaving: &[u64]) -> Node {
    let settings = Settings { me: MemberId(id), ..Default::default() };
    Node::new(settings, &view(id, config, &members(alive, leaving), &[]))
}

/// Guards against flows that break when their owner leaves: the former owner forwards packets until the new one has learned
/// the target.
#[test]
fn live_former_owner_forwards() {
    let config = config(&[4, 2], 1);
    let old = owner(&config, &[1, 2, 3]);
    let rest: Vec<u64> = [1, 2, 3].into_iter().filter(|id| *id != old).collect();
    let new = owner(&config, &rest);
    let mut former = node(old, &config, &[1, 2, 3], &[]);
    let mut owner = node(new, &config, &[1, 2, 3], &[]);
    let target = former.open(flow(1));
    let view_of = |id| view(id, &config, &members(&rest, &[old]), &[]);
    former.apply(&view_of(old));
    owner.apply(&view_of(new));
    let segment = data(flow(1), 101, 501, 10);
    assert_eq!(owner.fabric(&segment), [Action::Relay(MemberId(old), Hop::Previous)]);
    let relayed = Source::Peer(MemberId(new), Hop::Previous);
    assert_eq!(former.packet(relayed, &segment), [Action::Target(target, Kind::Data, 101)]);
    assert_eq!(owner.fabric(&answer(flow(1), target, 501, 111, 5)), [Action::Caller(Kind::Data)]);
    assert_eq!(owner.fabric(&data(flow(1), 111, 506, 10)), [Action::Target(target, Kind::Data, 111)], "learned");
    assert_eq!(former.packet(relayed, &data(flow(2), 9, 9, 1)), [Action::Relay(MemberId(new), Hop::Unknown)]);
}

/// Guards against relaying to a former owner forever although its target does not answer: its entry may be stale.
#[test]
fn relaying_to_a_former_owner_is_limited_in_time() {
    let config = config(&[4, 2], 1);
    let me = owner(&config, &[1, 2]);
    let mut node = node(me, &config, &[1, 2], &[]);
    let segment = data(flow(1), 101, 501, 10);
    for _ in 0..2 {
        assert_eq!(node.fabric(&segment), [Action::Relay(MemberId(3 - me), Hop::Previous)]);
        node.wait(1500);
    }
    assert!(matches!(node.fabric(&segment)[..], [Action::Target(..)]));
}

/// Guards against flows that break when their owner dies: the new owner probes.
#[test]
fn packets_are_not_relayed_to_a_dead_former_owner() {
    let config = config(&[4, 2], 1);
    let old = owner(&config, &[1, 2]);
    let new = 3 - old;
    let mut owner = node(new, &config, &[1, 2], &[]);
    owner.apply(&view(new, &config, &members(&[new], &[]), &[]));
    assert!(matches!(owner.fabric(&data(flow(1), 101, 501, 10))[..], [Action::Target(..)]));
}

/// Guards against using an entry from an earlier ownership that another owner has replaced in the meantime.
#[test]
fn regained_shard_starts_without_entries() {
    let config = config(&[4, 2], 1);
    let me = owner(&config, &[1, 2]);
    let other = 3 - me;
    let mut node = node(me, &config, &[1, 2], &[]);
    node.open(flow(1));
    node.apply(&view(me, &config, &members(&[other], &[me]), &[]));
    assert_eq!(node.engine.counters().flows, 1, "the former owner still serves the flow");
    node.apply(&view(me, &config, &members(&[1, 2], &[]), &[]));
    assert_eq!(node.engine.counters().flows, 0);
    assert_eq!(node.fabric(&data(flow(1), 101, 501, 10)), [Action::Relay(MemberId(other), Hop::Previous)]);
}

/// Guards against packets that loop between balancers with different views.
#[test]
fn redirected_packet_is_handled_in_any_case() {
    let config = config(&[4, 2], 1);
    let owner = owner(&config, &[1, 2]);
    let mut other = node(3 - owner, &config, &[1, 2], &[]);
    let sender = MemberId(9);
    let opening = syn(flow(1), 100);
    assert_eq!(
        other.packet(Source::Peer(sender, Hop::Owner), &opening),
        [Action::Relay(MemberId(owner), Hop::Redirect)]
    );
    assert!(matches!(other.packet(Source::Peer(sender, Hop::Redirect), &opening)[..], [Action::Target(..)]));
}

/// Guards against flows that lose their target when targets are added or removed or the number of shards changes.
#[test]
fn entries_survive_configurations() {
    let mut node = node(1, &config(&[6, 2], 2), &[1], &[]);
    let flows: Vec<_> = (0..40).map(flow).collect();
    let targets: Vec<_> = flows.iter().map(|flow| node.open(*flow)).collect();
    for (size, shards) in [(6, 3), (8, 1), (6, 4)] {
        node.apply(&view(1, &config(&[size, 2], shards), &members(&[1], &[]), &[]));
        for (flow, target) in flows.iter().zip(&targets) {
            let actions = node.fabric(&data(*flow, 101, 501, 0));
            assert_eq!(actions, [Action::Target(*target, Kind::Data, 101)], "{size} targets, {shards} shards");
        }
    }
}

/// Guards against openings that are lost at a planned stop: held packets are relayed to the new owner.
#[test]
fn leaving_owner_relays_held_packets() {
    use std::sync::Arc;
    let config = config(&[1, 2], 1);
    let me = owner(&config, &[1, 2]);
    let gates = Arc::new(crate::gate::Limited { limit: 1 });
    let settings = Settings { me: MemberId(me), gates, ..Default::default() };
    let mut node = Node::new(settings, &view(me, &config, &members(&[1, 2], &[]), &[]));
    assert!(matches!(node.fabric(&syn(flow(1), 100))[..], [Action::Target(..)]));
    assert_eq!(node.fabric(&syn(flow(2), 100)), [], "the second opening waits");
    let mut actions = crate::fleet::Actions::default();
    node.engine.drain(node.now, &mut actions);
    assert_eq!(actions.0, [Action::Relay(MemberId(3 - me), Hop::Owner)]);
    assert_eq!(node.engine.counters().held, 0);
}

/// Guards against moving more shards than those of a changed member, and against an update that differs from a fresh start.
#[test]
fn only_the_shards_of_a_changed_member_move() {
    let config = config(&[200, 2], 64);
    let mut ids: Vec<u64> = (1..=10).collect();
    let mut ownership = Ownership::default();
    ownership.set_members(&members(&ids, &[]));
    ownership.set_config(&config);
    for (leaving, joining) in [(3, 11), (7, 12), (11, 13), (1, 14)] {
        let before = owners(&ownership);
        ids.retain(|id| *id != leaving);
        ownership.set_members(&members(&ids, &[leaving]));
        for (key, owner) in &owners(&ownership) {
            assert!(before[key] == MemberId(leaving) || before[key] == *owner);
        }
        let between = owners(&ownership);
        ids.push(joining);
        ownership.set_members(&members(&ids, &[]));
        for (key, owner) in &owners(&ownership) {
            assert!(*owner == MemberId(joining) || between[key] == *owner);
        }
        let mut fresh = Ownership::default();
        fresh.set_members(&members(&ids, &[]));
        fresh.set_config(&config);
        assert_eq!(owners(&fresh), owners(&ownership));
    }
}

/// Guards against losing a flow after several changes in a row: the list of former owners still has each earlier owner.
#[test]
fn former_owners_are_remembered() {
    let config = config(&[4, 2], 1);
    let mut ids: Vec<u64> = (1..=8).collect();
    let mut ownership = Ownership::default();
    ownership.set_members(&members(&ids, &[]));
    ownership.set_config(&config);
    let mut gone = Vec::new();
    for _ in 0..3 {
        let location = ownership.locate(&config, &flow(1)).expect("a service");
        let owner = location.owner.expect("an owner");
        gone.insert(0, owner.0);
        ids.retain(|id| *id != owner.0);
        ownership.set_members(&members(&ids, &gone));
        let location = ownership.locate(&config, &flow(1)).expect("a service");
        let former: Vec<u64> = ownership.former(&location).iter().map(|id| id.0).collect();
        assert_eq!(former[..gone.len()], gone);
    }
}

fn owners(ownership: &Ownership) -> std::collections::BTreeMap<u64, MemberId> {
    let owned = (1..=14).flat_map(|id| ownership.owned_by(MemberId(id)));
    owned.map(|(_, _, shard)| (shard.key, shard.owner.expect("an owner"))).collect()
}

/// Guards against panics at a balancer that has no configuration or no members yet. It must drop packets with the reason.
#[test]
fn engine_without_a_view_drops_packets() {
    use poplarpaddle::path::{Engine, Reason};
    let mut node = Node { engine: Engine::new(Settings::default()), now: poplarpaddle::time::Time::from_millis(1) };
    assert_eq!(node.fabric(&syn(flow(1), 1)), [Action::Discard(Reason::NoConfiguration)]);
    let mut unknown = flow(1);
    unknown.service.set_port(81);
    node.apply(&view(1, &config(&[1], 1), &members(&[], &[]), &[]));
    assert_eq!(node.fabric(&syn(unknown, 1)), [Action::Discard(Reason::UnknownService)]);
    assert_eq!(node.fabric(&syn(flow(1), 1)), [Action::Discard(Reason::NoOwner)]);
    let target = crate::fleet::host(0, 0);
    assert_eq!(node.fabric(&syn_ack(flow(1), target, 1, 2)), [Action::Discard(Reason::NoOwner)]);
    assert_eq!(node.fabric(&reset(flow(1), target, 2)), [Action::Discard(Reason::NoOwner)]);
}
