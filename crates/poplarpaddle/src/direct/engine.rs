//! Engine of the data path: takes packets and registry changes, and decides where packets are forwarded.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::{RngExt as _, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::buffer::Buffer;
use super::drain::Drains;
use super::link::{Change, Link};
use super::opening::Pending;
use super::queue::Queue;
use super::warmup::Warmup;
use super::{Basis, Counters, Decision, Hop, Outlet, Reason, Settings, Verdict, host, idle, route};
use crate::limit::Limit;
use crate::map::{self, Map};
use crate::mark::Mark;
use crate::packet::{Flow, Kind, View};
use crate::registry::{self, Address, Route};
use crate::retry::Budget;
use crate::time::Time;

/// What determines the host of an established flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Affinity {
    /// The mark of each packet.
    Mark,
    /// [`Entry::host`], because the opening may have reached other hosts as well. The marks of the caller's packets
    /// then tell which host answered last, not which one has the connection.
    Pinned,
}

/// State of a flow that the engine has seen.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) host: host::Index,
    pub(super) affinity: Affinity,
    /// Sequence number of the opening, which distinguishes a new connection from a retransmission.
    pub(super) sequence: u32,
    /// When the last packet of the flow arrived or its opening was last sent.
    pub(super) last_packet: Time,
    /// True while the flow counts as a request in progress at its host: from its opening or the payload of a request
    /// until the caller acknowledges the response, or until the flow ends.
    pub(super) busy: bool,
    /// True while that request has taken longer than most requests of the service.
    pub(super) overdue: bool,
    /// True once that request counts as evidence about its host, or no longer can.
    pub(super) judged: bool,
    /// The caller's last packet with payload; none before the first one.
    pub(super) request: Option<Request>,
    /// Acknowledgement number of the caller's last packet. It moves on while the caller receives a response.
    pub(super) acknowledgement: u32,
    /// The opening, until a packet of the caller shows that a host answered it.
    pub(super) pending: Option<Box<Pending>>,
}

impl Entry {
    pub(super) fn is_pinned(&self) -> bool {
        self.affinity == Affinity::Pinned
    }

    /// Returns what a reset of the flow is based on if no packet of it arrives.
    pub(super) const fn basis(&self) -> Basis {
        Basis { sequence: self.acknowledgement, seen: self.last_packet }
    }
}

/// A caller's packet with payload, which is a request or the end of one.
#[derive(Debug, Clone, Copy)]
pub(super) struct Request {
    acknowledgement: u32,
    sequence: u32,
    /// True once the caller has retransmitted it, so that an answer may belong to an earlier copy.
    is_repeated: bool,
}

impl Request {
    /// Returns true when the packet is a copy of this one.
    pub(super) fn is_copy(&self, packet: &View<'_>) -> bool {
        (self.acknowledgement, self.sequence) == (packet.acknowledgement, packet.sequence)
    }
}

/// Data path of one balancer.
#[derive(Debug)]
pub struct Engine {
    pub(super) settings: Settings,
    pub(super) flows: Map<Flow, Entry>,
    pub(super) idle: idle::Table,
    pub(super) timers: BinaryHeap<Reverse<(Time, Flow)>>,
    pub(super) hosts: host::Table,
    pub(super) routes: route::Table,
    pub(super) links: Vec<Link>,
    pub(super) drains: Drains,
    pub(super) retries: Budget,
    pub(super) random: Pcg64Mcg,
    pub(super) counters: Counters,
    pub(super) next_sweep: Time,
    /// When overdue requests are searched for.
    pub(super) next_overdue: Time,
    /// True once hosts, routes and, if required, zone drains have been known.
    ready: bool,
    buffer: Buffer,
    pub(super) queue: Queue,
    pub(super) warmup: Warmup,
    /// True when a request ended or became overdue since the queue was last served.
    pub(super) capacity_freed: bool,
    /// Number of checks of hosts in progress.
    pub(super) checks: usize,
    /// Hosts whose latest check is in progress, or failed and may still be confirmed.
    pub(super) open_checks: Vec<host::Index>,
    /// When the latest opening or request was sent that a host answered promptly.
    pub(super) last_prompt_answer: Time,
    /// When the latest request was sent that a host has answered.
    pub(super) last_answered_request: Time,
    /// When the routers have settled after the latest change of the balancers that they send packets to. A flow without
    /// a packet since then may continue at another balancer.
    pub(super) routers_settled: Time,
}

