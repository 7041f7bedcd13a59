//! Tests of the hash that placement and ownership use.

use std::net::{Ipv4Addr, SocketAddrV4};

use poplarpaddle::map;
use poplarpaddle::packet::Flow;

/// Guards against a hash whose maximum over the hosts favours some of them, because the addresses of flows and hosts
/// are similar.
#[test]
fn highest_weight_spreads_evenly() {
    const FLOWS: u16 = 60_000;
    const HOSTS: u8 = 15;
    let service = SocketAddrV4::new(Ipv4Addr::new(127, 30, 0, 1), 8000);
    for seed in 0..8 {
        let mut wins = [0_u32; HOSTS as usize];
        for port in 0..FLOWS {
            let caller = SocketAddrV4::new(Ipv4Addr::new(127, 20, 0, 7), port);
            let hash = map::hash(seed, &Flow { caller, service });
            let weight = |host: u8| map::hash(hash, &Ipv4Addr::new(127, 10, 0, host));
            let winner = (0..HOSTS).max_by_key(|host| weight(*host)).unwrap();
            wins[usize::from(winner)] += 1;
        }
        let mean = f64::from(FLOWS) / f64::from(HOSTS);
        for (host, count) in wins.iter().enumerate() {
            // For a uniform choice, five standard deviations are 0.08 of the mean.
            let ratio = f64::from(*count) / mean;
            assert!((0.92..1.08).contains(&ratio), "seed {seed}: host {host} gets {ratio:.3} times its share");
        }
    }
}
