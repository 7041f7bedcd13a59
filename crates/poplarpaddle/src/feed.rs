//! Replication of the store to all members, of which normally only one reads the store.
//!
//! Among the members that can reach each other, the one with the lowest identifier is the reader. It watches the store
//! and announces its state after each response, along a tree in which each member has up to [`FANOUT`] children. A
//! member that lacks changes pulls them from the member that sent the announcement. A member whose state has not been
//! confirmed for too long reads the store itself: first the members that follow in the order of identifiers, later all
//! of them. A zone that is cut off soon sees only its own members and therefore has its own reader.
//!
//! ```
//! use std::time::Duration;
//! use poplarpaddle::feed::{Action, Feed, Settings, Topic};
//! use poplarpaddle::path::MemberId;
//! use poplarpaddle::time::Time;
//!
//! let now = Time::from_millis(1);
//! let mut feed = Feed::new(Settings::default(), MemberId(1));
//! feed.tick(now, &[MemberId(1)]);
//! assert_eq!(feed.actions(), [Action::Read(Topic::Hosts), Action::Read(Topic::Routes)]);
//! ```
//!
//! # Trade-offs
//!
//! A reader holds no lease and writes nothing, so two members that both act as the reader cost only an additional
//! watch. Confirmations cost one message per member about three times per [`Settings::bound`]. In return, a member that
//! is cut off from its reader, but not from the store, detects this within the bound.

mod announcement;
mod collection;
mod settings;

pub use announcement::{Announcement, Position, Topic};
pub use settings::Settings;

use std::time::Duration;

use crate::map;
use crate::path::MemberId;
use crate::revision::Revision;
use crate::time::Time;

use collection::{Call, Collection, Comparison};

/// Maximum number of children of a member in the tree along which announcements are forwarded.
pub const FANOUT: usize = 8;

/// Pause after the first failed call to the store; doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum number of times that the pause doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Time for a peer to answer a pull of changes; afterwards another peer may be pulled from.
const PULL_TIMEOUT: Duration = Duration::from_millis(300);

/// Action that a [`Feed`] requests from its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Read a snapshot of a collection from the store.
    Read(Topic),
    /// Watch a collection in the store for changes after a revision.
    Watch {
        /// The collection.
        topic: Topic,
        /// Revision of the store that this member's state corresponds to.
        revision: Revision,
        /// When the store has to respond if there is no change.
        until: Time,
    },
    /// Pull changes from a member.
    Pull {
        /// The member.
        member: MemberId,
        /// When the pull times out.
        until: Time,
    },
    /// Send an announcement to a member.
    Announce(MemberId, Announcement),
}

/// Outcome of a call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The state was current when the response arrived.
    Confirmed {
        /// Revision of the last change; of the routes, the version of the configuration.
        revision: Revision,
        /// Revision of the store.
        as_of: Revision,
    },
    /// The store no longer has the changes after the revision of the watch.
    HistoryGone,
    /// The store gave no usable response.
    Failed,
}

/// One member's part in reading the store and forwarding announcements.
#[derive(Debug)]
pub struct Feed {
    settings: Settings,
    me: MemberId,
    /// Collections in the order of [`Topic::ALL`].
    collections: [Collection; 3],
    /// Reachable members including this one, in the order of identifiers.
    members: Vec<MemberId>,
    pull: Option<(MemberId, Time)>,
    /// Root of an announcement that is forwarded once the pull in progress has ended.
    pending_root: Option<MemberId>,
    actions: Vec<Action>,
}

impl Feed {
    /// Returns the feed of the member `me`, without any state.
    #[must_use]
    pub fn new(settings: Settings, me: MemberId) -> Self {
        Self {
            settings,
            me,
            collections: [Collection::default(); 3],
            members: Vec::new(),
            pull: None,
            pending_root: None,
            actions: Vec::new(),
        }
    }

    /// Returns the actions requested since the last call.
    pub fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the announcement of this member's state. `root` is the member that received it from the store.
    #[must_use]
    pub fn announcement(&self, now: Time, root: MemberId) -> Announcement {
        let mut positions = [Position::default(); 3];
        for topic in self.settings.topics {
            let collection = &self.collections[*topic as usize];
            positions[*topic as usize] = Position {
                revision: collection.revision,
                as_of: collection.as_of,
                age_ms: age_ms(now, collection.confirmed),
                digest: collection.digest,
            };
        }
        Announcement { root, positions }
    }

