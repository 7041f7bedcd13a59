//! Plays store, routers, hosts and consumers for some time and judges what they saw.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr, bail};
use rand::RngExt as _;
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;

use super::consumer::{End, Try};
use super::host::{Host, Output};
use super::plan::{Fault, FaultKind, Plan, Report};
use super::router::{self, Balancer};
use super::store::{Mood, Store};

/// Time between two looks at timers.
const TICK: Duration = Duration::from_millis(5);

/// Time between two questions of the routers to a balancer.
const READINESS_EVERY: Duration = Duration::from_millis(500);

/// Longest datagram.
const DATAGRAM: usize = 2048;

/// Consumers with an address of their own.
const CONSUMERS: u8 = 8;

/// Time after which a request is given up.
const BUDGET: Duration = Duration::from_secs(3);

/// Tries of a request.
const TRIES: u32 = 3;

/// Time after which a draining host may get no openings.
const DRAIN_BOUND: Duration = Duration::from_secs(3);

struct Site {
    plan: Plan,
    store: Store,
    random: Pcg64Mcg,
    hosts: Vec<Member>,
    balancers: Vec<Balancer>,
    requests: BTreeMap<u64, Request>,
    /// Request by the consumer's end of its present try.
    tries: BTreeMap<SocketAddrV4, u64>,
    runs: BTreeMap<u64, u64>,
    next_id: u64,
    next_port: u16,
    version: u64,
    times: Vec<u64>,
    report: Report,
}

struct Member {
    host: Host,
    name: String,
    service: usize,
    zone: String,
    address: SocketAddrV4,
    draining: Option<Instant>,
}

struct Request {
    started: Instant,
    tries: u32,
    route: SocketAddrV4,
    idempotent: bool,
    consumer: SocketAddrV4,
    present: Try,
}

enum Arrival {
    Host(usize, Vec<u8>),
    Consumer(Vec<u8>),
    Ready(usize, bool),
}

const SERVICES: [&str; 2] = ["bookings", "crewdocs"];

/// Plays `plan` and returns what was seen.
///
/// # Errors
///
/// Fails when an address cannot be bound or no balancer becomes ready in time.
pub async fn run(plan: Plan) -> Result<Report> {
    let port = plan.balancers.first().map_or(0, |(packets, _)| packets.port());
    let mut site = Site::new(plan);
    let listener = TcpListener::bind(site.plan.store).await.wrap_err("cannot bind the store")?;
    let server = tokio::spawn(axum::serve(listener, site.store.router()).into_future());
    let (sender, mut arrivals) = mpsc::unbounded_channel();
    let mut hosts = Vec::new();
    for (index, member) in site.hosts.iter().enumerate() {
        let socket = std::sync::Arc::new(UdpSocket::bind(member.address).await.wrap_err("cannot bind a host")?);
        hosts.push(std::sync::Arc::clone(&socket));
        receive(socket, sender.clone(), move |bytes| Arrival::Host(index, bytes));
    }
    let mut consumers = Vec::new();
    for number in 1..=CONSUMERS {
        let address = SocketAddrV4::new(Ipv4Addr::new(127, 64, 0, number), port);
        let socket = std::sync::Arc::new(UdpSocket::bind(address).await.wrap_err("cannot bind a consumer")?);
        consumers.push(std::sync::Arc::clone(&socket));
        receive(socket, sender.clone(), Arrival::Consumer);
    }
    site.configure();
    site.register();
    for (index, (_, readiness)) in site.plan.balancers.iter().enumerate() {
        ask_readiness(index, *readiness, sender.clone());
    }
    let start = Instant::now();
    while site.balancers.iter().any(|balancer| balancer.misses > 0) {
        let arrival = tokio::time::timeout(Duration::from_secs(20), arrivals.recv()).await;
        let Ok(Some(arrival)) = arrival else { bail!("no balancer became ready in time") };
        site.arrive(Instant::now(), arrival, &mut Vec::new(), &mut Vec::new());
        if start.elapsed() > Duration::from_secs(20) {
            bail!("not every balancer became ready in time");
        }
    }
    site.play(&mut arrivals, &hosts, &consumers).await;
    server.abort();
    Ok(site.finish())
}

fn receive(
    socket: std::sync::Arc<UdpSocket>,
    sender: mpsc::UnboundedSender<Arrival>,
    wrap: impl Fn(Vec<u8>) -> Arrival + Send + 'static,
) {
    tokio::spawn(async move {
        let mut buffer = vec![0; DATAGRAM];
        while let Ok((length, _)) = socket.recv_from(&mut buffer).await {
            if sender.send(wrap(buffer[..length].to_vec())).is_err() {
                return;
            }
        }
    });
}

