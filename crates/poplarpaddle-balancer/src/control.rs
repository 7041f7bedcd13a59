//! Control task, which owns the [`Node`] and performs its actions.
//!
//! Each action runs in a separate task that sends its outcome back, so a slow peer or store does not block the node.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use poplarpaddle::config::Digest;
use poplarpaddle::control::{Action, Answer, CallId, Node, Status};
use poplarpaddle::error::{Error, Result};
use poplarpaddle::ownership::Ownership;
use poplarpaddle::path::MemberId;
use poplarpaddle::placement;
use poplarpaddle::store::{self, Store as _};
use poplarpaddle::time::Time;
use poplarpaddle::view;
use poplarpaddle::wire::Gossip;
use poplarpaddle_io::clock::Clock;
use poplarpaddle_io::events::Events;
use poplarpaddle_io::{peer, store as client};
use slog::{Logger, debug, info};
use tokio::sync::{mpsc, oneshot};

use crate::data_path;

/// Timeout of a gossip exchange with a peer and of a load poll of a target, in milliseconds.
const EXCHANGE_TIMEOUT_MS: u64 = 450;

/// Timeout of fetching a manifest or part from a peer, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 700;

/// Request to the control task.
#[derive(Debug)]
pub enum Request {
    /// Handles a gossip message from a peer and replies with the node's answer to the peer.
    Gossip(Box<Gossip>, oneshot::Sender<Result<Gossip>>),
    /// Returns the manifest in force, or an update from the manifest with this digest.
    Manifest(Digest, oneshot::Sender<Option<Vec<u8>>>),
    /// Returns the part with this digest if it is in force.
    Part(Digest, oneshot::Sender<Option<Vec<u8>>>),
    /// Returns the status for operators and tools.
    Status(oneshot::Sender<Status>),
    /// Announces that this balancer is leaving the fleet.
    Leave,
    /// Announces that this balancer stops now, and replies when the tasks that send the messages have started.
    Stop(oneshot::Sender<()>),
    /// Delivers the outcome of an action.
    Done(Outcome),
}

/// Outcome of an action.
#[derive(Debug)]
pub enum Outcome {
    /// Answer of a peer to a gossip message.
    Gossip(SocketAddr, Result<Box<Gossip>>),
    /// Outcome of a store call.
    Store(CallId, store::Outcome),
    /// Manifest fetched from a peer.
    Manifest(SocketAddr, Result<Vec<u8>>),
    /// Part fetched from a peer.
    Part(SocketAddr, Digest, Result<Vec<u8>>),
    /// Load report polled from a host.
    Load(Ipv4Addr, Result<Vec<u8>>),
}

/// Clients that perform actions.
#[derive(Debug, Clone)]
pub struct Clients {
    /// Sends messages to peers.
    pub peer: peer::Client,
    /// Polls the load of targets.
    pub targets: peer::Client,
    /// Calls the store.
    pub store: client::Http,
    /// TCP port of the load endpoint, the same on every host.
    pub load_port: u16,
}

/// State of the control task.
#[derive(Debug)]
pub struct Task {
    /// Membership and configuration state of this balancer.
    pub node: Node,
    /// Clients that perform the actions of the node.
    pub clients: Clients,
    /// Receives requests from other tasks and outcomes of actions.
    pub requests: mpsc::UnboundedReceiver<Request>,
    /// Sends outcomes to [`Task::requests`].
    pub outcomes: mpsc::UnboundedSender<Request>,
    /// Sends views to the data path.
    pub data_path: mpsc::UnboundedSender<data_path::Command>,
    /// Shards that this balancer owns; it polls the hosts of these shards.
    pub ownership: Ownership,
    /// Events for the timeline.
    pub events: Events,
    /// Logger.
    pub logger: Logger,
}

impl Task {
    /// Runs until it is aborted or the runtime shuts down: [`Task::outcomes`] keeps the channel of requests open.
    pub async fn run(mut self) {
        let clock = Clock::new();
        self.node.tick(clock.now());
        self.perform_actions(clock.now());
        loop {
            let deadline = clock.instant(self.node.deadline());
            let request = tokio::select! {
                request = self.requests.recv() => request.map(Some),
                () = tokio::time::sleep_until(deadline.into()) => Some(None),
            };
            let now = clock.now();
            match request {
                None => break,
                Some(Some(request)) => self.handle_request(now, request),
                Some(None) => {}
            }
            if now.reached(self.node.deadline()) {
                self.node.tick(now);
            }
            self.perform_actions(now);
        }
    }

    /// Handles a request. A failed reply is ignored, because it means that the requester no longer waits for it.
    fn handle_request(&mut self, now: Time, request: Request) {
        match request {
            Request::Gossip(message, reply) => drop(reply.send(self.node.handle_message(now, &message))),
            Request::Manifest(base, reply) => drop(reply.send(self.node.manifest(&base).map(<[u8]>::to_vec))),
            Request::Part(digest, reply) => drop(reply.send(self.node.part(&digest).map(<[u8]>::to_vec))),
            Request::Status(reply) => drop(reply.send(self.node.status(now))),
            Request::Leave => self.node.leave(now),
            Request::Stop(reply) => {
                self.node.stop(now);
                self.perform_actions(now);
                let _outcome: std::result::Result<(), ()> = reply.send(());
            }
            Request::Done(outcome) => self.handle_outcome(now, &outcome),
        }
    }

