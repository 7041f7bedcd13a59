//! Checks the invariants of the data path in random sequences of events at several balancers.
//!
//! `POPLARPADDLE_SEEDS=1000..9000 cargo test -p poplarpaddle --test direct random` runs other seeds.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use poplarpaddle::direct::{CheckId, Decision, Engine, Hop, Outlet, Reason, Settings, Silence, Verdict};
use poplarpaddle::mark::{HostId, Mark};
use poplarpaddle::packet::{Direction, Flow, Kind, View};
use poplarpaddle::registry::{Host, Route, State};
use poplarpaddle::time::Time;
use rand::{RngExt as _, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::support::{ZONES, flow, host, name, route, route_address};

const BALANCERS: usize = 3;
const PORTS: [u16; 2] = [443, 444];
const SERVICES: [&str; 2] = ["bookings", "crewdocs"];
const STEPS: u32 = 600;

/// Time after the return of a host within which it may still count as unreachable: the longest pause between two checks,
/// and the time until the simulation ends a check.
const RETURN_BOUND: Duration = Duration::from_millis(2500);

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("POPLARPADDLE_SEEDS") else { return 0..40 };
    let (from, to) = text.split_once("..").expect("POPLARPADDLE_SEEDS is FROM..TO");
    from.parse().expect("a number")..to.parse().expect("a number")
}

/// Output of one call of an engine.
#[derive(Default)]
struct Effects {
    sent: Vec<(Hop, Vec<u8>)>,
    resets: Vec<Flow>,
    decisions: Vec<(Flow, Verdict, Option<Reason>)>,
    /// Hosts of the resets for [`Reason::Unreachable`].
    unreachable: Vec<String>,
    checks: Vec<(CheckId, SocketAddrV4)>,
    silences: Vec<Silence>,
    pings: Vec<String>,
}

impl Outlet for Effects {
    fn forward(&mut self, hop: &Hop, bytes: &[u8]) {
        self.sent.push((*hop, bytes.to_vec()));
    }

    fn reset(&mut self, flow: &Flow, _sequence: u32) {
        self.resets.push(*flow);
    }

    fn ping(&mut self, zone: &str) -> bool {
        self.pings.push(zone.to_owned());
        true
    }

    fn check(&mut self, id: CheckId, address: SocketAddrV4) {
        self.checks.push((id, address));
    }

    fn report_silence(&mut self, silence: &Silence) {
        self.silences.push(*silence);
    }

    fn record_decision(&mut self, decision: &Decision<'_>) {
        if decision.reason == Some(Reason::Unreachable) {
            self.unreachable.push(decision.host.expect("the host of the flow is known").to_owned());
        }
        self.decisions.push((decision.flow, decision.verdict, decision.reason));
    }

    fn record_event(&mut self, _now: Time, _name: &str, _subject: &str, _detail: &str) {}
}

/// Caller's state of one flow.
struct Caller {
    port: u16,
    retransmissions: u32,
    /// Host whose answer to the opening arrived first.
    host: Option<HostId>,
    /// Hosts that were sent the opening.
    tried: BTreeSet<HostId>,
    /// Balancers that received a packet of the established flow.
    known_by: BTreeSet<usize>,
}

/// Returns a route whose flows may be reset when their host is unreachable.
fn idempotent_route(service: &str) -> Route {
    Route { idempotent: true, ..route(service) }
}

