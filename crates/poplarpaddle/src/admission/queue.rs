//! The production gate: priority queues with shares, deadlines, host limits and a retry budget.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::time::Duration;

use super::class::{Class, Entry, Key, Winner};
use super::host::{Account, Accounts};
use super::{Decision, Departure, End, Gate, Host, Order, Settings, Ticket, TicketId};
use crate::hedge::Room;
use crate::path::Reason;
use crate::retry::Budget;
use crate::time::Time;
use crate::waiting;

/// Answers that take longer than this multiple of the mean service time of their priority do not raise a limit.
const TIMELY_FACTOR: u32 = 4;

/// Maximum number of waiting openings per priority that are scanned for one that can start.
///
/// The candidates of a ticket do not include hosts that joined after it was offered. Scanning all tickets at every
/// event for the ones that have a free candidate would cost more than the new host gains.
const MAX_SCAN: usize = 64;

/// Smoothing factor of the mean service time: one answer has the weight `1 / MEAN_WEIGHT`.
const MEAN_WEIGHT: u32 = 32;

/// A gate with one queue per priority.
///
/// After every call that changes hosts, work or connections, and after every offer with the result [`Decision::Wait`],
/// call [`Gate::next`] until it returns `None`: a ticket that is queued behind others may be able to start at once.
///
/// # Trade-offs
///
/// The expected wait is estimated from the mean service time, the limits, and the portion of recent starts that went to
/// the priority. The estimate takes some tens of starts to follow a change of load; until then tickets expire in the
/// queue instead of being refused at once.
#[derive(Debug)]
pub struct Queue {
    settings: Settings,
    hosts: Accounts,
    classes: Vec<Class>,
    entries: BTreeMap<TicketId, Entry>,
    expiry: BTreeSet<Due>,
    /// Retries in backoff, by the time at which they may start.
    backing_off: BTreeSet<Due>,
    budget: Budget,
    /// Mean time from the start of work to its answer, over all priorities.
    service_time: Mean,
    /// Mean time from the start of work to its answer, by priority.
    class_service_times: Vec<Mean>,
    next_id: u64,
    /// Time of the latest call that passed a time.
    now: Time,
}

/// Exponentially smoothed mean of service times; `None` before the first sample.
#[derive(Debug, Clone, Copy, Default)]
struct Mean(Option<Duration>);

impl Mean {
    fn add(&mut self, sample: Duration) {
        self.0 = Some(self.0.map_or(sample, |mean| (mean * (MEAN_WEIGHT - 1) + sample) / MEAN_WEIGHT));
    }
}

/// The time at which a ticket expires or ends its backoff.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    time: Time,
    id: TicketId,
}

/// A ticket that can start now.
#[derive(Debug, Clone, Copy)]
struct Startable {
    class: usize,
    key: Key,
    host: Ipv4Addr,
    opening: bool,
}

