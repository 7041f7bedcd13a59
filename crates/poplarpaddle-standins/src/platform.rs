//! The platform: object API ("the store") and VM list.
//!
//! This module holds the data; [`http`] serves it. Versions come from one counter over all objects, so a version is
//! never used twice, not even after a deletion.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

pub mod connection;
pub mod http;

/// Kinds of objects.
pub const KINDS: [&str; 8] = ["service", "target", "zone", "priority", "part", "manifest", "lease", "status"];
/// Longest value in bytes of JSON.
pub const MAX_VALUE: usize = 1_000_000;
/// Longest name in bytes.
pub const MAX_NAME: usize = 256;

/// A versioned value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Kind.
    pub kind: String,
    /// Name, unique within the kind.
    pub name: String,
    /// Version, changes with each write.
    pub version: u64,
    /// Value.
    pub value: Value,
}

/// State of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// In service.
    Live,
    /// Will be stopped soon.
    Leaving,
}

/// A VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Name.
    pub name: String,
    /// `balancer` or `target`.
    pub role: String,
    /// Zone name.
    pub zone: String,
    /// Peer HTTP address of a balancer, host address of a target.
    pub address: String,
    /// State.
    pub state: VmState,
}

/// Result of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Written {
    /// It took effect; the new version.
    Version(u64),
    /// The object is at this version (0: it does not exist), nothing was changed.
    Conflict(u64),
}

/// Objects by kind and name.
#[derive(Debug, Default)]
pub struct Store {
    objects: BTreeMap<String, BTreeMap<String, Object>>,
    version: u64,
}

impl Store {
    /// Returns the objects of a kind in the order of their names.
    #[must_use]
    pub fn list(&self, kind: &str) -> Vec<Object> {
        self.objects.get(kind).into_iter().flat_map(BTreeMap::values).cloned().collect()
    }

    /// Returns an object.
    #[must_use]
    pub fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.objects.get(kind)?.get(name)
    }

    /// Returns the version of an object, 0 when it does not exist.
    #[must_use]
    pub fn version(&self, kind: &str, name: &str) -> u64 {
        self.get(kind, name).map_or(0, |object| object.version)
    }

    /// Writes an object if it is at `expected`.
    pub fn put(&mut self, kind: &str, name: &str, expected: u64, value: Value) -> Written {
        let current = self.version(kind, name);
        if current != expected {
            return Written::Conflict(current);
        }
        self.version += 1;
        let object = Object { kind: kind.to_owned(), name: name.to_owned(), version: self.version, value };
        self.objects.entry(kind.to_owned()).or_default().insert(name.to_owned(), object);
        Written::Version(self.version)
    }

    /// Deletes an object if it is at `expected`.
    pub fn delete(&mut self, kind: &str, name: &str, expected: u64) -> Written {
        let current = self.version(kind, name);
        if current != expected || current == 0 {
            return Written::Conflict(current);
        }
        self.version += 1;
        if let Some(objects) = self.objects.get_mut(kind) {
            objects.remove(name);
        }
        Written::Version(self.version)
    }
}

#[derive(Debug)]
struct Edit {
    visible_at: u64,
    name: String,
    vm: Option<Vm>,
}

/// The VM list, which shows an edit only after a lag.
#[derive(Debug, Default)]
pub struct VmList {
    visible: BTreeMap<String, Vm>,
    edits: Vec<Edit>,
}

impl VmList {
    /// Adds or replaces a VM; the list shows it at the time `visible`, in microseconds.
    pub fn put(&mut self, visible_at: u64, vm: Vm) {
        self.edits.push(Edit { visible_at, name: vm.name.clone(), vm: Some(vm) });
    }

    /// Removes a VM from the time `visible` on.
    pub fn remove(&mut self, visible_at: u64, name: &str) {
        self.edits.push(Edit { visible_at, name: name.to_owned(), vm: None });
    }

    /// Returns what the list shows at `now`, in the order of names.
    pub fn list(&mut self, now: u64) -> Vec<Vm> {
        for edit in self.edits.extract_if(.., |edit| edit.visible_at <= now) {
            match edit.vm {
                Some(vm) => drop(self.visible.insert(edit.name, vm)),
                None => drop(self.visible.remove(&edit.name)),
            }
        }
        self.visible.values().cloned().collect()
    }
}

/// How calls are answered at present.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outage {
    /// As usual.
    #[default]
    None,
    /// With 503.
    Unavailable,
    /// Not at all.
    Silent,
}

/// Admin switches.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Switches {
    /// Outage.
    pub outage: Outage,
    /// Delay of every call, in milliseconds.
    pub slow_ms: u64,
    /// Number of next successful writes whose connection is closed without an answer.
    pub lose_answers: u64,
    /// Lag of the VM list, in milliseconds; applies to later edits.
    pub vm_lag_ms: u64,
}

/// Change of [`Switches`]; a field that is left out stays as it is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// See [`Switches::outage`].
    pub outage: Option<Outage>,
    /// See [`Switches::slow_ms`].
    pub slow_ms: Option<u64>,
    /// See [`Switches::lose_answers`].
    pub lose_answers: Option<u64>,
    /// See [`Switches::vm_lag_ms`].
    pub vm_lag_ms: Option<u64>,
}

impl Switches {
    /// Applies a change.
    pub fn apply(&mut self, change: Change) {
        self.outage = change.outage.unwrap_or(self.outage);
        self.slow_ms = change.slow_ms.unwrap_or(self.slow_ms);
        self.lose_answers = change.lose_answers.unwrap_or(self.lose_answers);
        self.vm_lag_ms = change.vm_lag_ms.unwrap_or(self.vm_lag_ms);
    }
}

/// Calls so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads; a watch and a read of the VM list count as one each.
    pub reads: u64,
    /// Writes and deletions, also those that were refused.
    pub writes: u64,
    /// Writes refused because of the version.
    pub conflicts: u64,
    /// Writes whose answer was lost.
    pub lost_answers: u64,
    /// Calls during an outage.
    pub outage_calls: u64,
    /// Watches that wait now.
    pub waiting_watches: u64,
}
