//! Tracks open flows like a stateful middlebox, so that single flows can be silenced.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::str::FromStr;

use eyre::{Result, eyre};

use crate::stack::Header;

/// Maximum number of tracked flows. Further ones cannot be silenced.
const MAX_FLOWS: usize = 1_000_000;

/// Identifies a flow on both sides of the balancer, which rewrites the service address but keeps the port.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Key {
    /// Endpoint of the caller.
    pub caller: SocketAddrV4,
    /// Port of the service.
    pub port: u16,
}

impl FromStr for Key {
    type Err = eyre::Report;

    /// Parses `IP:port>IP:port`, the form used in the records of flows.
    fn from_str(text: &str) -> Result<Self> {
        let (caller, service) = text.split_once('>').ok_or_else(|| eyre!("flow {text:?} has no '>'"))?;
        let parse = |end: &str| end.parse::<SocketAddrV4>().map_err(|error| eyre!("endpoint {end:?}: {error}"));
        Ok(Self { caller: parse(caller)?, port: parse(service)?.port() })
    }
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    /// Sequence number of the SYN.
    sequence: u32,
    /// True once a packet other than the SYN was seen, normally the SYN-ACK.
    seen_reply: bool,
    silenced: bool,
}

/// Table of tracked flows.
#[derive(Debug, Default)]
pub struct Table {
    entries: HashMap<Key, Entry>,
}

impl Table {
    /// Updates the table with a packet between a caller and a service address. A SYN with a new sequence number starts
    /// a new flow, which is not silenced. A FIN or RST ends a flow, except a silenced one.
    pub fn observe(&mut self, key: Key, header: &Header) {
        let known = self.entries.get(&key).copied();
        if header.syn {
            let repeated = known.is_some_and(|entry| entry.sequence == header.sequence);
            if !repeated && (known.is_some() || self.entries.len() < MAX_FLOWS) {
                self.entries.insert(key, Entry { sequence: header.sequence, seen_reply: false, silenced: false });
            }
        } else if header.fin_or_rst && known.is_some_and(|entry| !entry.silenced) {
            self.entries.remove(&key);
        } else if let Some(entry) = self.entries.get_mut(&key) {
            entry.seen_reply = true;
        }
    }

    /// Silences a flow. Returns false if the flow is not tracked.
    pub fn silence(&mut self, key: &Key) -> bool {
        self.entries.get_mut(key).is_some_and(|entry| {
            entry.silenced = true;
            true
        })
    }

    /// Silences the open flows for which `predicate` returns true and returns their number. The keys are visited in
    /// ascending order, so that a seeded random `predicate` is reproducible. A flow whose SYN has no reply yet is not
    /// open, and silencing it would break nothing.
    pub fn silence_where(&mut self, mut predicate: impl FnMut(&Key) -> bool) -> usize {
        let replied = self.entries.iter().filter(|(_, entry)| entry.seen_reply);
        let mut keys: Vec<_> = replied.map(|(key, _)| *key).collect();
        keys.sort_unstable_by_key(|key| (key.caller, key.port));
        keys.iter().filter(|key| predicate(key)).filter(|key| self.silence(key)).count()
    }

    /// Returns true if the flow is silenced, which means that its packets are dropped.
    #[must_use]
    pub fn is_silenced(&self, key: &Key) -> bool {
        self.entries.get(key).is_some_and(|entry| entry.silenced)
    }

    /// Returns the number of tracked flows, including silenced ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if no flow is tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
