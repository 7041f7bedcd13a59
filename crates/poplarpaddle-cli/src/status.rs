//! The command `status`.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use poplarpaddle::error::{Error, Kind, Result};
use poplarpaddle_io::peer::Client;
use serde::Serialize;
use serde_json::Value;

use crate::console::Console;
use crate::remote::Remote;
use crate::table;

/// Time for the answer of one balancer.
const CALL_TIME: Duration = Duration::from_secs(2);

/// Columns that come first when a report has them.
const LEADING: [&str; 5] = ["name", "zone", "state", "generation", "epoch"];

/// A report of one zone or balancer.
#[derive(Debug, Serialize)]
struct Report {
    /// Zone, or address of the balancer.
    source: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<Value>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

#[derive(Debug, Serialize)]
struct Status {
    fleet: String,
    /// Generation in the store, 0 before the first publish.
    generation: u64,
    zones: Vec<Report>,
    balancers: Vec<Report>,
}

pub(crate) async fn run(
    remote: &Remote<'_>,
    fleet: &str,
    json: bool,
    balancers: &[SocketAddr],
    console: &mut Console<'_>,
) -> Result<()> {
    let status = Status {
        fleet: fleet.to_owned(),
        generation: remote.manifest(fleet).await?.map_or(0, |manifest| manifest.generation),
        zones: zones(remote).await?,
        balancers: ask(remote, balancers).await?,
    };
    if json {
        let text = serde_json::to_string_pretty(&status);
        console
            .print(&text.map_err(|error| Error::new(Kind::Internal, format!("status has no JSON form: {error}")))?)?;
    } else {
        console.print(&text(&status))?;
    }
    let silent: Vec<&str> = status.balancers.iter().filter_map(|report| report.error.as_deref()).collect();
    if silent.is_empty() {
        return Ok(());
    }
    let (count, of) = (silent.len(), status.balancers.len());
    Err(Error::new(Kind::Unavailable, format!("{count} of {of} balancers did not report:\n{}", silent.join("\n"))))
}

async fn zones(remote: &Remote<'_>) -> Result<Vec<Report>> {
    let objects = remote.list("status").await?;
    Ok(objects
        .into_iter()
        .map(|object| Report { source: object.name, value: Some(object.value), error: None })
        .collect())
}

async fn ask(remote: &Remote<'_>, balancers: &[SocketAddr]) -> Result<Vec<Report>> {
    let client = Client::new()?;
    let mut reports = Vec::new();
    for balancer in balancers {
        let answer = client.fetch(*balancer, "/status", remote.now() + CALL_TIME).await;
        let value = answer.and_then(|bytes| {
            serde_json::from_slice(&bytes).map_err(|error| {
                Error::new(Kind::Message, format!("status of balancer {balancer} is not JSON: {error}"))
            })
        });
        let (value, error) = match value {
            Ok(value) => (Some(value), None),
            Err(error) => (None, Some(error.message().to_owned())),
        };
        reports.push(Report { source: balancer.to_string(), value, error });
    }
    Ok(reports)
}

fn text(status: &Status) -> String {
    let mut text = format!("fleet {}, generation {} in the store\n", status.fleet, status.generation);
    for (heading, reports) in [("ZONE", &status.zones), ("BALANCER", &status.balancers)] {
        if !reports.is_empty() {
            text.push('\n');
            text.push_str(&summary(heading, reports, status.generation));
            text.push_str(&rows(heading, reports, status.generation));
        }
    }
    text
}

fn generation(report: &Report) -> Option<u64> {
    report.value.as_ref()?.get("generation")?.as_u64()
}

fn summary(heading: &str, reports: &[Report], published: u64) -> String {
    let current = reports.iter().filter(|report| generation(report) == Some(published)).count();
    format!("{current} of {} {}S at generation {published}\n", reports.len(), heading).to_lowercase()
}

/// Returns a table with a column for each field of the reports that is not a list or an object.
fn rows(heading: &str, reports: &[Report], published: u64) -> String {
    let scalar = |value: &Value| !value.is_array() && !value.is_object();
    let fields = |report: &Report| report.value.as_ref().and_then(Value::as_object).cloned().unwrap_or_default();
    let names: BTreeSet<String> = reports
        .iter()
        .flat_map(|report| fields(report).into_iter().filter(|(_, value)| scalar(value)).map(|(name, _)| name))
        .filter(|name| !name.eq_ignore_ascii_case(heading))
        .collect();
    let leading = LEADING.iter().map(|name| (*name).to_owned()).filter(|name| names.contains(name));
    let others = names.iter().filter(|name| !LEADING.contains(&name.as_str())).cloned();
    let columns: Vec<String> = leading.chain(others).collect();
    let mut rows = vec![vec![heading.to_owned()]];
    rows[0].extend(columns.iter().map(|name| name.to_uppercase()));
    for report in reports {
        let fields = fields(report);
        let mut row = vec![report.source.clone()];
        row.extend(columns.iter().map(|name| cell(fields.get(name))));
        if let Some(error) = &report.error {
            row.push(error.clone());
        } else if generation(report).is_some_and(|generation| generation < published) {
            row.push("behind".to_owned());
        }
        rows.push(row);
    }
    table::text(&rows)
}

fn cell(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null | Value::Array(_) | Value::Object(_)) => "-".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}
