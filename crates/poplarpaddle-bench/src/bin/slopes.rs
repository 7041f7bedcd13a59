//! Prints one JSON line for each slope, which is a cost measured at several sizes.

use std::io::Write;

use lexopt::{Arg, ValueExt};
use poplarpaddle_bench::slope::{Line, change, flow, gossip, host, memory, owner, spread};

const HELP: &str = "Usage: slopes [GROUP...]

Groups: change, flow, gossip, host, memory, owner, spread. Without an argument, all groups are measured. Memory figures
of a group are exact only when the group runs in a process of its own, as scripts/slopes.sh does.";

type Measure = fn() -> eyre::Result<Vec<Line>>;

const GROUPS: [(&str, Measure); 7] = [
    ("change", change::measure),
    ("flow", flow::measure),
    ("gossip", gossip::measure),
    ("host", host::measure),
    ("memory", memory::measure),
    ("owner", owner::measure),
    ("spread", spread::measure),
];

fn main() -> eyre::Result<()> {
    let Some(selected) = parse()? else {
        writeln!(std::io::stdout(), "{HELP}")?;
        return Ok(());
    };
    for (name, measure) in GROUPS {
        if !selected.is_empty() && !selected.iter().any(|group| group == name) {
            continue;
        }
        for line in measure()? {
            writeln!(std::io::stdout(), "{}", serde_json::to_string(&line)?)?;
        }
    }
    Ok(())
}

fn parse() -> eyre::Result<Option<Vec<String>>> {
    let mut selected = Vec::new();
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Value(value) => {
                let group = value.string()?;
                let known = GROUPS.map(|(name, _)| name);
                eyre::ensure!(known.contains(&group.as_str()), "no group {group:?}; use {}", known.join(", "));
                selected.push(group);
            }
            Arg::Long("help") => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(selected))
}
