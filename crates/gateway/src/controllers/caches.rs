//! Keeps the views of the prompt parts that each store and each engine holds.
//!
//! Some instances subscribe to a holder's events and report the changes to the others. A holder accepts few calls for
//! events at a time and charges for calls that return at once, so calls wait for events, with a pause in between.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use bilberryford_types::{BytesPerSec, TimeMs};
use rand::RngExt;
use tokio::{task::JoinSet, time::sleep};

use crate::{
    cache_index::{HolderKind, HolderTraits, HolderView, PartTag, PartUpdate, holder_at},
    deployment::Deployment,
    gateway::Gateway,
    peer_loads::{EndpointTag, StorePartsMessage},
    store_parts::split_changes,
    translation::CacheChanges,
};

/// The interval at which the set of holders is read from the configuration and the list of endpoints.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(300);
/// The longest time that a call waits for events, in milliseconds.
const POLL_TIMEOUT_MS: TimeMs = TimeMs(1_000);
/// The pause between two calls to a store, in milliseconds: one reply then has all parts that were saved meanwhile.
const STORE_PAUSE_MS: u64 = 120;
/// The pause between two calls to an engine, in milliseconds: its memory changes with every request.
const ENGINE_PAUSE_MS: u64 = 250;
/// The failed calls in a row after which nothing is fetched from a store: one may be late while the store is sound.
const MAX_STORE_FAILURES: u32 = 2;
/// The pause after a failed call, in milliseconds.
const FAILURE_PAUSE_MS: u64 = 500;
/// The interval at which an instance that is not subscribed to a store checks for gaps in its peers' reports, in
/// milliseconds.
const GAP_CHECK_INTERVAL_MS: u64 = 3_000;
/// The longest wait for the first snapshot of a store by an instance that is not subscribed to it, in milliseconds.
const FIRST_SNAPSHOT_MS: u64 = 300;
/// By how much that wait is longer for each live instance, in milliseconds, so that they don't all ask at once.
const SNAPSHOT_SPREAD_MS: u64 = 5;
/// The interval of full snapshots of a store, in milliseconds, since some events never arrive.
const SNAPSHOT_INTERVAL_MS: TimeMs = TimeMs(15_000);

/// A store or an engine that holds parts. Another incarnation of an engine is another holder.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Holder {
    traits: HolderTraits,
    is_subscribed: bool,
}

/// The calls for events that are left free at a holder, for instances that disagree on the subscribers for a moment.
const RESERVED_CALLS: usize = 2;

/// The subscribers of an engine if there are more instances than it accepts: one that reports and one to take over.
const ENGINE_SUBSCRIBERS: usize = 2;

/// The most bytes of changes in one message, which leaves room for the address of the store and the cursor.
const MAX_CHANGES_BYTES: usize = 1_340;

/// The subscribers that forward a store's changes: two, so that one may fail.
const FORWARDING_SUBSCRIBERS: usize = 2;

/// The number of instances that precede this one as subscribers of the holder at `address`.
fn subscriber_rank(gateway: &Gateway, address: SocketAddr) -> usize {
    let instance = gateway.settings.instance.as_str();
    gateway.peers.lock().rendezvous_rank(instance, &address.to_string())
}

/// The number of instances that subscribe to a holder. If an engine can't serve all, a few subscribe for the others.
fn subscriber_count(gateway: &Gateway, max_subscribers: u32, kind: HolderKind) -> usize {
    let usable_calls = (max_subscribers as usize).saturating_sub(RESERVED_CALLS).max(1);
    let has_more_instances =
        gateway.peers.lock().live_instances(gateway.clock.now()) > usable_calls as u64;
    if kind == HolderKind::Engine && has_more_instances {
        usable_calls.min(ENGINE_SUBSCRIBERS)
    } else {
        usable_calls
    }
}

/// Returns true if this instance is one of the holder's subscribers.
fn is_subscriber(
    gateway: &Gateway,
    address: SocketAddr,
    max_subscribers: u32,
    kind: HolderKind,
) -> bool {
    subscriber_rank(gateway, address) < subscriber_count(gateway, max_subscribers, kind)
}

