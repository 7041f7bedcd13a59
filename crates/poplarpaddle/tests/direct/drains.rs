//! Guards against openings that reach the hosts of a drained zone, and flows that a drain disturbs.

use poplarpaddle::direct::{Engine, Settings, Verdict};
use poplarpaddle::mark::{HostId, Mark};
use poplarpaddle::packet::Kind;
use poplarpaddle::registry::{Host, Service};

use super::support::{Harness, flow, host, route};

/// Returns the index in [`ZONES`](super::support::ZONES) of a host's zone.
fn zone_of(host: HostId) -> u64 {
    host.0 / 100
}

impl Harness {
    fn drain(&mut self, zone: &str) {
        self.engine.set_zone_drain(self.now, zone, true, &mut self.record);
    }

    fn take_back(&mut self, zone: &str) {
        self.engine.set_zone_drain(self.now, zone, false, &mut self.record);
    }

    /// Opens `count` flows that end at once and returns the zones of their hosts.
    fn zones_of_openings(&mut self, first_caller: u16, count: u16) -> Vec<u64> {
        (first_caller..first_caller + count)
            .map(|caller| {
                let placed = self.establish(flow(caller, 443));
                self.send(flow(caller, 443), Mark::of(placed), Kind::Closing, 0, 60);
                zone_of(placed)
            })
            .collect()
    }
}

#[test]
fn an_order_is_in_force_from_the_next_opening_on_until_it_ends() {
    let mut harness = Harness::with_hosts(1, 4);
    harness.drain("b");
    let zones = harness.zones_of_openings(1, 200);
    assert!(!zones.contains(&1) && zones.contains(&0) && zones.contains(&2), "{zones:?}");
    harness.take_back("b");
    harness.advance(3000);
    assert!(harness.zones_of_openings(1000, 200).contains(&1));
}

#[test]
fn two_drains_overlap() {
    let mut harness = Harness::with_hosts(2, 4);
    harness.drain("a");
    harness.drain("b");
    assert!(harness.zones_of_openings(1, 100).iter().all(|zone| *zone == 2));
    harness.take_back("a");
    harness.advance(3000);
    let zones = harness.zones_of_openings(1000, 100);
    assert!(zones.contains(&0) && !zones.contains(&1), "{zones:?}");
}

/// A host that registers in a drained zone, or in one that is new, must not get openings either.
#[test]
fn hosts_that_register_during_a_drain_get_no_openings() {
    let mut harness = Harness::new(3);
    harness.route(443, Some(&route("bookings")));
    harness.drain("c");
    harness.register(&host(1, "bookings", "a"));
    harness.register(&host(201, "bookings", "c"));
    assert!(harness.zones_of_openings(1, 50).iter().all(|zone| *zone == 0));
}

/// An opening that waits for capacity when the order arrives is placed later, and must not be placed in the zone.
#[test]
fn queued_openings_leave_the_zone() {
    let mut harness = Harness::with_slots(4, 1, 1);
    let mut caller = 0;
    while !harness.record.decisions.iter().any(|(_, verdict, _)| *verdict == Verdict::Queued) {
        caller += 1;
        harness.send_opening(flow(caller, 443), 0);
        let (_, verdict, _) = harness.record.decisions.last().copied().unwrap();
        if verdict == Verdict::Placed {
            let mark = harness.last_hop().mark.unwrap();
            harness.advance(1);
            harness.send(flow(caller, 443), mark, Kind::Data, 100, 50);
        }
    }
    harness.drain("b");
    harness.record.sent.clear();
    harness.advance(1000);
    let hop = harness.record.sent.iter().find(|sent| sent.bytes.len() == 2).expect("the queue was served").hop;
    assert_ne!(zone_of(hop.host), 1);
}

