//! The status of the zone in the store.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{PeriodicCall, Purpose};
use crate::control::Node;
use crate::membership::millis;
use crate::store::{Call, Outcome};
use crate::time::Time;
use crate::wire::State;

/// Kind of status objects in the store.
const KIND: &str = "status";

/// Time from a new generation to the next write, so that the members of the zone have it in force by then.
const GENERATION_DELAY_MS: u64 = 2000;

/// A member in the status of a zone.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Member {
    id: String,
    name: String,
    state: State,
    /// Generation in force when it was last heard of directly.
    generation: u64,
}

/// Value of `status/<zone>`.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Status {
    zone: String,
    /// Id of the holder that wrote it.
    writer: String,
    /// Epoch of each lease at its last writer. A holder with a lower one is stale and must not write.
    epochs: BTreeMap<String, u64>,
    /// Clock of the writer, in milliseconds since the Unix epoch.
    time_ms: u64,
    generation: u64,
    members: Vec<Member>,
}

/// State of the writing of the status.
#[derive(Debug, Default)]
pub(in crate::control) struct Reporter {
    pub(super) schedule: PeriodicCall,
    /// Version at the last read.
    last_version: u64,
}

impl Reporter {
    /// Writes soon after a new generation, so that an operator need not wait for the period to see it in force.
    pub(in crate::control) fn expedite(&mut self, now: Time) {
        self.schedule.next = self.schedule.next.min(now + millis(GENERATION_DELAY_MS));
    }
}

impl Node {
    pub(super) fn read_status(&mut self, now: Time) {
        self.store.reporter.schedule.start(now);
        let call = Call::Get { kind: KIND.to_owned(), name: self.settings.zone.clone() };
        self.call(now, Purpose::ReadStatus, self.settings.call_ms, call);
    }

    /// Writes the status on the condition of the version that was read. A holder that was paused since then finds
    /// either its lease lapsed or the version changed.
    pub(super) fn on_status_read(&mut self, now: Time, outcome: &Outcome) {
        let started = self.store.reporter.schedule.started;
        self.store.reporter.schedule.end((started + millis(self.settings.status_ms)).max(now));
        let (Outcome::Object(object), Some((n, epoch))) = (outcome, self.store.holds(now)) else { return };
        let version = object.as_ref().map_or(0, |object| object.version);
        let old = object.as_ref().and_then(|object| serde_json::from_value::<Status>(object.value.clone()).ok());
        let changed = std::mem::replace(&mut self.store.reporter.last_version, version) != version;
        let me = self.settings.id.to_string();
        let is_current = |old: &Status| old.generation >= self.config.generation() && !self.is_stale(now, old);
        if changed && old.as_ref().is_some_and(|old| old.writer != me && is_current(old)) {
            // The other holder wrote it within the period.
            return;
        }
        let mut epochs = old.map(|old| old.epochs).unwrap_or_default();
        let lease = n.to_string();
        if epochs.get(&lease).is_some_and(|known| *known > epoch) {
            return;
        }
        epochs.insert(lease, epoch);
        epochs.retain(|lease, _| lease.len() == 1);
        let Ok(value) = serde_json::to_value(self.zone_status(now, epochs)) else { return };
        let call = Call::Put { kind: KIND.to_owned(), name: self.settings.zone.clone(), version, value };
        self.store.reporter.schedule.in_flight = true;
        self.call(now, Purpose::WriteStatus, self.settings.call_ms, call);
    }

    /// Returns true when the clock of the writer says that `old` is older than two periods.
    fn is_stale(&self, now: Time, old: &Status) -> bool {
        now.as_millis().saturating_sub(old.time_ms) > 2 * self.settings.status_ms
    }

    /// A write with a lost answer needs no read-back: the next round reads the object anyway.
    pub(super) fn on_status_written(&mut self) {
        self.store.reporter.schedule.in_flight = false;
    }

    fn zone_status(&self, now: Time, epochs: BTreeMap<String, u64>) -> Status {
        let me = self.membership.me();
        let generation = self.config.generation();
        let reported = |id| self.fetcher.peers.get(&id).map_or(0, |peer| peer.generation);
        let members = self.membership.others().chain([me]).filter(|r| r.zone == me.zone && r.state != State::Dead);
        let members = members.map(|record| Member {
            id: record.id.to_string(),
            name: record.name.clone(),
            state: record.state,
            generation: if record.id == me.id { generation } else { reported(record.id) },
        });
        let mut members: Vec<_> = members.collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        let (zone, writer) = (me.zone.clone(), me.id.to_string());
        Status { zone, writer, epochs, time_ms: now.as_millis(), generation, members }
    }
}
