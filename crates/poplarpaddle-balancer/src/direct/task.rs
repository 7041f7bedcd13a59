//! Main task, which owns the engine and the node and reads the UDP sockets.

mod calls;

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use poplarpaddle::direct::{CheckId, Engine, Layout, Reason};
use poplarpaddle::error::Result;
use poplarpaddle::event::Event;
use poplarpaddle::feed::Topic;
use poplarpaddle::fleet::{Action, Node, Response, Revisions, Store};
use poplarpaddle::former;
use poplarpaddle::path::MemberId;
use poplarpaddle::time::Time;
use poplarpaddle::wire::Transfer;
use poplarpaddle_io::clock::Clock;
use poplarpaddle_io::peer::Client;
use serde::Serialize;
use slog::{Logger, info, warn};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};

use super::Readiness;
use super::journal::Journal;
use super::outlet::Sender;
use super::telemetry::{Snapshot, Telemetry};

/// Maximum number of datagrams read from a socket before other work is handled.
const MAX_BATCH: usize = 256;

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM: usize = 64 << 10;

/// Number of members to ping in a zone that may be unreachable.
const PINGS_PER_ZONE: usize = 2;

/// Time without packets after which a leaving balancer assumes that the routers send it no more.
const QUIET: Duration = Duration::from_millis(300);

/// Time after an outage of the store within which hosts renew registrations that expired during the outage.
const RENEWAL_GRACE: Duration = Duration::from_millis(2200);

/// Input to the task from other tasks.
#[derive(Debug)]
pub(super) enum Input {
    /// Outcome of a read or watch of a collection in the store.
    Store(Topic, Result<Response>),
    /// Outcome of a pull from a peer.
    Pulled(MemberId, Result<Box<Transfer>>),
    /// Outcome of saving former services of routes.
    FormerSaved(Result<()>),
    /// Outcome of loading former services of routes.
    FormerLoaded(Result<Vec<former::Entry>>),
    /// Result of a check of the store: whether it responded.
    StoreChecked(bool),
    /// Result of a check of a host: whether it accepted a connection.
    Checked(CheckId, bool),
    /// A peer pulls the changes after its revisions.
    Changes { since: Revisions, reply: oneshot::Sender<Result<Vec<u8>>> },
    /// A request for the status.
    Status(oneshot::Sender<Status>),
    /// New seeds after a reload of the settings.
    Seeds(Vec<SocketAddr>),
    /// Announces that this balancer is leaving the fleet. The task ends once no more packets arrive, between the two times.
    Leave { earliest: Time, latest: Time },
}

/// When a leaving balancer stops.
#[derive(Debug, Clone, Copy)]
pub(super) struct Stop {
    /// When it stops if no packets arrive.
    earliest: Time,
    /// When it stops although packets arrive.
    latest: Time,
}

impl Stop {
    /// Returns the time at which the balancer stops if no further packet arrives after `last_packet`.
    fn due(&self, last_packet: Time) -> Time {
        self.earliest.max(last_packet + QUIET).min(self.latest)
    }
}

/// Response to `GET /status`.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Status {
    name: String,
    zone: String,
    ready: bool,
    config_version: u64,
    /// Number that rises each time that the store is restored from a copy.
    store_epoch: u64,
    hosts: usize,
    routes: usize,
    members: usize,
    flows: u64,
    /// Drained zones; absent if operators cannot drain zones through the store.
    #[serde(skip_serializing_if = "Option::is_none")]
    drained_zones: Option<Vec<String>>,
    /// Whether this process reads hosts, routes and, if replicated, zone drains, in this order, from the store itself.
    reads: Vec<bool>,
    /// Time since the store confirmed hosts, routes and, if replicated, zone drains, in this order, in milliseconds.
    age_ms: Vec<u64>,
}

