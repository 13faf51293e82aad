//! What stores and engines hold of prompts, and where a request's parts come from and go to.
//!
//! The load pattern it answers: more shared parts are in use than the engines' memories hold, so that engines read the
//! same parts again and again. Every part that an engine reads is saved to one store, which all instances choose alike
//! by weighted rendezvous hashing; later requests find it in an engine's memory or fetch it from where it is nearest.
//!
//! # Invariant
//!
//! A part is fetched from a store only while the store's own events, heard within [`FRESH_MS`], say that it is complete,
//! and never more tokens than they say. A holder that restarts is forgotten as a whole.

use std::{collections::HashMap, net::SocketAddr};

use bilberryford_types::{Bytes, BytesPerSec, DataCentreId, TimeMs, Tokens};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    slowness::Slowness,
    translation::{CacheChanges, CacheContent, PartKey, PartSource, PromptPart},
};

/// How long what a holder said is used, in milliseconds: one wait for events and a little more.
pub(crate) const FRESH_MS: TimeMs = TimeMs(1_600);
/// How long a save is believed to be under way, in milliseconds: a prompt is read and sent within it.
const SAVING_MS: TimeMs = TimeMs(4_000);
/// The unit in which stores give space, in tokens.
const BLOCK_TOKENS: u64 = 16;
/// The least tokens of a part that is worth a save: shorter ones are read faster than fetched.
const LEAST_SAVED_TOKENS: u32 = 64;
/// What a millisecond of a transfer costs, in tokens that an engine could read meanwhile.
pub(crate) const TOKENS_PER_FETCH_MS: f64 = 40.0;
/// How many times the reading a fetch may cost: it leaves the engine free to read for others. From trials with 1.2 to 25.
const WORTH_FETCHING: f64 = 8.0;
/// How much longer a transfer between data centres takes.
const BETWEEN_DATA_CENTRES: f64 = 2.0;

/// What holds parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderKind {
    /// A store, which engines save to.
    Store,
    /// An engine's own memory.
    Engine,
}

/// What is known of a holder beforehand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderTraits {
    /// What it is.
    pub kind: HolderKind,
    /// Where it is.
    pub address: SocketAddr,
    /// Its data centre, if known.
    pub data_centre: Option<DataCentreId>,
    /// How many tokens it holds.
    pub capacity_tokens: u64,
    /// How fast its link is.
    pub link: BytesPerSec,
    /// What each transfer waits besides.
    pub first_byte_ms: TimeMs,
}

#[derive(Debug, Clone, Default)]
struct Contents {
    epoch: u64,
    next: u64,
    parts: HashMap<PartKey, Tokens>,
    used_tokens: u64,
    heard_ms: TimeMs,
}

/// What is being fetched from a holder, and how slow that is.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct HolderLoad {
    /// The tokens that are on their way from it to engines.
    pub fetching_tokens: u64,
    /// How much slower than usual its transfers are, in hundredths; none without a sample.
    pub slowness_percent: Option<u32>,
}

/// One holder.
#[derive(Debug, Clone)]
pub struct HolderView {
    traits: HolderTraits,
    own: HolderLoad,
    slowness: Slowness,
    peers: HolderLoad,
    contents: Option<Contents>,
    saving: HashMap<PartKey, TimeMs>,
}

fn space(tokens: Tokens) -> u64 {
    u64::from(tokens.get()).div_ceil(BLOCK_TOKENS) * BLOCK_TOKENS
}

impl HolderView {
    /// A holder of which nothing is known.
    pub fn new(traits: HolderTraits) -> Self {
        Self {
            traits,
            own: HolderLoad::default(),
            slowness: Slowness::default(),
            peers: HolderLoad::default(),
            contents: None,
            saving: HashMap::new(),
        }
    }

    /// Where it is.
    pub const fn address(&self) -> SocketAddr {
        self.traits.address
    }

    /// What is known of it beforehand.
    pub const fn traits(&self) -> &HolderTraits {
        &self.traits
    }

