//! Load driver on virtual time for admission policies, and measurements of how costs scale.
//!
//! The [`driver`] replays a [`trace`] of requests through an implementation of [`balancers::Balancers`] to simulated
//! [`target`] hosts. [`scenario`] defines the deployments, the load and the faults of a run, and [`report`] computes
//! its figures. [`net`] replays individual packets through several balancers instead of whole requests. [`slope`]
//! measures how costs grow with the size of their input.
//!
//! # Trade-offs
//!
//! The driver's network has fixed delays and no loss. That is enough to compare policies by counts and ratios, but the
//! results say nothing about absolute times.

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
