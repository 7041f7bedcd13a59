//! Platform with a store of versioned objects and a VM list.
//!
//! This module holds the data, [`http`] serves it. One counter numbers the versions of all objects, so a version is
//! never reused, not even after a deletion.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

pub mod connection;
pub mod http;

/// Valid kinds of objects.
pub const KINDS: [&str; 8] = ["service", "target", "zone", "priority", "part", "manifest", "lease", "status"];
/// Maximum size of a value, in bytes of JSON.
pub const MAX_VALUE: usize = 1_000_000;
/// Maximum length of a name, in bytes.
pub const MAX_NAME: usize = 256;

/// A versioned object of the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Kind, one of [`KINDS`].
    pub kind: String,
    /// Name, unique within the kind.
    pub name: String,
    /// Version, which changes with each write.
    pub version: u64,
    /// Value, any JSON.
    pub value: Value,
}

/// State of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// In service.
    Live,
    /// About to be stopped.
    Leaving,
}

/// A VM, as listed by the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    /// `balancer` or `target`.
    pub role: String,
    /// Name of its availability zone.
    pub zone: String,
    /// Peer HTTP address of a balancer, or host address of a target.
    pub address: String,
    /// State of the VM.
    pub state: VmState,
}

/// Result of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Written {
    /// The write took effect. Holds the new version.
    Version(u64),
    /// Nothing was changed, because the object is at this version. 0 means that it does not exist.
    Conflict(u64),
}

/// Store of objects by kind and name.
#[derive(Debug, Default)]
pub struct Store {
    objects: BTreeMap<String, BTreeMap<String, Object>>,
    version: u64,
}

impl Store {
    /// Returns the objects of a kind, sorted by name.
    #[must_use]
    pub fn list(&self, kind: &str) -> Vec<Object> {
        self.objects.get(kind).into_iter().flat_map(BTreeMap::values).cloned().collect()
    }

    /// Returns an object, or `None` if it does not exist.
    #[must_use]
    pub fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.objects.get(kind)?.get(name)
    }

    /// Returns the version of an object, or 0 if it does not exist.
    #[must_use]
    pub fn version(&self, kind: &str, name: &str) -> u64 {
        self.get(kind, name).map_or(0, |object| object.version)
    }

    /// Writes an object if its current version is `expected`.
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

    /// Deletes an object if its current version is `expected`.
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

/// VM list that shows each edit after a delay.
#[derive(Debug, Default)]
pub struct VmList {
    visible: BTreeMap<String, Vm>,
    edits: Vec<Edit>,
}

impl VmList {
    /// Adds or replaces a VM. The list shows it from the time `visible_at` on, in microseconds.
    pub fn put(&mut self, visible_at: u64, vm: Vm) {
        self.edits.push(Edit { visible_at, name: vm.name.clone(), vm: Some(vm) });
    }

    /// Removes a VM. The list omits it from the time `visible_at` on, in microseconds.
    pub fn remove(&mut self, visible_at: u64, name: &str) {
        self.edits.push(Edit { visible_at, name: name.to_owned(), vm: None });
    }

    /// Returns the VMs that the list shows at `now`, sorted by name.
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

/// Outage of the store and the VM list, which determines how API calls are answered. Calls of the admin interface are
/// not affected.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// Calls get status 503.
    Unavailable,
    /// Calls get no response until the outage ends.
    Silent,
}

/// Faults set through the admin interface.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Switches {
    /// Current outage.
    pub outage: Outage,
    /// Delay of every API call, in milliseconds.
    pub slow_ms: u64,
    /// Number of upcoming successful writes whose connection is closed without a response.
    pub lose_answers: u64,
    /// Delay after which the VM list shows an edit, in milliseconds. Applies to later edits.
    pub vm_lag_ms: u64,
}

/// Change of [`Switches`]. A missing field leaves its switch unchanged.
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
    /// Applies `change`.
    pub fn apply(&mut self, change: Change) {
        self.outage = change.outage.unwrap_or(self.outage);
        self.slow_ms = change.slow_ms.unwrap_or(self.slow_ms);
        self.lose_answers = change.lose_answers.unwrap_or(self.lose_answers);
        self.vm_lag_ms = change.vm_lag_ms.unwrap_or(self.vm_lag_ms);
    }
}

/// Counters of calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads, including watches and reads of the VM list.
    pub reads: u64,
    /// Writes and deletions, including refused ones.
    pub writes: u64,
    /// Writes and deletions refused because of a version conflict.
    pub conflicts: u64,
    /// Writes whose response was dropped.
    pub lost_answers: u64,
    /// Calls that failed because of an outage.
    pub outage_calls: u64,
    /// Number of watches that are currently waiting.
    pub waiting_watches: u64,
}
