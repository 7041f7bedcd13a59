//! Which members read the store, and how the others hear of changes.
//!
//! Of the members that reach one another, the first in the order of their identifiers is the reader. It watches the store
//! and tells the others after each answer, along a tree with [`FANOUT`] children a member. The others pull what they lack
//! from whoever told them. A member that has heard no confirmation of its state for too long reads the store itself: first
//! the next members in the order, later everyone. A zone that is cut off soon sees only its own members and so has a
//! reader of its own.
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
//! A reader holds no lease and writes nothing, so two members that both think that they come first cost one more watch
//! and nothing else. Confirmations cost a message to each member about once in a third of [`Settings::bound`]; in return
//! a member that is cut off from its reader, but not from the store, notices it within the bound.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::map;
use crate::path::MemberId;
use crate::time::Time;

/// Members that one member tells in the tree.
pub const FANOUT: usize = 8;

/// First pause after a failed call to the store; doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Largest exponent of the pause.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Time for the answer of a peer to a pull of changes before another one is asked.
const PULL_TIMEOUT: Duration = Duration::from_millis(300);

/// A collection in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
pub enum Topic {
    /// Registered hosts.
    #[display("hosts")]
    Hosts,
    /// Routes of the configuration.
    #[display("routes")]
    Routes,
}

impl Topic {
    /// Every topic, in the order of [`News::positions`].
    pub const ALL: [Self; 2] = [Self::Hosts, Self::Routes];
}

/// State of one topic at a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Position {
    /// Revision of the last change.
    pub revision: u64,
    /// Revision of the store at which the state was the latest.
    pub as_of: u64,
    /// Time since the store confirmed that the state was the latest, in milliseconds. Relative times need no common
    /// clock.
    pub age_ms: u32,
}

/// What a member says of its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The member that heard it from the store; root of the tree along which it is told.
    pub root: MemberId,
    /// Positions in the order of [`Topic::ALL`].
    pub positions: [Position; 2],
}

/// Settings of a [`Feed`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Time after which a change in the store has to be in force at every member that reaches the store.
    pub bound: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        // The target is 7 s for a change to be in force everywhere.
        Self { bound: Duration::from_secs(7) }
    }
}

impl Settings {
    /// Returns how long a watch waits for a change.
    #[must_use]
    pub fn watch_timeout(&self) -> Duration {
        self.bound.mul_f64(0.35)
    }

    /// Returns the time for the answer of a peer to a pull of everything. At the target size and bound, 7 s, that takes 4.2 s.
    #[must_use]
    pub fn snapshot_timeout(&self) -> Duration {
        self.bound.mul_f64(0.7)
    }

    /// Returns the age of the last confirmation from peers at which the member of this rank reads the store itself.
    ///
    /// The ranks follow one another, so that the failure of a reader does not send all members to the store at once.
    /// The last value leaves 0.15 of the bound for the calls.
    #[must_use]
    pub fn takeover_age(&self, rank: usize) -> Duration {
        match rank {
            0 => Duration::ZERO,
            1 => self.bound.mul_f64(0.55),
            2 => self.bound.mul_f64(0.70),
            _ => self.bound.mul_f64(0.85),
        }
    }
}

/// What to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Read a whole collection from the store.
    Read(Topic),
    /// Wait for changes after a revision.
    Watch {
        /// The collection.
        topic: Topic,
        /// Revision of the store up to which the own state is known.
        revision: u64,
        /// When the store answers without a change.
        until: Time,
    },
    /// Ask a member for what changed.
    Pull {
        /// The member.
        member: MemberId,
        /// When its answer is of no use any more.
        until: Time,
    },
    /// Tell a member the own positions.
    Announce(MemberId, Announcement),
}

/// What became of a call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The state was the latest when the answer came.
    Confirmed {
        /// Revision of the last change.
        revision: u64,
        /// Revision of the store.
        as_of: u64,
    },
    /// The store has dropped the history after the revision of the watch.
    HistoryGone,
    /// No usable answer.
    Failed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Call {
    Idle,
    InFlight,
    Backoff(Time),
}

#[derive(Debug, Clone, Copy)]
struct Source {
    revision: u64,
    as_of: u64,
    /// When the store confirmed the state, by any way.
    confirmed: Time,
    /// When the store confirmed the state to another member, as far as heard.
    peer_confirmed: Time,
    call: Call,
    failures: u32,
    reread: bool,
}

