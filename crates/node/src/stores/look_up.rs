//! Asks stores for chains that are not known here.

use std::sync::Arc;

use bilberryford_cache::BlockOwner;
use bilberryford_endpoint::{EndpointError, kv_wire::StoredExport};
use bilberryford_types::{Digest, PoolName, TimeMs};
use futures::future::join_all;

use super::{StoreAt, chain_of, known::KnownExport};
use crate::node::Node;

/// How long a prompt waits for the stores' answers, in milliseconds.
const LOOK_UP_MS: u64 = 100;
/// How many blocks of a chain are looked up.
const MAX_LOOK_UP: usize = 512;

/// Looks the blocks of a prompt up that neither an engine nor a store is known to hold.
pub(crate) async fn look_up(node: &Node, pool: &PoolName, owner: &BlockOwner, prompt: &str) {
    let table = node.stores.table();
    if table.stores.is_empty() {
        return;
    }
    node.placement.set_stores(&table, node.now());
    let chain = chain_of(owner, prompt);
    let unknown: Vec<_> = node
        .placement
        .unknown_blocks(pool, chain.blocks())
        .into_iter()
        .filter(|block| !node.stores.is_stored(block))
        .take(MAX_LOOK_UP)
        .collect();
    if unknown.is_empty() {
        return;
    }
    let asked = table.up(node.now()).map(|store| ask(node, pool, owner, store, &unknown));
    join_all(asked).await;
    node.placement.set_stores(&table, node.now());
}

async fn ask(
    node: &Node,
    pool: &PoolName,
    owner: &BlockOwner,
    store: &Arc<StoreAt>,
    blocks: &[Digest],
) {
    match store.client.look_up(blocks, TimeMs(LOOK_UP_MS)).await {
        Ok(found) => {
            for export in found {
                node.note_export(pool, owner, store, export, blocks);
            }
        }
        Err(EndpointError::Refused { .. }) => {}
        Err(error) => {
            log::debug!("store {} can't be asked: {error}", store.record.id);
            store.set_down(node.now());
        }
    }
}

impl Node {
    /// Takes in what an export holds of `blocks`.
    ///
    /// # Invariant
    ///
    /// An export of another team, model or weight version, or with a manifest that is not whole, is not taken in, so no
    /// order to import names it. The engine checks again what it reads.
    pub(crate) fn note_export(
        &self,
        pool: &PoolName,
        owner: &BlockOwner,
        store: &StoreAt,
        export: StoredExport,
        blocks: &[Digest],
    ) {
        let export = Arc::new(export);
        let pieces =
            blocks.iter().filter_map(|block| export.manifest.find_piece(owner, block).ok());
        for piece in pieces {
            let known = KnownExport { store: store.slot, export: export.clone() };
            self.stores.known.lock().add(piece.block, known);
            self.placement.set_stored(pool, piece, store.slot, Some(export.tier.into()));
        }
    }
}
