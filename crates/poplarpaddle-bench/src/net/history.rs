//! History of each request: the results that its caller observed and the runs at targets.

use std::net::Ipv4Addr;
use std::time::Duration;

use poplarpaddle::time::Time;

/// Number of low bits of an encoded submission that hold its attempt number.
const ATTEMPT_BITS: u32 = 8;

/// Result that a caller observed for a submission of a request, with the time of the observation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// The caller received the complete answer.
    Answer(Time),
    /// The caller was told that the submission did not run.
    NotRun(Time),
    /// The flow was reset, so the caller does not know whether the submission ran.
    Unknown(Time),
}

/// A run of a request at a target.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// Attempt number of the submission that ran.
    pub attempt: u8,
    /// Address of the target.
    pub host: Ipv4Addr,
    /// Start of the run.
    pub time: Time,
    /// Time for which the run occupied a slot.
    pub slot_time: Duration,
}

/// A request and its history.
#[derive(Debug)]
pub struct Request {
    /// Index of the flow.
    pub flow: usize,
    /// Index of the priority.
    pub priority: usize,
    /// True when the request belongs to a flood.
    pub flood: bool,
    /// True when the request opens its flow after the start of the trace.
    pub is_opening: bool,
    /// True when the request may run more than once.
    pub idempotent: bool,
    /// Slot time on a warm host.
    pub service_time: Duration,
    /// Time of its arrival at the caller, which submits it.
    pub arrived: Time,
    /// Time by which the caller needs the answer.
    pub deadline: Time,
    /// Number of submissions so far.
    pub attempts: u8,
    /// Attempt numbers with the results that the caller observed for them.
    pub observations: Vec<(u8, Observation)>,
    /// Runs at targets.
    pub runs: Vec<Run>,
}

impl Request {
    /// Returns true when the answer arrived by the deadline.
    #[must_use]
    pub fn is_in_time(&self) -> bool {
        self.observations
            .iter()
            .any(|(_, observation)| matches!(observation, Observation::Answer(time) if *time <= self.deadline))
    }

    /// Returns the time of the refusal when the last observation of the caller is that the request did not run.
    #[must_use]
    pub fn refused_at(&self) -> Option<Time> {
        let (_, observation) = self.observations.last()?;
        if let Observation::NotRun(time) = observation { Some(*time) } else { None }
    }

    /// Returns the slot time that the runs of the request used between two times.
    #[must_use]
    pub fn slot_time_between(&self, from: Time, to: Time) -> Duration {
        self.runs.iter().map(|run| (run.time + run.slot_time).min(to).since(run.time.max(from))).sum()
    }

    /// Returns true when the caller was told that a submission did not run although it ran.
    #[must_use]
    pub fn is_refused_but_run(&self) -> bool {
        let ran = |attempt: u8| self.runs.iter().any(|run| run.attempt == attempt);
        self.observations
            .iter()
            .any(|&(attempt, observation)| matches!(observation, Observation::NotRun(_)) && ran(attempt))
    }

    /// Returns true when the request is not idempotent and ran more than once.
    #[must_use]
    pub fn is_run_twice(&self) -> bool {
        !self.idempotent && self.runs.len() > 1
    }
}

/// Encodes the index of a request and an attempt number as the number that a packet carries.
#[must_use]
pub fn encode_submission(request: usize, attempt: u8) -> u64 {
    ((request as u64) << ATTEMPT_BITS) | u64::from(attempt)
}

/// Returns the index of the request and the attempt number of an encoded submission.
#[must_use]
pub fn decode_submission(number: u64) -> (usize, u8) {
    let request = usize::try_from(number >> ATTEMPT_BITS).unwrap_or(usize::MAX);
    (request, number.to_be_bytes()[7])
}
