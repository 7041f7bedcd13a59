//! Guards against more openings at a cold host than its service allows, over all balancers and any second.

use std::collections::BTreeMap;

use poplarpaddle::direct::{Engine, Settings, Verdict, warmup};
use poplarpaddle::map::hash;
use poplarpaddle::mark::{HostId, Mark};
use poplarpaddle::packet::{Direction, Kind, View};
use poplarpaddle::path::MemberId;
use poplarpaddle::registry::{Host, Service};
use poplarpaddle::time::Time;

use super::support::{Harness, Record, ZONES, flow, host, name, route, route_address};

const BOUND: warmup::Settings = warmup::Settings { overrun_percent: 150, slack: 5 };

/// Rate of a cold host in openings per second; with [`BOUND`], 11 openings are allowed in a second.
const RATE: u32 = 4;

/// Number of hosts in each zone.
const HOSTS: u64 = 12;

/// Time for which hosts stay cold, long enough for members to come and go meanwhile.
const COLD_MS: u64 = 9000;

fn service(rate: u32) -> Service {
    Service { name: "bookings".into(), cold_start_ms: u32::try_from(COLD_MS).unwrap(), cold_rate: rate * 1000 }
}

struct Member {
    id: MemberId,
    zone: usize,
    engine: Engine,
    record: Record,
    is_running: bool,
    /// Members of different parts do not reach each other, but callers and hosts. Part 0 is the largest.
    part: usize,
    /// For each other member of the zone: whether the view has it, and when the view follows a change.
    view: BTreeMap<usize, (bool, Option<u64>)>,
}

/// Balancers with callers and hosts that answer in time, on virtual time in milliseconds.
struct Fleet {
    members: Vec<Member>,
    now: u64,
    draws: u64,
    rate: u32,
    /// Bounds that were in force, with their beginnings.
    bounds: Vec<(u64, u32)>,
    /// Openings that cold hosts took, by host.
    taken: BTreeMap<HostId, Vec<u64>>,
    cold_until: BTreeMap<HostId, u64>,
    /// Packets of callers: when, through which member, flow number, host, kind.
    packets: BTreeMap<u64, Vec<(usize, u16, HostId, Kind)>>,
    next_flow: u16,
    /// Members that never see each other although both run.
    blind: fn(MemberId, MemberId) -> bool,
}

impl Fleet {
    /// Returns a fleet whose views have settled. `rate` is 0 with the mechanism off.
    fn new(members: usize, rate: u32) -> Self {
        let (taken, cold_until, packets) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let blind = |_, _| false;
        let bounds = vec![(0, if rate == 0 { RATE } else { rate })];
        let members = (0..members, Vec::new());
        let mut fleet = Self {
            members: members.1,
            now: 1000,
            draws: 0,
            rate,
            bounds,
            taken,
            cold_until,
            packets,
            next_flow: 0,
            blind,
        };
        for index in members.0 {
            fleet.start(index % 3);
        }
        fleet.run(12_000, 0);
        fleet
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.draws += 1;
        hash(7, &self.draws) % below
    }

    fn time(&self) -> Time {
        Time::from_millis(self.now)
    }

    fn start(&mut self, zone: usize) {
        let now = self.time();
        let seed = self.draw(u64::MAX);
        let zone_name = ZONES[zone].to_owned();
        let mut engine = Engine::new(Settings { zone: zone_name, seed, warmup: BOUND, ..Default::default() });
        let id = MemberId(seed);
        engine.set_members(now, id, &[]);
        engine.set_services(now, &[service(self.rate)]);
        engine.set_route(now, route_address(443), Some(&route("bookings")));
        for id in all_hosts() {
            let cold_until = Time::from_millis(self.cold_until.get(&id).copied().unwrap_or(0));
            engine.set_host(now, &name(id), Some(&record_of(id, cold_until)), now);
        }
        let (record, view) = (Record::default(), BTreeMap::new());
        self.members.push(Member { id, zone, engine, record, is_running: true, part: 0, view });
    }

