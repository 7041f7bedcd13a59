//! Tests of control plane nodes in a simulated network on virtual time.
#![allow(missing_docs, clippy::pedantic, reason = "test names describe the behavior; tests use small casts")]

use poplarpaddle::store::{Vm, VmState};
use poplarpaddle::view::{HostState, Presence};

#[path = "control/net.rs"]
mod net;
#[path = "control/store.rs"]
mod store;

use net::{FakeConfig, Net, address};

/// Guards against a killed balancer that still owns its shards at some other member after 3 s.
#[test]
fn killed_member_is_dead_everywhere_within_3_s() {
    for (seed, loss) in [(1, 0.0), (2, 0.0), (3, 0.0), (4, 0.0), (5, 0.05), (6, 0.05)] {
        let mut net = Net::fleet(seed, 16, 5_000);
        assert!(net.converged(), "seed {seed}: the members do not all know each other after the start");
        net.loss = loss;
        net.run(seed * 137);
        net.kill(3 + seed as u16);
        let elapsed = net.run_until(3_000, Net::converged);
        assert!(elapsed.is_some(), "seed {seed}: a killed member is still reachable after 3 s");
        println!("seed {seed} loss {loss}: dead after {elapsed:?} ms");
    }
}

/// Guards against running members that are declared dead because messages were lost.
#[test]
fn lost_messages_cause_no_false_deaths() {
    let mut net = Net::fleet(3, 16, 5_000);
    net.loss = 0.1;
    net.run(120_000);
    let count =
        |name: &str| net.processes.values().flat_map(|process| &process.events).filter(|e| e.name == name).count();
    assert!(count("member.suspect") > 0, "too few messages were lost for a meaningful test");
    assert_eq!(count("member.dead"), 0);
}

/// Guards against a resumed process that declares members dead because timers expired while it was paused.
#[test]
fn resumed_observer_declares_nobody_dead() {
    for (seed, pause) in [(1, 900), (2, 2_000), (3, 5_000), (4, 60_000)] {
        let mut net = Net::fleet(seed, 16, 5_000);
        net.process(5).views.clear();
        net.pause(5, pause);
        net.run(pause + 5_000);
        assert!(net.converged(), "seed {seed}: the members do not all know each other after a pause of {pause} ms");
        let lost = net.process(5).views.iter().filter(|(_, view)| view.members.len() < 16).count();
        assert_eq!(lost, 0, "seed {seed}: the resumed node dropped peers after a pause of {pause} ms");
    }
}

/// Guards against a resumed member that keeps entries of shards which other members owned while it was paused.
#[test]
fn resumed_member_applies_the_loss_of_its_shards() {
    let mut net = Net::fleet(8, 16, 5_000);
    net.pause(5, 6_000);
    net.process(5).views.clear();
    net.run(10_000);
    let me = net.process(5).view.as_ref().unwrap().me;
    let own = |view: &poplarpaddle::view::View| view.members.iter().find(|m| m.id == me).map(|m| m.presence);
    let seen: Vec<_> = net.process(5).views.iter().filter_map(|(_, view)| own(view)).collect();
    assert!(seen.windows(2).any(|pair| pair == [Presence::Leaving, Presence::Alive]), "{seen:?}");
}

/// Guards against a partition that persists after the network has healed.
#[test]
fn healed_partition_merges() {
    for (seed, cut) in [(1, 4_000), (2, 10_000), (3, 120_000)] {
        let mut net = Net::fleet(seed, 16, 5_000);
        net.cut.insert("zone-0".into(), false);
        net.run(cut);
        // After 4 s, neither side has detected all members of the other, so the cut heals during the detection.
        if cut > 4_000 {
            assert_eq!(net.members(0, Presence::Alive).len(), 6, "seed {seed}: members seen by the cut zone");
            assert_eq!(net.members(1, Presence::Alive).len(), 10, "seed {seed}: members seen by the other zones");
        }
        net.cut.clear();
        let healed = net.now;
        for process in net.processes.values_mut() {
            process.views.clear();
        }
        let elapsed = net.run_until(6_000, Net::converged);
        assert!(elapsed.is_some(), "seed {seed}: not merged 6 s after a cut of {cut} ms");
        println!("seed {seed}: merged {elapsed:?} ms after a cut of {cut} ms");
        for (at, process) in &net.processes {
            let expected = if process.zone == "zone-0" { 6 } else { 10 };
            let fewest = process.views.iter().filter(|(time, _)| *time > healed).map(|(_, v)| v.members.len()).min();
            assert!(
                fewest.is_none_or(|fewest| fewest >= expected),
                "seed {seed}: {at} dropped members of its own partition"
            );
        }
    }
}

