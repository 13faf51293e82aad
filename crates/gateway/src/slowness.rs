//! How much slower than usual an engine's first tokens come.
//!
//! The load pattern it answers: engines of one service differ in speed, and some turn slow while their health answers
//! stay good. Each first token is compared with what its work should have taken; the mean of recent ones steers
//! placement away in proportion, and falls back when the engine is fast again.

use bilberryford_types::TimeMs;

/// How fast an engine of usual speed reads, in tokens a millisecond; only the proportion between engines matters.
const USUAL_TOKENS_PER_MS: f64 = 50.0;
/// What a first token takes beside the reading, in milliseconds: a few steps and round trips.
const BASE_MS: f64 = 15.0;
/// The weight of the newest sample.
const NEWEST: f64 = 0.2;
/// The range of one sample, so that one odd request does not decide.
const SAMPLE_RANGE: (f64, f64) = (0.4, 8.0);
/// How long samples are used, in milliseconds: an engine that gets no requests has to be tried again.
const USED_FOR_MS: TimeMs = TimeMs(8_000);

/// How long the first token behind `work_tokens` takes at usual speed.
pub(crate) fn nominal_ms(work_tokens: u64) -> f64 {
    BASE_MS + work_tokens as f64 / USUAL_TOKENS_PER_MS
}

/// The mean of one engine.
#[derive(Debug, Clone, Copy, Default)]
pub struct Slowness {
    mean: Option<f64>,
    sampled_ms: TimeMs,
}

impl Slowness {
    /// A first token came after `took_ms`, with `work_tokens` to be read before it, the queue's included.
    pub fn sample(&mut self, work_tokens: u64, took_ms: TimeMs, now_ms: TimeMs) {
        self.record_ratio(took_ms.get() as f64 / nominal_ms(work_tokens), now_ms);
    }

    /// Something took `ratio` times as long as usual.
    pub fn record_ratio(&mut self, ratio: f64, now_ms: TimeMs) {
        let (least, most) = SAMPLE_RANGE;
        let sample = ratio.clamp(least, most);
        let mean = self.mean.filter(|_| now_ms.since(self.sampled_ms) < USED_FOR_MS);
        self.mean = Some(mean.map_or(sample, |mean| mean + (sample - mean) * NEWEST));
        self.sampled_ms = now_ms;
    }

    /// The mean in hundredths; none without a recent sample.
    pub fn percent(&self, now_ms: TimeMs) -> Option<u32> {
        let mean = self.mean.filter(|_| now_ms.since(self.sampled_ms) < USED_FOR_MS)?;
        Some((mean * 100.0).round() as u32)
    }
}
