//! Application of responses of the store and of changes pulled from peers to the state of a node.

use std::cmp::Ordering;

use super::{Action, Fault, Node, Response, stale};
use crate::error::{Error, Kind, Result};
use crate::feed::{Announcement, Outcome, Topic};
use crate::former::Entry;
use crate::registry::{Address, General, Host, HostDelta, Route, RouteDelta, ZoneDrainDelta};
use crate::revision::Revision;
use crate::time::Time;
use crate::wire::Transfer;

/// Maximum number of invalid entries that are remembered as reported.
const MAX_REPORTED: usize = 1024;

impl Node {
    /// Applies a response of the store.
    pub(super) fn apply(&mut self, now: Time, topic: Topic, response: Response) -> Result<Outcome> {
        let as_of = response.as_of().unwrap_or_default();
        self.check_age(now, topic, &response)?;
        match response {
            Response::Hosts { delta, faults } => {
                self.report_faults(now, "registration.unreadable", faults);
                self.merge_hosts(now, delta)?;
            }
            Response::ZoneDrains { delta, faults } => {
                self.report_faults(now, "zone_drain.unreadable", faults);
                self.merge_zone_drains(now, delta)?;
            }
            Response::Routes { content: Some((general, routes)), faults, .. } => {
                self.report_faults(now, "service.unreadable", faults);
                self.apply_config(now, as_of, general, routes)?;
            }
            Response::Routes { content: None, .. } => {}
            Response::Unreadable { text, .. } => {
                self.record_event(now, "config.unreadable", &as_of.to_string(), text);
            }
            Response::Unchanged { .. } => match topic {
                Topic::Hosts => self.hosts.advance(as_of),
                Topic::Routes => {}
                Topic::ZoneDrains => self.zone_drains.advance(as_of),
            },
            Response::HistoryGone { epoch } => {
                let detail = format!(
                    "the store is in epoch {epoch} and lacks the history after revision {}; reading a snapshot",
                    self.feed.as_of(topic)
                );
                self.record_event(now, "store.history_gone", &topic.to_string(), detail);
                return Ok(Outcome::HistoryGone);
            }
        }
        let (revision, as_of) = match topic {
            Topic::Hosts => (self.hosts.revision(), self.hosts.as_of()),
            Topic::Routes => (Revision::from(self.general.version), as_of),
            Topic::ZoneDrains => (self.zone_drains.revision(), self.zone_drains.as_of()),
        };
        Ok(Outcome::Confirmed { revision, as_of })
    }

    /// Applies changes pulled from a peer and returns the peer's announcement. Times in `changes` are relative to when
    /// they were sent.
    pub(super) fn apply_changes(&mut self, now: Time, mut changes: Transfer) -> Result<Announcement> {
        for item in &mut changes.hosts.put {
            item.value.cold_until = now + item.value.cold_until.since(Time::default());
        }
        // Zone drains come first, so that an error in the other collections does not delay them.
        if self.feed.has_topic(Topic::ZoneDrains) {
            self.merge_zone_drains(now, changes.zone_drains)?;
        }
        self.merge_hosts(now, changes.hosts)?;
        self.merge_routes(now, changes.general, changes.routes)?;
        Ok(changes.news)
    }

    /// Records the event `name` for each error, once per revision. An entry may have several.
    fn report_faults(&mut self, now: Time, name: &str, faults: Vec<Fault>) {
        for fault in faults {
            let key = (fault.name, fault.text);
            if self.reported.get(&key) == Some(&fault.revision) {
                continue;
            }
            if self.reported.len() >= MAX_REPORTED {
                self.reported.clear();
            }
            self.record_event(now, name, &key.0, format!("revision {}: {}", fault.revision, key.1));
            self.reported.insert(key, fault.revision);
        }
    }

    /// Records an event if a response is older than the state of its topic, so that it has no effect.
    ///
    /// # Errors
    ///
    /// [`Kind::Stale`] if it comes from before the store was restored, so that it does not confirm the state either.
    fn check_age(&mut self, now: Time, topic: Topic, response: &Response) -> Result<()> {
        let known = self.feed.as_of(topic);
        let Some(as_of) = response.as_of().filter(|as_of| *as_of < known) else { return Ok(()) };
        let detail = format!("the response is at revision {as_of}, the state at {known}");
        self.record_event(now, "store.older", &topic.to_string(), detail.clone());
        if as_of.epoch < known.epoch { Err(stale(detail)) } else { Ok(()) }
    }

    fn merge_hosts(&mut self, now: Time, delta: HostDelta) -> Result<()> {
        let is_snapshot = delta.base.is_none();
        let changed = self.hosts.merge_with(delta, Host::is_written_since)?;
        if is_snapshot && self.hosts.is_unsettled() {
            self.schedule_settling(now);
        }
        self.hosts_changed(now, changed);
        Ok(())
    }

