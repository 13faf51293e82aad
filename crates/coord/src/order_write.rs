//! Durable writes of an order's intent and outcome, and the window in which the order may be dispatched.
//!
//! # Invariant
//!
//! All writes of one attempt's intent have the same precondition. At most one of them can ever be applied, whether its
//! response arrives, is lost or is late, so that a retry is safe; and any write that was applied under that
//! precondition fences all that are still in progress. See `docs/design/orders.md`.

use bilberryford_types::{AttemptId, ObjectVersion, TimeMs};

use crate::{OrderRecord, OrderState};

/// The most writes of an intent before the request is given up.
const MAX_PUTS: u32 = 3;

/// The outcome of a conditional write, as far as its writer knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// The write was applied and produced this version.
    Applied(ObjectVersion),
    /// The precondition did not hold.
    Conflict,
    /// The write was not applied and never will be.
    NotApplied,
    /// The write may have been applied, or may be applied later.
    Unknown,
}

/// The object of an order as read from the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredOrder {
    /// The platform's version of the object.
    pub version: ObjectVersion,
    /// The record of the order.
    pub record: OrderRecord,
}

/// The next step to make an intent durable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IntentStep {
    /// Write the intent under the precondition that the object has this version.
    Put(ObjectVersion),
    /// Read the object.
    Get,
    /// The intent is durable at this version; this process may dispatch the order while its [`DispatchWindow`] is open.
    Durable(ObjectVersion),
    /// The object has the record of another attempt: decide with [`OrderRecord::decide`], and call
    /// [`IntentWrite::restart`] if a new intent may be written.
    Decide,
    /// Give up: nothing is dispatched by this attempt, now or later.
    GiveUp {
        /// True if a write may still be applied, so that an [`OutcomeWrite`] with "not run" has to fence it.
        needs_fence: bool,
        /// True if the key has a record that does not allow the claim "not run", since an earlier attempt may have run.
        is_key_used: bool,
    },
}

/// The state of writing one attempt's intent.
#[derive(Debug, Clone)]
pub struct IntentWrite {
    attempt: AttemptId,
    expected: ObjectVersion,
    /// True if the outcome of an earlier write is unknown.
    has_unknown_put: bool,
    /// True if a write found that the key already has a record.
    is_key_used: bool,
    puts: u32,
}

impl IntentWrite {
    /// Creates the state for a key that is expected to be new, together with the first step.
    pub const fn new(attempt: AttemptId) -> (Self, IntentStep) {
        let expected = ObjectVersion::ABSENT;
        let write = Self { attempt, expected, has_unknown_put: false, is_key_used: false, puts: 1 };
        (write, IntentStep::Put(expected))
    }

    /// The version that is the precondition of the writes.
    pub const fn expected(&self) -> ObjectVersion {
        self.expected
    }

    /// Applies the outcome of a write.
    pub const fn on_put(&mut self, outcome: PutOutcome) -> IntentStep {
        match outcome {
            PutOutcome::Applied(version) => IntentStep::Durable(version),
            PutOutcome::Conflict => {
                self.is_key_used = true;
                IntentStep::Get
            }
            PutOutcome::Unknown => {
                self.has_unknown_put = true;
                IntentStep::Get
            }
            PutOutcome::NotApplied => self.give_up(),
        }
    }

    /// Applies the result of a read; `Err` is a read that failed.
    pub fn on_get(&mut self, result: Result<Option<&StoredOrder>, ()>) -> IntentStep {
        let Ok(found) = result else {
            return self.give_up();
        };
        let version = found.map_or(ObjectVersion::ABSENT, |found| found.version);
        match found {
            Some(found) if found.record.attempt == self.attempt => match found.record.state {
                OrderState::Intent => IntentStep::Durable(version),
                _ => IntentStep::GiveUp { needs_fence: false, is_key_used: true },
            },
            // The write is not visible yet. Repeating it under the same precondition fences the first one.
            _ if version == self.expected => self.put_again(),
            Some(_) => IntentStep::Decide,
            None => self.give_up(),
        }
    }

    /// Continues after the record of another attempt that allows a new intent, such as one that did not run.
    pub const fn restart(&mut self, version: ObjectVersion) -> IntentStep {
        self.expected = version;
        self.has_unknown_put = false;
        self.is_key_used = false;
        self.put_again()
    }

    /// Gives up the request, for example because its deadline has passed.
    pub const fn give_up(&self) -> IntentStep {
        IntentStep::GiveUp { needs_fence: self.has_unknown_put, is_key_used: self.is_key_used }
    }

    const fn put_again(&mut self) -> IntentStep {
        if self.puts == MAX_PUTS {
            return self.give_up();
        }
        self.puts += 1;
        IntentStep::Put(self.expected)
    }
}

/// The period in which an order may be dispatched after its intent was written, on a monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DispatchWindow {
    closes_at: TimeMs,
}

impl DispatchWindow {
    /// Creates a window of length `length` that opened at `before_write`, the time before the first write was sent.
    pub const fn new(before_write: TimeMs, length: TimeMs) -> Self {
        Self { closes_at: before_write.after(length) }
    }

    /// Returns true if the order may be dispatched at `now`; call it directly before the send.
    pub fn is_open(self, now: TimeMs) -> bool {
        now < self.closes_at
    }
}

/// The next step to make an outcome durable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutcomeStep {
    /// Write the outcome under the precondition that the object has this version.
    Put(ObjectVersion),
    /// Read the object.
    Get,
    /// The platform is unavailable: retry later, starting with a read.
    RetryLater,
    /// The outcome is durable.
    Written(ObjectVersion),
    /// The object has another record; the outcome is not written.
    Superseded,
}

/// The state of writing one attempt's outcome over its intent, or over the version at which its intent may still be
/// applied.
#[derive(Debug, Clone)]
pub struct OutcomeWrite {
    /// The record that contains the outcome.
    pub record: OrderRecord,
    expected: ObjectVersion,
}

impl OutcomeWrite {
    /// Creates the state for a write of `record` over the object at version `expected`.
    pub const fn new(record: OrderRecord, expected: ObjectVersion) -> Self {
        Self { record, expected }
    }

    /// The version that is the precondition of the next write.
    pub const fn expected(&self) -> ObjectVersion {
        self.expected
    }

    /// Applies the outcome of a write.
    pub const fn on_put(&self, outcome: PutOutcome) -> OutcomeStep {
        match outcome {
            PutOutcome::Applied(version) => OutcomeStep::Written(version),
            PutOutcome::Conflict | PutOutcome::Unknown => OutcomeStep::Get,
            PutOutcome::NotApplied => OutcomeStep::RetryLater,
        }
    }

    /// Applies the result of a read; `Err` is a read that failed.
    pub fn on_get(&mut self, result: Result<Option<&StoredOrder>, ()>) -> OutcomeStep {
        let Ok(found) = result else {
            return OutcomeStep::RetryLater;
        };
        let version = found.map_or(ObjectVersion::ABSENT, |found| found.version);
        match found {
            Some(found) if found.record == self.record => OutcomeStep::Written(version),
            Some(found)
                if found.record.attempt == self.record.attempt
                    && found.record.state == OrderState::Intent =>
            {
                self.expected = version;
                OutcomeStep::Put(version)
            }
            _ if version == self.expected => OutcomeStep::Put(version),
            _ => OutcomeStep::Superseded,
        }
    }
}
