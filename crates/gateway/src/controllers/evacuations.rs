//! Keeps the view of evacuated data centres up to date with the store.
//!
//! A watch returns a change at once, unless the store loses it. Readers therefore compare the view with lists that may be
//! old, which cost a tenth of a call, and list again if they differ.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bilberryford_platform::{Changes, Object, ObjectKind};
use bilberryford_types::{DataCentreId, ObjectName, ObjectVersion, TimeMs};
use futures::{FutureExt, future::BoxFuture};
use tokio::time::sleep;

use super::list_watch::{WatchHandler, compare_with_old_lists};
use crate::{
    evacuation::{EvacuationView, MAX_DATA_CENTRES},
    gateway::Gateway,
};

/// The longest interval of the comparisons with a list, in percent of the bound: a list may be some seconds old.
const COMPARE_PERCENT_OF_BOUND: u64 = 30;
/// The interval of the checks for evacuations that a copy of the store lacks, and for the loss of contact.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The pause after a batch of changes. Evacuations are rare, and each one is to be passed on at once.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(20);

pub(super) struct EvacuationHandler;

fn data_centre(name: &ObjectName) -> Option<DataCentreId> {
    let parsed = name.as_str().parse();
    parsed
        .inspect_err(|error| {
            log::error!(
                target: "belief", name:% = name, error:% = error; "evacuation names no data centre"
            );
        })
        .ok()
}

fn listed_data_centres(objects: &[Object]) -> BTreeSet<DataCentreId> {
    if objects.len() > MAX_DATA_CENTRES {
        log::error!(
            target: "belief", listed = objects.len(), limit = MAX_DATA_CENTRES;
            "more evacuations than can be passed on; the rest is ignored"
        );
    }
    objects.iter().take(MAX_DATA_CENTRES).filter_map(|object| data_centre(&object.name)).collect()
}

impl WatchHandler for EvacuationHandler {
    const KIND: ObjectKind = ObjectKind::Evacuation;
    const WATCH_TIMEOUT_MS: TimeMs = TimeMs(30_000);

    const IS_SHARED: bool = true;

    fn change_batch_delay(&self, _gateway: &Gateway) -> Duration {
        CHANGE_BATCH_DELAY
    }

    fn on_list(
        &self,
        gateway: &Gateway,
        version: ObjectVersion,
        objects: Vec<Object>,
        _started_ms: TimeMs,
    ) {
        let data_centres = listed_data_centres(&objects);
        gateway.apply_evacuations(EvacuationView { version, data_centres }, "list");
    }

    fn on_changes(&self, gateway: &Gateway, since: ObjectVersion, changes: Changes) {
        let named: Vec<_> = changes
            .changes
            .into_iter()
            .filter_map(|change| Some((data_centre(&change.name)?, change.body.is_some())))
            .collect();
        let now_ms = gateway.clock.now();
        let applied =
            gateway.evacuations.lock().apply_changes(since, changes.version, &named, now_ms);
        match applied {
            Some(applied) if applied.is_empty() => {}
            Some(applied) => gateway.record_evacuation_changes(&applied, "watch"),
            None => gateway.evacuations_differ.notify_one(),
        }
    }

    fn wait_for_difference<'a>(&self, gateway: &'a Gateway) -> BoxFuture<'a, ()> {
        gateway.evacuations_differ.notified().boxed()
    }
}

/// Compares the view with lists that may be old.
pub(super) async fn reconcile(gateway: Arc<Gateway>, bound_ms: TimeMs) {
    let max_interval_ms = || TimeMs(bound_ms.get() * COMPARE_PERCENT_OF_BOUND / 100);
    let compare = |objects: &[Object]| {
        if gateway.evacuations.lock().differs_from(&listed_data_centres(objects)) {
            log::info!(target: "belief", "evacuations differ from an older list of the store; listing them again");
            gateway.evacuations_differ.notify_one();
        }
    };
    compare_with_old_lists(&gateway, ObjectKind::Evacuation, max_interval_ms, compare).await;
}

/// Ends the evacuations that a copy of the store lacks, and logs when this instance can't learn of evacuations any more.
pub(super) async fn check(gateway: Arc<Gateway>) {
    let mut is_in_contact = true;
    loop {
        sleep(CHECK_INTERVAL).await;
        let ended = gateway.evacuations.lock().expire(gateway.clock.now());
        if !ended.is_empty() {
            gateway.record_evacuation_changes(&ended, "copy of the store");
        }
        let is_known = gateway.knows_evacuations();
        let was_in_contact = is_in_contact;
        is_in_contact = !is_known || gateway.learns_of_evacuations();
        if was_in_contact != is_in_contact {
            let age_ms = gateway.store_contact_age_ms().map_or(0, TimeMs::get);
            let version =
                gateway.evacuations.lock().view().map(|view| view.version).unwrap_or_default();
            log::warn!(
                target: "belief", version:% = version, contact_age_ms = age_ms,
                in_contact = is_in_contact;
                "{}", if is_in_contact { "evacuations are learned again" } else { "evacuations can't be learned; the last view is used" }
            );
        }
    }
}
