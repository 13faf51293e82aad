//! The clock by which everything here is timed: monotonic, and it counts the time that the machine was suspended.
//!
//! A suspended process must not believe that its lease, or its knowledge of keys, is as fresh as when it fell asleep.

use bilberryford_types::TimeMs;
use nix::time::{ClockId, clock_gettime};

/// Reads the time since the machine's start.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clock;

impl Clock {
    /// The time now.
    pub fn now(self) -> TimeMs {
        // The call can't fail for a clock that the kernel has; a zero would end every validity, the safe side.
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(0, |time| {
            let seconds = u64::try_from(time.tv_sec()).unwrap_or(0);
            let nanos = u64::try_from(time.tv_nsec()).unwrap_or(0);
            seconds * 1_000 + nanos / 1_000_000
        });
        TimeMs(time)
    }
}
