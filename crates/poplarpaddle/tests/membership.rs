//! Tests of the bounds of the member table and of messages.
#![allow(missing_docs, clippy::pedantic, reason = "tests are named by their failure")]

use std::net::SocketAddr;

use poplarpaddle::membership::{Membership, Settings};
use poplarpaddle::path::MemberId;
use poplarpaddle::time::Time;
use poplarpaddle::wire::{Gossip, Record, State};

fn record(n: u16) -> Record {
    let peer = SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7000));
    Record {
        id: MemberId(u64::from(n) + 1),
        name: format!("balancer-{n}"),
        zone: "kitami".into(),
        region: "okhotsk".into(),
        peer,
        relay: peer,
        incarnation: 0,
        state: State::Alive,
    }
}

fn gossip(sender: Record) -> Gossip {
    Gossip {
        version: 1,
        sender,
        generation: 0,
        digest: [0; 32],
        table: 0,
        updates: Vec::new(),
        leaving: Vec::new(),
        ping: None,
        pong: None,
        page: None,
    }
}

/// Guards against a table that grows without bound, and against a full table that rejects new members although it
/// contains dead ones.
#[test]
fn table_is_bounded() {
    let now = Time::from_millis(0);
    let mut membership = Membership::new(now, Settings { limit: 10, ..Default::default() }, record(0));
    for n in 1..100 {
        membership.receive(now, &gossip(record(n)));
    }
    assert_eq!(membership.reachable().len(), 10, "this member and 9 others");
    membership.receive(now, &gossip(Record { state: State::Leaving, ..record(3) }));
    membership.receive(now, &gossip(Record { state: State::Dead, ..record(3) }));
    membership.receive(now, &gossip(record(50)));
    assert!(membership.record(record(50).id).is_some(), "the new member did not replace the dead one");
    assert!(membership.record(record(3).id).is_none());
}

/// Guards against messages that exceed the size limit when many members change at the same time, and against sequences
/// of pages that skip members or never end.
#[test]
fn messages_are_bounded_and_pages_complete() {
    let now = Time::from_millis(0);
    let mut membership = Membership::new(now, Settings::default(), record(0));
    for n in 1..=600 {
        membership.receive(now, &gossip(record(n)));
    }
    let size = |records: &[Record]| rmp_serde::to_vec(records).unwrap().len();
    let (mut page, mut rounds, mut seen) = (MemberId(0), 0, std::collections::BTreeSet::new());
    while page != MemberId(u64::MAX) {
        let (records, next) = membership.updates(None, Some(page));
        assert!(size(&records) <= 1_210, "{} bytes", size(&records));
        seen.extend(records.iter().map(|record| record.id).filter(|id| *id >= page));
        page = next.unwrap();
        rounds += 1;
        assert!(rounds < 200, "the pages do not end");
    }
    assert_eq!(seen.len(), 600, "the pages do not contain every member");
    let (records, next) = membership.updates(None, None);
    assert!(size(&records) > 600 && size(&records) <= 1_210 && next.is_none());
}

/// Guards against dead members that are never removed, and against a member without live peers that stops its timers.
#[test]
fn dead_members_are_pinged_and_then_removed() {
    let mut membership = Membership::new(Time::from_millis(0), Settings::default(), record(0));
    membership.receive(Time::from_millis(0), &gossip(record(1)));
    let (mut now, mut pings) = (0, 0);
    let state = |membership: &Membership| membership.record(record(1).id).map(|record| record.state);
    while state(&membership).is_some() {
        now = membership.deadline().as_millis().max(now + 1);
        assert!(now < 4_000_000, "not removed after 4,000 s");
        membership.tick(Time::from_millis(now));
        let messages = membership.outbound().len();
        pings += if state(&membership) == Some(State::Dead) { messages } else { 0 };
    }
    assert!((3_600_000..3_610_000).contains(&now), "removed after {now} ms");
    assert!((1_400..1_500).contains(&pings), "{pings} pings of the dead member in an hour");
    assert_eq!(membership.reachable().len(), 1);
}
