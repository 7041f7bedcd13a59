//! Both ends of a TCP connection, as far as the data path sees them.

use poplarpaddle::packet::{Direction, Flow, Kind, View};

/// Bytes of a request and of an answer.
pub const MESSAGE_SIZE: u32 = 10;

/// A connection as a target knows it.
#[derive(Debug, Clone, Copy)]
pub struct Connection {
    pub initial_sequence: u32,
    pub received: u32,
    pub sent: u32,
    pub is_open: bool,
    pub is_closed: bool,
    pub payload: u32,
}

/// How far a caller is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    Closed,
    Opening,
    Open,
}

/// A connection as its caller knows it.
#[derive(Debug, Clone, Copy)]
pub struct Caller {
    pub phase: Phase,
    pub initial_sequence: u32,
    pub acknowledged: u32,
    pub sent: u32,
    pub received: u32,
    pub answers: u32,
}

impl Connection {
    /// Returns a connection that an opening began, with the initial sequence numbers of both ends.
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

    /// Returns true when an opening gets the state of this connection for an answer.
    pub fn keeps_state(&self, opening: &View<'_>) -> bool {
        !self.is_closed && (self.is_open || self.initial_sequence != opening.sequence)
    }

    /// Takes a segment of the caller and returns the sequence number and payload of the answer, if any.
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
            // A segment outside the window gets the state of the connection.
            _ => Some((self.sent, 0)),
        }
    }
}

impl Caller {
    /// Returns a caller that opens with an initial sequence number.
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
