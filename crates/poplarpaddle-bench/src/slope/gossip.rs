//! Costs of membership, leases and status at one node, by the members of its region.
//!
//! The node is real; its peers are stand-ins that agree with its table and ping it once a period. What it sends is
//! counted. On average a node receives what it sends, so the load of a node is twice the figures.

use poplarpaddle::membership::{Membership, Settings};
use poplarpaddle::time::Time;
use poplarpaddle::wire::State;

use super::bed::{Bed, FIRST, record};
use super::{Line, Name, count, lines, resident};

const SIZES: [u32; 5] = [16, 100, 500, 1000, 2500];

/// Time for the updates of the start to run out, in milliseconds.
const SETTLE_MS: u64 = 30_000;

/// Time of a measurement, in milliseconds.
const SPAN_MS: u64 = 60_000;

/// Tables that are filled to measure the memory of one.
const TABLES: u32 = 8;

const fn name(name: &'static str, unit: &'static str) -> Name {
    Name { group: "gossip", name, size: "members of a region", unit }
}

const NAMES: [Name; 13] = [
    name("calm-bytes", "message bytes sent a second"),
    name("calm-messages", "messages and answers sent a second"),
    name("calm-time", "ns of control a second"),
    name("replaced-bytes", "message bytes sent for one replaced member"),
    name("replaced-views", "views for one replaced member"),
    name("zone-bytes", "message bytes sent a second in the minute after a third of the members died"),
    name("zone-views", "views in the minute after a third of the members died"),
    name("zone-time", "ns of control a second in the minute after a third of the members died"),
    name("table", "resident bytes for each member of a table"),
    name("lease-reads", "store reads a minute of a lease holder, VM list included"),
    name("lease-watches", "store watches a minute of a lease holder"),
    name("lease-writes", "store writes a minute of a lease holder"),
    name("lease-bytes", "bytes written a minute by a lease holder"),
];

/// Measures the slopes.
///
/// # Errors
///
/// When the node refuses a message of a stand-in.
pub fn measure() -> eyre::Result<Vec<Line>> {
    let rows = SIZES.into_iter().map(row).collect::<eyre::Result<Vec<_>>>()?;
    Ok(lines(&NAMES, &SIZES, &rows))
}

fn row(members: u32) -> eyre::Result<Vec<f64>> {
    let table = table(members);
    let mut bed = Bed::new(members)?;
    let seconds = SPAN_MS as f64 / 1000.0;
    bed.run(SETTLE_MS)?;
    bed.reset();
    bed.run(SPAN_MS)?;
    let calm = (count(bed.bytes)?, f64::from(bed.messages), bed.busy());
    let store = [bed.store.reads, bed.store.watches, bed.store.writes].map(f64::from);
    let written = count(bed.store.written_bytes)?;
    bed.reset();
    replace(&mut bed, members)?;
    bed.run(SPAN_MS)?;
    let replaced = [count(bed.bytes)? - calm.0, f64::from(bed.views)];
    bed.run(SETTLE_MS)?;
    bed.reset();
    kill(&mut bed, members)?;
    bed.run(SPAN_MS)?;
    let zone = [count(bed.bytes)? / seconds, f64::from(bed.views), bed.busy() / seconds];
    let mut row = vec![calm.0 / seconds, calm.1 / seconds, calm.2 / seconds];
    row.extend(replaced);
    row.extend(zone);
    row.push(table);
    row.extend(store);
    row.push(written);
    Ok(row)
}

/// One member leaves, and another starts in its place.
fn replace(bed: &mut Bed, members: u32) -> eyre::Result<()> {
    let old = record(FIRST + 1);
    let leaving = poplarpaddle::wire::Record { incarnation: 1, state: State::Leaving, ..old };
    bed.tell(&[leaving.clone(), record(FIRST + members)])?;
    bed.run(5000)?;
    bed.tell(&[poplarpaddle::wire::Record { incarnation: 2, state: State::Dead, ..leaving }])
}

/// A third of the members die, which is a zone; the reports arrive over 2 s.
fn kill(bed: &mut Bed, members: u32) -> eyre::Result<()> {
    let dead: Vec<_> = (2..members.div_ceil(3) + 2)
        .map(|number| poplarpaddle::wire::Record { incarnation: 3, state: State::Suspect, ..record(FIRST + number) })
        .collect();
    let steps = 20;
    for reports in dead.chunks(dead.len().div_ceil(steps)) {
        bed.tell(reports)?;
        bed.run(100)?;
    }
    Ok(())
}

/// Resident bytes for each member.
fn table(members: u32) -> f64 {
    let before = resident();
    let tables: Vec<Membership> = (0..TABLES)
        .map(|_table| {
            let mut membership = Membership::new(Time::from_millis(0), Settings::default(), record(FIRST));
            for number in 1..members {
                let mut gossip = super::bed::gossip(record(FIRST + number));
                gossip.updates = Vec::new();
                membership.receive(Time::from_millis(0), &gossip);
                membership.outbound();
                membership.events();
            }
            membership.tick(Time::from_millis(20_000));
            membership
        })
        .collect();
    let bytes = resident() - before;
    // Kept, so that the next size gets fresh memory.
    std::mem::forget(tables);
    bytes / f64::from(TABLES) / f64::from(members)
}
