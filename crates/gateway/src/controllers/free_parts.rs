//! Frees the parts in stores that no engine can use any more, since they were computed with older weights.
//!
//! Each store has one responsible instance, which all instances derive from the set of live ones. Instances may
//! disagree on it for a moment, since freeing a part twice is harmless.
//!
//! # Invariant
//!
//! A part is freed only if every listed engine of its model has had newer weights for `SETTLED_MS`. An engine finishes
//! its requests and their fetches before it loads weights, and rejects requests for older weights afterwards.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bilberryford_types::{ModelName, TimeMs};
use tokio::time::sleep;

use crate::{
    cache_index::{HolderKind, holder_at},
    cache_scope::CacheScope,
    gateway::Gateway,
};

/// The interval of the checks for unused parts.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long all engines must have had newer weights, in milliseconds: requests at engines that left have ended by then.
const SETTLED_MS: TimeMs = TimeMs(2_000);
/// The most parts that are freed in one call.
const MAX_FREED_PARTS: usize = 512;

/// The oldest weight version on any engine by model, and the time since which it is the oldest.
type OldestWeights = HashMap<ModelName, (u64, TimeMs)>;

fn update_oldest_weights(gateway: &Gateway, oldest: &mut OldestWeights) {
    let now_ms = gateway.clock.now();
    let endpoints = gateway.endpoints.lock();
    let mut listed: HashMap<ModelName, u64> = HashMap::new();
    for served in endpoints.records().flat_map(|record| &record.models) {
        let least = listed.entry(served.model.clone()).or_insert(served.weight_version);
        *least = served.weight_version.min(*least);
    }
    oldest.retain(|model, _| listed.contains_key(model));
    for (model, version) in listed {
        let entry = oldest.entry(model).or_insert((version, now_ms));
        if entry.0 != version {
            *entry = (version, now_ms);
        }
    }
}

fn is_used(oldest: &OldestWeights, scope: &str, now_ms: TimeMs) -> bool {
    let Ok(scope) = scope.parse::<CacheScope>() else { return true };
    oldest.get(&scope.model).is_none_or(|(version, since_ms)| {
        scope.weight_version >= *version || now_ms.since(*since_ms) < SETTLED_MS
    })
}

pub(super) async fn run(gateway: Arc<Gateway>) {
    let mut oldest = OldestWeights::new();
    loop {
        sleep(CHECK_INTERVAL).await;
        update_oldest_weights(&gateway, &mut oldest);
        let now_ms = gateway.clock.now();
        let instance = gateway.settings.instance.as_str();
        let unused: Vec<_> = {
            let mut peers = gateway.peers.lock();
            let holders = gateway.holders.lock();
            let stores = holders.iter().filter(|holder| holder.traits().kind == HolderKind::Store);
            stores
                .filter(|store| peers.rendezvous_rank(instance, &store.address().to_string()) == 0)
                .filter_map(|store| {
                    let unused =
                        store.unused_parts(|scope| is_used(&oldest, scope, now_ms), now_ms);
                    unused.map(|(epoch, parts)| (store.address(), epoch, parts))
                })
                .collect()
        };
        for (address, epoch, mut parts) in unused {
            parts.truncate(MAX_FREED_PARTS);
            let is_freed = gateway.caches.free(address, epoch, &parts).await;
            let mut holders = gateway.holders.lock();
            let store = holder_at(&mut holders, address);
            if let Some(store) = store.filter(|_| is_freed) {
                store.remove_freed(epoch, &parts);
            }
            drop(holders);
            log::info!(
                target: "order", store:% = address, parts = parts.len(), freed = is_freed;
                "parts of older weights freed"
            );
        }
    }
}
