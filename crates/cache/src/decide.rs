//! The placement decision: endpoint, source and split together.
//!
//! See `docs/design/placement.md` for the cost model and the ways that were weighed.

use std::fmt;

use bilberryford_types::{Bytes, TimeMs, Tokens};
use rand::{Rng, RngExt};

use crate::{
    BLOCK_TOKENS, BlockIndex, EngineSlot, Holders, LinkTable, LoadView, MAX_STORES, PrefixChain,
    StoreSlot, Tier, TransferClass,
};

/// How far above the best cost a choice may lie to be sampled, as a share of the best cost.
const NEAR_BEST_SHARE: f64 = 0.05;
/// How far above the best cost a choice may lie to be sampled, in milliseconds.
const NEAR_BEST_MS: f64 = 5.0;
/// What a block of an engine whose events have a gap counts for.
const DOUBTFUL_SHARE: f64 = 0.5;
const MIB: f64 = 1_048_576.0;

/// What the environment's document weighs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostWeights {
    /// The cost of one recomputed token beyond its time, in milliseconds.
    pub recompute_ms_per_token: f64,
    /// The cost of one mebibyte on a scarce link beyond its time, in milliseconds.
    pub link_ms_per_mib: f64,
}

/// An engine that may be chosen.
#[derive(Debug, Clone)]
pub struct EngineView {
    /// Its place in the cell.
    pub slot: EngineSlot,
    /// Whether it takes new work.
    pub is_usable: bool,
    /// Its load.
    pub load: LoadView,
}

/// All that the decision looks at.
#[derive(Debug)]
pub struct PlacementView {
    /// The engines of the cell.
    pub engines: Vec<EngineView>,
    /// Who holds what.
    pub index: BlockIndex,
    /// The links to the stores.
    pub links: LinkTable,
    /// What is weighed.
    pub cost_weights: CostWeights,
    /// The size of a piece.
    pub piece_size: Bytes,
}

/// What a request asks for.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// The chain of its prompt.
    pub chain: &'a PrefixChain,
    /// The length of its prompt.
    pub tokens: Tokens,
    /// Who waits for it.
    pub class: TransferClass,
}

/// What was decided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementDecision {
    /// The engine.
    pub engine: EngineSlot,
    /// How many blocks are thought to be in the engine's memory.
    pub cached_blocks: u32,
    /// How many blocks are imported.
    pub import_blocks: u32,
    /// The links that they come over.
    pub links: LinkSet,
    /// How many tokens are computed.
    pub compute_tokens: Tokens,
    /// When the first token is expected, in milliseconds from now.
    pub first_token_ms: f64,
    /// The cost that was compared.
    pub cost_ms: f64,
}

/// A set of links to tiers of stores, as bits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkSet(u16);

impl LinkSet {
    const fn bit(store: StoreSlot, tier: Tier) -> u16 {
        1 << (2 * store.0 + tier as u8)
    }

