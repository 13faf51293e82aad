//! How long the configuration in force may be used to accept API keys.
//!
//! A key may be revoked while this instance is partitioned, frozen or refused by the store.
//!
//! # Invariant
//!
//! A key is accepted only within the revocation bound, less a margin, of the *start* of the last read that confirmed
//! the configuration. The start counts, since the reply may lack a change that was accepted while it was in transit.

use bilberryford_types::TimeMs;

/// The time between the end of validity and the bound, for a request in transit to an endpoint.
const MARGIN_MS: TimeMs = TimeMs(400);

/// How long after a new era of the store was seen reads confirm nothing, in milliseconds: the copy may lack the newest
/// configuration, which its operator writes again within two seconds.
const REWRITE_MS: TimeMs = TimeMs(2_000);

/// The validity of the known API keys.
#[derive(Debug, Clone, Copy)]
pub struct KeyValidity {
    bound_ms: TimeMs,
    confirmed_at_ms: Option<TimeMs>,
    /// The start of the first read that confirms the configuration in the present era of the store.
    confirms_from_ms: TimeMs,
}

impl KeyValidity {
    /// A validity that is not confirmed yet; revocations must be in force within `bound_ms`.
    pub const fn new(bound_ms: TimeMs) -> Self {
        Self { bound_ms, confirmed_at_ms: None, confirms_from_ms: TimeMs(0) }
    }

    /// Sets the bound of revocations, which applies to earlier confirmations as well.
    pub const fn set_bound(&mut self, bound_ms: TimeMs) {
        self.bound_ms = bound_ms;
    }

    /// Records that a linearizable read started at `started_ms` returned the configuration in force.
    pub fn confirm(&mut self, started_ms: TimeMs) {
        if started_ms < self.confirms_from_ms {
            return;
        }
        self.confirmed_at_ms =
            Some(self.confirmed_at_ms.map_or(started_ms, |at| at.max(started_ms)));
    }

    /// Records that the store came back from a copy. Returns the time from which a read confirms the configuration again.
    pub fn record_new_era(&mut self, now_ms: TimeMs) -> TimeMs {
        self.confirms_from_ms = now_ms.after(REWRITE_MS);
        self.confirms_from_ms
    }

    /// Records that a reply which came at `now_ms` said that the operator's time to write the configuration again is over.
    /// Reads that start from then on confirm it, and those under way don't: they may have been answered before.
    pub fn record_settled(&mut self, now_ms: TimeMs) {
        self.confirms_from_ms = self.confirms_from_ms.min(now_ms);
    }

    /// How long it takes until a read that starts at `now_ms` confirms the configuration.
    pub fn held_for_ms(&self, now_ms: TimeMs) -> TimeMs {
        self.confirms_from_ms.since(now_ms)
    }

    /// Returns true if keys may be accepted at `now_ms`.
    pub fn is_valid(&self, now_ms: TimeMs) -> bool {
        // A confirmation of the future comes from a clock that could not be read.
        self.confirmed_at_ms
            .is_some_and(|at| at <= now_ms && now_ms.since(at) < self.bound_ms.since(MARGIN_MS))
    }

    /// The age of the last confirmation; none before the first.
    pub fn age_ms(&self, now_ms: TimeMs) -> Option<TimeMs> {
        self.confirmed_at_ms.map(|at| now_ms.since(at))
    }
}
