//! The views that prompts are placed by: one cell for each pool of engines.
//!
//! A cell has at most [`MAX_ENGINES`] engines; a larger pool is placed by load alone. Everything here steers only: an
//! engine that lost its blocks computes them again. See `docs/design/placement.md`.

mod links;

use std::{collections::HashMap, sync::Arc};

use bilberryford_cache::{
    BlockIndex, CacheEvent, CacheSnapshot, CostWeights, EngineSlot, EngineView, EventOutcome,
    LinkTable, LoadSample, LoadView, MAX_ENGINES, PlacementDecision, PlacementRequest,
    PlacementView, decide,
};
use bilberryford_document::PlacementSection;
use bilberryford_types::{Bytes, BytesPerSec, EndpointId, Incarnation, PoolName, TimeMs};
use parking_lot::Mutex;

use crate::fleet::Endpoint;

/// How many blocks a cell knows of at most.
const INDEX_BLOCKS: usize = 100_000;
/// The prompt tokens that an engine is taken to compute in a millisecond.
pub(crate) const PREFILL_TOKENS_PER_MS: f64 = 8.0;
/// The size of one piece, in bytes.
const PIECE_BYTES: u64 = 128 << 20;

/// One pool's engines.
struct Cell {
    views: PlacementView,
    names: Vec<EndpointId>,
    rates: Vec<[BytesPerSec; 2]>,
}

impl Cell {
    fn new() -> Self {
        let views = PlacementView {
            engines: Vec::new(),
            index: BlockIndex::new(INDEX_BLOCKS),
            links: LinkTable::new(&[]),
            cost_weights: CostWeights { recompute_ms_per_token: 0.0, link_ms_per_mib: 0.0 },
            piece_size: Bytes(PIECE_BYTES),
        };
        Self { views, names: Vec::new(), rates: Vec::new() }
    }

    fn place_of(&self, id: &EndpointId) -> Option<usize> {
        self.names.iter().position(|name| name == id)
    }

    /// The place of an engine; a new one takes a free place or that of one that is no longer listed.
    fn take_place(&mut self, id: &EndpointId, listed: &[Arc<Endpoint>]) -> Option<usize> {
        if let Some(place) = self.place_of(id) {
            return Some(place);
        }
        let is_gone = |name: &EndpointId| listed.iter().all(|endpoint| endpoint.id != *name);
        let gone = self.names.iter().position(is_gone);
        let place = gone.unwrap_or(self.names.len());
        if place == MAX_ENGINES {
            return None;
        }
        let slot = EngineSlot(u8::try_from(place).ok()?);
        let load = LoadView::new(PREFILL_TOKENS_PER_MS);
        let view = EngineView { slot, is_usable: false, load };
        self.views.index.clear_engine(slot);
        if place == self.names.len() {
            self.names.push(id.clone());
            self.views.engines.push(view);
        } else {
            self.names[place] = id.clone();
            self.views.engines[place] = view;
        }
        Some(place)
    }
}

/// All cells.
#[derive(Default)]
pub(crate) struct Placement {
    cells: Arc<Mutex<HashMap<PoolName, Cell>>>,
}

impl Placement {
    /// The last cache event of an engine that is known here; none when the cell has no place for it.
    pub(crate) fn known(
        &self,
        endpoint: &Endpoint,
        listed: &[Arc<Endpoint>],
    ) -> Option<(Incarnation, u64)> {
        let mut cells = self.cells.lock();
        let cell = cells.entry(endpoint.pool.clone()).or_insert_with(Cell::new);
        let place = cell.take_place(&endpoint.id, listed)?;
        Some(cell.views.index.cursor(cell.views.engines[place].slot))
    }

    fn with<T>(
        &self,
        endpoint: &Endpoint,
        act: impl FnOnce(&mut PlacementView, usize) -> T,
    ) -> Option<T> {
        let mut cells = self.cells.lock();
        let cell = cells.get_mut(&endpoint.pool)?;
        let place = cell.place_of(&endpoint.id)?;
        Some(act(&mut cell.views, place))
    }

    /// Takes a load report in.
    pub(crate) fn report(&self, endpoint: &Endpoint, sample: LoadSample) {
        self.with(endpoint, |views, place| views.engines[place].load.apply_report(sample));
    }

    /// Takes cache events in; answers whether a snapshot is wanted.
    pub(crate) fn feed(&self, endpoint: &Endpoint, events: &[CacheEvent]) -> bool {
        let fed = self.with(endpoint, |views, place| {
            let slot = views.engines[place].slot;
            let gaps = events
                .iter()
                .filter(|event| views.index.apply_event(slot, event) == EventOutcome::Gap);
            gaps.count() > 0 || views.index.has_gap(slot)
        });
        fed.unwrap_or_default()
    }

    /// Takes a snapshot in.
    pub(crate) fn snapshot(&self, endpoint: &Endpoint, snapshot: &CacheSnapshot) {
        self.with(endpoint, |views, place| {
            views.index.apply_snapshot(views.engines[place].slot, snapshot);
        });
    }

    /// Decides among `usable` and counts the dispatch; none when no engine of the cell is usable.
    pub(crate) fn decide(
        &self,
        usable: &[Arc<Endpoint>],
        request: &PlacementRequest<'_>,
        weights: PlacementSection,
        now: TimeMs,
    ) -> Option<(Arc<Endpoint>, PlacementDecision)> {
        let mut cells = self.cells.lock();
        let Cell { views, names, .. } = cells.get_mut(&usable.first()?.pool)?;
        let of_name = |name: &EndpointId| usable.iter().find(|endpoint| endpoint.id == *name);
        for (engine, name) in views.engines.iter_mut().zip(&*names) {
            engine.is_usable = of_name(name).is_some();
        }
        views.cost_weights = CostWeights {
            recompute_ms_per_token: weights.recompute_weight_ms,
            link_ms_per_mib: weights.link_weight_ms,
        };
        let decision = decide(views, request, now, &mut rand::rng())?;
        let place = decision.engine.0 as usize;
        views.engines[place].load.record_dispatch(now, decision.compute_tokens);
        views.index.touch(request.chain.blocks());
        Some((of_name(&names[place])?.clone(), decision))
    }
}
