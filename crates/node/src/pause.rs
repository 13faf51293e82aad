//! Detects that this process was paused, and delays decisions until peers have reported what it missed.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use bilberryford_types::TimeMs;
use tokio::time::sleep;

/// The longest time between two ticks of a process that was not paused, in milliseconds.
const PAUSE_MS: u64 = 1_500;
/// How long peers have to report what was missed, in milliseconds.
const SETTLE_MS: u64 = 1_000;

/// Detects pauses of this process by the time between ticks.
#[derive(Debug, Default)]
pub(crate) struct PauseDetector {
    last_tick_ms: AtomicU64,
    settled_at_ms: AtomicU64,
}

impl PauseDetector {
    /// Records that the process is running; called by a periodic task and by every request.
    pub(crate) fn tick(&self, now: TimeMs) {
        let last = TimeMs(self.last_tick_ms.fetch_max(now.get(), Ordering::AcqRel));
        if now.since(last) > TimeMs(PAUSE_MS) && last > TimeMs(0) {
            let settled_at = now.after(TimeMs(SETTLE_MS));
            self.settled_at_ms.fetch_max(settled_at.get(), Ordering::AcqRel);
        }
    }

    /// Waits until the settling time after the last pause is over, for `limit` at most.
    pub(crate) async fn wait_until_settled(&self, now: TimeMs, limit: TimeMs) {
        self.tick(now);
        let left = TimeMs(self.settled_at_ms.load(Ordering::Acquire)).since(now).min(limit);
        if left > TimeMs(0) {
            sleep(Duration::from_millis(left.get())).await;
        }
    }
}
