//! Data-path thread, which moves packets between UDP sockets and the engine.
//!
//! Each datagram from the fabric contains one raw IP packet. Each datagram from another balancer contains a
//! [`wire::Relay`]. The thread reads datagrams in batches, so that one wake-up handles many packets.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::thread::JoinHandle;

use eyre::Context as _;
use poplarpaddle::ip;
use poplarpaddle::map::{self, Map};
use poplarpaddle::packet::{Flow, View};
use poplarpaddle::path::{self, Engine, Hop, MemberId, Outlet, Reason, Source};
use poplarpaddle::time::Time;
use poplarpaddle::{event::Event, view, wire};
use poplarpaddle_io::clock::Clock;
use slog::{Logger, debug};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};

use crate::telemetry::{Datagrams, Snapshot, Telemetry};

/// Maximum number of datagrams read from one socket before the other inputs are handled.
const MAX_BATCH: usize = 128;

/// Size of the receive buffer and of the send buffer of a socket, in bytes. Each can hold a burst of a few thousand
/// packets.
const SOCKET_BUFFER_BYTES: usize = 4 << 20;

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM: usize = 65_535;

/// Maximum time between two updates of the published counters, in milliseconds.
const PUBLISH_INTERVAL_MS: u64 = 100;

/// Command to the data-path thread.
#[derive(Debug)]
pub enum Command {
    /// Applies a new view of the fleet.
    Apply(view::View),
    /// Hands held packets over to their new owners, then replies.
    Drain(oneshot::Sender<()>),
    /// Stops the thread.
    Stop,
}

/// Addresses of the data path and settings of its engine.
#[derive(Debug, Clone)]
pub struct Settings {
    /// UDP address for packets from the fabric.
    pub data: SocketAddr,
    /// UDP address for packets relayed by other balancers.
    pub relay: SocketAddr,
    /// UDP address of the fabric.
    pub fabric: SocketAddr,
    /// Settings of the engine.
    pub path: path::Settings,
}

/// Binds the sockets and starts the data-path thread.
///
/// # Errors
///
/// Fails when an address cannot be bound or the thread cannot be started.
pub fn start(
    settings: Settings,
    commands: mpsc::UnboundedReceiver<Command>,
    telemetry: Telemetry,
    logger: Logger,
) -> eyre::Result<JoinHandle<()>> {
    let data = bind(settings.data).wrap_err_with(|| format!("cannot listen on [listen] data = {}", settings.data))?;
    let relay =
        bind(settings.relay).wrap_err_with(|| format!("cannot listen on [listen] relay = {}", settings.relay))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let thread = std::thread::Builder::new().name("data-path".to_owned());
    let handle = thread.spawn(move || {
        runtime.block_on(async move {
            let sockets = UdpSocket::from_std(data).and_then(|data| Ok((data, UdpSocket::from_std(relay)?)));
            match sockets {
                Ok((data, relay)) => Worker::new(&settings, data, relay, telemetry, logger).run(commands).await,
                Err(error) => slog::error!(logger, "cannot register the sockets with the runtime"; "error" => %error),
            }
        });
    })?;
    Ok(handle)
}

fn bind(address: SocketAddr) -> std::io::Result<std::net::UdpSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    Ok(socket.into())
}

/// Event that wakes the main loop.
enum Wake {
    Command(Option<Command>),
    Data,
    Relay,
    Timer,
}

/// State of the data-path thread.
struct Worker {
    engine: Engine,
    outlet: Sender,
    telemetry: Telemetry,
    logger: Logger,
    clock: Clock,
    buffer: Vec<u8>,
    publish_due: Time,
}

impl Worker {
    fn new(settings: &Settings, data: UdpSocket, relay: UdpSocket, telemetry: Telemetry, logger: Logger) -> Self {
        let outlet = Sender {
            me: settings.path.me,
            fabric: settings.fabric,
            data,
            relay,
            config: None,
            members: map::seeded(settings.path.seed),
            scratch: Vec::with_capacity(MAX_DATAGRAM),
            datagrams: Datagrams::default(),
            telemetry: telemetry.clone(),
        };
        Self {
            engine: Engine::new(settings.path.clone()),
            outlet,
            telemetry,
            logger,
            clock: Clock::new(),
            buffer: vec![0; MAX_DATAGRAM],
            publish_due: Time::default(),
        }
    }

