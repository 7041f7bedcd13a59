//! Deterministic core of the poplarpaddle layer-4 load balancer.
//!
//! The crate makes all decisions of a balancer and performs no I/O. Its inputs are the time, packets, peer messages and
//! store responses; its outputs are packets, messages, store calls and the next deadline. The same inputs always give the
//! same outputs.
//!
//! # Example
//!
//! ```
//! use poplarpaddle::prelude::*;
//!
//! let flow = Flow {
//!     caller: "192.0.2.7:40000".parse().unwrap(),
//!     service: "10.0.0.1:80".parse().unwrap(),
//! };
//! assert_eq!(flow.to_string(), "192.0.2.7:40000>10.0.0.1:80");
//! ```
//!
//! # Trade-offs
//!
//! The core uses no locks, and one thread drives each engine. This limits a balancer to one CPU core for its decisions; in
//! return, every run can be replayed.

pub mod admission;
pub mod check;
pub mod config;
pub mod control;
pub mod direct;
pub mod error;
pub mod event;
pub mod feed;
pub mod fleet;
pub mod flow;
pub mod former;
pub mod health;
pub mod hedge;
pub mod ip;
pub mod lease;
pub mod limit;
pub mod map;
pub mod mark;
pub mod membership;
pub mod object;
pub mod ownership;
pub mod packet;
pub mod path;
pub mod placement;
pub mod prelude;
pub mod publish;
pub mod recovery;
pub mod registry;
pub mod replica;
pub mod retry;
pub mod revision;
pub mod store;
pub mod time;
pub mod view;
pub mod waiting;
pub mod wire;
