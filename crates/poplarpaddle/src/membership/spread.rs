//! Which records a message carries.

use super::{MAX_UPDATES, Membership, Outbound, millis};
use crate::path::MemberId;
use crate::time::Time;
use crate::wire::{Gossip, Record, State};

/// Start of the page after the last one.
const END: MemberId = MemberId(u64::MAX);

/// Size that is assumed for a record that cannot be encoded, in bytes.
const FALLBACK_SIZE: usize = 512;

/// A record that is being spread.
#[derive(Debug)]
pub(super) struct Update {
    pub(super) since: Time,
    /// Messages that carried it.
    pub(super) sent: u32,
}

/// Collects records up to a number of bytes.
struct Page {
    records: Vec<Record>,
    remaining: usize,
}

impl Page {
    /// Adds `record` unless the page is full. The first record always fits.
    fn add(&mut self, record: &Record) -> bool {
        let size = rmp_serde::to_vec(record).map_or(FALLBACK_SIZE, |bytes| bytes.len());
        if self.records.len() >= MAX_UPDATES || (size > self.remaining && !self.records.is_empty()) {
            return false;
        }
        self.remaining = self.remaining.saturating_sub(size);
        self.records.push(record.clone());
        true
    }
}

impl Membership {
    /// Returns the updates for a message to `to`. `page` asks for the table from this id on; the id at which the next
    /// page starts comes back.
    pub fn updates(&mut self, to: Option<MemberId>, page: Option<MemberId>) -> (Vec<Record>, Option<MemberId>) {
        let full = self.settings.update_bytes;
        let mut out = Page { records: Vec::new(), remaining: full };
        // A member that is held suspect or dead has to learn it to refute it.
        let receiver = to.and_then(|id| self.table.get(&id)).map(|entry| &entry.record);
        if let Some(record) = receiver.filter(|record| matches!(record.state, State::Suspect | State::Dead)) {
            out.add(record);
        }
        // A page leaves half of the remaining to changes, so that neither holds up the other.
        out.remaining = if page.is_some() { full / 2 } else { out.remaining };
        self.add_changes(&mut out, to);
        let next = page.map(|start| {
            out.remaining += full / 2;
            self.add_page(&mut out, start)
        });
        (out.records, next)
    }

    /// Returns how many messages carry an update.
    #[must_use]
    pub fn retransmissions(&self) -> u32 {
        self.settings.retransmit * (self.ring.ids().len() + 1).ilog2().max(1)
    }

    /// Asks for a push of news that messages carry beside the updates.
    pub const fn request_push(&mut self) {
        self.push_pending = true;
    }

    /// Drops updates that have spread for long enough. Without this, the updates of 500 members that start together
    /// take two minutes to run out; what is lost is repaired by [`Self::check_digest`].
    pub(super) fn expire_updates(&mut self, now: Time) {
        let longest = millis(self.settings.update_ms);
        self.queue.retain(|_, update| now.since(update.since) < longest);
    }

    fn add_changes(&mut self, out: &mut Page, to: Option<MemberId>) {
        let limit = self.retransmissions();
        let mut order: Vec<_> = self.queue.iter().map(|(id, update)| (update.sent, *id)).collect();
        order.sort_unstable();
        for (sent, id) in order {
            // The sender's own record is in every message, and the receiver knows itself.
            if id != self.me.id && Some(id) != to {
                let Some(entry) = self.table.get(&id) else { continue };
                if !out.add(&entry.record) {
                    break;
                }
            }
            if sent + 1 >= limit {
                self.queue.remove(&id);
            } else if let Some(update) = self.queue.get_mut(&id) {
                update.sent += 1;
            }
        }
    }

    fn add_page(&self, out: &mut Page, start: MemberId) -> MemberId {
        for (id, entry) in self.table.range(start..) {
            if !out.add(&entry.record) {
                return *id;
            }
        }
        END
    }

    /// Takes the end of the page that the answer `gossip` carries and asks for the next one while a sync goes on.
    pub fn handle_page(&mut self, gossip: &Gossip) {
        let Some(next) = gossip.page else { return };
        self.page_cursor = if next == END { MemberId(0) } else { next };
        if self.syncing && next != END {
            self.outbound.push(Outbound { page: Some(next), ..Outbound::to(&gossip.sender) });
        }
        self.syncing &= next != END;
    }

    /// Passes on changes at once, at a bounded rate.
    pub(super) fn push(&mut self, now: Time) {
        if !self.push_pending || !now.reached(self.next_push) {
            return;
        }
        let fanout = self.settings.fanout;
        self.push_to(fanout);
        self.next_push = now + millis(self.settings.push_ms);
    }

    /// Sends a message to `fanout` members at once.
    pub fn push_to(&mut self, fanout: usize) {
        self.push_pending = false;
        for record in self.sample(fanout, None) {
            self.outbound.push(Outbound::to(&record));
        }
    }
}
