//! Recovery of flows without an entry.
//!
//! A flow is learned from a packet of its target, or its candidates are probed one by one. Sequence numbers tell
//! whether a caller and a target talk about the same connection.
//!
//! ```
//! use poplarpaddle::recovery::Probe;
//!
//! let host = std::net::Ipv4Addr::new(10, 0, 0, 1);
//! let mut probe = Probe::new([host].into_iter().collect(), false);
//! assert_eq!(probe.current(), Some(host));
//! probe.advance(true);
//! assert!(probe.is_unrecoverable());
//! ```
//!
//! A probe costs one round trip for each candidate that does not know the flow. A candidate that does not answer costs
//! the reply deadline, and keeps the probe from claiming that the flow is lost.

use std::net::Ipv4Addr;

use crate::flow::{Entry, Flag, Stage};
use crate::packet::{Kind, View};
use crate::placement::Candidates;

/// Bytes by which the first acknowledgement of a caller may be past the SYN-ACK when packets arrive out of order.
const ACCEPT_WINDOW: u32 = 1 << 24;

/// Bytes between a target's packet and the acknowledgement of the caller. Larger than the usual socket buffers; a
/// packet of another connection falls into it by chance once in 32 times.
const LEARN_WINDOW: u32 = 1 << 26;

/// A search for the target of one flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    candidates: Candidates,
    next: usize,
    is_inconclusive: bool,
}

impl Probe {
    /// Returns a probe that starts with the first candidate. `is_partial` tells that a target is left out.
    #[must_use]
    pub const fn new(candidates: Candidates, is_partial: bool) -> Self {
        Self { candidates, next: 0, is_inconclusive: is_partial }
    }

    /// Returns the candidate under probe, none after the last.
    #[must_use]
    pub fn current(&self) -> Option<Ipv4Addr> {
        self.candidates.get(self.next).copied()
    }

    /// Goes on to the next candidate. `denied` tells that the current one does not know the flow.
    pub const fn advance(&mut self, denied: bool) {
        self.is_inconclusive |= !denied;
        self.next += 1;
    }

    /// Returns true when every target of the service denied the flow.
    #[must_use]
    pub fn is_unrecoverable(&self) -> bool {
        self.current().is_none() && !self.is_inconclusive
    }
}

/// Returns true unless the numbers of a caller's packet show that the connection has another target than the entry, or
/// is not the one that the entry was made for.
#[must_use]
pub fn belongs_to_entry(entry: &Entry, packet: &View<'_>) -> bool {
    is_current(entry, packet) && confirms(entry, packet)
}

/// Returns true unless the acknowledgement of a caller's packet belongs to a connection with another target.
///
/// Two owners with different views may place one opening on two targets. The caller completes the handshake with one;
/// the owner that placed it on the other notices here and searches for the real target.
fn confirms(entry: &Entry, packet: &View<'_>) -> bool {
    if packet.acknowledgement == 0 {
        return true;
    }
    match entry.stage {
        Stage::Accepted => {
            let first = entry.target_sequence.wrapping_add(1);
            packet.acknowledgement.wrapping_sub(first) < ACCEPT_WINDOW
        }
        Stage::Learned => is_within_window(packet.acknowledgement, entry.target_sequence),
        _ => true,
    }
}

/// Returns true unless the numbers of two packets show that caller and target talk about different connections.
///
/// A target that keeps an old connection of the same caller port answers a probe with the state of that one.
#[must_use]
pub const fn is_same_connection(caller: &View<'_>, target: &View<'_>) -> bool {
    if caller.acknowledgement == 0 || target.acknowledgement == 0 {
        return true;
    }
    is_within_window(caller.sequence, target.acknowledgement)
        && is_within_window(caller.acknowledgement, target.sequence)
}

/// Returns true unless the caller's sequence number shows that the entry is of an earlier connection.
#[must_use]
pub const fn is_current(entry: &Entry, packet: &View<'_>) -> bool {
    let is_after_fin = entry.has(Flag::CallerFin) && packet.has_payload() && !is_retransmission(entry, packet);
    if is_after_fin && packet.acknowledgement != 0 {
        return false;
    }
    packet.acknowledgement == 0 || entry.next_sequence == 0 || is_within_window(packet.sequence, entry.next_sequence)
}

/// Returns true when the caller's packet is of an earlier connection than the opening of the entry, and came late.
#[must_use]
pub const fn is_from_earlier_connection(entry: &Entry, packet: &View<'_>) -> bool {
    // A carrier that does not number its packets leaves 0.
    entry.has(Flag::OpeningSeen) && packet.sequence != 0 && !is_within_window(packet.sequence, entry.opening_sequence)
}

/// Returns true unless the sequence number of a target's packet shows that it is not of the connection of the entry.
///
/// A target with another connection of the same caller port resets the caller's packets with the caller's own numbers,
/// which the caller would believe.
#[must_use]
pub const fn is_from_connection(entry: &Entry, packet: &View<'_>) -> bool {
    packet.sequence == 0 || is_within_window(packet.sequence, entry.target_sequence)
}

const fn is_within_window(one: u32, other: u32) -> bool {
    one.wrapping_sub(other.wrapping_sub(LEARN_WINDOW)) < 2 * LEARN_WINDOW
}

/// Returns true when a target's packet answers the opening of the entry.
#[must_use]
pub const fn answers_opening(entry: &Entry, packet: &View<'_>) -> bool {
    packet.acknowledgement == 0 || packet.acknowledgement == entry.opening_sequence.wrapping_add(1)
}

/// Returns true when a target's packet shows that the caller completed the handshake of the entry's opening with it: the
/// target sends payload or acknowledges some.
#[must_use]
pub fn proves_handshake(entry: &Entry, packet: &View<'_>) -> bool {
    if packet.acknowledgement == 0
        || !entry.has(Flag::OpeningSeen)
        || !matches!(packet.kind, Kind::Data | Kind::Closing)
    {
        return false;
    }
    let ahead = packet.acknowledgement.wrapping_sub(entry.opening_sequence.wrapping_add(1));
    ahead < ACCEPT_WINDOW && (ahead > 0 || packet.has_payload())
}

/// Returns true when a target's packet acknowledges payload that was not forwarded here, so that another balancer
/// forwarded it. Callers cannot bring this about, and reordering cannot either.
#[must_use]
pub const fn acknowledges_unseen_payload(entry: &Entry, packet: &View<'_>) -> bool {
    if packet.acknowledgement == 0 || entry.next_sequence == 0 {
        return false;
    }
    // The end of the caller's stream takes one number without payload.
    let ahead = packet.acknowledgement.wrapping_sub(entry.next_sequence);
    ahead > 1 && ahead < LEARN_WINDOW
}

/// Returns true when the payload of a caller's packet was forwarded before.
#[must_use]
pub const fn is_retransmission(entry: &Entry, packet: &View<'_>) -> bool {
    let end = packet.sequence.wrapping_add(packet.payload);
    // A carrier without acknowledgements does not number its bytes.
    packet.acknowledgement != 0 && end.wrapping_sub(entry.next_sequence).cast_signed() <= 0
}
