//! In-memory store that counts calls and their bytes.

use std::collections::BTreeMap;

use poplarpaddle::error::{Error, Kind};
use poplarpaddle::store::{Call, Object, Outcome};
use serde_json::Value;

/// Objects of a store, and counts of the calls to it.
#[derive(Debug, Default)]
pub struct Memory {
    objects: BTreeMap<(String, String), Object>,
    /// Number of calls that read, apart from watches.
    pub reads: u32,
    /// Number of calls that wrote.
    pub writes: u32,
    /// Number of watches.
    pub watches: u32,
    /// Bytes of the values that were read.
    pub read_bytes: usize,
    /// Bytes of the values that were written.
    pub written_bytes: usize,
}

impl Memory {
    /// Resets all counts to 0.
    pub fn reset(&mut self) {
        let objects = std::mem::take(&mut self.objects);
        *self = Self { objects, ..Self::default() };
    }

    /// Writes an object without counting it.
    pub fn insert(&mut self, kind: &str, name: &str, value: Value) {
        let key = (kind.to_owned(), name.to_owned());
        let version = self.objects.get(&key).map_or(0, |object| object.version) + 1;
        let object = Object { kind: kind.to_owned(), name: name.to_owned(), version, value };
        self.objects.insert(key, object);
    }

    /// Performs a call. A watch returns the current object immediately; the caller of this function has to wait for the
    /// watch's deadline before the call.
    pub fn perform(&mut self, call: &Call) -> Outcome {
        match call {
            Call::List { kind } => {
                self.reads += 1;
                let found = self.objects.values().filter(|object| object.kind == *kind);
                let found: Vec<Object> = found.cloned().collect();
                self.read_bytes += found.iter().map(|object| object.value.to_string().len()).sum::<usize>();
                Outcome::Objects(found)
            }
            Call::Get { kind, name } => {
                self.reads += 1;
                self.read(kind, name)
            }
            Call::Watch { kind, name, .. } => {
                self.watches += 1;
                self.read(kind, name)
            }
            Call::Put { kind, name, version, value } => self.put(kind, name, *version, value),
            Call::Vms => {
                self.reads += 1;
                Outcome::Vms(Vec::new())
            }
            Call::Delete { .. } => {
                Outcome::Failed(Error::new(Kind::Internal, "the store of the measurements does not support deletes"))
            }
        }
    }

    fn read(&mut self, kind: &str, name: &str) -> Outcome {
        let found = self.objects.get(&(kind.to_owned(), name.to_owned())).cloned();
        self.read_bytes += found.as_ref().map_or(0, |object| object.value.to_string().len());
        Outcome::Object(found)
    }

    fn put(&mut self, kind: &str, name: &str, version: u64, value: &Value) -> Outcome {
        let known = self.objects.get(&(kind.to_owned(), name.to_owned())).map_or(0, |object| object.version);
        if known != version {
            return Outcome::Conflict(known);
        }
        self.writes += 1;
        self.written_bytes += value.to_string().len();
        self.insert(kind, name, value.clone());
        Outcome::Written(version + 1)
    }
}
