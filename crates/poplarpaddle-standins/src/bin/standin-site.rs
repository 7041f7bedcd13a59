//! Simulates the store, routers, hosts and consumers of the operators' platform around running balancers.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::process::ExitCode;
use std::time::Duration;

use eyre::{Result, bail};
use poplarpaddle_standins::args::{Flag, Options, flag};
use poplarpaddle_standins::site::router::Hash;
use poplarpaddle_standins::site::store::Behavior;
use poplarpaddle_standins::site::{Fault, FaultKind, Plan, run};

const FLAGS: &[Flag] = &[
    flag("balancers", "N: number of balancers, at consecutive addresses from 127.1.0.1"),
    flag("base-port", "PORT: port for packets; readiness checks use the next port, the store the one after it"),
    flag("rate", "N: requests per second (200)"),
    flag("duration-ms", "MS: duration of the traffic (8000)"),
    flag("hash", "HASH: how routers select a balancer, steady (rendezvous hashing) or mod (modulo) (steady)"),
    flag("seed", "N: random seed (1)"),
    flag(
        "fault",
        "KIND:AT_MS:FOR_MS: busy, throttle, silent, slow, lost, compact, copy, restore, crash, drain or configure; may be \
         repeated",
    ),
];

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<ExitCode> {
    let Some(options) = Options::from_env("standin-site", FLAGS)? else { return Ok(ExitCode::SUCCESS) };
    let base: u16 = options.required("base-port")?;
    let count: u8 = options.required("balancers")?;
    let balancer = |number: u8| {
        let ip = Ipv4Addr::new(127, 1, 0, number);
        (SocketAddrV4::new(ip, base), SocketAddr::from((ip, base + 1)))
    };
    let hash = match options.value("hash", "steady".to_owned())?.as_str() {
        "steady" => Hash::Rendezvous,
        "mod" => Hash::Modulo,
        other => bail!("--hash {other:?} is not steady or mod"),
    };
    let faults = options.all::<String>("fault")?.iter().map(|text| fault(text)).collect::<Result<_>>()?;
    let plan = Plan {
        store: SocketAddr::from((Ipv4Addr::LOCALHOST, base + 2)),
        balancers: (1..=count).map(balancer).collect(),
        zones: ["kitami", "abashiri", "monbetsu"].map(str::to_owned).to_vec(),
        hosts: [9, 3],
        rate: options.value("rate", 200.0)?,
        duration: Duration::from_millis(options.value("duration-ms", 8000)?),
        hash,
        seed: options.value("seed", 1)?,
        faults,
    };
    let report = run(plan).await?;
    println!("{}", serde_json::to_string(&report)?);
    Ok(if report.is_clean() && report.answered > 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Parses a fault written as `KIND:AT_MS:FOR_MS`.
fn fault(text: &str) -> Result<Fault> {
    let parts: Vec<&str> = text.split(':').collect();
    let [kind, at, duration] = parts[..] else { bail!("--fault {text:?} is not KIND:AT_MS:FOR_MS") };
    let kind = match kind {
        "busy" => FaultKind::Store(Behavior::Unavailable),
        "throttle" => FaultKind::Store(Behavior::Throttling),
        "silent" => FaultKind::Store(Behavior::Silent),
        "slow" => FaultKind::Store(Behavior::Slow(Duration::from_millis(240))),
        "lost" => FaultKind::Store(Behavior::LosingResponses),
        "compact" => FaultKind::Compact,
        "copy" => FaultKind::Copy,
        "restore" => FaultKind::Restore,
        "crash" => FaultKind::Crash,
        "drain" => FaultKind::Drain,
        "configure" => FaultKind::Configure,
        _ => bail!("--fault {text:?}: kind {kind:?} is unknown"),
    };
    Ok(Fault { kind, at: Duration::from_millis(at.parse()?), duration: Duration::from_millis(duration.parse()?) })
}
