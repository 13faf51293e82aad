//! Placement state of each pool of engines: cached blocks, engine loads and links to stores.
//!
//! State covers at most [`MAX_ENGINES`] engines; prompts for a larger pool are placed by load alone. The state is
//! advisory: an engine that no longer holds a block recomputes it. See `docs/design/placement.md`.

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

/// Maximum number of blocks in the index of one pool.
const MAX_INDEXED_BLOCKS: usize = 100_000;
/// Assumed prefill rate of an engine, in prompt tokens per millisecond.
pub(crate) const PREFILL_TOKENS_PER_MS: f64 = 8.0;
/// Assumed size of one piece until a store reports its manifest, in bytes.
const PIECE_BYTES: u64 = 128 << 20;

/// Placement state of one pool.
struct PoolState {
    views: PlacementView,
    names: Vec<EndpointId>,
    link_rates: Vec<[BytesPerSec; 2]>,
}

impl PoolState {
    fn new() -> Self {
        let views = PlacementView {
            engines: Vec::new(),
            index: BlockIndex::new(MAX_INDEXED_BLOCKS),
            links: LinkTable::new(&[]),
            cost_weights: CostWeights { recompute_ms_per_token: 0.0, link_ms_per_mib: 0.0 },
            piece_size: Bytes(PIECE_BYTES),
        };
        Self { views, names: Vec::new(), link_rates: Vec::new() }
    }

    fn position_of(&self, id: &EndpointId) -> Option<usize> {
        self.names.iter().position(|name| name == id)
    }

    /// Returns the position of an engine. A new engine replaces one that is no longer listed, or else is appended;
    /// `None` if there is no room.
    fn position_or_insert(&mut self, id: &EndpointId, listed: &[Arc<Endpoint>]) -> Option<usize> {
        if let Some(position) = self.position_of(id) {
            return Some(position);
        }
        let is_unlisted = |name: &EndpointId| listed.iter().all(|endpoint| endpoint.id != *name);
        let unlisted = self.names.iter().position(is_unlisted);
        let position = unlisted.unwrap_or(self.names.len());
        if position == MAX_ENGINES {
            return None;
        }
        let slot = EngineSlot(u8::try_from(position).ok()?);
        let load = LoadView::new(PREFILL_TOKENS_PER_MS);
        let view = EngineView { slot, is_usable: false, load };
        self.views.index.clear_engine(slot);
        if position == self.names.len() {
            self.names.push(id.clone());
            self.views.engines.push(view);
        } else {
            self.names[position] = id.clone();
            self.views.engines[position] = view;
        }
        Some(position)
    }
}

/// Placement state of all pools.
#[derive(Default)]
pub(crate) struct Placement {
    pools: Arc<Mutex<HashMap<PoolName, PoolState>>>,
}

impl Placement {
    /// Returns the incarnation and sequence number of the last applied cache event of an engine, and registers an
    /// engine that is new. Returns `None` if its pool has no room for it.
    pub(crate) fn cursor(
        &self,
        endpoint: &Endpoint,
        listed: &[Arc<Endpoint>],
    ) -> Option<(Incarnation, u64)> {
        let mut pools = self.pools.lock();
        let state = pools.entry(endpoint.pool.clone()).or_insert_with(PoolState::new);
        let position = state.position_or_insert(&endpoint.id, listed)?;
        Some(state.views.index.cursor(state.views.engines[position].slot))
    }

    fn with_engine<T>(
        &self,
        endpoint: &Endpoint,
        apply: impl FnOnce(&mut PlacementView, usize) -> T,
    ) -> Option<T> {
        let mut pools = self.pools.lock();
        let state = pools.get_mut(&endpoint.pool)?;
        let position = state.position_of(&endpoint.id)?;
        Some(apply(&mut state.views, position))
    }

    /// Applies a load report of an engine.
    pub(crate) fn apply_load(&self, endpoint: &Endpoint, sample: LoadSample) {
        self.with_engine(endpoint, |views, position| {
            views.engines[position].load.apply_report(sample)
        });
    }

    /// Applies cache events of an engine. Returns true if events are missing, so that a snapshot is needed.
    pub(crate) fn apply_cache_events(&self, endpoint: &Endpoint, events: &[CacheEvent]) -> bool {
        let needs_snapshot = self.with_engine(endpoint, |views, position| {
            let slot = views.engines[position].slot;
            let gaps = events
                .iter()
                .filter(|event| views.index.apply_event(slot, event) == EventOutcome::Gap);
            gaps.count() > 0 || views.index.has_gap(slot)
        });
        needs_snapshot.unwrap_or_default()
    }

    /// Replaces the blocks known for an engine by a snapshot.
    pub(crate) fn apply_cache_snapshot(&self, endpoint: &Endpoint, snapshot: &CacheSnapshot) {
        self.with_engine(endpoint, |views, position| {
            views.index.apply_snapshot(views.engines[position].slot, snapshot);
        });
    }

    /// Chooses one of the `usable` engines, all of one pool, and adds the prompt to its load. Returns `None` if no
    /// engine that is known here is usable.
    pub(crate) fn decide(
        &self,
        usable: &[Arc<Endpoint>],
        request: &PlacementRequest<'_>,
        weights: PlacementSection,
        now: TimeMs,
    ) -> Option<(Arc<Endpoint>, PlacementDecision)> {
        let mut pools = self.pools.lock();
        let PoolState { views, names, .. } = pools.get_mut(&usable.first()?.pool)?;
        let find_usable = |name: &EndpointId| usable.iter().find(|endpoint| endpoint.id == *name);
        for (engine, name) in views.engines.iter_mut().zip(&*names) {
            engine.is_usable = find_usable(name).is_some();
        }
        views.cost_weights = CostWeights {
            recompute_ms_per_token: weights.recompute_weight_ms,
            link_ms_per_mib: weights.link_weight_ms,
        };
        let decision = decide(views, request, now, &mut rand::rng())?;
        let position = decision.engine.0 as usize;
        views.engines[position].load.record_dispatch(now, decision.compute_tokens);
        views.index.touch(request.chain.blocks());
        Some((find_usable(&names[position])?.clone(), decision))
    }
}
