//! I/O adapters of poplarpaddle: clock, settings, logs, metrics, events, object API and peer messages.
//!
//! The core makes decisions without performing I/O, and the daemons set up and connect the parts of a process. This
//! crate contains the adapters between them, which access clocks, files and sockets.
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
//! The adapters use plain HTTP without TLS, because the balancers and the platform currently share a closed network.
//! Every call over the network has a deadline, so no call can block a daemon forever.

pub mod clock;
pub mod events;
pub mod log;
pub mod metrics;
pub mod peer;
pub mod settings;
pub mod store;
