//! Accounting of work, connections and limits for each host of a gate.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use super::{Host, Settings};
use crate::hedge::Room;
use crate::limit::Limit;
use crate::time::Time;
use crate::view::HostState;

/// Limit and usage of one host.
#[derive(Debug)]
pub(super) struct Account {
    pub(super) limit: Limit,
    pub(super) in_flight: u32,
    connections: u32,
    max_connections: u32,
    state: HostState,
    listed: bool,
}

impl Account {
    fn unlisted(settings: &Settings) -> Self {
        Self {
            limit: Limit::new(settings.limit, settings.unlisted_slots),
            in_flight: 0,
            connections: 0,
            max_connections: 0,
            state: HostState::Serving,
            listed: false,
        }
    }

    /// Returns true if openings may be placed on this host, now or later.
    ///
    /// Openings in flight are not counted as connections yet, so all work in flight is added to the connections.
    pub(super) const fn usable(&self) -> bool {
        self.listed
            && self.state.takes_new_flows()
            && self.connections.saturating_add(self.in_flight) < self.max_connections
    }

    const fn has_capacity(&self) -> bool {
        self.in_flight < self.limit.allowed()
    }

    fn accepts_opening(&self, now: Time) -> bool {
        self.usable()
            && self.state != HostState::Unknown
            && self.has_capacity()
            && now.reached(self.limit.paused_until())
    }

    /// Returns true if an opening would not wait at this host.
    fn has_free_slot(&self, now: Time) -> bool {
        self.accepts_opening(now) && self.in_flight < self.limit.slots()
    }

    /// Returns true if payload of an established flow may start. A misplaced host gets no packets at all.
    pub(super) fn accepts_payload(&self) -> bool {
        self.has_capacity() && self.state != HostState::Misplaced
    }

    /// Compares the work in flight relative to the limit, then the number of connections.
    fn compare(&self, other: &Self) -> Ordering {
        let own_load = u64::from(self.in_flight) * u64::from(other.limit.allowed());
        let other_load = u64::from(other.in_flight) * u64::from(self.limit.allowed());
        own_load.cmp(&other_load).then(self.connections.cmp(&other.connections))
    }

    fn update(&mut self, now: Time, host: &Host) {
        let recovered = self.state == HostState::Down && host.state == HostState::Serving;
        let became_cold = host.state == HostState::Cold && (self.state != HostState::Cold || !self.listed);
        self.limit.set_slots(host.slots);
        // A host that was down has probably restarted, even if none of its reports had the state cold.
        if recovered || became_cold {
            self.limit.start_warm_up(now);
        }
        self.max_connections = host.connections;
        self.state = host.state;
        self.listed = true;
    }
}

/// Accounts of all hosts by address.
#[derive(Debug, Default)]
pub(super) struct Accounts {
    accounts: BTreeMap<Ipv4Addr, Account>,
}

impl Accounts {
    /// Replaces the list of hosts. A host that is no longer listed is kept while it has work in flight or connections.
    pub(super) fn replace(&mut self, now: Time, hosts: &[Host], settings: &Settings) {
        for account in self.accounts.values_mut() {
            account.listed = false;
        }
        // A host that is added to existing ones has probably just started, and its first load report arrives one poll
        // later. A new gate cannot distinguish new hosts from old ones and treats all of them as warm.
        let joining = !self.accounts.is_empty();
        for host in hosts {
            let account = self.accounts.entry(host.address).or_insert_with(|| {
                let mut limit = Limit::new(settings.limit, host.slots);
                if joining {
                    limit.start_warm_up(now);
                }
                Account { limit, ..Account::unlisted(settings) }
            });
            account.update(now, host);
        }
        self.accounts.retain(|_, account| account.listed || account.in_flight > 0 || account.connections > 0);
    }

    pub(super) fn get(&self, host: Ipv4Addr) -> Option<&Account> {
        self.accounts.get(&host)
    }

    pub(super) fn get_mut(&mut self, host: Ipv4Addr) -> Option<&mut Account> {
        self.accounts.get_mut(&host)
    }

