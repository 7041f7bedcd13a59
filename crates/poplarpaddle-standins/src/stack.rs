//! User-space TCP over raw IP packets in UDP datagrams.
//!
//! `smoltcp` scans all sockets of an interface for each packet. With thousands of connections that would take most of a
//! core, so a [`Stack`] partitions the connections by the caller's port into buckets with an interface each. It polls
//! only the buckets that have a new packet, a changed socket or an expired timer.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::mpsc::Receiver;

use etherparse::{Ipv4HeaderSlice, TcpHeaderSlice};
use eyre::{Result, eyre};
use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet};
use smoltcp::phy::{self, DeviceCapabilities, Medium};
use smoltcp::socket::tcp;
use smoltcp::time::Instant;
use smoltcp::wire::{HardwareAddress, IpAddress, IpCidr, IpEndpoint, IpListenEndpoint};

use crate::clock;
use crate::net::{Datagram, Stop};

/// Number of buckets. With 4,500 connections, a packet is compared with about 70 sockets.
const BUCKETS: usize = 64;
/// Maximum size of an IP packet, in bytes.
const MTU: usize = 1500;
/// Maximum time that [`drive`] waits for a packet, in microseconds, so that the stop flag is noticed soon.
const MAX_SLEEP: u64 = 20 * clock::MILLISECOND;
/// Maximum number of packets handled before the app runs, so that a packet flood does not delay responses.
const MAX_BATCH: usize = 256;

/// Header fields of a TCP/IPv4 packet that routing and flow tracking need.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Header {
    /// Source endpoint.
    pub source: SocketAddrV4,
    /// Destination endpoint.
    pub destination: SocketAddrV4,
    /// True if SYN is set and ACK is not.
    pub syn: bool,
    /// True if FIN or RST is set.
    pub fin_or_rst: bool,
    /// Sequence number.
    pub sequence: u32,
}

impl Header {
    /// Parses a raw IP packet. Returns `None` if it is not TCP over IPv4.
    #[must_use]
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let ip = Ipv4HeaderSlice::from_slice(bytes).ok()?;
        if ip.protocol() != etherparse::IpNumber::TCP {
            return None;
        }
        let tcp = TcpHeaderSlice::from_slice(bytes.get(ip.slice().len()..)?).ok()?;
        Some(Self {
            source: SocketAddrV4::new(ip.source_addr(), tcp.source_port()),
            destination: SocketAddrV4::new(ip.destination_addr(), tcp.destination_port()),
            syn: tcp.syn() && !tcp.ack(),
            fin_or_rst: tcp.fin() || tcp.rst(),
            sequence: tcp.sequence_number(),
        })
    }
}

/// UDP transport of the packets of a stack.
#[derive(Debug, Clone)]
pub struct Tunnel {
    /// Socket that packets are sent from.
    pub socket: Arc<UdpSocket>,
    /// UDP address of the fabric, to which packets are sent.
    pub fabric: SocketAddr,
}

/// Device of an interface, which receives one packet per poll and sends over the tunnel.
struct Device {
    tunnel: Tunnel,
    inbound: Option<Vec<u8>>,
}

struct RxToken(Vec<u8>);

impl phy::RxToken for RxToken {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, f: F) -> R {
        f(&self.0)
    }
}

struct TxToken<'a>(&'a Tunnel);

impl phy::TxToken for TxToken<'_> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, len: usize, f: F) -> R {
        let mut buffer = vec![0; len];
        let result = f(&mut buffer);
        // A datagram that cannot be sent counts as a lost packet, which TCP retransmits.
        drop(self.0.socket.send_to(&buffer, self.0.fabric));
        result
    }
}

impl phy::Device for Device {
    type RxToken<'a> = RxToken;
    type TxToken<'a> = TxToken<'a>;

    fn receive(&mut self, _now: Instant) -> Option<(RxToken, TxToken<'_>)> {
        let bytes = self.inbound.take()?;
        Some((RxToken(bytes), TxToken(&self.tunnel)))
    }

