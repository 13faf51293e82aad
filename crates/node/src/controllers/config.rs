//! Keeps the configuration in force up to date, from the platform and from peers.

use std::{sync::Arc, time::Duration};

use bilberryford_platform::{ObjectKey, PlatformError};
use bilberryford_types::{EventKind, Generation, ObjectVersion, TimeMs};
use tokio::time::sleep;

use crate::{
    config::{InForce, config_key},
    node::Node,
};

/// How often the platform is asked, in milliseconds.
const POLL_MS: u64 = 1_000;
/// The deadline of a peer's answer, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 500;

pub(crate) async fn run(node: Arc<Node>) {
    let Ok(key) = config_key(&node.settings.environment) else { return };
    loop {
        match from_platform(&node, &key).await {
            Ok(()) => {}
            Err(error) => {
                log::debug!("the configuration can't be read: {error}");
                from_peers(&node).await;
            }
        }
        sleep(Duration::from_millis(POLL_MS)).await;
    }
}

async fn from_platform(node: &Node, key: &ObjectKey) -> Result<(), PlatformError> {
    if let Some(object) = node.objects.get(key).await? {
        offer(node, object.version, &object.body);
    }
    Ok(())
}

/// Asks every peer for something newer; used while the platform is down.
async fn from_peers(node: &Node) {
    let Some(peers) = node.peers() else { return };
    for (_, address) in node.members.addresses() {
        let above = node.in_force().map_or(Generation(0), |in_force| in_force.generation);
        let answer = peers.configuration(address, above, TimeMs(PEER_TIMEOUT_MS)).await;
        if let Ok(Some(reply)) = answer {
            offer(node, reply.version, &reply.body);
        }
    }
}

fn offer(node: &Node, version: ObjectVersion, body: &[u8]) {
    if node.in_force().is_some_and(|in_force| in_force.version == version) {
        return;
    }
    match InForce::read(version, body) {
        Ok(offered) => drop(node.adopt(offered)),
        Err(error) => node.events.write(EventKind::ConfigRefused, |event| {
            event.object_version = Some(version);
            event.detail = error.to_string();
        }),
    }
}
