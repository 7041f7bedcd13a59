//! Tests the object API and the VM list of the platform over HTTP.

#![allow(missing_docs, reason = "test code")]

use std::time::{Duration, Instant};

use poplarpaddle_standins::platform::http::Platform;
use poplarpaddle_standins::platform::{MAX_VALUE, Switches};
use reqwest::{Client, RequestBuilder};
use serde_json::{Value, json};
use tokio::time::timeout;

/// Maximum time to wait for a change, so that a fault fails the test instead of hanging it.
const TIMEOUT: Duration = Duration::from_secs(10);

struct Api {
    client: Client,
    base: String,
}

impl Api {
    async fn start(switches: Switches) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let base = format!("http://{}", listener.local_addr().unwrap());
        tokio::spawn(Platform::new(switches).serve(listener));
        let client = Client::builder().no_proxy().timeout(Duration::from_secs(10)).build().unwrap();
        Self { client, base }
    }

    fn get(&self, path: &str) -> RequestBuilder {
        self.client.get(format!("{}{path}", self.base))
    }

    fn put(&self, path: &str, value: &Value) -> RequestBuilder {
        self.client.put(format!("{}{path}", self.base)).json(value)
    }

    fn delete(&self, path: &str) -> RequestBuilder {
        self.client.delete(format!("{}{path}", self.base))
    }

    async fn post(&self, path: &str, value: &Value) {
        let response = self.client.post(format!("{}{path}", self.base)).json(value).send().await.unwrap();
        assert_eq!(response.status(), 200, "{}", response.text().await.unwrap());
    }

    async fn names(&self) -> Vec<String> {
        let vms: Vec<Value> = self.get("/vms").send().await.unwrap().json().await.unwrap();
        vms.iter().map(|vm| vm["name"].as_str().unwrap().to_owned()).collect()
    }

    /// Waits until the VM list is empty, or until it is not, depending on `empty`.
    async fn wait_until_empty(&self, empty: bool) {
        let changed = async { while self.names().await.is_empty() != empty {} };
        timeout(TIMEOUT, changed).await.unwrap();
    }

    async fn waiting_watches(&self) -> u64 {
        let counts: Value = self.get("/admin").send().await.unwrap().json().await.unwrap();
        counts["counts"]["waiting_watches"].as_u64().unwrap()
    }
}

async fn send(call: RequestBuilder) -> (u16, Value) {
    let response = call.send().await.unwrap();
    (response.status().as_u16(), response.json().await.unwrap())
}

/// Guards against a store that lets a writer overwrite a version that it has not read.
#[tokio::test]
async fn writes_depend_on_the_version() {
    let api = Api::start(Switches::default()).await;
    let path = "/objects/zone/kitami?if_version=";
    let steps = [
        (api.get("/objects/zone/kitami"), 404, None),
        (api.put(&format!("{path}3"), &json!({})), 409, Some(json!({"version": 0}))),
        (api.put(&format!("{path}0"), &json!({"a": 1})), 200, Some(json!({"version": 1}))),
        (api.put(&format!("{path}0"), &json!({"a": 2})), 409, Some(json!({"version": 1}))),
        (
            api.get("/objects/zone/kitami"),
            200,
            Some(json!({"kind": "zone", "name": "kitami", "version": 1, "value": {"a": 1}})),
        ),
        (api.put(&format!("{path}1"), &json!({"a": 2})), 200, Some(json!({"version": 2}))),
        (api.delete(&format!("{path}1")), 409, Some(json!({"version": 2}))),
        (api.delete(&format!("{path}2")), 200, Some(json!({"version": 3}))),
        (api.delete(&format!("{path}2")), 404, None),
        (api.put(&format!("{path}0"), &json!({})), 200, Some(json!({"version": 4}))),
        (api.put("/objects/zone/kitami", &json!({})), 400, None),
        (api.get("/objects/zones"), 400, None),
        (api.put(&format!("{path}4"), &json!("x".repeat(MAX_VALUE))), 413, None),
    ];
    for (step, (call, status, body)) in steps.into_iter().enumerate() {
        let (actual, response) = send(call).await;
        assert_eq!(actual, status, "step {step}: {response}");
        assert!(body.is_none_or(|body| body == response), "step {step}: {response}");
    }
}

