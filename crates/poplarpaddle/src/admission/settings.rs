//! Settings of the gate.

use crate::limit;
use crate::retry;
use crate::view::Priority;

/// Order of the tickets of one priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Order {
    /// First come, first served.
    #[default]
    Arrival,
    /// The newest ticket first; no early refusal, because newer tickets overtake.
    Newest,
    /// The earliest deadline first.
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
    /// Priorities in the order of their ranks; a ticket's priority is an index here.
    pub priorities: Vec<Priority>,
    /// Order within a priority.
    pub order: Order,
    /// Tickets that wait in one priority. Openings use three quarters, the rest is kept for established flows.
    pub entries: usize,
    /// Bytes that wait in one priority, with the same division.
    pub bytes: usize,
    /// Candidates that are compared before the choice widens to all.
    pub preferred: usize,
    /// Limits of hosts.
    pub limit: limit::Settings,
    /// Retries.
    pub retry: retry::Settings,
    /// Slots assumed for a host that is not listed but still has flows.
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
