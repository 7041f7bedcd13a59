//! Events of the timeline.
//!
//! Each process keeps its latest events in memory and serves them over HTTP. The command line tool merges the events of
//! all processes.

use serde::{Deserialize, Serialize};

use crate::time::Time;

/// An event that one process recorded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Time at which the event happened.
    pub time: Time,
    /// Kind of the event, in lower case with dots, such as `member.dead` or `config.applied`.
    pub name: String,
    /// Object of the event: a member, shard, target or generation.
    pub subject: String,
    /// Further details in human-readable form.
    pub detail: String,
}
