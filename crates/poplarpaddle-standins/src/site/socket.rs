//! Tasks that turn what arrives at sockets into events of a run.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use eyre::{Result, WrapErr};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use super::run::Event;

/// Interval and timeout of the readiness checks that routers send to a balancer.
const READINESS_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM: usize = 2048;

/// Spawns a task that accepts the connections to a host and closes them.
pub(super) async fn spawn_acceptor(address: SocketAddrV4) -> Result<AbortHandle> {
    let listener = TcpListener::bind(address).await.wrap_err("cannot listen for connections to a host")?;
    let task = tokio::spawn(async move { while listener.accept().await.is_ok() {} });
    Ok(task.abort_handle())
}

/// Spawns a task that forwards the datagrams of a socket as events.
pub(super) fn spawn_receiver(
    socket: std::sync::Arc<UdpSocket>,
    sender: mpsc::UnboundedSender<Event>,
    wrap: impl Fn(Vec<u8>) -> Event + Send + 'static,
) {
    tokio::spawn(async move {
        let mut buffer = vec![0; MAX_DATAGRAM];
        while let Ok((length, _)) = socket.recv_from(&mut buffer).await {
            if sender.send(wrap(buffer[..length].to_vec())).is_err() {
                return;
            }
        }
    });
}

/// Spawns a task that checks the readiness of a balancer periodically.
pub(super) fn poll_readiness(index: usize, address: SocketAddr, sender: mpsc::UnboundedSender<Event>) {
    tokio::spawn(async move {
        let client = reqwest::Client::new();
        loop {
            let url = format!("http://{address}/poplarpaddle/ready");
            let response = client.get(url).timeout(READINESS_INTERVAL).send().await;
            let ready = response.is_ok_and(|response| response.status().is_success());
            if sender.send(Event::Ready(index, ready)).is_err() {
                return;
            }
            tokio::time::sleep(READINESS_INTERVAL).await;
        }
    });
}