fn ask_readiness(index: usize, address: SocketAddr, sender: mpsc::UnboundedSender<Arrival>) {
    tokio::spawn(async move {
        let client = reqwest::Client::new();
        loop {
            let url = format!("http://{address}/poplarpaddle/ready");
            let answer = client.get(url).timeout(READINESS_EVERY).send().await;
            let ready = answer.is_ok_and(|answer| answer.status().is_success());
            if sender.send(Arrival::Ready(index, ready)).is_err() {
                return;
            }
            tokio::time::sleep(READINESS_EVERY).await;
        }
    });
}

/// A datagram to a host's or consumer's network: from which socket, and where to.
type Sent = (usize, SocketAddrV4, Vec<u8>);

impl Site {
    fn new(plan: Plan) -> Self {
        let store = Store::new(2000);
        let balancers = plan.balancers.iter().map(|(packets, _)| Balancer { packets: *packets, misses: 2 }).collect();
        let mut hosts = Vec::new();
        for (service, count) in plan.hosts.into_iter().enumerate() {
            for _ in 0..count {
                let number = u8::try_from(hosts.len() + 1).unwrap_or(u8::MAX);
                let id = 0x7f00_0000 + u64::from(number);
                let (work, answer) = if service == 0 { (10, 2000) } else { (3, 9000) };
                hosts.push(Member {
                    host: Host::new(id, 3, Duration::from_millis(work), answer),
                    name: format!("i-{id:x}"),
                    service,
                    zone: plan.zones[hosts.len() % plan.zones.len()].clone(),
                    address: SocketAddrV4::new(Ipv4Addr::new(127, 128, 0, number), 8080),
                    draining: None,
                });
            }
        }
        Self {
            random: router::random(plan.seed),
            store,
            hosts,
            balancers,
            requests: BTreeMap::new(),
            tries: BTreeMap::new(),
            runs: BTreeMap::new(),
            next_id: 1,
            next_port: 1024,
            version: 7,
            times: Vec::new(),
            report: Report::default(),
            plan,
        }
    }

    fn configure(&mut self) {
        self.version += self.random.random_range(1..9);
        let route = |name: &str, host: &str, port: u16, service: &str| {
            json!({"name": name, "host": host, "path_prefix": format!("/{port}/"), "route_type": "idempotent",
                "timeout_ms": 2000, "target_latency_ms": 200, "priority": 1, "service": service, "max_attempts": 2})
        };
        let mut routes =
            vec![route("r-1", "198.18.0.1", 443, SERVICES[0]), route("r-2", "198.18.0.2", 443, SERVICES[1])];
        routes.push(route("r-3", "198.18.0.3", 1000 + u16::try_from(self.version % 500).unwrap_or(0), SERVICES[0]));
        let services = SERVICES.map(|name| json!({"name": name, "health_path": "/health", "max_conns": 4444}));
        let limits = json!({"idle_timeout_ms": 15000});
        let spec = json!({"version": self.version, "routes": routes, "services": services, "limits": limits});
        self.store.set("config", "main", spec);
    }

    fn register(&self) {
        // Entries of other writers name no host and must not disturb the others.
        self.store.set("servers", "i-bad", json!({"service": 7}));
        self.store.set("servers", "list", json!([1, 2, 3]));
        for member in &self.hosts {
            self.write(member, "ready");
        }
    }

    fn write(&self, member: &Member, state: &str) {
        let spec = json!({"service": SERVICES[member.service], "address": member.address.to_string(),
            "zone": member.zone, "version": "v1", "slots": 3, "state": state, "cold_left_ms": 0, "seq": 4, "born": 1});
        self.store.set("servers", &member.name, spec);
    }

