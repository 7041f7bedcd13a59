//! Prints one JSON line for each deployment, scenario and policy.

use std::fs::File;
use std::io::{BufReader, Write};
use std::path::PathBuf;

use eyre::{OptionExt, WrapErr};
use lexopt::{Arg, ValueExt};
use poplarpaddle::admission::Order;
use poplarpaddle_bench::net;
use poplarpaddle_bench::report::Plan;
use poplarpaddle_bench::scenario::{DEPLOYMENTS, Deployment, Policy, SCENARIOS, Scenario};
use poplarpaddle_bench::trace::{self, Generator};

const HELP: &str = "Usage: measure [--seed N] [--seconds N] [--deployment NAME] [--scenario NAME] [--orders]
               [--balancers N] [--flows N] [--random-seeds N] [--hedge PERCENT]
       measure --trace FILE [--deployment NAME] [--scenario NAME]
       measure --generate FILE [--seed N] [--seconds N] [--deployment NAME] [--load PERCENT] [--standing N]

Gate scenarios replay requests for --seconds; data-path scenarios replay the packets of --flows flows through
--balancers balancers. --random-seeds N runs the data-path scenarios N times with random seeds, which the output names.

--orders also measures the other queue orders within a priority. --trace replays a recorded trace as the steady load.
--generate writes a trace of steady load at --load percent, with --standing open flows for each host.";

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
    balancers: usize,
    flows: usize,
    random_seeds: u32,
    hedge: u32,
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
            balancers: 16,
            flows: 20_000,
            random_seeds: 0,
            hedge: 5,
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
    let (gate, path, floods) = (gate_scenarios(&arguments), path_scenarios(&arguments), flood_scenarios(&arguments));
    if gate.is_empty() && path.is_empty() && floods.is_empty() && latency_scenarios(&arguments).is_empty() {
        let names = SCENARIOS.map(|scenario| scenario.name).join(", ");
        let floods = net::flood::SCENARIOS.map(|scenario| scenario.name).join(", ");
        let path_names: Vec<&str> = net::plan::SCENARIOS.iter().map(|scenario| scenario.name).collect();
        let latency = net::latency::SCENARIOS.map(|scenario| scenario.name).join(", ");
        let path_names = path_names.join(", ");
        eyre::bail!("no scenario {:?}; use one of {names}, {floods}, {latency}, {path_names}", arguments.scenario);
    }
    for _ in 0..arguments.random_seeds {
        measure_path(&arguments, &path, rand::random())?;
    }
    if arguments.random_seeds > 0 {
        return Ok(());
    }
    for deployment in deployments(&arguments)? {
        for &scenario in &gate {
            measure(&arguments, deployment, scenario)?;
        }
    }
    for deployment in deployments(&arguments)? {
        let Arguments { seed, balancers, seconds, .. } = arguments;
        for &scenario in floods.iter().filter(|_| arguments.trace.is_none()) {
            let plan = net::flood::Plan { deployment, scenario, seed, balancers, seconds };
            for is_design in [true, false] {
                writeln!(std::io::stdout(), "{}", serde_json::to_string(&plan.measure(is_design)?)?)?;
            }
        }
    }
    measure_latency(&arguments)?;
    if arguments.trace.is_none() { measure_path(&arguments, &path, arguments.seed) } else { Ok(()) }
}

/// Measures the times of answers without hedging and with it.
fn measure_latency(arguments: &Arguments) -> eyre::Result<()> {
    let Arguments { seed, balancers, seconds, .. } = *arguments;
    for deployment in deployments(arguments)? {
        for scenario in latency_scenarios(arguments) {
            let plan = net::latency::Plan { deployment, scenario, seed, balancers, seconds };
            for percent in [0, arguments.hedge] {
                writeln!(std::io::stdout(), "{}", serde_json::to_string(&plan.measure(percent)?)?)?;
            }
        }
    }
    Ok(())
}

/// Runs the data-path scenarios on all cores and prints the lines in the order of the scenarios.
fn measure_path(arguments: &Arguments, scenarios: &[net::plan::Scenario], seed: u64) -> eyre::Result<()> {
    for deployment in deployments(arguments)? {
        let (balancers, flows) = (arguments.balancers, arguments.flows);
        let plan = |&scenario: &net::plan::Scenario| net::report::Plan { deployment, scenario, seed, balancers, flows };
        let plans: Vec<net::report::Plan<'_>> = scenarios.iter().map(plan).collect();
        let threads = std::thread::available_parallelism().map_or(1, usize::from);
        for group in plans.chunks(threads) {
            let lines: Vec<_> = std::thread::scope(|scope| {
                let run = |plan: &net::report::Plan<'_>| [plan.measure(true), plan.measure(false)];
                let runs: Vec<_> = group.iter().map(|plan| scope.spawn(move || run(plan))).collect();
                runs.into_iter().map(std::thread::ScopedJoinHandle::join).collect()
            });
            for line in lines.into_iter().flat_map(|joined| joined.into_iter().flatten()) {
                writeln!(std::io::stdout(), "{}", serde_json::to_string(&line)?)?;
            }
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
            Arg::Long("balancers") => arguments.balancers = parser.value()?.parse()?,
            Arg::Long("flows") => arguments.flows = parser.value()?.parse()?,
            Arg::Long("hedge") => arguments.hedge = parser.value()?.parse()?,
            Arg::Long("random-seeds") => arguments.random_seeds = parser.value()?.parse()?,
            Arg::Long("help") => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(arguments))
}

fn deployments(arguments: &Arguments) -> eyre::Result<Vec<&'static Deployment>> {
    let is_selected =
        |deployment: &&Deployment| arguments.deployment.as_deref().is_none_or(|name| name == deployment.name);
    let selected: Vec<_> = DEPLOYMENTS.iter().filter(is_selected).collect();
    eyre::ensure!(!selected.is_empty(), "no deployment {:?}; use kauri or kitami", arguments.deployment);
    Ok(selected)
}

fn gate_scenarios(arguments: &Arguments) -> Vec<Scenario> {
    let is_selected = |scenario: &Scenario| arguments.scenario.as_deref().is_none_or(|name| name == scenario.name);
    SCENARIOS.into_iter().filter(is_selected).collect()
}

fn flood_scenarios(arguments: &Arguments) -> Vec<net::flood::Scenario> {
    let is_selected =
        |scenario: &net::flood::Scenario| arguments.scenario.as_deref().is_none_or(|name| name == scenario.name);
    net::flood::SCENARIOS.into_iter().filter(is_selected).collect()
}

fn latency_scenarios(arguments: &Arguments) -> Vec<net::latency::Scenario> {
    let is_selected = |scenario: &net::latency::Scenario| {
        arguments.trace.is_none() && arguments.scenario.as_deref().is_none_or(|name| name == scenario.name)
    };
    net::latency::SCENARIOS.into_iter().filter(is_selected).collect()
}

fn path_scenarios(arguments: &Arguments) -> Vec<net::plan::Scenario> {
    let is_selected =
        |scenario: &&net::plan::Scenario| arguments.scenario.as_deref().is_none_or(|name| name == scenario.name);
    net::plan::SCENARIOS.iter().filter(is_selected).copied().collect()
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
