//! Tracks the stored objects of one kind: lists them, then watches for changes from the version of the list.
//!
//! After a watch that fails, stalls or whose version was compacted, the objects are listed again. The store counts and
//! limits the calls of all instances together, so failures are followed by an exponential backoff with jitter.

use std::{sync::Arc, time::Duration};

use bilberryford_platform::{Changes, Object, ObjectKind, PlatformError};
use bilberryford_types::{ObjectVersion, TimeMs};
use futures::future::BoxFuture;
use rand::RngExt;
use tokio::time::sleep;

use crate::gateway::Gateway;

/// The longest pause after the first failure, in milliseconds. It doubles with each further failure.
const INITIAL_BACKOFF_MS: u64 = 150;
/// The longest pause, in milliseconds, which bounds the time to notice that the store is available again.
const MAX_BACKOFF_MS: u64 = 700;

/// The pause before a new list after a compaction, so that a store with constant compactions is not called in a loop.
const COMPACTION_DELAY: Duration = Duration::from_millis(30);

/// The pause that collects changes into one batch, unless a kind needs another one.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(100);
/// The time between a list and the first watch, in which a reader may be found that makes the watch needless.
const FIRST_WATCH_DELAY: Duration = Duration::from_millis(900);

/// Exponential backoff with jitter.
#[derive(Debug, Default)]
pub(super) struct Backoff {
    failures: u32,
}

impl Backoff {
    pub(super) fn reset(&mut self) {
        self.failures = 0;
    }

    pub(super) async fn wait(&mut self) {
        let max_pause_ms = (INITIAL_BACKOFF_MS << self.failures.min(4)).min(MAX_BACKOFF_MS);
        self.failures += 1;
        let pause_ms = rand::rng().random_range(max_pause_ms / 2..=max_pause_ms);
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Applies the stored objects of one kind to the gateway's state.
pub(super) trait WatchHandler: Send + Sync + 'static {
    const KIND: ObjectKind;
    /// The longest time that a watch waits. Each watch is a call that is charged for; TCP keep-alive probes detect a
    /// dead connection sooner.
    const WATCH_TIMEOUT_MS: TimeMs;
    /// The pause after a watch that returned changes, so that the next one returns a batch. Each call is charged for,
    /// and a large fleet changes all the time.
    fn change_batch_delay(&self, _gateway: &Gateway) -> Duration {
        CHANGE_BATCH_DELAY
    }

    /// True if readers pass the objects on, so that an instance which gets them from a reader does not watch.
    const IS_SHARED: bool;

    /// True if an old list does no harm, so that a read that may be old is made.
    const IS_HINT: bool = false;

    fn on_list(
        &self,
        gateway: &Gateway,
        version: ObjectVersion,
        objects: Vec<Object>,
        started_ms: TimeMs,
    );
    /// Applies all changes after `since`.
    fn on_changes(&self, gateway: &Gateway, since: ObjectVersion, changes: Changes);
    /// The version from which an instance watches that got the objects from a reader; none if it has to list them.
    fn resume_at(&self, _gateway: &Gateway) -> Option<ObjectVersion> {
        None
    }
    /// Waits until the objects were found to differ from the store's, so that they have to be listed again.
    fn wait_for_difference<'a>(&self, _gateway: &'a Gateway) -> BoxFuture<'a, ()> {
        Box::pin(std::future::pending())
    }
    /// Called when the store has replied, before any pause: contact is passed on with its age.
    fn on_contact(&self, _gateway: &Gateway) {}
    /// Called when the store did not reply to a call that began at `started_ms`, or refused it.
    fn on_contact_lost(&self, _gateway: &Gateway, _started_ms: TimeMs) {}
}

