//! UDP transport of raw IP packets, IPv4 prefixes and the stop flag of threads.

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

/// Capacity of the queue between the receiving thread and its consumer. Further datagrams are dropped, as on a
/// congested link.
const QUEUE_DATAGRAMS: usize = 65_536;
/// Longest UDP payload over IPv4, in bytes.
const MAX_DATAGRAM: usize = 65_507;
/// Read timeout of sockets, which bounds the time until the receiving thread notices the stop flag.
const STOP_CHECK: Duration = Duration::from_millis(100);

/// A received UDP datagram.
#[derive(Debug, Clone)]
pub struct Datagram {
    /// Address of the sender.
    pub from: SocketAddr,
    /// Payload, one raw IP packet.
    pub bytes: Vec<u8>,
}

/// Stop flag that threads share.
#[derive(Debug, Clone, Default)]
pub struct Stop(Arc<AtomicBool>);

impl Stop {
    /// Sets the flag.
    pub fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Returns true once [`Stop::set`] was called.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Binds a UDP socket with a read timeout.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn bind(address: SocketAddr) -> Result<Arc<UdpSocket>> {
    let socket = UdpSocket::bind(address).wrap_err_with(|| format!("cannot bind UDP address {address}"))?;
    socket.set_read_timeout(Some(STOP_CHECK))?;
    Ok(Arc::new(socket))
}

/// Spawns a thread that moves datagrams from the socket into a queue until `stop` is set.
///
/// The standard library cannot enlarge the receive buffer of the socket, which holds a few hundred small datagrams. A
/// dedicated thread drains it fast enough for bursts of a few thousand.
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

/// An IPv4 prefix, such as `127.20.0.0/16`. An address without a length is a prefix of 32 bits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Prefix {
    address: Ipv4Addr,
    bits: u8,
}

impl Prefix {
    /// Returns true if the prefix contains `address`.
    #[must_use]
    pub fn contains(&self, address: Ipv4Addr) -> bool {
        u32::from(address) & self.mask() == u32::from(self.address)
    }

    /// Returns the first address of the prefix.
    #[must_use]
    pub const fn address(&self) -> Ipv4Addr {
        self.address
    }

    /// Returns the number of addresses in the prefix.
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
            bail!("prefix length {bits} is greater than 32");
        }
        let prefix = Self { address, bits };
        if !prefix.contains(address) {
            bail!("prefix {text:?} has address bits set beyond its length");
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
