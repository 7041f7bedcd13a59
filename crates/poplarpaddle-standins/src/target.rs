//! Target host that runs the requests of one service.

use std::collections::{HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};

use smoltcp::socket::tcp;

use crate::clock;
use crate::net::{self, Stop};
use crate::protocol::{Request, Response};
use crate::record::{LateOpening, Misrouted, Record, Recorder, Run, Summary};
use crate::stack::{self, App, Handle, Stack, Tunnel};

pub mod http;
pub mod scheduler;

use scheduler::{Event, Job, Origin, Scheduler, ServiceTime};

/// Time after which a connection in a transient TCP state, such as an unfinished handshake or close, is aborted, in
/// microseconds.
const TRANSIENT_TIMEOUT: u64 = 10 * clock::SECOND;
/// Interval between scans for connections in a transient TCP state, in microseconds.
const SWEEP_INTERVAL: u64 = clock::SECOND;

/// Settings of a target.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address of the host, which is the source of its packets.
    pub address: Ipv4Addr,
    /// TCP ports that accept connections.
    pub ports: Vec<u16>,
    /// Service that the target runs.
    pub service: String,
    /// UDP address of the fabric.
    pub fabric: SocketAddr,
    /// Number of requests that run concurrently.
    pub slots: usize,
    /// Queue length at which new connections are refused.
    pub queue: usize,
    /// Number of open connections at which new connections are refused.
    pub connections: usize,
    /// Distribution of service times.
    pub service_time: ServiceTime,
    /// Random seed of service times and sequence numbers.
    pub seed: u64,
}

/// Status that the TCP side publishes to the HTTP side. The HTTP side may change only `draining`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Status {
    /// When the drain began, in microseconds, or `None` if the target does not drain.
    pub draining: Option<u64>,
    /// Number of slots in use.
    pub busy: usize,
    /// Number of queued requests.
    pub waiting: usize,
    /// Number of open connections.
    pub connections: usize,
    /// Number of requests started so far.
    pub started: u64,
    /// Number of connections accepted so far.
    pub accepted: u64,
    /// Number of requests received for other services.
    pub misrouted: u64,
    /// True while new connections are refused.
    pub shedding: bool,
}

/// Handle to the status that the TCP and the HTTP side share.
pub type State = Arc<Mutex<Status>>;

/// State of a connection of a caller.
struct Connection {
    /// Serial number, see [`Origin::serial`].
    serial: u64,
    /// When the connection entered a transient TCP state, if it is in one.
    transient_since: Option<u64>,
    inbound: VecDeque<u8>,
    outbound: VecDeque<u8>,
    /// Number of queued or running requests.
    unanswered: usize,
}

/// The TCP side of a target.
pub struct Target {
    settings: Settings,
    state: State,
    recorder: Recorder,
    scheduler: Scheduler,
    connections: HashMap<Handle, Connection>,
    /// Connections that are not read because the queue is full.
    stalled: VecDeque<Handle>,
    status: Status,
    sweep_at: u64,
}

impl std::fmt::Debug for Target {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Target").field("settings", &self.settings).finish_non_exhaustive()
    }
}

/// Runs the TCP side over `socket` until `stop` is set, then writes a summary.
pub fn run(settings: Settings, socket: Arc<UdpSocket>, state: State, recorder: &Recorder, stop: &Stop) {
    let tunnel = Tunnel { socket, fabric: settings.fabric };
    let inbox = net::spawn_receiver(Arc::clone(&tunnel.socket), stop.clone());
    let mut stack =
        Stack::new(stack::Settings { address: settings.address, seed: settings.seed, ..Default::default() }, &tunnel);
    stack.listen(&settings.ports, true);
    let mut target = Target::new(settings, state, recorder.clone());
    stack::drive(&mut target, &mut stack, &inbox, stop);
    recorder.write(&Record::Summary(target.summary()));
}

