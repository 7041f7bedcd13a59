//! Model of a target host: slots, a queue of its own, shedding, cold start.

use std::collections::VecDeque;
use std::time::Duration;

use poplarpaddle::view::HostState;

/// Requests that wait at a target before it sheds openings.
const QUEUE_LIMIT: usize = 32;

/// Requests that a cold target serves until it is warm.
const WARM_AFTER: u32 = 300;

/// Service time of the first request on a cold target, as a multiple.
const COLD_FACTOR: u32 = 5;

/// Load report of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// State.
    pub state: HostState,
    /// Busy slots.
    pub busy: u16,
}

/// A host.
#[derive(Debug)]
pub struct Target {
    /// Slots.
    pub slots: u16,
    /// Connections that it holds.
    pub max_connections: u32,
    /// Open connections.
    pub connections: u32,
    /// State by its object.
    pub state: HostState,
    /// Sheds every opening.
    pub sheds: bool,
    /// Answers no opening.
    pub silent: bool,
    /// Left out of the balance over hosts, because the scenario takes work away from it.
    pub affected: bool,
    /// Slot time used within the measured window.
    pub busy_time: Duration,
    busy: u16,
    /// Requests that a cold target still has to serve until it is warm.
    until_warm: u32,
    queue: VecDeque<usize>,
}

impl Target {
    /// Returns an idle warm host.
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

    /// Returns true when an opening is accepted; it then counts as a connection.
    pub fn accept(&mut self) -> bool {
        let accepted =
            !self.sheds && !self.silent && self.queue.len() < QUEUE_LIMIT && self.connections < self.max_connections;
        self.connections += u32::from(accepted);
        accepted
    }

    /// Takes the payload of a request.
    pub fn enqueue(&mut self, request: usize) {
        self.queue.push_back(request);
    }

    /// Returns the next request that gets a slot.
    pub fn start_next(&mut self) -> Option<usize> {
        if self.busy >= self.slots {
            return None;
        }
        let request = self.queue.pop_front()?;
        self.busy += 1;
        Some(request)
    }

    /// Frees a slot.
    pub const fn release_slot(&mut self) {
        self.busy -= 1;
    }

    /// Returns how long a request takes that needs `warm` on a warm host.
    pub fn service_time(&mut self, warm: Duration) -> Duration {
        let slowdown = warm * (COLD_FACTOR - 1) * self.until_warm / WARM_AFTER;
        self.until_warm = self.until_warm.saturating_sub(1);
        warm + slowdown
    }
}
