//! Calls to the platform's object API and their outcomes, as plain data.
//!
//! The core emits a [`Call`] and receives an [`Outcome`]; the I/O layer implements [`Store`] over HTTP. A write whose
//! outcome is [`Outcome::Unknown`] may have taken effect and has to be read back.

use std::pin::Pin;

use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::time::Time;

/// A versioned value of the object API.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Kind, such as `service` or `manifest`.
    pub kind: String,
    /// Name, unique within the kind.
    pub name: String,
    /// Version assigned by the store; changes with each write.
    pub version: u64,
    /// JSON value, at most 1 MB when encoded.
    pub value: serde_json::Value,
}

/// State of a VM in the platform's VM list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// In service.
    Live,
    /// Will be stopped soon.
    Leaving,
}

/// An entry of the platform's VM list, which lags behind the actual VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    /// `balancer` or `target`.
    pub role: String,
    /// Name of the zone.
    pub zone: String,
    /// HTTP address for peers (`IP:port`) of a balancer, host address of a target.
    pub address: String,
    /// State of the VM.
    pub state: VmState,
}

/// A call to the store.
#[derive(Debug, Clone, PartialEq)]
pub enum Call {
    /// Lists all objects of a kind.
    List {
        /// Kind of the objects.
        kind: String,
    },
    /// Reads one object.
    Get {
        /// Kind of the object.
        kind: String,
        /// Name of the object.
        name: String,
    },
    /// Writes one object if its version is still `version`; 0 requires that it does not exist.
    Put {
        /// Kind of the object.
        kind: String,
        /// Name of the object.
        name: String,
        /// Expected version.
        version: u64,
        /// New value.
        value: serde_json::Value,
    },
    /// Deletes one object if its version is still `version`.
    Delete {
        /// Kind of the object.
        kind: String,
        /// Name of the object.
        name: String,
        /// Expected version.
        version: u64,
    },
    /// Waits until the version of an object differs from `after` or the deadline passes.
    Watch {
        /// Kind of the object.
        kind: String,
        /// Name of the object.
        name: String,
        /// Version already known, 0 for none.
        after: u64,
        /// Time at which the store responds even without a change.
        deadline: Time,
    },
    /// Lists the VMs.
    Vms,
}

/// Outcome of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// Objects of a list call, sorted by name.
    Objects(Vec<Object>),
    /// Object of a get or watch call, `None` when it does not exist.
    Object(Option<Object>),
    /// Version after a put or delete that took effect.
    Written(u64),
    /// The version did not match. The object is at this version (0: it does not exist).
    Conflict(u64),
    /// VMs of a [`Call::Vms`] call.
    Vms(Vec<Vm>),
    /// There was no response to a write, which may have taken effect.
    Unknown,
    /// The call did not take effect.
    Failed(Error),
}

/// Future of a store call.
pub type Pending<'a> = Pin<Box<dyn Future<Output = Outcome> + Send + 'a>>;

/// Performs calls to the store.
pub trait Store: Send + Sync {
    /// Performs `call` and returns its outcome before `deadline`.
    fn call<'a>(&'a self, call: &'a Call, deadline: Time) -> Pending<'a>;
}
