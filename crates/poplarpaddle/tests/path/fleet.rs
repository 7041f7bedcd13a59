//! Test fixtures: configurations, views, packets, and an engine whose actions are recorded.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use poplarpaddle::map;
use poplarpaddle::ownership::Ownership;
use poplarpaddle::packet::{Kind, View};
use poplarpaddle::path::{Engine, Settings};
use poplarpaddle::prelude::*;
use poplarpaddle::view::{
    self, Config, Host, HostState, Member, Port, Presence, Priority, Service, ServiceIndex, Target,
};

/// Port of every service.
pub const PORT: u16 = 80;

/// Returns the address of a service.
pub fn service(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number + 1), PORT)
}

/// Returns the address of a target of a service.
pub fn host(service: u8, number: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, service, number + 1)
}

/// Returns a flow of service 0 with this caller number.
pub fn flow(caller: u16) -> Flow {
    Flow { caller: SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, 7), 20_000 + caller), service: service(0) }
}

/// Returns a configuration with one service for each of `sizes`, which are numbers of targets.
pub fn config(sizes: &[u8], shards: u16) -> Config {
    let mut config = Config {
        generation: 1,
        seed: 11,
        services: Vec::new(),
        priorities: vec![Priority { name: "plain".into(), rank: 0, share: 100, queue_ms: 300 }],
        addresses: map::seeded(1),
        endpoints: map::seeded(1),
    };
    for (number, size) in (0..).zip(sizes) {
        let index = ServiceIndex(u32::from(number));
        config.addresses.insert(service(number), index);
        for target in 0..*size {
            config.endpoints.insert(SocketAddrV4::new(host(number, target), PORT), index);
        }
        config.services.push(Arc::new(Service {
            name: format!("service-{number}"),
            address: *service(number).ip(),
            ports: vec![Port { port: PORT, priority: 0, idempotent: false }],
            shards,
            targets: (0..*size).map(|target| target_object(number, target)).collect(),
        }));
    }
    config
}

/// Marks all ports as idempotent.
pub fn with_idempotent_ports(mut config: Config) -> Config {
    for service in &mut config.services {
        Arc::make_mut(service).ports.iter_mut().for_each(|port| port.idempotent = true);
    }
    config
}

fn target_object(service: u8, number: u8) -> Target {
    Target {
        name: format!("target-{service}-{number}"),
        zone: "a".into(),
        address: host(service, number),
        slots: 3,
        connections: 4400,
        draining: false,
        released: false,
    }
}

/// Returns the owner of flow 1 among these members.
pub fn owner(config: &Config, alive: &[u64]) -> u64 {
    let mut ownership = Ownership::default();
    ownership.set_members(&members(alive, &[]));
    ownership.set_config(config);
    ownership.locate(config, &flow(1)).expect("a service").owner.expect("an owner").0
}

/// Returns members with these ids.
pub fn members(alive: &[u64], leaving: &[u64]) -> Arc<[Member]> {
    let alive = alive.iter().map(|id| (*id, Presence::Alive));
    let leaving = leaving.iter().map(|id| (*id, Presence::Leaving));
    let mut members: Vec<Member> = alive.chain(leaving).map(|(id, presence)| member(id, presence)).collect();
    members.sort_by_key(|member| member.id);
    members.into()
}

fn member(id: u64, presence: Presence) -> Member {
    Member { id: MemberId(id), presence, relay: ([127, 0, 0, 1], 9000).into() }
}

/// Returns the view of one member.
pub fn view(me: u64, config: &Config, members: &Arc<[Member]>, states: &[(Ipv4Addr, HostState)]) -> view::View {
    let mut hosts = map::seeded(1);
    for (address, state) in states {
        hosts.insert(*address, Host { state: *state, ..Default::default() });
    }
    view::View {
        me: MemberId(me),
        config: Some(Arc::new(config.clone())),
        members: Arc::clone(members),
        hosts: Arc::new(hosts),
    }
}

/// An action of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Sent to a target, with the kind and sequence number of the packet.
    Target(Ipv4Addr, Kind, u32),
    /// Sent to the caller.
    Caller(Kind),
    /// Relayed to a member.
    Relay(MemberId, Hop),
    /// Refused.
    Refuse(Reason),
    /// Reset at the caller.
    ResetCaller(Reason),
    /// Reset at a target.
    ResetTarget(Ipv4Addr),
    /// Dropped.
    Discard(Reason),
}

/// An outlet that records the actions of an engine.
#[derive(Debug, Default)]
pub struct Actions(pub Vec<Action>);

