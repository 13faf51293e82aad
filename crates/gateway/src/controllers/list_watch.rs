//! Tracks the stored objects of one kind: lists them, then watches for changes from the version of the list.
//!
//! After a watch that fails, stalls or whose version was compacted, the objects are listed again. The store counts and
//! limits the calls of all instances together, so failures are followed by an exponential backoff with jitter.

use std::{sync::Arc, time::Duration};

use bilberryford_platform::{Change, Object, ObjectKind, PlatformError};
use bilberryford_types::{ObjectVersion, TimeMs};
use rand::RngExt;
use tokio::time::sleep;

use crate::gateway::Gateway;

/// The longest pause after the first failure, in milliseconds. It doubles with each further failure.
const INITIAL_BACKOFF_MS: u64 = 150;
/// The longest pause, in milliseconds, which bounds the time to notice that the store is available again.
const MAX_BACKOFF_MS: u64 = 700;

/// The pause before a new list after a compaction, so that a store with constant compactions is not called in a loop.
const COMPACTION_DELAY: Duration = Duration::from_millis(30);

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
    const CHANGE_BATCH_DELAY: Duration;

    fn on_list(&self, gateway: &Gateway, objects: Vec<Object>, started_ms: TimeMs);
    fn on_change(&self, gateway: &Gateway, change: Change);
    /// Called when the store replied.
    fn on_contact(&self, _gateway: &Gateway) {}
    /// Called when the store did not reply or refused the call.
    fn on_contact_lost(&self, _gateway: &Gateway) {}
}

pub(super) async fn run<H: WatchHandler>(gateway: Arc<Gateway>, handler: H) {
    let mut backoff = Backoff::default();
    let mut since: Option<ObjectVersion> = None;
    let mut is_connected = true;
    loop {
        let result = match since {
            None => list(&gateway, &handler).await,
            Some(version) => watch(&gateway, &handler, version).await,
        };
        match result {
            Ok(version) => {
                if !std::mem::replace(&mut is_connected, true) {
                    log::info!(target: "dependency", kind:% = H::KIND; "store regained");
                }
                since = Some(version);
                backoff.reset();
                handler.on_contact(&gateway);
            }
            Err(error) => {
                if std::mem::replace(&mut is_connected, false) {
                    log::warn!(
                        target: "dependency", kind:% = H::KIND, error:% = error; "store lost"
                    );
                }
                // A compaction shows that the store is available, and only requires a new list.
                if error == PlatformError::Compacted {
                    sleep(COMPACTION_DELAY).await;
                } else {
                    handler.on_contact_lost(&gateway);
                    backoff.wait().await;
                }
                since = None;
            }
        }
    }
}

async fn list<H: WatchHandler>(
    gateway: &Gateway,
    handler: &H,
) -> Result<ObjectVersion, PlatformError> {
    gateway.metrics.store_calls.add(1, &[]);
    let started_ms = gateway.clock.now();
    let (version, objects) = gateway.store.list(H::KIND, "").await?;
    handler.on_contact(gateway);
    handler.on_list(gateway, objects, started_ms);
    Ok(version)
}

async fn watch<H: WatchHandler>(
    gateway: &Gateway,
    handler: &H,
    since: ObjectVersion,
) -> Result<ObjectVersion, PlatformError> {
    gateway.metrics.store_calls.add(1, &[]);
    let changes = gateway.store.watch(H::KIND, since, H::WATCH_TIMEOUT_MS).await?;
    let has_changes = !changes.changes.is_empty();
    for change in changes.changes {
        handler.on_change(gateway, change);
    }
    if has_changes {
        sleep(H::CHANGE_BATCH_DELAY).await;
    }
    Ok(changes.version)
}
