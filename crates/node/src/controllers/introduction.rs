//! Makes an instance that has just started known to its peers, and learns what they suspect.
//!
//! A peer that sees a crash tells the members it knows. An instance that serves before a peer knows it would hear of
//! nothing and run a suspect without a claim. See `docs/design/poison.md`.

use std::{net::SocketAddr, sync::Arc};

use bilberryford_types::TimeMs;
use futures::{StreamExt, stream};

use super::heartbeat::beat;
use crate::{node::Node, peering::HeartbeatKind};

/// How many peers are called at once.
const AT_ONCE: usize = 64;
/// How long a peer may take to say what it suspects, in milliseconds.
const STANDINGS_TIMEOUT_MS: u64 = 400;

/// Exchanges heartbeats with every peer and then asks those that are members what they suspect.
///
/// # Invariant
///
/// The order matters: a crash that a peer sees after the heartbeat is told to this instance, one before it stands in
/// the peer's answer.
pub(super) async fn introduce(node: &Arc<Node>, own: SocketAddr) {
    let Some(peers) = node.peers() else { return };
    stream::iter(node.members.peer_addresses())
        .map(|(instance, address)| {
            beat(node.clone(), own, HeartbeatKind::Regular, Some(instance), address)
        })
        .buffer_unordered(AT_ONCE)
        .collect::<Vec<()>>()
        .await;
    let timeout = TimeMs(STANDINGS_TIMEOUT_MS);
    let asked = stream::iter(node.members.peer_addresses())
        .map(|(instance, address)| {
            let peers = peers.clone();
            async move { (instance, peers.standings(address, timeout).await) }
        })
        .buffer_unordered(AT_ONCE);
    asked
        .for_each(|(instance, answer)| {
            match answer {
                Ok(standings) => node.take_standings(&standings, instance.as_str()),
                Err(error) => log::debug!("{instance} did not say what it suspects: {error}"),
            }
            std::future::ready(())
        })
        .await;
}
