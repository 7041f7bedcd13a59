//! Harness that runs one control node with simulated peers, store and hosts on virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

use poplarpaddle::config::State as Configuration;
use poplarpaddle::control::{Action, Answer, CallId, Node, Settings};
use poplarpaddle::error::{Error, Kind};
use poplarpaddle::health::{Report, State as Load};
use poplarpaddle::map;
use poplarpaddle::membership::MAX_UPDATES;
use poplarpaddle::path::MemberId;
use poplarpaddle::store::Call;
use poplarpaddle::time::Time;
use poplarpaddle::wire::{Gossip, Record, State, VERSION};

use super::input::FLEET;
use super::store::Memory;

/// Number of the first member, which is the node under test.
pub const FIRST_MEMBER: u32 = 0x0a00_0001;

/// Number of availability zones of the region.
const ZONES: u32 = 3;

/// Seed of the weights of lease candidates, which has to equal the seed that the nodes use.
const WEIGHT_SEED: u64 = 0x6c65_6173_6573;

/// Interval between pings from peers, in milliseconds.
const PING_MS: u64 = 500;

/// Returns the record of member `number`.
#[must_use]
pub fn record(number: u32) -> Record {
    let address = |port| SocketAddr::from(SocketAddrV4::new(Ipv4Addr::from(number), port));
    // Ids are random in a real fleet. Here they are multiples of a large odd number, which also cover the whole range and
    // are the same in each run. The node under test gets the id with the highest of many weights, so that it is a candidate for the leases of its
    // zone.
    let spread_id = |number: u32| u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let id = if number == FIRST_MEMBER { highest_weight_id() } else { spread_id(number) };
    Record {
        id: MemberId(id),
        name: format!("balancer-{}", number - FIRST_MEMBER),
        zone: format!("region-0-{}", (number - FIRST_MEMBER) % ZONES),
        region: "region-0".to_owned(),
        peer: address(7000),
        relay: address(7001),
        incarnation: 0,
        state: State::Alive,
    }
}

/// Returns the id with the highest weight, which wins the leases of its zone.
fn highest_weight_id() -> u64 {
    (1..100_000).max_by_key(|id| map::hash(WEIGHT_SEED, id)).unwrap_or(1)
}

/// Returns a gossip message of a member without updates.
#[must_use]
pub const fn gossip(sender: Record) -> Gossip {
    Gossip {
        version: VERSION,
        sender,
        generation: 0,
        digest: [0; 32],
        table: 0,
        updates: Vec::new(),
        leaving: Vec::new(),
        ping: None,
        pong: None,
        page: None,
    }
}

/// A control node with its simulated environment, and counts of its actions.
#[derive(Debug)]
pub struct Harness {
    node: Node,
    now: Time,
    members: u32,
    /// Digest of the node's member table in its last message.
    table: u64,
    next_ping: Time,
    /// Number of the peer that pinged the node last.
    last_pinger: u32,
    /// Open watches on the store, with their deadlines.
    watches: BTreeMap<CallId, (Time, Call)>,
    /// Addresses of the peers that do not answer.
    silent: BTreeSet<SocketAddr>,
    /// Store.
    pub store: Memory,
    /// Bytes of messages and answers that the node sent.
    pub bytes: usize,
    /// Messages and answers that the node sent.
    pub messages: u32,
    /// Views that the node applied to its data path.
    pub views: u32,
    /// Polls of hosts.
    pub polls: u32,
    /// Bytes of the bodies of load reports.
    pub report_bytes: usize,
    /// Time that the node has worked since the last reset.
    busy: Duration,
}

impl Harness {
    /// Returns a harness whose node knows `members` members, including itself.
    ///
    /// # Errors
    ///
    /// When the node rejects a message.
    pub fn new(members: u32) -> eyre::Result<Self> {
        let now = Time::from_millis(1_000_000);
        let me = record(FIRST_MEMBER);
        let settings = Settings {
            id: me.id,
            name: me.name,
            zone: me.zone,
            region: me.region,
            fleet: FLEET.to_owned(),
            peer: me.peer,
            relay: me.relay,
            ..Default::default()
        };
        let node = Node::new(now, settings, Box::new(Configuration::new(FLEET)));
        let mut harness = Self {
            node,
            now,
            members,
            table: 0,
            next_ping: now,
            last_pinger: 1,
            watches: BTreeMap::new(),
            silent: BTreeSet::new(),
            store: Memory::default(),
            bytes: 0,
            messages: 0,
            views: 0,
            polls: 0,
            report_bytes: 0,
            busy: Duration::ZERO,
        };
        let records: Vec<Record> = (1..members).map(|number| record(FIRST_MEMBER + number)).collect();
        harness.send_records(&records)?;
        Ok(harness)
    }

    /// Resets all counts to 0.
    pub fn reset(&mut self) {
        self.store.reset();
        (self.bytes, self.messages, self.views, self.polls, self.report_bytes) = (0, 0, 0, 0, 0);
        self.busy = Duration::ZERO;
    }

    /// Returns the time that the node has worked since the last reset, in nanoseconds.
    #[must_use]
    pub const fn busy(&self) -> f64 {
        self.busy.as_nanos() as f64
    }

    /// Makes the node poll `hosts` hosts.
    pub fn poll(&mut self, hosts: u32) {
        let hosts: Vec<Ipv4Addr> = (0..hosts).map(|number| Ipv4Addr::from(0x0b00_0001 + number)).collect();
        self.node.set_polled_hosts(self.now, &hosts);
    }

