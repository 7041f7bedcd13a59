//! Runs a scenario and computes its figures.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::balancers::Dispatcher;
use crate::driver::{self, Outcome, RequestState, Results, Setup};
use crate::scenario::{Deployment, PRIORITIES, Policy, Scenario};
use crate::trace::{Generator, Record};

/// Percentage of the steady requests that open a new flow.
const CHURN_PERCENT: u32 = 10;

/// Standing flows of a host as a percentage of its connection limit. They must fit on 4 of 5 hosts, because the fifth
/// may be cold and start without flows.
const STANDING_PERCENT: u32 = 75;

/// Imbalance between hosts, as a host's value divided by the mean of its service.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Balance {
    /// Imbalance of open flows, over all hosts and samples.
    pub flows: f64,
    /// Imbalance of the slot time used during the run, over all hosts.
    pub work: f64,
}

/// Figures of one run, which are one line of output.
#[derive(Debug, Clone, Serialize)]
pub struct Line {
    /// Deployment.
    pub deployment: &'static str,
    /// Scenario.
    pub scenario: &'static str,
    /// Policy.
    pub policy: &'static str,
    /// Seed.
    pub seed: u64,
    /// Number of requests, including those of the flood.
    pub requests: u64,
    /// Number of flows that were opened.
    pub flows: u64,
    /// Flows that ended although neither end closed them.
    pub broken_flows: u64,
    /// [`Line::broken_flows`] by cause.
    pub broken_causes: BTreeMap<&'static str, u64>,
    /// Highest value of a host divided by the mean of its service. Hosts that the scenario's fault affects are left out.
    pub imbalance_max: Balance,
    /// 99th percentile of the values of the same hosts, divided by the mean of their service. For work it equals the
    /// maximum, because each host gives one value.
    pub imbalance_p99: Balance,
    /// Share of the steady requests that were answered in time.
    pub in_time: f64,
    /// Requests answered in time whose priority differs from the flood's, divided by their number in a run without the
    /// flood; `None` when the scenario has no flood.
    pub kept: Option<f64>,
    /// [`Line::kept`] for each priority; `None` for the priority of the flood.
    pub kept_by_priority: Option<[Option<f64>; PRIORITIES.len()]>,
    /// Share of the flood that was answered in time; `None` when the scenario has no flood.
    pub flood_served: Option<f64>,
    /// Share of the slot time that was spent on requests answered in time. Draining hosts are left out.
    pub slots_busy_useful: f64,
    /// Share of the openings sent to targets that did not lead to an answer in time.
    pub wasted_tries: f64,
    /// Share of the refused openings that were refused only after a wait.
    pub refused_late: f64,
    /// Requests that ran more than once.
    pub run_twice: u64,
    /// Requests that ran although their caller was told that they had not.
    pub refused_but_run: u64,
}

/// Parameters of a measurement.
#[derive(Debug, Clone, Copy)]
pub struct Plan<'a> {
    /// Services, hosts and network delays.
    pub deployment: &'a Deployment,
    /// Load and faults.
    pub scenario: Scenario,
    /// Seed of the traces and of placement.
    pub seed: u64,
    /// Length of the trace in seconds.
    pub seconds: u64,
}