/// Guards against a balancer that joins during an outage of the platform and assigns new flows to a leaving target.
#[test]
fn joining_member_learns_the_leaving_hosts() {
    let mut net = Net::fleet(5, 3, 5_000);
    let host = std::net::Ipv4Addr::new(10, 9, 0, 1);
    let vm = Vm {
        name: "target-1".into(),
        role: "target".into(),
        zone: "zone-0".into(),
        address: host.to_string(),
        state: VmState::Leaving,
    };
    net.store.vms.push(vm);
    net.run(5_000);
    net.store.down = true;
    net.start(50, &[address(0), address(1)]);
    let is_known = |net: &Net| {
        let view = net.processes.get(&address(50)).and_then(|joined| joined.view.as_ref());
        view.and_then(|view| view.hosts.get(&host)).is_some_and(|known| known.state == HostState::Draining)
    };
    let elapsed = net.run_until(3_000, is_known);
    assert!(elapsed.is_some(), "a member that joined does not know of the leaving host after 3 s");
    println!("leaving host known after {elapsed:?} ms");
}

/// Guards against a leaving member to which some peer still assigns new shards, or whose exit counts as a failure.
#[test]
fn leave_reaches_every_peer_within_1_s() {
    let mut net = Net::fleet(4, 16, 5_000);
    let now = net.now;
    net.process(7).node.leave(now);
    let id = net.process(7).view.as_ref().unwrap().me;
    let is_known = |net: &Net| {
        let leaving =
            |v: &poplarpaddle::view::View| v.members.iter().any(|m| m.id == id && m.presence == Presence::Leaving);
        net.processes.values().all(|process| leaving(process.view.as_ref().unwrap()))
    };
    let elapsed = net.run_until(1_000, is_known);
    assert!(elapsed.is_some(), "some peer does not know after 1 s that the member is leaving");
    println!("leaving member known after {elapsed:?} ms");
}

/// Guards against a member table that does not settle when all balancers are replaced at once.
#[test]
fn mass_replacement_settles_within_seconds() {
    let mut net = Net::fleet(6, 16, 5_000);
    for n in 0..16 {
        net.start(100 + n, &[address(n), address((n + 1) % 16)]);
    }
    let joined = net.run_until(5_000, Net::converged);
    assert!(joined.is_some(), "the new members are not known after 5 s");
    let now = net.now;
    for n in 0..16 {
        net.process(n).node.leave(now);
    }
    net.run(1_000);
    assert_eq!(net.members(100, Presence::Alive).len(), 16, "the old members still own shards, or the new ones do not");
    let now = net.now;
    for n in 0..16 {
        net.process(n).node.stop(now);
    }
    net.run(100);
    for n in 0..16 {
        net.kill(n);
    }
    let gone = net.run_until(3_000, Net::converged);
    assert!(gone.is_some(), "the old members are still reachable 3 s after they stopped");
    println!("joined after {joined:?} ms, gone after {gone:?} ms");
}

/// Guards against a configuration that is not in force everywhere within 7 s, and against a node that returns to an
/// older one.
#[test]
fn configuration_spreads_from_one_node() {
    for (seed, loss) in [(1, 0.0), (2, 0.1), (3, 0.1), (4, 0.1)] {
        let mut net = Net::fleet(seed, 16, 5_000);
        net.loss = loss;
        for generation in 1..=5 {
            let parts = ["a", "b", &format!("c{generation}")];
            net.start_with(20 + generation as u16, &[address(3)], FakeConfig::with_parts(generation, &parts));
            let elapsed = net.run_until(7_000, |net| net.generations() == [generation].into());
            assert!(elapsed.is_some(), "seed {seed}: generation {generation} is not in force everywhere after 7 s");
            println!("seed {seed} loss {loss}: generation {generation} after {elapsed:?} ms");
        }
        net.assert_generations_never_decrease();
    }
}

/// Guards against a published configuration that is not in force everywhere within 7 s, and against a node that returns
/// to an older one.
#[test]
fn published_configuration_is_in_force_within_7_s() {
    let mut slowest = 0;
    for seed in 1..=6 {
        let mut net = Net::fleet(seed, 16, 15_000);
        net.loss = 0.1;
        for generation in 1..=5 {
            net.store.publish(generation, &["a", "b", &format!("c{generation}")]);
            let elapsed = net.run_until(7_000, |net| net.generations() == [generation].into());
            assert!(elapsed.is_some(), "seed {seed}: generation {generation} is not in force everywhere after 7 s");
            slowest = slowest.max(elapsed.unwrap());
        }
        net.assert_generations_never_decrease();
    }
    println!("published configuration in force after at most {slowest} ms with 10 % loss");
}

