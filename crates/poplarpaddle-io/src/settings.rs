//! Settings of the balancer daemon, read from an INI file.
//!
//! ```
//! use poplarpaddle_io::settings::Settings;
//!
//! let text = "
//! [node]
//! name = entry-1
//! zone = kitami
//! region = okhotsk
//! fleet = kitami
//! [listen]
//! data = 127.0.0.1:7000
//! relay = 127.0.0.1:7001
//! peer = 127.0.0.1:7002
//! [fabric]
//! address = 127.0.0.1:6000
//! [store]
//! url = http://127.0.0.1:9000
//! ";
//! let settings = Settings::parse("entry-1.ini", text).unwrap();
//! assert_eq!(settings.members.ping_ms, 500);
//! ```
//!
//! One pass finds every fault of a file. The message of a fault contains the file and, as far as they apply, the line,
//! the key, the value and the allowed values.

mod document;

use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;

use poplarpaddle::error::{Error, Kind, Result};

use document::Document;
pub use document::{Fault, Faults};

/// All settings of a balancer.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Settings {
    /// Section `[node]`.
    pub node: Node,
    /// Section `[listen]`.
    pub listen: Listen,
    /// Section `[advertise]`.
    pub advertise: Advertise,
    /// Section `[fabric]`.
    pub fabric: Fabric,
    /// Section `[store]`.
    pub store: Store,
    /// Section `[members]`.
    pub members: Members,
    /// Section `[targets]`.
    pub targets: Targets,
    /// Section `[stop]`.
    pub stop: Stop,
    /// Section `[log]`.
    pub log: Log,
    /// Section `[limits]`.
    pub limits: Limits,
    /// Section `[hedge]`.
    pub hedge: Hedge,
}

/// Identity of the balancer.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Node {
    /// Name, unique within the fleet.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Name of the fleet; its manifest is the object `manifest/<fleet>`.
    pub fleet: String,
}

/// Addresses that the balancer listens on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// UDP address for packets from the fabric.
    pub data: SocketAddr,
    /// UDP address for packets relayed by other balancers.
    pub relay: SocketAddr,
    /// HTTP address for other balancers and for tools.
    pub peer: SocketAddr,
}

impl Default for Listen {
    fn default() -> Self {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        Self { data: loopback, relay: loopback, peer: loopback }
    }
}

/// Addresses that other balancers use to reach this one, if they differ from the addresses that it listens on (for
/// example behind address translation).
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Advertise {
    /// UDP address for relayed packets; [`Listen::relay`] if none.
    pub relay: Option<SocketAddr>,
    /// HTTP address for other balancers; [`Listen::peer`] if none.
    pub peer: Option<SocketAddr>,
}

/// Destination of packets to targets and callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fabric {
    /// UDP address of the fabric.
    pub address: SocketAddr,
}

impl Default for Fabric {
    fn default() -> Self {
        Self { address: SocketAddr::from(([127, 0, 0, 1], 0)) }
    }
}

/// Store of the platform, accessed through its object API.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Store {
    /// URL of the form `http://IP:port`.
    pub url: String,
}

/// Discovery and failure detection of the other balancers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Members {
    /// Peer HTTP addresses to contact at start.
    pub seeds: Vec<SocketAddr>,
    /// Interval between pings, in milliseconds.
    pub ping_ms: u32,
    /// Time from suspecting a member until it is declared dead, in milliseconds.
    pub suspect_ms: u32,
}

impl Default for Members {
    fn default() -> Self {
        Self { seeds: Vec::new(), ping_ms: 500, suspect_ms: 1500 }
    }
}

/// Polling of the load of targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Targets {
    /// TCP port of the load endpoint, the same on every host.
    pub load_port: u16,
    /// Interval between polls of one host, in milliseconds.
    pub poll_ms: u32,
}

impl Default for Targets {
    fn default() -> Self {
        Self { load_port: 9900, poll_ms: 1000 }
    }
}

/// Graceful shutdown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stop {
    /// Time for which a leaving balancer continues to forward packets, in milliseconds.
    pub drain_ms: u32,
}

impl Default for Stop {
    fn default() -> Self {
        Self { drain_ms: 5000 }
    }
}

/// Logging.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Log {
    /// Least severe level that is logged.
    pub level: Level,
}

impl Default for Log {
    fn default() -> Self {
        Self { level: Level(slog::Level::Info) }
    }
}

/// Log level, written in lower case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Level(pub slog::Level);

impl FromStr for Level {
    type Err = ();

    fn from_str(text: &str) -> std::result::Result<Self, ()> {
        let level = match text {
            "error" => slog::Level::Error,
            "warning" => slog::Level::Warning,
            "info" => slog::Level::Info,
            "debug" => slog::Level::Debug,
            "trace" => slog::Level::Trace,
            _ => return Err(()),
        };
        Ok(Self(level))
    }
}

/// Limits on memory use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of flows in the flow table.
    pub flows: u32,
    /// Maximum size of all held packets together, in bytes.
    pub held_bytes: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self { flows: 600_000, held_bytes: 16 << 20 }
    }
}

