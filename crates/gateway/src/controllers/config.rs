//! Keeps the configuration in force: a watch brings it soon, and a regular read confirms it.
//!
//! Only the read counts for the validity of keys: a watch may be deaf while changes are made.

use std::{sync::Arc, time::Duration};

use bilberryford_platform::{Change, Object, ObjectKey, ObjectKind};
use bilberryford_types::{ObjectVersion, TimeMs};
use rand::RngExt;
use tokio::time::sleep;

use super::follow::{Pauses, Sink};
use crate::gateway::Gateway;

/// The name of the object with the newest configuration.
const NEWEST: &str = "main";
/// The longest pause between two confirming reads, in hundredths of the bound of configurations: a watch that went deaf
/// is made up for within the bound.
const CONFIRM_OF_CONFIG_PERCENT: u64 = 70;
/// The same of the bound of revocations, so that keys stay valid when one read fails.
const CONFIRM_OF_REVOKE_PERCENT: u64 = 45;

pub(super) struct ConfigSink;

impl Sink for ConfigSink {
    const KIND: ObjectKind = ObjectKind::Config;
    const WAIT_MS: TimeMs = TimeMs(15_000);
    const PAUSE_AFTER_CHANGES: Duration = Duration::from_millis(100);

    fn listed(&self, gateway: &Gateway, objects: Vec<Object>, started_ms: TimeMs) {
        for object in objects.into_iter().filter(|object| object.name.as_str() == NEWEST) {
            adopt(gateway, &object.body, Some(started_ms));
        }
    }

    fn changed(&self, gateway: &Gateway, change: Change) {
        if let Some(body) = change.body.filter(|_| change.name.as_str() == NEWEST) {
            adopt(gateway, &body, None);
        }
    }
}

/// Takes in a configuration as read; `confirmed_ms` is when a linearizable read of it started.
fn adopt(gateway: &Gateway, body: &[u8], confirmed_ms: Option<TimeMs>) {
    let deployment = match gateway.translation.decode_deployment(body) {
        Ok(deployment) => deployment,
        Err(error) => {
            log::error!(target: "belief", error:% = error; "configuration not adopted");
            return;
        }
    };
    let in_force = gateway.deployment.load().as_ref().map(|deployment| deployment.version());
    let version = deployment.version();
    if in_force.is_none_or(|in_force| version > in_force) {
        gateway.deployment.store(Some(Arc::new(deployment)));
        log::info!(
            target: "belief", version:% = version,
            before = in_force.map_or(0, |version| version.get());
            "configuration adopted"
        );
    }
    if let Some(started_ms) = confirmed_ms
        && in_force.is_none_or(|in_force| version >= in_force)
    {
        gateway.keys.lock().confirm(started_ms);
    }
}

/// Confirms the configuration again and again.
pub(super) async fn confirm(gateway: Arc<Gateway>) {
    let Ok(name) = NEWEST.parse() else { return };
    let key = ObjectKey::new(ObjectKind::Config, name);
    let bounds = &gateway.settings.bounds;
    let of_config_ms = bounds.config_propagation_ms.get() * CONFIRM_OF_CONFIG_PERCENT / 100;
    let of_revoke_ms = bounds.key_revocation_ms.get() * CONFIRM_OF_REVOKE_PERCENT / 100;
    let longest_ms = of_config_ms.min(of_revoke_ms).max(100);
    let mut pauses = Pauses::default();
    let mut last: Option<ObjectVersion> = None;
    loop {
        gateway.metrics.store_calls.add(1, &[]);
        let started_ms = gateway.clock.now();
        match gateway.store.get(&key).await {
            Ok(Some(object)) if last == Some(object.version) => {
                gateway.keys.lock().confirm(started_ms);
            }
            Ok(Some(object)) => {
                adopt(&gateway, &object.body, Some(started_ms));
                last = Some(object.version);
            }
            Ok(None) => log::debug!("no configuration yet"),
            Err(error) => {
                log::debug!(error:% = error; "configuration not confirmed");
                pauses.after_failure().await;
                continue;
            }
        }
        pauses.reset();
        // Instances don't read at the same time.
        let pause_ms = rand::rng().random_range(longest_ms * 3 / 4..=longest_ms);
        sleep(Duration::from_millis(pause_ms)).await;
    }
}
