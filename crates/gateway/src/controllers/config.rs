//! Keeps the configuration up to date: a watch delivers changes soon, and a periodic read confirms the version in
//! force.
//!
//! Only the read extends the validity of keys, here or at a reader that passes its age on, since a watch may silently miss
//! changes.

use std::{sync::Arc, time::Duration};

use bilberryford_platform::{Changes, Object, ObjectKey, ObjectKind, PlatformError};
use bilberryford_types::{ObjectVersion, TimeMs};
use rand::RngExt;
use tokio::time::{sleep, timeout};

use super::list_watch::{Backoff, WatchHandler, record_revision};
use crate::{
    gateway::Gateway,
    propagation::{ConfirmationStep, PropagationLimits},
};

/// The name of the object with the newest configuration.
const CONFIG_NAME: &str = "main";

/// How a configuration was learned.
#[derive(Debug, Clone, Copy, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum ConfigSource {
    List,
    Watch,
    /// The periodic read that confirms the version in force.
    Confirmation,
    /// A read of a version that a reader named, from a copy that may be old.
    StaleRead,
    /// A linearizable read of a version that a reader named.
    NamedRead,
}

pub(super) struct ConfigHandler;

impl WatchHandler for ConfigHandler {
    const KIND: ObjectKind = ObjectKind::Config;
    const WATCH_TIMEOUT_MS: TimeMs = TimeMs(15_000);

    const IS_SHARED: bool = true;

    fn on_list(
        &self,
        gateway: &Gateway,
        _version: ObjectVersion,
        objects: Vec<Object>,
        started_ms: TimeMs,
    ) {
        for object in objects.into_iter().filter(|object| object.name.as_str() == CONFIG_NAME) {
            apply_config(gateway, &object.body, Some(started_ms), ConfigSource::List);
        }
    }

    fn on_changes(&self, gateway: &Gateway, _since: ObjectVersion, changes: Changes) {
        let of_config =
            changes.changes.into_iter().filter(|change| change.name.as_str() == CONFIG_NAME);
        for body in of_config.filter_map(|change| change.body) {
            apply_config(gateway, &body, None, ConfigSource::Watch);
        }
    }
}

/// Applies a configuration if it is newer. `confirmed_ms` is the start of the linearizable read that returned it.
///
/// Returns false if it can't be decoded: it may have revoked any key, so that the one before it is kept and not confirmed.
fn apply_config(
    gateway: &Gateway,
    body: &[u8],
    confirmed_ms: Option<TimeMs>,
    source: ConfigSource,
) -> bool {
    gateway.observe_era();
    let deployment = match gateway.translation.decode_deployment(body) {
        Ok(deployment) => deployment,
        Err(error) => {
            log::error!(
                target: "belief", error:% = error, source = <&str>::from(source),
                kept:% = version_in_force(gateway).unwrap_or_default();
                "configuration can't be decoded"
            );
            return false;
        }
    };
    let in_force = gateway.deployment.load().as_ref().map(|deployment| deployment.version());
    let version = deployment.version();
    if in_force.is_none_or(|in_force| version > in_force) {
        gateway.log_unmet_regions(&deployment);
        let limits_before = gateway.limits();
        gateway.deployment.store(Some(Arc::new(deployment)));
        if gateway.limits() != limits_before {
            gateway.limits_on_callers_changed.notify_waiters();
        }
        log::info!(
            target: "belief", version:% = version,
            before = in_force.map_or(0, |version| version.get()),
            source = <&str>::from(source),
            view_age_ms = gateway.confirmation_age_ms().unwrap_or_default().get();
            "configuration adopted"
        );
        if in_force.is_none() {
            gateway.record_listed_cold();
        }
    }
    if let Some(started_ms) = confirmed_ms
        && in_force.is_none_or(|in_force| version >= in_force)
    {
        gateway.confirm_keys(started_ms);
    }
    true
}

/// The version of the configuration in force.
pub(super) fn version_in_force(gateway: &Gateway) -> Option<u64> {
    gateway.deployment.load().as_ref().map(|deployment| deployment.version().get())
}

