//! The placement decision: the engine, the stores to import from, and the split between import and recomputation.
//!
//! See `docs/design/placement.md` for the cost model and the alternatives.

use std::fmt;

use bilberryford_types::{Bytes, TimeMs, Tokens};
use rand::{Rng, RngExt};

use crate::{
    BLOCK_TOKENS, BlockIndex, EngineSlot, Holders, LinkTable, LoadView, MAX_STORES, PrefixChain,
    StoreSlot, Tier, TransferClass,
};

/// Margin above the lowest cost within which a candidate may be sampled, relative to the lowest cost.
const NEAR_BEST_RATIO: f64 = 0.05;
/// Smallest margin above the lowest cost within which a candidate may be sampled, in milliseconds.
const NEAR_BEST_MS: f64 = 5.0;
/// Value of a cached block, relative to a confirmed one, if events of the engine are missing and the block may have
/// been evicted.
const UNCONFIRMED_BLOCK_RATIO: f64 = 0.5;
const BYTES_PER_MIB: f64 = 1_048_576.0;

/// Weights of the cost model, from the environment's document.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostWeights {
    /// Cost of one recomputed token in addition to its compute time, in milliseconds.
    pub recompute_ms_per_token: f64,
    /// Cost of one mebibyte on a link with a congestion of 1, in addition to its transfer time, in milliseconds.
    pub link_ms_per_mib: f64,
}

/// Candidate engine of a decision.
#[derive(Debug, Clone)]
pub struct EngineView {
    /// Index of the engine in its pool.
    pub slot: EngineSlot,
    /// True if the engine accepts new requests.
    pub is_usable: bool,
    /// Estimated load of the engine.
    pub load: LoadView,
}

/// Cached state of a pool that a decision reads.
#[derive(Debug)]
pub struct PlacementView {
    /// Engines of the pool.
    pub engines: Vec<EngineView>,
    /// Engines and stores that are assumed to hold each block.
    pub index: BlockIndex,
    /// Links to the stores.
    pub links: LinkTable,
    /// Weights of the cost model.
    pub cost_weights: CostWeights,
    /// Size of a piece, the stored form of one block.
    pub piece_size: Bytes,
}

/// Properties of a request that its placement depends on.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Chain of the prompt.
    pub chain: &'a PrefixChain,
    /// Length of the prompt.
    pub tokens: Tokens,
    /// Class of the request's transfers.
    pub class: TransferClass,
}

/// Engine for a request, with what it imports and computes there.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementDecision {
    /// Engine that serves the request.
    pub engine: EngineSlot,
    /// Number of blocks that are assumed to be in the engine's cache.
    pub cached_blocks: u32,
    /// Number of blocks to import.
    pub import_blocks: u32,
    /// Links to import over.
    pub links: LinkSet,
    /// Number of tokens to compute.
    pub compute_tokens: Tokens,
    /// Expected time to first token, in milliseconds.
    pub first_token_ms: f64,
    /// Cost by which candidates were compared, in milliseconds.
    pub cost_ms: f64,
}

/// Set of links, with one bit for each tier of each store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkSet(u16);

impl LinkSet {
    const fn bit(store: StoreSlot, tier: Tier) -> u16 {
        1 << (2 * store.0 + tier as u8)
    }

    /// Returns true if the link is in the set.
    pub const fn contains(self, store: StoreSlot, tier: Tier) -> bool {
        self.0 & Self::bit(store, tier) != 0
    }

    const fn is_empty(self) -> bool {
        self.0 == 0
    }
}

impl fmt::Display for PlacementDecision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cached {} import {}", self.cached_blocks, self.import_blocks)?;
        for (store, tier) in all_links().filter(|(store, tier)| self.links.contains(*store, *tier))
        {
            write!(f, " from store {} {tier}", store.0)?;
        }
        let Self { compute_tokens, first_token_ms, cost_ms, .. } = self;
        write!(
            f,
            " compute {compute_tokens}, first token in {first_token_ms:.0} ms, cost {cost_ms:.0}"
        )
    }
}

/// Assumed holders of one block of a request, and the link to import it over.
#[derive(Debug, Clone, Copy)]
struct BlockLocation {
    holders: Holders,
    source: Option<(StoreSlot, Tier)>,
}

fn all_links() -> impl Iterator<Item = (StoreSlot, Tier)> {
    (0..MAX_STORES as u8)
        .flat_map(|store| [Tier::Memory, Tier::Disk].map(|tier| (StoreSlot(store), tier)))
}