struct Simulation {
    seed: u64,
    random: Pcg64Mcg,
    now: Time,
    balancers: Vec<Engine>,
    hosts: BTreeMap<u64, Host>,
    /// Hosts that do not answer.
    silent: BTreeSet<u64>,
    /// When each host answered again or was replaced last.
    returned: BTreeMap<u64, Time>,
    /// Checks in progress, with the balancer that requested them.
    checks: Vec<(usize, CheckId, SocketAddrV4)>,
    /// Service of each route in force, by port.
    routes: BTreeMap<u16, &'static str>,
    /// Every pair of port and service that was ever configured.
    allowed: BTreeSet<(u16, &'static str)>,
    /// Service of each host that was ever registered.
    services: BTreeMap<HostId, String>,
    callers: BTreeMap<u16, Caller>,
    next_caller: u16,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            seed,
            random: Pcg64Mcg::seed_from_u64(seed),
            now: Time::from_millis(1000),
            balancers: Vec::new(),
            hosts: BTreeMap::new(),
            silent: BTreeSet::new(),
            returned: BTreeMap::new(),
            checks: Vec::new(),
            routes: PORTS.into_iter().zip(SERVICES).collect(),
            allowed: PORTS.into_iter().zip(SERVICES).collect(),
            services: BTreeMap::new(),
            callers: BTreeMap::new(),
            next_caller: 1,
        };
        for id in 1..=4 {
            simulation.register(id);
        }
        for _ in 0..BALANCERS {
            let engine = simulation.new_balancer();
            simulation.balancers.push(engine);
        }
        simulation
    }

    fn register(&mut self, id: u64) {
        let service = SERVICES[usize::from(id.is_multiple_of(4))];
        let registration = Host { slots: 1, ..host(id, service, ZONES[id as usize % ZONES.len()]) };
        self.services.insert(registration.id, service.to_owned());
        self.hosts.insert(id, registration);
        self.publish_host(id);
    }

    fn publish_host(&mut self, id: u64) {
        for engine in &mut self.balancers {
            engine.set_host(self.now, &name(HostId(id)), self.hosts.get(&id), self.now);
        }
    }

    fn publish_route(&mut self, port: u16) {
        let present = self.routes.get(&port).map(|service| idempotent_route(service));
        for engine in &mut self.balancers {
            engine.set_route(self.now, route_address(port), present.as_ref());
        }
    }

    /// Returns a balancer that has just started.
    fn new_balancer(&mut self) -> Engine {
        let seed = self.random.random();
        let mut engine = Engine::new(Settings { zone: "a".into(), seed, ..Default::default() });
        for (id, host) in &self.hosts {
            engine.set_host(self.now, &name(HostId(*id)), Some(host), self.now);
        }
        for (port, service) in &self.routes {
            engine.set_route(self.now, route_address(*port), Some(&idempotent_route(service)));
        }
        engine
    }

    /// Advances the time by `millis` and ticks the balancers whenever they are due.
    fn run(&mut self, millis: u64) {
        let until = Time::from_nanos(self.now.as_nanos() + millis * 1_000_000);
        loop {
            let due = (0..BALANCERS).min_by_key(|index| self.balancers[*index].deadline()).unwrap();
            let deadline = self.balancers[due].deadline();
            if deadline > until {
                break;
            }
            self.now = deadline.max(self.now);
            let mut effects = Effects::default();
            self.balancers[due].tick(self.now, &mut effects);
            self.check(due, effects);
        }
        self.now = until;
    }

    /// Ends the checks in progress. Hosts that are silent or gone fail them.
    fn finish_checks(&mut self) {
        for (balancer, id, address) in std::mem::take(&mut self.checks) {
            let answers = |(id, host): (&u64, &Host)| host.address == address && !self.silent.contains(id);
            let is_reachable = self.hosts.iter().any(answers);
            let mut effects = Effects::default();
            self.balancers[balancer].checked(self.now, id, is_reachable, &mut effects);
            self.check(balancer, effects);
        }
    }

    /// Returns true when the host of a name may count as unreachable.
    fn may_be_unreachable(&self, host: &str) -> bool {
        let id = (1..=4).find(|id| name(HostId(*id)) == host).expect("the host has been registered");
        let returned = self.returned.get(&id).is_some_and(|returned| self.now.since(*returned) < RETURN_BOUND);
        self.silent.contains(&id) || returned
    }

    /// Sends a packet of a caller to a random balancer, as routers may reroute flows at any time.
    fn send(&mut self, caller: u16, kind: Kind, mark: Mark, payload: u32, acknowledgement: u32) {
        let balancer = self.random.random_range(0..BALANCERS);
        let port = self.callers[&caller].port;
        let is_established = kind != Kind::Opening;
        let bytes = [u8::from(is_established), (caller >> 8) as u8, caller as u8];
        let view = View {
            payload,
            acknowledgement,
            sequence: 7,
            ..View::new(flow(caller, port), Direction::FromCaller, kind, &bytes)
        };
        let mut effects = Effects::default();
        self.balancers[balancer].packet(self.now, mark, &view, &mut effects);
        if is_established {
            let must_reach = self.must_reach(caller, mark);
            let is_reset = effects.decisions.contains(&(flow(caller, port), Verdict::Reset, Some(Reason::Unreachable)));
            let forwarded = effects.sent.iter().any(|(hop, bytes)| bytes[0] == 1 && Mark::of(hop.host) == mark);
            assert!(
                forwarded || is_reset || !must_reach,
                "seed {}: a packet of caller {caller} did not reach its host",
                self.seed
            );
            self.callers.get_mut(&caller).unwrap().known_by.insert(balancer);
        }
        self.check(balancer, effects);
    }

    /// Returns true when a packet of the caller must reach the host with the mark: the host is registered, and the
    /// caller's route allows its service.
    fn must_reach(&self, caller: u16, mark: Mark) -> bool {
        let service = self.routes.get(&self.callers[&caller].port);
        self.hosts.values().any(|host| Mark::of(host.id) == mark && service == Some(&host.service.as_str()))
    }

    /// Checks the output of a balancer.
    fn check(&mut self, balancer: usize, effects: Effects) {
        let seed = self.seed;
        for (hop, bytes) in effects.sent {
            let caller = u16::from_be_bytes([bytes[1], bytes[2]]);
            let port = self.callers[&caller].port;
            let service = self.services[&hop.host].as_str();
            let allowed = self.allowed.iter().any(|(allowed_port, name)| *allowed_port == port && *name == service);
            assert!(allowed, "seed {seed}: port {port} never allowed {service}");
            if bytes[0] == 0 {
                self.check_opening(balancer, caller, &hop);
            }
        }
        for reset in effects.resets {
            let has_route = self.routes.contains_key(&reset.service.port());
            let is_unreachable = effects.decisions.contains(&(reset, Verdict::Reset, Some(Reason::Unreachable)));
            let verdict = effects.decisions.iter().find(|(flow, ..)| *flow == reset).map(|(_, verdict, _)| *verdict);
            assert!(
                !has_route || verdict == Some(Verdict::Refused) || is_unreachable,
                "seed {seed}: a flow with a route was reset by {verdict:?}"
            );
        }
        for host in effects.unreachable {
            assert!(
                self.may_be_unreachable(&host),
                "seed {seed}: a flow of {host} was reset although that host answers"
            );
        }
        for zone in effects.pings {
            // Members in every zone answer.
            self.balancers[balancer].zone_alive(self.now, &zone, &mut Effects::default());
        }
        self.checks.extend(effects.checks.into_iter().map(|(id, address)| (balancer, id, address)));
        for silence in effects.silences {
            for engine in &mut self.balancers {
                engine.suspect(self.now, silence.host, &mut Effects::default());
            }
        }
        for (flow, verdict, reason) in effects.decisions {
            if verdict == Verdict::Refused && reason == Some(Reason::NoHost) {
                let service = self.routes[&flow.service.port()];
                let has_ready_host =
                    self.hosts.values().any(|host| host.service == service && host.state == State::Ready);
                assert!(!has_ready_host, "seed {seed}: an opening was refused although {service} has hosts");
            }
        }
    }

    fn check_opening(&mut self, balancer: usize, caller: u16, hop: &Hop) {
        let seed = self.seed;
        let state = self.callers.get_mut(&caller).unwrap();
        // Only the host is compared: a resent opening may go to its first host even if that is draining or gone by now.
        let knows_flow = state.known_by.contains(&balancer);
        assert!(
            !knows_flow || state.host == Some(hop.host),
            "seed {seed}: balancer {balancer} knows the flow of caller {caller} and sent its opening to another host"
        );
        state.tried.insert(hop.host);
        let is_answering = self.hosts.contains_key(&hop.host.0) && !self.silent.contains(&hop.host.0);
        if is_answering && state.host.is_none() {
            state.host = Some(hop.host);
        }
        let Some(first) = state.host.filter(|first| is_answering && *first != hop.host) else { return };
        let is_repeated = state.retransmissions > 0;
        // A host that is well passes a check within milliseconds, but the simulation may take longer.
        let is_checked = |host: &Host| self.checks.iter().any(|(by, _, to)| *by == balancer && *to == host.address);
        let first_is_gone = self.hosts.get(&first.0).is_none_or(is_checked) || self.may_be_unreachable(&name(first));
        assert!(
            is_repeated || first_is_gone,
            "seed {seed}: balancer {balancer} sent the opening of caller {caller} to a second host without being asked"
        );
    }

    /// Performs one random event.
    fn step(&mut self) {
        match self.random.random_range(0..20) {
            0..=6 => {
                let (caller, port) = (self.next_caller, PORTS[self.random.random_range(0..PORTS.len())]);
                self.next_caller += 1;
                self.callers.insert(
                    caller,
                    Caller { port, retransmissions: 0, host: None, tried: BTreeSet::new(), known_by: BTreeSet::new() },
                );
                self.send(caller, Kind::Opening, Mark::NONE, 0, 0);
            }
            7..=14 => self.advance_caller(),
            15 => {
                let id = self.random.random_range(1..=4);
                if let Some(host) = self.hosts.get_mut(&id) {
                    host.state = State::Draining;
                    self.publish_host(id);
                }
            }
            16 => {
                let id = self.random.random_range(1..=4);
                self.returned.insert(id, self.now);
                self.hosts.remove(&id);
                self.publish_host(id);
                self.register(id);
            }
            17 => {
                let id = self.random.random_range(1..=4);
                if self.silent.remove(&id) {
                    self.returned.insert(id, self.now);
                } else {
                    self.silent.insert(id);
                }
            }
            18 => {
                let index = self.random.random_range(0..BALANCERS);
                self.balancers[index] = self.new_balancer();
                self.checks.retain(|(balancer, ..)| *balancer != index);
                for caller in self.callers.values_mut() {
                    caller.known_by.remove(&index);
                }
            }
            _ => {
                let port = PORTS[self.random.random_range(0..PORTS.len())];
                let service = SERVICES[self.random.random_range(0..SERVICES.len())];
                if self.routes.remove(&port).is_none() {
                    self.routes.insert(port, service);
                    self.allowed.insert((port, service));
                }
                self.publish_route(port);
            }
        }
        let pause = self.random.random_range(0..30);
        self.run(pause);
        if self.random.random_bool(0.2) {
            self.finish_checks();
        }
    }

    /// Sends the next packet of a random flow: a retransmission of its opening, a request, or the end of the flow.
    fn advance_caller(&mut self) {
        let count = self.callers.len();
        if count == 0 {
            return;
        }
        let position = self.random.random_range(0..count);
        let (caller, state) = self.callers.iter().nth(position).map(|(caller, state)| (*caller, state)).unwrap();
        let (host, retransmissions, is_established) = (state.host, state.retransmissions, !state.known_by.is_empty());
        match host {
            None if retransmissions < 2 => {
                self.callers.get_mut(&caller).unwrap().retransmissions += 1;
                self.send(caller, Kind::Opening, Mark::NONE, 0, retransmissions + 1);
            }
            Some(host) if !is_established || self.random.random_bool(0.5) => {
                self.send(caller, Kind::Data, Mark::of(host), 100, 50);
            }
            Some(host) => self.send(caller, Kind::Closing, Mark::of(host), 0, 60),
            None => {}
        }
    }
}

/// Guards against packets to a service that no configuration allows, resets of live flows, refusals while hosts are
/// ready, established packets that miss their host, and openings that go to a second host although the balancer knows
/// the flow.
#[test]
fn the_invariants_hold_in_random_sequences() {
    for seed in seeds() {
        let mut simulation = Simulation::new(seed);
        for _ in 0..STEPS {
            simulation.step();
        }
        simulation.finish_checks();
        // Without packets, the entries of all flows expire: soon, except those whose openings several hosts may have.
        let is_pinned = |caller: &&Caller| caller.retransmissions > 0 || caller.tried.len() > 1;
        simulation.run(5000);
        for (index, engine) in simulation.balancers.iter().enumerate() {
            let is_known = |caller: &&Caller| caller.known_by.contains(&index);
            let pinned = simulation.callers.values().filter(is_pinned).filter(is_known).count() as u64;
            let flows = engine.counters().flows;
            assert!(flows <= pinned, "seed {seed}: balancer {index} has {flows} flows, {pinned} may be pinned");
        }
        simulation.run(60_000);
        for engine in &simulation.balancers {
            assert_eq!(engine.counters().flows, 0, "seed {seed}");
        }
    }
}