/// Task that owns the engine and the node.
pub(super) struct Task {
    pub(super) clock: Clock,
    pub(super) node: Node,
    pub(super) engine: Engine,
    pub(super) layout: Arc<dyn Layout>,
    pub(super) store: Arc<dyn Store>,
    pub(super) peers: Client,
    pub(super) packets: UdpSocket,
    pub(super) gossip: UdpSocket,
    /// Address of this balancer in connections to other machines.
    pub(super) peer_address: IpAddr,
    pub(super) inputs: mpsc::UnboundedReceiver<Input>,
    /// Sends outcomes of calls to [`Task::inputs`].
    pub(super) outcomes: mpsc::UnboundedSender<Input>,
    pub(super) readiness: Readiness,
    pub(super) telemetry: Telemetry,
    pub(super) journal: Journal,
    pub(super) logger: Logger,
    /// Time within which a change in the store has to be in force.
    pub(super) bound: Duration,
    /// When this balancer stops; none while it is not leaving.
    pub(super) stop: Option<Stop>,
    /// When the last packet of a caller arrived.
    pub(super) last_packet: Time,
    /// Number of datagrams that could not be sent.
    pub(super) unsent: u64,
    /// Time at which the store had last confirmed the hosts before the current input was handled.
    pub(super) hosts_confirmed: Time,
}

impl Task {
    /// Runs until the balancer has left.
    pub(super) async fn run(mut self) {
        let mut buffer = vec![0; MAX_DATAGRAM].into_boxed_slice();
        self.tick();
        loop {
            let stop = self.stop.map_or(Time::NEVER, |stop| stop.due(self.last_packet));
            let deadline = self.node.deadline().min(self.engine.deadline()).min(self.journal.deadline()).min(stop);
            let mut input = None;
            tokio::select! {
                biased;
                ready = self.packets.readable() => self.log_failure(ready, "packets"),
                received = self.inputs.recv() => input = received,
                ready = self.gossip.readable() => self.log_failure(ready, "peers"),
                () = tokio::time::sleep_until(self.clock.instant(deadline).into()) => {}
            }
            // Packets in the socket buffer may show that openings were answered, so they are handled before timers.
            self.read_packets(&mut buffer);
            self.read_gossip(&mut buffer);
            if let Some(input) = input {
                self.handle_input(input);
            }
            self.tick();
            if self.stop.is_some_and(|stop| self.clock.now().reached(stop.due(self.last_packet))) {
                return self.finish();
            }
        }
    }

    /// Sends what is still queued and announces that this balancer stops now.
    fn finish(&mut self) {
        self.with_engine(Engine::stop);
        self.node.stop(self.clock.now());
        self.perform_actions();
    }

    fn log_failure(&self, ready: std::io::Result<()>, socket: &str) {
        if let Err(error) = ready {
            warn!(self.logger, "socket failed"; "socket" => socket, "error" => %error);
        }
    }

    fn read_packets(&mut self, buffer: &mut [u8]) {
        let layout = Arc::clone(&self.layout);
        for _ in 0..MAX_BATCH {
            let Ok((length, _from)) = self.packets.try_recv_from(buffer) else { return };
            self.last_packet = self.clock.now();
            match layout.parse(&buffer[..length]) {
                Ok((mark, view)) => self.with_engine(|engine, now, outlet| engine.packet(now, mark, &view, outlet)),
                Err(_malformed) => self.engine.count_dropped(Reason::Malformed),
            }
        }
    }

    fn read_gossip(&mut self, buffer: &mut [u8]) {
        for _ in 0..MAX_BATCH {
            let Ok((length, from)) = self.gossip.try_recv_from(buffer) else { return };
            self.save_hosts_confirmed();
            if let Err(error) = self.node.datagram(self.clock.now(), from, &buffer[..length]) {
                info!(self.logger, "gossip datagram rejected"; "from" => %from, "error" => %error);
            }
            self.perform_actions();
        }
    }