    /// Makes the hosts cold in all zones below `zones`.
    fn chill(&mut self, zones: u64) {
        let (now, until) = (self.time(), self.now + COLD_MS);
        for id in all_hosts().filter(|id| id.0 / 100 < zones) {
            self.cold_until.insert(id, until);
            for member in &mut self.members {
                member.engine.set_host(now, &name(id), Some(&record_of(id, Time::from_millis(until))), now);
            }
        }
    }

    /// Tells members of changes in their zone: of starts within a second, of ends after two seconds and more, which is the
    /// time that they take to detect a failure. A member that is cut off takes far longer.
    fn update_views(&mut self) {
        for observer in 0..self.members.len() {
            let mut has_changed = false;
            for other in (0..self.members.len()).filter(|other| *other != observer) {
                let (one, two) = (&self.members[observer], &self.members[other]);
                let is_visible = two.is_running && one.part == two.part && !(self.blind)(one.id, two.id);
                if one.zone != two.zone || !one.is_running {
                    continue;
                }
                let slow = if one.part > 0 { 20_000 } else { 1000 };
                let delay = if is_visible { 100 + self.draw(700) } else { 1900 + self.draw(slow) };
                let entry = self.members[observer].view.entry(other).or_insert((false, None));
                if entry.0 == is_visible {
                    entry.1 = None;
                    continue;
                }
                if self.now >= *entry.1.get_or_insert(self.now + delay) {
                    *entry = (is_visible, None);
                    has_changed = true;
                }
            }
            let member = &self.members[observer];
            let seen = member.view.iter().filter(|(_, (is_seen, _))| *is_seen);
            let ids: Vec<MemberId> = seen.map(|(index, _)| self.members[*index].id).collect();
            let now = self.time();
            let (part, members) = (member.part, &self.members);
            let is_heard =
                |(index, other): (usize, &Member)| index != observer && other.is_running && other.part == part;
            let has_contact = members.iter().enumerate().any(is_heard);
            let member = &mut self.members[observer];
            if has_changed {
                member.engine.set_members(now, member.id, &ids);
            }
            if member.is_running && has_contact {
                let zone = ZONES[member.zone];
                member.engine.zone_alive(now, zone, &mut member.record);
            }
        }
    }

    /// Runs for `millis` with `load` openings per 10 ms.
    fn run(&mut self, millis: u64, load: u64) {
        let end = self.now + millis;
        while self.now < end {
            if self.now.is_multiple_of(100) {
                self.update_views();
            }
            let running: Vec<usize> = (0..self.members.len()).filter(|i| self.members[*i].is_running).collect();
            if self.now.is_multiple_of(10) && !running.is_empty() {
                for _ in 0..load {
                    let member = running[usize::try_from(self.draw(running.len() as u64)).unwrap()];
                    self.next_flow = self.next_flow.wrapping_add(1);
                    self.packet(member, self.next_flow, None, Kind::Opening);
                }
            }
            for (member, number, host, kind) in self.packets.remove(&self.now).unwrap_or_default() {
                self.packet(member, number, Some(host), kind);
            }
            let now = self.time();
            for index in running {
                let member = &mut self.members[index];
                if now.reached(member.engine.deadline()) {
                    member.engine.tick(now, &mut member.record);
                }
                self.collect(index);
            }
            self.now += 1;
        }
    }

    fn packet(&mut self, index: usize, number: u16, host: Option<HostId>, kind: Kind) {
        let now = self.time();
        let member = &mut self.members[index];
        let view = View {
            payload: u32::from(kind == Kind::Data),
            sequence: u32::from(number),
            ..View::new(flow(number, 443), Direction::FromCaller, kind, &[0])
        };
        if member.is_running {
            member.engine.packet(now, host.map_or(Mark::NONE, Mark::of), &view, &mut member.record);
        }
        self.collect(index);
    }

