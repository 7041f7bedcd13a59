//! Packets of the simulation, which own their contents.

use poplarpaddle::packet::{Direction, Flow, Kind, View};

/// Size of a packet as the balancers buffer it, in bytes.
const PACKET_BYTES: usize = 60;

/// Payload of a request and of each of the two segments of an answer, in bytes.
pub const SEGMENT_BYTES: u32 = 10;

/// A packet in transit. `submission` stands for the content of the payload; balancers carry it only as opaque bytes.
#[derive(Debug, Clone, Copy)]
pub struct Packet {
    /// Flow of the packet.
    pub flow: Flow,
    /// Direction, which tells the end that sent the packet.
    pub direction: Direction,
    /// TCP function of the packet.
    pub kind: Kind,
    /// Payload length in bytes.
    pub payload: u32,
    /// Sequence number.
    pub sequence: u32,
    /// Acknowledgement number, 0 for none.
    pub acknowledgement: u32,
    /// True for the last packet of a request or an answer.
    pub end: bool,
    /// Submission of a request, as [`encode_submission`](super::history::encode_submission) encodes it.
    pub submission: u64,
}

impl Packet {
    /// Returns a packet without payload and with all numbers 0.
    #[must_use]
    pub const fn new(flow: Flow, direction: Direction, kind: Kind) -> Self {
        Self { flow, direction, kind, payload: 0, sequence: 0, acknowledgement: 0, end: false, submission: 0 }
    }

    /// Returns the sequence number that follows this packet.
    #[must_use]
    pub fn next_sequence(&self) -> u32 {
        let flag = u32::from(matches!(self.kind, Kind::Opening | Kind::Accept | Kind::Closing));
        self.sequence.wrapping_add(self.payload + flag)
    }

    /// Copies a packet out of a view.
    #[must_use]
    pub fn from_view(view: &View<'_>) -> Self {
        let submission = view.bytes.first_chunk().copied().map_or(0, u64::from_be_bytes);
        Self {
            flow: view.flow,
            direction: view.direction,
            kind: view.kind,
            payload: view.payload,
            sequence: view.sequence,
            acknowledgement: view.acknowledgement,
            end: view.end,
            submission,
        }
    }

    /// Calls `read` with a view of the packet.
    pub fn with_view<R>(&self, read: impl FnOnce(&View<'_>) -> R) -> R {
        let mut bytes = [0; PACKET_BYTES];
        bytes[..8].copy_from_slice(&self.submission.to_be_bytes());
        read(&View {
            payload: self.payload,
            sequence: self.sequence,
            acknowledgement: self.acknowledgement,
            end: self.end,
            ..View::new(self.flow, self.direction, self.kind, &bytes)
        })
    }
}
