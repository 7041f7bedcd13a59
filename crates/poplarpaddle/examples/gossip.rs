//! Measures the gossip of fleets of several sizes on virtual time.
//!
//! Run it with `cargo run --release -p poplarpaddle --example gossip`. Bytes are those of encoded messages and answers,
//! sent and received, without HTTP headers.
#![allow(missing_docs, dead_code, clippy::pedantic, reason = "shares the network of the tests, which does more")]

#[path = "../tests/control/net.rs"]
mod net;
#[path = "../tests/control/store.rs"]
mod store;

use net::{Net, address};

/// Members of the fleets that are compared.
const COUNTS: [u16; 3] = [16, 100, 500];

/// Time of running before a measurement, in milliseconds. The updates of the start run out in 10 s.
const WARM_UP_MS: u64 = 60_000;

fn main() {
    println!("members, B/s quiet (mean, most), B/s over 10 s with a death and a join (mean, most)");
    let mut means = Vec::new();
    for count in COUNTS {
        let mut net = Net::fleet(1, count, 20_000);
        net.store.publish(1, &["a"]);
        net.run(WARM_UP_MS);
        assert!(net.converged(), "{count} members know each other");
        let (mean, most) = net.gossip_rate(30_000);
        net.kill(2);
        net.start(900, &[address(4)]);
        let (changing, peak) = net.gossip_rate(10_000);
        println!("{count}, {mean}, {most}, {changing}, {peak}");
        means.push((f64::from(count), mean as f64));
    }
    for pair in means.windows(2) {
        let [(small, low), (large, high)] = [pair[0], pair[1]];
        println!("slope {small} to {large}: {:.2} B/s for each member", (high - low) / (large - small));
    }
}
