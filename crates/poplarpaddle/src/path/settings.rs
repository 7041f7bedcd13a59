//! Settings and counters of the engine.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use super::{MemberId, Open, Reason};
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
    pub answer_due: Duration,
    /// Longest time from the moment a polled host stops answering until it counts as down.
    pub down: Duration,
    /// A candidate that did not answer a probe for this long is left for the next.
    pub probe_reply: Duration,
    /// A target that did not answer an opening for this long is left for another.
    pub opening_reply: Duration,
    /// Time for all tries of an opening.
    pub opening: Duration,
    /// A former owner whose target did not answer for this long is left for the candidates.
    pub asking: Duration,
    /// A learned flow that no packet of its caller confirmed for this long is forgotten.
    pub learning: Duration,
    /// A flow without packets for this long is forgotten.
    pub idle: Duration,
    /// A closed flow is kept for this long, so that late packets do not teach it again.
    pub closing: Duration,
    /// The work of an opening ends when no payload follows for this long.
    pub first_payload: Duration,
    /// Work that was learned from packets ends when no end of its answer was seen for this long. It may have ended before
    /// it was learned, and would then hold a slot of its host for nothing.
    pub adopted: Duration,
    /// Work ends when no end of its answer was seen for this long.
    pub work: Duration,
    /// Work ends when its target acknowledged nothing of the payload for this long: a TCP that got it acknowledges it
    /// within half a second, however long the work takes.
    pub unacknowledged: Duration,
    /// The same as `work` while another balancer serves flows of this one too, so that ends of answers pass there.
    pub shared_work: Duration,
    /// Time since the last sign that another balancer serves the same flows.
    pub shared: Duration,
}

impl Default for Timings {
    fn default() -> Self {
        Self {
            answer_due: Duration::from_secs(10),
            // Polls at most 4 s apart, then two more failures in a row at 1 s, with 0.8 s for the answer.
            down: Duration::from_secs(7),
            probe_reply: Duration::from_millis(200),
            opening_reply: Duration::from_millis(500),
            opening: Duration::from_secs(3),
            asking: Duration::from_secs(2),
            learning: Duration::from_mins(1),
            idle: Duration::from_mins(15),
            closing: Duration::from_secs(10),
            first_payload: Duration::from_secs(2),
            adopted: Duration::from_secs(5),
            work: Duration::from_mins(1),
            unacknowledged: Duration::from_millis(500),
            shared_work: Duration::from_millis(200),
            shared: Duration::from_secs(10),
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
            gates: Arc::new(Open),
        }
    }
}

/// Number of reasons.
const REASONS: usize = Reason::Silent as usize + 1;

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
    pub(super) reasons: [u64; REASONS],
}

impl Counters {
    /// Returns how many packets were refused, reset or dropped for `reason`.
    #[must_use]
    pub const fn reason(&self, reason: Reason) -> u64 {
        self.reasons[reason as usize]
    }
}
