//! The steps of a shutdown that interrupts no request; see `docs/design/shutdown.md`.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bilberryford_types::TimeMs;
use poem::{
    Response,
    http::{HeaderValue, header},
};
use tokio::time::{Instant, sleep, timeout};

use crate::{node::Node, peering::HeartbeatKind};

/// The time limit for notifying one peer, in milliseconds.
const NOTIFY_TIMEOUT_MS: u64 = 400;
/// The most peers that are notified directly; the others learn of the shutdown from heartbeats.
const MAX_NOTIFIED: usize = 64;
/// The longest wait for leases to be released.
pub(crate) const LEASE_RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// The interval between checks for requests in flight, in milliseconds.
const POLL_INTERVAL_MS: u64 = 20;

/// Notifies peers that this instance is leaving, so that they grant it no more slots and no longer rely on it.
pub(crate) async fn notify_peers(node: &Node, peer_address: SocketAddr) {
    let Some(peers) = node.peers() else { return };
    let heartbeat = node.heartbeat(peer_address, HeartbeatKind::Urgent);
    let calls = node.members.peer_addresses().into_iter().take(MAX_NOTIFIED).map(|(_, address)| {
        let (peers, heartbeat) = (peers.clone(), heartbeat.clone());
        async move { peers.heartbeat(address, heartbeat, TimeMs(NOTIFY_TIMEOUT_MS)).await.is_ok() }
    });
    let acknowledged = futures::future::join_all(calls).await;
    log::info!(
        "{} of {} peers acknowledged that this instance is leaving",
        acknowledged.iter().filter(|acknowledged| **acknowledged).count(),
        acknowledged.len()
    );
}

/// Waits for runs and orders that continue after their callers have disconnected, until the time `until`.
pub(crate) async fn wait_for_requests(node: &Node, until: Instant) {
    while node.in_flight() > 0 && Instant::now() < until {
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

/// Waits until all leases are released; a lease that can't be released expires by itself.
pub(crate) async fn wait_for_lease_release(node: &Node) {
    let _ = timeout(LEASE_RELEASE_TIMEOUT, node.leases.wait_released()).await;
}

/// Adds `Connection: close` to responses of a leaving instance, so that no connection is closed while the caller's
/// next request is under way.
pub(crate) fn close_when_leaving(node: &Arc<Node>, mut response: Response) -> Response {
    if node.is_leaving() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
