//! Links between machines, which forward TCP connections and UDP datagrams from a listen address to a fixed receiver.
//!
//! The admin interface cuts links, delays their traffic or drops datagrams. A connection over a cut link stays open but
//! transfers no bytes, as when a zone is partitioned, and resumes after the cut ends.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use axum::extract::State as Extract;
use axum::extract::rejection::JsonRejection;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use eyre::{Result, WrapErr};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;

use crate::http;
use crate::net::Prefix;

/// Maximum number of bytes read from a connection at once.
const CHUNK_BYTES: usize = 64 << 10;
/// Maximum size of a UDP datagram, in bytes.
const MAX_DATAGRAM: usize = 65_535;
/// Pause after a failed accept or receive, for example when the process is out of file descriptors.
const ERROR_PAUSE: Duration = Duration::from_millis(20);

/// A listen address and the address that its traffic is forwarded to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Route {
    /// Address that senders connect or send to.
    pub listen: SocketAddr,
    /// Address of the receiver.
    pub to: SocketAddr,
}

/// Faults that the links inject.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Pairs of prefixes between which links are cut in both directions.
    pub cut: Vec<(Prefix, Prefix)>,
    /// Delay of every chunk and datagram, in milliseconds.
    pub delay_ms: u64,
    /// Fraction of datagrams lost, 0 to 1.
    pub loss: f64,
}

impl Faults {
    /// Returns true if the link from `sender` along `route` is cut. The listen address is matched like the sender's
    /// address, so that a zone can have its own link to a shared receiver.
    #[must_use]
    pub fn is_cut(&self, sender: IpAddr, route: &Route) -> bool {
        let within = |prefix: &Prefix, address: IpAddr| match address {
            IpAddr::V4(address) => prefix.contains(address),
            IpAddr::V6(_) => false,
        };
        let matches = |downstream: &Prefix, upstream: &Prefix| {
            (within(downstream, sender) || within(downstream, route.listen.ip())) && within(upstream, route.to.ip())
        };
        self.cut.iter().any(|(first, second)| matches(first, second) || matches(second, first))
    }
}

/// Forwards traffic and serves `/admin` on `listener` until the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if an address cannot be bound, or if the listener or the signal handler fails.
pub async fn serve(listener: TcpListener, tcp: &[Route], udp: &[Route], seed: u64) -> Result<()> {
    let faults = Arc::new(watch::Sender::new(Faults::default()));
    for &route in tcp {
        let bound = TcpListener::bind(route.listen).await;
        let bound = bound.wrap_err_with(|| format!("cannot bind TCP address {}", route.listen))?;
        tokio::spawn(accept(bound, route, faults.subscribe()));
    }
    for (index, &route) in (0..).zip(udp) {
        let bound = UdpSocket::bind(route.listen).await;
        let bound = bound.wrap_err_with(|| format!("cannot bind UDP address {}", route.listen))?;
        tokio::spawn(forward_datagrams(Arc::new(bound), route, faults.subscribe(), seed + index));
    }
    let router = Router::new().route("/admin", get(get_faults).post(replace_faults)).with_state(faults);
    tokio::select! {
        result = async { axum::serve(listener, router).await } => result?,
        result = http::terminated() => result?,
    }
    Ok(())
}

async fn get_faults(Extract(faults): Extract<Arc<watch::Sender<Faults>>>) -> Json<Faults> {
    Json(faults.borrow().clone())
}

/// Replaces all faults. A missing field is reset to its default.
async fn replace_faults(
    Extract(faults): Extract<Arc<watch::Sender<Faults>>>,
    body: Result<Json<Faults>, JsonRejection>,
) -> Response {
    let update = match body {
        Ok(Json(update)) => update,
        Err(rejection) => return http::rejected(&rejection),
    };
    if !(0.0..=1.0).contains(&update.loss) {
        return http::failure(StatusCode::BAD_REQUEST, &format!("loss {:?} is not in 0..=1", update.loss));
    }
    faults.send_replace(update);
    Json(serde_json::json!({})).into_response()
}

async fn accept(listener: TcpListener, route: Route, faults: watch::Receiver<Faults>) {
    loop {
        match listener.accept().await {
            Ok((stream, sender)) => drop(tokio::spawn(forward_connection(stream, sender.ip(), route, faults.clone()))),
            Err(_) => tokio::time::sleep(ERROR_PAUSE).await,
        }
    }
}

/// Forwards one connection. An error closes both ends; neither end learns its cause.
async fn forward_connection(downstream: TcpStream, sender: IpAddr, route: Route, mut faults: watch::Receiver<Faults>) {
    if wait_while_cut(&mut faults, sender, &route).await.is_none() {
        return;
    }
    let Ok(upstream) = TcpStream::connect(route.to).await else { return };
    let (downstream_read, downstream_write) = downstream.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    tokio::select! {
        () = copy(downstream_read, upstream_write, sender, route, faults.clone()) => {}
        () = copy(upstream_read, downstream_write, sender, route, faults) => {}
    }
}

/// Copies bytes until one end closes. The cut is checked after each read, so that bytes in transit when it begins are
/// held back.
async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    sender: IpAddr,
    route: Route,
    mut faults: watch::Receiver<Faults>,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let Ok(length @ 1..) = from.read(&mut buffer).await else { return };
        let Some(delay) = wait_while_cut(&mut faults, sender, &route).await else { return };
        tokio::time::sleep(delay).await;
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// Waits until the route is not cut and returns its delay, or `None` if the process stops.
async fn wait_while_cut(faults: &mut watch::Receiver<Faults>, sender: IpAddr, route: &Route) -> Option<Duration> {
    let faults = faults.wait_for(|faults| !faults.is_cut(sender, route)).await.ok()?;
    Some(Duration::from_millis(faults.delay_ms))
}

async fn forward_datagrams(socket: Arc<UdpSocket>, route: Route, faults: watch::Receiver<Faults>, seed: u64) {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(ERROR_PAUSE).await;
            continue;
        };
        let (delay, dropped) = {
            let faults = faults.borrow();
            let lost = faults.loss > 0.0 && rng.random_bool(faults.loss);
            (Duration::from_millis(faults.delay_ms), lost || faults.is_cut(sender.ip(), &route))
        };
        if dropped {
            continue;
        }
        if delay.is_zero() {
            // A datagram that cannot be sent counts as lost.
            drop(socket.send_to(&buffer[..length], route.to).await);
            continue;
        }
        let (socket, datagram) = (Arc::clone(&socket), buffer[..length].to_vec());
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            drop(socket.send_to(&datagram, route.to).await);
        });
    }
}
