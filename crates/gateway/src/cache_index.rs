//! The prompt parts that stores and engines hold, as reported by their events.
//!
//! More shared parts are in use than fit into the memory of the engines. The plan of a request's parts
//! ([`crate::plan_parts`]) needs to know where they are and how far behind each holder's link is.
//!
//! An engine accepts few event subscribers, and an instance has little time for many subscriptions. In a large fleet a
//! few instances subscribe to each engine and send compact reports to all others, without a delivery guarantee: a part
//! that is wrongly assumed at an engine costs a prefill, as does every part that is not known at all.
//!
//! # Invariant
//!
//! A store is assumed to hold only parts that its events, received within [`STORE_FRESH_MS`], report as complete, and never
//! more tokens than they report. When a holder restarts, all its parts are dropped.

mod room;

use std::{collections::HashMap, net::SocketAddr};

use bilberryford_types::{BytesPerSec, DataCentreId, TimeMs, Tokens};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use self::room::{LeavingParts, PendingSaves};
pub(crate) use self::room::{SPARE_TOKENS, footprint};
use crate::{
    part_plan::TargetEngine,
    peer_loads::EndpointTag,
    slowness::Slowness,
    translation::{CacheChanges, CacheSnapshot, PartKey},
};

/// How long the reports of an engine are used, in milliseconds: slightly longer than one long poll for events.
const ENGINE_FRESH_MS: TimeMs = TimeMs(1_600);
/// How long the reports of a store are used, in milliseconds: three polls or forwarded messages may be lost. Parts leave a
/// store only after an announcement, and a fetch of one that is gone is a miss, so old contents are better than none.
const STORE_FRESH_MS: TimeMs = TimeMs(4_000);
/// How long a part is expected at an engine after a prompt was sent there, in milliseconds: a usual queue and a report.
const EXPECTED_MS: TimeMs = TimeMs(3_000);
/// How long a peer's report of an engine's part is used, in milliseconds: the report of its eviction may get lost.
const REPORTED_MS: TimeMs = TimeMs(60_000);
/// The most reported parts of one engine that are retained: more than fit into its memory.
const MAX_REPORTED_PARTS: usize = 4_096;
/// The allocation unit of stores, in tokens.
const BLOCK_TOKENS: u64 = 16;
/// The transfer time between data centres, as a multiple of the time within one.
const REMOTE_TRANSFER_FACTOR: f64 = 2.0;

/// The kind of a holder of cached parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderKind {
    /// A store, which engines save to.
    Store,
    /// An engine's own memory.
    Engine,
}

/// The configured or listed properties of a holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderTraits {
    /// Its kind.
    pub kind: HolderKind,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre, if known.
    pub data_centre: Option<DataCentreId>,
    /// Its capacity, in tokens.
    pub capacity_tokens: u64,
    /// The bandwidth of its link.
    pub link: BytesPerSec,
    /// The latency of a transfer's first byte.
    pub first_byte_ms: TimeMs,
    /// The most callers that may wait for its events at once.
    pub max_subscribers: u32,
    /// The incarnation of an engine; none for a store.
    pub incarnation: Option<EndpointTag>,
}

/// A compact identifier of a part, for messages.
///
/// Two parts may share a tag: reports only influence placement, and engines check the parts that they use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PartTag(u32);

impl std::fmt::Display for PartTag {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl PartTag {
    /// The tag of a part.
    pub fn new(key: &PartKey) -> Self {
        let hash = xxh3_64_with_seed(key.id.as_bytes(), xxh3_64(key.scope.as_bytes()));
        // The low half of the hash is as uniform as all of it.
        Self(hash as u32)
    }
}

/// A change of one part in an engine's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartUpdate {
    /// The engine has this many tokens of the part.
    Has(u32),
    /// The engine will have this many tokens of the part after the prefill of a prompt that was sent to it.
    Expected(u32),
    /// The engine evicted the part.
    Gone,
}

/// A report of one part in an engine's memory, from a peer or for a prompt of this instance.
pub type PartReport = (PartTag, PartUpdate);

/// The state of a part at a holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Holding {
    /// This many complete tokens, which can be fetched.
    Complete(Tokens),
    /// An earlier prompt will prefill these tokens; only later prompts at the same engine can use them.
    Expected(Tokens),
}