    async fn play(
        &mut self,
        arrivals: &mut mpsc::UnboundedReceiver<Arrival>,
        hosts: &[std::sync::Arc<UdpSocket>],
        consumers: &[std::sync::Arc<UdpSocket>],
    ) {
        let start = Instant::now();
        let end = start + self.plan.duration;
        let mut ticks = tokio::time::interval(TICK);
        let mut faults = self.plan.faults.clone();
        let mut due: Vec<(Instant, FaultKind, usize)> = Vec::new();
        let mut asked = 0.0;
        while Instant::now() < end + BUDGET && (Instant::now() < end || !self.requests.is_empty()) {
            let (mut to_consumers, mut to_balancers) = (Vec::new(), Vec::new());
            tokio::select! {
                Some(arrival) = arrivals.recv() => {
                    self.arrive(Instant::now(), arrival, &mut to_consumers, &mut to_balancers);
                }
                _ = ticks.tick() => {
                    let now = Instant::now();
                    self.strike(now, start, &mut faults, &mut due);
                    while now < end && start.elapsed().as_secs_f64() * self.plan.rate > asked {
                        asked += 1.0;
                        self.ask(now, &mut to_balancers);
                    }
                    self.tick(now, &mut to_consumers, &mut to_balancers);
                }
            }
            for (index, to, bytes) in to_consumers {
                drop(hosts[index].send_to(&bytes, to).await);
            }
            for (index, to, bytes) in to_balancers {
                drop(consumers[index].send_to(&bytes, to).await);
            }
        }
    }

    fn arrive(&mut self, now: Instant, arrival: Arrival, to_consumers: &mut Vec<Sent>, to_balancers: &mut Vec<Sent>) {
        match arrival {
            Arrival::Ready(index, ready) => {
                let balancer = &mut self.balancers[index];
                balancer.misses = if ready { 0 } else { balancer.misses.saturating_add(1) };
            }
            Arrival::Host(index, bytes) => {
                let member = &self.hosts[index];
                let late = member.draining.is_some_and(|since| now > since + DRAIN_BOUND);
                let opens = bytes.get(16).is_some_and(|flags| flags & 2 != 0);
                self.report.drained_late += u64::from(late && opens && member.host.alive);
                let mut output = Output::default();
                self.hosts[index].host.datagram(now, &bytes, &mut output);
                self.judge(index, output, to_consumers);
            }
            Arrival::Consumer(bytes) => self.consume(now, &bytes, to_balancers),
        }
    }

    fn judge(&mut self, index: usize, output: Output, to_consumers: &mut Vec<Sent>) {
        self.report.altered += output.altered;
        let port = self.plan.balancers.first().map_or(0, |(packets, _)| packets.port());
        for (id, route) in output.started {
            *self.runs.entry(id).or_default() += 1;
            let service = usize::from(route.ip().octets()[3] == 2);
            self.report.misrouted += u64::from(service != self.hosts[index].service);
        }
        for (to, bytes) in output.packets {
            to_consumers.push((index, SocketAddrV4::new(*to.ip(), port), bytes));
        }
    }

    fn consume(&mut self, now: Instant, bytes: &[u8], to_balancers: &mut Vec<Sent>) {
        // The destination of a packet, system resets included, lies at a fixed place.
        let Some(place) = bytes.get(..32) else { return };
        let ip = Ipv4Addr::new(place[18], place[19], place[20], place[21]);
        let consumer = SocketAddrV4::new(ip, u16::from_be_bytes([place[10], place[11]]));
        let Some(id) = self.tries.get(&consumer).copied() else { return };
        let mut out = Vec::new();
        let end = self.requests.get_mut(&id).and_then(|request| request.present.datagram(now, bytes, &mut out));
        self.route(id, out, to_balancers);
        if let Some(end) = end {
            self.ended(now, id, end, to_balancers);
        }
    }

    fn tick(&mut self, now: Instant, to_consumers: &mut Vec<Sent>, to_balancers: &mut Vec<Sent>) {
        for index in 0..self.hosts.len() {
            let mut output = Output::default();
            if self.hosts[index].host.alive {
                self.hosts[index].host.tick(now, &mut output);
            }
            self.judge(index, output, to_consumers);
        }
        let ids: Vec<u64> = self.requests.keys().copied().collect();
        for id in ids {
            let Some(request) = self.requests.get_mut(&id) else { continue };
            if now > request.started + BUDGET {
                self.report.unanswered += 1;
                self.forget(id);
                continue;
            }
            let mut out = Vec::new();
            let end = request.present.tick(now, &mut out);
            self.route(id, out, to_balancers);
            if let Some(end) = end {
                self.ended(now, id, end, to_balancers);
            }
        }
    }

