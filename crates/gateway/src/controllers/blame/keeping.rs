//! Keeps quarantines in the platform's store, and reads them after a start: when all instances are killed at once, none is
//! left that an instance could ask.
//!
//! The first instances in the rendezvous order of the object see to it that the store has what is quarantined. The first
//! one writes; the others read a little later, and write what it did not. A change thus costs the store a write and a few
//! reads, however many instances there are.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::atomic::Ordering,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bilberryford_coord::{Feature, QuarantineReport};
use bilberryford_platform::{ObjectKey, ObjectKind, PlatformError, Precondition};
use bilberryford_types::{StoreEra, TimeMs};
use bytes::Bytes;
use tokio::time::{sleep, timeout};

use super::finish_learning_together;
use crate::{
    controllers::list_watch::Backoff, gateway::Gateway, kept_quarantines::KeptQuarantines,
    peer_loads::EndpointTag,
};

/// The name of the object.
const OBJECT_NAME: &str = "gateway";
/// The instances that see to it that the store has what is quarantined.
const KEEPERS: usize = 3;
/// How much later than the one before it such an instance looks whether the store has it: several calls.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1_500);
/// The shortest interval between two updates, so that many quarantines at once cause few writes.
const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(500);
/// The interval at which an instance looks whether it has become one of the first.
const RANK_INTERVAL: Duration = Duration::from_secs(2);

/// What this instance knows the store to have.
#[derive(Debug, Default)]
struct Kept {
    era: StoreEra,
    /// The quarantines with their ends, by this instance's clock.
    until_ms: BTreeMap<Feature, TimeMs>,
}

/// What has to be changed in the store.
struct Update {
    quarantines: Vec<QuarantineReport<EndpointTag>>,
    cleared: BTreeSet<Feature>,
    /// What the store has after the update.
    until_ms: BTreeMap<Feature, TimeMs>,
}

impl Kept {
    /// Compares what is quarantined now with what the store has; none if it has all of it.
    fn update(&self, gateway: &Gateway) -> Option<Update> {
        let now_ms = gateway.clock.now();
        let quarantines = gateway.blame.lock().quarantines(usize::MAX, now_ms);
        let until_ms: BTreeMap<_, _> = quarantines
            .iter()
            .map(|quarantine| (quarantine.feature, now_ms.after(TimeMs(quarantine.left_ms.into()))))
            .collect();
        // One that is over is forgotten here and in the store alike.
        let is_cleared = |(feature, known_ms): &(&Feature, &TimeMs)| {
            !until_ms.contains_key(feature) && **known_ms > now_ms
        };
        let cleared: BTreeSet<_> =
            self.until_ms.iter().filter(is_cleared).map(|(feature, _)| *feature).collect();
        let is_new = |(feature, until_ms): (&Feature, &TimeMs)| {
            *until_ms > now_ms
                && self.until_ms.get(feature).is_none_or(|known_ms| known_ms < until_ms)
        };
        let is_due = !cleared.is_empty() || until_ms.iter().any(is_new);
        is_due.then_some(Update { quarantines, cleared, until_ms })
    }
}

fn unix_ms() -> TimeMs {
    // A clock before 1970 lets no term end.
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    TimeMs(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

fn object_key() -> Option<ObjectKey> {
    Some(ObjectKey::new(ObjectKind::Quarantine, OBJECT_NAME.parse().ok()?))
}

/// Reads what is kept, with the condition under which it may be replaced.
async fn read(
    gateway: &Gateway,
    key: &ObjectKey,
) -> Result<(KeptQuarantines, Precondition), PlatformError> {
    gateway.metrics.store_calls.add(1, &[]);
    let Some(object) = gateway.store.get(key).await? else {
        return Ok((KeptQuarantines::default(), Precondition::Absent));
    };
    let kept = KeptQuarantines::decode(&object.body).unwrap_or_else(|error| {
        log::warn!(error:% = error, version:% = object.version; "object with quarantines ignored");
        KeptQuarantines::default()
    });
    Ok((kept, Precondition::Version(object.version)))
}

async fn write(
    gateway: &Gateway,
    key: &ObjectKey,
    update: &Update,
) -> Result<StoreEra, PlatformError> {
    let (kept, precondition) = read(gateway, key).await?;
    let era = gateway.store.era();
    let updated = kept.updated(&update.quarantines, &update.cleared, unix_ms());
    if updated == kept {
        return Ok(era);
    }
    let body =
        updated.encode().map_err(|error| PlatformError::Refused { reason: error.to_string() })?;
    gateway.metrics.store_calls.add(1, &[]);
    let version = gateway.store.put(key, precondition, Bytes::from(body)).await?;
    log::info!(
        target: "belief", quarantined = update.quarantines.len(), cleared = update.cleared.len(),
        version:% = version;
        "quarantines kept in the store"
    );
    Ok(version.era())
}

/// Reads what is kept, with retries until that succeeds, and applies it.
async fn learn(gateway: &Gateway, key: &ObjectKey) -> Kept {
    let mut backoff = Backoff::default();
    let stored = loop {
        match read(gateway, key).await {
            Ok((stored, _)) => break stored,
            Err(error) => {
                log::debug!(error:% = error; "can't read the quarantines that the store keeps");
                backoff.wait().await;
            }
        }
    };
    let era = gateway.store.era();
    let reports = stored.reports(unix_ms());
    gateway.change_blame(|blame, now_ms| blame.apply_kept_quarantines(&reports, now_ms));
    gateway.has_read_quarantines.store(true, Ordering::Relaxed);
    finish_learning_together(gateway);
    // Of those that this instance has answers against, it knows nothing that the store should learn.
    let now_ms = gateway.clock.now();
    let in_force: BTreeMap<_, _> = gateway.blame.lock().quarantined(now_ms).collect();
    let until_ms = reports.iter().filter_map(|report| {
        in_force.get(&report.feature).map(|left_ms| (report.feature, now_ms.after(*left_ms)))
    });
    Kept { era, until_ms: until_ms.collect() }
}

/// Learns what the store keeps, and keeps there what is quarantined from then on.
pub(in crate::controllers) async fn run(gateway: &Gateway) {
    let Some(key) = object_key() else { return };
    let mut changes = gateway.quarantines.subscribe();
    let mut kept = learn(gateway, &key).await;
    let mut backoff = Backoff::default();
    loop {
        let rank = gateway.rank_for_key(OBJECT_NAME);
        // The copy from which the store comes back may lack what was written.
        if kept.era != gateway.store.era() {
            kept = Kept { era: gateway.store.era(), ..Kept::default() };
        }
        let update = kept.update(gateway).filter(|_| rank < KEEPERS);
        if update.is_none() {
            let changed = async {
                tokio::select! {
                    _ = changes.changed() => {}
                    _ = gateway.store.wait_for_era_after(kept.era) => {}
                }
            };
            // Either the interval ends or there is something new.
            let _ = timeout(RANK_INTERVAL, changed).await;
            continue;
        }
        sleep(TAKEOVER_DELAY * u32::try_from(rank).unwrap_or(u32::MAX)).await;
        // More may have been quarantined or cleared meanwhile.
        let Some(update) = kept.update(gateway) else { continue };
        match write(gateway, &key, &update).await {
            Ok(era) => {
                kept = Kept { era, until_ms: update.until_ms };
                backoff.reset();
                sleep(MIN_UPDATE_INTERVAL).await;
            }
            Err(error) => {
                log::debug!(error:% = error; "can't keep quarantines in the store");
                backoff.wait().await;
            }
        }
    }
}
