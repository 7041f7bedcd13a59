//! Calls to the store, peers and hosts, which run in tasks of their own and send their outcomes to the main task.

use std::net::{IpAddr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use poplarpaddle::direct::CheckId;
use poplarpaddle::error::{Kind, Result};
use poplarpaddle::feed::Topic;
use poplarpaddle::fleet::Revisions;
use poplarpaddle::former;
use poplarpaddle::path::MemberId;
use poplarpaddle::revision::Revision;
use poplarpaddle::time::Time;
use poplarpaddle::wire::Transfer;
use poplarpaddle_io::peer::TRANSFER_LIMIT;
use tokio::net::TcpSocket;

use super::{Input, Task};
use crate::direct::server::Since;

/// Timeout of a read of the store.
const READ_TIMEOUT: Duration = Duration::from_millis(1200);

/// Time for the store to respond to a check. It answers in milliseconds.
const STORE_CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after the end of a watch in which a late response of the store is still accepted.
const WATCH_SLACK: Duration = Duration::from_millis(500);

impl Task {
    /// Saves or loads former services of routes.
    pub(super) fn call_former(&self, action: former::Action) {
        let (store, outcomes, telemetry, clock) =
            (Arc::clone(&self.store), self.outcomes.clone(), self.telemetry.clone(), self.clock);
        tokio::spawn(async move {
            let started = clock.now();
            let deadline = started + READ_TIMEOUT;
            let input = match action {
                former::Action::Save(entries) => {
                    let outcome = store.save_former(entries, deadline).await;
                    telemetry.record_call("save_former", outcome_label(&outcome), clock.now().since(started));
                    Input::FormerSaved(outcome)
                }
                former::Action::Load => {
                    let outcome = store.load_former(deadline).await;
                    telemetry.record_call("load_former", outcome_label(&outcome), clock.now().since(started));
                    Input::FormerLoaded(outcome)
                }
            };
            drop(outcomes.send(input));
        });
    }

    pub(super) fn read(&self, topic: Topic) {
        let (store, outcomes, telemetry, clock) =
            (Arc::clone(&self.store), self.outcomes.clone(), self.telemetry.clone(), self.clock);
        tokio::spawn(async move {
            let started = clock.now();
            let response = store.read(topic, started + READ_TIMEOUT).await;
            telemetry.record_call("read", outcome_label(&response), clock.now().since(started));
            drop(outcomes.send(Input::Store(topic, response)));
        });
    }

    pub(super) fn watch(&self, topic: Topic, revision: Revision, until: Time) {
        let (store, outcomes, telemetry, clock) =
            (Arc::clone(&self.store), self.outcomes.clone(), self.telemetry.clone(), self.clock);
        tokio::spawn(async move {
            let started = clock.now();
            let response = store.watch(topic, revision, until, until + WATCH_SLACK).await;
            telemetry.record_call("watch", outcome_label(&response), clock.now().since(started));
            drop(outcomes.send(Input::Store(topic, response)));
        });
    }

    /// Pulls the changes after the revisions `since` from a peer.
    pub(super) fn pull(&self, member: MemberId, peer: SocketAddr, since: Revisions, until: Time) {
        let (client, outcomes, telemetry, clock) =
            (self.peers.clone(), self.outcomes.clone(), self.telemetry.clone(), self.clock);
        tokio::spawn(async move {
            let started = clock.now();
            let path = format!("/peer/parcel?{}", Since::from(since));
            let bytes = client.fetch_up_to(TRANSFER_LIMIT, peer, &path, until).await;
            let transfer = bytes.and_then(|bytes| Transfer::decode(&bytes));
            telemetry.record_call("pull", outcome_label(&transfer), clock.now().since(started));
            drop(outcomes.send(Input::Pulled(member, transfer.map(Box::new))));
        });
    }

    /// Checks whether the store responds.
    pub(super) fn check_store(&self) {
        let (store, outcomes, telemetry, clock) =
            (Arc::clone(&self.store), self.outcomes.clone(), self.telemetry.clone(), self.clock);
        tokio::spawn(async move {
            let started = clock.now();
            let response = store.read(Topic::ZoneDrains, started + STORE_CHECK_TIMEOUT).await;
            telemetry.record_call("store_check", outcome_label(&response), clock.now().since(started));
            drop(outcomes.send(Input::StoreChecked(has_responded(&response))));
        });
    }

    /// Checks whether the machine at `address` accepts a connection.
    pub(super) fn check(&self, id: CheckId, address: SocketAddrV4) {
        let (source, timeout) = (self.peer_address, self.engine.settings().check_timeout);
        let (outcomes, telemetry, clock) = (self.outcomes.clone(), self.telemetry.clone(), self.clock);
        tokio::spawn(async move {
            let started = clock.now();
            let connected = tokio::time::timeout(timeout, connect(source, address)).await;
            let is_reachable = matches!(connected, Ok(Ok(())));
            let label = if is_reachable { "answered" } else { "failed" };
            telemetry.record_call("check", label, clock.now().since(started));
            drop(outcomes.send(Input::Checked(id, is_reachable)));
        });
    }
}

/// Opens a connection from `source` to `address` and closes it again.
async fn connect(source: IpAddr, address: SocketAddrV4) -> std::io::Result<()> {
    let socket = TcpSocket::new_v4()?;
    socket.bind((source, 0).into())?;
    socket.connect(address.into()).await.map(drop)
}

/// Returns true when the store sent a response, even if it refuses the call for its rate or cannot be understood.
fn has_responded<T>(result: &Result<T>) -> bool {
    !result.as_ref().is_err_and(|error| matches!(error.kind(), Kind::Unavailable | Kind::Timeout))
}

const fn outcome_label<T>(result: &Result<T>) -> &'static str {
    match result {
        Ok(_) => "answered",
        Err(_) => "failed",
    }
}
