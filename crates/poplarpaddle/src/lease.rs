//! A lease in the object store, with a fencing epoch.
//!
//! [`Lease`] is the state machine of one contender for one lease object. It emits store calls one at a time and takes
//! their outcomes.
//!
//! ```
//! use poplarpaddle::lease::{Lease, Settings};
//! use poplarpaddle::path::MemberId;
//! use poplarpaddle::store::{Call, Outcome};
//! use poplarpaddle::time::Time;
//!
//! let now = Time::from_millis(0);
//! let mut lease = Lease::new(Settings::default(), "kitami-0", MemberId(7));
//! assert!(matches!(lease.tick(now, true), Some(Call::Get { .. })));
//! lease.handle_outcome(now, &Outcome::Object(None));
//! assert!(matches!(lease.tick(now, true), Some(Call::Put { version: 0, .. })));
//! lease.handle_outcome(now, &Outcome::Written(1));
//! assert_eq!(lease.holds(now), Some(1));
//! assert_eq!(lease.holds(Time::from_millis(8_000)), None);
//! ```
//!
//! # Trade-offs
//!
//! Holder and contenders compare only times of their own clocks. The holder counts from the moment at which it sent its
//! write and stops at [`Settings::hold_ms`]; a contender counts from the moment at which it read the unchanged version
//! first and waits for [`Settings::lease_ms`]. The difference between the two is the bound on the drift of the clocks.

use serde::{Deserialize, Serialize};

use crate::membership::millis;
use crate::path::MemberId;
use crate::store::{Call, Object, Outcome};
use crate::time::Time;

/// Kind of lease objects in the store.
pub const KIND: &str = "lease";

/// Settings of [`Lease`]. Times are in milliseconds.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Time without a change after which a contender takes over.
    pub lease_ms: u64,
    /// Time from sending a write to the renewal deadline of the holder; shorter than `lease_ms`.
    pub hold_ms: u64,
    /// Time from one renewal to the next.
    pub renew_ms: u64,
    /// Time from one read of a contender to the next.
    pub poll_ms: u64,
    /// Pause after a call that failed.
    pub retry_ms: u64,
    /// Time for a call.
    pub call_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease_ms: 10_000,
            // Clocks that drift by 20 % relative to each other are still safe.
            hold_ms: 8_000,
            // One renewal may stay unanswered before the holder has to stop.
            renew_ms: 2_500,
            poll_ms: 2_500,
            retry_ms: 1_000,
            call_ms: 3_000,
        }
    }
}

/// Value of a lease object.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// Id of the holder, empty when the lease was released.
    pub holder: String,
    /// Fencing number; goes up with each change of the holder.
    pub epoch: u64,
    /// Renewals in this epoch.
    pub renewal: u64,
}

/// A conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Write {
    version: u64,
    value: Value,
    /// When it was sent first.
    sent: Time,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    /// Nothing is known that may be acted on.
    Unknown,
    /// The object was at `version` since `since` at the latest.
    Observed { version: u64, value: Value, since: Time },
    /// The last own write took effect.
    Held { version: u64, value: Value, until: Time },
}

#[derive(Debug)]
enum Pending {
    Read(Time),
    Write(Write, Time),
}

/// A contender for a lease, or its holder.
#[derive(Debug)]
pub struct Lease {
    settings: Settings,
    name: String,
    me: String,
    state: State,
    pending: Option<Pending>,
    /// A write that may have taken effect; it is read back before anything else.
    unconfirmed: Option<Write>,
    /// A write that did not take effect yet and may still do so.
    retry: Option<Write>,
    /// Highest epoch ever seen.
    highest_epoch: u64,
    next_call: Time,
    contending: bool,
}

impl Lease {
    /// Returns a contender `me` for the lease object `name`.
    #[must_use]
    pub fn new(settings: Settings, name: impl Into<String>, me: MemberId) -> Self {
        Self {
            settings,
            name: name.into(),
            me: me.to_string(),
            state: State::Unknown,
            pending: None,
            unconfirmed: None,
            retry: None,
            highest_epoch: 0,
            next_call: Time::default(),
            contending: false,
        }
    }

    /// Returns the name of the lease object.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the epoch while this contender holds the lease by its own clock.
    #[must_use]
    pub fn holds(&self, now: Time) -> Option<u64> {
        match &self.state {
            State::Held { value, until, .. } if !now.reached(*until) => Some(value.epoch),
            State::Held { .. } | State::Observed { .. } | State::Unknown => None,
        }
    }

    /// Returns true while the lease is held or a write that takes it may be under way.
    #[must_use]
    pub fn may_hold(&self) -> bool {
        let held = matches!(self.state, State::Held { .. });
        held || self.unconfirmed.is_some() || matches!(self.pending, Some(Pending::Write(..)))
    }

    /// Returns the renewal deadline, [`Time::NEVER`] when the lease is not held.
    #[must_use]
    pub const fn renewal_deadline(&self) -> Time {
        match self.state {
            State::Held { until, .. } => until,
            State::Unknown | State::Observed { .. } => Time::NEVER,
        }
    }

    /// Returns the time of the next tick.
    #[must_use]
    pub fn deadline(&self) -> Time {
        match &self.pending {
            Some(Pending::Read(until) | Pending::Write(_, until)) => *until,
            None if self.contending || self.may_hold() => self.next_call,
            None => Time::NEVER,
        }
    }

