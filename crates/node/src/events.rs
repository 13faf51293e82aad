//! The instance's record of events, for the time line.
//!
//! Records are kept in a bounded ring for `/events` and written to the log. A record never holds a prompt, an answer
//! or a key.

use std::{
    collections::VecDeque,
    time::{SystemTime, UNIX_EPOCH},
};

use bilberryford_types::{
    Event, EventKind, HybridClock, HybridTime, Incarnation, InstanceId, TimeMs,
};
use parking_lot::Mutex;

/// How many records the ring keeps.
const RING_LIMIT: usize = 16_384;

/// The wall clock in milliseconds since the Unix epoch.
pub(crate) fn wall_ms() -> TimeMs {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    TimeMs(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

#[derive(Debug, Default)]
struct Ring {
    clock: HybridClock,
    records: VecDeque<Event>,
}

/// The ring and the clock.
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

    /// Writes a record of `kind`; `fill` sets what it concerns.
    pub(crate) fn write(&self, kind: EventKind, fill: impl FnOnce(&mut Event)) {
        let mut ring = self.ring.lock();
        let at = ring.clock.tick(wall_ms().get());
        let mut event = Event::new(at, self.instance.clone(), self.incarnation, kind);
        fill(&mut event);
        if log::log_enabled!(target: "event", log::Level::Info) {
            log::info!(target: "event", "{}", serde_json::to_string(&event).unwrap_or_default());
        }
        if ring.records.len() == RING_LIMIT {
            ring.records.pop_front();
        }
        ring.records.push_back(event);
    }

    /// The hybrid time to send with a message.
    pub(crate) fn now(&self) -> HybridTime {
        self.ring.lock().clock.tick(wall_ms().get())
    }

    /// Takes in the hybrid time of a received message.
    pub(crate) fn observe(&self, remote: HybridTime) {
        self.ring.lock().clock.observe(remote, wall_ms().get());
    }

    /// The records after `after`, oldest first, as JSON lines.
    pub(crate) fn json_lines(&self, after: HybridTime) -> String {
        let ring = self.ring.lock();
        ring.records
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