    /// Whether the link is in the set.
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

/// Where one block of a request may be.
#[derive(Debug, Clone, Copy)]
struct Place {
    holders: Holders,
    from: Option<(StoreSlot, Tier)>,
}

fn all_links() -> impl Iterator<Item = (StoreSlot, Tier)> {
    (0..MAX_STORES as u8)
        .flat_map(|store| [Tier::Memory, Tier::Disk].map(|tier| (StoreSlot(store), tier)))
}

/// Chooses endpoint, source and split; none when no engine is usable.
pub fn decide(
    views: &PlacementView,
    request: &PlacementRequest<'_>,
    now: TimeMs,
    rng: &mut impl Rng,
) -> Option<PlacementDecision> {
    let places = look_up(views, request);
    let scarcity = Scarcity::of(views, now);
    let mut best: Vec<PlacementDecision> = Vec::with_capacity(views.engines.len());
    for engine in views.engines.iter().filter(|engine| engine.is_usable) {
        let held = |number: usize| places[number].holders.has_engine(engine.slot);
        let candidate = Candidate::new(views, request, engine, &scarcity, now);
        best.push(candidate.best(&places, &held));
    }
    sample(&best, rng)
}

/// Decides source and split anew at an engine that turned out to hold other blocks than was thought.
pub fn decide_for_engine(
    views: &PlacementView,
    request: &PlacementRequest<'_>,
    engine: EngineSlot,
    held: &[bool],
    now: TimeMs,
) -> Option<PlacementDecision> {
    let engine = views.engines.iter().find(|view| view.slot == engine)?;
    let scarcity = Scarcity::of(views, now);
    let candidate = Candidate::new(views, request, engine, &scarcity, now);
    let held = |number: usize| held.get(number).copied().unwrap_or_default();
    Some(candidate.best(&look_up(views, request), &held))
}

/// The link over which each block of a decision comes; none for those that are cached or computed.
pub fn import_sources(
    views: &PlacementView,
    request: &PlacementRequest<'_>,
    decision: &PlacementDecision,
    held: &[bool],
) -> Vec<Option<(StoreSlot, Tier)>> {
    look_up(views, request)
        .iter()
        .zip(held)
        .map(|(place, is_held)| {
            place.from.filter(|(store, tier)| !is_held && decision.links.contains(*store, *tier))
        })
        .collect()
}

fn look_up(views: &PlacementView, request: &PlacementRequest<'_>) -> Vec<Place> {
    request
        .chain
        .blocks()
        .iter()
        .map(|block| {
            let holders = views.index.holders(block);
            Place { holders, from: best_store(views, request, holders) }
        })
        .collect()
}

/// The store that hands the block out soonest.
fn best_store(
    views: &PlacementView,
    request: &PlacementRequest<'_>,
    holders: Holders,
) -> Option<(StoreSlot, Tier)> {
    let piece = views.piece_size;
    let soon_ms = |(store, tier): &(StoreSlot, Tier)| {
        let link = views.links.link(*store, *tier);
        link.wait_ms(request.class, piece) + link.transfer_ms(piece)
    };
    (0..views.links.store_count())
        .filter_map(|number| {
            let store = StoreSlot(u8::try_from(number).ok()?);
            let tier = holders.store_tier(store)?;
            (!views.links.link(store, tier).is_down()).then_some((store, tier))
        })
        .min_by(|a, b| soon_ms(a).total_cmp(&soon_ms(b)))
}

/// Draws one of those that cost nearly as little as the best, so that several deciders don't follow one another.
fn sample(choices: &[PlacementDecision], rng: &mut impl Rng) -> Option<PlacementDecision> {
    let least = choices.iter().map(|choice| choice.cost_ms).min_by(f64::total_cmp)?;
    let limit = least + (least * NEAR_BEST_SHARE).max(NEAR_BEST_MS);
    let near = || choices.iter().filter(|choice| choice.cost_ms <= limit);
    near().nth(rng.random_range(0..near().count())).copied()
}

/// The scarcity of each link, computed once for a decision.
struct Scarcity([f64; 2 * MAX_STORES]);

impl Scarcity {
    fn of(views: &PlacementView, now: TimeMs) -> Self {
        let mut all = [0.0; 2 * MAX_STORES];
        for (number, scarcity) in all.iter_mut().enumerate().take(2 * views.links.store_count()) {
            let (store, tier) = link_at(number);
            *scarcity = views.links.link(store, tier).congestion(now.get() as f64);
        }
        Self(all)
    }
}

const fn link_at(number: usize) -> (StoreSlot, Tier) {
    let tier = if number.is_multiple_of(2) { Tier::Memory } else { Tier::Disk };
    (StoreSlot((number / 2) as u8), tier)
}

/// The part of an import that comes over one link.
#[derive(Debug, Clone, Copy, Default)]
struct Leg {
    blocks: u32,
    import_ms: f64,
}

struct Candidate<'a> {
    views: &'a PlacementView,
    request: &'a PlacementRequest<'a>,
    engine: &'a EngineView,
    scarcity: &'a Scarcity,
    wait_ms: f64,
    doubt_ms: f64,
}