impl Target {
    /// Returns a target without connections.
    #[must_use]
    pub fn new(settings: Settings, state: State, recorder: Recorder) -> Self {
        let scheduler = Scheduler::new(settings.slots, settings.queue, settings.service_time, settings.seed);
        Self {
            settings,
            state,
            recorder,
            scheduler,
            connections: HashMap::new(),
            stalled: VecDeque::new(),
            status: Status::default(),
            sweep_at: 0,
        }
    }

    fn summary(&self) -> Summary {
        let counts = [
            ("accepted", self.status.accepted),
            ("started", self.scheduler.started()),
            ("misrouted", self.status.misrouted),
            ("unfinished", self.scheduler.busy() as u64),
        ];
        let counts = counts.into_iter().map(|(name, count)| (name.to_owned(), count)).collect();
        Summary { process: format!("target {}", self.settings.address), counts }
    }

    fn accept(&mut self, now: u64, stack: &mut Stack) {
        for handle in stack.accepted() {
            self.status.accepted += 1;
            let connection = Connection {
                serial: self.status.accepted,
                transient_since: None,
                inbound: VecDeque::new(),
                outbound: VecDeque::new(),
                unanswered: 0,
            };
            self.connections.insert(handle, connection);
            self.record_late_opening(now, handle, stack);
        }
    }

    fn record_late_opening(&self, now: u64, handle: Handle, stack: &mut Stack) {
        let Some(since) = self.status.draining else { return };
        let caller = stack.socket(handle).remote_endpoint().map(|caller| caller.to_string()).unwrap_or_default();
        let target = self.settings.address.to_string();
        self.recorder.write(&Record::LateOpening(LateOpening { target, caller, after_us: now.saturating_sub(since) }));
    }

    fn serve(&mut self, now: u64, handle: Handle, stack: &mut Stack) {
        // The handle may be that of a listener or of a connection that was removed in the meantime.
        if !self.connections.contains_key(&handle) || self.remove_if_closed(handle, stack) {
            return;
        }
        self.receive(now, handle, stack);
        self.send(handle, stack);
    }

    fn remove_if_closed(&mut self, handle: Handle, stack: &mut Stack) -> bool {
        let closed = matches!(stack.state(handle), tcp::State::Closed | tcp::State::Listen | tcp::State::TimeWait);
        if closed && let Some(connection) = self.connections.remove(&handle) {
            self.scheduler.cancel(Origin { handle, serial: connection.serial });
            stack.remove(handle);
        }
        closed
    }

    /// Reads requests while the queue has free capacity. When it is full, the TCP window throttles the caller.
    fn receive(&mut self, now: u64, handle: Handle, stack: &mut Stack) {
        let Some(connection) = self.connections.get_mut(&handle) else { return };
        loop {
            if self.scheduler.is_full() {
                self.stalled.push_back(handle);
                return;
            }
            match Request::decode(&mut connection.inbound) {
                Ok(Some(request)) if request.service == self.settings.service => {
                    connection.unanswered += 1;
                    self.scheduler.enqueue(Job { origin: Origin { handle, serial: connection.serial }, request });
                }
                Ok(Some(request)) => return self.reject_misrouted(now, handle, request, stack),
                Ok(None) if read(connection, stack.socket(handle)) => {}
                Ok(None) => return,
                Err(_) => return stack.socket(handle).abort(),
            }
        }
    }

    fn reject_misrouted(&mut self, now: u64, handle: Handle, request: Request, stack: &mut Stack) {
        self.status.misrouted += 1;
        self.recorder.write(&Record::Misrouted(Misrouted {
            id: request.id,
            service: request.service,
            target: self.settings.address.to_string(),
            target_service: self.settings.service.clone(),
            time_us: now,
        }));
        stack.socket(handle).abort();
    }

    fn send(&mut self, handle: Handle, stack: &mut Stack) {
        let Some(connection) = self.connections.get_mut(&handle) else { return };
        let socket = stack.socket(handle);
        fill_send_buffer(&mut connection.outbound, socket);
        let answered = connection.unanswered == 0 && connection.outbound.is_empty() && connection.inbound.is_empty();
        if answered && socket.state() == tcp::State::CloseWait && !socket.can_recv() {
            socket.close();
        }
    }

