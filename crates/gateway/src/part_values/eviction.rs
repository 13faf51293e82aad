//! Which parts the owner of a store frees, so that a save finds room at once.
//!
//! Stores never evict by themselves, and a save that finds no room is lost. Together the stores have room for nearly
//! every shared part once. The owner starts when the free room falls below a mark and frees up to a higher one, so that
//! saves find room. What leaves is what another store has as well, what is not used any more, and what is used less than
//! parts that are wanted here and found no room. The counts of uses are small, so a part gives way only if the difference
//! is certain: in a store of parts that are used alike, each eviction would cost a prefill and gain nothing.
//!
//! # Invariant
//!
//! A part is freed only after it was announced without interruption for longer than a fetch that was planned before the
//! announcement may take, and if no use of it was reported since. The announcement is repeated, so that it reaches every
//! instance within [`ANNOUNCED_MS`] with few exceptions.

use std::collections::{HashMap, HashSet};

use bilberryford_types::{TimeMs, Tokens};

use super::{PartUsage, UseEstimate};
use crate::{
    cache_index::{PartTag, SPARE_TOKENS, footprint},
    translation::PartKey,
};

/// The interval of the owner's steps, and so of announcements, in milliseconds.
pub const STEP_INTERVAL_MS: TimeMs = TimeMs(1_000);
/// How long a new owner learns uses before it evicts, in milliseconds: the time within which most parts are used again.
pub const LEARNING_MS: TimeMs = TimeMs(20_000);
/// The longest pause between two announcements, in milliseconds. After a longer one, as in a process that was suspended,
/// other instances may have forgotten the announcement, so the grace period starts again.
const MAX_PAUSE_MS: TimeMs = TimeMs(2_500);
/// How long an instance respects an announcement after it was last repeated, in milliseconds: longer than the longest pause
/// and the call that frees the part.
pub(crate) const ANNOUNCEMENT_EXPIRY_MS: TimeMs = TimeMs(6_000);
/// The time for three announcements, in milliseconds: all are lost with a probability below 1% at a loss of 20%.
const ANNOUNCED_MS: u64 = 2_200;
/// The time within which a planned fetch starts, in milliseconds.
const FETCH_START_MS: u64 = 2_000;
/// The longest fetch of a short part, in milliseconds.
const MIN_FETCH_MS: u64 = 1_500;
/// The slowest fetch of a long part, in milliseconds for 1,000 tokens: twice the slowest one that is planned.
const FETCH_MS_PER_1000_TOKENS: u64 = 400;
/// How long a part is kept after it was saved or used, in milliseconds: it is often used again at once.
const PROTECTED_MS: TimeMs = TimeMs(5_000);
/// The share of the capacity at which eviction starts if less is free, in percent.
const MIN_FREE_PERCENT: u64 = 4;
/// The share of the capacity that an eviction adds to the free room, in percent.
const FREED_PERCENT: u64 = 3;
/// The largest share of the capacity that is kept free when many parts are saved, in percent.
const MAX_FREE_PERCENT: u64 = 8;
/// The time over which the rate of saves is averaged, in milliseconds.
const SAVE_RATE_MS: f64 = 8_000.0;
/// The most parts of a store that leave at the same time.
const MAX_LEAVING_PARTS: usize = 600;
/// The uses in a minute, with the uncertainty of their count, below which a part leaves ahead of need: no use in the last
/// 70 s is known, and hardly any before.
const IDLE_USES: f64 = 2.2;
/// How long ago a part that is not in the store may have been used to be wanted there, in milliseconds: most parts that
/// are in use are used within this time.
const WANTED_MS: TimeMs = TimeMs(15_000);

/// How long a part is announced before it is freed.
pub fn grace_ms(tokens: Tokens) -> TimeMs {
    let fetch_ms = u64::from(tokens.get()) * FETCH_MS_PER_1000_TOKENS / 1_000;
    TimeMs(ANNOUNCED_MS + FETCH_START_MS + fetch_ms.max(MIN_FETCH_MS))
}

/// The contents of a store, as its owner sees them.
#[derive(Debug, Clone, Copy)]
pub struct StoreContents<'a> {
    /// The incarnation of the store.
    pub epoch: u64,
    /// Its capacity, in tokens.
    pub capacity_tokens: u64,
    /// The room that is taken, in tokens.
    pub used_tokens: u64,
    /// The complete parts.
    pub parts: &'a HashMap<PartKey, Tokens>,
}

