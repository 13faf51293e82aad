//! The uses of cached parts over all instances, as the owner of a store learns them.
//!
//! Every prompt counts one use of each of its shared parts. Each instance sends the counts since its last report to the
//! owner of the store that holds the part, or that it would be saved to. Counts decay, so that a part that is no longer used loses its value.
//!
//! A lost report makes the value of its parts lower. A duplicate is recognised by its number and not counted again.

use std::{collections::HashMap, net::SocketAddr};

use bilberryford_types::TimeMs;
use serde::{Deserialize, Serialize};

use crate::cache_index::PartTag;

/// The time in which a count falls by the factor e, in milliseconds: a few uses of a part that is used each 15 s.
const DECAY_MS: f64 = 60_000.0;
/// The age from which a count is an estimate, in milliseconds: one use of a new part does not make it a hot one.
const MIN_AGE_MS: f64 = 30_000.0;
/// The width of an estimate, in standard deviations of its count.
const DEVIATIONS: f64 = 1.5;
/// The most parts of a store whose uses are counted: several times those that a large store holds.
const MAX_TRACKED_PARTS: usize = 8_000;
/// How long a part without a use is remembered, in milliseconds: its count has decayed to nothing.
const MAX_UNUSED_MS: TimeMs = TimeMs(180_000);
/// The most senders whose report numbers are remembered.
const MAX_SENDERS: usize = 1_000;
/// The most parts of all stores with uses that are yet to be reported.
const MAX_PENDING_PARTS: usize = 8_000;
/// The most parts in one report, at six bytes each, or ten for a very high count, so that it fits into one datagram.
pub(crate) const MAX_REPORTED_USES: usize = 130;
/// The reports that may overtake each other and are still counted.
const REPORT_WINDOW: u64 = 64;

/// A report of uses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsesReport {
    /// A number that is new with each start of the sender.
    pub process_number: u64,
    /// The number of the report within the process.
    pub sequence: u64,
    /// The store that holds the parts, or that they would be saved to.
    pub store: SocketAddr,
    /// The uses of each part since the sender's last report.
    pub uses: Vec<(PartTag, u32)>,
}

/// The decayed uses of one part.
#[derive(Debug, Clone, Copy)]
struct PartUses {
    count: f64,
    first_ms: TimeMs,
    last_ms: TimeMs,
}

impl PartUses {
    fn decayed(&self, now_ms: TimeMs) -> f64 {
        self.count * (-(now_ms.since(self.last_ms).get() as f64) / DECAY_MS).exp()
    }

    fn estimate(&self, since_ms: TimeMs, now_ms: TimeMs) -> UseEstimate {
        UseEstimate::new(self.decayed(now_ms), since_ms.min(self.first_ms), now_ms)
    }
}

/// The expected uses of a part in the time `DECAY_MS`, from a count of random uses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UseEstimate {
    /// The expected uses.
    pub mean: f64,
    /// The uses that are exceeded with a probability of about 93%.
    pub low: f64,
    /// The uses that are exceeded with a probability of about 7%.
    pub high: f64,
}

impl UseEstimate {
    /// The estimate from a count of uses since `since_ms`.
    fn new(count: f64, since_ms: TimeMs, now_ms: TimeMs) -> Self {
        let counted_ms = (now_ms.since(since_ms).get() as f64).max(MIN_AGE_MS);
        // The share of a count over all time that falls into the time since then.
        let scale = 1.0 / (1.0 - (-counted_ms / DECAY_MS).exp());
        // A decayed count varies less than a plain count of the same size, so this is on the safe side.
        Self {
            mean: count * scale,
            low: (count - DEVIATIONS * count.sqrt()).max(0.0) * scale,
            high: (count + DEVIATIONS * (count + 1.0).sqrt()) * scale,
        }
    }
}

/// The report numbers of one sender that were seen.
#[derive(Debug, Clone, Copy)]
struct SeenReports {
    highest: u64,
    /// Bit `n` is set if the report `highest - n` was seen.
    bits: u64,
    last_ms: TimeMs,
}

