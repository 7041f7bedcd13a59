//! Runs the fabric, targets and callers in one process, with a stateless address rewriter in place of the balancers.

#![allow(dead_code, reason = "each test file uses a part of it")]
#![allow(missing_docs, reason = "test code")]

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

use etherparse::{Ipv4Header, TcpHeader};
use poplarpaddle_standins::caller::{self, Service};
use poplarpaddle_standins::fabric::{self, Balancer, CallerRoute, Engine, Routes, Shared};
use poplarpaddle_standins::judge::{Judge, Report};
use poplarpaddle_standins::net::{self, Stop};
use poplarpaddle_standins::record::{Recorder, Summary};
use poplarpaddle_standins::{clock, target};

pub const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 30, 0, 1), 8000);
const LOOPBACK: &str = "127.0.0.1:0";

/// Collects records in memory.
#[derive(Clone, Default)]
pub struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().write(buf)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Lines {
    pub fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

/// A running network with targets at consecutive addresses from `127.10.0.1`.
pub struct Network {
    pub engine: Shared,
    pub lines: Lines,
    pub states: Vec<target::State>,
    pub fabric: SocketAddr,
    caller: Arc<std::net::UdpSocket>,
    stop: Stop,
    threads: Vec<JoinHandle<()>>,
}

pub fn target_settings(index: u8, fabric: SocketAddr) -> target::Settings {
    target::Settings {
        address: Ipv4Addr::new(127, 10, 0, index + 1),
        ports: vec![SERVICE.port()],
        service: "bookings".into(),
        fabric,
        slots: 3,
        queue: 1000,
        connections: 4500,
        service_time: target::scheduler::ServiceTime {
            mean: clock::MILLISECOND,
            spread: 0.5,
            cold_factor: 1.0,
            warm_at: 0,
        },
        seed: 7,
    }
}

pub fn caller_settings(fabric: SocketAddr) -> caller::Settings {
    caller::Settings {
        prefix: "127.20.0.0/16".parse().unwrap(),
        addresses: 4,
        ports: caller::MAX_PORTS,
        fabric,
        services: vec![Service { name: "bookings".into(), address: SERVICE }],
        rate: 100.0,
        long: 20,
        ramp: 200 * clock::MILLISECOND,
        pause: 50 * clock::MILLISECOND,
        pipeline: 1,
        response_min: 1,
        response_max: 9000,
        idempotent: 0.5,
        timeout: 5 * clock::SECOND,
        deadline: 0,
        retries: 0,
        duration: clock::SECOND,
        seed: 7,
    }
}

impl Network {
    /// Starts the network. `adjust` changes the settings of each target and `corrupt` the payload of its packets.
    pub fn start(targets: u8, adjust: impl Fn(&mut target::Settings), corrupt: fn(&mut [u8])) -> Self {
        let (stop, lines) = (Stop::default(), Lines::default());
        let bind = || net::bind(LOOPBACK.parse().unwrap()).unwrap();
        let (fabric_socket, caller, rewriter) = (bind(), bind(), bind());
        let fabric = fabric_socket.local_addr().unwrap();
        let mut routes = Routes {
            services: vec!["127.30.0.0/16".parse().unwrap()],
            callers: vec![CallerRoute {
                prefix: "127.20.0.0/16".parse().unwrap(),
                address: caller.local_addr().unwrap(),
            }],
            balancers: vec![Balancer { data: rewriter.local_addr().unwrap(), health: String::new(), up: true }],
            ..Default::default()
        };
        let (mut threads, mut states, mut addresses) = (Vec::new(), Vec::new(), Vec::new());
        for index in 0..targets {
            let (socket, state) = (bind(), target::State::default());
            let mut settings = target_settings(index, fabric);
            adjust(&mut settings);
            routes.targets.insert(settings.address, socket.local_addr().unwrap());
            addresses.push(settings.address);
            states.push(Arc::clone(&state));
            let (recorder, stop) = (Recorder::new(lines.clone()), stop.clone());
            threads.push(thread::spawn(move || target::run(settings, socket, state, &recorder, &stop)));
        }
        let engine = Shared::new(Engine::new(routes, 7));
        threads.push(thread::spawn({
            let (engine, stop) = (engine.clone(), stop.clone());
            let inbox = net::spawn_receiver(Arc::clone(&fabric_socket), stop.clone());
            move || fabric::run(&engine, &fabric_socket, &inbox, &stop)
        }));
        threads.push(thread::spawn({
            let stop = stop.clone();
            move || rewrite(&rewriter, fabric, &addresses, corrupt, &stop)
        }));
        Self { engine, lines, states, fabric, caller, stop, threads }
    }

    /// Runs callers until they finish.
    pub fn run_callers(&self, settings: caller::Settings) -> Summary {
        caller::run(settings, Arc::clone(&self.caller), &Recorder::new(self.lines.clone()), &Stop::default())
    }

    /// Stops the network and returns the report of the judge.
    pub fn finish(self) -> Report {
        self.stop.set();
        for thread in self.threads {
            thread.join().unwrap();
        }
        let mut judge = Judge::new(7);
        judge.read(&self.lines.text());
        judge.report()
    }
}

/// Rewrites the addresses of packets like a balancer. The port of the caller determines the target, and the checksums
/// are recomputed.
fn rewrite(
    socket: &std::net::UdpSocket,
    fabric: SocketAddr,
    targets: &[Ipv4Addr],
    corrupt: fn(&mut [u8]),
    stop: &Stop,
) {
    let mut buffer = [0; 2048];
    while !stop.is_set() {
        let Ok((length, _)) = socket.recv_from(&mut buffer) else { continue };
        let (mut ip, rest) = Ipv4Header::from_slice(&buffer[..length]).unwrap();
        let (mut tcp, payload) = TcpHeader::from_slice(rest).unwrap();
        let mut payload = payload.to_vec();
        if ip.destination == SERVICE.ip().octets() {
            ip.destination = targets[usize::from(tcp.source_port) % targets.len()].octets();
        } else {
            ip.source = SERVICE.ip().octets();
            corrupt(&mut payload);
        }
        ip.header_checksum = ip.calc_header_checksum();
        tcp.checksum = tcp.calc_checksum_ipv4(&ip, &payload).unwrap();
        let mut packet = Vec::new();
        ip.write(&mut packet).unwrap();
        tcp.write(&mut packet).unwrap();
        packet.extend(payload);
        socket.send_to(&packet, fabric).unwrap();
    }
}