/// Guards against a platform that loses a write together with its response. A writer that then retries without reading
/// the object again would seem correct.
#[tokio::test]
async fn a_write_takes_effect_although_its_response_is_lost() {
    let api = Api::start(Switches::default()).await;
    api.post("/admin", &json!({"lose_answers": 1})).await;
    let lost = api.put("/objects/lease/kitami-0?if_version=0", &json!(7)).send().await;
    assert!(lost.is_err(), "{lost:?}");
    let (status, object) = send(api.get("/objects/lease/kitami-0")).await;
    assert_eq!((status, &object["value"]), (200, &json!(7)));
    let (status, _) = send(api.put("/objects/lease/kitami-0?if_version=1", &json!(8))).await;
    assert_eq!(status, 200, "only one response is lost");
}

/// Guards against watches that return too early, miss a change or are still counted after they end.
#[tokio::test]
async fn a_watch_returns_at_a_change_or_after_its_timeout() {
    let api = Api::start(Switches::default()).await;
    let watch = "/objects/manifest/kauri/watch?timeout_ms=";
    assert_eq!(send(api.get(&format!("{watch}20&after=0"))).await.0, 404);
    let waiting = tokio::spawn(api.get(&format!("{watch}9000&after=0")).send());
    timeout(TIMEOUT, async { while api.waiting_watches().await == 0 {} }).await.unwrap();
    send(api.put("/objects/zone/other?if_version=0", &json!({}))).await;
    assert_eq!(api.waiting_watches().await, 1, "a change of another object does not end the watch");
    send(api.put("/objects/manifest/kauri?if_version=0", &json!(1))).await;
    let object: Value = waiting.await.unwrap().unwrap().json().await.unwrap();
    assert_eq!((&object["version"], &object["value"]), (&json!(2), &json!(1)));
    assert_eq!(api.waiting_watches().await, 0);
    let start = Instant::now();
    let (status, object) = send(api.get(&format!("{watch}200&after=2"))).await;
    assert_eq!((status, &object["version"]), (200, &json!(2)));
    assert!(start.elapsed() >= Duration::from_millis(200));
    assert_eq!(
        send(api.get(&format!("{watch}9000&after=1"))).await.0,
        200,
        "a watch for an old version returns at once"
    );
}

/// Guards against an outage during which calls succeed or change the store.
#[tokio::test]
async fn an_outage_fails_every_call_and_changes_nothing() {
    let api = Api::start(Switches::default()).await;
    let path = "/objects/zone/kitami?if_version=0";
    api.post("/admin", &json!({"outage": "unavailable"})).await;
    assert_eq!(send(api.put(path, &json!(1))).await.0, 503);
    api.post("/admin", &json!({"outage": "silent"})).await;
    let silent = api.put(path, &json!(1)).timeout(Duration::from_millis(100)).send().await;
    assert!(silent.unwrap_err().is_timeout());
    api.post("/admin", &json!({"outage": "none", "slow_ms": 50})).await;
    let start = Instant::now();
    assert_eq!(send(api.get("/objects/zone/kitami")).await.0, 404);
    assert!(start.elapsed() >= Duration::from_millis(50));
}

/// Guards against a VM list without lag, which would hide faults in code that relies on the list being current.
#[tokio::test]
async fn the_vm_list_shows_edits_after_the_lag() {
    let api = Api::start(Switches { vm_lag_ms: 300, ..Default::default() }).await;
    let vm = json!({"name": "b1", "role": "balancer", "zone": "kitami", "address": "127.0.0.1:1", "state": "live"});
    let start = Instant::now();
    api.post("/vms", &vm).await;
    api.wait_until_empty(false).await;
    assert!(start.elapsed() >= Duration::from_millis(300));
    let start = Instant::now();
    assert_eq!(api.delete("/vms/b1").send().await.unwrap().status(), 200);
    api.wait_until_empty(true).await;
    assert!(start.elapsed() >= Duration::from_millis(300));
}
