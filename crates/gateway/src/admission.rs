//! Admits a prompt, or refuses it at once with the time to come back.
//!
//! The load pattern it answers: more prompts than a pool can read, as when a third of it is dark under a burst. Without a
//! bound, queues grow until every request waits for most of its time and engines work for callers who have left, long
//! after the burst is over. A prompt is admitted while its first token is predicted soon enough to be of use; what is
//! refused costs the pool nothing, and its caller comes back when the queue is shorter.

use bilberryford_types::TimeMs;

/// How many target latencies a first token may take, in hundredths: a little late is better than refused.
const LATE_PERCENT: u64 = 150;
/// The part of the time left that a first token may take, in hundredths, so that the answer still fits.
const OF_LEFT_PERCENT: u64 = 70;
/// A caller with less than this part of the route's time left has been here before, in hundredths.
const RETURNING_PERCENT: u64 = 85;
/// The least tokens that wait at an engine that refuses, so that no prompt is refused while the pool is idle.
const LEAST_WAITING_TOKENS: u64 = 4_000;
/// The shortest time to come back, in milliseconds: a queue moves in less.
const SHORTEST_RETURN_MS: u64 = 100;
/// The longest part of the time left after which a caller is told to come back, as a divisor.
const RETURN_DIVISOR: u64 = 3;

/// What is known when a prompt has been placed.
#[derive(Debug, Clone, Copy)]
pub struct Forecast {
    /// When its first token is predicted.
    pub first_token_ms: TimeMs,
    /// The tokens that wait before it at its engine.
    pub waiting_tokens: u64,
    /// How long its caller waits.
    pub left_ms: TimeMs,
    /// The longest that callers of its route wait.
    pub timeout_ms: TimeMs,
    /// The time within which a first token is on time.
    pub target_ms: TimeMs,
}

/// The decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Send it.
    Admitted,
    /// Refuse it; the caller may come back after this time.
    RetryAfter(TimeMs),
}

/// Decides about a prompt.
pub fn admit(forecast: &Forecast) -> Admission {
    let left_ms = forecast.left_ms.get();
    let is_returning = left_ms * 100 < forecast.timeout_ms.get() * RETURNING_PERCENT;
    let of_left_ms = left_ms * OF_LEFT_PERCENT / 100;
    let limit_ms = if is_returning {
        // There is no other chance for it: late is better than never.
        of_left_ms
    } else {
        of_left_ms.min(forecast.target_ms.get() * LATE_PERCENT / 100)
    };
    let predicted_ms = forecast.first_token_ms.get();
    if predicted_ms <= limit_ms || forecast.waiting_tokens < LEAST_WAITING_TOKENS {
        return Admission::Admitted;
    }
    let longest_ms = (left_ms / RETURN_DIVISOR).max(SHORTEST_RETURN_MS);
    Admission::RetryAfter(TimeMs((predicted_ms - limit_ms).clamp(SHORTEST_RETURN_MS, longest_ms)))
}
