//! What became of each request, and the check of it.

use std::net::Ipv4Addr;
use std::time::Duration;

use poplarpaddle::time::Time;

/// Bits of a request number that count its submissions.
const ATTEMPT_BITS: u32 = 8;

/// What a caller was told about a submission of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// The whole answer.
    Answer(Time),
    /// It was not run.
    NotRun(Time),
    /// The flow ended; nothing is known.
    Unknown(Time),
}

/// A run of a request at a target.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// Submission that ran.
    pub attempt: u8,
    /// Where.
    pub host: Ipv4Addr,
    /// When it began.
    pub time: Time,
    /// Slot time.
    pub slot_time: Duration,
}

/// A request.
#[derive(Debug)]
pub struct Request {
    /// Index of its flow.
    pub flow: usize,
    /// Index of the priority.
    pub priority: usize,
    /// True when it belongs to a flood.
    pub flood: bool,
    /// True when it opens its flow after the start of the trace.
    pub is_opening: bool,
    /// True when running it twice is harmless.
    pub idempotent: bool,
    /// Slot time on a warm host.
    pub service_time: Duration,
    /// When its caller had it.
    pub arrived: Time,
    /// When an answer is of no use any more.
    pub deadline: Time,
    /// Submissions so far.
    pub attempts: u8,
    /// What the caller was told, by submission.
    pub observations: Vec<(u8, Observation)>,
    /// Where and when it ran.
    pub runs: Vec<Run>,
}

impl Request {
    /// Returns true when its answer came before the deadline.
    #[must_use]
    pub fn is_in_time(&self) -> bool {
        self.observations
            .iter()
            .any(|(_, observation)| matches!(observation, Observation::Answer(time) if *time <= self.deadline))
    }

    /// Returns when the caller was last told that it did not run.
    #[must_use]
    pub fn refused_at(&self) -> Option<Time> {
        let (_, observation) = self.observations.last()?;
        if let Observation::NotRun(time) = observation { Some(*time) } else { None }
    }

    /// Returns the slot time that it used between two times.
    #[must_use]
    pub fn slot_time_between(&self, from: Time, to: Time) -> Duration {
        self.runs.iter().map(|run| (run.time + run.slot_time).min(to).since(run.time.max(from))).sum()
    }

    /// Returns true when the caller was told that a submission did not run although it did.
    #[must_use]
    pub fn is_refused_but_run(&self) -> bool {
        let ran = |attempt: u8| self.runs.iter().any(|run| run.attempt == attempt);
        self.observations
            .iter()
            .any(|&(attempt, observation)| matches!(observation, Observation::NotRun(_)) && ran(attempt))
    }

    /// Returns true when it must not run more than once and did.
    #[must_use]
    pub fn is_run_twice(&self) -> bool {
        !self.idempotent && self.runs.len() > 1
    }
}

/// Returns the number that stands for one submission of a request on the wire.
#[must_use]
pub fn encode_submission(request: usize, attempt: u8) -> u64 {
    ((request as u64) << ATTEMPT_BITS) | u64::from(attempt)
}

/// Returns request and submission of a number.
#[must_use]
pub fn decode_submission(number: u64) -> (usize, u8) {
    let request = usize::try_from(number >> ATTEMPT_BITS).unwrap_or(usize::MAX);
    (request, number.to_be_bytes()[7])
}
