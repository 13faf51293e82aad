//! Admission control for prompts: admits a prompt, or refuses it at once with a retry-after time.
//!
//! It protects a pool that receives more prompts than it can process, for example when a third of its engines are
//! silent during a burst. Without a bound, queues grow until every request spends most of its deadline waiting, and
//! engines keep working for callers that have left, long after the burst. A prompt is therefore admitted only while its
//! first token is predicted to arrive soon enough to be useful. A refused prompt costs the pool nothing, and its caller
//! retries when the queue is shorter.

use bilberryford_types::TimeMs;

/// The latest useful first token, in percent of the target latency: slightly late is better than refused.
const MAX_TARGET_PERCENT: u64 = 150;
/// The share of the remaining time that the first token may take, in percent; the rest is for the response.
const MAX_REMAINING_PERCENT: u64 = 70;
/// A caller with less than this share of the route's timeout left is assumed to be retrying, in percent.
const RETRY_BELOW_PERCENT: u64 = 85;
/// An engine with fewer waiting tokens never refuses, so that no prompt is refused while the pool is idle.
const MIN_REFUSING_QUEUE_TOKENS: u64 = 4_000;
/// The shortest retry-after time, in milliseconds: a queue changes in less.
const MIN_RETRY_AFTER_MS: u64 = 100;
/// The longest retry-after time is the remaining time divided by this.
const RETRY_AFTER_DIVISOR: u64 = 3;

/// The prediction for a prompt after its placement.
#[derive(Debug, Clone, Copy)]
pub struct Forecast {
    /// The predicted time to the first token.
    pub first_token_ms: TimeMs,
    /// The tokens ahead of it in its engine's queue.
    pub waiting_tokens: u64,
    /// The time until the caller's deadline.
    pub left_ms: TimeMs,
    /// The longest deadline of the route.
    pub timeout_ms: TimeMs,
    /// The target latency of the first token.
    pub target_ms: TimeMs,
}

/// The admission decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The prompt is sent to its engine.
    Admitted,
    /// The prompt is refused; the caller may retry after this time.
    RetryAfter(TimeMs),
}

/// Decides whether a prompt is admitted.
pub fn admit(forecast: &Forecast) -> Admission {
    let left_ms = forecast.left_ms.get();
    let is_retry = left_ms * 100 < forecast.timeout_ms.get() * RETRY_BELOW_PERCENT;
    let max_of_left_ms = left_ms * MAX_REMAINING_PERCENT / 100;
    let limit_ms = if is_retry {
        // There is hardly time for a further retry, and a late first token is better than none.
        max_of_left_ms
    } else {
        max_of_left_ms.min(forecast.target_ms.get() * MAX_TARGET_PERCENT / 100)
    };
    let predicted_ms = forecast.first_token_ms.get();
    if predicted_ms <= limit_ms || forecast.waiting_tokens < MIN_REFUSING_QUEUE_TOKENS {
        return Admission::Admitted;
    }
    let longest_ms = (left_ms / RETRY_AFTER_DIVISOR).max(MIN_RETRY_AFTER_MS);
    Admission::RetryAfter(TimeMs((predicted_ms - limit_ms).clamp(MIN_RETRY_AFTER_MS, longest_ms)))
}
