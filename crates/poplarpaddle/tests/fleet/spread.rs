//! Guards against members that miss a change, and against every member reading the store.

use std::time::Duration;

use poplarpaddle::feed::{self, Action, Feed, News, Position};
use poplarpaddle::path::MemberId;
use poplarpaddle::registry::State;
use poplarpaddle::time::Time;

use super::world::{Path, World};

const BOUND_MS: u64 = 3000;

fn assert_version(world: &World, version: u64, except: &[usize]) {
    for index in (0..world.places.len()).filter(|index| !except.contains(index)) {
        assert_eq!(world.version(index), version, "node {index}");
    }
}

/// One watch a member would make the calls grow with the fleet.
#[test]
fn one_member_reads_the_store() {
    let mut world = World::running(&[7, 9, 4]);
    for place in &mut world.places {
        place.calls = 0;
    }
    world.run(30_000);
    let readers = world.places.iter().filter(|place| place.calls > 2).count();
    let calls: u64 = world.places.iter().map(|place| place.calls).sum();
    assert_eq!(readers, 1);
    assert!(calls <= 2 * 30_000 / 1000 + 20, "{calls} calls in 30 s");
}

/// A change must be in force everywhere soon, not only where it is read.
#[test]
fn a_change_reaches_every_member() {
    let mut world = World::running(&[7, 9, 4]);
    world.publish(9, &[443, 8443]);
    world.put_host(3, State::Draining);
    world.run(200);
    assert_version(&world, 9, &[]);
    for place in &world.places {
        assert_eq!(place.hosts["i-3"].state, State::Draining, "{}", place.address);
    }
    world.remove_host(3);
    world.run(200);
    assert!(world.places.iter().all(|place| !place.hosts.contains_key("i-3")));
}

/// The member that read the store last is the one whose loss hurts most, and with it those that would follow it.
#[test]
fn a_change_right_after_the_loss_of_the_reader_is_in_force_within_the_bound() {
    let mut world = World::running(&[7, 9, 4]);
    let readers = first(&world, 3);
    for index in &readers {
        world.kill(*index);
    }
    world.publish(9, &[443]);
    world.run(BOUND_MS);
    assert_version(&world, 9, &readers);
}

/// Readers that the store turns away, or whose calls get no answer, must not keep their zones behind.
#[test]
fn a_change_that_no_reader_can_read_is_in_force_within_the_bound() {
    for path in [Path::Refused, Path::Silent] {
        let mut world = World::running(&[7, 9, 4]);
        for index in first(&world, 3) {
            world.places[index].path = path;
        }
        world.publish(9, &[443]);
        world.run(BOUND_MS);
        assert_version(&world, 9, &[]);
    }
}

/// A member that is cut off from its peers still reaches the store and has to read it by itself.
#[test]
fn members_without_peers_read_the_store_themselves() {
    let mut world = World::running(&[7, 9, 4]);
    for index in [1, 8, 17] {
        world.isolate(index);
    }
    world.publish(9, &[443]);
    world.run(BOUND_MS);
    assert_version(&world, 9, &[]);
}

/// A member that the store turns away hears of changes from the others.
#[test]
fn members_that_the_store_turns_away_hear_from_peers() {
    let mut world = World::running(&[7, 9, 4]);
    for index in 0..7 {
        world.places[index].path = Path::Refused;
    }
    world.publish(9, &[443]);
    world.run(BOUND_MS);
    assert_version(&world, 9, &[]);
    world.kill(2);
    world.run(100);
    world.start(2);
    world.run(500);
    assert!(world.node(2).is_ready(), "a member that starts while the store turns it away gets the state from peers");
}

/// Each zone has to go on by itself when it is cut off, and nobody may step back when the cut ends.
#[test]
fn zones_that_are_cut_off_follow_the_store_each_for_itself() {
    let mut world = World::running(&[7, 9, 4]);
    world.cut_zone("b");
    world.run(2000);
    world.publish(9, &[443]);
    world.run(BOUND_MS);
    assert_version(&world, 9, &[]);
    for index in 7..16 {
        world.places[index].path = Path::Silent;
    }
    world.publish(12, &[443]);
    world.run(5000);
    assert_eq!(world.version(8), 9, "the zone is cut off from the store too");
    world.heal();
    world.run(6000);
    assert_version(&world, 12, &[]);
}

/// Watches hear nothing, then the history is gone: what happened meanwhile shows only in a list.
#[test]
fn changes_before_a_lost_history_are_found_in_a_list() {
    let mut world = World::running(&[7, 9, 4]);
    for place in &mut world.places {
        place.path = Path::Silent;
    }
    world.remove_host(2);
    world.publish(9, &[443]);
    world.run(900);
    for place in &mut world.places {
        place.path = Path::Open;
    }
    world.compact();
    world.run(BOUND_MS);
    assert_version(&world, 9, &[]);
    assert!(world.places.iter().all(|place| !place.hosts.contains_key("i-2")));
}

