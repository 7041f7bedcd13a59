//! Publishing: writes the objects in the store as a new generation.
//!
//! ```
//! use poplarpaddle::publish::{Publish, Settings, Step};
//! use poplarpaddle::store::{Call, Outcome};
//! use poplarpaddle::time::Time;
//!
//! let now = Time::from_millis(1);
//! let mut publish = Publish::new(now, Settings { fleet: "kauri".to_owned(), seed: 7, ..Default::default() });
//! let Step::Call { call, .. } = publish.next(now) else { panic!() };
//! assert_eq!(call, Call::Get { kind: "manifest".to_owned(), name: "kauri".to_owned() });
//! publish.handle_outcome(now, Outcome::Object(None));
//! let Step::Call { call, .. } = publish.next(now) else { panic!() };
//! assert_eq!(call, Call::List { kind: "zone".to_owned() });
//! ```
//!
//! The manifest is read before the objects, and its version is the condition of the final write. A generation therefore
//! never contains objects older than those of the generation before it. Its number is higher than that of every
//! generation that a zone reports in force, since a store that was restored from a copy may have lost some. Not-before
//! times are compared with the clock of the publisher, so the clocks of operators' machines must agree to within seconds
//! for a released endpoint to stay reserved for its whole time. Calls are made one at a time; parallel part writes would
//! speed up the first publish of a large fleet, but not that of a single change.

mod draft;
mod end;
mod settings;

use std::collections::VecDeque;

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;

use self::draft::{Base, Draft, Earlier};
pub use self::end::{Conflict, End, Published, Step};
pub use self::settings::Settings;
use crate::config::{Digest, Manifest, Part, PublishId, Seed, encode};
use crate::error::{Error, Kind, Result};
use crate::map::{Map, seeded};
use crate::object::{self, Input};
use crate::retry;
use crate::store::{Call, Object, Outcome};
use crate::time::Time;

const MANIFEST: &str = "manifest";
const PART: &str = "part";
const STATUS: &str = "status";

/// The call that is made next, or whose outcome is pending.
#[derive(Debug)]
enum Phase {
    /// Reads the manifest from the store.
    ReadManifest,
    /// Lists the objects of the kind at this index of [`object::Kind::ALL`].
    ListObjects(usize),
    /// Lists the statuses of the zones, for the generations that they have in force.
    ListStatuses,
    /// Reads the parts that the new generation replaces, to determine the endpoints and addresses that are released.
    ReadReplaced(VecDeque<Digest>),
    /// Writes the parts that the store does not have yet.
    WriteParts(VecDeque<Digest>),
    /// Writes the manifest.
    WriteManifest,
    /// Reads the manifest back after a lost response or a conflict.
    ReadBack,
    /// Reads the parts that differ in the conflicting generation of another publish.
    ReadTheirs(Box<Manifest>, VecDeque<Digest>),
    /// The publish has ended.
    Done(Box<End>),
}

/// Effect of the outcome of a call.
enum Progress {
    /// The publish advanced to another phase or call.
    Advanced,
    /// The call has to be retried.
    Retry(Error),
}

impl Progress {
    fn retry(message: &'static str) -> Self {
        Self::Retry(Error::new(Kind::Unavailable, message))
    }
}

/// The state machine of one publish.
///
/// The caller performs the [`Step`]s from [`Publish::next`] and passes each outcome to [`Publish::handle_outcome`].
#[derive(Debug)]
pub struct Publish {
    settings: Settings,
    random: Pcg64,
    budget: retry::Budget,
    deadline: Time,
    /// No call is made before this time.
    resume: Time,
    id: PublishId,
    phase: Phase,
    base: Option<Base>,
    objects: Input,
    /// Highest generation in force according to the statuses of the zones.
    in_force: u64,
    /// Parts read from the store.
    fetched: Map<Digest, Part>,
    draft: Option<Draft>,
    /// True while a manifest write whose response was lost may have taken effect.
    unconfirmed: bool,
}

impl Publish {
    /// Starts a publish.
    #[must_use]
    pub fn new(now: Time, settings: Settings) -> Self {
        let mut random = Pcg64::seed_from_u64(settings.seed);
        let id = PublishId(random.random());
        Self {
            budget: retry::Budget::new(settings.retry),
            deadline: now + settings.timeout,
            resume: now,
            settings,
            random,
            id,
            phase: Phase::ReadManifest,
            base: None,
            objects: Input::default(),
            in_force: 0,
            fetched: seeded(0),
            draft: None,
            unconfirmed: false,
        }
    }

    /// Returns the id of this publish.
    #[must_use]
    pub const fn id(&self) -> PublishId {
        self.id
    }

    /// Returns the next step. A call is returned again until its outcome is passed to [`Publish::handle_outcome`].
    pub fn next(&mut self, now: Time) -> Step {
        if !matches!(self.phase, Phase::Done(_)) && now.reached(self.deadline) {
            let message = format!("publish {} did not finish within {:?}", self.id, self.settings.timeout);
            self.fail(Error::new(Kind::Timeout, message));
        }
        if let Phase::Done(end) = &self.phase {
            return Step::End(end.as_ref().clone());
        }
        if !now.reached(self.resume) {
            return Step::Wait(self.resume.min(self.deadline));
        }
        match self.call() {
            Some(call) => Step::Call { call, deadline: (now + self.settings.call_timeout).min(self.deadline) },
            None => {
                Step::End(End::Failed(Error::new(Kind::Internal, "the publish has no next call and has not ended")))
            }
        }
    }

