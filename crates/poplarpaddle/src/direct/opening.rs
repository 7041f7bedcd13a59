//! Openings: placed, repeated, moved and refused.

use std::cmp::Reverse;
use std::time::Duration;

use smallvec::SmallVec;

use super::engine::Entry;
use super::host::Index;
use super::queue::Waiting;
use super::{Decision, Engine, Hop, Outlet, Reason, Verdict};
use crate::packet::{Flow, View};
use crate::time::Time;

/// Hosts of one opening that are remembered.
const TRIED: usize = 4;

/// An opening that no host is known to have answered.
#[derive(Debug)]
pub(super) struct Pending {
    /// When it was sent to the present host for the first time.
    sent: Time,
    /// When it counts as unanswered.
    due: Time,
    /// Times that it was sent.
    attempts: u8,
    /// Hosts that did not answer it.
    tried: SmallVec<[Index; TRIED]>,
    /// The packet.
    bytes: SmallVec<[u8; 64]>,
}

/// What makes the engine send an opening again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// The caller sent a copy.
    Copy,
    /// The time for an answer is over.
    Timer,
}

impl Engine {
    pub(super) fn opening(&mut self, now: Time, packet: &View<'_>, outlet: &mut dyn Outlet) {
        let same = self.flows.get(&packet.flow).is_some_and(|entry| entry.opening == packet.sequence);
        if same {
            return self.copy(now, packet, outlet);
        }
        if self.queue.copy(&packet.flow, packet.sequence, packet.bytes) {
            return;
        }
        self.forget(&packet.flow);
        let service = self.service(&packet.flow).unwrap_or_default();
        let Some((index, has_room)) = self.place(now, &service, &[]) else {
            return self.reset(packet, Reason::NoHost, outlet);
        };
        self.retries.deposit();
        let waiting = Waiting {
            flow: packet.flow,
            service,
            opening: packet.sequence,
            until: now + self.settings.wait,
            bytes: SmallVec::from_slice(packet.bytes),
        };
        if has_room {
            return self.begin(now, waiting, index, outlet);
        }
        match self.queue.push(self.rank_of(packet.flow.service), waiting) {
            None => {
                self.look_soon(now);
                self.decide(&Decision::new(packet.flow, Verdict::Queued, None), outlet);
            }
            Some(waiting) => self.begin(now, waiting, index, outlet),
        }
    }

    /// Sends an opening to a host for the first time.
    fn begin(&mut self, now: Time, waiting: Waiting, index: Index, outlet: &mut dyn Outlet) {
        let Waiting { flow, opening, bytes, .. } = waiting;
        let pending = Pending { sent: now, due: now, attempts: 0, tried: SmallVec::new(), bytes };
        let pending = Some(Box::new(pending));
        let entry = Entry { host: index, opening, active: now, busy: false, overdue: false, asked: None, pending };
        self.start(now, flow, entry, index, (Verdict::Placed, None), outlet);
    }

    /// Places waiting openings on hosts that have room, the most urgent first.
    pub(super) fn serve_queue(&mut self, now: Time, outlet: &mut dyn Outlet) {
        let mut full: Vec<String> = Vec::new();
        while let Some(waiting) = self.queue.first(&full) {
            let (flow, service) = (waiting.flow, waiting.service.clone());
            match self.place(now, &service, &[]) {
                Some((index, true)) => {
                    let Some(waiting) = self.queue.remove(&flow) else { return };
                    self.begin(now, waiting, index, outlet);
                }
                _ => full.push(service),
            }
        }
    }

    /// Places openings that have waited for long enough, although no host has room.
    pub(super) fn tick_queue(&mut self, now: Time, outlet: &mut dyn Outlet) {
        for flow in self.queue.expired(now) {
            let Some(waiting) = self.queue.remove(&flow) else { continue };
            // The caller's copy is refused if there is still no host.
            if let Some((index, _)) = self.place(now, &waiting.service, &[]) {
                self.begin(now, waiting, index, outlet);
            }
        }
    }

    /// Takes what a packet of the caller shows: the host with the index answered the opening.
    pub(super) fn opened(&mut self, now: Time, entry: &Entry, index: Index, outlet: &mut dyn Outlet) {
        let Some(pending) = &entry.pending else { return };
        let Some(host) = self.hosts.get_mut(index) else { return };
        let lost = host.misses > 1;
        host.misses = 0;
        host.answered = now;
        host.limit.record_accept();
        let zone = host.zone;
        if lost {
            outlet.believed(now, "host.answers", &host.name, "an opening was answered");
        }
        if pending.attempts == 1 {
            self.links[zone].sample(now.since(pending.sent));
        }
        self.alive(now, zone, "an opening was answered", outlet);
    }

    /// Sends again what was not answered in time.
    pub(super) fn tick_openings(&mut self, now: Time, outlet: &mut dyn Outlet) {
        while let Some(Reverse((due, flow))) = self.due.peek().copied() {
            if !now.reached(due) {
                return;
            }
            self.due.pop();
            let waits = self.flows.get(&flow).and_then(|entry| entry.pending.as_ref());
            if waits.is_some_and(|pending| now.reached(pending.due)) {
                self.again(now, flow, Cause::Timer, outlet);
            }
        }
    }

