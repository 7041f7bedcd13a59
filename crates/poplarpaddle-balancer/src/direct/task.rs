//! The task that owns engine and node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use poplarpaddle::direct::{Engine, Layout, Reason};
use poplarpaddle::error::Result;
use poplarpaddle::event::Event;
use poplarpaddle::feed::Topic;
use poplarpaddle::fleet::{Action, Node, Response, Store};
use poplarpaddle::path::MemberId;
use poplarpaddle::time::Time;
use poplarpaddle::wire::Transfer;
use poplarpaddle_io::clock::Clock;
use poplarpaddle_io::peer::{Client, PARCEL_LIMIT};
use serde::Serialize;
use slog::{Logger, info, warn};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};

use super::Readiness;
use super::journal::Journal;
use super::outlet::Sender;
use super::telemetry::{Snapshot, Telemetry};

/// Packets that are handled before other work gets its turn.
const BATCH: usize = 256;

/// Longest datagram.
const DATAGRAM_BYTES: usize = 64 << 10;

/// Time for the answer to a read of the store.
const READ_TIME: Duration = Duration::from_millis(1200);

/// Time by which the answer to a watch may come late.
const WATCH_SLACK: Duration = Duration::from_millis(500);

/// Members of a zone in doubt that are pinged at a time.
const PINGED: usize = 2;

/// Time after an outage of the store in which registrations that lapsed meanwhile come back.
const LAPSE_GRACE: Duration = Duration::from_millis(2200);

/// What other tasks bring.
#[derive(Debug)]
pub(super) enum Input {
    /// Outcome of a call to the store.
    Store(Topic, Result<Response>),
    /// Outcome of a pull.
    Pulled(MemberId, Result<Transfer>),
    /// A peer asks for what changed.
    Parcel { hosts: u64, routes: u64, answer: oneshot::Sender<Result<Vec<u8>>> },
    /// A tool asks for the status.
    Status(oneshot::Sender<Status>),
    /// New seeds.
    Seeds(Vec<SocketAddr>),
    /// Announce that this process leaves.
    Leave,
    /// Tell the others that this process stops, and end the task.
    Stop,
}

/// What a balancer says of itself to people and tools.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Status {
    name: String,
    zone: String,
    ready: bool,
    config_version: u64,
    hosts: usize,
    routes: usize,
    members: usize,
    flows: u64,
    /// Whether this process reads hosts and routes from the store.
    reads: [bool; 2],
    /// Time since the store confirmed hosts and routes, in milliseconds.
    age_ms: [u64; 2],
}

/// The task.
pub(super) struct Task {
    pub(super) clock: Clock,
    pub(super) node: Node,
    pub(super) engine: Engine,
    pub(super) layout: Arc<dyn Layout>,
    pub(super) store: Arc<dyn Store>,
    pub(super) peers: Client,
    pub(super) packets: UdpSocket,
    pub(super) notes: UdpSocket,
    pub(super) inputs: mpsc::UnboundedReceiver<Input>,
    pub(super) sender: mpsc::UnboundedSender<Input>,
    pub(super) readiness: Readiness,
    pub(super) telemetry: Telemetry,
    pub(super) journal: Journal,
    pub(super) logger: Logger,
    pub(super) bound: Duration,
    pub(super) leaving: bool,
    pub(super) unsent: u64,
    /// When the store confirmed the hosts before the input at hand.
    pub(super) confirmed: Time,
}

impl Task {
    /// Runs until [`Input::Stop`].
    pub(super) async fn run(mut self) {
        let mut buffer = vec![0; DATAGRAM_BYTES].into_boxed_slice();
        self.tick();
        loop {
            let deadline = self.node.deadline().min(self.engine.deadline()).min(self.journal.deadline());
            let mut input = None;
            tokio::select! {
                biased;
                ready = self.packets.readable() => self.check(ready, "packets"),
                received = self.inputs.recv() => input = received,
                ready = self.notes.readable() => self.check(ready, "peers"),
                () = tokio::time::sleep_until(self.clock.instant(deadline).into()) => {}
            }
            // Packets that wait show whether openings were answered, so they come before every deadline.
            self.read_packets(&mut buffer);
            self.read_notes(&mut buffer);
            if let Some(input) = input
                && !self.input(input)
            {
                return;
            }
            self.tick();
        }
    }

