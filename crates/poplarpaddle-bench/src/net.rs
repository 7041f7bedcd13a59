//! Replay of packets on virtual time through several balancers.
//!
//! [`world`] carries packets between [`callers`], the balancers behind [`balancer::Balancer`] and [`targets`], and
//! brings about what a [`plan`] says. [`history`] checks what every request was told against where it ran.
//!
//! # Trade-offs
//!
//! Both ends speak a short model of TCP: sequence numbers, opening, data, closing, reset, and retransmission by the
//! caller. Windows, congestion and retransmission by the target are left out, so the figures are counts of outcomes and
//! say nothing about throughput.

pub mod balancer;
pub mod callers;
pub mod flood;
pub mod history;
pub mod packet;
pub mod plan;
pub mod report;
pub mod simulation;
pub mod targets;
pub mod views;
