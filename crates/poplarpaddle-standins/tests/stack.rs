//! Tests the replies of a listening stack to single segments.

#![allow(missing_docs, reason = "test code")]

use std::net::{Ipv4Addr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use etherparse::{PacketBuilder, TcpHeaderSlice};
use poplarpaddle_standins::stack::{Settings, Stack, Tunnel};

const PORT: u16 = 8000;

/// Header fields of a segment sent by the stack.
#[derive(Debug, PartialEq, Eq)]
struct Reply {
    syn: bool,
    ack: bool,
    rst: bool,
    sequence: u32,
}

struct Host {
    stack: Stack,
    fabric: UdpSocket,
    address: Ipv4Addr,
}

impl Host {
    fn new(last: u8) -> Self {
        let address = Ipv4Addr::new(127, 10, 0, last);
        let fabric = UdpSocket::bind("127.0.0.1:0").unwrap();
        fabric.set_read_timeout(Some(Duration::from_millis(1))).unwrap();
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").unwrap());
        let tunnel = Tunnel { socket, fabric: fabric.local_addr().unwrap() };
        let stack = Stack::new(Settings { address, seed: 1, ..Default::default() }, &tunnel);
        Self { stack, fabric, address }
    }

    /// Passes a SYN or a data segment to the stack and returns its replies.
    fn segment(&mut self, syn: bool) -> Vec<Reply> {
        let builder = PacketBuilder::ipv4([127, 20, 0, 1], self.address.octets(), 64).tcp(1024, PORT, 5, 1000);
        let builder = if syn { builder.syn() } else { builder.ack(77) };
        let mut bytes = Vec::new();
        builder.write(&mut bytes, if syn { b"" } else { b"request" }).unwrap();
        self.stack.handle_packet(1000, bytes);
        self.stack.flush(1000);
        let mut buffer = [0; 2048];
        std::iter::from_fn(|| self.fabric.recv(&mut buffer).ok().map(|length| parse_reply(&buffer[..length]))).collect()
    }
}

fn parse_reply(bytes: &[u8]) -> Reply {
    let tcp = TcpHeaderSlice::from_slice(&bytes[20..]).unwrap();
    Reply { syn: tcp.syn(), ack: tcp.ack(), rst: tcp.rst(), sequence: tcp.sequence_number() }
}

/// Guards against a target that ignores segments of unknown connections. Probing relies on the reset.
#[test]
fn a_segment_of_an_unknown_connection_gets_a_reset() {
    let mut host = Host::new(1);
    host.stack.listen(&[PORT], true);
    assert_eq!(host.segment(false), [Reply { syn: false, ack: false, rst: true, sequence: 77 }]);
}

/// Guards against a target that accepts connections while it sheds load.
#[test]
fn a_syn_gets_a_reset_while_the_listener_is_closed() {
    let mut host = Host::new(1);
    host.stack.listen(&[PORT], false);
    assert!(matches!(host.segment(true)[..], [Reply { rst: true, syn: false, .. }]));
    host.stack.listen(&[PORT], true);
    assert!(matches!(host.segment(true)[..], [Reply { rst: false, syn: true, ack: true, .. }]));
}

/// Guards against a second connection for a retransmitted SYN. Its sequence number would break the first connection.
#[test]
fn a_retransmitted_syn_opens_no_second_connection() {
    let mut host = Host::new(1);
    host.stack.listen(&[PORT], true);
    assert_eq!(host.segment(true).len(), 1);
    assert_eq!(host.segment(true).len(), 0);
    assert_eq!(host.stack.accepted().len(), 1);
}

/// Guards against equal sequence numbers of two targets, because of which one would accept segments for the other.
#[test]
fn two_targets_choose_different_sequence_numbers() {
    let sequence = |last| {
        let mut host = Host::new(last);
        host.stack.listen(&[PORT], true);
        host.segment(true)[0].sequence
    };
    assert_ne!(sequence(1), sequence(2));
    assert_eq!(sequence(1), sequence(1));
}
