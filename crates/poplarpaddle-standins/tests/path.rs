//! Requests from callers through the fabric to targets and back.

mod common;

use common::{Net, caller_settings};
use poplarpaddle_standins::record::Record;

/// Guards against stand-ins that break flows by themselves, which would be blamed on the balancer.
#[test]
fn every_request_is_answered_without_faults() {
    let net = Net::start(3, |_| {});
    let summary = net.call(caller_settings(net.fabric));
    let records = net.finish();
    let runs = records.iter().filter(|record| matches!(record, Record::Run(_))).count() as u64;
    assert!(summary.counts["requests"] > 300, "{summary:?}");
    assert_eq!(summary.counts["answered"], summary.counts["requests"], "{summary:?}");
    assert_eq!(summary.counts["requests"], runs);
    assert_eq!(summary.counts.get("broken_flows"), None);
    assert_eq!(summary.counts["unfinished_flows"], 0);
}
