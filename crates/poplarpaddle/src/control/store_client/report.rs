//! The status of a zone in the store, written by its lease holders.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Purpose, Schedule};
use crate::control::Node;
use crate::membership::millis;
use crate::store::{Call, Outcome};
use crate::time::Time;
use crate::wire::State;

/// Kind of status objects in the store.
const KIND: &str = "status";

/// Delay from a new generation to the next status write, in milliseconds. The members of the zone have the generation
/// in force by then.
const GENERATION_DELAY_MS: u64 = 2000;

/// A member in the status of a zone.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Member {
    id: String,
    name: String,
    state: State,
    /// Generation in force according to the last message from the member itself.
    generation: u64,
}

/// Value of `status/<zone>`.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Status {
    zone: String,
    /// Id of the lease holder that wrote the status.
    writer: String,
    /// Epoch of each lease, by lease index, when its holder last wrote the status. A holder with a lower epoch is stale and must not
    /// write.
    epochs: BTreeMap<String, u64>,
    /// Time of the write by the clock of the writer, in milliseconds since the Unix epoch.
    time_ms: u64,
    generation: u64,
    members: Vec<Member>,
}

/// Schedule of the status writes.
#[derive(Debug, Default)]
pub(in crate::control) struct Reporter {
    pub(super) schedule: Schedule,
    /// Version of the status object at the last read.
    last_version: u64,
}

impl Reporter {
    /// Moves the next write forward after a new generation, so that operators see it in force before the period ends.
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

    /// Writes the status if its version is still the one that was read. If this holder was paused since the read,
    /// either its lease has expired or the version has changed.
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
            // The other holder wrote the status within the period.
            return;
        }
        let mut epochs = old.map(|old| old.epochs).unwrap_or_default();
        let lease = n.to_string();
        if epochs.get(&lease).is_some_and(|known| *known > epoch) {
            return;
        }
        epochs.insert(lease, epoch);
        // Lease indexes have one digit; any other key is dropped.
        epochs.retain(|lease, _| lease.len() == 1);
        let Ok(value) = serde_json::to_value(self.zone_status(now, epochs)) else { return };
        let call = Call::Put { kind: KIND.to_owned(), name: self.settings.zone.clone(), version, value };
        self.store.reporter.schedule.in_flight = true;
        self.call(now, Purpose::WriteStatus, self.settings.call_ms, call);
    }

    /// Returns true when `old` is older than two periods by the clock of its writer.
    fn is_stale(&self, now: Time, old: &Status) -> bool {
        now.as_millis().saturating_sub(old.time_ms) > 2 * self.settings.status_ms
    }

    /// Ends the write. A lost response needs no read-back, because the next period starts with a read anyway.
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
