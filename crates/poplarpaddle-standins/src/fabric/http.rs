//! Health checks of the balancers and admin interface of the fabric.

use std::net::SocketAddr;
use std::time::Duration;

use axum::extract::State as Extract;
use axum::extract::rejection::JsonRejection;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use super::flows::Key;
use super::{Balancer, Engine, Shared};
use crate::http;

/// Body of `POST /admin`. A missing field leaves its setting unchanged.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Admin {
    loss: Option<f64>,
    duplicate: Option<f64>,
    reorder: Option<f64>,
    delay_ms: Option<u64>,
    cut: Option<Vec<(SocketAddr, SocketAddr)>>,
    balancers: Option<Vec<Balancer>>,
    silent_targets: Option<bool>,
    silence: Option<Silence>,
}

/// Selection of the flows to silence.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Silence {
    /// The listed flows, each written as `IP:port>IP:port`.
    Flows(Vec<String>),
    /// A random fraction of the open flows, 0 to 1.
    Share(f64),
}

/// Checks the balancers every `interval` and serves `/admin` until the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the listener, the HTTP client or the signal handler fails.
pub async fn serve(listener: TcpListener, interval: Duration, engine: Shared) -> eyre::Result<()> {
    let router = Router::new().route("/admin", get(get_state).post(update_faults)).with_state(engine.clone());
    tokio::select! {
        result = async { axum::serve(listener, router).await } => result?,
        result = check_balancers(engine, interval) => result?,
        result = http::terminated() => result?,
    }
    Ok(())
}

async fn check_balancers(engine: Shared, interval: Duration) -> eyre::Result<()> {
    // Without the timeout, a late response could overwrite the result of a newer check.
    let client = reqwest::Client::builder().timeout(interval).no_proxy().build()?;
    let mut ticks = tokio::time::interval(interval);
    loop {
        ticks.tick().await;
        let balancers = engine.lock().routes.balancers.clone();
        let mut checks = JoinSet::new();
        for balancer in balancers {
            checks.spawn(check_balancer(client.clone(), balancer, engine.clone()));
        }
        while checks.join_next().await.is_some() {}
    }
}

/// Checks one balancer. Its state is updated as soon as its own response arrives, not after the slowest one.
async fn check_balancer(client: reqwest::Client, balancer: Balancer, engine: Shared) {
    let response = client.get(&balancer.health).send().await;
    let up = response.is_ok_and(|response| response.status() == reqwest::StatusCode::OK);
    let mut engine = engine.lock();
    if let Some(known) = engine.routes.balancers.iter_mut().find(|known| known.data == balancer.data) {
        known.up = up;
    }
}

async fn get_state(Extract(engine): Extract<Shared>) -> Response {
    let engine = engine.lock();
    Json(json!({
        "counts": engine.counts,
        "faults": engine.faults,
        "balancers": engine.routes.balancers,
        "open_flows": engine.flows.len(),
    }))
    .into_response()
}

async fn update_faults(Extract(engine): Extract<Shared>, body: Result<Json<Admin>, JsonRejection>) -> Response {
    let admin = match body {
        Ok(Json(admin)) => admin,
        Err(rejection) => return http::rejected(&rejection),
    };
    match admin.apply(&mut engine.lock()) {
        Ok(silenced) => Json(json!({ "silenced": silenced })).into_response(),
        Err(error) => http::failure(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

impl Admin {
    /// Applies all changes, or none if one is invalid, and returns the number of flows that were silenced.
    fn apply(self, engine: &mut Engine) -> eyre::Result<usize> {
        let share = if let Some(Silence::Share(share)) = self.silence { Some(share) } else { None };
        let shares = [("loss", self.loss), ("duplicate", self.duplicate), ("reorder", self.reorder), ("share", share)];
        for (name, value) in shares {
            eyre::ensure!(value.is_none_or(|value| (0.0..=1.0).contains(&value)), "{name} {value:?} is not in 0..=1");
        }
        let keys = match &self.silence {
            Some(Silence::Flows(flows)) => flows.iter().map(|flow| flow.parse::<Key>()).collect::<Result<_, _>>()?,
            _ => Vec::new(),
        };
        let faults = &mut engine.faults;
        faults.loss = self.loss.unwrap_or(faults.loss);
        faults.duplicate = self.duplicate.unwrap_or(faults.duplicate);
        faults.reorder = self.reorder.unwrap_or(faults.reorder);
        faults.delay_ms = self.delay_ms.unwrap_or(faults.delay_ms);
        faults.silent_targets = self.silent_targets.unwrap_or(faults.silent_targets);
        if let Some(cut) = self.cut {
            faults.cut = cut;
        }
        if let Some(balancers) = self.balancers {
            engine.routes.balancers = balancers;
        }
        let listed = keys.iter().filter(|key| engine.flows.silence(key)).count();
        Ok(listed + share.map_or(0, |share| engine.silence_share(share)))
    }
}
