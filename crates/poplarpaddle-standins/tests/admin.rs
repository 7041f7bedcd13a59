//! Tests the load reports of targets and the health checks of the fabric, over HTTP.

#![allow(missing_docs, reason = "test code")]

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use axum::http::StatusCode;
use axum::routing::get;
use poplarpaddle_standins::fabric::{self, Balancer, Engine, Routes, Shared};
use poplarpaddle_standins::target::{State, http};
use reqwest::Client;
use serde_json::{Value, json};
use tokio::net::TcpListener;

/// Maximum time to wait for a change, so that a fault fails the test instead of hanging it.
const TIMEOUT: Duration = Duration::from_secs(10);

async fn listener() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let base = format!("http://{}", listener.local_addr().unwrap());
    (listener, base)
}

fn client() -> Client {
    Client::builder().no_proxy().timeout(Duration::from_secs(10)).build().unwrap()
}

async fn get_json(url: &str) -> Value {
    client().get(url).send().await.unwrap().json().await.unwrap()
}

async fn post_admin(base: &str, body: &Value) -> u16 {
    client().post(format!("{base}/admin")).json(body).send().await.unwrap().status().as_u16()
}

/// Guards against a load report that ignores its lag, its overridden values or the drain.
#[tokio::test]
async fn the_load_report_applies_its_lag_and_overrides() {
    let (listener, base) = listener().await;
    let state = State::default();
    let misleading = http::Overrides::default();
    let settings = http::Settings { service: "bookings".into(), slots: 3, warm_at: 0, lag: 0, misleading };
    tokio::spawn(http::serve(listener, settings, State::clone(&state)));
    let load = format!("{base}/load");
    let idle = json!({"service": "bookings", "slots": 3, "busy": 0, "connections": 0, "state": "serving"});
    assert_eq!(get_json(&load).await, idle);
    assert_eq!(post_admin(&base, &json!({"load_lag_ms": 400})).await, 200);
    let start = Instant::now();
    state.lock().unwrap().busy = 2;
    let changed = async { while get_json(&load).await["busy"] != 2 {} };
    tokio::time::timeout(TIMEOUT, changed).await.unwrap();
    assert!(
        start.elapsed() >= Duration::from_millis(350),
        "the report lags by 400 ms minus one sample interval of 50 ms"
    );
    assert_eq!(post_admin(&base, &json!({"load_lag_ms": 0, "draining": true})).await, 200);
    assert_eq!(get_json(&load).await["state"], "draining");
    assert_eq!(post_admin(&base, &json!({"misleading": {"busy": 0, "service": "crewdocs"}})).await, 200);
    let report = get_json(&load).await;
    assert_eq!((&report["busy"], &report["service"]), (&json!(0), &json!("crewdocs")));
    assert_eq!(post_admin(&base, &json!({"drain": true})).await, 400, "an unknown field is an error");
}

/// Guards against sending packets to a balancer whose health check returns 503 or no response.
#[tokio::test]
async fn a_balancer_is_up_while_its_health_check_returns_200() {
    let (balancer, health) = listener().await;
    let leaving = Arc::new(AtomicBool::new(false));
    let shutting_down = Arc::clone(&leaving);
    let status = move || async move {
        if shutting_down.load(Ordering::SeqCst) { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK }
    };
    let router = axum::Router::new().route("/health", get(status));
    let server = tokio::spawn(async { axum::serve(balancer, router).await });
    let known = Balancer { data: "127.0.0.1:1".parse().unwrap(), health: format!("{health}/health"), up: false };
    let engine = Shared::new(Engine::new(Routes { balancers: vec![known], ..Default::default() }, 1));
    let (admin, base) = listener().await;
    tokio::spawn(fabric::http::serve(admin, Duration::from_millis(20), engine));
    let up = |expected: bool| {
        let url = format!("{base}/admin");
        let changed = async move { while get_json(&url).await["balancers"][0]["up"] != expected {} };
        async { tokio::time::timeout(TIMEOUT, changed).await.unwrap() }
    };
    up(true).await;
    leaving.store(true, Ordering::SeqCst);
    up(false).await;
    leaving.store(false, Ordering::SeqCst);
    up(true).await;
    server.abort();
    up(false).await;
    assert_eq!(post_admin(&base, &json!({"loss": 2.0})).await, 400, "a fraction greater than 1 is an error");
    assert_eq!(post_admin(&base, &json!({"balancers": []})).await, 200);
    assert_eq!(get_json(&format!("{base}/admin")).await["balancers"], json!([]));
}