    /// Saves the time of the last confirmation of the hosts, before an input can change it.
    fn save_hosts_confirmed(&mut self) {
        self.hosts_confirmed = self.node.feed().confirmed(Topic::Hosts);
    }

    fn handle_input(&mut self, input: Input) {
        let now = self.clock.now();
        self.save_hosts_confirmed();
        match input {
            Input::Store(topic, response) => self.node.store_answered(now, topic, response),
            Input::Pulled(member, transfer) => self.node.pulled(now, member, transfer.map(|transfer| *transfer)),
            Input::FormerSaved(outcome) => self.node.former_saved(now, &outcome),
            Input::FormerLoaded(outcome) => self.node.former_loaded(now, outcome),
            Input::StoreChecked(responds) => {
                self.with_engine(|engine, now, outlet| engine.store_checked(now, responds, outlet));
            }
            Input::Checked(id, is_reachable) => {
                self.with_engine(|engine, now, outlet| engine.checked(now, id, is_reachable, outlet));
            }
            Input::Changes { since, reply } => {
                // A failed send means that the peer no longer waits for the reply.
                drop(reply.send(self.node.changes_since(now, since).and_then(|changes| changes.encode())));
            }
            Input::Status(reply) => drop(reply.send(self.status(now))),
            Input::Seeds(seeds) => self.node.set_seeds(seeds),
            Input::Leave { earliest, latest } => {
                self.stop = Some(Stop { earliest, latest });
                self.engine.leave(now);
                self.node.leave(now);
            }
        }
        self.perform_actions();
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.save_hosts_confirmed();
        if now.reached(self.node.deadline()) {
            self.node.tick(now);
        }
        self.perform_actions();
        if now.reached(self.engine.deadline()) {
            self.with_engine(Engine::tick);
            self.publish_counters();
        }
        self.journal.report(now);
        let ready = self.node.is_ready() && self.stop.is_none();
        if self.readiness.set(ready) {
            info!(self.logger, "readiness changed"; "ready" => ready);
        }
    }

    fn with_engine(&mut self, call: impl FnOnce(&mut Engine, Time, &mut dyn poplarpaddle::direct::Outlet)) {
        let now = self.clock.now();
        let (mut pings, mut checks, mut silences) = (Vec::new(), Vec::new(), Vec::new());
        let mut datagram = Vec::new();
        let mut has_foreign_packet = false;
        let mut outlet = Sender {
            now,
            layout: &*self.layout,
            socket: &self.packets,
            datagram: &mut datagram,
            journal: &mut self.journal,
            events: &self.telemetry.events,
            unsent: &mut self.unsent,
            pings: &mut pings,
            checks: &mut checks,
            silences: &mut silences,
            has_foreign_packet: &mut has_foreign_packet,
            node: &self.node,
            version: self.node.general().version,
            age: now.since(self.node.feed().confirmed(Topic::Hosts)),
        };
        call(&mut self.engine, now, &mut outlet);
        for (id, address) in checks {
            self.check(id, address);
        }
        if self.engine.take_store_check() {
            self.check_store();
        }
        if pings.is_empty() && silences.is_empty() && !has_foreign_packet {
            return;
        }
        if has_foreign_packet {
            self.node.report_missing_service(now);
        }
        for silence in silences {
            self.node.report_silence(now, silence.host, silence.rate);
        }
        for zone in pings {
            self.node.ping_zone(now, &zone, PINGS_PER_ZONE);
        }
        self.perform_actions();
    }

