//! UDP carrier of raw IP packets and address prefixes.

use std::fmt;
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use eyre::{Result, WrapErr, bail, eyre};
use serde::{Deserialize, Serialize};

/// Datagrams that wait between the reading thread and its user; a burst beyond it is dropped like on a full link.
const QUEUE_DATAGRAMS: usize = 65_536;
/// Longest UDP payload over IPv4, in bytes.
const MAX_DATAGRAM: usize = 65_507;
/// How often the reading thread looks at the stop flag.
const STOP_CHECK: Duration = Duration::from_millis(100);

/// A received datagram.
#[derive(Debug, Clone)]
pub struct Datagram {
    /// Sender.
    pub from: SocketAddr,
    /// One raw IP packet.
    pub bytes: Vec<u8>,
}

/// Tells threads to stop.
#[derive(Debug, Clone, Default)]
pub struct Stop(Arc<AtomicBool>);

impl Stop {
    /// Asks all holders to stop.
    pub fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Returns true after [`Stop::set`].
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Binds a UDP socket.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn bind(address: SocketAddr) -> Result<Arc<UdpSocket>> {
    let socket = UdpSocket::bind(address).wrap_err_with(|| format!("cannot bind UDP address {address}"))?;
    socket.set_read_timeout(Some(STOP_CHECK))?;
    Ok(Arc::new(socket))
}

/// Starts a thread that moves datagrams from the socket into a queue until `stop` is set.
///
/// The standard library cannot enlarge the socket's own buffer, which holds a few hundred small datagrams. A thread
/// that does nothing else empties it fast enough for bursts of a few thousand.
#[must_use]
pub fn spawn_receiver(socket: Arc<UdpSocket>, stop: Stop) -> Receiver<Datagram> {
    let (sender, receiver) = sync_channel(QUEUE_DATAGRAMS);
    thread::spawn(move || receive(&socket, &stop, &sender));
    receiver
}

fn receive(socket: &UdpSocket, stop: &Stop, sender: &SyncSender<Datagram>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    while !stop.is_set() {
        match socket.recv_from(&mut buffer) {
            Ok((length, from)) => drop(sender.try_send(Datagram { from, bytes: buffer[..length].to_vec() })),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => thread::sleep(Duration::from_millis(1)),
        }
    }
}

/// An IPv4 prefix, such as `127.20.0.0/16`; a bare address is a prefix of 32 bits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Prefix {
    address: Ipv4Addr,
    bits: u8,
}

impl Prefix {
    /// Returns true when the address is in the prefix.
    #[must_use]
    pub fn contains(&self, address: Ipv4Addr) -> bool {
        u32::from(address) & self.mask() == u32::from(self.address)
    }

    /// Returns the first address.
    #[must_use]
    pub const fn address(&self) -> Ipv4Addr {
        self.address
    }

    /// Returns the number of addresses.
    #[must_use]
    pub const fn size(&self) -> u64 {
        1 << (32 - self.bits)
    }

    fn mask(self) -> u32 {
        u32::MAX.checked_shl(u32::from(32 - self.bits)).unwrap_or(0)
    }
}

impl FromStr for Prefix {
    type Err = eyre::Report;

    fn from_str(text: &str) -> Result<Self> {
        let (address, bits) = text.split_once('/').unwrap_or((text, "32"));
        let address = address.parse().map_err(|error| eyre!("address {address:?}: {error}"))?;
        let bits = bits.parse().map_err(|error| eyre!("prefix length {bits:?}: {error}"))?;
        if bits > 32 {
            bail!("prefix length {bits} is over 32");
        }
        let prefix = Self { address, bits };
        if !prefix.contains(address) {
            bail!("prefix {text:?} has address bits behind its length");
        }
        Ok(prefix)
    }
}

impl TryFrom<String> for Prefix {
    type Error = eyre::Report;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<Prefix> for String {
    fn from(prefix: Prefix) -> Self {
        prefix.to_string()
    }
}

impl fmt::Display for Prefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.address, self.bits)
    }
}
