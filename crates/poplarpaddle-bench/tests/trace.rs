//! Tests the trace format, and replays the committed trace against its expected outcomes.

use std::fs;
use std::path::PathBuf;

use poplarpaddle::admission::Order;
use poplarpaddle_bench::report::Plan;
use poplarpaddle_bench::scenario::{DEPLOYMENTS, Policy, SCENARIOS};
use poplarpaddle_bench::trace::{self, Generator, Record};
use serde::Deserialize;

/// Parameters of the generator for the committed trace.
const SEED: u64 = 42;
const SECONDS: u64 = 1;
const LOAD: u32 = 40;
const CHURN: u32 = 10;
const STANDING_PER_HOST: u32 = 4;

/// Expected outcome of a replay in a scenario: the lower bounds of the figures. Besides, no flow may break, and no
/// request may run twice or after a refusal.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Expected {
    scenario: String,
    in_time: f64,
    kept: Option<f64>,
}

fn file(name: &str) -> Vec<u8> {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("traces").join(name);
    fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn committed() -> Vec<Record> {
    trace::read(file("kauri-small.jsonl").as_slice()).expect("the committed trace is valid")
}

fn generator() -> Generator<'static> {
    Generator { deployment: &DEPLOYMENTS[0], seed: SEED, seconds: SECONDS }
}

/// Guards against outcomes that hold only for traces of the current generator.
#[test]
fn committed_trace_has_its_expected_outcomes() {
    let records = committed();
    let expected: Vec<Expected> = serde_json::from_slice(&file("kauri-small.outcomes.json")).expect("valid outcomes");
    assert_eq!(expected.len(), SCENARIOS.len());
    for expected in expected {
        let scenario = SCENARIOS.into_iter().find(|known| known.name == expected.scenario).expect("scenario exists");
        let plan = Plan { deployment: &DEPLOYMENTS[0], scenario, seed: SEED, seconds: SECONDS };
        let flood = scenario.flood.map_or_else(Vec::new, |flood| generator().flood(flood.priority, flood.load));
        let line = plan.replay(Policy::Design(Order::Arrival), &records, &flood).expect("the trace fits");
        assert_eq!((line.broken_flows, line.run_twice, line.refused_but_run), (0, 0, 0), "{line:?}");
        assert!(line.in_time >= expected.in_time, "{expected:?}: {line:?}");
        assert!(line.kept >= expected.kept, "{expected:?}: {line:?}");
    }
}

/// Guards against a generator that depends on more than its parameters, and against a writer whose output the reader
/// rejects.
#[test]
fn generator_reproduces_the_committed_trace() {
    let records = generator().steady(LOAD, CHURN, STANDING_PER_HOST);
    assert_eq!(records, committed());
    let mut written = Vec::new();
    trace::write(&mut written, &records).expect("writing to memory succeeds");
    assert_eq!(written, file("kauri-small.jsonl"));
}

/// Guards against an invalid trace that is replayed in part, and against errors without a line number.
#[test]
fn errors_name_the_line() {
    let good = r#"{"time_us":5,"caller":"10.0.0.1:1024","port":8000,"service_us":1,"deadline_us":9}"#;
    let cases = [
        ("{}", "line 2 is not a valid record"),
        (&good.replace(":5,", ":4,"), "line 2: time_us 4 is before 5"),
        (&good.replace("port", "sport"), "line 2 is not a valid record"),
        (&good.replace("10.0.0.1", "10.0.0.256"), "line 2 is not a valid record"),
    ];
    for (bad, expected) in cases {
        let error = trace::read(format!("{good}\n{bad}\n").as_bytes()).expect_err("the trace is invalid");
        assert_eq!(error.to_string(), expected, "{bad}");
    }
}

/// Guards against a replay that skips requests for a port that no service has.
#[test]
fn unknown_port_is_an_error() {
    let mut records = committed();
    records[0].port = 9_999;
    let plan = Plan { deployment: &DEPLOYMENTS[0], scenario: SCENARIOS[0], seed: SEED, seconds: SECONDS };
    let error = plan.replay(Policy::Naive, &records, &[]).expect_err("the port is unknown");
    assert!(error.to_string().contains("no service has port 9999"), "{error}");
}