    /// Lets the openings to a zone that was lost count as unanswered now.
    pub(super) fn hurry(&mut self, now: Time, zone: usize) {
        let hosts = &self.hosts;
        let there = |index: Index| hosts.get(index).is_some_and(|host| host.zone == zone);
        for (flow, entry) in &mut self.flows {
            let Some(pending) = entry.pending.as_mut().filter(|_| there(entry.host)) else { continue };
            if pending.due != Time::NEVER {
                pending.due = now;
                self.due.push(Reverse((now, *flow)));
            }
        }
    }

    fn copy(&mut self, now: Time, packet: &View<'_>, outlet: &mut dyn Outlet) {
        let Some(entry) = self.flows.get_mut(&packet.flow) else { return };
        let index = entry.host;
        if let Some(pending) = &mut entry.pending {
            // The caller counts its copies in the packet.
            pending.bytes = SmallVec::from_slice(packet.bytes);
            return self.again(now, packet.flow, Cause::Copy, outlet);
        }
        // The flow is established: a late copy goes where the flow is.
        if let Some(hop) = self.hop(index) {
            self.send(&hop, packet.bytes, outlet);
        }
    }

    /// Sends an opening again, to the same host or to another one.
    fn again(&mut self, now: Time, flow: Flow, cause: Cause, outlet: &mut dyn Outlet) {
        let Some(mut entry) = self.flows.remove(&flow) else { return };
        let Some(pending) = entry.pending.as_ref() else {
            self.flows.insert(flow, entry);
            return;
        };
        let is_first = pending.due != Time::NEVER && !pending.tried.contains(&entry.host);
        let (sent, from) = (pending.sent, entry.host);
        if is_first {
            self.missed(now, from, sent, outlet);
        }
        let Some(pending) = entry.pending.as_mut() else { return };
        let exhausted =
            cause == Cause::Timer && (pending.attempts >= self.settings.attempts || !self.retries.withdraw());
        if exhausted {
            // The caller's own copy drives the next attempt.
            pending.due = Time::NEVER;
            self.flows.insert(flow, entry);
            return;
        }
        let to = self.next_host(now, &flow, &entry);
        let moved = to != from;
        if moved && let Some(pending) = entry.pending.as_mut() {
            pending.tried.push(from);
            pending.sent = now;
        }
        let reason = match self.hosts.get(from).map(|host| self.links[host.zone].is_down()) {
            Some(true) => Reason::ZoneDown,
            _ => Reason::Unanswered,
        };
        let verdict = if moved { Verdict::Moved } else { Verdict::Repeated };
        self.end_work(&mut entry);
        self.start(now, flow, entry, to, (verdict, Some(reason)), outlet);
    }

    /// Returns the host for the next attempt. The host stays while others show that it answers: then only a packet was
    /// lost, and a second host that answers would spoil the flow.
    fn next_host(&mut self, now: Time, flow: &Flow, entry: &Entry) -> Index {
        let Some(pending) = &entry.pending else { return entry.host };
        let answers = self
            .hosts
            .get(entry.host)
            .is_some_and(|host| host.misses <= 1 && host.takes_new(now) && !self.is_doubtful(now, host));
        if answers && pending.attempts < 2 {
            return entry.host;
        }
        let mut except = pending.tried.clone();
        except.push(entry.host);
        let service = self.service(flow);
        let placed = service.and_then(|service| self.place(now, &service, &except));
        placed.map_or(entry.host, |(index, _)| index)
    }

    fn start(
        &mut self,
        now: Time,
        flow: Flow,
        mut entry: Entry,
        index: Index,
        (verdict, reason): (Verdict, Option<Reason>),
        outlet: &mut dyn Outlet,
    ) {
        let Some(hop) = self.hop(index) else { return };
        let patience = self.patience(index);
        entry.host = index;
        entry.active = now;
        entry.busy = true;
        let Some(pending) = entry.pending.as_mut() else { return };
        pending.attempts = pending.attempts.saturating_add(1);
        pending.due = now + patience;
        let (due, attempt) = (pending.due, u32::from(pending.attempts));
        self.due.push(Reverse((due, flow)));
        self.send(&hop, &pending.bytes, outlet);
        self.hosts.begin_work(index);
        if let Some(host) = self.hosts.get_mut(index) {
            host.limit.record_start(now);
            let (busy, unanswered) = (host.busy, host.misses);
            let name = host.name.clone();
            let decision = Decision { flow, verdict, reason, host: Some(&name), busy, unanswered, attempt };
            self.decide(&decision, outlet);
        }
        if self.flows.len() < self.settings.flows {
            self.flows.insert(flow, entry);
        } else {
            self.end_work(&mut entry);
        }
    }

    fn patience(&self, index: Index) -> Duration {
        let zone = self.hosts.get(index).map_or(0, |host| host.zone);
        self.links[zone].patience(&self.settings)
    }

    fn hop(&self, index: Index) -> Option<Hop> {
        let host = self.hosts.get(index)?;
        Some(Hop { host: host.record.id, address: host.record.address, mark: Some(host.mark) })
    }

    /// Takes an opening that the host did not answer in time.
    fn missed(&mut self, now: Time, index: Index, sent: Time, outlet: &mut dyn Outlet) {
        let Some(host) = self.hosts.get_mut(index) else { return };
        if host.answered >= sent {
            return;
        }
        host.misses = host.misses.saturating_add(1);
        host.limit.decrease(now);
        if host.misses == 2 {
            outlet.believed(now, "host.silent", &host.name, "two openings in a row were not answered");
        }
        let zone = host.zone;
        if self.links[zone].zone != self.settings.zone {
            self.links[zone].miss(now);
        }
    }
}
