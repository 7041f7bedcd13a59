//! Tests of leases with lost responses, pauses and competing contenders.
#![allow(missing_docs, clippy::pedantic, reason = "test names describe the behavior")]

use poplarpaddle::lease::{Lease, Settings};
use poplarpaddle::path::MemberId;
use poplarpaddle::store::{Call, Object, Outcome};
use poplarpaddle::time::Time;

const fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn object(version: u64, value: serde_json::Value) -> Outcome {
    Outcome::Object(Some(Object { kind: "lease".into(), name: "z-0".into(), version, value }))
}

fn contender(id: u64) -> Lease {
    Lease::new(Settings::default(), "z-0", MemberId(id))
}

/// Lets the contender read the object as `seen` and returns its next call.
fn read_then_tick(lease: &mut Lease, now: u64, seen: &Outcome) -> Option<Call> {
    assert!(matches!(lease.tick(at(now), true), Some(Call::Get { .. })), "a read is due at {now}");
    lease.handle_outcome(at(now), seen);
    lease.tick(at(now), true)
}

/// Returns the write that is due. If a read is due first, the contender reads the object as `seen`.
fn next_write(lease: &mut Lease, now: u64, seen: &Outcome) -> Option<Call> {
    match lease.tick(at(now), true) {
        Some(Call::Get { .. }) => {
            lease.handle_outcome(at(now), seen);
            lease.tick(at(now), true)
        }
        write => write,
    }
}

/// Guards against a lost response that is treated as a failure or a success without a read-back, and against a renewal
/// deadline that counts from a later write than the first.
#[test]
fn lost_answer_is_read_back() {
    // `late`: the first write takes effect after the read-back, before the repeated one.
    for (took_effect, late) in [(true, false), (false, false), (false, true)] {
        let mut lease = contender(7);
        let Some(Call::Put { value, version: 0, .. }) = read_then_tick(&mut lease, 5, &Outcome::Object(None)) else {
            panic!("no write")
        };
        lease.handle_outcome(at(1_000), &Outcome::Unknown);
        assert_eq!(lease.holds(at(1_000)), None, "an unknown outcome was treated as a success");
        let seen = if took_effect { object(1, value.clone()) } else { Outcome::Object(None) };
        let again = read_then_tick(&mut lease, 1_000, &seen);
        if !took_effect {
            assert!(matches!(&again, Some(Call::Put { value: v, version: 0, .. }) if *v == value), "{again:?}");
            lease.handle_outcome(at(1_020), &if late { Outcome::Conflict(1) } else { Outcome::Written(1) });
        }
        if late {
            assert_eq!(read_then_tick(&mut lease, 1_020, &object(1, value)), None);
        }
        assert_eq!(lease.holds(at(1_040)), Some(1), "took_effect {took_effect}, late {late}");
        assert_eq!(lease.holds(at(8_004)), Some(1));
        assert_eq!(lease.holds(at(8_005)), None, "the deadline must count from the first write");
    }
}

/// Guards against a renewal with a lost response that wrongly ends or extends the lease.
#[test]
fn renewal_with_a_lost_answer() {
    for taken_over in [false, true] {
        let mut lease = contender(7);
        read_then_tick(&mut lease, 0, &Outcome::Object(None));
        lease.handle_outcome(at(5), &Outcome::Written(1));
        let Some(Call::Put { value, version: 1, .. }) = lease.tick(at(2_500), true) else { panic!("no renewal") };
        assert_eq!(value["renewal"], 1);
        lease.handle_outcome(at(4_500), &Outcome::Unknown);
        let rival = serde_json::json!({ "holder": "rival", "epoch": 2, "renewal": 0 });
        let seen = if taken_over { object(3, rival) } else { object(2, value) };
        assert_eq!(read_then_tick(&mut lease, 4_500, &seen), None);
        assert_eq!(lease.holds(at(4_600)), (!taken_over).then_some(1));
        assert_eq!(
            lease.holds(at(10_499)),
            (!taken_over).then_some(1),
            "the deadline must count from the time at which the renewal was sent"
        );
        assert_eq!(lease.holds(at(10_500)), None);
    }
}

