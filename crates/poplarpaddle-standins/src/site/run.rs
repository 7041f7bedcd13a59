//! Runs a simulation of the store, routers, hosts and consumers, and checks what they observe.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr, bail};
use rand::RngExt as _;
use rand_pcg::Pcg64Mcg;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use super::consumer::{Attempt, Outcome};
use super::host::{Host, Output};
use super::plan::{FaultKind, Plan, Report};
use super::router::{self, Balancer};
use super::socket::{poll_readiness, spawn_acceptor, spawn_receiver};
use super::store::Store;

/// Interval between two checks of the timers.
const TICK: Duration = Duration::from_millis(5);

/// Number of consumers, each with its own address.
const CONSUMERS: u8 = 8;

/// Time after which a request fails, over all its attempts.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 3;

/// Time after which a draining host must not receive SYNs any more.
const DRAIN_GRACE: Duration = Duration::from_secs(3);

/// State of a simulation run.
pub(super) struct Site {
    plan: Plan,
    pub(super) store: Store,
    pub(super) rng: Pcg64Mcg,
    pub(super) hosts: Vec<Server>,
    /// Tasks that accept connections to the hosts, in the order of `hosts`.
    pub(super) acceptors: Vec<AbortHandle>,
    /// Index of the host that last sent a packet to the consumer endpoint.
    senders: BTreeMap<SocketAddrV4, usize>,
    balancers: Vec<Balancer>,
    requests: BTreeMap<u64, Request>,
    /// Id of the request whose current attempt uses the consumer endpoint.
    attempts: BTreeMap<SocketAddrV4, u64>,
    /// Number of times that each open request ran, by its id.
    runs: BTreeMap<u64, u64>,
    next_id: u64,
    next_port: u16,
    /// Version of the configuration in the store.
    pub(super) version: u64,
    /// Number of registrations that hosts have written.
    pub(super) registrations: u64,
    /// Response times in milliseconds.
    response_times: Vec<u64>,
    report: Report,
}

/// A host with its registration in the store.
pub(super) struct Server {
    pub(super) host: Host,
    pub(super) name: String,
    /// Index into [`SERVICES`](super::entry::SERVICES).
    pub(super) service: usize,
    pub(super) zone: String,
    pub(super) address: SocketAddrV4,
    pub(super) draining: Option<Instant>,
}

/// A request of a consumer, over all its attempts.
struct Request {
    started: Instant,
    attempts: u32,
    route: SocketAddrV4,
    idempotent: bool,
    consumer: SocketAddrV4,
    attempt: Attempt,
}

/// Input of the simulation.
pub(super) enum Event {
    /// Datagram for the host with this index.
    Host(usize, Vec<u8>),
    /// Datagram for a consumer.
    Consumer(Vec<u8>),
    /// Result of a readiness check of the balancer with this index.
    Ready(usize, bool),
}

