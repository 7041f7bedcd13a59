//! Datagrams of membership and feed.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Action, Node};
use crate::error::{Error, Kind, Result};
use crate::feed::News;
use crate::map::{self, Map};
use crate::membership::{self, Outbound};
use crate::path::MemberId;
use crate::time::Time;
use crate::wire::{Body, Datagram, Gossip, VERSION};

/// Time for the answer to a gossip message. A round trip within a region takes a few milliseconds.
const ANSWER_TIME: Duration = Duration::from_millis(300);

/// Gossip that waits for its answer.
#[derive(Debug)]
pub(super) struct Letters {
    next: u32,
    open: Map<u32, (SocketAddr, Time)>,
}

impl Default for Letters {
    fn default() -> Self {
        Self { next: 0, open: map::seeded(0) }
    }
}

impl Letters {
    /// Returns a number that differs from call to call.
    pub(super) fn turn(&mut self) -> usize {
        self.next = self.next.wrapping_add(1);
        self.next as usize
    }

    /// Takes the receivers of letters whose time for an answer is over.
    pub(super) fn expired(&mut self, now: Time) -> Vec<SocketAddr> {
        let mut late = Vec::new();
        self.open.retain(|_, (to, until)| {
            let is_late = now.reached(*until);
            if is_late {
                late.push(*to);
            }
            !is_late
        });
        late.sort_unstable();
        late
    }

    pub(super) fn deadline(&self) -> Time {
        self.open.values().map(|(_, until)| *until).min().unwrap_or(Time::NEVER)
    }

    fn post(&mut self, now: Time, to: SocketAddr) -> u32 {
        let number = u32::try_from(self.turn()).unwrap_or_default();
        self.open.insert(number, (to, now + ANSWER_TIME));
        number
    }
}

impl Node {
    /// Takes a datagram of a peer.
    ///
    /// # Errors
    ///
    /// [`Kind::Message`] when it is no valid note; nothing of it takes effect then.
    pub fn datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) -> Result<()> {
        let note = Datagram::decode(bytes)?;
        let sender = match &note.body {
            Body::Request(gossip) | Body::Response(gossip) => {
                membership::check(self.membership.me(), gossip)?;
                gossip.sender.id
            }
            Body::Announce(id) | Body::Ping(id) | Body::Pong(id) => *id,
        };
        let spread = matches!(note.body, Body::Announce(_));
        match note.body {
            Body::Request(gossip) => self.ask(now, from, note.number, &gossip),
            Body::Response(gossip) => self.answer(now, note.number, &gossip)?,
            Body::Ping(_) => self.send(from, note.number, self.news(now), Body::Pong(self.membership.me().id)),
            Body::Announce(_) | Body::Pong(_) => {}
        }
        self.feed.heard(now, sender, &note.news, spread);
        if let Some(record) = self.membership.record(sender) {
            self.actions.push(Action::Heard(record.zone.clone()));
        }
        self.settle(now);
        Ok(())
    }

    fn ask(&mut self, now: Time, from: SocketAddr, number: u32, gossip: &Gossip) {
        self.membership.receive(now, gossip);
        let letter = Outbound { to: from, member: Some(gossip.sender.id), ping: None, pong: None, page: None };
        let answer = self.compose(&letter, gossip.page);
        self.send(from, number, self.news(now), Body::Response(answer));
    }

    fn answer(&mut self, now: Time, number: u32, gossip: &Gossip) -> Result<()> {
        let Some((to, _)) = self.letters.open.remove(&number) else {
            return Err(Error::new(Kind::Message, format!("answer {number} of {} comes late", gossip.sender.name)));
        };
        self.membership.confirm_address(now, to, gossip.sender.id);
        self.membership.receive(now, gossip);
        self.membership.handle_page(gossip);
        Ok(())
    }

    pub(super) fn send_letters(&mut self, now: Time) {
        for letter in self.membership.outbound() {
            let number = self.letters.post(now, letter.to);
            let gossip = self.compose(&letter, None);
            self.send(letter.to, number, self.news(now), Body::Request(gossip));
        }
    }

    pub(super) fn tell(&mut self, member: MemberId, news: News) {
        let Some(peer) = self.membership.record(member).map(|record| record.peer) else { return };
        self.send(peer, 0, news, Body::Announce(self.membership.me().id));
    }

    pub(super) fn ping(&mut self, now: Time, peer: SocketAddr) {
        self.send(peer, 0, self.news(now), Body::Ping(self.membership.me().id));
    }

    /// Returns the message of `letter`; `page` is a page of the table that it has to carry.
    fn compose(&mut self, letter: &Outbound, page: Option<MemberId>) -> Gossip {
        let (updates, next) = self.membership.updates(letter.member, page);
        Gossip {
            version: VERSION,
            sender: self.membership.me().clone(),
            generation: self.general.version,
            digest: [0; 32],
            table: self.membership.digest(),
            updates,
            leaving: Vec::new(),
            ping: letter.ping,
            pong: letter.pong,
            page: letter.page.or(next),
        }
    }

    fn send(&mut self, to: SocketAddr, number: u32, news: News, body: Body) {
        let note = Datagram { version: VERSION, number, news, body };
        match note.encode() {
            Ok(bytes) => self.actions.push(Action::Send(to, bytes)),
            Err(error) => self.event(Time::default(), "note.failed", &to.to_string(), error.to_string()),
        }
    }
}
