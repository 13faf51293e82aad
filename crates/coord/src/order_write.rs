//! How an intent is made durable, how long it may be dispatched, and how its outcome is made durable.
//!
//! # Invariant
//!
//! All writes of one attempt's intent carry the same precondition. At most one of them can ever be taken, whether it
//! is answered, lost or late, so that writing again is safe, and a write that was taken under that precondition
//! fences every one that is still under way. See `docs/design/orders.md`.

use bilberryford_types::{AttemptId, ObjectVersion, TimeMs};

use crate::{OrderRecord, OrderState};

/// How often an intent is written before the request is given up.
const MAX_PUTS: u32 = 3;

/// What was seen of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// It was taken.
    Applied(ObjectVersion),
    /// Its precondition did not hold.
    Conflict,
    /// The platform did not take it and never will.
    NotApplied,
    /// It may have been taken, or may be taken later.
    Unknown,
}

/// An order's object as read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredOrder {
    /// Its version.
    pub version: ObjectVersion,
    /// Its record.
    pub record: OrderRecord,
}

/// What to do next to make an intent durable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IntentStep {
    /// Write the intent under the precondition that the object has this version.
    Put(ObjectVersion),
    /// Read the object.
    Get,
    /// The intent is durable at this version; the process may dispatch while the window is open.
    Durable(ObjectVersion),
    /// The record of another attempt is there: decide on it, and call [`IntentWrite::restart`] to go on.
    Decide,
    /// Give up. Nothing is dispatched under this attempt, now or later.
    GiveUp {
        /// Whether a write may still land, so that the key needs an [`OutcomeWrite`] that says "not run".
        needs_fence: bool,
        /// Whether the key has a record that could not be read, so that an earlier attempt may have run.
        is_key_used: bool,
    },
}

/// The writing of one attempt's intent.
#[derive(Debug, Clone)]
pub struct IntentWrite {
    attempt: AttemptId,
    expected: ObjectVersion,
    is_open: bool,
    is_used: bool,
    puts: u32,
}

impl IntentWrite {
    /// A write for a key that is expected to be new, and the first step.
    pub const fn new(attempt: AttemptId) -> (Self, IntentStep) {
        let expected = ObjectVersion::ABSENT;
        let write = Self { attempt, expected, is_open: false, is_used: false, puts: 1 };
        (write, IntentStep::Put(expected))
    }

    /// The version that the writes expect.
    pub const fn expected(&self) -> ObjectVersion {
        self.expected
    }

    /// Takes in what was seen of a write.
    pub const fn on_put(&mut self, seen: PutOutcome) -> IntentStep {
        match seen {
            PutOutcome::Applied(version) => IntentStep::Durable(version),
            PutOutcome::Conflict => {
                self.is_used = true;
                IntentStep::Get
            }
            PutOutcome::Unknown => {
                self.is_open = true;
                IntentStep::Get
            }
            PutOutcome::NotApplied => self.give_up(),
        }
    }

    /// Takes in what was read; an error is a read that failed.
    pub fn on_get(&mut self, seen: Result<Option<&StoredOrder>, ()>) -> IntentStep {
        let Ok(found) = seen else {
            return self.give_up();
        };
        let version = found.map_or(ObjectVersion::ABSENT, |found| found.version);
        match found {
            Some(found) if found.record.attempt == self.attempt => match found.record.state {
                OrderState::Intent => IntentStep::Durable(version),
                _ => IntentStep::GiveUp { needs_fence: false, is_key_used: true },
            },
            // The write is not there yet: the same write again, under the same precondition, fences it.
            _ if version == self.expected => self.again(),
            Some(_) => IntentStep::Decide,
            None => self.give_up(),
        }
    }

    /// Goes on after a record that lets the key be used again, such as one that was not run.
    pub const fn restart(&mut self, version: ObjectVersion) -> IntentStep {
        self.expected = version;
        self.is_open = false;
        self.is_used = false;
        self.again()
    }

    /// Gives the request up, such as when its deadline has passed.
    pub const fn give_up(&self) -> IntentStep {
        IntentStep::GiveUp { needs_fence: self.is_open, is_key_used: self.is_used }
    }

    const fn again(&mut self) -> IntentStep {
        if self.puts == MAX_PUTS {
            return self.give_up();
        }
        self.puts += 1;
        IntentStep::Put(self.expected)
    }
}

/// The span in which an intent may be dispatched, on a monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DispatchWindow {
    closes: TimeMs,
}

impl DispatchWindow {
    /// A window of `bound` that opened at `before_write`, which is read before the first write is sent.
    pub const fn new(before_write: TimeMs, bound: TimeMs) -> Self {
        Self { closes: before_write.after(bound) }
    }

    /// Whether the intent may be dispatched at `now`; ask directly before the send.
    pub fn is_open(self, now: TimeMs) -> bool {
        now < self.closes
    }
}

/// What to do next to make an outcome durable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutcomeStep {
    /// Write the outcome under the precondition that the object has this version.
    Put(ObjectVersion),
    /// Read the object.
    Get,
    /// The platform is not answering: come back later and begin with a read.
    RetryLater,
    /// The outcome is durable.
    Written(ObjectVersion),
    /// Another record stands, and the outcome is not written.
    Superseded,
}

/// The writing of one attempt's outcome over its intent, or over the place where its intent may still land.
#[derive(Debug, Clone)]
pub struct OutcomeWrite {
    /// The record with the outcome.
    pub record: OrderRecord,
    expected: ObjectVersion,
}

impl OutcomeWrite {
    /// A write of `record` over the object at `expected`.
    pub const fn new(record: OrderRecord, expected: ObjectVersion) -> Self {
        Self { record, expected }
    }

    /// The version that the next write expects.
    pub const fn expected(&self) -> ObjectVersion {
        self.expected
    }

    /// Takes in what was seen of a write.
    pub const fn on_put(&self, seen: PutOutcome) -> OutcomeStep {
        match seen {
            PutOutcome::Applied(version) => OutcomeStep::Written(version),
            PutOutcome::Conflict | PutOutcome::Unknown => OutcomeStep::Get,
            PutOutcome::NotApplied => OutcomeStep::RetryLater,
        }
    }

    /// Takes in what was read; an error is a read that failed.
    pub fn on_get(&mut self, seen: Result<Option<&StoredOrder>, ()>) -> OutcomeStep {
        let Ok(found) = seen else {
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