impl Queue {
    /// Returns a gate without hosts.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let mut classes: Vec<Class> = settings.priorities.iter().map(|priority| Class::new(priority.share)).collect();
        if classes.is_empty() {
            classes.push(Class::new(0));
        }
        Self {
            hosts: Accounts::default(),
            class_service_times: vec![Mean::default(); classes.len()],
            classes,
            entries: BTreeMap::new(),
            expiry: BTreeSet::new(),
            backing_off: BTreeSet::new(),
            budget: Budget::new(settings.retry),
            service_time: Mean::default(),
            next_id: 0,
            now: Time::default(),
            settings,
        }
    }

    /// Returns how much work `host` may have in flight, or `None` if the host is unknown.
    #[must_use]
    pub fn limit(&self, host: Ipv4Addr) -> Option<u32> {
        self.hosts.get(host).map(|account| account.limit.allowed())
    }

    /// Returns the work in flight on `host`.
    #[must_use]
    pub fn in_flight(&self, host: Ipv4Addr) -> u32 {
        self.hosts.get(host).map_or(0, |account| account.in_flight)
    }

    /// Returns the class of a priority. Unknown priorities count as the least urgent one.
    fn class(&self, priority: usize) -> usize {
        priority.min(self.classes.len() - 1)
    }

    fn start_opening(&mut self, now: Time, host: Ipv4Addr, retried: bool) {
        let account = self.hosts.get_or_insert(host, &self.settings);
        account.in_flight += 1;
        account.limit.record_start(now);
        if !retried {
            self.budget.deposit();
        }
    }

    fn start_payload(&mut self, host: Ipv4Addr) {
        self.hosts.get_or_insert(host, &self.settings).in_flight += 1;
    }

    fn offer_opening(&mut self, now: Time, ticket: &Ticket<'_>) -> Decision {
        if now.reached(ticket.deadline) {
            return Decision::Refuse(Reason::Deadline);
        }
        if !self.any_usable(ticket.candidates) {
            return Decision::Refuse(Reason::NoTarget);
        }
        // Waiting openings go first: the ticket is queued behind them and `next` chooses the one that starts.
        let idle = self.classes.iter().all(|class| class.openings.is_empty());
        if idle && let Some(host) = self.hosts.choose(now, ticket.candidates, self.settings.preferred) {
            self.start_opening(now, host, false);
            return Decision::Start(host);
        }
        if self.expected_start(now, self.class(ticket.priority)) >= ticket.deadline {
            return Decision::Refuse(Reason::Deadline);
        }
        self.enqueue(ticket, now, false)
    }

    fn offer_payload(&mut self, now: Time, ticket: &Ticket<'_>) -> Decision {
        let Some(&host) = ticket.candidates.first() else {
            return Decision::Refuse(Reason::NoTarget);
        };
        let queued = self.classes.iter().any(|class| class.payloads.contains_key(&host));
        let has_capacity = self.hosts.get_or_insert(host, &self.settings).accepts_payload();
        if has_capacity && !queued && !now.reached(ticket.deadline) {
            self.start_payload(host);
            return Decision::Start(host);
        }
        self.enqueue(ticket, now, false)
    }

    fn any_usable(&self, candidates: &[Ipv4Addr]) -> bool {
        candidates.iter().any(|&host| self.hosts.get(host).is_some_and(Account::usable))
    }

    /// Returns the expected start time of a new opening of `class`.
    fn expected_start(&self, now: Time, class: usize) -> Time {
        let Some(service_time) = self.service_time.0 else {
            return now;
        };
        if self.settings.order == Order::Newest {
            return now;
        }
        let class = &self.classes[class];
        let ahead = u64::try_from(class.openings.len()).unwrap_or(u64::MAX);
        now + waiting::expected_wait(service_time, class.share.portion(), ahead, self.hosts.capacity(now))
    }

    fn fits(&self, ticket: &Ticket<'_>) -> bool {
        self.classes[self.class(ticket.priority)].fits(ticket, self.settings.entries, self.settings.bytes)
    }

    fn enqueue(&mut self, ticket: &Ticket<'_>, ready: Time, retried: bool) -> Decision {
        if !self.fits(ticket) {
            return Decision::Refuse(Reason::QueueFull);
        }
        let priority = self.class(ticket.priority);
        let id = TicketId(self.next_id);
        self.next_id += 1;
        let entry = Entry {
            key: Key::new(self.settings.order, id, ticket.deadline),
            priority,
            opening: ticket.opening,
            retried,
            candidates: ticket.candidates.into(),
            deadline: ticket.deadline,
            ready,
            bytes: ticket.bytes,
        };
        self.classes[priority].admit(entry.bytes);
        self.expiry.insert(Due { time: entry.deadline, id });
        if retried {
            self.backing_off.insert(Due { time: ready, id });
        } else {
            self.classes[priority].insert(&entry);
        }
        self.entries.insert(id, entry);
        Decision::Wait(id)
    }

    fn remove(&mut self, id: TicketId) -> Option<Entry> {
        let entry = self.entries.remove(&id)?;
        self.classes[entry.priority].remove(&entry);
        self.expiry.remove(&Due { time: entry.deadline, id });
        self.backing_off.remove(&Due { time: entry.ready, id });
        Some(entry)
    }

    fn expire(&mut self, now: Time) -> Option<TicketId> {
        let &Due { time, id } = self.expiry.first()?;
        if !now.reached(time) {
            return None;
        }
        self.remove(id);
        Some(id)
    }

    fn end_backoff(&mut self, now: Time) {
        while let Some(&Due { time, id }) = self.backing_off.first()
            && now.reached(time)
        {
            self.backing_off.pop_first();
            if let Some(entry) = self.entries.get(&id) {
                self.classes[entry.priority].insert(entry);
            }
        }
    }

    /// Returns the first ticket of `class` that has a host with capacity. Payload goes before openings, because its
    /// flow is already accepted and cannot move to another host, and callers wait for an answer before they send more.
    fn startable(&self, now: Time, class: usize) -> Option<Startable> {
        self.startable_payload(class).or_else(|| self.startable_opening(now, class))
    }

    fn startable_opening(&self, now: Time, class: usize) -> Option<Startable> {
        if self.classes[class].openings.is_empty() || !self.hosts.any_accepts_opening(now) {
            return None;
        }
        let mut keys = self.classes[class].openings.iter().take(MAX_SCAN);
        keys.find_map(|&key| {
            let candidates = &self.entries.get(&key.id)?.candidates;
            let host = self.hosts.choose(now, candidates, self.settings.preferred)?;
            Some(Startable { class, key, host, opening: true })
        })
    }

    fn startable_payload(&self, class: usize) -> Option<Startable> {
        let queues = self.classes[class].payloads.iter();
        let open = queues.filter(|(host, _)| self.hosts.get(**host).is_none_or(Account::accepts_payload));
        let first_tickets =
            open.filter_map(|(&host, keys)| Some(Startable { class, key: *keys.first()?, host, opening: false }));
        first_tickets.min_by_key(|startable| startable.key)
    }

    /// Chooses the ticket that starts next, from the class that [`waiting::choose`] returns.
    fn choose(&mut self, now: Time) -> Option<Startable> {
        let contenders: Vec<Startable> =
            (0..self.classes.len()).filter_map(|class| self.startable(now, class)).collect();
        let shares = contenders.iter().map(|contender| (*contender, &self.classes[contender.class].share));
        let chosen = waiting::choose(shares)?;
        let winner = if chosen.opening { Winner::Opening } else { Winner::Payload };
        for contender in &contenders {
            self.classes[contender.class].record_start(if contender.class == chosen.class {
                winner
            } else {
                Winner::Other
            });
        }
        Some(chosen)
    }

    fn record_answer(&mut self, now: Time, host: Ipv4Addr, class: usize, started: Time) {
        let elapsed = now.since(started);
        let timely = self.class_service_times[class].0.is_none_or(|mean| elapsed <= mean * TIMELY_FACTOR);
        self.service_time.add(elapsed);
        self.class_service_times[class].add(elapsed);
        self.budget.record_success();
        if timely && let Some(account) = self.hosts.get_mut(host) {
            account.limit.increase(now);
        }
    }

    fn record_failure(&mut self, now: Time, host: Ipv4Addr) {
        self.budget.record_failure();
        if let Some(account) = self.hosts.get_mut(host) {
            account.limit.decrease(now);
        }
    }
}