/// Runs `plan` and returns the report.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or a balancer does not become ready in time.
pub async fn run(plan: Plan) -> Result<Report> {
    let port = plan.balancers.first().map_or(0, |(packets, _)| packets.port());
    let mut site = Site::new(plan);
    let listener = TcpListener::bind(site.plan.store).await.wrap_err("cannot bind the address of the store")?;
    let store_task = tokio::spawn(axum::serve(listener, site.store.router()).into_future());
    let (sender, mut events) = mpsc::unbounded_channel();
    let mut host_sockets = Vec::new();
    for (index, server) in site.hosts.iter().enumerate() {
        let socket =
            std::sync::Arc::new(UdpSocket::bind(server.address).await.wrap_err("cannot bind the address of a host")?);
        host_sockets.push(std::sync::Arc::clone(&socket));
        site.acceptors.push(spawn_acceptor(server.address).await?);
        spawn_receiver(socket, sender.clone(), move |bytes| Event::Host(index, bytes));
    }
    let mut consumer_sockets = Vec::new();
    for number in 1..=CONSUMERS {
        let address = SocketAddrV4::new(Ipv4Addr::new(127, 64, 0, number), port);
        let socket =
            std::sync::Arc::new(UdpSocket::bind(address).await.wrap_err("cannot bind the address of a consumer")?);
        consumer_sockets.push(std::sync::Arc::clone(&socket));
        spawn_receiver(socket, sender.clone(), Event::Consumer);
    }
    site.write_config();
    site.register_hosts();
    for (index, (_, readiness)) in site.plan.balancers.iter().enumerate() {
        poll_readiness(index, *readiness, sender.clone());
    }
    let start = Instant::now();
    while site.balancers.iter().any(|balancer| balancer.failed_checks > 0) {
        let event = tokio::time::timeout(Duration::from_secs(20), events.recv()).await;
        let Ok(Some(event)) = event else { bail!("no readiness check finished within 20 s") };
        site.handle_event(Instant::now(), event, &mut Vec::new(), &mut Vec::new());
        if start.elapsed() > Duration::from_secs(20) {
            bail!("not all balancers became ready within 20 s");
        }
    }
    site.run_traffic(&mut events, &host_sockets, &consumer_sockets).await;
    store_task.abort();
    Ok(site.into_report())
}

/// A datagram to send: the index of the sending socket, the destination and the payload.
type Outgoing = (usize, SocketAddrV4, Vec<u8>);

