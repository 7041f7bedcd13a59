//! Validation of gossip messages before any part of them takes effect.

use crate::error::{Error, Kind, Result};
use crate::wire::{Gossip, Record, VERSION};

/// Maximum number of updates in one message. The byte limit of the sender allows about 20.
pub const MAX_UPDATES: usize = 64;

/// Maximum number of leaving hosts in one message.
pub const MAX_LEAVING: usize = 64;

/// Maximum validity of the entry of a leaving host, in milliseconds.
pub const MAX_TTL_MS: u32 = 60_000;

/// Maximum incarnation and generation. JSON numbers are exact up to this value, and adding one to it does not overflow.
pub const MAX_COUNTER: u64 = 1 << 53;

/// Maximum length of a name, zone or region, in bytes.
const MAX_NAME: usize = 64;

/// Checks a message that the member `me` received.
///
/// # Errors
///
/// [`Kind::Message`] with the path and the value of the first invalid field.
pub fn check(me: &Record, gossip: &Gossip) -> Result<()> {
    if gossip.version != VERSION {
        return invalid("version", &format!("{} is not supported, expected {VERSION}", gossip.version));
    }
    check_record(me, &gossip.sender, "sender")?;
    check_count("generation", gossip.generation, MAX_COUNTER)?;
    check_count("updates", gossip.updates.len() as u64, MAX_UPDATES as u64)?;
    check_count("leaving", gossip.leaving.len() as u64, MAX_LEAVING as u64)?;
    for leaving in &gossip.leaving {
        check_count("leaving.ttl_ms", leaving.ttl_ms.into(), MAX_TTL_MS.into())?;
    }
    gossip.updates.iter().try_for_each(|record| check_record(me, record, "updates"))
}

fn check_record(me: &Record, record: &Record, path: &str) -> Result<()> {
    for (field, value) in [("name", &record.name), ("zone", &record.zone), ("region", &record.region)] {
        if value.is_empty() || value.len() > MAX_NAME {
            return invalid(
                &format!("{path}.{field}"),
                &format!("length of {} bytes is not in 1 to {MAX_NAME}", value.len()),
            );
        }
    }
    for (field, address) in [("peer", record.peer), ("relay", record.relay)] {
        if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
            return invalid(&format!("{path}.{field}"), &format!("{address} is unspecified, multicast or has port 0"));
        }
    }
    check_count(&format!("{path}.incarnation"), record.incarnation, MAX_COUNTER)?;
    if record.region != me.region {
        let text = format!("{:?} differs from the region {:?} of this member", record.region, me.region);
        return invalid(&format!("{path}.region"), &text);
    }
    if record.id == me.id && (&record.name, &record.zone, record.peer) != (&me.name, &me.zone, me.peer) {
        let text = format!(
            "{} is the id of this member, but the record has name {:?} and address {}",
            record.id, record.name, record.peer
        );
        return invalid(&format!("{path}.id"), &text);
    }
    Ok(())
}

fn check_count(path: &str, value: u64, max: u64) -> Result<()> {
    if value > max {
        return invalid(path, &format!("{value} exceeds the maximum of {max}"));
    }
    Ok(())
}

fn invalid(path: &str, text: &str) -> Result<()> {
    Err(Error::new(Kind::Message, format!("gossip {path}: {text}")))
}
