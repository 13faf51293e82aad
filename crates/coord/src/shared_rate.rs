//! A limit on the rate of requests that all instances together may send to one receiver, kept without an owner.
//!
//! Load pattern: a receiver in need states how many requests a second it takes from the whole fleet, often fewer than
//! there are instances. One request of each instance may already be too many, and a bucket that fills while an instance
//! is idle becomes a burst of all instances at once.
//!
//! The first instances in an order on which all agree are the holders, no more of them than whole requests per second.
//! Each holder has an equal part of the rate as a token bucket that starts empty and stores at most one request, or a
//! quarter of a second's worth if that is more. All others send nothing.
//!
//! Two views of the order add up, so an instance lowers its part at once and raises it only after a settling time in
//! which the others have learned of the change. The same rule covers a limit that rises, a holder that left and a limit
//! that ends. After the end of a limit the total doubles each second, so that the load does not return in one burst.
//! Silence does not end a limit: it may only mean that nobody sends. The holders always may, and so learn of its end.
//!
//! # Invariant
//!
//! While the view of the members is the same at all instances, they send at most `w` x limit + max(1, limit) requests
//! in any window of `w` seconds.

use bilberryford_types::{RequestRate, TimeMs};

use crate::share_place::SharePlace;

/// One request, in the unit of the bucket.
const REQUEST_MICRO: u64 = 1_000_000;
/// The time for which a bucket stores its rate, in milliseconds, if that is more than one request.
const STORED_MS: u64 = 250;
/// The time in which a limit that is no longer stated doubles, in milliseconds.
const DOUBLING_MS: u64 = 1_000;
/// The doublings after which nothing is held back any more.
const MAX_DOUBLINGS: u64 = 8;

/// A higher rate that is not in force yet.
#[derive(Debug, Clone, Copy)]
struct PendingRise {
    /// The lowest rate of the settling time.
    rate: RequestRate,
    since_ms: TimeMs,
}

/// One instance's part of a rate limit.
#[derive(Debug, Clone)]
pub struct SharedRate {
    limit: RequestRate,
    /// The time of the last response that stated the limit.
    stated_ms: TimeMs,
    /// The time at which a request was sent whose response stated no limit, if no later response stated one.
    ended_ms: Option<TimeMs>,
    /// The time in which all instances learn of a change that one of them made.
    settle_ms: TimeMs,
    place: Option<SharePlace>,
    rate: RequestRate,
    rise: Option<PendingRise>,
    stored_micro: u64,
    stored_at_ms: TimeMs,
}

impl SharedRate {
    /// Creates the state of a limit that a response of `stated_ms` stated, for an instance at `place`. The place counts at
    /// once, since whatever it allows is less than before.
    pub fn new(
        limit: RequestRate,
        stated_ms: TimeMs,
        place: Option<SharePlace>,
        settle_ms: TimeMs,
        now_ms: TimeMs,
    ) -> Self {
        let mut state = Self {
            limit,
            stated_ms,
            ended_ms: None,
            settle_ms,
            place,
            rate: RequestRate::default(),
            rise: None,
            stored_micro: 0,
            stored_at_ms: now_ms,
        };
        state.rate = state.target(now_ms);
        state
    }

    /// Records a response of `at_ms` that stated `limit`; an older one than the last changes nothing.
    pub fn record_stated(&mut self, limit: RequestRate, at_ms: TimeMs, now_ms: TimeMs) {
        if at_ms < self.stated_ms {
            return;
        }
        self.limit = limit;
        self.stated_ms = at_ms;
        self.ended_ms = self.ended_ms.filter(|ended_ms| *ended_ms > at_ms);
        self.update(now_ms);
    }

    /// Records a response without a limit to a request that was sent at `sent_ms`. One to a request that was sent
    /// before the last statement may have been overtaken by it, and changes nothing.
    pub fn record_not_stated(&mut self, sent_ms: TimeMs, now_ms: TimeMs) {
        if sent_ms > self.stated_ms && self.ended_ms.is_none() {
            self.ended_ms = Some(sent_ms);
            self.update(now_ms);
        }
    }

