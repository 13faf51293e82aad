//! Exchanges heartbeats with a few random peers, and tells news at once.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bilberryford_types::{InstanceId, TimeMs};
use rand::seq::IndexedRandom;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep_until},
};

use crate::{node::Node, peering::HeartbeatKind};

/// How often heartbeats are sent in a deployment of up to `SMALL` instances.
const PERIOD_SMALL: Duration = Duration::from_millis(1_000);
/// How often in a larger one.
const PERIOD: Duration = Duration::from_millis(2_000);
/// The deadline of a heartbeat, in milliseconds.
const TIMEOUT_MS: u64 = 400;
/// How many peers get one each period.
const FAN_OUT: usize = 1;
/// How many peers are told news at once in a deployment of up to `SMALL` instances.
const NEWS_FAN_OUT_SMALL: usize = 4;
/// How many are told in a larger one.
const NEWS_FAN_OUT: usize = 2;
/// The most instances of a small deployment.
const SMALL: usize = 16;
/// The least time between two rounds of news, so that many changes go out together.
const NEWS_GAP: Duration = Duration::from_millis(100);
/// The most heartbeats that wait for an answer.
const MAX_WAITING: usize = 16;

pub(crate) async fn run(node: Arc<Node>, peer_address: SocketAddr) {
    let mut waiting = JoinSet::new();
    let mut next_beat = Instant::now();
    let mut next_news = Instant::now();
    loop {
        tokio::select! {
            () = sleep_until(next_beat) => {
                let is_small = node.members.count() <= SMALL;
                next_beat = Instant::now() + if is_small { PERIOD_SMALL } else { PERIOD };
                node.members.tick(node.now());
                send(&node, peer_address, &mut waiting, FAN_OUT, HeartbeatKind::Regular);
                ask_seed(&node, peer_address, &mut waiting);
            }
            () = async {
                sleep_until(next_news).await;
                node.members.news().await;
            } => {
                next_news = Instant::now() + NEWS_GAP;
                let is_small = node.members.count() <= SMALL;
                let fan_out = if is_small { NEWS_FAN_OUT_SMALL } else { NEWS_FAN_OUT };
                send(&node, peer_address, &mut waiting, fan_out, HeartbeatKind::Urgent);
            }
            Some(_) = waiting.join_next() => {}
        }
    }
}

fn send(
    node: &Arc<Node>,
    own: SocketAddr,
    waiting: &mut JoinSet<()>,
    count: usize,
    kind: HeartbeatKind,
) {
    for (instance, address) in node.members.targets(count) {
        if waiting.len() < MAX_WAITING {
            waiting.spawn(beat(node.clone(), own, kind, Some(instance), address));
        }
    }
}

/// Asks one of the addresses from the settings that no member has, so that peers are found without the platform.
fn ask_seed(node: &Arc<Node>, own: SocketAddr, waiting: &mut JoinSet<()>) {
    let known = node.members.all();
    let is_unknown = |seed: &&SocketAddr| {
        **seed != own && !known.iter().any(|(record, _)| record.address == **seed)
    };
    let seeds: Vec<_> = node.settings.peers.iter().filter(is_unknown).collect();
    if let Some(seed) = seeds.choose(&mut rand::rng()).filter(|_| waiting.len() < MAX_WAITING) {
        waiting.spawn(beat(node.clone(), own, HeartbeatKind::Regular, None, **seed));
    }
}

/// Exchanges heartbeats with one peer.
pub(super) async fn beat(
    node: Arc<Node>,
    own: SocketAddr,
    kind: HeartbeatKind,
    to: Option<InstanceId>,
    address: SocketAddr,
) {
    let Some(peers) = node.peers() else { return };
    match peers.heartbeat(address, node.heartbeat(own, kind), TimeMs(TIMEOUT_MS)).await {
        Ok(reply) => node.take_beat(reply),
        Err(error) => {
            log::debug!("the heartbeat to {address} failed: {error}");
            if let Some(instance) = to {
                let change = node.members.probe_failed(&instance, node.now());
                node.note_change(&instance, change);
            }
        }
    }
}
