//! Placement state of stores: the blocks that they hold and the load of the links to them.

use std::{collections::HashMap, sync::Arc};

use bilberryford_cache::{
    LinkTable, Piece, PlacementDecision, PlacementRequest, StoreSlot, Tier, TransferClass,
    import_sources,
};
use bilberryford_endpoint::kv_wire::ImportReport;
use bilberryford_types::{Bytes, Digest, PoolName, TimeMs};
use parking_lot::Mutex;

use super::{Placement, PoolState};
use crate::{fleet::Endpoint, stores::StoreTable};

/// Tiers in the order of arrays with a value for each.
const TIERS: [Tier; 2] = [Tier::Memory, Tier::Disk];

impl Placement {
    /// Applies the stores in force, and which of them are down, to all pools.
    pub(crate) fn apply_stores(&self, table: &StoreTable, now: TimeMs) {
        for state in self.pools.lock().values_mut() {
            if state.link_rates != table.link_rates {
                state.link_rates.clone_from(&table.link_rates);
                state.views.links = LinkTable::new(&table.link_rates);
            }
            let slots = (0..).map(StoreSlot).take(table.link_rates.len());
            for slot in slots {
                let is_up = table.up(now).any(|store| store.slot == slot);
                state.views.links.set_store_down(slot, !is_up);
            }
        }
    }

    fn with_pool<T>(&self, pool: &PoolName, apply: impl FnOnce(&mut PoolState) -> T) -> Option<T> {
        self.pools.lock().get_mut(pool).map(apply)
    }

    /// Returns those of `blocks` that no engine is assumed to hold.
    pub(crate) fn uncached_blocks(&self, pool: &PoolName, blocks: &[Digest]) -> Vec<Digest> {
        let is_held = |state: &PoolState, block: &Digest| {
            let holders = state.views.index.holders(block);
            state.views.engines.iter().any(|engine| holders.has_engine(engine.slot))
        };
        let uncached = self.with_pool(pool, |state| {
            blocks.iter().filter(|block| !is_held(state, block)).copied().collect()
        });
        uncached.unwrap_or_default()
    }

    /// Records the tier in which a store holds a piece, and the size of pieces.
    pub(crate) fn set_stored(
        &self,
        pool: &PoolName,
        piece: &Piece,
        store: StoreSlot,
        tier: Option<Tier>,
    ) {
        self.with_pool(pool, |state| {
            state.views.piece_size = piece.size;
            state.views.index.set_store_tier(&piece.block, store, tier);
        });
    }

    /// Records that a store does not hold a block.
    pub(crate) fn clear_stored(&self, pool: &PoolName, block: &Digest, store: StoreSlot) {
        self.with_pool(pool, |state| state.views.index.set_store_tier(block, store, None));
    }

    /// Records that an engine holds a block.
    pub(crate) fn set_cached(&self, endpoint: &Endpoint, block: &Digest) {
        self.with_engine(endpoint, |views, position| {
            views.index.set_engine_holder(block, views.engines[position].slot, true);
        });
    }

    /// Returns the store and tier from which each block of the prompt is imported, `None` for a block that is not.
    pub(crate) fn import_sources(
        &self,
        endpoint: &Endpoint,
        request: &PlacementRequest<'_>,
        decision: &PlacementDecision,
    ) -> Option<Vec<Option<(StoreSlot, Tier)>>> {
        self.with_engine(endpoint, |views, position| {
            let slot = views.engines[position].slot;
            let blocks = request.chain.blocks().iter();
            let held: Vec<_> =
                blocks.map(|block| views.index.holders(block).has_engine(slot)).collect();
            import_sources(views, request, decision, &held)
        })
    }

    /// Returns true if no transfer is in flight or waiting on the links of a store.
    pub(crate) fn is_link_idle(&self, pool: &PoolName, store: StoreSlot) -> bool {
        let is_idle = self.with_pool(pool, |state| {
            let links = &state.views.links;
            let wait_ms =
                |tier| links.link(store, tier).wait_ms(TransferClass::Background, Bytes(0));
            usize::from(store.0) < links.store_count() && TIERS.map(wait_ms) == [0.0; 2]
        });
        is_idle.unwrap_or_default()
    }

    /// Adds an import of `sizes` bytes (memory tier, disk tier) to the load of a store's links, until the returned
    /// reservation is finished or dropped.
    pub(crate) fn reserve_import(
        &self,
        pool: &PoolName,
        store: StoreSlot,
        class: TransferClass,
        sizes: [Bytes; 2],
    ) -> ImportReservation {
        let reservation = ImportReservation {
            pools: self.pools.clone(),
            pool: pool.clone(),
            store,
            class,
            sizes,
            is_finished: false,
        };
        reservation.for_each_link(|links, tier, size| links.reserve(store, tier, class, size));
        reservation
    }
}

/// An import in flight, counted in the load of the store's links.
pub(crate) struct ImportReservation {
    pools: Arc<Mutex<HashMap<PoolName, PoolState>>>,
    pool: PoolName,
    store: StoreSlot,
    class: TransferClass,
    sizes: [Bytes; 2],
    is_finished: bool,
}

impl Drop for ImportReservation {
    /// Cancels an unfinished reservation, since an abandoned import must not make its links look busy.
    fn drop(&mut self) {
        if !self.is_finished {
            let (store, class) = (self.store, self.class);
            self.for_each_link(|links, tier, size| links.release(store, tier, class, size));
        }
    }
}

impl ImportReservation {
    fn for_each_link(&self, mut apply: impl FnMut(&mut LinkTable, Tier, Bytes)) {
        let mut pools = self.pools.lock();
        let Some(state) = pools.get_mut(&self.pool) else { return };
        if usize::from(self.store.0) >= state.views.links.store_count() {
            return;
        }
        for (tier, size) in TIERS.into_iter().zip(self.sizes).filter(|(_, size)| size.get() > 0) {
            apply(&mut state.views.links, tier, size);
        }
    }

    /// Ends the reservation, and updates the estimated rates of the links from the bytes that arrived in `moved_ms`.
    pub(crate) fn finish(mut self, report: &ImportReport, moved_ms: f64, now: TimeMs) {
        self.is_finished = true;
        let (store, class) = (self.store, self.class);
        let received = [report.memory, report.disk];
        let total = (received[0].get() + received[1].get()).max(1) as f64;
        self.for_each_link(|links, tier, size| {
            let arrived = received[tier as usize];
            if arrived == size {
                let share = arrived.get() as f64 / total;
                links.complete((store, tier), class, size, moved_ms * share, now.get() as f64);
            } else {
                links.record_delay((store, tier), size, moved_ms);
                links.release(store, tier, class, size);
            }
        });
    }
}
