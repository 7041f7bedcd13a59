//! A gate with a fixed limit for each host, which checks the engine's calls for consistency.

use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;

use poplarpaddle::admission::{Decision, Departure, End, Gate, Host, Ticket, TicketId};
use poplarpaddle::hedge::Room;
use poplarpaddle::packet::Flow;
use poplarpaddle::path::{Factory, Reason};
use poplarpaddle::time::Time;
use poplarpaddle::view::Priority;

/// Most tries of one opening.
const MAX_TRIES: u32 = 4;

/// Makes gates that run at most `limit` pieces of work on each host and queue the others.
#[derive(Debug, Clone, Copy)]
pub struct Limited {
    pub limit: u32,
}

impl Factory for Limited {
    fn gate(&self, _service: &str, _shard: u16, _priorities: &[Priority]) -> Box<dyn Gate> {
        Box::new(LimitedGate { limit: self.limit, ..Default::default() })
    }
}

#[derive(Debug, Default)]
struct LimitedGate {
    limit: u32,
    running: BTreeMap<Ipv4Addr, u32>,
    connections: BTreeMap<Ipv4Addr, u32>,
    queue: VecDeque<(TicketId, Vec<Ipv4Addr>, Time)>,
    issued: u64,
    retries: BTreeMap<Flow, u32>,
}

impl LimitedGate {
    fn start(&mut self, candidates: &[Ipv4Addr]) -> Option<Ipv4Addr> {
        let host = candidates.iter().find(|host| self.running.get(*host).copied().unwrap_or(0) < self.limit)?;
        *self.running.entry(*host).or_default() += 1;
        Some(*host)
    }
}

impl Gate for LimitedGate {
    fn set_hosts(&mut self, _now: Time, _hosts: &[Host]) {}

    fn offer(&mut self, now: Time, ticket: &Ticket<'_>) -> Decision {
        assert!(!ticket.candidates.is_empty(), "a ticket has at least one candidate");
        if let Some(host) = self.start(ticket.candidates) {
            return Decision::Start(host);
        }
        if now.reached(ticket.deadline) {
            return Decision::Refuse(Reason::Deadline);
        }
        self.issued += 1;
        let id = TicketId(self.issued);
        self.queue.push_back((id, ticket.candidates.to_vec(), ticket.deadline));
        Decision::Wait(id)
    }

    fn adopt(&mut self, _now: Time, host: Ipv4Addr) {
        *self.running.entry(host).or_default() += 1;
    }

    fn finish(&mut self, _now: Time, host: Ipv4Addr, _priority: usize, _end: End) {
        let running = self.running.get_mut(&host).expect("work finishes only after it started");
        *running = running.checked_sub(1).expect("work finishes only once");
    }

    fn retry(&mut self, now: Time, ticket: &Ticket<'_>, failed: Ipv4Addr) -> Decision {
        assert!(ticket.opening, "only openings are retried");
        let tries = self.retries.entry(ticket.flow).or_default();
        *tries += 1;
        if *tries < MAX_TRIES && ticket.candidates != [failed] {
            return self.offer(now, ticket);
        }
        self.retries.remove(&ticket.flow);
        Decision::Refuse(Reason::NoTarget)
    }

    fn connect(&mut self, host: Ipv4Addr) {
        *self.connections.entry(host).or_default() += 1;
    }

    fn disconnect(&mut self, host: Ipv4Addr) {
        let open = self.connections.get_mut(&host).expect("a connection closes only after it opened");
        *open = open.checked_sub(1).expect("a connection closes only once");
    }

    fn cancel(&mut self, ticket: TicketId) {
        let length = self.queue.len();
        self.queue.retain(|(id, ..)| *id != ticket);
        assert_eq!(self.queue.len() + 1, length, "only waiting tickets are cancelled");
    }

    fn next(&mut self, now: Time) -> Option<Departure> {
        let queue = std::mem::take(&mut self.queue);
        let mut departure = None;
        for (id, candidates, deadline) in queue {
            if departure.is_none() && now.reached(deadline) {
                departure = Some(Departure::Expire(id));
            } else if departure.is_none()
                && let Some(host) = self.start(&candidates)
            {
                departure = Some(Departure::Start(id, host));
            } else {
                self.queue.push_back((id, candidates, deadline));
            }
        }
        departure
    }

    fn deadline(&self) -> Time {
        self.queue.iter().map(|(.., deadline)| *deadline).min().unwrap_or(Time::NEVER)
    }

    fn waiting(&self) -> usize {
        self.queue.len()
    }

    fn room(&self) -> Room {
        Room { free: 1, slots: 1, waiting: self.queue.len() }
    }

    fn spare_host(&self, _now: Time, candidates: &[Ipv4Addr]) -> Option<Ipv4Addr> {
        candidates.iter().copied().find(|host| self.running.get(host).copied().unwrap_or(0) < self.limit)
    }
}
