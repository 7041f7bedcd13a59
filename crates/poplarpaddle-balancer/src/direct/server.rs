//! HTTP servers for peers, operators and tools.

use std::sync::Arc;

use axum::Router;
use axum::extract::{Query, State};
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use poplarpaddle::fleet::Revisions;
use poplarpaddle_io::peer;
use serde::Deserialize;
use tokio::sync::{mpsc, oneshot};

use super::task::Input;
use super::telemetry::Telemetry;

/// State shared by the handlers.
#[derive(Debug, Clone)]
pub(super) struct Context {
    pub(super) process: Arc<str>,
    pub(super) inputs: mpsc::UnboundedSender<Input>,
    pub(super) telemetry: Telemetry,
}

/// Query parameters of `GET /peer/parcel`: the revisions that the peer has.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
struct Params {
    #[serde(default)]
    hosts: u64,
    #[serde(default)]
    routes: u64,
    #[serde(default)]
    zone_drains: u64,
}

/// Returns the HTTP routes for peers.
pub(super) fn peers(context: Context) -> Router {
    Router::new().route("/peer/parcel", get(changes)).with_state(context)
}

/// Returns the HTTP routes for operators and tools.
pub(super) fn tools(context: Context) -> Router {
    Router::new()
        .route("/status", get(status))
        .route("/metrics", get(metrics))
        .route("/events", get(events))
        .with_state(context)
}

async fn changes(State(context): State<Context>, Query(params): Query<Params>) -> Response {
    let (sender, receiver) = oneshot::channel();
    let stopping = || (StatusCode::SERVICE_UNAVAILABLE, "the balancer is shutting down").into_response();
    let since = Revisions { hosts: params.hosts, routes: params.routes, zone_drains: params.zone_drains };
    if context.inputs.send(Input::Changes { since, reply: sender }).is_err() {
        return stopping();
    }
    match receiver.await {
        Ok(Ok(bytes)) => ([(header::CONTENT_TYPE, peer::MEDIA_TYPE)], bytes).into_response(),
        Ok(Err(error)) => {
            let status = StatusCode::from_u16(error.kind().codes().status);
            (status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), error.to_string()).into_response()
        }
        Err(_closed) => stopping(),
    }
}

async fn status(State(context): State<Context>) -> Response {
    let (sender, receiver) = oneshot::channel();
    if context.inputs.send(Input::Status(sender)).is_err() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    receiver.await.map_or_else(
        |_closed| StatusCode::SERVICE_UNAVAILABLE.into_response(),
        |status| axum::Json(status).into_response(),
    )
}

async fn metrics(State(context): State<Context>) -> Response {
    ([(header::CONTENT_TYPE, "text/plain; version=0.0.4")], context.telemetry.metrics.text()).into_response()
}

async fn events(State(context): State<Context>) -> Response {
    let lines = context.telemetry.events.lines(&context.process);
    ([(header::CONTENT_TYPE, "application/x-ndjson")], lines).into_response()
}
