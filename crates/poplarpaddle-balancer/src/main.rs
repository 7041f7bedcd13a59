//! `poplarpaddled`, the balancer daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use eyre::{Context as _, bail};
use lexopt::prelude::*;
use poplarpaddle::error::{Error, Kind};
use poplarpaddle_io::log;
use poplarpaddle_io::settings::Settings;

const HELP: &str = "\
poplarpaddled: balancer daemon of the poplarpaddle layer-4 load balancer

Usage: poplarpaddled --settings FILE [--check-settings]

Options:
  --settings FILE    INI file with the settings of this balancer
  --check-settings   check the file and exit
  --help             print this text
  --version          print the version

Signals:
  SIGTERM, SIGINT    leave the fleet gracefully: hand over all flows, then exit with 0

Exit codes: 0 success; 2 wrong argument; 3 wrong setting; 14 I/O failure; 15 internal failure
";

/// Command selected by the command-line arguments.
enum Command {
    Run(PathBuf),
    Check(PathBuf),
    Print(String),
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("poplarpaddled: {error:#}");
            let kind = error.downcast_ref::<Error>().map_or(Kind::Internal, Error::kind);
            ExitCode::from(kind.codes().exit)
        }
    }
}

fn run() -> eyre::Result<()> {
    let command = parse().map_err(|error| Error::new(Kind::Argument, format!("{error}; see --help")))?;
    match command {
        Command::Print(text) => println!("{text}"),
        Command::Check(file) => {
            Settings::load(&file)?;
            println!("{}: settings are valid", file.display());
        }
        Command::Run(file) => {
            let settings = Settings::load(&file)?;
            let (logger, _guard) = log::stderr(&settings.node.name, settings.log.level.0);
            let runtime = tokio::runtime::Builder::new_multi_thread()
                .worker_threads(2)
                .enable_all()
                .build()
                .wrap_err("cannot start the runtime")?;
            runtime.block_on(poplarpaddle_balancer::daemon::run(&settings, &logger))?;
        }
    }
    Ok(())
}

fn parse() -> eyre::Result<Command> {
    let mut file = None;
    let mut check = false;
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("settings") => file = Some(PathBuf::from(parser.value()?)),
            Long("check-settings") => check = true,
            Long("help") | Short('h') => return Ok(Command::Print(HELP.to_owned())),
            Long("version") | Short('V') => {
                return Ok(Command::Print(format!("poplarpaddled {}", env!("CARGO_PKG_VERSION"))));
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let Some(file) = file else { bail!("--settings FILE is missing") };
    Ok(if check { Command::Check(file) } else { Command::Run(file) })
}
