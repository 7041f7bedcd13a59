//! Evaluates the records of callers and targets into the result of a run.

use std::collections::{BTreeMap, HashMap};

use eyre::{Result, WrapErr};
use serde::{Deserialize, Serialize};

use crate::record::{Flow, Outcome, Record, Request, Run};

/// Maximum number of examples listed per fault.
const MAX_EXAMPLES: usize = 5;

/// Result of a run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Number of requests of all callers.
    pub requests: u64,
    /// Requests with a complete, correct response.
    pub answered: u64,
    /// Requests that, by their caller's record, were not run because the connection was refused.
    pub refused: u64,
    /// Requests that, by the target's response, were not run because their deadline had passed.
    pub expired: u64,
    /// Requests whose flow was reset or closed.
    pub reset: u64,
    /// Requests without a response within the timeout.
    pub timeouts: u64,
    /// Flows whose handshake completed.
    pub flows: u64,
    /// Established flows that broke before their last response.
    pub broken_flows: u64,
    /// Number of broken flows by cause.
    pub broken_by_cause: BTreeMap<String, u64>,
    /// Broken flows that the [`Exemption`] covers, because the run itself broke them on purpose.
    pub excused_flows: u64,
    /// Requests that reached a target of another service.
    pub misrouted: u64,
    /// Non-idempotent requests that ran more than once.
    pub run_twice: u64,
    /// Idempotent requests that ran more than once, which is allowed.
    pub idempotent_run_twice: u64,
    /// Requests that ran although they were refused or reported as expired.
    pub refused_but_run: u64,
    /// Responses with wrong bytes and responses whose request never ran.
    pub wrong_answers: u64,
    /// Number of times that targets ran a request.
    pub runs: u64,
    /// Connections opened to draining targets later than 5 s after the start of the drain.
    pub late_openings: u64,
    /// Lines that are not valid records. A killed process may leave a truncated last line.
    pub unreadable_lines: u64,
    /// Example request ids or flows for each fault.
    pub examples: BTreeMap<String, Vec<String>>,
    /// Random seed of the run.
    pub seed: u64,
}

/// Time after the start of a drain during which the target may still receive new connections, in microseconds.
const DRAIN_GRACE: u64 = 5 * crate::clock::SECOND;

/// Broken flows that a run causes on purpose.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Exemption {
    /// Addresses of killed targets. A flow may break if its latest request ran there.
    pub killed_targets: Vec<String>,
    /// Number of other flows that may break by a reset. A run sets it to the number of flows that it silenced.
    pub max_resets: u64,
}

/// Collects records and checks them against the rules of a run.
#[derive(Debug, Default)]
pub struct Judge {
    report: Report,
    exemption: Exemption,
    broken: Vec<Flow>,
    requests: Vec<Request>,
    runs: HashMap<u64, Vec<Run>>,
}