/// What an owner does in one step.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EvictionStep {
    /// All parts that leave, to be announced.
    pub announced: Vec<PartTag>,
    /// The parts that are freed now.
    pub freed: Vec<PartKey>,
    /// The room of the freed parts, in tokens.
    pub freed_tokens: u64,
    /// The parts that begin to leave.
    pub chosen: usize,
    /// The expected uses in a minute of the least valuable part that stays, if room was short.
    pub least_kept: Option<f64>,
}

#[derive(Debug, Clone, Copy)]
struct LeavingPart {
    since_ms: TimeMs,
    tokens: Tokens,
}

/// The evictions of one store by its owner.
#[derive(Debug, Clone)]
pub struct StoreEviction {
    owned_since_ms: TimeMs,
    /// The incarnation of the store that the rest refers to; none before the first step.
    epoch: Option<u64>,
    /// When each part was first seen in the store.
    seen_ms: HashMap<PartKey, TimeMs>,
    leaving: HashMap<PartKey, LeavingPart>,
    stepped_ms: TimeMs,
    /// The average of the room that saves take, in tokens per millisecond.
    save_rate: f64,
}

impl StoreEviction {
    /// The state of an instance that becomes the owner of a store at `now_ms`.
    pub fn new(now_ms: TimeMs) -> Self {
        Self {
            owned_since_ms: now_ms,
            epoch: None,
            seen_ms: HashMap::new(),
            leaving: HashMap::new(),
            stepped_ms: now_ms,
            save_rate: 0.0,
        }
    }

    /// Decides what is announced and what is freed. `is_copied` states that another store has the part as well and
    /// keeps it.
    pub fn step(
        &mut self,
        store: &StoreContents<'_>,
        usage: &PartUsage,
        is_copied: impl Fn(&PartKey) -> bool,
        now_ms: TimeMs,
    ) -> EvictionStep {
        let pause_ms = now_ms.since(self.stepped_ms);
        self.stepped_ms = now_ms;
        self.observe(store, pause_ms, now_ms);
        if pause_ms > MAX_PAUSE_MS {
            self.leaving.values_mut().for_each(|part| part.since_ms = now_ms);
        }
        let mut step = EvictionStep::default();
        self.end_leaving(usage, now_ms, &mut step);
        if now_ms.since(self.owned_since_ms) >= LEARNING_MS {
            self.choose(store, usage, is_copied, now_ms, &mut step);
        }
        step.announced = self.leaving.keys().map(PartTag::new).collect();
        step
    }

    /// Notes which parts are new, and how fast the room is taken.
    fn observe(&mut self, store: &StoreContents<'_>, pause_ms: TimeMs, now_ms: TimeMs) {
        let is_first = self.epoch != Some(store.epoch);
        if is_first {
            self.epoch = Some(store.epoch);
            self.seen_ms.clear();
            self.leaving.clear();
        }
        self.seen_ms.retain(|key, _| store.parts.contains_key(key));
        self.leaving.retain(|key, _| store.parts.contains_key(key));
        let mut saved_tokens = 0;
        for (key, tokens) in store.parts {
            if !self.seen_ms.contains_key(key) {
                self.seen_ms.insert(key.clone(), now_ms);
                saved_tokens += footprint(*tokens);
            }
        }
        if !is_first && pause_ms > TimeMs(0) {
            let weight = (-(pause_ms.get() as f64) / SAVE_RATE_MS).exp();
            let rate = saved_tokens as f64 / pause_ms.get() as f64;
            self.save_rate = self.save_rate * weight + rate * (1.0 - weight);
        }
    }

    /// Frees the parts whose grace period is over; those that are used after all stay.
    fn end_leaving(&mut self, usage: &PartUsage, now_ms: TimeMs, step: &mut EvictionStep) {
        self.leaving.retain(|key, part| {
            let last_used_ms = usage.last_used_ms(PartTag::new(key));
            if last_used_ms.is_some_and(|used_ms| used_ms > part.since_ms) {
                return false;
            }
            let is_over = now_ms.since(part.since_ms) >= grace_ms(part.tokens);
            if is_over {
                step.freed_tokens += footprint(part.tokens);
                step.freed.push(key.clone());
            }
            !is_over
        });
    }

