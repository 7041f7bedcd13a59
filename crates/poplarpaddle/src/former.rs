//! Services that routes used before a change of the configuration, kept beyond the life of a process.
//!
//! When a configuration moves a route to another service, established flows stay at their hosts. A balancer that was
//! running at that time knows the former service of the route, and a balancer that starts later does not: it would drop
//! the packets of these flows, because a mark that leads to a host of another service may be forged. A member that
//! applies such a change therefore saves the former services in the store. A member that drops packets for this reason
//! soon after its start loads them.
//!
//! ```
//! use std::time::Duration;
//! use poplarpaddle::former::{Action, Entry, Tracker};
//! use poplarpaddle::time::Time;
//!
//! let now = Time::from_millis(1);
//! let mut tracker = Tracker::new(now, Duration::from_secs(60));
//! let entry = Entry { address: "198.18.0.1:443".parse().unwrap(), service: "bookings".into(), until: Time::NEVER };
//! tracker.record(vec![entry]);
//! assert!(matches!(tracker.next(now, true), Some(Action::Save(entries)) if entries.len() == 1));
//! ```
//!
//! # Trade-offs
//!
//! The store is only called after a change that leaves a former service behind, and by members that started a short
//! time ago and meet a flow of such a service. In return, the packets of that flow are dropped until the response
//! arrives, and are recovered by the retransmissions of the caller.

use std::time::Duration;

use crate::registry::Address;
use crate::time::Time;

/// Pause between two attempts to save; it spares a store that is unavailable.
const SAVE_PAUSE: Duration = Duration::from_secs(1);

/// Pause after the first load, which doubles with each further one: the writer of the latest change may not have saved
/// it yet.
const INITIAL_LOAD_PAUSE: Duration = Duration::from_millis(500);

/// A service to which established flows of a route may still belong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Address of the route.
    pub address: Address,
    /// Service that the route used before a change.
    pub service: String,
    /// When the last flow that was established before the change has ended.
    pub until: Time,
}

/// Call to the store that a [`Tracker`] requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Add these entries to those in the store.
    Save(Vec<Entry>),
    /// Load the entries in the store.
    Load,
}

/// Progress of the calls of one kind, of which one at a time is made.
#[derive(Debug, Clone, Copy, Default)]
struct Call {
    is_running: bool,
    /// Time before which no further call begins.
    next: Time,
}

impl Call {
    /// Begins a call if one may begin now.
    fn start(&mut self, now: Time) -> bool {
        let may_start = !self.is_running && now.reached(self.next);
        self.is_running |= may_start;
        may_start
    }

    /// Ends the call. The next one begins at `next` at the earliest.
    const fn end(&mut self, next: Time) {
        self.is_running = false;
        self.next = next;
    }

    const fn deadline(self) -> Time {
        if self.is_running { Time::NEVER } else { self.next }
    }
}

/// Former services that one member knows, and its calls to save and load them.
#[derive(Debug)]
pub struct Tracker {
    /// Maximum lifetime of a flow.
    flow_life: Duration,
    entries: Vec<Entry>,
    /// True while there are entries that this member has not saved.
    is_unsaved: bool,
    /// True while this member has to save even if another one reads the store, because it read the change itself.
    is_source: bool,
    save: Call,
    /// True when packets were dropped that may belong to a former service.
    is_missing: bool,
    load: Call,
    load_pause: Duration,
    /// Time from which on this member has seen every change that a live flow may precede.
    complete_at: Time,
}

impl Tracker {
    /// Returns the tracker of a member that starts at `now`. No flow lives longer than `flow_life`.
    #[must_use]
    pub fn new(now: Time, flow_life: Duration) -> Self {
        Self {
            flow_life,
            entries: Vec::new(),
            is_unsaved: false,
            is_source: false,
            save: Call::default(),
            is_missing: false,
            load: Call::default(),
            load_pause: INITIAL_LOAD_PAUSE,
            complete_at: now + flow_life,
        }
    }

    /// Returns the time until which a service keeps the established flows of a route that leaves it at `now`.
    #[must_use]
    pub fn end_of_life(&self, now: Time) -> Time {
        now + self.flow_life
    }

    /// Adds entries that result from a change of the routes.
    pub fn record(&mut self, entries: Vec<Entry>) {
        self.is_unsaved |= !entries.is_empty();
        self.merge(entries);
    }

    /// Has the entries saved again, after the store was restored from a copy that may lack them.
    pub fn restore(&mut self) {
        self.is_unsaved |= !self.entries.is_empty();
    }

    /// Records that the latest change was read from the store by this member, and not pulled from another one.
    pub const fn set_source(&mut self) {
        self.is_source |= self.is_unsaved;
    }

    /// Records that a packet was dropped because the route of its flow does not allow the host with its mark.
    pub fn report_missing(&mut self, now: Time) {
        self.is_missing |= !now.reached(self.complete_at);
    }

    /// Returns the call that is due. `is_reader` is true when this member normally reads the store for the others.
    pub fn next(&mut self, now: Time, is_reader: bool) -> Option<Action> {
        self.entries.retain(|entry| !now.reached(entry.until));
        self.is_unsaved &= !self.entries.is_empty();
        let has_to_save = self.is_unsaved && (is_reader || self.is_source);
        if has_to_save && self.save.start(now) {
            self.is_unsaved = false;
            return Some(Action::Save(self.entries.clone()));
        }
        if self.is_missing && self.load.start(now) {
            self.is_missing = false;
            return Some(Action::Load);
        }
        None
    }

    /// Returns the time at which [`Self::next`] has to be called.
    #[must_use]
    pub fn deadline(&self) -> Time {
        let save = if self.is_unsaved && self.is_source { self.save.deadline() } else { Time::NEVER };
        let load = if self.is_missing { self.load.deadline() } else { Time::NEVER };
        save.min(load)
    }

    /// Handles the outcome of [`Action::Save`].
    pub fn saved(&mut self, now: Time, is_saved: bool) {
        self.save.end(now + SAVE_PAUSE);
        self.is_unsaved |= !is_saved;
        self.is_source = self.is_unsaved && self.is_source;
    }

    /// Handles the outcome of [`Action::Load`], and returns the entries that are new here. A lifetime that exceeds the
    /// maximum is shortened to it.
    pub fn loaded(&mut self, now: Time, loaded: Option<Vec<Entry>>) -> Vec<Entry> {
        self.load.end(now + self.load_pause);
        self.load_pause *= 2;
        let latest = self.end_of_life(now);
        let mut new = loaded.unwrap_or_default();
        new.retain_mut(|entry| {
            entry.until = entry.until.min(latest);
            !now.reached(entry.until) && !self.entries.iter().any(|known| is_same(known, entry))
        });
        self.merge(new.clone());
        new
    }

    /// Adds entries, and extends those that are known already.
    fn merge(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            match self.entries.iter_mut().find(|known| is_same(known, &entry)) {
                Some(known) => known.until = known.until.max(entry.until),
                None => self.entries.push(entry),
            }
        }
    }
}

/// Returns true when both entries are about the same route and service.
fn is_same(one: &Entry, other: &Entry) -> bool {
    (one.address, &one.service) == (other.address, &other.service)
}
