//! Plans which holders a prompt's parts are fetched from and which stores they are saved to.
//!
//! Requests that share parts arrive at engines that don't have them. A part is fetched from the holder with the
//! shortest transfer, including the queue and the slowness of its link, and is saved once if no store has it. While all
//! parts are new, as after a start or under new weights, the links of the stores are the bottleneck, so parts are saved
//! to a store near their engine.

use std::net::SocketAddr;

use bilberryford_types::{Bytes, DataCentreId, TimeMs, Tokens};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    cache_index::{HolderKind, HolderView, Holding, PartReport, PartTag, PartUpdate},
    part_values::{PartAccount, PartOutcome, SaveOutcome},
    regions::RegionLimit,
    translation::{PartKey, PartSource, PromptPart},
};

/// The shortest part that is saved, in tokens: shorter ones are prefilled faster than fetched.
const MIN_SAVED_TOKENS: u32 = 64;
/// The longest part of which several copies are kept: such parts begin many prompts, whose longer parts are of no use without
/// them, and take little room.
const MAX_SHORT_TOKENS: u32 = 1_024;
/// The stores that keep a short part, so that the loss or the backlog of one does not cost whole prompts.
const SHORT_PART_COPIES: usize = 3;
/// The cost of a millisecond of transfer, in tokens that an engine could prefill meanwhile.
pub(crate) const TOKENS_PER_FETCH_MS: f64 = 40.0;
/// The highest cost of the fetches of a prefix, as a multiple of the prefill that it saves: a fetch leaves the engine free
/// for others.
const MAX_FETCH_COST: f64 = 8.0;
/// The relative weight of a store in the engine's data centre: a save there occupies the link half as long.
const NEAR_WEIGHT: f64 = 4.0;
/// How often an engine has evicted a part by the time of the fetch, in percent: its memory turns over in seconds.
const EVICTED_PERCENT: f64 = 30.0;

/// The share of saves that are made to a store that evicts, in percent. Each one evicts another part, which can't be
/// fetched for seconds before that.
const CONTENDED_SAVES_PERCENT: u64 = 25;

/// The sources and targets of a prompt's parts; `fetch` and `save` have one entry for each part, or are empty.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PartPlan {
    /// The sources of parts that are fetched.
    pub fetch: Vec<Option<PartSource>>,
    /// The stores for parts that no store has.
    pub save: Vec<Option<SocketAddr>>,
    /// The transfers of the fetched parts that the engine lacks.
    pub transfers: Vec<Transfer>,
    /// The parts that the engine lacks and will have in memory after the prefill.
    pub expected: Vec<PartReport>,
    /// The saved parts with their stores.
    pub pending_saves: Vec<(SocketAddr, PartKey)>,
    /// Where the engine gets each shared part from.
    pub account: Vec<PartAccount>,
    /// The shared parts with the stores that hold them or are to hold them, for the values of the parts there.
    pub uses: Vec<(SocketAddr, PartTag)>,
}

/// A transfer of a cached part that a request causes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Transfer {
    /// The address of the source.
    pub address: SocketAddr,
    /// Its size, in tokens.
    pub tokens: u64,
    /// Its duration at nominal speed, in milliseconds.
    pub nominal_ms: f64,
}

/// The availability of a prompt's shared parts for one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PrefixFacts {
    /// The tokens that the engine has in memory.
    pub cached_tokens: u64,
    /// The tokens that it can fetch.
    pub fetchable_tokens: u64,
    /// The duration of these fetches, in milliseconds.
    pub fetch_ms: f64,
}