impl Plan<'_> {
    /// Runs the scenario on generated traces once for each policy.
    ///
    /// # Errors
    ///
    /// Fails when no service of the deployment has the port of a record.
    pub fn measure(&self, policies: &[Policy]) -> eyre::Result<Vec<Line>> {
        let generator = Generator { deployment: self.deployment, seed: self.seed, seconds: self.seconds };
        let standing = self.deployment.connections * STANDING_PERCENT / 100;
        let steady = generator.steady(self.scenario.load, CHURN_PERCENT, standing);
        let flood = self.scenario.flood.map_or_else(Vec::new, |flood| generator.flood(flood.priority, flood.load));
        policies.iter().map(|&policy| self.replay(policy, &steady, &flood)).collect()
    }

    /// Replays the given traces with one policy.
    ///
    /// # Errors
    ///
    /// Fails when no service of the deployment has the port of a record.
    pub fn replay(&self, policy: Policy, steady: &[Record], flood: &[Record]) -> eyre::Result<Line> {
        let results = self.run(policy, steady, flood)?;
        let without_flood = if flood.is_empty() { None } else { Some(self.run(policy, steady, &[])?) };
        Ok(self.line(policy, &results, without_flood.as_ref()))
    }

    fn run(&self, policy: Policy, steady: &[Record], flood: &[Record]) -> eyre::Result<Results> {
        let setup = Setup {
            deployment: self.deployment,
            fault: self.scenario.fault,
            seed: self.seed,
            length: Duration::from_secs(self.seconds),
            steady,
            flood,
        };
        let mut balancers = Dispatcher::new(policy, self.seed, self.deployment.services.len());
        driver::run(&setup, &mut balancers)
    }

    fn line(&self, policy: Policy, results: &Results, without_flood: Option<&Results>) -> Line {
        let requests = &results.requests;
        let flood_priority = self.scenario.flood.map(|flood| flood.priority);
        let kept = |matches: &dyn Fn(usize) -> bool| {
            let in_time = |results: &Results| {
                count(&results.requests, |request| !request.flood && matches(request.priority) && is_in_time(request))
            };
            without_flood.map(|without_flood| ratio(in_time(results), in_time(without_flood)))
        };
        let by_priority = |priority| kept(&|other| other == priority).filter(|_| flood_priority != Some(priority));
        let attempts = requests.iter().map(|request| u64::from(request.attempts)).sum();
        let useful_attempts = count(requests, |request| request.attempts > 0 && is_in_time(request));
        Line {
            deployment: self.deployment.name,
            scenario: self.scenario.name,
            policy: policy.name(),
            seed: self.seed,
            requests: count(requests, |_| true),
            flows: results.flows,
            broken_flows: results.broken.values().sum(),
            broken_causes: results.broken.clone(),
            imbalance_max: balance(results, 100),
            imbalance_p99: balance(results, 99),
            in_time: share(requests, |request| !request.flood, is_in_time),
            kept: kept(&|priority| flood_priority != Some(priority)),
            kept_by_priority: without_flood.map(|_| [0, 1, 2].map(by_priority)),
            flood_served: without_flood.map(|_| share(requests, |request| request.flood, is_in_time)),
            slots_busy_useful: rounded(results.slots_busy_useful),
            wasted_tries: rounded(1.0 - ratio(useful_attempts, attempts)),
            refused_late: share(requests, is_refused, |request| request.outcome == Some(Outcome::Expired)),
            run_twice: count(requests, |request| request.runs > 1),
            refused_but_run: count(requests, |request| is_refused(request) && request.runs > 0),
        }
    }
}

fn is_in_time(request: &RequestState) -> bool {
    request.outcome == Some(Outcome::InTime)
}

fn is_refused(request: &RequestState) -> bool {
    matches!(request.outcome, Some(Outcome::Refused | Outcome::Expired))
}

fn count(requests: &[RequestState], matches: impl Fn(&RequestState) -> bool) -> u64 {
    requests.iter().map(|request| u64::from(matches(request))).sum()
}

fn share(
    requests: &[RequestState],
    filter: impl Fn(&RequestState) -> bool,
    matches: impl Fn(&RequestState) -> bool,
) -> f64 {
    ratio(count(requests, |request| filter(request) && matches(request)), count(requests, filter))
}

/// Returns `part / whole` with 4 decimals, or 0 when `whole` is 0.
#[must_use]
pub fn ratio(part: u64, whole: u64) -> f64 {
    rounded(part as f64 / whole.max(1) as f64)
}

/// Rounds a value to 4 decimals.
#[must_use]
pub fn rounded(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}

fn balance(results: &Results, percent: usize) -> Balance {
    Balance { flows: percentile(&results.flow_balance, percent), work: percentile(&results.work_balance, percent) }
}

/// Returns the nearest-rank percentile with 4 decimals, or 0 without values.
#[must_use]
pub fn percentile(values: &[f64], percent: usize) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (sorted.len() * percent).div_ceil(100);
    rounded(sorted.get(rank.saturating_sub(1)).copied().unwrap_or_default())
}