/// The parts of a holder, from its snapshots and events.
#[derive(Debug, Clone, Default)]
struct Contents {
    epoch: u64,
    cursor: u64,
    parts: HashMap<PartKey, Tokens>,
    /// The room that the complete parts take.
    used_tokens: u64,
    /// The room that parts take that were being written at the last snapshot and were not completed since.
    incomplete_tokens: u64,
    updated_ms: TimeMs,
    /// True if changes that peers forwarded were lost. Parts that were added in the gap are missing here, and a fetch
    /// of one that was removed is a miss; still, every listed part was complete at some time in this incarnation.
    has_gap: bool,
}

/// The load on a holder's link.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct HolderLoad {
    /// The tokens in transfer from it to engines.
    pub fetching_tokens: u64,
    /// The duration of its transfers in percent of the nominal time; none without a sample.
    pub slowness_percent: Option<u32>,
}

/// The view of one holder and its parts.
#[derive(Debug, Clone)]
pub struct HolderView {
    traits: HolderTraits,
    is_subscribed: bool,
    local_load: HolderLoad,
    slowness: Slowness,
    peer_load: HolderLoad,
    contents: Option<Contents>,
    /// The parts that an engine is expected to prefill and, without a subscription to it, those in peer reports.
    reported: HashMap<PartTag, (Holding, TimeMs)>,
    pending_saves: PendingSaves,
    /// The parts that the owner of a store is about to free.
    leaving: LeavingParts,
}

/// The view of the holder at `address`.
pub(crate) fn holder_at(
    holders: &mut [HolderView],
    address: SocketAddr,
) -> Option<&mut HolderView> {
    holders.iter_mut().find(|holder| holder.address() == address)
}

fn is_current(holding: Holding, at_ms: TimeMs, now_ms: TimeMs) -> bool {
    let retention_ms = match holding {
        Holding::Complete(_) => REPORTED_MS,
        Holding::Expected(_) => EXPECTED_MS,
    };
    now_ms.since(at_ms) < retention_ms
}

impl HolderView {
    /// An empty view; `is_subscribed` states that this instance receives the holder's events itself.
    pub fn new(traits: HolderTraits, is_subscribed: bool) -> Self {
        Self {
            traits,
            is_subscribed,
            local_load: HolderLoad::default(),
            slowness: Slowness::default(),
            peer_load: HolderLoad::default(),
            contents: None,
            reported: HashMap::new(),
            pending_saves: PendingSaves::default(),
            leaving: LeavingParts::default(),
        }
    }

    /// Returns true if this instance receives the holder's events directly, not through peers.
    pub const fn is_subscribed(&self) -> bool {
        self.is_subscribed
    }

    /// Sets whether this instance receives the holder's events directly from now on. The known contents stay in use.
    pub const fn set_subscribed(&mut self, is_subscribed: bool) {
        self.is_subscribed = is_subscribed;
    }

    /// The address of the holder.
    pub const fn address(&self) -> SocketAddr {
        self.traits.address
    }

    /// The properties of the holder.
    pub const fn traits(&self) -> &HolderTraits {
        &self.traits
    }

    /// The cursor from which to read changes; none if a snapshot is needed.
    pub fn cursor(&self) -> Option<u64> {
        self.contents.as_ref().map(|contents| contents.cursor)
    }

    /// Returns true if nothing is known of the holder's contents.
    pub const fn is_unknown(&self) -> bool {
        self.contents.is_none()
    }

    /// Returns true if a snapshot is to be requested.
    pub fn needs_snapshot(&self) -> bool {
        self.contents.as_ref().is_none_or(|contents| contents.has_gap)
    }

    /// Drops all contents after the holder failed to respond; nothing is fetched from it until its next update.
    pub fn invalidate(&mut self) {
        self.contents = None;
        self.pending_saves = PendingSaves::default();
    }

