//! The gateway's clock, which is monotonic and includes the time that the machine was suspended.
//!
//! After a suspension, a process must not consider its lease or its view of the API keys as fresh as before.

use bilberryford_types::TimeMs;
use nix::time::{ClockId, clock_gettime};

/// Reads the time since the machine booted.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clock;

impl Clock {
    /// Returns the current time.
    pub fn now(self) -> TimeMs {
        // A clock that can't be read has to look as if everything had expired: keys and leases are no longer valid.
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(u64::MAX, |time| {
            let seconds = u64::try_from(time.tv_sec()).unwrap_or(0);
            let nanos = u64::try_from(time.tv_nsec()).unwrap_or(0);
            seconds * 1_000 + nanos / 1_000_000
        });
        TimeMs(time)
    }
}