/// Openings that arrive before the drains are known wait, since the zones that they may go to are not known.
#[test]
fn buffered_openings_wait_for_the_drains() {
    let mut harness = Harness::new(5);
    harness.engine = Engine::new(Settings { zone: "a".into(), seed: 5, zone_drains: true, ..Default::default() });
    harness.register(&host(1, "bookings", "a"));
    harness.register(&host(101, "bookings", "b"));
    harness.route(443, Some(&route("bookings")));
    for caller in 1..=20 {
        harness.send_opening(flow(caller, 443), 0);
    }
    harness.advance(20);
    assert!(harness.record.sent.is_empty());
    harness.drain("a");
    harness.engine.zone_drains_known();
    harness.advance(1);
    assert_eq!(harness.record.sent.iter().filter(|sent| zone_of(sent.hop.host) == 1).count(), 20);
}

/// Opens flows until one was sent to `zone`, and returns its caller. Hosts of other zones answer.
fn pending_in(harness: &mut Harness, zone: u64) -> u16 {
    (1..)
        .find(|caller| {
            harness.send_opening(flow(*caller, 443), 0);
            let hop = harness.last_hop();
            let is_found = zone_of(hop.host) == zone;
            if !is_found {
                harness.advance(8);
                harness.send(flow(*caller, 443), hop.mark.unwrap(), Kind::Data, 100, 50);
                harness.send(flow(*caller, 443), hop.mark.unwrap(), Kind::Closing, 0, 60);
            }
            is_found
        })
        .unwrap()
}

/// A copy of an opening counts by its arrival, so the caller's copy leaves the zone once other hosts have answered.
#[test]
fn an_opening_that_its_caller_repeats_leaves_the_zone_if_others_answer() {
    let mut harness = Harness::with_hosts(6, 1);
    let caller = pending_in(&mut harness, 1);
    harness.drain("b");
    harness.advance(10);
    harness.zones_of_openings(5000, 5);
    harness.send_opening(flow(caller, 443), 1);
    assert_ne!(zone_of(harness.last_hop().host), 1);
}

/// While no other host answers, the first answer may still be on its way, and a second host would break the flow.
#[test]
fn an_opening_that_its_caller_repeats_stays_while_nobody_answers() {
    let mut harness = Harness::with_hosts(6, 1);
    let caller = pending_in(&mut harness, 1);
    harness.drain("b");
    harness.advance(200);
    harness.send_opening(flow(caller, 443), 1);
    assert_eq!(zone_of(harness.last_hop().host), 1);
}

#[test]
fn established_flows_stay() {
    let mut harness = Harness::with_hosts(7, 4);
    let (caller, placed) = (1..)
        .map(|caller| (caller, harness.establish(flow(caller, 443))))
        .find(|(_, placed)| zone_of(*placed) == 1)
        .unwrap();
    harness.drain("b");
    for step in 0..20 {
        harness.advance(500);
        harness.send(flow(caller, 443), Mark::of(placed), Kind::Data, 100, 60 + step);
        assert_eq!(harness.last_hop().host, placed);
    }
    assert!(harness.record.resets.is_empty());
}

/// An order that leaves no host must not refuse every caller.
#[test]
fn with_all_zones_drained_openings_are_placed_as_if_none_was_and_an_event_says_so() {
    let mut harness = Harness::with_hosts(8, 4);
    for zone in ["a", "b", "c"] {
        harness.drain(zone);
    }
    let zones = harness.zones_of_openings(1, 100);
    assert!((0..3).all(|zone| zones.contains(&zone)), "{zones:?}");
    let reports =
        |harness: &Harness| harness.record.events.iter().filter(|e| *e == "zones.all_drained bookings").count();
    assert_eq!(reports(&harness), 1);
    harness.take_back("b");
    assert!(harness.zones_of_openings(1000, 50).iter().all(|zone| *zone == 1));
    harness.drain("b");
    harness.zones_of_openings(2000, 50);
    assert_eq!(reports(&harness), 2, "a new change is reported anew");
}