/// Guards against a takeover before the holder has stopped, and against an epoch that does not increase.
#[test]
fn takeover_waits_for_an_unchanged_version() {
    let value = |renewal: u64| serde_json::json!({ "holder": "other", "epoch": 4, "renewal": renewal });
    let mut lease = contender(7);
    let mut now = 0;
    for renewal in 1..=6 {
        assert_eq!(
            read_then_tick(&mut lease, now, &object(renewal, value(renewal))),
            None,
            "a renewed lease must not be taken over"
        );
        now = lease.deadline().as_millis();
    }
    let last = now;
    let mut call = None;
    while call.is_none() {
        call = next_write(&mut lease, now, &object(7, value(7)));
        now = lease.deadline().as_millis();
        assert!(now < last + 20_000, "no takeover");
    }
    assert!(now >= last + 10_000, "taken over after {} ms", now - last);
    assert!(matches!(&call, Some(Call::Put { version: 7, value, .. }) if value["epoch"] == 5), "{call:?}");
}

/// Guards against a holder that continues to act when its release took effect but the response was lost.
#[test]
fn releasing_holder_stops_at_once() {
    let mut lease = contender(7);
    read_then_tick(&mut lease, 0, &Outcome::Object(None));
    lease.handle_outcome(at(5), &Outcome::Written(1));
    let call = lease.tick(at(100), false);
    assert!(matches!(&call, Some(Call::Put { version: 1, value, .. }) if value["holder"] == ""), "{call:?}");
    assert_eq!(lease.holds(at(100)), None);
    lease.handle_outcome(at(1_000), &Outcome::Unknown);
    assert_eq!(lease.holds(at(1_000)), None);
}

/// Guards against a paused holder that resumes without a read, and against one that renews a lease after a takeover.
#[test]
fn paused_holder_reads_before_it_writes() {
    for rival in [false, true] {
        let mut lease = contender(7);
        read_then_tick(&mut lease, 0, &Outcome::Object(None));
        lease.handle_outcome(at(5), &Outcome::Written(1));
        assert_eq!(lease.holds(at(60_000)), None);
        let holder = if rival { "rival".to_owned() } else { MemberId(7).to_string() };
        let value = serde_json::json!({ "holder": holder, "epoch": 1 + u64::from(rival), "renewal": 0 });
        let next = read_then_tick(&mut lease, 60_000, &object(1 + u64::from(rival), value));
        assert_eq!(matches!(next, Some(Call::Put { version: 1, .. })), !rival, "{next:?}");
    }
}

/// Guards against a malformed lease object that blocks all contenders or is taken over at once.
#[test]
fn malformed_object_is_taken_over_after_the_lease_time() {
    for value in [serde_json::json!(null), serde_json::json!({ "epoch": -1 }), serde_json::json!("x")] {
        let mut lease = contender(7);
        assert_eq!(read_then_tick(&mut lease, 0, &object(3, value.clone())), None);
        let call = next_write(&mut lease, 10_000, &object(3, value.clone()));
        assert!(matches!(call, Some(Call::Put { version: 3, .. })), "{value}: {call:?}");
    }
}

/// Guards against a contender that takes over from a live holder because a restored store has given the version of an
/// earlier renewal to the latest one.
#[test]
fn a_renewal_at_a_version_that_was_given_out_before_counts() {
    let renewal = |renewal: u64| object(5, serde_json::json!({ "holder": "rival", "epoch": 1, "renewal": renewal }));
    let mut lease = contender(7);
    assert_eq!(read_then_tick(&mut lease, 0, &renewal(4)), None);
    assert_eq!(read_then_tick(&mut lease, 9_900, &renewal(9)), None);
    assert!(next_write(&mut lease, 10_000, &renewal(9)).is_none(), "the holder renewed the lease 100 ms ago");
    assert!(next_write(&mut lease, 19_900, &renewal(9)).is_some(), "the lease has expired");
}
