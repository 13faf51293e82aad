//! The steps of a shutdown that cuts no request; see `docs/design/shutdown.md`.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bilberryford_types::TimeMs;
use poem::{
    Response,
    http::{HeaderValue, header},
};
use tokio::time::{Instant, sleep, timeout};

use crate::{node::Node, peering::HeartbeatKind};

/// The deadline of telling a peer, in milliseconds.
const TELL_TIMEOUT_MS: u64 = 400;
/// How many peers are told at once; the others hear it from heartbeats.
const MAX_TOLD: usize = 64;
/// The longest wait for leases to be released, in milliseconds.
const RELEASE_LIMIT_MS: u64 = 2_000;
/// How often it is looked whether work is left, in milliseconds.
const LOOK_AGAIN_MS: u64 = 20;

/// Tells peers at once that this instance is leaving, so that they stop lending to it and counting on it.
pub(crate) async fn tell_peers(node: &Node, own: SocketAddr) {
    let Some(peers) = node.peers() else { return };
    let beat = node.heartbeat(own, HeartbeatKind::Urgent);
    let calls = node.members.peer_addresses().into_iter().take(MAX_TOLD).map(|(_, address)| {
        let (peers, beat) = (peers.clone(), beat.clone());
        async move { peers.heartbeat(address, beat, TimeMs(TELL_TIMEOUT_MS)).await.is_ok() }
    });
    let told = futures::future::join_all(calls).await;
    log::info!(
        "{} of {} peers know that this instance is leaving",
        told.iter().filter(|told| **told).count(),
        told.len()
    );
}

/// Waits for work that no connection holds any more: runs and orders whose callers have left.
pub(crate) async fn finish_work(node: &Node, until: Instant) {
    while node.in_flight() > 0 && Instant::now() < until {
        sleep(Duration::from_millis(LOOK_AGAIN_MS)).await;
    }
}

/// Waits until no lease is held; one that can't be released runs out by itself.
pub(crate) async fn release_leases(node: &Node) {
    let limit = Duration::from_millis(RELEASE_LIMIT_MS);
    let _ = timeout(limit, node.leases.wait_released()).await;
}

/// Asks callers of a leaving instance to close their connection after this answer, so that none is closed while a
/// next request is on its way.
pub(crate) fn close_when_leaving(node: &Arc<Node>, mut response: Response) -> Response {
    if node.is_leaving() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
