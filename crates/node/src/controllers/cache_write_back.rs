//! Has engines write back what they computed to the stores, after the answer and while the stores' links are idle.

use std::{sync::Arc, time::Duration};

use bilberryford_cache::{StoreSlot, home_store};
use bilberryford_endpoint::kv_wire::ExportOrder;
use bilberryford_types::{Digest, EventKind, TimeMs};
use opentelemetry::KeyValue;
use tokio::time::sleep;

use crate::{
    node::Node,
    stores::{StoreAt, WriteBackJob},
};

/// The deadline of an export, in milliseconds.
const EXPORT_MS: u64 = 10_000;
/// How often a busy link is looked at again, in milliseconds.
const BUSY_MS: u64 = 50;
/// How often that is done before an export is given up.
const MAX_BUSY: u32 = 200;

pub(crate) async fn run(node: Arc<Node>) {
    loop {
        let job = node.stores.next_write_back().await;
        write_back(&node, &job).await;
    }
}

/// Each block goes to its home among the stores that answer; one that a store is known to hold stays there.
async fn write_back(node: &Node, job: &WriteBackJob) {
    let table = node.stores.table();
    let up: Vec<_> = table.up(node.now()).cloned().collect();
    let slots: Vec<StoreSlot> = up.iter().map(|store| store.slot).collect();
    let chain = job.chain.blocks();
    for store in &up {
        let is_home =
            |place: usize| home_store(&chain[0], place, &slots).is_some_and(|it| it == store.slot);
        let missing: Vec<Digest> = chain
            .iter()
            .enumerate()
            .filter(|(place, block)| is_home(*place) && !node.stores.is_stored(block))
            .map(|(_, block)| *block)
            .collect();
        if !missing.is_empty() && is_idle(node, job, store).await {
            export(node, job, store, missing).await;
        }
    }
}

async fn is_idle(node: &Node, job: &WriteBackJob, store: &StoreAt) -> bool {
    for _ in 0..MAX_BUSY {
        if node.placement.is_link_idle(&job.endpoint.pool, store.slot) {
            return true;
        }
        sleep(Duration::from_millis(BUSY_MS)).await;
    }
    false
}

async fn export(node: &Node, job: &WriteBackJob, store: &StoreAt, blocks: Vec<Digest>) {
    let WriteBackJob { owner, endpoint, .. } = job;
    let order = ExportOrder { owner: owner.clone(), store: store.record.address, blocks };
    let detail = match endpoint.transfer.export(&order, TimeMs(EXPORT_MS)).await {
        Ok(report) => {
            let labels = [KeyValue::new("tier", "memory"), KeyValue::new("direction", "export")];
            node.metrics.link_bytes.add(report.written.get(), &labels);
            if let Some(export) = report.export {
                node.note_export(&endpoint.pool, owner, store, export, &order.blocks);
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