/// The score of a store for a part in weighted rendezvous hashing; the highest score wins.
///
/// A store's weight is its capacity, multiplied by [`NEAR_WEIGHT`] in the data centre of the engine that saves.
fn score(store: &HolderView, part: &str, engine: &TargetEngine<'_>) -> f64 {
    let seed = xxh3_64_with_seed(part.as_bytes(), 1);
    let hash = xxh3_64_with_seed(store.address().to_string().as_bytes(), seed);
    // A uniform number in (0, 1]; dividing by its logarithm makes the chance to win proportional to the weight.
    let uniform = ((hash >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
    let is_near = store.traits().data_centre.as_ref() == engine.data_centre;
    let weight = if is_near { NEAR_WEIGHT } else { 1.0 };
    -(store.traits().capacity_tokens as f64 * weight) / uniform.ln().min(-f64::MIN_POSITIVE)
}

/// True if the parts of a request may be at a holder.
fn may_hold(holder: &HolderView, limit: RegionLimit<'_>) -> bool {
    limit.allows(holder.traits().data_centre.as_ref())
}

/// The parts of a prompt that other prompts may share: all but the last one.
pub(crate) fn shared_parts(parts: &[PromptPart]) -> &[PromptPart] {
    &parts[..parts.len().saturating_sub(1)]
}

/// An engine that a prompt may be placed on.
#[derive(Debug, Clone, Copy)]
pub struct TargetEngine<'a> {
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Option<&'a DataCentreId>,
    /// The size of one cached token, in bytes.
    pub token_bytes: Bytes,
    /// Where the parts of the request may be.
    pub region_limit: RegionLimit<'a>,
}

/// A shared part with its holders.
#[derive(Debug)]
struct LocatedPart<'a> {
    part: &'a PromptPart,
    key: PartKey,
    holders: Vec<(&'a HolderView, Holding)>,
}

impl LocatedPart<'_> {
    /// Returns true if `engine` has all of it in memory, or will have it when a queued request is prefilled.
    fn is_at(&self, engine: &TargetEngine<'_>) -> bool {
        let local = self.holders.iter().find(|(holder, _)| holder.address() == engine.address);
        local.is_some_and(|(_, holding)| match holding {
            Holding::Complete(tokens) | Holding::Expected(tokens) => *tokens >= self.part.tokens,
        })
    }

    /// The holders that it can be fetched from.
    ///
    /// Engines that are known only by peer reports are left out: they often evict the part before the report arrives.
    fn sources(&self, limit: RegionLimit<'_>) -> impl Iterator<Item = (&HolderView, Tokens)> {
        let is_allowed = move |holder: &HolderView| may_hold(holder, limit);
        let allowed = self.holders.iter().filter(move |(holder, _)| is_allowed(holder));
        allowed.filter_map(|(holder, holding)| match holding {
            Holding::Complete(tokens)
                if holder.is_subscribed() || holder.traits().kind == HolderKind::Store =>
            {
                Some((*holder, *tokens))
            }
            Holding::Complete(_) | Holding::Expected(_) => None,
        })
    }

    /// The holder with the shortest expected fetch for `engine`, the tokens to fetch and the transfer time in milliseconds.
    fn best_source(&self, engine: &TargetEngine<'_>) -> Option<Source<'_>> {
        self.sources(engine.region_limit)
            .filter(|(holder, _)| holder.address() != engine.address)
            .map(|(holder, tokens)| {
                let tokens = tokens.min(self.part.tokens);
                Source { holder, tokens, fetch_ms: holder.transfer_ms(tokens, engine) }
            })
            .min_by(|a, b| self.expected_ms(a).total_cmp(&self.expected_ms(b)))
    }

    /// The reason why the part is prefilled although no earlier part is.
    fn prefill_reason(&self, limit: RegionLimit<'_>, are_stores_known: bool) -> PartOutcome {
        if self.sources(limit).next().is_some() {
            PartOutcome::FetchTooSlow
        } else if !self.holders.is_empty() {
            PartOutcome::EngineOnly
        } else if are_stores_known {
            PartOutcome::NotHeld
        } else {
            PartOutcome::StoreUnknown
        }
    }

    /// The expected time to get the part from a source, including the prefill in case the holder has evicted it.
    fn expected_ms(&self, source: &Source<'_>) -> f64 {
        match source.holder.traits().kind {
            HolderKind::Store => source.fetch_ms,
            HolderKind::Engine => {
                let prefill_ms = f64::from(self.part.tokens.get()) / TOKENS_PER_FETCH_MS;
                source.fetch_ms + prefill_ms * EVICTED_PERCENT / 100.0
            }
        }
    }
}

/// Returns true if several stores keep a part of this length.
pub(crate) fn is_short(tokens: Tokens) -> bool {
    tokens.get() <= MAX_SHORT_TOKENS
}

/// A holder that a part can be fetched from.
#[derive(Debug, Clone, Copy)]
struct Source<'a> {
    holder: &'a HolderView,
    tokens: Tokens,
    fetch_ms: f64,
}