/// Reading and spreading of one member.
#[derive(Debug)]
pub struct Feed {
    settings: Settings,
    me: MemberId,
    sources: [Source; 2],
    /// Members that can be reached, this one included, in the order of their identifiers.
    members: Vec<MemberId>,
    pull: Option<(MemberId, Time)>,
    /// Root and sender of news that waits for a pull before it is told on.
    pending_root: Option<MemberId>,
    actions: Vec<Action>,
}

impl Feed {
    /// Returns a feed without state.
    #[must_use]
    pub fn new(settings: Settings, me: MemberId) -> Self {
        let source = Source {
            revision: 0,
            as_of: 0,
            confirmed: Time::default(),
            peer_confirmed: Time::default(),
            call: Call::Idle,
            failures: 0,
            reread: false,
        };
        Self {
            settings,
            me,
            sources: [source; 2],
            members: Vec::new(),
            pull: None,
            pending_root: None,
            actions: Vec::new(),
        }
    }

    /// Takes the actions since the last call.
    pub fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the own positions.
    #[must_use]
    pub fn announcement(&self, now: Time, root: MemberId) -> Announcement {
        let position = |source: &Source| Position {
            revision: source.revision,
            as_of: source.as_of,
            age_ms: age_ms(now, source.confirmed),
        };
        Announcement { root, positions: self.sources.each_ref().map(position) }
    }

    /// Returns when the store last confirmed the state of `topic`.
    #[must_use]
    pub const fn confirmed(&self, topic: Topic) -> Time {
        self.sources[topic as usize].confirmed
    }

    /// Returns the revision of the store at which the state of `topic` was the latest.
    #[must_use]
    pub const fn as_of(&self, topic: Topic) -> u64 {
        self.sources[topic as usize].as_of
    }

    /// Returns true when this member reads `topic` from the store.
    #[must_use]
    pub fn is_reader(&self, now: Time, topic: Topic) -> bool {
        let source = &self.sources[topic as usize];
        now.reached(source.peer_confirmed + self.settings.takeover_age(self.rank()))
    }

    /// Performs what is due. `members` holds the members that can be reached, this one included, in the order of their
    /// identifiers.
    pub fn tick(&mut self, now: Time, members: &[MemberId]) {
        if self.members != members {
            self.members = members.to_vec();
        }
        self.pull = self.pull.filter(|(_, until)| !now.reached(*until));
        for topic in Topic::ALL {
            self.start_call(now, topic);
        }
    }

    /// Returns the time of the next tick.
    #[must_use]
    pub fn deadline(&self) -> Time {
        let takeover_age = self.settings.takeover_age(self.rank());
        let due = self.sources.iter().map(|source| match source.call {
            Call::InFlight => Time::NEVER,
            Call::Backoff(until) => until.max(source.peer_confirmed + takeover_age),
            Call::Idle => source.peer_confirmed + takeover_age,
        });
        due.min().unwrap_or(Time::NEVER)
    }

    /// Takes the outcome of a call to the store. The state has been brought to the revision before.
    pub fn store_answered(&mut self, now: Time, topic: Topic, outcome: Outcome) {
        let source = &mut self.sources[topic as usize];
        match outcome {
            Outcome::Confirmed { revision, as_of } => {
                source.revision = source.revision.max(revision);
                source.as_of = source.as_of.max(as_of);
                source.confirmed = now;
                source.call = Call::Idle;
                source.failures = 0;
                source.reread = false;
                self.announce(now, self.me);
            }
            Outcome::HistoryGone => {
                source.call = Call::Idle;
                source.reread = true;
            }
            Outcome::Failed => {
                let doublings = source.failures.min(MAX_BACKOFF_DOUBLINGS);
                source.failures = source.failures.saturating_add(1);
                source.call = Call::Backoff(now + jitter(INITIAL_BACKOFF * (1 << doublings), self.me, source.failures));
                // After an outage the state of the hosts may have lapsed and come back; a list shows it as it is.
                source.reread = true;
            }
        }
    }

