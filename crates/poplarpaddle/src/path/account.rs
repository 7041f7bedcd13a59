//! Accounting of running work and open connections with the gates.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use super::Engine;
use crate::admission::{End, Gate, Host, TicketId};
use crate::flow::{Entry, Flag, Slot};
use crate::map::{self, Map};
use crate::ownership::Location;
use crate::packet::{Flow, View};
use crate::placement;
use crate::time::Time;
use crate::view::{self, Config, HostState, ServiceIndex};

/// A shard that this balancer handles, with its gate.
#[derive(Debug)]
pub(super) struct Shard {
    pub(super) gate: Box<dyn Gate>,
    /// Flows by their tickets that wait in the gate.
    pub(super) tickets: Map<TicketId, Slot>,
    /// Index of the service in the configuration in force.
    pub(super) service: ServiceIndex,
    /// Index of the shard in its service.
    index: u16,
    /// Work finished since the gate was last asked for waiting tickets, so that some may start now.
    capacity_freed: bool,
}

impl Shard {
    pub(super) fn new(gate: Box<dyn Gate>, service: ServiceIndex, index: u16) -> Self {
        Self { gate, tickets: map::seeded(0), service, index, capacity_freed: false }
    }

    pub(super) fn finish(&mut self, now: Time, entry: &mut Entry, end: End) {
        if entry.has(Flag::Working) {
            entry.clear(Flag::Working);
            entry.clear(Flag::Adopted);
            self.gate.finish(now, entry.target, usize::from(entry.priority), end);
            self.capacity_freed = true;
        }
    }

    /// Ends the work of a second attempt, which has no entry of its own.
    pub(super) fn finish_attempt(&mut self, now: Time, target: Ipv4Addr, priority: usize, end: End) {
        self.gate.finish(now, target, priority, end);
        self.capacity_freed = true;
    }

    pub(super) fn connect(&mut self, entry: &mut Entry) {
        if !entry.has(Flag::Connected) {
            entry.set(Flag::Connected);
            self.gate.connect(entry.target);
        }
    }

    pub(super) fn disconnect(&mut self, entry: &mut Entry) {
        if entry.has(Flag::Connected) {
            entry.clear(Flag::Connected);
            self.gate.disconnect(entry.target);
        }
    }

    /// Accounts for running work that this gate did not start.
    pub(super) fn adopt(&mut self, now: Time, entry: &mut Entry) {
        if !entry.has(Flag::Working) {
            entry.set(Flag::Working);
            entry.set(Flag::Adopted);
            entry.started = now;
            self.gate.adopt(now, entry.target);
        }
    }

    pub(super) fn cancel(&mut self, ticket: TicketId) {
        if self.tickets.remove(&ticket).is_some() {
            self.gate.cancel(ticket);
        }
    }
}

/// Shards that this balancer handles, by key. The map is ordered so that every iteration over it is deterministic.
#[derive(Debug, Default)]
pub(super) struct Shards(pub(super) BTreeMap<u64, Shard>);

impl Shards {
    pub(super) fn get_mut(&mut self, key: u64) -> Option<&mut Shard> {
        self.0.get_mut(&key)
    }

    pub(super) fn deadline(&self) -> Time {
        self.0.values().map(|shard| shard.gate.deadline()).min().unwrap_or(Time::NEVER)
    }

    /// Returns whether work of the shard finished since the last call.
    pub(super) fn take_capacity_freed(&mut self, key: u64) -> bool {
        self.0.get_mut(&key).is_some_and(|shard| std::mem::take(&mut shard.capacity_freed))
    }
}

impl Engine {
    /// Returns the shard at `location`. Creates it with a new gate when this balancer handles packets of a shard that it
    /// does not own.
    pub(super) fn shard(&mut self, now: Time, location: &Location) -> Option<&mut Shard> {
        if !self.shards.0.contains_key(&location.key) {
            let shard = self.make_shard(now, location.service, location.shard)?;
            self.shards.0.insert(location.key, shard);
        }
        self.shards.get_mut(location.key)
    }

    /// Passes the current state of the hosts to all gates.
    pub(super) fn refresh_hosts(&mut self, now: Time) {
        let mut shards = std::mem::take(&mut self.shards);
        for shard in shards.0.values_mut() {
            let hosts = self.hosts_of(shard.service, shard.index);
            shard.gate.set_hosts(now, &hosts);
        }
        self.shards = shards;
    }

    /// Returns a new shard with a new gate.
    pub(super) fn make_shard(&self, now: Time, service: ServiceIndex, index: u16) -> Option<Shard> {
        let config = self.config.as_ref()?;
        let name = &config.services.get(service.0 as usize)?.name;
        let mut shard = Shard::new(self.gates.gate(name, index, &config.priorities), service, index);
        shard.gate.set_hosts(now, &self.hosts_of(service, index));
        Some(shard)
    }

