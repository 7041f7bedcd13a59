//! Records of a run, written as JSON lines.

use std::fmt;
use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// Outcome of a request as its caller observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The complete, correct response arrived.
    Answered,
    /// The SYN was answered with a reset, so the request was not run.
    Refused,
    /// The target responded that the deadline had passed, so the request was not run.
    Expired,
    /// The flow was reset or closed after its handshake had completed.
    Reset,
    /// The handshake or the response timed out.
    Timeout,
    /// The response belongs to another request or contains wrong bytes.
    WrongAnswer,
}

/// A request as its caller observed it. Times are in microseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Unique id of the request.
    pub id: u64,
    /// Service name.
    pub service: String,
    /// True if the request may run twice.
    pub idempotent: bool,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// When the caller started the request; for the first request of a flow, when it first tried to connect.
    pub start_us: u64,
    /// When the outcome became known.
    pub end_us: u64,
    /// Endpoint of the caller, `IP:port`.
    pub flow: String,
    /// Connection attempts made for the flow.
    pub tries: u32,
}

/// A flow as its caller observed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Flow {
    /// Endpoints of the caller and the service, `IP:port>IP:port`.
    pub flow: String,
    /// Service name.
    pub service: String,
    /// True if the flow was meant to last for the whole run.
    pub long: bool,
    /// True if the handshake completed.
    pub established: bool,
    /// Why the flow broke between the end of its handshake and its last response, if it did.
    pub broken: Option<Outcome>,
    /// Number of requests that got a correct response.
    pub answered: u64,
    /// When the caller first tried to connect, in microseconds.
    pub start_us: u64,
    /// When the flow ended, in microseconds.
    pub end_us: u64,
}

/// A request that ran at a target. It is recorded when it starts, so that killing a target loses no record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Unique id of the request.
    pub id: u64,
    /// Service named in the request.
    pub service: String,
    /// Address of the target.
    pub target: String,
    /// When the request started in a slot, in microseconds.
    pub start_us: u64,
    /// When the slot becomes free, in microseconds.
    pub end_us: u64,
}

/// A request that reached a target of another service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Misrouted {
    /// Unique id of the request.
    pub id: u64,
    /// Service named in the request.
    pub service: String,
    /// Address of the target.
    pub target: String,
    /// Service that the target runs.
    pub target_service: String,
    /// When the request arrived, in microseconds.
    pub time_us: u64,
}

/// A connection that was opened to a target while the target drained.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LateOpening {
    /// Address of the target.
    pub target: String,
    /// Endpoint of the caller.
    pub caller: String,
    /// Time since the start of the drain, in microseconds.
    pub after_us: u64,
}

/// Totals that a process reports when it exits.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Name of the process.
    pub process: String,
    /// Counters by name.
    pub counts: std::collections::BTreeMap<String, u64>,
}

/// One line of a record file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum Record {
    /// A request, written by its caller.
    Request(Request),
    /// A flow, written by its caller.
    Flow(Flow),
    /// The start of a request, written by its target.
    Run(Run),
    /// A request that reached a target of another service.
    Misrouted(Misrouted),
    /// A connection opened while its target drained.
    LateOpening(LateOpening),
    /// The totals of a process.
    Summary(Summary),
}

/// Writes records. Clones share one writer.
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

    /// Writes a record as one line.
    ///
    /// A missing record would make the judge's result wrong, so a write error is reported on standard error.
    pub fn write(&self, record: &Record) {
        let Ok(mut line) = serde_json::to_vec(record) else { return };
        line.push(b'\n');
        let mut writer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = writer.write_all(&line).and_then(|()| writer.flush()) {
            eprintln!("cannot write a record: {error}");
        }
    }
}
