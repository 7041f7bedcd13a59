//! Load reports of targets.
//!
//! [`Health`] decides when each host is polled and what its reports say. A report is only a hint: it can keep new work
//! away from a host, but limits follow what the host does.
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

/// Longest load report, in bytes.
pub const MAX_REPORT: usize = 4096;

/// Time over which the first polls of hosts are spread, in milliseconds.
const FIRST_SPREAD_MS: u64 = 50;

/// Settings of [`Health`]. Times are in milliseconds.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Shortest period of polls of a host.
    pub poll_ms: u64,
    /// Longest period of polls of a host that answers.
    pub max_poll_ms: u64,
    /// Polls a second above which the period grows up to `max_poll_ms`.
    pub rate: u64,
    /// Time for the answer to a poll.
    pub answer_timeout_ms: u64,
    /// Polls that fail in a row before a host is down.
    pub failures: u32,
    /// Most hosts that are polled.
    pub limit: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            poll_ms: 1000,
            // A host that drains gets no new work after 5 s; the rest is for the answer and the next tick.
            max_poll_ms: 4000,
            // Each region polls all hosts, which gives 29 to each of 2,500 balancers at 73,000 hosts. A poll takes about
            // 0.3 KB with its headers, and a node has 4 KB/s for all of control.
            rate: 4,
            answer_timeout_ms: 800,
            failures: 3,
            // A small fleet may give all hosts to one balancer.
            limit: 4096,
        }
    }
}

/// State in a load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Takes new work.
    Serving,
    /// Started a short time ago.
    Cold,
    /// Takes no new work.
    Draining,
}

/// Body of `GET /load`. Fields that are not listed are ignored, so that targets can add some.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Service that the host runs.
    pub service: String,
    /// Requests that run at the same time.
    pub slots: u16,
    /// Slots in use.
    pub busy: u16,
    /// Open connections.
    pub connections: u32,
    /// State.
    pub state: State,
}

impl Report {
    /// Parses the body of a report.
    ///
    /// # Errors
    ///
    /// [`Kind::Message`] with the fault and its place.
    pub fn parse(body: &[u8]) -> Result<Self> {
        if body.len() > MAX_REPORT {
            return Err(Error::new(
                Kind::Message,
                format!("load report of {} bytes, at most {MAX_REPORT}", body.len()),
            ));
        }
        serde_json::from_slice(body).map_err(|e| Error::new(Kind::Message, format!("load report: {e}")))
    }
}

/// A host that is polled.
#[derive(Debug)]
struct Polled {
    next: Time,
    /// When the poll under way counts as failed, [`Time::NEVER`] for none.
    answer_deadline: Time,
    failures: u32,
    /// True once a poll was answered or failed.
    first_poll_done: bool,
    report: Option<Report>,
}

impl Polled {
    /// Returns the time from this poll to the next, in milliseconds. A host that fails is polled at the shortest period,
    /// so that its state does not wait for the longest.
    fn interval_ms(&self, host: Ipv4Addr, shortest: u64, period: u64) -> u64 {
        match &self.report {
            Some(_) if self.failures == 0 => period,
            // The first polls of all hosts fall into one shortest period; the second ones spread them again.
            None if self.failures == 0 => shortest + map::hash(1, &host) % (period - shortest + 1),
            _ => shortest,
        }
    }
}

/// Load reports of the hosts whose shards this node owns.
#[derive(Debug)]
pub struct Health {
    settings: Settings,
    hosts: BTreeMap<Ipv4Addr, Polled>,
    config: Option<Arc<Config>>,
    /// Indices of the services that the configuration places on the hosts that are polled. All hosts of the target size
    /// with the names of their services took 25 MB.
    placed: BTreeMap<Ipv4Addr, Vec<ServiceIndex>>,
}

