//! What a node does when the store was restored from a copy: it records it, has its own entries written again, and takes
//! the state of the store for complete once the other writers had time to do the same.

use std::time::Duration;

use super::Node;
use crate::time::Time;

/// Time after the first response of a restored store within which its writers write again what it has lost.
const RESTORE_TIME: Duration = Duration::from_millis(2200);

/// Restorations of the store, as far as a node has seen them.
#[derive(Debug)]
pub(super) struct Restoration {
    /// Epoch of the store; none before its first response.
    epoch: Option<u64>,
    /// When the state of the store counts as complete; [`Time::NEVER`] when it does already.
    settle_at: Time,
}

impl Default for Restoration {
    fn default() -> Self {
        Self { epoch: None, settle_at: Time::NEVER }
    }
}

impl Restoration {
    /// Returns the epoch of the store, 0 if it is not known.
    pub(super) fn epoch(&self) -> u64 {
        self.epoch.unwrap_or_default()
    }

    /// Returns the time at which the state of the store counts as complete.
    pub(super) const fn deadline(&self) -> Time {
        self.settle_at
    }
}

impl Node {
    /// Detects that the store was restored from a copy, and has the entries of the members written again.
    pub(super) fn detect_restoration(&mut self, now: Time) {
        let known = self.feed.topics().iter().map(|topic| self.feed.as_of(*topic));
        let Some(epoch) = known.filter(|as_of| !as_of.is_none()).map(|as_of| as_of.epoch).max() else { return };
        let Some(before) = self.restoration.epoch.replace(epoch).filter(|before| *before < epoch) else { return };
        self.former.restore();
        if self.restoration.settle_at != Time::NEVER {
            self.restoration.settle_at = now + RESTORE_TIME;
        }
        let detail = format!("the store was restored from a copy; its epoch was {before} before");
        self.record_event(now, "store.restored", &epoch.to_string(), detail);
    }

    /// Schedules [`Self::settle`] after a snapshot that lacks some of the state.
    pub(super) fn schedule_settling(&mut self, now: Time) {
        self.restoration.settle_at = self.restoration.settle_at.min(now + RESTORE_TIME);
    }

    /// Takes over the state of a restored store as it is.
    pub(super) fn settle(&mut self, now: Time) {
        if !now.reached(self.restoration.settle_at) {
            return;
        }
        self.restoration.settle_at = Time::NEVER;
        let hosts = self.hosts.settle();
        self.hosts_changed(now, hosts);
        let zones = self.zone_drains.settle();
        self.zone_drains_changed(now, zones, false);
    }
}
