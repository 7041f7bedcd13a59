//! Guards against members that each have to find out by themselves that a host does not respond, and against hosts that
//! are avoided although they are well.

use poplarpaddle::error::Kind;
use poplarpaddle::fleet::MAX_OUTLIERS;
use poplarpaddle::mark::HostId;
use poplarpaddle::path::MemberId;
use poplarpaddle::wire::{Body, Datagram, Report};

use super::world::Simulation;

const HOST: HostId = HostId(3);

/// Rate of one request per second, see [`Report::rate`].
const ONE_PER_SECOND: u32 = 1000;

fn report(simulation: &mut Simulation, index: usize, rate: u32) {
    simulation.with(index, |node, now| node.report_silence(now, HOST, rate));
}

/// Returns the number of members that suspect [`HOST`].
fn suspecting(simulation: &Simulation) -> usize {
    simulation.instances.iter().filter(|instance| instance.suspected == [HOST]).count()
}

#[test]
fn the_reports_of_two_members_reach_all_members() {
    let mut simulation = Simulation::running(&[20, 20, 20]);
    report(&mut simulation, 4, 1);
    simulation.run(300);
    assert_eq!(suspecting(&simulation), 0, "a single report may have its cause at the member");
    report(&mut simulation, 50, 1);
    simulation.run(300);
    // Members are told by random others, so a few may be missed.
    assert!(suspecting(&simulation) >= 57, "{}", suspecting(&simulation));
}

#[test]
fn the_reports_of_one_member_have_no_effect() {
    let mut simulation = Simulation::running(&[7, 9, 4]);
    for _ in 0..20 {
        report(&mut simulation, 4, 1);
        simulation.run(20);
    }
    assert_eq!(suspecting(&simulation), 0);
}

#[test]
fn a_member_alone_goes_by_its_own_reports() {
    let mut simulation = Simulation::running(&[1]);
    report(&mut simulation, 0, 1);
    report(&mut simulation, 0, 1);
    assert_eq!(suspecting(&simulation), 1);
}

/// Of many requests, some take long although their host is well.
#[test]
fn few_reports_on_a_host_with_many_requests_have_no_effect() {
    let mut simulation = Simulation::running(&[7, 9, 4]);
    // The host gets 20 requests a second, so two or three reports are not a sixth of them.
    report(&mut simulation, 1, ONE_PER_SECOND);
    report(&mut simulation, 2, ONE_PER_SECOND);
    simulation.run(300);
    assert_eq!(suspecting(&simulation), 0);
    report(&mut simulation, 3, ONE_PER_SECOND);
    simulation.run(300);
    assert!(suspecting(&simulation) >= 18, "{}", suspecting(&simulation));
}

#[test]
fn reports_that_are_seconds_apart_do_not_add_up() {
    let mut simulation = Simulation::running(&[7, 9, 4]);
    for index in 0..10 {
        report(&mut simulation, index, 1);
        simulation.run(1100);
    }
    assert_eq!(suspecting(&simulation), 0);
}

/// The collectors of a host may have been killed a moment ago, together with a sixth of all members.
#[test]
fn reports_survive_the_loss_of_members() {
    let mut simulation = Simulation::running(&[20, 20, 20]);
    for index in (0..60).step_by(6) {
        simulation.kill(index);
    }
    simulation.run(4000);
    for index in [1, 2] {
        report(&mut simulation, index, 1);
    }
    simulation.run(300);
    assert!(suspecting(&simulation) >= 47, "{}", suspecting(&simulation));
}

/// Passing a host on must end, and must not cost more than a few datagrams per member.
#[test]
fn an_outlier_is_passed_on_once_by_each_member() {
    let mut simulation = Simulation::running(&[20, 20, 20]);
    let sent = |simulation: &Simulation| simulation.instances.iter().map(|instance| instance.datagrams).sum::<u64>();
    let start = sent(&simulation);
    simulation.run(1000);
    let usual = sent(&simulation) - start;
    for index in [1, 2, 3] {
        report(&mut simulation, index, 1);
    }
    let start = sent(&simulation);
    simulation.run(1000);
    let extra = (sent(&simulation) - start).saturating_sub(usual);
    assert!(extra <= 60 * 5, "{extra} datagrams more than usual");
}

#[test]
fn messages_of_strangers_and_overlong_ones_have_no_effect() {
    let mut simulation = Simulation::running(&[1]);
    let news = simulation.node(0).feed().announcement(simulation.now, MemberId(9));
    let send = |simulation: &mut Simulation, body| {
        let bytes = Datagram { version: poplarpaddle::wire::DATAGRAM_VERSION, number: 0, news, body }.encode().unwrap();
        let mut outcome = Ok(());
        simulation.with(0, |node, now| outcome = node.datagram(now, "10.9.9.9:7000".parse().unwrap(), &bytes));
        outcome
    };
    let stranger = MemberId(9);
    send(&mut simulation, Body::Outliers(stranger, vec![HOST])).unwrap();
    for _ in 0..3 {
        send(&mut simulation, Body::Report(stranger, Report { host: HOST, rate: 1 })).unwrap();
    }
    assert_eq!(suspecting(&simulation), 0);
    let me = simulation.node(0).membership().me().id;
    send(&mut simulation, Body::Outliers(me, vec![HOST, HOST])).unwrap();
    assert_eq!(suspecting(&simulation), 1, "a host that is told twice is suspected once");
    let overlong = send(&mut simulation, Body::Outliers(stranger, vec![HOST; MAX_OUTLIERS + 1])).unwrap_err();
    assert_eq!(overlong.kind(), Kind::Message);
}
