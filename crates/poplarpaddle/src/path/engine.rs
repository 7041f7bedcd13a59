//! The engine: routes each packet to the balancer that handles it and drives timers and view changes.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use super::account::Shards;
use super::hedging::Hedges;
use super::hold::Buffer;
use super::reserve::Reservations;
use super::settings::{Counters, Factory, Settings, Timings};
use super::sweep::Sweep;
use super::{Hop, MemberId, Outlet, Reason, Source};
use crate::event::Event;
use crate::flow::{Flag, Slot, Table};
use crate::map::{self, Map};
use crate::ownership::{Location, Ownership};
use crate::packet::{Direction, Flow, Kind, View};
use crate::placement;
use crate::recovery;
use crate::time::Time;
use crate::view::{self, Config, Host, HostState, Presence};

/// Lower limit of the reply timeouts. With a timeout of zero, one tick would set the same deadline again without end.
const MIN_REPLY_TIMEOUT: Duration = Duration::from_millis(1);

/// Decides about each packet of one balancer.
#[derive(Debug)]
pub struct Engine {
    pub(super) timings: Timings,
    pub(super) gates: Arc<dyn Factory>,
    pub(super) me: MemberId,
    pub(super) leaving: bool,
    pub(super) config: Option<Arc<Config>>,
    pub(super) members: Arc<[view::Member]>,
    pub(super) hosts: Arc<Map<Ipv4Addr, Host>>,
    pub(super) ownership: Ownership,
    pub(super) table: Table,
    pub(super) hold_buffer: Buffer,
    pub(super) shards: Shards,
    /// Time of the last packet from each host.
    pub(super) last_received: Map<Ipv4Addr, Time>,
    /// Time until which another balancer is assumed to serve flows of this one too, as on the two sides of a partition.
    pub(super) shared_until: Time,
    /// Time since which each host has answered its health checks without interruption.
    pub(super) answering_since: Map<Ipv4Addr, Time>,
    pub(super) sweep: Sweep,
    pub(super) reservations: Reservations,
    pub(super) hedges: Hedges,
    /// Time of the last change of the set of members. Answers to work that started before may have gone to another owner.
    pub(super) members_changed_at: Time,
    pub(super) counters: Counters,
}

