//! Simulates the operators' platform on loopback: its store, routers, hosts and consumers, with its packet format.
//!
//! [`run()`] simulates all four in one process, around balancers that run as separate processes, and checks what
//! consumers and hosts observe. The wire formats are implemented from the documentation of the platform and share no
//! code with the adapter under test.

pub mod consumer;
mod entry;
mod fault;
pub mod host;
pub mod packet;
pub mod plan;
pub mod router;
pub mod run;
mod socket;
pub mod store;

pub use plan::{Fault, FaultKind, Plan, Report};
pub use run::run;

use std::time::{Duration, Instant};

/// Initial and maximum retransmission delay.
const RETRANSMIT_DELAY: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(1600));

/// Returns the delay before the next retransmission of a packet that was retransmitted `retransmits` times.
#[must_use]
fn retransmit_delay(retransmits: u32) -> Duration {
    RETRANSMIT_DELAY.0.saturating_mul(1 << retransmits.min(4)).min(RETRANSMIT_DELAY.1)
}

/// A sent packet that was not acknowledged yet.
#[derive(Debug, Clone)]
struct Unacknowledged {
    bytes: Vec<u8>,
    due: Instant,
    retransmits: u32,
}
