//! HTTP servers for peers, operators and tools.

use std::sync::Arc;

use axum::Router;
use axum::extract::{Query, State};
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use poplarpaddle::fleet::Revisions;
use poplarpaddle::revision::Revision;
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

/// Query parameters of `GET /peer/parcel`: the revisions that the peer has, 0 for none.
#[derive(Debug, Clone, Copy, Default, Deserialize, derive_more::Display)]
#[display(
    "hosts={hosts}&hosts_epoch={hosts_epoch}&routes={routes}&zone_drains={zone_drains}&\
     zone_drains_epoch={zone_drains_epoch}"
)]
#[serde(default)]
pub(super) struct Since {
    hosts: u64,
    hosts_epoch: u64,
    /// Version of the configuration.
    routes: u64,
    zone_drains: u64,
    zone_drains_epoch: u64,
}

impl From<Revisions> for Since {
    fn from(revisions: Revisions) -> Self {
        let Revisions { hosts, routes, zone_drains } = revisions;
        Self {
            hosts: hosts.number,
            hosts_epoch: hosts.epoch,
            routes: routes.number,
            zone_drains: zone_drains.number,
            zone_drains_epoch: zone_drains.epoch,
        }
    }
}

impl From<Since> for Revisions {
    fn from(since: Since) -> Self {
        Self {
            hosts: Revision { epoch: since.hosts_epoch, number: since.hosts },
            routes: Revision::from(since.routes),
            zone_drains: Revision { epoch: since.zone_drains_epoch, number: since.zone_drains },
        }
    }
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

async fn changes(State(context): State<Context>, Query(since): Query<Since>) -> Response {
    let (sender, receiver) = oneshot::channel();
    let stopping = || (StatusCode::SERVICE_UNAVAILABLE, "the balancer is shutting down").into_response();
    if context.inputs.send(Input::Changes { since: since.into(), reply: sender }).is_err() {
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
