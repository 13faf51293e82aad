//! Exports computed blocks from engines to stores, after the response and while the links of the stores are idle.

use std::{sync::Arc, time::Duration};

use bilberryford_cache::{StoreSlot, home_store};
use bilberryford_endpoint::kv_wire::ExportOrder;
use bilberryford_types::{Digest, EventKind, TimeMs};
use opentelemetry::KeyValue;
use tokio::time::sleep;

use crate::{
    node::Node,
    stores::{ListedStore, WriteBackJob},
};

/// Deadline of an export, in milliseconds.
const EXPORT_TIMEOUT_MS: u64 = 10_000;
/// Time between two checks of a busy link, in milliseconds.
const IDLE_POLL_MS: u64 = 50;
/// How long a write-back waits for a store that is up, in milliseconds. The engine keeps the blocks for a limited time.
const MAX_WAIT_MS: TimeMs = TimeMs(10_000);
/// Number of checks after which an export is abandoned.
const MAX_IDLE_POLLS: u32 = 200;

pub(crate) async fn run(node: Arc<Node>) {
    loop {
        let job = node.stores.next_write_back().await;
        write_back(&node, &job).await;
    }
}

/// Waits until a store is up. Returns the stores that are up; none if the job has waited for [`MAX_WAIT_MS`].
async fn wait_for_stores(node: &Node, job: &WriteBackJob) -> Vec<Arc<ListedStore>> {
    loop {
        let up: Vec<_> = node.stores.table().up(node.now()).cloned().collect();
        if !up.is_empty() || node.now().since(job.queued_at) >= MAX_WAIT_MS {
            return up;
        }
        sleep(Duration::from_millis(IDLE_POLL_MS)).await;
    }
}

/// Exports each block to its home among the stores that are up, unless a store is known to hold the block.
async fn write_back(node: &Node, job: &WriteBackJob) {
    let up = wait_for_stores(node, job).await;
    if up.is_empty() {
        node.metrics.write_backs_dropped.add(1, &[]);
        log::warn!(
            "write-back of {} blocks dropped: no store was up for {MAX_WAIT_MS}",
            job.chain.blocks().len()
        );
        return;
    }
    let slots: Vec<StoreSlot> = up.iter().map(|store| store.slot).collect();
    let chain = job.chain.blocks();
    for store in &up {
        let is_home =
            |index: usize| home_store(&chain[0], index, &slots).is_some_and(|it| it == store.slot);
        let missing: Vec<Digest> = chain
            .iter()
            .enumerate()
            .filter(|(index, block)| is_home(*index) && !node.stores.is_stored(block))
            .map(|(_, block)| *block)
            .collect();
        if !missing.is_empty() && wait_idle(node, job, store).await {
            export(node, job, store, missing).await;
        }
    }
}

/// Waits until the links of the store are idle. Returns false if they are still busy after [`MAX_IDLE_POLLS`].
async fn wait_idle(node: &Node, job: &WriteBackJob, store: &ListedStore) -> bool {
    for _ in 0..MAX_IDLE_POLLS {
        if node.placement.is_link_idle(&job.endpoint.pool, store.slot) {
            return true;
        }
        sleep(Duration::from_millis(IDLE_POLL_MS)).await;
    }
    false
}

async fn export(node: &Node, job: &WriteBackJob, store: &ListedStore, blocks: Vec<Digest>) {
    let WriteBackJob { owner, endpoint, .. } = job;
    let order = ExportOrder { owner: owner.clone(), store: store.record.address, blocks };
    let detail = match endpoint.transfer.export(&order, TimeMs(EXPORT_TIMEOUT_MS)).await {
        Ok(report) => {
            let labels = [KeyValue::new("tier", "memory"), KeyValue::new("direction", "export")];
            node.metrics.link_bytes.add(report.written.get(), &labels);
            if let Some(export) = report.export {
                node.record_export(&endpoint.pool, owner, store, export, &order.blocks);
            }
            format!("memory {} to store {}, written back", report.written, store.record.id)
        }
        Err(error) => format!("nothing to store {}, {error}", store.record.id),
    };
    node.events.write(EventKind::Exported, |event| {
        event.team = Some(owner.team.clone());
        event.endpoint = Some(endpoint.id.clone());
        event.detail = detail;
    });
}
