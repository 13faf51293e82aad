//! Orders the chosen engine to import what the decision wants, before the prompt is sent.
//!
//! A failed or partial import is a miss: the engine computes what it lacks, and the caller hears nothing of it.

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

use super::{StoreAt, chain_of};
use crate::{fleet::Endpoint, follow::TraceContext, node::Node, placement::PREFILL_TOKENS_PER_MS};

/// How much longer than its patience an import's answer may take, in milliseconds.
const ANSWER_MARGIN_MS: u64 = 50;

/// The part of an import that one store serves.
struct Part {
    store: Arc<StoreAt>,
    order: ImportOrder,
    sizes: [Bytes; 2],
}

/// What an engine is ordered to import for a prompt.
pub(crate) struct ImportPlan {
    endpoint: EndpointId,
    pool: PoolName,
    class: TransferClass,
    parts: Vec<Part>,
}

/// The import that a decision wants; none when there is nothing to import.
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
    let chain = chain_of(owner, prompt);
    let request = PlacementRequest { chain: &chain, tokens: estimate_prompt_tokens(prompt), class };
    let sources = node.placement.sources(endpoint, &request, decision)?;
    let wanted = |slot: StoreSlot| {
        let is_wanted = move |from: &Option<(StoreSlot, Tier)>| from.is_some_and(|it| it.0 == slot);
        let pairs = chain.blocks().iter().zip(&sources);
        pairs.filter(move |(_, from)| is_wanted(from)).map(|(block, _)| *block)
    };
    let table = node.stores.table();
    let parts = table
        .up(node.now())
        .filter_map(|store| {
            part(node, store, owner, wanted(store.slot).collect(), patience(decision))
        })
        .collect();
    let pool = endpoint.pool.clone();
    Some(ImportPlan { endpoint: endpoint.id.clone(), pool, class, parts })
}

/// How long the import may take before computing the blocks would have been sooner.
fn patience(decision: &PlacementDecision) -> TimeMs {
    let ms = |tokens: u32| f64::from(tokens) / PREFILL_TOKENS_PER_MS;
    let planned_ms = decision.first_token_ms - ms(decision.compute_tokens.get());
    let recompute_ms = ms(decision.import_blocks.saturating_mul(BLOCK_TOKENS.get()));
    TimeMs(planned_ms.max(recompute_ms) as u64)
}

fn part(
    node: &Node,
    store: &Arc<StoreAt>,
    owner: &BlockOwner,
    wanted: Vec<Digest>,
    patience_ms: TimeMs,
) -> Option<Part> {
    let known = node.stores.known.lock();
    let mut sizes = [Bytes(0); 2];
    let (mut blocks, mut exports) = (Vec::new(), Vec::new());
    for block in wanted {
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
    let order = ImportOrder { owner: owner.clone(), store: address, blocks, exports, patience_ms };
    (!order.blocks.is_empty()).then(|| Part { store: store.clone(), order, sizes })
}

/// Has the engine import the plan's blocks, when it is the engine that the plan is for.
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
    part: &Part,
    trace: &TraceContext,
) {
    let slot = part.store.slot;
    let booked = node.placement.book_import(&plan.pool, slot, plan.class, part.sizes);
    let began = Instant::now();
    let timeout = part.order.patience_ms.after(TimeMs(ANSWER_MARGIN_MS));
    let report = endpoint.transfer.import(&part.order, timeout).await;
    let moved_ms = began.elapsed().as_secs_f64() * 1_000.0;
    let error = report.as_ref().err().map(EndpointError::to_string);
    let report = report.unwrap_or_default();
    booked.end(&report, moved_ms, node.now());
    note(node, endpoint, plan, part, &report);
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

/// Corrects what is known: a block that did not come is not asked for there again before the next look-up.
fn note(node: &Node, endpoint: &Endpoint, plan: &ImportPlan, part: &Part, report: &ImportReport) {
    for block in &part.order.blocks {
        if report.imported.contains(block) {
            node.placement.set_cached(endpoint, block);
        } else {
            node.stores.known.lock().forget(block);
            node.placement.clear_stored(&plan.pool, block, part.store.slot);
        }
    }
    for (tier, bytes) in [(Tier::Memory, report.memory), (Tier::Disk, report.disk)] {
        let labels =
            [KeyValue::new("tier", tier.to_string()), KeyValue::new("direction", "import")];
        node.metrics.link_bytes.add(bytes.get(), &labels);
    }
}
