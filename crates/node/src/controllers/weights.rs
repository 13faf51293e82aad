//! Polls the roll-out records on the platform, and the engines' reports of their weights and queues.

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

/// Time between two polls of engines, in milliseconds.
const REPORT_POLL_MS: u64 = 1_000;
/// Time between two reads of the roll-out records, in milliseconds.
pub(super) const ROLLOUT_POLL_MS: u64 = 2_000;
/// Deadline of a report, in milliseconds.
const REPORT_TIMEOUT_MS: u64 = 500;
/// Maximum number of engines in one poll; of more, each poll takes a random selection.
const MAX_REPORTS: usize = 64;
/// Time between two polls of engines while the weights are not initialized, in milliseconds.
const START_POLL_MS: u64 = 50;
/// Time from the start of the process after which missing records and reports are no longer waited for, in
/// milliseconds.
const START_WAIT_MS: u64 = 3_000;
/// Minimum time between two reads of the roll-out records, in milliseconds.
const MIN_ROLLOUT_POLL_MS: u64 = 250;

/// Reads the roll-out records periodically, and at once when an engine refuses a version.
pub(crate) async fn poll_rollouts(node: Arc<Node>) {
    loop {
        match read_rollouts(&node).await {
            Ok(entries) => {
                entries.into_iter().for_each(|entry| node.weights.apply_rollout(entry));
                node.weights.mark_rollouts_read();
            }
            Err(error) => {
                log::debug!("roll-out records can't be read: {error}");
                if node.now() > TimeMs(START_WAIT_MS) {
                    node.weights.mark_rollouts_read();
                }
            }
        }
        sleep(Duration::from_millis(MIN_ROLLOUT_POLL_MS)).await;
        let remaining = Duration::from_millis(ROLLOUT_POLL_MS - MIN_ROLLOUT_POLL_MS);
        let _ = timeout(remaining, node.weights.version_refused.notified()).await;
    }
}

/// Polls engines, in a task of its own, so that slow engines don't delay the roll-out records.
pub(crate) async fn poll_reports(node: Arc<Node>) {
    loop {
        let polled = read_reports(&node).await;
        if polled > 0 || node.now() > TimeMs(START_WAIT_MS) {
            node.weights.mark_reports_read();
        }
        let pause = if node.weights.is_initialized() { REPORT_POLL_MS } else { START_POLL_MS };
        sleep(Duration::from_millis(pause)).await;
    }
}

/// Returns the prefix of the names of an environment's roll-out objects.
pub(super) fn record_prefix(environment: &EnvironmentName) -> String {
    format!("{environment}:")
}

/// Reads all roll-out records of the environment with one call.
pub(super) async fn read_rollouts(node: &Node) -> Result<Vec<RolloutEntry>, PlatformError> {
    let prefix = record_prefix(&node.settings.environment);
    let (_, objects) = node.objects.list(ObjectKind::Rollout, &prefix).await?;
    let read = |object: &bilberryford_platform::Object| {
        let record: RolloutRecord = serde_json::from_slice(&object.body).ok()?;
        Some(RolloutEntry { version: object.version, record })
    };
    Ok(objects.iter().filter_map(read).collect())
}

/// Polls engines and returns their number.
async fn read_reports(node: &Node) -> usize {
    let Some(in_force) = node.in_force() else { return 0 };
    let table = node.fleet.endpoints();
    let pools = in_force.document.models.iter().map(|model| &model.pool);
    let engines: Vec<_> = pools.flat_map(|pool| table.pool(pool)).cloned().collect();
    let selected: Vec<_> = engines.sample(&mut rand::rng(), MAX_REPORTS).cloned().collect();
    let members = node.member_count();
    let reads = selected.iter().map(|endpoint| read_report(endpoint, members));
    futures::future::join_all(reads).await;
    selected.len()
}

async fn read_report(endpoint: &Arc<Endpoint>, members: u32) {
    let (report, load) = tokio::join!(
        endpoint.control.read_report(TimeMs(REPORT_TIMEOUT_MS)),
        endpoint.engine.load()
    );
    if let Ok(report) = report {
        endpoint.weights.apply_report(report);
    }
    if let Ok(LoadReport { running, waiting, slots, .. }) = load {
        endpoint.observe_queue(QueueReport { running, waiting, slots }, members);
    }
}
