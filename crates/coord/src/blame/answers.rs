//! How often features were answered lately.

use std::collections::HashMap;

use bilberryford_types::TimeMs;

use super::Feature;

/// The span of one generation of counts, in milliseconds. Counts reach back one to two spans.
const SPAN_MS: TimeMs = TimeMs(10_000);
/// The most features in a generation. A full one ends early, so that callers who make up parts shorten the memory and
/// can't keep out a part that is answered often.
const MAX_FEATURES: usize = 8_192;

/// Counts of answers in two generations, in bounded memory.
#[derive(Debug, Clone, Default)]
pub(super) struct RecentAnswers {
    current: HashMap<Feature, u32>,
    previous: HashMap<Feature, u32>,
    started_ms: TimeMs,
}

impl RecentAnswers {
    fn rotate(&mut self, now_ms: TimeMs) {
        let age_ms = now_ms.since(self.started_ms);
        if age_ms >= SPAN_MS || self.current.len() >= MAX_FEATURES {
            self.previous = std::mem::take(&mut self.current);
            self.started_ms = now_ms;
        }
        if age_ms >= SPAN_MS.after(SPAN_MS) {
            self.previous.clear();
        }
    }

    pub(super) fn add(&mut self, feature: Feature, now_ms: TimeMs) {
        self.rotate(now_ms);
        *self.current.entry(feature).or_default() += 1;
    }

    /// The answers on `feature` in the last one to two spans.
    pub(super) fn count(&mut self, feature: Feature, now_ms: TimeMs) -> u32 {
        self.rotate(now_ms);
        let in_generation =
            |counts: &HashMap<Feature, u32>| counts.get(&feature).copied().unwrap_or(0);
        in_generation(&self.current) + in_generation(&self.previous)
    }
}
