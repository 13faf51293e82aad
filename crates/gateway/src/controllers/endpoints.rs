//! Keeps the endpoint table up to date with the store.

use std::{sync::Arc, time::Duration};

use bilberryford_platform::{Changes, Object, ObjectKind};
use bilberryford_types::{ObjectVersion, TimeMs};
use futures::{FutureExt, future::BoxFuture};
use rand::RngExt;
use tokio::time::sleep;

use super::list_watch::WatchHandler;
use crate::{
    change_log::{ChangeBatch, ObjectChange},
    endpoints::{AppliedEntry, EndpointChange, EndpointState},
    gateway::Gateway,
};

/// The batches of changes in the time for which a leaving endpoint serves: the rest of that time is for the watch, for the
/// questions of instances that do not read the store, and for lost datagrams.
const BATCHES_PER_DRAIN: u64 = 4;
/// The shortest delay that collects changes of endpoints.
const MIN_BATCH_DELAY: Duration = Duration::from_millis(200);
/// The longest delay that collects changes of endpoints: placement relies on them as well.
const MAX_BATCH_DELAY: Duration = Duration::from_millis(1_000);

/// The longest interval between two comparisons with a list.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(5);
/// The same for each entry of a large fleet, so that the lists stay a small part of an instance's traffic.
const RECONCILE_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(50);

pub(super) struct EndpointHandler;

/// Logs changes of endpoints, and records the incarnations that ended.
pub(crate) fn record_changes(gateway: &Gateway, changes: impl IntoIterator<Item = EndpointChange>) {
    record_list(gateway, changes, false);
}

/// Records the cold period that an entry states.
fn record_entry(gateway: &Gateway, change: &EndpointChange, is_first_list: bool) {
    let Some(applied) = change.applied else { return };
    let record = gateway.endpoints.lock().get(&change.id).cloned();
    if let Some(record) = record.filter(|record| record.started_ms == change.started_ms) {
        let is_new = applied == AppliedEntry::First && !is_first_list;
        gateway.record_entry_cold(&record, is_new);
    }
}

/// The same for the changes of a list, which may be the first one of this process.
fn record_list(
    gateway: &Gateway,
    changes: impl IntoIterator<Item = EndpointChange>,
    is_first_list: bool,
) {
    for change in changes {
        record_entry(gateway, &change, is_first_list);
        log::info!(
            target: "belief", endpoint:% = change.id, what = change.kind, state:% = change.state,
            build:% = change.build, version:% = change.version, started:% = change.started_ms,
            heartbeat = change.heartbeat;
            "endpoint"
        );
        gateway.change_blame(|blame, now_ms| {
            if change.state == EndpointState::Leaving {
                blame.record_departure(change.incarnation(), now_ms);
            }
            let ended = change.ended_incarnation.into_iter();
            ended.flat_map(|incarnation| blame.record_removal(incarnation, now_ms)).collect()
        });
    }
}

/// The version of the store up to which the table of endpoints is complete.
pub(super) fn endpoints_are_complete_to(gateway: &Gateway) -> Option<ObjectVersion> {
    gateway.endpoint_log.lock().complete_to()
}

/// Applies the changes of a batch, unless the table has them already or lacks what precedes them.
pub(super) fn apply_batch(gateway: &Gateway, batch: &ChangeBatch) {
    // Held while the batch is applied, since lists, watches and readers' answers may arrive at the same time.
    let mut log = gateway.endpoint_log.lock();
    if log.record_batch(batch) {
        batch.changes.iter().for_each(|change| apply_change(gateway, change));
    }
}

fn apply_change(gateway: &Gateway, change: &ObjectChange) {
    let body = change.body.as_deref();
    let decoded = body.map(|body| gateway.translation.decode_endpoint(change.name.as_str(), body));
    let changed = match decoded {
        Some(Ok(record)) => gateway.endpoints.lock().upsert(record, change.version),
        Some(Err(error)) => {
            log::warn!(target: "belief", entry:% = change.name, error:% = error; "entry left out");
            remove(gateway, change)
        }
        None => remove(gateway, change),
    };
    record_changes(gateway, changed);
}

fn remove(gateway: &Gateway, change: &ObjectChange) -> Option<EndpointChange> {
    let id = change.name.as_str().parse().ok()?;
    gateway.endpoints.lock().remove(&id, gateway.clock.now())
}

