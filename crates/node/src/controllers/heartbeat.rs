//! Exchanges heartbeats with random peers: one in each period, and a few at once when there is an urgent update.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bilberryford_types::{InstanceId, TimeMs};
use rand::seq::IndexedRandom;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep_until},
};

use crate::{node::Node, peering::HeartbeatKind};

/// Period of heartbeats in a deployment of up to [`MAX_SMALL`] instances.
const PERIOD_SMALL: Duration = Duration::from_millis(1_000);
/// Period of heartbeats in a larger deployment.
const PERIOD: Duration = Duration::from_millis(2_000);
/// Deadline of a heartbeat, in milliseconds.
const TIMEOUT_MS: u64 = 400;
/// Number of random peers that get a heartbeat in each period.
const FAN_OUT: usize = 1;
/// Number of peers that get an urgent heartbeat in a deployment of up to [`MAX_SMALL`] instances.
const URGENT_FAN_OUT_SMALL: usize = 4;
/// Number of peers that get an urgent heartbeat in a larger deployment.
const URGENT_FAN_OUT: usize = 2;
/// Maximum number of instances of a small deployment.
const MAX_SMALL: usize = 16;
/// Minimum time between two rounds of urgent heartbeats, so that changes are sent together.
const MIN_URGENT_GAP: Duration = Duration::from_millis(100);
/// Maximum number of heartbeats that wait for a reply.
const MAX_PENDING: usize = 16;

pub(crate) async fn run(node: Arc<Node>, peer_address: SocketAddr) {
    let mut pending = JoinSet::new();
    let mut next_regular = Instant::now();
    let mut next_urgent = Instant::now();
    loop {
        tokio::select! {
            () = sleep_until(next_regular) => {
                let is_small = node.members.count() <= MAX_SMALL;
                next_regular = Instant::now() + if is_small { PERIOD_SMALL } else { PERIOD };
                node.members.tick(node.now());
                send(&node, peer_address, &mut pending, FAN_OUT, HeartbeatKind::Regular);
                contact_seed(&node, peer_address, &mut pending);
            }
            () = async {
                sleep_until(next_urgent).await;
                node.members.urgent_update().await;
            } => {
                next_urgent = Instant::now() + MIN_URGENT_GAP;
                let is_small = node.members.count() <= MAX_SMALL;
                let fan_out = if is_small { URGENT_FAN_OUT_SMALL } else { URGENT_FAN_OUT };
                send(&node, peer_address, &mut pending, fan_out, HeartbeatKind::Urgent);
            }
            Some(_) = pending.join_next() => {}
        }
    }
}

fn send(
    node: &Arc<Node>,
    local_address: SocketAddr,
    pending: &mut JoinSet<()>,
    count: usize,
    kind: HeartbeatKind,
) {
    for (instance, address) in node.members.heartbeat_targets(count) {
        if pending.len() < MAX_PENDING {
            pending.spawn(exchange(node.clone(), local_address, kind, Some(instance), address));
        }
    }
}

/// Sends a heartbeat to one of the configured addresses that no member has, so that peers are found without the
/// platform.
fn contact_seed(node: &Arc<Node>, local_address: SocketAddr, pending: &mut JoinSet<()>) {
    let known = node.members.peers();
    let is_unknown = |seed: &&SocketAddr| {
        **seed != local_address && !known.iter().any(|(record, _)| record.address == **seed)
    };
    let seeds: Vec<_> = node.settings.peers.iter().filter(is_unknown).collect();
    if let Some(seed) = seeds.choose(&mut rand::rng()).filter(|_| pending.len() < MAX_PENDING) {
        pending.spawn(exchange(node.clone(), local_address, HeartbeatKind::Regular, None, **seed));
    }
}

/// Exchanges heartbeats with one peer. A failure counts against `instance`, if the name of the peer is known.
pub(super) async fn exchange(
    node: Arc<Node>,
    local_address: SocketAddr,
    kind: HeartbeatKind,
    instance: Option<InstanceId>,
    address: SocketAddr,
) {
    let Some(peers) = node.peers() else { return };
    match peers.heartbeat(address, node.heartbeat(local_address, kind), TimeMs(TIMEOUT_MS)).await {
        Ok(reply) => node.apply_heartbeat(reply),
        Err(error) => {
            log::debug!("heartbeat to {address} failed: {error}");
            if let Some(instance) = instance {
                let change = node.members.probe_failed(&instance, node.now());
                node.write_member_change(&instance, change);
            }
        }
    }
}
