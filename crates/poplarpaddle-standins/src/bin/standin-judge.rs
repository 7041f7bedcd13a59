//! Joins the records of a run and prints its result as one JSON object.

use std::process::ExitCode;

use eyre::{Result, bail};
use poplarpaddle_standins::args::{Flag, Options, flag};
use poplarpaddle_standins::judge::{Exemption, Judge};

const FLAGS: &[Flag] = &[
    flag("seed", "N: seed of the run, for the result (1); record files follow the flags"),
    flag("killed-target", "IP: a target that the run killed, whose flows may break; may be repeated"),
    flag("silenced", "N: flows that the run silenced, which may break by a reset (0)"),
];

fn main() -> Result<ExitCode> {
    let Some(options) = Options::from_env("standin-judge", FLAGS)? else { return Ok(ExitCode::SUCCESS) };
    if options.positional().is_empty() {
        bail!("no record files are given");
    }
    let mut judge = Judge::new(options.value("seed", 1)?);
    judge
        .exempt(Exemption { killed_targets: options.all("killed-target")?, max_resets: options.value("silenced", 0)? });
    for file in options.positional() {
        judge.read_file(file)?;
    }
    let report = judge.report();
    println!("{}", serde_json::to_string(&report)?);
    Ok(if report.is_clean() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