impl Health {
    /// Returns a health check of no host.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self { settings, hosts: BTreeMap::new(), config: None, placed: BTreeMap::new() }
    }

    /// Sets the hosts to poll. What is known of a host that stays is kept.
    pub fn set_hosts(&mut self, now: Time, hosts: &[Ipv4Addr]) {
        let wanted: BTreeSet<_> = hosts.iter().copied().take(self.settings.limit).collect();
        self.hosts.retain(|host, _| wanted.contains(host));
        for host in wanted {
            // Openings wait for the first report, so the first polls are spread over a short time only.
            let offset = map::hash(0, &host) % FIRST_SPREAD_MS;
            let next = now + millis(offset);
            let polled =
                Polled { next, answer_deadline: Time::NEVER, failures: 0, first_poll_done: false, report: None };
            self.hosts.entry(host).or_insert(polled);
        }
        self.update_placed();
    }

    /// Takes the configuration in force.
    pub fn configure(&mut self, config: &Arc<Config>) {
        self.config = Some(Arc::clone(config));
        self.update_placed();
    }

    fn update_placed(&mut self) {
        self.placed.clear();
        let Some(config) = &self.config else { return };
        for (service, number) in config.services.iter().zip(0..) {
            for target in service.targets.iter().filter(|target| self.hosts.contains_key(&target.address)) {
                self.placed.entry(target.address).or_default().push(ServiceIndex(number));
            }
        }
    }

    /// Returns whether the configuration places other services than `service` on a host.
    fn is_foreign(&self, host: Ipv4Addr, service: &str) -> bool {
        let (Some(config), Some(placed)) = (&self.config, self.placed.get(&host)) else { return false };
        !placed.iter().any(|index| config.services[index.0 as usize].name == service)
    }

    /// Returns the hosts to poll now.
    pub fn tick(&mut self, now: Time) -> Vec<Ipv4Addr> {
        let period = self.period_ms();
        let shortest = self.settings.poll_ms.max(1);
        let answer = millis(self.settings.answer_timeout_ms);
        let mut due = Vec::new();
        for (host, polled) in &mut self.hosts {
            if now.reached(polled.answer_deadline) {
                polled.answer_deadline = Time::NEVER;
                polled.failures = polled.failures.saturating_add(1);
                polled.first_poll_done = true;
            }
            if now.reached(polled.next) && polled.answer_deadline == Time::NEVER {
                polled.next = now + millis(polled.interval_ms(*host, shortest, period));
                polled.answer_deadline = now + answer;
                due.push(*host);
            }
        }
        due
    }

    /// Period of polls of a host that answers, in milliseconds.
    fn period_ms(&self) -> u64 {
        let spread = self.hosts.len() as u64 * 1000 / self.settings.rate.max(1);
        spread.min(self.settings.max_poll_ms).max(self.settings.poll_ms.max(1))
    }

    /// Takes the answer to a poll.
    ///
    /// # Errors
    ///
    /// [`Kind::Message`] for a body that is no report. The host answered, so this does not count as a failed poll.
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

    /// Returns what is known of the hosts that are polled.
    pub fn hosts(&self) -> impl Iterator<Item = (Ipv4Addr, Host)> {
        self.hosts.iter().map(|(host, polled)| (*host, self.host(*host, polled)))
    }

    /// Returns what is known of a host, none when it is not polled.
    #[must_use]
    pub fn host_of(&self, host: Ipv4Addr) -> Option<Host> {
        self.hosts.get(&host).map(|polled| self.host(host, polled))
    }

    /// Returns the time of the next tick.
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
            // A wrong service outweighs silence: packets would reach the wrong service once the host answers again.
            _ if foreign => HostState::Misplaced,
            State::Serving => self.state_or_down(polled, HostState::Serving),
            State::Cold => self.state_or_down(polled, HostState::Cold),
            State::Draining => self.state_or_down(polled, HostState::Draining),
        };
        Host { state, busy: Some(report.busy), connections: Some(report.connections) }
    }

    const fn state_or_down(&self, polled: &Polled, otherwise: HostState) -> HostState {
        if polled.failures >= self.settings.failures { HostState::Down } else { otherwise }
    }
}