/// The draw of candidates in a large service must find the few hosts outside the drained zones.
#[test]
fn the_few_hosts_left_in_a_large_service_are_found() {
    let mut harness = Harness::new(9);
    for number in 0..300 {
        harness.register(&host(1000 + number, "bookings", "a"));
    }
    harness.register(&host(1, "bookings", "b"));
    harness.route(443, Some(&route("bookings")));
    harness.drain("a");
    for caller in 1..200 {
        assert_eq!(harness.establish(flow(caller, 443)), HostId(1));
    }
}

/// Orders of operators may name zones that do not exist.
#[test]
fn an_order_for_an_unknown_zone_is_logged_and_harmless() {
    let mut harness = Harness::with_hosts(10, 2);
    harness.drain("nowhere");
    harness.drain("");
    let zones = harness.zones_of_openings(1, 100);
    assert!((0..3).all(|zone| zones.contains(&zone)), "{zones:?}");
    assert!(harness.record.events.contains(&"zone.without_hosts nowhere".to_owned()));
}

/// An idle, cold host looks like the best one to every balancer when its zone returns.
#[test]
fn hosts_of_a_zone_that_returns_are_presumed_cold_for_a_while() {
    // A cold host costs 1.7 times as much, so a warm one with four requests is as good as a cold one with two.
    let mut harness = Harness::with_hosts(11, 1);
    let share_of_zone = |harness: &mut Harness, first_caller: u16| {
        (first_caller..first_caller + 270).filter(|caller| zone_of(harness.establish(flow(*caller, 443))) == 1).count()
    };
    let close = |harness: &mut Harness, first_caller: u16| {
        for caller in first_caller..first_caller + 270 {
            for id in [1, 101, 201] {
                harness.send(flow(caller, 443), Mark::of(HostId(id)), Kind::Closing, 0, 60);
            }
        }
    };
    harness.drain("b");
    harness.take_back("b");
    let cold = share_of_zone(&mut harness, 1);
    close(&mut harness, 1);
    assert!((60..80).contains(&cold), "{cold}");

    harness.drain("b");
    harness.take_back("b");
    harness.register(&Host { slots: 101, ..host(101, "bookings", "b") });
    let early = share_of_zone(&mut harness, 1000);
    close(&mut harness, 1000);
    assert!((60..80).contains(&early), "the registration may be older than the return: {early}");

    harness.drain("b");
    harness.take_back("b");
    harness.advance(600);
    harness.register(&Host { slots: 100, ..host(101, "bookings", "b") });
    let registered = share_of_zone(&mut harness, 2000);
    close(&mut harness, 2000);
    assert!((85..95).contains(&registered), "{registered}");
}

/// Hosts that start more slowly than usual would count as warm too early, and get the flows of warm ones.
#[test]
fn hosts_of_a_zone_that_returns_are_presumed_cold_for_the_time_that_their_service_states() {
    for (cold_start_ms, cold_after_3_s, cold_after_6_s) in [(0, false, false), (5000, true, false)] {
        let mut harness = Harness::with_hosts(12, 1);
        let service = Service { name: "bookings".into(), cold_start_ms, cold_rate: 0 };
        harness.engine.set_services(harness.now, &[service]);
        harness.drain("b");
        harness.take_back("b");
        for (first_caller, is_cold) in [(1, cold_after_3_s), (1000, cold_after_6_s)] {
            harness.advance(3000);
            let flows = first_caller..first_caller + 270;
            let placed: Vec<_> = flows.clone().map(|caller| harness.establish(flow(caller, 443))).collect();
            let share = placed.iter().filter(|host| zone_of(**host) == 1).count();
            let expected = if is_cold { 60..80 } else { 85..95 };
            assert!(expected.contains(&share), "{cold_start_ms} ms: {share} of the flows from {first_caller} on");
            for (caller, host) in flows.zip(placed) {
                harness.send(flow(caller, 443), Mark::of(host), Kind::Closing, 0, 60);
            }
        }
    }
}