/// Hedging of openings on the ports of idempotent requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Hedge {
    /// Maximum number of hedged openings per 100 accepted ones; 0 turns hedging off.
    pub percent: u32,
}

impl Settings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// [`Kind::Io`] when the file cannot be read, [`Kind::Setting`] with every fault when the settings are not valid.
    pub fn load(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| Error::new(Kind::Io, format!("cannot read settings {}: {error}", path.display())))?;
        Self::parse(&path.display().to_string(), &text).map_err(|faults| Error::new(Kind::Setting, faults.to_string()))
    }

    /// Parses and checks `text`. `file` is the file name used in faults.
    ///
    /// # Errors
    ///
    /// Returns every fault of the text.
    pub fn parse(file: &str, text: &str) -> std::result::Result<Self, Faults> {
        let mut document = Document::parse(file, text);
        let settings = Self {
            node: Node {
                name: document.require("node", "name", NAME, String::new(), name),
                zone: document.require("node", "zone", NAME, String::new(), name),
                region: document.require("node", "region", NAME, String::new(), name),
                fleet: document.require("node", "fleet", NAME, String::new(), name),
            },
            listen: Listen {
                data: document.require("listen", "data", ADDRESS, placeholder(), address),
                relay: document.require("listen", "relay", ADDRESS, placeholder(), address),
                peer: document.require("listen", "peer", ADDRESS, placeholder(), address),
            },
            advertise: Advertise {
                relay: document.optional("advertise", "relay", ADDRESS, None, |text| address(text).map(Some)),
                peer: document.optional("advertise", "peer", ADDRESS, None, |text| address(text).map(Some)),
            },
            fabric: Fabric { address: document.require("fabric", "address", ADDRESS, placeholder(), address) },
            store: Store { url: document.require("store", "url", "http://IP:port", String::new(), url) },
            members: members(&mut document),
            targets: targets(&mut document),
            stop: Stop {
                drain_ms: document.optional(
                    "stop",
                    "drain_ms",
                    "a number from 0 to 600000",
                    Stop::default().drain_ms,
                    |text| number(text, 0, 600_000),
                ),
            },
            log: Log {
                level: document.optional(
                    "log",
                    "level",
                    "error, warning, info, debug or trace",
                    Log::default().level,
                    |text| text.parse().ok(),
                ),
            },
            limits: limits(&mut document),
            hedge: Hedge {
                percent: document.optional(
                    "hedge",
                    "percent",
                    "a number from 0 to 100",
                    Hedge::default().percent,
                    |text| number(text, 0, 100),
                ),
            },
        };
        document.finish()?;
        Ok(settings)
    }
}

const NAME: &str = "1 to 63 letters, digits, dots or hyphens";
const ADDRESS: &str = "IP:port, such as 127.0.0.1:7000";

/// Returns the address used for the rest of the checks when a required address is missing or invalid.
const fn placeholder() -> SocketAddr {
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0)
}

fn members(document: &mut Document<'_>) -> Members {
    let default = Members::default();
    Members {
        seeds: document.optional("members", "seeds", "IP:port, separated by commas", default.seeds, addresses),
        ping_ms: document.optional("members", "ping_ms", "a number from 50 to 60000", default.ping_ms, |text| {
            number(text, 50, 60_000)
        }),
        suspect_ms: document.optional(
            "members",
            "suspect_ms",
            "a number from 100 to 600000",
            default.suspect_ms,
            |text| number(text, 100, 600_000),
        ),
    }
}

fn targets(document: &mut Document<'_>) -> Targets {
    let default = Targets::default();
    Targets {
        load_port: document.optional("targets", "load_port", "a port from 1 to 65535", default.load_port, |text| {
            text.parse().ok().filter(|port| *port > 0)
        }),
        poll_ms: document.optional("targets", "poll_ms", "a number from 100 to 60000", default.poll_ms, |text| {
            number(text, 100, 60_000)
        }),
    }
}

fn limits(document: &mut Document<'_>) -> Limits {
    let default = Limits::default();
    Limits {
        flows: document.optional("limits", "flows", "a number from 1000 to 10000000", default.flows, |text| {
            number(text, 1000, 10_000_000)
        }),
        held_bytes: document.optional(
            "limits",
            "held_bytes",
            "a number from 65536 to 1073741824",
            default.held_bytes,
            |text| number(text, 65_536, 1 << 30),
        ),
    }
}

fn number(text: &str, min: u32, max: u32) -> Option<u32> {
    text.parse().ok().filter(|value| (min..=max).contains(value))
}

fn name(text: &str) -> Option<String> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '.' || c == '-';
    ((1..=63).contains(&text.len()) && text.chars().all(allowed)).then(|| text.to_owned())
}

fn address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

fn addresses(text: &str) -> Option<Vec<SocketAddr>> {
    text.split(',').map(str::trim).filter(|item| !item.is_empty()).map(|item| item.parse().ok()).collect()
}

fn url(text: &str) -> Option<String> {
    let address: Option<SocketAddr> = text.strip_prefix("http://")?.parse().ok();
    address.map(|_| text.to_owned())
}
