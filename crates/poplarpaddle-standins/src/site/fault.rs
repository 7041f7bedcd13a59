//! Faults of a run: what happens to the store and the hosts, and when it ends.

use std::time::Instant;

use super::plan::{Fault, FaultKind};
use super::router;
use super::run::{Server, Site};
use super::store::Behavior;

/// Prefix of the kinds of objects that the system under test creates in the store.
const OWN_KINDS: &str = "poplarpaddle";

impl Site {
    /// Starts the faults whose time has come and ends the active ones whose duration has passed.
    pub(super) fn apply_faults(
        &mut self,
        now: Instant,
        start: Instant,
        faults: &mut Vec<Fault>,
        active: &mut Vec<(Instant, FaultKind, usize)>,
    ) {
        for fault in faults.extract_if(.., |fault| now >= start + fault.at) {
            let index = self.pick_host();
            match fault.kind {
                FaultKind::Store(behavior) => self.store.set_behavior(behavior),
                FaultKind::Compact => self.store.compact(),
                FaultKind::Copy => self.store.copy(),
                FaultKind::Restore => self.store.set_behavior(Behavior::Unavailable),
                FaultKind::Crash => {
                    self.hosts[index].host.crash();
                    self.acceptors[index].abort();
                }
                FaultKind::Drain => {
                    self.hosts[index].draining = Some(now);
                    self.write_registration(index, "draining");
                }
                FaultKind::Configure => self.write_config(),
            }
            active.push((now + fault.duration, fault.kind, index));
        }
        for (_, kind, index) in active.extract_if(.., |(at, ..)| now >= *at) {
            match kind {
                FaultKind::Store(_) => self.store.set_behavior(Behavior::Normal),
                FaultKind::Crash | FaultKind::Drain => {
                    self.store.remove("servers", &self.hosts[index].name);
                    self.hosts[index].host.alive = false;
                    self.acceptors[index].abort();
                }
                FaultKind::Restore => {
                    self.store.set_behavior(Behavior::Normal);
                    self.store.restore(OWN_KINDS);
                }
                FaultKind::Compact | FaultKind::Copy | FaultKind::Configure => {}
            }
        }
    }

    fn pick_host(&mut self) -> usize {
        let is_candidate = |server: &Server| server.service == 0 && server.host.alive && server.draining.is_none();
        let candidates: Vec<usize> = (0..self.hosts.len()).filter(|index| is_candidate(&self.hosts[*index])).collect();
        router::pick(&mut self.rng, &candidates).unwrap_or_default()
    }
}
