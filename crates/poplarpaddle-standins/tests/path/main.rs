//! Tests requests from callers through the fabric to targets and back.

#![allow(missing_docs, reason = "test code")]

mod common;

use common::{Network, caller_settings};
use poplarpaddle_standins::caller::Settings;
use poplarpaddle_standins::{clock, target};

const fn unchanged(_: &mut target::Settings) {}

const fn intact(_: &mut [u8]) {}

/// Guards against stand-ins that break flows themselves, which would be attributed to the balancer.
#[test]
fn every_request_is_answered_without_faults() {
    let net = Network::start(3, unchanged, intact);
    net.run_callers(Settings { pipeline: 3, ..caller_settings(net.fabric) });
    let report = net.finish();
    assert!(report.is_clean() && report.requests > 300, "{report:?}");
    assert_eq!((report.answered, report.runs), (report.requests, report.requests), "{report:?}");
}

/// Guards against a TCP stack that does not retransmit, or that mishandles duplicate and reordered packets.
#[test]
fn every_request_is_answered_on_a_lossy_network() {
    let net = Network::start(3, unchanged, intact);
    // Every retransmission doubles the initial timeout of 1 s, so 30 s allow for 4 consecutive losses.
    net.engine.lock().faults.loss = 0.01;
    net.engine.lock().faults.duplicate = 0.05;
    net.engine.lock().faults.reorder = 0.1;
    net.run_callers(Settings { timeout: 30 * clock::SECOND, ..caller_settings(net.fabric) });
    let lost = net.engine.lock().counts.lost;
    let report = net.finish();
    assert!(lost > 0 && report.is_clean(), "{lost} lost, {report:?}");
    assert_eq!(report.answered, report.requests, "{report:?}");
}

/// Guards against refused requests that run nevertheless, and against targets that never refuse connections.
#[test]
fn a_full_target_refuses_connections_and_runs_none_of_their_requests() {
    let slow = |settings: &mut target::Settings| {
        settings.slots = 1;
        settings.queue = 2;
        settings.service_time.mean = 100 * clock::MILLISECOND;
    };
    let net = Network::start(1, slow, intact);
    net.run_callers(Settings { long: 0, ..caller_settings(net.fabric) });
    let report = net.finish();
    assert!(report.refused > 0 && report.answered > 0 && report.is_clean(), "{report:?}");
}

/// Guards against a target that ignores the deadline, and against counting its response as a run.
#[test]
fn a_request_past_its_deadline_does_not_run() {
    let slow = |settings: &mut target::Settings| {
        settings.slots = 1;
        settings.service_time.mean = 50 * clock::MILLISECOND;
    };
    let net = Network::start(1, slow, intact);
    net.run_callers(Settings { long: 0, deadline: 100 * clock::MILLISECOND, ..caller_settings(net.fabric) });
    let report = net.finish();
    assert!(report.expired > 0 && report.is_clean(), "{report:?}");
    assert_eq!(report.answered, report.runs, "{report:?}");
}

/// Guards against a target that runs a request of another service without recording it as misrouted.
#[test]
fn a_request_of_another_service_is_recorded_and_not_run() {
    let net = Network::start(1, |settings| settings.service = "crewdocs".into(), intact);
    net.run_callers(Settings { long: 0, duration: clock::SECOND / 5, ..caller_settings(net.fabric) });
    let report = net.finish();
    assert!(report.misrouted > 0 && report.runs == 0, "{report:?}");
    assert_eq!((report.misrouted, report.reset), (report.requests, report.requests), "{report:?}");
}

/// Guards against callers that do not check every byte of a response.
#[test]
fn a_changed_byte_makes_a_response_wrong() {
    let corrupt = |payload: &mut [u8]| {
        if let Some(last) = payload.last_mut() {
            *last ^= 1;
        }
    };
    let net = Network::start(1, unchanged, corrupt);
    net.run_callers(Settings { long: 0, duration: clock::SECOND / 5, ..caller_settings(net.fabric) });
    let report = net.finish();
    assert!(report.requests > 0, "{report:?}");
    assert_eq!(report.wrong_answers, report.requests, "{report:?}");
}

/// Guards against undetected broken flows: silenced flows have to time out, and other flows have to work.
#[test]
fn silenced_flows_count_as_broken() {
    let net = Network::start(1, unchanged, intact);
    let settings =
        Settings { rate: 0.0, timeout: clock::SECOND, duration: 3 * clock::SECOND, ..caller_settings(net.fabric) };
    let engine = net.engine.clone();
    let silenced = std::thread::spawn(move || {
        while engine.lock().flows.len() < 20 {
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
        engine.lock().silence_share(0.5)
    });
    net.run_callers(settings);
    let silenced = silenced.join().unwrap() as u64;
    let report = net.finish();
    assert!(silenced > 0 && report.broken_flows == silenced, "{silenced} silenced, {report:?}");
    assert_eq!(report.broken_by_cause["timeout"], silenced, "{report:?}");
}
