//! A gate without limits, which starts all work at once on the host with the fewest connections.

use std::net::Ipv4Addr;

use super::{Factory, Reason};
use crate::admission::{Decision, Departure, End, Gate, Host, Ticket, TicketId};
use crate::map::{self, Map};
use crate::placement::{self, Load};
use crate::time::Time;
use crate::view::Priority;

/// Makes gates that start all work at once, each on the host with the fewest connections among the first candidates.
///
/// The default of [`Settings`](super::Settings), for tests and measurements of the data path alone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Unlimited;

impl Factory for Unlimited {
    fn gate(&self, _service: &str, _shard: u16, _priorities: &[Priority]) -> Box<dyn Gate> {
        Box::new(UnlimitedGate { connections: map::seeded(0) })
    }
}

#[derive(Debug)]
struct UnlimitedGate {
    connections: Map<Ipv4Addr, u64>,
}

impl UnlimitedGate {
    fn choose(&self, candidates: &[Ipv4Addr]) -> Decision {
        let load = |host| Load { used: self.connections.get(&host).copied().unwrap_or(0), limit: u64::MAX };
        placement::choose(candidates, load).map_or(Decision::Refuse(Reason::NoTarget), Decision::Start)
    }
}

impl Gate for UnlimitedGate {
    fn set_hosts(&mut self, _now: Time, _hosts: &[Host]) {}

    fn offer(&mut self, _now: Time, ticket: &Ticket<'_>) -> Decision {
        self.choose(ticket.candidates)
    }

    fn adopt(&mut self, _now: Time, _host: Ipv4Addr) {}

    fn finish(&mut self, _now: Time, _host: Ipv4Addr, _priority: usize, _end: End) {}

    fn retry(&mut self, now: Time, ticket: &Ticket<'_>, _failed: Ipv4Addr) -> Decision {
        if now.reached(ticket.deadline) { Decision::Refuse(Reason::Deadline) } else { self.choose(ticket.candidates) }
    }

    fn connect(&mut self, host: Ipv4Addr) {
        *self.connections.entry(host).or_default() += 1;
    }

    fn disconnect(&mut self, host: Ipv4Addr) {
        if let Some(count) = self.connections.get_mut(&host) {
            *count = count.saturating_sub(1);
        }
    }

    fn cancel(&mut self, _ticket: TicketId) {}

    fn next(&mut self, _now: Time) -> Option<Departure> {
        None
    }

    fn deadline(&self) -> Time {
        Time::NEVER
    }

    fn waiting(&self) -> usize {
        0
    }
}