    /// Returns the hosts of a shard with their states, for its gate.
    pub(super) fn hosts_of(&self, service: ServiceIndex, index: u16) -> Vec<Host> {
        let Some(config) = &self.config else { return Vec::new() };
        let Some(service) = config.services.get(service.0 as usize) else { return Vec::new() };
        let mut hosts: Vec<Host> = placement::shard_targets(service, index).map(|target| self.host(target)).collect();
        if hosts.iter().all(|host| !host.state.takes_new_flows()) {
            // New flows may then go to any target of the service, see `placement::usable_hosts`.
            hosts = service.targets.iter().filter(|target| !target.released).map(|target| self.host(target)).collect();
        }
        hosts
    }

    fn host(&self, target: &view::Target) -> Host {
        let report = self.hosts.get(&target.address).copied().unwrap_or_default();
        let is_draining = target.draining && report.state.takes_new_flows();
        Host {
            address: target.address,
            slots: target.slots,
            connections: target.connections,
            state: if is_draining { HostState::Draining } else { report.state },
            busy: report.busy,
        }
    }

    /// Ends the running work of a flow, if any.
    pub(super) fn finish(&mut self, now: Time, key: u64, slot: Slot, end: End) {
        let Some(entry) = self.table.get_mut(slot) else { return };
        match self.shards.get_mut(key) {
            Some(shard) => shard.finish(now, entry, end),
            None => entry.clear(Flag::Working),
        }
    }

    /// Counts a flow as an open connection of its host.
    pub(super) fn connect(&mut self, key: u64, slot: Slot) {
        if let (Some(shard), Some(entry)) = (self.shards.get_mut(key), self.table.get_mut(slot)) {
            shard.connect(entry);
        }
    }

    /// Ends the work and the connection of a flow in its gate and drops its held packets.
    pub(super) fn release(&mut self, now: Time, key: u64, slot: Slot) {
        if let Some(flow) = self.table.get(slot).map(|entry| entry.flow) {
            self.cancel_hedge(now, &flow);
        }
        self.finish(now, key, slot, End::Closed);
        self.drop_held(key, slot);
        if let (Some(shard), Some(entry)) = (self.shards.get_mut(key), self.table.get_mut(slot)) {
            shard.disconnect(entry);
        }
    }

    /// Removes a flow, its held packets and its accounting.
    pub(super) fn remove(&mut self, now: Time, key: u64, slot: Slot) {
        self.release(now, key, slot);
        self.table.remove(slot);
    }

    /// Drops the held packets of a flow and cancels its waiting ticket.
    pub(super) fn drop_held(&mut self, key: u64, slot: Slot) {
        let Some(queue) = self.hold_buffer.remove(slot) else { return };
        if let Some(entry) = self.table.get_mut(slot) {
            entry.clear(Flag::Held);
        }
        if let (Some(ticket), Some(shard)) = (queue.ticket, self.shards.get_mut(key)) {
            shard.cancel(ticket);
        }
    }

    /// Returns the index of the priority of the work that a packet starts: the priority that its request names, or else
    /// that of the service port.
    pub(super) fn priority(&self, location: &Location, packet: &View<'_>) -> usize {
        let Some(config) = &self.config else { return 0 };
        let rank = packet.request.and_then(|request| request.rank);
        rank.and_then(|rank| priority_by_rank(config, rank))
            .unwrap_or_else(|| priority_by_port(config, location, &packet.flow))
    }

    /// Returns the latest time at which the work of a packet may start.
    pub(super) fn start_deadline(&self, now: Time, priority: usize, packet: &View<'_>) -> Time {
        let wait = self.config.as_ref().and_then(|config| config.priorities.get(priority));
        let wait = wait.map_or(std::time::Duration::ZERO, |priority| {
            std::time::Duration::from_millis(u64::from(priority.queue_ms))
        });
        let deadline = packet.request.map_or(Time::NEVER, |request| request.deadline);
        deadline.min(now + wait)
    }

    /// Returns the hosts for a new flow. Leaves out `failed` if there is another host.
    pub(super) fn candidates(
        &self,
        location: &Location,
        flow: &Flow,
        failed: Option<Ipv4Addr>,
    ) -> placement::Candidates {
        let Some(config) = &self.config else { return placement::Candidates::new() };
        let mut hosts = placement::usable_hosts(config, &self.hosts, location, flow.service.port());
        if hosts.len() > 1 {
            hosts.retain(|host| Some(*host) != failed);
        }
        hosts
    }
}

fn priority_by_rank(config: &Config, rank: u8) -> Option<usize> {
    config.priorities.iter().position(|priority| priority.rank == rank)
}

fn priority_by_port(config: &Config, location: &Location, flow: &Flow) -> usize {
    let ports = &config.services[location.service.0 as usize].ports;
    ports.iter().find(|port| port.port == flow.service.port()).map_or(0, |port| port.priority)
}
