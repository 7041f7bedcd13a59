//! Tests of admission control: the queue, the host limits and the retry budget.

use std::net::Ipv4Addr;
use std::time::Duration;

use poplarpaddle::admission::{Decision, Departure, End, Gate, Host, Queue, Settings, Ticket, TicketId};
use poplarpaddle::limit::{self, Limit};
use poplarpaddle::prelude::*;
use poplarpaddle::retry;
use poplarpaddle::view::HostState;

const SLOTS: u16 = 3;
const BACKLOG: u16 = 1;
/// Limit of a warm host: the slots plus the backlog.
const CAPACITY: u32 = 4;

fn address(index: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 1, index)
}

fn host(index: u8) -> Host {
    Host { address: address(index), slots: SLOTS, connections: 100, state: HostState::Serving, busy: None }
}

fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Sets the backlog to a fixed value, so that the tests do not depend on its default.
fn settings() -> Settings {
    Settings { limit: limit::Settings { backlog: BACKLOG, ..Default::default() }, ..Default::default() }
}

fn gate(hosts: u8, settings: Settings) -> Queue {
    let mut gate = Queue::new(settings);
    let hosts: Vec<Host> = (0..hosts).map(host).collect();
    gate.set_hosts(ms(0), &hosts);
    gate
}

fn ticket(priority: usize, candidates: &[Ipv4Addr]) -> Ticket<'_> {
    let flow =
        Flow { caller: "192.0.2.7:40000".parse().expect("valid"), service: "10.0.0.1:80".parse().expect("valid") };
    Ticket { flow, priority, opening: true, candidates, deadline: ms(10_000), bytes: 60 }
}

fn waiting(decision: Decision) -> TicketId {
    match decision {
        Decision::Wait(id) => id,
        other => panic!("expected a waiting ticket, got {other:?}"),
    }
}

/// Starts openings until all candidates are at their limits.
fn fill(gate: &mut Queue, candidates: &[Ipv4Addr]) {
    let capacity = candidates.len() * CAPACITY as usize;
    for _ in 0..capacity {
        assert!(matches!(gate.offer(ms(0), &ticket(0, candidates)), Decision::Start(_)));
    }
}

/// Guards against starvation: without shares, a flood of urgent openings takes every start.
#[test]
fn shares_hold_in_an_urgent_flood() {
    let hosts = [address(0)];
    let mut gate = gate(1, settings());
    fill(&mut gate, &hosts);
    let mut started = [0_usize; 3];
    let mut priorities = poplarpaddle::map::seeded::<TicketId, usize>(1);
    for step in 0..1_000 {
        for priority in [0, 0, 1, 2] {
            if let Decision::Wait(id) = gate.offer(ms(step), &ticket(priority, &hosts)) {
                priorities.insert(id, priority);
            }
        }
        gate.finish(ms(step), hosts[0], 0, End::Closed);
        while let Some(departure) = gate.next(ms(step)) {
            if let Departure::Start(id, _) = departure {
                started[priorities[&id]] += 1;
            }
        }
    }
    assert_eq!(started.iter().sum::<usize>(), 1_000);
    assert!(started[1] >= 195, "the share of 20 % is not reached: {started:?}");
    assert!(started[2] >= 45, "the share of 5 % is not reached: {started:?}");
    assert!(started[0] > started[1] + started[2], "the most urgent priority does not get most starts: {started:?}");
}

/// Guards against work of the priority `idle` that starts before urgent work although its share does not entitle it to.
#[test]
fn most_urgent_goes_first() {
    let hosts = [address(0)];
    let mut gate = gate(1, settings());
    fill(&mut gate, &hosts);
    let idle = waiting(gate.offer(ms(0), &ticket(2, &hosts)));
    let urgent = waiting(gate.offer(ms(0), &ticket(0, &hosts)));
    for expected in [urgent, idle] {
        gate.finish(ms(1), hosts[0], 0, End::Closed);
        assert_eq!(gate.next(ms(1)), Some(Departure::Start(expected, hosts[0])));
        assert_eq!(gate.next(ms(1)), None);
    }
}