    fn handle_outcome(&mut self, now: Time, outcome: &Outcome) {
        let answer = match outcome {
            Outcome::Gossip(to, outcome) => Answer::Gossip { to: *to, outcome: outcome.as_deref() },
            Outcome::Store(id, outcome) => Answer::Store { id: *id, outcome },
            Outcome::Manifest(peer, outcome) => Answer::Manifest { peer: *peer, outcome: outcome.as_deref() },
            Outcome::Part(peer, digest, outcome) => {
                Answer::Part { peer: *peer, digest: *digest, outcome: outcome.as_deref() }
            }
            Outcome::Load(host, outcome) => Answer::Load { host: *host, outcome: outcome.as_deref() },
        };
        if let Err(error) = self.node.handle_answer(now, &answer) {
            info!(self.logger, "answer rejected"; "error" => %error);
        }
    }

    /// Updates the polled hosts to the hosts of the shards that this balancer owns in `view`.
    fn update_polled_hosts(&mut self, now: Time, view: &view::View) {
        self.ownership.set_members(&view.members);
        if let Some(config) = &view.config {
            self.ownership.set_config(config);
            self.node.set_polled_hosts(now, &owned_hosts(&self.ownership, config, view.me));
        }
    }

    fn perform_actions(&mut self, now: Time) {
        let mut actions = VecDeque::from(self.node.take_actions());
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Apply(mut view) => {
                    self.update_polled_hosts(now, &view);
                    // The load of newly polled hosts is unknown until they report. The data path must learn of the new
                    // shards and of this unknown load together, so the view gets the updated hosts.
                    view.hosts = self.node.hosts();
                    actions.extend(self.node.take_actions());
                    // Sending fails only during shutdown, after the data path has stopped.
                    drop(self.data_path.send(data_path::Command::Apply(view)));
                }
                Action::Event(event) => {
                    info!(self.logger, "{}", event.name; "subject" => &event.subject, "detail" => &event.detail);
                    self.events.push(event);
                }
                other => self.spawn_action(other),
            }
        }
    }

    fn spawn_action(&self, action: Action) {
        let clients = self.clients.clone();
        let outcomes = self.outcomes.clone();
        let logger = self.logger.clone();
        tokio::spawn(async move {
            let Some(outcome) = clients.perform(action).await else { return };
            if let Some(error) = outcome.error() {
                debug!(logger, "action failed"; "error" => %error);
            }
            drop(outcomes.send(Request::Done(outcome)));
        });
    }
}

/// Returns the hosts of the shards that `me` owns, sorted and without duplicates.
fn owned_hosts(ownership: &Ownership, config: &view::Config, me: MemberId) -> Vec<Ipv4Addr> {
    let mut hosts = Vec::new();
    for (service, shard, _) in ownership.owned_by(me) {
        let service = &config.services[service.0 as usize];
        hosts.extend(placement::shard_targets(service, shard).map(|target| target.address));
    }
    hosts.sort_unstable();
    hosts.dedup();
    hosts
}

impl Outcome {
    fn error(&self) -> Option<&Error> {
        match self {
            Self::Gossip(_, outcome) => outcome.as_ref().err(),
            Self::Manifest(_, outcome) | Self::Part(_, _, outcome) | Self::Load(_, outcome) => outcome.as_ref().err(),
            Self::Store(_, store::Outcome::Failed(error)) => Some(error),
            Self::Store(..) => None,
        }
    }
}

impl Clients {
    /// Performs an action and returns its outcome, or none for the actions that the control task performs itself.
    async fn perform(&self, action: Action) -> Option<Outcome> {
        let now = Clock::new().now();
        let exchange_deadline = now + Duration::from_millis(EXCHANGE_TIMEOUT_MS);
        let fetch_deadline = now + Duration::from_millis(FETCH_TIMEOUT_MS);
        Some(match action {
            Action::SendGossip { to, message } => {
                let answer = self.peer.post(to, "/peer/gossip", &message, exchange_deadline).await;
                Outcome::Gossip(to, answer.map(Box::new))
            }
            Action::Store { id, call, deadline } => Outcome::Store(id, self.store.call(&call, deadline).await),
            Action::FetchManifest { peer, base } => {
                let path = format!("/peer/manifest?base={base}");
                Outcome::Manifest(peer, self.peer.fetch(peer, &path, fetch_deadline).await)
            }
            Action::FetchPart { peer, digest } => {
                let path = format!("/peer/part/{digest}");
                Outcome::Part(peer, digest, self.peer.fetch(peer, &path, fetch_deadline).await)
            }
            Action::Poll { host } => {
                let address = SocketAddr::from((host, self.load_port));
                Outcome::Load(host, self.targets.fetch(address, "/load", exchange_deadline).await)
            }
            Action::Apply(_) | Action::Event(_) => return None,
        })
    }
}
