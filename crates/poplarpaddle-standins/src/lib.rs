//! Stand-ins for the systems around poplarpaddle: platform, fabric, links, targets and callers.
//!
//! Each stand-in is a library module with a thin binary. None uses a product crate, so a fault in the product cannot
//! hide behind the same fault here.
//!
//! # Example
//!
//! ```
//! use poplarpaddle_standins::protocol;
//!
//! let request = protocol::Request { id: 7, service: "bookings".into(), response_size: 32, ..Default::default() };
//! let response = protocol::Response::expected(&request);
//! assert_eq!(response.check(&request), protocol::Verdict::Correct);
//! ```
//!
//! # Trade-offs
//!
//! Targets and callers run TCP in user space, which needs no privileges and lets every packet pass the fabric. It costs
//! more processor time per packet than the kernel's TCP, so absolute times say little.

pub mod args;
pub mod caller;
pub mod clock;
pub mod fabric;
pub mod http;
pub mod judge;
pub mod link;
pub mod net;
pub mod platform;
pub mod protocol;
pub mod record;
pub mod site;
pub mod stack;
pub mod target;
