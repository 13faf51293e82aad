//! Follows what each store and each engine holds of prompts.
//!
//! A holder takes few such calls at once, and one that returns at once is priced, so calls wait for events and follow
//! each other with a pause.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use bilberryford_types::{BytesPerSec, TimeMs};
use rand::RngExt;
use tokio::{task::JoinSet, time::sleep};

use crate::{
    cache_index::{HolderKind, HolderTraits, HolderView, PartTag, PartUpdate, holder_at},
    deployment::Deployment,
    endpoints::EndpointState,
    gateway::Gateway,
    peer_loads::{EndpointTag, StorePartsMessage},
    translation::CacheChanges,
};

/// How often the configuration and the list are asked for holders.
const RECONCILE_EVERY: Duration = Duration::from_millis(300);
/// How long a call waits for events, in milliseconds.
const WAIT_MS: TimeMs = TimeMs(1_000);
/// The pause between two calls to one store, in milliseconds: parts that were saved meanwhile come in one answer.
const STORE_PAUSE_MS: u64 = 120;
/// The same for an engine, whose memory changes with every request.
const ENGINE_PAUSE_MS: u64 = 250;
/// The pause after a call without an answer, in milliseconds.
const FAILED_PAUSE_MS: u64 = 500;
/// How often an instance that hears of a store through peers looks whether it has to ask, in milliseconds.
const LISTEN_MS: u64 = 3_000;
/// How often all content of a store is asked for, since some events never arrive, in milliseconds.
const RELIST_MS: TimeMs = TimeMs(15_000);

/// A holder to follow; an engine's other life is another holder.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Holder {
    traits: HolderTraits,
    is_followed: bool,
}

/// How many of a holder's calls for events are left free, for instances that disagree on who follows.
const FREE_CALLS: usize = 2;

/// How many instances follow an engine in a large fleet: the one that tells, and one to take over.
const ENGINE_FOLLOWERS: usize = 2;

/// How many followers of a store pass on what it says, so that one may be lost.
const TELLERS: usize = 2;

/// How many instances go before this one in following the holder at `address`.
fn rank(gateway: &Gateway, address: SocketAddr) -> usize {
    let now_ms = gateway.clock.now();
    let own = gateway.settings.instance.as_str();
    gateway.peers.lock().rendezvous_rank(own, &address.to_string(), now_ms)
}

/// How many instances ask a holder themselves; where not all can ask an engine, few do and tell the others.
fn followers(gateway: &Gateway, max_followers: u32, kind: HolderKind) -> usize {
    let most = (max_followers as usize).saturating_sub(FREE_CALLS).max(1);
    let has_listeners = gateway.peers.lock().live_instances(gateway.clock.now()) > most as u64;
    if kind == HolderKind::Engine && has_listeners { most.min(ENGINE_FOLLOWERS) } else { most }
}

/// Whether this instance is one of those that ask the holder themselves.
fn is_ours(gateway: &Gateway, address: SocketAddr, max_followers: u32, kind: HolderKind) -> bool {
    rank(gateway, address) < followers(gateway, max_followers, kind)
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
            max_subscribers: store.max_followers,
            incarnation: None,
        },
        is_followed: is_ours(gateway, store.address, store.max_followers, HolderKind::Store),
    });
    let endpoints = gateway.endpoints.lock();
    let engines = endpoints.records().filter(|record| record.state == EndpointState::Ready);
    let engines = engines.filter_map(|record| {
        let engine = deployment.service(&record.service)?.engine.as_ref()?;
        Some(Holder {
            traits: HolderTraits {
                kind: HolderKind::Engine,
                address: record.address,
                data_centre: Some(record.data_centre.clone()),
                capacity_tokens: engine.kv_capacity_tokens,
                link: engine.link.max(BytesPerSec(1)),
                first_byte_ms: TimeMs(0),
                max_subscribers: engine.max_followers,
                incarnation: Some(EndpointTag::new(record.id.as_str(), record.started_ms)),
            },
            is_followed: is_ours(gateway, record.address, engine.max_followers, HolderKind::Engine),
        })
    });
    stores.chain(engines).collect()
}