pub(super) async fn run<H: WatchHandler>(gateway: Arc<Gateway>, handler: H) {
    let mut backoff = Backoff::default();
    let mut since: Option<ObjectVersion> = None;
    let mut is_connected = true;
    // After a compaction, an old list could name a version that is compacted as well.
    let mut needs_fresh_list = false;
    loop {
        if H::IS_SHARED && since.is_some() && gateway.read_mode.wait_until_reading(H::KIND).await {
            since = handler.resume_at(&gateway);
        }
        let started_ms = gateway.clock.now();
        if since.is_some_and(|version| version.era() != gateway.store.era()) {
            since = None;
            needs_fresh_list = true;
        }
        let result = match since {
            None => list(&gateway, &handler, needs_fresh_list).await,
            Some(version) => watch(&gateway, &handler, version).await,
        };
        match result {
            Ok(version) => {
                if !std::mem::replace(&mut is_connected, true) {
                    log::info!(target: "dependency", kind:% = H::KIND; "store regained");
                }
                since = Some(version);
                needs_fresh_list = false;
                backoff.reset();
            }
            Err(error) => {
                if std::mem::replace(&mut is_connected, false) {
                    log::warn!(
                        target: "dependency", kind:% = H::KIND, error:% = error; "store lost"
                    );
                }
                // A compaction shows that the store is available, and only requires a new list.
                if error == PlatformError::Compacted {
                    needs_fresh_list = true;
                    sleep(COMPACTION_DELAY).await;
                } else {
                    handler.on_contact_lost(&gateway, started_ms);
                    backoff.wait().await;
                }
                since = None;
            }
        }
    }
}

/// Records the version that a linearizable read returned which began at `started_ms`.
pub(super) fn record_revision(gateway: &Gateway, version: ObjectVersion, started_ms: TimeMs) {
    gateway.revision_times.lock().record(version, started_ms, gateway.clock.now());
}

async fn list<H: WatchHandler>(
    gateway: &Gateway,
    handler: &H,
    needs_fresh_list: bool,
) -> Result<ObjectVersion, PlatformError> {
    gateway.metrics.store_calls.add(1, &[]);
    let started_ms = gateway.clock.now();
    let (version, objects) = if H::IS_HINT && !needs_fresh_list {
        gateway.store.list_stale(H::KIND, "").await?
    } else {
        let list = gateway.store.list(H::KIND, "").await?;
        record_revision(gateway, list.0, started_ms);
        list
    };
    handler.on_contact(gateway);
    handler.on_list(gateway, version, objects, started_ms);
    if H::IS_SHARED {
        sleep(FIRST_WATCH_DELAY).await;
    }
    Ok(version)
}

async fn watch<H: WatchHandler>(
    gateway: &Gateway,
    handler: &H,
    since: ObjectVersion,
) -> Result<ObjectVersion, PlatformError> {
    gateway.metrics.store_calls.add(1, &[]);
    let started_ms = gateway.clock.now();
    let changes = tokio::select! {
        changes = gateway.store.watch(H::KIND, since, H::WATCH_TIMEOUT_MS) => changes?,
        // What follows the version is no longer what follows the view.
        _ = gateway.store.wait_for_era_after(since.era()) => return Err(PlatformError::Compacted),
        () = handler.wait_for_difference(gateway) => return Err(PlatformError::Compacted),
    };
    let (version, has_changes) = (changes.version, !changes.changes.is_empty());
    record_revision(gateway, version, started_ms);
    handler.on_changes(gateway, since, changes);
    handler.on_contact(gateway);
    if has_changes {
        sleep(handler.change_batch_delay(gateway)).await;
    }
    Ok(version)
}

/// Calls `compare` with lists of one kind that may be old, which cost a tenth of a call, while this instance reads the store.
/// Nothing else notices a change that no watch returned.
pub(super) async fn compare_with_old_lists(
    gateway: &Gateway,
    kind: ObjectKind,
    max_interval_ms: impl Fn() -> TimeMs,
    compare: impl Fn(&[Object]),
) {
    loop {
        let max_interval_ms = max_interval_ms().get().max(100);
        let pause_ms = rand::rng().random_range(max_interval_ms * 3 / 4..=max_interval_ms);
        sleep(Duration::from_millis(pause_ms)).await;
        if !gateway.read_mode.reads_store() {
            continue;
        }
        gateway.metrics.store_calls.add(1, &[]);
        match gateway.store.list_stale(kind, "").await {
            Ok((_, objects)) => compare(&objects),
            Err(error) => {
                log::debug!(kind:% = kind, error:% = error; "no old list to compare with")
            }
        }
    }
}
