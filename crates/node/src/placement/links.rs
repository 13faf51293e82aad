//! What a cell knows of stores and of the links to them.

use std::{collections::HashMap, sync::Arc};

use bilberryford_cache::{
    LinkTable, Piece, PlacementDecision, PlacementRequest, StoreSlot, Tier, TransferClass,
    import_sources,
};
use bilberryford_endpoint::kv_wire::ImportReport;
use bilberryford_types::{Bytes, Digest, PoolName, TimeMs};
use parking_lot::Mutex;

use super::{Cell, Placement};
use crate::{fleet::Endpoint, stores::StoreTable};

const TIERS: [Tier; 2] = [Tier::Memory, Tier::Disk];

impl Placement {
    /// Takes in which stores there are and which of them answer.
    pub(crate) fn set_stores(&self, table: &StoreTable, now: TimeMs) {
        for cell in self.cells.lock().values_mut() {
            if cell.rates != table.rates {
                cell.rates.clone_from(&table.rates);
                cell.views.links = LinkTable::new(&table.rates);
            }
            let slots = (0..).map(StoreSlot).take(table.rates.len());
            for slot in slots {
                let is_up = table.up(now).any(|store| store.slot == slot);
                cell.views.links.set_store_down(slot, !is_up);
            }
        }
    }

    fn with_pool<T>(&self, pool: &PoolName, act: impl FnOnce(&mut Cell) -> T) -> Option<T> {
        self.cells.lock().get_mut(pool).map(act)
    }

    /// Those of `blocks` that no engine is thought to hold.
    pub(crate) fn unknown_blocks(&self, pool: &PoolName, blocks: &[Digest]) -> Vec<Digest> {
        let is_held = |cell: &Cell, block: &Digest| {
            let holders = cell.views.index.holders(block);
            cell.views.engines.iter().any(|engine| holders.has_engine(engine.slot))
        };
        let unknown = self.with_pool(pool, |cell| {
            blocks.iter().filter(|block| !is_held(cell, block)).copied().collect()
        });
        unknown.unwrap_or_default()
    }

    /// Notes that a store holds a piece, and how large pieces are.
    pub(crate) fn set_stored(
        &self,
        pool: &PoolName,
        piece: &Piece,
        store: StoreSlot,
        tier: Option<Tier>,
    ) {
        self.with_pool(pool, |cell| {
            cell.views.piece_size = piece.size;
            cell.views.index.set_store_tier(&piece.block, store, tier);
        });
    }

    /// Notes that a store does not hold a block.
    pub(crate) fn clear_stored(&self, pool: &PoolName, block: &Digest, store: StoreSlot) {
        self.with_pool(pool, |cell| cell.views.index.set_store_tier(block, store, None));
    }

    /// Notes that an engine holds a block.
    pub(crate) fn set_cached(&self, endpoint: &Endpoint, block: &Digest) {
        self.with(endpoint, |views, place| {
            views.index.set_engine_holder(block, views.engines[place].slot, true);
        });
    }

    /// The link over which each block of a decision comes.
    pub(crate) fn sources(
        &self,
        endpoint: &Endpoint,
        request: &PlacementRequest<'_>,
        decision: &PlacementDecision,
    ) -> Option<Vec<Option<(StoreSlot, Tier)>>> {
        self.with(endpoint, |views, place| {
            let slot = views.engines[place].slot;
            let blocks = request.chain.blocks().iter();
            let held: Vec<_> =
                blocks.map(|block| views.index.holders(block).has_engine(slot)).collect();
            import_sources(views, request, decision, &held)
        })
    }

    /// Whether nothing is on its way over a store's links.
    pub(crate) fn is_link_idle(&self, pool: &PoolName, store: StoreSlot) -> bool {
        let is_idle = self.with_pool(pool, |cell| {
            let links = &cell.views.links;
            let wait_ms =
                |tier| links.link(store, tier).wait_ms(TransferClass::Background, Bytes(0));
            usize::from(store.0) < links.store_count() && TIERS.map(wait_ms) == [0.0; 2]
        });
        is_idle.unwrap_or_default()
    }

    /// Books an import on a store's links, memory before disk; it counts until the booking is ended or dropped.
    pub(crate) fn book_import(
        &self,
        pool: &PoolName,
        store: StoreSlot,
        class: TransferClass,
        sizes: [Bytes; 2],
    ) -> Booked {
        let booked = Booked {
            cells: self.cells.clone(),
            pool: pool.clone(),
            store,
            class,
            sizes,
            is_ended: false,
        };
        booked.each(|links, tier, size| links.reserve(store, tier, class, size));
        booked
    }
}

/// An import that is on its way.
pub(crate) struct Booked {
    cells: Arc<Mutex<HashMap<PoolName, Cell>>>,
    pool: PoolName,
    store: StoreSlot,
    class: TransferClass,
    sizes: [Bytes; 2],
    is_ended: bool,
}

impl Drop for Booked {
    /// An import that nobody waits for any more must not make its links look busy.
    fn drop(&mut self) {
        if !self.is_ended {
            let (store, class) = (self.store, self.class);
            self.each(|links, tier, size| links.release(store, tier, class, size));
        }
    }
}

impl Booked {
    fn each(&self, mut act: impl FnMut(&mut LinkTable, Tier, Bytes)) {
        let mut cells = self.cells.lock();
        let Some(cell) = cells.get_mut(&self.pool) else { return };
        if usize::from(self.store.0) >= cell.views.links.store_count() {
            return;
        }
        for (tier, size) in TIERS.into_iter().zip(self.sizes).filter(|(_, size)| size.get() > 0) {
            act(&mut cell.views.links, tier, size);
        }
    }

    /// Ends the booking and learns the links' rates from what came.
    pub(crate) fn end(mut self, report: &ImportReport, moved_ms: f64, now: TimeMs) {
        self.is_ended = true;
        let (store, class) = (self.store, self.class);
        let came = [report.memory, report.disk];
        let all = (came[0].get() + came[1].get()).max(1) as f64;
        self.each(|links, tier, size| {
            let seen = came[tier as usize];
            if seen == size {
                let share = seen.get() as f64 / all;
                links.complete((store, tier), class, size, moved_ms * share, now.get() as f64);
            } else {
                links.record_delay((store, tier), size, moved_ms);
                links.release(store, tier, class, size);
            }
        });
    }
}