impl Outlet for Actions {
    fn to_target(&mut self, target: Ipv4Addr, packet: &View<'_>) {
        self.0.push(Action::Target(target, packet.kind, packet.sequence));
    }
    fn to_caller(&mut self, packet: &View<'_>) {
        self.0.push(Action::Caller(packet.kind));
    }
    fn relay(&mut self, member: MemberId, hop: Hop, _packet: &View<'_>) {
        self.0.push(Action::Relay(member, hop));
    }
    fn refuse(&mut self, _packet: &View<'_>, reason: Reason) {
        self.0.push(Action::Refuse(reason));
    }
    fn reset_caller(&mut self, _packet: &View<'_>, reason: Reason) {
        self.0.push(Action::ResetCaller(reason));
    }
    fn reset_target(&mut self, target: Ipv4Addr, _flow: &Flow, _sequence: u32) {
        self.0.push(Action::ResetTarget(target));
    }
    fn discard(&mut self, _packet: &View<'_>, reason: Reason) {
        self.0.push(Action::Discard(reason));
    }
    fn event(&mut self, _event: Event) {}
}

/// An engine with its clock.
#[derive(Debug)]
pub struct Node {
    pub engine: Engine,
    pub now: Time,
}

impl Node {
    /// Returns an engine that has applied `view`.
    pub fn new(settings: Settings, view: &view::View) -> Self {
        let mut node = Self { engine: Engine::new(settings), now: Time::from_millis(1000) };
        node.apply(view);
        node
    }

    /// Applies a view and returns the actions.
    pub fn apply(&mut self, view: &view::View) -> Vec<Action> {
        let mut actions = Actions::default();
        self.engine.apply(self.now, view, &mut actions);
        actions.0
    }

    /// Handles a packet and returns the actions.
    pub fn packet(&mut self, source: Source, packet: &View<'_>) -> Vec<Action> {
        let mut actions = Actions::default();
        self.engine.packet(self.now, source, packet, &mut actions);
        actions.0
    }

    /// Handles a packet from the fabric and returns the actions.
    pub fn fabric(&mut self, packet: &View<'_>) -> Vec<Action> {
        self.packet(Source::Fabric, packet)
    }

    /// Advances the clock, with a tick at each deadline, and returns the actions.
    pub fn wait(&mut self, millis: u64) -> Vec<Action> {
        let end = Time::from_millis(self.now.as_millis() + millis);
        let mut actions = Actions::default();
        while self.engine.deadline() <= end {
            self.now = self.now.max(self.engine.deadline());
            self.engine.tick(self.now, &mut actions);
        }
        self.now = end;
        actions.0
    }

    /// Opens a flow, including the caller's first acknowledgement, and returns its target.
    pub fn open(&mut self, flow: Flow) -> Ipv4Addr {
        let actions = self.fabric(&syn(flow, 100));
        let [Action::Target(target, Kind::Opening, 100)] = actions[..] else {
            panic!("opening of {flow}: {actions:?}")
        };
        assert_eq!(self.fabric(&syn_ack(flow, target, 500, 101)), [Action::Caller(Kind::Accept)]);
        assert_eq!(self.fabric(&data(flow, 101, 501, 0)), [Action::Target(target, Kind::Data, 101)]);
        target
    }
}

/// Returns an opening.
pub fn syn(flow: Flow, sequence: u32) -> View<'static> {
    View { sequence, ..View::new(flow, Direction::FromCaller, Kind::Opening, &[]) }
}

/// Returns a SYN-ACK of a target.
pub fn syn_ack(flow: Flow, target: Ipv4Addr, sequence: u32, acknowledgement: u32) -> View<'static> {
    View { sequence, acknowledgement, ..View::new(flow, Direction::FromTarget(target), Kind::Accept, &[]) }
}

/// Returns a caller's segment with `payload` bytes.
pub fn data(flow: Flow, sequence: u32, acknowledgement: u32, payload: u32) -> View<'static> {
    let view = View::new(flow, Direction::FromCaller, Kind::Data, &[]);
    View { sequence, acknowledgement, payload, end: payload > 0, ..view }
}

/// Returns a target's segment with `payload` bytes.
pub fn answer(flow: Flow, target: Ipv4Addr, sequence: u32, acknowledgement: u32, payload: u32) -> View<'static> {
    let view = View::new(flow, Direction::FromTarget(target), Kind::Data, &[]);
    View { sequence, acknowledgement, payload, end: payload > 0, ..view }
}

/// Returns a reset of a target.
pub fn reset(flow: Flow, target: Ipv4Addr, acknowledgement: u32) -> View<'static> {
    View { acknowledgement, ..View::new(flow, Direction::FromTarget(target), Kind::Reset, &[]) }
}
