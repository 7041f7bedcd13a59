//! Tests of the flow table and of placement.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use poplarpaddle::flow::{Entry, Flag, Slot, Stage, Table};
use poplarpaddle::packet::Flow;
use poplarpaddle::placement::{self, Load};
use poplarpaddle::time::Time;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

fn flow(number: u32) -> Flow {
    let caller =
        SocketAddrV4::new(Ipv4Addr::from(0xc000_0200 + number / 1000), u16::try_from(number % 1000).unwrap_or(0));
    Flow { caller, service: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 80) }
}

/// Guards against entries that are lost or confused when neighbouring entries are removed and the index grows.
#[test]
fn table_agrees_with_a_map() {
    let mut rng = Pcg64::seed_from_u64(7);
    let mut table = Table::new(7, 5000);
    let mut model: HashMap<Flow, (Slot, Time)> = HashMap::new();
    for step in 0..200_000_u64 {
        let flow = flow(rng.random_range(0..8000));
        assert_eq!(table.find(&flow), model.get(&flow).map(|(slot, _)| *slot));
        if let Some((slot, time)) = model.remove(&flow) {
            let removed = table.remove(slot).map(|entry| (entry.flow, entry.last_active));
            assert_eq!(removed, Some((flow, time)));
            continue;
        }
        let now = Time::from_nanos(step);
        let slot = table.insert(Entry::new(flow, Stage::Pending, Ipv4Addr::LOCALHOST, now));
        assert_eq!(slot.is_none(), model.len() == 5000, "insertion fails only when the table is full");
        if let Some(slot) = slot {
            model.insert(flow, (slot, now));
        }
        assert_eq!(table.len(), model.len());
    }
}

/// Guards against a table that exceeds its budget of 100 bytes per flow.
#[test]
fn entry_stays_small() {
    assert_eq!(size_of::<Option<Entry>>(), 64);
    let mut table = Table::new(7, 600_000);
    for number in 0..500_000 {
        let mut entry = Entry::new(flow(number), Stage::Confirmed, Ipv4Addr::LOCALHOST, Time::default());
        entry.set(Flag::Responsive);
        assert!(entry.has(Flag::Responsive) && !entry.has(Flag::Working));
        table.insert(entry);
    }
    assert!(table.bytes() < 100 * table.len(), "{} bytes", table.bytes());
}

/// Guards against choosing a host that is full or more loaded than another candidate.
#[test]
fn choice_is_by_load() {
    let hosts: Vec<Ipv4Addr> = (0..6).map(|last| Ipv4Addr::new(10, 1, 0, last)).collect();
    let cases = [
        ("least loaded of the first four", [(2, 3), (1, 3), (3, 3), (2, 3), (0, 3), (0, 3)], Some(1)),
        ("load relative to the limit", [(2, 3), (1, 1), (4, 9), (2, 3), (0, 3), (0, 3)], Some(2)),
        ("others when the first four are full", [(3, 3), (3, 3), (3, 3), (3, 3), (2, 3), (1, 3)], Some(5)),
        ("ties go to the first", [(1, 3); 6], Some(0)),
        ("all hosts are full", [(3, 3); 6], None),
    ];
    for (name, loads, expected) in cases {
        let load = |host: Ipv4Addr| {
            let (used, limit) = loads[usize::from(host.octets()[3])];
            Load { used, limit }
        };
        assert_eq!(placement::choose(&hosts, load), expected.map(|number| hosts[number]), "{name}");
    }
}
