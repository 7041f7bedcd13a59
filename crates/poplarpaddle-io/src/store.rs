//! Client of the platform's object API, which uses JSON over HTTP.
//!
//! [`Http`] sends each call once and never retries. Retries, retry budgets and reading back after a write belong to the
//! core, which knows the purpose of a call. A write without a valid response is reported as [`Outcome::Unknown`],
//! because it may have taken effect.

use std::time::Duration;

use eyre::{Context as _, ensure};
use poplarpaddle::error::{Error, Kind};
use poplarpaddle::store::{Call, Object, Outcome, Pending, Store, Vm};
use poplarpaddle::time::Time;
use reqwest::{Method, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::clock::Clock;
use crate::http;

/// Timeout of establishing a TCP connection to the store. A connection that takes longer counts as an outage.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a response, in bytes. A list of values of up to 1 MB each has to fit.
const MAX_RESPONSE: usize = 256 << 20;

/// HTTP client of the object API.
#[derive(Debug, Clone)]
pub struct Http {
    client: reqwest::Client,
    url: String,
    clock: Clock,
}

/// Response to a write: the current version of the object.
#[derive(Deserialize)]
struct Version {
    version: u64,
}

/// HTTP response, or the reason why there is none.
enum Reply {
    Response(StatusCode, Vec<u8>),
    /// The request did not reach the store.
    Unsent(String),
    /// The request may have reached the store.
    Lost(String),
}

impl Http {
    /// Returns a client for the store at `url`, such as `http://127.0.0.1:9000`.
    ///
    /// # Errors
    ///
    /// Fails when `url` is not an `http` URL or the client cannot be set up.
    pub fn new(url: &str) -> eyre::Result<Self> {
        let parsed = reqwest::Url::parse(url).wrap_err_with(|| format!("store URL {url:?} is not a valid URL"))?;
        ensure!(parsed.scheme() == "http", "store URL {url:?} must start with http://");
        let client = http::client().connect_timeout(CONNECT_TIMEOUT).build()?;
        Ok(Self { client, url: url.trim_end_matches('/').to_owned(), clock: Clock::new() })
    }

    async fn perform(&self, call: &Call, deadline: Time) -> Outcome {
        match call {
            Call::List { kind } => self.read_list(&format!("/objects/{kind}"), &[], deadline, Outcome::Objects).await,
            Call::Vms => self.read_list("/vms", &[], deadline, |vms: Vec<Vm>| Outcome::Vms(vms)).await,
            Call::Get { kind, name } => self.read_object(&format!("/objects/{kind}/{name}"), &[], deadline).await,
            Call::Watch { kind, name, after, deadline: until } => {
                let wait = self.clock.until(*until).as_millis();
                let query = [("after", after.to_string()), ("timeout_ms", wait.to_string())];
                self.read_object(&format!("/objects/{kind}/{name}/watch"), &query, deadline).await
            }
            Call::Put { kind, name, version, value } => {
                let path = format!("/objects/{kind}/{name}");
                self.write(Method::PUT, &path, *version, Some(value), deadline).await
            }
            Call::Delete { kind, name, version } => {
                let path = format!("/objects/{kind}/{name}");
                self.write(Method::DELETE, &path, *version, None, deadline).await
            }
        }
    }

    /// Reads a list and converts it to an outcome with `outcome`.
    async fn read_list<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, String)],
        deadline: Time,
        outcome: impl FnOnce(T) -> Outcome,
    ) -> Outcome {
        match self.send(Method::GET, path, query, None, deadline).await {
            Reply::Response(StatusCode::OK, body) => match decode(path, &body) {
                Ok(value) => outcome(value),
                Err(error) => Outcome::Failed(error),
            },
            other => Outcome::Failed(failure(path, other)),
        }
    }

    /// Reads a single object.
    async fn read_object(&self, path: &str, query: &[(&str, String)], deadline: Time) -> Outcome {
        match self.send(Method::GET, path, query, None, deadline).await {
            Reply::Response(StatusCode::NOT_FOUND, _) => Outcome::Object(None),
            Reply::Response(StatusCode::OK, body) => match decode::<Object>(path, &body) {
                Ok(object) => Outcome::Object(Some(object)),
                Err(error) => Outcome::Failed(error),
            },
            other => Outcome::Failed(failure(path, other)),
        }
    }

    /// Writes or deletes an object if its current version is `version`.
    async fn write(
        &self,
        method: Method,
        path: &str,
        version: u64,
        value: Option<&serde_json::Value>,
        deadline: Time,
    ) -> Outcome {
        let query = [("if_version", version.to_string())];
        match self.send(method, path, &query, value, deadline).await {
            Reply::Response(StatusCode::OK, body) => match decode::<Version>(path, &body) {
                Ok(version) => Outcome::Written(version.version),
                Err(_) => Outcome::Unknown,
            },
            Reply::Response(StatusCode::CONFLICT, body) => match decode::<Version>(path, &body) {
                Ok(version) => Outcome::Conflict(version.version),
                Err(_) => Outcome::Unknown,
            },
            Reply::Response(StatusCode::NOT_FOUND, _) => Outcome::Conflict(0),
            Reply::Response(status, _) if status.is_server_error() => Outcome::Unknown,
            Reply::Lost(_) => Outcome::Unknown,
            other => Outcome::Failed(failure(path, other)),
        }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        query: &[(&str, String)],
        value: Option<&serde_json::Value>,
        deadline: Time,
    ) -> Reply {
        let mut request =
            self.client.request(method, format!("{}{path}", self.url)).query(query).timeout(self.clock.until(deadline));
        if let Some(value) = value {
            request = request.json(value);
        }
        match request.send().await {
            Ok(mut response) => match read_body(&mut response, MAX_RESPONSE).await {
                Ok(body) => Reply::Response(response.status(), body),
                Err(message) => Reply::Lost(message),
            },
            Err(error) if error.is_connect() || error.is_builder() => Reply::Unsent(root_cause(&error)),
            Err(error) => Reply::Lost(root_cause(&error)),
        }
    }
}

