//! Keeps the configuration in force up to date, from the platform and from peers; see `docs/design/configuration.md`.
//!
//! A few instances, chosen by rendezvous hashing, hold a watch on the platform. All others learn of a change from a
//! peer's heartbeat and fetch it from that peer; as a fallback they also poll the platform.

use std::{sync::Arc, time::Duration};

use bilberryford_platform::{ObjectKey, ObjectKind, PlatformError};
use bilberryford_types::{EventKind, Generation, InstanceId, ObjectVersion, TimeMs};
use tokio::time::{sleep, timeout};

use crate::{
    config::{InForce, config_key},
    node::Node,
};

/// Number of instances that hold a watch.
const WATCHERS: usize = 3;
/// Time that one watch call waits for a change. A dead connection is dropped after this and the platform's deadline.
const WATCH_WAIT: TimeMs = TimeMs(3_000);
/// Minimum time between two reads of an instance without a watch, in milliseconds.
const MIN_POLL_MS: u64 = 5_000;
/// Time between two reads per serving instance, which bounds the total rate of reads, in milliseconds.
const POLL_MS_PER_MEMBER: u64 = 100;
/// Wait after a failed call and while there is no configuration, in milliseconds.
const RETRY_MS: u64 = 1_000;
/// Deadline of a peer's reply, which may hold a megabyte.
const PEER_TIMEOUT: TimeMs = TimeMs(1_000);
/// Maximum number of peers that are asked in one round.
const MAX_PEERS_ASKED: usize = 3;
/// Maximum number of remembered configurations of peers that were refused.
const MAX_REFUSED: usize = 32;

pub(crate) async fn run(node: Arc<Node>) {
    let Ok(key) = config_key(&node.settings.environment) else { return };
    tokio::join!(sync_from_platform(&node, &key), sync_from_peers(&node));
}

async fn sync_from_platform(node: &Node, key: &ObjectKey) {
    loop {
        let is_watcher = node.members.is_owner(key.name.as_str().as_bytes(), WATCHERS);
        let result = if is_watcher { watch(node, key).await } else { read(node, key).await };
        let wait_ms = match result {
            Err(error) => {
                log::debug!("the configuration can't be read: {error}");
                RETRY_MS
            }
            Ok(()) if node.in_force().is_none() => RETRY_MS,
            Ok(()) if is_watcher => 0,
            Ok(()) => poll_ms(node.members.count()),
        };
        sleep(Duration::from_millis(wait_ms).mul_f64(rand::random_range(0.8..1.2))).await;
    }
}

fn poll_ms(members: usize) -> u64 {
    let members = u64::try_from(members).unwrap_or(u64::MAX);
    MIN_POLL_MS.max(members.saturating_mul(POLL_MS_PER_MEMBER))
}

async fn read(node: &Node, key: &ObjectKey) -> Result<(), PlatformError> {
    if let Some(object) = node.objects.get(key).await? {
        offer(node, object.version, &object.body);
    }
    Ok(())
}

/// Lists the configuration once, and then watches it while this instance is one of the watchers.
async fn watch(node: &Node, key: &ObjectKey) -> Result<(), PlatformError> {
    let (mut after, objects) = node.objects.list(ObjectKind::Config, key.name.as_str()).await?;
    for object in objects.iter().filter(|object| object.name == key.name) {
        offer(node, object.version, &object.body);
    }
    while node.members.is_owner(key.name.as_str().as_bytes(), WATCHERS) {
        let changes = match node.objects.watch(ObjectKind::Config, after, WATCH_WAIT).await {
            Err(PlatformError::Compacted) => return Ok(()),
            result => result?,
        };
        after = changes.version;
        for change in changes.changes.iter().filter(|change| change.name == key.name) {
            if let Some(body) = &change.body {
                offer(node, change.version, body);
            }
        }
    }
    Ok(())
}

/// Fetches newer configurations from peers.
async fn sync_from_peers(node: &Node) {
    let mut refused = Vec::new();
    loop {
        let _ = timeout(Duration::from_millis(RETRY_MS), node.members.newer_config()).await;
        fetch_newer(node, &mut refused).await;
    }
}

async fn fetch_newer(node: &Node, refused: &mut Vec<(InstanceId, Generation)>) {
    let Some(peers) = node.peers() else { return };
    let newer = node.members.peers_with_newer(node.generation());
    let newer = newer.into_iter().filter(|(instance, _, generation)| {
        !refused.iter().any(|(peer, known)| peer == instance && known == generation)
    });
    for (instance, address, generation) in newer.take(MAX_PEERS_ASKED).collect::<Vec<_>>() {
        if generation <= node.generation() {
            continue;
        }
        let result = peers.configuration(address, node.generation(), PEER_TIMEOUT).await;
        let Ok(Some(reply)) = result else { continue };
        offer(node, reply.version, &reply.body);
        if node.generation() < generation {
            refused.truncate(MAX_REFUSED - 1);
            refused.insert(0, (instance, generation));
        }
    }
}

fn offer(node: &Node, version: ObjectVersion, body: &[u8]) {
    if node.in_force().is_some_and(|in_force| in_force.version == version) {
        return;
    }
    match InForce::parse(&node.settings.environment, version, body) {
        Ok(offered) => drop(node.adopt_config(offered)),
        Err(error) => node.events.write(EventKind::ConfigRefused, |event| {
            event.object_version = Some(version);
            event.detail = error.to_string();
        }),
    }
}
