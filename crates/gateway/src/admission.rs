//! Admission control for prompts: admits a prompt, or refuses it at once with a retry-after time.
//!
//! It protects a pool that receives more prompts than it can process, for example when a third of its engines are
//! silent during a burst. Without a bound, queues grow until every request spends most of its deadline waiting, and
//! engines keep working for callers that have left, long after the burst. A prompt is therefore admitted only while its
//! first token is predicted to arrive soon enough to be useful. A refused prompt costs the pool nothing, and its caller
//! retries when the queue is shorter.
//!
//! In a contended pool, the limit depends on the standing of the prompt's share (see `docs/design/fair-shares.md`), and it
//! bounds the wait rather than the whole time to first token. The queue of a contended pool is always about as long as
//! the limit allows, so that a limit on the whole time would only ever admit the shortest prompts.

use bilberryford_coord::{ReturnState, Standing};
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
/// The latest first token of a new prompt whose share is within its part, in percent of the target latency; the rest of
/// the time up to the latest useful one is for those that come back.
const MAX_NEW_TARGET_PERCENT: u64 = 125;
/// The prompt's own work by which the wait is extended in a contended pool, in percent of the target latency; it is the
/// same for all prompts of a route.
const OWN_WORK_PERCENT: u64 = 50;
/// The least part of the pool's time that is assumed to be left to a rank, per thousand: more urgent ranks use less than
/// this leaves over, or the prediction is not better than this.
const MIN_RANK_PER_MILLE: u64 = 100;
/// The longest retry-after time is the remaining time divided by this.
const RETRY_AFTER_DIVISOR: u64 = 3;

/// The prediction for a prompt after its placement.
#[derive(Debug, Clone, Copy)]
pub struct Forecast {
    /// The predicted time to the first token.
    pub first_token_ms: TimeMs,
    /// The part of that time that is the prompt's own work.
    pub own_work_ms: TimeMs,
    /// The part of the pool's time that more urgent ranks leave to its rank, per thousand; only a contended pool uses it.
    pub rank_per_mille: u64,
    /// The tokens ahead of it in its engine's queue.
    pub waiting_tokens: u64,
    /// The time until the caller's deadline.
    pub left_ms: TimeMs,
    /// The longest deadline of the route.
    pub timeout_ms: TimeMs,
    /// The target latency of the first token.
    pub target_ms: TimeMs,
    /// True if the prompt goes on with a stream that its caller has a part of. Only the endpoints of one build can take it,
    /// so that their queue says little of the pool's, and a refusal costs what the caller has already.
    pub is_continuation: bool,
}

/// The admission decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The prompt is sent to its engine.
    Admitted,
    /// The prompt is refused; the caller may retry after this time.
    RetryAfter(TimeMs),
}

/// The place of a prompt in a contended pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Contention {
    /// The standing of its share.
    pub standing: Standing,
    /// Whether it comes back at a promised time.
    pub return_state: ReturnState,
}

impl Forecast {
    /// True if the prompt is late because of the queue ahead of it.
    pub fn is_late(&self) -> bool {
        let predicted_ms = self.wait_ms() + self.own_work_ms.get();
        predicted_ms > self.target_ms.get() && self.waiting_tokens >= MIN_REFUSING_QUEUE_TOKENS
    }

    /// The predicted wait. Requests of more urgent ranks that are yet to come overtake the prompt while it waits.
    fn wait_ms(&self) -> u64 {
        let queued_ms = self.first_token_ms.since(self.own_work_ms).get();
        queued_ms * 1_000 / self.rank_per_mille.clamp(MIN_RANK_PER_MILLE, 1_000)
    }

    /// The longest time after which a refused caller comes back.
    pub fn longest_return_ms(&self) -> TimeMs {
        TimeMs((self.left_ms.get() / RETRY_AFTER_DIVISOR).max(MIN_RETRY_AFTER_MS))
    }

    /// The latest first token that leaves time for the response.
    fn max_useful_ms(&self) -> u64 {
        self.left_ms.get() * MAX_REMAINING_PERCENT / 100
    }

    /// True if so much of the deadline has passed that there is hardly time for a further retry.
    fn is_retry(&self) -> bool {
        self.left_ms.get() * 100 < self.timeout_ms.get() * RETRY_BELOW_PERCENT
    }

    fn max_late_ms(&self) -> u64 {
        self.target_ms.get() * MAX_TARGET_PERCENT / 100
    }

    fn decide(&self, predicted_ms: u64, limit_ms: u64) -> Admission {
        if predicted_ms <= limit_ms || self.waiting_tokens < MIN_REFUSING_QUEUE_TOKENS {
            return Admission::Admitted;
        }
        let longest_ms = self.longest_return_ms().get();
        let after_ms = (predicted_ms - limit_ms).clamp(MIN_RETRY_AFTER_MS, longest_ms);
        Admission::RetryAfter(TimeMs(after_ms))
    }
}

/// Decides whether a prompt is admitted; `contention` is none unless its pool is contended.
pub fn admit(forecast: &Forecast, contention: Option<&Contention>) -> Admission {
    match contention {
        None => admit_uncontended(forecast),
        Some(contention) => admit_contended(forecast, contention),
    }
}

fn admit_uncontended(forecast: &Forecast) -> Admission {
    let max_useful_ms = forecast.max_useful_ms();
    // A late first token of a retry is better than none, and so is a late end of what the caller has a part of.
    let limit_ms = if forecast.is_retry() || forecast.is_continuation {
        max_useful_ms
    } else {
        max_useful_ms.min(forecast.max_late_ms())
    };
    forecast.decide(forecast.first_token_ms.get(), limit_ms)
}

fn admit_contended(forecast: &Forecast, contention: &Contention) -> Admission {
    let wait_ms = forecast.wait_ms();
    let max_useful_ms = forecast.max_useful_ms();
    let is_early = matches!(contention.return_state, ReturnState::Early { .. });
    let is_return = forecast.is_retry() && !is_early;
    let target_ms = forecast.target_ms.get();
    let limit_ms = match contention.standing {
        Standing::Under => None,
        Standing::Within if forecast.is_continuation => None,
        _ if contention.return_state == ReturnState::Due || forecast.is_continuation => {
            Some(forecast.max_late_ms())
        }
        Standing::Within if is_return => Some(forecast.max_late_ms()),
        Standing::Within => Some(target_ms * MAX_NEW_TARGET_PERCENT / 100),
        Standing::Over => Some(target_ms),
    };
    let useful = forecast.decide(wait_ms + forecast.own_work_ms.get(), max_useful_ms);
    let Some(limit_ms) = limit_ms else { return useful };
    let counted_ms = wait_ms + target_ms * OWN_WORK_PERCENT / 100;
    match forecast.decide(counted_ms, limit_ms.min(max_useful_ms)) {
        Admission::Admitted => useful,
        refused => refused,
    }
}
