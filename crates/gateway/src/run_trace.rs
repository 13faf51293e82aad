//! When this process last ran, so that what it missed in a suspension is dated before its end.
//!
//! A suspended process continues as if no time had passed: a change that the store sent meanwhile is read at the thaw. The
//! trace is written at a steady interval and keeps where the last suspension began.

use bilberryford_types::TimeMs;

/// The longest time between two records of a process that was not suspended, in milliseconds.
const MAX_GAP_MS: TimeMs = TimeMs(450);
/// The time after a suspension in which events that arrived meanwhile are still read, in milliseconds.
const CATCH_UP_MS: TimeMs = TimeMs(1_000);

/// The times at which this process ran.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunTrace {
    last_ms: TimeMs,
    /// The begin and the end of the last suspension, as far as it was noticed.
    suspension: Option<(TimeMs, TimeMs)>,
}

impl RunTrace {
    /// Records that the process runs at `now_ms`. To be called every 450 ms at least.
    pub fn record(&mut self, now_ms: TimeMs) {
        if self.last_ms != TimeMs(0) && now_ms.since(self.last_ms) > MAX_GAP_MS {
            let begin_ms = self.catching_up_since(now_ms).unwrap_or(self.last_ms);
            self.suspension = Some((begin_ms, now_ms));
        }
        self.last_ms = self.last_ms.max(now_ms);
    }

    /// Returns a time before which nothing happened that the process reads only at `now_ms`: the begin of a suspension that
    /// it still catches up with, or else `now_ms` itself.
    pub fn unread_since(&self, now_ms: TimeMs) -> TimeMs {
        // After a suspension, what arrived meanwhile may be read before the trace is written.
        let is_suspended = self.last_ms != TimeMs(0) && now_ms.since(self.last_ms) > MAX_GAP_MS;
        let last_ms = if is_suspended { self.last_ms } else { now_ms };
        self.catching_up_since(now_ms).unwrap_or(last_ms).min(now_ms)
    }

    /// The begin of a suspension that ended a moment ago.
    fn catching_up_since(&self, now_ms: TimeMs) -> Option<TimeMs> {
        let (begin_ms, end_ms) = self.suspension?;
        (now_ms.since(end_ms) < CATCH_UP_MS).then_some(begin_ms)
    }
}