    /// Lets hosts take what a member sent. Requests begin 8 ms after their opening and end 40 ms later.
    fn collect(&mut self, index: usize) {
        let record = &mut self.members[index].record;
        let sent = std::mem::take(&mut record.sent);
        let placed = std::mem::take(&mut record.decisions)
            .into_iter()
            .filter(|(_, verdict, _)| matches!(verdict, Verdict::Placed | Verdict::Repeated | Verdict::Moved));
        let openings = sent.into_iter().filter(|sent| sent.hop.mark.is_some());
        for (sent, (flow, ..)) in openings.zip(placed) {
            let (id, number) = (sent.hop.host, flow.caller.port());
            if self.cold_until.get(&id).is_some_and(|until| self.now < *until) {
                let is_near = self.members[index].zone as u64 == id.0 / 100;
                assert!(is_near || self.rate == 0, "opened from another zone");
                self.taken.entry(id).or_default().push(self.now);
            }
            for (after, kind) in [(8, Kind::Data), (48, Kind::Closing)] {
                self.packets.entry(self.now + after).or_default().push((index, number, id, kind));
            }
        }
    }

    /// Returns how far the fullest sliding second of a cold host is above the bound in force at its beginning.
    fn worst(&self) -> i64 {
        let bound_at = |start: u64| {
            let in_force = self.bounds.iter().rfind(|(from, _)| *from <= start);
            i64::from(in_force.unwrap().1 * 3 / 2 + 5)
        };
        let excess = |times: &Vec<u64>| {
            let mut worst = i64::MIN;
            for (first, start) in times.iter().enumerate() {
                let count = times[first..].iter().take_while(|time| **time <= start + 1000).count();
                worst = worst.max(i64::try_from(count).unwrap() - bound_at(*start));
            }
            worst
        };
        self.taken.values().map(excess).max().unwrap_or(i64::MIN)
    }

    /// Returns the openings at cold hosts as a percentage of those that `hosts` hosts bear in `millis`.
    fn used_percent(&self, hosts: u64, millis: u64) -> u64 {
        let taken: usize = self.taken.values().map(Vec::len).sum();
        taken as u64 * 100_000 / (hosts * millis * u64::from(RATE))
    }

    fn stop(&mut self, count: usize) {
        let running = self.members.iter_mut().filter(|member| member.is_running);
        running.take(count).for_each(|member| member.is_running = false);
    }
}

fn all_hosts() -> impl Iterator<Item = HostId> {
    (0..3).flat_map(|zone| (1..=HOSTS).map(move |number| HostId(zone * 100 + number)))
}

fn record_of(id: HostId, cold_until: Time) -> Host {
    let zone = ZONES[usize::try_from(id.0 / 100).unwrap()];
    Host { cold_until, slots: 2, ..host(id.0, "bookings", zone) }
}

/// A zone that returns cold looks like the least loaded one to every balancer at once, most of all under full load.
#[test]
fn hosts_of_a_zone_that_return_cold_get_no_more_than_the_bound_and_most_of_their_rate() {
    for (members, load) in [(30, 8), (100, 8)] {
        let mut fleet = Fleet::new(members, RATE);
        fleet.chill(1);
        fleet.run(COLD_MS, load);
        assert!(fleet.worst() <= 0, "{members} members: {} over the bound", fleet.worst());
        let used = fleet.used_percent(HOSTS, COLD_MS);
        assert!((75..=105).contains(&used), "{members} members use {used}% of the rate of the cold hosts");
    }
}

/// The fleet has to be able to exceed the bound, or the other tests show nothing.
#[test]
fn without_the_bound_the_same_load_exceeds_it() {
    let mut fleet = Fleet::new(30, 0);
    fleet.chill(3);
    fleet.run(2000, 12);
    assert!(fleet.worst() > 0, "{}", fleet.worst());
}

/// Members see starts and ends of others at different times, and all hosts are cold, so nothing else takes openings.
#[test]
fn members_that_come_and_go_stay_within_the_bound() {
    let mut fleet = Fleet::new(60, RATE);
    fleet.chill(3);
    for step in 0..20 {
        fleet.run(400, 10);
        let victim = usize::try_from(fleet.draw(60)).unwrap();
        fleet.members[victim].is_running = false;
        fleet.start(step % 3);
    }
    assert!(fleet.worst() <= 0, "{} over the bound", fleet.worst());
    assert!(!fleet.taken.is_empty());
}

