//! A bound on the requests that are sent to a second endpoint, over all instances together.
//!
//! When a pool fails, every instance retries every request on the rest of it. Each instance therefore sends at most a
//! share of its own first attempts in the window as retries, so the sum over all instances stays below that share of
//! all first attempts without coordination. A small floor, taken from the deployment's slack, lets an instance with
//! little traffic retry at all.

use std::collections::VecDeque;

use bilberryford_types::TimeMs;

/// A numerator and a denominator.
type Fraction = (u64, u64);

/// The fraction of the allowed ratio that is used; the rest covers observers whose windows start at other times.
const USED_RATIO_FRACTION: Fraction = (3, 4);
/// The fraction of the slack that is divided among the instances.
const USED_SLACK_FRACTION: Fraction = (3, 4);
/// The fraction of the slack in the first window of a process, and of ratio and slack while the window has grown beyond what is
/// remembered: with what may have been used in the part that is not known, it is no more than the whole.
const INCOMPLETE_FRACTION: Fraction = (1, 4);
/// The buckets of a window. A bucket is kept until its last attempt is as old as the window.
const BUCKETS: u64 = 10;

/// The retries that the deployment allows.
#[derive(Debug, Clone, Copy)]
pub struct RetryLimits {
    /// Retries per thousand first attempts.
    pub ratio_per_mille: u64,
    /// The length of the window.
    pub window_ms: TimeMs,
    /// Retries per window that are allowed regardless of the traffic, over all instances.
    pub slack: u64,
    /// The number of instances that share the slack; none while this one does not know the others.
    pub instances: Option<u64>,
    /// The time since the start of this process, which does not know what the one before it retried.
    pub uptime_ms: TimeMs,
}

impl RetryLimits {
    fn bucket_ms(&self) -> TimeMs {
        TimeMs(self.window_ms.get().div_ceil(BUCKETS).max(1))
    }

    /// The begin of the bucket of `now_ms`.
    fn begin_ms(&self, now_ms: TimeMs) -> TimeMs {
        TimeMs(now_ms.get() - now_ms.get() % self.bucket_ms().get())
    }

    /// The time up to which attempts are forgotten at `now_ms`.
    fn forgotten_to_ms(&self, now_ms: TimeMs) -> TimeMs {
        self.begin_ms(now_ms).since(TimeMs(self.bucket_ms().get() * BUCKETS))
    }
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    end_ms: TimeMs,
    first_attempts: u64,
    retries: u64,
}

/// The retry budget of one service at one instance.
///
/// Buckets keep the time at which they end, since the window may change while they are held.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    buckets: VecDeque<Bucket>,
    /// The time from which this process knows all attempts.
    complete_from_ms: TimeMs,
}

impl RetryBudget {
    /// Forgets what lies before the window, and returns the bucket of `now_ms`.
    fn bucket(&mut self, limits: &RetryLimits, now_ms: TimeMs) -> &mut Bucket {
        let forgotten_to_ms = limits.forgotten_to_ms(now_ms);
        let is_over = |bucket: &mut Bucket| bucket.end_ms <= forgotten_to_ms;
        while let Some(bucket) = self.buckets.pop_front_if(is_over) {
            self.complete_from_ms = bucket.end_ms;
        }
        if self.buckets.back().is_none_or(|bucket| bucket.end_ms <= now_ms) {
            let end_ms = limits.begin_ms(now_ms).after(limits.bucket_ms());
            self.buckets.push_back(Bucket { end_ms, first_attempts: 0, retries: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// The fractions of ratio and slack that may be used now.
    fn used_fractions(&self, limits: &RetryLimits, now_ms: TimeMs) -> (Fraction, Fraction) {
        if self.complete_from_ms > limits.forgotten_to_ms(now_ms) {
            (INCOMPLETE_FRACTION, INCOMPLETE_FRACTION)
        } else if limits.uptime_ms < limits.window_ms {
            (USED_RATIO_FRACTION, INCOMPLETE_FRACTION)
        } else {
            (USED_RATIO_FRACTION, USED_SLACK_FRACTION)
        }
    }

    /// Counts the first attempt of a request.
    pub fn record_first_attempt(&mut self, limits: &RetryLimits, now_ms: TimeMs) {
        self.bucket(limits, now_ms).first_attempts += 1;
    }

    /// Takes one retry and returns true, or returns false if the budget is used up.
    pub fn try_take(&mut self, limits: &RetryLimits, now_ms: TimeMs) -> bool {
        self.bucket(limits, now_ms);
        let first_attempts: u64 = self.buckets.iter().map(|bucket| bucket.first_attempts).sum();
        let retries: u64 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let (used_ratio, used_slack) = self.used_fractions(limits, now_ms);
        let (numerator, denominator) = used_ratio;
        let proportional =
            first_attempts * limits.ratio_per_mille * numerator / (denominator * 1_000);
        let (numerator, denominator) = used_slack;
        let part = |instances: u64| limits.slack * numerator / (denominator * instances.max(1));
        let floor = limits.instances.map_or(0, part);
        let is_allowed = retries < proportional + floor;
        if is_allowed {
            self.bucket(limits, now_ms).retries += 1;
        }
        is_allowed
    }
}
