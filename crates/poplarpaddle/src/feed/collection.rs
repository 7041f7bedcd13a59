//! State of one collection at a member, and its comparison with that of another member.

use std::cmp::Ordering;

use super::{Position, Topic};
use crate::revision::Revision;
use crate::time::Time;

/// State of the calls to the store for one topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum Call {
    #[default]
    Idle,
    InFlight,
    /// The last call failed; there is no other one before this time.
    Backoff(Time),
}

/// Replication state of the collection of one topic.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Collection {
    pub(super) revision: Revision,
    pub(super) as_of: Revision,
    pub(super) digest: u64,
    /// When the store last confirmed the state, to this member or to another one.
    pub(super) confirmed: Time,
    /// When the store last confirmed the state to another member, according to announcements.
    pub(super) peer_confirmed: Time,
    pub(super) call: Call,
    pub(super) failures: u32,
    /// True when the next call has to read a snapshot.
    pub(super) reread: bool,
}

/// What the position of another member says about its state, compared with the own one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Comparison {
    /// It has, or may have, changes that this member lacks.
    Ahead,
    /// It includes the last change that this member has, and no later one.
    Equal,
    /// It is older, or too different to say.
    Other,
}

impl Collection {
    /// Compares the state of another member at `position` with this one.
    pub(super) fn compare(&self, topic: Topic, position: &Position) -> Comparison {
        if self.as_of.is_none() {
            return Comparison::Ahead;
        }
        // A store that was restored from a copy may have an older configuration for a while, so its revisions do not
        // tell which of two members has the later one.
        if topic == Topic::Routes {
            return match position.revision.cmp(&self.revision) {
                Ordering::Greater => Comparison::Ahead,
                Ordering::Equal => Comparison::Equal,
                Ordering::Less => Comparison::Other,
            };
        }
        if position.revision > self.as_of {
            return Comparison::Ahead;
        }
        if position.digest != self.digest {
            return if position.as_of > self.as_of { Comparison::Ahead } else { Comparison::Other };
        }
        if position.as_of >= self.revision { Comparison::Equal } else { Comparison::Other }
    }
}
