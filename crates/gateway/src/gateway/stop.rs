//! The planned stop of the instance.

use bilberryford_types::TimeMs;

use super::Gateway;
use crate::planned_stop::PlannedStop;

impl Gateway {
    /// Begins a planned stop, in which responses that are not ready in `due_in_ms` are given up. A later call changes nothing.
    pub(crate) fn stop(&self, due_in_ms: TimeMs) {
        self.planned_stop.get_or_init(|| PlannedStop::new(self.clock.now(), due_in_ms));
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.planned_stop.get().is_some()
    }

    /// The time since a planned stop began; none before one.
    pub(crate) fn stop_age_ms(&self) -> Option<TimeMs> {
        self.planned_stop.get().map(|stop| stop.age_ms(self.clock.now()))
    }

    /// True if a request with this deadline must not be sent to an endpoint any more, since the stop may cut it. A request waits
    /// for its body, for a connection and for earlier attempts, so that this is asked again wherever one is about to be sent.
    pub(crate) fn stops_before(&self, deadline_ms: TimeMs) -> bool {
        let now_ms = self.clock.now();
        self.planned_stop.get().is_some_and(|stop| !stop.allows(deadline_ms, now_ms))
    }

    /// True once responses that are not ready are given up, since the process exits.
    pub(crate) fn is_stop_due(&self) -> bool {
        self.stop_stages.ending.is_cancelled()
    }
}