impl Site {
    fn new(plan: Plan) -> Self {
        let store = Store::new(2000);
        let balancers =
            plan.balancers.iter().map(|(address, _)| Balancer { address: *address, failed_checks: 2 }).collect();
        let mut hosts = Vec::new();
        for (service, count) in plan.hosts.into_iter().enumerate() {
            for _ in 0..count {
                let number = u8::try_from(hosts.len() + 1).unwrap_or(u8::MAX);
                let id = 0x7f00_0000 + u64::from(number);
                let (service_ms, response_size) = if service == 0 { (10, 2000) } else { (3, 9000) };
                hosts.push(Server {
                    host: Host::new(id, 3, Duration::from_millis(service_ms), response_size),
                    name: format!("i-{id:x}"),
                    service,
                    zone: plan.zones[hosts.len() % plan.zones.len()].clone(),
                    address: SocketAddrV4::new(Ipv4Addr::new(127, 128, 0, number), 8080),
                    draining: None,
                });
            }
        }
        Self {
            rng: router::rng(plan.seed),
            store,
            hosts,
            balancers,
            acceptors: Vec::new(),
            senders: BTreeMap::new(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            runs: BTreeMap::new(),
            next_id: 1,
            next_port: 1024,
            version: 7,
            registrations: 0,
            response_times: Vec::new(),
            report: Report::default(),
            plan,
        }
    }

    async fn run_traffic(
        &mut self,
        events: &mut mpsc::UnboundedReceiver<Event>,
        host_sockets: &[std::sync::Arc<UdpSocket>],
        consumer_sockets: &[std::sync::Arc<UdpSocket>],
    ) {
        let start = Instant::now();
        let end = start + self.plan.duration;
        let mut ticks = tokio::time::interval(TICK);
        let mut faults = self.plan.faults.clone();
        let mut active: Vec<(Instant, FaultKind, usize)> = Vec::new();
        let mut issued = 0.0;
        while Instant::now() < end + REQUEST_TIMEOUT && (Instant::now() < end || !self.requests.is_empty()) {
            let (mut to_consumers, mut to_balancers) = (Vec::new(), Vec::new());
            tokio::select! {
                Some(event) = events.recv() => {
                    self.handle_event(Instant::now(), event, &mut to_consumers, &mut to_balancers);
                }
                _ = ticks.tick() => {
                    let now = Instant::now();
                    self.apply_faults(now, start, &mut faults, &mut active);
                    while now < end && start.elapsed().as_secs_f64() * self.plan.rate > issued {
                        issued += 1.0;
                        self.start_request(now, &mut to_balancers);
                    }
                    self.tick(now, &mut to_consumers, &mut to_balancers);
                }
            }
            for (index, to, bytes) in to_consumers {
                drop(host_sockets[index].send_to(&bytes, to).await);
            }
            for (index, to, bytes) in to_balancers {
                drop(consumer_sockets[index].send_to(&bytes, to).await);
            }
        }
    }

    fn handle_event(
        &mut self,
        now: Instant,
        event: Event,
        to_consumers: &mut Vec<Outgoing>,
        to_balancers: &mut Vec<Outgoing>,
    ) {
        match event {
            Event::Ready(index, ready) => {
                let balancer = &mut self.balancers[index];
                balancer.failed_checks = if ready { 0 } else { balancer.failed_checks.saturating_add(1) };
            }
            Event::Host(index, bytes) => {
                let server = &self.hosts[index];
                let late = server.draining.is_some_and(|since| now > since + DRAIN_GRACE);
                // The flags follow the host id of 8 bytes and the first 8 bytes of the header; the flag with value 2 is
                // SYN.
                let opens = bytes.get(16).is_some_and(|flags| flags & 2 != 0);
                self.report.drained_late += u64::from(late && opens && server.host.alive);
                let mut output = Output::default();
                self.hosts[index].host.handle_datagram(now, &bytes, &mut output);
                self.process_output(index, output, to_consumers);
            }
            Event::Consumer(bytes) => self.handle_consumer_datagram(now, &bytes, to_balancers),
        }
    }

    fn process_output(&mut self, index: usize, output: Output, to_consumers: &mut Vec<Outgoing>) {
        self.report.altered += output.altered;
        let port = self.plan.balancers.first().map_or(0, |(packets, _)| packets.port());
        for (id, route) in output.started {
            *self.runs.entry(id).or_default() += 1;
            let service = usize::from(route.ip().octets()[3] == 2);
            self.report.misrouted += u64::from(service != self.hosts[index].service);
        }
        for (to, bytes) in output.packets {
            self.senders.insert(to, index);
            to_consumers.push((index, SocketAddrV4::new(*to.ip(), port), bytes));
        }
    }

    fn handle_consumer_datagram(&mut self, now: Instant, bytes: &[u8], to_balancers: &mut Vec<Outgoing>) {
        // The destination is at a fixed offset in every packet, including resets by the system under test.
        let Some(header) = bytes.get(..32) else { return };
        let ip = Ipv4Addr::new(header[18], header[19], header[20], header[21]);
        let consumer = SocketAddrV4::new(ip, u16::from_be_bytes([header[10], header[11]]));
        let Some(id) = self.attempts.get(&consumer).copied() else { return };
        let mut out = Vec::new();
        let outcome =
            self.requests.get_mut(&id).and_then(|request| request.attempt.handle_datagram(now, bytes, &mut out));
        self.send_to_balancer(id, out, to_balancers);
        if let Some(outcome) = outcome {
            self.finish_attempt(now, id, outcome, to_balancers);
        }
    }

    fn tick(&mut self, now: Instant, to_consumers: &mut Vec<Outgoing>, to_balancers: &mut Vec<Outgoing>) {
        for index in 0..self.hosts.len() {
            let mut output = Output::default();
            if self.hosts[index].host.alive {
                self.hosts[index].host.tick(now, &mut output);
            }
            self.process_output(index, output, to_consumers);
        }
        let ids: Vec<u64> = self.requests.keys().copied().collect();
        for id in ids {
            let Some(request) = self.requests.get_mut(&id) else { continue };
            if now > request.started + REQUEST_TIMEOUT {
                self.report.unanswered += 1;
                self.remove_request(id);
                continue;
            }
            let mut out = Vec::new();
            let outcome = request.attempt.tick(now, &mut out);
            self.send_to_balancer(id, out, to_balancers);
            if let Some(outcome) = outcome {
                self.finish_attempt(now, id, outcome, to_balancers);
            }
        }
    }

    fn start_request(&mut self, now: Instant, to_balancers: &mut Vec<Outgoing>) {
        let id = self.next_id;
        self.next_id += 1;
        let kind = self.rng.random_range(0..4);
        let route = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, if kind == 3 { 2 } else { 1 }), 443);
        let consumer = self.allocate_consumer();
        let (attempt, syn) = Attempt::start(now, consumer, route, id);
        let idempotent = kind != 0;
        self.requests.insert(id, Request { started: now, attempts: 1, route, idempotent, consumer, attempt });
        self.attempts.insert(consumer, id);
        self.report.requests += 1;
        self.send_to_balancer(id, vec![syn], to_balancers);
    }

    /// Returns a consumer endpoint that was not used recently.
    fn allocate_consumer(&mut self) -> SocketAddrV4 {
        self.next_port = if self.next_port == u16::MAX { 1024 } else { self.next_port + 1 };
        let number = self.rng.random_range(1..=CONSUMERS);
        SocketAddrV4::new(Ipv4Addr::new(127, 64, 0, number), self.next_port)
    }

    fn send_to_balancer(&self, id: u64, packets: Vec<Vec<u8>>, to_balancers: &mut Vec<Outgoing>) {
        let Some(request) = self.requests.get(&id) else { return };
        let flow = router::flow_hash(request.consumer, request.route);
        let Some(balancer) = router::choose(self.plan.hash, &self.balancers, flow) else { return };
        let socket = usize::from(request.consumer.ip().octets()[3] - 1);
        to_balancers.extend(packets.into_iter().map(|bytes| (socket, balancer, bytes)));
    }

    fn finish_attempt(&mut self, now: Instant, id: u64, outcome: Outcome, to_balancers: &mut Vec<Outgoing>) {
        let Some(request) = self.requests.get(&id) else { return };
        let not_run = matches!(outcome, Outcome::Unopened | Outcome::Rejected);
        match outcome {
            Outcome::Answered => {
                self.report.answered += 1;
                let elapsed = now.duration_since(request.started).as_millis();
                self.response_times.push(u64::try_from(elapsed).unwrap_or(u64::MAX));
                return self.remove_request(id);
            }
            Outcome::Wrong => self.report.wrong += 1,
            Outcome::ResetBySystem => {
                let host = self.senders.get(&request.consumer).map(|index| &self.hosts[*index].host);
                self.report.reset_by_system += u64::from(host.is_none_or(|host| host.alive));
            }
            Outcome::Unopened => self.report.unopened += 1,
            Outcome::Rejected => self.report.rejected += 1,
            Outcome::ResetByHost => {}
        }
        if request.attempts >= MAX_ATTEMPTS || !(request.idempotent || not_run) {
            self.report.unanswered += 1;
            return self.remove_request(id);
        }
        let consumer = self.allocate_consumer();
        let Some(request) = self.requests.get_mut(&id) else { return };
        self.attempts.remove(&request.consumer);
        let (attempt, syn) = Attempt::start(now, consumer, request.route, id);
        request.attempts += 1;
        request.consumer = consumer;
        request.attempt = attempt;
        self.attempts.insert(consumer, id);
        self.send_to_balancer(id, vec![syn], to_balancers);
    }

    fn remove_request(&mut self, id: u64) {
        let Some(request) = self.requests.remove(&id) else { return };
        self.attempts.remove(&request.consumer);
        let runs = self.runs.remove(&id).unwrap_or_default();
        self.report.run_twice += u64::from(!request.idempotent && runs > 1);
    }

    fn into_report(mut self) -> Report {
        let remaining: Vec<u64> = self.requests.keys().copied().collect();
        for id in remaining {
            self.report.unanswered += 1;
            self.remove_request(id);
        }
        self.response_times.sort_unstable();
        let percentile = |percent: usize| {
            self.response_times.get(self.response_times.len() * percent / 100).copied().unwrap_or_default()
        };
        self.report.times_ms = (percentile(50), percentile(99));
        self.report.store_calls = self.store.calls();
        self.report.config_version = self.version;
        self.report
    }
}
