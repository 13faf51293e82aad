//! The room of a store, the saves in progress to it, and the parts that are about to be freed in it.

use std::collections::HashMap;

use bilberryford_types::{TimeMs, Tokens};

use super::{BLOCK_TOKENS, Contents, HolderView, PartTag};
use crate::{
    part_values::{ANNOUNCEMENT_EXPIRY_MS, StoreContents},
    translation::PartKey,
};

/// The most announced parts of one store that are retained: more than an owner announces.
const MAX_LEAVING_PARTS: usize = 2_048;

/// The space that a part occupies in a store, in tokens.
pub(crate) fn footprint(tokens: Tokens) -> u64 {
    u64::from(tokens.get()).div_ceil(BLOCK_TOKENS) * BLOCK_TOKENS
}

/// The room that a save leaves free, in tokens: how a store rounds a reservation is not specified, and a save that finds no
/// room is lost.
pub(crate) const SPARE_TOKENS: u64 = BLOCK_TOKENS;
/// How long a save counts as in progress, in milliseconds: the prefill and the transfer take less.
const PENDING_SAVE_MS: TimeMs = TimeMs(4_000);
/// How long a save counts as in progress after the first token of its request, in milliseconds: the transfer takes less. A
/// save that found no room is not reported, so the next request after this time makes it again.
const TRANSFER_MS: TimeMs = TimeMs(1_500);
/// The share of a store's capacity, in percent, below which less free room makes it a less likely target of saves: the
/// saves of other instances that are not known here take room as well.
const AMPLE_ROOM_PERCENT: f64 = 4.0;
/// The weight of a store with hardly any room, and of one where each save evicts another part.
const SHORT_ROOM_WEIGHT: f64 = 0.1;

/// A save that a request of this instance asked for.
#[derive(Debug, Clone, Copy)]
struct PendingSave {
    tokens: Tokens,
    until_ms: TimeMs,
}

/// The saves in progress to one store.
#[derive(Debug, Clone, Default)]
pub(super) struct PendingSaves(HashMap<PartKey, PendingSave>);

impl PendingSaves {
    pub(super) fn remove(&mut self, key: &PartKey) {
        self.0.remove(key);
    }

    fn room_tokens(&self, now_ms: TimeMs) -> u64 {
        let current = self.0.values().filter(|save| now_ms < save.until_ms);
        current.map(|save| footprint(save.tokens)).sum()
    }
}

/// The parts whose eviction the store's owner announced, with the time of the last announcement.
#[derive(Debug, Clone, Default)]
pub(super) struct LeavingParts(HashMap<PartTag, TimeMs>);

impl LeavingParts {
    pub(super) fn contains(&self, part: impl FnOnce() -> PartTag, now_ms: TimeMs) -> bool {
        !self.0.is_empty()
            && self
                .0
                .get(&part())
                .is_some_and(|at_ms| now_ms.since(*at_ms) < ANNOUNCEMENT_EXPIRY_MS)
    }
}

impl HolderView {
    /// Records that the store's owner announced the eviction of parts. No fetch of them is planned from now on.
    pub fn mark_leaving(&mut self, parts: &[PartTag], now_ms: TimeMs) {
        let leaving = &mut self.leaving.0;
        leaving.retain(|_, at_ms| now_ms.since(*at_ms) < ANNOUNCEMENT_EXPIRY_MS);
        for part in parts {
            if leaving.len() < MAX_LEAVING_PARTS || leaving.contains_key(part) {
                leaving.insert(*part, now_ms);
            }
        }
    }

    /// Returns true if parts of the store are about to be freed, so that each save evicts another part.
    pub(crate) fn is_contended(&self, now_ms: TimeMs) -> bool {
        self.leaving.0.values().any(|at_ms| now_ms.since(*at_ms) < ANNOUNCEMENT_EXPIRY_MS)
    }

