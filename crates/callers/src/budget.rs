//! Bounds the bytes that an instance holds of all messages together.
//!
//! Load pattern: an endpoint sends a response without end to hundreds of callers, or callers leave large responses unread. Each
//! response is bounded, and their sum is not; a process that passes its memory ends with all requests on it.
//!
//! Responses read ahead less as they fill their part of the budget. The body of a request that finds no room is refused: it was
//! not run, while the work of a response that ends early is lost. Only when the budget is full and responses hold more than half
//! of it, the one that holds most is ended: its connection is closed, and its endpoint is left out for a while.
//!
//! # Invariants
//!
//! - What holds nothing is never kept from reading, since only what is read can be passed on.
//! - No response is ended for other messages while responses leave them half of the budget. One that is ended holds more than an
//!   equal share of the other half.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::Waker,
};

use bilberryford_types::Bytes;
use parking_lot::Mutex;
use tokio::task::AbortHandle;

/// The part of the memory of an instance that messages may take, as a divisor. The rest is for its state, and for copies that
/// are not counted.
const MEMORY_DIVISOR: u64 = 3;
/// The part of the budget up to which responses read ahead, as a divisor.
const READ_AHEAD_DIVISOR: u64 = 4;
/// The part of the budget beyond which responses may be ended, as a divisor. Between the two, each holds little: the least
/// that it may, or a head.
const RESPONSES_DIVISOR: u64 = 2;
/// The part of the bytes that are free which one response may hold, as a divisor.
const SHARE_DIVISOR: u64 = 8;
/// What a response may hold however full the budget is: less than one buffer.
const MIN_READ_AHEAD_BYTES: u64 = 4 * 1024;
/// The most that a response holds.
const MAX_READ_AHEAD_BYTES: u64 = 128 * 1024;

#[derive(Debug)]
struct Holder {
    label: String,
    bytes: u64,
    is_ended: Arc<AtomicBool>,
    /// Ends the connection of the response.
    end: Option<AbortHandle>,
    /// Wakes the connection once it may read on.
    waker: Option<Waker>,
}

#[derive(Debug, Default)]
struct State {
    /// The bytes of other messages: the bodies of requests, and responses that are held whole.
    other_bytes: u64,
    /// The sum of the holders' bytes.
    response_bytes: u64,
    holders: HashMap<u64, Holder>,
}

/// The bytes that all messages of an instance may take.
#[derive(Debug)]
pub struct ByteBudget {
    max_bytes: u64,
    next_id: AtomicU64,
    state: Mutex<State>,
}

/// Bytes of a message other than a response, until this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    budget: Arc<ByteBudget>,
    bytes: u64,
}

impl HeldBytes {
    /// Takes more bytes. Returns false, and takes none, if the other messages leave too little. Responses
    /// leave half of the budget.
    pub(crate) fn try_grow(&mut self, bytes: u64) -> bool {
        let mut state = self.budget.state.lock();
        let fits = self.budget.make_room(&mut state, bytes);
        if fits {
            state.other_bytes += bytes;
            self.bytes += bytes;
        }
        fits
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.budget.state.lock().other_bytes -= self.bytes;
    }
}

/// The bytes that one response holds, until this is dropped.
#[derive(Debug)]
pub struct HeldResponse {
    budget: Arc<ByteBudget>,
    id: u64,
    is_ended: Arc<AtomicBool>,
}

impl State {
    fn held_bytes(&self) -> u64 {
        self.other_bytes + self.response_bytes
    }

    /// Ends the response that holds most, and returns its label and its bytes; none if responses hold nothing.
    fn end_largest(&mut self) -> Option<(String, u64)> {
        let holders = self.holders.values_mut().filter(|holder| holder.bytes > 0);
        let largest = holders.max_by_key(|holder| holder.bytes)?;
        largest.is_ended.store(true, Ordering::Relaxed);
        if let Some(end) = &largest.end {
            end.abort();
        }
        let bytes = std::mem::take(&mut largest.bytes);
        self.response_bytes -= bytes;
        Some((largest.label.clone(), bytes))
    }
}

impl ByteBudget {
    /// Creates the budget of an instance with this memory.
    pub fn of_memory(memory: Bytes) -> Arc<Self> {
        let max_bytes = memory.get() / MEMORY_DIVISOR;
        Arc::new(Self { max_bytes, next_id: AtomicU64::new(0), state: Mutex::default() })
    }

    /// The most bytes that are held.
    pub fn max_bytes(&self) -> u64 {
        self.max_bytes
    }