/// Returns true if fetches that take `fetch_ms` are worth the `tokens` that they save an engine to prefill.
fn is_worthwhile(fetch_ms: f64, tokens: u64) -> bool {
    fetch_ms * TOKENS_PER_FETCH_MS <= tokens as f64 * MAX_FETCH_COST
}

impl Source<'_> {
    fn is_worthwhile(&self) -> bool {
        is_worthwhile(self.fetch_ms, u64::from(self.tokens.get()))
    }
}

/// The leading parts of a prompt that an engine does not prefill.
#[derive(Debug, Clone, Copy, Default)]
struct Prefix {
    /// The number of parts.
    parts: usize,
    facts: PrefixFacts,
}

/// The holders of a prompt's shared parts, looked up once for all engines that the prompt may be placed on.
#[derive(Debug)]
pub struct LocatedParts<'a>(Vec<LocatedPart<'a>>);

impl<'a> LocatedParts<'a> {
    /// Looks up the shared parts of a prompt at all holders.
    pub fn new(
        holders: &'a [HolderView],
        scope: &str,
        parts: &'a [PromptPart],
        now_ms: TimeMs,
    ) -> Self {
        let located = shared_parts(parts).iter().map(|part| {
            let key = PartKey { scope: scope.to_owned(), id: part.id.clone() };
            let held = holders.iter().filter_map(|view| Some((view, view.holding(&key, now_ms)?)));
            LocatedPart { part, holders: held.collect(), key }
        });
        Self(located.collect())
    }

    /// The parts that `engine` has or can fetch, up to the first part that it has to prefill.
    pub fn prefix_facts(&self, engine: &TargetEngine<'_>) -> PrefixFacts {
        self.prefix(engine).facts
    }

    /// The longest prefix of which the fetches together are worth their cost.
    ///
    /// Engines match whole prefixes only: a short part whose own fetch is slow is fetched nevertheless if a long one follows.
    fn prefix(&self, engine: &TargetEngine<'_>) -> Prefix {
        let mut best = Prefix::default();
        let mut facts = PrefixFacts::default();
        // What the engine has before the first fetch is of use without it.
        let mut saved_tokens = 0;
        for (index, located) in self.0.iter().enumerate() {
            if located.is_at(engine) {
                let tokens = u64::from(located.part.tokens.get());
                facts.cached_tokens += tokens;
                saved_tokens += if facts.fetchable_tokens > 0 { tokens } else { 0 };
            } else {
                let Some(source) = located.best_source(engine) else { break };
                facts.fetchable_tokens += u64::from(source.tokens.get());
                facts.fetch_ms += source.fetch_ms;
                saved_tokens += u64::from(source.tokens.get());
            }
            if is_worthwhile(facts.fetch_ms, saved_tokens) {
                best = Prefix { parts: index + 1, facts };
            }
        }
        best
    }
}

/// The shared parts of a prompt with the stores that hold them.
fn held_parts(
    holders: &[HolderView],
    scope: &str,
    parts: &[PromptPart],
    now_ms: TimeMs,
) -> Vec<(SocketAddr, PartTag)> {
    let stores = || holders.iter().filter(|holder| holder.traits().kind == HolderKind::Store);
    let held = shared_parts(parts).iter().flat_map(|part| {
        let key = PartKey { scope: scope.to_owned(), id: part.id.clone() };
        let holding = stores().filter(|store| store.complete_tokens(&key, now_ms).is_some());
        holding.map(|store| (store.address(), PartTag::new(&key))).collect::<Vec<_>>()
    });
    held.collect()
}

/// Decides if a part is saved although another one has to be evicted for it. Of the parts that are used often, one of
/// the next uses is admitted; most others are never saved, and evict nothing.
fn is_admitted(key: &PartKey, now_ms: TimeMs) -> bool {
    let hash = xxh3_64_with_seed(key.id.as_bytes(), now_ms.get());
    hash % 100 < CONTENDED_SAVES_PERCENT
}