/// Two members that do not see each other for long both believe that they own a host.
#[test]
fn pairs_of_members_that_never_see_each_other_stay_within_the_bound() {
    for rate in [RATE, 20] {
        let mut fleet = Fleet::new(6, rate);
        fleet.blind = |_, _| true;
        fleet.run(5000, 0);
        fleet.chill(3);
        fleet.run(COLD_MS, 30);
        assert!(fleet.worst() <= 0, "rate {rate}: {} over the bound", fleet.worst());
    }
}

/// Members that are cut off believe their old view while the others take over their hosts, and a stale one when they return.
#[test]
fn members_that_are_cut_off_and_return_stay_within_the_bound() {
    for (count, rate) in [(1, RATE), (9, RATE), (30, RATE), (30, 20)] {
        let mut fleet = Fleet::new(60, rate);
        fleet.chill(3);
        fleet.run(500, 20);
        for (index, member) in fleet.members.iter_mut().enumerate().take(count) {
            member.part = index + 1;
        }
        fleet.run(6500, 20);
        fleet.members.iter_mut().for_each(|member| member.part = 0);
        fleet.run(2000, 20);
        assert!(fleet.worst() <= 0, "{count} cut off: {} over the bound", fleet.worst());
    }
}

/// A cut leaves a zone alone or divides it, and each part takes the members of the others for dead.
#[test]
fn the_parts_of_a_divided_fleet_stay_within_the_bound() {
    let divisions: [fn(usize) -> usize; 3] = [|index| index % 3, |index| index % 2, |index| index / 3 % 3];
    for division in divisions {
        let mut fleet = Fleet::new(60, RATE);
        fleet.chill(3);
        fleet.run(500, 10);
        for (index, member) in fleet.members.iter_mut().enumerate() {
            member.part = division(index);
        }
        fleet.run(8400, 10);
        assert!(fleet.worst() <= 0, "{} over the bound", fleet.worst());
    }
}

/// New members know few others at first, and all members may be new at once.
#[test]
fn added_and_restarted_members_stay_within_the_bound() {
    let mut fleet = Fleet::new(30, RATE);
    fleet.chill(3);
    fleet.run(1000, 10);
    (0..30).for_each(|index| fleet.start(index % 3));
    fleet.run(3000, 10);
    fleet.stop(60);
    fleet.run(500, 0);
    (0..60).for_each(|index| fleet.start(index % 3));
    fleet.run(4500, 10);
    assert!(fleet.worst() <= 0, "{} over the bound", fleet.worst());
}

/// A member that slept does not know that others took over.
#[test]
fn a_member_that_paused_opens_nothing_until_its_view_has_settled() {
    let mut fleet = Fleet::new(6, RATE);
    fleet.members.iter_mut().for_each(|member| member.is_running = false);
    fleet.run(5000, 0);
    fleet.members.iter_mut().for_each(|member| member.is_running = true);
    fleet.chill(3);
    fleet.run(2500, 10);
    assert!(fleet.taken.is_empty(), "{:?}", fleet.taken);
}

/// A pause before the view has settled for the first time must count like a later one.
#[test]
fn a_member_that_paused_while_its_view_settled_waits_again() {
    let mut harness = Harness::new(7);
    let (me, other) = (MemberId(1), MemberId(2));
    let id = (1..).map(HostId).find(|id| hash(id.0, &me.0) > hash(id.0, &other.0)).unwrap();
    harness.engine.set_services(harness.now, &[service(RATE)]);
    harness.register(&Host { cold_until: Time::from_millis(60_000), ..host(id.0, "bookings", "a") });
    harness.route(443, Some(&route("bookings")));
    harness.engine.set_members(harness.now, me, &[]);
    harness.engine.set_members(harness.now, me, &[other]);
    harness.engine.zone_alive(harness.now, "a", &mut harness.record);
    for (millis, is_open) in [(2900, false), (500, false), (1000, false), (1000, false), (1000, true)] {
        harness.advance(millis);
        harness.engine.zone_alive(harness.now, "a", &mut harness.record);
        harness.send_opening(flow(u16::try_from(harness.now.as_nanos() / 1_000_000).unwrap(), 443), 0);
        assert_eq!(!harness.record.sent.is_empty(), is_open, "at {}", harness.now);
    }
}

