//! Open flows, as a middlebox that keeps state sees them.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::str::FromStr;

use eyre::{Result, eyre};

use crate::stack::Header;

/// Flows that are tracked at most; further ones cannot be silenced.
const MAX_FLOWS: usize = 1_000_000;

/// Identifies a flow before and after the rewriting of its service address, which keeps the port.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Key {
    /// Caller's endpoint.
    pub caller: SocketAddrV4,
    /// Port of the service.
    pub port: u16,
}

impl FromStr for Key {
    type Err = eyre::Report;

    /// Parses `IP:port>IP:port`, as in the records of flows.
    fn from_str(text: &str) -> Result<Self> {
        let (caller, service) = text.split_once('>').ok_or_else(|| eyre!("flow {text:?} has no '>'"))?;
        let parse = |end: &str| end.parse::<SocketAddrV4>().map_err(|error| eyre!("endpoint {end:?}: {error}"));
        Ok(Self { caller: parse(caller)?, port: parse(service)?.port() })
    }
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    sequence: u32,
    /// A packet after the opening was seen.
    seen_reply: bool,
    silenced: bool,
}

/// Open flows.
#[derive(Debug, Default)]
pub struct Table {
    entries: HashMap<Key, Entry>,
}

impl Table {
    /// Learns from a packet between a caller and a service address. An opening with a new sequence number is a new
    /// flow, which is not silenced.
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

    /// Silences an open flow; returns false when it is not known.
    pub fn silence(&mut self, key: &Key) -> bool {
        self.entries.get_mut(key).is_some_and(|entry| {
            entry.silenced = true;
            true
        })
    }

    /// Silences the open flows for which `predicate` returns true, in the order of their keys, and returns their number. A flow
    /// whose opening has no answer yet is not open, and its silence breaks nothing.
    pub fn silence_where(&mut self, mut predicate: impl FnMut(&Key) -> bool) -> usize {
        let replied = self.entries.iter().filter(|(_, entry)| entry.seen_reply);
        let mut keys: Vec<_> = replied.map(|(key, _)| *key).collect();
        keys.sort_unstable_by_key(|key| (key.caller, key.port));
        keys.iter().filter(|key| predicate(key)).filter(|key| self.silence(key)).count()
    }

    /// Returns true when packets of the flow are dropped.
    #[must_use]
    pub fn is_silenced(&self, key: &Key) -> bool {
        self.entries.get(key).is_some_and(|entry| entry.silenced)
    }

    /// Returns the number of open flows, silenced ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true when no flow is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