impl Gate for Queue {
    fn set_hosts(&mut self, now: Time, hosts: &[Host]) {
        self.now = now;
        self.hosts.replace(now, hosts, &self.settings);
    }

    fn offer(&mut self, now: Time, ticket: &Ticket<'_>) -> Decision {
        self.now = now;
        if ticket.opening { self.offer_opening(now, ticket) } else { self.offer_payload(now, ticket) }
    }

    fn adopt(&mut self, now: Time, host: Ipv4Addr) {
        self.now = now;
        self.start_payload(host);
    }

    fn finish(&mut self, now: Time, host: Ipv4Addr, priority: usize, end: End) {
        self.now = now;
        match end {
            End::Answered(started) => self.record_answer(now, host, self.class(priority), started),
            End::Shed | End::Unanswered => self.record_failure(now, host),
            End::Closed => {}
        }
        self.hosts.finish(host);
    }

    fn retry(&mut self, now: Time, ticket: &Ticket<'_>, failed: Ipv4Addr) -> Decision {
        self.now = now;
        let others: Vec<Ipv4Addr> = ticket.candidates.iter().copied().filter(|&host| host != failed).collect();
        if !self.any_usable(&others) {
            return Decision::Refuse(Reason::NoTarget);
        }
        let ready = now + self.budget.backoff();
        if ready >= ticket.deadline {
            return Decision::Refuse(Reason::Deadline);
        }
        let ticket = Ticket { candidates: &others, ..*ticket };
        if !self.fits(&ticket) {
            return Decision::Refuse(Reason::QueueFull);
        }
        if !self.budget.withdraw() {
            return Decision::Refuse(Reason::RetryBudget);
        }
        self.enqueue(&ticket, ready, true)
    }

    fn connect(&mut self, host: Ipv4Addr) {
        self.hosts.connect(host, &self.settings);
    }

    fn disconnect(&mut self, host: Ipv4Addr) {
        self.hosts.disconnect(host);
    }

    fn cancel(&mut self, ticket: TicketId) {
        self.remove(ticket);
    }

    fn next(&mut self, now: Time) -> Option<Departure> {
        self.now = now;
        if let Some(id) = self.expire(now) {
            return Some(Departure::Expire(id));
        }
        self.end_backoff(now);
        let Startable { key, host, .. } = self.choose(now)?;
        let entry = self.remove(key.id)?;
        if entry.opening {
            self.start_opening(now, host, entry.retried);
        } else {
            self.start_payload(host);
        }
        Some(Departure::Start(key.id, host))
    }

    fn deadline(&self) -> Time {
        let expiry = self.expiry.first().map_or(Time::NEVER, |due| due.time);
        let ready = self.backing_off.first().map_or(Time::NEVER, |due| due.time);
        let waiting = self.classes.iter().any(|class| !class.openings.is_empty());
        let resume = if waiting { self.hosts.next_resume(self.now) } else { Time::NEVER };
        expiry.min(ready).min(resume)
    }

    fn waiting(&self) -> usize {
        self.entries.len()
    }

    fn room(&self) -> Room {
        Room { waiting: self.entries.len(), ..self.hosts.room() }
    }

    fn spare_host(&self, now: Time, candidates: &[Ipv4Addr]) -> Option<Ipv4Addr> {
        self.hosts.choose_spare(now, candidates, self.settings.preferred)
    }
}
