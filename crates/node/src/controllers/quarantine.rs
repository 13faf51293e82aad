//! Stores the quarantine on the platform, so that it outlives every instance.
//!
//! Only quarantine decisions are written, one object each, by conditional create; suspicions are not. Every instance
//! reads the list at its start and periodically, and deletes expired objects.

use std::{sync::Arc, time::Duration};

use bilberryford_coord::QUARANTINE_MS;
use bilberryford_platform::{Object, ObjectKey, ObjectKind, PlatformError, Precondition};
use bilberryford_types::{Digest, TimeMs};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{events::wall_ms, node::Node};

/// Time between two reads of the list after the first successful one, in milliseconds.
const READ_INTERVAL_MS: u64 = 60_000;
/// Time between two attempts of the first read, and between two rounds of writes, in milliseconds.
const WRITE_INTERVAL_MS: u64 = 500;
/// Maximum number of quarantine decisions that wait to be written.
pub(crate) const MAX_UNWRITTEN: usize = 1_024;

/// The content of a quarantine object.
#[derive(Debug, Serialize, Deserialize)]
struct QuarantineRecord {
    /// End of the quarantine by the wall clock, in milliseconds since the Unix epoch.
    until_ms: TimeMs,
}

pub(crate) async fn run(node: Arc<Node>) {
    let mut last_read: Option<TimeMs> = None;
    loop {
        let is_due = last_read.is_none_or(|at| node.now().since(at) >= TimeMs(READ_INTERVAL_MS));
        if is_due && read_list(&node).await.is_ok() {
            last_read = Some(node.now());
        }
        write_decisions(&node).await;
        sleep(Duration::from_millis(WRITE_INTERVAL_MS)).await;
    }
}

async fn read_list(node: &Node) -> Result<(), PlatformError> {
    let (_, objects) = node.objects.list(ObjectKind::Quarantine, "").await?;
    for object in objects {
        apply(node, object).await;
    }
    Ok(())
}

/// Applies a quarantine object, or deletes it if it has expired.
async fn apply(node: &Node, object: Object) {
    let Ok(fingerprint) = object.name.as_str().parse::<Digest>() else { return };
    let Ok(record) = serde_json::from_slice::<QuarantineRecord>(&object.body) else { return };
    let remaining = record.until_ms.since(wall_ms());
    if remaining > TimeMs(0) {
        node.apply_quarantined(&[fingerprint], Some(remaining), "platform");
        return;
    }
    let key = ObjectKey::new(ObjectKind::Quarantine, object.name);
    if let Err(error) = node.objects.delete(&key, object.version).await {
        log::debug!("expired quarantine object {key} was not deleted: {error}");
    }
}

/// Writes the decisions of this instance; those that can't be written stay queued.
async fn write_decisions(node: &Node) {
    let unwritten: Vec<Digest> = node.unwritten_quarantines.lock().clone();
    for fingerprint in unwritten {
        let Ok(name) = fingerprint.to_string().parse() else { continue };
        let key = ObjectKey::new(ObjectKind::Quarantine, name);
        let record = QuarantineRecord { until_ms: wall_ms().after(TimeMs(QUARANTINE_MS)) };
        let body = serde_json::to_vec(&record).unwrap_or_default();
        match node.objects.put(&key, Precondition::Absent, body.into()).await {
            Ok(_) | Err(PlatformError::Conflict { .. }) => {
                node.unwritten_quarantines.lock().retain(|other| *other != fingerprint);
            }
            Err(error) => {
                log::debug!("quarantine object {key} was not written: {error}");
                return;
            }
        }
    }
}