impl Engine {
    /// Returns an engine without hosts and routes.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let mut drains = Drains::new(!settings.zone_drains);
        drains.add_link(&settings.zone);
        Self {
            flows: map::seeded(settings.seed),
            idle: idle::Table::new(settings.seed),
            timers: BinaryHeap::new(),
            hosts: host::Table::default(),
            routes: route::Table::default(),
            links: vec![Link::new(&settings.zone)],
            drains,
            retries: Budget::new(settings.retry),
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            counters: Counters::default(),
            next_sweep: Time::NEVER,
            next_overdue: Time::NEVER,
            ready: false,
            buffer: Buffer::default(),
            queue: Queue::new(settings.seed, settings.queue_share),
            warmup: Warmup::new(settings.warmup),
            capacity_freed: false,
            checks: 0,
            open_checks: Vec::new(),
            last_prompt_answer: Time::default(),
            last_answered_request: Time::default(),
            routers_settled: Time::default(),
            settings,
        }
    }

    /// Returns the settings.
    #[must_use]
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> Counters {
        Counters { flows: self.flows.len() as u64, idle_flows: self.idle.len() as u64, ..self.counters }
    }

    /// Counts a datagram that was dropped because it is not a valid packet of a caller.
    pub const fn count_dropped(&mut self, reason: Reason) {
        self.count(Verdict::Dropped, Some(reason));
    }

    /// Adds or updates a registered host, or removes it when `host` is none. A removed host accepts new flows until
    /// `grace`.
    pub fn set_host(&mut self, now: Time, name: &str, host: Option<&registry::Host>, grace: Time) {
        let remove_at = now + self.settings.linger;
        let known = self.hosts.find(name);
        self.serve_queue_soon(now);
        let Some(host) = host else {
            if let Some(index) = known {
                self.hosts.deregister(index, grace, remove_at);
            }
            return;
        };
        let zone = self.link_index(&host.zone);
        let (settings, slots) = (self.settings.limit, host.slots);
        self.hosts.register(name, host, zone, || Limit::new(settings, slots));
        if let Some(index) = known.filter(|index| self.hosts.find(name) != Some(*index)) {
            self.hosts.deregister(index, now, remove_at);
        }
        if let Some(index) = known {
            self.confirm_warmth(now, index);
        }
        self.start_sweeps(now);
        self.update_ready();
    }

    /// Adds or replaces a route, or removes it when `route` is none.
    pub fn set_route(&mut self, now: Time, address: Address, route: Option<&Route>) {
        let keep_until = now + self.settings.linger;
        self.routes.set(address, route, keep_until, now);
        if let Some(route) = route {
            let random = &mut self.random;
            self.queue.set_service(address, |service| {
                (!route.allows(service)).then(|| route::choose(route, random.random()).to_owned())
            });
        }
        self.serve_queue_soon(now);
        self.update_ready();
    }

    /// Allows established flows of the route at `address` to belong to `service` until `until`, because the route used
    /// that service before this balancer started.
    pub fn allow_former_service(&mut self, address: Address, service: &str, until: Time) {
        self.routes.allow_former(address, service, until);
    }

    /// Records that a message from a member in `zone` arrived, so the zone is reachable and this balancer is not cut
    /// off.
    pub fn zone_alive(&mut self, now: Time, zone: &str, outlet: &mut dyn Outlet) {
        self.warmup.record_contact(now);
        if let Some(index) = self.links.iter().position(|link| link.zone == zone) {
            self.confirm_zone(now, index, "a message from a member of the zone arrived", outlet);
        }
    }

    /// Records that the routers may move flows to and from this balancer, because it leaves or the balancers of its zone
    /// change.
    pub fn flows_may_move(&mut self, now: Time) {
        self.routers_settled = now + self.settings.settle_time;
    }

    /// Handles a packet of a caller. `mark` is the mark that the packet carries.
    pub fn packet(&mut self, now: Time, mark: Mark, packet: &View<'_>, outlet: &mut dyn Outlet) {
        if !self.ready {
            if !self.buffer.push(now, mark, packet) {
                self.drop_packet(packet.flow, Reason::Starting, outlet);
            }
            return;
        }
        if self.routes.get(packet.flow.service).is_none() {
            return self.reset(packet, Reason::UnknownRoute, outlet);
        }
        self.idle.remove(&packet.flow);
        match packet.kind {
            Kind::Opening => self.handle_opening(now, packet, outlet),
            Kind::Accept => self.drop_packet(packet.flow, Reason::NotFromCaller, outlet),
            Kind::Data | Kind::Closing | Kind::Reset => self.forward_established(now, mark, packet, outlet),
        }
        self.serve_queue_if_freed(now, outlet);
        self.report_exhausted(now, outlet);
    }

    /// Processes everything that is due at `now`.
    pub fn tick(&mut self, now: Time, outlet: &mut dyn Outlet) {
        if self.ready && !self.buffer.is_empty() {
            let mut buffered = std::mem::take(&mut self.buffer);
            buffered.drain(now, |mark, packet| self.packet(now, mark, packet, outlet));
        }
        self.tick_links(now, outlet);
        self.tick_openings(now, outlet);
        self.tick_queue(now, outlet);
        self.sweep_if_due(now, outlet);
        self.capacity_freed |= self.warmup.take_retry(now);
        self.serve_queue_if_freed(now, outlet);
        self.report_exhausted(now, outlet);
    }

    /// Returns the time at which [`Self::tick`] has to be called next.
    #[must_use]
    pub fn deadline(&self) -> Time {
        let opening = self.timers.peek().map_or(Time::NEVER, |Reverse((due, _))| *due);
        if self.ready && !self.buffer.is_empty() {
            return Time::default();
        }
        let links = self.links.iter().map(|link| link.deadline(self.settings.ping_timeout));
        let others = [opening, self.next_sweep, self.next_overdue, self.queue.deadline(), self.warmup.deadline()];
        links.chain(others).min().unwrap_or(Time::NEVER)
    }

    /// Sets `ready` once hosts, routes and, if required, zone drains are known. The engine stays ready when a
    /// configuration removes the last route.
    pub(super) fn update_ready(&mut self) {
        self.ready |= !self.routes.is_empty() && !self.hosts.is_empty() && self.drains.is_known();
    }

    /// Chooses the service for a new flow by the weights of its route.
    pub(super) fn choose_service(&mut self, flow: &Flow) -> Option<String> {
        let draw = self.random.random();
        self.routes.get(flow.service).map(|route| route::choose(route, draw).to_owned())
    }

    /// Forwards a packet to a host.
    pub(super) fn send(&mut self, hop: &Hop, bytes: &[u8], outlet: &mut dyn Outlet) {
        self.counters.forwarded += 1;
        outlet.forward(hop, bytes);
    }

    pub(super) const fn count(&mut self, verdict: Verdict, reason: Option<Reason>) {
        self.counters.verdicts[verdict as usize] += 1;
        if let Some(reason) = reason {
            self.counters.reasons[reason as usize] += 1;
        }
    }

    pub(super) fn record_decision(&mut self, decision: &Decision<'_>, outlet: &mut dyn Outlet) {
        self.count(decision.verdict, decision.reason);
        outlet.record_decision(decision);
    }

    /// Answers a packet with a reset, or drops it when it is a reset itself.
    pub(super) fn reset(&mut self, packet: &View<'_>, reason: Reason, outlet: &mut dyn Outlet) {
        if packet.kind == Kind::Reset {
            return self.drop_packet(packet.flow, reason, outlet);
        }
        let verdict = if packet.kind == Kind::Opening { Verdict::Refused } else { Verdict::Reset };
        outlet.reset(&packet.flow, packet.acknowledgement);
        self.remove_flow(&packet.flow);
        self.record_decision(&Decision::new(packet.flow, verdict, Some(reason)), outlet);
    }

    /// Records that the zone with the index `zone` is reachable.
    pub(super) fn confirm_zone(&mut self, now: Time, zone: usize, detail: &str, outlet: &mut dyn Outlet) {
        if self.links[zone].confirm_alive(now) == Some(Change::Regained) {
            self.drains.end_cut_off();
            outlet.record_event(now, "zone.regained", &self.links[zone].zone, detail);
            for host in self.hosts.iter_mut().filter(|host| host.zone == zone) {
                host.reach.confirm(now);
            }
        }
    }

    /// Removes a flow from the queue and from the table, and ends its request in progress. Returns its entry.
    pub(super) fn remove_flow(&mut self, flow: &Flow) -> Option<Entry> {
        self.queue.remove(flow);
        let mut entry = self.flows.remove(flow)?;
        self.end_request(&mut entry);
        Some(entry)
    }

    /// Ends the request in progress of a flow, if there is one.
    pub(super) fn end_request(&mut self, entry: &mut Entry) {
        let overdue = std::mem::take(&mut entry.overdue);
        entry.judged = false;
        if std::mem::take(&mut entry.busy) {
            self.hosts.end_request(entry.host, overdue);
            self.capacity_freed = true;
        }
    }

    /// Serves the queue if capacity was freed since the last time.
    fn serve_queue_if_freed(&mut self, now: Time, outlet: &mut dyn Outlet) {
        if std::mem::take(&mut self.capacity_freed) && !self.queue.is_empty() {
            self.serve_queue(now, outlet);
        }
    }

    /// Returns the priority rank of a route; 0 is the most urgent.
    pub(super) fn priority_rank(&self, address: Address) -> u8 {
        self.routes.get(address).map_or(u8::MAX, |route| route.rank)
    }

    pub(super) fn drop_packet(&mut self, flow: Flow, reason: Reason, outlet: &mut dyn Outlet) {
        self.record_decision(&Decision::new(flow, Verdict::Dropped, Some(reason)), outlet);
    }

    fn forward_established(&mut self, now: Time, mark: Mark, packet: &View<'_>, outlet: &mut dyn Outlet) {
        // If the opening is still queued here, another balancer has placed a retransmission of it.
        self.queue.remove(&packet.flow);
        let index = match self.find_host(now, mark, packet) {
            Ok(index) => index,
            Err(reason) => {
                // The flow is established at some host, so a pending opening here must not be sent to another one.
                self.remove_flow(&packet.flow);
                return self.drop_packet(packet.flow, reason, outlet);
            }
        };
        if self.reset_if_unreachable(now, index, packet, outlet) {
            return;
        }
        self.track_packet(now, index, packet, outlet);
        let Some(host) = self.hosts.get(index) else { return };
        // The host echoes the mark in its response, so the caller learns the right one.
        let is_pinned = self.flows.get(&packet.flow).is_some_and(Entry::is_pinned);
        let mark = is_pinned.then_some(host.mark);
        let hop = Hop { host: host.record.id, address: host.record.address, mark };
        self.send(&hop, packet.bytes, outlet);
    }

    /// Returns the host of an established flow.
    fn find_host(&self, now: Time, mark: Mark, packet: &View<'_>) -> Result<host::Index, Reason> {
        let recorded = self.flows.get(&packet.flow);
        let pinned = recorded.filter(|entry| entry.is_pinned() && self.hosts.get(entry.host).is_some());
        if let Some(entry) = pinned {
            return self.allows(now, packet, entry.host).then_some(entry.host).ok_or(Reason::ForeignHost);
        }
        let candidates = self.hosts.with_mark(mark);
        if candidates.is_empty() || mark == Mark::NONE {
            return Err(Reason::UnknownMark);
        }
        let recorded = recorded.map(|entry| entry.host);
        let mut allowed = candidates.iter().filter(|index| self.allows(now, packet, **index)).copied();
        let first = allowed.next().ok_or(Reason::ForeignHost)?;
        // If several hosts share the mark, prefer the one that this balancer selected for the flow.
        let preferred = recorded.filter(|recorded| *recorded == first || allowed.any(|index| index == *recorded));
        Ok(preferred.unwrap_or(first))
    }

    /// Returns true when the route of an established flow allows the service of the host `index`.
    fn allows(&self, now: Time, packet: &View<'_>, index: host::Index) -> bool {
        let host = self.hosts.get(index);
        host.is_some_and(|host| self.routes.allows_established(now, packet.flow.service, &host.record.service))
    }

    /// Updates the entry of an established flow, the request count of its host, and the state of a pending opening.
    fn track_packet(&mut self, now: Time, index: host::Index, packet: &View<'_>, outlet: &mut dyn Outlet) {
        let is_end = matches!(packet.kind, Kind::Closing | Kind::Reset);
        let Some(mut entry) = self.flows.remove(&packet.flow) else {
            if !is_end {
                self.track_unknown_flow(now, index, packet, outlet);
            }
            return;
        };
        self.opening_answered(now, &entry, index, outlet);
        // The caller acknowledges the first answer at once, so its first packet carries the mark of the host that has
        // the connection. A later answer of another host changes the mark, but not the connection.
        if entry.pending.take().is_some_and(|pending| pending.has_other_hosts()) {
            entry.affinity = Affinity::Pinned;
        }
        if entry.host != index {
            self.end_request(&mut entry);
            entry.host = index;
        }
        if is_end {
            self.end_request(&mut entry);
            // The caller of a closed flow still sends acknowledgements and retransmissions, which must reach the pinned
            // host.
            if packet.kind == Kind::Reset || !entry.is_pinned() {
                return;
            }
            entry.last_packet = now;
            entry.request = None;
        } else {
            self.track_request(now, &mut entry, packet, outlet);
        }
        self.flows.insert(packet.flow, entry);
    }

    /// Adds an entry for a flow that another balancer placed, once it sends a request through this one.
    fn track_unknown_flow(&mut self, now: Time, index: host::Index, packet: &View<'_>, outlet: &mut dyn Outlet) {
        if !packet.has_payload() || self.flows.len() >= self.settings.max_flows {
            return;
        }
        let (sequence, last_packet) = (0, now);
        let mut entry = Entry {
            host: index,
            affinity: Affinity::Mark,
            sequence,
            last_packet,
            busy: false,
            overdue: false,
            judged: false,
            request: None,
            acknowledgement: packet.acknowledgement,
            pending: None,
        };
        self.track_request(now, &mut entry, packet, outlet);
        self.flows.insert(packet.flow, entry);
    }

    /// Updates whether a request of the flow is in progress, which is the case from its payload until the caller
    /// acknowledges the first bytes of the response.
    fn track_request(&mut self, now: Time, entry: &mut Entry, packet: &View<'_>, outlet: &mut dyn Outlet) {
        let previous = std::mem::replace(&mut entry.last_packet, now);
        entry.acknowledgement = packet.acknowledgement;
        if packet.has_payload() {
            let is_repeated = entry.request.is_some_and(|request| request.is_copy(packet));
            entry.judged &= is_repeated;
            let (acknowledgement, sequence) = (packet.acknowledgement, packet.sequence);
            entry.request = Some(Request { acknowledgement, sequence, is_repeated });
            if !std::mem::replace(&mut entry.busy, true) {
                self.hosts.begin_request(entry.host);
            }
            self.expect_response(now);
        } else if let Some(request) = entry.request
            && request.acknowledgement != packet.acknowledgement
        {
            if entry.busy {
                self.request_answered(now, entry.host, previous, outlet);
                if !request.is_repeated {
                    self.own_link_works(now, previous, outlet);
                }
            }
            self.end_request(entry);
        }
    }

    /// Returns the index of the link to a zone, and adds a link for a new zone.
    fn link_index(&mut self, zone: &str) -> usize {
        if let Some(index) = self.links.iter().position(|link| link.zone == zone) {
            return index;
        }
        self.links.push(Link::new(zone));
        self.drains.add_link(zone);
        self.links.len() - 1
    }

    fn tick_links(&mut self, now: Time, outlet: &mut dyn Outlet) {
        let mut lost = Vec::new();
        for (index, link) in self.links.iter_mut().enumerate() {
            let (ping, change) = link.tick(now, self.settings.ping_timeout);
            if ping {
                link.pinged(now, outlet.ping(&link.zone));
            }
            if change == Some(Change::Lost) {
                outlet.record_event(now, "zone.lost", &link.zone, "openings and pings got no answer");
                lost.push(index);
            }
        }
        for zone in lost {
            self.expire_openings(now, |_, host| host.zone == zone);
            self.doubt_zone(now, zone, outlet);
        }
    }

    /// Makes the next call of [`Self::tick`] due now if openings are queued, because the hosts changed.
    pub(super) fn serve_queue_soon(&mut self, now: Time) {
        if !self.queue.is_empty() {
            self.capacity_freed = true;
            self.next_sweep = self.next_sweep.min(now);
        }
    }
}
