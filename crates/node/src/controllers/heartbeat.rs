//! Exchanges heartbeats with a bounded random subset of peers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bilberryford_types::TimeMs;
use rand::seq::IndexedRandom;
use tokio::time::sleep;

use crate::node::Node;

/// How often heartbeats are sent, in milliseconds.
const PERIOD_MS: u64 = 500;
/// The deadline of a heartbeat, in milliseconds.
const TIMEOUT_MS: u64 = 400;
/// How many peers get one each period.
const FAN_OUT: usize = 3;
/// How long a silent member is kept, in milliseconds.
const EXPIRE_MS: u64 = 30_000;

pub(crate) async fn run(node: Arc<Node>, peer_address: SocketAddr) {
    loop {
        let addresses = node.members.addresses();
        let chosen: Vec<_> = addresses.sample(&mut rand::rng(), FAN_OUT).cloned().collect();
        let beats = chosen.into_iter().map(|(_, address)| beat(&node, peer_address, address));
        futures::future::join_all(beats).await;
        node.members.expire(node.now(), TimeMs(EXPIRE_MS));
        sleep(Duration::from_millis(PERIOD_MS)).await;
    }
}

async fn beat(node: &Node, own: SocketAddr, to: SocketAddr) {
    let Some(peers) = node.peers() else { return };
    if let Ok(reply) = peers.heartbeat(to, node.beat(own), TimeMs(TIMEOUT_MS)).await {
        node.take_beat(&reply);
    }
}
