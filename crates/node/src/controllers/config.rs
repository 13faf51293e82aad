//! Keeps the configuration in force up to date, from the platform and from peers; see `docs/design/configuration.md`.
//!
//! A few instances hold a watch on the platform, chosen by rendezvous. All others hear of a change from a peer's
//! heartbeat and fetch it there, and ask the platform now and then as a net.

use std::{sync::Arc, time::Duration};

use bilberryford_platform::{ObjectKey, ObjectKind, PlatformError};
use bilberryford_types::{EventKind, Generation, InstanceId, ObjectVersion, TimeMs};
use tokio::time::{sleep, timeout};

use crate::{
    config::{InForce, config_key},
    node::Node,
};

/// How many instances hold a watch.
const WATCHERS: usize = 3;
/// How long a watch waits; a connection that went silent is given up after that and the platform's deadline.
const WATCH_WAIT: TimeMs = TimeMs(3_000);
/// The least time between two reads of an instance without a watch, in milliseconds.
const MIN_POLL_MS: u64 = 5_000;
/// How much longer it is for each instance.
const POLL_MS_PER_MEMBER: u64 = 100;
/// How long to wait after a failed call, or while there is no configuration, in milliseconds.
const RETRY_MS: u64 = 1_000;
/// The deadline of a peer's answer, which may be a megabyte.
const PEER_TIMEOUT: TimeMs = TimeMs(1_000);
/// How many peers are asked at a time.
const MAX_ASKED: usize = 3;
/// How many refused contents of peers are remembered.
const MAX_REFUSED: usize = 32;

pub(crate) async fn run(node: Arc<Node>) {
    let Ok(key) = config_key(&node.settings.environment) else { return };
    tokio::join!(follow_platform(&node, &key), follow_peers(&node));
}

async fn follow_platform(node: &Node, key: &ObjectKey) {
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

/// Lists once and then follows changes until this instance is no watcher any more.
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

/// Fetches from peers whatever is newer there.
async fn follow_peers(node: &Node) {
    let mut refused = Vec::new();
    loop {
        let _ = timeout(Duration::from_millis(RETRY_MS), node.members.newer()).await;
        from_peers(node, &mut refused).await;
    }
}

async fn from_peers(node: &Node, refused: &mut Vec<(InstanceId, Generation)>) {
    let Some(peers) = node.peers() else { return };
    let newer = node.members.with_newer(node.generation());
    let newer = newer.into_iter().filter(|(instance, _, generation)| {
        !refused.iter().any(|(by, what)| by == instance && what == generation)
    });
    for (instance, address, generation) in newer.take(MAX_ASKED).collect::<Vec<_>>() {
        if generation <= node.generation() {
            continue;
        }
        let answer = peers.configuration(address, node.generation(), PEER_TIMEOUT).await;
        let Ok(Some(reply)) = answer else { continue };
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
    match InForce::read(&node.settings.environment, version, body) {
        Ok(offered) => drop(node.adopt_config(offered)),
        Err(error) => node.events.write(EventKind::ConfigRefused, |event| {
            event.object_version = Some(version);
            event.detail = error.to_string();
        }),
    }
}