    /// Replaces the contents with a snapshot that was requested at `requested_ms`.
    pub fn apply_snapshot(&mut self, snapshot: CacheSnapshot, requested_ms: TimeMs) {
        let used_tokens = snapshot.parts.iter().map(|(_, tokens)| footprint(*tokens)).sum();
        self.contents = Some(Contents {
            epoch: snapshot.epoch,
            cursor: snapshot.next,
            parts: snapshot.parts.into_iter().collect(),
            used_tokens,
            incomplete_tokens: snapshot.incomplete_tokens,
            updated_ms: requested_ms,
            has_gap: false,
        });
    }

    /// Applies changes that were received at `received_ms`. For an empty view they must start with the holder's first
    /// event unless they state a gap.
    pub fn apply_changes(&mut self, changes: CacheChanges, received_ms: TimeMs) {
        let is_other_incarnation =
            self.contents.as_ref().is_some_and(|contents| contents.epoch != changes.epoch);
        if changes.has_gap || is_other_incarnation {
            return self.invalidate();
        }
        let contents = self
            .contents
            .get_or_insert_with(|| Contents { epoch: changes.epoch, ..Contents::default() });
        for change in changes.changes {
            self.pending_saves.remove(&change.key);
            let previous = match change.tokens {
                Some(tokens) => contents.parts.insert(change.key, tokens),
                None => contents.parts.remove(&change.key),
            };
            if previous.is_none() {
                let completed = change.tokens.map_or(0, footprint);
                contents.incomplete_tokens = contents.incomplete_tokens.saturating_sub(completed);
            }
            contents.used_tokens = (contents.used_tokens + change.tokens.map_or(0, footprint))
                .saturating_sub(previous.map_or(0, footprint));
        }
        contents.cursor = changes.next;
        contents.updated_ms = received_ms;
    }

    /// Applies changes that a peer forwarded; after a gap the known contents are used until the next snapshot.
    pub fn apply_peer_changes(&mut self, since: u64, changes: CacheChanges, received_ms: TimeMs) {
        let current = self.contents.as_ref().map(|contents| (contents.epoch, contents.cursor));
        match current {
            None if since == 0 => self.apply_changes(changes, received_ms),
            // A faster peer already forwarded these changes.
            Some((epoch, cursor)) if epoch == changes.epoch && changes.next < cursor => {}
            Some((epoch, cursor)) if epoch == changes.epoch && changes.next == cursor => {
                self.touch(received_ms);
            }
            // Peers poll at different times, so changes may overlap; they are the same and in the same order.
            Some((epoch, cursor)) if epoch == changes.epoch => {
                self.apply_changes(changes, received_ms);
                if let Some(contents) = self.contents.as_mut().filter(|_| since > cursor) {
                    contents.has_gap = true;
                }
            }
            _ => self.invalidate(),
        }
    }

    /// Applies reports of an engine's parts, from a peer or for a prompt of this instance.
    pub fn apply_part_reports(&mut self, reports: &[PartReport], received_ms: TimeMs) {
        if self.reported.len() >= MAX_REPORTED_PARTS {
            self.reported.retain(|_, (holding, at_ms)| is_current(*holding, *at_ms, received_ms));
        }
        for (part, update) in reports {
            match update {
                PartUpdate::Gone => {
                    self.reported.remove(part);
                }
                PartUpdate::Has(tokens) => {
                    self.record_report(*part, Holding::Complete(Tokens(*tokens)), received_ms);
                }
                PartUpdate::Expected(tokens) => {
                    let known = self.reported.get(part);
                    let is_complete = known.is_some_and(|(holding, at_ms)| {
                        matches!(holding, Holding::Complete(_))
                            && is_current(*holding, *at_ms, received_ms)
                    });
                    if !is_complete {
                        self.record_report(*part, Holding::Expected(Tokens(*tokens)), received_ms);
                    }
                }
            }
        }
    }

    fn record_report(&mut self, part: PartTag, holding: Holding, received_ms: TimeMs) {
        if self.reported.len() < MAX_REPORTED_PARTS {
            self.reported.insert(part, (holding, received_ms));
        }
    }

    /// Confirms the contents without a change.
    fn touch(&mut self, received_ms: TimeMs) {
        if let Some(contents) = self.contents.as_mut() {
            contents.updated_ms = received_ms;
        }
    }

    /// Returns true if the complete contents are known as of a moment ago.
    pub(crate) fn is_known(&self, now_ms: TimeMs) -> bool {
        self.fresh(now_ms).is_some_and(|contents| !contents.has_gap)
    }

