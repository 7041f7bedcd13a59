//! Runs one target host.

use std::net::{Ipv4Addr, SocketAddr};

use eyre::Result;
use poplarpaddle_standins::args::{Flag, Options, flag};
use poplarpaddle_standins::clock;
use poplarpaddle_standins::net::{self, Stop};
use poplarpaddle_standins::record::Recorder;
use poplarpaddle_standins::target::{self, State, http, scheduler};

const FLAGS: &[Flag] = &[
    flag("address", "IP: address of the host, such as 127.10.0.1"),
    flag("port", "PORT: TCP port of the service; may be repeated"),
    flag("service", "NAME: service that the target runs"),
    flag("listen", "IP:PORT: UDP address that receives packets from the fabric"),
    flag("fabric", "IP:PORT: UDP address of the fabric"),
    flag("load-port", "PORT: HTTP port of /load and /admin (9900)"),
    flag("slots", "N: requests that run concurrently (3)"),
    flag("queue", "N: queue length at which new connections are refused (64)"),
    flag("connections", "N: number of open connections at which new connections are refused (4500)"),
    flag("service-ms", "MS: mean service time (20)"),
    flag("spread", "SHARE: half-width of the uniform service time distribution relative to its mean, 0 to 1 (0.5)"),
    flag("cold-ms", "MS: time after the start during which requests take longer (0)"),
    flag("cold-factor", "FACTOR: multiplier of the service time while the target is cold (4)"),
    flag("load-lag-ms", "MS: age of the load report (0)"),
    flag("load-busy", "N: number of busy slots to report instead of the actual one"),
    flag("load-service", "NAME: service to report instead of the actual one"),
    flag("load-state", "STATE: state to report instead of the actual one"),
    flag("seed", "N: seed of service times and sequence numbers (1)"),
];

fn main() -> Result<()> {
    let Some(options) = Options::from_env("standin-target", FLAGS)? else { return Ok(()) };
    let warm_at = clock::now() + options.value::<u64>("cold-ms", 0)? * clock::MILLISECOND;
    let settings = settings(&options, warm_at)?;
    let report = report_settings(&options, &settings, warm_at)?;
    let state = State::default();
    let stop = Stop::default();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let load_address = SocketAddr::from((settings.address, options.value("load-port", 9900)?));
    let listener = runtime.block_on(poplarpaddle_standins::http::listen(load_address))?;
    let socket = net::bind(options.required("listen")?)?;
    let tcp = std::thread::spawn({
        let (state, stop) = (State::clone(&state), stop.clone());
        move || target::run(settings, socket, state, &Recorder::stdout(), &stop)
    });
    let served = runtime.block_on(http::serve(listener, report, state));
    stop.set();
    tcp.join().map_err(|_panic| eyre::eyre!("the TCP thread panicked"))?;
    served
}

fn settings(options: &Options, warm_at: u64) -> Result<target::Settings> {
    let service_time = scheduler::ServiceTime {
        mean: options.value::<u64>("service-ms", 20)? * clock::MILLISECOND,
        spread: options.value::<f64>("spread", 0.5)?.clamp(0.0, 1.0),
        cold_factor: options.value::<f64>("cold-factor", 4.0)?.clamp(0.0, 1000.0),
        warm_at,
    };
    Ok(target::Settings {
        address: options.required::<Ipv4Addr>("address")?,
        ports: options.all("port")?,
        service: options.required("service")?,
        fabric: options.required("fabric")?,
        slots: options.value("slots", 3)?,
        queue: options.value("queue", 64)?,
        connections: options.value("connections", 4500)?,
        service_time,
        seed: options.value("seed", 1)?,
    })
}

fn report_settings(options: &Options, settings: &target::Settings, warm_at: u64) -> Result<http::Settings> {
    let misleading = http::Overrides {
        service: options.optional("load-service")?,
        busy: options.optional("load-busy")?,
        connections: None,
        state: options.optional("load-state")?,
    };
    Ok(http::Settings {
        service: settings.service.clone(),
        slots: settings.slots,
        warm_at,
        lag: options.value::<u64>("load-lag-ms", 0)? * clock::MILLISECOND,
        misleading,
    })
}
