//! Tracks the weight versions that operators publish.

use std::time::Duration;

use bilberryford_platform::{Change, Object, ObjectKind};
use bilberryford_types::TimeMs;

use super::list_watch::WatchHandler;
use crate::gateway::Gateway;

/// How long a starting instance uses older weights, in milliseconds, since it can't know the time of the publication.
const UNKNOWN_AGE_GRACE_MS: TimeMs = TimeMs(2_500);

pub(super) struct WeightHandler;

fn record_published_weights(gateway: &Gateway, body: &[u8], is_first_list: bool) {
    let target = match gateway.translation.decode_weights(body) {
        Ok(target) => target,
        Err(error) => {
            log::warn!(target: "belief", error:% = error; "published weights can't be decoded");
            return;
        }
    };
    let now_ms = gateway.clock.now();
    let mut weights = gateway.weights.lock();
    let published = weights.entry(target.model.clone()).or_default();
    let bound_ms = gateway.settings.bounds.weights_propagation_ms;
    let seen_ms = if published.newest() == 0 && is_first_list {
        TimeMs(now_ms.get().saturating_sub(bound_ms.since(UNKNOWN_AGE_GRACE_MS).get()))
    } else {
        now_ms
    };
    if !published.record_published(target.version, seen_ms) {
        return;
    }
    log::info!(
        target: "belief", model:% = target.model, version = target.version; "weights named"
    );
}

impl WatchHandler for WeightHandler {
    const KIND: ObjectKind = ObjectKind::WeightVersion;
    const WATCH_TIMEOUT_MS: TimeMs = TimeMs(15_000);
    const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(100);

    fn on_list(&self, gateway: &Gateway, objects: Vec<Object>, _started_ms: TimeMs) {
        for object in objects {
            record_published_weights(gateway, &object.body, true);
        }
    }

    fn on_change(&self, gateway: &Gateway, change: Change) {
        if let Some(body) = change.body {
            record_published_weights(gateway, &body, false);
        }
    }
}
