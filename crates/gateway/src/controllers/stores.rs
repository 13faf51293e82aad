//! Follows what each store of cached prompt parts holds.
//!
//! A store holds few such calls at once, and one that returns at once is priced, so calls wait for events and follow
//! each other with a pause.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use bilberryford_types::TimeMs;
use tokio::{task::JoinSet, time::sleep};

use crate::{cache_index::StoreView, deployment::StoreTraits, gateway::Gateway};

/// How often the configuration is asked for stores.
const RECONCILE_EVERY: Duration = Duration::from_millis(300);
/// How long a call waits for events, in milliseconds.
const WAIT_MS: TimeMs = TimeMs(1_000);
/// The pause between two calls to one store: parts that were saved meanwhile come in one answer.
const PAUSE: Duration = Duration::from_millis(120);
/// The pause after a call without an answer.
const FAILED_PAUSE: Duration = Duration::from_millis(400);
/// How often all content is asked for, since some events never arrive, in milliseconds.
const RELIST_MS: TimeMs = TimeMs(15_000);

pub(super) async fn run(gateway: Arc<Gateway>) {
    let mut tasks: HashMap<SocketAddr, (StoreTraits, JoinSet<()>)> = HashMap::new();
    loop {
        let stores: Vec<StoreTraits> = gateway.deployment.load().as_ref().map_or_else(
            Vec::new,
            |deployment| {
                let stores = deployment.services().filter_map(|service| service.store.clone());
                stores.filter(|store| store.is_managed).collect()
            },
        );
        let is_kept = |address: &SocketAddr, traits: &StoreTraits| {
            stores.iter().any(|store| store.address == *address && store == traits)
        };
        tasks.retain(|address, (traits, _)| is_kept(address, traits));
        gateway.stores.lock().retain(|view| tasks.contains_key(&view.address()));
        for store in stores {
            if tasks.contains_key(&store.address) {
                continue;
            }
            let view = StoreView::new(store.address, store.capacity_tokens);
            gateway.stores.lock().push(view);
            let mut task = JoinSet::new();
            task.spawn(follow(gateway.clone(), store.address));
            tasks.insert(store.address, (store, task));
        }
        sleep(RECONCILE_EVERY).await;
    }
}

async fn follow(gateway: Arc<Gateway>, address: SocketAddr) {
    let mut is_heard = true;
    let mut listed_ms = TimeMs(0);
    loop {
        let position = with_view(&gateway, address, |view| view.position()).flatten();
        let needs_list = gateway.clock.now().since(listed_ms) >= RELIST_MS;
        let asked_ms = gateway.clock.now();
        let answered = match position.filter(|_| !needs_list) {
            None => match gateway.caches.content(address).await {
                Some(content) => {
                    listed_ms = asked_ms;
                    with_view(&gateway, address, |view| view.replace(content, asked_ms));
                    true
                }
                None => false,
            },
            Some((_, since)) => match gateway.caches.changes(address, since, WAIT_MS).await {
                Some(changes) => {
                    let heard_ms = gateway.clock.now();
                    with_view(&gateway, address, |view| view.apply(changes, heard_ms));
                    true
                }
                None => false,
            },
        };
        if std::mem::replace(&mut is_heard, answered) != answered {
            let what = if answered { "regained" } else { "lost" };
            log::info!(target: "dependency", store:% = address, what = what; "store of parts");
        }
        if answered {
            sleep(PAUSE).await;
        } else {
            with_view(&gateway, address, StoreView::forget);
            sleep(FAILED_PAUSE).await;
        }
    }
}

fn with_view<T>(
    gateway: &Gateway,
    address: SocketAddr,
    act: impl FnOnce(&mut StoreView) -> T,
) -> Option<T> {
    gateway.stores.lock().iter_mut().find(|view| view.address() == address).map(act)
}
