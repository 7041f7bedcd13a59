//! Nodes of the control side on virtual time.
#![allow(missing_docs, clippy::pedantic, reason = "tests are named by their failure and use small casts")]

use poplarpaddle::view::Presence;

#[path = "control/net.rs"]
mod net;
#[path = "control/store.rs"]
mod store;

use net::{FakeConfig, Net, address};

/// Guards against a killed balancer that keeps its shards for more than 3 s at any other member.
#[test]
fn killed_member_is_dead_everywhere_within_3_s() {
    for (seed, loss) in [(1, 0.0), (2, 0.0), (3, 0.0), (4, 0.0), (5, 0.05), (6, 0.05)] {
        let mut net = Net::fleet(seed, 16, 5_000);
        assert!(net.agree(), "seed {seed}: all know all after the start");
        net.loss = loss;
        net.run(seed * 137);
        net.kill(3 + seed as u16);
        let took = net.until(3_000, Net::agree);
        assert!(took.is_some(), "seed {seed}: a killed member is still reachable after 3 s");
        println!("seed {seed} loss {loss}: dead after {took:?} ms");
    }
}

/// Guards against false deaths that a resumed process derives from timers that ran while it was frozen.
#[test]
fn resumed_observer_declares_nobody_dead() {
    for (seed, pause) in [(1, 900), (2, 2_000), (3, 5_000), (4, 60_000)] {
        let mut net = Net::fleet(seed, 16, 5_000);
        net.host(5).views.clear();
        net.pause(5, pause);
        net.run(pause + 5_000);
        assert!(net.agree(), "seed {seed}: all know all after a pause of {pause} ms");
        let lost = net.host(5).views.iter().filter(|(_, view)| view.members.len() < 16).count();
        assert_eq!(lost, 0, "seed {seed}: the resumed node dropped peers after a pause of {pause} ms");
    }
}

/// Guards against an owner that keeps entries of shards that others owned while it was frozen.
#[test]
fn condemned_member_sees_that_it_lost_its_shards() {
    let mut net = Net::fleet(8, 16, 5_000);
    net.pause(5, 6_000);
    net.host(5).views.clear();
    net.run(10_000);
    let me = net.host(5).view.as_ref().unwrap().me;
    let own = |view: &poplarpaddle::view::View| view.members.iter().find(|m| m.id == me).map(|m| m.presence);
    let seen: Vec<_> = net.host(5).views.iter().filter_map(|(_, view)| own(view)).collect();
    assert!(seen.windows(2).any(|pair| pair == [Presence::Leaving, Presence::Alive]), "{seen:?}");
}

/// Guards against a partition that stays split after the network healed.
#[test]
fn healed_partition_merges() {
    for (seed, cut) in [(1, 4_000), (2, 10_000), (3, 120_000)] {
        let mut net = Net::fleet(seed, 16, 5_000);
        net.cut.insert("zone-0".into(), false);
        net.run(cut);
        // 4 s are too short for either side to have found all of the other; the cut then heals amid the detection.
        if cut > 4_000 {
            assert_eq!(net.members(0, Presence::Alive).len(), 6, "seed {seed}: the cut zone sees itself");
            assert_eq!(net.members(1, Presence::Alive).len(), 10, "seed {seed}: the other zones see themselves");
        }
        net.cut.clear();
        let healed = net.now;
        for host in net.hosts.values_mut() {
            host.views.clear();
        }
        let took = net.until(6_000, Net::agree);
        assert!(took.is_some(), "seed {seed}: not merged 6 s after a cut of {cut} ms");
        println!("seed {seed}: merged {took:?} ms after a cut of {cut} ms");
        for (at, host) in &net.hosts {
            let side = if host.zone == "zone-0" { 6 } else { 10 };
            let fewest = host.views.iter().filter(|(time, _)| *time > healed).map(|(_, v)| v.members.len()).min();
            assert!(fewest.is_none_or(|fewest| fewest >= side), "seed {seed}: {at} dropped members of its own side");
        }
    }
}

/// Guards against a leaving member that still gets new shards at some peer, or whose end counts as a failure.
#[test]
fn leaving_is_known_at_once() {
    let mut net = Net::fleet(4, 16, 5_000);
    let now = net.now;
    net.host(7).node.leave(now);
    let id = net.host(7).view.as_ref().unwrap().me;
    let knows = |net: &Net| {
        let leaving =
            |v: &poplarpaddle::view::View| v.members.iter().any(|m| m.id == id && m.presence == Presence::Leaving);
        net.hosts.values().all(|host| leaving(host.view.as_ref().unwrap()))
    };
    let took = net.until(1_000, knows);
    assert!(took.is_some(), "some peer does not know of the leaving after 1 s");
    println!("leaving known after {took:?} ms");
}

/// Guards against joins and deaths that pile up when every balancer is replaced.
#[test]
fn mass_replacement_settles_within_seconds() {
    let mut net = Net::fleet(6, 16, 5_000);
    for n in 0..16 {
        net.start(100 + n, &[address(n), address((n + 1) % 16)]);
    }
    let joined = net.until(5_000, Net::agree);
    assert!(joined.is_some(), "the new members are not known after 5 s");
    let now = net.now;
    for n in 0..16 {
        net.host(n).node.leave(now);
    }
    net.run(1_000);
    for n in 0..16 {
        net.kill(n);
    }
    assert_eq!(net.members(100, Presence::Alive).len(), 16, "the old members own shards");
    let gone = net.until(10_000, Net::agree);
    assert!(gone.is_some(), "the old members are reachable 10 s after their end");
    println!("joined after {joined:?} ms, gone after {gone:?} ms");
}

/// Guards against a configuration that is not in force everywhere within 7 s, or that goes back.
#[test]
fn configuration_spreads_from_one_node() {
    for (seed, loss) in [(1, 0.0), (2, 0.1), (3, 0.1), (4, 0.1)] {
        let mut net = Net::fleet(seed, 16, 5_000);
        net.loss = loss;
        for generation in 1..=5 {
            let parts = ["a", "b", &format!("c{generation}")];
            net.start_with(20 + generation as u16, &[address(3)], FakeConfig::with(generation, &parts));
            let took = net.until(7_000, |net| net.generations() == [generation].into());
            assert!(took.is_some(), "seed {seed}: generation {generation} is not in force everywhere after 7 s");
            println!("seed {seed} loss {loss}: generation {generation} after {took:?} ms");
        }
        net.assert_never_back();
    }
}
