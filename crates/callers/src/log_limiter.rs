//! Limits how many log lines of a kind are written.

use bilberryford_types::TimeMs;

/// A limit on log lines for each second of a clock.
#[derive(Debug, Default)]
pub struct LogLimiter {
    second: u64,
    lines: u64,
    suppressed: u64,
}

impl LogLimiter {
    /// Takes a line from the limit, and returns the number of those that were suppressed before it; none if it is suppressed.
    pub fn take(&mut self, now_ms: TimeMs, limit: u64) -> Option<u64> {
        let second = now_ms.get() / 1_000;
        if self.second != second {
            self.second = second;
            self.lines = 0;
        }
        if self.lines >= limit {
            self.suppressed += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
