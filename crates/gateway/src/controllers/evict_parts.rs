//! Frees the least valuable parts in stores ahead of need, and reports uses of parts to the owners of the stores.
//!
//! Each store has one owner, which all instances derive from the set of live ones. Instances may disagree on it for a
//! moment: two owners announce and free more than one would, and freeing a part twice is harmless. The decisions are those
//! of [`StoreEviction`].

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use futures::future::join_all;
use tokio::{net::UdpSocket, time::sleep};

use super::peers::{PeerAddresses, peer_addresses, send_message};
use crate::{
    cache_index::{HolderKind, HolderView, PartTag, holder_at},
    gateway::Gateway,
    part_plan::is_short,
    part_values::{EvictionStep, MAX_REPORTED_USES, STEP_INTERVAL_MS, StoreEviction, UsesReport},
    peer_loads::{PartsLeavingMessage, PeerMessage},
    translation::PartKey,
};

/// The interval of reports of uses to few peers: short compared to the time between two uses of a part.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);
/// The number of peers for which the interval of reports is extended by another second.
const PEERS_PER_INTERVAL: usize = 100;
/// The most parts in one announcement, at up to five bytes each, so that it fits into one datagram.
const MAX_ANNOUNCED_PARTS: usize = 250;

/// The decision for one store.
struct StoreStep {
    store: SocketAddr,
    epoch: u64,
    step: EvictionStep,
}

/// Applies an announcement of the owner of a store.
pub(super) fn mark_leaving(gateway: &Gateway, store: SocketAddr, parts: &[PartTag]) {
    let now_ms = gateway.clock.now();
    if let Some(view) = holder_at(&mut gateway.holders.lock(), store) {
        view.mark_leaving(parts, now_ms);
    }
}

/// Returns true if a store before `store` in the order of addresses has the part and keeps it. By this order, the owners
/// of two copies agree on which one is the spare. Of short parts, no copy is spare.
fn is_copied(stores: &[&HolderView], store: SocketAddr, key: &PartKey, gateway: &Gateway) -> bool {
    let now_ms = gateway.clock.now();
    stores
        .iter()
        .filter(|other| other.address() < store)
        .filter_map(|other| other.complete_tokens(key, now_ms))
        .any(|tokens| !is_short(tokens))
}

/// Makes one step for each store that this instance owns, and notes which parts leave.
fn decide(gateway: &Gateway, evictions: &mut HashMap<SocketAddr, StoreEviction>) -> Vec<StoreStep> {
    let now_ms = gateway.clock.now();
    let instance = gateway.settings.instance.as_str();
    let peers = gateway.peers.lock();
    let mut holders = gateway.holders.lock();
    let stores: Vec<_> =
        holders.iter().filter(|view| view.traits().kind == HolderKind::Store).collect();
    let is_owner =
        |store: SocketAddr| peers.rendezvous_first(instance, &store.to_string()).is_none();
    let owned: Vec<_> = stores.iter().filter(|view| is_owner(view.address())).collect();
    drop(peers);
    evictions.retain(|store, _| owned.iter().any(|view| view.address() == *store));
    let mut values = gateway.part_values.lock();
    values.usage.retain(|store, _| owned.iter().any(|view| view.address() == *store));
    let mut steps = Vec::new();
    for view in owned {
        let store = view.address();
        let eviction = evictions.entry(store).or_insert_with(|| StoreEviction::new(now_ms));
        let Some(contents) = view.store_contents(now_ms) else { continue };
        let is_copied = |key: &PartKey| is_copied(&stores, store, key, gateway);
        let step =
            eviction.step(&contents, values.usage.entry(store).or_default(), is_copied, now_ms);
        steps.push(StoreStep { store, epoch: contents.epoch, step });
    }
    drop(values);
    for StoreStep { store, step, .. } in &steps {
        if let Some(view) = holder_at(&mut holders, *store) {
            view.mark_leaving(&step.announced, now_ms);
        }
    }
    steps
}

/// Frees the parts of one step in their store.
async fn free(gateway: &Gateway, StoreStep { store, epoch, step }: StoreStep) {
    if step.chosen > 0 {
        log::info!(
            target: "order", store:% = store, parts = step.chosen,
            least_kept_uses_per_min = step.least_kept.map_or(0.0, |uses| (uses * 10.0).round() / 10.0);
            "parts begin to leave a store that is nearly full"
        );
    }
    if step.freed.is_empty() {
        return;
    }
    let is_freed = gateway.caches.free(store, epoch, &step.freed).await;
    if is_freed {
        gateway.metrics.record_eviction(step.freed.len(), step.freed_tokens);
        if let Some(view) = holder_at(&mut gateway.holders.lock(), store) {
            view.remove_freed(epoch, &step.freed);
        }
    }
    log::info!(
        target: "order", store:% = store, parts = step.freed.len(), tokens = step.freed_tokens,
        freed = is_freed;
        "parts of low value freed"
    );
}

/// Evicts parts in the stores that this instance owns.
pub(super) async fn run(gateway: &Gateway, socket: &UdpSocket, addresses: &PeerAddresses) {
    let mut evictions = HashMap::new();
    loop {
        sleep(Duration::from_millis(STEP_INTERVAL_MS.get())).await;
        let steps = decide(gateway, &mut evictions);
        if steps.iter().all(|step| step.step.announced.is_empty() && step.step.freed.is_empty()) {
            continue;
        }
        let peers = peer_addresses(gateway, addresses);
        for StoreStep { store, step, .. } in &steps {
            for parts in step.announced.chunks(MAX_ANNOUNCED_PARTS) {
                let message = PartsLeavingMessage { store: *store, parts: parts.to_vec() };
                send_message(socket, &peers, &PeerMessage::PartsLeaving(message)).await;
            }
        }
        join_all(steps.into_iter().map(|step| free(gateway, step))).await;
    }
}

/// Applies a report of uses of parts in a store.
pub(super) fn apply_uses(gateway: &Gateway, report: &UsesReport) {
    let now_ms = gateway.clock.now();
    if holder_at(&mut gateway.holders.lock(), report.store).is_some() {
        gateway.part_values.lock().usage.entry(report.store).or_default().apply(report, now_ms);
    }
}

/// Reports uses of parts to the owners of the stores that hold them, or that they would be saved to.
pub(super) async fn report_uses(gateway: &Gateway, socket: &UdpSocket, addresses: &PeerAddresses) {
    let instance = gateway.settings.instance.as_str();
    let process_number = gateway.process_number;
    let mut sequence = 0;
    loop {
        let peers = addresses.lock().len();
        let intervals = u32::try_from(peers.div_ceil(PEERS_PER_INTERVAL).max(1)).unwrap_or(1);
        sleep(REPORT_INTERVAL * intervals).await;
        let pending = gateway.part_values.lock().pending.take();
        for (store, uses) in pending {
            let owner = {
                let peers = gateway.peers.lock();
                peers.rendezvous_first(instance, &store.to_string()).map(str::to_owned)
            };
            let address = owner.as_ref().map(|owner| {
                let name = owner.parse().ok()?;
                addresses.lock().get(&name).map(|peer| peer.address)
            });
            for uses in uses.chunks(MAX_REPORTED_USES) {
                sequence += 1;
                let report = UsesReport { process_number, sequence, store, uses: uses.to_vec() };
                match address {
                    None => apply_uses(gateway, &report),
                    Some(Some(address)) => {
                        let message = PeerMessage::PartUses(report);
                        send_message(socket, &[address], &message).await;
                    }
                    Some(None) => {}
                }
            }
        }
    }
}