/// Guards against requests of accepted flows that time out while a flood of openings of the same priority starts.
#[test]
fn payload_goes_before_openings_of_its_priority() {
    let hosts = [address(0)];
    let mut gate = gate(1, settings());
    fill(&mut gate, &hosts);
    let opening = waiting(gate.offer(ms(0), &ticket(1, &hosts)));
    let payload = waiting(gate.offer(ms(0), &Ticket { opening: false, ..ticket(1, &hosts) }));
    for expected in [payload, opening] {
        gate.finish(ms(1), hosts[0], 0, End::Closed);
        assert_eq!(gate.next(ms(1)), Some(Departure::Start(expected, hosts[0])));
    }
}

/// Guards against work that starts after its deadline, when its caller has given up, and against refused tickets that
/// still start.
#[test]
fn expired_and_refused_work_never_starts() {
    let hosts = [address(0)];
    let mut gate = gate(1, settings());
    fill(&mut gate, &hosts);
    let id = waiting(gate.offer(ms(0), &Ticket { deadline: ms(50), ..ticket(0, &hosts) }));
    assert_eq!(gate.deadline(), ms(50));
    gate.finish(ms(50), hosts[0], 0, End::Closed);
    assert_eq!(gate.next(ms(50)), Some(Departure::Expire(id)));
    assert_eq!(gate.next(ms(50)), None);

    let late = gate.offer(ms(50), &Ticket { deadline: ms(50), ..ticket(0, &hosts) });
    assert_eq!(late, Decision::Refuse(Reason::Deadline));
    assert_eq!(gate.waiting(), 0);
    assert_eq!(gate.next(ms(60)), None);
}

/// Guards against openings that wait although they cannot start before their deadlines. They must be refused
/// immediately, while the caller still has time to try another endpoint.
#[test]
fn opening_that_would_miss_its_deadline_is_refused_early() {
    let hosts = [address(0)];
    let mut gate = gate(1, settings());
    fill(&mut gate, &hosts);
    // One answer sets the mean service time to 100 ms, so that a limit of four allows a start every 25 ms.
    gate.finish(ms(100), hosts[0], 0, End::Answered(ms(0)));
    assert!(matches!(gate.offer(ms(100), &ticket(0, &hosts)), Decision::Start(_)));
    let soon = Ticket { deadline: ms(190), ..ticket(0, &hosts) };
    let decisions: Vec<bool> =
        (0..6).map(|_| matches!(gate.offer(ms(100), &soon), Decision::Refuse(Reason::Deadline))).collect();
    assert_eq!(decisions, [false, false, false, true, true, true]);
}

/// Guards against payload of established flows that is refused because openings filled the queue.
#[test]
fn queue_reserves_capacity_for_payload_and_stays_bounded() {
    let cases = [
        // (entries, bytes, openings that fit, payloads that fit after them)
        (8, 1 << 20, 6, 2),
        (100, 600, 7, 3),
    ];
    for (entries, bytes, openings, payloads) in cases {
        let hosts = [address(0)];
        let mut gate = gate(1, Settings { entries, bytes, ..settings() });
        fill(&mut gate, &hosts);
        let mut count = |opening| {
            let fits =
                |_: &usize| matches!(gate.offer(ms(0), &Ticket { opening, ..ticket(0, &hosts) }), Decision::Wait(_));
            (0..20).filter(fits).count()
        };
        assert_eq!(count(true), openings, "openings with {entries} entries and {bytes} bytes");
        assert_eq!(count(false), payloads, "payloads with {entries} entries and {bytes} bytes");
        assert_eq!(gate.offer(ms(0), &ticket(0, &hosts)), Decision::Refuse(Reason::QueueFull));
        // Each priority has its own queue.
        assert!(matches!(gate.offer(ms(0), &ticket(1, &hosts)), Decision::Wait(_)));
    }
}

