//! Test harness: an engine on virtual time whose outlet records all output.

use std::net::{Ipv4Addr, SocketAddrV4};

use poplarpaddle::direct::{CheckId, Decision, Engine, Hop, Outlet, Reason, Settings, Silence, Verdict};
use poplarpaddle::mark::{HostId, Mark};
use poplarpaddle::packet::{Direction, Flow, Kind, View};
use poplarpaddle::registry::{Host, Route, State};
use poplarpaddle::time::Time;

/// A forwarded packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sent {
    pub hop: Hop,
    pub bytes: Vec<u8>,
}

/// Recorded output of an engine.
#[derive(Debug, Default)]
pub struct Record {
    pub sent: Vec<Sent>,
    pub resets: Vec<(Flow, u32)>,
    pub pings: Vec<String>,
    /// Checks of hosts that were requested and have no result yet.
    pub checks: Vec<(CheckId, SocketAddrV4)>,
    pub decisions: Vec<(Flow, Verdict, Option<Reason>)>,
    pub events: Vec<String>,
    pub silences: Vec<Silence>,
    /// Zones without known members, for which [`Outlet::ping`] returns false.
    pub zones_without_members: Vec<&'static str>,
}

impl Outlet for Record {
    fn forward(&mut self, hop: &Hop, bytes: &[u8]) {
        self.sent.push(Sent { hop: *hop, bytes: bytes.to_vec() });
    }

    fn reset(&mut self, flow: &Flow, sequence: u32) {
        self.resets.push((*flow, sequence));
    }

    fn ping(&mut self, zone: &str) -> bool {
        let can_ping = !self.zones_without_members.contains(&zone);
        if can_ping {
            self.pings.push(zone.to_owned());
        }
        can_ping
    }

    fn check(&mut self, id: CheckId, address: SocketAddrV4) {
        self.checks.push((id, address));
    }

    fn report_silence(&mut self, silence: &Silence) {
        self.silences.push(*silence);
    }

    fn record_decision(&mut self, decision: &Decision<'_>) {
        self.decisions.push((decision.flow, decision.verdict, decision.reason));
    }

    fn record_event(&mut self, _now: Time, name: &str, subject: &str, _detail: &str) {
        self.events.push(format!("{name} {subject}"));
    }
}

/// An engine in zone `a` with its recorded output.
pub struct Harness {
    pub engine: Engine,
    pub record: Record,
    pub now: Time,
    /// Whether the store responds to the checks that the engine requests.
    pub store_responds: bool,
}

pub const ZONES: [&str; 3] = ["a", "b", "c"];

pub fn route_address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port)
}

pub fn flow(caller: u16, port: u16) -> Flow {
    Flow { caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), caller), service: route_address(port) }
}

pub fn route(service: &str) -> Route {
    Route { name: format!("r-{service}"), service: service.to_owned(), ..Default::default() }
}

pub fn host(id: u64, service: &str, zone: &str) -> Host {
    let last = u8::try_from(id % 250).unwrap() + 1;
    Host {
        id: HostId(id),
        service: service.to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 128, 0, last), 8080),
        zone: zone.to_owned(),
        // Enough that no opening is queued, except in tests that set fewer slots.
        slots: 100,
        state: State::Ready,
        cold_until: Time::default(),
        born: id,
        sequence: 1,
    }
}

impl Harness {
    pub fn new(seed: u64) -> Self {
        let settings = Settings { zone: "a".into(), seed, ..Default::default() };
        Self {
            engine: Engine::new(settings),
            record: Record::default(),
            now: Time::from_millis(1000),
            store_responds: true,
        }
    }

    /// Returns a harness with `per_zone` hosts of `bookings` in each zone and a route to them on port 443.
    pub fn with_hosts(seed: u64, per_zone: u64) -> Self {
        Self::with_slots(seed, per_zone, 100)
    }

    /// Like [`Self::with_hosts`], with the given number of slots per host.
    pub fn with_slots(seed: u64, per_zone: u64, slots: u16) -> Self {
        let mut harness = Self::new(seed);
        for (index, zone) in ZONES.iter().enumerate() {
            for number in 1..=per_zone {
                harness.register(&Host { slots, ..host(index as u64 * 100 + number, "bookings", zone) });
            }
        }
        harness.route(443, Some(&route("bookings")));
        harness
    }

    pub fn register(&mut self, host: &Host) {
        self.engine.set_host(self.now, &name(host.id), Some(host), self.now);
    }

    pub fn deregister(&mut self, id: u64) {
        self.engine.set_host(self.now, &name(HostId(id)), None, self.now);
    }

    pub fn route(&mut self, port: u16, route: Option<&Route>) {
        self.engine.set_route(self.now, route_address(port), route);
    }

    /// Advances the time by `millis` and ticks the engine whenever it is due.
    pub fn advance(&mut self, millis: u64) {
        let until = Time::from_nanos(self.now.as_nanos() + millis * 1_000_000);
        while self.engine.deadline() <= until {
            self.now = self.engine.deadline().max(self.now);
            self.engine.tick(self.now, &mut self.record);
        }
        self.now = until;
        if self.engine.take_store_check() {
            self.engine.store_checked(until, self.store_responds, &mut self.record);
        }
    }

    /// Sends an opening. `retransmission` is 0 for the first packet and counts the caller's retransmissions.
    pub fn send_opening(&mut self, flow: Flow, retransmission: u32) {
        let bytes = [0, u8::try_from(retransmission).unwrap()];
        let view = View {
            sequence: 7,
            acknowledgement: retransmission,
            ..View::new(flow, Direction::FromCaller, Kind::Opening, &bytes)
        };
        self.engine.packet(self.now, Mark::NONE, &view, &mut self.record);
    }

    /// Sends a packet of an established flow.
    pub fn send(&mut self, flow: Flow, mark: Mark, kind: Kind, payload: u32, acknowledgement: u32) {
        let bytes = [1];
        let view =
            View { payload, acknowledgement, sequence: 8, ..View::new(flow, Direction::FromCaller, kind, &bytes) };
        self.engine.packet(self.now, mark, &view, &mut self.record);
    }

    /// Passes the results of the requested checks to the engine and returns the number of checks. The host `unreachable`
    /// fails them.
    pub fn finish_checks(&mut self, unreachable: Option<HostId>) -> usize {
        let checks = std::mem::take(&mut self.record.checks);
        let count = checks.len();
        for (id, address) in checks {
            let is_reachable = unreachable.is_none_or(|id| address != host(id.0, "", "").address);
            self.engine.checked(self.now, id, is_reachable, &mut self.record);
        }
        count
    }

    /// Returns the hop of the last forwarded packet.
    pub fn last_hop(&self) -> Hop {
        self.record.sent.last().expect("no packet was forwarded").hop
    }

    /// Opens a flow, lets its host answer after 8 ms, sends a request, and returns the host.
    pub fn establish(&mut self, flow: Flow) -> HostId {
        self.send_opening(flow, 0);
        let hop = self.last_hop();
        self.advance(8);
        self.send(flow, hop.mark.expect("an opening carries a mark"), Kind::Data, 100, 50);
        hop.host
    }
}

pub fn name(id: HostId) -> String {
    format!("i-{id}")
}
