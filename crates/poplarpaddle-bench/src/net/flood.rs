//! Measures floods of openings and of idle flows through the balancers.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use poplarpaddle::packet::Flow;
use poplarpaddle::time::Time;
use serde::Serialize;

use super::history::Request;
use super::plan::Setup;
use super::simulation::{START, Simulation};
use super::views;
use crate::report::{ratio, rounded};
use crate::scenario::{Deployment, Flood, PRIORITIES, lookup_port};
use crate::trace::{Generator, Record};

/// Time before the trace begins, in which the standing flows open.
pub(super) const LEAD_TIME: Duration = Duration::from_secs(5);

/// Standing flows of a host. Fewer than the connection limit of a host, so that they open within [`LEAD_TIME`].
const STANDING_PER_HOST: u32 = 400;

/// Time after the end of the trace by which the last deadlines have passed.
pub(super) const SETTLE: Duration = Duration::from_secs(5);

/// Percentage of the steady requests that open a new flow.
const CHURN_PERCENT: u32 = 10;

/// Slot time of the first request of a standing flow, which opens the flow.
const FIRST_SLOT_TIME: Duration = Duration::from_millis(1);

/// Divisor of the trace length that gives the warm-up, which the slot times leave out.
const WARM_UP_DIVISOR: u32 = 10;

/// Longest time after which a refusal counts as immediate; a later one came after a wait.
const IMMEDIATE: Duration = Duration::from_millis(50);

/// First caller address of the flows on which nothing is sent.
const IDLE_CALLERS: u32 = u32::from_be_bytes([13, 0, 0, 1]);

/// Load of a run.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Name.
    pub name: &'static str,
    /// Flood of requests that adds to the steady load.
    pub flood: Option<Flood>,
    /// Number of flows opened per second on which the caller sends nothing.
    pub idle: u32,
}

/// All scenarios.
pub const SCENARIOS: [Scenario; 3] = [
    Scenario { name: "path_least_urgent_flood", flood: Some(Flood { priority: 2, load: 1_000 }), idle: 0 },
    Scenario { name: "path_most_urgent_flood", flood: Some(Flood { priority: 0, load: 500 }), idle: 0 },
    Scenario { name: "path_idle_openings", flood: None, idle: 1_000 },
];

/// Steady load as a percentage of the hosts' capacity.
const LOAD_PERCENT: u32 = 50;

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
    /// Number of balancers.
    pub balancers: usize,
    /// Number of requests, including those of the flood.
    pub requests: u64,
    /// Number of flows that were opened.
    pub flows: u64,
    /// Flows that ended although neither end closed them.
    pub broken_flows: u64,
    /// [`Line::broken_flows`] by cause.
    pub broken_causes: BTreeMap<String, u64>,
    /// Share of the steady requests that were answered in time.
    pub in_time: f64,
    /// Requests answered in time whose priority differs from the flood's, divided by their number in a run without the
    /// flood.
    pub kept: f64,
    /// [`Line::kept`] for each priority; `None` for the priority of the flood.
    pub kept_by_priority: [Option<f64>; PRIORITIES.len()],
    /// Share of the flood that was answered in time.
    pub flood_served: f64,
    /// Share of the slot time that was spent on requests answered in time.
    pub slots_busy_useful: f64,
    /// Share of the openings sent to targets that did not lead to an answer in time.
    pub wasted_tries: f64,
    /// Share of the refused requests that were refused only after a wait.
    pub refused_late: f64,
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
    /// Load of the run.
    pub scenario: Scenario,
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of balancers.
    pub balancers: usize,
    /// Length of the trace in seconds.
    pub seconds: u64,
}

