//! Follows the load and the cache events of engines.

use std::{sync::Arc, time::Duration};

use bilberryford_cache::LoadSample;
use bilberryford_document::PoolKind;
use bilberryford_types::{EventKind, PoolName};
use tokio::time::sleep;

use crate::{fleet::Endpoint, node::Node};

/// How often an engine is asked, in milliseconds.
const POLL_MS: u64 = 1_000;

pub(crate) async fn run(node: Arc<Node>) {
    loop {
        let table = node.fleet.endpoints();
        let pools = engine_pools(&node);
        let asked = pools.iter().flat_map(|pool| {
            let listed = table.pool(pool);
            listed.iter().map(|endpoint| follow(&node, endpoint, listed))
        });
        futures::future::join_all(asked).await;
        sleep(Duration::from_millis(POLL_MS)).await;
    }
}

fn engine_pools(node: &Node) -> Vec<PoolName> {
    let Some(in_force) = node.in_force() else { return Vec::new() };
    let pools = in_force.document.pools.iter();
    pools.filter(|pool| pool.kind == PoolKind::Engine).map(|pool| pool.name.clone()).collect()
}

/// Asks one engine; one that does not answer keeps its old view, which steers only.
async fn follow(node: &Node, endpoint: &Endpoint, listed: &[Arc<Endpoint>]) {
    let Some((incarnation, after)) = node.placement.known(endpoint, listed) else { return };
    let taken_ms = node.now();
    if let Ok(load) = endpoint.engine.load().await {
        node.placement.report(endpoint, LoadSample { taken_ms, backlog: load.backlog });
    }
    let Ok(events) = endpoint.cache.cache_events(incarnation, after).await else { return };
    if !node.placement.feed(endpoint, &events) {
        return;
    }
    node.events.write(EventKind::CacheGap, |event| event.endpoint = Some(endpoint.id.clone()));
    if let Ok(snapshot) = endpoint.cache.cache_snapshot().await {
        node.placement.snapshot(endpoint, &snapshot);
    }
}
