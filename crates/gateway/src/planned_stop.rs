//! Decides which requests an instance still sends to endpoints once its planned stop has begun.
//!
//! Load pattern: callers of kept connections send requests until they notice the stop. Those whose deadline lies after the
//! end of the stop may be cut by it, and a complete refusal sends their caller to another instance in a round trip.

use bilberryford_types::TimeMs;

/// How long after its start a stopping instance still begins requests that may outlast it, in milliseconds. The load balancer has
/// taken the instance out by then, so that later requests come from kept connections.
pub(crate) const LONG_REQUESTS_MS: TimeMs = TimeMs(2_000);

/// A planned stop that has begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedStop {
    began_ms: TimeMs,
    refuses_long_from_ms: TimeMs,
    due_ms: TimeMs,
}

impl PlannedStop {
    /// A stop that begins at `now_ms`, and gives up responses that are not ready in `due_in_ms`.
    pub fn new(now_ms: TimeMs, due_in_ms: TimeMs) -> Self {
        Self {
            began_ms: now_ms,
            refuses_long_from_ms: now_ms.after(LONG_REQUESTS_MS),
            due_ms: now_ms.after(due_in_ms),
        }
    }

    /// The time since it began.
    pub fn age_ms(&self, now_ms: TimeMs) -> TimeMs {
        now_ms.since(self.began_ms)
    }

    /// True if a request with this deadline may be sent to an endpoint at `now_ms`.
    pub fn allows(&self, deadline_ms: TimeMs, now_ms: TimeMs) -> bool {
        now_ms < self.refuses_long_from_ms || deadline_ms <= self.due_ms
    }
}