/// All machines lose power; what they knew is gone with them.
#[test]
fn a_fleet_that_lost_everything_is_ready_soon_after_its_start() {
    let mut world = World::running(&[7, 9, 4]);
    for index in 0..world.places.len() {
        world.kill(index);
    }
    world.run(1500);
    for index in 0..world.places.len() {
        world.start(index);
    }
    world.run(50);
    assert!((0..20).all(|index| world.node(index).is_ready()));
}

/// A store that is away for long leaves the state in force; it must be read again soon after its return.
#[test]
fn a_change_after_an_outage_is_in_force_within_the_bound() {
    let mut world = World::running(&[7, 9, 4]);
    for path in [Path::Refused, Path::Silent] {
        for place in &mut world.places {
            place.path = path;
        }
        world.run(10_000);
        assert!(world.places.iter().all(|place| place.node.as_ref().unwrap().is_ready()));
        for place in &mut world.places {
            place.path = Path::Open;
        }
        let version = world.version(0) + 3;
        world.publish(version, &[443]);
        // The end of the outage is followed by a span in which bounds do not hold; members use it to find their way back.
        world.run(4000);
        assert_version(&world, version, &[]);
    }
}

/// An operator's version only goes up; a lower one must not come into force.
#[test]
fn a_lower_version_does_not_come_into_force() {
    let mut world = World::running(&[3]);
    world.publish(5, &[80]);
    world.run(3000);
    assert_version(&world, 7, &[]);
    world.publish(8, &[80]);
    world.run(3000);
    assert_version(&world, 8, &[]);
}

/// The first members in the order in which they read the store.
fn first(world: &World, count: usize) -> Vec<usize> {
    let mut order: Vec<usize> = (0..world.places.len()).collect();
    order.sort_by_key(|index| world.node(*index).membership().me().id);
    order.truncate(count);
    order
}

/// After a loss of all machines, those that are ready first were asked for everything by all others at once: at 300 machines
/// one of them sent half a megabyte a second, and answers came after the time for them.
#[test]
fn a_member_hands_out_the_whole_state_at_a_bounded_rate() {
    let mut world = World::new(&[20, 20, 20]);
    world.publish(7, &[443]);
    for number in 1..=2000 {
        world.put_host(number, State::Ready);
    }
    for place in &mut world.places[1..] {
        place.path = Path::Refused;
    }
    for index in 0..world.places.len() {
        world.start(index);
    }
    world.run(500);
    // 2,001 entries take 100 ms at 10 Mbit/s, and one may wait for as long.
    let most = world.places.iter().map(|place| place.whole).max().unwrap();
    assert!(most <= 7, "a member handed out the whole state {most} times in 500 ms");
    world.run(2500);
    for index in 0..world.places.len() {
        assert!(world.node(index).is_ready(), "node {index}");
    }
}

/// A member that knows nothing yet must not wait for a peer that fell silent for as long as a change may take.
#[test]
fn a_pull_of_everything_gives_way_to_another_within_the_bound() {
    let (bound, start) = (Duration::from_millis(BOUND_MS), Time::from_millis(10_000));
    let mut feed = Feed::new(feed::Settings { bound }, MemberId(9));
    feed.tick(start, &[MemberId(1), MemberId(2), MemberId(9)]);
    let news = News { root: MemberId(1), positions: [Position { revision: 5, as_of: 5, age_ms: 10 }; 2] };
    let pulled = |feed: &mut Feed| {
        let mut actions = feed.actions().into_iter();
        actions
            .find_map(|action| if let Action::Pull { member, until } = action { Some((member, until)) } else { None })
    };
    feed.heard(start, MemberId(1), &news, false);
    let (first, until) = pulled(&mut feed).unwrap();
    assert_eq!(first, MemberId(1));
    assert!(until < start + bound && until > start + Duration::from_millis(300));
    feed.tick(until, &[MemberId(1), MemberId(2), MemberId(9)]);
    feed.heard(until, MemberId(2), &news, false);
    assert_eq!(pulled(&mut feed).unwrap().0, MemberId(2));
}

/// A balancer that has just read everything knows no changes before that, so its followers need everything from it. On a small
/// site they get it at once: a refusal would keep them behind until the next news.
#[test]
fn the_members_of_a_small_site_get_the_whole_state_at_once() {
    let mut world = World::running(&[4, 3, 3]);
    let now = world.now;
    let node = world.places[0].node.as_mut().unwrap();
    for _ in 0..9 {
        node.parcel(now, 0, 0).unwrap();
    }
}