    /// Sends changed member records to the node. A suspect or dead member does not answer from now on.
    ///
    /// # Errors
    ///
    /// When the node rejects a message.
    pub fn send_records(&mut self, records: &[Record]) -> eyre::Result<()> {
        let gone = records.iter().filter(|record| matches!(record.state, State::Suspect | State::Dead));
        self.silent.extend(gone.map(|record| record.peer));
        for updates in records.chunks(MAX_UPDATES) {
            let message = Gossip { updates: updates.to_vec(), ..gossip(record(FIRST_MEMBER + 1)) };
            self.receive(&message)?;
        }
        Ok(())
    }

    /// Runs for `millis` milliseconds of virtual time.
    ///
    /// # Errors
    ///
    /// When the node rejects a message or an answer.
    pub fn run(&mut self, millis: u64) -> eyre::Result<()> {
        let end = self.now + Duration::from_millis(millis);
        while !self.now.reached(end) {
            self.ping()?;
            self.answer_due_watches()?;
            if self.now.reached(self.node.deadline()) {
                let start = Instant::now();
                self.node.tick(self.now);
                self.busy += start.elapsed();
            }
            self.perform_actions()?;
            let watch = self.watches.values().map(|(deadline, _)| *deadline).min().unwrap_or(Time::NEVER);
            let next = self.node.deadline().min(self.next_ping).min(watch).min(end);
            // Times are whole milliseconds, as in a real process.
            self.now = next.max(self.now + Duration::from_millis(1));
        }
        Ok(())
    }

    /// Lets the next live peer ping the node when a ping is due.
    fn ping(&mut self) -> eyre::Result<()> {
        if !self.now.reached(self.next_ping) {
            return Ok(());
        }
        self.next_ping = self.now + Duration::from_millis(PING_MS);
        let alive = (1..self.members).map(|step| (self.last_pinger + step) % self.members);
        let alive = alive.filter(|number| *number != 0 && !self.silent.contains(&record(FIRST_MEMBER + number).peer));
        let Some(number) = alive.into_iter().next() else { return Ok(()) };
        self.last_pinger = number;
        let message = Gossip { table: self.table, ..gossip(record(FIRST_MEMBER + number)) };
        self.receive(&message)
    }

    fn receive(&mut self, message: &Gossip) -> eyre::Result<()> {
        let encoded = message.encode()?;
        let start = Instant::now();
        let answer = self.node.handle_message(self.now, &Gossip::decode(&encoded)?)?;
        let bytes = answer.encode()?;
        self.busy += start.elapsed();
        self.count(&answer, bytes.len());
        self.perform_actions()
    }

    fn count(&mut self, message: &Gossip, bytes: usize) {
        self.table = message.table;
        self.bytes += bytes;
        self.messages += 1;
    }

    fn answer_due_watches(&mut self) -> eyre::Result<()> {
        let due = self.watches.iter().filter(|(_, (deadline, _))| self.now.reached(*deadline));
        let due: Vec<CallId> = due.map(|(id, _)| *id).collect();
        for id in due {
            let Some((_, call)) = self.watches.remove(&id) else { continue };
            let outcome = self.store.perform(&call);
            self.answer(&Answer::Store { id, outcome: &outcome })?;
        }
        Ok(())
    }

    fn answer(&mut self, answer: &Answer<'_>) -> eyre::Result<()> {
        let start = Instant::now();
        self.node.handle_answer(self.now, answer)?;
        self.busy += start.elapsed();
        Ok(())
    }

    /// Performs the pending actions of the node until there are none.
    fn perform_actions(&mut self) -> eyre::Result<()> {
        loop {
            let actions = self.node.take_actions();
            if actions.is_empty() {
                return Ok(());
            }
            for action in actions {
                self.perform(action)?;
            }
        }
    }

    fn perform(&mut self, action: Action) -> eyre::Result<()> {
        match action {
            Action::SendGossip { to, message } => self.deliver(to, &message),
            Action::Store { id, call: Call::Watch { deadline, kind, name, after }, .. } => {
                let call = Call::Watch { kind, name, after, deadline };
                self.watches.insert(id, (deadline, call));
                Ok(())
            }
            Action::Store { id, call, .. } => {
                let outcome = self.store.perform(&call);
                self.answer(&Answer::Store { id, outcome: &outcome })
            }
            Action::Poll { host } => self.report(host),
            Action::Apply(_) => {
                self.views += 1;
                Ok(())
            }
            Action::Event(_) | Action::FetchManifest { .. } | Action::FetchPart { .. } => Ok(()),
        }
    }

    /// Delivers a message of the node to a simulated peer, which answers unless it is silent.
    fn deliver(&mut self, to: SocketAddr, message: &Gossip) -> eyre::Result<()> {
        let start = Instant::now();
        let bytes = message.encode()?;
        self.busy += start.elapsed();
        self.count(message, bytes.len());
        let SocketAddr::V4(address) = to else {
            eyre::bail!("message to {to}, which is not the IPv4 address of a member")
        };
        if self.silent.contains(&to) {
            let error = Error::new(Kind::Unavailable, "no answer");
            return self.answer(&Answer::Gossip { to, outcome: Err(&error) });
        }
        let sender = record(u32::from(*address.ip()));
        let answer = Gossip { table: message.table, pong: message.ping, ..gossip(sender) };
        self.answer(&Answer::Gossip { to, outcome: Ok(&answer) })
    }

    /// Answers a poll with the load report of a host.
    fn report(&mut self, host: Ipv4Addr) -> eyre::Result<()> {
        let report =
            Report { service: "service-10999".to_owned(), slots: 3, busy: 1, connections: 4400, state: Load::Serving };
        let body = serde_json::to_vec(&report)?;
        self.polls += 1;
        self.report_bytes += body.len();
        self.answer(&Answer::Load { host, outcome: Ok(&body) })
    }
}
