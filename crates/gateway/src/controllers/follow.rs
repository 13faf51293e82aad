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
const FIRST_PAUSE_MS: u64 = 150;
/// The longest pause, in milliseconds: a store that is back is noticed within it.
const LONGEST_PAUSE_MS: u64 = 700;

/// The pause before a new list after a compaction: a store that forgets all the time is not asked without end.
const COMPACTED_PAUSE: Duration = Duration::from_millis(30);

/// Pauses between failed calls.
#[derive(Debug, Default)]
pub(super) struct Pauses {
    failures: u32,
}

impl Pauses {
    pub(super) fn reset(&mut self) {
        self.failures = 0;
    }

    pub(super) async fn after_failure(&mut self) {
        let bound_ms = (FIRST_PAUSE_MS << self.failures.min(4)).min(LONGEST_PAUSE_MS);
        self.failures += 1;
        let pause_ms = rand::rng().random_range(bound_ms / 2..=bound_ms);
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Takes in what the store holds of one kind.
pub(super) trait Sink: Send + Sync + 'static {
    const KIND: ObjectKind;
    /// How long a watch waits. Each is a call that is priced; a silent connection is noticed sooner, by its probes.
    const WAIT_MS: TimeMs;
    /// The pause after a watch that brought changes: what changes meanwhile comes in one answer. Each call is priced, and
    /// in a large fleet something changes all the time.
    const PAUSE_AFTER_CHANGES: Duration;

    fn listed(&self, gateway: &Gateway, objects: Vec<Object>, started_ms: TimeMs);
    fn changed(&self, gateway: &Gateway, change: Change);
    /// The store answered.
    fn in_contact(&self, _gateway: &Gateway) {}
    /// The store did not answer, or refused.
    fn lost_contact(&self, _gateway: &Gateway) {}
}

pub(super) async fn follow<S: Sink>(gateway: Arc<Gateway>, sink: S) {
    let mut pauses = Pauses::default();
    let mut from: Option<ObjectVersion> = None;
    let mut is_connected = true;
    loop {
        let result = match from {
            None => list(&gateway, &sink).await,
            Some(version) => watch(&gateway, &sink, version).await,
        };
        match result {
            Ok(version) => {
                if !std::mem::replace(&mut is_connected, true) {
                    log::info!(target: "dependency", kind:% = S::KIND; "store regained");
                }
                from = Some(version);
                pauses.reset();
                sink.in_contact(&gateway);
            }
            Err(error) => {
                if std::mem::replace(&mut is_connected, false) {
                    log::warn!(
                        target: "dependency", kind:% = S::KIND, error:% = error; "store lost"
                    );
                }
                // A compaction is an answer of the store; it only needs a new list.
                if error == PlatformError::Compacted {
                    sleep(COMPACTED_PAUSE).await;
                } else {
                    sink.lost_contact(&gateway);
                    pauses.after_failure().await;
                }
                from = None;
            }
        }
    }
}

async fn list<S: Sink>(gateway: &Gateway, sink: &S) -> Result<ObjectVersion, PlatformError> {
    gateway.metrics.store_calls.add(1, &[]);
    let started_ms = gateway.clock.now();
    let (version, objects) = gateway.store.list(S::KIND, "").await?;
    sink.in_contact(gateway);
    sink.listed(gateway, objects, started_ms);
    Ok(version)
}

async fn watch<S: Sink>(
    gateway: &Gateway,
    sink: &S,
    from: ObjectVersion,
) -> Result<ObjectVersion, PlatformError> {
    gateway.metrics.store_calls.add(1, &[]);
    let changes = gateway.store.watch(S::KIND, from, S::WAIT_MS).await?;
    let is_pausing = !changes.changes.is_empty();
    for change in changes.changes {
        sink.changed(gateway, change);
    }
    if is_pausing {
        sleep(S::PAUSE_AFTER_CHANGES).await;
    }
    Ok(changes.version)
}