impl SeenReports {
    /// Records a report number. Returns false if it was seen, or is too old to tell.
    fn record(&mut self, sequence: u64, now_ms: TimeMs) -> bool {
        self.last_ms = now_ms;
        if sequence > self.highest {
            let ahead = sequence - self.highest;
            self.bits = if ahead < REPORT_WINDOW { self.bits << ahead } else { 0 } | 1;
            self.highest = sequence;
            return true;
        }
        let behind = self.highest - sequence;
        let is_new = behind < REPORT_WINDOW && self.bits & (1 << behind) == 0;
        if is_new {
            self.bits |= 1 << behind;
        }
        is_new
    }
}

/// The uses of the parts of one store, and of those that would be saved to it, by their tags.
#[derive(Debug, Clone, Default)]
pub struct PartUsage {
    parts: HashMap<PartTag, PartUses>,
    senders: HashMap<u64, SeenReports>,
}

impl PartUsage {
    /// Counts uses of a part by prompts of this instance, or from a report.
    pub fn record(&mut self, part: PartTag, uses: u32, now_ms: TimeMs) {
        if self.parts.len() >= MAX_TRACKED_PARTS && !self.parts.contains_key(&part) {
            self.parts.retain(|_, uses| now_ms.since(uses.last_ms) < MAX_UNUSED_MS);
            if self.parts.len() >= MAX_TRACKED_PARTS {
                return;
            }
        }
        let known = self.parts.entry(part).or_insert(PartUses {
            count: 0.0,
            first_ms: now_ms,
            last_ms: now_ms,
        });
        known.count = known.decayed(now_ms) + f64::from(uses);
        known.last_ms = now_ms;
    }

    /// Counts the uses of a report. A duplicate is ignored.
    pub fn apply(&mut self, report: &UsesReport, now_ms: TimeMs) {
        if self.senders.len() >= MAX_SENDERS && !self.senders.contains_key(&report.process_number) {
            self.senders.retain(|_, seen| now_ms.since(seen.last_ms) < MAX_UNUSED_MS);
            if self.senders.len() >= MAX_SENDERS {
                return;
            }
        }
        let seen = self.senders.entry(report.process_number).or_insert(SeenReports {
            highest: 0,
            bits: 0,
            last_ms: now_ms,
        });
        if seen.record(report.sequence, now_ms) {
            report.uses.iter().for_each(|(part, uses)| self.record(*part, *uses, now_ms));
        }
    }

    /// The uses of a part whose uses have been counted since `since_ms`, or since its first known use.
    pub fn estimate(&self, part: PartTag, since_ms: TimeMs, now_ms: TimeMs) -> UseEstimate {
        self.parts.get(&part).map_or_else(
            || UseEstimate::new(0.0, since_ms, now_ms),
            |uses| uses.estimate(since_ms, now_ms),
        )
    }

    /// The parts with a use within the last `within_ms`, with their estimates.
    pub fn recently_used(
        &self,
        within_ms: TimeMs,
        now_ms: TimeMs,
    ) -> impl Iterator<Item = (PartTag, UseEstimate)> {
        let recent =
            self.parts.iter().filter(move |(_, uses)| now_ms.since(uses.last_ms) < within_ms);
        recent.map(move |(part, uses)| (*part, uses.estimate(now_ms, now_ms)))
    }

    /// The time of the last use of a part that is known here.
    pub fn last_used_ms(&self, part: PartTag) -> Option<TimeMs> {
        self.parts.get(&part).map(|uses| uses.last_ms)
    }
}

/// The uses of parts by prompts of this instance that are yet to be reported, by the store that holds the part.
#[derive(Debug, Clone, Default)]
pub struct PendingUses {
    by_store: HashMap<SocketAddr, HashMap<PartTag, u32>>,
    parts: usize,
}

impl PendingUses {
    /// Counts one use of a part that `store` holds or is to hold.
    pub fn add(&mut self, store: SocketAddr, part: PartTag) {
        if self.parts >= MAX_PENDING_PARTS {
            return;
        }
        let uses = self.by_store.entry(store).or_default().entry(part).or_insert_with(|| {
            self.parts += 1;
            0
        });
        *uses = uses.saturating_add(1);
    }

    /// Takes all counts, by store.
    pub fn take(&mut self) -> Vec<(SocketAddr, Vec<(PartTag, u32)>)> {
        self.parts = 0;
        let by_store = std::mem::take(&mut self.by_store).into_iter();
        by_store.map(|(store, uses)| (store, uses.into_iter().collect())).collect()
    }
}
