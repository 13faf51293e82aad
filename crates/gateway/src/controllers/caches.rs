//! Follows what each store and each engine holds of prompts.
//!
//! A holder takes few such calls at once, and one that returns at once is priced, so calls wait for events and follow
//! each other with a pause.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use bilberryford_types::{BytesPerSec, EndpointId, TimeMs};
use rand::RngExt;
use tokio::{task::JoinSet, time::sleep};

use crate::{
    cache_index::{HolderKind, HolderTraits, HolderView},
    deployment::Deployment,
    endpoints::EndpointState,
    gateway::Gateway,
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
/// How often all content of a store is asked for, since some events never arrive, in milliseconds.
const RELIST_MS: TimeMs = TimeMs(15_000);

/// A holder to follow; an engine's other life is another holder.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Holder {
    traits: HolderTraits,
    engine: Option<(EndpointId, TimeMs)>,
    max_followers: u32,
}

/// How many of a holder's calls for events are left free, for instances that disagree on who follows.
const FREE_CALLS: usize = 2;

impl Holder {
    /// Whether this instance is one of those that follow it.
    fn is_ours(&self, gateway: &Gateway) -> bool {
        let now_ms = gateway.clock.now();
        let address = self.traits.address.to_string();
        let rank = gateway.peers.lock().rank(gateway.settings.instance.as_str(), &address, now_ms);
        rank + FREE_CALLS < (self.max_followers as usize).max(FREE_CALLS + 1)
    }
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
        },
        engine: None,
        max_followers: store.max_followers,
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
            },
            engine: Some((record.id.clone(), record.born_ms)),
            max_followers: engine.max_followers,
        })
    });
    let all: Vec<Holder> = stores.chain(engines).collect();
    drop(endpoints);
    all.into_iter().filter(|holder| holder.is_ours(gateway)).collect()
}

pub(super) async fn run(gateway: Arc<Gateway>) {
    let mut tasks: HashMap<SocketAddr, (Holder, JoinSet<()>)> = HashMap::new();
    loop {
        let deployment = gateway.deployment.load_full();
        let wanted =
            deployment.as_ref().map_or_else(Vec::new, |deployment| holders(&gateway, deployment));
        tasks.retain(|_, (holder, _)| wanted.contains(holder));
        gateway.holders.lock().retain(|view| tasks.contains_key(&view.address()));
        for holder in wanted {
            let address = holder.traits.address;
            if tasks.contains_key(&address) {
                continue;
            }
            gateway.holders.lock().push(HolderView::new(holder.traits.clone()));
            let mut task = JoinSet::new();
            task.spawn(follow(gateway.clone(), address, holder.traits.kind));
            tasks.insert(address, (holder, task));
        }
        sleep(RECONCILE_EVERY).await;
    }
}

/// Asks for changes since the last answer, or from the start; whoever keeps no events so old is asked for all.
async fn ask(gateway: &Gateway, address: SocketAddr, wants_all: bool) -> bool {
    let asked_ms = gateway.clock.now();
    if !wants_all {
        let position = with_view(gateway, address, |view| view.position()).flatten();
        let since = position.unwrap_or(0);
        let Some(changes) = gateway.caches.changes(address, since, WAIT_MS).await else {
            return false;
        };
        let heard_ms = gateway.clock.now();
        with_view(gateway, address, |view| view.apply(changes, heard_ms));
        if with_view(gateway, address, |view| view.position()).flatten().is_some() {
            return true;
        }
    }
    match gateway.caches.content(address).await {
        Some(content) => {
            with_view(gateway, address, |view| view.replace(content, asked_ms));
            true
        }
        None => false,
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
            with_view(&gateway, address, HolderView::forget);
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
    gateway.holders.lock().iter_mut().find(|view| view.address() == address).map(act)
}