    fn transmit(&mut self, _now: Instant) -> Option<TxToken<'_>> {
        Some(TxToken(&self.tunnel))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = MTU;
        capabilities
    }
}

/// Side of the connections that a stack implements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// Opens connections from many addresses and ports.
    Caller,
    /// Listens on one address.
    Target,
}

/// Settings of a [`Stack`].
#[derive(Debug, Clone)]
pub struct Settings {
    /// Side of the connections.
    pub side: Side,
    /// Address of the stack. A caller also uses other addresses.
    pub address: Ipv4Addr,
    /// Random seed of initial sequence numbers.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { side: Side::Target, address: Ipv4Addr::LOCALHOST, seed: 0 }
    }
}

/// Buffer sizes of a connection, in bytes.
///
/// The receive buffer of one side is at least twice as large as the send buffer of the other, which keeps the window
/// above 0. With 4096 bytes for each buffer, 2 of 1,254 flows stalled under loss, duplication and reordering, because
/// the target never retransmitted unacknowledged data.
struct Buffers {
    receive: usize,
    send: usize,
}

impl Side {
    const fn buffers(self) -> Buffers {
        match self {
            Self::Caller => Buffers { receive: 8192, send: 1024 },
            Self::Target => Buffers { receive: 2048, send: 2 * 1460 },
        }
    }
}

/// Identifies a connection of a stack.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Handle {
    bucket: usize,
    socket: SocketHandle,
}

/// A socket that listens on a port.
struct Listener {
    port: u16,
    socket: SocketHandle,
}

/// A partition of the connections, with its own interface.
struct Bucket {
    interface: Interface,
    device: Device,
    sockets: SocketSet<'static>,
    listeners: Vec<Listener>,
    /// When the interface has to be polled next.
    due: u64,
    /// True if the interface has to be polled at once.
    dirty: bool,
}

/// A TCP stack for many connections.
pub struct Stack {
    settings: Settings,
    buckets: Vec<Bucket>,
    accepted: Vec<Handle>,
    ports: Vec<u16>,
    listening: bool,
}

impl fmt::Debug for Stack {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Stack").field("settings", &self.settings).finish_non_exhaustive()
    }
}

impl Stack {
    /// Returns a stack without connections that sends its packets over `tunnel`.
    #[must_use]
    pub fn new(settings: Settings, tunnel: &Tunnel) -> Self {
        let buckets = (0..BUCKETS).map(|index| Bucket::new(&settings, tunnel, index)).collect();
        Self { settings, buckets, accepted: Vec::new(), ports: Vec::new(), listening: false }
    }

    /// Sets the ports of a target and whether it listens on them. While it does not listen, a SYN gets a reset.
    pub fn listen(&mut self, ports: &[u16], listening: bool) {
        if self.listening == listening && self.ports == ports {
            return;
        }
        self.listening = listening;
        ports.clone_into(&mut self.ports);
        for bucket in &mut self.buckets {
            for listener in bucket.listeners.drain(..) {
                bucket.sockets.remove(listener.socket);
            }
            bucket.add_listeners(&self.settings, ports, listening);
        }
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if an endpoint is invalid, for example because its port is 0.
    pub fn connect(&mut self, local: SocketAddrV4, remote: SocketAddrV4) -> Result<Handle> {
        let index = usize::from(local.port()) % BUCKETS;
        let bucket = &mut self.buckets[index];
        let mut socket = socket(&self.settings);
        socket
            .connect(bucket.interface.context(), endpoint(remote), endpoint(local))
            .map_err(|error| eyre!("cannot connect {local} to {remote}: {error}"))?;
        bucket.dirty = true;
        Ok(Handle { bucket: index, socket: bucket.sockets.add(socket) })
    }

    /// Returns the socket of a connection. The next [`Stack::flush`] polls its bucket.
    pub fn socket(&mut self, handle: Handle) -> &mut tcp::Socket<'static> {
        let bucket = &mut self.buckets[handle.bucket];
        bucket.dirty = true;
        bucket.sockets.get_mut(handle.socket)
    }

