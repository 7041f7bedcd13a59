//! The command `explain`: prints the decisions of balancers about a flow, and their beliefs around that time.
//!
//! A belief is a log line with `msg` `belief`: an event that changed the balancer's view of hosts, zones, members, the
//! store or the configuration.
//!
//! ```
//! use poplarpaddle_cli::explain::{Log, explain};
//!
//! let text = r#"{"time":5,"msg":"decision","process":"e1","flow":"100.64.0.7:1024>198.18.0.1:443","verdict":"placed"}"#;
//! let found = explain("100.64.0.7:1024", &[Log { label: "e1.jsonl", text }]);
//! assert_eq!(found.lines.len(), 1);
//! ```
//!
//! Lines that are not JSON objects with a time and a process are skipped and counted, since a killed process may leave an
//! incomplete line in its log.

use std::collections::BTreeSet;
use std::path::PathBuf;

use poplarpaddle::error::{Error, Kind, Result};
use serde_json::Value;

use crate::console::Console;

/// Maximum time between a decision and the beliefs shown with it, in nanoseconds.
const WINDOW: u64 = 5_000_000_000;

/// Events that affect every flow of a process, regardless of the host.
const GENERAL: [&str; 6] =
    ["zone.lost", "zone.regained", "config.applied", "store.lost", "store.regained", "member.paused"];

/// One log file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Log<'a> {
    /// Name of the log, used in output and errors.
    pub label: &'a str,
    /// Content of the file.
    pub text: &'a str,
}

/// A parsed line of a log.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// Time in nanoseconds since the epoch.
    pub time: u64,
    /// Name of the process.
    pub process: String,
    /// All fields of the line, as a JSON object.
    pub fields: Value,
}

/// Result of [`explain`].
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Explanation {
    /// The decisions and the lines related to them, in the order of time.
    pub lines: Vec<Line>,
    /// Number of lines that are not log lines, without empty ones.
    pub skipped: usize,
}

pub(crate) fn run(flow: &str, files: &[PathBuf], console: &mut Console<'_>) -> Result<()> {
    let mut texts = Vec::new();
    for file in files {
        let label = file.display().to_string();
        let bytes =
            std::fs::read(file).map_err(|error| Error::new(Kind::Io, format!("cannot read log {label}: {error}")))?;
        texts.push((label, String::from_utf8_lossy(&bytes).into_owned()));
    }
    let logs: Vec<Log<'_>> = texts.iter().map(|(label, text)| Log { label, text }).collect();
    let Explanation { lines, skipped } = explain(flow, &logs);
    match skipped {
        0 => {}
        1 => console.note("1 line is not a log line and was skipped"),
        _ => console.note(&format!("{skipped} lines are not log lines and were skipped")),
    }
    if lines.is_empty() {
        let text = format!(
            "no decision about a flow whose name contains {flow:?} in {} files; log lines `decisions left out` count decisions \
             that were not logged",
            files.len()
        );
        return Err(Error::new(Kind::Missing, text));
    }
    let text: String = lines.iter().map(render).collect();
    console.print(&text)
}

/// Returns the decisions about flows whose name contains `flow`, sorted by time. Also returns the lines that the same
/// processes logged around the time of a decision about the hosts of the decisions or about the process as a whole.
#[must_use]
pub fn explain(flow: &str, logs: &[Log<'_>]) -> Explanation {
    let texts = logs.iter().flat_map(|log| log.text.lines()).filter(|text| !text.trim().is_empty());
    let parsed: Vec<Option<Line>> = texts.map(parse).collect();
    let total = parsed.len();
    let lines: Vec<Line> = parsed.into_iter().flatten().collect();
    let decisions: Vec<&Line> = lines.iter().filter(|line| is_decision_about(line, flow)).collect();
    let hosts: BTreeSet<&str> = decisions.iter().filter_map(|line| line.fields["host"].as_str()).collect();
    let is_relevant = |line: &&Line| {
        let is_near = decisions
            .iter()
            .any(|decision| decision.process == line.process && decision.time.abs_diff(line.time) <= WINDOW);
        is_decision_about(line, flow) || (is_near && affects(line, &hosts))
    };
    let mut found: Vec<Line> = lines.iter().filter(is_relevant).cloned().collect();
    found.sort_by(|one, other| (one.time, &one.process).cmp(&(other.time, &other.process)));
    Explanation { lines: found, skipped: total - lines.len() }
}

fn parse(line: &str) -> Option<Line> {
    // A benchmark or a supervisor may prefix the object with its own timestamp and process name.
    let start = line.find('{')?;
    let fields: Value = serde_json::from_str(&line[start..]).ok()?;
    let time = fields["time"].as_u64()?;
    let process = fields["process"].as_str()?.to_owned();
    Some(Line { time, process, fields })
}

fn is_decision_about(line: &Line, flow: &str) -> bool {
    line.fields["msg"] == "decision" && line.fields["flow"].as_str().is_some_and(|name| name.contains(flow))
}

/// Returns true if the line is a belief about one of `hosts`, an event that affects every flow, or a state change of the
/// process.
fn affects(line: &Line, hosts: &BTreeSet<&str>) -> bool {
    let event = line.fields["event"].as_str().unwrap_or_default();
    let text = |field: &str| line.fields[field].as_str().unwrap_or_default();
    let names_host = hosts.iter().any(|host| text("subject") == *host || text("detail").contains(host));
    let is_state = ["readiness changed", "started", "leaving", "stopped", "reloaded"].contains(&text("msg"));
    GENERAL.contains(&event) || is_state || (text("msg") == "belief" && names_host)
}

fn render(line: &Line) -> String {
    const NANOS_PER_SECOND: u64 = 1_000_000_000;
    let display = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    let hidden = ["time", "process", "msg", "level"];
    let fields = line.fields.as_object().into_iter().flatten();
    let fields = fields.filter(|(name, value)| !hidden.contains(&name.as_str()) && !value.is_null());
    let mut fields: Vec<String> = fields.map(|(name, value)| format!("{name}={}", display(value))).collect();
    fields.sort_unstable();
    let (seconds, rest) = (line.time / NANOS_PER_SECOND, line.time % NANOS_PER_SECOND);
    let text = format!("{seconds}.{rest:09} {} {} {}", line.process, display(&line.fields["msg"]), fields.join(" "));
    text.chars().map(|c| if c.is_control() { ' ' } else { c }).collect::<String>() + "\n"
}
