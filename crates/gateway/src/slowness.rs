//! A moving average of how much slower than nominal an engine's first tokens arrive.
//!
//! Engines of one service differ in speed, and some become slow while their health checks still pass. Each time to
//! first token is compared with the nominal time for its work. The average of recent ratios moves placement away from a
//! slow engine in proportion until the engine is fast again.

use bilberryford_types::TimeMs;

/// The nominal prefill rate, in tokens per millisecond; only the ratio between engines matters.
const NOMINAL_TOKENS_PER_MS: f64 = 50.0;
/// The part of a time to first token that does not depend on the prompt, in milliseconds: a few steps and round trips.
const BASE_MS: f64 = 15.0;
/// The weight of the newest sample in the average.
const NEWEST_WEIGHT: f64 = 0.2;
/// The bounds of one sample, so that a single outlier does not decide.
const SAMPLE_RANGE: (f64, f64) = (0.4, 8.0);
/// How long the average is used after its last sample, in milliseconds: an engine without requests must be tried again.
const EXPIRY_MS: TimeMs = TimeMs(8_000);

/// The time to first token after `work_tokens` of prefill at nominal speed, in milliseconds.
pub(crate) fn nominal_ms(work_tokens: u64) -> f64 {
    BASE_MS + work_tokens as f64 / NOMINAL_TOKENS_PER_MS
}

/// The engine time of `work_tokens` of prefill at `percent` of the nominal time, at least one millisecond.
pub(crate) fn engine_ms(work_tokens: u64, percent: u32) -> TimeMs {
    let ms = work_tokens as f64 / NOMINAL_TOKENS_PER_MS * f64::from(percent) / 100.0;
    TimeMs((ms as u64).max(1))
}

/// The moving average of one engine or of one source of cached parts.
#[derive(Debug, Clone, Copy, Default)]
pub struct Slowness {
    mean: Option<f64>,
    sampled_ms: TimeMs,
}

impl Slowness {
    /// Records a first token that took `took_ms` after `work_tokens` of prefill, the queue's included.
    pub fn sample(&mut self, work_tokens: u64, took_ms: TimeMs, now_ms: TimeMs) {
        self.record_ratio(took_ms.get() as f64 / nominal_ms(work_tokens), now_ms);
    }

    /// Records an operation that took `ratio` times its nominal time.
    pub fn record_ratio(&mut self, ratio: f64, now_ms: TimeMs) {
        let (least, most) = SAMPLE_RANGE;
        let sample = ratio.clamp(least, most);
        let mean = self.mean.filter(|_| now_ms.since(self.sampled_ms) < EXPIRY_MS);
        self.mean = Some(mean.map_or(sample, |mean| mean + (sample - mean) * NEWEST_WEIGHT));
        self.sampled_ms = now_ms;
    }

    /// The average in percent of the nominal time; none without a recent sample.
    pub fn percent(&self, now_ms: TimeMs) -> Option<u32> {
        let mean = self.mean.filter(|_| now_ms.since(self.sampled_ms) < EXPIRY_MS)?;
        Some((mean * 100.0).round() as u32)
    }
}