/// Compares the table with lists of the store that may be old, which cost it little. Nothing else notices a change that no
/// watch returned.
pub(super) async fn reconcile(gateway: Arc<Gateway>) {
    loop {
        let entries = gateway.endpoints.lock().records().count() as u32;
        let max_interval = RECONCILE_INTERVAL.max(RECONCILE_INTERVAL_PER_ENTRY * entries);
        let jitter = rand::rng().random_range(0.75..=1.0);
        sleep(max_interval.mul_f64(jitter)).await;
        let Some(complete_to) = endpoints_are_complete_to(&gateway) else { continue };
        if !gateway.read_mode.reads_store() {
            continue;
        }
        gateway.metrics.store_calls.add(1, &[]);
        let (version, objects) = match gateway.store.list_stale(ObjectKind::Endpoint, "").await {
            Ok(list) => list,
            Err(error) => {
                log::debug!(error:% = error; "no list to compare the endpoints with");
                continue;
            }
        };
        let is_usable = |object: &Object| {
            gateway.translation.decode_endpoint(object.name.as_str(), &object.body)
        };
        let listed: Vec<_> = objects
            .iter()
            .filter_map(|object| Some((is_usable(object).ok()?.id, object.version)))
            .collect();
        if gateway.endpoints.lock().missed_a_change(&listed, version, complete_to) {
            log::warn!(
                target: "belief", listed:% = version, complete_to:% = complete_to;
                "endpoints differ from an older list of the store; listing them again"
            );
            gateway.endpoints_differ.notify_one();
        }
    }
}

impl WatchHandler for EndpointHandler {
    const KIND: ObjectKind = ObjectKind::Endpoint;
    const WATCH_TIMEOUT_MS: TimeMs = TimeMs(2_500);

    const IS_SHARED: bool = true;

    fn change_batch_delay(&self, gateway: &Gateway) -> Duration {
        let drain_ms = gateway.bounds().endpoint_drain_ms.get();
        Duration::from_millis(drain_ms / BATCHES_PER_DRAIN).clamp(MIN_BATCH_DELAY, MAX_BATCH_DELAY)
    }

    fn on_list(
        &self,
        gateway: &Gateway,
        version: ObjectVersion,
        objects: Vec<Object>,
        _started_ms: TimeMs,
    ) {
        let now_ms = gateway.clock.now();
        let mut log = gateway.endpoint_log.lock();
        let before = log.complete_to();
        let is_applied = log.record_list(version);
        log::info!(
            target: "belief", version:% = version, before:% = before.unwrap_or_default(),
            entries = objects.len(), applied = is_applied;
            "endpoints listed"
        );
        if !is_applied {
            return;
        }
        if before.is_some_and(|before| before.era() < version.era()) {
            gateway.endpoints.lock().record_new_era(now_ms, gateway.bounds().into());
        }
        let records = objects
            .into_iter()
            .filter_map(|object| {
                let decoded =
                    gateway.translation.decode_endpoint(object.name.as_str(), &object.body);
                match decoded {
                    Ok(record) => Some((record, object.version)),
                    Err(error) => {
                        log::warn!(
                            target: "belief", entry:% = object.name, error:% = error;
                            "entry left out"
                        );
                        None
                    }
                }
            })
            .collect();
        let changes = gateway.endpoints.lock().replace(records, now_ms);
        record_list(gateway, changes, before.is_none());
        gateway.remove_unlisted_endpoints();
    }

    fn on_changes(&self, gateway: &Gateway, since: ObjectVersion, changes: Changes) {
        gateway.read_mode.set_lacks_endpoints(false);
        let to = changes.version;
        let changes = changes.changes.into_iter().map(|change| ObjectChange {
            name: change.name,
            version: change.version,
            body: change.body.map(|body| body.to_vec()),
        });
        apply_batch(gateway, &ChangeBatch { from: since, to, changes: changes.collect() });
    }

    fn wait_for_difference<'a>(&self, gateway: &'a Gateway) -> BoxFuture<'a, ()> {
        gateway.endpoints_differ.notified().boxed()
    }

    fn resume_at(&self, gateway: &Gateway) -> Option<ObjectVersion> {
        endpoints_are_complete_to(gateway)
    }

    fn on_contact(&self, gateway: &Gateway) {
        let (now_ms, limits) = (gateway.clock.now(), gateway.bounds().into());
        gateway.endpoints.lock().record_contact(now_ms, limits);
    }

    fn on_contact_lost(&self, gateway: &Gateway, started_ms: TimeMs) {
        gateway.endpoints.lock().record_lost_contact(started_ms);
    }
}
