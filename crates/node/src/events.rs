//! The instance's event log, for the time line.
//!
//! Events are kept in a bounded ring for `/events` and written to the log. An event never contains a prompt, a response
//! or a key.

use std::{
    collections::VecDeque,
    time::{SystemTime, UNIX_EPOCH},
};

use bilberryford_types::{
    Event, EventKind, HybridClock, HybridTime, Incarnation, InstanceId, TimeMs,
};
use parking_lot::Mutex;

/// Maximum number of events in the ring.
const RING_LIMIT: usize = 16_384;

/// Returns the time of the wall clock, in milliseconds since the Unix epoch.
pub(crate) fn wall_ms() -> TimeMs {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    TimeMs(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

#[derive(Debug, Default)]
struct Ring {
    clock: HybridClock,
    events: VecDeque<Event>,
}

/// The ring of events, and the hybrid clock that orders them.
#[derive(Debug)]
pub(crate) struct EventLog {
    instance: InstanceId,
    incarnation: Incarnation,
    ring: Mutex<Ring>,
}

impl EventLog {
    pub(crate) fn new(instance: InstanceId, incarnation: Incarnation) -> Self {
        Self { instance, incarnation, ring: Mutex::default() }
    }

    /// Writes an event of `kind`; `fill` sets its other fields.
    pub(crate) fn write(&self, kind: EventKind, fill: impl FnOnce(&mut Event)) {
        let mut ring = self.ring.lock();
        let at = ring.clock.tick(wall_ms().get());
        let mut event = Event::new(at, self.instance.clone(), self.incarnation, kind);
        fill(&mut event);
        if log::log_enabled!(target: "event", log::Level::Info) {
            log::info!(target: "event", "{}", serde_json::to_string(&event).unwrap_or_default());
        }
        if ring.events.len() == RING_LIMIT {
            ring.events.pop_front();
        }
        ring.events.push_back(event);
    }

    /// Advances the clock and returns the hybrid time to send with a message.
    pub(crate) fn now(&self) -> HybridTime {
        self.ring.lock().clock.tick(wall_ms().get())
    }

    /// Advances the clock beyond the hybrid time of a received message.
    pub(crate) fn observe(&self, remote: HybridTime) {
        self.ring.lock().clock.observe(remote, wall_ms().get());
    }

    /// Returns the events after `after`, oldest first, as JSON lines.
    pub(crate) fn json_lines(&self, after: HybridTime) -> String {
        let ring = self.ring.lock();
        ring.events
            .iter()
            .filter(|event| event.at > after)
            .filter_map(|event| serde_json::to_string(event).ok())
            .fold(String::new(), |mut lines, line| {
                lines.push_str(&line);
                lines.push('\n');
                lines
            })
    }
}
