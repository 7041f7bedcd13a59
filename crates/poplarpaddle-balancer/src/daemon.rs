//! Startup and graceful shutdown of a balancer.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use eyre::Context as _;
use poplarpaddle::admission::{self, Gate};
use poplarpaddle::config;
use poplarpaddle::control::{self, Node};
use poplarpaddle::health;
use poplarpaddle::hedge;
use poplarpaddle::membership;
use poplarpaddle::ownership::Ownership;
use poplarpaddle::path::{self, MemberId};
use poplarpaddle::view::Priority;
use poplarpaddle_io::clock::Clock;
use poplarpaddle_io::settings::Settings;
use poplarpaddle_io::{peer, store};
use slog::{Logger, info, o};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot};

use crate::control::{Clients, Request, Task};
use crate::data_path::{self, Command};
use crate::server::{self, Context};
use crate::telemetry::Telemetry;

/// Timeout of handing held packets over to their new owners, in seconds.
const DRAIN_TIMEOUT_SECONDS: u64 = 2;

/// Time reserved for sending the last messages to peers before the process exits, in milliseconds.
const FINAL_MESSAGES_MS: u64 = 100;

/// Runs a balancer until SIGTERM or SIGINT, then leaves the fleet gracefully and returns.
///
/// # Errors
///
/// Fails when an address cannot be bound, a client cannot be set up, a task ends unexpectedly or held packets cannot be
/// handed over in time.
pub async fn run(settings: &Settings, logger: &Logger) -> eyre::Result<()> {
    let telemetry = Telemetry::new()?;
    let me = MemberId(rand::random());
    let logger = logger.new(o!("member" => me.to_string(), "zone" => settings.node.zone.clone()));
    let listener = TcpListener::bind(settings.listen.peer)
        .await
        .wrap_err_with(|| format!("cannot listen on [listen] peer = {}", settings.listen.peer))?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;

    let (data_path, commands) = mpsc::unbounded_channel();
    let path_settings = data_path_settings(settings, me);
    let thread = data_path::start(path_settings, commands, telemetry.clone(), logger.new(o!("part" => "data-path")))?;
    let (requests, receiver) = mpsc::unbounded_channel();
    let task = Task {
        node: node(settings, me),
        clients: Clients {
            peer: peer::Client::new(peer_source(settings.listen.peer))?,
            targets: peer::Client::new(None)?,
            store: store::Http::new(&settings.store.url)?,
            load_port: settings.targets.load_port,
        },
        requests: receiver,
        outcomes: requests.clone(),
        data_path: data_path.clone(),
        ownership: Ownership::default(),
        events: telemetry.events.clone(),
        logger: logger.new(o!("part" => "control")),
    };
    let task = tokio::spawn(task.run());
    let leaving = Arc::new(AtomicBool::new(false));
    let context = Context {
        process: settings.node.name.as_str().into(),
        control: requests.clone(),
        telemetry,
        leaving: Arc::clone(&leaving),
    };
    let server = tokio::spawn(async move { axum::serve(listener, server::routes(context)).await });
    info!(logger, "started"; "peer" => %settings.listen.peer, "data" => %settings.listen.data);

    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        outcome = server => eyre::bail!("the HTTP server ended unexpectedly: {outcome:?}"),
        outcome = task => eyre::bail!("the control task ended unexpectedly: {outcome:?}"),
    }
    info!(logger, "leaving"; "drain_ms" => settings.stop.drain_ms);
    leaving.store(true, Ordering::Relaxed);
    leave(settings, &requests, &data_path).await?;
    data_path.send(Command::Stop)?;
    thread.join().map_err(|_panic| eyre::eyre!("the data path panicked"))?;
    info!(logger, "stopped");
    Ok(())
}

/// Announces that the balancer is leaving, hands held packets over to the new owners and forwards packets until the
/// drain deadline. Until then, the new owners learn the flows from the targets' answers, and the fabric stops sending
/// packets to this balancer.
async fn leave(
    settings: &Settings,
    requests: &mpsc::UnboundedSender<Request>,
    data_path: &mpsc::UnboundedSender<Command>,
) -> eyre::Result<()> {
    let clock = Clock::new();
    let deadline = clock.now() + Duration::from_millis(settings.stop.drain_ms.into());
    requests.send(Request::Leave)?;
    let (reply, drained) = oneshot::channel();
    data_path.send(Command::Drain(reply))?;
    let drained = tokio::time::timeout(Duration::from_secs(DRAIN_TIMEOUT_SECONDS), drained).await;
    drained.wrap_err("held packets were not handed over in time")?.wrap_err("the data path ended unexpectedly")?;
    tokio::time::sleep(clock.until(deadline)).await;
    let (reply, stopped) = oneshot::channel();
    requests.send(Request::Stop(reply))?;
    stopped.await.wrap_err("the control task ended unexpectedly")?;
    // Without this delay, the process would exit before the last messages are sent, and peers would detect the stop
    // only by unanswered pings.
    tokio::time::sleep(Duration::from_millis(FINAL_MESSAGES_MS)).await;
    Ok(())
}

fn data_path_settings(settings: &Settings, me: MemberId) -> data_path::Settings {
    let bounds = path::Bounds {
        flows: settings.limits.flows as usize,
        held_bytes: settings.limits.held_bytes as usize,
        ..path::Bounds::default()
    };
    data_path::Settings {
        data: settings.listen.data,
        relay: settings.listen.relay,
        fabric: settings.fabric.address,
        path: path::Settings {
            me,
            seed: rand::random(),
            bounds,
            gates: Arc::new(Gates),
            hedge: hedge::Settings { percent: settings.hedge.percent, ..hedge::Settings::default() },
            ..path::Settings::default()
        },
    }
}

/// Returns the source address of connections to peers: the address that this balancer listens on, so that the network
/// between the balancers can identify each by its address. None when it listens on every address.
fn peer_source(listen: SocketAddr) -> Option<IpAddr> {
    Some(listen.ip()).filter(|address| !address.is_unspecified())
}

fn node(settings: &Settings, me: MemberId) -> Node {
    let state = Box::new(config::State::new(&settings.node.fleet));
    Node::new(Clock::new().now(), control_settings(settings, me), state)
}

/// Returns the settings of the control plane of the balancer `me`.
#[must_use]
pub fn control_settings(settings: &Settings, me: MemberId) -> control::Settings {
    let membership = membership::Settings {
        ping_ms: settings.members.ping_ms.into(),
        suspect_ms: settings.members.suspect_ms.into(),
        seeds: settings.members.seeds.clone(),
        ..membership::Settings::default()
    };
    control::Settings {
        id: me,
        name: settings.node.name.clone(),
        zone: settings.node.zone.clone(),
        region: settings.node.region.clone(),
        fleet: settings.node.fleet.clone(),
        peer: settings.advertise.peer.unwrap_or(settings.listen.peer),
        relay: settings.advertise.relay.unwrap_or(settings.listen.relay),
        seed: rand::random(),
        membership,
        health: health::Settings { poll_ms: settings.targets.poll_ms.into(), ..health::Settings::default() },
        ..control::Settings::default()
    }
}

/// Factory of the admission queues, one for each shard of the data path.
#[derive(Debug)]
struct Gates;

impl path::Factory for Gates {
    fn gate(&self, _service: &str, _shard: u16, priorities: &[Priority]) -> Box<dyn Gate> {
        let settings = admission::Settings { priorities: priorities.to_vec(), ..admission::Settings::default() };
        admission::gate(settings)
    }
}
