//! Reassignment of flows after a change of ownership or configuration.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;

use super::account::{Shard, Shards};
use super::engine::record;
use super::hold::{Packet, Queue};
use super::{Engine, Outlet, Source};
use crate::admission::End;
use crate::flow::{Flag, Slot, Stage};
use crate::map;
use crate::ownership::{Location, Ownership};
use crate::packet::Flow;
use crate::time::Time;
use crate::view::{Config, ServiceIndex};

/// Configuration, ownership and shards from before a change.
struct Snapshot {
    config: Option<Arc<Config>>,
    ownership: Ownership,
    /// Keys of all shards before the change.
    keys: Vec<u64>,
    /// Shards from before the change, except those whose gates are kept.
    shards: Shards,
}

impl Snapshot {
    fn locate(&self, flow: &Flow, hash: u64) -> Option<Location> {
        let service = *self.config.as_ref()?.addresses.get(&flow.service)?;
        self.ownership.locate_in(service, hash)
    }
}

impl Engine {
    /// Reassigns shards and flows after a change of members, configuration or hosts.
    pub(super) fn reassign(&mut self, now: Time, config: Option<&Arc<Config>>, outlet: &mut dyn Outlet) {
        self.end_all_attempts(now);
        let mut before = Snapshot {
            config: self.config.clone(),
            ownership: self.ownership.clone(),
            keys: self.shards.0.keys().copied().collect(),
            shards: std::mem::take(&mut self.shards),
        };
        self.set_config(config);
        let members = self.members_for_ownership();
        self.ownership.set_members(&members);
        self.rebuild_shards(now, &mut before, outlet);
        let is_unchanged = before.shards.0.is_empty() && before.keys.len() == self.shards.0.len();
        // A changed number of shards moves flows even between shards that stay on this balancer.
        let is_unchanged = is_unchanged && self.ownership.has_same_layout(&before.ownership);
        if !is_unchanged {
            let displaced = self.move_flows(now, &mut before);
            self.record_lost_shards(now, &before, outlet);
            for held in displaced {
                self.packet(now, Source::Fabric, &held.view(), outlet);
            }
        }
    }

    fn set_config(&mut self, config: Option<&Arc<Config>>) {
        let Some(config) = config else { return };
        self.ownership.set_config(config);
        self.config = Some(Arc::clone(config));
        let mut hosts: map::Set<Ipv4Addr> = map::Set::with_hasher(map::state(config.seed));
        hosts.extend(config.services.iter().flat_map(|service| &service.targets).map(|target| target.address));
        self.last_received.retain(|host, _| hosts.contains(host));
    }

    /// Builds the shards that this balancer owns now. Shards that it owned before keep their gates, unless the priorities
    /// changed.
    fn rebuild_shards(&mut self, now: Time, before: &mut Snapshot, outlet: &mut dyn Outlet) {
        let Some(config) = self.config.clone() else { return };
        let same_priorities = before.config.as_ref().is_some_and(|old| old.priorities == config.priorities);
        let owned = self.ownership.owned_by(self.me);
        let owned: Vec<(ServiceIndex, u16, u64)> =
            owned.map(|(service, index, shard)| (service, index, shard.key)).collect();
        let mut shards = BTreeMap::new();
        for (service, index, key) in owned {
            let reused = if same_priorities { before.shards.0.remove(&key) } else { None };
            let is_new = reused.is_none() && !before.keys.contains(&key);
            let Some(shard) = self.reuse_or_make(now, reused, service, index) else { continue };
            shards.insert(key, shard);
            if is_new {
                let name = format!("{}/{index}", config.services[service.0 as usize].name);
                record(now, "shard.gained", name, String::new(), outlet);
            }
        }
        self.shards = Shards(shards);
        let shards = &self.shards.0;
        self.hedges.retain_policies(|key| shards.contains_key(&key));
    }

    fn reuse_or_make(&self, now: Time, reused: Option<Shard>, service: ServiceIndex, index: u16) -> Option<Shard> {
        let Some(mut shard) = reused else { return self.make_shard(now, service, index) };
        shard.service = service;
        shard.gate.set_hosts(now, &self.hosts_of(service, index));
        Some(shard)
    }

    fn record_lost_shards(&self, now: Time, before: &Snapshot, outlet: &mut dyn Outlet) {
        let lost = before.shards.0.keys().filter(|key| !self.shards.0.contains_key(*key)).count();
        if lost > 0 {
            record(now, "shard.lost", self.me.to_string(), format!("{lost} shards"), outlet);
        }
    }

