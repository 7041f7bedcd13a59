//! Idle flows, which no longer count as work.
//!
//! A long flow may pause between two requests for longer than the engine keeps its [`Entry`]. Here it takes a fraction
//! of the memory, and the engine can still end it when its host has ended. Otherwise the caller's next request would
//! wait in vain for its timeout.

use std::time::Duration;

use super::Basis;
use super::engine::Entry;
use super::host::Index;
use crate::map::{self, Map};
use crate::packet::Flow;
use crate::time::Time;

/// An idle flow.
#[derive(Debug, Clone, Copy)]
struct Idle {
    host: Index,
    /// The caller's last packet, which a reset of the flow is based on.
    basis: Basis,
}

/// Idle flows, each until its next packet passes through this balancer.
#[derive(Debug)]
pub(super) struct Table {
    flows: Map<Flow, Idle>,
}

impl Table {
    pub(super) fn new(seed: u64) -> Self {
        Self { flows: map::seeded(seed) }
    }

    pub(super) fn len(&self) -> usize {
        self.flows.len()
    }

    /// Adds a flow that has been without a packet for long. Ignores a flow without a request, which may not be
    /// established.
    pub(super) fn insert(&mut self, flow: Flow, entry: &Entry) {
        if entry.request.is_some() {
            self.flows.insert(flow, Idle { host: entry.host, basis: entry.basis() });
        }
    }

    pub(super) fn remove(&mut self, flow: &Flow) {
        self.flows.remove(flow);
    }

    /// Removes the flows that have been without a packet for `time`.
    pub(super) fn remove_older(&mut self, now: Time, time: Duration) {
        self.flows.retain(|_, idle| !now.reached(idle.basis.seen + time));
    }

    /// Returns the host of each flow.
    pub(super) fn hosts(&self) -> impl Iterator<Item = Index> {
        self.flows.values().map(|idle| idle.host)
    }

    /// Removes the flows at the hosts in `hosts`, which are sorted, and returns them with their hosts.
    pub(super) fn take(&mut self, hosts: &[Index]) -> impl Iterator<Item = (Index, Flow, Basis)> {
        let at_hosts = self.flows.extract_if(|_, idle| hosts.binary_search(&idle.host).is_ok());
        at_hosts.map(|(flow, idle)| (idle.host, flow, idle.basis))
    }
}
