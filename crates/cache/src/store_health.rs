//! Health of a store, as seen by the calls of one instance.
//!
//! Load pattern: a burst of prompts, or a busy machine, delays single look-ups beyond their deadline. One late reply is
//! no evidence that the store is gone, and to skip the store for seconds costs every prompt its stored blocks. A
//! refused connection is evidence, since nothing listens there.

use bilberryford_types::TimeMs;

/// Number of consecutive calls without a reply after which a store counts as down.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// How long a store that is down is not called, in milliseconds.
const DOWN_MS: TimeMs = TimeMs(2_000);

/// How a call of a store failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFailure {
    /// No connection could be established.
    Unreachable,
    /// No usable reply arrived within the deadline.
    NoReply,
}

/// A circuit breaker for one store.
///
/// When the time of a store that is down has passed, it is called again; the next failure makes it count as down again
/// immediately, a reply makes it healthy.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreHealth {
    consecutive_failures: u32,
    down_until: Option<TimeMs>,
}

impl StoreHealth {
    /// Returns true if the store should not be called at `now`.
    pub fn is_down(&self, now: TimeMs) -> bool {
        self.down_until.is_some_and(|until| now < until)
    }

    /// Records a reply of the store.
    pub fn record_reply(&mut self) {
        *self = Self::default();
    }

    /// Records a failed call. Returns true if the store counted as up before and counts as down now.
    pub fn record_failure(&mut self, failure: StoreFailure, now: TimeMs) -> bool {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let is_condemned = failure == StoreFailure::Unreachable
            || self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES;
        if !is_condemned {
            return false;
        }
        let was_up = !self.is_down(now);
        self.consecutive_failures = self.consecutive_failures.max(MAX_CONSECUTIVE_FAILURES);
        self.down_until = Some(now.after(DOWN_MS));
        was_up
    }
}
