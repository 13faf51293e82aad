//! Looks up blocks in stores that are not known to be cached or stored.

use std::sync::Arc;

use bilberryford_cache::BlockOwner;
use bilberryford_endpoint::{EndpointError, kv_wire::StoredExport};
use bilberryford_types::{Digest, PoolName, TimeMs};
use futures::future::join_all;

use super::{ListedStore, known_exports::KnownExport, prefix_chain};
use crate::node::Node;

/// Deadline of a look-up, for which the prompt waits, in milliseconds.
const LOOK_UP_TIMEOUT_MS: u64 = 100;
/// Maximum number of blocks that one prompt looks up.
const MAX_LOOK_UP_BLOCKS: usize = 512;

/// Looks up, in all stores that are up, the blocks of a prompt that no engine or store is known to hold.
pub(crate) async fn look_up(node: &Node, pool: &PoolName, owner: &BlockOwner, prompt: &str) {
    let table = node.stores.table();
    if table.stores.is_empty() {
        return;
    }
    node.placement.apply_stores(&table, node.now());
    let chain = prefix_chain(owner, prompt);
    let missing: Vec<_> = node
        .placement
        .uncached_blocks(pool, chain.blocks())
        .into_iter()
        .filter(|block| !node.stores.is_stored(block))
        .take(MAX_LOOK_UP_BLOCKS)
        .collect();
    if missing.is_empty() {
        return;
    }
    let queries = table.up(node.now()).map(|store| query(node, pool, owner, store, &missing));
    join_all(queries).await;
    node.placement.apply_stores(&table, node.now());
}

async fn query(
    node: &Node,
    pool: &PoolName,
    owner: &BlockOwner,
    store: &Arc<ListedStore>,
    blocks: &[Digest],
) {
    match store.client.look_up(blocks, TimeMs(LOOK_UP_TIMEOUT_MS)).await {
        Ok(found) => {
            store.record_reply();
            for export in found {
                node.record_export(pool, owner, store, export, blocks);
            }
        }
        Err(EndpointError::Refused { .. }) => store.record_reply(),
        Err(error) => {
            log::debug!("look-up in store {} failed: {error}", store.record.id);
            store.record_failure(&error, node.now());
        }
    }
}

impl Node {
    /// Records which of `blocks` an export holds.
    ///
    /// # Invariant
    ///
    /// An export of another team, model or weight version, or with an incomplete manifest, is not recorded, so no
    /// import order names it. The engine verifies again what it reads.
    pub(crate) fn record_export(
        &self,
        pool: &PoolName,
        owner: &BlockOwner,
        store: &ListedStore,
        export: StoredExport,
        blocks: &[Digest],
    ) {
        let export = Arc::new(export);
        let pieces =
            blocks.iter().filter_map(|block| export.manifest.find_piece(owner, block).ok());
        for piece in pieces {
            let stored = KnownExport { store: store.slot, export: export.clone() };
            self.stores.exports.lock().insert(piece.block, stored);
            self.placement.set_stored(pool, piece, store.slot, Some(export.tier.into()));
        }
    }
}
