//! The table of streams and their origins, bounded in number and time.

use std::collections::{HashMap, VecDeque};

use bilberryford_types::TimeMs;
use serde::{Deserialize, Serialize};

use super::{StreamKey, StreamOrigin};

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

#[derive(Debug, Clone, Copy)]
struct Record {
    /// None if two origins were reported.
    origin: Option<StreamOrigin>,
    recorded_ms: TimeMs,
}

/// The streams that an instance knows.
#[derive(Debug, Clone, Default)]
pub struct StreamRecords {
    records: HashMap<StreamKey, Record>,
    /// The keys by the time of their records. A record that was renewed has a later entry as well.
    queue: VecDeque<(StreamKey, TimeMs)>,
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
        let known = self.records.get(&key);
        let origin = match known {
            Some(known) => known.origin.filter(|origin| Some(*origin) == reported),
            None => reported,
        };
        let is_recent = |known: &Record| {
            known.origin == origin && now_ms.since(known.recorded_ms) < MIN_RENEWAL_AGE_MS
        };
        if !known.is_some_and(is_recent) {
            self.records.insert(key, Record { origin, recorded_ms: now_ms });
            self.queue.push_back((key, now_ms));
        }
        while self.records.len() > MAX_STREAMS || self.queue.len() > 2 * MAX_STREAMS {
            self.forget_oldest();
        }
        self.knowledge(&key, now_ms)
    }

    /// Returns what is known of a stream.
    pub fn knowledge(&self, key: &StreamKey, now_ms: TimeMs) -> StreamKnowledge {
        let record = self.records.get(key);
        match record.filter(|record| now_ms.since(record.recorded_ms) < STREAM_RETENTION_MS) {
            None => StreamKnowledge::Unknown,
            Some(Record { origin: Some(origin), .. }) => StreamKnowledge::Known(*origin),
            Some(Record { origin: None, .. }) => StreamKnowledge::Contradictory,
        }
    }

    /// The age of a record; none if there is none.
    pub fn age_ms(&self, key: &StreamKey, now_ms: TimeMs) -> Option<TimeMs> {
        self.records.get(key).map(|record| now_ms.since(record.recorded_ms))
    }

    /// The number of streams that are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns true if no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Forgets the streams whose retention has ended.
    pub fn forget_expired(&mut self, now_ms: TimeMs) {
        let is_expired = |recorded_ms: TimeMs| now_ms.since(recorded_ms) >= STREAM_RETENTION_MS;
        while self.queue.front().is_some_and(|(_, recorded_ms)| is_expired(*recorded_ms)) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((key, recorded_ms)) = self.queue.pop_front() else { return };
        if self.records.get(&key).is_some_and(|record| record.recorded_ms == recorded_ms) {
            self.records.remove(&key);
        }
    }
}