fn holders(gateway: &Gateway, deployment: &Deployment) -> Vec<Holder> {
    let stores = deployment.services().filter_map(|service| service.store.as_ref());
    let stores = stores.filter(|store| store.is_managed).map(|store| Holder {
        traits: HolderTraits {
            kind: HolderKind::Store,
            address: store.address,
            data_centre: store.data_centre.clone(),
            capacity_tokens: store.capacity_tokens,
            link: store.link,
            first_byte_ms: store.first_byte_ms,
            max_subscribers: store.max_subscribers,
            incarnation: None,
        },
        is_subscribed: is_subscriber(
            gateway,
            store.address,
            store.max_subscribers,
            HolderKind::Store,
        ),
    });
    let endpoints = gateway.endpoints.lock();
    // Nothing is fetched from an evacuated engine, so that nothing has to be known of its memory.
    let evacuations = gateway.evacuations.lock();
    let in_use = endpoints
        .ready(gateway.clock.now())
        .filter(|record| !evacuations.is_evacuated(&record.data_centre));
    let engines = in_use.filter_map(|record| {
        let engine = deployment.service(&record.service)?.engine.as_ref()?;
        Some(Holder {
            traits: HolderTraits {
                kind: HolderKind::Engine,
                address: record.address,
                data_centre: Some(record.data_centre.clone()),
                capacity_tokens: engine.kv_capacity_tokens,
                link: engine.link.max(BytesPerSec(1)),
                first_byte_ms: TimeMs(0),
                max_subscribers: engine.max_subscribers,
                incarnation: Some(EndpointTag::new(record.id.as_str(), record.started_ms)),
            },
            is_subscribed: is_subscriber(
                gateway,
                record.address,
                engine.max_subscribers,
                HolderKind::Engine,
            ),
        })
    });
    stores.chain(engines).collect()
}

pub(super) async fn run(gateway: Arc<Gateway>) {
    let mut tasks: HashMap<SocketAddr, (Holder, JoinSet<()>)> = HashMap::new();
    loop {
        let deployment = gateway.deployment.load_full();
        let desired =
            deployment.as_ref().map_or_else(Vec::new, |deployment| holders(&gateway, deployment));
        let desired: HashMap<_, _> =
            desired.into_iter().map(|holder| (holder.traits.address, holder)).collect();
        tasks.retain(|address, (holder, _)| desired.get(address) == Some(holder));
        gateway.holders.lock().retain(|view| {
            desired.get(&view.address()).is_some_and(|holder| holder.traits == *view.traits())
        });
        for (address, holder) in desired {
            if tasks.contains_key(&address) {
                continue;
            }
            // When the subscribers change, the contents that are known stay in use.
            let mut holders = gateway.holders.lock();
            match holder_at(&mut holders, address) {
                Some(view) => view.set_subscribed(holder.is_subscribed),
                None => holders.push(HolderView::new(holder.traits.clone(), holder.is_subscribed)),
            }
            drop(holders);
            let mut task = JoinSet::new();
            if holder.is_subscribed {
                task.spawn(subscribe(gateway.clone(), address, holder.traits.kind));
            } else if holder.traits.kind == HolderKind::Store {
                task.spawn(fill_gaps(gateway.clone(), address));
            }
            tasks.insert(address, (holder, task));
        }
        sleep(RECONCILE_INTERVAL).await;
    }
}

/// Requests the changes since the cursor, or a snapshot if the holder no longer has these events or if
/// `wants_snapshot` is set. Returns false if the holder did not reply.
async fn poll(gateway: &Gateway, address: SocketAddr, wants_snapshot: bool) -> bool {
    let requested_ms = gateway.clock.now();
    if !wants_snapshot {
        let cursor = with_view(gateway, address, |view| view.cursor()).flatten();
        let since = cursor.unwrap_or(0);
        let Some(changes) = gateway.caches.changes(address, since, POLL_TIMEOUT_MS).await else {
            return false;
        };
        let received_ms = gateway.clock.now();
        record_departure(gateway, address, changes.is_leaving);
        forward_changes(gateway, address, since, &changes);
        with_view(gateway, address, |view| view.apply_changes(changes, received_ms));
        if with_view(gateway, address, |view| view.cursor()).flatten().is_some() {
            return true;
        }
    }
    match gateway.caches.snapshot(address).await {
        Some(snapshot) => {
            record_departure(gateway, address, snapshot.is_leaving);
            with_view(gateway, address, |view| view.apply_snapshot(snapshot, requested_ms));
            true
        }
        None => false,
    }
}

