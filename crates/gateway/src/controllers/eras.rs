//! Follows the eras of the store.
//!
//! A store that comes back from a copy has lost what it acknowledged since the copy was made, and gives its revisions out
//! again. Each kind of object is listed anew by its own watch; [`crate::gateway::Gateway::observe_era`] does what concerns
//! no single kind. What is kept, dropped or held is in `docs/design/store-eras.md`.
//!
//! An instance that starts can't tell how long ago the store came back, so that it holds confirmations as if that had just
//! been, unless the store says that its era has settled. Readers of the store write this once their own hold has ended.
//! A mark of an earlier era, which a copy has, says nothing of the present one.

use std::{sync::Arc, time::Duration};

use bilberryford_platform::{ObjectKey, ObjectKind, PlatformError, Precondition};
use bilberryford_types::StoreEra;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::list_watch::Backoff;
use crate::gateway::Gateway;

/// The name of the object with the mark.
const OBJECT_NAME: &str = "gateway";
/// The interval at which an instance looks whether it has become a reader of the store.
const READER_INTERVAL: Duration = Duration::from_millis(1_000);

/// The stored mark.
#[derive(Debug, Serialize, Deserialize)]
struct SettledBody {
    era: StoreEra,
}

pub(super) async fn run(gateway: Arc<Gateway>) {
    let Ok(name) = OBJECT_NAME.parse() else { return };
    let key = ObjectKey::new(ObjectKind::SettledEra, name);
    loop {
        let era = gateway.store.era();
        gateway.observe_era();
        tokio::select! {
            () = settle(&gateway, &key, era) => {
                gateway.store.wait_for_era_after(era).await;
            }
            _ = gateway.store.wait_for_era_after(era) => {}
        }
    }
}

/// Ends the hold of an instance that starts in an era which has settled, and sees to it that the store says so.
async fn settle(gateway: &Gateway, key: &ObjectKey, era: StoreEra) {
    // A store that names no era has never come back.
    if era == StoreEra::default() {
        return;
    }
    let mut backoff = Backoff::default();
    // One that runs has a configuration to serve by until its own hold ends.
    while gateway.confirmation_age_ms().is_none() && is_held(gateway) {
        match read(gateway, key).await {
            Ok((settled, _)) if settled >= Some(era) => return gateway.record_settled(era),
            Ok(_) => break,
            Err(error) => {
                log::debug!(error:% = error; "can't read whether the era has settled");
                backoff.wait().await;
            }
        }
    }
    while is_held(gateway) {
        let held_for_ms = gateway.keys.lock().held_for_ms(gateway.clock.now());
        sleep(Duration::from_millis(held_for_ms.get())).await;
    }
    loop {
        if !gateway.read_mode.reads_store() {
            sleep(READER_INTERVAL).await;
            continue;
        }
        match mark_settled(gateway, key, era).await {
            Ok(()) => return,
            Err(error) => {
                log::debug!(error:% = error; "can't write that the era has settled");
                backoff.wait().await;
            }
        }
    }
}

fn is_held(gateway: &Gateway) -> bool {
    gateway.keys.lock().held_for_ms(gateway.clock.now()).get() > 0
}

/// Reads the mark, with the condition under which it may be replaced.
async fn read(
    gateway: &Gateway,
    key: &ObjectKey,
) -> Result<(Option<StoreEra>, Precondition), PlatformError> {
    gateway.metrics.store_calls.add(1, &[]);
    let Some(object) = gateway.store.get(key).await? else {
        return Ok((None, Precondition::Absent));
    };
    let settled = serde_json::from_slice::<SettledBody>(&object.body)
        .inspect_err(|error| log::warn!(error:% = error; "mark of the settled era ignored"));
    Ok((settled.ok().map(|body| body.era), Precondition::Version(object.version)))
}

async fn mark_settled(
    gateway: &Gateway,
    key: &ObjectKey,
    era: StoreEra,
) -> Result<(), PlatformError> {
    let (settled, precondition) = read(gateway, key).await?;
    if settled >= Some(era) {
        return Ok(());
    }
    let body = serde_json::to_vec(&SettledBody { era })
        .map_err(|error| PlatformError::Refused { reason: error.to_string() })?;
    gateway.metrics.store_calls.add(1, &[]);
    gateway.store.put(key, precondition, Bytes::from(body)).await?;
    log::info!(target: "belief", era:% = era; "era of the store has settled");
    Ok(())
}
