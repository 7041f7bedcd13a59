//! Prints one JSON line for each deployment, scenario and policy.

use std::fs::File;
use std::io::{BufReader, Write};
use std::path::PathBuf;

use eyre::{OptionExt, WrapErr};
use lexopt::{Arg, ValueExt};
use poplarpaddle::admission::Order;
use poplarpaddle_bench::report::Plan;
use poplarpaddle_bench::scenario::{DEPLOYMENTS, Deployment, Policy, SCENARIOS, Scenario};
use poplarpaddle_bench::trace::{self, Generator};

const HELP: &str = "Usage: measure [--seed N] [--seconds N] [--deployment NAME] [--scenario NAME] [--orders]
       measure --trace FILE [--deployment NAME] [--scenario NAME]
       measure --generate FILE [--seed N] [--seconds N] [--deployment NAME] [--load PERCENT] [--standing N]

--orders also measures other orders within a priority. --trace replays a recorded trace as the steady work.
--generate writes a trace of steady work with N standing flows for each host.";

struct Arguments {
    seed: u64,
    seconds: u64,
    deployment: Option<String>,
    scenario: Option<String>,
    orders: bool,
    trace: Option<PathBuf>,
    generate: Option<PathBuf>,
    load: u32,
    standing: u32,
}

impl Default for Arguments {
    fn default() -> Self {
        Self {
            seed: 1,
            seconds: 30,
            deployment: None,
            scenario: None,
            orders: false,
            trace: None,
            generate: None,
            load: 60,
            standing: 4,
        }
    }
}

fn main() -> eyre::Result<()> {
    let Some(arguments) = parse()? else {
        writeln!(std::io::stdout(), "{HELP}")?;
        return Ok(());
    };
    if let Some(path) = &arguments.generate {
        return generate(&arguments, path);
    }
    for deployment in deployments(&arguments)? {
        for scenario in scenarios(&arguments)? {
            measure(&arguments, deployment, scenario)?;
        }
    }
    Ok(())
}

fn parse() -> eyre::Result<Option<Arguments>> {
    let mut arguments = Arguments::default();
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("seed") => arguments.seed = parser.value()?.parse()?,
            Arg::Long("seconds") => arguments.seconds = parser.value()?.parse()?,
            Arg::Long("deployment") => arguments.deployment = Some(parser.value()?.string()?),
            Arg::Long("scenario") => arguments.scenario = Some(parser.value()?.string()?),
            Arg::Long("orders") => arguments.orders = true,
            Arg::Long("trace") => arguments.trace = Some(parser.value()?.into()),
            Arg::Long("generate") => arguments.generate = Some(parser.value()?.into()),
            Arg::Long("load") => arguments.load = parser.value()?.parse()?,
            Arg::Long("standing") => arguments.standing = parser.value()?.parse()?,
            Arg::Long("help") => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(arguments))
}

fn deployments(arguments: &Arguments) -> eyre::Result<Vec<&'static Deployment>> {
    let wanted = |deployment: &&Deployment| arguments.deployment.as_deref().is_none_or(|name| name == deployment.name);
    let found: Vec<_> = DEPLOYMENTS.iter().filter(wanted).collect();
    eyre::ensure!(!found.is_empty(), "no deployment {:?}; use kauri or kitami", arguments.deployment);
    Ok(found)
}

fn scenarios(arguments: &Arguments) -> eyre::Result<Vec<Scenario>> {
    let wanted = |scenario: &Scenario| arguments.scenario.as_deref().is_none_or(|name| name == scenario.name);
    let found: Vec<Scenario> = SCENARIOS.into_iter().filter(wanted).collect();
    let names = SCENARIOS.map(|scenario| scenario.name).join(", ");
    eyre::ensure!(!found.is_empty(), "no scenario {:?}; use one of {names}", arguments.scenario);
    Ok(found)
}

fn generate(arguments: &Arguments, path: &PathBuf) -> eyre::Result<()> {
    let deployment = deployments(arguments)?.first().copied().ok_or_eyre("no deployment")?;
    let generator = Generator { deployment, seed: arguments.seed, seconds: arguments.seconds };
    let records = generator.steady(arguments.load, 10, arguments.standing);
    let file = File::create(path).wrap_err_with(|| format!("{} cannot be created", path.display()))?;
    trace::write(std::io::BufWriter::new(file), &records)
}

fn measure(arguments: &Arguments, deployment: &Deployment, scenario: Scenario) -> eyre::Result<()> {
    let mut policies = vec![Policy::Design(Order::Arrival), Policy::Naive];
    if arguments.orders {
        policies.extend([Policy::Design(Order::Newest), Policy::Design(Order::Deadline)]);
    }
    let plan = Plan { deployment, scenario, seed: arguments.seed, seconds: arguments.seconds };
    let lines = match &arguments.trace {
        None => plan.measure(&policies)?,
        Some(path) => {
            let file = File::open(path).wrap_err_with(|| format!("{} cannot be opened", path.display()))?;
            let records = trace::read(BufReader::new(file)).wrap_err_with(|| path.display().to_string())?;
            let generator = Generator { deployment, seed: arguments.seed, seconds: arguments.seconds };
            let flood = scenario.flood.map_or_else(Vec::new, |flood| generator.flood(flood.priority, flood.load));
            policies.iter().map(|&policy| plan.replay(policy, &records, &flood)).collect::<eyre::Result<_>>()?
        }
    };
    for line in lines {
        writeln!(std::io::stdout(), "{}", serde_json::to_string(&line)?)?;
    }
    Ok(())
}
