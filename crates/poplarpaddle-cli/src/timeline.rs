//! The command `timeline`: merges the events of several processes in order of time.
//!
//! ```
//! use poplarpaddle_cli::arguments::Format;
//! use poplarpaddle_cli::timeline::{Source, merge, render};
//!
//! let text = r#"{"process":"b1","time":1500000000,"name":"config.applied","subject":"7","detail":""}"#;
//! let entries = merge(&[Source { label: "127.0.0.1:7000", text }]).unwrap();
//! assert_eq!(render(&entries, Format::Text).unwrap(), "1.500000000 b1 config.applied 7\n");
//! ```
//!
//! Each process timestamps its events with a monotonic clock that is initialized from the wall clock of its VM. The order
//! of events of different processes is therefore only as accurate as those wall clocks agree.

use std::net::SocketAddr;
use std::time::Duration;

use poplarpaddle::error::{Error, Kind, Result};
use poplarpaddle::event::Event;
use poplarpaddle_io::clock::Clock;
use poplarpaddle_io::peer::Client;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::arguments::Format;
use crate::console::Console;

/// Timeout of the request to one process.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Events of one process as JSON lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Source<'a> {
    /// Label of the source, used in errors.
    pub label: &'a str,
    /// The JSON lines.
    pub text: &'a str,
}

/// An event with the name of its process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the process.
    pub process: String,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

pub(crate) async fn run(from: &[SocketAddr], format: Format, console: &mut Console<'_>) -> Result<()> {
    let (client, clock) = (Client::new(None)?, Clock::new());
    let mut responses = Vec::new();
    let mut failures = Vec::new();
    for address in from {
        match client.fetch(*address, "/events", clock.now() + CALL_TIMEOUT).await {
            Ok(bytes) => responses.push((address.to_string(), String::from_utf8_lossy(&bytes).into_owned())),
            Err(error) => failures.push(error.message().to_owned()),
        }
    }
    let sources: Vec<Source<'_>> = responses.iter().map(|(label, text)| Source { label, text }).collect();
    console.print(&render(&merge(&sources)?, format)?)?;
    if failures.is_empty() {
        return Ok(());
    }
    let (count, total) = (failures.len(), from.len());
    Err(Error::new(
        Kind::Unavailable,
        format!("{count} of {total} processes returned no events:\n{}", failures.join("\n")),
    ))
}

/// Merges the events in order of time. Events of one process with the same time keep their order.
///
/// # Errors
///
/// [`Kind::Message`] naming the source and the line that is not an event.
pub fn merge(sources: &[Source<'_>]) -> Result<Vec<Entry>> {
    let mut entries: Vec<Entry> = Vec::new();
    for source in sources {
        for (index, line) in source.text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
            let entry = serde_json::from_str(line).map_err(|error| {
                let message = format!("events of {}, line {}: {error}: {line:.80}", source.label, index + 1);
                Error::new(Kind::Message, message)
            })?;
            entries.push(entry);
        }
    }
    entries.sort_by(|a, b| (a.event.time, &a.process).cmp(&(b.event.time, &b.process)));
    Ok(entries)
}

/// Returns the timeline in the given format.
///
/// # Errors
///
/// [`Kind::Internal`] when an event cannot be encoded as JSON.
pub fn render(entries: &[Entry], format: Format) -> Result<String> {
    match format {
        Format::Text => Ok(entries.iter().map(line).collect()),
        Format::Json => entries.iter().map(|entry| Ok(encode(entry)? + "\n")).collect(),
        Format::Trace => Ok(encode(&trace(entries))? + "\n"),
    }
}

fn encode(value: &impl Serialize) -> Result<String> {
    serde_json::to_string(value)
        .map_err(|error| Error::new(Kind::Internal, format!("event cannot be encoded as JSON: {error}")))
}

fn line(entry: &Entry) -> String {
    const NANOS_PER_SECOND: u64 = 1_000_000_000;
    let (nanos, event) = (entry.event.time.as_nanos(), &entry.event);
    let (seconds, rest) = (nanos / NANOS_PER_SECOND, nanos % NANOS_PER_SECOND);
    let text = format!("{seconds}.{rest:09} {} {} {} {}", entry.process, event.name, event.subject, event.detail);
    // Control characters of a subject or detail would break the line or the terminal.
    let printable: String = text.trim_end().chars().map(|c| if c.is_control() { ' ' } else { c }).collect();
    printable + "\n"
}

/// Returns the events in the Trace Event Format, as instant events grouped by process.
///
/// Times are relative to the first event, because viewers display microseconds since the epoch poorly.
fn trace(entries: &[Entry]) -> Value {
    let mut processes: Vec<&str> = entries.iter().map(|entry| entry.process.as_str()).collect();
    processes.sort_unstable();
    processes.dedup();
    let start = entries.first().map(|entry| entry.event.time).unwrap_or_default();
    let names = processes.iter().enumerate().map(
        |(index, name)| json!({"name": "process_name", "ph": "M", "pid": index + 1, "tid": 1, "args": {"name": name}}),
    );
    let instants = entries.iter().map(|entry| {
        let event = &entry.event;
        let process = processes.binary_search(&entry.process.as_str()).map_or(0, |index| index + 1);
        let category = event.name.split('.').next().unwrap_or_default();
        let micros = event.time.since(start).as_secs_f64() * 1e6;
        json!({"name": event.name, "cat": category, "ph": "i", "s": "p", "ts": micros, "pid": process, "tid": 1,
            "args": {"subject": event.subject, "detail": event.detail}})
    });
    let events: Vec<Value> = names.chain(instants).collect();
    json!({"traceEvents": events, "displayTimeUnit": "ms", "otherData": {"start_ns": start.as_nanos().to_string()}})
}
