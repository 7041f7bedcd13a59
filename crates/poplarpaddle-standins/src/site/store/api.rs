//! HTTP interface of the store.

use std::time::{Duration, Instant};

use axum::extract::{Path, Query, State};
use axum::http::{HeaderName, HeaderValue, StatusCode};
use axum::middleware::map_response_with_state;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use serde::Deserialize;
use serde_json::json;

use super::{Behavior, Object, Store};

/// Header with the number of the epoch, which rises each time that the store is restored from a copy.
const EPOCH_HEADER: HeaderName = HeaderName::from_static("store-era");

/// Number of objects per page of a list.
const PAGE: usize = 50;

/// Maximum time that a watch waits.
const MAX_WAIT: Duration = Duration::from_secs(30);

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
    /// Returns the HTTP routes of the store.
    pub fn router(&self) -> Router {
        Router::new()
            .route("/poplarpaddle/objects/{kind}", get(list).post(create))
            .route("/poplarpaddle/objects/{kind}/{name}", get(read).put(replace).delete(delete))
            .with_state(self.clone())
            .layer(map_response_with_state(self.clone(), add_epoch))
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
