//! I/O adapters of poplarpaddle: clock, settings, logs, metrics, events, object API and peer messages.
//!
//! The core makes decisions without performing I/O, and the daemons only set up and connect the components of a
//! process. The adapters in this crate access clocks, files and the network for them.
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
pub mod http;
pub mod log;
pub mod metrics;
pub mod peer;
pub mod settings;
pub mod store;
