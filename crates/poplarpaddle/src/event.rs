//! Events of the time line.
//!
//! Each process keeps its latest events in memory and serves them; the command line merges them over all processes.

use serde::{Deserialize, Serialize};

use crate::time::Time;

/// One event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When it happened.
    pub time: Time,
    /// Kind of event in lower case with dots, such as `member.dead` or `config.applied`.
    pub name: String,
    /// What it is about: a member, shard, target or generation.
    pub subject: String,
    /// Further detail for a person.
    pub detail: String,
}