fn config_key() -> Option<ObjectKey> {
    Some(ObjectKey::new(ObjectKind::Config, CONFIG_NAME.parse().ok()?))
}

/// Reads the configuration, of which a reader named `version`. A read that may be old is tried first, since it costs the
/// store less; it confirms nothing.
pub(super) async fn fetch(gateway: &Gateway, version: u64) {
    let Some(key) = config_key() else { return };
    gateway.metrics.store_calls.add(1, &[]);
    match gateway.store.get_stale(&key).await {
        Ok(Some(object)) => {
            apply_config(gateway, &object.body, None, ConfigSource::StaleRead);
        }
        Ok(None) => log::debug!("a read that may be old found no configuration"),
        Err(error) => {
            log::debug!(error:% = error; "can't read the configuration that a reader named")
        }
    }
    if version_in_force(gateway) >= Some(version) {
        return;
    }
    gateway.metrics.store_calls.add(1, &[]);
    let started_ms = gateway.clock.now();
    match gateway.store.get(&key).await {
        Ok(Some(object)) => {
            apply_config(gateway, &object.body, Some(started_ms), ConfigSource::NamedRead);
        }
        Ok(None) => log::warn!(version = version; "the store has no configuration"),
        Err(error) => {
            log::debug!(error:% = error; "can't read the configuration that a reader named")
        }
    }
}

/// Reads the configuration by a list, which states the version of the store as well: it dates what else is written there, at no further
/// call.
async fn read_newest(
    gateway: &Gateway,
    started_ms: TimeMs,
) -> Result<Option<Object>, PlatformError> {
    let (version, objects) = gateway.store.list(ObjectKind::Config, "").await?;
    record_revision(gateway, version, started_ms);
    Ok(objects.into_iter().find(|object| object.name.as_str() == CONFIG_NAME))
}

/// Reads the configuration periodically, to confirm that the version in force is the newest. An instance whose readers
/// confirm it often enough makes no call.
pub(super) async fn run_confirmation(gateway: Arc<Gateway>) {
    let mut backoff = Backoff::default();
    let mut confirmed_version: Option<ObjectVersion> = None;
    loop {
        let limits = PropagationLimits::from(gateway.bounds());
        let reads_store = gateway.read_mode.reads_store();
        if let ConfirmationStep::Wait(wait_ms) =
            limits.next_step(reads_store, gateway.confirmation_age_ms())
        {
            sleep(Duration::from_millis(wait_ms.get())).await;
            continue;
        }
        gateway.metrics.store_calls.add(1, &[]);
        let started_ms = gateway.clock.now();
        let reply = read_newest(&gateway, started_ms).await;
        if reply.is_ok() {
            gateway.endpoints.lock().record_store_reply(gateway.clock.now());
        }
        match reply {
            Ok(Some(object)) if confirmed_version == Some(object.version) => {
                gateway.confirm_keys(started_ms);
            }
            Ok(Some(object)) => {
                let is_decoded = apply_config(
                    &gateway,
                    &object.body,
                    Some(started_ms),
                    ConfigSource::Confirmation,
                );
                confirmed_version = is_decoded.then_some(object.version);
            }
            Ok(None) => log::debug!("the store has no configuration yet"),
            Err(error) => {
                log::debug!(error:% = error; "can't read the configuration to confirm it");
                backoff.wait().await;
                continue;
            }
        }
        backoff.reset();
        let max_interval_ms = limits.confirm_interval_ms().get();
        // The jitter keeps instances from reading at the same time.
        let pause_ms = rand::rng().random_range(max_interval_ms * 3 / 4..=max_interval_ms);
        // In a new era the first read that confirms must not wait for the interval as well.
        let held_for_ms = gateway.keys.lock().held_for_ms(gateway.clock.now()).get();
        let pause_ms = if held_for_ms > 0 { held_for_ms.min(pause_ms) } else { pause_ms };
        // A reload may have shortened the interval, or the store says that there is nothing to wait for.
        let changed = async {
            tokio::select! {
                () = gateway.bounds_changed.notified() => {}
                () = gateway.era_settled.notified() => {}
            }
        };
        let _ = timeout(Duration::from_millis(pause_ms), changed).await;
    }
}