impl Store for Http {
    fn call<'a>(&'a self, call: &'a Call, deadline: Time) -> Pending<'a> {
        Box::pin(self.perform(call, deadline))
    }
}

/// Reads the body of a response of at most `limit` bytes.
///
/// # Errors
///
/// Returns a message with the cause if the body cannot be read or is longer than `limit`.
pub async fn read_body(response: &mut reqwest::Response, limit: usize) -> Result<Vec<u8>, String> {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(|error| root_cause(&error))? {
        if body.len() + chunk.len() > limit {
            return Err(format!("response is longer than {limit} bytes"));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

/// Returns the message of the innermost source of `error`, which describes the cause better than the outer messages.
#[must_use]
pub fn root_cause(error: &reqwest::Error) -> String {
    let mut message = error.to_string();
    let mut source = std::error::Error::source(error);
    while let Some(inner) = source {
        message = inner.to_string();
        source = inner.source();
    }
    message
}

fn decode<T: DeserializeOwned>(path: &str, body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|error| {
        Error::new(Kind::Unavailable, format!("cannot decode the store's response to {path}: {error}"))
    })
}

/// Returns the error for a reply that is not a successful response.
fn failure(path: &str, reply: Reply) -> Error {
    match reply {
        Reply::Response(StatusCode::PAYLOAD_TOO_LARGE, _) => {
            Error::new(Kind::Limit, format!("store rejected the value of {path}: larger than 1 MB"))
        }
        Reply::Response(status, body) => {
            let text = String::from_utf8_lossy(&body[..body.len().min(200)]).into_owned();
            Error::new(Kind::Unavailable, format!("store responded to {path} with status {status}: {text}"))
        }
        Reply::Unsent(message) | Reply::Lost(message) => {
            Error::new(Kind::Unavailable, format!("no response from the store to {path}: {message}"))
        }
    }
}
