//! Tests of the decisions about hedges.

use std::time::Duration;

use poplarpaddle::hedge::{Policy, Refusal, Room, Settings};

const ROOM: Room = Room { free: 30, slots: 40, waiting: 0 };

fn policy(percent: u32) -> Policy {
    Policy::new(Settings { percent, ..Default::default() })
}

/// Guards against a burst of slow openings that gets more extra work than the limit allows, over any number of openings.
#[test]
fn budget_holds_over_every_window() {
    let settings = Settings { percent: 5, ..Default::default() };
    let mut policy = Policy::new(settings);
    let mut hedges = vec![0];
    for opening in 0_u32..3_000 {
        policy.record_accept(Duration::from_millis(1));
        // Slow openings come in bursts and one by one.
        let wants_hedge = (500..900).contains(&opening) || opening % 7 == 0;
        let sent = wants_hedge && policy.check(ROOM) == Ok(());
        hedges.push(hedges[hedges.len() - 1] + u32::from(sent));
    }
    for (from, before) in hedges.iter().enumerate() {
        for (to, after) in hedges.iter().enumerate().skip(from) {
            let openings = u32::try_from(to - from).unwrap();
            let allowed = openings * settings.percent / 100 + settings.burst;
            assert!(after - before <= allowed, "openings {from} to {to}");
        }
    }
    assert!(hedges[3_000] >= 140, "the limit is used: {}", hedges[3_000]);
}

/// Guards against hedges before the usual time is known, and of ordinary openings where all take about the same time.
#[test]
fn delay_follows_from_measured_times() {
    let mut policy = policy(5);
    assert_eq!(policy.delay(), None);
    for micros in 0..600 {
        policy.record_accept(Duration::from_micros(4_000 + micros));
    }
    let delay = policy.delay().unwrap();
    assert!((Duration::from_millis(8)..Duration::from_millis(12)).contains(&delay), "{delay:?}");
}

/// Guards against a delay that the openings of one slow target of twelve raise to their own time, and against hedging
/// when a quarter of the targets is slow.
#[test]
fn few_slow_openings_do_not_raise_the_delay() {
    for (stride, is_hedged) in [(12, true), (4, false)] {
        let mut policy = policy(5);
        for opening in 0..2_000 {
            let time = if opening % stride == 0 { 300 } else { 4 };
            policy.record_accept(Duration::from_millis(time));
        }
        assert_eq!(policy.delay().unwrap() < Duration::from_millis(300), is_hedged, "one of {stride}");
    }
}

/// Guards against a delay that stays low after all targets became slower.
#[test]
fn delay_forgets_old_times() {
    let mut policy = policy(5);
    for opening in 0..8_000 {
        policy.record_accept(Duration::from_millis(if opening < 5_000 { 4 } else { 40 }));
    }
    assert!(policy.delay().unwrap() >= Duration::from_millis(80));
}

/// Guards against extra work in an overload, and against a refusal for lack of room that uses up the budget.
#[test]
fn short_of_slots_means_no_hedge() {
    let mut policy = policy(100);
    policy.record_accept(Duration::from_millis(1));
    let full = [Room { free: 9, ..ROOM }, Room { waiting: 1, ..ROOM }, Room::default()];
    for room in full {
        assert_eq!(policy.check(room), Err(Refusal::NoRoom), "{room:?}");
    }
    assert_eq!(policy.check(Room { free: 10, ..ROOM }), Ok(()));
    assert_eq!(policy.check(ROOM), Err(Refusal::Budget));
}