/// Guards against retries that multiply the load when every host sheds. Pauses are disabled and deadlines are far away,
/// so that only the budget limits retries.
#[test]
fn retries_stay_within_the_budget_under_full_shedding() {
    let hosts: Vec<Ipv4Addr> = (0..4).map(address).collect();
    let limit = limit::Settings { pause: Duration::ZERO, ..settings().limit };
    let mut gate = gate(4, Settings { limit, ..settings() });
    let mut openings = 0;
    let mut retries = 0;
    for step in 0..20_000 {
        let now = ms(step);
        let ticket = Ticket { deadline: ms(step + 10_000), ..ticket(0, &hosts) };
        let mut attempts = Vec::new();
        if let Decision::Start(host) = gate.offer(now, &ticket) {
            openings += 1;
            attempts.push(host);
        }
        while let Some(departure) = gate.next(now) {
            if let Departure::Start(_, host) = departure {
                attempts.push(host);
            }
        }
        for host in attempts {
            gate.finish(now, host, 0, End::Shed);
            retries += usize::from(matches!(gate.retry(now, &ticket, host), Decision::Wait(_)));
        }
    }
    assert!(openings > 1_000, "only {openings} openings started, although hosts must be probed again after pauses");
    assert!(retries > openings / 20, "the budget is not used: {retries} retries of {openings} openings");
    assert!(retries <= openings / 10 + 10, "{retries} retries of {openings} openings");
}

/// Guards against retries on the host that failed, before the end of the backoff, or after the deadline.
#[test]
fn retry_uses_another_host_after_backoff() {
    let hosts = [address(0), address(1)];
    let mut gate = gate(2, settings());
    let Decision::Start(first) = gate.offer(ms(0), &ticket(0, &hosts)) else { panic!("no start") };
    gate.finish(ms(1), first, 0, End::Shed);
    let id = waiting(gate.retry(ms(1), &ticket(0, &hosts), first));
    assert_eq!(gate.next(ms(1)), None);
    let ready = gate.deadline();
    assert!(ready > ms(1) && ready <= ms(10), "backoff until {ready}");
    let Some(Departure::Start(started, second)) = gate.next(ready) else { panic!("no retry") };
    assert_eq!(started, id);
    assert_ne!(second, first);

    gate.finish(ms(20), second, 0, End::Unanswered);
    let late = Ticket { deadline: ms(21), ..ticket(0, &hosts) };
    assert_eq!(gate.retry(ms(20), &late, second), Decision::Refuse(Reason::Deadline));
}

/// Guards against a limit that never recovers, and against one that ignores failures.
#[test]
fn limit_decreases_on_failures_and_recovers() {
    let settings = settings().limit;
    let mut limit = Limit::new(settings, SLOTS);
    assert_eq!(limit.allowed(), CAPACITY);
    limit.decrease(ms(100));
    assert_eq!(limit.allowed(), 2);
    limit.decrease(ms(101));
    assert_eq!(limit.allowed(), 2, "openings of one burst that are shed count as one failure");
    assert!(limit.paused_until() <= ms(101), "the first failure pauses openings");
    limit.decrease(ms(200));
    assert_eq!(limit.allowed(), 1);
    assert_eq!(limit.paused_until(), ms(200) + settings.pause);
    limit.decrease(ms(400));
    assert_eq!(limit.allowed(), 1);
    assert_eq!(limit.paused_until(), ms(400) + settings.pause * 2, "the pause does not double with each failure");
    limit.record_start(ms(700));
    assert_eq!(limit.paused_until(), ms(700) + settings.pause * 2, "more than one opening per pause probes the host");
    for step in 0..20 {
        limit.increase(ms(1_000 + step));
    }
    assert_eq!(limit.allowed(), CAPACITY);
    assert!(limit.paused_until() > ms(700), "answers on established flows ended the pause of openings");
    limit.record_accept();
    assert!(limit.paused_until() <= ms(700));
}

/// Guards against a burst of openings on a cold host, and against load reports that throttle a host which answers in
/// time.
#[test]
fn cold_hosts_warm_up() {
    let hosts = [address(0)];
    let mut gate = Queue::new(settings());
    gate.set_hosts(ms(0), &[Host { state: HostState::Cold, ..host(0) }]);
    let mut limits = Vec::new();
    for step in 0..8 {
        limits.push(gate.limit(hosts[0]).expect("host is listed"));
        assert!(matches!(gate.offer(ms(step), &ticket(0, &hosts)), Decision::Start(_)));
        gate.finish(ms(step + 1), hosts[0], 0, End::Answered(ms(step)));
    }
    assert_eq!(limits[0], 1);
    assert!(limits.is_sorted(), "{limits:?}");
    assert_eq!(limits[7], CAPACITY);

    let state = |state| [Host { state, ..host(0) }];
    gate.set_hosts(ms(10), &state(HostState::Serving));
    gate.set_hosts(ms(20), &state(HostState::Cold));
    assert_eq!(gate.limit(hosts[0]), Some(CAPACITY), "a load report overrode timely answers");
    gate.set_hosts(ms(20_000), &state(HostState::Down));
    gate.set_hosts(ms(21_000), &state(HostState::Serving));
    assert_eq!(gate.limit(hosts[0]), Some(1), "a host that was down does not warm up");
}

