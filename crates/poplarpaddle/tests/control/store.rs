//! Fake of the object API, with outages and lost responses.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use poplarpaddle::error::Kind;
use poplarpaddle::prelude::*;
use poplarpaddle::store::{Call, Object, Outcome, Vm};

#[derive(Default)]
pub struct FakeStore {
    pub objects: BTreeMap<(String, String), Object>,
    pub vms: Vec<Vm>,
    pub down: bool,
    /// Kind of objects whose next writes take effect without a response, and the number of such writes.
    pub lose_answers: Option<(String, u32)>,
    /// Nodes that called the store later than 5 s after the start.
    pub callers: BTreeSet<SocketAddr>,
    /// Zone and lease epochs of each status that was written, in the order of the writes.
    statuses: Vec<(String, serde_json::Value)>,
    version: u64,
}

impl FakeStore {
    pub fn put(&mut self, kind: &str, name: &str, value: serde_json::Value) -> u64 {
        self.version += 1;
        let key = (kind.to_owned(), name.to_owned());
        let object = Object { kind: key.0.clone(), name: key.1.clone(), version: self.version, value };
        self.objects.insert(key, object);
        self.version
    }

    pub fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.objects.get(&(kind.to_owned(), name.to_owned()))
    }

    /// Returns true when statuses were written and the epoch of no lease decreased from one status to the next.
    pub fn status_epochs_sorted(&self) -> bool {
        let mut last = BTreeMap::new();
        let mut sorted = !self.statuses.is_empty();
        for (zone, epochs) in &self.statuses {
            for (lease, epoch) in epochs.as_object().unwrap() {
                let before = last.insert((zone, lease), epoch.as_u64());
                sorted &= before.is_none_or(|before| before <= epoch.as_u64());
            }
        }
        sorted
    }

    /// Returns a copy of the objects and of the latest version.
    pub fn copy(&self) -> (BTreeMap<(String, String), Object>, u64) {
        (self.objects.clone(), self.version)
    }

    /// Goes back to a copy, and assigns the versions since then again.
    pub fn restore(&mut self, copy: (BTreeMap<(String, String), Object>, u64)) {
        (self.objects, self.version) = copy;
    }

    /// Writes a manifest with its parts.
    pub fn publish(&mut self, generation: u64, parts: &[&str]) {
        for part in parts {
            let digest = blake3::hash(&crate::net::part_bytes(part)).to_hex().to_string();
            self.put("part", &digest, serde_json::json!(part));
        }
        self.put("manifest", "fleet", crate::net::manifest(generation, parts));
    }

    /// Returns the outcome of `call` and the time that it takes.
    pub fn call(&mut self, now: Time, call: &Call, deadline: Time, reachable: bool) -> (Duration, Outcome) {
        let latency = Duration::from_millis(4);
        if self.down || !reachable {
            let failed = Outcome::Failed(Error::new(Kind::Unavailable, "the store is unreachable"));
            return (deadline.since(now).min(Duration::from_millis(500)), failed);
        }
        match call {
            Call::Put { kind, name, version, value } => {
                let current = self.get(kind, name).map_or(0, |object| object.version);
                if current != *version {
                    return (latency, Outcome::Conflict(current));
                }
                if kind == "status" {
                    self.statuses.push((name.clone(), value["epochs"].clone()));
                }
                let written = self.put(kind, name, value.clone());
                if let Some((lost, remaining)) = &mut self.lose_answers
                    && lost == kind
                    && *remaining > 0
                {
                    *remaining -= 1;
                    return (Duration::from_millis(800), Outcome::Unknown);
                }
                (latency, Outcome::Written(written))
            }
            Call::Get { kind, name } => (latency, Outcome::Object(self.get(kind, name).cloned())),
            // The watch of an unchanged object returns after 100 ms instead of at its deadline.
            Call::Watch { kind, name, after, .. } => {
                let object = self.get(kind, name).cloned();
                let changed = object.as_ref().is_some_and(|object| object.version != *after);
                (if changed { latency } else { Duration::from_millis(100) }, Outcome::Object(object))
            }
            Call::Vms => (latency, Outcome::Vms(self.vms.clone())),
            Call::List { .. } | Call::Delete { .. } => {
                (latency, Outcome::Failed(Error::new(Kind::Internal, "not used by a node")))
            }
        }
    }
}
