//! Settings of a [`Queue`](super::Queue).

use crate::limit;
use crate::retry;
use crate::view::Priority;

/// Order in which the waiting tickets of one priority start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Order {
    /// First come, first served.
    #[default]
    Arrival,
    /// Last come, first served. Openings are never refused early, because the wait of a ticket depends on the newer
    /// tickets that overtake it.
    Newest,
    /// Earliest deadline first.
    Deadline,
}

/// Settings of a gate.
///
/// ```
/// use poplarpaddle::admission::Settings;
///
/// let settings = Settings { entries: 16, ..Default::default() };
/// assert_eq!(settings.priorities.len(), 3);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Priorities in the order of their ranks; [`Ticket::priority`](super::Ticket::priority) is an index into them.
    pub priorities: Vec<Priority>,
    /// Order of the waiting tickets within a priority.
    pub order: Order,
    /// Maximum number of waiting tickets per priority. Openings may use three quarters of it; the rest is reserved for
    /// established flows.
    pub entries: usize,
    /// Maximum number of held bytes per priority, with the same reservation for established flows.
    pub bytes: usize,
    /// Number of usable candidates, in order of preference, among which the least loaded is chosen. The others are used
    /// only if none of these accepts the opening.
    pub preferred: usize,
    /// Settings of the limit of each host.
    pub limit: limit::Settings,
    /// Settings of the retry budget and backoff.
    pub retry: retry::Settings,
    /// Number of slots assumed for a host that is not listed but still has flows.
    pub unlisted_slots: u16,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            priorities: vec![
                priority("urgent", 0, 50, 500),
                priority("normal", 1, 20, 1_000),
                priority("idle", 2, 5, 2_000),
            ],
            order: Order::default(),
            entries: 4_096,
            bytes: 4 << 20,
            preferred: 4,
            limit: limit::Settings::default(),
            retry: retry::Settings::default(),
            unlisted_slots: 2,
        }
    }
}

fn priority(name: &str, rank: u8, share: u8, queue_ms: u32) -> Priority {
    Priority { name: name.to_owned(), rank, share, queue_ms }
}
