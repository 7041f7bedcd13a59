//! Daemon for direct server return, over transports whose packets carry a mark. Hosts register themselves in a store.
//!
//! One task owns the engine and the node, so that packets and changes of the state never race. Calls to the store and
//! to peers run in separate tasks that send their outcomes back.
//!
//! The daemon is independent of the packet layout and of the store's format; [`Adapters`] supplies both.

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

/// Shared flag that is set while the balancer accepts packets from the fabric.
#[derive(Debug, Clone, Default)]
pub struct Readiness {
    ready: Arc<AtomicBool>,
}

impl Readiness {
    /// Returns true while the fabric should send packets to this balancer.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Sets the flag and returns true if that changed it.
    fn set(&self, ready: bool) -> bool {
        self.ready.swap(ready, Ordering::Relaxed) != ready
    }
}