    /// Passes changes of the hosts to the data path.
    pub(super) fn hosts_changed(&mut self, now: Time, changed: Vec<String>) {
        self.feed.set_digest(Topic::Hosts, self.hosts.digest());
        if !changed.is_empty() {
            let detail = format!("revision {}: {}", self.hosts.revision(), changed.join(" "));
            self.record_event(now, "hosts.changed", &changed.len().to_string(), detail);
            self.actions.push(Action::HostsChanged(changed));
        }
    }

    /// Returns the services that routes no longer use after `delta`.
    fn former_services(&self, now: Time, delta: &RouteDelta) -> Vec<Entry> {
        let until = self.former.end_of_life(now);
        let mut entries = Vec::new();
        for item in &delta.put {
            let Some(old) = self.routes.get(&item.key) else { continue };
            let left = old.services().filter(|service| !item.value.allows(service));
            entries.extend(left.map(|service| Entry { address: item.key, service: service.to_owned(), until }));
        }
        entries
    }

    fn merge_zone_drains(&mut self, now: Time, delta: ZoneDrainDelta) -> Result<()> {
        let was_unknown = self.zone_drains.as_of().is_none();
        let is_snapshot = delta.base.is_none();
        // All orders to drain a zone are alike, so the known one is as good as that of the store.
        let changed = self.zone_drains.merge_with(delta, |_known, _listed| true)?;
        if is_snapshot && self.zone_drains.is_unsettled() {
            self.schedule_settling(now);
        }
        let is_first = was_unknown && !self.zone_drains.as_of().is_none();
        self.zone_drains_changed(now, changed, is_first);
        Ok(())
    }

    /// Passes changes of the zone drains to the data path, even if there is none when the zone drains become known.
    pub(super) fn zone_drains_changed(&mut self, now: Time, changed: Vec<String>, is_first: bool) {
        self.feed.set_digest(Topic::ZoneDrains, self.zone_drains.digest());
        let detail = format!("revision {}", self.zone_drains.revision());
        for zone in &changed {
            let name = if self.zone_drains.get(zone).is_some() { "zone.drained" } else { "zone.returned" };
            self.record_event(now, name, zone, detail.clone());
        }
        if !changed.is_empty() || is_first {
            self.actions.push(Action::ZoneDrainsChanged(changed));
        }
    }

    /// Applies the configuration that the store has at revision `as_of`, unless a later version is in force: a store that
    /// was restored from a copy has an older one until the operator writes the later one again.
    fn apply_config(
        &mut self,
        now: Time,
        as_of: Revision,
        general: General,
        routes: Vec<(Address, Route)>,
    ) -> Result<()> {
        let (version, in_force) = (general.version, self.general.version);
        match version.cmp(&in_force) {
            Ordering::Greater => {
                let delta = self.routes.snapshot_of(Revision::from(version), routes);
                self.merge_routes(now, general, delta)?;
                self.former.set_source();
            }
            Ordering::Equal if general != self.general || !self.has_routes(&routes) => {
                let detail = format!("the store has other content at revision {as_of}; the first one stays in force");
                self.record_event(now, "config.conflict", &version.to_string(), detail);
            }
            Ordering::Equal => {}
            Ordering::Less => {
                let detail = format!("the store has it at revision {as_of}; version {in_force} stays in force");
                self.record_event(now, "config.older", &version.to_string(), detail);
            }
        }
        Ok(())
    }

    /// Returns true if `routes` are those in force.
    fn has_routes(&self, routes: &[(Address, Route)]) -> bool {
        let is_in_force = |(address, route): &(Address, Route)| self.routes.get(address) == Some(route);
        routes.len() == self.routes.len() && routes.iter().all(is_in_force)
    }

    /// Applies a change of the routes, whose revisions are versions of the configuration. Within the lifetime of the
    /// process, the version never decreases.
    ///
    /// # Errors
    ///
    /// [`Kind::Message`] if the routes are not those of the version in `general`.
    fn merge_routes(&mut self, now: Time, general: General, delta: RouteDelta) -> Result<()> {
        let version = Revision::from(general.version);
        if delta.to != version {
            let text = format!("routes of version {} do not belong to version {version}", delta.to);
            return Err(Error::new(Kind::Message, text));
        }
        if version <= self.routes.as_of() {
            return Ok(());
        }
        let former = self.former_services(now, &delta);
        let changed = self.routes.merge(delta)?;
        self.former.record(former);
        if general.services != self.general.services {
            self.actions.push(Action::ServicesChanged);
        }
        self.general = general;
        let detail = format!("{} routes changed", changed.len());
        self.record_event(now, "config.applied", &self.general.version.to_string(), detail);
        if !changed.is_empty() {
            self.actions.push(Action::RoutesChanged(changed));
        }
        Ok(())
    }
}