    /// The contents of the store as of a moment ago; none if they are not known completely.
    pub fn store_contents(&self, now_ms: TimeMs) -> Option<StoreContents<'_>> {
        let contents = self.fresh(now_ms).filter(|contents| !contents.has_gap)?;
        Some(StoreContents {
            epoch: contents.epoch,
            capacity_tokens: self.traits.capacity_tokens,
            used_tokens: self.used_tokens(contents, now_ms),
            parts: &contents.parts,
        })
    }

    /// The room that is taken or reserved, in tokens. The saves of this instance may be among the incomplete parts.
    fn used_tokens(&self, contents: &Contents, now_ms: TimeMs) -> u64 {
        let pending = self.pending_saves.room_tokens(now_ms);
        contents.used_tokens + contents.incomplete_tokens.max(pending)
    }

    /// Returns true if the store's owner is about to free the part.
    pub(crate) fn is_leaving(&self, key: &PartKey, now_ms: TimeMs) -> bool {
        self.leaving.contains(|| PartTag::new(key), now_ms)
    }

    /// The room that would be left in the store after a save of a part, beyond [`SPARE_TOKENS`]; none if there is not enough.
    fn room_after(&self, tokens: Tokens, now_ms: TimeMs) -> Option<u64> {
        let used = self.used_tokens(self.fresh(now_ms)?, now_ms);
        self.traits.capacity_tokens.checked_sub(used + footprint(tokens) + SPARE_TOKENS)
    }

    /// Returns true if the store has room for a part of this length.
    pub(crate) fn has_room(&self, tokens: Tokens, now_ms: TimeMs) -> bool {
        self.room_after(tokens, now_ms).is_some()
    }

    /// The weight of the store as the target of a save, by its room: lower if the room is short, or if another part has to
    /// be evicted.
    pub(crate) fn room_weight(&self, tokens: Tokens, now_ms: TimeMs) -> f64 {
        if self.is_contended(now_ms) {
            return SHORT_ROOM_WEIGHT;
        }
        let room = self.room_after(tokens, now_ms).unwrap_or(0) as f64;
        let ample = self.traits.capacity_tokens as f64 * AMPLE_ROOM_PERCENT / 100.0;
        (room / ample.max(1.0)).clamp(SHORT_ROOM_WEIGHT, 1.0)
    }

    /// Returns true if a save of the part is in progress.
    pub(crate) fn is_saving(&self, key: &PartKey, now_ms: TimeMs) -> bool {
        self.pending_saves.0.get(key).is_some_and(|save| now_ms < save.until_ms)
    }

    /// Records that a save of the part was requested.
    pub(crate) fn record_save(&mut self, key: PartKey, tokens: Tokens, now_ms: TimeMs) {
        let pending = &mut self.pending_saves.0;
        pending.retain(|_, save| now_ms < save.until_ms);
        pending.insert(key, PendingSave { tokens, until_ms: now_ms.after(PENDING_SAVE_MS) });
    }

    /// Records that the part of a save was prefilled, so that its transfer is next.
    pub fn record_save_transfer(&mut self, key: &PartKey, now_ms: TimeMs) {
        if let Some(save) = self.pending_saves.0.get_mut(key) {
            save.until_ms = now_ms.after(TRANSFER_MS);
        }
    }

    /// Records that the request that was to save the part ended before it did.
    pub fn cancel_save(&mut self, key: &PartKey) {
        self.pending_saves.remove(key);
    }

    /// Removes parts of the incarnation `epoch` that were freed in the store, since their events may never arrive.
    pub fn remove_freed(&mut self, epoch: u64, parts: &[PartKey]) {
        let Some(contents) = self.contents.as_mut().filter(|contents| contents.epoch == epoch)
        else {
            return;
        };
        for key in parts {
            let freed = contents.parts.remove(key).map_or(0, footprint);
            contents.used_tokens = contents.used_tokens.saturating_sub(freed);
        }
    }
}
