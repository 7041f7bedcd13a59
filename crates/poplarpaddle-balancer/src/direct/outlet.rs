//! Output of the engine: packets to a socket, decisions and events to the log.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use poplarpaddle::direct::{CheckId, Decision, Hop, Layout, Outlet, Reason, Silence};
use poplarpaddle::event::Event;
use poplarpaddle::fleet::Node;
use poplarpaddle::packet::Flow;
use poplarpaddle::time::Time;
use poplarpaddle_io::events::Events;
use tokio::net::UdpSocket;

use super::journal::Journal;

/// Sends the packets and logs the decisions of a single call to the engine.
pub(super) struct Sender<'a> {
    pub(super) now: Time,
    pub(super) layout: &'a dyn Layout,
    pub(super) socket: &'a UdpSocket,
    /// Buffer in which the layout writes the datagram to send.
    pub(super) datagram: &'a mut Vec<u8>,
    pub(super) journal: &'a mut Journal,
    pub(super) events: &'a Events,
    /// Number of datagrams that could not be sent.
    pub(super) unsent: &'a mut u64,
    /// Zones that the engine requested to ping during the call.
    pub(super) pings: &'a mut Vec<String>,
    /// Checks of hosts that the engine requested during the call.
    pub(super) checks: &'a mut Vec<(CheckId, SocketAddrV4)>,
    /// Hosts that did not respond during the call.
    pub(super) silences: &'a mut Vec<Silence>,
    /// True when a packet was dropped during the call because its route does not allow the host with its mark.
    pub(super) has_foreign_packet: &'a mut bool,
    /// Node whose members can be pinged.
    pub(super) node: &'a Node,
    /// Version of the configuration, for the log.
    pub(super) version: u64,
    /// Time since the store last confirmed the hosts, for the log.
    pub(super) age: Duration,
}

impl Sender<'_> {
    /// Sends the datagram. If the socket cannot send at once, it drops the datagram, as the network may do too. The
    /// endpoints of the flow retransmit it.
    fn send(&mut self, to: SocketAddr) {
        if self.socket.try_send_to(self.datagram, to).is_err() {
            *self.unsent += 1;
        }
    }
}

impl Outlet for Sender<'_> {
    fn forward(&mut self, hop: &Hop, bytes: &[u8]) {
        self.layout.write(hop, bytes, self.datagram);
        self.send(hop.address.into());
    }

    fn reset(&mut self, flow: &Flow, sequence: u32) {
        let to = self.layout.write_reset(flow, sequence, self.datagram);
        self.send(to.into());
    }

    fn ping(&mut self, zone: &str) -> bool {
        let can_ping = self.node.can_ping(zone);
        if can_ping {
            self.pings.push(zone.to_owned());
        }
        can_ping
    }

    fn check(&mut self, id: CheckId, address: SocketAddrV4) {
        self.checks.push((id, address));
    }

    fn report_silence(&mut self, silence: &Silence) {
        self.silences.push(*silence);
    }

    fn record_decision(&mut self, decision: &Decision<'_>) {
        *self.has_foreign_packet |= decision.reason == Some(Reason::ForeignHost);
        self.journal.record_decision(self.now, decision, self.version, self.age);
    }

    fn record_event(&mut self, now: Time, name: &str, subject: &str, detail: &str) {
        self.journal.record_event(name, subject, detail);
        let (name, subject, detail) = (name.to_owned(), subject.to_owned(), detail.to_owned());
        self.events.push(Event { time: now, name, subject, detail });
    }
}
