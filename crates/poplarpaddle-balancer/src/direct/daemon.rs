//! Startup and graceful shutdown of the daemon.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use eyre::Context as _;
use poplarpaddle::direct::{Engine, Layout};
use poplarpaddle::feed::Topic;
use poplarpaddle::fleet::{Node, Store};
use poplarpaddle::path::MemberId;
use poplarpaddle::time::Time;
use poplarpaddle::wire::{Record, State};
use poplarpaddle::{direct, feed, fleet, membership};
use poplarpaddle_io::clock::Clock;
use poplarpaddle_io::peer::Client;
use slog::{Logger, error, info};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

use super::Readiness;
use super::journal::Journal;
use super::server::{self, Context};
use super::settings::Settings;
use super::task::{Input, Task};
use super::telemetry::Telemetry;

/// Interval between two attempts to contact seeds while no other member is known, in milliseconds.
const ALONE_INTERVAL_MS: u64 = 50;

/// Interval between two checks whether the settings file was modified.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Adapters to the platform that the daemon runs on.
#[derive(derive_more::Debug)]
#[debug("Adapters")]
pub struct Adapters {
    /// Layout of the packets.
    pub layout: Arc<dyn Layout>,
    /// Store of hosts and routes.
    pub store: Arc<dyn Store>,
    /// Reloads the settings.
    pub reload: Box<dyn Fn() -> eyre::Result<Settings> + Send>,
    /// Returns the modification time of the settings, so that a change is detected without a signal.
    pub modified: Box<dyn Fn() -> Option<SystemTime> + Send>,
}

/// Runs a balancer until SIGTERM or SIGINT, then drains it and returns. It drains until no more packets arrive, but for
/// [`Settings::drain`] at least and [`Settings::max_drain`] at most.
///
/// # Errors
///
/// Fails when an address cannot be bound, a client cannot be set up or a task ends unexpectedly.
pub async fn run(settings: Settings, adapters: Adapters, readiness: Readiness, logger: Logger) -> eyre::Result<()> {
    let telemetry = Telemetry::new()?;
    let (sender, inputs) = mpsc::unbounded_channel();
    let me = MemberId(rand::random());
    let task = start(&settings, &adapters, readiness, (sender.clone(), inputs), telemetry.clone(), &logger, me).await?;
    let context = Context { process: settings.name.as_str().into(), inputs: sender.clone(), telemetry };
    let peers = TcpListener::bind(settings.peer)
        .await
        .wrap_err_with(|| format!("cannot listen for peers on {}", settings.peer))?;
    let tools = TcpListener::bind(settings.tools)
        .await
        .wrap_err_with(|| format!("cannot listen for tools on {}", settings.tools))?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let task = tokio::spawn(task.run());
    let peer_server = tokio::spawn(axum::serve(peers, server::peers(context.clone())).into_future());
    let tool_server = tokio::spawn(axum::serve(tools, server::tools(context)).into_future());
    info!(logger, "started"; "member" => %me, "zone" => &settings.zone, "packets" => %settings.packets,
        "peer" => %settings.peer, "seeds" => settings.seeds.len());

    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        outcome = task => eyre::bail!("the main task ended unexpectedly: {outcome:?}"),
        outcome = peer_server => eyre::bail!("the HTTP server for peers ended unexpectedly: {outcome:?}"),
        outcome = tool_server => eyre::bail!("the HTTP server for tools ended unexpectedly: {outcome:?}"),
        outcome = reload(&adapters, &sender, settings.seeds.clone(), &logger) => outcome?,
    }
    info!(logger, "leaving"; "drain_ms" => u64::try_from(settings.drain.as_millis()).unwrap_or(u64::MAX));
    let now = Clock::new().now();
    sender.send(Input::Leave { earliest: now + settings.drain, latest: now + settings.max_drain })?;
    sender.closed().await;
    info!(logger, "stopped");
    Ok(())
}

/// Binds the UDP sockets and returns the task that owns the engine and the node.
async fn start(
    settings: &Settings,
    adapters: &Adapters,
    readiness: Readiness,
    (outcomes, inputs): (mpsc::UnboundedSender<Input>, mpsc::UnboundedReceiver<Input>),
    telemetry: Telemetry,
    logger: &Logger,
    me: MemberId,
) -> eyre::Result<Task> {
    let clock = Clock::new();
    let packets = UdpSocket::bind(settings.packets)
        .await
        .wrap_err_with(|| format!("cannot bind the UDP socket for packets to {}", settings.packets))?;
    let gossip = UdpSocket::bind(settings.peer)
        .await
        .wrap_err_with(|| format!("cannot bind the UDP socket for gossip to {}", settings.peer))?;
    let mut engine = Engine::new(direct::Settings {
        zone: settings.zone.clone(),
        seed: rand::random(),
        zone_drains: settings.zone_drains,
        linger: settings.flow_life,
        warmup: settings.warmup,
        ..Default::default()
    });
    engine.set_members(clock.now(), me, &[]);
    Ok(Task {
        clock,
        node: node(clock.now(), settings, me),
        engine,
        layout: Arc::clone(&adapters.layout),
        store: Arc::clone(&adapters.store),
        peers: Client::new(Some(settings.peer.ip()))?,
        packets,
        gossip,
        peer_address: settings.peer.ip(),
        inputs,
        outcomes,
        readiness,
        telemetry,
        journal: Journal::new(logger.clone()),
        logger: logger.clone(),
        bound: settings.bound,
        stop: None,
        last_packet: Time::default(),
        unsent: 0,
        hosts_confirmed: Time::default(),
    })
}

fn node(now: Time, settings: &Settings, me: MemberId) -> Node {
    let record = Record {
        id: me,
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        peer: settings.peer,
        relay: settings.peer,
        incarnation: 0,
        state: State::Alive,
    };
    let membership = membership::Settings {
        seed: rand::random(),
        seeds: settings.seeds.clone(),
        alone_ms: ALONE_INTERVAL_MS,
        ..Default::default()
    };
    let topics: &[Topic] = if settings.zone_drains { &Topic::ALL } else { &Topic::REQUIRED };
    let feed = feed::Settings { bound: settings.bound, topics };
    Node::new(now, fleet::Settings { membership, feed, flow_life: settings.flow_life }, record)
}

/// Reloads the settings on SIGHUP and when they were modified. Of the settings, only the seeds are applied to the
/// running process.
async fn reload(
    adapters: &Adapters,
    sender: &mpsc::UnboundedSender<Input>,
    mut seeds: Vec<std::net::SocketAddr>,
    logger: &Logger,
) -> eyre::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    let mut modified = (adapters.modified)();
    loop {
        let signalled = tokio::time::timeout(RELOAD_INTERVAL, hangup.recv()).await.is_ok();
        let latest = (adapters.modified)();
        if !signalled && latest == modified {
            continue;
        }
        modified = latest;
        match (adapters.reload)() {
            Ok(settings) => {
                info!(logger, "reloaded"; "signal" => signalled, "seeds" => settings.seeds.len());
                if seeds != settings.seeds {
                    seeds.clone_from(&settings.seeds);
                    sender.send(Input::Seeds(settings.seeds))?;
                }
            }
            Err(error) => error!(logger, "reload failed, the previous settings stay in force"; "error" => %error),
        }
    }
}