    /// Responds to finished and expired requests, starts queued ones and then reads from the stalled connections.
    fn process_events(&mut self, now: u64, stack: &mut Stack) {
        while let Some(event) = self.scheduler.next_event(now) {
            match event {
                Event::Started(job, end) => self.record_run(now, job.request, end),
                Event::Finished(job) => self.respond(job.origin, &Response::expected(&job.request), stack),
                Event::Expired(job) => self.respond(job.origin, &Response::expired(&job.request), stack),
            }
        }
        let stalled = if self.scheduler.is_full() { VecDeque::new() } else { std::mem::take(&mut self.stalled) };
        for handle in stalled {
            self.serve(now, handle, stack);
        }
    }

    fn record_run(&self, now: u64, request: Request, end: u64) {
        self.recorder.write(&Record::Run(Run {
            id: request.id,
            service: request.service,
            target: self.settings.address.to_string(),
            start_us: now,
            end_us: end,
        }));
    }

    fn respond(&mut self, origin: Origin, response: &Response, stack: &mut Stack) {
        let Some(connection) = self.connections.get_mut(&origin.handle) else { return };
        if connection.serial != origin.serial {
            return;
        }
        connection.unanswered -= 1;
        connection.outbound.extend(response.encode());
        self.send(origin.handle, stack);
    }

    /// Aborts connections whose peer does not complete the handshake or the close in time.
    fn sweep(&mut self, now: u64, stack: &mut Stack) {
        if now < self.sweep_at {
            return;
        }
        self.sweep_at = now + SWEEP_INTERVAL;
        let handles: Vec<_> = self.connections.keys().copied().collect();
        for handle in handles {
            let state = stack.state(handle);
            let transient = matches!(state, tcp::State::SynReceived | tcp::State::LastAck | tcp::State::Closing);
            let Some(connection) = self.connections.get_mut(&handle) else { continue };
            let since = transient.then(|| connection.transient_since.unwrap_or(now));
            connection.transient_since = since;
            if since.is_some_and(|since| now > since + TRANSIENT_TIMEOUT) {
                stack.socket(handle).abort();
            }
            self.remove_if_closed(handle, stack);
        }
    }

    fn publish_state(&mut self, stack: &mut Stack) {
        let shedding = self.scheduler.is_full() || self.connections.len() >= self.settings.connections;
        stack.listen(&self.settings.ports, !shedding);
        let mut published = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        self.status = Status {
            draining: published.draining,
            busy: self.scheduler.busy(),
            waiting: self.scheduler.waiting(),
            connections: self.connections.len(),
            started: self.scheduler.started(),
            shedding,
            ..self.status
        };
        *published = self.status;
    }
}

impl App for Target {
    fn advance(&mut self, now: u64, stack: &mut Stack, touched: &[Handle]) {
        self.accept(now, stack);
        for &handle in touched {
            self.serve(now, handle, stack);
        }
        self.process_events(now, stack);
        self.sweep(now, stack);
        self.publish_state(stack);
    }

    fn due(&self) -> u64 {
        self.scheduler.due().min(self.sweep_at)
    }

    fn done(&self) -> bool {
        false
    }
}

fn read(connection: &mut Connection, socket: &mut tcp::Socket<'_>) -> bool {
    let mut buffer = [0; 4096];
    let length = socket.recv_slice(&mut buffer).unwrap_or(0);
    connection.inbound.extend(&buffer[..length]);
    length > 0
}

/// Moves as many bytes as fit into the send buffer of a socket.
pub(crate) fn fill_send_buffer(outbound: &mut VecDeque<u8>, socket: &mut tcp::Socket<'_>) {
    while !outbound.is_empty() && socket.can_send() {
        let (front, _) = outbound.as_slices();
        let Ok(sent) = socket.send_slice(front) else { return };
        outbound.drain(..sent);
    }
}
