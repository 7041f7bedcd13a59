//! Model of a target host with slots, its own queue, load shedding and a cold start.

use std::collections::VecDeque;
use std::time::Duration;

use poplarpaddle::view::HostState;

/// Queue length from which a target sheds openings.
const QUEUE_LIMIT: usize = 32;

/// Number of requests that a cold target serves until it is warm.
const WARM_AFTER: u32 = 300;

/// Service time of the first request on a cold target, as a multiple of the service time on a warm one.
const COLD_FACTOR: u32 = 5;

/// Load report of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Reported state.
    pub state: HostState,
    /// Reported number of busy slots.
    pub busy: u16,
}

/// A target host.
#[derive(Debug)]
pub struct Target {
    /// Number of requests that the host runs at once.
    pub slots: u16,
    /// Maximum number of open connections.
    pub max_connections: u32,
    /// Open connections.
    pub connections: u32,
    /// State apart from the cold start; [`Target::report`] reports a serving host as cold until it is warm.
    pub state: HostState,
    /// Whether the host sheds every opening.
    pub sheds: bool,
    /// Whether the host leaves every opening unanswered.
    pub silent: bool,
    /// Whether the scenario's fault or change affects the host, which is then left out of the balance between hosts.
    pub affected: bool,
    /// Slot time used within the measured window.
    pub busy_time: Duration,
    busy: u16,
    /// Requests that the host still has to serve until it is warm; 0 for a warm host.
    until_warm: u32,
    queue: VecDeque<usize>,
}

impl Target {
    /// Returns an idle, warm host.
    #[must_use]
    pub const fn new(slots: u16, max_connections: u32) -> Self {
        Self {
            slots,
            max_connections,
            connections: 0,
            state: HostState::Serving,
            sheds: false,
            silent: false,
            affected: false,
            busy_time: Duration::ZERO,
            busy: 0,
            until_warm: 0,
            queue: VecDeque::new(),
        }
    }

    /// Makes the host cold.
    pub const fn make_cold(&mut self) {
        self.until_warm = WARM_AFTER;
    }

    /// Returns the load report.
    #[must_use]
    pub fn report(&self) -> Report {
        let state = if self.state == HostState::Serving && self.until_warm > 0 { HostState::Cold } else { self.state };
        Report { state, busy: self.busy }
    }

    /// Accepts or sheds an opening. Returns true when it is accepted; the opening then counts as a connection.
    pub fn accept(&mut self) -> bool {
        let accepted =
            !self.sheds && !self.silent && self.queue.len() < QUEUE_LIMIT && self.connections < self.max_connections;
        self.connections += u32::from(accepted);
        accepted
    }

    /// Queues a request whose payload arrived.
    pub fn enqueue(&mut self, request: usize) {
        self.queue.push_back(request);
    }

    /// Takes a slot for the first queued request and returns the request.
    pub fn start_next(&mut self) -> Option<usize> {
        if self.busy >= self.slots {
            return None;
        }
        let request = self.queue.pop_front()?;
        self.busy += 1;
        Some(request)
    }

    /// Releases the slot of a finished request.
    pub const fn release_slot(&mut self) {
        self.busy -= 1;
    }

    /// Returns the service time of a request that takes `warm` on a warm host, and counts it as served.
    pub fn service_time(&mut self, warm: Duration) -> Duration {
        let slowdown = warm * (COLD_FACTOR - 1) * self.until_warm / WARM_AFTER;
        self.until_warm = self.until_warm.saturating_sub(1);
        warm + slowdown
    }
}
