//! The operators' platform: store, routers, hosts and consumers of the packet form, on loopback.
//!
//! [`run()`] plays all four in one process around balancers that run as processes of their own, and judges what consumers
//! and hosts see. The wire is written from the platform's pages and shares no code with the adapter under test.

pub mod consumer;
pub mod host;
pub mod packet;
pub mod plan;
pub mod router;
pub mod run;
pub mod store;

pub use plan::{Fault, FaultKind, Plan, Report};
pub use run::run;

use std::time::{Duration, Instant};

/// First and last pause before a packet is sent again.
const RETRANSMIT_DELAY: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(1600));

/// Pause before the packet is sent again for the `retransmits`-th time.
#[must_use]
fn retransmit_delay(retransmits: u32) -> Duration {
    RETRANSMIT_DELAY.0.saturating_mul(1 << retransmits.min(4)).min(RETRANSMIT_DELAY.1)
}

/// A packet that waits for its acknowledgement.
#[derive(Debug, Clone)]
struct Unacknowledged {
    bytes: Vec<u8>,
    due: Instant,
    retransmits: u32,
}
