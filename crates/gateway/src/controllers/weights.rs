//! Tracks the weight versions that operators publish.
//!
//! A watch returns a publication at once, unless its connection is silent. Readers therefore compare what they know with lists
//! that may be old, which cost a tenth of a call, and list again if they lack a version.

use std::sync::Arc;

use bilberryford_platform::{Changes, Object, ObjectKind};
use bilberryford_types::{ObjectVersion, TimeMs};
use futures::{FutureExt, future::BoxFuture};
use parking_lot::Mutex;

use super::list_watch::{WatchHandler, compare_with_old_lists};
use crate::{gateway::Gateway, publications::PublishedVersion};

/// The longest interval of the comparisons with a list, in percent of the bound: a list may be some seconds old.
const COMPARE_PERCENT_OF_BOUND: u64 = 25;

#[derive(Default)]
pub(super) struct WeightHandler {
    /// The version of the store up to which this instance has read the weights; none before the first list.
    read_to: Mutex<Option<ObjectVersion>>,
}

/// Records weights that a read returned which covers all that came after `unread_since`.
fn record_read(
    gateway: &Gateway,
    body: &[u8],
    written: ObjectVersion,
    unread_since: Option<ObjectVersion>,
    source: &str,
) {
    let target = match gateway.translation.decode_weights(body) {
        Ok(target) => target,
        Err(error) => {
            log::warn!(target: "belief", error:% = error; "published weights can't be decoded");
            return;
        }
    };
    let (span, unread_since_ms) = {
        let times = gateway.revision_times.lock();
        let unread_since_ms = unread_since.and_then(|version| times.unchanged_until(version));
        (times.span_of(written), unread_since_ms)
    };
    let published = PublishedVersion {
        version: target.version,
        not_before_ms: span.not_before_ms,
        not_after_ms: span.not_after_ms.unwrap_or_else(|| gateway.clock.now()),
        written: Some(written),
    };
    gateway.change_publications(&target.model, source, |weights| {
        weights.record_read(published, unread_since_ms);
    });
}

impl WatchHandler for WeightHandler {
    const KIND: ObjectKind = ObjectKind::WeightVersion;
    const WATCH_TIMEOUT_MS: TimeMs = TimeMs(15_000);

    const IS_SHARED: bool = true;

    fn on_list(
        &self,
        gateway: &Gateway,
        version: ObjectVersion,
        objects: Vec<Object>,
        _started_ms: TimeMs,
    ) {
        let read_to = self.read_to.lock().replace(version);
        for object in objects {
            record_read(gateway, &object.body, object.version, read_to, "list");
        }
    }

    fn on_changes(&self, gateway: &Gateway, since: ObjectVersion, changes: Changes) {
        *self.read_to.lock() = Some(changes.version);
        for change in changes.changes {
            let Some(body) = change.body else { continue };
            record_read(gateway, &body, change.version, Some(since), "watch");
        }
    }

    fn wait_for_difference<'a>(&self, gateway: &'a Gateway) -> BoxFuture<'a, ()> {
        gateway.weights_differ.notified().boxed()
    }
}

/// Compares the published weights with lists that may be old.
pub(super) async fn reconcile(gateway: Arc<Gateway>) {
    let max_interval_ms =
        || TimeMs(gateway.bounds().weights_propagation_ms.get() * COMPARE_PERCENT_OF_BOUND / 100);
    let lacks_version = |object: &Object| {
        gateway.translation.decode_weights(&object.body).is_ok_and(|target| {
            let weights = gateway.weights.lock();
            weights.get(&target.model).is_none_or(|known| known.newest() < target.version)
        })
    };
    let compare = |objects: &[Object]| {
        if objects.iter().any(lacks_version) {
            log::warn!(
                target: "belief",
                "published weights are older than in an older list of the store; listing them again"
            );
            gateway.weights_differ.notify_one();
        }
    };
    compare_with_old_lists(&gateway, ObjectKind::WeightVersion, max_interval_ms, compare).await;
}