    /// The bytes that are held.
    pub fn held_bytes(&self) -> u64 {
        self.state.lock().held_bytes()
    }

    /// Takes bytes whether they are free or not, for a message whose size has a limit of its own. It ends responses only while
    /// they hold more than half of the budget, as any message does.
    pub fn take(self: &Arc<Self>, bytes: u64) -> HeldBytes {
        let mut state = self.state.lock();
        self.make_room(&mut state, bytes);
        state.other_bytes += bytes;
        HeldBytes { budget: self.clone(), bytes }
    }

    /// The bytes that responses may still read ahead.
    fn free_response_bytes(&self, state: &State) -> u64 {
        let free_bytes = self.max_bytes.saturating_sub(state.held_bytes());
        let max_bytes = self.max_bytes / READ_AHEAD_DIVISOR;
        free_bytes.min(max_bytes.saturating_sub(state.response_bytes))
    }

    /// Ends responses until `bytes` are free, or responses hold no more than half of the budget. Returns true if they are free.
    fn make_room(&self, state: &mut State, bytes: u64) -> bool {
        while state.held_bytes() + bytes > self.max_bytes {
            if state.response_bytes <= self.max_bytes / RESPONSES_DIVISOR {
                return false;
            }
            let held_bytes = state.held_bytes();
            let Some((label, response_bytes)) = state.end_largest() else { return false };
            log::warn!(
                target: "limit", endpoint:% = label, response_bytes = response_bytes,
                held_bytes = held_bytes, max_bytes = self.max_bytes;
                "the budget of bytes is full; the response that holds most is ended"
            );
        }
        true
    }

    /// Registers the responses of one connection, which `label` names in the log.
    pub fn register(self: &Arc<Self>, label: String) -> HeldResponse {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let is_ended = Arc::new(AtomicBool::new(false));
        let holder = Holder { label, bytes: 0, is_ended: is_ended.clone(), end: None, waker: None };
        self.state.lock().holders.insert(id, holder);
        HeldResponse { budget: self.clone(), id, is_ended }
    }
}

impl HeldResponse {
    /// Sets what ends the connection of the response when the budget is full.
    pub fn end_with(&self, end: AbortHandle) {
        if let Some(holder) = self.budget.state.lock().holders.get_mut(&self.id) {
            holder.end = Some(end);
        }
    }

    /// The bytes that the response may read now. With none, `waker` is woken once it may read on.
    pub fn readable_bytes(&self, waker: &Waker) -> u64 {
        let mut state = self.budget.state.lock();
        let free_bytes = self.budget.free_response_bytes(&state);
        let allowed_bytes =
            (free_bytes / SHARE_DIVISOR).clamp(MIN_READ_AHEAD_BYTES, MAX_READ_AHEAD_BYTES);
        let Some(holder) = state.holders.get_mut(&self.id) else { return allowed_bytes };
        let left_bytes = allowed_bytes.saturating_sub(holder.bytes);
        if left_bytes == 0 {
            holder.waker = Some(waker.clone());
        }
        left_bytes
    }

    /// Counts bytes that were read. When the budget is full and responses hold more than half of it, the one that holds
    /// most is ended, which may be this one.
    pub fn grow(&self, bytes: u64) {
        let mut state = self.budget.state.lock();
        if self.is_ended() {
            return;
        }
        let Some(holder) = state.holders.get_mut(&self.id) else { return };
        holder.bytes += bytes;
        state.response_bytes += bytes;
        self.budget.make_room(&mut state, 0);
    }

    /// Counts bytes that were passed on.
    pub fn shrink(&self, bytes: u64) {
        self.set(|held| held.saturating_sub(bytes));
    }

    /// Counts the end of a response: nothing of it is held.
    pub fn clear(&self) {
        self.set(|_| 0);
    }

    fn set(&self, change: impl FnOnce(u64) -> u64) {
        let mut state = self.budget.state.lock();
        let Some(holder) = state.holders.get_mut(&self.id) else { return };
        let before = holder.bytes;
        holder.bytes = change(before);
        let (given_back, waker) = (before - holder.bytes, holder.waker.take());
        state.response_bytes -= given_back;
        drop(state);
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    /// True if the response was ended since the budget was full.
    pub fn is_ended(&self) -> bool {
        self.is_ended.load(Ordering::Relaxed)
    }
}

impl Drop for HeldResponse {
    fn drop(&mut self) {
        let mut state = self.budget.state.lock();
        if let Some(holder) = state.holders.remove(&self.id) {
            state.response_bytes -= holder.bytes;
        }
    }
}
