//! How long a configuration may be used to let keyed requests through.
//!
//! The load pattern it answers: a key is revoked while this instance is cut off, frozen or turned away by the store.
//!
//! # Invariant
//!
//! A key is accepted only within the bound, less a margin, after the *start* of the last read that confirmed the
//! configuration. The start counts, since a change accepted while the answer was on its way may be missing from it.

use bilberryford_types::TimeMs;

/// What is kept free between the end of validity and the bound, for a request that is on its way to an endpoint.
const MARGIN_MS: TimeMs = TimeMs(400);

/// The validity of what is known of keys.
#[derive(Debug, Clone, Copy)]
pub struct KeyValidity {
    bound_ms: TimeMs,
    confirmed_at_ms: Option<TimeMs>,
}

impl KeyValidity {
    /// Nothing is confirmed yet; revocations must be in force within `bound_ms`.
    pub const fn new(bound_ms: TimeMs) -> Self {
        Self { bound_ms, confirmed_at_ms: None }
    }

    /// A linearizable read that started at `started_ms` showed the configuration in force.
    pub fn confirm(&mut self, started_ms: TimeMs) {
        self.confirmed_at_ms =
            Some(self.confirmed_at_ms.map_or(started_ms, |at| at.max(started_ms)));
    }

    /// Whether keys may be accepted at `now_ms`.
    pub fn is_valid(&self, now_ms: TimeMs) -> bool {
        self.confirmed_at_ms.is_some_and(|at| now_ms.since(at) < self.bound_ms.since(MARGIN_MS))
    }

    /// How old the last confirmation is; none before the first.
    pub fn age_ms(&self, now_ms: TimeMs) -> Option<TimeMs> {
        self.confirmed_at_ms.map(|at| now_ms.since(at))
    }
}
