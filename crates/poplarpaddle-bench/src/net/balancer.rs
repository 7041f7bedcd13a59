//! Balancers as the replay drives them: the engine of the design, and plain hashing.

use std::fmt::Debug;
use std::net::Ipv4Addr;
use std::sync::Arc;

use poplarpaddle::admission::{self, Gate, Settings};
use poplarpaddle::event::Event;
use poplarpaddle::map;
use poplarpaddle::packet::{Direction, Flow, View};
use poplarpaddle::path::{self, Engine, Factory, Hop, MemberId, Outlet, Reason, Source};
use poplarpaddle::placement;
use poplarpaddle::time::Time;
use poplarpaddle::view::{self, Priority};

use super::packet::Packet;

/// What a balancer sends.
#[derive(Debug, Clone, Copy)]
pub enum Egress {
    /// To a target.
    Target(Ipv4Addr, Packet),
    /// To the caller.
    Caller(Packet),
    /// To another balancer.
    Relay(MemberId, Hop, Packet),
    /// To the caller of this opening: refused, nothing ran.
    Refuse(Packet),
    /// To the caller of this packet: a reset, which says nothing about whether a request ran.
    ResetCaller(Packet, Reason),
    /// To a target: a reset with this sequence number.
    ResetTarget(Ipv4Addr, Flow, u32),
}

/// One balancer.
pub trait Balancer: Debug {
    /// Handles a packet.
    fn packet(&mut self, now: Time, source: Source, packet: &Packet, egress: &mut Vec<Egress>);

    /// Takes over a view.
    fn apply(&mut self, now: Time, view: &view::View, egress: &mut Vec<Egress>);

    /// Begins to leave.
    fn drain(&mut self, now: Time, egress: &mut Vec<Egress>);

    /// Does what is due.
    fn tick(&mut self, now: Time, egress: &mut Vec<Egress>);

    /// Returns when [`Balancer::tick`] is due.
    fn deadline(&self) -> Time;
}

/// Makes gates of the design.
#[derive(Debug)]
struct GateFactory;

impl Factory for GateFactory {
    fn gate(&self, _service: &str, _shard: u16, priorities: &[Priority]) -> Box<dyn Gate> {
        admission::gate(Settings { priorities: priorities.to_vec(), ..Default::default() })
    }
}

/// Returns an engine of the design with its gate.
#[must_use]
pub fn engine(me: MemberId, seed: u64) -> Box<dyn Balancer> {
    Box::new(Engine::new(path::Settings { me, seed, gates: Arc::new(GateFactory), ..Default::default() }))
}

/// Returns a balancer that hashes every packet over the live targets.
#[must_use]
pub fn stateless() -> Box<dyn Balancer> {
    Box::new(Stateless { view: None })
}

struct Sink<'a>(&'a mut Vec<Egress>);

impl Outlet for Sink<'_> {
    fn to_target(&mut self, target: Ipv4Addr, packet: &View<'_>) {
        self.0.push(Egress::Target(target, Packet::from_view(packet)));
    }
    fn to_caller(&mut self, packet: &View<'_>) {
        self.0.push(Egress::Caller(Packet::from_view(packet)));
    }
    fn relay(&mut self, member: MemberId, hop: Hop, packet: &View<'_>) {
        self.0.push(Egress::Relay(member, hop, Packet::from_view(packet)));
    }
    fn refuse(&mut self, packet: &View<'_>, _reason: Reason) {
        self.0.push(Egress::Refuse(Packet::from_view(packet)));
    }
    fn reset_caller(&mut self, packet: &View<'_>, reason: Reason) {
        self.0.push(Egress::ResetCaller(Packet::from_view(packet), reason));
    }
    fn reset_target(&mut self, target: Ipv4Addr, flow: &Flow, sequence: u32) {
        self.0.push(Egress::ResetTarget(target, *flow, sequence));
    }
    fn discard(&mut self, _packet: &View<'_>, _reason: Reason) {}
    fn event(&mut self, _event: Event) {}
}

impl Balancer for Engine {
    fn packet(&mut self, now: Time, source: Source, packet: &Packet, egress: &mut Vec<Egress>) {
        packet.with_view(|view| self.packet(now, source, view, &mut Sink(egress)));
    }
    fn apply(&mut self, now: Time, view: &view::View, egress: &mut Vec<Egress>) {
        self.apply(now, view, &mut Sink(egress));
    }
    fn drain(&mut self, now: Time, egress: &mut Vec<Egress>) {
        self.drain(now, &mut Sink(egress));
    }
    fn tick(&mut self, now: Time, egress: &mut Vec<Egress>) {
        self.tick(now, &mut Sink(egress));
    }
    fn deadline(&self) -> Time {
        self.deadline()
    }
}

/// Baseline without flow table: each packet goes to the target that the hash selects among the live ones.
#[derive(Debug)]
struct Stateless {
    view: Option<view::View>,
}

impl Stateless {
    fn target(&self, flow: &Flow) -> Option<Ipv4Addr> {
        let view = self.view.as_ref()?;
        let config = view.config.as_ref()?;
        let index = *config.addresses.get(&flow.service)?;
        let targets = &config.services[index.0 as usize].targets;
        let live: Vec<Ipv4Addr> = targets
            .iter()
            .filter(|target| placement::is_usable(&view.hosts, target))
            .map(|target| target.address)
            .collect();
        let count = u64::try_from(live.len()).ok()?;
        let index = usize::try_from(map::hash(config.seed, flow).checked_rem(count)?).ok()?;
        live.get(index).copied()
    }
}

impl Balancer for Stateless {
    fn packet(&mut self, _now: Time, _source: Source, packet: &Packet, egress: &mut Vec<Egress>) {
        match packet.direction {
            Direction::FromTarget(_) => egress.push(Egress::Caller(*packet)),
            Direction::FromCaller => {
                egress.extend(self.target(&packet.flow).map(|target| Egress::Target(target, *packet)));
            }
        }
    }
    fn apply(&mut self, _now: Time, view: &view::View, _egress: &mut Vec<Egress>) {
        self.view = Some(view.clone());
    }
    fn drain(&mut self, _now: Time, _egress: &mut Vec<Egress>) {}
    fn tick(&mut self, _now: Time, _egress: &mut Vec<Egress>) {}
    fn deadline(&self) -> Time {
        Time::NEVER
    }
}
