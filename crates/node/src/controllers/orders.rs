//! Makes outcomes of orders durable that could not be written at once, and deletes old records.

use std::{sync::Arc, time::Duration};

use bilberryford_coord::{OrderRecord, OutcomeStep};
use bilberryford_platform::{ObjectKey, ObjectKind, PlatformError};
use bilberryford_types::TimeMs;
use tokio::time::sleep;

use crate::{events::wall_ms, node::Node, orders::write_outcome};

/// How long to wait after the platform did not answer, in milliseconds.
const RETRY_MS: u64 = 500;
/// The most hexadecimal digits by which the names of records fall into parts.
const MAX_PREFIX_DIGITS: usize = 3;
/// The wait between two parts above which parts are made smaller, in milliseconds.
const LONG_STEP_MS: u64 = 1_000;
/// Each part is swept this often in one retention.
const SWEEPS_PER_RETENTION: u64 = 4;
/// The shortest wait between two parts, in milliseconds.
const MIN_STEP_MS: u64 = 2;
/// The most records that are deleted in one step.
const MAX_DELETES: usize = 1_024;

/// Writes outcomes that wait, one at a time, so that a platform that comes back is not flooded.
pub(crate) async fn settle(node: Arc<Node>) {
    loop {
        let pending = node.orders.next_outcome().await;
        if let Some(pending) = write_outcome(&node, pending, OutcomeStep::Get).await {
            node.orders.queue_outcome(pending);
            sleep(Duration::from_millis(RETRY_MS + rand::random_range(0..RETRY_MS))).await;
        }
    }
}

/// Walks over the parts that this instance owns; ownership saves work, the delete's precondition decides.
pub(crate) async fn sweep(node: Arc<Node>) {
    let retention = node.settings.order_retention;
    let cycle_ms = retention.get() / SWEEPS_PER_RETENTION;
    let step_ms = |digits: usize| cycle_ms / parts(digits);
    let digits =
        (2..=MAX_PREFIX_DIGITS).rev().find(|digits| step_ms(*digits) >= LONG_STEP_MS).unwrap_or(1);
    let step = Duration::from_millis(step_ms(digits).max(MIN_STEP_MS));
    for part in (0..parts(digits)).cycle() {
        sleep(step).await;
        let prefix = format!("{part:0digits$x}");
        if node.members.is_owner(prefix.as_bytes(), 1)
            && let Err(error) = sweep_part(&node, &prefix, retention).await
        {
            log::debug!("old orders can't be deleted: {error}");
        }
    }
}

const fn parts(digits: usize) -> u64 {
    1 << (4 * digits)
}

async fn sweep_part(node: &Node, prefix: &str, retention: TimeMs) -> Result<(), PlatformError> {
    let (_, objects) = node.objects.list(ObjectKind::Order, prefix).await?;
    let now = wall_ms();
    let is_old = |body: &[u8]| {
        serde_json::from_slice::<OrderRecord>(body)
            .is_ok_and(|record| record.is_sweepable(now, retention))
    };
    let old = objects.into_iter().filter(|object| is_old(&object.body)).take(MAX_DELETES);
    for object in old {
        let key = ObjectKey::new(ObjectKind::Order, object.name);
        match node.objects.delete(&key, object.version).await {
            Ok(()) | Err(PlatformError::Conflict { .. }) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
