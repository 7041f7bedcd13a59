//! Tests the evaluation of the records of a run.

#![allow(missing_docs, reason = "test code")]

use poplarpaddle_standins::judge::{Exemption, Judge, Report};
use serde_json::{Value, json};

fn request(id: u64, idempotent: bool, outcome: &str) -> Value {
    json!({"record": "request", "id": id, "service": "bookings", "idempotent": idempotent, "outcome": outcome,
        "start_us": 1, "end_us": 9, "flow": "127.20.0.1:1024", "tries": 1})
}

fn run(id: u64) -> Value {
    json!({"record": "run", "id": id, "service": "bookings", "target": "127.10.0.1", "start_us": 2, "end_us": 3})
}

fn flow(broken: Option<&str>) -> Value {
    json!({"record": "flow", "flow": "127.20.0.1:1024>127.30.0.1:8000", "service": "bookings", "long": true,
        "established": true, "broken": broken, "answered": 1, "start_us": 1, "end_us": 9})
}

fn misrouted() -> Value {
    json!({"record": "misrouted", "id": 1, "service": "crewdocs", "target": "127.10.0.1",
        "target_service": "bookings", "time_us": 5})
}

fn late_opening(after_us: u64) -> Value {
    json!({"record": "late_opening", "target": "127.10.0.1", "caller": "127.20.0.1:1024", "after_us": after_us})
}

fn judge(records: &[Value]) -> Report {
    let mut judge = Judge::new(3);
    for record in records {
        judge.read(&record.to_string());
    }
    judge.report()
}

/// Guards against a judge that overlooks a violated rule.
#[test]
fn each_fault_is_counted_and_fails_the_run() {
    let answered = request(1, false, "answered");
    let cases = [
        ("run_twice", vec![answered.clone(), run(1), run(1)]),
        ("run_twice", vec![run(1), run(1)]),
        ("refused_but_run", vec![request(1, true, "refused"), run(1)]),
        ("refused_but_run", vec![request(1, true, "expired"), run(1)]),
        ("misrouted", vec![misrouted()]),
        ("wrong_answers", vec![request(1, true, "wrong_answer"), run(1)]),
        ("wrong_answers", vec![answered]),
        ("broken_flows", vec![flow(Some("reset"))]),
        ("late_openings", vec![late_opening(5_000_001)]),
    ];
    for (fault, records) in cases {
        let report = judge(&records);
        assert!(!report.is_clean(), "{fault}: {report:?}");
        assert_eq!(serde_json::to_value(&report).unwrap()[fault], 1, "{fault}: {report:?}");
    }
}

/// Guards against false alarms for allowed outcomes.
#[test]
fn allowed_outcomes_do_not_fail_the_run() {
    let records = [
        request(1, false, "answered"),
        run(1),
        request(2, false, "refused"),
        request(3, true, "answered"),
        run(3),
        run(3),
        request(4, false, "timeout"),
        run(4),
        flow(None),
        late_opening(5_000_000),
    ];
    let report = judge(&records);
    assert!(report.is_clean(), "{report:?}");
    let counts = (report.requests, report.answered, report.refused, report.idempotent_run_twice, report.seed);
    assert_eq!(counts, (4, 2, 1, 1, 3));
}

/// Guards against exemptions that hide flows which broke for another cause.
#[test]
fn only_flows_broken_by_the_named_cause_are_exempt() {
    let killed = |target: &str| Exemption { killed_targets: vec![target.into()], max_resets: 0 };
    let silenced = |max_resets| Exemption { killed_targets: Vec::new(), max_resets };
    let cases = [
        (killed("127.10.0.1"), vec![request(1, true, "reset"), run(1), flow(Some("reset"))], true),
        (killed("127.10.0.2"), vec![request(1, true, "reset"), run(1), flow(Some("reset"))], false),
        (killed("127.10.0.1"), vec![flow(Some("reset"))], false),
        (silenced(1), vec![flow(Some("reset"))], true),
        (silenced(1), vec![flow(Some("reset")), flow(Some("reset"))], false),
        (silenced(1), vec![flow(Some("timeout"))], false),
    ];
    for (exemption, records, clean) in cases {
        let mut judge = Judge::new(3);
        judge.exempt(exemption.clone());
        for record in &records {
            judge.read(&record.to_string());
        }
        assert_eq!(judge.report().is_clean(), clean, "{exemption:?} {records:?}");
    }
}
