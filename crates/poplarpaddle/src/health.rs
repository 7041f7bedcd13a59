//! Health checks of targets through their load reports.
//!
//! [`Health`] decides when each host is polled and derives the state of the host from the answers. A report is only a
//! hint: it can keep new work away from a host, but the [limit](crate::limit) of the host follows its actual answers.
//!
//! ```
//! use poplarpaddle::health::Report;
//!
//! let body = br#"{"service": "bookings", "slots": 3, "busy": 1, "connections": 4400, "state": "serving"}"#;
//! assert_eq!(Report::parse(body).unwrap().busy, 1);
//! assert_eq!(
//!     Report::parse(b"{}").unwrap_err().to_string(),
//!     "message error: load report: missing field `service` at line 1 column 2"
//! );
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind, Result};
use crate::map;
use crate::membership::millis;
use crate::time::Time;
use crate::view::{Config, Host, HostState, ServiceIndex};

/// Maximum length of a load report, in bytes.
pub const MAX_REPORT: usize = 4096;

/// Interval over which the first polls of hosts are spread, in milliseconds.
const FIRST_SPREAD_MS: u64 = 50;

/// Settings of [`Health`]. Times are in milliseconds.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Minimum interval between two polls of a host.
    pub poll_ms: u64,
    /// Maximum interval between two polls of a host that answers.
    pub max_poll_ms: u64,
    /// Polls per second, over all hosts, above which the interval grows, up to `max_poll_ms`.
    pub rate: u64,
    /// Timeout of a poll.
    pub answer_timeout_ms: u64,
    /// Number of consecutive failed polls after which a host is down.
    pub failures: u32,
    /// Maximum number of hosts that are polled.
    pub limit: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            poll_ms: 1000,
            // A draining host must get no new work after 5 s; the remaining 1 s covers the answer and the next tick.
            max_poll_ms: 4000,
            // Each region polls all hosts: with 73,000 hosts and 2,500 balancers, each balancer polls 29. A poll takes
            // about 0.3 KB including headers, and all control traffic of a node has to fit into 4 KB/s.
            rate: 4,
            answer_timeout_ms: 800,
            failures: 3,
            // In a small fleet, one balancer may have to poll all hosts.
            limit: 4096,
        }
    }
}

/// State of a host according to its load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The host accepts new work.
    Serving,
    /// The host has recently started.
    Cold,
    /// The host accepts no new work.
    Draining,
}

/// Body of the response to `GET /load`. Unknown fields are ignored, so that targets can add fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the service that the host runs.
    pub service: String,
    /// Number of requests that the host runs concurrently.
    pub slots: u16,
    /// Number of slots in use.
    pub busy: u16,
    /// Number of open connections.
    pub connections: u32,
    /// State of the host.
    pub state: State,
}

impl Report {
    /// Parses the body of a report.
    ///
    /// # Errors
    ///
    /// [`Kind::Message`] if the body is too long or malformed; the message gives the reason and the position.
    pub fn parse(body: &[u8]) -> Result<Self> {
        if body.len() > MAX_REPORT {
            return Err(Error::new(
                Kind::Message,
                format!("load report of {} bytes exceeds the maximum of {MAX_REPORT} bytes", body.len()),
            ));
        }
        serde_json::from_slice(body).map_err(|e| Error::new(Kind::Message, format!("load report: {e}")))
    }
}

/// State of the polls of one host.
#[derive(Debug)]
struct Polled {
    /// Time of the next poll.
    next: Time,
    /// Time at which the outstanding poll counts as failed; [`Time::NEVER`] if no poll is outstanding.
    answer_deadline: Time,
    /// Number of consecutive failed polls.
    failures: u32,
    /// True once a poll was answered or has failed.
    first_poll_done: bool,
    /// Latest report; `None` if the latest answer was not a valid report.
    report: Option<Report>,
}

impl Polled {
    /// Returns the time from this poll to the next, in milliseconds.
    ///
    /// A host whose polls fail is polled at the `shortest` interval, so that changes of its state are detected early.
    fn interval_ms(&self, host: Ipv4Addr, shortest: u64, period: u64) -> u64 {
        match &self.report {
            Some(_) if self.failures == 0 => period,
            // The first polls of all hosts fall into one shortest interval; the second polls are spread over `period`.
            None if self.failures == 0 => shortest + map::hash(1, &host) % (period - shortest + 1),
            _ => shortest,
        }
    }
}

/// Health checks of the hosts of the shards that this node owns.
#[derive(Debug)]
pub struct Health {
    settings: Settings,
    hosts: BTreeMap<Ipv4Addr, Polled>,
    config: Option<Arc<Config>>,
    /// Indices of the services that the configuration assigns to each polled host. Storing the names of the services of
    /// all hosts took 25 MB in a fleet of the design size.
    placed: BTreeMap<Ipv4Addr, Vec<ServiceIndex>>,
}