    fn fresh(&self, now_ms: TimeMs) -> Option<&Contents> {
        let fresh_ms = match self.traits.kind {
            HolderKind::Store => STORE_FRESH_MS,
            HolderKind::Engine => ENGINE_FRESH_MS,
        };
        self.contents.as_ref().filter(|contents| now_ms.since(contents.updated_ms) < fresh_ms)
    }

    /// The complete tokens of a part; none if the holder does not have it.
    pub fn complete_tokens(&self, key: &PartKey, now_ms: TimeMs) -> Option<Tokens> {
        match self.holding(key, now_ms)? {
            Holding::Complete(tokens) => Some(tokens),
            Holding::Expected(_) => None,
        }
    }

    /// The state of a part at the holder; none if the holder neither has nor expects it.
    pub(crate) fn holding(&self, key: &PartKey, now_ms: TimeMs) -> Option<Holding> {
        let complete = self.fresh(now_ms).and_then(|contents| contents.parts.get(key).copied());
        if complete.is_some() && self.is_leaving(key, now_ms) {
            return None;
        }
        if complete.is_some() || self.reported.is_empty() {
            return complete.map(Holding::Complete);
        }
        let (holding, at_ms) = *self.reported.get(&PartTag::new(key))?;
        // With a subscription, the engine's own events replace reports of complete parts.
        let is_usable = !self.is_subscribed || matches!(holding, Holding::Expected(_));
        (is_usable && is_current(holding, at_ms, now_ms)).then_some(holding)
    }

    /// The parts whose scope is not in use, with the holder's epoch; none if there are no such parts.
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

    /// Counts a fetch of `tokens` by a request of this instance.
    pub fn begin_fetch(&mut self, tokens: u64) {
        self.local_load.fetching_tokens += tokens;
    }

    /// Ends a fetch that [`Self::begin_fetch`] counted.
    pub fn end_fetch(&mut self, tokens: u64) {
        self.local_load.fetching_tokens = self.local_load.fetching_tokens.saturating_sub(tokens);
    }

    /// Records a fetch that took `took_ms`, with a duration of `nominal_ms` at nominal speed.
    pub fn record_transfer(&mut self, nominal_ms: f64, took_ms: f64, now_ms: TimeMs) {
        self.slowness.record_ratio(took_ms / nominal_ms.max(1.0), now_ms);
        self.local_load.slowness_percent = self.slowness.percent(now_ms);
    }

    /// The load by this instance, for reports to peers.
    pub fn local_load(&mut self, now_ms: TimeMs) -> HolderLoad {
        self.local_load.slowness_percent = self.slowness.percent(now_ms);
        self.local_load
    }

    /// Sets the load by the other instances.
    pub fn set_peer_load(&mut self, load: HolderLoad) {
        self.peer_load = load;
    }

    /// The duration of transfers as a multiple of the nominal time, averaged over this instance and its peers.
    pub(crate) fn slowness(&self) -> f64 {
        let percent = match (self.local_load.slowness_percent, self.peer_load.slowness_percent) {
            (Some(local), Some(peer)) => (local + peer) / 2,
            (local, peer) => local.or(peer).unwrap_or(100),
        };
        f64::from(percent) / 100.0
    }

    /// The predicted time of a transfer of `tokens` to `engine`, queued behind the transfers in progress.
    pub(crate) fn transfer_ms(&self, tokens: Tokens, engine: &TargetEngine<'_>) -> f64 {
        let is_remote = self.traits.data_centre.is_none()
            || self.traits.data_centre.as_ref() != engine.data_centre;
        let factor = if is_remote { REMOTE_TRANSFER_FACTOR } else { 1.0 };
        let per_token_ms =
            engine.token_bytes.get() as f64 * 1_000.0 / (self.traits.link.get() as f64).max(1.0);
        let queued_ms = (self.local_load.fetching_tokens + self.peer_load.fetching_tokens) as f64
            * per_token_ms;
        let transfer_ms = f64::from(tokens.get()) * per_token_ms * factor;
        (self.traits.first_byte_ms.get() as f64 + queued_ms + transfer_ms) * self.slowness()
    }
}
