//! Runs the network fabric between callers, balancers and targets.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr};
use poplarpaddle_standins::args::{Flag, Options, Pair, flag};
use poplarpaddle_standins::fabric::{self, Balancer, CallerRoute, Engine, Routes, Shared, http};
use poplarpaddle_standins::net::{self, Prefix, Stop};

const FLAGS: &[Flag] = &[
    flag("listen", "IP:PORT: UDP address that receives packets"),
    flag("http", "IP:PORT: HTTP address of /admin"),
    flag("routes", "FILE: routes as JSON; the flags below add routes to those in the file"),
    flag("service", "CIDR: address range of services; may be repeated"),
    flag("target", "IP=IP:PORT: UDP address of a target; may be repeated"),
    flag("caller", "CIDR=IP:PORT: UDP address of the process behind a caller prefix; may be repeated"),
    flag("balancer", "IP:PORT=URL: UDP address for packets and health check URL of a balancer; may be repeated"),
    flag("health-ms", "MS: interval between health checks (200)"),
    flag("loss", "SHARE: fraction of packets lost, 0 to 1 (0)"),
    flag("duplicate", "SHARE: fraction of packets delivered twice, 0 to 1 (0)"),
    flag("reorder", "SHARE: fraction of packets that may be reordered, 0 to 1 (0)"),
    flag("delay-ms", "MS: delay of every packet (0)"),
    flag("seed", "N: random seed (1)"),
];

fn main() -> Result<()> {
    let Some(options) = Options::from_env("standin-fabric", FLAGS)? else { return Ok(()) };
    let mut engine = Engine::new(routes(&options)?, options.value("seed", 1)?);
    engine.faults.loss = options.value::<f64>("loss", 0.0)?.clamp(0.0, 1.0);
    engine.faults.duplicate = options.value::<f64>("duplicate", 0.0)?.clamp(0.0, 1.0);
    engine.faults.reorder = options.value::<f64>("reorder", 0.0)?.clamp(0.0, 1.0);
    engine.faults.delay_ms = options.value("delay-ms", 0)?;
    let interval = Duration::from_millis(options.value::<u64>("health-ms", 200)?.max(1));
    let engine = Shared::new(engine);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let listener = runtime.block_on(poplarpaddle_standins::http::listen(options.required("http")?))?;
    let socket = net::bind(options.required("listen")?)?;
    let stop = Stop::default();
    let inbox = net::spawn_receiver(Arc::clone(&socket), stop.clone());
    let packets = std::thread::spawn({
        let (engine, stop) = (engine.clone(), stop.clone());
        move || fabric::run(&engine, &socket, &inbox, &stop)
    });
    let served = runtime.block_on(http::serve(listener, interval, engine));
    stop.set();
    packets.join().map_err(|_panic| eyre::eyre!("the packet thread panicked"))?;
    served
}

fn routes(options: &Options) -> Result<Routes> {
    let mut routes = match options.optional::<String>("routes")? {
        Some(file) => {
            let text = std::fs::read_to_string(&file).wrap_err_with(|| format!("cannot read routes file {file:?}"))?;
            fabric::parse_routes(&text).wrap_err_with(|| format!("routes file {file:?}"))?
        }
        None => Routes::default(),
    };
    routes.services.extend(options.all::<Prefix>("service")?);
    let targets = options.all::<Pair<Ipv4Addr, SocketAddr>>("target")?;
    routes.targets.extend(targets.into_iter().map(|pair| (pair.key, pair.value)));
    let callers = options.all::<Pair<Prefix, SocketAddr>>("caller")?;
    routes.callers.extend(callers.into_iter().map(|pair| CallerRoute { prefix: pair.key, address: pair.value }));
    let balancers = options.all::<Pair<SocketAddr, String>>("balancer")?;
    let balancer = |pair: Pair<SocketAddr, String>| Balancer { data: pair.key, health: pair.value, up: false };
    routes.balancers.extend(balancers.into_iter().map(balancer));
    Ok(routes)
}