    /// Sets the place of this instance, or none if it takes no part or does not know the others yet. All instances learn
    /// within `settle_ms` of a change that one of them made.
    pub fn set_place(&mut self, place: Option<SharePlace>, settle_ms: TimeMs, now_ms: TimeMs) {
        self.place = place;
        self.settle_ms = settle_ms;
        self.update(now_ms);
    }

    /// The limit in force over all instances: the stated one, or more once it is no longer stated.
    pub fn limit(&self, now_ms: TimeMs) -> RequestRate {
        let doublings = self.doublings(now_ms).min(MAX_DOUBLINGS);
        RequestRate::from_milli_per_s(self.limit.milli_per_s().saturating_mul(1 << doublings))
    }

    /// The part of this instance that is in force.
    pub fn rate(&self) -> RequestRate {
        self.rate
    }

    /// True if a later response has not stated the limit.
    pub fn has_ended(&self) -> bool {
        self.ended_ms.is_some()
    }

    /// True once nothing is held back any more, and the state can be dropped.
    pub fn is_over(&self, now_ms: TimeMs) -> bool {
        self.doublings(now_ms) >= MAX_DOUBLINGS
    }

    /// Takes one request of this instance's part, and returns true if it may be sent now.
    pub fn try_take(&mut self, now_ms: TimeMs) -> bool {
        self.update(now_ms);
        let may_send = self.stored_micro >= REQUEST_MICRO;
        self.stored_micro -= if may_send { REQUEST_MICRO } else { 0 };
        may_send
    }

    /// The time from which this instance may send a request, `now_ms` if it may now. Where it has no part, the time in
    /// which the fleet may send one.
    pub fn next_ms(&mut self, now_ms: TimeMs) -> TimeMs {
        self.update(now_ms);
        let missing_micro = REQUEST_MICRO.saturating_sub(self.stored_micro);
        let rate = match self.rate.milli_per_s() {
            0 => self.limit(now_ms).milli_per_s(),
            own => own,
        };
        now_ms.after(TimeMs(missing_micro.div_ceil(rate.max(1))))
    }

    fn doublings(&self, now_ms: TimeMs) -> u64 {
        self.ended_ms.map_or(0, |ended_ms| now_ms.since(ended_ms).get() / DOUBLING_MS)
    }

    /// The part of this instance by what it knows now, without the settling time.
    fn target(&self, now_ms: TimeMs) -> RequestRate {
        let Some(place) = self.place else { return RequestRate::default() };
        let limit_milli = self.limit(now_ms).milli_per_s();
        let holders = (limit_milli / 1_000).clamp(1, place.sharers());
        let part_milli = if place.is_among(holders) { limit_milli / holders } else { 0 };
        RequestRate::from_milli_per_s(part_milli)
    }

    /// Fills the bucket up to now, and puts a new rate into force: a lower one at once, a higher one after the settling
    /// time.
    fn update(&mut self, now_ms: TimeMs) {
        self.fill(now_ms);
        let target = self.target(now_ms);
        if target <= self.rate {
            self.rate = target;
            self.rise = None;
        } else {
            let rise = self.rise.get_or_insert(PendingRise { rate: target, since_ms: now_ms });
            rise.rate = rise.rate.min(target);
            if now_ms.since(rise.since_ms) >= self.settle_ms {
                self.rate = rise.rate;
                self.rise = None;
            }
        }
        self.stored_micro = self.stored_micro.min(self.capacity_micro());
    }

    /// A thousandth of a request per second is a millionth of a request per millisecond.
    fn fill(&mut self, now_ms: TimeMs) {
        let gained_micro =
            now_ms.since(self.stored_at_ms).get().saturating_mul(self.rate.milli_per_s());
        self.stored_micro =
            self.stored_micro.saturating_add(gained_micro).min(self.capacity_micro());
        self.stored_at_ms = self.stored_at_ms.max(now_ms);
    }

    /// The most that is stored; nothing without a part, so that an instance that loses it stops at once.
    fn capacity_micro(&self) -> u64 {
        match self.rate.milli_per_s() {
            0 => 0,
            rate => REQUEST_MICRO.max(rate.saturating_mul(STORED_MS)),
        }
    }
}
