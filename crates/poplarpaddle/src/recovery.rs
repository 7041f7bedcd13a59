//! Recovery of flows without an entry.
//!
//! The target of a flow is learned from one of its packets, or found by probing the candidate targets one by one. Sequence
//! and acknowledgement numbers show whether packets of a caller and a target belong to the same connection.
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
//! A probe costs one round trip for each candidate that does not know the flow. A candidate that does not answer costs the
//! probe timeout, and the probe can no longer conclude that the flow is lost.

use std::net::Ipv4Addr;

use crate::flow::{Entry, Flag, Stage};
use crate::packet::{Kind, View};
use crate::placement::Candidates;

/// Bytes by which the first acknowledgement number after a SYN or SYN-ACK may be ahead of it when packets arrive out of
/// order.
const ACCEPT_WINDOW: u32 = 1 << 24;

/// Largest distance in bytes between two sequence numbers of one connection, such as that of a target's packet and the
/// caller's acknowledgement number. Larger than the usual socket buffers; a packet of another connection falls within it by
/// chance once in 32 times.
const CONNECTION_WINDOW: u32 = 1 << 26;

/// State of the search for the target of one flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    candidates: Candidates,
    next: usize,
    is_inconclusive: bool,
}

impl Probe {
    /// Returns a probe that starts with the first candidate. `is_partial` means that some target of the service is not among
    /// them, so the probe cannot show that the flow is lost.
    #[must_use]
    pub const fn new(candidates: Candidates, is_partial: bool) -> Self {
        Self { candidates, next: 0, is_inconclusive: is_partial }
    }

    /// Returns the current candidate, none after the last one.
    #[must_use]
    pub fn current(&self) -> Option<Ipv4Addr> {
        self.candidates.get(self.next).copied()
    }

    /// Moves on to the next candidate. `denied` means that the current one does not know the flow.
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

/// Returns true unless the numbers of a caller's packet show that it belongs to another connection than the entry, or that
/// the connection has another target.
#[must_use]
pub fn belongs_to_entry(entry: &Entry, packet: &View<'_>) -> bool {
    is_current(entry, packet) && confirms_target(entry, packet)
}

/// Returns true unless the acknowledgement of a caller's packet belongs to a connection with another target.
///
/// Two owners with different views may place one opening on two targets, and the caller completes the handshake with one of
/// them. This check lets the other owner detect it and search for the right target.
fn confirms_target(entry: &Entry, packet: &View<'_>) -> bool {
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

/// Returns true unless the numbers of a caller's and a target's packet show that they belong to different connections.
///
/// A target that still has an old connection from the same caller port answers a probe with the state of that connection.
#[must_use]
pub const fn is_same_connection(caller: &View<'_>, target: &View<'_>) -> bool {
    if caller.acknowledgement == 0 || target.acknowledgement == 0 {
        return true;
    }
    is_within_window(caller.sequence, target.acknowledgement)
        && is_within_window(caller.acknowledgement, target.sequence)
}

/// Returns true unless the numbers of a caller's packet show that the entry belongs to an earlier connection.
#[must_use]
pub const fn is_current(entry: &Entry, packet: &View<'_>) -> bool {
    let is_after_fin = entry.has(Flag::CallerFin) && packet.has_payload() && !is_retransmission(entry, packet);
    if is_after_fin && packet.acknowledgement != 0 {
        return false;
    }
    packet.acknowledgement == 0 || entry.next_sequence == 0 || is_within_window(packet.sequence, entry.next_sequence)
}

/// Returns true when a caller's packet is a delayed one of an earlier connection than the one that the entry's opening
/// started.
#[must_use]
pub const fn is_from_earlier_connection(entry: &Entry, packet: &View<'_>) -> bool {
    // The sequence number is 0 on transports that do not number packets.
    entry.has(Flag::OpeningSeen) && packet.sequence != 0 && !is_within_window(packet.sequence, entry.opening_sequence)
}

/// Returns true unless the sequence number of a target's packet shows that it belongs to another connection than the entry.
///
/// A target that has another connection from the same caller port answers the caller's packets with resets that carry the
/// caller's own numbers, which the caller would accept.
#[must_use]
pub const fn is_from_connection(entry: &Entry, packet: &View<'_>) -> bool {
    packet.sequence == 0 || is_within_window(packet.sequence, entry.target_sequence)
}

/// Returns true when two sequence numbers are at most [`CONNECTION_WINDOW`] apart.
const fn is_within_window(one: u32, other: u32) -> bool {
    one.wrapping_sub(other.wrapping_sub(CONNECTION_WINDOW)) < 2 * CONNECTION_WINDOW
}

/// Returns true when a target's packet answers the opening of the entry.
#[must_use]
pub const fn answers_opening(entry: &Entry, packet: &View<'_>) -> bool {
    packet.acknowledgement == 0 || packet.acknowledgement == entry.opening_sequence.wrapping_add(1)
}

/// Returns true when a target's packet shows that the caller completed the handshake of the entry's opening with that
/// target: the packet carries payload or acknowledges some.
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

/// Returns true when a target's packet acknowledges payload that this balancer did not forward, so another balancer did.
/// Neither callers nor reordering can cause this.
#[must_use]
pub const fn acknowledges_unseen_payload(entry: &Entry, packet: &View<'_>) -> bool {
    if packet.acknowledgement == 0 || entry.next_sequence == 0 {
        return false;
    }
    // The caller's FIN occupies one sequence number without payload.
    let ahead = packet.acknowledgement.wrapping_sub(entry.next_sequence);
    ahead > 1 && ahead < CONNECTION_WINDOW
}

/// Returns true when the payload of a caller's packet was forwarded before.
#[must_use]
pub const fn is_retransmission(entry: &Entry, packet: &View<'_>) -> bool {
    let end = packet.sequence.wrapping_add(packet.payload);
    // Transports without acknowledgements do not number bytes.
    packet.acknowledgement != 0 && end.wrapping_sub(entry.next_sequence).cast_signed() <= 0
}
