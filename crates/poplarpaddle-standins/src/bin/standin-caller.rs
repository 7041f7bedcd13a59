//! Runs the callers of one address prefix.

use eyre::{Result, bail};
use poplarpaddle_standins::args::{Flag, Options, Pair, flag};
use poplarpaddle_standins::caller::{self, Service, Settings};
use poplarpaddle_standins::net::{self, Prefix, Stop};
use poplarpaddle_standins::record::Recorder;
use poplarpaddle_standins::{clock, http, protocol};

const FLAGS: &[Flag] = &[
    flag("listen", "IP:PORT: UDP address that receives packets from the fabric"),
    flag("fabric", "IP:PORT: UDP address of the fabric"),
    flag("prefix", "CIDR: address range of the callers (127.20.0.0/16)"),
    flag("addresses", "N: number of caller addresses (16)"),
    flag("ports", "N: ports per address; with fewer ports, endpoints are reused sooner (64000)"),
    flag("service", "NAME=IP:PORT: name and address of a service to call; may be repeated"),
    flag("rate", "N: short flows opened per second (50)"),
    flag("long", "N: number of long flows (100)"),
    flag("ramp-ms", "MS: time over which the long flows are opened (2000)"),
    flag("pause-ms", "MS: mean pause between the batches of a long flow (500)"),
    flag("pipeline", "N: requests that a long flow sends per batch (1)"),
    flag("answer-min", "BYTES: minimum response body size (32)"),
    flag("answer-max", "BYTES: maximum response body size (4096)"),
    flag("idempotent", "SHARE: fraction of requests that are idempotent, 0 to 1 (0.5)"),
    flag("timeout-ms", "MS: timeout of the handshake and of each response (15000)"),
    flag("deadline-ms", "MS: time after which a request must not start, 0 for no deadline (0)"),
    flag("retries", "N: further connection attempts after a refused one (0)"),
    flag("duration-ms", "MS: duration of the run (20000)"),
    flag("seed", "N: random seed (1)"),
];

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let Some(options) = Options::from_env("standin-caller", FLAGS)? else { return Ok(()) };
    let settings = settings(&options)?;
    let socket = net::bind(options.required("listen")?)?;
    let stop = Stop::default();
    let mut callers = tokio::task::spawn_blocking({
        let stop = stop.clone();
        move || caller::run(settings, socket, &Recorder::stdout(), &stop)
    });
    tokio::select! {
        result = &mut callers => drop(result?),
        result = http::terminated() => {
            stop.set();
            result?;
            drop(callers.await?);
        }
    }
    Ok(())
}

fn settings(options: &Options) -> Result<Settings> {
    let milliseconds = |name, default: u64| options.value(name, default).map(|value: u64| value * clock::MILLISECOND);
    let services = options.all::<Pair<String, std::net::SocketAddrV4>>("service")?;
    let settings = Settings {
        prefix: options.value("prefix", "127.20.0.0/16".parse::<Prefix>()?)?,
        addresses: options.value("addresses", 16)?,
        ports: options.value("ports", caller::MAX_PORTS)?,
        fabric: options.required("fabric")?,
        services: services.into_iter().map(|pair| Service { name: pair.key, address: pair.value }).collect(),
        rate: options.value("rate", 50.0)?,
        long: options.value("long", 100)?,
        ramp: milliseconds("ramp-ms", 2000)?,
        pause: milliseconds("pause-ms", 500)?,
        pipeline: options.value("pipeline", 1)?,
        response_min: options.value("answer-min", 32)?,
        response_max: options.value("answer-max", 4096)?,
        idempotent: options.value("idempotent", 0.5)?,
        timeout: milliseconds("timeout-ms", 15_000)?,
        deadline: milliseconds("deadline-ms", 0)?,
        retries: options.value("retries", 0)?,
        duration: milliseconds("duration-ms", 20_000)?,
        seed: options.value("seed", 1)?,
    };
    check(&settings)?;
    Ok(settings)
}

fn check(settings: &Settings) -> Result<()> {
    if settings.services.is_empty() {
        bail!("flag --service is missing");
    }
    if settings.addresses == 0 || settings.addresses >= settings.prefix.size() {
        bail!(
            "--addresses {} must be at least 1 and less than the size of --prefix {}",
            settings.addresses,
            settings.prefix
        );
    }
    let endpoints = settings.addresses.saturating_mul(settings.ports);
    if !(1..=caller::MAX_PORTS).contains(&settings.ports) || endpoints <= settings.long.saturating_mul(2) {
        let (ports, max) = (settings.ports, caller::MAX_PORTS);
        bail!("--ports {ports} is not in 1..={max}, or --addresses times --ports is not more than twice --long");
    }
    if !(0.0..=1.0).contains(&settings.idempotent) {
        bail!("--idempotent {} is not in 0..=1", settings.idempotent);
    }
    // The upper bound keeps the mean gap between two arrivals at one microsecond or more.
    if !(0.0..=1e6).contains(&settings.rate) {
        bail!("--rate {} is not in 0..=1000000", settings.rate);
    }
    if settings.response_min == 0
        || settings.response_min > settings.response_max
        || settings.response_max > protocol::MAX_RESPONSE
    {
        let (min, max) = (settings.response_min, settings.response_max);
        bail!("--answer-min {min} and --answer-max {max} do not form a range within 1..={}", protocol::MAX_RESPONSE);
    }
    Ok(())
}
