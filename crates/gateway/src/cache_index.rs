//! What stores and engines hold of prompts, by their own events.
//!
//! The load pattern it answers: more shared parts are in use than the engines' memories hold. Whoever plans a request's
//! parts ([`crate::plan_parts`]) has to know where they are, and how far behind each holder's link is.
//!
//! An engine takes few callers that follow its events, and an instance has little time to follow many engines. In a large
//! fleet a few instances follow each engine and tell all others, in short form and without a promise that all arrives:
//! an engine that no longer has a part costs a reading, which is what not knowing costs every time.
//!
//! # Invariant
//!
//! A store is believed to have only parts that its events, heard within `FRESH_MS`, say are complete, and never more tokens
//! than they say. A holder that restarts is forgotten as a whole.

use std::{collections::HashMap, net::SocketAddr};

use bilberryford_types::{BytesPerSec, DataCentreId, TimeMs, Tokens};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    part_plan::TargetEngine,
    peer_loads::EndpointTag,
    slowness::Slowness,
    translation::{CacheChanges, CacheSnapshot, PartKey},
};

/// How long what a holder said is used, in milliseconds: one wait for events and a little more.
pub(crate) const FRESH_MS: TimeMs = TimeMs(1_600);
/// How long a part is expected at an engine that was given a prompt with it, in milliseconds: a usual queue and the news.
const EXPECTED_MS: TimeMs = TimeMs(3_000);
/// How long what peers told of an engine's part is believed, in milliseconds: word of its end may have been lost.
const TOLD_MS: TimeMs = TimeMs(60_000);
/// The most parts of one engine that are believed from peers: more than its memory has room for.
const MAX_TOLD_PARTS: usize = 4_096;
/// How long a save is believed to be under way, in milliseconds: a prompt is read and sent within it.
const SAVING_MS: TimeMs = TimeMs(4_000);
/// The unit in which stores give space, in tokens.
const BLOCK_TOKENS: u64 = 16;
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
    /// How many callers may wait for its events at once.
    pub max_subscribers: u32,
    /// Which life of an engine this is.
    pub incarnation: Option<EndpointTag>,
}

/// A short name of a part, for messages. Two parts may share one: what is told steers, and engines check.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PartTag(u32);

impl PartTag {
    /// The tag of a part.
    pub fn new(key: &PartKey) -> Self {
        let hash = xxh3_64_with_seed(key.id.as_bytes(), xxh3_64(key.scope.as_bytes()));
        // The low half is as uniform as the whole.
        Self(hash as u32)
    }
}

/// What became of one part of an engine's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartUpdate {
    /// It has so many tokens of it.
    Has(u32),
    /// A prompt is on its way by which it will.
    Expected(u32),
    /// It has it no more.
    Gone,
}

/// What became of which part.
pub type PartReport = (PartTag, PartUpdate);

/// How a holder has a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Holding {
    /// So many complete tokens, which others can fetch.
    Complete(Tokens),
    /// A prompt that was sent before reads it: who comes after it finds it there, and nobody else.
    Expected(Tokens),
}

#[derive(Debug, Clone, Default)]
struct Contents {
    epoch: u64,
    next: u64,
    parts: HashMap<PartKey, Tokens>,
    used_tokens: u64,
    heard_ms: TimeMs,
    /// Whether changes that peers passed on were lost. Parts that came meanwhile are missing, and one that is gone costs
    /// its reader a miss; no part is believed that was never complete in this life.
    has_gap: bool,
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
    is_subscribed: bool,
    own: HolderLoad,
    slowness: Slowness,
    peers: HolderLoad,
    contents: Option<Contents>,
    /// What this instance and its peers expect of an engine, and what peers said of one that is not followed.
    told: HashMap<PartTag, (Holding, TimeMs)>,
    saving: HashMap<PartKey, TimeMs>,
}

fn space(tokens: Tokens) -> u64 {
    u64::from(tokens.get()).div_ceil(BLOCK_TOKENS) * BLOCK_TOKENS
}

/// The holder at an address.
pub(crate) fn holder_at(
    holders: &mut [HolderView],
    address: SocketAddr,
) -> Option<&mut HolderView> {
    holders.iter_mut().find(|holder| holder.address() == address)
}

