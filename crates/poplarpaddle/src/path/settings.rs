//! Settings and counters of the engine.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use super::{MemberId, Reason, Unlimited};
use crate::admission::Gate;
use crate::hedge;
use crate::view::Priority;

/// Makes the gates of the shards that an engine handles.
pub trait Factory: Send + Sync + Debug {
    /// Returns a gate for one shard. `priorities` are sorted by rank; all gates are replaced when the priorities change.
    fn gate(&self, service: &str, shard: u16, priorities: &[Priority]) -> Box<dyn Gate>;
}

/// Limits on the memory that callers can make an engine use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Most flows in the table.
    pub flows: usize,
    /// Most bytes of held packets, with a fixed overhead for each packet.
    pub held_bytes: usize,
    /// Most packets held for one flow.
    pub held_packets: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { flows: 600_000, held_bytes: 16 << 20, held_packets: 32 }
    }
}

/// Timeouts and intervals of the data path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timings {
    /// Time after which a flow is silent: its target has not answered its payload although the target's host is up.
    pub answer_timeout: Duration,
    /// Longest time from the moment a host stops answering its health checks until it is marked down.
    pub down_detection: Duration,
    /// Time after which a probe that was not answered continues with the next candidate.
    pub probe_timeout: Duration,
    /// Time after which an opening that was not answered is retried on another target.
    pub opening_timeout: Duration,
    /// Total time for all tries of an opening.
    pub opening_budget: Duration,
    /// Time after which the candidates are probed if relaying to a former owner led to no answer of a target.
    pub former_owner_timeout: Duration,
    /// Time after which a learned flow is removed if no packet of its caller has confirmed it.
    pub unconfirmed_timeout: Duration,
    /// Time after which a flow without packets is removed.
    pub idle_timeout: Duration,
    /// Time for which a closed flow is kept, so that delayed packets do not make the balancer learn it again.
    pub closed_retention: Duration,
    /// Time after which the work of an opening ends if no payload follows.
    pub first_payload_timeout: Duration,
    /// Time after which work that was learned from packets ends if the end of its answer was not seen. It may have ended
    /// before it was learned, and would then occupy a slot of its host although nothing runs.
    pub adopted_work_timeout: Duration,
    /// Time after which work ends if the end of its answer was not seen.
    pub work_timeout: Duration,
    /// Time after which work ends if its target has not acknowledged any of the payload. A TCP stack that received the
    /// payload acknowledges it within half a second, however long the work takes.
    pub acknowledgement_timeout: Duration,
    /// Replaces `work_timeout` while another balancer serves flows of this one too, since the ends of answers may pass
    /// through that balancer.
    pub shared_work_timeout: Duration,
    /// Time for which another balancer is assumed to serve the same flows after the last packet that showed it.
    pub shared_period: Duration,
}

impl Default for Timings {
    fn default() -> Self {
        Self {
            answer_timeout: Duration::from_secs(10),
            // Health checks are at most 4 s apart; after one fails, two more failures follow at intervals of 1 s, with a
            // timeout of 0.8 s.
            down_detection: Duration::from_secs(7),
            probe_timeout: Duration::from_millis(200),
            opening_timeout: Duration::from_millis(500),
            opening_budget: Duration::from_secs(3),
            former_owner_timeout: Duration::from_secs(2),
            unconfirmed_timeout: Duration::from_mins(1),
            idle_timeout: Duration::from_mins(15),
            closed_retention: Duration::from_secs(10),
            first_payload_timeout: Duration::from_secs(2),
            adopted_work_timeout: Duration::from_secs(5),
            work_timeout: Duration::from_mins(1),
            acknowledgement_timeout: Duration::from_millis(500),
            shared_work_timeout: Duration::from_millis(200),
            shared_period: Duration::from_secs(10),
        }
    }
}

/// Settings of an [`Engine`](super::Engine).
#[derive(Debug, Clone)]
pub struct Settings {
    /// Id of this balancer.
    pub me: MemberId,
    /// Seed of the flow table's hash function. Callers must not know it.
    pub seed: u64,
    /// Limits on memory.
    pub bounds: Bounds,
    /// Timeouts and intervals.
    pub timings: Timings,
    /// Makes the gate of each shard.
    pub gates: Arc<dyn Factory>,
    /// Limit on hedged openings.
    pub hedge: hedge::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            me: MemberId::default(),
            seed: 0,
            bounds: Bounds::default(),
            timings: Timings::default(),
            gates: Arc::new(Unlimited),
            hedge: hedge::Settings::default(),
        }
    }
}

/// Number of reasons.
const REASON_COUNT: usize = Reason::Silent as usize + 1;

/// Counts of an engine since its start, and its current sizes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Flows in the table now.
    pub flows: usize,
    /// Packets held now.
    pub held: usize,
    /// Bytes held now, with a fixed overhead for each packet.
    pub held_bytes: usize,
    /// Bytes of the flow table now.
    pub table_bytes: usize,
    /// Packets sent to targets.
    pub to_target: u64,
    /// Packets sent to callers.
    pub to_caller: u64,
    /// Packets relayed to other balancers.
    pub relayed: u64,
    /// Openings placed on a target, including retries.
    pub placed: u64,
    /// Openings sent to another target after the first one refused or did not answer.
    pub retried: u64,
    /// Openings of which a copy was sent to a second target.
    pub hedges: u64,
    /// Hedged openings whose second target accepted first.
    pub hedges_won: u64,
    /// Openings that were not hedged because the budget was used up.
    pub hedges_over_budget: u64,
    /// Openings that were not hedged because the targets were short of free slots.
    pub hedges_without_room: u64,
    /// Flows learned from a packet of their target.
    pub learned: u64,
    /// Flows for which a probe was started.
    pub probed: u64,
    /// Probe packets sent to candidates.
    pub probes: u64,
    /// Flows evicted because the table was full.
    pub evicted: u64,
    /// Retransmitted openings that were dropped because a copy is queued already.
    pub absorbed: u64,
    pub(super) reasons: [u64; REASON_COUNT],
}

impl Counters {
    /// Returns how many packets were refused, reset or dropped for `reason`.
    #[must_use]
    pub const fn reason(&self, reason: Reason) -> u64 {
        self.reasons[reason as usize]
    }
}