    /// Chooses the least valuable parts if the free room is short.
    fn choose(
        &mut self,
        store: &StoreContents<'_>,
        usage: &PartUsage,
        is_copied: impl Fn(&PartKey) -> bool,
        now_ms: TimeMs,
        step: &mut EvictionStep,
    ) {
        let leaving_tokens: u64 = self.leaving.values().map(|part| footprint(part.tokens)).sum();
        let free_tokens = store.capacity_tokens.saturating_sub(store.used_tokens)
            + leaving_tokens
            + step.freed_tokens;
        let largest = store.parts.values().copied().map(footprint).max().unwrap_or(0);
        let percent = |percent: u64| store.capacity_tokens * percent / 100;
        // What is saved while parts leave has to fit as well.
        let needed = (self.save_rate * grace_ms(Tokens(8_192)).get() as f64) as u64;
        let min_free = needed.min(percent(MAX_FREE_PERCENT)).max(percent(MIN_FREE_PERCENT));
        let min_free = min_free.max(largest + SPARE_TOKENS).min(store.capacity_tokens / 4);
        if free_tokens >= min_free {
            return;
        }
        let mut missing = min_free + percent(FREED_PERCENT) - free_tokens;
        let mut wanted = self.wanted(store, usage, now_ms).into_iter();
        let mean = store.used_tokens / store.parts.len().max(1) as u64;
        for candidate in self.candidates(store, usage, is_copied, now_ms, step) {
            let is_idle = candidate.is_spare || candidate.uses.high < IDLE_USES;
            // The size of a wanted part is not known here.
            let mut gives_way = || wanted.next().is_some_and(|low| low > candidate.uses.high);
            if missing == 0 || self.leaving.len() >= MAX_LEAVING_PARTS || !(is_idle || gives_way())
            {
                step.least_kept = Some(candidate.uses.mean);
                break;
            }
            let room = footprint(candidate.tokens);
            let part = LeavingPart { since_ms: now_ms, tokens: candidate.tokens };
            self.leaving.insert(candidate.key.clone(), part);
            missing = missing.saturating_sub(room.max(if is_idle { 0 } else { mean }));
            step.chosen += 1;
        }
    }

    /// The least number of uses of each part that is wanted in the store and isn't there, highest first.
    fn wanted(&self, store: &StoreContents<'_>, usage: &PartUsage, now_ms: TimeMs) -> Vec<f64> {
        let held: HashSet<_> = store.parts.keys().map(PartTag::new).collect();
        let missing = usage.recently_used(WANTED_MS, now_ms).filter(|(tag, _)| !held.contains(tag));
        let mut wanted: Vec<_> = missing.map(|(_, uses)| uses.low).collect();
        wanted.sort_unstable_by(|a, b| b.total_cmp(a));
        // The parts that are leaving give way to the first ones.
        wanted.drain(..self.leaving.len().min(wanted.len()));
        wanted
    }

    /// The parts that may leave, least valuable first; without a known use, those that were used or saved last go last.
    fn candidates<'a>(
        &self,
        store: &StoreContents<'a>,
        usage: &PartUsage,
        is_copied: impl Fn(&PartKey) -> bool,
        now_ms: TimeMs,
        step: &EvictionStep,
    ) -> Vec<Candidate<'a>> {
        let may_leave =
            |key: &PartKey| !self.leaving.contains_key(key) && !step.freed.contains(key);
        let parts = store.parts.iter().filter(|(key, _)| may_leave(key));
        let mut candidates: Vec<_> = parts
            .filter_map(|(key, tokens)| {
                let tag = PartTag::new(key);
                let seen_ms = self.seen_ms.get(key).copied()?;
                let used_ms = usage.last_used_ms(tag).unwrap_or(seen_ms).max(seen_ms);
                let is_protected = now_ms.since(used_ms) < PROTECTED_MS;
                (!is_protected).then(|| Candidate {
                    is_spare: is_copied(key),
                    uses: usage.estimate(tag, seen_ms, now_ms),
                    used_ms,
                    key,
                    tokens: *tokens,
                })
            })
            .collect();
        candidates.sort_unstable_by(|a, b| {
            let by_value = b.is_spare.cmp(&a.is_spare).then(a.value().total_cmp(&b.value()));
            by_value.then_with(|| (a.used_ms, a.key).cmp(&(b.used_ms, b.key)))
        });
        candidates
    }
}

/// A part that may leave its store.
struct Candidate<'a> {
    key: &'a PartKey,
    tokens: Tokens,
    /// True if another store has it as well and keeps it.
    is_spare: bool,
    uses: UseEstimate,
    used_ms: TimeMs,
}

impl Candidate<'_> {
    /// The expected uses times the prefill that each one saves, per token of room.
    fn value(&self) -> f64 {
        self.uses.mean * f64::from(self.tokens.get()) / footprint(self.tokens).max(1) as f64
    }
}
