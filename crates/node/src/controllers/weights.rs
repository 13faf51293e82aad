//! Follows the versions in force and what engines report of their weights and queues.

use std::{sync::Arc, time::Duration};

use bilberryford_coord::QueueReport;
use bilberryford_endpoint::LoadReport;
use bilberryford_platform::{ObjectKind, PlatformError};
use bilberryford_types::{EnvironmentName, TimeMs};
use rand::seq::IndexedRandom;
use tokio::time::{sleep, timeout};

use crate::{
    fleet::Endpoint,
    node::Node,
    weights::{RolloutEntry, RolloutRecord},
};

/// How often engines are asked, in milliseconds.
const REPORT_POLL_MS: u64 = 1_000;
/// How often the versions in force are read, in milliseconds.
pub(super) const AGREED_POLL_MS: u64 = 2_000;
/// The deadline of a report, in milliseconds.
const REPORT_TIMEOUT_MS: u64 = 500;
/// How many engines one instance asks in one round; more of them are asked in turn, by chance.
const MAX_REPORTS: usize = 64;

/// How often engines are looked for at the start, in milliseconds.
const START_POLL_MS: u64 = 50;
/// How long an instance waits at the start for what it can't read, in milliseconds.
const START_WAIT_MS: u64 = 3_000;
/// The shortest time between two reads of the versions in force, in milliseconds.
const AGREED_MIN_MS: u64 = 250;

/// Follows the versions in force; engines that refuse a version make it look at once.
pub(crate) async fn follow_agreed(node: Arc<Node>) {
    loop {
        match read_agreed(&node).await {
            Ok(agreed) => {
                agreed.into_iter().for_each(|agreed| node.weights.observe(agreed));
                node.weights.note_agreed();
            }
            Err(error) => {
                log::debug!("versions in force can't be read: {error}");
                if node.now() > TimeMs(START_WAIT_MS) {
                    node.weights.note_agreed();
                }
            }
        }
        sleep(Duration::from_millis(AGREED_MIN_MS)).await;
        let rest = Duration::from_millis(AGREED_POLL_MS - AGREED_MIN_MS);
        let _ = timeout(rest, node.weights.version_refused.notified()).await;
    }
}

/// Follows what engines report; slow ones don't delay what is agreed.
pub(crate) async fn follow_reports(node: Arc<Node>) {
    loop {
        let asked = read_reports(&node).await;
        if asked > 0 || node.now() > TimeMs(START_WAIT_MS) {
            node.weights.note_reports();
        }
        let pause = if node.weights.is_initialized() { REPORT_POLL_MS } else { START_POLL_MS };
        sleep(Duration::from_millis(pause)).await;
    }
}

/// Starts the names of an environment's roll-out objects.
pub(super) fn record_prefix(environment: &EnvironmentName) -> String {
    format!("{environment}:")
}

/// All records of the environment; one call.
pub(super) async fn read_agreed(node: &Node) -> Result<Vec<RolloutEntry>, PlatformError> {
    let prefix = record_prefix(&node.settings.environment);
    let (_, objects) = node.objects.list(ObjectKind::Rollout, &prefix).await?;
    let read = |object: &bilberryford_platform::Object| {
        let record: RolloutRecord = serde_json::from_slice(&object.body).ok()?;
        Some(RolloutEntry { version: object.version, record })
    };
    Ok(objects.iter().filter_map(read).collect())
}

/// Asks engines and answers how many were asked.
async fn read_reports(node: &Node) -> usize {
    let Some(in_force) = node.in_force() else { return 0 };
    let table = node.fleet.endpoints();
    let pools = in_force.document.models.iter().map(|model| &model.pool);
    let engines: Vec<_> = pools.flat_map(|pool| table.pool(pool)).cloned().collect();
    let asked: Vec<_> = engines.sample(&mut rand::rng(), MAX_REPORTS).cloned().collect();
    let members = node.member_count();
    let reads = asked.iter().map(|endpoint| read_report(endpoint, members));
    futures::future::join_all(reads).await;
    asked.len()
}

async fn read_report(endpoint: &Arc<Endpoint>, members: u32) {
    let (report, load) =
        tokio::join!(endpoint.control.report(TimeMs(REPORT_TIMEOUT_MS)), endpoint.engine.load());
    if let Ok(report) = report {
        endpoint.weights.observe(report);
    }
    if let Ok(LoadReport { running, waiting, slots, .. }) = load {
        endpoint.observe_queue(QueueReport { running, waiting, slots }, members);
    }
}