    /// The place from which changes are wanted; none when all content is.
    pub fn position(&self) -> Option<u64> {
        self.contents.as_ref().map(|contents| contents.next)
    }

    /// The holder can't be heard: nothing is fetched from it until it is.
    pub fn forget(&mut self) {
        self.contents = None;
        self.saving.clear();
    }

    /// Takes in all content, asked for at `asked_ms`.
    pub fn replace(&mut self, content: CacheContent, asked_ms: TimeMs) {
        let used_tokens = content.parts.iter().map(|(_, tokens)| space(*tokens)).sum::<u64>()
            + content.incomplete_tokens;
        self.contents = Some(Contents {
            epoch: content.epoch,
            next: content.next,
            parts: content.parts.into_iter().collect(),
            used_tokens,
            heard_ms: asked_ms,
        });
    }

    /// Takes in changes, heard at `heard_ms`; without a gap, those since the start are all content.
    pub fn apply(&mut self, changes: CacheChanges, heard_ms: TimeMs) {
        let is_other_life =
            self.contents.as_ref().is_some_and(|contents| contents.epoch != changes.epoch);
        if changes.has_gap || is_other_life {
            return self.forget();
        }
        let contents = self
            .contents
            .get_or_insert_with(|| Contents { epoch: changes.epoch, ..Contents::default() });
        for change in changes.changes {
            self.saving.remove(&change.key);
            let before = match change.tokens {
                Some(tokens) => contents.parts.insert(change.key, tokens),
                None => contents.parts.remove(&change.key),
            };
            contents.used_tokens = (contents.used_tokens + change.tokens.map_or(0, space))
                .saturating_sub(before.map_or(0, space));
        }
        contents.next = changes.next;
        contents.heard_ms = heard_ms;
    }

    /// Parts of the life `epoch` were freed: the events that say so may never arrive.
    pub fn freed(&mut self, epoch: u64, parts: &[PartKey]) {
        let Some(contents) = self.contents.as_mut().filter(|contents| contents.epoch == epoch)
        else {
            return;
        };
        for key in parts {
            let space = contents.parts.remove(key).map_or(0, space);
            contents.used_tokens = contents.used_tokens.saturating_sub(space);
        }
    }

    fn fresh(&self, now_ms: TimeMs) -> Option<&Contents> {
        self.contents.as_ref().filter(|contents| now_ms.since(contents.heard_ms) < FRESH_MS)
    }

    /// The complete tokens of a part.
    pub fn holds(&self, key: &PartKey, now_ms: TimeMs) -> Option<Tokens> {
        self.fresh(now_ms)?.parts.get(key).copied()
    }

    fn is_saving(&self, key: &PartKey, now_ms: TimeMs) -> bool {
        self.saving.get(key).is_some_and(|at_ms| now_ms.since(*at_ms) < SAVING_MS)
    }

    fn has_room(&self, tokens: Tokens, now_ms: TimeMs) -> bool {
        let Some(contents) = self.fresh(now_ms) else { return false };
        contents.used_tokens + space(tokens) <= self.traits.capacity_tokens
    }

    /// A save was ordered.
    fn note_saving(&mut self, key: PartKey, now_ms: TimeMs) {
        self.saving.retain(|_, at_ms| now_ms.since(*at_ms) < SAVING_MS);
        self.saving.insert(key, now_ms);
    }

    /// The request that was to bring a save about ended before.
    pub fn save_abandoned(&mut self, key: &PartKey) {
        self.saving.remove(key);
    }

    /// The parts whose scope is not in use, with the life that they are of.
    pub fn outside(
        &self,
        is_used: impl Fn(&str) -> bool,
        now_ms: TimeMs,
    ) -> Option<(u64, Vec<PartKey>)> {
        let contents = self.fresh(now_ms)?;
        let parts: Vec<_> =
            contents.parts.keys().filter(|key| !is_used(&key.scope)).cloned().collect();
        (!parts.is_empty()).then_some((contents.epoch, parts))
    }

