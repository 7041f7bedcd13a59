//! Messages between peers, encoded with `rmp-serde` and sent over HTTP.
//!
//! ```no_run
//! # async fn example() -> Result<(), poplarpaddle::error::Error> {
//! use std::time::Duration;
//! use poplarpaddle_io::{clock::Clock, peer::Client};
//!
//! let client = Client::new(None)?;
//! let deadline = Clock::new().now() + Duration::from_millis(500);
//! let manifest = client.fetch("127.0.0.1:7000".parse().unwrap(), "/peer/manifest", deadline).await?;
//! # Ok(()) }
//! ```

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use poplarpaddle::error::{Error, Kind, Result};
use poplarpaddle::time::Time;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::clock::Clock;
use crate::http;
use crate::store::{read_body, root_cause};

/// Media type of peer messages.
pub const MEDIA_TYPE: &str = "application/msgpack";

/// Maximum size of a gossip message, in bytes.
pub const MESSAGE_LIMIT: usize = 64 << 10;

/// Maximum size of a manifest or part, in bytes. The store accepts values of up to 1 MB.
pub const VALUE_LIMIT: usize = 1 << 20;

/// Maximum size of a state transfer of hosts and routes, in bytes; 73,000 hosts and 11,000 routes take 4.8 MB.
pub const TRANSFER_LIMIT: usize = 16 << 20;

/// Timeout of establishing a TCP connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// HTTP client for messages to other balancers and for polls of targets.
#[derive(Debug, Clone)]
pub struct Client {
    client: reqwest::Client,
    clock: Clock,
}

impl Client {
    /// Returns a client that connects from the address `source`, or from any address of the machine if none is given.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP client cannot be set up.
    pub fn new(source: Option<IpAddr>) -> Result<Self> {
        let client = http::client()
            .local_address(source)
            .connect_timeout(CONNECT_TIMEOUT)
            .build()
            .map_err(|error| Error::new(Kind::Io, format!("cannot set up the HTTP client: {error}")))?;
        Ok(Self { client, clock: Clock::new() })
    }

    /// Posts `message` to `path` of the peer at `address` and returns the decoded response.
    ///
    /// # Errors
    ///
    /// [`Kind::Unavailable`] without a successful response of at most [`MESSAGE_LIMIT`] bytes before `deadline`,
    /// [`Kind::Missing`] for status 404, [`Kind::Message`] when the response cannot be decoded, [`Kind::Internal`] when
    /// the message cannot be encoded.
    pub async fn post<M: Serialize + Sync, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &M,
        deadline: Time,
    ) -> Result<A> {
        let request = self
            .client
            .post(format!("http://{address}{path}"))
            .header(reqwest::header::CONTENT_TYPE, MEDIA_TYPE)
            .body(encode(message)?);
        let response = self.send(request, address, path, MESSAGE_LIMIT, deadline).await?;
        decode(&response)
    }

    /// Returns the bytes at `path` of the HTTP server at `address`.
    ///
    /// # Errors
    ///
    /// [`Kind::Unavailable`] without a successful response of at most [`VALUE_LIMIT`] bytes before `deadline`,
    /// [`Kind::Missing`] for status 404.
    pub async fn fetch(&self, address: SocketAddr, path: &str, deadline: Time) -> Result<Vec<u8>> {
        self.fetch_up_to(VALUE_LIMIT, address, path, deadline).await
    }

    /// Returns the bytes at `path` of the HTTP server at `address`, which may be at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// The same as [`Self::fetch`], with `limit` as the maximum size.
    pub async fn fetch_up_to(&self, limit: usize, address: SocketAddr, path: &str, deadline: Time) -> Result<Vec<u8>> {
        let request = self.client.get(format!("http://{address}{path}"));
        self.send(request, address, path, limit, deadline).await
    }

    async fn send(
        &self,
        request: reqwest::RequestBuilder,
        address: SocketAddr,
        path: &str,
        limit: usize,
        deadline: Time,
    ) -> Result<Vec<u8>> {
        let unavailable =
            |message: String| Error::new(Kind::Unavailable, format!("no response from {address}{path}: {message}"));
        let request = request.timeout(self.clock.until(deadline));
        let mut response = request.send().await.map_err(|error| unavailable(root_cause(&error)))?;
        let status = response.status();
        if status == reqwest::StatusCode::NOT_FOUND {
            return Err(Error::new(Kind::Missing, format!("{address} does not have {path}")));
        }
        if !status.is_success() {
            return Err(unavailable(format!("status {status}")));
        }
        read_body(&mut response, limit).await.map_err(unavailable)
    }
}

/// Encodes a peer message.
///
/// # Errors
///
/// [`Kind::Internal`] when the type cannot be encoded.
pub fn encode<M: Serialize>(message: &M) -> Result<Vec<u8>> {
    rmp_serde::to_vec(message).map_err(|error| Error::new(Kind::Internal, format!("cannot encode a message: {error}")))
}

/// Decodes a peer message.
///
/// # Errors
///
/// [`Kind::Message`] with the cause when the bytes are not a message of this type.
pub fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<M> {
    rmp_serde::from_slice(bytes)
        .map_err(|error| Error::new(Kind::Message, format!("{} bytes are not a peer message: {error}", bytes.len())))
}