/// Guards against a node that remains without a configuration when it starts during a store outage.
#[test]
fn node_starts_during_store_outage() {
    let mut net = Net::fleet(3, 16, 15_000);
    net.store.publish(4, &["a", "b"]);
    net.run(5_000);
    net.store.down = true;
    net.run(30_000);
    net.start(40, &[address(2)]);
    let at = net.now;
    let before = net.process(40).node.status(at);
    assert_eq!((before.ready, before.reason), (false, Some("no configuration is in force yet")));
    net.run(2_000);
    let at = net.now;
    let status = net.process(40).node.status(at);
    assert!(status.ready && status.generation == 4, "{status:?}");
}

/// Guards against a zone that loses its configuration or its members while it is cut off, or returns to an older
/// configuration after the network has healed.
#[test]
fn zone_cut_off_keeps_and_then_catches_up() {
    for store_reachable in [true, false] {
        let mut net = Net::fleet(9, 16, 15_000);
        net.store.publish(1, &["a"]);
        net.run(7_000);
        net.cut.insert("zone-1".into(), store_reachable);
        net.run(20_000);
        net.store.publish(2, &["b"]);
        net.run(7_000);
        let generation = net.process(1).view.as_ref().unwrap().config.as_ref().unwrap().generation;
        assert_eq!(generation, if store_reachable { 2 } else { 1 }, "generation in the cut zone");
        net.cut.clear();
        let elapsed = net.run_until(7_000, |net| net.converged() && net.generations() == [2].into());
        assert!(
            elapsed.is_some(),
            "store reachable {store_reachable}: the zone has not caught up 7 s after the network healed"
        );
        net.assert_generations_never_decrease();
    }
}

/// Guards against a zone status that still shows the old generation after the 7 s in which a new one has to be in
/// force.
#[test]
fn zone_status_shows_a_new_generation_within_7_s() {
    let mut net = Net::fleet(4, 18, 25_000);
    for generation in 1..4 {
        net.store.publish(generation, &["a"]);
        let shows_generation = |net: &Net, zone: &str| {
            let status = net.store.get("status", zone).unwrap();
            status.value["generation"].as_u64() == Some(generation)
        };
        let elapsed =
            net.run_until(7_000, |net| ["zone-0", "zone-1", "zone-2"].iter().all(|zone| shows_generation(net, zone)));
        assert!(elapsed.is_some(), "the status of a zone does not show generation {generation} after 7 s");
    }
}

/// Guards against a zone without exactly two lease holders, and against more than three contenders in a zone.
#[test]
fn each_zone_has_two_holders() {
    let mut net = Net::fleet(5, 18, 20_000);
    net.assert_single_holders();
    for zone in ["zone-0", "zone-1", "zone-2"] {
        assert_eq!(net.holders(zone).len(), 2, "{zone}");
    }
    let calls = net.store.callers.clone();
    assert!(calls.len() <= 9, "{} of 18 nodes call the store, at most 3 of each zone may", calls.len());
    let now = net.now;
    let holder = net.holders("zone-0")[0];
    net.processes.get_mut(&holder).unwrap().node.leave(now);
    let elapsed = net.run_until(5_000, |net| net.holders("zone-0").iter().filter(|at| **at != holder).count() == 2);
    assert!(elapsed.is_some(), "the lease of a leaving holder is not taken over within 5 s");
}

/// Guards against a paused lease holder that still acts when it resumes, and against a status write with its old epoch
/// that takes effect.
#[test]
fn paused_holder_is_fenced() {
    let mut net = Net::fleet(5, 18, 20_000);
    let holder = net.holders("zone-0")[0];
    let (now, before) = (net.now, net.epochs("zone-0"));
    net.processes.get_mut(&holder).unwrap().pause_until(now + std::time::Duration::from_secs(40));
    net.run(39_000);
    let after = net.epochs("zone-0");
    assert!(after.iter().sum::<u64>() > before.iter().sum(), "no node took over: {before:?} {after:?}");
    net.run(30_000);
    assert_eq!(net.holders("zone-0").len(), 2);
    let status = net.store.get("status", "zone-0").unwrap().value["epochs"].clone();
    for (n, epoch) in net.epochs("zone-0").iter().enumerate() {
        let written = status[n.to_string()].as_u64();
        assert!(written.is_none_or(|written| written <= *epoch), "lease {n}: status has {written:?}, lease {epoch}");
    }
    assert!(net.store.status_epochs_sorted(), "a status with a lower epoch was written after one with a higher epoch");
}

