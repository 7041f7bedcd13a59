//! Test stand-ins for the systems around poplarpaddle: the platform, the network fabric, links, targets and callers.
//!
//! Each stand-in is a library module with a thin binary. No stand-in depends on a product crate, so a fault in the
//! product cannot be masked by the same fault in a stand-in. [`platform`] provides the object API and the VM list;
//! [`site`] simulates the operators' own platform, which has another store API and another packet format.
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
//! Targets and callers run TCP in user space, which needs no privileges and sends every packet through the fabric. A
//! packet costs more CPU time than with the kernel's TCP, so absolute latencies are not representative.

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
