//! Command-line tool for operators of poplarpaddle.
//!
//! ```
//! use poplarpaddle_cli::arguments::{Action, Arguments};
//!
//! let arguments = Arguments::parse(["get", "zone", "--store", "http://127.0.0.1:9000"]).unwrap();
//! assert!(matches!(arguments.action, Action::Get { .. }));
//! let error = Arguments::parse(["get", "zoen"]).unwrap_err();
//! assert!(error.to_string().contains("kind \"zoen\" is unknown, allowed: zone, priority, service, target"));
//! ```
//!
//! The binary `poplarctl` only calls [`run`]. Commands use a `dyn Store`, so tests run them against an in-memory store.
//! Except for `put`, `get` and `delete`, which share a module, each command has its own; [`remote`] implements the retries
//! and the read-back of writes for all of them.

pub mod arguments;
mod check;
pub mod console;
mod diff;
mod edit;
pub mod explain;
pub mod files;
pub mod help;
mod publish;
pub mod remote;
mod status;
mod table;
pub mod timeline;

use std::ffi::OsString;

use poplarpaddle::error::{Error, Kind, Result};
use poplarpaddle::store::Store;
use poplarpaddle_io::store::Http;

use self::arguments::{Action, Arguments};
use self::console::Console;
use self::remote::Remote;

/// Parses the arguments, performs the command and returns the exit code. An error is written to the notes of the console.
pub async fn run(arguments: impl IntoIterator<Item = OsString>, console: &mut Console<'_>) -> u8 {
    match try_run(arguments, console).await {
        Ok(()) => 0,
        Err(report) => {
            console.note(&format!("poplarctl: {report:#}"));
            exit_code(&report)
        }
    }
}

/// Returns the exit code for the kind of an error, or for [`Kind::Internal`] if it has no kind.
#[must_use]
pub fn exit_code(report: &eyre::Report) -> u8 {
    let kind = report.downcast_ref::<Error>().map_or(Kind::Internal, Error::kind);
    kind.codes().exit
}

async fn try_run(arguments: impl IntoIterator<Item = OsString>, console: &mut Console<'_>) -> eyre::Result<()> {
    let arguments = Arguments::parse(arguments)?;
    let Some(url) = &arguments.store else {
        return Ok(perform(&arguments, None, console).await?);
    };
    let store = Http::new(url).map_err(|error| Error::new(Kind::Argument, format!("option --store: {error:#}")))?;
    Ok(perform(&arguments, Some(&store), console).await?)
}

/// Performs a command. Commands that use the store need `store`.
///
/// # Errors
///
/// The error of the command; its kind determines the exit code.
pub async fn perform(arguments: &Arguments, store: Option<&dyn Store>, console: &mut Console<'_>) -> Result<()> {
    let remote = || {
        let store =
            store.ok_or_else(|| Error::new(Kind::Argument, "option --store is missing, allowed: http://IP:port"));
        store.map(Remote::new)
    };
    let fleet = || {
        let fleet = arguments.fleet.as_deref();
        fleet.ok_or_else(|| Error::new(Kind::Argument, "option --fleet is missing, allowed: the name of a fleet"))
    };
    match &arguments.action {
        Action::Help(command) => console.print(&help::text(*command)),
        Action::Version => console.print(help::VERSION),
        Action::Check { from: Some(from) } => check::files(from, console),
        Action::Check { from: None } => check::store(&remote()?, console).await,
        Action::Diff { from } => diff::run(&remote()?, fleet()?, from.as_deref(), console).await,
        Action::Put { files, if_version } => edit::put(&remote()?, files, *if_version, console).await,
        Action::Get { kind, name } => edit::get(&remote()?, *kind, name.as_deref(), console).await,
        Action::Delete { kind, name, if_version } => edit::delete(&remote()?, *kind, name, *if_version, console).await,
        Action::Publish { from, prune } => publish::run(&remote()?, fleet()?, from.as_deref(), *prune, console).await,
        Action::Status { json, balancers } => status::run(&remote()?, fleet()?, *json, balancers, console).await,
        Action::Explain { flow, files } => explain::run(flow, files, console),
        Action::Timeline { from, format } => timeline::run(from, *format, console).await,
    }
}
