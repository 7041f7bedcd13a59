//! The command `status`: prints the status of the fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use poplarpaddle::error::{Error, Kind, Result};
use poplarpaddle::time::Time;
use poplarpaddle_io::peer::Client;
use serde::Serialize;
use serde_json::Value;

use crate::console::Console;
use crate::remote::Remote;
use crate::table;

/// Timeout of the request to one balancer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Fields that are shown in the first columns, if a report has them.
const LEADING: [&str; 6] = ["name", "zone", "state", "ready", "generation", "members"];

/// Maximum length of a cell in characters; ids and digests are distinguishable by a shorter prefix.
const MAX_CELL: usize = 24;

/// The status that one zone or balancer reports, or the error of the request.
#[derive(Debug, Serialize)]
struct Report {
    /// Name of the zone, or address of the balancer.
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
        balancers: query(remote, balancers).await?,
    };
    if json {
        let text = serde_json::to_string_pretty(&status);
        console.print(
            &text.map_err(|error| Error::new(Kind::Internal, format!("status cannot be encoded as JSON: {error}")))?,
        )?;
    } else {
        console.print(&text(&status, remote.now()))?;
    }
    let failures: Vec<&str> = status.balancers.iter().filter_map(|report| report.error.as_deref()).collect();
    if failures.is_empty() {
        return Ok(());
    }
    let (count, total) = (failures.len(), status.balancers.len());
    Err(Error::new(Kind::Unavailable, format!("{count} of {total} balancers did not report:\n{}", failures.join("\n"))))
}

/// Reads the status objects of the zones from the store.
async fn zones(remote: &Remote<'_>) -> Result<Vec<Report>> {
    let objects = remote.list("status").await?;
    Ok(objects
        .into_iter()
        .map(|object| Report { source: object.name, value: Some(object.value), error: None })
        .collect())
}

/// Requests the status of each balancer.
async fn query(remote: &Remote<'_>, balancers: &[SocketAddr]) -> Result<Vec<Report>> {
    let client = Client::new(None)?;
    let mut reports = Vec::new();
    for balancer in balancers {
        let response = client.fetch(*balancer, "/status", remote.now() + CALL_TIMEOUT).await;
        let value = response.and_then(|bytes| {
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

fn text(status: &Status, now: Time) -> String {
    let mut text = format!("fleet {}, generation {} in the store\n", status.fleet, status.generation);
    for (heading, reports) in [("ZONE", &status.zones), ("BALANCER", &status.balancers)] {
        if !reports.is_empty() {
            text.push('\n');
            text.push_str(&summary(heading, reports, status.generation));
            text.push_str(&rows(heading, reports, status.generation, now));
        }
    }
    let members = members(&status.zones, status.generation);
    if members.len() > 1 {
        text.push('\n');
        text.push_str(&table::text(&members));
    }
    text
}

fn generation(value: &Value) -> Option<u64> {
    value.get("generation")?.as_u64()
}

/// Returns `behind` for a zone, balancer or member whose generation is below the published one, otherwise an empty text.
fn behind_label(value: &Value, published: u64) -> String {
    let behind = generation(value).is_some_and(|generation| generation < published);
    if behind { "behind".to_owned() } else { String::new() }
}

fn summary(heading: &str, reports: &[Report], published: u64) -> String {
    let values = reports.iter().filter_map(|report| report.value.as_ref());
    let current = values.filter(|value| generation(value) == Some(published)).count();
    format!("{current} of {} {}S at generation {published}\n", reports.len(), heading).to_lowercase()
}

/// Returns a table with a column for each field of the reports.
fn rows(heading: &str, reports: &[Report], published: u64, now: Time) -> String {
    let fields: Vec<BTreeMap<String, String>> = reports.iter().map(|report| fields(report, now)).collect();
    let names: BTreeSet<&String> =
        fields.iter().flat_map(BTreeMap::keys).filter(|name| !name.eq_ignore_ascii_case(heading)).collect();
    let leading = LEADING.iter().map(|name| (*name).to_owned()).filter(|name| names.contains(name));
    let others = names.iter().filter(|name| !LEADING.contains(&name.as_str())).map(|name| (*name).clone());
    let columns: Vec<String> = leading.chain(others).collect();
    let mut rows = vec![vec![heading.to_owned()]];
    rows[0].extend(columns.iter().map(|name| name.to_uppercase()));
    for (report, fields) in reports.iter().zip(&fields) {
        let mut row = vec![report.source.clone()];
        row.extend(columns.iter().map(|name| fields.get(name).cloned().unwrap_or_else(|| "-".to_owned())));
        row.push(match (&report.value, &report.error) {
            (_, Some(error)) => error.clone(),
            (Some(value), None) => behind_label(value, published),
            (None, None) => String::new(),
        });
        rows.push(row);
    }
    table::text(&rows)
}

/// Returns the fields of a report as text: a list as its length, and `time_ms` as an age in seconds. Nested objects are
/// left out, except that the fields of `me`, the balancer itself, are included.
fn fields(report: &Report, now: Time) -> BTreeMap<String, String> {
    let Some(value) = report.value.as_ref().and_then(Value::as_object) else {
        return BTreeMap::new();
    };
    let me = value.get("me").and_then(Value::as_object);
    let mut fields = BTreeMap::new();
    for (name, value) in me.into_iter().flatten().chain(value) {
        let (name, text) = match value {
            Value::Null | Value::Object(_) => continue,
            Value::Array(items) => (name.clone(), items.len().to_string()),
            Value::String(text) => (name.clone(), text.chars().take(MAX_CELL).collect()),
            Value::Number(number) if name == "time_ms" => {
                let age = now.since(Time::from_millis(number.as_u64().unwrap_or(0)));
                ("age_s".to_owned(), age.as_secs().to_string())
            }
            other => (name.clone(), other.to_string()),
        };
        fields.insert(name, text);
    }
    fields
}

/// Returns a heading and a row for each member that a zone reports.
fn members(zones: &[Report], published: u64) -> Vec<Vec<String>> {
    let mut rows = vec![["ZONE", "MEMBER", "STATE", "GENERATION"].map(str::to_owned).to_vec()];
    for zone in zones {
        let members = zone.value.as_ref().and_then(|value| value.get("members")).and_then(Value::as_array);
        for member in members.into_iter().flatten().filter(|member| member.is_object()) {
            let cell = |name: &str| match member.get(name) {
                None | Some(Value::Null) => "-".to_owned(),
                Some(Value::String(text)) => text.chars().take(MAX_CELL).collect(),
                Some(other) => other.to_string(),
            };
            let mark = behind_label(member, published);
            rows.push(vec![zone.source.clone(), cell("name"), cell("state"), cell("generation"), mark]);
        }
    }
    rows
}
