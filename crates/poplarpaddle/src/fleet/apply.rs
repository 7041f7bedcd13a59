//! Application of responses of the store and of changes pulled from peers to the state of a node.

use super::{Action, Fault, Node, Response, stale};
use crate::error::Result;
use crate::feed::{Announcement, Outcome, Topic};
use crate::former::Entry;
use crate::registry::{General, HostDelta, RouteDelta, ZoneDrainDelta};
use crate::time::Time;
use crate::wire::Transfer;

/// Maximum number of invalid entries that are remembered as reported.
const MAX_REPORTED: usize = 1024;

impl Node {
    /// Applies a response of the store.
    pub(super) fn apply(&mut self, now: Time, topic: Topic, response: Response) -> Result<Outcome> {
        self.report_older(now, topic, &response);
        match response {
            Response::Hosts { delta, faults } => {
                self.report_faults(now, "registration.unreadable", faults);
                self.merge_hosts(now, delta)?;
            }
            Response::ZoneDrains { delta, faults } => {
                self.report_faults(now, "zone_drain.unreadable", faults);
                self.merge_zone_drains(now, delta)?;
            }
            Response::Routes { as_of, content: Some((general, routes)), faults } => {
                self.report_faults(now, "service.unreadable", faults);
                let delta = self.routes.snapshot_of(as_of, routes);
                self.merge_routes(now, general, delta)?;
                self.former.set_source();
            }
            Response::Routes { as_of, content: None, .. } => self.routes.advance(as_of),
            Response::Unreadable { as_of, text } => {
                self.record_event(now, "config.unreadable", &as_of.to_string(), text);
                self.routes.advance(as_of);
            }
            Response::Unchanged { as_of } => match topic {
                Topic::Hosts => self.hosts.advance(as_of),
                Topic::Routes => self.routes.advance(as_of),
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
            Topic::Routes => (self.routes.revision(), self.routes.as_of()),
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
    fn report_older(&mut self, now: Time, topic: Topic, response: &Response) {
        let as_of = match response {
            Response::Hosts { delta, .. } => delta.to,
            Response::ZoneDrains { delta, .. } => delta.to,
            Response::Routes { as_of, .. } | Response::Unreadable { as_of, .. } | Response::Unchanged { as_of } => {
                *as_of
            }
            Response::HistoryGone { .. } => return,
        };
        let known = self.feed.as_of(topic);
        if as_of < known {
            let detail = format!("the response is at revision {as_of}, the state at {known}");
            self.record_event(now, "store.older", &topic.to_string(), detail);
        }
    }

    fn merge_hosts(&mut self, now: Time, delta: HostDelta) -> Result<()> {
        let changed = self.hosts.merge(delta)?;
        if !changed.is_empty() {
            let detail = format!("revision {}: {}", self.hosts.revision(), changed.join(" "));
            self.record_event(now, "hosts.changed", &changed.len().to_string(), detail);
            self.actions.push(Action::HostsChanged(changed));
        }
        Ok(())
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
        let was_unknown = self.zone_drains.as_of() == 0;
        let changed = self.zone_drains.merge(delta)?;
        self.feed.set_digest(Topic::ZoneDrains, self.zone_drains.digest());
        let detail = format!("revision {}", self.zone_drains.revision());
        for zone in &changed {
            let name = if self.zone_drains.get(zone).is_some() { "zone.drained" } else { "zone.returned" };
            self.record_event(now, name, zone, detail.clone());
        }
        if !changed.is_empty() || (was_unknown && self.zone_drains.as_of() > 0) {
            self.actions.push(Action::ZoneDrainsChanged(changed));
        }
        Ok(())
    }

    /// Applies a change of the routes. Within the lifetime of the process, the version of the configuration never
    /// decreases.
    fn merge_routes(&mut self, now: Time, general: General, delta: RouteDelta) -> Result<()> {
        if delta.to <= self.routes.as_of() {
            return Ok(());
        }
        if general.version < self.general.version {
            let text = format!(
                "version {} of the configuration is lower than version {}, which is in force",
                general.version, self.general.version
            );
            return Err(stale(text));
        }
        let to = delta.to;
        let former = self.former_services(now, &delta);
        let changed = self.routes.merge(delta)?;
        self.former.record(former);
        if general != self.general {
            // Peers compare revisions, so a new version has to count as a change even if no route changed.
            self.routes.touch(to);
            let version = general.version;
            if general.services != self.general.services {
                self.actions.push(Action::ServicesChanged);
            }
            self.general = general;
            let detail = format!("revision {}, {} routes changed", self.routes.revision(), changed.len());
            self.record_event(now, "config.applied", &version.to_string(), detail);
        }
        if !changed.is_empty() {
            self.actions.push(Action::RoutesChanged(changed));
        }
        Ok(())
    }
}
