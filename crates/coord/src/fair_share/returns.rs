//! The times of return that this instance promised to requests that it refused.
//!
//! Load pattern: callers that were refused come back at the time in their refusal, and find that callers which came later have
//! taken the free time. A promised return is therefore reserved: when it is due, its work counts as used by its share,
//! which holds off new requests of the share. The returns of a share are spread over the time that the share gets, so
//! that they don't come back as one burst.

use std::collections::{BTreeMap, HashMap};

use bilberryford_types::TimeMs;

use super::{ShareKey, usage::WINDOW_MS};

/// The shortest time of return, in milliseconds: a queue changes in less.
const MIN_RETURN_MS: u64 = 100;
/// How much earlier than promised a request may come back, in milliseconds: timers of callers are that inexact.
const EARLY_MS: u64 = 20;
/// How long a place is kept after the promised time, in milliseconds: the way to the caller and back, and its pause.
const KEPT_MS: u64 = 500;
/// How long before the promised time its work counts as used, in milliseconds.
const RESERVED_AHEAD_MS: u64 = 100;
/// The most promised returns of one pool.
const MAX_RETURNS: usize = 4_096;

/// What is known of a request when it arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReturnState {
    /// It has no promised time.
    Unknown,
    /// It came at the promised time.
    Due,
    /// It came before the promised time.
    Early {
        /// The time until the promised time.
        left_ms: TimeMs,
    },
}

/// The time of return that a refused request needs.
#[derive(Debug, Clone, Copy)]
pub struct ReturnSlot {
    /// Its engine time.
    pub work_ms: u64,
    /// The time in which the work ahead of it is done.
    pub backlog_ms: TimeMs,
    /// The longest time after which its caller comes back.
    pub longest_ms: TimeMs,
}

#[derive(Debug, Clone, Copy)]
struct Promise {
    share: ShareKey,
    due_ms: TimeMs,
}

/// The promised returns of one pool.
#[derive(Debug, Clone, Default)]
pub(super) struct PromisedReturns {
    by_request: HashMap<u64, Promise>,
    /// The work of each promised return, by share and time.
    work_ms: BTreeMap<(ShareKey, TimeMs, u64), u64>,
    /// The time from which each share has a further slot.
    next_ms: BTreeMap<ShareKey, TimeMs>,
    /// The last time at which places that nobody took were removed.
    expired_ms: TimeMs,
}

impl PromisedReturns {
    pub(super) fn take(&mut self, request: u64, now_ms: TimeMs) -> ReturnState {
        let Some(promise) = self.by_request.get(&request) else { return ReturnState::Unknown };
        let due_ms = promise.due_ms;
        if now_ms.after(TimeMs(EARLY_MS)) < due_ms {
            return ReturnState::Early { left_ms: due_ms.since(now_ms) };
        }
        self.remove(request);
        if now_ms.since(due_ms).get() > KEPT_MS { ReturnState::Unknown } else { ReturnState::Due }
    }

    /// The work of the returns of a share that are due now or soon.
    pub(super) fn due_ms(&self, share: ShareKey, now_ms: TimeMs) -> u64 {
        let from = (share, now_ms.since(TimeMs(KEPT_MS)), 0);
        let to = (share, now_ms.after(TimeMs(RESERVED_AHEAD_MS)), u64::MAX);
        self.work_ms.range(from..=to).map(|(_, work_ms)| work_ms).sum()
    }

    /// `own_ms` is the engine time that the share gets here in a window; none if its demand is met.
    pub(super) fn promise(
        &mut self,
        request: u64,
        share: ShareKey,
        slot: &ReturnSlot,
        own_ms: Option<u64>,
        now_ms: TimeMs,
    ) -> TimeMs {
        self.expire(now_ms);
        self.remove(request);
        let longest_ms = slot.longest_ms.get().max(MIN_RETURN_MS);
        let backlog_ms = slot.backlog_ms.get().clamp(MIN_RETURN_MS, longest_ms);
        let earliest_ms = now_ms.after(TimeMs(backlog_ms));
        let next_ms = self.next_ms.get(&share).copied().unwrap_or_default();
        let due_ms = earliest_ms.max(next_ms);
        if due_ms.since(now_ms).get() > longest_ms || self.by_request.len() >= MAX_RETURNS {
            return TimeMs(longest_ms);
        }
        let apart_ms = own_ms.map_or(0, |own_ms| slot.work_ms * WINDOW_MS.get() / own_ms.max(1));
        self.next_ms.insert(share, due_ms.after(TimeMs(apart_ms)));
        self.by_request.insert(request, Promise { share, due_ms });
        self.work_ms.insert((share, due_ms, request), slot.work_ms);
        due_ms.since(now_ms)
    }

    pub(super) fn remove(&mut self, request: u64) {
        if let Some(promise) = self.by_request.remove(&request) {
            self.work_ms.remove(&(promise.share, promise.due_ms, request));
        }
    }

    fn expire(&mut self, now_ms: TimeMs) {
        if now_ms.since(self.expired_ms).get() < KEPT_MS {
            return;
        }
        self.expired_ms = now_ms;
        let is_kept = |promise: &Promise| now_ms.since(promise.due_ms).get() <= KEPT_MS;
        self.by_request.retain(|_, promise| is_kept(promise));
        self.work_ms.retain(|(_, due_ms, _), _| now_ms.since(*due_ms).get() <= KEPT_MS);
        self.next_ms.retain(|_, next_ms| *next_ms > now_ms);
    }
}
