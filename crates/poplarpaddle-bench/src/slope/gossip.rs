//! Costs of membership, leases and status at one node, by the number of members of its region.
//!
//! The node runs the real implementation. Its peers are simulated: they agree with its member table, and one of them
//! pings it in each ping interval. Only the messages that the node sends are counted. On average a node receives as
//! much as it sends, so the load of a node is twice the figures.

use poplarpaddle::membership::{Membership, Settings};
use poplarpaddle::time::Time;
use poplarpaddle::wire::State;

use super::harness::{FIRST_MEMBER, Harness, record};
use super::{Line, Metric, count, lines, resident_bytes};

/// Numbers of members of the region.
const SIZES: [u32; 5] = [16, 100, 500, 1000, 2500];

/// Time in which the node finishes disseminating its initial updates, in milliseconds.
const SETTLE_MS: u64 = 30_000;

/// Duration of a measurement in milliseconds.
const MEASURED_MS: u64 = 60_000;

/// Number of member tables that are filled to measure the memory of one.
const TABLES: u32 = 8;

const fn metric(name: &'static str, unit: &'static str) -> Metric {
    Metric { group: "gossip", name, size: "members of a region", unit }
}

const METRICS: [Metric; 13] = [
    metric("calm-bytes", "message bytes sent a second"),
    metric("calm-messages", "messages and answers sent a second"),
    metric("calm-time", "ns of control a second"),
    metric("replaced-bytes", "message bytes sent for one replaced member"),
    metric("replaced-views", "views for one replaced member"),
    metric("zone-bytes", "message bytes sent a second in the minute after a third of the members died"),
    metric("zone-views", "views in the minute after a third of the members died"),
    metric("zone-time", "ns of control a second in the minute after a third of the members died"),
    metric("table", "resident bytes for each member of a table"),
    metric("lease-reads", "store reads a minute of a lease holder, VM list included"),
    metric("lease-watches", "store watches a minute of a lease holder"),
    metric("lease-writes", "store writes a minute of a lease holder"),
    metric("lease-bytes", "bytes written a minute by a lease holder"),
];

/// Measures the slopes.
///
/// # Errors
///
/// When the node rejects a message of a simulated peer.
pub fn measure() -> eyre::Result<Vec<Line>> {
    let rows = SIZES.into_iter().map(row).collect::<eyre::Result<Vec<_>>>()?;
    Ok(lines(&METRICS, &SIZES, &rows))
}

fn row(members: u32) -> eyre::Result<Vec<f64>> {
    let table = table(members);
    let mut harness = Harness::new(members)?;
    let seconds = MEASURED_MS as f64 / 1000.0;
    harness.run(SETTLE_MS)?;
    harness.reset();
    harness.run(MEASURED_MS)?;
    let calm = (count(harness.bytes)?, f64::from(harness.messages), harness.busy());
    let store = [harness.store.reads, harness.store.watches, harness.store.writes].map(f64::from);
    let written = count(harness.store.written_bytes)?;
    harness.reset();
    replace(&mut harness, members)?;
    harness.run(MEASURED_MS)?;
    let replaced = [count(harness.bytes)? - calm.0, f64::from(harness.views)];
    harness.run(SETTLE_MS)?;
    harness.reset();
    kill(&mut harness, members)?;
    harness.run(MEASURED_MS)?;
    let zone = [count(harness.bytes)? / seconds, f64::from(harness.views), harness.busy() / seconds];
    let mut row = vec![calm.0 / seconds, calm.1 / seconds, calm.2 / seconds];
    row.extend(replaced);
    row.extend(zone);
    row.push(table);
    row.extend(store);
    row.push(written);
    Ok(row)
}

/// Replaces a member: one member leaves, and another starts in its place.
fn replace(harness: &mut Harness, members: u32) -> eyre::Result<()> {
    let old = record(FIRST_MEMBER + 1);
    let leaving = poplarpaddle::wire::Record { incarnation: 1, state: State::Leaving, ..old };
    harness.send_records(&[leaving.clone(), record(FIRST_MEMBER + members)])?;
    harness.run(5000)?;
    harness.send_records(&[poplarpaddle::wire::Record { incarnation: 2, state: State::Dead, ..leaving }])
}

/// Kills a third of the members, which is as many as a zone has; the reports of their failures arrive over 2 s.
fn kill(harness: &mut Harness, members: u32) -> eyre::Result<()> {
    let dead: Vec<_> = (2..members.div_ceil(3) + 2)
        .map(|number| poplarpaddle::wire::Record {
            incarnation: 3,
            state: State::Suspect,
            ..record(FIRST_MEMBER + number)
        })
        .collect();
    let steps = 20;
    for reports in dead.chunks(dead.len().div_ceil(steps)) {
        harness.send_records(reports)?;
        harness.run(100)?;
    }
    Ok(())
}

/// Returns the resident bytes of a member table for each of its members.
fn table(members: u32) -> f64 {
    let before = resident_bytes();
    let tables: Vec<Membership> = (0..TABLES)
        .map(|_table| {
            let mut membership = Membership::new(Time::from_millis(0), Settings::default(), record(FIRST_MEMBER));
            for number in 1..members {
                let mut gossip = super::harness::gossip(record(FIRST_MEMBER + number));
                gossip.updates = Vec::new();
                membership.receive(Time::from_millis(0), &gossip);
                membership.outbound();
                membership.events();
            }
            membership.tick(Time::from_millis(20_000));
            membership
        })
        .collect();
    let bytes = resident_bytes() - before;
    // Leaked, so that the measurement of the next size cannot reuse freed memory.
    std::mem::forget(tables);
    bytes / f64::from(TABLES) / f64::from(members)
}