    /// Returns the account of a host, and inserts an unlisted one if the host is unknown.
    pub(super) fn get_or_insert(&mut self, host: Ipv4Addr, settings: &Settings) -> &mut Account {
        self.accounts.entry(host).or_insert_with(|| Account::unlisted(settings))
    }

    pub(super) fn connect(&mut self, host: Ipv4Addr, settings: &Settings) {
        let account = self.get_or_insert(host, settings);
        account.connections = account.connections.saturating_add(1);
        account.limit.record_accept();
    }

    pub(super) fn disconnect(&mut self, host: Ipv4Addr) {
        if let Some(account) = self.accounts.get_mut(&host) {
            account.connections = account.connections.saturating_sub(1);
        }
        self.remove_if_idle(host);
    }

    pub(super) fn finish(&mut self, host: Ipv4Addr) {
        if let Some(account) = self.accounts.get_mut(&host) {
            account.in_flight = account.in_flight.saturating_sub(1);
        }
        self.remove_if_idle(host);
    }

    /// Removes the account of an unlisted host that has neither work in flight nor connections.
    fn remove_if_idle(&mut self, host: Ipv4Addr) {
        let idle = |account: &Account| !account.listed && account.in_flight == 0 && account.connections == 0;
        if self.accounts.get(&host).is_some_and(idle) {
            self.accounts.remove(&host);
        }
    }

    /// Returns the least loaded host that accepts an opening now among the first `preferred` usable candidates, or, if
    /// there is none, among the remaining ones.
    pub(super) fn choose(&self, now: Time, candidates: &[Ipv4Addr], preferred: usize) -> Option<Ipv4Addr> {
        let accounts = candidates.iter().filter_map(|host| Some((*host, self.accounts.get(host)?)));
        let usable = accounts.filter(|(_, account)| account.usable());
        least_loaded(now, usable.clone().take(preferred)).or_else(|| least_loaded(now, usable.skip(preferred)))
    }

    /// Returns the least loaded host with a free slot, with the same preference as [`Self::choose`].
    pub(super) fn choose_spare(&self, now: Time, candidates: &[Ipv4Addr], preferred: usize) -> Option<Ipv4Addr> {
        let accounts = candidates.iter().filter_map(|host| Some((*host, self.accounts.get(host)?)));
        let spare = accounts.filter(|(_, account)| account.has_free_slot(now));
        least_loaded(now, spare.clone().take(preferred)).or_else(|| least_loaded(now, spare.skip(preferred)))
    }

    /// Returns the slots of the usable hosts.
    pub(super) fn room(&self) -> Room {
        let mut room = Room::default();
        for account in self.accounts.values().filter(|account| account.usable()) {
            let slots = account.limit.slots();
            room.slots += u64::from(slots);
            room.free += u64::from(slots.saturating_sub(account.in_flight));
        }
        room
    }

    /// Returns true if at least one host accepts an opening now.
    pub(super) fn any_accepts_opening(&self, now: Time) -> bool {
        self.accounts.values().any(|account| account.accepts_opening(now))
    }

    /// Returns the sum of the limits of the usable hosts whose openings are not paused at `now`, at least 1.
    pub(super) fn capacity(&self, now: Time) -> u64 {
        let accepting = |account: &&Account| account.usable() && now.reached(account.limit.paused_until());
        let limits = self.accounts.values().filter(accepting);
        limits.map(|account| u64::from(account.limit.allowed())).sum::<u64>().max(1)
    }

    /// Returns the earliest time after `now` at which the pause of a usable host ends, or [`Time::NEVER`].
    pub(super) fn next_resume(&self, now: Time) -> Time {
        let pauses =
            self.accounts.values().filter(|account| account.usable()).map(|account| account.limit.paused_until());
        pauses.filter(|&until| !now.reached(until)).min().unwrap_or(Time::NEVER)
    }
}

fn least_loaded<'a>(now: Time, accounts: impl Iterator<Item = (Ipv4Addr, &'a Account)>) -> Option<Ipv4Addr> {
    let accepting = accounts.filter(|(_, account)| account.accepts_opening(now));
    accepting.min_by(|(_, a), (_, b)| a.compare(b)).map(|(host, _)| host)
}