impl Health {
    /// Returns health checks that poll no hosts.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self { settings, hosts: BTreeMap::new(), config: None, placed: BTreeMap::new() }
    }

    /// Replaces the hosts to poll. The state of hosts that were already polled is kept.
    pub fn set_hosts(&mut self, now: Time, hosts: &[Ipv4Addr]) {
        let wanted: BTreeSet<_> = hosts.iter().copied().take(self.settings.limit).collect();
        self.hosts.retain(|host, _| wanted.contains(host));
        for host in wanted {
            // Openings wait for the first report, so the first polls are spread over a short interval only.
            let offset = map::hash(0, &host) % FIRST_SPREAD_MS;
            let next = now + millis(offset);
            let polled =
                Polled { next, answer_deadline: Time::NEVER, failures: 0, first_poll_done: false, report: None };
            self.hosts.entry(host).or_insert(polled);
        }
        self.update_placed();
    }

    /// Replaces the configuration in force.
    pub fn configure(&mut self, config: &Arc<Config>) {
        self.config = Some(Arc::clone(config));
        self.update_placed();
    }

    /// Recomputes the services of the polled hosts.
    fn update_placed(&mut self) {
        self.placed.clear();
        let Some(config) = &self.config else { return };
        for (service, number) in config.services.iter().zip(0..) {
            for target in service.targets.iter().filter(|target| self.hosts.contains_key(&target.address)) {
                self.placed.entry(target.address).or_default().push(ServiceIndex(number));
            }
        }
    }

    /// Returns true if the configuration assigns services to a host, but not `service`.
    fn is_foreign(&self, host: Ipv4Addr, service: &str) -> bool {
        let (Some(config), Some(placed)) = (&self.config, self.placed.get(&host)) else { return false };
        !placed.iter().any(|index| config.services[index.0 as usize].name == service)
    }

    /// Fails the polls whose timeout has passed and returns the hosts to poll now.
    pub fn tick(&mut self, now: Time) -> Vec<Ipv4Addr> {
        let period = self.period_ms();
        let shortest = self.settings.poll_ms.max(1);
        let timeout = millis(self.settings.answer_timeout_ms);
        let mut due = Vec::new();
        for (host, polled) in &mut self.hosts {
            if now.reached(polled.answer_deadline) {
                polled.answer_deadline = Time::NEVER;
                polled.failures = polled.failures.saturating_add(1);
                polled.first_poll_done = true;
            }
            if now.reached(polled.next) && polled.answer_deadline == Time::NEVER {
                polled.next = now + millis(polled.interval_ms(*host, shortest, period));
                polled.answer_deadline = now + timeout;
                due.push(*host);
            }
        }
        due
    }

    /// Returns the interval between two polls of a host that answers, in milliseconds.
    fn period_ms(&self) -> u64 {
        let spread = self.hosts.len() as u64 * 1000 / self.settings.rate.max(1);
        spread.min(self.settings.max_poll_ms).max(self.settings.poll_ms.max(1))
    }

    /// Handles the outcome of a poll. An outcome that arrives after the timeout is ignored.
    ///
    /// # Errors
    ///
    /// [`Kind::Message`] if the body is not a valid report. The host answered, so this does not count as a failed poll.
    pub fn record_answer(&mut self, host: Ipv4Addr, outcome: std::result::Result<&[u8], &Error>) -> Result<()> {
        let Some(polled) = self.hosts.get_mut(&host) else { return Ok(()) };
        if polled.answer_deadline == Time::NEVER {
            return Ok(());
        }
        polled.answer_deadline = Time::NEVER;
        polled.first_poll_done = true;
        let Ok(body) = outcome else {
            polled.failures = polled.failures.saturating_add(1);
            return Ok(());
        };
        polled.failures = 0;
        polled.report = None;
        polled.report =
            Some(Report::parse(body).map_err(|e| Error::new(e.kind(), format!("host {host}: {}", e.message())))?);
        Ok(())
    }

    /// Returns the polled hosts and their current states.
    pub fn hosts(&self) -> impl Iterator<Item = (Ipv4Addr, Host)> {
        self.hosts.iter().map(|(host, polled)| (*host, self.host(*host, polled)))
    }

    /// Returns the current state of a host, or `None` if it is not polled.
    #[must_use]
    pub fn host_of(&self, host: Ipv4Addr) -> Option<Host> {
        self.hosts.get(&host).map(|polled| self.host(host, polled))
    }

    /// Returns the time at which [`Self::tick`] must be called next.
    #[must_use]
    pub fn deadline(&self) -> Time {
        let times = self
            .hosts
            .values()
            .map(|polled| if polled.answer_deadline == Time::NEVER { polled.next } else { polled.answer_deadline });
        times.min().unwrap_or(Time::NEVER)
    }

    fn host(&self, host: Ipv4Addr, polled: &Polled) -> Host {
        let Some(report) = &polled.report else {
            let state = if polled.first_poll_done { HostState::Serving } else { HostState::Unknown };
            return Host { state: self.state_or_down(polled, state), ..Host::default() };
        };
        let foreign = self.is_foreign(host, &report.service);
        let state = match report.state {
            // This takes precedence over failed polls: once the host answers again, packets would reach the wrong
            // service.
            _ if foreign => HostState::Misplaced,
            State::Serving => self.state_or_down(polled, HostState::Serving),
            State::Cold => self.state_or_down(polled, HostState::Cold),
            State::Draining => self.state_or_down(polled, HostState::Draining),
        };
        Host { state, busy: Some(report.busy), connections: Some(report.connections) }
    }

    /// Returns [`HostState::Down`] after too many failed polls, `otherwise` if not.
    const fn state_or_down(&self, polled: &Polled, otherwise: HostState) -> HostState {
        if polled.failures >= self.settings.failures { HostState::Down } else { otherwise }
    }
}
