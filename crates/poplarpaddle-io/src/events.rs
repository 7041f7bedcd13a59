//! Latest events of this process, for the timeline of all processes.
//!
//! VMs have no disks, so a bounded number of events is kept in memory and served as JSON lines.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use poplarpaddle::event::Event;
use serde::Serialize;

/// Maximum number of events in the ring buffer. At 200 bytes each, they take about 800 KB.
const CAPACITY: usize = 4096;

/// Ring buffer of the latest events, shared by the tasks of a process.
#[derive(Debug, Clone, Default)]
pub struct Events {
    ring: Arc<Mutex<VecDeque<Event>>>,
}

/// JSON line of an event.
#[derive(Serialize)]
struct Line<'a> {
    process: &'a str,
    #[serde(flatten)]
    event: &'a Event,
}

impl Events {
    /// Returns an empty ring buffer.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an event. If the ring buffer is full, removes the oldest event first.
    pub fn push(&self, event: Event) {
        let mut ring = self.lock();
        if ring.len() == CAPACITY {
            ring.pop_front();
        }
        ring.push_back(event);
    }

    /// Returns the events as JSON lines, oldest first, each with the name of the process.
    #[must_use]
    pub fn lines(&self, process: &str) -> String {
        let mut text = String::new();
        for event in self.lock().iter() {
            if let Ok(line) = serde_json::to_string(&Line { process, event }) {
                text.push_str(&line);
                text.push('\n');
            }
        }
        text
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Event>> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
