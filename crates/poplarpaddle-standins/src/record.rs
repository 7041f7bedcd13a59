//! Records of a run, as JSON lines.

use std::fmt;
use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// What became of a request at its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole and correct answer arrived.
    Answered,
    /// The opening was answered by a reset: the request was not run.
    Refused,
    /// The target said that the deadline had passed: the request was not run.
    Expired,
    /// The flow was reset or closed after it had been established.
    Reset,
    /// Nothing arrived in time.
    Timeout,
    /// The answer belongs to another request or has wrong bytes.
    WrongAnswer,
}

/// A request as its caller saw it. Times are in microseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Unique id.
    pub id: u64,
    /// Service name.
    pub service: String,
    /// True when the request may run twice.
    pub idempotent: bool,
    /// What became of it.
    pub outcome: Outcome,
    /// When the caller began with it; for the first one of a flow this is the opening.
    pub start_us: u64,
    /// When the outcome was known.
    pub end_us: u64,
    /// Caller's endpoint.
    pub flow: String,
    /// Openings tried.
    pub tries: u32,
}

/// A flow as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Flow {
    /// Caller and service endpoint, `IP:port>IP:port`.
    pub flow: String,
    /// Service name.
    pub service: String,
    /// True for a flow that lasts the whole run.
    pub long: bool,
    /// True when the handshake completed.
    pub established: bool,
    /// Why it broke after it had been established and before its last answer, none when it did not.
    pub broken: Option<Outcome>,
    /// Answered requests.
    pub answered: u64,
    /// When it was opened, in microseconds.
    pub start_us: u64,
    /// When it ended, in microseconds.
    pub end_us: u64,
}

/// A request that ran at a target. It is written when it starts, so that the kill of a target hides none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Unique id of the request.
    pub id: u64,
    /// Service that the request names.
    pub service: String,
    /// Target address.
    pub target: String,
    /// When a slot took it, in microseconds.
    pub start_us: u64,
    /// When its slot becomes free, in microseconds.
    pub end_us: u64,
}

/// A request that reached a target of another service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Misrouted {
    /// Unique id of the request.
    pub id: u64,
    /// Service that the request names.
    pub service: String,
    /// Target address.
    pub target: String,
    /// Service of the target.
    pub target_service: String,
    /// When it arrived, in microseconds.
    pub time_us: u64,
}

/// A connection that was opened at a target while it drained.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LateOpening {
    /// Target address.
    pub target: String,
    /// Caller's endpoint.
    pub caller: String,
    /// Time since the drain began, in microseconds.
    pub after_us: u64,
}

/// Totals of a process at its end.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Which process.
    pub process: String,
    /// Named counts.
    pub counts: std::collections::BTreeMap<String, u64>,
}

/// One line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum Record {
    /// [`Request`].
    Request(Request),
    /// [`Flow`].
    Flow(Flow),
    /// [`Run`].
    Run(Run),
    /// [`Misrouted`].
    Misrouted(Misrouted),
    /// [`LateOpening`].
    LateOpening(LateOpening),
    /// [`Summary`].
    Summary(Summary),
}

/// Writes records; clones share one writer.
#[derive(Clone)]
pub struct Recorder(Arc<Mutex<Box<dyn Write + Send>>>);

impl fmt::Debug for Recorder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Recorder").finish_non_exhaustive()
    }
}

impl Recorder {
    /// Returns a recorder that writes to `writer`.
    #[must_use]
    pub fn new(writer: impl Write + Send + 'static) -> Self {
        Self(Arc::new(Mutex::new(Box::new(writer))))
    }

    /// Returns a recorder that writes to standard output.
    #[must_use]
    pub fn stdout() -> Self {
        Self::new(std::io::stdout())
    }

    /// Writes one line.
    ///
    /// A record that cannot be written would make the judge's result wrong, so the failure goes to standard error.
    pub fn write(&self, record: &Record) {
        let Ok(mut line) = serde_json::to_vec(record) else { return };
        line.push(b'\n');
        let mut writer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = writer.write_all(&line).and_then(|()| writer.flush()) {
            eprintln!("cannot write a record: {error}");
        }
    }
}
