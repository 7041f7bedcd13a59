//! A minimal model of both ends of a TCP connection, as far as it affects the data path.

use poplarpaddle::packet::{Direction, Flow, Kind, View};

/// Length of a request and of an answer in bytes.
pub const MESSAGE_SIZE: u32 = 10;

/// Connection state at a target.
#[derive(Debug, Clone, Copy)]
pub struct Connection {
    /// Initial sequence number of the caller.
    pub initial_sequence: u32,
    /// Next sequence number expected from the caller.
    pub received: u32,
    /// Next sequence number to send; that of the SYN-ACK until the connection is open.
    pub sent: u32,
    /// True once the caller acknowledged the SYN-ACK.
    pub is_open: bool,
    /// True once the caller closed the connection.
    pub is_closed: bool,
    /// Payload bytes processed.
    pub payload: u32,
}

/// Connection phase of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    Closed,
    Opening,
    Open,
}

/// Connection state at a caller.
#[derive(Debug, Clone, Copy)]
pub struct Caller {
    pub phase: Phase,
    pub initial_sequence: u32,
    /// Sequence number of the first byte that no answer acknowledged.
    pub acknowledged: u32,
    /// Next sequence number to send.
    pub sent: u32,
    /// Next sequence number expected from the target.
    pub received: u32,
    /// Number of answers received.
    pub answers: u32,
}

impl Connection {
    /// Returns the connection that an opening starts, with the initial sequence numbers of the caller and the target.
    pub const fn new(initial_sequence: u32, sent: u32) -> Self {
        Self {
            initial_sequence,
            received: initial_sequence.wrapping_add(1),
            sent,
            is_open: false,
            is_closed: false,
            payload: 0,
        }
    }

    /// Returns true when an opening is answered with the state of this connection instead of a SYN-ACK.
    pub fn keeps_state(&self, opening: &View<'_>) -> bool {
        !self.is_closed && (self.is_open || self.initial_sequence != opening.sequence)
    }

    /// Processes a segment of the caller and returns the sequence number and payload length of the answer, if any.
    pub fn receive(&mut self, packet: &View<'_>) -> Option<(u32, u32)> {
        if !self.is_open {
            if packet.acknowledgement != self.sent.wrapping_add(1) {
                return None;
            }
            self.is_open = true;
            self.sent = self.sent.wrapping_add(1);
        }
        let is_in_order = packet.sequence == self.received;
        let is_retransmission = self.payload > 0 && packet.sequence.wrapping_add(packet.payload) == self.received;
        match (packet.kind, packet.payload) {
            (Kind::Closing, _) if is_in_order => {
                self.is_closed = true;
                None
            }
            (_, 0) if is_in_order => None,
            (Kind::Data, _) if is_in_order => {
                self.received = self.received.wrapping_add(packet.payload);
                self.payload += packet.payload;
                self.sent = self.sent.wrapping_add(MESSAGE_SIZE);
                Some((self.sent.wrapping_sub(MESSAGE_SIZE), MESSAGE_SIZE))
            }
            (Kind::Data, MESSAGE_SIZE) if is_retransmission => {
                Some((self.sent.wrapping_sub(MESSAGE_SIZE), MESSAGE_SIZE))
            }
            // A segment outside the window is answered with the state of the connection.
            _ => Some((self.sent, 0)),
        }
    }
}

impl Caller {
    /// Returns a caller that opens a connection with this initial sequence number.
    pub const fn new(initial_sequence: u32) -> Self {
        let sent = initial_sequence.wrapping_add(1);
        Self { phase: Phase::Opening, initial_sequence, acknowledged: sent, sent, received: 0, answers: 0 }
    }

    /// Returns a segment of the caller.
    pub fn segment(&self, flow: Flow, kind: Kind, sequence: u32, payload: u32) -> View<'static> {
        let view = View::new(flow, Direction::FromCaller, kind, &[]);
        View { sequence, acknowledgement: self.received, payload, end: payload > 0, ..view }
    }
}