    fn ask(&mut self, now: Instant, to_balancers: &mut Vec<Sent>) {
        let id = self.next_id;
        self.next_id += 1;
        let kind = self.random.random_range(0..4);
        let route = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, if kind == 3 { 2 } else { 1 }), 443);
        let consumer = self.consumer();
        let (present, opening) = Try::start(now, consumer, route, id);
        let idempotent = kind != 0;
        self.requests.insert(id, Request { started: now, tries: 1, route, idempotent, consumer, present });
        self.tries.insert(consumer, id);
        self.report.requests += 1;
        self.route(id, vec![opening], to_balancers);
    }

    /// Returns a consumer's end that was not used lately.
    fn consumer(&mut self) -> SocketAddrV4 {
        self.next_port = if self.next_port == u16::MAX { 1024 } else { self.next_port + 1 };
        let number = self.random.random_range(1..=CONSUMERS);
        SocketAddrV4::new(Ipv4Addr::new(127, 64, 0, number), self.next_port)
    }

    fn route(&self, id: u64, packets: Vec<Vec<u8>>, to_balancers: &mut Vec<Sent>) {
        let Some(request) = self.requests.get(&id) else { return };
        let flow = router::flow(request.consumer, request.route);
        let Some(balancer) = router::choose(self.plan.hash, &self.balancers, flow) else { return };
        let socket = usize::from(request.consumer.ip().octets()[3] - 1);
        to_balancers.extend(packets.into_iter().map(|bytes| (socket, balancer, bytes)));
    }

    fn ended(&mut self, now: Instant, id: u64, end: End, to_balancers: &mut Vec<Sent>) {
        let Some(request) = self.requests.get(&id) else { return };
        let not_run = matches!(end, End::Unopened | End::Rejected);
        match end {
            End::Answered => {
                self.report.answered += 1;
                let time = now.duration_since(request.started).as_millis();
                self.times.push(u64::try_from(time).unwrap_or(u64::MAX));
                return self.forget(id);
            }
            End::Wrong => self.report.wrong += 1,
            End::ResetBySystem => self.report.reset_by_system += 1,
            End::Unopened => self.report.unopened += 1,
            End::Rejected => self.report.rejected += 1,
            End::ResetByHost => {}
        }
        if request.tries >= TRIES || !(request.idempotent || not_run) {
            self.report.unanswered += 1;
            return self.forget(id);
        }
        let consumer = self.consumer();
        let Some(request) = self.requests.get_mut(&id) else { return };
        self.tries.remove(&request.consumer);
        let (present, opening) = Try::start(now, consumer, request.route, id);
        request.tries += 1;
        request.consumer = consumer;
        request.present = present;
        self.tries.insert(consumer, id);
        self.route(id, vec![opening], to_balancers);
    }

    fn forget(&mut self, id: u64) {
        let Some(request) = self.requests.remove(&id) else { return };
        self.tries.remove(&request.consumer);
        let runs = self.runs.remove(&id).unwrap_or_default();
        self.report.run_twice += u64::from(!request.idempotent && runs > 1);
    }

    /// Lets the faults strike that are due, and ends those that are over.
    fn strike(
        &mut self,
        now: Instant,
        start: Instant,
        faults: &mut Vec<Fault>,
        due: &mut Vec<(Instant, FaultKind, usize)>,
    ) {
        for fault in faults.extract_if(.., |fault| now >= start + fault.at) {
            let victim = self.victim();
            match fault.kind {
                FaultKind::Mood(mood) => self.store.set_mood(mood),
                FaultKind::Compact => self.store.compact(),
                FaultKind::Crash => self.hosts[victim].host.crash(),
                FaultKind::Drain => {
                    self.hosts[victim].draining = Some(now);
                    self.write(&self.hosts[victim], "draining");
                }
                FaultKind::Configure => self.configure(),
            }
            due.push((now + fault.lasts, fault.kind, victim));
        }
        for (_, kind, victim) in due.extract_if(.., |(at, ..)| now >= *at) {
            match kind {
                FaultKind::Mood(_) => self.store.set_mood(Mood::Well),
                FaultKind::Crash | FaultKind::Drain => {
                    self.store.remove("servers", &self.hosts[victim].name);
                    self.hosts[victim].host.alive = false;
                }
                FaultKind::Compact | FaultKind::Configure => {}
            }
        }
    }

    fn victim(&mut self) -> usize {
        let of_first = |member: &Member| member.service == 0 && member.host.alive && member.draining.is_none();
        let fit: Vec<usize> = (0..self.hosts.len()).filter(|index| of_first(&self.hosts[*index])).collect();
        router::pick(&mut self.random, &fit).unwrap_or_default()
    }

    fn finish(mut self) -> Report {
        let left: Vec<u64> = self.requests.keys().copied().collect();
        for id in left {
            self.report.unanswered += 1;
            self.forget(id);
        }
        self.times.sort_unstable();
        let at = |percent: usize| self.times.get(self.times.len() * percent / 100).copied().unwrap_or_default();
        self.report.times_ms = (at(50), at(99));
        self.report.store_calls = self.store.calls();
        self.report
    }
}