impl Engine {
    /// Returns an engine without configuration and flows.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let Settings { me, seed, bounds, mut timings, gates, hedge } = settings;
        timings.opening_timeout = timings.opening_timeout.max(MIN_REPLY_TIMEOUT);
        timings.probe_timeout = timings.probe_timeout.max(MIN_REPLY_TIMEOUT);
        Self {
            timings,
            gates,
            me,
            leaving: false,
            config: None,
            members: Arc::new([]),
            hosts: Arc::new(map::seeded(seed)),
            ownership: Ownership::default(),
            table: Table::new(seed, bounds.flows),
            hold_buffer: Buffer::new(seed, bounds.held_bytes, bounds.held_packets),
            shards: Shards::default(),
            last_received: map::seeded(seed),
            answering_since: map::seeded(seed),
            shared_until: Time::default(),
            sweep: Sweep::default(),
            reservations: Reservations::default(),
            hedges: Hedges::new(hedge, seed),
            members_changed_at: Time::default(),
            counters: Counters::default(),
        }
    }

    /// Handles or relays one packet.
    pub fn packet(&mut self, now: Time, source: Source, packet: &View<'_>, outlet: &mut dyn Outlet) {
        let location = match self.locate(&packet.flow) {
            Ok(location) => location,
            Err(reason) => return self.discard(packet, reason, outlet),
        };
        let hop = match source {
            Source::Peer(sender, Hop::Previous) => return self.serve_relayed(now, sender, &location, packet, outlet),
            Source::Fabric => Some(Hop::Owner),
            Source::Peer(_, Hop::Owner) => Some(Hop::Redirect),
            Source::Peer(_, Hop::Redirect | Hop::Unknown) => None,
        };
        match (hop, location.owner) {
            (Some(_), None) => self.discard(packet, Reason::NoOwner, outlet),
            (Some(hop), Some(owner)) if owner != self.me => self.relay(owner, hop, packet, outlet),
            _ => self.handle(now, source, &location, packet, outlet),
        }
    }

    /// Runs all timers that are due at `now`.
    pub fn tick(&mut self, now: Time, outlet: &mut dyn Outlet) {
        while let Some(slot) = self.hold_buffer.pop_due(now) {
            self.handle_hold_timeout(now, slot, outlet);
        }
        self.run_hedges(now, outlet);
        self.sweep(now, outlet);
        self.expire_reservations(now);
        self.start_all_waiting(now, outlet);
    }

    /// Returns the time at which [`Self::tick`] must be called next.
    #[must_use]
    pub fn deadline(&self) -> Time {
        let sweep = if self.table.is_empty() { Time::NEVER } else { self.sweep.deadline() };
        let reservations = self.reservations.deadline(self.timings.first_payload_timeout);
        let timers = self.hold_buffer.deadline().min(self.hedges.deadline());
        timers.min(sweep).min(reservations).min(self.shards.deadline())
    }

    /// Applies a new view of the fleet and rebuilds the shards to match it. Entries of bound flows stay, except those of
    /// shards that this balancer gains, since another owner may have replaced them.
    pub fn apply(&mut self, now: Time, view: &view::View, outlet: &mut dyn Outlet) {
        let is_same = self.me == view.me && self.members == view.members && self.is_same_config(view.config.as_ref());
        self.me = view.me;
        if !self.members.iter().map(|member| member.id).eq(view.members.iter().map(|member| member.id)) {
            self.members_changed_at = now;
        }
        self.members = Arc::clone(&view.members);
        self.hosts = Arc::clone(&view.hosts);
        self.update_answering_hosts(now);
        if is_same {
            self.refresh_hosts(now);
        } else {
            self.reassign(now, view.config.as_ref(), outlet);
        }
        self.start_all_waiting(now, outlet);
    }

    /// Hands all shards over and relays their held packets to the new owners. Packets of known flows are still forwarded.
    pub fn drain(&mut self, now: Time, outlet: &mut dyn Outlet) {
        self.leaving = true;
        let config = self.config.clone();
        self.reassign(now, config.as_ref(), outlet);
    }

    /// Returns the counters and the current sizes.
    #[must_use]
    pub fn counters(&self) -> Counters {
        Counters {
            flows: self.table.len(),
            held: self.hold_buffer.packets(),
            held_bytes: self.hold_buffer.bytes(),
            table_bytes: self.table.bytes(),
            ..self.counters
        }
    }

    /// Returns the target of `flow` if this engine has a bound entry for it.
    #[must_use]
    pub fn target(&self, flow: &Flow) -> Option<Ipv4Addr> {
        let entry = self.table.get(self.table.find(flow)?)?;
        entry.stage.is_bound().then_some(entry.target)
    }

    /// Updates `answering_since` from the states of the hosts.
    fn update_answering_hosts(&mut self, now: Time) {
        let answers = |state| matches!(state, HostState::Serving | HostState::Cold | HostState::Draining);
        let hosts = &self.hosts;
        self.answering_since.retain(|address, _| hosts.get(address).is_some_and(|host| answers(host.state)));
        for (address, _) in self.hosts.iter().filter(|(_, host)| answers(host.state)) {
            self.answering_since.entry(*address).or_insert(now);
        }
    }

    /// Returns true when `config` is in force already. A view without a configuration keeps the one in force.
    fn is_same_config(&self, config: Option<&Arc<Config>>) -> bool {
        match (&self.config, config) {
            (Some(current), Some(offered)) => Arc::ptr_eq(current, offered),
            (current, None) => current.is_some(),
            (None, Some(_)) => false,
        }
    }

    pub(super) fn locate(&self, flow: &Flow) -> Result<Location, Reason> {
        let config = self.config.as_ref().ok_or(Reason::NoConfiguration)?;
        self.ownership.locate(config, flow).ok_or(Reason::UnknownService)
    }

    pub(super) fn is_allowed(&self, location: &Location, target: Ipv4Addr, flow: &Flow) -> bool {
        let Some(config) = &self.config else { return false };
        placement::is_allowed(config, &self.hosts, location.service, target, flow.service.port())
    }

    /// Returns the members to compute the ownership from. This balancer counts as leaving once it drains.
    pub(super) fn members_for_ownership(&self) -> Vec<view::Member> {
        let mut members = self.members.to_vec();
        for member in members.iter_mut().filter(|member| self.leaving && member.id == self.me) {
            member.presence = Presence::Leaving;
        }
        members
    }

    fn handle(&mut self, now: Time, source: Source, location: &Location, packet: &View<'_>, outlet: &mut dyn Outlet) {
        match packet.direction {
            Direction::FromCaller => self.caller_packet(now, source, location, packet, outlet),
            Direction::FromTarget(target) => self.target_packet(now, location, target, packet, outlet),
        }
        if self.shards.take_capacity_freed(location.key) {
            self.start_waiting(now, location.key, outlet);
        }
    }

    /// Forwards a packet that the new owner of its shard relayed here, or sends it back as [`Hop::Unknown`].
    fn serve_relayed(
        &mut self,
        now: Time,
        sender: MemberId,
        location: &Location,
        packet: &View<'_>,
        outlet: &mut dyn Outlet,
    ) {
        if packet.direction != Direction::FromCaller {
            return self.discard(packet, Reason::HopLimit, outlet);
        }
        match self.find_bound_flow(location, packet) {
            Some(slot) if packet.kind != Kind::Opening => self.forward(now, location, slot, packet, outlet),
            _ => self.relay(sender, Hop::Unknown, packet, outlet),
        }
    }

    /// Returns the slot of the bound flow that the packet belongs to, if none of its packets are held.
    fn find_bound_flow(&self, location: &Location, packet: &View<'_>) -> Option<Slot> {
        let slot = self.table.find(&packet.flow)?;
        let entry = self.table.get(slot)?;
        let is_bound = entry.stage.is_bound() && !entry.has(Flag::Held);
        let is_same =
            recovery::belongs_to_entry(entry, packet) && self.is_allowed(location, entry.target, &packet.flow);
        (is_bound && is_same).then_some(slot)
    }

    pub(super) fn relay(&mut self, member: MemberId, hop: Hop, packet: &View<'_>, outlet: &mut dyn Outlet) {
        self.counters.relayed += 1;
        outlet.relay(member, hop, packet);
    }

    pub(super) fn discard(&mut self, packet: &View<'_>, reason: Reason, outlet: &mut dyn Outlet) {
        self.counters.reasons[reason as usize] += 1;
        outlet.discard(packet, reason);
    }

    /// Refuses an opening if this balancer owns its shard, and drops it otherwise: a balancer that is not the owner cannot
    /// know whether the flow was opened elsewhere.
    pub(super) fn refuse_opening(
        &mut self,
        location: &Location,
        packet: &View<'_>,
        reason: Reason,
        outlet: &mut dyn Outlet,
    ) {
        if location.owner != Some(self.me) {
            return self.discard(packet, reason, outlet);
        }
        self.counters.reasons[reason as usize] += 1;
        outlet.refuse(packet, reason);
    }

    pub(super) fn reset_caller(&mut self, packet: &View<'_>, reason: Reason, outlet: &mut dyn Outlet) {
        self.counters.reasons[reason as usize] += 1;
        outlet.reset_caller(packet, reason);
    }

    pub(super) fn send_target(&mut self, target: Ipv4Addr, packet: &View<'_>, outlet: &mut dyn Outlet) {
        self.counters.to_target += 1;
        outlet.to_target(target, packet);
    }

    pub(super) fn send_caller(&mut self, packet: &View<'_>, outlet: &mut dyn Outlet) {
        self.counters.to_caller += 1;
        outlet.to_caller(packet);
    }
}

/// Records an event of the data path.
pub(super) fn record(now: Time, name: &str, subject: String, detail: String, outlet: &mut dyn Outlet) {
    outlet.event(Event { time: now, name: name.to_owned(), subject, detail });
}
