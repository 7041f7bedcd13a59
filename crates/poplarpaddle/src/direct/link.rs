//! Reachability of the zones, detected from answers to openings and from messages from members.

use std::time::Duration;

use super::Settings;
use super::estimate::Estimate;
use crate::time::Time;

/// Number of consecutive unanswered openings after which a zone whose members answer no ping counts as down.
const UNANSWERED_LIMIT: u32 = 2;

/// Time between two pings of a suspect zone.
const PING_INTERVAL: Duration = Duration::from_millis(25);

/// Time between two pings of a zone that is down.
const DOWN_PING_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two trial openings to a zone that is down and has no known member to ping.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which messages sent before a zone became unreachable may still arrive.
const IN_FLIGHT: Duration = Duration::from_millis(20);

/// Detected state of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Up,
    /// An opening was not answered. Holds the time of the first ping since then; none if no ping was sent yet.
    Suspect(Option<Time>),
    /// The zone has been unreachable since this time.
    Down(Time),
}

/// Link to a zone.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) zone: String,
    state: State,
    unanswered: u32,
    next_ping: Time,
    /// True when no member of the zone was known at the last attempt to ping it.
    has_no_members: bool,
    next_trial: Time,
    /// Time from an opening to the caller's next packet.
    answer_time: Estimate,
}

/// Change in the reachability of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Change {
    Lost,
    Regained,
}

impl Link {
    pub(super) fn new(zone: &str) -> Self {
        Self {
            zone: zone.to_owned(),
            state: State::Up,
            unanswered: 0,
            next_ping: Time::NEVER,
            has_no_members: false,
            next_trial: Time::NEVER,
            answer_time: Estimate::default(),
        }
    }

    pub(super) const fn is_down(&self) -> bool {
        matches!(self.state, State::Down(_))
    }

    /// Returns the time after which an opening counts as unanswered.
    pub(super) fn answer_timeout(&self, settings: &Settings) -> Duration {
        let (min, max) = (settings.min_answer_timeout, settings.max_answer_timeout);
        self.answer_time.bound().map_or(max.min(min * 2), |bound| bound.clamp(min, max))
    }

    /// Adds a sample of the time from an opening to the caller's next packet.
    pub(super) fn sample(&mut self, time: Duration) {
        self.answer_time.sample(time);
    }

    /// Records that an opening was not answered.
    pub(super) fn opening_unanswered(&mut self, now: Time) {
        self.unanswered = self.unanswered.saturating_add(1);
        if self.state == State::Up {
            self.state = State::Suspect(None);
            self.next_ping = now;
        }
    }

    /// Records an attempt to ping members of the zone. `has_members` is false if none is known.
    pub(super) const fn pinged(&mut self, now: Time, has_members: bool) {
        self.has_no_members = !has_members;
        if has_members && let State::Suspect(since @ None) = &mut self.state {
            *since = Some(now);
        }
    }

    /// Records that the zone is reachable, as the answer to an opening or a message from a member shows.
    pub(super) fn confirm_alive(&mut self, now: Time) -> Option<Change> {
        let change = match self.state {
            State::Up | State::Suspect(_) => None,
            State::Down(since) if !now.reached(since + IN_FLIGHT) => return None,
            State::Down(_) => Some(Change::Regained),
        };
        self.state = State::Up;
        self.unanswered = 0;
        self.next_ping = Time::NEVER;
        change
    }

    /// Updates the state at `now`. `ping_timeout` is the time for a suspect zone to answer. Returns whether to ping the
    /// zone now, and the change in its reachability.
    pub(super) fn tick(&mut self, now: Time, ping_timeout: Duration) -> (bool, Option<Change>) {
        let mut change = None;
        if let State::Suspect(Some(since)) = self.state
            && self.unanswered >= UNANSWERED_LIMIT
            && now.reached(since + ping_timeout)
        {
            self.state = State::Down(now);
            self.next_trial = now + TRIAL_INTERVAL;
            change = Some(Change::Lost);
        }
        let ping = now.reached(self.next_ping);
        if ping {
            self.next_ping = now + if self.is_down() { DOWN_PING_INTERVAL } else { PING_INTERVAL };
        }
        (ping, change)
    }

    /// Returns true when the zone is down, an opening has to show whether it still is, because no member is known that a
    /// ping could reach, and such a trial is due.
    pub(super) fn is_trial_due(&self, now: Time) -> bool {
        self.is_down() && self.has_no_members && now.reached(self.next_trial)
    }

    /// Schedules the next trial, because an opening was sent to the zone.
    pub(super) fn start_trial(&mut self, now: Time) {
        self.next_trial = now + TRIAL_INTERVAL;
    }

    pub(super) fn deadline(&self, ping_timeout: Duration) -> Time {
        match self.state {
            State::Suspect(Some(since)) if self.unanswered >= UNANSWERED_LIMIT => {
                self.next_ping.min(since + ping_timeout)
            }
            _ => self.next_ping,
        }
    }
}
