//! Detects that a process was paused, and decides when it may rely on its view of its peers again.
//!
//! A paused process (a stopped machine, a frozen virtual machine) misses what its peers report meanwhile, and continues
//! as if no time had passed.
//!
//! # Invariant
//!
//! After a pause the view is not settled before the peers were asked for what was missed.

use bilberryford_types::TimeMs;

/// The longest time between two ticks of a process that was not paused, in milliseconds. It is the deadline of one report to
/// a peer: within a shorter pause a peer can't have reported two events one after the other.
const PAUSE_MS: TimeMs = TimeMs(250);

/// Detects pauses of one process by the time between its ticks. Its clock starts with the process, at zero.
#[derive(Debug, Default)]
pub struct PauseDetector {
    last_tick: TimeMs,
    /// The time at which the last pause was noticed, until peers were asked for what was missed.
    unsettled_since: Option<TimeMs>,
}

impl PauseDetector {
    /// Records that the process runs at `now`. Returns true if it was paused before.
    pub fn tick(&mut self, now: TimeMs) -> bool {
        let was_paused = now.since(self.last_tick) > PAUSE_MS;
        self.last_tick = self.last_tick.max(now);
        if was_paused {
            self.unsettled_since = Some(now);
        }
        was_paused
    }

    /// Returns the time of a pause whose events were not requested from peers yet.
    pub const fn pause_to_catch_up(&self) -> Option<TimeMs> {
        self.unsettled_since
    }

    /// Records that peers were asked for what was missed in the pause that was noticed at `since`. A later pause
    /// remains to be caught up with.
    pub fn record_caught_up(&mut self, since: TimeMs) {
        self.unsettled_since.take_if(|noticed| *noticed == since);
    }

    /// Returns true if the view of the peers may be relied on at `now`.
    pub fn is_settled(&mut self, now: TimeMs) -> bool {
        self.tick(now);
        self.unsettled_since.is_none()
    }
}
