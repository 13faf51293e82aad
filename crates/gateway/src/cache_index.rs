//! What the stores of cached prompt parts hold, and where a request's parts come from and go to.
//!
//! The load pattern it answers: more shared parts are in use than the engines' memories hold, so that engines read the
//! same parts again and again. Every part that an engine reads is saved to one store, which all instances choose alike
//! by weighted rendezvous hashing, and later requests fetch it wherever they run.
//!
//! # Invariant
//!
//! A part is fetched only while the store's own events, heard within [`FRESH_MS`], say that it is complete, and never
//! more tokens than they say. A store that restarts is forgotten as a whole.

use std::{collections::HashMap, net::SocketAddr};

use bilberryford_types::{TimeMs, Tokens};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::translation::{CacheChanges, CacheContent, PartKey, PartSource, PromptPart};

/// How long what a store said is used, in milliseconds: one wait for events and a little more.
pub(crate) const FRESH_MS: TimeMs = TimeMs(1_600);
/// How long a save is believed to be under way, in milliseconds: a prompt is read and sent within it.
const SAVING_MS: TimeMs = TimeMs(4_000);
/// The unit in which stores give space, in tokens.
const BLOCK_TOKENS: u64 = 16;
/// The least tokens of a part that is worth a save: shorter ones are read faster than fetched.
const LEAST_SAVED_TOKENS: u32 = 64;

#[derive(Debug, Clone, Default)]
struct Contents {
    epoch: u64,
    next: u64,
    parts: HashMap<PartKey, Tokens>,
    used_tokens: u64,
    heard_ms: TimeMs,
}

/// One store.
#[derive(Debug, Clone)]
pub struct StoreView {
    address: SocketAddr,
    capacity_tokens: u64,
    contents: Option<Contents>,
    saving: HashMap<PartKey, TimeMs>,
}

fn space(tokens: Tokens) -> u64 {
    u64::from(tokens.get()).div_ceil(BLOCK_TOKENS) * BLOCK_TOKENS
}

impl StoreView {
    /// A store of which nothing is known.
    pub fn new(address: SocketAddr, capacity_tokens: u64) -> Self {
        Self { address, capacity_tokens, contents: None, saving: HashMap::new() }
    }

    /// Where it is.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// The life and the place from which changes are wanted; none when all content is.
    pub fn position(&self) -> Option<(u64, u64)> {
        self.contents.as_ref().map(|contents| (contents.epoch, contents.next))
    }

    /// The store can't be heard: nothing is fetched from it until it is.
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

    /// Takes in changes, heard at `heard_ms`; answers whether all content has to be asked for.
    pub fn apply(&mut self, changes: CacheChanges, heard_ms: TimeMs) -> bool {
        let Some(contents) = self.contents.as_mut() else { return true };
        if changes.epoch != contents.epoch || changes.has_gap {
            self.forget();
            return true;
        }
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
        false
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
        contents.used_tokens + space(tokens) <= self.capacity_tokens
    }

    /// A save was ordered.
    fn note_saving(&mut self, key: PartKey, now_ms: TimeMs) {
        self.saving.retain(|_, at_ms| now_ms.since(*at_ms) < SAVING_MS);
        self.saving.insert(key, now_ms);
    }

    /// The parts whose scope is not in `used`, with the life that they are of.
    pub fn outside(&self, is_used: impl Fn(&str) -> bool, now_ms: TimeMs) -> Option<(u64, Vec<PartKey>)> {
        let contents = self.fresh(now_ms)?;
        let parts: Vec<_> =
            contents.parts.keys().filter(|key| !is_used(&key.scope)).cloned().collect();
        (!parts.is_empty()).then_some((contents.epoch, parts))
    }
}

/// Where a prompt's parts come from and go to; both have one entry for each part, or none at all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartPlan {
    /// Sources of complete parts.
    pub fetch: Vec<Option<PartSource>>,
    /// Stores for parts that none has.
    pub save: Vec<Option<SocketAddr>>,
    /// The tokens that are fetched.
    pub fetched_tokens: u64,
}

/// Weighted rendezvous hashing: the greatest score wins, and a store's share is that of its capacity.
fn score(store: &StoreView, part: &str) -> f64 {
    let hash = xxh3_64_with_seed(store.address.to_string().as_bytes(), xxh3_64_with_seed(part.as_bytes(), 1));
    // A uniform number in (0, 1]; its logarithm turns the capacity into a share.
    let uniform = ((hash >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
    -(store.capacity_tokens as f64) / uniform.ln().min(-f64::MIN_POSITIVE)
}

/// Plans a request's parts; the last one is its own and is neither fetched nor saved.
pub fn plan_parts(
    stores: &mut [StoreView],
    scope: &str,
    parts: &[PromptPart],
    now_ms: TimeMs,
) -> PartPlan {
    let shared = parts.len().saturating_sub(1);
    let mut plan = PartPlan::default();
    for part in &parts[..shared] {
        let key = PartKey { scope: scope.to_owned(), id: part.id.clone() };
        let source = stores.iter().find_map(|store| {
            let tokens = store.holds(&key, now_ms)?.min(part.tokens);
            Some(PartSource { address: store.address, tokens: Some(tokens) })
        });
        let mut target = None;
        match source.and_then(|source| source.tokens) {
            Some(tokens) => plan.fetched_tokens += u64::from(tokens.get()),
            None if part.tokens.get() < LEAST_SAVED_TOKENS => {}
            None if stores.iter().any(|store| store.is_saving(&key, now_ms)) => {}
            None => {
                let best = stores
                    .iter_mut()
                    .filter(|store| store.has_room(part.tokens, now_ms))
                    .max_by(|a, b| score(a, &part.id).total_cmp(&score(b, &part.id)));
                if let Some(store) = best {
                    store.note_saving(key, now_ms);
                    target = Some(store.address);
                }
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