impl Plan<'_> {
    /// Runs the scenario with and without the flood, through the load balancer's engines or through the baseline.
    ///
    /// # Errors
    ///
    /// Fails when no service of the deployment has the port of a record.
    pub fn measure(&self, is_design: bool) -> eyre::Result<Line> {
        let setup = Setup {
            deployment: self.deployment,
            seed: self.seed,
            balancers: self.balancers,
            is_design,
            length: LEAD_TIME + self.length() + SETTLE,
            steps: Vec::new(),
            retries: false,
            hedge_percent: 0,
        };
        let without_flood = self.run(&setup, false)?;
        let with_flood = self.run(&setup, true)?;
        Ok(self.line(is_design, &without_flood, &with_flood))
    }

    const fn length(&self) -> Duration {
        Duration::from_secs(self.seconds)
    }

    fn run<'a>(&self, setup: &'a Setup<'a>, with_flood: bool) -> eyre::Result<Simulation<'a>> {
        let generator = Generator { deployment: self.deployment, seed: self.seed, seconds: self.seconds };
        let mut simulation = Simulation::new(setup);
        add_records(&mut simulation, &generator.steady(LOAD_PERCENT, CHURN_PERCENT, STANDING_PER_HOST), false)?;
        if let Some(flood) = self.scenario.flood.filter(|_| with_flood) {
            add_records(&mut simulation, &generator.flood(flood.priority, flood.load), true)?;
        }
        if with_flood {
            self.add_idle(&mut simulation);
        }
        simulation.run();
        Ok(simulation)
    }

    /// Adds the flows on which the callers send nothing.
    fn add_idle(&self, simulation: &mut Simulation<'_>) {
        let count = self.scenario.idle * u32::try_from(self.seconds).unwrap_or(0);
        for number in 0..count {
            let port = u16::try_from(number % 40_000).unwrap_or(0) + 1_024;
            let caller = SocketAddrV4::new((IDLE_CALLERS + number / 40_000).into(), port);
            let service = usize::from(number % 4 == 3);
            let flow = Flow { caller, service: views::service_address(service, 0) };
            let index = simulation.callers.add_flow(flow, true);
            simulation.schedule_idle_flow(LEAD_TIME + self.length() * number / count, index);
        }
    }

    fn line(&self, is_design: bool, without_flood: &Simulation<'_>, with_flood: &Simulation<'_>) -> Line {
        let requests = &with_flood.callers.requests;
        // Requests whose deadline is after the end of the flood are not counted, because they could be answered after
        // it and would hide its effect.
        let end = START + LEAD_TIME + self.length();
        let is_counted = |request: &Request| request.deadline <= end;
        let flood_priority = self.scenario.flood.map(|flood| flood.priority);
        let kept = |matches: &dyn Fn(usize) -> bool| {
            let in_time = |simulation: &Simulation<'_>| {
                count(&simulation.callers.requests, |request| {
                    is_counted(request) && !request.flood && matches(request.priority) && request.is_in_time()
                })
            };
            ratio(in_time(with_flood), in_time(without_flood))
        };
        let by_priority = |priority| (flood_priority != Some(priority)).then(|| kept(&|other| other == priority));
        let useful_openings = count(requests, |request| request.is_opening && request.is_in_time());
        let share = |filter: &dyn Fn(&Request) -> bool| {
            ratio(
                count(requests, |request| filter(request) && request.is_in_time()),
                count(requests, |request| filter(request)),
            )
        };
        let late = |request: &Request| request.refused_at().is_some_and(|time| time.since(request.arrived) > IMMEDIATE);
        Line {
            deployment: self.deployment.name,
            scenario: self.scenario.name,
            policy: if is_design { "design" } else { "naive" },
            seed: self.seed,
            balancers: self.balancers,
            requests: requests.len() as u64,
            flows: with_flood.callers.opened,
            broken_flows: with_flood.callers.broken.values().sum(),
            broken_causes: with_flood.callers.broken.clone(),
            in_time: share(&|request| is_counted(request) && !request.flood),
            kept: kept(&|priority| flood_priority != Some(priority)),
            kept_by_priority: [0, 1, 2].map(by_priority),
            flood_served: share(&|request| is_counted(request) && request.flood),
            slots_busy_useful: self.useful_share(with_flood),
            wasted_tries: rounded(1.0 - ratio(useful_openings, with_flood.openings)),
            refused_late: ratio(count(requests, late), count(requests, |request| request.refused_at().is_some())),
            run_twice: count(requests, Request::is_run_twice),
            refused_but_run: count(requests, Request::is_refused_but_run),
            misrouted: with_flood.misrouted,
            wrong_answers: with_flood.callers.wrong_answers,
        }
    }

    fn useful_share(&self, simulation: &Simulation<'_>) -> f64 {
        let (from, to) = (START + LEAD_TIME + self.length() / WARM_UP_DIVISOR, START + LEAD_TIME + self.length());
        let useful_time = |request: &Request| request.slot_time_between(from, to).as_secs_f64();
        let busy: f64 =
            simulation.callers.requests.iter().filter(|request| request.is_in_time()).map(useful_time).sum();
        let slots: u32 = simulation.targets.hosts.iter().map(|host| u32::from(host.target.slots)).sum();
        rounded(busy / (f64::from(slots) * to.since(from).as_secs_f64()))
    }
}

fn count(requests: &[Request], matches: impl Fn(&Request) -> bool) -> u64 {
    requests.iter().map(|request| u64::from(matches(request))).sum()
}

/// Adds the records of a trace. Standing flows open during [`LEAD_TIME`] with a short request.
pub(super) fn add_records(simulation: &mut Simulation<'_>, records: &[Record], flood: bool) -> eyre::Result<()> {
    let mut flows: BTreeMap<(SocketAddrV4, u16), usize> = BTreeMap::new();
    let standing = records.iter().filter(|record| record.is_standing()).count();
    for (number, record) in records.iter().enumerate() {
        let (service, priority) =
            lookup_port(record.port).ok_or_else(|| eyre::eyre!("no service has port {} of {record:?}", record.port))?;
        let is_standing = record.is_standing();
        let key = (record.caller, record.port);
        let is_opening = !flows.contains_key(&key);
        let index = *flows.entry(key).or_insert_with(|| {
            let flow = Flow { caller: record.caller, service: views::service_address(service, priority) };
            simulation.callers.add_flow(flow, is_standing)
        });
        let at = LEAD_TIME + Duration::from_micros(record.time_us);
        let (at, slot_time, deadline) = if is_standing {
            let position = u32::try_from(number).unwrap_or(0);
            (LEAD_TIME / 2 * position / u32::try_from(standing).unwrap_or(1), FIRST_SLOT_TIME, Time::NEVER)
        } else {
            let deadline = START + LEAD_TIME + Duration::from_micros(record.deadline_us);
            (at, Duration::from_micros(record.service_us), deadline)
        };
        let request = simulation.callers.add_request(Request {
            flow: index,
            priority,
            flood,
            is_opening: is_opening && !is_standing,
            idempotent: false,
            service_time: slot_time,
            arrived: Time::default(),
            deadline,
            attempts: 0,
            observations: Vec::new(),
            runs: Vec::new(),
        });
        simulation.schedule_request(at, request);
    }
    Ok(())
}
