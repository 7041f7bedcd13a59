//! A target: one host that runs requests of one service.

use std::collections::{HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};

use smoltcp::socket::tcp;

use crate::clock;
use crate::net::{self, Stop};
use crate::protocol::{Answer, Request};
use crate::record::{LateOpening, Misrouted, Record, Recorder, Run, Summary};
use crate::stack::{self, App, Carrier, Handle, Stack};

pub mod http;
pub mod work;

use work::{Job, Origin, Service, Step, Work};

/// A handshake or an ending that takes longer is given up.
const UNSETTLED: u64 = 10 * clock::SECOND;
/// How often unsettled connections are looked for.
const SWEEP: u64 = clock::SECOND;

/// Settings of a target.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address of the host, also the source of its packets.
    pub address: Ipv4Addr,
    /// TCP ports.
    pub ports: Vec<u16>,
    /// Service that runs here.
    pub service: String,
    /// UDP address of the fabric.
    pub fabric: SocketAddr,
    /// Requests at the same time.
    pub slots: usize,
    /// Longest queue.
    pub queue: usize,
    /// Most open connections.
    pub connections: usize,
    /// Service times.
    pub times: Service,
    /// Seed of service times and sequence numbers.
    pub seed: u64,
}

/// What the HTTP side may change and sees.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Shared {
    /// When the drain began, none while serving.
    pub draining: Option<u64>,
    /// Slots in use.
    pub busy: usize,
    /// Waiting requests.
    pub waiting: usize,
    /// Open connections.
    pub connections: usize,
    /// Requests started so far.
    pub started: u64,
    /// Connections accepted so far.
    pub accepted: u64,
    /// Requests of another service.
    pub misrouted: u64,
    /// True while openings are refused.
    pub shedding: bool,
}

/// Shared state of the TCP and the HTTP side.
pub type State = Arc<Mutex<Shared>>;

struct Connection {
    serial: u64,
    unsettled: Option<u64>,
    inbound: VecDeque<u8>,
    outbound: VecDeque<u8>,
    pending: usize,
}

/// The TCP side of a target.
pub struct Target {
    settings: Settings,
    state: State,
    recorder: Recorder,
    work: Work,
    connections: HashMap<Handle, Connection>,
    stalled: VecDeque<Handle>,
    count: Shared,
    sweep_at: u64,
}

impl std::fmt::Debug for Target {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Target").field("settings", &self.settings).finish_non_exhaustive()
    }
}

/// Runs the TCP side over `socket` until `stop` is set and writes a summary.
pub fn run(settings: Settings, socket: Arc<UdpSocket>, state: State, recorder: &Recorder, stop: &Stop) {
    let carrier = Carrier { socket, fabric: settings.fabric };
    let inbox = net::inbox(Arc::clone(&carrier.socket), stop.clone());
    let mut stack =
        Stack::new(stack::Settings { address: settings.address, seed: settings.seed, ..Default::default() }, &carrier);
    stack.listen(&settings.ports, true);
    let mut target = Target::new(settings, state, recorder.clone());
    stack::drive(&mut target, &mut stack, &inbox, stop);
    recorder.write(&Record::Summary(target.summary()));
}

impl Target {
    /// Returns a target without connections.
    #[must_use]
    pub fn new(settings: Settings, state: State, recorder: Recorder) -> Self {
        let work = Work::new(settings.slots, settings.queue, settings.times, settings.seed);
        Self {
            settings,
            state,
            recorder,
            work,
            connections: HashMap::new(),
            stalled: VecDeque::new(),
            count: Shared::default(),
            sweep_at: 0,
        }
    }

    fn summary(&self) -> Summary {
        let counts = [
            ("accepted", self.count.accepted),
            ("started", self.work.started()),
            ("misrouted", self.count.misrouted),
            ("unfinished", self.work.busy() as u64),
        ];
        let counts = counts.into_iter().map(|(name, count)| (name.to_owned(), count)).collect();
        Summary { process: format!("target {}", self.settings.address), counts }
    }

    fn accept(&mut self, now: u64, stack: &mut Stack) {
        for handle in stack.accepted() {
            self.count.accepted += 1;
            let connection = Connection {
                serial: self.count.accepted,
                unsettled: None,
                inbound: VecDeque::new(),
                outbound: VecDeque::new(),
                pending: 0,
            };
            self.connections.insert(handle, connection);
            self.report_late(now, handle, stack);
        }
    }

    fn report_late(&self, now: u64, handle: Handle, stack: &mut Stack) {
        let Some(since) = self.count.draining else { return };
        let caller = stack.socket(handle).remote_endpoint().map(|caller| caller.to_string()).unwrap_or_default();
        let target = self.settings.address.to_string();
        self.recorder.write(&Record::LateOpening(LateOpening { target, caller, after_us: now.saturating_sub(since) }));
    }