    /// Handles the outcome of the call from [`Publish::next`].
    pub fn handle_outcome(&mut self, now: Time, outcome: Outcome) {
        match self.advance(now, outcome) {
            Ok(Progress::Advanced) => self.budget.record_success(),
            Ok(Progress::Retry(error)) => self.retry(now, error),
            Err(error) => self.fail(error),
        }
    }

    fn call(&self) -> Option<Call> {
        let part = |digest: &Digest| Call::Get { kind: PART.to_owned(), name: digest.object_name() };
        match &self.phase {
            Phase::ReadManifest | Phase::ReadBack => {
                Some(Call::Get { kind: MANIFEST.to_owned(), name: self.settings.fleet.clone() })
            }
            Phase::ListObjects(index) => Some(Call::List { kind: object::Kind::ALL.get(*index)?.to_string() }),
            Phase::ListStatuses => Some(Call::List { kind: STATUS.to_owned() }),
            Phase::ReadReplaced(digests) | Phase::ReadTheirs(_, digests) => digests.front().map(part),
            Phase::WriteParts(digests) => {
                let digest = digests.front()?;
                let value = self.draft.as_ref()?.parts.get(digest)?.clone();
                Some(Call::Put { kind: PART.to_owned(), name: digest.object_name(), version: 0, value })
            }
            Phase::WriteManifest => {
                let value = self.draft.as_ref()?.manifest_value.clone();
                let version = self.base.as_ref().map_or(0, |base| base.version);
                Some(Call::Put { kind: MANIFEST.to_owned(), name: self.settings.fleet.clone(), version, value })
            }
            Phase::Done(_) => None,
        }
    }

    fn advance(&mut self, now: Time, outcome: Outcome) -> Result<Progress> {
        match (&mut self.phase, outcome) {
            (_, Outcome::Failed(error)) if error.kind().codes().retry => return Ok(Progress::Retry(error)),
            (_, Outcome::Failed(error)) => return Err(error),
            (Phase::ReadManifest, Outcome::Object(object)) => self.on_manifest(object)?,
            (Phase::ListObjects(index), Outcome::Objects(objects)) => {
                let index = *index;
                self.on_objects(index, &objects);
            }
            (Phase::ListStatuses, Outcome::Objects(statuses)) => self.on_statuses(now, &statuses)?,
            (Phase::ReadReplaced(_) | Phase::ReadTheirs(..), Outcome::Object(object)) => self.on_part(now, object)?,
            (Phase::WriteParts(digests), Outcome::Written(_) | Outcome::Conflict(1..)) => {
                digests.pop_front();
                if digests.is_empty() {
                    self.phase = Phase::WriteManifest;
                }
            }
            (Phase::WriteManifest, Outcome::Written(_)) => self.finish_as_published()?,
            (Phase::WriteManifest, Outcome::Conflict(_)) => self.phase = Phase::ReadBack,
            (Phase::WriteManifest, Outcome::Unknown) => {
                self.unconfirmed = true;
                self.phase = Phase::ReadBack;
            }
            (Phase::ReadBack, Outcome::Object(object)) => return self.on_read_back(object),
            (_, Outcome::Unknown) => return Ok(Progress::retry("the response of the store was lost")),
            (_, _) => return Ok(Progress::retry("the outcome from the store does not match the call")),
        }
        Ok(Progress::Advanced)
    }

    fn on_manifest(&mut self, object: Option<Object>) -> Result<()> {
        self.base = object.map(|object| Base::read(&object, &self.settings.fleet)).transpose()?;
        self.phase = Phase::ListObjects(0);
        Ok(())
    }

    fn on_objects(&mut self, index: usize, objects: &[Object]) {
        if let Some(kind) = object::Kind::ALL.get(index) {
            self.objects.add_objects(*kind, objects);
        }
        let is_last = index + 1 >= object::Kind::ALL.len();
        self.phase = if is_last { Phase::ListStatuses } else { Phase::ListObjects(index + 1) };
    }

    fn on_statuses(&mut self, now: Time, statuses: &[Object]) -> Result<()> {
        // A status that cannot be decoded is that of another writer.
        let reported = statuses.iter().filter_map(|status| status.value.get("generation")?.as_u64());
        self.in_force = reported.max().unwrap_or(0);
        let seed = Seed(self.random.random());
        let earlier = Earlier { base: self.base.as_ref(), in_force: self.in_force };
        let draft = Draft::new(&self.settings.fleet, self.id, seed, &self.objects.set, earlier)?;
        let replaced = draft.replaced(self.base.as_ref());
        self.draft = Some(draft);
        self.phase = Phase::ReadReplaced(replaced);
        self.check_if_complete(now)
    }

