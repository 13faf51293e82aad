//! Polls the load and the cache events of engines.

use std::{sync::Arc, time::Duration};

use bilberryford_cache::LoadSample;
use bilberryford_document::PoolKind;
use bilberryford_types::{EventKind, PoolName};
use tokio::time::sleep;

use crate::{fleet::Endpoint, node::Node};

/// Time between two polls of an engine, in milliseconds.
const POLL_MS: u64 = 1_000;

pub(crate) async fn run(node: Arc<Node>) {
    loop {
        let table = node.fleet.endpoints();
        let pools = engine_pools(&node);
        let polls = pools.iter().flat_map(|pool| {
            let listed = table.pool(pool);
            listed.iter().map(|endpoint| poll(&node, endpoint, listed))
        });
        futures::future::join_all(polls).await;
        sleep(Duration::from_millis(POLL_MS)).await;
    }
}

fn engine_pools(node: &Node) -> Vec<PoolName> {
    let Some(in_force) = node.in_force() else { return Vec::new() };
    let pools = in_force.document.pools.iter();
    pools.filter(|pool| pool.kind == PoolKind::Engine).map(|pool| pool.name.clone()).collect()
}

/// Polls one engine. The state of an engine that does not answer is kept, since it is advisory.
async fn poll(node: &Node, endpoint: &Endpoint, listed: &[Arc<Endpoint>]) {
    let Some((incarnation, after)) = node.placement.cursor(endpoint, listed) else { return };
    let taken_ms = node.now();
    if let Ok(load) = endpoint.engine.load().await {
        node.placement.apply_load(endpoint, LoadSample { taken_ms, backlog: load.backlog });
    }
    let Ok(events) = endpoint.cache.cache_events(incarnation, after).await else { return };
    if !node.placement.apply_cache_events(endpoint, &events) {
        return;
    }
    node.events.write(EventKind::CacheGap, |event| event.endpoint = Some(endpoint.id.clone()));
    if let Ok(snapshot) = endpoint.cache.cache_snapshot().await {
        node.placement.apply_cache_snapshot(endpoint, &snapshot);
    }
}
