//! Follows one kind of stored objects: a list, then watches from its version on.
//!
//! A watch that is cut, compacted or silent ends in a new list. Calls to the store are counted and limited for all
//! instances together, so failures are followed by a pause with jitter that grows.

use std::{sync::Arc, time::Duration};

use bilberryford_platform::{Change, Object, ObjectKind, PlatformError};
use bilberryford_types::{ObjectVersion, TimeMs};
use rand::RngExt;
use tokio::time::sleep;

use crate::gateway::Gateway;

/// The longest pause after the first failure, in milliseconds.
const INITIAL_BACKOFF_MS: u64 = 150;
/// The longest pause, in milliseconds: a store that is back is noticed within it.
const MAX_BACKOFF_MS: u64 = 700;

/// The pause before a new list after a compaction: a store that forgets all the time is not asked without end.
const COMPACTION_DELAY: Duration = Duration::from_millis(30);

/// Pauses between failed calls.
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

/// Takes in what the store holds of one kind.
pub(super) trait WatchHandler: Send + Sync + 'static {
    const KIND: ObjectKind;
    /// How long a watch waits. Each is a call that is priced; a silent connection is noticed sooner, by its probes.
    const WATCH_TIMEOUT_MS: TimeMs;
    /// The pause after a watch that brought changes: what changes meanwhile comes in one answer. Each call is priced, and
    /// in a large fleet something changes all the time.
    const CHANGE_BATCH_DELAY: Duration;

    fn on_list(&self, gateway: &Gateway, objects: Vec<Object>, started_ms: TimeMs);
    fn on_change(&self, gateway: &Gateway, change: Change);
    /// The store answered.
    fn on_contact(&self, _gateway: &Gateway) {}
    /// The store did not answer, or refused.
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
                // A compaction is an answer of the store; it only needs a new list.
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
