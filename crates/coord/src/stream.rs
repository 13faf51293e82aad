//! Where a stream of events began, so that it goes on only at endpoints of the same build.
//!
//! Endpoints of two builds may serve one service side by side, and what one build has begun only that build can continue.
//! The caller names the attempt that brought its first event, and may come to any instance: the one that passed the
//! event on may be dead, cut off or restarted. That instance therefore reports the origin to a few others before the
//! event leaves ([`ranked_keepers`]), and an instance that does not know a stream asks them ([`StreamInquiry`]).
//!
//! Load pattern: an endpoint and a third of the instances crash in the middle of a roll-out, and within 100 ms dozens of
//! callers take their streams up at the instances that are left. See `docs/design/streams.md`.
//!
//! # Invariant
//!
//! A record never changes: a stream that is said to have begun at two origins is [`StreamKnowledge::Contradictory`] until it
//! is forgotten. A lost, late or repeated message therefore costs a refusal at worst.

mod builds;
mod inquiry;
mod keepers;
mod records;
mod table;
mod unconfirmed;

use bilberryford_types::{Build, PoolName};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

pub use builds::covers_connection;
pub use inquiry::{InquiryStep, OpenInquiry, StreamInquiry, displaced_inquiry};
pub use keepers::{StreamKeeper, live_first, ranked_keepers};
pub use records::{MAX_STREAMS, STREAM_RETENTION_MS, StreamKnowledge, StreamRecords};
pub use unconfirmed::{UnconfirmedOrigin, UnconfirmedStreams};

/// The length of a key, in bytes: enough that callers can't find two names with one key.
const KEY_BYTES: usize = 16;

/// The identity of a stream: the team that began it and the caller's id for the attempt that brought its first event.
///
/// Another team that names the same id asks for another stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamKey([u8; KEY_BYTES]);

impl StreamKey {
    /// The key of the stream that attempt `first_request_id` of `team` began; `team` is empty where requests have none.
    pub fn new(team: &str, first_request_id: &str) -> Self {
        let mut hash = blake3::Hasher::new();
        hash.update(&(team.len() as u64).to_le_bytes());
        hash.update(team.as_bytes());
        hash.update(first_request_id.as_bytes());
        let mut key = [0; KEY_BYTES];
        hash.finalize_xof().fill(&mut key);
        Self(key)
    }

    /// The bytes by which instances agree on the keepers of the stream.
    pub const fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl std::fmt::Display for StreamKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// One build of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamOrigin(u64);

impl StreamOrigin {
    /// The origin of streams that endpoints of `service` with `build` begin.
    pub fn new(service: &PoolName, build: &Build) -> Self {
        let mut hash = Xxh3::new();
        hash.update(&(service.as_str().len() as u64).to_le_bytes());
        hash.update(service.as_str().as_bytes());
        hash.update(build.as_str().as_bytes());
        Self(hash.digest())
    }
}

impl std::fmt::Display for StreamOrigin {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