    fn serve(&mut self, now: u64, handle: Handle, stack: &mut Stack) {
        // A touched listener may be gone since.
        if !self.connections.contains_key(&handle) || self.remove_ended(handle, stack) {
            return;
        }
        self.receive(now, handle, stack);
        self.send(handle, stack);
    }

    fn remove_ended(&mut self, handle: Handle, stack: &mut Stack) -> bool {
        let ended = matches!(stack.state(handle), tcp::State::Closed | tcp::State::Listen | tcp::State::TimeWait);
        if ended && let Some(connection) = self.connections.remove(&handle) {
            self.work.cancel(Origin { handle, serial: connection.serial });
            stack.remove(handle);
        }
        ended
    }

    /// Reads requests while the queue has room; beyond it the TCP window holds the caller back.
    fn receive(&mut self, now: u64, handle: Handle, stack: &mut Stack) {
        let Some(connection) = self.connections.get_mut(&handle) else { return };
        loop {
            if self.work.full() {
                self.stalled.push_back(handle);
                return;
            }
            match Request::decode(&mut connection.inbound) {
                Ok(Some(request)) if request.service == self.settings.service => {
                    connection.pending += 1;
                    self.work.offer(Job { origin: Origin { handle, serial: connection.serial }, request });
                }
                Ok(Some(request)) => return self.misrouted(now, handle, request, stack),
                Ok(None) if read(connection, stack.socket(handle)) => {}
                Ok(None) => return,
                Err(_) => return stack.socket(handle).abort(),
            }
        }
    }

    fn misrouted(&mut self, now: u64, handle: Handle, request: Request, stack: &mut Stack) {
        self.count.misrouted += 1;
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
        write(&mut connection.outbound, socket);
        let answered = connection.pending == 0 && connection.outbound.is_empty() && connection.inbound.is_empty();
        if answered && socket.state() == tcp::State::CloseWait && !socket.can_recv() {
            socket.close();
        }
    }

    fn work(&mut self, now: u64, stack: &mut Stack) {
        while let Some(step) = self.work.next(now) {
            match step {
                Step::Started(job, end) => self.record_run(now, job.request, end),
                Step::Finished(job) => self.answer(job.origin, &Answer::expected(&job.request), stack),
                Step::Expired(job) => self.answer(job.origin, &Answer::expired(&job.request), stack),
            }
        }
        let stalled = if self.work.full() { VecDeque::new() } else { std::mem::take(&mut self.stalled) };
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

    fn answer(&mut self, origin: Origin, answer: &Answer, stack: &mut Stack) {
        let Some(connection) = self.connections.get_mut(&origin.handle) else { return };
        if connection.serial != origin.serial {
            return;
        }
        connection.pending -= 1;
        connection.outbound.extend(answer.encode());
        self.send(origin.handle, stack);
    }

    /// Gives up handshakes and endings that the other side does not complete.
    fn sweep(&mut self, now: u64, stack: &mut Stack) {
        if now < self.sweep_at {
            return;
        }
        self.sweep_at = now + SWEEP;
        let handles: Vec<_> = self.connections.keys().copied().collect();
        for handle in handles {
            let state = stack.state(handle);
            let unsettled = matches!(state, tcp::State::SynReceived | tcp::State::LastAck | tcp::State::Closing);
            let Some(connection) = self.connections.get_mut(&handle) else { continue };
            let since = unsettled.then(|| connection.unsettled.unwrap_or(now));
            connection.unsettled = since;
            if since.is_some_and(|since| now > since + UNSETTLED) {
                stack.socket(handle).abort();
            }
            self.remove_ended(handle, stack);
        }
    }

    fn publish(&mut self, stack: &mut Stack) {
        let shedding = self.work.full() || self.connections.len() >= self.settings.connections;
        stack.listen(&self.settings.ports, !shedding);
        let mut shared = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        self.count = Shared {
            draining: shared.draining,
            busy: self.work.busy(),
            waiting: self.work.waiting(),
            connections: self.connections.len(),
            started: self.work.started(),
            shedding,
            ..self.count
        };
        *shared = self.count;
    }
}

impl App for Target {
    fn advance(&mut self, now: u64, stack: &mut Stack, touched: &[Handle]) {
        self.accept(now, stack);
        for &handle in touched {
            self.serve(now, handle, stack);
        }
        self.work(now, stack);
        self.sweep(now, stack);
        self.publish(stack);
    }

    fn due(&self) -> u64 {
        self.work.due().min(self.sweep_at)
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

/// Moves bytes into the send buffer of a socket as far as it has room.
pub(crate) fn write(outbound: &mut VecDeque<u8>, socket: &mut tcp::Socket<'_>) {
    while !outbound.is_empty() && socket.can_send() {
        let (front, _) = outbound.as_slices();
        let Ok(sent) = socket.send_slice(front) else { return };
        outbound.drain(..sent);
    }
}
