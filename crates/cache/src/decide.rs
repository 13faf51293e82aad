//! The placement decision: endpoint, source and split together.
//!
//! See `docs/design/placement.md` for the cost model and the ways that were weighed.

use std::fmt;

use bilberryford_types::{Bytes, TimeMs, Tokens};
use rand::{Rng, RngExt};

use crate::{
    BLOCK_TOKENS, BlockIndex, EngineSlot, Holders, LinkClass, LinkLedger, LoadView, MAX_STORES,
    PrefixChain, StoreSlot, Tier,
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
pub struct Weights {
    /// The cost of one recomputed token beyond its time, in milliseconds.
    pub recompute_ms: f64,
    /// The cost of one mebibyte on a scarce link beyond its time, in milliseconds.
    pub link_ms: f64,
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
pub struct Views {
    /// The engines of the cell.
    pub engines: Vec<EngineView>,
    /// Who holds what.
    pub index: BlockIndex,
    /// The links to the stores.
    pub links: LinkLedger,
    /// What is weighed.
    pub weights: Weights,
    /// The size of a piece.
    pub piece: Bytes,
}

/// What a request asks for.
#[derive(Debug, Clone, Copy)]
pub struct PlaceRequest<'a> {
    /// The chain of its prompt.
    pub chain: &'a PrefixChain,
    /// The length of its prompt.
    pub tokens: Tokens,
    /// Who waits for it.
    pub class: LinkClass,
}

/// Where returning context is brought from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The engine's own memory or nothing.
    Engine,
    /// A store.
    Store {
        /// The store.
        store: StoreSlot,
        /// The slowest tier that the import reads.
        tier: Tier,
    },
}

/// What was decided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Decision {
    /// The engine.
    pub engine: EngineSlot,
    /// Where the part that is not in its memory comes from.
    pub source: Source,
    /// How many blocks are thought to be in the engine's memory.
    pub cached: u32,
    /// How many blocks after these are imported.
    pub import: u32,
    /// How many tokens are computed.
    pub compute: Tokens,
    /// When the first token is expected, in milliseconds from now.
    pub first_token_ms: f64,
    /// The cost that was compared.
    pub cost_ms: f64,
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cached {} import {}", self.cached, self.import)?;
        if let Source::Store { store, tier } = self.source {
            write!(f, " from store {} {tier}", store.0)?;
        }
        let Self { compute, first_token_ms, cost_ms, .. } = self;
        write!(f, " compute {compute}, first token in {first_token_ms:.0} ms, cost {cost_ms:.0}")
    }
}

/// The prefix that a store holds, and the blocks of it that are on disk.
#[derive(Debug, Clone, Copy, Default)]
struct Held {
    blocks: u32,
    first_on_disk: u32,
}

/// Chooses endpoint, source and split; none when no engine is usable.
pub fn decide(
    views: &Views,
    request: &PlaceRequest<'_>,
    now: TimeMs,
    rng: &mut impl Rng,
) -> Option<Decision> {
    let (holders, held) = look_up(views, request);
    let mut best: Vec<Decision> = Vec::with_capacity(views.engines.len());
    for engine in views.engines.iter().filter(|engine| engine.is_usable) {
        let cached = holders.iter().take_while(|holders| holders.engine(engine.slot)).count();
        let cached = u32::try_from(cached).unwrap_or(u32::MAX);
        best.extend(best_at(views, request, engine, cached, &held, now));
    }
    sample(&best, rng)
}

/// Decides source and split anew at an engine that turned out to hold `cached` blocks.
pub fn split_at(
    views: &Views,
    request: &PlaceRequest<'_>,
    engine: EngineSlot,
    cached: u32,
    now: TimeMs,
) -> Option<Decision> {
    let (_, held) = look_up(views, request);
    let engine = views.engines.iter().find(|view| view.slot == engine)?;
    best_at(views, request, engine, cached, &held, now)
}

fn look_up(views: &Views, request: &PlaceRequest<'_>) -> (Vec<Holders>, [Held; MAX_STORES]) {
    let holders: Vec<_> =
        request.chain.blocks().iter().map(|block| views.index.holders(block)).collect();
    let mut held = [Held::default(); MAX_STORES];
    for (number, held) in held.iter_mut().enumerate().take(views.links.stores()) {
        let store = StoreSlot(u8::try_from(number).unwrap_or(u8::MAX));
        let tiers = holders.iter().map_while(|holders| holders.store(store));
        *held = tiers.fold(Held::default(), |held, tier| Held {
            blocks: held.blocks + 1,
            first_on_disk: held.first_on_disk
                + u32::from(tier == Tier::Memory && held.first_on_disk == held.blocks),
        });
    }
    (holders, held)
}

