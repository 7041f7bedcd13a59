//! Measures the times of answers while some openings are slow, with and without hedging.

use std::time::Duration;

use poplarpaddle::time::Time;
use serde::Serialize;

use super::flood::{LEAD_TIME, SETTLE, add_records};
use super::history::{Observation, Request};
use super::plan::{Action, Setup, Step};
use super::simulation::Simulation;
use crate::report::{ratio, rounded};
use crate::scenario::Deployment;
use crate::trace::Generator;

/// Percentage of the requests that open a new flow. The others are sent on standing flows.
const CHURN_PERCENT: u32 = 50;

/// Standing flows of a host.
const STANDING_PER_HOST: u32 = 40;

/// Cause of slow openings.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Name.
    pub name: &'static str,
    /// Load as a percentage of the hosts' capacity.
    pub load: u32,
    /// Failure from the start of the trace on.
    pub action: Action,
}

/// All scenarios.
pub const SCENARIOS: [Scenario; 4] = [
    Scenario { name: "path_slow_host", load: 50, action: Action::SlowOpenings(15, Duration::from_millis(300)) },
    Scenario { name: "path_host_drops_openings", load: 50, action: Action::DropOpenings(15) },
    Scenario { name: "path_lost_openings", load: 50, action: Action::LoseOpenings(100) },
    Scenario { name: "path_lost_openings_near_full", load: 97, action: Action::LoseOpenings(100) },
];

/// Figures of one run, which are one line of output.
#[derive(Debug, Clone, Serialize)]
pub struct Line {
    /// Deployment.
    pub deployment: &'static str,
    /// Scenario.
    pub scenario: &'static str,
    /// Limit on hedged openings per 100 accepted ones.
    pub hedge_percent: u32,
    /// Seed.
    pub seed: u64,
    /// Requests that opened a flow.
    pub openings: u64,
    /// Share of these that were answered.
    pub answered: f64,
    /// Median time from such a request to its answer, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of these times.
    pub p99_ms: f64,
    /// 99.9th percentile of these times.
    pub p999_ms: f64,
    /// Openings of which a copy was sent to a second host.
    pub hedges: u64,
    /// [`Line::hedges`] as a share of the openings.
    pub extra: f64,
    /// Requests that ran more than once.
    pub run_again: u64,
    /// Flows that ended although neither end closed them.
    pub broken_flows: u64,
    /// Answers that belonged to another request.
    pub wrong_answers: u64,
}

/// Parameters of a measurement.
#[derive(Debug, Clone, Copy)]
pub struct Plan<'a> {
    /// Services, hosts and network delays.
    pub deployment: &'a Deployment,
    /// Cause of slow openings.
    pub scenario: Scenario,
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of balancers.
    pub balancers: usize,
    /// Length of the trace in seconds.
    pub seconds: u64,
}

impl Plan<'_> {
    /// Runs the scenario with this limit on hedged openings per 100 accepted ones.
    ///
    /// # Errors
    ///
    /// Fails when no service of the deployment has the port of a record.
    pub fn measure(&self, hedge_percent: u32) -> eyre::Result<Line> {
        let setup = Setup {
            deployment: self.deployment,
            seed: self.seed,
            balancers: self.balancers,
            is_design: true,
            length: LEAD_TIME + Duration::from_secs(self.seconds) + SETTLE,
            steps: vec![Step { at: LEAD_TIME, action: self.scenario.action }],
            retries: false,
            hedge_percent,
        };
        let generator = Generator { deployment: self.deployment, seed: self.seed, seconds: self.seconds };
        let mut simulation = Simulation::new(&setup);
        let records = generator.steady(self.scenario.load, CHURN_PERCENT, STANDING_PER_HOST);
        add_records(&mut simulation, &records, false)?;
        simulation.run();
        Ok(self.line(hedge_percent, &simulation))
    }

    fn line(&self, hedge_percent: u32, simulation: &Simulation<'_>) -> Line {
        let requests = &simulation.callers.requests;
        let opening: Vec<&Request> = requests.iter().filter(|request| request.is_opening).collect();
        let mut times: Vec<Duration> =
            opening.iter().filter_map(|request| Some(answered_at(request)?.since(request.arrived))).collect();
        times.sort_unstable();
        let openings = opening.len() as u64;
        let percentile = |permille| rounded(millis(&times, permille));
        Line {
            deployment: self.deployment.name,
            scenario: self.scenario.name,
            hedge_percent,
            seed: self.seed,
            openings,
            answered: ratio(times.len() as u64, openings),
            p50_ms: percentile(500),
            p99_ms: percentile(990),
            p999_ms: percentile(999),
            hedges: simulation.hedges(),
            extra: ratio(simulation.hedges(), openings),
            run_again: requests.iter().map(|request| u64::from(request.runs.len() > 1)).sum(),
            broken_flows: simulation.callers.broken.values().sum(),
            wrong_answers: simulation.callers.wrong_answers,
        }
    }
}

fn answered_at(request: &Request) -> Option<Time> {
    request.observations.iter().find_map(|(_, observation)| match observation {
        Observation::Answer(time) => Some(*time),
        Observation::NotRun(_) | Observation::Unknown(_) => None,
    })
}

/// Returns the time that `permille` of 1000 answers do not exceed, in milliseconds.
fn millis(times: &[Duration], permille: usize) -> f64 {
    let rank = (times.len() * permille).div_ceil(1_000).max(1);
    times.get(rank - 1).map_or(0.0, |time| time.as_secs_f64() * 1e3)
}
