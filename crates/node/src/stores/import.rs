//! Orders the chosen engine to import blocks from stores before the prompt is sent.
//!
//! A failed or partial import counts as a cache miss: the engine recomputes the missing blocks, and no error reaches
//! the caller.

use std::{sync::Arc, time::Instant};

use bilberryford_cache::{
    BLOCK_TOKENS, BlockOwner, PlacementDecision, PlacementRequest, StoreSlot, Tier, TransferClass,
    estimate_prompt_tokens,
};
use bilberryford_endpoint::{
    EndpointError,
    kv_wire::{ImportOrder, ImportReport},
};
use bilberryford_types::{Bytes, Digest, EndpointId, EventKind, PoolName, TimeMs};
use futures::future::join_all;
use opentelemetry::KeyValue;

use super::{ListedStore, prefix_chain};
use crate::{fleet::Endpoint, follow::TraceContext, node::Node, placement::PREFILL_TOKENS_PER_MS};

/// Time allowed for the reply to an import order beyond the limit of the import itself, in milliseconds.
const REPLY_MARGIN_MS: u64 = 50;

/// The part of an import that one store serves.
struct ImportPart {
    store: Arc<ListedStore>,
    order: ImportOrder,
    sizes: [Bytes; 2],
}

/// The blocks that an engine is to import for a prompt.
pub(crate) struct ImportPlan {
    endpoint: EndpointId,
    pool: PoolName,
    class: TransferClass,
    parts: Vec<ImportPart>,
}

/// Plans the import of a placement decision. Returns `None` if nothing is to be imported.
pub(crate) fn plan(
    node: &Node,
    endpoint: &Endpoint,
    owner: &BlockOwner,
    prompt: &str,
    (decision, class): (&PlacementDecision, TransferClass),
) -> Option<ImportPlan> {
    if decision.import_blocks == 0 {
        return None;
    }
    let chain = prefix_chain(owner, prompt);
    let request = PlacementRequest { chain: &chain, tokens: estimate_prompt_tokens(prompt), class };
    let sources = node.placement.import_sources(endpoint, &request, decision)?;
    let blocks_from = |slot: StoreSlot| {
        let is_from_slot =
            move |from: &Option<(StoreSlot, Tier)>| from.is_some_and(|it| it.0 == slot);
        let pairs = chain.blocks().iter().zip(&sources);
        pairs.filter(move |(_, from)| is_from_slot(from)).map(|(block, _)| *block)
    };
    let table = node.stores.table();
    let parts = table
        .up(node.now())
        .filter_map(|store| {
            plan_part(node, store, owner, blocks_from(store.slot).collect(), import_limit(decision))
        })
        .collect();
    let pool = endpoint.pool.clone();
    Some(ImportPlan { endpoint: endpoint.id.clone(), pool, class, parts })
}

/// Returns how long the import may take before recomputing the blocks would be faster.
fn import_limit(decision: &PlacementDecision) -> TimeMs {
    let ms = |tokens: u32| f64::from(tokens) / PREFILL_TOKENS_PER_MS;
    let planned_ms = decision.first_token_ms - ms(decision.compute_tokens.get());
    let recompute_ms = ms(decision.import_blocks.saturating_mul(BLOCK_TOKENS.get()));
    TimeMs(planned_ms.max(recompute_ms) as u64)
}

fn plan_part(
    node: &Node,
    store: &Arc<ListedStore>,
    owner: &BlockOwner,
    wanted_blocks: Vec<Digest>,
    time_limit: TimeMs,
) -> Option<ImportPart> {
    let known = node.stores.exports.lock();
    let mut sizes = [Bytes(0); 2];
    let (mut blocks, mut exports) = (Vec::new(), Vec::new());
    for block in wanted_blocks {
        let Some(found) = known.get(&block).filter(|found| found.store == store.slot) else {
            continue;
        };
        let Ok(piece) = found.export.manifest.find_piece(owner, &block) else { continue };
        sizes[Tier::from(found.export.tier) as usize].0 += piece.size.get();
        blocks.push(block);
        if !exports.contains(&*found.export) {
            exports.push((*found.export).clone());
        }
    }
    let address = store.record.address;
    let order = ImportOrder { owner: owner.clone(), store: address, blocks, exports, time_limit };
    (!order.blocks.is_empty()).then(|| ImportPart { store: store.clone(), order, sizes })
}

/// Orders the engine to import the blocks of the plan. Does nothing if the plan is for another engine.
pub(crate) async fn import(
    node: &Node,
    endpoint: &Endpoint,
    plan: &ImportPlan,
    trace: &TraceContext,
) {
    if endpoint.id != plan.endpoint {
        return;
    }
    join_all(plan.parts.iter().map(|part| import_part(node, endpoint, plan, part, trace))).await;
}

async fn import_part(
    node: &Node,
    endpoint: &Endpoint,
    plan: &ImportPlan,
    part: &ImportPart,
    trace: &TraceContext,
) {
    let slot = part.store.slot;
    let reservation = node.placement.reserve_import(&plan.pool, slot, plan.class, part.sizes);
    let started = Instant::now();
    let timeout = part.order.time_limit.after(TimeMs(REPLY_MARGIN_MS));
    let report = endpoint.transfer.import(&part.order, timeout).await;
    let moved_ms = started.elapsed().as_secs_f64() * 1_000.0;
    let error = report.as_ref().err().map(EndpointError::to_string);
    let report = report.unwrap_or_default();
    reservation.finish(&report, moved_ms, node.now());
    record_report(node, endpoint, plan, part, &report);
    node.events.write(EventKind::Imported, |event| {
        event.request = Some(trace.request.clone());
        event.team = Some(trace.team.clone());
        event.endpoint = Some(endpoint.id.clone());
        event.detail = format!(
            "{} of {} blocks from store {}, memory {} disk {}, {moved_ms:.0} ms",
            report.imported.len(),
            part.order.blocks.len(),
            part.store.record.id,
            report.memory,
            report.disk
        );
        if let Some(error) = error {
            event.detail.push_str(", ");
            event.detail.push_str(&error);
        }
    });
}

/// Updates the known blocks: one that was not imported is not requested from that store again before the next look-up.
fn record_report(
    node: &Node,
    endpoint: &Endpoint,
    plan: &ImportPlan,
    part: &ImportPart,
    report: &ImportReport,
) {
    for block in &part.order.blocks {
        if report.imported.contains(block) {
            node.placement.set_cached(endpoint, block);
        } else {
            node.stores.exports.lock().remove(block);
            node.placement.clear_stored(&plan.pool, block, part.store.slot);
        }
    }
    for (tier, bytes) in [(Tier::Memory, report.memory), (Tier::Disk, report.disk)] {
        let labels =
            [KeyValue::new("tier", tier.to_string()), KeyValue::new("direction", "import")];
        node.metrics.link_bytes.add(bytes.get(), &labels);
    }
}
