//! Plans where a prompt's parts come from and go to, over the views of all holders.
//!
//! The load pattern it answers: requests that share parts arrive at engines that don't have them. A part is fetched from
//! where it is nearest, its link's queue and slowness included, and saved once where no store has it. While all parts are
//! new, as at the start or under new weights, the links of stores are what is scarce: parts are saved near their engine.

use std::net::SocketAddr;

use bilberryford_types::{Bytes, DataCentreId, TimeMs, Tokens};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    cache_index::{HolderKind, HolderView, Holding, PartReport, PartTag, PartUpdate},
    translation::{PartKey, PartSource, PromptPart},
};

/// The least tokens of a part that is worth a save: shorter ones are read faster than fetched.
const LEAST_SAVED_TOKENS: u32 = 64;
/// What a millisecond of a transfer costs, in tokens that an engine could read meanwhile.
pub(crate) const TOKENS_PER_FETCH_MS: f64 = 40.0;
/// How many times the reading a fetch may cost: it leaves the engine free to read for others. From trials with 1.2 to 25.
const WORTH_FETCHING: f64 = 8.0;

/// How much more a store in the engine's data centre weighs: its link is taken for half as long. From trials with 1 and 4.
const NEAR_WEIGHT: f64 = 4.0;
/// How often an engine has dropped a part by the time it is asked for it, in hundredths: its memory turns over in seconds.
const DROPPED_PERCENT: f64 = 30.0;

/// Where a prompt's parts come from and go to; both have one entry for each part, or none at all.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PartPlan {
    /// Sources of complete parts.
    pub fetch: Vec<Option<PartSource>>,
    /// Stores for parts that none has.
    pub save: Vec<Option<SocketAddr>>,
    /// The tokens that are fetched, and how long that should take, by source.
    pub transfers: Vec<Transfer>,
    /// What the engine will have in its memory when it has read the prompt, and has not yet.
    pub expected: Vec<PartReport>,
    /// The parts that are saved.
    pub pending_saves: Vec<(SocketAddr, PartKey)>,
}

/// A transfer that a request brings about.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Transfer {
    /// From where.
    pub address: SocketAddr,
    /// How much.
    pub tokens: u64,
    /// How long it takes at usual speed.
    pub nominal_ms: f64,
}

/// What is known of a prompt's shared parts for one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PrefixFacts {
    /// The tokens that the engine has in its memory.
    pub cached_tokens: u64,
    /// The tokens that it can fetch.
    pub fetchable_tokens: u64,
    /// How long fetching them takes.
    pub fetch_ms: f64,
}

/// Weighted rendezvous hashing: the greatest score wins, and a store's share is that of its capacity, more in the data
/// centre of the engine that saves.
fn score(store: &HolderView, part: &str, reader: &TargetEngine<'_>) -> f64 {
    let seed = xxh3_64_with_seed(part.as_bytes(), 1);
    let hash = xxh3_64_with_seed(store.address().to_string().as_bytes(), seed);
    // A uniform number in (0, 1]; its logarithm turns the capacity into a share.
    let uniform = ((hash >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
    let is_near = store.traits().data_centre.as_ref() == reader.data_centre;
    let weight = if is_near { NEAR_WEIGHT } else { 1.0 };
    -(store.traits().capacity_tokens as f64 * weight) / uniform.ln().min(-f64::MIN_POSITIVE)
}

/// The shared parts of a prompt; the last part is its own.
pub(crate) fn shared_parts(parts: &[PromptPart]) -> &[PromptPart] {
    &parts[..parts.len().saturating_sub(1)]
}

/// An engine that a prompt may go to.
#[derive(Debug, Clone, Copy)]
pub struct TargetEngine<'a> {
    /// Where it is.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Option<&'a DataCentreId>,
    /// The size of one cached token.
    pub token_bytes: Bytes,
}

/// A shared part, and who holds it.
#[derive(Debug)]
struct LocatedPart<'a> {
    part: &'a PromptPart,
    key: PartKey,
    holders: Vec<(&'a HolderView, Holding)>,
}

impl LocatedPart<'_> {
    /// Whether `reader` has all of it in its own memory, or will when its turn comes.
    fn is_at(&self, reader: &TargetEngine<'_>) -> bool {
        let own = self.holders.iter().find(|(holder, _)| holder.address() == reader.address);
        own.is_some_and(|(_, holding)| match holding {
            Holding::Complete(tokens) | Holding::Expected(tokens) => *tokens >= self.part.tokens,
        })
    }

    /// The holders that it can be fetched from. Not engines of which only peers told: by the time their word has come, the
    /// part is gone too often.
    fn sources(&self) -> impl Iterator<Item = (&HolderView, Tokens)> {
        self.holders.iter().filter_map(|(holder, holding)| match holding {
            Holding::Complete(tokens)
                if holder.is_subscribed() || holder.traits().kind == HolderKind::Store =>
            {
                Some((*holder, *tokens))
            }
            Holding::Complete(_) | Holding::Expected(_) => None,
        })
    }

    /// The nearest holder that `reader` can fetch it from.
    fn nearest(&self, reader: &TargetEngine<'_>) -> Option<(&HolderView, Tokens, f64)> {
        self.sources()
            .filter(|(holder, _)| holder.address() != reader.address)
            .map(|(holder, tokens)| {
                let tokens = tokens.min(self.part.tokens);
                (holder, tokens, holder.transfer_ms(tokens, reader))
            })
            .filter(|(_, tokens, fetch_ms)| {
                *fetch_ms * TOKENS_PER_FETCH_MS <= f64::from(tokens.get()) * WORTH_FETCHING
            })
            .min_by(|a, b| self.expected_ms(a.0, a.2).total_cmp(&self.expected_ms(b.0, b.2)))
    }

    /// How long it takes to get the part from a holder, the reading included where it is no longer there.
    fn expected_ms(&self, holder: &HolderView, fetch_ms: f64) -> f64 {
        match holder.traits().kind {
            HolderKind::Store => fetch_ms,
            HolderKind::Engine => {
                let reading_ms = f64::from(self.part.tokens.get()) / TOKENS_PER_FETCH_MS;
                fetch_ms + reading_ms * DROPPED_PERCENT / 100.0
            }
        }
    }
}