    /// Returns the topics that this member replicates.
    #[must_use]
    pub const fn topics(&self) -> &'static [Topic] {
        self.settings.topics
    }

    /// Returns true when this member replicates `topic`.
    #[must_use]
    pub fn has_topic(&self, topic: Topic) -> bool {
        self.settings.topics.contains(&topic)
    }

    /// Returns the time at which the store last confirmed the state of `topic`.
    #[must_use]
    pub const fn confirmed(&self, topic: Topic) -> Time {
        self.collections[topic as usize].confirmed
    }

    /// Returns the highest revision of the store at which the state of `topic` is known to be current.
    #[must_use]
    pub const fn as_of(&self, topic: Topic) -> Revision {
        self.collections[topic as usize].as_of
    }

    /// Returns true when this member reads `topic` from the store.
    #[must_use]
    pub fn is_reader(&self, now: Time, topic: Topic) -> bool {
        let collection = &self.collections[topic as usize];
        now.reached(collection.peer_confirmed + self.settings.takeover_age(self.rank()))
    }

    /// Sets the digest of the state of `topic`. Members that set it regard their states as equal only if the digests
    /// are equal. Revisions alone do not show that: a member that has read a snapshot does not know which values were
    /// removed before it, so it cannot tell by its revisions that another member still has one of them.
    pub const fn set_digest(&mut self, topic: Topic, digest: u64) {
        self.collections[topic as usize].digest = digest;
    }

    /// Processes everything that is due at `now`. `members` are the reachable members including this one, in the order
    /// of identifiers.
    pub fn tick(&mut self, now: Time, members: &[MemberId]) {
        if self.members != members {
            self.members = members.to_vec();
        }
        self.pull = self.pull.filter(|(_, until)| !now.reached(*until));
        for topic in self.settings.topics {
            self.start_call(now, *topic);
        }
    }

    /// Returns the time at which [`Self::tick`] has to be called next.
    #[must_use]
    pub fn deadline(&self) -> Time {
        let takeover_age = self.settings.takeover_age(self.rank());
        let due = |topic: Topic| {
            let collection = &self.collections[topic as usize];
            match collection.call {
                Call::InFlight => Time::NEVER,
                Call::Backoff(until) => until.max(collection.peer_confirmed + takeover_age),
                Call::Idle => collection.peer_confirmed + takeover_age,
            }
        };
        let due_or_held = self.settings.topics.iter().map(|topic| match topic {
            Topic::ZoneDrains if self.has_failed(Topic::Hosts) => due(*topic).max(due(Topic::Hosts)),
            _ => due(*topic),
        });
        due_or_held.min().unwrap_or(Time::NEVER)
    }

    /// Handles the outcome of a call to the store. The caller has already applied the response to its state.
    pub fn store_answered(&mut self, now: Time, topic: Topic, outcome: Outcome) {
        let collection = &mut self.collections[topic as usize];
        match outcome {
            Outcome::Confirmed { revision, as_of } => {
                collection.revision = collection.revision.max(revision);
                collection.as_of = collection.as_of.max(as_of);
                collection.confirmed = now;
                collection.call = Call::Idle;
                collection.failures = 0;
                collection.reread = false;
                self.announce(now, self.me);
            }
            Outcome::HistoryGone => {
                collection.call = Call::Idle;
                collection.reread = true;
            }
            Outcome::Failed => {
                let doublings = collection.failures.min(MAX_BACKOFF_DOUBLINGS);
                collection.failures = collection.failures.saturating_add(1);
                collection.call =
                    Call::Backoff(now + jitter(INITIAL_BACKOFF * (1 << doublings), self.me, collection.failures));
                // During an outage, registrations may have expired and been renewed. A snapshot shows the current
                // state.
                collection.reread = true;
            }
        }
    }

    /// Handles an announcement from the member `from`. `forward` is true when it is to be forwarded along the tree.
    pub fn receive(&mut self, now: Time, from: MemberId, announcement: &Announcement, forward: bool) {
        let mut behind = false;
        let mut fresher = false;
        for topic in self.settings.topics {
            let position = &announcement.positions[*topic as usize];
            let collection = &mut self.collections[*topic as usize];
            let confirmed = Time::from_nanos(now.as_nanos().saturating_sub(u64::from(position.age_ms) * 1_000_000));
            if position.as_of.is_none() || position.age_ms == u32::MAX {
                continue;
            }
            match collection.compare(*topic, position) {
                Comparison::Ahead => behind = true,
                Comparison::Equal => {
                    collection.as_of = collection.as_of.max(position.as_of);
                    fresher |= confirmed > collection.confirmed + self.settings.watch_timeout() / 4;
                    collection.confirmed = collection.confirmed.max(confirmed);
                    collection.peer_confirmed = collection.peer_confirmed.max(confirmed);
                }
                Comparison::Other => {}
            }
        }
        if behind {
            self.pending_root = forward.then_some(announcement.root).or(self.pending_root);
            self.pull(now, from);
        } else if fresher && forward {
            self.announce(now, announcement.root);
        }
    }

    /// Handles the end of a pull from `from`. `announcement` is none when the pull failed; otherwise, the caller has
    /// already applied the pulled changes to its state.
    pub fn pulled(&mut self, now: Time, from: MemberId, announcement: Option<&Announcement>) {
        if self.pull.is_some_and(|(member, _)| member == from) {
            self.pull = None;
        }
        let Some(announcement) = announcement else { return };
        for topic in self.settings.topics {
            let position = &announcement.positions[*topic as usize];
            let collection = &mut self.collections[*topic as usize];
            collection.revision = collection.revision.max(position.revision);
            collection.as_of = collection.as_of.max(position.as_of);
        }
        self.receive(now, from, announcement, false);
        if let Some(root) = self.pending_root.take() {
            self.announce(now, root);
        }
    }

    /// Returns true when this member is the first one in the order of identifiers, which normally reads the store.
    #[must_use]
    pub fn is_first(&self) -> bool {
        self.rank() == 0
    }

    /// Returns the collections that this member replicates.
    fn replicated(&self) -> impl Iterator<Item = &Collection> {
        self.settings.topics.iter().map(|topic| &self.collections[*topic as usize])
    }

    /// Returns the position of this member in the order of identifiers.
    fn rank(&self) -> usize {
        self.members.iter().position(|id| *id == self.me).unwrap_or(0)
    }

    /// Pulls from a member, unless a pull is in progress.
    fn pull(&mut self, now: Time, from: MemberId) {
        if self.pull.is_none() {
            let has_no_state = self.replicated().any(|collection| collection.as_of.is_none());
            let until = now + if has_no_state { self.settings.snapshot_timeout() } else { PULL_TIMEOUT };
            self.pull = Some((from, until));
            self.actions.push(Action::Pull { member: from, until });
        }
    }

    /// Returns true when the last call for `topic` failed.
    const fn has_failed(&self, topic: Topic) -> bool {
        self.collections[topic as usize].failures > 0
    }

    /// Returns true when a call for `topic` has to wait until one for the hosts succeeds. During an outage every member
    /// calls the store, and the hosts suffice to notice its end.
    fn is_held(&self, now: Time, topic: Topic) -> bool {
        topic == Topic::ZoneDrains && self.has_failed(Topic::Hosts) && self.is_reader(now, Topic::Hosts)
    }

    /// Starts a call to the store if this member reads the topic and no call is in progress or backed off.
    fn start_call(&mut self, now: Time, topic: Topic) {
        let is_reader = self.is_reader(now, topic) && !self.is_held(now, topic);
        let collection = &mut self.collections[topic as usize];
        let may_start = match collection.call {
            Call::InFlight => false,
            Call::Idle => true,
            Call::Backoff(until) => now.reached(until),
        };
        if !may_start || !is_reader {
            return;
        }
        collection.call = Call::InFlight;
        let action = if collection.as_of.is_none() || collection.reread {
            Action::Read(topic)
        } else {
            Action::Watch { topic, revision: collection.as_of, until: now + self.settings.watch_timeout() }
        };
        self.actions.push(action);
    }

    /// Announces the state to the children of this member in the tree of `root`.
    fn announce(&mut self, now: Time, root: MemberId) {
        let announcement = self.announcement(now, root);
        for child in children(&self.members, root, self.me) {
            self.actions.push(Action::Announce(child, announcement));
        }
    }
}

