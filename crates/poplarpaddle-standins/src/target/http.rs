//! Load report and admin interface of a target, over HTTP.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use axum::extract::State as Extract;
use axum::extract::rejection::JsonRejection;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::TcpListener;

use super::{State, Status};
use crate::clock;
use crate::http;

/// Interval at which the load is sampled for delayed reports.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Load report, the body of `GET /load`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Service name.
    pub service: String,
    /// Number of slots of the host.
    pub slots: usize,
    /// Number of slots in use.
    pub busy: usize,
    /// Number of open connections.
    pub connections: usize,
    /// `serving`, `draining` or `cold`.
    pub state: String,
}

/// Values to report instead of the actual ones.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Overrides {
    /// Service name.
    pub service: Option<String>,
    /// Number of slots in use.
    pub busy: Option<usize>,
    /// Number of open connections.
    pub connections: Option<usize>,
    /// State, as in [`Load::state`].
    pub state: Option<String>,
}

/// Settings of the load report.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the service that the target runs.
    pub service: String,
    /// Number of slots of the host.
    pub slots: usize,
    /// When the target stops being cold, in microseconds since the Unix epoch.
    pub warm_at: u64,
    /// Age of the reported load, in microseconds.
    pub lag: u64,
    /// Values to report instead of the actual ones.
    pub misleading: Overrides,
}

/// Body of `POST /admin`. A missing field leaves its setting unchanged.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Admin {
    draining: Option<bool>,
    load_lag_ms: Option<u64>,
    misleading: Option<Overrides>,
}

/// Computes the load report.
struct Report {
    settings: Settings,
    /// Sample times and samples, in ascending order. The first one is the sample that a delayed report shows.
    samples: VecDeque<(u64, Load)>,
}

#[derive(Clone)]
struct Server {
    state: State,
    report: Arc<Mutex<Report>>,
}

/// Serves `/load` and `/admin` until the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the listener or the signal handler fails.
pub async fn serve(listener: TcpListener, settings: Settings, state: State) -> eyre::Result<()> {
    let report = Arc::new(Mutex::new(Report { settings, samples: VecDeque::new() }));
    let server = Server { state, report };
    // A delayed report needs a sample from before the first change.
    server.report().sample(clock::now(), &server.status());
    let router = Router::new()
        .route("/load", get(load))
        .route("/admin", get(get_state).post(update_settings))
        .with_state(server.clone());
    tokio::select! {
        result = async { axum::serve(listener, router).await } => result?,
        () = sample(server) => {}
        result = http::terminated() => result?,
    }
    Ok(())
}

async fn sample(server: Server) {
    let mut interval = tokio::time::interval(SAMPLE_INTERVAL);
    loop {
        interval.tick().await;
        let status = server.status();
        server.report().sample(clock::now(), &status);
    }
}

async fn load(Extract(server): Extract<Server>) -> Json<Load> {
    let status = server.status();
    Json(server.report().load(clock::now(), &status))
}

async fn get_state(Extract(server): Extract<Server>) -> Response {
    let status = server.status();
    Json(json!({
        "draining": status.draining.is_some(),
        "busy": status.busy,
        "waiting": status.waiting,
        "connections": status.connections,
        "started": status.started,
        "accepted": status.accepted,
        "misrouted": status.misrouted,
        "shedding": status.shedding,
    }))
    .into_response()
}

async fn update_settings(Extract(server): Extract<Server>, body: Result<Json<Admin>, JsonRejection>) -> Response {
    let admin = match body {
        Ok(Json(admin)) => admin,
        Err(rejection) => return http::rejected(&rejection),
    };
    if let Some(draining) = admin.draining {
        let mut status = server.state.lock().unwrap_or_else(PoisonError::into_inner);
        status.draining = draining.then(|| status.draining.unwrap_or_else(clock::now));
    }
    let mut report = server.report();
    report.settings.lag = admin.load_lag_ms.map_or(report.settings.lag, |lag| lag * clock::MILLISECOND);
    report.settings.misleading = admin.misleading.unwrap_or_else(|| report.settings.misleading.clone());
    drop(report);
    Json(json!({})).into_response()
}

impl Server {
    fn status(&self) -> Status {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn report(&self) -> std::sync::MutexGuard<'_, Report> {
        self.report.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Report {
    fn sample(&mut self, now: u64, status: &Status) {
        let load = self.current_load(now, status);
        self.samples.push_back((now, load));
        let oldest = now.saturating_sub(self.settings.lag);
        while self.samples.get(1).is_some_and(|&(time, _)| time <= oldest) {
            self.samples.pop_front();
        }
    }

    fn load(&self, now: u64, status: &Status) -> Load {
        let lagging = self.settings.lag > 0;
        let lagged = self.samples.front().filter(|_| lagging).map(|(_, load)| load.clone());
        let actual = lagged.unwrap_or_else(|| self.current_load(now, status));
        let misleading = &self.settings.misleading;
        Load {
            service: misleading.service.clone().unwrap_or(actual.service),
            slots: actual.slots,
            busy: misleading.busy.unwrap_or(actual.busy),
            connections: misleading.connections.unwrap_or(actual.connections),
            state: misleading.state.clone().unwrap_or(actual.state),
        }
    }

    fn current_load(&self, now: u64, status: &Status) -> Load {
        let state = match status.draining {
            Some(_) => "draining",
            None if now < self.settings.warm_at => "cold",
            None => "serving",
        };
        Load {
            service: self.settings.service.clone(),
            slots: self.settings.slots,
            busy: status.busy,
            connections: status.connections,
            state: state.to_owned(),
        }
    }
}
