//! HTTP helpers shared by the stand-ins.

use std::net::SocketAddr;

use axum::Json;
use axum::extract::rejection::JsonRejection;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use eyre::{Result, WrapErr};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

/// Binds a TCP listener.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.wrap_err_with(|| format!("cannot bind HTTP address {address}"))
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the signal handlers cannot be installed.
pub async fn terminated() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Returns an error response with a JSON body.
#[must_use]
pub fn failure(status: StatusCode, message: &str) -> Response {
    (status, Json(json!({ "error": message }))).into_response()
}

/// Returns the response to a request body that is not the expected JSON: 413 if it is too long, 400 otherwise.
#[must_use]
pub fn rejected(rejection: &JsonRejection) -> Response {
    let too_long = rejection.status() == StatusCode::PAYLOAD_TOO_LARGE;
    let status = if too_long { StatusCode::PAYLOAD_TOO_LARGE } else { StatusCode::BAD_REQUEST };
    failure(status, &rejection.body_text())
}
