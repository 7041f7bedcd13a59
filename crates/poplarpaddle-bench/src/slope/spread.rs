//! Distribution of the fetches of a new generation among the peers that have it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use poplarpaddle::config::State;
use poplarpaddle::control::{Action, Node, Settings};
use poplarpaddle::time::Time;
use poplarpaddle::wire::Gossip;

use super::harness::{FIRST_MEMBER, gossip, record};
use super::input::FLEET;
use super::{Line, Metric, count, lines};

/// Numbers of peers that have the new generation.
const SIZES: [u32; 3] = [4, 16, 64];

/// Number of nodes that receive gossip about the new generation from all of these peers.
const NODES: u32 = 640;

const METRICS: [Metric; 1] = [Metric {
    group: "spread",
    name: "most-asked",
    size: "peers with the new generation",
    unit: "fetches at the most asked peer over those of an even division, 640 nodes",
}];

/// Measures the slopes.
///
/// # Errors
///
/// When a node rejects a message.
pub fn measure() -> eyre::Result<Vec<Line>> {
    let rows = SIZES.into_iter().map(row).collect::<eyre::Result<Vec<_>>>()?;
    Ok(lines(&METRICS, &SIZES, &rows))
}

fn row(peers: u32) -> eyre::Result<Vec<f64>> {
    let mut fetches: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for number in 0..NODES {
        *fetches.entry(chosen_peer(FIRST_MEMBER + 1000 + number, peers)?).or_default() += 1;
    }
    let most = fetches.values().copied().max().unwrap_or(0);
    Ok(vec![count(most)? * f64::from(peers) / f64::from(NODES)])
}

/// Returns the peer from which a node fetches the generation once it knows that all peers have it.
fn chosen_peer(number: u32, peers: u32) -> eyre::Result<SocketAddr> {
    let now = Time::from_millis(1_000_000);
    let me = record(number);
    let settings = Settings {
        id: me.id,
        name: me.name,
        zone: me.zone,
        region: me.region,
        fleet: FLEET.to_owned(),
        peer: me.peer,
        relay: me.relay,
        seed: u64::from(number),
        ..Default::default()
    };
    let mut node = Node::new(now, settings, Box::new(State::new(FLEET)));
    let mut latest = None;
    for step in 0..peers {
        let message = Gossip { generation: 1, digest: [1; 32], ..gossip(record(FIRST_MEMBER + 1 + step)) };
        node.handle_message(now, &message)?;
        latest = last_fetch(&mut node).or(latest);
    }
    // The node fetches from the first peer before it knows of the others. This fetch fails, so that the node chooses
    // again among all others.
    if let Some(peer) = latest {
        let error = poplarpaddle::error::Error::new(poplarpaddle::error::Kind::Unavailable, "no answer");
        let answer = poplarpaddle::control::Answer::Manifest { peer, outcome: Err(&error) };
        // The node reports the failed fetch as an error, which is expected here.
        drop(node.handle_answer(now, &answer));
        latest = last_fetch(&mut node).or(latest);
    }
    latest.ok_or_else(|| eyre::eyre!("node {number} fetches from no peer"))
}

fn last_fetch(node: &mut Node) -> Option<SocketAddr> {
    let fetches = node.take_actions().into_iter().filter_map(|action| match action {
        Action::FetchManifest { peer, .. } => Some(peer),
        _ => None,
    });
    fetches.last()
}