    fn on_part(&mut self, now: Time, object: Option<Object>) -> Result<()> {
        let (Phase::ReadReplaced(digests) | Phase::ReadTheirs(_, digests)) = &mut self.phase else {
            return Ok(());
        };
        let Some(digest) = digests.front().copied() else {
            return Ok(());
        };
        let Some(object) = object else {
            return Err(Error::new(
                Kind::Missing,
                format!("part {digest:?} is listed in a manifest but is not in the store"),
            ));
        };
        let bytes = encode(&object.value)?;
        if Digest::of(&bytes) != digest {
            let found = Digest::of(&bytes);
            return Err(Error::new(Kind::Digest, format!("part {digest:?} in the store has the digest {found:?}")));
        }
        self.fetched.insert(digest, Part::decode(&bytes)?);
        digests.pop_front();
        self.report_conflict_if_complete();
        self.check_if_complete(now)
    }

    /// Checks the whole set once every replaced part has been read.
    fn check_if_complete(&mut self, now: Time) -> Result<()> {
        let (Phase::ReadReplaced(digests), Some(draft)) = (&self.phase, &mut self.draft) else {
            return Ok(());
        };
        if !digests.is_empty() {
            return Ok(());
        }
        let not_before = now + self.settings.release_hold;
        let replaced: Vec<&Part> =
            draft.replaced(self.base.as_ref()).iter().filter_map(|digest| self.fetched.get(digest)).collect();
        let faults = draft.check(&self.objects, self.base.as_ref(), &replaced, now, not_before);
        if !faults.is_empty() {
            self.finish(End::Rejected(faults));
            return Ok(());
        }
        let is_in_force = |base: &&Base| base.manifest.generation >= self.in_force;
        if let Some(base) = self.base.as_ref().filter(is_in_force).filter(|base| draft.is_unchanged(base)) {
            let generation = base.manifest.generation;
            self.finish(End::Unchanged { generation });
            return Ok(());
        }
        draft.encode_manifest()?;
        let digests: VecDeque<Digest> = draft.parts.keys().copied().collect();
        self.phase = if digests.is_empty() { Phase::WriteManifest } else { Phase::WriteParts(digests) };
        Ok(())
    }

    /// Determines from the manifest in the store whether a write with a lost response or a conflict took effect.
    fn on_read_back(&mut self, object: Option<Object>) -> Result<Progress> {
        let version = self.base.as_ref().map_or(0, |base| base.version);
        if object.as_ref().map_or(0, |object| object.version) == version {
            self.phase = Phase::WriteManifest;
            return Ok(Progress::retry("the manifest write did not take effect"));
        }
        let Some(object) = object else {
            let message = format!("manifest {:?} was deleted during the publish", self.settings.fleet);
            return Err(Error::new(Kind::Conflict, message));
        };
        let theirs = Base::read(&object, &self.settings.fleet)?.manifest;
        if theirs.descends_from(self.id) {
            self.finish_as_published()?;
            return Ok(Progress::Advanced);
        }
        // The version has changed, so a write that is still in flight can no longer take effect.
        self.unconfirmed = false;
        let digests = draft::differing_parts(self.base.as_ref(), &theirs);
        let missing = digests.into_iter().filter(|digest| !self.fetched.contains_key(digest)).collect();
        self.phase = Phase::ReadTheirs(Box::new(theirs), missing);
        self.report_conflict_if_complete();
        Ok(Progress::Advanced)
    }

    fn report_conflict_if_complete(&mut self) {
        let Phase::ReadTheirs(theirs, digests) = &self.phase else {
            return;
        };
        if digests.is_empty() {
            let (generation, publish) = (theirs.generation, theirs.publish);
            let changes = draft::changes(self.base.as_ref(), theirs, &self.fetched);
            self.finish(End::Conflict(Conflict { generation, publish, changes }));
        }
    }

    fn finish_as_published(&mut self) -> Result<()> {
        let draft =
            self.draft.take().ok_or_else(|| Error::new(Kind::Internal, "a publish without a draft was written"))?;
        self.finish(End::Published(draft.report(self.base.as_ref(), &self.fetched)));
        Ok(())
    }

    fn finish(&mut self, end: End) {
        self.phase = Phase::Done(Box::new(end));
    }

    /// Schedules a retry of the call after a random time between half of the backoff and all of it.
    fn retry(&mut self, now: Time, error: Error) {
        if !self.budget.withdraw() {
            self.fail(error);
            return;
        }
        self.budget.record_failure();
        let backoff = self.budget.backoff();
        self.resume = now + backoff / 2 + (backoff / 2).mul_f64(self.random.random());
    }

    fn fail(&mut self, error: Error) {
        let end = match &self.phase {
            _ if self.unconfirmed => End::Unconfirmed { publish: self.id, error },
            Phase::ReadTheirs(theirs, _) => {
                let message = format!(
                    "publish {} made generation {} first; its changes cannot be read: {error}",
                    theirs.publish, theirs.generation
                );
                End::Failed(Error::new(Kind::Conflict, message))
            }
            _ => End::Failed(error),
        };
        self.finish(end);
    }
}
