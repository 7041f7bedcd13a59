//! Daemon for carriers with room for a mark, whose hosts register themselves in a store.
//!
//! One task owns the engine and the node, so that a packet and a change of the state never race. Calls to the store and
//! to peers run as tasks of their own and send their outcomes back.
//!
//! The daemon knows neither the layout of packets nor the format of the store: [`Adapters`] brings both.

mod daemon;
mod journal;
mod outlet;
mod server;
mod settings;
mod task;
mod telemetry;

pub use daemon::{Adapters, run};
pub use settings::Settings;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether the balancer takes packets from the fabric.
#[derive(Debug, Clone, Default)]
pub struct Readiness {
    ready: Arc<AtomicBool>,
}

impl Readiness {
    /// Returns true while packets should be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    fn set(&self, ready: bool) -> bool {
        self.ready.swap(ready, Ordering::Relaxed) != ready
    }
}
