//! Dissemination: the choice of the records that a message carries.

use super::{MAX_UPDATES, Membership, Outbound, millis};
use crate::path::MemberId;
use crate::time::Time;
use crate::wire::{Gossip, Record, State};

/// Value that is returned as the start of the next page if there are no more pages.
const END: MemberId = MemberId(u64::MAX);

/// Size assumed for a record that cannot be encoded, in bytes.
const FALLBACK_SIZE: usize = 512;

/// Dissemination state of the record of one member.
#[derive(Debug)]
pub(super) struct Update {
    /// Time of the change.
    pub(super) since: Time,
    /// Number of messages that carried the record.
    pub(super) sent: u32,
}

/// Collects records up to a maximum encoded size.
struct Page {
    records: Vec<Record>,
    /// Bytes that are still free.
    remaining: usize,
}

impl Page {
    /// Adds `record` and returns true if it fits. The first record always fits.
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
    /// Returns the updates for a message to `to`. With `page`, the updates include records of the table from that id
    /// on, and the second value is the id at which the next page starts.
    pub fn updates(&mut self, to: Option<MemberId>, page: Option<MemberId>) -> (Vec<Record>, Option<MemberId>) {
        let full = self.settings.update_bytes;
        let mut out = Page { records: Vec::new(), remaining: full };
        // A member that is suspected or declared dead must learn of it to be able to refute it.
        let receiver = to.and_then(|id| self.table.get(&id)).map(|entry| &entry.record);
        if let Some(record) = receiver.filter(|record| matches!(record.state, State::Suspect | State::Dead)) {
            out.add(record);
        }
        // Half of the bytes are reserved for the page, so that neither changes nor pages delay the other.
        out.remaining = if page.is_some() { full / 2 } else { out.remaining };
        self.add_changes(&mut out, to);
        let next = page.map(|start| {
            out.remaining += full / 2;
            self.add_page(&mut out, start)
        });
        (out.records, next)
    }

    /// Returns the number of messages that carry each update.
    #[must_use]
    pub fn retransmissions(&self) -> u32 {
        self.settings.retransmit * (self.ring.ids().len() + 1).ilog2().max(1)
    }

    /// Requests a push because message contents other than the updates have changed.
    pub const fn request_push(&mut self) {
        self.push_pending = true;
    }

    /// Drops updates that messages have carried for long enough. Without this, it takes two minutes until the updates
    /// of 500 members that start together have all been sent often enough. [`Self::check_digest`] repairs lost updates.
    pub(super) fn expire_updates(&mut self, now: Time) {
        let longest = millis(self.settings.update_ms);
        self.queue.retain(|_, update| now.since(update.since) < longest);
    }

    /// Adds updates, the least often sent ones first.
    fn add_changes(&mut self, out: &mut Page, to: Option<MemberId>) {
        let limit = self.retransmissions();
        let mut order: Vec<_> = self.queue.iter().map(|(id, update)| (update.sent, *id)).collect();
        order.sort_unstable();
        for (sent, id) in order {
            // Every message contains the record of its sender, and the recipient knows its own record.
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

    /// Adds the records from the id `start` on and returns the id at which the next page starts.
    fn add_page(&self, out: &mut Page, start: MemberId) -> MemberId {
        for (id, entry) in self.table.range(start..) {
            if !out.add(&entry.record) {
                return *id;
            }
        }
        END
    }

    /// Handles the end of the page in the answer `gossip`, and requests the next page if a whole table
    /// is being transferred.
    pub fn handle_page(&mut self, gossip: &Gossip) {
        let Some(next) = gossip.page else { return };
        self.page_cursor = if next == END { MemberId(0) } else { next };
        if self.syncing && next != END {
            self.outbound.push(Outbound { page: Some(next), ..Outbound::to(&gossip.sender) });
        }
        self.syncing &= next != END;
    }

    /// Sends pending changes to several members immediately, but not more often than [`Settings::push_ms`] allows.
    ///
    /// [`Settings::push_ms`]: super::Settings::push_ms
    pub(super) fn push(&mut self, now: Time) {
        if !self.push_pending || !now.reached(self.next_push) {
            return;
        }
        let fanout = self.settings.fanout;
        self.push_to(fanout);
        self.next_push = now + millis(self.settings.push_ms);
    }

    /// Sends a message to each of `fanout` random members.
    pub fn push_to(&mut self, fanout: usize) {
        self.push_pending = false;
        for record in self.sample(fanout, None) {
            self.outbound.push(Outbound::to(&record));
        }
    }
}