    /// A fetch of `tokens` by a request of this instance begins.
    pub fn fetch_begins(&mut self, tokens: u64) {
        self.own.fetching_tokens += tokens;
    }

    /// It is over.
    pub fn fetch_ended(&mut self, tokens: u64) {
        self.own.fetching_tokens = self.own.fetching_tokens.saturating_sub(tokens);
    }

    /// A fetch that should have taken `usual_ms` took `took_ms`.
    pub fn sample(&mut self, usual_ms: f64, took_ms: f64, now_ms: TimeMs) {
        self.slowness.sample_ratio(took_ms / usual_ms.max(1.0), now_ms);
        self.own.slowness_percent = self.slowness.percent(now_ms);
    }

    /// What this instance fetches from it, for other instances.
    pub fn own_load(&mut self, now_ms: TimeMs) -> HolderLoad {
        self.own.slowness_percent = self.slowness.percent(now_ms);
        self.own
    }

    /// What the other instances fetch from it.
    pub fn set_peers(&mut self, peers: HolderLoad) {
        self.peers = peers;
    }

    fn slowness(&self) -> f64 {
        let percent = match (self.own.slowness_percent, self.peers.slowness_percent) {
            (Some(own), Some(theirs)) => (own + theirs) / 2,
            (own, theirs) => own.or(theirs).unwrap_or(100),
        };
        f64::from(percent) / 100.0
    }

    /// How long a transfer of `tokens` to `reader` takes behind those that are on their way.
    fn transfer_ms(&self, tokens: Tokens, reader: &Reader<'_>) -> f64 {
        let is_between = self.traits.data_centre.is_none()
            || self.traits.data_centre.as_ref() != reader.data_centre;
        let factor = if is_between { BETWEEN_DATA_CENTRES } else { 1.0 };
        let per_token_ms =
            reader.token_bytes.get() as f64 * 1_000.0 / (self.traits.link.get() as f64).max(1.0);
        let before = (self.own.fetching_tokens + self.peers.fetching_tokens) as f64 * per_token_ms;
        let own = f64::from(tokens.get()) * per_token_ms * factor;
        (self.traits.first_byte_ms.get() as f64 + before + own) * self.slowness()
    }
}

/// Where a prompt's parts come from and go to; both have one entry for each part, or none at all.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PartPlan {
    /// Sources of complete parts.
    pub fetch: Vec<Option<PartSource>>,
    /// Stores for parts that none has.
    pub save: Vec<Option<SocketAddr>>,
    /// The tokens that are fetched, and how long that should take, by source.
    pub transfers: Vec<Transfer>,
    /// The parts that are saved.
    pub saving: Vec<(SocketAddr, PartKey)>,
}

/// A transfer that a request brings about.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Transfer {
    /// From where.
    pub address: SocketAddr,
    /// How much.
    pub tokens: u64,
    /// How long it takes at usual speed.
    pub usual_ms: f64,
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

/// Weighted rendezvous hashing: the greatest score wins, and a store's share is that of its capacity.
fn score(store: &HolderView, part: &str) -> f64 {
    let seed = xxh3_64_with_seed(part.as_bytes(), 1);
    let hash = xxh3_64_with_seed(store.address().to_string().as_bytes(), seed);
    // A uniform number in (0, 1]; its logarithm turns the capacity into a share.
    let uniform = ((hash >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
    -(store.traits.capacity_tokens as f64) / uniform.ln().min(-f64::MIN_POSITIVE)
}

/// The shared parts of a prompt; the last part is its own.
pub(crate) fn shared_parts(parts: &[PromptPart]) -> &[PromptPart] {
    &parts[..parts.len().saturating_sub(1)]
}

/// An engine that a prompt may go to.
#[derive(Debug, Clone, Copy)]
pub struct Reader<'a> {
    /// Where it is.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Option<&'a DataCentreId>,
    /// The size of one cached token.
    pub token_bytes: Bytes,
}

/// The nearest holder of a part that `reader` can fetch it from.
fn nearest<'a>(
    holders: &'a [HolderView],
    key: &PartKey,
    part: &PromptPart,
    reader: &Reader<'_>,
    now_ms: TimeMs,
) -> Option<(&'a HolderView, Tokens, f64)> {
    holders
        .iter()
        .filter(|holder| holder.address() != reader.address)
        .filter_map(|holder| {
            let tokens = holder.holds(key, now_ms)?.min(part.tokens);
            Some((holder, tokens, holder.transfer_ms(tokens, reader)))
        })
        .filter(|(_, tokens, fetch_ms)| {
            *fetch_ms * TOKENS_PER_FETCH_MS <= f64::from(tokens.get()) * WORTH_FETCHING
        })
        .min_by(|a, b| a.2.total_cmp(&b.2))
}