impl<'a> Candidate<'a> {
    fn new(
        views: &'a PlacementView,
        request: &'a PlacementRequest<'a>,
        engine: &'a EngineView,
        scarcity: &'a Scarcity,
        now: TimeMs,
    ) -> Self {
        let wait_ms = engine.load.wait_ms(now);
        let is_doubtful = views.index.has_gap(engine.slot);
        let block_ms = f64::from(BLOCK_TOKENS.get()) / engine.load.tokens_per_ms();
        let doubt_ms = if is_doubtful { block_ms * (1.0 - DOUBTFUL_SHARE) } else { 0.0 };
        Self { views, request, engine, scarcity, wait_ms, doubt_ms }
    }

    fn block_ms(&self) -> f64 {
        f64::from(BLOCK_TOKENS.get()) / self.engine.load.tokens_per_ms()
    }

    /// The cheapest set of links: all that are fast enough, then fewer as long as that is cheaper.
    fn best(&self, places: &[Place], held: &dyn Fn(usize) -> bool) -> PlacementDecision {
        let mut legs = [Leg::default(); 2 * MAX_STORES];
        let mut cached = 0;
        for (number, place) in places.iter().enumerate() {
            if held(number) {
                cached += 1;
            } else if let Some((store, tier)) = place.from {
                legs[2 * store.0 as usize + tier as usize].blocks += 1;
            }
        }
        let mut links = LinkSet::default();
        for (number, leg) in legs.iter_mut().enumerate().filter(|(_, leg)| leg.blocks > 0) {
            let (store, tier) = link_at(number);
            leg.import_ms = self.leg_ms(store, tier, leg.blocks);
            if self.is_worth_starting(leg) {
                links.0 |= LinkSet::bit(store, tier);
            }
        }
        let mut best = self.cost(&legs, links, cached);
        while !links.is_empty() {
            let slowest = (0..legs.len())
                .filter(|number| links.0 & (1 << number) != 0)
                .max_by(|a, b| legs[*a].import_ms.total_cmp(&legs[*b].import_ms));
            let Some(slowest) = slowest else { break };
            links.0 &= !(1 << slowest);
            let fewer = self.cost(&legs, links, cached);
            if fewer.cost_ms < best.cost_ms {
                best = fewer;
            }
        }
        best
    }

    /// # Invariant
    ///
    /// An import that would end later than the engine needs to compute the same blocks is not started.
    fn is_worth_starting(&self, leg: &Leg) -> bool {
        leg.import_ms <= self.wait_ms + self.block_ms() * f64::from(leg.blocks)
    }

    fn leg_ms(&self, store: StoreSlot, tier: Tier, blocks: u32) -> f64 {
        let link = self.views.links.link(store, tier);
        let piece = self.views.piece_size;
        let size = Bytes(piece.get() * u64::from(blocks));
        link.wait_ms(self.request.class, piece) + link.transfer_ms(size)
    }

    fn cost(&self, legs: &[Leg], links: LinkSet, cached_blocks: u32) -> PlacementDecision {
        let chosen = || legs.iter().enumerate().filter(|(number, _)| links.0 & (1 << number) != 0);
        let import_blocks: u32 = chosen().map(|(_, leg)| leg.blocks).sum();
        let import_ms = chosen().map(|(_, leg)| leg.import_ms).fold(0.0, f64::max);
        let piece_mib = self.views.piece_size.get() as f64 / MIB;
        let link_cost_ms: f64 = chosen()
            .map(|(number, leg)| f64::from(leg.blocks) * piece_mib * self.scarcity.0[number])
            .sum::<f64>()
            * self.views.cost_weights.link_ms_per_mib;
        let tokens = self.request.tokens.get();
        let compute_tokens = tokens
            .saturating_sub((cached_blocks + import_blocks).saturating_mul(BLOCK_TOKENS.get()));
        let prefill_ms = f64::from(compute_tokens) / self.engine.load.tokens_per_ms();
        let first_token_ms =
            self.wait_ms.max(import_ms) + prefill_ms + self.doubt_ms * f64::from(cached_blocks);
        let cost_ms = first_token_ms
            + self.views.cost_weights.recompute_ms_per_token * f64::from(compute_tokens)
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