/// Chooses the engine, the links to import over and how much to recompute. Returns none if no engine is usable.
pub fn decide(
    view: &PlacementView,
    request: &PlacementRequest<'_>,
    now: TimeMs,
    rng: &mut impl Rng,
) -> Option<PlacementDecision> {
    let locations = locate_blocks(view, request);
    let congestion = LinkCongestion::new(view, now);
    let mut decisions: Vec<PlacementDecision> = Vec::with_capacity(view.engines.len());
    for engine in view.engines.iter().filter(|engine| engine.is_usable) {
        let is_held = |index: usize| locations[index].holders.has_engine(engine.slot);
        let candidate = Candidate::new(view, request, engine, &congestion, now);
        decisions.push(candidate.cheapest_plan(&locations, &is_held));
    }
    sample_near_best(&decisions, rng)
}

/// Decides again what to import and recompute at a given engine, once it is known which blocks it holds (`held`, in
/// the order of the chain). Returns none if the engine is unknown.
pub fn decide_for_engine(
    view: &PlacementView,
    request: &PlacementRequest<'_>,
    engine: EngineSlot,
    held: &[bool],
    now: TimeMs,
) -> Option<PlacementDecision> {
    let engine = view.engines.iter().find(|known| known.slot == engine)?;
    let congestion = LinkCongestion::new(view, now);
    let candidate = Candidate::new(view, request, engine, &congestion, now);
    let is_held = |index: usize| held.get(index).copied().unwrap_or_default();
    Some(candidate.cheapest_plan(&locate_blocks(view, request), &is_held))
}

/// Returns the link to import each block over, in the order of the chain; none for blocks that are cached or computed.
pub fn import_sources(
    view: &PlacementView,
    request: &PlacementRequest<'_>,
    decision: &PlacementDecision,
    held: &[bool],
) -> Vec<Option<(StoreSlot, Tier)>> {
    locate_blocks(view, request)
        .iter()
        .zip(held)
        .map(|(location, is_held)| {
            location
                .source
                .filter(|(store, tier)| !is_held && decision.links.contains(*store, *tier))
        })
        .collect()
}

fn locate_blocks(view: &PlacementView, request: &PlacementRequest<'_>) -> Vec<BlockLocation> {
    request
        .chain
        .blocks()
        .iter()
        .map(|block| {
            let holders = view.index.holders(block);
            BlockLocation { holders, source: fastest_source(view, request, holders) }
        })
        .collect()
}

/// Returns the link over which a block would arrive first, among the stores that hold it and are not down.
fn fastest_source(
    view: &PlacementView,
    request: &PlacementRequest<'_>,
    holders: Holders,
) -> Option<(StoreSlot, Tier)> {
    let piece = view.piece_size;
    let arrival_ms = |(store, tier): &(StoreSlot, Tier)| {
        let link = view.links.link(*store, *tier);
        link.wait_ms(request.class, piece) + link.transfer_ms(piece)
    };
    (0..view.links.store_count())
        .filter_map(|index| {
            let store = StoreSlot(u8::try_from(index).ok()?);
            let tier = holders.store_tier(store)?;
            (!view.links.link(store, tier).is_down()).then_some((store, tier))
        })
        .min_by(|a, b| arrival_ms(a).total_cmp(&arrival_ms(b)))
}

/// Chooses at random among the candidates whose cost is near the lowest, so that instances with the same view don't all
/// choose the same engine.
fn sample_near_best(
    candidates: &[PlacementDecision],
    rng: &mut impl Rng,
) -> Option<PlacementDecision> {
    let lowest = candidates.iter().map(|candidate| candidate.cost_ms).min_by(f64::total_cmp)?;
    let limit = lowest + (lowest * NEAR_BEST_RATIO).max(NEAR_BEST_MS);
    let near_best = || candidates.iter().filter(|candidate| candidate.cost_ms <= limit);
    near_best().nth(rng.random_range(0..near_best().count())).copied()
}

/// Congestion of each link, computed once per decision.
struct LinkCongestion([f64; 2 * MAX_STORES]);

impl LinkCongestion {
    fn new(view: &PlacementView, now: TimeMs) -> Self {
        let mut values = [0.0; 2 * MAX_STORES];
        for (index, congestion) in values.iter_mut().enumerate().take(2 * view.links.store_count())
        {
            let (store, tier) = link_of_index(index);
            *congestion = view.links.link(store, tier).congestion(now.get() as f64);
        }
        Self(values)
    }
}

/// Returns the link whose bit in a [`LinkSet`] is `index`.
const fn link_of_index(index: usize) -> (StoreSlot, Tier) {
    let tier = if index.is_multiple_of(2) { Tier::Memory } else { Tier::Disk };
    (StoreSlot((index / 2) as u8), tier)
}

/// Part of an import that uses one link.
#[derive(Debug, Clone, Copy, Default)]
struct LinkImport {
    blocks: u32,
    import_ms: f64,
}

/// Engine whose cost is computed, with the values that all of its plans share.
struct Candidate<'a> {
    view: &'a PlacementView,
    request: &'a PlacementRequest<'a>,
    engine: &'a EngineView,
    congestion: &'a LinkCongestion,
    wait_ms: f64,
    gap_penalty_ms: f64,
}

