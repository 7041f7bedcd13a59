//! Metadata store of the platform, with lists, watches, conditional writes and injectable faults.

mod api;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::watch;

/// Behavior of the store towards calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Behavior {
    /// Handles calls normally.
    #[default]
    Normal,
    /// Rejects calls with status 503.
    Unavailable,
    /// Rejects calls with status 429.
    Throttling,
    /// Never responds.
    Silent,
    /// Handles calls after this delay.
    Slow(Duration),
    /// Performs writes but never responds to them.
    LosingResponses,
}

/// Metadata that the store maintains for an object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Meta {
    /// Name, unique within the kind.
    pub name: String,
    /// Revision of the last change.
    #[serde(default)]
    pub revision: u64,
    /// Revision at which the object was created.
    #[serde(default)]
    pub created: u64,
    /// Names of the finalizers. A call that deletes the object removes it only if none is left.
    #[serde(default)]
    pub finalizers: Vec<String>,
    /// True if the object was deleted while finalizers were left.
    #[serde(default)]
    pub deleting: bool,
}

/// An object of the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Metadata.
    pub meta: Meta,
    /// Desired state, written by the owner of the object.
    #[serde(default)]
    pub spec: Value,
    /// Observed state, written by other parties.
    #[serde(default)]
    pub status: Value,
}

#[derive(Debug, Clone)]
struct Change {
    kind: String,
    object: Object,
    deleted: bool,
}

/// Content of the store at one revision.
#[derive(Debug, Clone, Default)]
struct Content {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    changes: Vec<(u64, Change)>,
    /// Changes up to this revision were compacted away.
    compacted: u64,
}

#[derive(Debug, Default, derive_more::Deref, derive_more::DerefMut)]
struct Inner {
    #[deref]
    #[deref_mut]
    content: Content,
    /// Content from which the store can be restored.
    copy: Content,
    /// Number of times that the store was restored.
    epoch: u64,
    behavior: Behavior,
    calls: u64,
    refused: u64,
    /// Start of the current rate limit window of one second, and the number of calls in it.
    window: Option<(Instant, u64)>,
}

/// Handle to a store. Clones share the same store.
#[derive(Debug, Clone)]
pub struct Store {
    inner: Arc<Mutex<Inner>>,
    revision: watch::Sender<u64>,
    max_calls_per_s: u64,
}

impl Store {
    /// Returns an empty store that rejects calls beyond `max_calls_per_s` per second.
    #[must_use]
    pub fn new(max_calls_per_s: u64) -> Self {
        let content = Content { revision: 100, compacted: 100, ..Default::default() };
        let inner = Inner { copy: content.clone(), content, ..Default::default() };
        Self { inner: Arc::new(Mutex::new(inner)), revision: watch::Sender::new(100), max_calls_per_s }
    }

    /// Sets the behavior towards calls.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.lock().behavior = behavior;
    }

    /// Drops the history of changes. Waiting watches end with status 410.
    pub fn compact(&self) {
        let mut inner = self.lock();
        inner.revision += 1;
        inner.compacted = inner.revision;
        inner.changes.clear();
        let revision = inner.revision;
        drop(inner);
        self.revision.send_replace(revision);
    }

    /// Takes a copy of the content, which replaces the one before.
    pub fn copy(&self) {
        let mut inner = self.lock();
        inner.copy = inner.content.clone();
    }

    /// Goes back to the content of the copy, and writes again what others than the system under test, whose kinds begin
    /// with `own`, have written since.
    pub fn restore(&self, own: &str) {
        let mut inner = self.lock();
        let copy = inner.copy.clone();
        let lost = std::mem::replace(&mut inner.content, copy.clone());
        inner.epoch += 1;
        let revision = inner.revision;
        drop(inner);
        self.revision.send_replace(revision);
        let foreign = |(kind, _): &&(String, String)| !kind.starts_with(own);
        for (kind, name) in copy.objects.keys().filter(foreign).filter(|key| !lost.objects.contains_key(*key)) {
            self.remove(kind, name);
        }
        for key in lost.objects.keys().filter(foreign) {
            self.set(&key.0, &key.1, lost.objects[key].spec.clone());
        }
    }

    /// Returns the number of calls so far, and how many of them were refused.
    #[must_use]
    pub fn calls(&self) -> (u64, u64) {
        let inner = self.lock();
        (inner.calls, inner.refused)
    }

    /// Writes an object unconditionally, as the operator and the hosts do.
    pub fn set(&self, kind: &str, name: &str, spec: Value) {
        let mut inner = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        let before = inner.objects.get(&key).cloned();
        if before.as_ref().is_some_and(|object| object.spec == spec) {
            return;
        }
        inner.revision += 1;
        let revision = inner.revision;
        let created = before.as_ref().map_or(revision, |object| object.meta.created);
        let meta = Meta { name: name.to_owned(), revision, created, finalizers: Vec::new(), deleting: false };
        let status = before.map_or(Value::Null, |object| object.status);
        self.apply(inner, kind, Object { meta, spec, status }, false);
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut inner = self.lock();
        let Some(object) = inner.objects.get(&(kind.to_owned(), name.to_owned())).cloned() else { return };
        inner.revision += 1;
        self.apply(inner, kind, object, true);
    }

    fn apply(&self, mut inner: MutexGuard<'_, Inner>, kind: &str, object: Object, deleted: bool) {
        let revision = inner.revision;
        let key = (kind.to_owned(), object.meta.name.clone());
        if deleted {
            inner.objects.remove(&key);
        } else {
            inner.objects.insert(key, object.clone());
        }
        inner.changes.push((revision, Change { kind: kind.to_owned(), object, deleted }));
        drop(inner);
        self.revision.send_replace(revision);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn events(&self, kind: &str, since: u64) -> Option<(Vec<Value>, u64)> {
        let inner = self.lock();
        if since < inner.compacted || since > inner.revision {
            return None;
        }
        let new = inner.changes.iter().filter(|(revision, change)| *revision > since && change.kind == kind);
        let events = new.map(|(_, change)| json!({"object": change.object, "deleted": change.deleted})).collect();
        Some((events, inner.revision))
    }
}