/// Guards against a burst of openings on a host that joins before its first load report can say that it is cold.
#[test]
fn joining_hosts_warm_up() {
    let mut gate = gate(1, settings());
    gate.set_hosts(ms(10), &[host(0), host(1)]);
    assert_eq!([gate.limit(address(0)), gate.limit(address(1))], [Some(CAPACITY), Some(1)]);
}

/// Guards against openings on hosts that must not get any, and against payload of established flows that is held back
/// there.
#[test]
fn host_state_decides_which_work_starts() {
    let cases = [
        (HostState::Serving, true, true),
        (HostState::Cold, true, true),
        (HostState::Draining, false, true),
        (HostState::Down, false, true),
        (HostState::Misplaced, false, false),
    ];
    for (state, openings, payload) in cases {
        let hosts = [address(0)];
        let mut gate = Queue::new(settings());
        gate.set_hosts(ms(0), &[Host { state, ..host(0) }]);
        for (opening, expected) in [(false, payload), (true, openings)] {
            let decision = gate.offer(ms(0), &Ticket { opening, ..ticket(0, &hosts) });
            let starts = decision == Decision::Start(hosts[0]);
            assert_eq!(starts, expected, "{state:?}, opening {opening}: {decision:?}");
            if starts {
                gate.finish(ms(0), hosts[0], 0, End::Closed);
            }
        }
    }
}

/// Guards against waiting openings that start on a host which began to drain in the meantime, or that do not start on
/// another host.
#[test]
fn waiting_opening_moves_away_from_a_draining_host() {
    let hosts = [address(0), address(1)];
    let mut gate = gate(2, settings());
    fill(&mut gate, &hosts);
    waiting(gate.offer(ms(0), &ticket(0, &hosts)));
    gate.set_hosts(ms(1), &[Host { state: HostState::Draining, ..host(0) }, host(1)]);
    gate.finish(ms(1), hosts[0], 0, End::Closed);
    assert_eq!(gate.next(ms(1)), None, "the opening started on a draining host");
    gate.finish(ms(2), hosts[1], 0, End::Closed);
    assert!(matches!(gate.next(ms(2)), Some(Departure::Start(_, started)) if started == hosts[1]));
}

/// Guards against more connections than a host supports.
#[test]
fn connection_limit_holds() {
    let hosts = [address(0)];
    let mut gate = Queue::new(settings());
    gate.set_hosts(ms(0), &[Host { connections: 2, ..host(0) }]);
    for _ in 0..2 {
        assert!(matches!(gate.offer(ms(0), &ticket(0, &hosts)), Decision::Start(_)));
        gate.connect(hosts[0]);
        gate.finish(ms(0), hosts[0], 0, End::Closed);
    }
    assert_eq!(gate.offer(ms(0), &ticket(0, &hosts)), Decision::Refuse(Reason::NoTarget));
    gate.disconnect(hosts[0]);
    assert!(matches!(gate.offer(ms(0), &ticket(0, &hosts)), Decision::Start(_)));
}

/// Guards against uneven placement: the first four candidates must share the load, and the others must get only what
/// exceeds the limits of these.
#[test]
fn placement_prefers_the_first_four_candidates() {
    let hosts: Vec<Ipv4Addr> = (0..6).map(address).collect();
    let mut gate = gate(6, settings());
    let mut start = || match gate.offer(ms(0), &ticket(0, &hosts)) {
        Decision::Start(host) => host,
        other => panic!("expected a start, got {other:?}"),
    };
    let first: Vec<Ipv4Addr> = (0..4).map(|_| start()).collect();
    assert_eq!(first, hosts[..4]);
    for _ in 0..12 {
        assert!(hosts[..4].contains(&start()));
    }
    for _ in 0..8 {
        assert!(hosts[4..].contains(&start()));
    }
}