/// Draws one of those that cost nearly as little as the best, so that several deciders don't follow one another.
fn sample(choices: &[Decision], rng: &mut impl Rng) -> Option<Decision> {
    let least = choices.iter().map(|choice| choice.cost_ms).min_by(f64::total_cmp)?;
    let limit = least + (least * NEAR_BEST_SHARE).max(NEAR_BEST_MS);
    let near = || choices.iter().filter(|choice| choice.cost_ms <= limit);
    near().nth(rng.random_range(0..near().count())).copied()
}

fn best_at(
    views: &Views,
    request: &PlaceRequest<'_>,
    engine: &EngineView,
    cached: u32,
    held: &[Held; MAX_STORES],
    now: TimeMs,
) -> Option<Decision> {
    let wait_ms = engine.load.wait_ms(now);
    let local = Candidate { views, request, engine, cached, wait_ms, now };
    let stores = held.iter().enumerate().filter(|(_, held)| held.blocks > cached);
    stores
        .flat_map(|(number, held)| {
            let store = StoreSlot(u8::try_from(number).unwrap_or(u8::MAX));
            let in_memory = held.first_on_disk.max(cached);
            [in_memory, held.blocks].map(|until| local.import(store, until - cached, in_memory))
        })
        .flatten()
        .chain([local.local()])
        .min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))
}

struct Candidate<'a> {
    views: &'a Views,
    request: &'a PlaceRequest<'a>,
    engine: &'a EngineView,
    cached: u32,
    wait_ms: f64,
    now: TimeMs,
}

impl Candidate<'_> {
    fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens / self.engine.load.tokens_per_ms()
    }

    fn rest(&self, blocks: u32) -> u32 {
        self.request.tokens.get().saturating_sub(blocks.saturating_mul(BLOCK_TOKENS.get()))
    }

    fn local(&self) -> Decision {
        let doubted = if self.views.index.is_doubtful(self.engine.slot) {
            f64::from(self.cached) * f64::from(BLOCK_TOKENS.get()) * (1.0 - DOUBTFUL_SHARE)
        } else {
            0.0
        };
        let compute = self.rest(self.cached);
        let first_token_ms = self.wait_ms + self.prefill_ms(f64::from(compute) + doubted);
        let returning = self.request.chain.blocks().len() as f64 - f64::from(self.cached);
        let again = returning * f64::from(BLOCK_TOKENS.get()) + doubted;
        Decision {
            engine: self.engine.slot,
            source: Source::Engine,
            cached: self.cached,
            import: 0,
            compute: Tokens(compute),
            first_token_ms,
            cost_ms: first_token_ms + self.views.weights.recompute_ms * again,
        }
    }

    /// # Invariant
    ///
    /// An import that would end later than the engine needs to compute the same blocks is not started.
    fn import(&self, store: StoreSlot, import: u32, in_memory: u32) -> Option<Decision> {
        let on_disk = (self.cached + import).saturating_sub(in_memory);
        let tier = if on_disk > 0 { Tier::Disk } else { Tier::Memory };
        let import_ms = self.leg_ms(store, Tier::Memory, import - on_disk)?
            + self.leg_ms(store, Tier::Disk, on_disk)?;
        let saved = f64::from(import) * f64::from(BLOCK_TOKENS.get());
        if import == 0 || import_ms > self.wait_ms + self.prefill_ms(saved) {
            return None;
        }
        let local = self.local();
        let compute = self.rest(self.cached + import);
        let first_token_ms = self.wait_ms.max(import_ms) + (local.first_token_ms - self.wait_ms)
            - self.prefill_ms(saved);
        let weights = self.views.weights;
        let link_ms = |tier, blocks: u32| {
            let scarcity = self.views.links.link(store, tier).scarcity(self.now.get() as f64);
            weights.link_ms * f64::from(blocks) * self.views.piece.get() as f64 / MIB * scarcity
        };
        let cost_ms = first_token_ms
            + (local.cost_ms - local.first_token_ms - weights.recompute_ms * saved).max(0.0)
            + link_ms(Tier::Memory, import - on_disk)
            + link_ms(Tier::Disk, on_disk);
        let source = Source::Store { store, tier };
        Some(Decision {
            source,
            import,
            compute: Tokens(compute),
            first_token_ms,
            cost_ms,
            ..local
        })
    }

    fn leg_ms(&self, store: StoreSlot, tier: Tier, blocks: u32) -> Option<f64> {
        if blocks == 0 {
            return Some(0.0);
        }
        let link = self.views.links.link(store, tier);
        let piece = self.views.piece;
        let size = Bytes(piece.get() * u64::from(blocks));
        (!link.is_down()).then(|| link.wait_ms(self.request.class, piece) + link.transfer_ms(size))
    }
}