    /// Moves every flow to the gate of its shard. Returns the held packets that have to be handled again.
    fn move_flows(&mut self, now: Time, before: &mut Snapshot) -> Vec<Packet> {
        let mut displaced = Vec::new();
        let same_hash = self.ownership.has_same_hash(&before.ownership);
        for slot in (0..self.table.slots()).map(Slot) {
            let Some(entry) = self.table.get(slot) else { continue };
            let flow = entry.flow;
            let new = self.locate(&flow).ok();
            let hash = new.filter(|_| same_hash).map_or_else(|| before.ownership.hash(&flow), |location| location.hash);
            let old = before.locate(&flow, hash).filter(|location| before.keys.contains(&location.key));
            let new = new.filter(|location| self.shards.0.contains_key(&location.key));
            match (old, new) {
                (Some(old), Some(new)) if old.key == new.key && !before.shards.0.contains_key(&old.key) => {}
                (Some(old), Some(new)) => self.move_flow(now, before, slot, old.key, &new, &mut displaced),
                (Some(old), None) => self.mark_flow_lost(now, before, slot, old.key, &mut displaced),
                // This balancer gained the shard, and another owner may have replaced the entry in the meantime.
                (None, Some(_)) => drop(self.table.remove(slot)),
                (None, None) => {}
            }
        }
        displaced
    }

    /// Moves a flow from the gate of its old shard to that of its new one. Packets that wait in the old gate are handled
    /// again; for that, a queued flow is removed.
    fn move_flow(
        &mut self,
        now: Time,
        before: &mut Snapshot,
        slot: Slot,
        old_key: u64,
        new: &Location,
        displaced: &mut Vec<Packet>,
    ) {
        let Some(entry) = self.table.get(slot).copied() else { return };
        self.release_from_gate(now, before, slot, old_key);
        if entry.stage != Stage::Pending && entry.stage != Stage::Probing {
            displaced.extend(self.remove_held(before, slot, old_key));
        }
        if entry.stage == Stage::Queued {
            self.table.remove(slot);
            return;
        }
        let (Some(shard), Some(current)) = (self.shards.get_mut(new.key), self.table.get_mut(slot)) else { return };
        if entry.has(Flag::Connected) {
            shard.connect(current);
        }
        if entry.has(Flag::Working) {
            shard.adopt(now, current);
        }
    }

    /// Releases a flow whose shard this balancer lost. The entry of a bound flow stays for relayed packets.
    fn mark_flow_lost(
        &mut self,
        now: Time,
        before: &mut Snapshot,
        slot: Slot,
        old_key: u64,
        displaced: &mut Vec<Packet>,
    ) {
        let Some(stage) = self.table.get(slot).map(|entry| entry.stage) else { return };
        self.release_from_gate(now, before, slot, old_key);
        let held = self.remove_held(before, slot, old_key);
        // A pending opening was already sent to its target; the new owner learns the target from the SYN-ACK.
        if stage != Stage::Pending {
            displaced.extend(held);
        }
        if !stage.is_bound() {
            self.table.remove(slot);
        } else if let Some(entry) = self.table.get_mut(slot) {
            entry.set(Flag::Lost);
        }
    }

    /// Ends the work and the connection of a flow in the gate of its old shard.
    fn release_from_gate(&mut self, now: Time, before: &mut Snapshot, slot: Slot, old_key: u64) {
        let Some(entry) = self.table.get_mut(slot) else { return };
        let shard = before.shards.get_mut(old_key).or(self.shards.0.get_mut(&old_key));
        if let Some(shard) = shard {
            shard.finish(now, entry, End::Closed);
            shard.disconnect(entry);
        }
    }

    fn remove_held(&mut self, before: &mut Snapshot, slot: Slot, old_key: u64) -> Vec<Packet> {
        let Some(Queue { packets, ticket, .. }) = self.hold_buffer.remove(slot) else { return Vec::new() };
        if let Some(entry) = self.table.get_mut(slot) {
            entry.clear(Flag::Held);
        }
        let shard = before.shards.get_mut(old_key).or(self.shards.0.get_mut(&old_key));
        if let (Some(shard), Some(ticket)) = (shard, ticket) {
            shard.cancel(ticket);
        }
        packets.into()
    }
}
