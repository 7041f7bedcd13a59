//! Packets that arrive before hosts and routes are known.

use std::collections::VecDeque;
use std::time::Duration;

use crate::map::{self, Set};
use crate::mark::Mark;
use crate::packet::{Flow, Kind, View};
use crate::time::Time;

/// Most packets that are held.
const MAX_PACKETS: usize = 2048;

/// Most bytes that are held.
const MAX_BYTES: usize = 1 << 20;

/// Longest time that a packet is held. The callers' own copies of an opening come 200 and 600 ms after it.
const MAX_TIME: Duration = Duration::from_millis(600);

/// A packet with its bytes.
#[derive(Debug)]
struct BufferedPacket {
    until: Time,
    mark: Mark,
    /// The view without its bytes.
    view: View<'static>,
    bytes: Box<[u8]>,
}

/// Held packets in the order of their arrival.
#[derive(Debug, Default)]
pub(super) struct Buffer {
    packets: VecDeque<BufferedPacket>,
    bytes: usize,
}

impl Buffer {
    /// Keeps a copy of a packet; false when there is no room.
    pub(super) fn push(&mut self, now: Time, mark: Mark, view: &View<'_>) -> bool {
        while self.packets.front().is_some_and(|packet| now.reached(packet.until)) {
            self.pop();
        }
        if self.packets.len() >= MAX_PACKETS || self.bytes + view.bytes.len() > MAX_BYTES {
            return false;
        }
        self.bytes += view.bytes.len();
        let packet = BufferedPacket {
            until: now + MAX_TIME,
            mark,
            view: View { bytes: &[], ..*view },
            bytes: view.bytes.into(),
        };
        self.packets.push_back(packet);
        true
    }

    /// Passes every packet that is not too old to `take` and forgets all. Openings of flows that are open by now, by way of
    /// another balancer, are left out: a second host that answers would spoil the flow.
    pub(super) fn drain(&mut self, now: Time, mut handle: impl FnMut(Mark, &View<'_>)) {
        let is_opening = |packet: &BufferedPacket| packet.view.kind == Kind::Opening;
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

    fn pop(&mut self) -> Option<BufferedPacket> {
        let packet = self.packets.pop_front()?;
        self.bytes -= packet.bytes.len();
        Some(packet)
    }
}
