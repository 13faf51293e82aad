//! When a stream counts as silent.
//!
//! A connection can go silent for good while new ones work. The detector judges by progress alone: it learns the
//! stream's own token gap and allows a multiple of it, between a floor and a ceiling. Before the first token there is
//! no gap to learn from, and the bound comes from the prefill that is expected. See `docs/design/answers.md`.

use bilberryford_types::{TimeMs, Tokens};

/// How many token gaps may pass without a token.
const GAP_MULTIPLE: u64 = 8;
/// The shortest silence that is acted on, in milliseconds.
const FLOOR_MS: u64 = 300;
/// The longest silence between tokens that is waited out, in milliseconds.
const CEILING_MS: u64 = 2_000;
/// What is allowed before the first token beside the prefill, in milliseconds.
const FIRST_FLOOR_MS: u64 = 1_000;
/// The longest wait for a first token on one connection, in milliseconds.
const FIRST_CEILING_MS: u64 = 15_000;
/// The prefill speed that is assumed, in tokens a millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 2;
/// The weight of the newest gap in the mean is one over this number.
const GAP_SMOOTHING: u64 = 8;
/// Gaps are kept in units of a millisecond over this number.
const GAP_SCALE: u64 = 1_024;

/// Judges one stream.
#[derive(Debug, Clone)]
pub struct StallDetector {
    last: TimeMs,
    gap_scaled: Option<u64>,
    has_token: bool,
    first_bound_ms: u64,
    probes: u32,
}

impl StallDetector {
    /// A detector for a stream that was asked for at `now`, of a prompt of `prompt_tokens`.
    pub fn new(now: TimeMs, prompt_tokens: Tokens) -> Self {
        let prefill_ms = u64::from(prompt_tokens.get()) / PREFILL_TOKENS_PER_MS;
        let first_bound_ms = (FIRST_FLOOR_MS + prefill_ms).min(FIRST_CEILING_MS);
        Self { last: now, gap_scaled: None, has_token: false, first_bound_ms, probes: 0 }
    }

    /// Takes note of a token.
    pub fn record_token(&mut self, now: TimeMs) {
        let gap = now.since(self.last).get().saturating_mul(GAP_SCALE);
        if self.has_token && self.probes == 0 {
            self.gap_scaled = Some(match self.gap_scaled {
                None => gap,
                Some(mean) => mean - mean / GAP_SMOOTHING + gap / GAP_SMOOTHING,
            });
        }
        self.has_token = true;
        self.probes = 0;
        self.last = now;
    }

    /// Takes note of a new connection; without progress in between, the next one is waited for longer.
    pub fn record_reconnect(&mut self, now: TimeMs) {
        self.probes = self.probes.saturating_add(1);
        self.last = now;
    }

    /// How long the stream may go without a token.
    pub fn timeout(&self) -> TimeMs {
        let (bound_ms, ceiling_ms) = if self.has_token {
            let gap_ms = self.gap_scaled.unwrap_or(0) / GAP_SCALE;
            ((gap_ms * GAP_MULTIPLE).clamp(FLOOR_MS, CEILING_MS), CEILING_MS)
        } else {
            (self.first_bound_ms, FIRST_CEILING_MS)
        };
        TimeMs(bound_ms.saturating_mul(1 << self.probes.min(8)).min(ceiling_ms))
    }

    /// What is left until the stream counts as silent; zero when it does.
    pub fn remaining(&self, now: TimeMs) -> TimeMs {
        self.last.after(self.timeout()).since(now)
    }
}