impl<'a> Candidate<'a> {
    fn new(
        view: &'a PlacementView,
        request: &'a PlacementRequest<'a>,
        engine: &'a EngineView,
        congestion: &'a LinkCongestion,
        now: TimeMs,
    ) -> Self {
        let wait_ms = engine.load.wait_ms(now);
        let has_gap = view.index.has_gap(engine.slot);
        let block_ms = f64::from(BLOCK_TOKENS.get()) / engine.load.tokens_per_ms();
        let gap_penalty_ms = if has_gap { block_ms * (1.0 - UNCONFIRMED_BLOCK_RATIO) } else { 0.0 };
        Self { view, request, engine, congestion, wait_ms, gap_penalty_ms }
    }

    fn block_ms(&self) -> f64 {
        f64::from(BLOCK_TOKENS.get()) / self.engine.load.tokens_per_ms()
    }

    /// Returns the plan with the lowest cost. The search starts with all links that are fast enough and removes the
    /// slowest one by one, down to none.
    fn cheapest_plan(
        &self,
        locations: &[BlockLocation],
        is_held: &dyn Fn(usize) -> bool,
    ) -> PlacementDecision {
        let mut imports = [LinkImport::default(); 2 * MAX_STORES];
        let mut cached = 0;
        for (index, location) in locations.iter().enumerate() {
            if is_held(index) {
                cached += 1;
            } else if let Some((store, tier)) = location.source {
                imports[2 * store.0 as usize + tier as usize].blocks += 1;
            }
        }
        let mut links = LinkSet::default();
        for (index, import) in
            imports.iter_mut().enumerate().filter(|(_, import)| import.blocks > 0)
        {
            let (store, tier) = link_of_index(index);
            import.import_ms = self.link_import_ms(store, tier, import.blocks);
            if self.is_worth_starting(import) {
                links.0 |= LinkSet::bit(store, tier);
            }
        }
        let mut best = self.plan(&imports, links, cached);
        while !links.is_empty() {
            let slowest = (0..imports.len())
                .filter(|index| links.0 & (1 << index) != 0)
                .max_by(|a, b| imports[*a].import_ms.total_cmp(&imports[*b].import_ms));
            let Some(slowest) = slowest else { break };
            links.0 &= !(1 << slowest);
            let reduced = self.plan(&imports, links, cached);
            if reduced.cost_ms < best.cost_ms {
                best = reduced;
            }
        }
        best
    }

    /// # Invariant
    ///
    /// An import is not started if it would end later than the engine could have computed the same blocks.
    fn is_worth_starting(&self, import: &LinkImport) -> bool {
        import.import_ms <= self.wait_ms + self.block_ms() * f64::from(import.blocks)
    }

    fn link_import_ms(&self, store: StoreSlot, tier: Tier, blocks: u32) -> f64 {
        let link = self.view.links.link(store, tier);
        let piece = self.view.piece_size;
        let size = Bytes(piece.get() * u64::from(blocks));
        link.wait_ms(self.request.class, piece) + link.transfer_ms(size)
    }

    /// Returns the decision that imports over `links`, with its cost.
    fn plan(
        &self,
        imports: &[LinkImport],
        links: LinkSet,
        cached_blocks: u32,
    ) -> PlacementDecision {
        let chosen = || imports.iter().enumerate().filter(|(index, _)| links.0 & (1 << index) != 0);
        let import_blocks: u32 = chosen().map(|(_, import)| import.blocks).sum();
        let import_ms = chosen().map(|(_, import)| import.import_ms).fold(0.0, f64::max);
        let piece_mib = self.view.piece_size.get() as f64 / BYTES_PER_MIB;
        let link_cost_ms: f64 = chosen()
            .map(|(index, import)| f64::from(import.blocks) * piece_mib * self.congestion.0[index])
            .sum::<f64>()
            * self.view.cost_weights.link_ms_per_mib;
        let tokens = self.request.tokens.get();
        let compute_tokens = tokens
            .saturating_sub((cached_blocks + import_blocks).saturating_mul(BLOCK_TOKENS.get()));
        let prefill_ms = f64::from(compute_tokens) / self.engine.load.tokens_per_ms();
        let first_token_ms = self.wait_ms.max(import_ms)
            + prefill_ms
            + self.gap_penalty_ms * f64::from(cached_blocks);
        let cost_ms = first_token_ms
            + self.view.cost_weights.recompute_ms_per_token * f64::from(compute_tokens)
            + link_cost_ms;
        let engine = self.engine.slot;
        let compute_tokens = Tokens(compute_tokens);
        PlacementDecision {
            engine,
            cached_blocks,
            import_blocks,
            links,
            compute_tokens,
            first_token_ms,
            cost_ms,
        }
    }
}
