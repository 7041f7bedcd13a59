//! A lease in the object store, with a fencing epoch.
//!
//! [`Lease`] is the state machine of one contender for one lease object. It emits store calls one at a time and
//! receives their outcomes.
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
//! The holder and the contenders each measure time with their own clock only. The holder may act for
//! [`Settings::hold_ms`] after it sent its last write. A contender takes over when version and value have not
//! changed for [`Settings::lease_ms`] since the contender first read them. The difference between the two limits the clock
//! drift that is tolerated.

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
    /// Time without a change of the object after which a contender takes over.
    pub lease_ms: u64,
    /// Time from sending a write to the renewal deadline of the holder; shorter than `lease_ms`.
    pub hold_ms: u64,
    /// Interval between renewals.
    pub renew_ms: u64,
    /// Interval between the reads of a contender.
    pub poll_ms: u64,
    /// Pause after a failed call.
    pub retry_ms: u64,
    /// Timeout of a call.
    pub call_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease_ms: 10_000,
            // Tolerates clocks that drift by 20 % relative to each other.
            hold_ms: 8_000,
            // One renewal may remain without a response before the holder has to stop.
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
    /// Id of the holder, empty after a release.
    pub holder: String,
    /// Fencing number; increases with each change of the holder.
    pub epoch: u64,
    /// Number of renewals in this epoch.
    pub renewal: u64,
}

/// A conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Write {
    version: u64,
    value: Value,
    /// Time at which it was first sent.
    sent: Time,
}

/// State of the lease object as known to this contender.
#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    /// The object has to be read before any other call.
    Unknown,
    /// The object has been at `version` with `value` since `since` or earlier.
    Observed { version: u64, value: Value, since: Time },
    /// The last write of this contender took effect.
    Held { version: u64, value: Value, until: Time },
}

/// A call whose outcome is pending, and the time after which its outcome counts as unknown.
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
    /// A write that may have taken effect; it is read back before any other call.
    unconfirmed: Option<Write>,
    /// A write that has not taken effect but may still do so; it is sent again.
    retry: Option<Write>,
    /// Highest epoch observed so far.
    highest_epoch: u64,
    next_call: Time,
    contending: bool,
}

impl Lease {
    /// Creates the contender `me` for the lease object `name`.
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

    /// Returns the epoch while this contender holds the lease according to its own clock.
    #[must_use]
    pub fn holds(&self, now: Time) -> Option<u64> {
        match &self.state {
            State::Held { value, until, .. } if !now.reached(*until) => Some(value.epoch),
            State::Held { .. } | State::Observed { .. } | State::Unknown => None,
        }
    }

    /// Returns true while the lease is held or a write that acquires it may be in flight.
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

    /// Returns the time at which the next tick is due.
    #[must_use]
    pub fn deadline(&self) -> Time {
        match &self.pending {
            Some(Pending::Read(until) | Pending::Write(_, until)) => *until,
            None if self.contending || self.may_hold() => self.next_call,
            None => Time::NEVER,
        }
    }

    /// Returns the call that is due. `contend` states whether this member may hold the lease; a holder that may not
    /// releases it.
    pub fn tick(&mut self, now: Time, contend: bool) -> Option<Call> {
        if self.contending && !contend {
            // The release does not wait until the next renewal is due.
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
                // The release may take effect even if its response is lost, so the holder stops before sending it.
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

    /// Handles the outcome of the pending call.
    pub fn handle_outcome(&mut self, now: Time, outcome: &Outcome) {
        match self.pending.take() {
            Some(Pending::Read(_)) => self.on_read(now, outcome),
            Some(Pending::Write(write, _)) => self.on_written(now, write, outcome),
            None => {}
        }
    }

    /// Returns true when the lease may be acquired: it was released, it expired, or this contender was its last
    /// holder.
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
            // A conflict may come from this contender's first attempt, whose response was lost. It is therefore read
            // back like an unknown outcome.
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
                // The write may still arrive. The same write is sent again, and at most one of the two takes effect;
                // the renewal deadline counts from the first one.
                self.retry = Some(write);
                self.next_call = now;
                return;
            }
        }
        self.observe(now, version, value);
    }

    fn observe(&mut self, now: Time, version: u64, value: Value) {
        let since = match self.state {
            // A store that was restored from a copy assigns versions again, so the value has to be the same as well.
            State::Observed { version: known, value: ref last, since } if known == version && *last == value => since,
            State::Observed { .. } | State::Held { .. } | State::Unknown => now,
        };
        let poll = now + millis(self.settings.poll_ms);
        let expiry = since + millis(self.settings.lease_ms);
        self.next_call = if self.is_free(now, &value, since) { now } else { poll.min(expiry) };
        self.state = State::Observed { version, value, since };
    }
}

/// Returns the version and the value of a lease object. A malformed value counts as that of an unknown holder.
fn parse(object: Option<&Object>) -> (u64, Value) {
    let Some(object) = object else { return (0, Value::default()) };
    let unknown = Value { holder: "?".to_owned(), ..Value::default() };
    (object.version, serde_json::from_value(object.value.clone()).unwrap_or(unknown))
}
