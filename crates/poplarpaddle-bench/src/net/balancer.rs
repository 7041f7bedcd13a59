//! Balancers of the simulation: the load balancer's own engine, and stateless hashing as the baseline.

use std::fmt::Debug;
use std::net::Ipv4Addr;
use std::sync::Arc;

use poplarpaddle::admission::{self, Gate, Settings};
use poplarpaddle::event::Event;
use poplarpaddle::hedge;
use poplarpaddle::map;
use poplarpaddle::packet::{Direction, Flow, View};
use poplarpaddle::path::{self, Engine, Factory, Hop, MemberId, Outlet, Reason, Source};
use poplarpaddle::placement;
use poplarpaddle::time::Time;
use poplarpaddle::view::{self, Priority};

use super::packet::Packet;

/// Packet or reset that a balancer sends.
#[derive(Debug, Clone, Copy)]
pub enum Egress {
    /// Packet to a target.
    Target(Ipv4Addr, Packet),
    /// Packet to the caller.
    Caller(Packet),
    /// Packet to another balancer.
    Relay(MemberId, Hop, Packet),
    /// Refusal to the caller of this opening, which asserts that no request ran.
    Refuse(Packet),
    /// Reset to the caller of this packet, which leaves open whether a request ran.
    ResetCaller(Packet, Reason),
    /// Reset to a target, with this sequence number.
    ResetTarget(Ipv4Addr, Flow, u32),
}

/// A balancer under test.
pub trait Balancer: Debug {
    /// Handles a packet.
    fn packet(&mut self, now: Time, source: Source, packet: &Packet, egress: &mut Vec<Egress>);

    /// Applies a new view of the fleet.
    fn apply(&mut self, now: Time, view: &view::View, egress: &mut Vec<Egress>);

    /// Starts draining, before the balancer leaves the fleet.
    fn drain(&mut self, now: Time, egress: &mut Vec<Egress>);

    /// Handles the timeouts that are due at `now`.
    fn tick(&mut self, now: Time, egress: &mut Vec<Egress>);

    /// Returns the time of the next [`Balancer::tick`].
    fn deadline(&self) -> Time;

    /// Returns the number of hedged openings.
    fn hedges(&self) -> u64 {
        0
    }
}

/// Creates the load balancer's own gates.
#[derive(Debug)]
struct GateFactory;

impl Factory for GateFactory {
    fn gate(&self, _service: &str, _shard: u16, priorities: &[Priority]) -> Box<dyn Gate> {
        admission::gate(Settings { priorities: priorities.to_vec(), ..Default::default() })
    }
}

/// Returns the load balancer's own engine and gate.
#[must_use]
pub fn engine(me: MemberId, seed: u64, hedge_percent: u32) -> Box<dyn Balancer> {
    let hedge = hedge::Settings { percent: hedge_percent, ..Default::default() };
    Box::new(Engine::new(path::Settings { me, seed, hedge, gates: Arc::new(GateFactory), ..Default::default() }))
}

/// Returns the baseline, which hashes every packet over the usable targets.
#[must_use]
pub fn stateless() -> Box<dyn Balancer> {
    Box::new(Stateless { view: None })
}

/// Collects the output of an engine. Discarded packets and events are ignored.
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
    fn hedges(&self) -> u64 {
        self.counters().hedges
    }
}

/// Baseline without a flow table: each packet goes to the usable target that the hash of its flow selects.
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
        let usable: Vec<Ipv4Addr> = targets
            .iter()
            .filter(|target| placement::is_usable(&view.hosts, target))
            .map(|target| target.address)
            .collect();
        let count = u64::try_from(usable.len()).ok()?;
        let index = usize::try_from(map::hash(config.seed, flow).checked_rem(count)?).ok()?;
        usable.get(index).copied()
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
