//! Store client of the commands: retries failed calls, and reads an object back when the response to its write is lost.

use std::time::Duration;

use poplarpaddle::config::{Manifest, Part, encode, to_set};
use poplarpaddle::error::{Error, Kind, Result};
use poplarpaddle::object::{self, Input, Set};
use poplarpaddle::store::{Call, Object, Outcome, Store};
use poplarpaddle::time::Time;
use poplarpaddle_io::clock::Clock;
use serde_json::Value;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Delays before each retry of a call.
const BACKOFF: [Duration; 3] = [Duration::from_millis(100), Duration::from_millis(400), Duration::from_millis(1600)];

/// A store together with the clock of this process.
#[derive(Clone, Copy)]
pub struct Remote<'a> {
    store: &'a dyn Store,
    clock: Clock,
}

impl std::fmt::Debug for Remote<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Remote").field("clock", &self.clock).finish_non_exhaustive()
    }
}

/// A conditional write of one object.
#[derive(Debug, Clone, PartialEq)]
pub struct Write {
    /// Kind of the object.
    pub kind: object::Kind,
    /// Name of the object.
    pub name: String,
    /// Expected version, 0 when the object must not exist.
    pub version: u64,
    /// The new value, or `None` to delete the object.
    pub value: Option<Value>,
}

/// The published generation with its objects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Published {
    /// The manifest.
    pub manifest: Manifest,
    /// The objects of the generation.
    pub set: Set,
}

impl<'a> Remote<'a> {
    /// Returns a client of `store` with a new clock.
    #[must_use]
    pub fn new(store: &'a dyn Store) -> Self {
        Self { store, clock: Clock::new() }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Waits until `time`.
    pub async fn wait(&self, time: Time) {
        tokio::time::sleep(self.clock.until(time)).await;
    }

    /// Performs one call without retries.
    pub async fn call(&self, call: &Call, deadline: Time) -> Outcome {
        self.store.call(call, deadline).await
    }

    /// Lists the objects of a kind.
    ///
    /// # Errors
    ///
    /// The error of the last attempt.
    pub async fn list(&self, kind: &str) -> Result<Vec<Object>> {
        match self.read(&Call::List { kind: kind.to_owned() }).await? {
            Outcome::Objects(objects) => Ok(objects),
            other => Err(unexpected(&other)),
        }
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// The error of the last attempt.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>> {
        match self.read(&Call::Get { kind: kind.to_owned(), name: name.to_owned() }).await? {
            Outcome::Object(object) => Ok(object),
            other => Err(unexpected(&other)),
        }
    }

    /// Reads the objects of every [`object::Kind`].
    ///
    /// # Errors
    ///
    /// The error of the last attempt of a call. Faults of objects are collected in the result.
    pub async fn objects(&self) -> Result<Input> {
        let mut input = Input::default();
        for kind in object::Kind::ALL {
            input.add_objects(kind, &self.list(&kind.to_string()).await?);
        }
        Ok(input)
    }

    /// Reads the manifest of a fleet; returns `None` before the first publish.
    ///
    /// # Errors
    ///
    /// The error of the last attempt, or the decoding error of a malformed manifest.
    pub async fn manifest(&self, fleet: &str) -> Result<Option<Manifest>> {
        let object = self.get("manifest", fleet).await?;
        object.map(|object| Manifest::decode(&encode(&object.value)?)).transpose()
    }

    /// Reads the published generation of a fleet.
    ///
    /// # Errors
    ///
    /// The errors of [`Remote::manifest`]; [`Kind::Missing`] when a part of the generation is not in the store, or the
    /// decoding error of a malformed part.
    pub async fn published(&self, fleet: &str) -> Result<Option<Published>> {
        let Some(manifest) = self.manifest(fleet).await? else {
            return Ok(None);
        };
        let mut parts = Vec::new();
        for digest in manifest.digests() {
            let object = self.get("part", &digest.object_name()).await?;
            let object = object.ok_or_else(|| {
                let generation = manifest.generation;
                Error::new(Kind::Missing, format!("part {digest} of generation {generation} is not in the store"))
            })?;
            parts.push(Part::decode(&encode(&object.value)?)?);
        }
        let set = to_set(&manifest, parts);
        Ok(Some(Published { manifest, set }))
    }

    /// Performs a conditional write, with retries.
    ///
    /// # Errors
    ///
    /// [`Kind::Conflict`] describing the stored object when the version differs, otherwise the error of the last attempt.
    pub async fn write(&self, write: &Write) -> Result<()> {
        let (kind, name, version) = (write.kind.to_string(), write.name.clone(), write.version);
        let call = match &write.value {
            Some(value) => Call::Put { kind, name, version, value: value.clone() },
            None => Call::Delete { kind, name, version },
        };
        let mut backoff = BACKOFF.into_iter();
        let mut ambiguous = false;
        loop {
            let outcome = self.call(&call, self.now() + CALL_TIMEOUT).await;
            ambiguous |= outcome == Outcome::Unknown;
            let error = match outcome {
                Outcome::Written(_) => return Ok(()),
                Outcome::Conflict(_) | Outcome::Unknown if self.read_back(write, ambiguous).await? => return Ok(()),
                Outcome::Conflict(_) | Outcome::Unknown => {
                    Error::new(Kind::Unavailable, format!("no response to the write of {}", write.label()))
                }
                Outcome::Failed(error) => error,
                other => return Err(unexpected(&other)),
            };
            self.back_off(error, &mut backoff).await?;
        }
    }

    /// Reads the object back after a write without a result. `ambiguous` says whether the response to an attempt was lost.
    ///
    /// If it was, returns true when the write took effect and false when the object still has the expected version. In all
    /// other cases the write conflicts with the stored object.
    async fn read_back(&self, write: &Write, ambiguous: bool) -> Result<bool> {
        let stored = self.get(&write.kind.to_string(), &write.name).await?;
        let value = stored.as_ref().map(|object| &object.value);
        if ambiguous && value == write.value.as_ref() {
            return Ok(true);
        }
        if ambiguous && stored.as_ref().map_or(0, |object| object.version) == write.version {
            return Ok(false);
        }
        Err(write.conflict(stored.as_ref()))
    }

    /// Performs a read call, with retries.
    async fn read(&self, call: &Call) -> Result<Outcome> {
        let mut backoff = BACKOFF.into_iter();
        loop {
            match self.call(call, self.now() + CALL_TIMEOUT).await {
                Outcome::Failed(error) => self.back_off(error, &mut backoff).await?,
                other => return Ok(other),
            }
        }
    }

    /// Waits before the next attempt; returns `error` when no retry is left or the error is not retryable.
    async fn back_off(&self, error: Error, backoff: &mut impl Iterator<Item = Duration>) -> Result<()> {
        match backoff.next() {
            Some(delay) if error.kind().codes().retry => {
                tokio::time::sleep(delay).await;
                Ok(())
            }
            _ => Err(error),
        }
    }
}

impl Write {
    /// Returns the kind and name of the object for messages.
    #[must_use]
    pub fn label(&self) -> String {
        format!("{} {:?}", self.kind, self.name)
    }

    fn conflict(&self, stored: Option<&Object>) -> Error {
        let stored = stored.map_or_else(
            || "does not exist".to_owned(),
            |object| format!("is at version {} with the value {}", object.version, object.value),
        );
        let message = format!("{} {stored}, expected version {}", self.label(), self.version);
        Error::new(Kind::Conflict, message)
    }
}

fn unexpected(outcome: &Outcome) -> Error {
    Error::new(Kind::Unavailable, format!("the outcome from the store does not match the call: {outcome:?}"))
}
