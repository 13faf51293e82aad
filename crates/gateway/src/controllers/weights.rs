//! Tracks the weight versions that operators publish.

use bilberryford_platform::{Changes, Object, ObjectKind};
use bilberryford_types::{ModelName, ObjectVersion, TimeMs};

use super::list_watch::WatchHandler;
use crate::gateway::Gateway;

/// How long a starting instance uses older weights, in milliseconds, since it can't know the time of the publication.
const UNKNOWN_AGE_GRACE_MS: TimeMs = TimeMs(2_500);

/// The longest time in which this instance lists the weights and does not watch them yet, in milliseconds, with a margin.
const WATCH_GAP_MS: TimeMs = TimeMs(1_000);

pub(super) struct WeightHandler;

/// A time before which no weights were published that this process reads only now.
fn unread_since(gateway: &Gateway) -> TimeMs {
    gateway.run_trace.lock().unread_since(gateway.clock.now())
}

fn record_published_weights(gateway: &Gateway, body: &[u8], is_first_list: bool) {
    let target = match gateway.translation.decode_weights(body) {
        Ok(target) => target,
        Err(error) => {
            log::warn!(target: "belief", error:% = error; "published weights can't be decoded");
            return;
        }
    };
    let now_ms = unread_since(gateway);
    let is_unknown =
        gateway.weights.lock().get(&target.model).is_none_or(|published| published.newest() == 0);
    let bound_ms = gateway.bounds().weights_propagation_ms;
    let seen_ms = if is_unknown && is_first_list {
        now_ms.since(bound_ms.since(UNKNOWN_AGE_GRACE_MS))
    } else {
        now_ms
    };
    record_weights(gateway, target.model.clone(), target.version, seen_ms);
    if is_unknown
        && is_first_list
        && let Some(published) = gateway.weights.lock().get_mut(&target.model)
    {
        published.record_first_listed(target.version);
    }
}

/// Records since when weights that a watch returned can have been published.
///
/// The watch returns them at once, unless this process was suspended or its connections were held up. The latter would
/// have kept it from confirming the configuration, so that the publication is no older than the last confirmation. After a
/// suspension, the confirmation may have come first.
fn record_watched_weights(gateway: &Gateway, body: &[u8]) {
    let Ok(target) = gateway.translation.decode_weights(body) else { return };
    let now_ms = gateway.clock.now();
    let Some(age_ms) = gateway.keys.lock().age_ms(now_ms) else { return };
    let not_before_ms = now_ms.since(age_ms).min(unread_since(gateway)).since(WATCH_GAP_MS);
    record_not_before(gateway, &target.model, target.version, not_before_ms);
}

/// Records that weights were not published before `not_before_ms`.
pub(super) fn record_not_before(
    gateway: &Gateway,
    model: &ModelName,
    version: u64,
    not_before_ms: TimeMs,
) {
    if let Some(published) = gateway.weights.lock().get_mut(model) {
        published.record_not_before(version, not_before_ms);
    }
}

/// Records weights that were first seen at `seen_ms`, by this instance or by a reader.
pub(super) fn record_weights(gateway: &Gateway, model: ModelName, version: u64, seen_ms: TimeMs) {
    let mut weights = gateway.weights.lock();
    let is_newer = weights.entry(model.clone()).or_default().record_published(version, seen_ms);
    drop(weights);
    if is_newer {
        log::info!(target: "belief", model:% = model, version = version; "weights named");
    }
}

impl WatchHandler for WeightHandler {
    const KIND: ObjectKind = ObjectKind::WeightVersion;
    const WATCH_TIMEOUT_MS: TimeMs = TimeMs(15_000);

    const IS_SHARED: bool = true;

    fn on_list(
        &self,
        gateway: &Gateway,
        _version: ObjectVersion,
        objects: Vec<Object>,
        _started_ms: TimeMs,
    ) {
        for object in objects {
            record_published_weights(gateway, &object.body, true);
        }
    }

    fn on_changes(&self, gateway: &Gateway, _since: ObjectVersion, changes: Changes) {
        for body in changes.changes.into_iter().filter_map(|change| change.body) {
            record_published_weights(gateway, &body, false);
            record_watched_weights(gateway, &body);
        }
    }
}
