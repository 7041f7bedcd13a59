//! Target hosts to which no member assigns new flows: those that are leaving according to the platform's VM list, and
//! misplaced ones.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use crate::membership::millis;
use crate::time::Time;
use crate::wire::Leaving;

/// Validity of an entry for a host that this node found to be leaving or misplaced, and maximum validity that this node
/// sends, in milliseconds.
pub(super) const TTL_MS: u32 = 30_000;

/// Extension of the validity above which an entry is sent again, in milliseconds.
const MIN_EXTENSION_MS: u64 = 15_000;

/// Maximum number of entries; a mass replacement in a zone of the size that the design aims at needs fewer at one time.
const MAX_ENTRIES: usize = 8192;

/// Maximum number of entries in one message; each takes about 12 bytes.
const MAX_PER_MESSAGE: usize = 24;

#[derive(Debug)]
struct Entry {
    until: Time,
    /// Number of messages that contained the entry.
    sent: u32,
}

/// Leaving and misplaced hosts, each until its entry expires.
#[derive(Debug, Default)]
pub(super) struct Hosts {
    hosts: BTreeMap<Ipv4Addr, Entry>,
}

impl Hosts {
    /// Inserts or extends an entry; returns true when the host was not listed before.
    pub(super) fn insert(&mut self, now: Time, leaving: Leaving) -> bool {
        let until = now + millis(leaving.ttl_ms.into());
        if leaving.ttl_ms == 0 || (self.hosts.len() >= MAX_ENTRIES && !self.hosts.contains_key(&leaving.host)) {
            return false;
        }
        let Some(entry) = self.hosts.get_mut(&leaving.host) else {
            self.hosts.insert(leaving.host, Entry { until, sent: 0 });
            return true;
        };
        // Small extensions are ignored, because two members would otherwise keep sending them to each other.
        if until > entry.until + millis(MIN_EXTENSION_MS) {
            *entry = Entry { until, sent: 0 };
        }
        false
    }

    /// Returns the entries for the next message, those sent least often first. Each entry is sent `limit` times.
    pub(super) fn next_batch(&mut self, now: Time, limit: u32) -> Vec<Leaving> {
        let mut order: Vec<_> = self.hosts.iter().filter(|(_, e)| e.sent < limit).map(|(h, e)| (e.sent, *h)).collect();
        order.sort_unstable();
        order.truncate(MAX_PER_MESSAGE);
        let mut batch = Vec::with_capacity(order.len());
        for (_, host) in order {
            let Some(entry) = self.hosts.get_mut(&host) else { continue };
            entry.sent += 1;
            let remaining = entry.until.since(now).as_millis();
            batch.push(Leaving { host, ttl_ms: u32::try_from(remaining).unwrap_or(TTL_MS).min(TTL_MS) });
        }
        batch
    }

    /// Removes expired entries; returns true when there were any.
    pub(super) fn expire(&mut self, now: Time) -> bool {
        let before = self.hosts.len();
        self.hosts.retain(|_, entry| !now.reached(entry.until));
        self.hosts.len() != before
    }

    pub(super) fn hosts(&self) -> impl Iterator<Item = Ipv4Addr> {
        self.hosts.keys().copied()
    }
}