/// A configuration may lower the rate while the openings of the last second were sent at the higher one.
#[test]
fn a_changed_rate_holds_from_its_first_second() {
    let mut fleet = Fleet::new(6, RATE);
    fleet.chill(3);
    for rate in [40, 4, 20, 1] {
        fleet.bounds.push((fleet.now, rate));
        // The time until the members have the configuration.
        fleet.run(250, 10);
        let now = fleet.time();
        for member in &mut fleet.members {
            member.engine.set_services(now, &[service(rate)]);
        }
        fleet.run(2200, 10);
    }
    assert!(fleet.worst() <= 0, "{} over the bound", fleet.worst());
}

/// Callers whose only hosts are cold wait as long as for full ones, and learn the reason of a refusal.
#[test]
fn openings_wait_for_cold_hosts_and_are_refused_at_the_end() {
    use poplarpaddle::direct::Reason;
    let mut harness = Harness::new(3);
    harness.engine.set_services(harness.now, &[service(RATE)]);
    harness.register(&Host { cold_until: Time::from_millis(1100), ..host(1, "bookings", "a") });
    harness.route(443, Some(&route("bookings")));
    harness.send_opening(flow(1, 443), 0);
    assert_eq!(harness.record.decisions, [(flow(1, 443), Verdict::Queued, None)]);
    harness.advance(120);
    assert_eq!(harness.last_hop().host, HostId(1), "placed as soon as the host is warm");
    harness.register(&Host { cold_until: Time::from_millis(9000), ..host(1, "bookings", "a") });
    harness.send_opening(flow(2, 443), 0);
    harness.advance(200);
    assert_eq!(harness.record.decisions.last(), Some(&(flow(2, 443), Verdict::Refused, Some(Reason::ColdHosts))));
    assert_eq!(harness.record.sent.len(), 1, "the lost opening is not repeated to the cold host");
}

/// The routers move a caller while the owner of a cold host has its opening, and the next balancer may not place the copy.
/// A reset would end the flow that the host is about to accept.
#[test]
fn a_copy_of_an_opening_that_only_cold_hosts_could_take_is_not_reset() {
    use poplarpaddle::direct::Reason;
    let mut harness = Harness::new(3);
    harness.engine.set_services(harness.now, &[service(RATE)]);
    harness.register(&Host { cold_until: Time::from_millis(9000), ..host(1, "bookings", "a") });
    harness.route(443, Some(&route("bookings")));
    harness.send_opening(flow(1, 443), 1);
    harness.advance(200);
    assert_eq!(harness.record.decisions.last(), Some(&(flow(1, 443), Verdict::Dropped, Some(Reason::ColdHosts))));
    assert!(harness.record.resets.is_empty());
}

/// The hosts of a zone that was taken back may be cold before their registrations say so.
#[test]
fn hosts_of_a_zone_that_returns_are_bounded_before_their_registrations_arrive() {
    let mut harness = Harness::with_hosts(6, 1);
    harness.engine.set_services(harness.now, &[Service { cold_start_ms: 3000, ..service(RATE) }]);
    let openings_in_b = |harness: &mut Harness, first_caller: u16| {
        let placed = (first_caller..first_caller + 60).map(|caller| harness.establish(flow(caller, 443)));
        placed.filter(|host| host.0 / 100 == 1).count()
    };
    harness.engine.set_zone_drain(harness.now, "b", true, &mut harness.record);
    harness.engine.set_zone_drain(harness.now, "b", false, &mut harness.record);
    harness.advance(2500);
    assert_eq!(openings_in_b(&mut harness, 1), 0, "this member, in another zone, owns no host there");
    harness.advance(600);
    assert!(openings_in_b(&mut harness, 1000) > 0);
}

/// Deployments without a rate keep their choices.
#[test]
fn a_service_without_a_rate_is_placed_as_before() {
    let place = |services: &[Service]| {
        let mut harness = Harness::with_slots(5, 4, 2);
        harness.engine.set_services(harness.now, services);
        harness.register(&Host { cold_until: Time::from_millis(60_000), ..record_of(HostId(1), Time::default()) });
        (0..200).map(|caller| harness.establish(flow(caller, 443))).collect::<Vec<_>>()
    };
    assert_eq!(place(&[]), place(&[service(0)]));
}
