//! Guards against messages of peers that end a process, and against incomplete ones that take effect.

use poplarpaddle::fleet::Revisions;
use poplarpaddle::mark::HostId;
use poplarpaddle::path::MemberId;
use poplarpaddle::wire::{Body, DATAGRAM_VERSION, Datagram, Report, Transfer};
use rand::{RngExt as _, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::world::Simulation;

/// Number of damaged copies of each message.
const COPIES: usize = 3000;

/// Returns a message of each kind, as a node sends it to another one.
fn messages(simulation: &mut Simulation) -> Vec<Vec<u8>> {
    let sender = simulation.node(1).membership().me().id;
    let news = simulation.node(1).feed().announcement(simulation.now, sender);
    let encode = |body| Datagram { version: DATAGRAM_VERSION, number: 0, news, body }.encode().unwrap();
    let mut messages: Vec<Vec<u8>> = [
        Body::Announce(sender),
        Body::Ping(sender),
        Body::Pong(sender),
        Body::Report(sender, Report { host: HostId(3), rate: 1000 }),
        Body::Outliers(sender, vec![HostId(3), HostId(4)]),
    ]
    .into_iter()
    .map(encode)
    .collect();
    simulation.with(1, |node, now| {
        node.leave(now);
        let sent = node.actions().into_iter().filter_map(|action| match action {
            poplarpaddle::fleet::Action::Send(_, bytes) => Some(bytes),
            _ => None,
        });
        messages.extend(sent.take(1));
    });
    assert_eq!(messages.len(), 6, "a message of each kind, the last one a gossip request");
    messages
}

/// One to four bytes are changed, or the message is cut, or random bytes follow it.
fn damage(random: &mut Pcg64Mcg, message: &[u8]) -> Vec<u8> {
    let mut bytes = message.to_vec();
    match random.random_range(0..4) {
        0 => bytes.truncate(random.random_range(0..bytes.len())),
        1 => bytes.extend((0..random.random_range(1..40)).map(|_| random.random::<u8>())),
        _ => {
            for _ in 0..random.random_range(1..=4) {
                let position = random.random_range(0..bytes.len());
                bytes[position] = random.random();
            }
        }
    }
    bytes
}

/// Damaged messages are rejected or taken for different valid ones, but neither end the process nor keep the fleet from
/// working.
#[test]
fn damaged_datagrams_do_not_stop_a_node() {
    let mut simulation = Simulation::running(&[3, 3, 3]);
    let messages = messages(&mut simulation);
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut rejected = 0;
    for message in &messages {
        for _ in 0..COPIES {
            let bytes = damage(&mut random, message);
            simulation.with(0, |node, now| {
                rejected += usize::from(node.datagram(now, "10.0.0.2:7000".parse().unwrap(), &bytes).is_err());
            });
        }
        simulation.run(100);
    }
    for _ in 0..COPIES {
        let bytes: Vec<u8> = (0..random.random_range(0..200)).map(|_| random.random()).collect();
        simulation.with(0, |node, now| drop(node.datagram(now, "10.9.9.9:7000".parse().unwrap(), &bytes)));
    }
    assert!(rejected > COPIES, "{rejected} messages were rejected");
    simulation.publish(9, &[443]);
    simulation.run(5000);
    for index in [0, 2, 3, 4, 5, 6, 7, 8] {
        assert_eq!(simulation.version(index), 9, "node {index}");
    }
}

/// A state transfer that breaks off must not be taken for a shorter one, which would remove hosts and routes.
#[test]
fn a_state_transfer_that_breaks_off_is_rejected() {
    let mut simulation = Simulation::running(&[2]);
    let mut encoded = Vec::new();
    simulation.with(0, |node, now| encoded = node.changes_since(now, Revisions::default()).unwrap().encode().unwrap());
    let transfer = Transfer::decode(&encoded).unwrap();
    assert_eq!((transfer.hosts.put.len(), transfer.routes.put.len()), (5, 1));
    for length in 0..encoded.len() {
        assert!(Transfer::decode(&encoded[..length]).is_err(), "the first {length} of {} bytes", encoded.len());
    }
}

/// A process of another installation, whose store is at a higher revision, must not make members wait for that revision.
#[test]
fn the_position_of_a_stranger_has_no_effect() {
    let mut simulation = Simulation::running(&[2]);
    let mut news = simulation.node(1).feed().announcement(simulation.now, MemberId(9));
    for position in &mut news.positions {
        position.as_of = (1 << 40).into();
    }
    for body in [Body::Announce(MemberId(9)), Body::Ping(MemberId(9)), Body::Pong(MemberId(9))] {
        let bytes = Datagram { version: DATAGRAM_VERSION, number: 0, news, body }.encode().unwrap();
        simulation.with(0, |node, now| node.datagram(now, "10.9.9.9:7000".parse().unwrap(), &bytes).unwrap());
    }
    simulation.publish(9, &[443]);
    simulation.run(5000);
    assert_eq!([0, 1].map(|index| simulation.version(index)), [9, 9]);
}
