//! Both ends of a TCP connection, as far as the data path sees them.

use poplarpaddle::packet::{Direction, Flow, Kind, View};

/// Bytes of a request and of an answer.
pub const SIZE: u32 = 10;

/// A connection as a target knows it.
#[derive(Debug, Clone, Copy)]
pub struct Connection {
    pub first: u32,
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
    pub first: u32,
    pub acknowledged: u32,
    pub sent: u32,
    pub received: u32,
    pub answers: u32,
}

impl Connection {
    /// Returns a connection that an opening began, with the initial sequence numbers of both ends.
    pub const fn new(first: u32, sent: u32) -> Self {
        Self { first, received: first.wrapping_add(1), sent, is_open: false, is_closed: false, payload: 0 }
    }

    /// Returns true when an opening gets the state of this connection for an answer.
    pub fn keeps_state(&self, opening: &View<'_>) -> bool {
        !self.is_closed && (self.is_open || self.first != opening.sequence)
    }

    /// Takes a segment of the caller and returns the sequence number and payload of the answer, if any.
    pub fn take(&mut self, packet: &View<'_>) -> Option<(u32, u32)> {
        if !self.is_open {
            if packet.acknowledgement != self.sent.wrapping_add(1) {
                return None;
            }
            self.is_open = true;
            self.sent = self.sent.wrapping_add(1);
        }
        let is_next = packet.sequence == self.received;
        let is_repeat = self.payload > 0 && packet.sequence.wrapping_add(packet.payload) == self.received;
        match (packet.kind, packet.payload) {
            (Kind::Closing, _) if is_next => {
                self.is_closed = true;
                None
            }
            (_, 0) if is_next => None,
            (Kind::Data, _) if is_next => {
                self.received = self.received.wrapping_add(packet.payload);
                self.payload += packet.payload;
                self.sent = self.sent.wrapping_add(SIZE);
                Some((self.sent.wrapping_sub(SIZE), SIZE))
            }
            (Kind::Data, SIZE) if is_repeat => Some((self.sent.wrapping_sub(SIZE), SIZE)),
            // A segment outside the window gets the state of the connection.
            _ => Some((self.sent, 0)),
        }
    }
}

impl Caller {
    /// Returns a caller that opens with an initial sequence number.
    pub const fn new(first: u32) -> Self {
        let sent = first.wrapping_add(1);
        Self { phase: Phase::Opening, first, acknowledged: sent, sent, received: 0, answers: 0 }
    }

    /// Returns a segment of the caller.
    pub fn segment(&self, flow: Flow, kind: Kind, sequence: u32, payload: u32) -> View<'static> {
        let view = View::new(flow, Direction::FromCaller, kind, &[]);
        View { sequence, acknowledgement: self.received, payload, end: payload > 0, ..view }
    }
}
