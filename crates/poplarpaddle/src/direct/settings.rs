//! Settings and counters of the engine.

use std::time::Duration;

use super::{Reason, Verdict};
use crate::{limit, retry};

/// Settings of an [`Engine`](super::Engine).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Zone of this balancer.
    pub zone: String,
    /// Seed of random choices and of the hash of flows; callers must not know it.
    pub seed: u64,
    /// Most flows with an entry.
    pub max_flows: usize,
    /// Time without packets after which a flow no longer counts as work of its host.
    pub idle_timeout: Duration,
    /// Time for which the hosts and services that a flow may have had before a change are remembered.
    pub linger: Duration,
    /// Shortest time before an opening counts as unanswered.
    pub min_answer_timeout: Duration,
    /// Longest time before an opening counts as unanswered.
    pub max_answer_timeout: Duration,
    /// Time for a zone to answer a ping before it counts as cut off.
    pub ping_timeout: Duration,
    /// Shortest time without an answer before work counts as overdue.
    pub min_overdue_time: Duration,
    /// Longest time for which an opening waits for room at the hosts.
    pub queue_timeout: Duration,
    /// Most times that the engine sends an opening by itself.
    pub max_attempts: u8,
    /// Limit of a host, which pauses one that does not answer.
    pub limit: limit::Settings,
    /// Budget of openings that are sent again.
    pub retry: retry::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            zone: String::new(),
            seed: 0,
            max_flows: 65_536,
            idle_timeout: Duration::from_secs(3),
            linger: Duration::from_mins(1),
            // A round trip by way of the caller takes 7 to 10 ms; hosts answer the handshake in less than 1 ms.
            min_answer_timeout: Duration::from_millis(30),
            max_answer_timeout: Duration::from_millis(150),
            ping_timeout: Duration::from_millis(30),
            // Answers take some tens of milliseconds, and twice that when a host queues.
            min_overdue_time: Duration::from_millis(150),
            // The caller's first copy comes after 200 ms, and it may come to another balancer. Some callers give up after
            // 400 ms.
            queue_timeout: Duration::from_millis(180),
            max_attempts: 4,
            limit: limit::Settings::default(),
            // A whole zone can be lost at once, with a third of the openings of some tenths of a second.
            retry: retry::Settings { percent: 20, reserve: 50, burst: 200, ..retry::Settings::default() },
        }
    }
}

/// Counters of an [`Engine`](super::Engine).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Packets forwarded.
    pub forwarded: u64,
    /// How often each verdict was given.
    pub verdicts: [u64; 7],
    /// Not forwarded, by reason.
    pub reasons: [u64; Reason::ALL.len()],
    /// Entries of flows.
    pub flows: u64,
}

impl Counters {
    /// Returns how often a verdict was given.
    #[must_use]
    pub const fn verdict(&self, verdict: Verdict) -> u64 {
        self.verdicts[verdict as usize]
    }

    /// Returns how often a reason was given.
    #[must_use]
    pub const fn reason(&self, reason: Reason) -> u64 {
        self.reasons[reason as usize]
    }
}
