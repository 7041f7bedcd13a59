//! Baseline policy: hashes each flow to a target, first come, first served.

use std::net::Ipv4Addr;

use poplarpaddle::admission::{Decision, Departure, End, Gate, Host, Ticket, TicketId};
use poplarpaddle::map;
use poplarpaddle::path::Reason;
use poplarpaddle::time::Time;
use poplarpaddle::view::HostState;

/// Starts every request immediately on the host that the hash of its flow selects among the serving and cold hosts.
///
/// The gate keeps no flow table, so payload is hashed as well, and a change of the hosts moves established flows.
#[derive(Debug)]
pub struct Naive {
    seed: u64,
    hosts: Vec<Ipv4Addr>,
}

impl Naive {
    /// Returns a gate without hosts.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self { seed, hosts: Vec::new() }
    }
}

impl Gate for Naive {
    fn set_hosts(&mut self, _now: Time, hosts: &[Host]) {
        let usable = hosts.iter().filter(|host| matches!(host.state, HostState::Serving | HostState::Cold));
        self.hosts = usable.map(|host| host.address).collect();
    }

    fn offer(&mut self, _now: Time, ticket: &Ticket<'_>) -> Decision {
        let hosts = u64::try_from(self.hosts.len()).unwrap_or(u64::MAX);
        let index = map::hash(self.seed, &ticket.flow).checked_rem(hosts);
        let index = index.and_then(|index| usize::try_from(index).ok());
        index.map_or(Decision::Refuse(Reason::NoTarget), |index| Decision::Start(self.hosts[index]))
    }

    fn adopt(&mut self, _now: Time, _host: Ipv4Addr) {}

    fn finish(&mut self, _now: Time, _host: Ipv4Addr, _priority: usize, _end: End) {}

    fn retry(&mut self, _now: Time, _ticket: &Ticket<'_>, _failed: Ipv4Addr) -> Decision {
        Decision::Refuse(Reason::NoTarget)
    }

    fn connect(&mut self, _host: Ipv4Addr) {}

    fn disconnect(&mut self, _host: Ipv4Addr) {}

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
