//! Follows the weight versions that operators name.

use std::time::Duration;

use bilberryford_platform::{Change, Object, ObjectKind};
use bilberryford_types::TimeMs;

use super::follow::Sink;
use crate::gateway::Gateway;

/// How long an instance that starts uses older weights, in milliseconds, since it can't know when the version was named.
const UNKNOWN_AGE_GRACE_MS: TimeMs = TimeMs(2_500);

pub(super) struct WeightSink;

fn named(gateway: &Gateway, body: &[u8], is_first_list: bool) {
    let target = match gateway.translation.decode_weights(body) {
        Ok(target) => target,
        Err(error) => {
            log::warn!(target: "belief", error:% = error; "named weights left out");
            return;
        }
    };
    let now_ms = gateway.clock.now();
    let mut weights = gateway.weights.lock();
    let named = weights.entry(target.model.clone()).or_default();
    let bound_ms = gateway.settings.bounds.weights_ms;
    let seen_ms = if named.newest() == 0 && is_first_list {
        TimeMs(now_ms.get().saturating_sub(bound_ms.since(UNKNOWN_AGE_GRACE_MS).get()))
    } else {
        now_ms
    };
    if !named.record_published(target.version, seen_ms) {
        return;
    }
    log::info!(
        target: "belief", model:% = target.model, version = target.version; "weights named"
    );
}

impl Sink for WeightSink {
    const KIND: ObjectKind = ObjectKind::WeightVersion;
    const WAIT_MS: TimeMs = TimeMs(15_000);
    const PAUSE_AFTER_CHANGES: Duration = Duration::from_millis(100);

    fn listed(&self, gateway: &Gateway, objects: Vec<Object>, _started_ms: TimeMs) {
        for object in objects {
            named(gateway, &object.body, true);
        }
    }

    fn changed(&self, gateway: &Gateway, change: Change) {
        if let Some(body) = change.body {
            named(gateway, &body, false);
        }
    }
}
