//! Writes outcomes of orders that could not be made durable at once, and deletes expired records.

use std::{sync::Arc, time::Duration};

use bilberryford_coord::{OrderRecord, OutcomeStep};
use bilberryford_platform::{ObjectKey, ObjectKind, PlatformError};
use bilberryford_types::TimeMs;
use tokio::time::sleep;

use crate::{events::wall_ms, node::Node, orders::write_outcome};

/// Minimum wait after an outcome could not be written, in milliseconds; the maximum is twice as long.
const RETRY_MS: u64 = 500;
/// Maximum number of hexadecimal digits of the name prefixes that divide the records into partitions.
const MAX_PREFIX_DIGITS: usize = 3;
/// Minimum wait between two partitions for a prefix of more than one digit, in milliseconds.
const LONG_PREFIX_STEP_MS: u64 = 1_000;
/// Number of times that each partition is swept within the retention.
const SWEEPS_PER_RETENTION: u64 = 4;
/// Minimum wait between two partitions, in milliseconds.
const MIN_STEP_MS: u64 = 2;
/// Maximum number of records that are deleted in one step.
const MAX_DELETES: usize = 1_024;

/// Writes queued outcomes one at a time, so that a platform that recovers is not overloaded.
pub(crate) async fn write_outcomes(node: Arc<Node>) {
    loop {
        let pending = node.orders.next_outcome().await;
        if let Some(pending) = write_outcome(&node, pending, OutcomeStep::Get).await {
            node.orders.queue_outcome(pending);
            sleep(Duration::from_millis(RETRY_MS + rand::random_range(0..RETRY_MS))).await;
        }
    }
}

/// Sweeps the partitions that this instance owns. Ownership only saves work: the precondition of a delete protects a
/// record that has changed.
pub(crate) async fn sweep(node: Arc<Node>) {
    let retention = node.settings.order_retention;
    let cycle_ms = retention.get() / SWEEPS_PER_RETENTION;
    let step_ms = |digits: usize| cycle_ms / partitions(digits);
    let digits = (2..=MAX_PREFIX_DIGITS)
        .rev()
        .find(|digits| step_ms(*digits) >= LONG_PREFIX_STEP_MS)
        .unwrap_or(1);
    let step = Duration::from_millis(step_ms(digits).max(MIN_STEP_MS));
    for partition in (0..partitions(digits)).cycle() {
        sleep(step).await;
        let prefix = format!("{partition:0digits$x}");
        if node.members.is_owner(prefix.as_bytes(), 1)
            && let Err(error) = sweep_partition(&node, &prefix, retention).await
        {
            log::debug!("expired orders can't be deleted: {error}");
        }
    }
}

const fn partitions(digits: usize) -> u64 {
    1 << (4 * digits)
}

async fn sweep_partition(
    node: &Node,
    prefix: &str,
    retention: TimeMs,
) -> Result<(), PlatformError> {
    let (_, objects) = node.objects.list(ObjectKind::Order, prefix).await?;
    let now = wall_ms();
    let is_expired = |body: &[u8]| {
        serde_json::from_slice::<OrderRecord>(body)
            .is_ok_and(|record| record.is_sweepable(now, retention))
    };
    let expired = objects.into_iter().filter(|object| is_expired(&object.body)).take(MAX_DELETES);
    for object in expired {
        let key = ObjectKey::new(ObjectKind::Order, object.name);
        match node.objects.delete(&key, object.version).await {
            Ok(()) | Err(PlatformError::Conflict { .. }) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