impl Judge {
    /// Returns a judge without records for a run with `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self { report: Report { seed, ..Default::default() }, ..Default::default() }
    }

    /// Sets which broken flows do not count as faults.
    pub fn exempt(&mut self, exemption: Exemption) {
        self.exemption = exemption;
    }

    /// Adds the records in `text`, one JSON object per line.
    pub fn read(&mut self, text: &str) {
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match serde_json::from_str(line) {
                Ok(record) => self.add(record),
                Err(_) => self.report.unreadable_lines += 1,
            }
        }
    }

    /// Adds the records in a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read.
    pub fn read_file(&mut self, file: &str) -> Result<()> {
        let bytes = std::fs::read(file).wrap_err_with(|| format!("cannot read record file {file:?}"))?;
        self.read(&String::from_utf8_lossy(&bytes));
        Ok(())
    }

    /// Adds a record.
    pub fn add(&mut self, record: Record) {
        match record {
            Record::Request(request) => self.requests.push(request),
            Record::Run(run) => self.runs.entry(run.id).or_default().push(run),
            Record::Flow(flow) => {
                self.report.flows += u64::from(flow.established);
                if let Some(cause) = flow.broken {
                    self.report.broken_flows += 1;
                    *self.report.broken_by_cause.entry(format!("{cause:?}").to_lowercase()).or_default() += 1;
                    self.add_example("broken_flows", flow.flow.clone());
                    self.broken.push(flow);
                }
            }
            Record::Misrouted(misrouted) => {
                self.report.misrouted += 1;
                self.add_example("misrouted", misrouted.id.to_string());
            }
            Record::LateOpening(late) => {
                self.report.late_openings += u64::from(late.after_us > DRAIN_GRACE);
            }
            Record::Summary(_) => {}
        }
    }

    /// Returns the result of the run.
    #[must_use]
    pub fn report(mut self) -> Report {
        self.report.runs = self.runs.values().map(|runs| runs.len() as u64).sum();
        self.report.excused_flows = self.count_exempt();
        for request in std::mem::take(&mut self.requests) {
            self.check_request(&request);
        }
        // Requests without a record of their caller are treated as non-idempotent.
        let unreported: Vec<_> = self.runs.iter().filter(|(_, runs)| runs.len() > 1).map(|(id, _)| *id).collect();
        for id in unreported {
            self.report.run_twice += 1;
            self.add_example("run_twice", id.to_string());
        }
        self.report
    }

    /// Returns the number of broken flows that the exemption covers.
    fn count_exempt(&self) -> u64 {
        let ran_on_killed_target = |flow: &Flow| {
            self.latest_target(flow)
                .is_some_and(|target| self.exemption.killed_targets.iter().any(|killed| killed == target))
        };
        let (killed, others): (Vec<_>, Vec<_>) = self.broken.iter().partition(|flow| ran_on_killed_target(flow));
        let resets = others.iter().filter(|flow| flow.broken == Some(Outcome::Reset)).count() as u64;
        killed.len() as u64 + resets.min(self.exemption.max_resets)
    }

    /// Returns the target where the latest request of a flow ran. Caller ports are reused, so the times are compared
    /// too.
    fn latest_target(&self, flow: &Flow) -> Option<&str> {
        let caller = flow.flow.split_once('>').map_or(flow.flow.as_str(), |(caller, _)| caller);
        let belongs_to_flow = |request: &&Request| {
            request.flow.split('>').next() == Some(caller)
                && request.service == flow.service
                && (flow.start_us..=flow.end_us).contains(&request.start_us)
        };
        let runs =
            self.requests.iter().filter(belongs_to_flow).filter_map(|request| self.runs.get(&request.id)).flatten();
        runs.max_by_key(|run| run.start_us).map(|run| run.target.as_str())
    }

    fn check_request(&mut self, request: &Request) {
        self.report.requests += 1;
        let runs = self.runs.remove(&request.id).unwrap_or_default();
        self.count_outcome(request, !runs.is_empty());
        if runs.len() > 1 && request.idempotent {
            self.report.idempotent_run_twice += 1;
        } else if runs.len() > 1 {
            self.report.run_twice += 1;
            self.add_example("run_twice", request.id.to_string());
        }
        if runs.iter().any(|run| run.service != request.service) {
            self.report.misrouted += 1;
            self.add_example("misrouted", request.id.to_string());
        }
    }

    fn count_outcome(&mut self, request: &Request, ran: bool) {
        let reported_not_run = matches!(request.outcome, Outcome::Refused | Outcome::Expired);
        if reported_not_run && ran {
            self.report.refused_but_run += 1;
            self.add_example("refused_but_run", request.id.to_string());
        }
        let answered_without_run = request.outcome == Outcome::Answered && !ran;
        if answered_without_run || request.outcome == Outcome::WrongAnswer {
            self.report.wrong_answers += 1;
            self.add_example("wrong_answers", request.id.to_string());
        }
        let count = match request.outcome {
            Outcome::Answered => &mut self.report.answered,
            Outcome::Refused => &mut self.report.refused,
            Outcome::Expired => &mut self.report.expired,
            Outcome::Reset => &mut self.report.reset,
            Outcome::Timeout => &mut self.report.timeouts,
            Outcome::WrongAnswer => return,
        };
        *count += 1;
    }

    fn add_example(&mut self, fault: &str, subject: String) {
        let examples = self.report.examples.entry(fault.to_owned()).or_default();
        if examples.len() < MAX_EXAMPLES {
            examples.push(subject);
        }
    }
}

impl Report {
    /// Returns true if no rule was violated.
    #[must_use]
    pub const fn is_clean(&self) -> bool {
        self.broken_flows == self.excused_flows
            && self.late_openings == 0
            && self.misrouted == 0
            && self.run_twice == 0
            && self.refused_but_run == 0
            && self.wrong_answers == 0
    }
}