    /// Returns the call that is due. `contend` says whether this member may hold the lease; a holder that may not
    /// releases it.
    pub fn tick(&mut self, now: Time, contend: bool) -> Option<Call> {
        if self.contending && !contend {
            // A release does not wait for the next renewal.
            self.next_call = now;
        }
        self.contending = contend;
        if let Some(Pending::Read(until) | Pending::Write(_, until)) = self.pending
            && now.reached(until)
        {
            self.handle_outcome(now, &Outcome::Unknown);
        }
        if self.pending.is_some() || !now.reached(self.next_call) {
            return None;
        }
        if self.unconfirmed.is_some() {
            return Some(self.read(now));
        }
        match self.state.clone() {
            State::Held { until, .. } if now.reached(until) => {
                self.state = State::Unknown;
                contend.then(|| self.read(now))
            }
            State::Held { version, value, .. } if contend => {
                let renewal = value.renewal + 1;
                Some(self.write(now, version, Value { renewal, ..value }))
            }
            State::Held { version, value, .. } => {
                // The release may take effect while its answer is lost, so the holder stops before it sends it.
                self.state = State::Unknown;
                Some(self.write(now, version, Value { holder: String::new(), ..value }))
            }
            State::Observed { version, value, since } if contend && self.is_free(now, &value, since) => {
                let epoch = value.epoch.max(self.highest_epoch).saturating_add(1);
                Some(self.write(now, version, Value { holder: self.me.clone(), epoch, renewal: 0 }))
            }
            State::Observed { .. } | State::Unknown => contend.then(|| self.read(now)),
        }
    }

    /// Takes the outcome of the call that is under way.
    pub fn handle_outcome(&mut self, now: Time, outcome: &Outcome) {
        match self.pending.take() {
            Some(Pending::Read(_)) => self.on_read(now, outcome),
            Some(Pending::Write(write, _)) => self.on_written(now, write, outcome),
            None => {}
        }
    }

    /// A released lease is free, and so is an own one that lapsed and that nobody took over.
    fn is_free(&self, now: Time, value: &Value, since: Time) -> bool {
        value.holder.is_empty() || value.holder == self.me || now.reached(since + millis(self.settings.lease_ms))
    }

    fn read(&mut self, now: Time) -> Call {
        self.pending = Some(Pending::Read(now + millis(self.settings.call_ms)));
        Call::Get { kind: KIND.to_owned(), name: self.name.clone() }
    }

    fn write(&mut self, now: Time, version: u64, value: Value) -> Call {
        let json = serde_json::json!({ "holder": value.holder, "epoch": value.epoch, "renewal": value.renewal });
        let until = now + millis(self.settings.call_ms);
        let mut write = Write { version, value, sent: now };
        if let Some(first) = self.retry.take()
            && (first.version, &first.value) == (write.version, &write.value)
        {
            write = first;
        }
        self.pending = Some(Pending::Write(write, until));
        Call::Put { kind: KIND.to_owned(), name: self.name.clone(), version, value: json }
    }

    fn on_written(&mut self, now: Time, write: Write, outcome: &Outcome) {
        match outcome {
            Outcome::Written(version) => self.confirm(now, write, *version),
            // A conflict may be the own write whose first answer was lost, so it is read back like an unknown outcome.
            Outcome::Unknown | Outcome::Conflict(_) => {
                self.unconfirmed = Some(write);
                self.next_call = now;
            }
            _ => self.next_call = now + millis(self.settings.retry_ms),
        }
    }

    fn confirm(&mut self, now: Time, write: Write, version: u64) {
        let Write { value, sent, .. } = write;
        self.highest_epoch = self.highest_epoch.max(value.epoch);
        if value.holder.is_empty() {
            self.state = State::Unknown;
            self.next_call = now + millis(self.settings.poll_ms);
            return;
        }
        self.next_call = sent + millis(self.settings.renew_ms);
        self.state = State::Held { version, value, until: sent + millis(self.settings.hold_ms) };
    }

    fn on_read(&mut self, now: Time, outcome: &Outcome) {
        let Outcome::Object(object) = outcome else {
            self.next_call = now + millis(self.settings.retry_ms);
            return;
        };
        let (version, value) = parse(object.as_ref());
        self.highest_epoch = self.highest_epoch.max(value.epoch);
        if let Some(write) = self.unconfirmed.take() {
            if write.value == value {
                self.confirm(now, write, version);
                return;
            }
            if version == write.version {
                // The write may still arrive. The same write is tried again, of which at most one takes effect; the
                // renewal deadline counts from the first one.
                self.retry = Some(write);
                self.next_call = now;
                return;
            }
        }
        self.observe(now, version, value);
    }

    fn observe(&mut self, now: Time, version: u64, value: Value) {
        let since = match self.state {
            State::Observed { version: known, since, .. } if known == version => since,
            State::Observed { .. } | State::Held { .. } | State::Unknown => now,
        };
        let poll = now + millis(self.settings.poll_ms);
        let expiry = since + millis(self.settings.lease_ms);
        self.next_call = if self.is_free(now, &value, since) { now } else { poll.min(expiry) };
        self.state = State::Observed { version, value, since };
    }
}

/// Returns version and value of a lease object. A malformed value counts as one of an unknown holder.
fn parse(object: Option<&Object>) -> (u64, Value) {
    let Some(object) = object else { return (0, Value::default()) };
    let unknown = Value { holder: "?".to_owned(), ..Value::default() };
    (object.version, serde_json::from_value(object.value.clone()).unwrap_or(unknown))
}
