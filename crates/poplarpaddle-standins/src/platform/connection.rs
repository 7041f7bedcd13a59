//! HTTP connections that can be aborted before the response is sent.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::{io, time::Duration};

use axum::extract::connect_info::Connected;
use axum::serve::IncomingStream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Aborts one connection.
#[derive(Debug, Clone, Default)]
pub struct AbortHandle(Arc<AtomicBool>);

impl AbortHandle {
    /// Makes every further read and write fail, so that the connection closes without a response.
    pub fn abort(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn check(&self) -> io::Result<()> {
        if self.0.load(Ordering::Acquire) { Err(io::ErrorKind::ConnectionAborted.into()) } else { Ok(()) }
    }
}

impl Connected<IncomingStream<'_, Listener>> for AbortHandle {
    fn connect_info(stream: IncomingStream<'_, Listener>) -> Self {
        stream.io().abort.clone()
    }
}

/// Listener whose connections carry an [`AbortHandle`].
#[derive(Debug)]
pub struct Listener(pub TcpListener);

impl axum::serve::Listener for Listener {
    type Io = Connection;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Connection, SocketAddr) {
        loop {
            match self.0.accept().await {
                Ok((stream, address)) => return (Connection { stream, abort: AbortHandle::default() }, address),
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }
}

/// A TCP connection with an [`AbortHandle`].
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    abort: AbortHandle,
}

impl AsyncRead for Connection {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        self.abort.check()?;
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.abort.check()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