/// Plans the fetches and saves of a request for the chosen engine and records the saves at their stores.
///
/// The last part of a prompt is neither fetched nor saved.
pub fn plan_parts(
    holders: &mut [HolderView],
    scope: &str,
    parts: &[PromptPart],
    engine: &TargetEngine<'_>,
    now_ms: TimeMs,
) -> PartPlan {
    let mut plan = PartPlan::default();
    let mut unsaved = Vec::new();
    let mut stores = holders.iter().filter(|holder| holder.traits().kind == HolderKind::Store);
    let are_stores_known = stores.all(|store| store.is_known(now_ms));
    let located_parts = LocatedParts::new(holders, scope, parts, now_ms);
    let prefix_parts = located_parts.prefix(engine).parts;
    for (index, located) in located_parts.0.into_iter().enumerate() {
        let is_cached = located.is_at(engine);
        // After a part that is prefilled, a fetch is of use if the engine has that part nevertheless.
        let fetched = located
            .best_source(engine)
            .filter(|source| index < prefix_parts || source.is_worthwhile());
        let source = fetched.map(|Source { holder, tokens, fetch_ms }| {
            if !is_cached {
                plan.transfers.push(Transfer {
                    address: holder.address(),
                    tokens: u64::from(tokens.get()),
                    nominal_ms: fetch_ms / holder.slowness(),
                });
            }
            // An engine may evict blocks at any time and serves those that it has by then.
            let tokens = (holder.traits().kind == HolderKind::Store).then_some(tokens);
            PartSource { address: holder.address(), tokens }
        });
        let outcome = match index {
            _ if index < prefix_parts && is_cached => PartOutcome::Cached,
            _ if index < prefix_parts => PartOutcome::Fetched,
            _ if index > prefix_parts => PartOutcome::PrefixMissing,
            _ => located.prefill_reason(engine.region_limit, are_stores_known),
        };
        plan.account.push(PartAccount {
            part: PartTag::new(&located.key),
            tokens: located.part.tokens,
            outcome,
            save: SaveOutcome::NotNeeded,
        });
        plan.fetch.push(source);
        let sources = located.sources(engine.region_limit);
        let stores = sources.filter(|(holder, _)| holder.traits().kind == HolderKind::Store);
        let copies = stores.count();
        // Only an engine that prefills a part saves it again.
        let wanted_copies = if index >= prefix_parts && is_short(located.part.tokens) {
            SHORT_PART_COPIES
        } else {
            1
        };
        let is_saved = copies >= wanted_copies;
        if !is_cached {
            let tokens = located.part.tokens.get();
            plan.expected.push((PartTag::new(&located.key), PartUpdate::Expected(tokens)));
        }
        let needs_save = !is_saved && located.part.tokens.get() >= MIN_SAVED_TOKENS;
        unsaved.push(needs_save.then_some((located.part.tokens, located.key)));
    }
    let mut unheld = Vec::new();
    for (index, part) in unsaved.into_iter().enumerate() {
        let target = part.and_then(|(tokens, key)| {
            let save = &mut plan.account[index].save;
            *save = SaveOutcome::InProgress;
            if holders.iter().any(|holder| holder.is_saving(&key, now_ms)) {
                return None;
            }
            *save = SaveOutcome::NoRoom;
            let has_room = |store: &HolderView| {
                store.has_room(tokens, now_ms) && !store.is_leaving(&key, now_ms)
            };
            let store = holders
                .iter_mut()
                .filter(|holder| holder.traits().kind == HolderKind::Store)
                .filter(|store| may_hold(store, engine.region_limit))
                .filter(|store| store.complete_tokens(&key, now_ms).is_none())
                .map(|store| {
                    let score = score(store, &key.id, engine) * store.room_weight(tokens, now_ms);
                    (has_room(store), score, store)
                })
                .max_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
            let (has_room, _, store) = store?;
            // The owner of the store learns that the part is wanted there, also if there is no room yet.
            unheld.push((store.address(), PartTag::new(&key)));
            if !has_room {
                return None;
            }
            if store.is_contended(now_ms) && !is_admitted(&key, now_ms) {
                *save = SaveOutcome::NotAdmitted;
                return None;
            }
            *save = SaveOutcome::Requested;
            store.record_save(key.clone(), tokens, now_ms);
            plan.pending_saves.push((store.address(), key));
            Some(store.address())
        });
        plan.save.push(target);
    }
    plan.uses = held_parts(holders, scope, parts, now_ms);
    plan.uses.append(&mut unheld);
    plan.fetch.resize(parts.len(), None);
    plan.save.resize(parts.len(), None);
    if plan.fetch.iter().all(Option::is_none) {
        plan.fetch.clear();
    }
    if plan.save.iter().all(Option::is_none) {
        plan.save.clear();
    }
    plan
}
