//! Traces of requests: file format and generator.
//!
//! A trace is a text file with one JSON object for each request, ordered by time:
//!
//! ```
//! let line = r#"{"time_us":1500,"caller":"10.0.0.1:1024","port":8000,"service_us":20000,"deadline_us":1001500}"#;
//! let records = poplarpaddle_bench::trace::read(line.as_bytes()).unwrap();
//! assert_eq!(records[0].port, 8000);
//! ```
//!
//! A caller and a service port identify a flow. The first request of a flow opens it, and the last one closes it. A
//! record with time and service time 0 stands for a flow that was established before the trace began; the flow has at
//! least one more request or stays open.

use std::io::{BufRead, Write};
use std::net::{Ipv4Addr, SocketAddrV4};

use eyre::{WrapErr, ensure};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::scenario::{Deployment, PRIORITIES, Service, port};

/// Longest service time as a multiple of the mean, so that a single request cannot dominate a run.
const MAX_SERVICE_FACTOR: f64 = 6.0;

/// Share of the mean service time that every request takes; the rest is exponentially distributed.
const FIXED_SHARE: f64 = 0.4;

/// First caller address of standing flows.
const STANDING_CALLERS: u32 = u32::from_be_bytes([10, 0, 0, 1]);

/// First address of the callers that open a flow for a single request.
const SHORT_LIVED_CALLERS: u32 = u32::from_be_bytes([11, 0, 0, 1]);

/// First caller address of a flood.
const FLOOD_CALLERS: u32 = u32::from_be_bytes([12, 0, 0, 1]);

/// Number of flows of one caller address.
const FLOWS_PER_ADDRESS: u32 = 1 << 14;

/// A request of a trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Time at which the caller sends the request, in microseconds from the start.
    pub time_us: u64,
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Service port, which [`port`] derives from service and priority.
    pub port: u16,
    /// Slot time that the request takes on a warm host, in microseconds.
    pub service_us: u64,
    /// Time by which the caller needs the answer, in microseconds from the start.
    pub deadline_us: u64,
}

impl Record {
    /// Returns true for a flow that was established before the trace began.
    #[must_use]
    pub const fn is_standing(&self) -> bool {
        self.time_us == 0 && self.service_us == 0
    }
}

/// Reads a trace.
///
/// # Errors
///
/// Fails with the line number when a line is not a valid record or is earlier than the line before it.
pub fn read(input: impl BufRead) -> eyre::Result<Vec<Record>> {
    let mut records: Vec<Record> = Vec::new();
    for (index, line) in input.lines().enumerate() {
        let number = index + 1;
        let line = line.wrap_err_with(|| format!("line {number} cannot be read"))?;
        let record: Record =
            serde_json::from_str(&line).wrap_err_with(|| format!("line {number} is not a valid record"))?;
        let before = records.last().map_or(0, |last| last.time_us);
        ensure!(record.time_us >= before, "line {number}: time_us {} is before {before}", record.time_us);
        records.push(record);
    }
    Ok(records)
}

/// Writes a trace.
///
/// # Errors
///
/// Fails when writing to `output` fails.
pub fn write(mut output: impl Write, records: &[Record]) -> eyre::Result<()> {
    for record in records {
        serde_json::to_writer(&mut output, record)?;
        writeln!(output)?;
    }
    Ok(())
}

/// Generates traces for a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Generator<'a> {
    /// Services and their hosts.
    pub deployment: &'a Deployment,
    /// Seed; the same seed gives the same trace.
    pub seed: u64,
    /// Length in seconds.
    pub seconds: u64,
}