    fn check(&self, ready: std::io::Result<()>, socket: &str) {
        if let Err(error) = ready {
            warn!(self.logger, "socket failed"; "socket" => socket, "error" => %error);
        }
    }

    fn read_packets(&mut self, buffer: &mut [u8]) {
        let layout = Arc::clone(&self.layout);
        for _ in 0..BATCH {
            let Ok((length, _from)) = self.packets.try_recv_from(buffer) else { return };
            match layout.parse(&buffer[..length]) {
                Ok((mark, view)) => self.with_engine(|engine, now, outlet| engine.packet(now, mark, &view, outlet)),
                Err(_malformed) => self.engine.count_dropped(Reason::Malformed),
            }
        }
    }

    fn read_notes(&mut self, buffer: &mut [u8]) {
        for _ in 0..BATCH {
            let Ok((length, from)) = self.notes.try_recv_from(buffer) else { return };
            self.remember();
            if let Err(error) = self.node.datagram(self.clock.now(), from, &buffer[..length]) {
                info!(self.logger, "note refused"; "from" => %from, "error" => %error);
            }
            self.act();
        }
    }

    fn remember(&mut self) {
        self.confirmed = self.node.feed().confirmed(Topic::Hosts);
    }

    /// Takes an input; false ends the task.
    fn input(&mut self, input: Input) -> bool {
        let now = self.clock.now();
        self.remember();
        match input {
            Input::Store(topic, reading) => self.node.store_answered(now, topic, reading),
            Input::Pulled(member, parcel) => self.node.pulled(now, member, parcel),
            Input::Parcel { hosts, routes, answer } => {
                // An asker that went away needs no answer.
                drop(answer.send(self.node.changes_since(now, hosts, routes).and_then(|parcel| parcel.encode())));
            }
            Input::Status(answer) => drop(answer.send(self.status(now))),
            Input::Seeds(seeds) => self.node.set_seeds(seeds),
            Input::Leave => {
                self.leaving = true;
                self.node.leave(now);
            }
            Input::Stop => {
                self.node.stop(now);
                self.act();
                return false;
            }
        }
        self.act();
        true
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.remember();
        if now.reached(self.node.deadline()) {
            self.node.tick(now);
        }
        self.act();
        if now.reached(self.engine.deadline()) {
            self.with_engine(Engine::tick);
            self.publish();
        }
        self.journal.report(now);
        let ready = self.node.is_ready() && !self.leaving;
        if self.readiness.set(ready) {
            info!(self.logger, "readiness changed"; "ready" => ready);
        }
    }

    fn with_engine(&mut self, call: impl FnOnce(&mut Engine, Time, &mut dyn poplarpaddle::direct::Outlet)) {
        let now = self.clock.now();
        let mut pings = Vec::new();
        let mut datagram = Vec::new();
        let mut outlet = Sender {
            now,
            layout: &*self.layout,
            socket: &self.packets,
            datagram: &mut datagram,
            journal: &mut self.journal,
            events: &self.telemetry.events,
            unsent: &mut self.unsent,
            pings: &mut pings,
            node: &self.node,
            version: self.node.general().version,
            age: now.since(self.node.feed().confirmed(Topic::Hosts)),
        };
        call(&mut self.engine, now, &mut outlet);
        if pings.is_empty() {
            return;
        }
        for zone in pings {
            self.node.ping_zone(now, &zone, PINGED);
        }
        self.act();
    }

