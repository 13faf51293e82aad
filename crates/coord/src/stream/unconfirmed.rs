//! Streams of which the endpoint has not confirmed its build yet.

use bilberryford_types::TimeMs;
use serde::{Deserialize, Serialize};

use super::{StreamKey, StreamOrigin, table::StreamTable};

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
}

/// The streams whose origin awaits the word of an endpoint, bounded in number and time like
/// [`StreamRecords`](super::StreamRecords).
#[derive(Debug, Clone)]
pub struct UnconfirmedStreams<I> {
    streams: StreamTable<Unconfirmed<I>>,
}

impl<I> Default for UnconfirmedStreams<I> {
    fn default() -> Self {
        Self { streams: StreamTable::default() }
    }
}

impl<I: Copy> UnconfirmedStreams<I> {
    /// Adds a stream. The first origin that is named stays: another one is reported by whoever confirms it.
    pub fn insert(&mut self, key: StreamKey, origin: UnconfirmedOrigin<I>, now_ms: TimeMs) {
        self.streams.forget_expired(now_ms);
        if self.streams.get(&key, now_ms).is_none() {
            self.streams.insert(key, Unconfirmed { origin, is_refuted: false }, now_ms);
        }
    }

    /// The origin that awaits confirmation.
    pub fn get(&self, key: &StreamKey, now_ms: TimeMs) -> Option<UnconfirmedOrigin<I>> {
        let stream = self.streams.get(key, now_ms)?;
        (!stream.is_refuted).then_some(stream.origin)
    }

    /// Records that the endpoint has named another start: the stream stays unknown, whoever still names the origin.
    pub fn refute(&mut self, key: &StreamKey) {
        if let Some(stream) = self.streams.get_mut(key) {
            stream.is_refuted = true;
        }
    }

    /// True if the origin that was named is refuted.
    pub fn is_refuted(&self, key: &StreamKey, now_ms: TimeMs) -> bool {
        self.streams.get(key, now_ms).is_some_and(|stream| stream.is_refuted)
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
        self.len() == 0
    }
}
