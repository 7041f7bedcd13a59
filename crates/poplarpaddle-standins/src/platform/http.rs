//! HTTP server of the platform.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::body::Bytes;
use axum::extract::rejection::{BytesRejection, JsonRejection, QueryRejection};
use axum::extract::{ConnectInfo, DefaultBodyLimit, Path, Query, Request, State as Extract};
use axum::http::{Method, StatusCode};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get, post};
use axum::{Json, Router};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::connection::{AbortHandle, Listener};
use super::{Change, Counts, KINDS, MAX_NAME, MAX_VALUE, Outage, Store, Switches, Vm, VmList, Written};
use crate::clock;
use crate::http::{failure, rejected};

/// Maximum time that a watch waits.
const MAX_WATCH: Duration = Duration::from_mins(1);

#[derive(Debug, Default)]
struct Data {
    store: Store,
    vms: VmList,
    counts: Counts,
}

/// State of the platform, shared by the HTTP handlers.
#[derive(Debug, Clone)]
pub struct Platform {
    data: Arc<Mutex<Data>>,
    switches: Arc<watch::Sender<Switches>>,
    changes: Arc<watch::Sender<u64>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct WriteQuery {
    if_version: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct WatchQuery {
    after: u64,
    timeout_ms: u64,
}

/// Kind and name of an object in a request path.
type ObjectPath = Path<(String, String)>;

impl Platform {
    /// Returns a platform without objects and VMs.
    #[must_use]
    pub fn new(switches: Switches) -> Self {
        Self {
            data: Arc::default(),
            switches: Arc::new(watch::Sender::new(switches)),
            changes: Arc::new(watch::Sender::new(0)),
        }
    }

    /// Serves requests until the future is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener fails.
    pub async fn serve(self, listener: TcpListener) -> eyre::Result<()> {
        let service = self.router().into_make_service_with_connect_info::<AbortHandle>();
        axum::serve(Listener(listener), service).await?;
        Ok(())
    }

    fn router(self) -> Router {
        let api = Router::new()
            .route("/objects/{kind}", get(list))
            .route("/objects/{kind}/{name}", get(read).put(write).delete(remove))
            .route("/objects/{kind}/{name}/watch", get(watch_object))
            .route("/vms", get(vms))
            .layer(from_fn_with_state(self.clone(), apply_faults))
            .layer(DefaultBodyLimit::max(MAX_VALUE));
        let admin = Router::new()
            .route("/vms", post(put_vm))
            .route("/vms/{name}", delete(remove_vm))
            .route("/admin", get(get_state).post(set_faults));
        api.merge(admin).with_state(self)
    }

    fn data(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write_response(&self, written: Written) -> Response {
        match written {
            Written::Version(version) => {
                self.changes.send_replace(version);
                Json(json!({ "version": version })).into_response()
            }
            Written::Conflict(version) => {
                self.data().counts.conflicts += 1;
                (StatusCode::CONFLICT, Json(json!({ "version": version }))).into_response()
            }
        }
    }

    fn object(&self, kind: &str, name: &str) -> Response {
        let object = self.data().store.get(kind, name).cloned();
        object.map_or_else(|| not_found(kind, name), |object| Json(object).into_response())
    }

    /// Returns the response to a call during an outage, or `None` if there is no outage.
    async fn outage_response(&self) -> Option<Response> {
        let outage = self.switches.borrow().outage;
        if outage == Outage::None {
            return None;
        }
        self.data().counts.outage_calls += 1;
        if outage == Outage::Silent {
            // The platform owns the sender, so the wait ends only when the outage ends.
            drop(self.switches.subscribe().wait_for(|switches| switches.outage != Outage::Silent).await);
        }
        Some(failure(StatusCode::SERVICE_UNAVAILABLE, "the store is unavailable"))
    }

    /// Returns true if the response to the current successful write is to be dropped, and counts it down.
    fn take_lost_response(&self) -> bool {
        self.switches.send_if_modified(|switches| {
            let lose = switches.lose_answers > 0;
            switches.lose_answers -= u64::from(lose);
            lose
        })
    }
}

/// Middleware that applies the configured faults to a call of the API.
async fn apply_faults(
    Extract(platform): Extract<Platform>,
    ConnectInfo(abort): ConnectInfo<AbortHandle>,
    request: Request,
    next: Next,
) -> Response {
    let slow = platform.switches.borrow().slow_ms;
    sleep(Duration::from_millis(slow)).await;
    if let Some(response) = platform.outage_response().await {
        return response;
    }
    let is_write = request.method() != Method::GET;
    let response = next.run(request).await;
    if !is_write {
        // An outage may have begun while a watch waited.
        return platform.outage_response().await.unwrap_or(response);
    }
    if response.status() == StatusCode::OK && platform.take_lost_response() {
        platform.data().counts.lost_answers += 1;
        abort.abort();
    }
    response
}

async fn list(Extract(platform): Extract<Platform>, Path(kind): Path<String>) -> Response {
    platform.data().counts.reads += 1;
    if let Some(response) = validate(&kind, "") {
        return response;
    }
    Json(platform.data().store.list(&kind)).into_response()
}

async fn read(Extract(platform): Extract<Platform>, Path((kind, name)): ObjectPath) -> Response {
    platform.data().counts.reads += 1;
    validate(&kind, &name).unwrap_or_else(|| platform.object(&kind, &name))
}

async fn write(
    Extract(platform): Extract<Platform>,
    Path((kind, name)): ObjectPath,
    query: Result<Query<WriteQuery>, QueryRejection>,
    body: Result<Bytes, BytesRejection>,
) -> Response {
    platform.data().counts.writes += 1;
    if let Some(response) = validate(&kind, &name) {
        return response;
    }
    let query = match query {
        Ok(Query(query)) => query,
        Err(rejection) => return failure(StatusCode::BAD_REQUEST, &rejection.body_text()),
    };
    let body = match body {
        Ok(body) => body,
        Err(rejection) => return failure(rejection.status(), &rejection.body_text()),
    };
    let value: Value = match serde_json::from_slice(&body) {
        Ok(value) => value,
        Err(error) => return failure(StatusCode::BAD_REQUEST, &format!("invalid JSON for {kind} {name:?}: {error}")),
    };
    let written = platform.data().store.put(&kind, &name, query.if_version, value);
    platform.write_response(written)
}

async fn remove(
    Extract(platform): Extract<Platform>,
    Path((kind, name)): ObjectPath,
    query: Result<Query<WriteQuery>, QueryRejection>,
) -> Response {
    platform.data().counts.writes += 1;
    let query = match query {
        Ok(Query(query)) => query,
        Err(rejection) => return failure(StatusCode::BAD_REQUEST, &rejection.body_text()),
    };
    if let Some(response) = validate(&kind, &name) {
        return response;
    }
    if platform.data().store.get(&kind, &name).is_none() {
        return not_found(&kind, &name);
    }
    let written = platform.data().store.delete(&kind, &name, query.if_version);
    platform.write_response(written)
}

async fn watch_object(
    Extract(platform): Extract<Platform>,
    Path((kind, name)): ObjectPath,
    query: Result<Query<WatchQuery>, QueryRejection>,
) -> Response {
    platform.data().counts.reads += 1;
    let query = match query {
        Ok(Query(query)) => query,
        Err(rejection) => return failure(StatusCode::BAD_REQUEST, &rejection.body_text()),
    };
    if let Some(response) = validate(&kind, &name) {
        return response;
    }
    let _guard = WatchGuard::new(&platform);
    let mut versions = platform.changes.subscribe();
    let changed = versions.wait_for(|_| platform.data().store.version(&kind, &name) != query.after);
    // The response is the same whether the version changed or the time ran out.
    drop(timeout(Duration::from_millis(query.timeout_ms).min(MAX_WATCH), changed).await);
    platform.object(&kind, &name)
}

async fn vms(Extract(platform): Extract<Platform>) -> Json<Vec<Vm>> {
    let mut data = platform.data();
    data.counts.reads += 1;
    Json(data.vms.list(clock::now()))
}

async fn put_vm(Extract(platform): Extract<Platform>, body: Result<Json<Vm>, JsonRejection>) -> Response {
    let vm = match body {
        Ok(Json(vm)) => vm,
        Err(rejection) => return rejected(&rejection),
    };
    if !matches!(vm.role.as_str(), "balancer" | "target") {
        return failure(StatusCode::BAD_REQUEST, &format!("role {:?} is neither balancer nor target", vm.role));
    }
    let visible_at = platform.visible_at();
    platform.data().vms.put(visible_at, vm);
    Json(json!({})).into_response()
}

async fn remove_vm(Extract(platform): Extract<Platform>, Path(name): Path<String>) -> Response {
    let visible_at = platform.visible_at();
    platform.data().vms.remove(visible_at, &name);
    Json(json!({})).into_response()
}

async fn get_state(Extract(platform): Extract<Platform>) -> Response {
    let switches = *platform.switches.borrow();
    let counts = platform.data().counts;
    Json(json!({ "counts": counts, "switches": switches })).into_response()
}

async fn set_faults(Extract(platform): Extract<Platform>, body: Result<Json<Change>, JsonRejection>) -> Response {
    let change = match body {
        Ok(Json(change)) => change,
        Err(rejection) => return rejected(&rejection),
    };
    platform.switches.send_modify(|switches| switches.apply(change));
    Json(json!({})).into_response()
}

impl Platform {
    fn visible_at(&self) -> u64 {
        clock::now() + self.switches.borrow().vm_lag_ms * clock::MILLISECOND
    }
}

/// Guard that counts a waiting watch. The count is also corrected if the connection closes early.
struct WatchGuard(Platform);

impl WatchGuard {
    fn new(platform: &Platform) -> Self {
        platform.data().counts.waiting_watches += 1;
        Self(platform.clone())
    }
}

impl Drop for WatchGuard {
    fn drop(&mut self) {
        self.0.data().counts.waiting_watches -= 1;
    }
}

/// Returns an error response if the kind or the name is invalid.
fn validate(kind: &str, name: &str) -> Option<Response> {
    if !KINDS.contains(&kind) {
        return Some(failure(StatusCode::BAD_REQUEST, &format!("kind {kind:?} is not one of {KINDS:?}")));
    }
    let length = name.len();
    (length > MAX_NAME)
        .then(|| failure(StatusCode::BAD_REQUEST, &format!("name of {length} bytes is longer than {MAX_NAME}")))
}

fn not_found(kind: &str, name: &str) -> Response {
    failure(StatusCode::NOT_FOUND, &format!("{kind} {name:?} does not exist"))
}
