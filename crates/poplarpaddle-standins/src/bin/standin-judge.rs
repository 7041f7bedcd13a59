//! Evaluates the records of a run and prints the result as one JSON object. Exits with failure if a rule was violated.

use std::process::ExitCode;

use eyre::{Result, bail};
use poplarpaddle_standins::args::{Flag, Options, flag};
use poplarpaddle_standins::judge::{Exemption, Judge};

const FLAGS: &[Flag] = &[
    flag("seed", "N: seed of the run, copied to the result (1); record files follow the flags"),
    flag("killed-target", "IP: address of a target that the run killed, whose flows may break; may be repeated"),
    flag("silenced", "N: number of flows that the run silenced; as many flows may break by a reset (0)"),
];

fn main() -> Result<ExitCode> {
    let Some(options) = Options::from_env("standin-judge", FLAGS)? else { return Ok(ExitCode::SUCCESS) };
    if options.positional().is_empty() {
        bail!("no record file was given");
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
