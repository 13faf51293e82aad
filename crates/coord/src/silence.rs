//! Detects that a stream of tokens has stalled.
//!
//! A connection can stop delivering for good while new connections still work. The detector judges by progress alone:
//! it averages the stream's own gap between tokens and allows a multiple of it, between a floor and a ceiling. Before
//! the first token there is no gap to learn from, so the timeout is derived from the expected prefill time. See
//! `docs/design/answers.md`.

use bilberryford_types::{TimeMs, Tokens};

/// The timeout between tokens, in mean token gaps.
const GAP_MULTIPLE: u64 = 8;
/// Lower bound of the timeout between tokens, in milliseconds.
const MIN_TIMEOUT_MS: u64 = 300;
/// Upper bound of the timeout between tokens, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 2_000;
/// Time allowed before the first token in addition to the prefill, in milliseconds.
const FIRST_TOKEN_BASE_MS: u64 = 1_000;
/// Upper bound of the wait for a first token on one connection, in milliseconds.
const MAX_FIRST_TOKEN_MS: u64 = 15_000;
/// The assumed prefill speed, in tokens per millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 2;
/// The newest gap contributes one part in this many to the moving average.
const GAP_SMOOTHING: u64 = 8;
/// Gaps are averaged in fractions of a millisecond: this many units are one millisecond.
const GAP_SCALE: u64 = 1_024;

/// Stall detection for one stream, across its connections.
#[derive(Debug, Clone)]
pub struct StallDetector {
    last_progress: TimeMs,
    gap_scaled: Option<u64>,
    has_received: bool,
    first_token_timeout_ms: u64,
    reconnects: u32,
}

impl StallDetector {
    /// Creates a detector for a stream that was requested at `now` with a prompt of `prompt_tokens`.
    pub fn new(now: TimeMs, prompt_tokens: Tokens) -> Self {
        let prefill_ms = u64::from(prompt_tokens.get()) / PREFILL_TOKENS_PER_MS;
        let first_token_timeout_ms = (FIRST_TOKEN_BASE_MS + prefill_ms).min(MAX_FIRST_TOKEN_MS);
        Self {
            last_progress: now,
            gap_scaled: None,
            has_received: false,
            first_token_timeout_ms,
            reconnects: 0,
        }
    }

    /// Records that a token arrived.
    pub fn record_token(&mut self, now: TimeMs) {
        let gap = now.since(self.last_progress).get().saturating_mul(GAP_SCALE);
        if self.has_received && self.reconnects == 0 {
            self.gap_scaled = Some(match self.gap_scaled {
                None => gap,
                Some(mean) => mean - mean / GAP_SMOOTHING + gap / GAP_SMOOTHING,
            });
        }
        self.has_received = true;
        self.reconnects = 0;
        self.last_progress = now;
    }

    /// Records a new connection. Each reconnect without a token in between doubles the timeout.
    pub fn record_reconnect(&mut self, now: TimeMs) {
        self.reconnects = self.reconnects.saturating_add(1);
        self.last_progress = now;
    }

    /// How long the stream may go without a token before it counts as stalled.
    pub fn timeout(&self) -> TimeMs {
        let (timeout_ms, max_ms) = if self.has_received {
            let gap_ms = self.gap_scaled.unwrap_or(0) / GAP_SCALE;
            ((gap_ms * GAP_MULTIPLE).clamp(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS), MAX_TIMEOUT_MS)
        } else {
            (self.first_token_timeout_ms, MAX_FIRST_TOKEN_MS)
        };
        TimeMs(timeout_ms.saturating_mul(1 << self.reconnects.min(8)).min(max_ms))
    }

    /// The time left until the stream counts as stalled; zero if it does already.
    pub fn remaining(&self, now: TimeMs) -> TimeMs {
        self.last_progress.after(self.timeout()).since(now)
    }
}
