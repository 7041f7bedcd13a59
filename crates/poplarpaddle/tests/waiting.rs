//! Tests of the decisions about work that waits for capacity.
#![allow(missing_docs, clippy::pedantic, reason = "tests name their failures in their names and comments")]

use std::time::Duration;

use poplarpaddle::waiting::{self, PORTION_ONE, Share};

/// Gives `starts` contested starts to classes with these shares and returns how many each got.
fn compete(percents: &[u8], starts: usize) -> Vec<usize> {
    let mut shares: Vec<Share> = percents.iter().map(|percent| Share::new(*percent)).collect();
    let mut won = vec![0; percents.len()];
    for _ in 0..starts {
        let chosen = waiting::choose(shares.iter().enumerate()).expect("there are contenders");
        won[chosen] += 1;
        for (class, share) in shares.iter_mut().enumerate() {
            share.record_start(class == chosen);
        }
    }
    won
}

/// Burst of the urgent kind: it gets all starts beyond the shares, and the least urgent class is not starved.
#[test]
fn a_flood_of_urgent_work_leaves_the_others_their_shares() {
    let won = compete(&[50, 20, 5], 1_000);
    // A class may have saved up for its next start when the flood ends.
    assert!((200 - 1..=200).contains(&won[1]) && (50 - 1..=50).contains(&won[2]), "{won:?}");
}

/// Shares that add up to more than all starts must not let a credit grow without bound.
#[test]
fn shares_beyond_the_whole_are_scaled_down() {
    let won = compete(&[100, 100], 1_000);
    assert!(won.iter().all(|won| (490..=510).contains(won)), "{won:?}");
}

/// A third of the hosts gone: the same queue takes half as long again.
#[test]
fn the_expected_wait_follows_the_capacity_and_the_portion() {
    let service_time = Duration::from_millis(30);
    let wait = |portion, ahead, capacity| waiting::expected_wait(service_time, portion, ahead, capacity);
    assert_eq!(wait(PORTION_ONE, 59, 60), Duration::from_millis(30));
    assert_eq!(wait(PORTION_ONE, 59, 40), Duration::from_millis(45));
    assert_eq!(wait(PORTION_ONE / 16, 59, 60), Duration::from_millis(480));
    assert!(wait(PORTION_ONE, 0, 0) <= service_time, "without capacity, one piece of work is assumed to run");
}