pub(super) async fn run(gateway: Arc<Gateway>) {
    let mut tasks: HashMap<SocketAddr, (Holder, JoinSet<()>)> = HashMap::new();
    loop {
        let deployment = gateway.deployment.load_full();
        let wanted =
            deployment.as_ref().map_or_else(Vec::new, |deployment| holders(&gateway, deployment));
        let wanted: HashMap<_, _> =
            wanted.into_iter().map(|holder| (holder.traits.address, holder)).collect();
        tasks.retain(|address, (holder, _)| wanted.get(address) == Some(holder));
        gateway.holders.lock().retain(|view| tasks.contains_key(&view.address()));
        for (address, holder) in wanted {
            if tasks.contains_key(&address) {
                continue;
            }
            let view = HolderView::new(holder.traits.clone(), holder.is_followed);
            gateway.holders.lock().push(view);
            let mut task = JoinSet::new();
            if holder.is_followed {
                task.spawn(follow(gateway.clone(), address, holder.traits.kind));
            } else if holder.traits.kind == HolderKind::Store {
                task.spawn(listen(gateway.clone(), address));
            }
            tasks.insert(address, (holder, task));
        }
        sleep(RECONCILE_EVERY).await;
    }
}

/// Asks for changes since the last answer, or from the start; whoever keeps no events so old is asked for all.
async fn ask(gateway: &Gateway, address: SocketAddr, wants_all: bool) -> bool {
    let asked_ms = gateway.clock.now();
    if !wants_all {
        let position = with_view(gateway, address, |view| view.cursor()).flatten();
        let since = position.unwrap_or(0);
        let Some(changes) = gateway.caches.changes(address, since, WAIT_MS).await else {
            return false;
        };
        let heard_ms = gateway.clock.now();
        tell(gateway, address, since, &changes);
        with_view(gateway, address, |view| view.apply_changes(changes, heard_ms));
        if with_view(gateway, address, |view| view.cursor()).flatten().is_some() {
            return true;
        }
    }
    match gateway.caches.snapshot(address).await {
        Some(content) => {
            with_view(gateway, address, |view| view.apply_snapshot(content, asked_ms));
            true
        }
        None => false,
    }
}

/// Passes on what a holder says to peers that don't follow it, if there are any.
fn tell(gateway: &Gateway, address: SocketAddr, since: u64, changes: &CacheChanges) {
    let Some(traits) = with_view(gateway, address, |view| view.traits().clone()) else { return };
    let followers = followers(gateway, traits.max_subscribers, traits.kind);
    if gateway.peers.lock().live_instances(gateway.clock.now()) <= followers as u64 {
        return;
    }
    let rank = rank(gateway, address);
    if let Some(engine) = traits.incarnation {
        if rank == 0 {
            let told = changes.changes.iter().map(|change| {
                let has = change.tokens.map(|tokens| PartUpdate::Has(tokens.get()));
                (PartTag::new(&change.key), has.unwrap_or(PartUpdate::Gone))
            });
            gateway.engine_parts.lock().add(engine, told);
        }
    } else if rank < TELLERS {
        let changes = changes.clone();
        gateway.parts_to_tell.lock().push(StorePartsMessage { holder: address, since, changes });
        gateway.has_parts_to_tell.notify_one();
    }
}

/// Asks a store that peers follow for all content, while what they pass on does not go on from what is known.
async fn listen(gateway: Arc<Gateway>, address: SocketAddr) {
    loop {
        let pause_ms = rand::rng().random_range(LISTEN_MS / 2..=LISTEN_MS);
        sleep(Duration::from_millis(pause_ms)).await;
        let needs_snapshot = with_view(&gateway, address, |view| view.needs_snapshot());
        if needs_snapshot.unwrap_or(true) && !ask(&gateway, address, true).await {
            log::debug!(holder:% = address; "holder of parts not heard");
        }
    }
}

async fn follow(gateway: Arc<Gateway>, address: SocketAddr, kind: HolderKind) {
    let mut is_heard = true;
    let mut listed_ms = gateway.clock.now();
    let pause_ms = match kind {
        HolderKind::Store => STORE_PAUSE_MS,
        HolderKind::Engine => ENGINE_PAUSE_MS,
    };
    loop {
        let now_ms = gateway.clock.now();
        let wants_all = kind == HolderKind::Store && now_ms.since(listed_ms) >= RELIST_MS;
        if wants_all {
            listed_ms = now_ms;
        }
        let answered = ask(&gateway, address, wants_all).await;
        if std::mem::replace(&mut is_heard, answered) != answered {
            let what = if answered { "regained" } else { "lost" };
            log::info!(target: "dependency", holder:% = address, what = what; "holder of parts");
        }
        let bound_ms = if answered {
            pause_ms
        } else {
            with_view(&gateway, address, HolderView::invalidate);
            FAILED_PAUSE_MS
        };
        let pause_ms = rand::rng().random_range(bound_ms * 3 / 4..=bound_ms);
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

fn with_view<T>(
    gateway: &Gateway,
    address: SocketAddr,
    act: impl FnOnce(&mut HolderView) -> T,
) -> Option<T> {
    holder_at(&mut gateway.holders.lock(), address).map(act)
}
