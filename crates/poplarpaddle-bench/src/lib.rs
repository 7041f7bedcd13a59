//! Load driver on virtual time for admission policies.
//!
//! A [`trace`] of requests is replayed by the [`driver`] against balancers behind [`balancers::Balancers`] and against
//! the [`target`] model. [`scenario`] holds the deployments and what goes wrong in a run, [`report`] the figures.
//!
//! # Trade-offs
//!
//! Networks have fixed delays and lose nothing. That is enough to compare policies by counts and ratios; it says
//! nothing about absolute times.

#![expect(clippy::cast_precision_loss, reason = "counts and microseconds stay far below 2^53")]

pub mod balancers;
pub mod driver;
pub mod fleet;
pub mod naive;
pub mod net;
pub mod report;
pub mod scenario;
pub mod slope;
pub mod target;
pub mod trace;
