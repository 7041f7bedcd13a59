//! Settings and counters of the engine.

use std::time::Duration;

use super::{Reason, Verdict, warmup};
use crate::{limit, retry};

/// Settings of an [`Engine`](super::Engine).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Zone of this balancer.
    pub zone: String,
    /// Seed of the random generator and of the hash of flows. Callers must not be able to predict it.
    pub seed: u64,
    /// True if openings have to wait until the drained zones are known.
    pub zone_drains: bool,
    /// Maximum number of flows with an entry.
    pub max_flows: usize,
    /// Time without packets after which the entry of a flow is removed, and its request no longer counts. The engine
    /// still knows for [`Settings::linger`] where the flow is open.
    pub idle_timeout: Duration,
    /// Time for which a removed host, and a service removed from a route, keep their established flows.
    pub linger: Duration,
    /// Lower bound of the time after which an opening counts as unanswered.
    pub min_answer_timeout: Duration,
    /// Upper bound of the time after which an opening counts as unanswered.
    pub max_answer_timeout: Duration,
    /// Time for a suspect zone to answer a ping before it counts as unreachable.
    pub ping_timeout: Duration,
    /// Time for a host in doubt to accept a connection before it counts as unreachable.
    pub check_timeout: Duration,
    /// Lower bound of the time without a response after which a request counts as overdue.
    pub min_overdue_time: Duration,
    /// Time that the routers need to settle after a change of the balancers.
    pub settle_time: Duration,
    /// Maximum time for which an opening is queued until a host has capacity.
    pub queue_timeout: Duration,
    /// Share of the placements that each priority rank keeps while openings of several ranks are queued, in percent.
    pub queue_share: u8,
    /// Number of times that an opening is sent before only a retransmission by the caller makes the engine resend it.
    pub max_attempts: u8,
    /// Settings of the limit of each host, which pauses hosts that do not answer.
    pub limit: limit::Settings,
    /// Budget for openings that the engine resends.
    pub retry: retry::Settings,
    /// Bound on the openings at hosts that have just started.
    pub warmup: warmup::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            zone: String::new(),
            seed: 0,
            zone_drains: false,
            max_flows: 65_536,
            idle_timeout: Duration::from_secs(3),
            linger: Duration::from_mins(1),
            // A round trip through the caller takes 7 to 10 ms; hosts answer the handshake in less than 1 ms.
            min_answer_timeout: Duration::from_millis(30),
            max_answer_timeout: Duration::from_millis(150),
            ping_timeout: Duration::from_millis(30),
            // Several round trips between regions, and longer than a busy machine takes to handle a connection.
            check_timeout: Duration::from_millis(200),
            // Responses take some tens of milliseconds, and twice that when the host queues the request.
            min_overdue_time: Duration::from_millis(150),
            // Routers check a balancer twice a second and act on two failures; members learn of a change within a second.
            settle_time: Duration::from_secs(2),
            // Callers retransmit an opening after 200 ms, and the retransmission may reach another balancer. Some
            // callers give up after 400 ms.
            queue_timeout: Duration::from_millis(180),
            // Large enough that no rank starves, small enough that urgent openings hardly wait longer.
            queue_share: 5,
            max_attempts: 4,
            limit: limit::Settings::default(),
            // A whole zone can fail at once. Then a third of the openings sent within some tenths of a second have to be resent.
            retry: retry::Settings { percent: 20, reserve: 50, burst: 200, ..retry::Settings::default() },
            warmup: warmup::Settings::default(),
        }
    }
}

/// Counters of an [`Engine`](super::Engine).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Number of packets forwarded.
    pub forwarded: u64,
    /// Number of decisions by verdict, indexed by [`Verdict`].
    pub verdicts: [u64; 7],
    /// Number of decisions by reason, indexed by [`Reason`].
    pub reasons: [u64; Reason::ALL.len()],
    /// Number of flows with an entry.
    pub flows: u64,
    /// Number of further flows that are idle.
    pub idle_flows: u64,
    /// Number of cold hosts whose openings are bounded.
    pub cold_hosts: u64,
    /// Number of choices of a host for an opening that left out a cold host because of the bound.
    pub cold_left_out: u64,
}

impl Counters {
    /// Returns the number of decisions with a verdict.
    #[must_use]
    pub const fn verdict(&self, verdict: Verdict) -> u64 {
        self.verdicts[verdict as usize]
    }

    /// Returns the number of decisions with a reason.
    #[must_use]
    pub const fn reason(&self, reason: Reason) -> u64 {
        self.reasons[reason as usize]
    }
}