/// Returns the children of `me` in the tree over `members` with the root `root`. Positions are counted from the root on
/// and wrap around; the children of the member at position `p` start at position `p * FANOUT + 1`.
fn children(members: &[MemberId], root: MemberId, me: MemberId) -> impl Iterator<Item = MemberId> {
    let count = members.len();
    let position_of = |id: MemberId| members.iter().position(|member| *member == id);
    let start = position_of(root);
    let own = start.zip(position_of(me)).map(|(start, me)| (me + count - start) % count);
    let range = own.map_or(0..0, |own| (own * FANOUT + 1).min(count)..(own * FANOUT + 1 + FANOUT).min(count));
    range.map(move |position| members[(position + start.unwrap_or(0)) % count])
}

/// Returns between three and five quarters of `pause`. The factor depends on the member and the number of failures, so
/// that members whose calls failed at the same time do not retry at the same time.
fn jitter(pause: Duration, me: MemberId, failures: u32) -> Duration {
    let percent = 75 + map::hash(u64::from(failures), &me) % 50;
    pause * u32::try_from(percent).unwrap_or(100) / 100
}

/// Returns the time since `confirmed` in milliseconds, or `u32::MAX` if there was no confirmation.
fn age_ms(now: Time, confirmed: Time) -> u32 {
    if confirmed == Time::default() {
        return u32::MAX;
    }
    u32::try_from(now.since(confirmed).as_millis()).unwrap_or(u32::MAX)
}