    fn act(&mut self) {
        for action in self.node.actions() {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send(to, bytes) => {
                if self.notes.try_send_to(&bytes, to).is_err() {
                    self.unsent += 1;
                }
            }
            Action::Read(topic) => self.read(topic),
            Action::Watch { topic, revision, until } => self.watch(topic, revision, until),
            Action::Pull { member, peer, hosts, routes, until } => self.pull(member, peer, (hosts, routes), until),
            Action::HostsChanged(names) => self.hosts_changed(&names),
            Action::RoutesChanged(addresses) => {
                let now = self.clock.now();
                for address in addresses {
                    self.engine.set_route(now, address, self.node.routes().get(&address));
                }
            }
            Action::ZoneAlive(zone) => self.with_engine(|engine, now, outlet| engine.zone_alive(now, &zone, outlet)),
            Action::Event(event) => self.event(event),
        }
    }

    fn event(&self, event: Event) {
        self.journal.believed(&event.name, &event.subject, &event.detail);
        self.telemetry.events.push(event);
    }

    /// Brings the figures for the metrics up to date.
    fn publish(&self) {
        self.telemetry.set(Snapshot {
            engine: self.engine.counters(),
            unsent: self.unsent,
            version: self.node.general().version,
            hosts: self.node.hosts().len() as u64,
            members: self.node.membership().reachable().len() as u64,
        });
    }

    /// Registrations lapse while the store is away, although their hosts live, and come back soon after it does. A host
    /// that is missing after a long time without confirmation keeps its new flows until then.
    fn hosts_changed(&mut self, names: &[String]) {
        let now = self.clock.now();
        let was_away = now.reached(self.confirmed + self.bound);
        let grace = if was_away { now + LAPSE_GRACE } else { now };
        for name in names {
            self.engine.set_host(now, name, self.node.hosts().get(name), grace);
        }
    }

    fn read(&self, topic: Topic) {
        let (store, sender, telemetry, clock) =
            (Arc::clone(&self.store), self.sender.clone(), self.telemetry.clone(), self.clock);
        tokio::spawn(async move {
            let started = clock.now();
            let reading = store.read(topic, started + READ_TIME).await;
            telemetry.called("read", label(&reading), clock.now().since(started));
            drop(sender.send(Input::Store(topic, reading)));
        });
    }

    fn watch(&self, topic: Topic, revision: u64, until: Time) {
        let (store, sender, telemetry, clock) =
            (Arc::clone(&self.store), self.sender.clone(), self.telemetry.clone(), self.clock);
        tokio::spawn(async move {
            let started = clock.now();
            let reading = store.watch(topic, revision, until, until + WATCH_SLACK).await;
            telemetry.called("watch", label(&reading), clock.now().since(started));
            drop(sender.send(Input::Store(topic, reading)));
        });
    }

    /// Fetches what changed after the revisions of hosts and routes in `known`.
    fn pull(&self, member: MemberId, peer: SocketAddr, known: (u64, u64), until: Time) {
        let (client, sender, telemetry, clock) =
            (self.peers.clone(), self.sender.clone(), self.telemetry.clone(), self.clock);
        tokio::spawn(async move {
            let started = clock.now();
            let path = format!("/peer/parcel?hosts={}&routes={}", known.0, known.1);
            let bytes = client.fetch_up_to(PARCEL_LIMIT, peer, &path, until).await;
            let parcel = bytes.and_then(|bytes| Transfer::decode(&bytes));
            telemetry.called("pull", label(&parcel), clock.now().since(started));
            drop(sender.send(Input::Pulled(member, parcel)));
        });
    }

    fn status(&self, now: Time) -> Status {
        let (me, feed) = (self.node.membership().me(), self.node.feed());
        let age = |topic| u64::try_from(now.since(feed.confirmed(topic)).as_millis()).unwrap_or(u64::MAX);
        Status {
            name: me.name.clone(),
            zone: me.zone.clone(),
            ready: self.readiness.is_ready(),
            config_version: self.node.general().version,
            hosts: self.node.hosts().len(),
            routes: self.node.routes().len(),
            members: self.node.membership().reachable().len(),
            flows: self.engine.counters().flows,
            reads: Topic::ALL.map(|topic| feed.is_reader(now, topic)),
            age_ms: Topic::ALL.map(age),
        }
    }
}

const fn label<T>(result: &Result<T>) -> &'static str {
    match result {
        Ok(_) => "answered",
        Err(_) => "failed",
    }
}
