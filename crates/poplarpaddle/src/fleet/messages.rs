//! Datagrams between members: gossip of the membership and announcements of the feed.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Action, MAX_OUTLIERS, Node};
use crate::error::{Error, Kind, Result};
use crate::feed::Announcement;
use crate::map::{self, Map};
use crate::membership::{self, Outbound};
use crate::path::MemberId;
use crate::time::Time;
use crate::wire::{Body, DATAGRAM_VERSION, Datagram, Gossip, VERSION};

/// Time for a peer to respond to a gossip request. A round trip within a region takes a few milliseconds.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Gossip requests whose responses are pending.
#[derive(Debug)]
pub(super) struct Requests {
    next: u32,
    /// Receiver of each request and the time at which it times out, by number.
    pending: Map<u32, (SocketAddr, Time)>,
}

impl Default for Requests {
    fn default() -> Self {
        Self { next: 0, pending: map::seeded(0) }
    }
}

impl Requests {
    /// Returns the next number of a counter that wraps around.
    pub(super) fn next_number(&mut self) -> usize {
        self.next = self.next.wrapping_add(1);
        self.next as usize
    }

    /// Removes the requests that have timed out and returns their receivers.
    pub(super) fn expired(&mut self, now: Time) -> Vec<SocketAddr> {
        let mut expired = Vec::new();
        self.pending.retain(|_, (to, until)| {
            let is_late = now.reached(*until);
            if is_late {
                expired.push(*to);
            }
            !is_late
        });
        expired.sort_unstable();
        expired
    }

    pub(super) fn deadline(&self) -> Time {
        self.pending.values().map(|(_, until)| *until).min().unwrap_or(Time::NEVER)
    }

    /// Adds a request to `to` and returns its number.
    fn register(&mut self, now: Time, to: SocketAddr) -> u32 {
        let number = u32::try_from(self.next_number()).unwrap_or_default();
        self.pending.insert(number, (to, now + RESPONSE_TIMEOUT));
        number
    }
}

impl Node {
    /// Handles a datagram from a peer.
    ///
    /// # Errors
    ///
    /// [`Kind::Message`] when the datagram is not a valid [`Datagram`] or is a response that arrives too late. Such a
    /// datagram has no effect.
    pub fn datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) -> Result<()> {
        let datagram = Datagram::decode(bytes)?;
        let sender = match &datagram.body {
            Body::Request(gossip) | Body::Response(gossip) => {
                membership::check(self.membership.me(), gossip)?;
                gossip.sender.id
            }
            Body::Announce(id) | Body::Ping(id) | Body::Pong(id) | Body::Report(id, _) => *id,
            Body::Outliers(id, hosts) if hosts.len() <= MAX_OUTLIERS => *id,
            Body::Outliers(_, hosts) => {
                let text = format!("{} outliers exceed the maximum of {MAX_OUTLIERS}", hosts.len());
                return Err(Error::new(Kind::Message, text));
            }
        };
        let is_member = self.membership.record(sender).is_some();
        let forward = matches!(datagram.body, Body::Announce(_));
        match datagram.body {
            Body::Request(gossip) => self.handle_request(now, from, datagram.number, &gossip),
            Body::Response(gossip) => self.handle_response(now, datagram.number, &gossip)?,
            Body::Ping(_) => self.send(from, datagram.number, self.positions(now), Body::Pong(self.membership.me().id)),
            Body::Report(_, report) if is_member => self.collect(now, sender, report),
            Body::Outliers(_, hosts) if is_member => self.handle_outliers(now, &hosts),
            Body::Announce(_) | Body::Pong(_) | Body::Report(..) | Body::Outliers(..) => {}
        }
        // The position of a stranger may refer to a different store.
        if let Some(record) = self.membership.record(sender) {
            self.feed.receive(now, sender, &datagram.news, forward);
            self.actions.push(Action::ZoneAlive(record.zone.clone()));
        }
        self.dispatch(now);
        Ok(())
    }

    /// Pings up to `count` members of `zone`, starting with a different one each time. Returns how many were pinged.
    pub fn ping_zone(&mut self, now: Time, zone: &str, count: usize) -> usize {
        let mut peers: Vec<SocketAddr> = self.peers_in(zone).map(|record| record.peer).collect();
        let pinged = peers.len().min(count);
        if pinged > 0 {
            let start = self.requests.next_number() % peers.len();
            peers.rotate_left(start);
        }
        for peer in peers.into_iter().take(pinged) {
            self.ping(now, peer);
        }
        pinged
    }

    /// Returns true when [`Self::ping_zone`] knows a member of the zone. Members of other regions are not known.
    #[must_use]
    pub fn can_ping(&self, zone: &str) -> bool {
        self.peers_in(zone).next().is_some()
    }

    fn handle_request(&mut self, now: Time, from: SocketAddr, number: u32, gossip: &Gossip) {
        self.membership.receive(now, gossip);
        let outbound = Outbound { to: from, member: Some(gossip.sender.id), ping: None, pong: None, page: None };
        let response = self.compose(&outbound, gossip.page);
        self.send(from, number, self.positions(now), Body::Response(response));
    }

    fn handle_response(&mut self, now: Time, number: u32, gossip: &Gossip) -> Result<()> {
        let Some((to, _)) = self.requests.pending.remove(&number) else {
            return Err(Error::new(
                Kind::Message,
                format!("response {number} of {} arrived too late", gossip.sender.name),
            ));
        };
        self.membership.confirm_address(now, to, gossip.sender.id);
        self.membership.receive(now, gossip);
        self.membership.handle_page(gossip);
        Ok(())
    }

    /// Sends the gossip requests that the membership has queued.
    pub(super) fn send_gossip(&mut self, now: Time) {
        for outbound in self.membership.outbound() {
            let number = self.requests.register(now, outbound.to);
            let gossip = self.compose(&outbound, None);
            self.send(outbound.to, number, self.positions(now), Body::Request(gossip));
        }
    }

    /// Sends an announcement to a member.
    pub(super) fn announce(&mut self, member: MemberId, announcement: Announcement) {
        let Some(peer) = self.membership.record(member).map(|record| record.peer) else { return };
        self.send(peer, 0, announcement, Body::Announce(self.membership.me().id));
    }

    pub(super) fn ping(&mut self, now: Time, peer: SocketAddr) {
        self.send(peer, 0, self.positions(now), Body::Ping(self.membership.me().id));
    }

    /// Returns the gossip message for `outbound`. `page` selects the page of the member table that it has to carry.
    fn compose(&mut self, outbound: &Outbound, page: Option<MemberId>) -> Gossip {
        let (updates, next) = self.membership.updates(outbound.member, page);
        Gossip {
            version: VERSION,
            sender: self.membership.me().clone(),
            generation: self.general.version,
            digest: [0; 32],
            table: self.membership.digest(),
            updates,
            leaving: Vec::new(),
            ping: outbound.ping,
            pong: outbound.pong,
            page: outbound.page.or(next),
        }
    }

    pub(super) fn send(&mut self, to: SocketAddr, number: u32, announcement: Announcement, body: Body) {
        let datagram = Datagram { version: DATAGRAM_VERSION, number, news: announcement, body };
        match datagram.encode() {
            Ok(bytes) => self.actions.push(Action::Send(to, bytes)),
            Err(error) => self.record_event(Time::default(), "note.failed", &to.to_string(), error.to_string()),
        }
    }
}