    async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        loop {
            let deadline = self.clock.instant(self.engine.deadline().min(self.publish_due));
            let wake = tokio::select! {
                biased;
                command = commands.recv() => Wake::Command(command),
                _ = self.outlet.relay.readable() => Wake::Relay,
                _ = self.outlet.data.readable() => Wake::Data,
                () = tokio::time::sleep_until(deadline.into()) => Wake::Timer,
            };
            match wake {
                Wake::Command(None | Some(Command::Stop)) => break,
                Wake::Command(Some(command)) => self.handle_command(command),
                Wake::Data | Wake::Relay => self.read_sockets(),
                Wake::Timer => {}
            }
            self.tick();
        }
        self.publish_counters();
    }

    fn handle_command(&mut self, command: Command) {
        let now = self.clock.now();
        match command {
            Command::Apply(view) => {
                self.outlet.config.clone_from(&view.config);
                self.outlet.members = map::seeded(0);
                self.outlet.members.extend(view.members.iter().map(|member| (member.id, member.relay)));
                self.engine.apply(now, &view, &mut self.outlet);
            }
            Command::Drain(reply) => {
                self.engine.drain(now, &mut self.outlet);
                // A closed channel means that the sender of the command no longer waits for the reply.
                let _outcome: Result<(), ()> = reply.send(());
            }
            Command::Stop => {}
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        if now.reached(self.engine.deadline()) {
            self.engine.tick(now, &mut self.outlet);
        }
        if now.reached(self.publish_due) {
            self.publish_counters();
            self.publish_due = now + std::time::Duration::from_millis(PUBLISH_INTERVAL_MS);
        }
    }

    /// Reads a batch from each socket, regardless of which one became readable, so that neither socket delays the
    /// other.
    fn read_sockets(&mut self) {
        for _ in 0..MAX_BATCH {
            match self.outlet.relay.try_recv(&mut self.buffer) {
                Ok(length) => self.handle_relayed(length),
                Err(_) => break,
            }
        }
        for _ in 0..MAX_BATCH {
            match self.outlet.data.try_recv(&mut self.buffer) {
                Ok(length) => {
                    self.outlet.datagrams.from_fabric += 1;
                    let buffer = std::mem::take(&mut self.buffer);
                    self.handle_packet(Source::Fabric, &buffer[..length]);
                    self.buffer = buffer;
                }
                Err(_) => break,
            }
        }
    }

    fn handle_relayed(&mut self, length: usize) {
        self.outlet.datagrams.from_peers += 1;
        let buffer = std::mem::take(&mut self.buffer);
        match rmp_serde::from_slice::<wire::Relay<'_>>(&buffer[..length]) {
            Ok(relay) if relay.version == wire::VERSION => {
                self.handle_packet(Source::Peer(relay.sender, relay.hop), relay.packet);
            }
            Ok(relay) => {
                self.outlet.datagrams.malformed += 1;
                debug!(self.logger, "relayed packet has an unsupported protocol version"; "version" => relay.version);
            }
            Err(error) => {
                self.outlet.datagrams.malformed += 1;
                debug!(self.logger, "datagram is not a valid relayed packet"; "error" => %error);
            }
        }
        self.buffer = buffer;
    }

    fn handle_packet(&mut self, source: Source, bytes: &[u8]) {
        let Some(config) = self.outlet.config.clone() else {
            self.outlet.datagrams.malformed += 1;
            return;
        };
        match ip::parse(bytes, &config) {
            Ok(view) => self.engine.packet(self.clock.now(), source, &view, &mut self.outlet),
            Err(error) => {
                self.outlet.datagrams.malformed += 1;
                debug!(self.logger, "dropping a malformed packet"; "error" => %error);
            }
        }
    }

    fn publish_counters(&self) {
        self.telemetry.set(Snapshot { path: self.engine.counters(), datagrams: self.outlet.datagrams });
    }
}

/// Sends the packets that the engine outputs.
struct Sender {
    me: MemberId,
    fabric: SocketAddr,
    data: UdpSocket,
    relay: UdpSocket,
    config: Option<Arc<view::Config>>,
    /// Relay addresses of the members of the fleet.
    members: Map<MemberId, SocketAddr>,
    /// Buffer in which the packet to send is written.
    scratch: Vec<u8>,
    datagrams: Datagrams,
    telemetry: Telemetry,
}

impl Sender {
    /// Sends the packet in the scratch buffer to the fabric. Counts it as unsent if writing or sending it failed.
    fn send_scratch(&mut self, written: &poplarpaddle::error::Result<()>) {
        let sent = written.is_ok() && self.data.try_send_to(&self.scratch, self.fabric).is_ok();
        if !sent {
            self.datagrams.unsent += 1;
        }
    }
}

impl Outlet for Sender {
    fn to_target(&mut self, target: Ipv4Addr, packet: &View<'_>) {
        let written = ip::to_target(packet.bytes, target, &mut self.scratch);
        self.send_scratch(&written);
    }

    fn to_caller(&mut self, packet: &View<'_>) {
        let written = ip::to_caller(packet.bytes, *packet.flow.service.ip(), &mut self.scratch);
        self.send_scratch(&written);
    }

    fn relay(&mut self, member: MemberId, hop: Hop, packet: &View<'_>) {
        let Some(address) = self.members.get(&member) else {
            self.datagrams.unsent += 1;
            return;
        };
        let relay = wire::Relay { version: wire::VERSION, sender: self.me, hop, packet: packet.bytes };
        self.scratch.clear();
        let written = rmp_serde::encode::write(&mut self.scratch, &relay);
        if written.is_err() || self.relay.try_send_to(&self.scratch, *address).is_err() {
            self.datagrams.unsent += 1;
        }
    }

    fn refuse(&mut self, packet: &View<'_>, reason: Reason) {
        self.reset_caller(packet, reason);
    }

    fn reset_caller(&mut self, packet: &View<'_>, _reason: Reason) {
        let written = if packet.bytes.is_empty() {
            ip::reset_caller(&packet.flow, packet.acknowledgement, &mut self.scratch);
            Ok(())
        } else {
            ip::reset_for(packet.bytes, &mut self.scratch)
        };
        self.send_scratch(&written);
    }

    fn reset_target(&mut self, target: Ipv4Addr, flow: &Flow, sequence: u32) {
        ip::reset_target(target, flow, sequence, &mut self.scratch);
        self.send_scratch(&Ok(()));
    }

    /// Does nothing, because the engine counts discarded packets by reason.
    fn discard(&mut self, _packet: &View<'_>, _reason: Reason) {}

    fn event(&mut self, event: Event) {
        self.telemetry.events.push(event);
    }
}