/// Guards against leaving targets that receive new flows because only the lease holders know of them, and against load
/// states that do not reach the data path.
#[test]
fn hosts_reach_the_data_path() {
    let mut net = Net::fleet(7, 16, 20_000);
    let vm = |address: &str, state| {
        let (name, role, zone) = (format!("vm-{address}"), "target".into(), "zone-0".into());
        Vm { name, role, zone, address: address.into(), state }
    };
    let leaving = "10.1.0.1".parse().unwrap();
    net.store.vms.extend([vm("10.1.0.1", VmState::Leaving), vm("10.1.0.2", VmState::Live)]);
    let state =
        |net: &Net, n: u16, host| net.processes[&address(n)].view.as_ref().unwrap().hosts.get(&host).map(|h| h.state);
    let all = |net: &Net| (0..16).all(|n| state(net, n, leaving) == Some(HostState::Draining));
    let elapsed = net.run_until(5_000, all);
    assert!(elapsed.is_some(), "a leaving target is not known everywhere after 5 s");
    println!("leaving target known everywhere after {elapsed:?} ms");

    let polled = "10.1.0.9".parse().unwrap();
    let now = net.now;
    net.process(0).node.set_polled_hosts(now, &[polled]);
    let report = |state: &str| format!(r#"{{"service":"s","slots":3,"busy":1,"connections":9,"state":"{state}"}}"#);
    let cases = [
        (Some(report("cold")), HostState::Cold),
        (Some(report("serving")), HostState::Serving),
        (Some(report("draining")), HostState::Draining),
        (None, HostState::Down),
        (Some(report("serving")), HostState::Serving),
    ];
    for (body, expected) in cases {
        match &body {
            Some(text) => net.loads.insert(polled, text.clone()),
            None => net.loads.remove(&polled),
        };
        net.run(if body.is_none() { 1_500 } else { 0 });
        if body.is_none() {
            assert_ne!(state(&net, 0, polled), Some(HostState::Down), "one or two failed polls mark the host as down");
        }
        net.run(2_200);
        assert_eq!(state(&net, 0, polled), Some(expected), "{body:?}");
    }
    let views = net.process(0).views.len();
    net.loads.insert(polled, report("serving").replace("9", "10"));
    net.run(5_000);
    assert_eq!(net.process(0).views.len(), views, "a change of load figures alone caused a new view");
}

/// Guards against members that gain the shard of a misplaced target and assign new flows to it before they have polled
/// it.
#[test]
fn misplaced_host_is_known_everywhere() {
    let mut net = Net::fleet(9, 16, 15_000);
    net.store.publish(1, &["a"]);
    net.run(7_000);
    let host = std::net::Ipv4Addr::new(10, 1, 0, 8);
    net.loads.insert(host, r#"{"service":"crewdocs","slots":3,"busy":0,"connections":0,"state":"serving"}"#.into());
    let now = net.now;
    net.process(0).node.set_polled_hosts(now, &[host]);
    let state = |net: &Net, n: u16| net.processes[&address(n)].view.as_ref()?.hosts.get(&host).map(|known| known.state);
    let elapsed = net.run_until(3_000, |net| (1..16).all(|n| state(net, n) == Some(HostState::Draining)));
    assert!(elapsed.is_some(), "some member still assigns new flows to a misplaced host after 3 s");
    assert_eq!(state(&net, 0), Some(HostState::Misplaced));
    println!("misplaced host known after {elapsed:?} ms");
}

/// Guards against gossip that exceeds the control budget of 4 KB/s for each node. `examples/gossip.rs` measures larger
/// fleets.
#[test]
fn gossip_stays_within_the_budget() {
    for count in [16, 100] {
        let mut net = Net::fleet(1, count, 20_000);
        assert!(net.converged(), "{count} members do not all know each other 20 s after the start");
        net.store.publish(1, &["a"]);
        net.run(60_000);
        let (_, most) = net.gossip_rate(30_000);
        assert!(most < 4_000, "{count} members: {most} B/s");
    }
}

/// Guards against a generation that no member reads because the restored store has given it the version of another one.
#[test]
fn a_generation_at_a_version_that_was_given_out_before_is_in_force() {
    let mut net = Net::fleet(11, 6, 10_000);
    net.store.publish(1, &["a"]);
    net.run(10_000);
    let copy = net.store.copy();
    net.store.publish(2, &["b"]);
    net.run(10_000);
    assert_eq!(net.generations(), [2].into());
    net.store.down = true;
    net.run(2_000);
    net.store.restore(copy);
    net.store.publish(3, &["c"]);
    net.store.down = false;
    let elapsed = net.run_until(7_000, |net| net.generations() == [3].into());
    assert!(elapsed.is_some(), "generations {:?} 7 s after the store is back", net.generations());
}