/// What `reader` has and can get of a prompt's shared parts, up to the first that it has to read.
pub fn prefix_facts(
    holders: &[HolderView],
    scope: &str,
    parts: &[PromptPart],
    reader: &Reader<'_>,
    now_ms: TimeMs,
) -> PrefixFacts {
    let own = holders.iter().find(|holder| holder.address() == reader.address);
    let mut facts = PrefixFacts::default();
    let mut is_cached = true;
    for part in shared_parts(parts) {
        let key = PartKey { scope: scope.to_owned(), id: part.id.clone() };
        let held =
            own.and_then(|own| own.holds(&key, now_ms)).filter(|tokens| *tokens >= part.tokens);
        if let Some(tokens) = held.filter(|_| is_cached) {
            facts.cached_tokens += u64::from(tokens.get());
            continue;
        }
        is_cached = false;
        let Some((_, tokens, fetch_ms)) = nearest(holders, &key, part, reader, now_ms) else {
            break;
        };
        facts.fetchable_tokens += u64::from(tokens.get());
        facts.fetch_ms += fetch_ms;
    }
    facts
}

/// Plans a request's parts at the engine that was chosen; the last part is neither fetched nor saved.
pub fn plan_parts(
    holders: &mut [HolderView],
    scope: &str,
    parts: &[PromptPart],
    reader: &Reader<'_>,
    now_ms: TimeMs,
) -> PartPlan {
    let mut plan = PartPlan::default();
    let own = holders.iter().position(|holder| holder.address() == reader.address);
    for part in shared_parts(parts) {
        let key = PartKey { scope: scope.to_owned(), id: part.id.clone() };
        let is_cached = own.is_some_and(|own| {
            holders[own].holds(&key, now_ms).is_some_and(|tokens| tokens >= part.tokens)
        });
        let source =
            nearest(holders, &key, part, reader, now_ms).map(|(holder, tokens, fetch_ms)| {
                if !is_cached {
                    plan.transfers.push(Transfer {
                        address: holder.address(),
                        tokens: u64::from(tokens.get()),
                        usual_ms: fetch_ms / holder.slowness(),
                    });
                }
                // An engine drops parts at any time, and gives what it has then.
                let tokens = (holder.traits.kind == HolderKind::Store).then_some(tokens);
                PartSource { address: holder.address(), tokens }
            });
        let is_store = |holder: &&mut HolderView| holder.traits.kind == HolderKind::Store;
        let is_kept = holders.iter().any(|holder| {
            holder.traits.kind == HolderKind::Store
                && (holder.holds(&key, now_ms).is_some() || holder.is_saving(&key, now_ms))
        });
        let mut target = None;
        if !is_kept && part.tokens.get() >= LEAST_SAVED_TOKENS {
            let best = holders
                .iter_mut()
                .filter(is_store)
                .filter(|store| store.has_room(part.tokens, now_ms))
                .max_by(|a, b| score(a, &part.id).total_cmp(&score(b, &part.id)));
            if let Some(store) = best {
                store.note_saving(key.clone(), now_ms);
                plan.saving.push((store.address(), key));
                target = Some(store.address());
            }
        }
        plan.fetch.push(source);
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
