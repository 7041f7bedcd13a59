//! Costs of polling hosts at one node, by the number of hosts, and size of the platform's VM list.

use poplarpaddle::store::{Vm, VmState};

use super::harness::Harness;
use super::{Line, Metric, count, lines};

/// Numbers of hosts polled by a node. In a fleet of the target size the members of each region share all hosts, which
/// gives 29 to each member.
const SIZES: [u32; 5] = [8, 29, 120, 480, 1920];

/// Numbers of VMs in the platform's list, up to the target size.
const VM_COUNTS: [u32; 3] = [8_300, 41_500, 83_000];

/// Number of members of the region.
const MEMBERS: u32 = 16;

/// Duration of a measurement in milliseconds.
const MEASURED_MS: u64 = 60_000;

const fn metric(name: &'static str, unit: &'static str) -> Metric {
    Metric { group: "host", name, size: "hosts polled by a node", unit }
}

const METRICS: [Metric; 3] = [
    metric("polls", "polls a second"),
    metric("report", "bytes of the body of a report"),
    metric("poll-time", "ns of control a poll, gossip included"),
];

const LIST: [Metric; 1] =
    [Metric { group: "host", name: "vm-list", size: "VMs", unit: "bytes of one answer of the VM list as JSON" }];

/// Measures the slopes.
///
/// # Errors
///
/// When the node rejects an answer.
pub fn measure() -> eyre::Result<Vec<Line>> {
    let rows = SIZES.into_iter().map(row).collect::<eyre::Result<Vec<_>>>()?;
    let mut results = lines(&METRICS, &SIZES, &rows);
    let rows = VM_COUNTS.into_iter().map(list).collect::<eyre::Result<Vec<_>>>()?;
    results.extend(lines(&LIST, &VM_COUNTS, &rows));
    Ok(results)
}

fn row(hosts: u32) -> eyre::Result<Vec<f64>> {
    let mut harness = Harness::new(MEMBERS)?;
    harness.poll(hosts);
    harness.run(30_000)?;
    harness.reset();
    harness.run(MEASURED_MS)?;
    let polls = f64::from(harness.polls);
    Ok(vec![polls * 1000.0 / MEASURED_MS as f64, count(harness.report_bytes)? / polls, harness.busy() / polls])
}

fn list(vms: u32) -> eyre::Result<Vec<f64>> {
    let vm = |number: u32| Vm {
        name: format!("host-{number}"),
        role: "target".to_owned(),
        zone: format!("region-{}-{}", number % 4, number % 3),
        address: std::net::Ipv4Addr::from(0x0b00_0001 + number).to_string(),
        state: VmState::Live,
    };
    let vms: Vec<Vm> = (0..vms).map(vm).collect();
    Ok(vec![count(serde_json::to_vec(&vms)?.len())?])
}
