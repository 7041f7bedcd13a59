//! I/O adapters of poplarpaddle: clock, settings, logs, metrics, events, object API, peers.
//!
//! The core decides and performs no I/O; the daemons start processes and do little else. This crate holds what lies
//! between: everything that touches a clock, a file or a socket.
//!
//! # Example
//!
//! ```
//! use poplarpaddle_io::settings::Settings;
//!
//! let text = "[node]\nname = a\nzone = kitami\nregion = okhotsk\nfleet = kitami\n";
//! let faults = Settings::parse("example.ini", text).unwrap_err();
//! assert!(faults.to_string().contains("section [listen] is missing"));
//! ```
//!
//! # Trade-offs
//!
//! Adapters are written against plain HTTP without TLS, because the balancers and the platform share a closed network
//! today. Every adapter takes a deadline, so no call can hold up a daemon for ever.

pub mod clock;
pub mod events;
pub mod log;
pub mod metrics;
pub mod peer;
pub mod settings;
pub mod store;
