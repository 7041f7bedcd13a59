//! Measures the gossip traffic of fleets of several sizes on virtual time.
//!
//! Run it with `cargo run --release -p poplarpaddle --example gossip`. The figures count the bytes of encoded messages
//! and answers, sent and received, without HTTP headers.
#![allow(missing_docs, dead_code, clippy::pedantic, reason = "uses only a part of the simulated network of the tests")]

#[path = "../tests/control/net.rs"]
mod net;
#[path = "../tests/control/store.rs"]
mod store;

use net::{Net, address};

/// Numbers of members of the compared fleets.
const COUNTS: [u16; 3] = [16, 100, 500];

/// Virtual time before a measurement, in milliseconds. The dissemination of the initial updates ends within 10 s.
const WARM_UP_MS: u64 = 60_000;

fn main() {
    println!("members, B/s idle (mean, max), B/s over 10 s with a failure and a join (mean, max)");
    let mut means = Vec::new();
    for count in COUNTS {
        let mut net = Net::fleet(1, count, 20_000);
        net.store.publish(1, &["a"]);
        net.run(WARM_UP_MS);
        assert!(net.converged(), "{count} members must have converged");
        let (mean, max) = net.gossip_rate(30_000);
        net.kill(2);
        net.start(900, &[address(4)]);
        let (changing_mean, changing_max) = net.gossip_rate(10_000);
        println!("{count}, {mean}, {max}, {changing_mean}, {changing_max}");
        means.push((f64::from(count), mean as f64));
    }
    for pair in means.windows(2) {
        let [(small, small_rate), (large, large_rate)] = [pair[0], pair[1]];
        println!("slope {small} to {large}: {:.2} B/s for each member", (large_rate - small_rate) / (large - small));
    }
}
