//! Replays packets through several balancers on virtual time.
//!
//! [`simulation`] delivers packets between [`callers`], the balancers behind [`balancer::Balancer`] and [`targets`],
//! and performs the changes and failures of a [`plan`]. [`history`] checks the result that a caller observed for each
//! request against the runs of the request at targets.
//!
//! The fabric is the network in front of the balancers. It delivers each packet of a caller or target to a random
//! balancer, so a balancer must be able to handle a packet of any flow.
//!
//! # Trade-offs
//!
//! Both ends implement a reduced model of TCP: sequence numbers, opening, data, closing, reset, and retransmission by
//! the caller. Windows, congestion control and retransmission by the target are left out, so the figures are counts of
//! outcomes and say nothing about throughput.

pub mod balancer;
pub mod callers;
pub mod flood;
pub mod history;
pub mod latency;
pub mod packet;
pub mod plan;
pub mod report;
pub mod simulation;
pub mod targets;
pub mod views;
