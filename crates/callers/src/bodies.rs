//! Bounds the bytes of request bodies that an instance holds.
//!
//! Load pattern: dozens of callers on slow links upload bodies of megabytes at once to an instance with a hundred megabytes.
//! A body is held whole until its request ends, since the request may have to be sent again, and a process that passes its
//! memory ends with all requests on it. A body that finds no room is refused at once, before its bytes are read.
//!
//! # Invariant
//!
//! Large bodies take at most half of the room, so that they never keep small ones out.

use std::sync::Arc;

use bilberryford_types::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use parking_lot::Mutex;

use crate::budget::{ByteBudget, HeldBytes};

/// The part of the memory of an instance that bodies may take, as a divisor.
const MEMORY_DIVISOR: u64 = 4;
/// The part of the room that large bodies may take, as a divisor.
const LARGE_BODIES_DIVISOR: u64 = 2;
/// The size in bytes above which a body is large.
const LARGE_BODY_BYTES: u64 = 256 * 1024;

#[derive(Debug, Default)]
struct BodyBytes {
    all: u64,
    large: u64,
}

/// The room for the bodies of all requests of an instance, as a part of its budget of bytes.
#[derive(Debug)]
pub struct BodyRoom {
    budget: Arc<ByteBudget>,
    max_bytes: u64,
    max_large_bytes: u64,
    held: Mutex<BodyBytes>,
}

/// The room that one body takes until this is dropped.
#[derive(Debug)]
pub struct BodyReservation {
    room: Arc<BodyRoom>,
    bytes: u64,
    held: HeldBytes,
}

/// Why a body was not read.
#[derive(Debug, thiserror::Error)]
pub enum ReadBodyError {
    /// It is longer than a body may be.
    #[error("the body is longer than {max_bytes} bytes")]
    TooLong {
        /// The limit.
        max_bytes: u64,
    },
    /// The instance holds as many bytes of bodies as it may.
    #[error("no room for {bytes} bytes of a body")]
    NoRoom {
        /// The bytes for which there is no room.
        bytes: u64,
    },
    /// It ended early.
    #[error("the body ended early: {0}")]
    Cut(Box<dyn std::error::Error + Send + Sync>),
}

/// The bytes of a body of this size that count as those of a large one.
const fn large_part(bytes: u64) -> u64 {
    if bytes > LARGE_BODY_BYTES { bytes } else { 0 }
}

impl BodyRoom {
    /// Creates the room in an instance with this memory and budget.
    pub fn new(memory: Bytes, budget: Arc<ByteBudget>) -> Arc<Self> {
        let max_bytes = memory.get() / MEMORY_DIVISOR;
        let max_large_bytes = max_bytes / LARGE_BODIES_DIVISOR;
        Arc::new(Self { budget, max_bytes, max_large_bytes, held: Mutex::default() })
    }

    /// Takes room for a body of this size; none if there is too little.
    pub fn reserve(self: &Arc<Self>, bytes: u64) -> Option<BodyReservation> {
        let held = self.budget.take(0);
        let mut reservation = BodyReservation { room: self.clone(), bytes: 0, held };
        reservation.grow_to(bytes).then_some(reservation)
    }

    /// The bytes that are held.
    pub fn held_bytes(&self) -> u64 {
        self.held.lock().all
    }
}

impl BodyReservation {
    /// Takes room for a body that has grown to this size. Returns false if there is too little. A body that is alone
    /// always finds room, since its size has a limit of its own.
    fn grow_to(&mut self, bytes: u64) -> bool {
        let mut held = self.room.held.lock();
        let others =
            BodyBytes { all: held.all - self.bytes, large: held.large - large_part(self.bytes) };
        let fits = others.all == 0
            || others.all + bytes <= self.room.max_bytes
                && (large_part(bytes) == 0
                    || others.large == 0
                    || others.large + bytes <= self.room.max_large_bytes);
        let more_bytes = bytes.saturating_sub(self.bytes);
        if fits && (self.held.try_grow(more_bytes) || others.all == 0) {
            *held = BodyBytes { all: others.all + bytes, large: others.large + large_part(bytes) };
            self.bytes = bytes;
            return true;
        }
        false
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let mut held = self.room.held.lock();
        held.all -= self.bytes;
        held.large -= large_part(self.bytes);
    }
}

/// Reads a body of at most `max_bytes`, for which room is taken: at once if its length is known, and as it grows if not.
///
/// # Errors
///
/// [`ReadBodyError`] if it is too long, finds no room or ends early.
pub async fn read_body<B>(
    room: &Arc<BodyRoom>,
    mut body: B,
    max_bytes: u64,
) -> Result<(bytes::Bytes, BodyReservation), ReadBodyError>
where
    B: Body<Data = bytes::Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>> + Unpin,
{
    let known_bytes = body.size_hint().exact().unwrap_or(0);
    if known_bytes > max_bytes {
        return Err(ReadBodyError::TooLong { max_bytes });
    }
    let mut reservation =
        room.reserve(known_bytes).ok_or(ReadBodyError::NoRoom { bytes: known_bytes })?;
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| ReadBodyError::Cut(error.into()))?;
        let Ok(data) = frame.into_data() else { continue };
        let bytes = (read.len() + data.len()) as u64;
        if bytes > max_bytes {
            return Err(ReadBodyError::TooLong { max_bytes });
        }
        if bytes > reservation.bytes && !reservation.grow_to(bytes) {
            return Err(ReadBodyError::NoRoom { bytes });
        }
        if read.is_empty() && body.is_end_stream() {
            return Ok((data, reservation));
        }
        read.extend_from_slice(&data);
    }
    Ok((read.freeze(), reservation))
}

/// Reads and drops the body of a request that is refused, so that the start of the next request is known. Returns false if it is
/// longer than `max_bytes` or ends early.
pub async fn discard_body<B>(mut body: B, max_bytes: u64) -> bool
where
    B: Body<Data = bytes::Bytes> + Unpin,
{
    let mut left = max_bytes;
    while let Some(frame) = body.frame().await {
        let bytes = match frame.map(hyper::body::Frame::into_data) {
            Ok(Ok(data)) => data.len() as u64,
            Ok(Err(_)) => 0,
            Err(_) => return false,
        };
        match left.checked_sub(bytes) {
            Some(rest) => left = rest,
            None => return false,
        }
    }
    true
}
