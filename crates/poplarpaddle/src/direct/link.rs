//! Links to the zones, judged by openings and by signs of life from members.

use std::time::Duration;

use super::Settings;
use super::estimate::Estimate;
use crate::time::Time;

/// Openings in a row without an answer after which a silent zone counts as cut off.
const MISSES: u32 = 2;

/// Time between two pings of a zone in doubt.
const PING_EVERY: Duration = Duration::from_millis(25);

/// Time between two pings of a zone that is cut off.
const RETRY_EVERY: Duration = Duration::from_millis(100);

/// Time between two openings that try a zone that is cut off.
const TRIAL_EVERY: Duration = Duration::from_secs(1);

/// Time in which a message that was on its way can arrive after a cut.
const IN_FLIGHT: Duration = Duration::from_millis(20);

/// What is believed of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Up,
    /// Openings got no answer, and neither did members that were asked since this time.
    Doubt(Option<Time>),
    Down(Time),
}

/// The link to one zone.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) zone: String,
    state: State,
    misses: u32,
    next_ping: Time,
    next_trial: Time,
    /// Time from an opening to the caller's next packet.
    answer: Estimate,
}

/// A change of the belief about a zone.
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
            misses: 0,
            next_ping: Time::NEVER,
            next_trial: Time::NEVER,
            answer: Estimate::default(),
        }
    }

    pub(super) const fn is_down(&self) -> bool {
        matches!(self.state, State::Down(_))
    }

    /// Returns how long to wait for the answer to an opening.
    pub(super) fn patience(&self, settings: &Settings) -> Duration {
        let (least, most) = (settings.answer_least, settings.answer_most);
        self.answer.bound().map_or(most.min(least * 2), |bound| bound.clamp(least, most))
    }

    /// Takes the time from an opening to its answer.
    pub(super) fn sample(&mut self, time: Duration) {
        self.answer.sample(time);
    }

    /// Takes an opening without an answer.
    pub(super) fn miss(&mut self, now: Time) {
        self.misses = self.misses.saturating_add(1);
        if self.state == State::Up {
            self.state = State::Doubt(None);
            self.next_ping = now;
        }
    }

    /// Takes note that members of the zone were asked for a sign of life.
    pub(super) const fn asked(&mut self, now: Time) {
        if let State::Doubt(since @ None) = &mut self.state {
            *since = Some(now);
        }
    }

    /// Takes a sign of life: the answer to an opening, or a message of a member.
    pub(super) fn alive(&mut self, now: Time) -> Option<Change> {
        let change = match self.state {
            State::Up | State::Doubt(_) => None,
            State::Down(since) if !now.reached(since + IN_FLIGHT) => return None,
            State::Down(_) => Some(Change::Regained),
        };
        self.state = State::Up;
        self.misses = 0;
        self.next_ping = Time::NEVER;
        change
    }

    /// Performs what is due. `wait` is the time for a zone in doubt to answer. Returns whether to ping the zone now.
    pub(super) fn tick(&mut self, now: Time, wait: Duration) -> (bool, Option<Change>) {
        let mut change = None;
        if let State::Doubt(Some(since)) = self.state
            && self.misses >= MISSES
            && now.reached(since + wait)
        {
            self.state = State::Down(now);
            self.next_trial = now + TRIAL_EVERY;
            change = Some(Change::Lost);
        }
        let ping = now.reached(self.next_ping);
        if ping {
            self.next_ping = now + if self.is_down() { RETRY_EVERY } else { PING_EVERY };
        }
        (ping, change)
    }

    /// Returns true when an opening may try the zone although it is cut off.
    pub(super) fn try_once(&mut self, now: Time) -> bool {
        let due = self.is_down() && now.reached(self.next_trial);
        if due {
            self.next_trial = now + TRIAL_EVERY;
        }
        due
    }

    pub(super) fn deadline(&self, wait: Duration) -> Time {
        match self.state {
            State::Doubt(Some(since)) if self.misses >= MISSES => self.next_ping.min(since + wait),
            _ => self.next_ping,
        }
    }
}
