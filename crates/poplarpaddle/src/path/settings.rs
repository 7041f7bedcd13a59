//! Settings and counters of the engine.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use super::{MemberId, Reason, Unlimited};
use crate::admission::Gate;
use crate::view::Priority;

/// Makes the gates of the shards that an engine owns.
pub trait Factory: Send + Sync + Debug {
    /// Returns a gate for one shard. `priorities` are in the order of their ranks; a change of them makes new gates.
    fn gate(&self, service: &str, shard: u16, priorities: &[Priority]) -> Box<dyn Gate>;
}

/// Bounds of what callers can make an engine keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Flows in the table.
    pub flows: usize,
    /// Bytes of held packets, with a fixed overhead for each.
    pub held_bytes: usize,
    /// Packets held for one flow.
    pub held_packets: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { flows: 600_000, held_bytes: 16 << 20, held_packets: 32 }
    }
}

/// Durations of the data path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timings {
    /// A target that answered no payload of a flow for this long, while its host answers others, is silent.
    pub answer_timeout: Duration,
    /// Longest time from the moment a polled host stops answering until it counts as down.
    pub down_detection: Duration,
    /// A candidate that did not answer a probe for this long is left for the next.
    pub probe_timeout: Duration,
    /// A target that did not answer an opening for this long is left for another.
    pub opening_timeout: Duration,
    /// Time for all tries of an opening.
    pub opening_budget: Duration,
    /// A former owner whose target did not answer for this long is left for the candidates.
    pub former_owner_timeout: Duration,
    /// A learned flow that no packet of its caller confirmed for this long is forgotten.
    pub unconfirmed_timeout: Duration,
    /// A flow without packets for this long is forgotten.
    pub idle_timeout: Duration,
    /// A closed flow is kept for this long, so that late packets do not teach it again.
    pub closed_retention: Duration,
    /// The work of an opening ends when no payload follows for this long.
    pub first_payload_timeout: Duration,
    /// Work that was learned from packets ends when no end of its answer was seen for this long. It may have ended before
    /// it was learned, and would then hold a slot of its host for nothing.
    pub adopted_work_timeout: Duration,
    /// Work ends when no end of its answer was seen for this long.
    pub work_timeout: Duration,
    /// Work ends when its target acknowledged nothing of the payload for this long: a TCP that got it acknowledges it
    /// within half a second, however long the work takes.
    pub acknowledgement_timeout: Duration,
    /// The same as `work` while another balancer serves flows of this one too, so that ends of answers pass there.
    pub shared_work_timeout: Duration,
    /// Time since the last sign that another balancer serves the same flows.
    pub shared_period: Duration,
}

impl Default for Timings {
    fn default() -> Self {
        Self {
            answer_timeout: Duration::from_secs(10),
            // Polls at most 4 s apart, then two more failures in a row at 1 s, with 0.8 s for the answer.
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
    /// This balancer.
    pub me: MemberId,
    /// Seed of the flow table; callers must not know it.
    pub seed: u64,
    /// Bounds on memory.
    pub bounds: Bounds,
    /// Durations.
    pub timings: Timings,
    /// Makes a gate for each shard.
    pub gates: Arc<dyn Factory>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            me: MemberId::default(),
            seed: 0,
            bounds: Bounds::default(),
            timings: Timings::default(),
            gates: Arc::new(Unlimited),
        }
    }
}

/// Number of reasons.
const REASON_COUNT: usize = Reason::Silent as usize + 1;

/// What an engine did since its start, and what it holds now.
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
    /// Flows placed on a target.
    pub placed: u64,
    /// Openings sent to another target after the first one refused or did not answer.
    pub retried: u64,
    /// Flows learned from a packet of their target.
    pub learned: u64,
    /// Flows for which a probe began.
    pub probed: u64,
    /// Candidates that got a probed packet.
    pub probes: u64,
    /// Flows dropped to make room for others.
    pub evicted: u64,
    /// Repeated openings of which a copy waits already.
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
