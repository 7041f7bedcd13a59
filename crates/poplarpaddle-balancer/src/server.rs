//! HTTP server for peers, operators and tools.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use axum::Router;
use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use poplarpaddle::config::Digest;
use poplarpaddle::control::Status;
use poplarpaddle::error::{Error, Kind};
use poplarpaddle::path::Reason;
use poplarpaddle_io::peer;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

use crate::control::Request;
use crate::telemetry::Telemetry;

/// State shared by the handlers.
#[derive(Debug, Clone)]
pub struct Context {
    /// Name of the process in events.
    pub process: Arc<str>,
    /// Sends requests to the control task.
    pub control: mpsc::UnboundedSender<Request>,
    /// Counters, events and metrics.
    pub telemetry: Telemetry,
    /// True once the balancer is leaving the fleet.
    pub leaving: Arc<AtomicBool>,
}

/// Counters of the data path in `GET /status`.
#[derive(Debug, Serialize)]
struct Activity {
    flows: usize,
    held_packets: usize,
    placed: u64,
    retried: u64,
    learned: u64,
    probed: u64,
    not_forwarded: std::collections::BTreeMap<String, u64>,
}

/// Response to `GET /status`.
#[derive(Debug, Serialize)]
struct Report {
    #[serde(flatten)]
    control: Status,
    path: Activity,
}

/// Returns the HTTP routes of a balancer.
pub fn routes(context: Context) -> Router {
    Router::new()
        .route("/peer/gossip", post(gossip))
        .route("/peer/manifest", get(manifest))
        .route("/peer/part/{digest}", get(part))
        .route("/health", get(health))
        .route("/status", get(status))
        .route("/metrics", get(metrics))
        .route("/events", get(events))
        .layer(DefaultBodyLimit::max(peer::MESSAGE_LIMIT))
        .with_state(context)
}

/// Error returned as an HTTP response, with the status code of its [`Kind`].
struct Failure(Error);

impl IntoResponse for Failure {
    fn into_response(self) -> Response {
        let status = StatusCode::from_u16(self.0.kind().codes().status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        (status, self.0.to_string()).into_response()
    }
}

impl Context {
    /// Sends the request that `build` returns to the control task and waits for the reply.
    async fn request<T>(&self, build: impl FnOnce(oneshot::Sender<T>) -> Request) -> Result<T, Failure> {
        let (sender, receiver) = oneshot::channel();
        let stopping = || Failure(Error::new(Kind::Unavailable, "the balancer is shutting down"));
        self.control.send(build(sender)).map_err(|_closed| stopping())?;
        receiver.await.map_err(|_closed| stopping())
    }
}

async fn gossip(State(context): State<Context>, body: Bytes) -> Result<Response, Failure> {
    let message = peer::decode(&body).map_err(Failure)?;
    let answer = context.request(|sender| Request::Gossip(Box::new(message), sender)).await?.map_err(Failure)?;
    let body = peer::encode(&answer).map_err(Failure)?;
    Ok(([(header::CONTENT_TYPE, peer::MEDIA_TYPE)], body).into_response())
}

/// Query parameters of `GET /peer/manifest`.
#[derive(Debug, Default, serde::Deserialize)]
struct Params {
    /// Digest of the manifest that the peer has. The response may be an update from that manifest.
    #[serde(default)]
    base: Option<String>,
}

async fn manifest(State(context): State<Context>, Query(params): Query<Params>) -> Result<Vec<u8>, Failure> {
    let base = params.base.as_deref().map_or_else(|| Ok(Digest::default()), parse_digest)?;
    let bytes = context.request(|sender| Request::Manifest(base, sender)).await?;
    bytes.ok_or_else(|| Failure(Error::new(Kind::Missing, "no configuration is in force")))
}

fn parse_digest(digest: &str) -> Result<Digest, Failure> {
    let invalid = || Failure(Error::new(Kind::Message, format!("{digest:?} is not a digest of 64 hex digits")));
    digest.parse().map_err(|_invalid| invalid())
}

async fn part(State(context): State<Context>, Path(digest): Path<String>) -> Result<Vec<u8>, Failure> {
    let parsed = parse_digest(&digest)?;
    let bytes = context.request(|sender| Request::Part(parsed, sender)).await?;
    bytes.ok_or_else(|| Failure(Error::new(Kind::Missing, format!("part {digest} is not in force"))))
}

async fn health(State(context): State<Context>) -> Result<Response, Failure> {
    let status = context.request(Request::Status).await?;
    let (code, text) = match (context.leaving.load(Ordering::Relaxed), status.ready) {
        (true, _) => (StatusCode::SERVICE_UNAVAILABLE, "leaving\n"),
        (false, false) => (StatusCode::SERVICE_UNAVAILABLE, "starting\n"),
        (false, true) => (StatusCode::OK, "ready\n"),
    };
    Ok((code, text).into_response())
}

async fn status(State(context): State<Context>) -> Result<Response, Failure> {
    let control = context.request(Request::Status).await?;
    let counters = context.telemetry.get().path;
    let not_forwarded = Reason::ALL
        .into_iter()
        .map(|reason| (reason.to_string(), counters.reason(reason)))
        .filter(|(_, count)| *count > 0)
        .collect();
    let path = Activity {
        flows: counters.flows,
        held_packets: counters.held,
        placed: counters.placed,
        retried: counters.retried,
        learned: counters.learned,
        probed: counters.probed,
        not_forwarded,
    };
    Ok(axum::Json(Report { control, path }).into_response())
}

async fn metrics(State(context): State<Context>) -> Response {
    ([(header::CONTENT_TYPE, "text/plain; version=0.0.4")], context.telemetry.metrics.text()).into_response()
}

async fn events(State(context): State<Context>) -> Response {
    let lines = context.telemetry.events.lines(&context.process);
    ([(header::CONTENT_TYPE, "application/x-ndjson")], lines).into_response()
}