    /// Returns the TCP state of a connection.
    #[must_use]
    pub fn state(&self, handle: Handle) -> tcp::State {
        self.buckets[handle.bucket].sockets.get::<tcp::Socket<'_>>(handle.socket).state()
    }

    /// Removes a connection. A segment that arrives for it later gets a reset.
    pub fn remove(&mut self, handle: Handle) {
        self.buckets[handle.bucket].sockets.remove(handle.socket);
    }

    /// Handles a received packet and returns the connections that it may have changed.
    pub fn handle_packet(&mut self, now: u64, bytes: Vec<u8>) -> Vec<Handle> {
        let Some(header) = Header::parse(&bytes) else { return Vec::new() };
        let port = match self.settings.side {
            Side::Caller => header.destination.port(),
            Side::Target => header.source.port(),
        };
        let index = usize::from(port) % BUCKETS;
        let bucket = &mut self.buckets[index];
        if header.syn && bucket.has_connection(&header) {
            return Vec::new();
        }
        bucket.handle_packet(now, bytes);
        let accepted = bucket.take_accepted();
        bucket.add_listeners(&self.settings, &self.ports, self.listening);
        self.accepted.extend(accepted.into_iter().map(|socket| Handle { bucket: index, socket }));
        bucket.sockets.iter().map(|(socket, _)| Handle { bucket: index, socket }).collect()
    }

    /// Returns the connections accepted since the last call.
    pub fn accepted(&mut self) -> Vec<Handle> {
        std::mem::take(&mut self.accepted)
    }

    /// Sends the packets that are due at `now`.
    pub fn flush(&mut self, now: u64) {
        for bucket in self.buckets.iter_mut().filter(|bucket| bucket.dirty || bucket.due <= now) {
            bucket.poll(now);
        }
    }

    /// Returns when [`Stack::flush`] has to be called next.
    #[must_use]
    pub fn due(&self) -> u64 {
        self.buckets.iter().map(|bucket| if bucket.dirty { 0 } else { bucket.due }).min().unwrap_or(u64::MAX)
    }
}

impl Bucket {
    fn new(settings: &Settings, tunnel: &Tunnel, index: usize) -> Self {
        let mut device = Device { tunnel: tunnel.clone(), inbound: None };
        let mut config = Config::new(HardwareAddress::Ip);
        // Targets with equal sequence numbers would accept each other's segments, so the seed includes the address.
        config.random_seed = interface_seed(settings.seed, settings.address, index);
        let mut interface = Interface::new(config, &mut device, instant(clock::now()));
        interface.update_ip_addrs(|addresses| {
            // The address list of a new interface is empty and has capacity for one address.
            let _pushed = addresses.push(IpCidr::new(IpAddress::Ipv4(settings.address), 32));
        });
        // A default route to itself makes the interface accept packets for every caller address.
        let _added = interface.routes_mut().add_default_ipv4_route(settings.address);
        interface.set_any_ip(settings.side == Side::Caller);
        let sockets = SocketSet::new(Vec::new());
        Self { interface, device, sockets, listeners: Vec::new(), due: u64::MAX, dirty: false }
    }

    fn handle_packet(&mut self, now: u64, bytes: Vec<u8>) {
        self.device.inbound = Some(bytes);
        self.interface.poll_ingress_single(instant(now), &mut self.device, &mut self.sockets);
        self.dirty = true;
    }

    fn poll(&mut self, now: u64) {
        self.interface.poll(instant(now), &mut self.device, &mut self.sockets);
        let due = self.interface.poll_at(instant(now), &self.sockets);
        self.due = due.map_or(u64::MAX, |due| u64::try_from(due.total_micros()).unwrap_or(0).max(now + 1));
        self.dirty = false;
    }