/// Guards against idle flows that accumulate on one host while no host has work in flight.
#[test]
fn placement_breaks_ties_by_connections() {
    let hosts: Vec<Ipv4Addr> = (0..4).map(address).collect();
    let mut gate = gate(4, settings());
    for expected in [0, 1, 2, 3, 0, 1] {
        assert_eq!(gate.offer(ms(0), &ticket(0, &hosts)), Decision::Start(address(expected)));
        gate.connect(address(expected));
        gate.finish(ms(0), address(expected), 0, End::Closed);
    }
}

/// Guards against placement on fewer than four preferred hosts because some of the first candidates are draining.
#[test]
fn placement_skips_unusable_candidates() {
    let hosts: Vec<Ipv4Addr> = (0..6).map(address).collect();
    let mut gate = Queue::new(settings());
    let state = |index| if index < 2 { HostState::Draining } else { HostState::Serving };
    gate.set_hosts(ms(0), &(0..6).map(|index| Host { state: state(index), ..host(index) }).collect::<Vec<_>>());
    let mut starts: Vec<Decision> = (0..4).map(|_| gate.offer(ms(0), &ticket(0, &hosts))).collect();
    starts.dedup();
    assert_eq!(starts, [2, 3, 4, 5].map(|index| Decision::Start(address(index))));
}

/// Guards against lost accounts: work in flight on a host that is no longer listed must be counted until it ends.
#[test]
fn unlisted_host_keeps_its_account() {
    let hosts = [address(0)];
    let mut gate = gate(1, settings());
    fill(&mut gate, &hosts);
    gate.set_hosts(ms(1), &[]);
    assert_eq!(gate.in_flight(hosts[0]), CAPACITY);
    let payload = Ticket { opening: false, ..ticket(0, &hosts) };
    let id = waiting(gate.offer(ms(1), &payload));
    gate.finish(ms(2), hosts[0], 0, End::Answered(ms(2) + Duration::ZERO));
    assert_eq!(gate.next(ms(2)), Some(Departure::Start(id, hosts[0])));
}

/// Guards against openings that start on a host before its first load report shows which service runs there.
#[test]
fn openings_wait_for_the_first_report() {
    let mut gate = gate(0, settings());
    let candidates = [address(0)];
    gate.set_hosts(ms(0), &[Host { state: HostState::Unknown, ..host(0) }]);
    let id = waiting(gate.offer(ms(0), &ticket(0, &candidates)));
    assert_eq!(gate.next(ms(100)), None);
    gate.set_hosts(ms(110), &[host(0)]);
    assert_eq!(gate.next(ms(110)), Some(Departure::Start(id, address(0))));
    let second = waiting_for_unknown(&mut gate, &candidates);
    gate.set_hosts(ms(130), &[Host { state: HostState::Misplaced, ..host(0) }]);
    assert_ne!(gate.next(ms(130)), Some(Departure::Start(second, address(0))));
}

fn waiting_for_unknown(gate: &mut Queue, candidates: &[Ipv4Addr]) -> TicketId {
    gate.set_hosts(ms(120), &[Host { state: HostState::Unknown, ..host(0) }]);
    waiting(gate.offer(ms(120), &ticket(0, candidates)))
}

/// Guards against a refusal that blames the hosts when only the retry budget is used up: operators then look for a fault
/// of the hosts.
#[test]
fn a_used_up_retry_budget_is_named() {
    let hosts: Vec<Ipv4Addr> = (0..4).map(address).collect();
    let retry = retry::Settings { reserve: 0, percent: 0, ..settings().retry };
    let mut gate = gate(4, Settings { retry, ..settings() });
    assert!(matches!(gate.offer(ms(0), &ticket(0, &hosts)), Decision::Start(_)));
    gate.finish(ms(1), hosts[0], 0, End::Shed);
    assert_eq!(gate.retry(ms(1), &ticket(0, &hosts), hosts[0]), Decision::Refuse(Reason::RetryBudget));
}
