//! An in-memory store, which the tests of the command-line tool use as well.

use std::collections::BTreeMap;
use std::sync::Mutex;

use poplarpaddle::error::{Error, Kind};
use poplarpaddle::store::{Call, Object, Outcome, Pending, Store};
use poplarpaddle::time::Time;
use serde_json::Value;

/// How the store handles a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behavior {
    /// Performs the call and responds.
    Answer,
    /// Performs the call, and the response is lost.
    LoseAnswer,
    /// Does not perform the call, and the caller receives no response.
    DropRequest,
    /// Refuses the connection.
    Refuse,
}

#[derive(Debug, Default)]
pub struct Fake {
    objects: Mutex<BTreeMap<(String, String), Object>>,
    /// Calls passed to [`Fake::perform`], including refused ones.
    pub log: Mutex<Vec<Call>>,
}

impl Fake {
    pub fn perform(&self, call: &Call, behavior: Behavior) -> Outcome {
        self.log.lock().unwrap().push(call.clone());
        let write = matches!(call, Call::Put { .. } | Call::Delete { .. });
        let refused = || Outcome::Failed(Error::new(Kind::Unavailable, "connection refused"));
        match behavior {
            Behavior::Answer => self.apply(call),
            Behavior::Refuse => refused(),
            Behavior::LoseAnswer | Behavior::DropRequest if !write => refused(),
            Behavior::DropRequest => Outcome::Unknown,
            Behavior::LoseAnswer => {
                self.apply(call);
                Outcome::Unknown
            }
        }
    }

    pub fn put(&self, kind: &str, name: &str, value: Value) {
        let version = self.get(kind, name).map_or(0, |object| object.version);
        let call = Call::Put { kind: kind.to_owned(), name: name.to_owned(), version, value };
        assert!(matches!(self.apply(&call), Outcome::Written(_)));
    }

    pub fn get(&self, kind: &str, name: &str) -> Option<Object> {
        self.objects.lock().unwrap().get(&(kind.to_owned(), name.to_owned())).cloned()
    }

    fn apply(&self, call: &Call) -> Outcome {
        let mut objects = self.objects.lock().unwrap();
        let key = |kind: &String, name: &String| (kind.clone(), name.clone());
        match call {
            Call::List { kind } => {
                Outcome::Objects(objects.values().filter(|object| object.kind == *kind).cloned().collect())
            }
            Call::Get { kind, name } | Call::Watch { kind, name, .. } => {
                Outcome::Object(objects.get(&key(kind, name)).cloned())
            }
            Call::Put { kind, name, version, value } => {
                let found = objects.get(&key(kind, name)).map_or(0, |object| object.version);
                if found != *version {
                    return Outcome::Conflict(found);
                }
                let (version, value) = (version + 1, value.clone());
                let object = Object { kind: kind.clone(), name: name.clone(), version, value };
                objects.insert(key(kind, name), object);
                Outcome::Written(version)
            }
            Call::Delete { kind, name, version } => {
                let found = objects.get(&key(kind, name)).map_or(0, |object| object.version);
                if found != *version || found == 0 {
                    return Outcome::Conflict(found);
                }
                objects.remove(&key(kind, name));
                Outcome::Written(version + 1)
            }
            Call::Vms => Outcome::Vms(Vec::new()),
        }
    }
}

impl Store for Fake {
    fn call<'a>(&'a self, call: &'a Call, _deadline: Time) -> Pending<'a> {
        Box::pin(async move { self.perform(call, Behavior::Answer) })
    }
}