fn is_believed(holding: Holding, at_ms: TimeMs, now_ms: TimeMs) -> bool {
    let kept_ms = match holding {
        Holding::Complete(_) => TOLD_MS,
        Holding::Expected(_) => EXPECTED_MS,
    };
    now_ms.since(at_ms) < kept_ms
}

impl HolderView {
    /// A holder of which nothing is known; `is_subscribed` when this instance asks it itself.
    pub fn new(traits: HolderTraits, is_subscribed: bool) -> Self {
        Self {
            traits,
            is_subscribed,
            own: HolderLoad::default(),
            slowness: Slowness::default(),
            peers: HolderLoad::default(),
            contents: None,
            told: HashMap::new(),
            saving: HashMap::new(),
        }
    }

    /// Whether this instance asks it itself, and not through peers.
    pub const fn is_subscribed(&self) -> bool {
        self.is_subscribed
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
    pub fn cursor(&self) -> Option<u64> {
        self.contents.as_ref().map(|contents| contents.next)
    }

    /// Whether all content is to be asked for.
    pub fn needs_snapshot(&self) -> bool {
        self.contents.as_ref().is_none_or(|contents| contents.has_gap)
    }

    /// The holder can't be heard: nothing is fetched from it until it is.
    pub fn invalidate(&mut self) {
        self.contents = None;
        self.saving.clear();
    }

    /// Takes in all content, asked for at `asked_ms`.
    pub fn apply_snapshot(&mut self, content: CacheSnapshot, asked_ms: TimeMs) {
        let used_tokens = content.parts.iter().map(|(_, tokens)| space(*tokens)).sum::<u64>()
            + content.incomplete_tokens;
        self.contents = Some(Contents {
            epoch: content.epoch,
            next: content.next,
            parts: content.parts.into_iter().collect(),
            used_tokens,
            heard_ms: asked_ms,
            has_gap: false,
        });
    }

    /// Takes in changes, heard at `heard_ms`; without a gap, those since the start are all content.
    pub fn apply_changes(&mut self, changes: CacheChanges, heard_ms: TimeMs) {
        let is_other_life =
            self.contents.as_ref().is_some_and(|contents| contents.epoch != changes.epoch);
        if changes.has_gap || is_other_life {
            return self.invalidate();
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
    pub fn remove_freed(&mut self, epoch: u64, parts: &[PartKey]) {
        let Some(contents) = self.contents.as_mut().filter(|contents| contents.epoch == epoch)
        else {
            return;
        };
        for key in parts {
            let space = contents.parts.remove(key).map_or(0, space);
            contents.used_tokens = contents.used_tokens.saturating_sub(space);
        }
    }

    /// Takes in changes that a peer passed on; after a gap all content is to be asked for, and meanwhile what is known is
    /// used.
    pub fn apply_peer_changes(&mut self, since: u64, changes: CacheChanges, heard_ms: TimeMs) {
        let known = self.contents.as_ref().map(|contents| (contents.epoch, contents.next));
        match known {
            None if since == 0 => self.apply_changes(changes, heard_ms),
            // Another peer was sooner.
            Some((epoch, next)) if epoch == changes.epoch && changes.next < next => {}
            Some((epoch, next)) if epoch == changes.epoch && changes.next == next => {
                self.heard(heard_ms);
            }
            // Peers ask at different times: what is heard twice says the same in the same order.
            Some((epoch, next)) if epoch == changes.epoch => {
                self.apply_changes(changes, heard_ms);
                if let Some(contents) = self.contents.as_mut().filter(|_| since > next) {
                    contents.has_gap = true;
                }
            }
            _ => self.invalidate(),
        }
    }

    /// Takes in what peers told of an engine, or what a prompt of this instance leads one to expect.
    pub fn apply_part_reports(&mut self, news: &[PartReport], heard_ms: TimeMs) {
        if self.told.len() >= MAX_TOLD_PARTS {
            self.told.retain(|_, (holding, at_ms)| is_believed(*holding, *at_ms, heard_ms));
        }
        for (part, news) in news {
            match news {
                PartUpdate::Gone => {
                    self.told.remove(part);
                }
                PartUpdate::Has(tokens) => {
                    self.believe(*part, Holding::Complete(Tokens(*tokens)), heard_ms);
                }
                PartUpdate::Expected(tokens) => {
                    let known = self.told.get(part);
                    let is_complete = known.is_some_and(|(holding, at_ms)| {
                        matches!(holding, Holding::Complete(_))
                            && is_believed(*holding, *at_ms, heard_ms)
                    });
                    if !is_complete {
                        self.believe(*part, Holding::Expected(Tokens(*tokens)), heard_ms);
                    }
                }
            }
        }
    }

    fn believe(&mut self, part: PartTag, holding: Holding, heard_ms: TimeMs) {
        if self.told.len() < MAX_TOLD_PARTS {
            self.told.insert(part, (holding, heard_ms));
        }
    }

    fn heard(&mut self, heard_ms: TimeMs) {
        if let Some(contents) = self.contents.as_mut() {
            contents.heard_ms = heard_ms;
        }
    }

    fn fresh(&self, now_ms: TimeMs) -> Option<&Contents> {
        self.contents.as_ref().filter(|contents| now_ms.since(contents.heard_ms) < FRESH_MS)
    }

    /// The complete tokens of a part.
    pub fn complete_tokens(&self, key: &PartKey, now_ms: TimeMs) -> Option<Tokens> {
        match self.holding(key, now_ms)? {
            Holding::Complete(tokens) => Some(tokens),
            Holding::Expected(_) => None,
        }
    }

    pub(crate) fn holding(&self, key: &PartKey, now_ms: TimeMs) -> Option<Holding> {
        let complete = self.fresh(now_ms).and_then(|contents| contents.parts.get(key).copied());
        if complete.is_some() || self.told.is_empty() {
            return complete.map(Holding::Complete);
        }
        let (holding, at_ms) = *self.told.get(&PartTag::new(key))?;
        // Of an engine that is followed its own events tell.
        let is_usable = !self.is_subscribed || matches!(holding, Holding::Expected(_));
        (is_usable && is_believed(holding, at_ms, now_ms)).then_some(holding)
    }

    pub(crate) fn is_saving(&self, key: &PartKey, now_ms: TimeMs) -> bool {
        self.saving.get(key).is_some_and(|at_ms| now_ms.since(*at_ms) < SAVING_MS)
    }

    pub(crate) fn has_room(&self, tokens: Tokens, now_ms: TimeMs) -> bool {
        let Some(contents) = self.fresh(now_ms) else { return false };
        contents.used_tokens + space(tokens) <= self.traits.capacity_tokens
    }

    /// A save was ordered.
    pub(crate) fn record_save(&mut self, key: PartKey, now_ms: TimeMs) {
        self.saving.retain(|_, at_ms| now_ms.since(*at_ms) < SAVING_MS);
        self.saving.insert(key, now_ms);
    }

    /// The request that was to bring a save about ended before.
    pub fn cancel_save(&mut self, key: &PartKey) {
        self.saving.remove(key);
    }

    /// The parts whose scope is not in use, with the life that they are of.
    pub fn unused_parts(
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
    pub fn begin_fetch(&mut self, tokens: u64) {
        self.own.fetching_tokens += tokens;
    }

    /// It is over.
    pub fn end_fetch(&mut self, tokens: u64) {
        self.own.fetching_tokens = self.own.fetching_tokens.saturating_sub(tokens);
    }

    /// A fetch that should have taken `nominal_ms` took `took_ms`.
    pub fn record_transfer(&mut self, nominal_ms: f64, took_ms: f64, now_ms: TimeMs) {
        self.slowness.record_ratio(took_ms / nominal_ms.max(1.0), now_ms);
        self.own.slowness_percent = self.slowness.percent(now_ms);
    }

    /// What this instance fetches from it, for other instances.
    pub fn local_load(&mut self, now_ms: TimeMs) -> HolderLoad {
        self.own.slowness_percent = self.slowness.percent(now_ms);
        self.own
    }

    /// What the other instances fetch from it.
    pub fn set_peer_load(&mut self, peers: HolderLoad) {
        self.peers = peers;
    }

    pub(crate) fn slowness(&self) -> f64 {
        let percent = match (self.own.slowness_percent, self.peers.slowness_percent) {
            (Some(own), Some(theirs)) => (own + theirs) / 2,
            (own, theirs) => own.or(theirs).unwrap_or(100),
        };
        f64::from(percent) / 100.0
    }

    /// How long a transfer of `tokens` to `reader` takes behind those that are on their way.
    pub(crate) fn transfer_ms(&self, tokens: Tokens, reader: &TargetEngine<'_>) -> f64 {
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