    /// Takes the positions that the member `from` told. `spread` says that they go along the tree.
    pub fn receive(&mut self, now: Time, from: MemberId, announcement: &Announcement, forward: bool) {
        let mut behind = false;
        let mut fresher = false;
        for (source, position) in self.sources.iter_mut().zip(&announcement.positions) {
            let confirmed = Time::from_nanos(now.as_nanos().saturating_sub(u64::from(position.age_ms) * 1_000_000));
            if position.as_of == 0 || position.age_ms == u32::MAX {
                continue;
            }
            if position.revision > source.as_of || source.as_of == 0 {
                behind = true;
                continue;
            }
            // The sender knows the store up to a revision that includes the own last change and has seen none after it.
            if position.as_of >= source.revision {
                source.as_of = source.as_of.max(position.as_of);
                fresher |= confirmed > source.confirmed + self.settings.watch_timeout() / 4;
                source.confirmed = source.confirmed.max(confirmed);
                source.peer_confirmed = source.peer_confirmed.max(confirmed);
            }
        }
        if behind {
            self.pending_root = forward.then_some(announcement.root).or(self.pending_root);
            self.pull(now, from);
        } else if fresher && forward {
            self.announce(now, announcement.root);
        }
    }

    /// Takes the end of a pull from `from`. The state has been brought to the revisions of `news` before, unless the pull
    /// failed.
    pub fn pulled(&mut self, now: Time, from: MemberId, announcement: Option<&Announcement>) {
        if self.pull.is_some_and(|(member, _)| member == from) {
            self.pull = None;
        }
        let Some(announcement) = announcement else { return };
        for (source, position) in self.sources.iter_mut().zip(&announcement.positions) {
            source.revision = source.revision.max(position.revision);
            source.as_of = source.as_of.max(position.as_of);
        }
        self.receive(now, from, announcement, false);
        if let Some(root) = self.pending_root.take() {
            self.announce(now, root);
        }
    }

    fn rank(&self) -> usize {
        self.members.iter().position(|id| *id == self.me).unwrap_or(0)
    }

    fn pull(&mut self, now: Time, from: MemberId) {
        if self.pull.is_none() {
            let has_no_state = self.sources.iter().any(|source| source.as_of == 0);
            let until = now + if has_no_state { self.settings.snapshot_timeout() } else { PULL_TIMEOUT };
            self.pull = Some((from, until));
            self.actions.push(Action::Pull { member: from, until });
        }
    }

    /// Starts the next call to the store when one is due.
    fn start_call(&mut self, now: Time, topic: Topic) {
        let is_reader = self.is_reader(now, topic);
        let source = &mut self.sources[topic as usize];
        let is_free = match source.call {
            Call::InFlight => false,
            Call::Idle => true,
            Call::Backoff(until) => now.reached(until),
        };
        if !is_free || !is_reader {
            return;
        }
        source.call = Call::InFlight;
        let action = if source.as_of == 0 || source.reread {
            Action::Read(topic)
        } else {
            Action::Watch { topic, revision: source.as_of, until: now + self.settings.watch_timeout() }
        };
        self.actions.push(action);
    }

    /// Tells the children of this member in the tree of `root`.
    fn announce(&mut self, now: Time, root: MemberId) {
        let announcement = self.announcement(now, root);
        for child in children(&self.members, root, self.me) {
            self.actions.push(Action::Announce(child, announcement));
        }
    }
}

/// Returns the children of `me` in the tree over `members` whose root is `root`. The members follow one another from the
/// root on, and the member at position `p` has those from `p * FANOUT + 1` on as children.
fn children(members: &[MemberId], root: MemberId, me: MemberId) -> impl Iterator<Item = MemberId> {
    let count = members.len();
    let position_of = |id: MemberId| members.iter().position(|member| *member == id);
    let start = position_of(root);
    let own = start.zip(position_of(me)).map(|(start, me)| (me + count - start) % count);
    let range = own.map_or(0..0, |own| (own * FANOUT + 1).min(count)..(own * FANOUT + 1 + FANOUT).min(count));
    range.map(move |position| members[(position + start.unwrap_or(0)) % count])
}

/// Returns between three and five quarters of `pause`, which differs between members and from failure to failure, so that
/// members that failed together do not come back together.
fn jitter(pause: Duration, me: MemberId, failures: u32) -> Duration {
    let percent = 75 + map::hash(u64::from(failures), &me) % 50;
    pause * u32::try_from(percent).unwrap_or(100) / 100
}

fn age_ms(now: Time, confirmed: Time) -> u32 {
    if confirmed == Time::default() {
        return u32::MAX;
    }
    u32::try_from(now.since(confirmed).as_millis()).unwrap_or(u32::MAX)
}
