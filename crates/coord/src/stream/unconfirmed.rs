//! Streams of which the endpoint has not confirmed its build yet.

use std::collections::{HashMap, VecDeque, hash_map::Entry};

use bilberryford_types::TimeMs;
use serde::{Deserialize, Serialize};

use super::{MAX_STREAMS, STREAM_RETENTION_MS, StreamKey, StreamOrigin};

/// Where a stream began if its endpoint is the incarnation `I` that its entry describes.
///
/// A later report of that incarnation's start confirms the origin: an endpoint ends only once, and the incarnation was listed
/// before the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnconfirmedOrigin<I> {
    /// The origin by the entry of the endpoint.
    pub origin: StreamOrigin,
    /// The incarnation in that entry.
    pub incarnation: I,
}

#[derive(Debug, Clone, Copy)]
struct Unconfirmed<I> {
    origin: UnconfirmedOrigin<I>,
    /// True once the endpoint has named another start, so that the origin will never be confirmed.
    is_refuted: bool,
    inserted_ms: TimeMs,
}

/// The streams whose origin awaits the word of an endpoint, bounded in number and time like
/// [`StreamRecords`](super::StreamRecords).
#[derive(Debug, Clone)]
pub struct UnconfirmedStreams<I> {
    streams: HashMap<StreamKey, Unconfirmed<I>>,
    queue: VecDeque<(StreamKey, TimeMs)>,
}

impl<I> Default for UnconfirmedStreams<I> {
    fn default() -> Self {
        Self { streams: HashMap::new(), queue: VecDeque::new() }
    }
}

impl<I: Copy> UnconfirmedStreams<I> {
    /// Adds a stream. The first origin that is named stays: another one is reported by whoever confirms it.
    pub fn insert(&mut self, key: StreamKey, origin: UnconfirmedOrigin<I>, now_ms: TimeMs) {
        let is_expired = |at_ms: TimeMs| now_ms.since(at_ms) >= STREAM_RETENTION_MS;
        while self.queue.len() >= MAX_STREAMS
            || self.queue.front().is_some_and(|(_, at_ms)| is_expired(*at_ms))
        {
            self.forget_oldest();
        }
        if let Entry::Vacant(vacant) = self.streams.entry(key) {
            vacant.insert(Unconfirmed { origin, is_refuted: false, inserted_ms: now_ms });
            self.queue.push_back((key, now_ms));
        }
    }

    /// The origin that awaits confirmation.
    pub fn get(&self, key: &StreamKey, now_ms: TimeMs) -> Option<UnconfirmedOrigin<I>> {
        let stream = self.streams.get(key)?;
        let is_retained = now_ms.since(stream.inserted_ms) < STREAM_RETENTION_MS;
        (is_retained && !stream.is_refuted).then_some(stream.origin)
    }

    /// Records that the endpoint has named another start: the stream stays unknown, whoever still names the origin.
    pub fn refute(&mut self, key: &StreamKey) {
        if let Some(stream) = self.streams.get_mut(key) {
            stream.is_refuted = true;
        }
    }

    /// True if the origin that was named is refuted.
    pub fn is_refuted(&self, key: &StreamKey) -> bool {
        self.streams.get(key).is_some_and(|stream| stream.is_refuted)
    }

    /// Removes a stream whose origin is confirmed.
    pub fn remove(&mut self, key: &StreamKey) {
        self.streams.remove(key);
    }

    /// The number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// True if no stream awaits confirmation.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn forget_oldest(&mut self) {
        let Some((key, inserted_ms)) = self.queue.pop_front() else { return };
        if self.streams.get(&key).is_some_and(|stream| stream.inserted_ms == inserted_ms) {
            self.streams.remove(&key);
        }
    }
}
