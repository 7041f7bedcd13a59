//! Buffer for packets that arrive before hosts and routes are known.

use std::collections::VecDeque;
use std::time::Duration;

use crate::map::{self, Set};
use crate::mark::Mark;
use crate::packet::{Flow, Kind, View};
use crate::time::Time;

/// Maximum number of buffered packets.
const MAX_PACKETS: usize = 2048;

/// Maximum number of buffered bytes.
const MAX_BYTES: usize = 1 << 20;

/// Age at which a buffered packet expires.
const MAX_AGE: Duration = Duration::from_millis(600);

/// Ages at which an opening and its first copy expire. Callers retransmit an opening after 200 ms and once more after another
/// 400 ms. Another balancer may place that copy, so the packet before it must not reach a host any more.
const MAX_OPENING_AGES: [Duration; 2] = [Duration::from_millis(180), Duration::from_millis(380)];

/// A packet with its own copy of the bytes.
#[derive(Debug)]
struct Packet {
    until: Time,
    mark: Mark,
    /// The view of the packet with empty `bytes`.
    view: View<'static>,
    bytes: Box<[u8]>,
}

/// Buffered packets in the order of arrival.
#[derive(Debug, Default)]
pub(super) struct Buffer {
    packets: VecDeque<Packet>,
    bytes: usize,
}

impl Buffer {
    /// Adds a copy of a packet. Returns false when the buffer is full.
    pub(super) fn push(&mut self, now: Time, mark: Mark, view: &View<'_>) -> bool {
        while self.packets.front().is_some_and(|packet| now.reached(packet.until)) {
            self.pop();
        }
        let max_age = self.max_age(view);
        if self.packets.len() >= MAX_PACKETS || self.bytes + view.bytes.len() > MAX_BYTES {
            return false;
        }
        self.bytes += view.bytes.len();
        let packet =
            Packet { until: now + max_age, mark, view: View { bytes: &[], ..*view }, bytes: view.bytes.into() };
        self.packets.push_back(packet);
        true
    }

    /// Removes all packets and passes each that has not expired to `handle`. Skips the openings of flows that have been
    /// established through another balancer in the meantime: an answer from a second host would break the flow.
    pub(super) fn drain(&mut self, now: Time, mut handle: impl FnMut(Mark, &View<'_>)) {
        let is_opening = |packet: &Packet| packet.view.kind == Kind::Opening;
        let mut established: Set<Flow> = Set::with_hasher(map::state(0));
        established.extend(self.packets.iter().filter(|packet| !is_opening(packet)).map(|packet| packet.view.flow));
        while let Some(packet) = self.pop() {
            let is_superseded = is_opening(&packet) && established.contains(&packet.view.flow);
            if !is_superseded && !now.reached(packet.until) {
                handle(packet.mark, &View { bytes: &packet.bytes, ..packet.view });
            }
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.packets.is_empty()
    }

    /// Returns the age at which a packet expires.
    fn max_age(&self, view: &View<'_>) -> Duration {
        if view.kind != Kind::Opening {
            return MAX_AGE;
        }
        let is_earlier = |packet: &&Packet| packet.view.kind == Kind::Opening && packet.view.flow == view.flow;
        let earlier = self.packets.iter().filter(is_earlier).count();
        MAX_OPENING_AGES.get(earlier).copied().unwrap_or(MAX_AGE)
    }

    fn pop(&mut self) -> Option<Packet> {
        let packet = self.packets.pop_front()?;
        self.bytes -= packet.bytes.len();
        Some(packet)
    }
}
