//! Target hosts that the platform's VM list says are leaving.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use crate::membership::millis;
use crate::time::Time;
use crate::wire::Leaving;

/// Validity of an entry that a relay read from the VM list, in milliseconds.
pub(super) const TTL_MS: u32 = 30_000;

/// Extension of the validity that is worth another round of messages, in milliseconds.
const EXTENSION_MS: u64 = 15_000;

/// Most entries; a mass replacement of a zone of the target size has fewer at one time.
const MAX_ENTRIES: usize = 8192;

/// Most entries in one message; they take about 12 bytes each.
const PER_MESSAGE: usize = 24;

#[derive(Debug)]
struct Entry {
    until: Time,
    sent: u32,
}

/// Hosts that are leaving, each until its entry runs out.
#[derive(Debug, Default)]
pub(super) struct LeavingHosts {
    hosts: BTreeMap<Ipv4Addr, Entry>,
}

impl LeavingHosts {
    /// Takes an entry; returns true when the host was not known to leave.
    pub(super) fn insert(&mut self, now: Time, leaving: Leaving) -> bool {
        let until = now + millis(leaving.ttl_ms.into());
        if leaving.ttl_ms == 0 || (self.hosts.len() >= MAX_ENTRIES && !self.hosts.contains_key(&leaving.host)) {
            return false;
        }
        let Some(entry) = self.hosts.get_mut(&leaving.host) else {
            self.hosts.insert(leaving.host, Entry { until, sent: 0 });
            return true;
        };
        // Small extensions are not taken, because two members would pass them back and forth.
        if until > entry.until + millis(EXTENSION_MS) {
            *entry = Entry { until, sent: 0 };
        }
        false
    }

    /// Returns the entries for a message. Each is sent `limit` times.
    pub(super) fn next_batch(&mut self, now: Time, limit: u32) -> Vec<Leaving> {
        let mut order: Vec<_> = self.hosts.iter().filter(|(_, e)| e.sent < limit).map(|(h, e)| (e.sent, *h)).collect();
        order.sort_unstable();
        order.truncate(PER_MESSAGE);
        let mut batch = Vec::with_capacity(order.len());
        for (_, host) in order {
            let Some(entry) = self.hosts.get_mut(&host) else { continue };
            entry.sent += 1;
            let remaining = entry.until.since(now).as_millis();
            batch.push(Leaving { host, ttl_ms: u32::try_from(remaining).unwrap_or(TTL_MS).min(TTL_MS) });
        }
        batch
    }

    /// Forgets entries that ran out; returns true when there were some.
    pub(super) fn expire(&mut self, now: Time) -> bool {
        let before = self.hosts.len();
        self.hosts.retain(|_, entry| !now.reached(entry.until));
        self.hosts.len() != before
    }

    pub(super) fn hosts(&self) -> impl Iterator<Item = Ipv4Addr> {
        self.hosts.keys().copied()
    }
}