    fn perform_actions(&mut self) {
        for action in self.node.actions() {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send(to, bytes) => {
                if self.gossip.try_send_to(&bytes, to).is_err() {
                    self.unsent += 1;
                }
            }
            Action::Read(topic) => self.read(topic),
            Action::Watch { topic, revision, until } => self.watch(topic, revision, until),
            Action::Pull { member, peer, since, until } => self.pull(member, peer, since, until),
            Action::HostsChanged(names) => self.update_hosts(&names),
            Action::RoutesChanged(addresses) => {
                let now = self.clock.now();
                for address in addresses {
                    self.engine.set_route(now, address, self.node.routes().get(&address));
                }
            }
            Action::ZoneDrainsChanged(zones) => self.update_zone_drains(&zones),
            Action::ZoneAlive(zone) => self.with_engine(|engine, now, outlet| engine.zone_alive(now, &zone, outlet)),
            Action::ServicesChanged => self.engine.set_services(self.clock.now(), &self.node.general().services),
            Action::NeighborsChanged => {
                let now = self.clock.now();
                self.engine.flows_may_move(now);
                self.engine.set_members(now, self.node.membership().me().id, self.node.neighbors());
            }
            Action::HostsSuspected(hosts) => {
                for host in hosts {
                    self.with_engine(|engine, now, outlet| engine.suspect(now, host, outlet));
                }
            }
            Action::Former(action) => self.call_former(action),
            Action::FormerServices(entries) => {
                for former::Entry { address, service, until } in &entries {
                    self.engine.allow_former_service(*address, service, *until);
                }
            }
            Action::Event(event) => self.record_event(event),
        }
    }

    fn record_event(&self, event: Event) {
        self.journal.record_event(&event.name, &event.subject, &event.detail);
        self.telemetry.events.push(event);
    }

    /// Updates the values that the metrics export.
    fn publish_counters(&self) {
        self.telemetry.set(Snapshot {
            engine: self.engine.counters(),
            unsent: self.unsent,
            version: self.node.general().version,
            hosts: self.node.hosts().len() as u64,
            members: self.node.membership().reachable().len() as u64,
            drained_zones: self.node.zone_drains().len() as u64,
            store_epoch: self.node.store_epoch(),
        });
    }

    /// Updates the engine for hosts that were added, changed or removed.
    ///
    /// During an outage of the store, the registrations of running hosts expire, and the hosts renew them soon after
    /// the outage. If the store had not confirmed the hosts for longer than the bound, the engine therefore continues
    /// to place new flows at a removed host for a grace period.
    fn update_hosts(&mut self, names: &[String]) {
        let now = self.clock.now();
        let was_unavailable = now.reached(self.hosts_confirmed + self.bound);
        let grace = if was_unavailable { now + RENEWAL_GRACE } else { now };
        for name in names {
            self.engine.set_host(now, name, self.node.hosts().get(name), grace);
        }
    }

    /// Updates the engine for zones that were drained or returned.
    fn update_zone_drains(&mut self, zones: &[String]) {
        for zone in zones {
            let drained = self.node.zone_drains().get(zone).is_some();
            self.with_engine(|engine, now, outlet| engine.set_zone_drain(now, zone, drained, outlet));
        }
        self.engine.zone_drains_known();
    }

    /// Returns the names of the drained zones, sorted.
    fn drained_zones(&self) -> Vec<String> {
        let mut zones: Vec<String> = self.node.zone_drains().iter().map(|(zone, _)| zone.clone()).collect();
        zones.sort_unstable();
        zones
    }

    fn status(&self, now: Time) -> Status {
        let (me, feed) = (self.node.membership().me(), self.node.feed());
        let age = |topic| u64::try_from(now.since(feed.confirmed(topic)).as_millis()).unwrap_or(u64::MAX);
        Status {
            name: me.name.clone(),
            zone: me.zone.clone(),
            ready: self.readiness.is_ready(),
            config_version: self.node.general().version,
            store_epoch: self.node.store_epoch(),
            hosts: self.node.hosts().len(),
            routes: self.node.routes().len(),
            members: self.node.membership().reachable().len(),
            flows: self.engine.counters().flows,
            drained_zones: feed.has_topic(Topic::ZoneDrains).then(|| self.drained_zones()),
            reads: feed.topics().iter().map(|topic| feed.is_reader(now, *topic)).collect(),
            age_ms: feed.topics().iter().copied().map(age).collect(),
        }
    }
}
