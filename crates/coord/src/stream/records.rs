//! The table of streams and their origins, bounded in number and time.

use bilberryford_types::TimeMs;
use serde::{Deserialize, Serialize};

use super::{StreamKey, StreamOrigin, table::StreamTable};

/// The most streams that are remembered. The oldest one is forgotten for a new one, and is then refused.
pub const MAX_STREAMS: usize = 16_384;
/// How long a stream is remembered after it began or went on, in milliseconds: the longest time that a caller waits.
pub const STREAM_RETENTION_MS: TimeMs = TimeMs(60_000);
/// The least age at which a repeated record is remembered anew, in milliseconds, so that repeats do not fill the queue.
const MIN_RENEWAL_AGE_MS: TimeMs = TimeMs(1_000);

/// What is known of the origin of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StreamKnowledge {
    /// Nothing.
    Unknown,
    /// It began at this origin.
    Known(StreamOrigin),
    /// Two origins were reported, so that it must not go on.
    Contradictory,
}

/// The streams that an instance knows: the origin of each, or none if two were reported.
#[derive(Debug, Clone, Default)]
pub struct StreamRecords {
    records: StreamTable<Option<StreamOrigin>>,
}

impl StreamRecords {
    /// Records that the stream began, or goes on, at `origin`. Returns what is known of it now.
    pub fn record(
        &mut self,
        key: StreamKey,
        origin: StreamOrigin,
        now_ms: TimeMs,
    ) -> StreamKnowledge {
        self.apply(key, StreamKnowledge::Known(origin), now_ms)
    }

    /// Adds what a peer knows of a stream. Returns what is known of it now.
    pub fn apply(
        &mut self,
        key: StreamKey,
        knowledge: StreamKnowledge,
        now_ms: TimeMs,
    ) -> StreamKnowledge {
        self.forget_expired(now_ms);
        let reported = match knowledge {
            StreamKnowledge::Unknown => return self.knowledge(&key, now_ms),
            StreamKnowledge::Known(origin) => Some(origin),
            StreamKnowledge::Contradictory => None,
        };
        let known = self.records.get(&key, now_ms).copied();
        let origin = match known {
            Some(known) => known.filter(|origin| Some(*origin) == reported),
            None => reported,
        };
        let age_ms = self.records.age_ms(&key, now_ms);
        let is_recent = age_ms.is_some_and(|age_ms| age_ms < MIN_RENEWAL_AGE_MS);
        if known != Some(origin) || !is_recent {
            self.records.insert(key, origin, now_ms);
        }
        self.knowledge(&key, now_ms)
    }

    /// Returns what is known of a stream.
    pub fn knowledge(&self, key: &StreamKey, now_ms: TimeMs) -> StreamKnowledge {
        match self.records.get(key, now_ms) {
            None => StreamKnowledge::Unknown,
            Some(Some(origin)) => StreamKnowledge::Known(*origin),
            Some(None) => StreamKnowledge::Contradictory,
        }
    }

    /// The age of a record; none if there is none.
    pub fn age_ms(&self, key: &StreamKey, now_ms: TimeMs) -> Option<TimeMs> {
        self.records.age_ms(key, now_ms)
    }

    /// The number of streams that are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns true if no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Forgets the streams whose retention has ended.
    pub fn forget_expired(&mut self, now_ms: TimeMs) {
        self.records.forget_expired(now_ms);
    }
}
