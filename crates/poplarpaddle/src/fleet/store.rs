//! Interface to the store of hosts, routes and zone drains.

use std::pin::Pin;

use crate::error::Result;
use crate::feed::Topic;
use crate::former;
use crate::registry::{Address, General, HostDelta, Route, ZoneDrainDelta};
use crate::revision::Revision;
use crate::time::Time;

/// Response of the store to a read or watch of a topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Response {
    /// Snapshot of the registered hosts, or their changes.
    Hosts {
        /// The changes.
        delta: HostDelta,
        /// Invalid registrations, which `delta` leaves out.
        faults: Vec<Fault>,
    },
    /// The configuration, or none when the operator has not written one yet.
    Routes {
        /// Revision of the store.
        as_of: Revision,
        /// General settings and routes of the configuration.
        content: Option<(General, Vec<(Address, Route)>)>,
        /// Errors in single services of the configuration.
        faults: Vec<Fault>,
    },
    /// The configuration is invalid.
    Unreadable {
        /// Revision of the store.
        as_of: Revision,
        /// Error message with the field, its value, and the allowed values.
        text: String,
    },
    /// Snapshot of the drained zones, or their changes.
    ZoneDrains {
        /// The changes.
        delta: ZoneDrainDelta,
        /// Invalid entries. One whose name is readable is in `delta` too.
        faults: Vec<Fault>,
    },
    /// The collection has not changed up to a revision of the store.
    Unchanged {
        /// Revision of the store.
        as_of: Revision,
    },
    /// The store does not have the changes after the revision of the watch.
    HistoryGone {
        /// Epoch of the store, which rises each time that it is restored from a copy; 0 if it does not tell.
        epoch: u64,
    },
}

impl Response {
    /// Returns the revision of the store at the time of the response; none if the response does not tell.
    #[must_use]
    pub const fn as_of(&self) -> Option<Revision> {
        match self {
            Self::Hosts { delta, .. } => Some(delta.to),
            Self::ZoneDrains { delta, .. } => Some(delta.to),
            Self::Routes { as_of, .. } | Self::Unreadable { as_of, .. } | Self::Unchanged { as_of } => Some(*as_of),
            Self::HistoryGone { .. } => None,
        }
    }
}

/// Error in an entry of a collection, or in a service of a configuration. It concerns no other one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Name of the entry or service.
    pub name: String,
    /// Revision of the entry or configuration.
    pub revision: Revision,
    /// Error message with the field, its value, and the allowed values.
    pub text: String,
}

/// Future of a response of the store.
pub type Pending<'a, T = Response> = Pin<Box<dyn Future<Output = Result<T>> + Send + 'a>>;

/// Reads the collections of a store.
pub trait Store: Send + Sync {
    /// Reads a snapshot of a collection. The caller ignores responses after `deadline`.
    fn read(&self, topic: Topic, deadline: Time) -> Pending<'_>;

    /// Watches a collection for changes after `revision`. The store responds at the time `until` if there is no change.
    /// The caller ignores responses after `deadline`. The response is [`Response::HistoryGone`] if the store is in
    /// another epoch than `revision`.
    fn watch(&self, topic: Topic, revision: Revision, until: Time, deadline: Time) -> Pending<'_>;

    /// Adds entries to the former services in the store. Entries whose time is over are removed.
    fn save_former(&self, entries: Vec<former::Entry>, deadline: Time) -> Pending<'_, ()>;

    /// Loads the former services in the store.
    fn load_former(&self, deadline: Time) -> Pending<'_, Vec<former::Entry>>;
}
