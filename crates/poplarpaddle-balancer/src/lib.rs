//! Balancer daemon, which runs the sockets, timers and tasks around the core.
//!
//! [`daemon::run`] starts three components. The data path runs on a separate thread and owns the [`path::Engine`] (see
//! [`data_path`]). The control task owns the [`control::Node`] (see [`control`](mod@control)). The HTTP server responds
//! to peers and tools (see [`server`]). The components share only channels, counters and events.
//!
//! # Example
//!
//! ```no_run
//! # async fn example() -> eyre::Result<()> {
//! use std::path::Path;
//! use poplarpaddle_io::settings::Settings;
//!
//! let settings = Settings::load(Path::new("settings/balancer.ini"))?;
//! let (logger, _guard) = poplarpaddle_io::log::stderr(&settings.node.name, settings.log.level.0);
//! poplarpaddle_balancer::daemon::run(&settings, &logger).await
//! # }
//! ```
//!
//! # Trade-offs
//!
//! One thread handles all packets of a balancer, so a flow never moves between threads and needs no lock. A VM with
//! many cores does not use all of them for packets; capacity is added with more VMs instead.
//!
//! [`path::Engine`]: poplarpaddle::path::Engine
//! [`control::Node`]: poplarpaddle::control::Node

pub mod control;
pub mod daemon;
pub mod data_path;
pub mod direct;
pub mod server;
pub mod telemetry;