/// Records that the engine at `address` leaves, if its answer said so. Stores have no incarnations to leave.
fn record_departure(gateway: &Gateway, address: SocketAddr, is_leaving: bool) {
    let incarnation = with_view(gateway, address, |view| view.traits().incarnation).flatten();
    if let Some(incarnation) = incarnation.filter(|_| is_leaving) {
        gateway.record_departure(incarnation);
    }
}

/// Forwards a holder's changes to the peers that are not subscribed to it, if there are any.
fn forward_changes(gateway: &Gateway, address: SocketAddr, since: u64, changes: &CacheChanges) {
    let Some(traits) = with_view(gateway, address, |view| view.traits().clone()) else { return };
    let subscriber_count = subscriber_count(gateway, traits.max_subscribers, traits.kind);
    if gateway.peers.lock().live_instances(gateway.clock.now()) <= subscriber_count as u64 {
        return;
    }
    let subscriber_rank = subscriber_rank(gateway, address);
    if let Some(engine) = traits.incarnation {
        if subscriber_rank == 0 {
            let updates = changes.changes.iter().map(|change| {
                let update = change.tokens.map(|tokens| PartUpdate::Has(tokens.get()));
                (PartTag::new(&change.key), update.unwrap_or(PartUpdate::Gone))
            });
            gateway.pending_engine_parts.lock().add(engine, updates);
        }
    } else if subscriber_rank < FORWARDING_SUBSCRIBERS {
        let groups = split_changes(since, changes.clone(), MAX_CHANGES_BYTES);
        let messages = groups.into_iter().map(|(since, changes)| StorePartsMessage {
            holder: address,
            since,
            changes,
        });
        gateway.pending_store_parts.lock().extend(messages);
        gateway.store_parts_added.notify_one();
    }
}

/// Requests a snapshot of a store whenever the changes that peers forward do not continue from this instance's cursor, and
/// soon if nothing is known of the store.
async fn fill_gaps(gateway: Arc<Gateway>, address: SocketAddr) {
    let pause = |max_ms: u64| Duration::from_millis(rand::rng().random_range(max_ms / 2..=max_ms));
    loop {
        let peers = gateway.peers.lock().live_instances(gateway.clock.now());
        sleep(pause(FIRST_SNAPSHOT_MS + peers * SNAPSHOT_SPREAD_MS)).await;
        let is_unknown = || with_view(&gateway, address, |view| view.is_unknown());
        if !is_unknown().unwrap_or(true) {
            sleep(pause(GAP_CHECK_INTERVAL_MS)).await;
        }
        let needs_snapshot = with_view(&gateway, address, |view| view.needs_snapshot());
        if needs_snapshot.unwrap_or(true) && !poll(&gateway, address, true).await {
            log::debug!(holder:% = address; "no snapshot from the store");
        }
    }
}

async fn subscribe(gateway: Arc<Gateway>, address: SocketAddr, kind: HolderKind) {
    let mut is_connected = true;
    let mut snapshot_ms = gateway.clock.now();
    let mut failures = 0;
    let (pause_ms, max_failures) = match kind {
        HolderKind::Store => (STORE_PAUSE_MS, MAX_STORE_FAILURES),
        HolderKind::Engine => (ENGINE_PAUSE_MS, 1),
    };
    loop {
        let now_ms = gateway.clock.now();
        let wants_snapshot =
            kind == HolderKind::Store && now_ms.since(snapshot_ms) >= SNAPSHOT_INTERVAL_MS;
        if wants_snapshot {
            snapshot_ms = now_ms;
        }
        let has_succeeded = poll(&gateway, address, wants_snapshot).await;
        if std::mem::replace(&mut is_connected, has_succeeded) != has_succeeded {
            let what = if has_succeeded { "regained" } else { "lost" };
            log::info!(target: "dependency", holder:% = address, what = what; "holder of parts");
        }
        failures = if has_succeeded { 0 } else { failures + 1 };
        if failures >= max_failures {
            with_view(&gateway, address, HolderView::invalidate);
        }
        let max_pause_ms = if has_succeeded { pause_ms } else { FAILURE_PAUSE_MS };
        let pause_ms = rand::rng().random_range(max_pause_ms * 3 / 4..=max_pause_ms);
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

fn with_view<T>(
    gateway: &Gateway,
    address: SocketAddr,
    action: impl FnOnce(&mut HolderView) -> T,
) -> Option<T> {
    holder_at(&mut gateway.holders.lock(), address).map(action)
}