impl Generator<'_> {
    /// Returns steady load of all priorities at `load` percent of the hosts' capacity. Of its requests, `churn` percent
    /// open a new flow, and the others are sent on standing flows.
    #[must_use]
    pub fn steady(&self, load: u32, churn: u32, standing_per_host: u32) -> Vec<Record> {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let mut records = Vec::new();
        for (index, service) in self.deployment.services.iter().enumerate() {
            let flows = standing_per_host * u32::from(service.hosts);
            records.extend((0..flows).map(|flow| Record {
                time_us: 0,
                caller: caller(STANDING_CALLERS, flow),
                port: port(index, priority_of_flow(flow)),
                service_us: 0,
                deadline_us: 0,
            }));
            let mut short_lived = 0;
            for time_us in self.arrivals(&mut rng, self.gap_us(service, mean_us(), load)) {
                let (base, flow) = if flows == 0 || rng.random_range(0..100) < churn {
                    short_lived += 1;
                    (SHORT_LIVED_CALLERS, short_lived)
                } else {
                    (STANDING_CALLERS, rng.random_range(0..flows))
                };
                records.push(request(&mut rng, time_us, caller(base, flow), index, priority_of_flow(flow)));
            }
        }
        sort_by_time(records)
    }

    /// Returns a flood of openings of one priority at `load` percent of the hosts' capacity.
    #[must_use]
    pub fn flood(&self, priority: usize, load: u32) -> Vec<Record> {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed ^ 1);
        let mut records = Vec::new();
        let service_us = PRIORITIES[priority].service_us as f64;
        for (index, service) in self.deployment.services.iter().enumerate() {
            let arrivals = self.arrivals(&mut rng, self.gap_us(service, service_us, load));
            for (flow, time_us) in (0..).zip(arrivals) {
                records.push(request(&mut rng, time_us, caller(FLOOD_CALLERS, flow), index, priority));
            }
        }
        sort_by_time(records)
    }

    /// Returns the mean time between two requests to a service in microseconds, so that requests with the mean service
    /// time `service_us` load the hosts to `load` percent of their capacity.
    fn gap_us(&self, service: &Service, service_us: f64, load: u32) -> f64 {
        let slots = f64::from(service.hosts) * f64::from(self.deployment.slots);
        service_us * 100.0 / (slots * f64::from(load))
    }

    /// Returns random arrival times in microseconds with the mean gap `gap_us`. The first is 1, because time 0 stands for
    /// standing flows.
    fn arrivals(&self, rng: &mut Pcg64Mcg, gap_us: f64) -> Vec<u64> {
        let end = self.seconds as f64 * 1e6;
        let times = std::iter::successors(Some(1.0), |time| Some(time + gap_us * exponential(rng)));
        times.take_while(|&time| time < end).map(truncate).collect()
    }
}

fn request(rng: &mut Pcg64Mcg, time_us: u64, caller: SocketAddrV4, service: usize, priority: usize) -> Record {
    let class = &PRIORITIES[priority];
    let factor = FIXED_SHARE + (1.0 - FIXED_SHARE) * exponential(rng);
    let service_us = truncate(class.service_us as f64 * factor.min(MAX_SERVICE_FACTOR));
    Record { time_us, caller, port: port(service, priority), service_us, deadline_us: time_us + class.deadline_us }
}

/// Returns the priority of the flow with this number. Of 10 flows, 3, 4 and 3 have the priorities 0, 1 and 2.
const fn priority_of_flow(flow: u32) -> usize {
    match flow % 10 {
        0..3 => 0,
        3..7 => 1,
        _ => 2,
    }
}

/// Returns the mean service time of a request in microseconds, over the flows of all priorities in the proportions of
/// [`priority_of_flow`].
fn mean_us() -> f64 {
    (0..10).map(|flow| PRIORITIES[priority_of_flow(flow)].service_us as f64).sum::<f64>() / 10.0
}

fn caller(base: u32, flow: u32) -> SocketAddrV4 {
    let port = 1_024 + flow % FLOWS_PER_ADDRESS;
    SocketAddrV4::new(Ipv4Addr::from(base + flow / FLOWS_PER_ADDRESS), u16::try_from(port).unwrap_or(u16::MAX))
}

/// Draws a value from the exponential distribution with mean 1.
fn exponential(rng: &mut Pcg64Mcg) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "times are positive and far below 2^53")]
const fn truncate(value: f64) -> u64 {
    value as u64
}

fn sort_by_time(mut records: Vec<Record>) -> Vec<Record> {
    records.sort_by_key(|record| record.time_us);
    records
}
