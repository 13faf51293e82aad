//! Keeps the quarantine on the platform, so that it outlives every instance.
//!
//! Only convictions are written, one object each, by conditional create; suspicions are soft. Every instance reads the
//! list at its start and now and then, and removes what has run out.

use std::{sync::Arc, time::Duration};

use bilberryford_coord::QUARANTINE_MS;
use bilberryford_platform::{Object, ObjectKey, ObjectKind, PlatformError, Precondition};
use bilberryford_types::{Digest, TimeMs};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{events::wall_ms, node::Node};

/// How often the list is read once it has been read, in milliseconds.
const READ_MS: u64 = 60_000;
/// How often it is tried at first, and how often convictions are written, in milliseconds.
const WRITE_MS: u64 = 500;
/// How often the process takes note that it runs, in milliseconds.
const TICK_MS: u64 = 250;
/// The most convictions that wait to be written.
pub(crate) const MAX_UNWRITTEN: usize = 1_024;

/// The content of a quarantine object.
#[derive(Debug, Serialize, Deserialize)]
struct Record {
    /// When the quarantine ends, in milliseconds of the wall clock.
    until_ms: TimeMs,
}

pub(crate) async fn run(node: Arc<Node>) {
    let ticking = node.clone();
    let ticks = async move {
        loop {
            ticking.pause_detector.tick(ticking.now());
            sleep(Duration::from_millis(TICK_MS)).await;
        }
    };
    tokio::join!(ticks, keep(node));
}

async fn keep(node: Arc<Node>) {
    let mut read_at: Option<TimeMs> = None;
    loop {
        let is_due = read_at.is_none_or(|at| node.now().since(at) >= TimeMs(READ_MS));
        if is_due && read(&node).await.is_ok() {
            read_at = Some(node.now());
        }
        write(&node).await;
        sleep(Duration::from_millis(WRITE_MS)).await;
    }
}

async fn read(node: &Node) -> Result<(), PlatformError> {
    let (_, objects) = node.objects.list(ObjectKind::Quarantine, "").await?;
    for object in objects {
        take(node, object).await;
    }
    Ok(())
}

async fn take(node: &Node, object: Object) {
    let Ok(fingerprint) = object.name.as_str().parse::<Digest>() else { return };
    let Ok(record) = serde_json::from_slice::<Record>(&object.body) else { return };
    let left = record.until_ms.since(wall_ms());
    if left > TimeMs(0) {
        node.take_quarantined(&[fingerprint], Some(left), "platform");
        return;
    }
    let key = ObjectKey::new(ObjectKind::Quarantine, object.name);
    if let Err(error) = node.objects.delete(&key, object.version).await {
        log::debug!("{key} was not removed: {error}");
    }
}

/// Writes what was convicted here; what can't be written now is tried again.
async fn write(node: &Node) {
    let waiting: Vec<Digest> = node.unwritten_quarantines.lock().clone();
    for fingerprint in waiting {
        let Ok(name) = fingerprint.to_string().parse() else { continue };
        let key = ObjectKey::new(ObjectKind::Quarantine, name);
        let record = Record { until_ms: wall_ms().after(TimeMs(QUARANTINE_MS)) };
        let body = serde_json::to_vec(&record).unwrap_or_default();
        match node.objects.put(&key, Precondition::Absent, body.into()).await {
            Ok(_) | Err(PlatformError::Conflict { .. }) => {
                node.unwritten_quarantines.lock().retain(|other| *other != fingerprint);
            }
            Err(error) => {
                log::debug!("{key} was not written: {error}");
                return;
            }
        }
    }
}
