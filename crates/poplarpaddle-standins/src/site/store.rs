//! Metadata store of the platform, with lists, watches, conditional writes and injectable faults.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use axum::extract::{Path, Query, State};
use axum::http::{HeaderName, HeaderValue, StatusCode};
use axum::middleware::map_response_with_state;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::watch;

/// Header with the number of the epoch, which rises each time that the store is restored from a copy.
const EPOCH_HEADER: HeaderName = HeaderName::from_static("store-era");

/// Number of objects per page of a list.
const PAGE: usize = 50;

/// Maximum time that a watch waits.
const MAX_WAIT: Duration = Duration::from_secs(30);

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

/// Query parameters of a call.
#[derive(Debug, Default, Deserialize)]
struct Options {
    /// Name after which a list continues.
    after: Option<String>,
    /// Revision after which a watch returns changes. If absent, the objects are listed.
    watch: Option<u64>,
    /// Maximum time that a watch waits, in milliseconds.
    wait_ms: Option<u64>,
    /// Revision that a deletion expects.
    revision: Option<u64>,
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

    /// Returns the HTTP routes of the store.
    pub fn router(&self) -> Router {
        Router::new()
            .route("/poplarpaddle/objects/{kind}", get(list).post(create))
            .route("/poplarpaddle/objects/{kind}/{name}", get(read).put(replace).delete(delete))
            .with_state(self.clone())
            .layer(map_response_with_state(self.clone(), add_epoch))
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

    /// Counts a call and applies the current behavior. If it returns a response, the call ends with it.
    async fn admit(&self) -> Option<Response> {
        let behavior = {
            let mut inner = self.lock();
            inner.calls += 1;
            let now = Instant::now();
            let (start, count) = inner
                .window
                .filter(|(start, _)| now.duration_since(*start) < Duration::from_secs(1))
                .unwrap_or((now, 0));
            inner.window = Some((start, count + 1));
            let behavior = if count >= self.max_calls_per_s { Behavior::Throttling } else { inner.behavior };
            inner.refused += u64::from(matches!(behavior, Behavior::Unavailable | Behavior::Throttling));
            behavior
        };
        match behavior {
            Behavior::Normal | Behavior::LosingResponses => None,
            Behavior::Unavailable => Some(StatusCode::SERVICE_UNAVAILABLE.into_response()),
            Behavior::Throttling => Some(StatusCode::TOO_MANY_REQUESTS.into_response()),
            Behavior::Silent => std::future::pending().await,
            Behavior::Slow(time) => {
                tokio::time::sleep(time).await;
                None
            }
        }
    }

    /// Returns the response to a write, or never returns if responses are lost.
    async fn finish_write(&self, response: Response) -> Response {
        let lost = self.lock().behavior == Behavior::LosingResponses;
        if lost {
            return std::future::pending().await;
        }
        response
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

async fn add_epoch(State(store): State<Store>, mut response: Response) -> Response {
    let epoch = store.lock().epoch;
    response.headers_mut().insert(EPOCH_HEADER, HeaderValue::from(epoch));
    response
}

async fn list(State(store): State<Store>, Path(kind): Path<String>, Query(options): Query<Options>) -> Response {
    if let Some(response) = store.admit().await {
        return response;
    }
    if let Some(since) = options.watch {
        let wait = Duration::from_millis(options.wait_ms.unwrap_or_default()).min(MAX_WAIT);
        return watch_kind(&store, &kind, since, wait).await;
    }
    let inner = store.lock();
    let after = options.after.unwrap_or_default();
    let of_kind = inner.objects.iter().filter(|((object_kind, name), _)| *object_kind == kind && *name > after);
    let mut items: Vec<&Object> = of_kind.map(|(_, object)| object).take(PAGE + 1).collect();
    let has_more = items.len() > PAGE;
    items.truncate(PAGE);
    Json(json!({"items": items, "has_more": has_more, "as_of": inner.revision})).into_response()
}

async fn watch_kind(store: &Store, kind: &str, since: u64, wait: Duration) -> Response {
    let mut revision = store.revision.subscribe();
    let end = tokio::time::Instant::now() + wait;
    loop {
        revision.mark_unchanged();
        let Some((events, as_of)) = store.events(kind, since) else {
            return StatusCode::GONE.into_response();
        };
        let ended = tokio::time::Instant::now() >= end;
        if !events.is_empty() || ended {
            return Json(json!({"events": events, "as_of": as_of})).into_response();
        }
        drop(tokio::time::timeout_at(end, revision.changed()).await);
        if store.lock().behavior == Behavior::Silent {
            return std::future::pending().await;
        }
    }
}

async fn read(State(store): State<Store>, Path((kind, name)): Path<(String, String)>) -> Response {
    if let Some(response) = store.admit().await {
        return response;
    }
    let inner = store.lock();
    let object = inner.objects.get(&(kind, name));
    object.map_or_else(|| StatusCode::NOT_FOUND.into_response(), |object| Json(object).into_response())
}

async fn create(State(store): State<Store>, Path(kind): Path<String>, Json(mut object): Json<Object>) -> Response {
    if let Some(response) = store.admit().await {
        return response;
    }
    let response = {
        let mut inner = store.lock();
        if let Some(existing) = inner.objects.get(&(kind.clone(), object.meta.name.clone())) {
            (StatusCode::CONFLICT, Json(existing.clone())).into_response()
        } else {
            inner.revision += 1;
            object.meta.revision = inner.revision;
            object.meta.created = inner.revision;
            store.apply(inner, &kind, object.clone(), false);
            Json(object).into_response()
        }
    };
    store.finish_write(response).await
}

async fn replace(
    State(store): State<Store>,
    Path((kind, name)): Path<(String, String)>,
    Json(object): Json<Object>,
) -> Response {
    if let Some(response) = store.admit().await {
        return response;
    }
    let response = {
        let mut inner = store.lock();
        match inner.objects.get(&(kind.clone(), name)).cloned() {
            None => StatusCode::NOT_FOUND.into_response(),
            Some(existing) if object.meta.revision != 0 && object.meta.revision != existing.meta.revision => {
                (StatusCode::CONFLICT, Json(existing)).into_response()
            }
            Some(existing) if existing.spec == object.spec && existing.meta.finalizers == object.meta.finalizers => {
                Json(existing).into_response()
            }
            Some(mut existing) => {
                inner.revision += 1;
                existing.meta.revision = inner.revision;
                existing.meta.finalizers = object.meta.finalizers;
                existing.spec = object.spec;
                store.apply(inner, &kind, existing.clone(), false);
                Json(existing).into_response()
            }
        }
    };
    store.finish_write(response).await
}

async fn delete(
    State(store): State<Store>,
    Path((kind, name)): Path<(String, String)>,
    Query(options): Query<Options>,
) -> Response {
    if let Some(response) = store.admit().await {
        return response;
    }
    let response = {
        let mut inner = store.lock();
        match inner.objects.get(&(kind.clone(), name)).cloned() {
            None => StatusCode::NOT_FOUND.into_response(),
            Some(existing) if options.revision.is_some_and(|revision| revision != existing.meta.revision) => {
                (StatusCode::CONFLICT, Json(existing)).into_response()
            }
            Some(mut existing) => {
                inner.revision += 1;
                let deleted = existing.meta.finalizers.is_empty();
                existing.meta.revision = inner.revision;
                existing.meta.deleting = true;
                store.apply(inner, &kind, existing.clone(), deleted);
                Json(existing).into_response()
            }
        }
    };
    store.finish_write(response).await
}
