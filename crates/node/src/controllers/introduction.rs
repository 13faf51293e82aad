//! Introduces an instance that has just started to its peers, and fetches the suspects and quarantines that they know.
//!
//! A peer reports a crash to the members that it knows. An instance that served before its peers know it would miss
//! such reports, and would run a suspect without a claim. See `docs/design/poison.md`.

use std::{net::SocketAddr, sync::Arc};

use bilberryford_types::TimeMs;
use futures::{StreamExt, stream};

use super::heartbeat::exchange;
use crate::{node::Node, peering::HeartbeatKind};

/// Maximum number of concurrent calls to peers.
const MAX_CONCURRENT_CALLS: usize = 64;
/// Deadline of a peer's reply with its quarantine snapshot, in milliseconds.
const SNAPSHOT_TIMEOUT_MS: u64 = 400;

/// Exchanges heartbeats with every peer, and then fetches the quarantine snapshots of those that are members. Returns
/// the number of members that sent no snapshot.
///
/// # Invariant
///
/// The heartbeats come first: a crash that a peer sees after its heartbeat is reported to this instance, and one that
/// it saw before is in its snapshot.
pub(super) async fn introduce(node: &Arc<Node>, local_address: SocketAddr) -> usize {
    stream::iter(node.members.peer_addresses())
        .map(|(instance, address)| {
            exchange(node.clone(), local_address, HeartbeatKind::Regular, Some(instance), address)
        })
        .buffer_unordered(MAX_CONCURRENT_CALLS)
        .collect::<Vec<()>>()
        .await;
    fetch_snapshots(node).await
}

/// Fetches the quarantine snapshots of all members. Returns the number of members that sent none.
pub(crate) async fn fetch_snapshots(node: &Arc<Node>) -> usize {
    let Some(peers) = node.peers() else { return 0 };
    let timeout = TimeMs(SNAPSHOT_TIMEOUT_MS);
    let snapshots = stream::iter(node.members.peer_addresses())
        .map(|(instance, address)| {
            let peers = peers.clone();
            async move { (instance, peers.quarantine_snapshot(address, timeout).await) }
        })
        .buffer_unordered(MAX_CONCURRENT_CALLS);
    snapshots
        .fold(0, |unanswered, (instance, reply)| {
            let is_unanswered = reply.is_err();
            match reply {
                Ok(snapshot) => node.apply_quarantine_snapshot(&snapshot, instance.as_str()),
                Err(error) => log::debug!("no quarantine snapshot from {instance}: {error}"),
            }
            std::future::ready(unanswered + usize::from(is_unanswered))
        })
        .await
}