/// Who holds a prompt's shared parts: looked up once, and weighed for each engine that the prompt may go to.
#[derive(Debug)]
pub struct LocatedParts<'a>(Vec<LocatedPart<'a>>);

impl<'a> LocatedParts<'a> {
    /// Looks the shared parts of a prompt up at all holders.
    pub fn new(
        holders: &'a [HolderView],
        scope: &str,
        parts: &'a [PromptPart],
        now_ms: TimeMs,
    ) -> Self {
        let located = shared_parts(parts).iter().map(|part| {
            let key = PartKey { scope: scope.to_owned(), id: part.id.clone() };
            let held = holders.iter().filter_map(|at| Some((at, at.holding(&key, now_ms)?)));
            LocatedPart { part, holders: held.collect(), key }
        });
        Self(located.collect())
    }

    /// What `reader` has and can get, up to the first part that it has to read.
    pub fn prefix_facts(&self, reader: &TargetEngine<'_>) -> PrefixFacts {
        let mut facts = PrefixFacts::default();
        let mut is_cached = true;
        for located in &self.0 {
            is_cached &= located.is_at(reader);
            if is_cached {
                facts.cached_tokens += u64::from(located.part.tokens.get());
                continue;
            }
            let Some((_, tokens, fetch_ms)) = located.nearest(reader) else { break };
            facts.fetchable_tokens += u64::from(tokens.get());
            facts.fetch_ms += fetch_ms;
        }
        facts
    }
}

/// Plans a request's parts at the engine that was chosen; the last part is neither fetched nor saved.
pub fn plan_parts(
    holders: &mut [HolderView],
    scope: &str,
    parts: &[PromptPart],
    reader: &TargetEngine<'_>,
    now_ms: TimeMs,
) -> PartPlan {
    let mut plan = PartPlan::default();
    let mut unkept = Vec::new();
    for located in LocatedParts::new(holders, scope, parts, now_ms).0 {
        let source = located.nearest(reader).map(|(holder, tokens, fetch_ms)| {
            if !located.is_at(reader) {
                plan.transfers.push(Transfer {
                    address: holder.address(),
                    tokens: u64::from(tokens.get()),
                    nominal_ms: fetch_ms / holder.slowness(),
                });
            }
            // An engine drops parts at any time, and gives what it has then.
            let tokens = (holder.traits().kind == HolderKind::Store).then_some(tokens);
            PartSource { address: holder.address(), tokens }
        });
        plan.fetch.push(source);
        let is_kept =
            located.sources().any(|(holder, _)| holder.traits().kind == HolderKind::Store);
        if !located.is_at(reader) {
            let tokens = located.part.tokens.get();
            plan.expected.push((PartTag::new(&located.key), PartUpdate::Expected(tokens)));
        }
        let wants_save = !is_kept && located.part.tokens.get() >= LEAST_SAVED_TOKENS;
        unkept.push(wants_save.then_some((located.part.tokens, located.key)));
    }
    for part in unkept {
        let target = part.and_then(|(tokens, key)| {
            if holders.iter().any(|holder| holder.is_saving(&key, now_ms)) {
                return None;
            }
            let store = holders
                .iter_mut()
                .filter(|holder| holder.traits().kind == HolderKind::Store)
                .filter(|store| store.has_room(tokens, now_ms))
                .max_by(|a, b| score(a, &key.id, reader).total_cmp(&score(b, &key.id, reader)))?;
            store.record_save(key.clone(), now_ms);
            plan.pending_saves.push((store.address(), key));
            Some(store.address())
        });
        plan.save.push(target);
    }
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
