//! Runs a scenario of the data path and computes its figures.

use std::collections::BTreeMap;
use std::time::Duration;

use poplarpaddle::packet::Flow;
use poplarpaddle::time::Time;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use super::history::{Observation, Request};
use super::plan::{ESTABLISHED_BY, Scenario, Setup};
use super::simulation::Simulation;
use super::views;
use crate::report::{Balance, percentile};
use crate::scenario::{Deployment, PRIORITIES};

/// Mean time between two requests of a standing flow, in milliseconds.
const REQUEST_GAP_MS: u64 = 6_000;

/// Time before the end of a run without new requests, so that the last ones can be answered.
const QUIET_PERIOD: Duration = Duration::from_secs(35);

/// Slot time of a request. Short, so that the hosts of the current deployments have the capacity for tens of thousands of
/// flows in a short run.
const SLOT_TIME: Duration = Duration::from_millis(4);

/// Number of flows of which one is opened for a single request during the run; the others stay open.
const SHORT_LIVED_ONE_IN: usize = 4;

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
    /// Number of balancers at the start.
    pub balancers: usize,
    /// Number of requests.
    pub requests: u64,
    /// Number of flows that were opened.
    pub flows: u64,
    /// Flows that ended although neither end closed them, or whose last request got no answer.
    pub broken_flows: u64,
    /// [`Line::broken_flows`] by cause.
    pub broken_causes: BTreeMap<String, u64>,
    /// Highest value of a host divided by the mean of its service. Hosts that lose work in the run are left out.
    pub imbalance_max: Balance,
    /// 99th percentile of the values of hosts, divided by the mean of their service. The same hosts are left out.
    pub imbalance_p99: Balance,
    /// Share of the requests that were answered.
    pub answered: f64,
    /// Requests that are not idempotent and ran more than once.
    pub run_twice: u64,
    /// Requests that ran although their caller was told that they had not.
    pub refused_but_run: u64,
    /// Packets of one service that reached a target of another.
    pub misrouted: u64,
    /// Answers that belonged to another request.
    pub wrong_answers: u64,
}

/// Parameters of a measurement.
#[derive(Debug, Clone, Copy)]
pub struct Plan<'a> {
    /// Services, hosts and network delays.
    pub deployment: &'a Deployment,
    /// Changes and failures.
    pub scenario: Scenario,
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of balancers at the start.
    pub balancers: usize,
    /// Number of flows.
    pub flows: usize,
}

impl Plan<'_> {
    /// Runs the scenario through the load balancer's engines or through the baseline.
    #[must_use]
    pub fn measure(&self, is_design: bool) -> Line {
        let steps = self.scenario.steps(self.balancers);
        let setup = Setup {
            deployment: self.deployment,
            seed: self.seed,
            balancers: self.balancers,
            is_design,
            length: Scenario::length(&steps),
            steps,
            retries: true,
            hedge_percent: 0,
        };
        let mut simulation = Simulation::new(&setup);
        self.add_flows(&mut simulation, setup.length);
        simulation.run();
        self.line(is_design, &simulation)
    }

    /// Adds flows of all services and priorities with their requests.
    fn add_flows(&self, simulation: &mut Simulation<'_>, length: Duration) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed ^ 3);
        let end = length.saturating_sub(QUIET_PERIOD);
        for number in 0..self.flows {
            let is_standing = number % SHORT_LIVED_ONE_IN != 0;
            let priority = number % PRIORITIES.len();
            // The first of two services has three quarters of the hosts.
            let service = usize::from(number % 16 >= 12);
            let flow = Flow { caller: caller(number), service: views::service_address(service, priority) };
            let index = simulation.callers.add_flow(flow, is_standing);
            let latest = if is_standing { ESTABLISHED_BY } else { end };
            let mut time = random_below(&mut rng, latest);
            loop {
                let request = simulation.callers.add_request(request(index, priority, number));
                simulation.schedule_request(time, request);
                time += random_below(&mut rng, Duration::from_millis(2 * REQUEST_GAP_MS));
                if !is_standing || time >= end {
                    break;
                }
            }
        }
    }

    fn line(&self, is_design: bool, simulation: &Simulation<'_>) -> Line {
        let callers = &simulation.callers;
        let requests = &callers.requests;
        let mut broken_causes = callers.broken.clone();
        let unanswered = callers.unanswered_flows() as u64;
        if unanswered > 0 {
            broken_causes.insert("no answer".to_owned(), unanswered);
        }
        let count = |matches: &dyn Fn(&Request) -> bool| {
            requests.iter().map(|request| u64::from(matches(request))).sum::<u64>()
        };
        let answered = count(&|request| {
            request.observations.iter().any(|(_, observation)| matches!(observation, Observation::Answer(_)))
        });
        let work_balance = simulation.targets.work_balance();
        let balance = |percent| Balance {
            flows: percentile(&simulation.flow_balance, percent),
            work: percentile(&work_balance, percent),
        };
        Line {
            deployment: self.deployment.name,
            scenario: self.scenario.name,
            policy: if is_design { "design" } else { "naive" },
            seed: self.seed,
            balancers: self.balancers,
            requests: requests.len() as u64,
            flows: callers.opened,
            broken_flows: broken_causes.values().sum(),
            broken_causes,
            imbalance_max: balance(100),
            imbalance_p99: balance(99),
            answered: answered as f64 / requests.len().max(1) as f64,
            run_twice: count(&Request::is_run_twice),
            refused_but_run: count(&Request::is_refused_but_run),
            misrouted: simulation.misrouted,
            wrong_answers: callers.wrong_answers,
        }
    }
}

fn caller(number: usize) -> std::net::SocketAddrV4 {
    let (address, port) = (number / 16_384, number % 16_384);
    let address = u32::from_be_bytes([10, 0, 0, 1]) + u32::try_from(address).unwrap_or(0);
    std::net::SocketAddrV4::new(address.into(), 1_024 + u16::try_from(port).unwrap_or(0))
}

fn random_below(rng: &mut Pcg64Mcg, limit: Duration) -> Duration {
    let limit = u64::try_from(limit.as_micros()).unwrap_or(u64::MAX).max(1);
    Duration::from_micros(rng.random_range(0..limit))
}

fn request(flow: usize, priority: usize, number: usize) -> Request {
    Request {
        flow,
        priority,
        flood: false,
        is_opening: true,
        idempotent: number.is_multiple_of(2),
        service_time: SLOT_TIME,
        arrived: Time::default(),
        deadline: Time::NEVER,
        attempts: 0,
        observations: Vec::new(),
        runs: Vec::new(),
    }
}
