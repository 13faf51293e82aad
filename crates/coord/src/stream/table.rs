//! A table by stream, bounded in number and time.

use std::collections::{HashMap, VecDeque};

use bilberryford_types::TimeMs;

use super::{MAX_STREAMS, STREAM_RETENTION_MS, StreamKey};

#[derive(Debug, Clone)]
struct Entry<V> {
    value: V,
    inserted_ms: TimeMs,
}

/// At most [`MAX_STREAMS`] entries, each for [`STREAM_RETENTION_MS`]. The oldest one is forgotten for a new one.
#[derive(Debug, Clone)]
pub(super) struct StreamTable<V> {
    entries: HashMap<StreamKey, Entry<V>>,
    /// The keys by the time of their entries. An entry that was replaced has a later place as well.
    queue: VecDeque<(StreamKey, TimeMs)>,
}

impl<V> Default for StreamTable<V> {
    fn default() -> Self {
        Self { entries: HashMap::new(), queue: VecDeque::new() }
    }
}

impl<V> StreamTable<V> {
    /// Inserts an entry, or replaces the one of the stream.
    pub(super) fn insert(&mut self, key: StreamKey, value: V, now_ms: TimeMs) {
        self.entries.insert(key, Entry { value, inserted_ms: now_ms });
        self.queue.push_back((key, now_ms));
        while self.entries.len() > MAX_STREAMS || self.queue.len() > 2 * MAX_STREAMS {
            self.forget_oldest();
        }
    }

    /// The entry of a stream, unless its retention has ended.
    pub(super) fn get(&self, key: &StreamKey, now_ms: TimeMs) -> Option<&V> {
        let entry = self.entries.get(key)?;
        (now_ms.since(entry.inserted_ms) < STREAM_RETENTION_MS).then_some(&entry.value)
    }

    /// The entry of a stream, also after its retention.
    pub(super) fn get_mut(&mut self, key: &StreamKey) -> Option<&mut V> {
        self.entries.get_mut(key).map(|entry| &mut entry.value)
    }

    /// The age of an entry; none if there is none.
    pub(super) fn age_ms(&self, key: &StreamKey, now_ms: TimeMs) -> Option<TimeMs> {
        self.entries.get(key).map(|entry| now_ms.since(entry.inserted_ms))
    }

    pub(super) fn remove(&mut self, key: &StreamKey) {
        self.entries.remove(key);
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Forgets the entries whose retention has ended.
    pub(super) fn forget_expired(&mut self, now_ms: TimeMs) {
        let is_expired = |inserted_ms: TimeMs| now_ms.since(inserted_ms) >= STREAM_RETENTION_MS;
        while self.queue.front().is_some_and(|(_, inserted_ms)| is_expired(*inserted_ms)) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((key, inserted_ms)) = self.queue.pop_front() else { return };
        if self.entries.get(&key).is_some_and(|entry| entry.inserted_ms == inserted_ms) {
            self.entries.remove(&key);
        }
    }
}