    /// Returns true if a connection has the endpoints of `header`.
    ///
    /// A listening socket could accept a retransmitted SYN before the socket of the connection sees it. The second
    /// connection would then reply with another sequence number.
    fn has_connection(&self, header: &Header) -> bool {
        self.sockets.iter().any(|(_, socket)| {
            let smoltcp::socket::Socket::Tcp(socket) = socket;
            socket.remote_endpoint() == Some(endpoint(header.source))
                && socket.local_endpoint() == Some(endpoint(header.destination))
        })
    }

    /// Removes and returns the listeners that became connections.
    fn take_accepted(&mut self) -> Vec<SocketHandle> {
        let sockets = &self.sockets;
        let is_accepted =
            |listener: &mut Listener| sockets.get::<tcp::Socket<'_>>(listener.socket).state() != tcp::State::Listen;
        self.listeners.extract_if(.., is_accepted).map(|listener| listener.socket).collect()
    }

    /// Adds a listener for each port without one, if the target listens.
    fn add_listeners(&mut self, settings: &Settings, ports: &[u16], listening: bool) {
        for &port in ports.iter().filter(|_| listening) {
            if self.listeners.iter().any(|listener| listener.port == port) {
                continue;
            }
            let mut socket = socket(settings);
            let address = Some(IpAddress::Ipv4(settings.address));
            if socket.listen(IpListenEndpoint { addr: address, port }).is_ok() {
                self.listeners.push(Listener { port, socket: self.sockets.add(socket) });
            }
        }
    }
}

fn socket(settings: &Settings) -> tcp::Socket<'static> {
    let Buffers { receive, send } = settings.side.buffers();
    let (receive, send) = (tcp::SocketBuffer::new(vec![0; receive]), tcp::SocketBuffer::new(vec![0; send]));
    let mut socket = tcp::Socket::new(receive, send);
    socket.set_nagle_enabled(false);
    // On loopback, a delayed ACK can exceed the minimum retransmission timeout and cause retransmissions.
    socket.set_ack_delay(None);
    socket
}

const fn endpoint(address: SocketAddrV4) -> IpEndpoint {
    IpEndpoint { addr: IpAddress::Ipv4(*address.ip()), port: address.port() }
}

fn instant(now: u64) -> Instant {
    Instant::from_micros(i64::try_from(now).unwrap_or(i64::MAX))
}

fn interface_seed(seed: u64, address: Ipv4Addr, index: usize) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&seed.to_be_bytes()).update(&address.octets()).update(&index.to_be_bytes());
    hasher.finalize().as_bytes()[..8].iter().fold(0, |sum, &byte| (sum << 8) | u64::from(byte))
}

/// An application that uses a stack.
pub trait App {
    /// Processes expired timers and the connections in `touched`, which received packets may have changed.
    fn advance(&mut self, now: u64, stack: &mut Stack, touched: &[Handle]);

    /// Returns when [`App::advance`] has to be called even if no packet arrives.
    fn due(&self) -> u64;

    /// Returns true if the app has finished.
    fn done(&self) -> bool;
}

/// Runs a stack and its app until the app has finished or `stop` is set.
pub fn drive(app: &mut impl App, stack: &mut Stack, inbox: &Receiver<Datagram>, stop: &Stop) {
    let mut touched = Vec::new();
    while !stop.is_set() && !app.done() {
        let now = clock::now();
        touched.clear();
        let deadline = app.due().min(stack.due()).min(now + MAX_SLEEP);
        let first = inbox.recv_timeout(clock::until(now, deadline)).ok();
        for datagram in first.into_iter().chain(inbox.try_iter().take(MAX_BATCH)) {
            touched.extend(stack.handle_packet(clock::now(), datagram.bytes));
        }
        touched.sort_unstable();
        touched.dedup();
        app.advance(clock::now(), stack, &touched);
        stack.flush(clock::now());
    }
}
