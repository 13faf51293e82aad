//! Decides whether this instance may send a request to an endpoint now.
//!
//! The question is asked twice: for each candidate of a placement, and once more before the first byte is written, since
//! the connection that was opened meanwhile may have taken longer than the answer that closed the endpoint. The second
//! time, the request is taken from this instance's part of a limit, since two requests may have been placed on one.
//! Requests, repeats and trials all pass it. Weight orders, reports and events of caches don't: they are no requests of
//! callers, and an engine that is full still has to load new weights.

use bilberryford_types::TimeMs;

/// What a request to an endpoint depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendFacts {
    /// True if the endpoint's incarnation is listed, and neither the store nor an answer of its own says that it leaves.
    pub is_ready: bool,
    /// True if its data centre is evacuated.
    pub is_evacuated: bool,
    /// The end of the time for which it takes nothing from this instance.
    pub closed_until_ms: Option<TimeMs>,
    /// The time from which this instance's part of a limit that the endpoint states allows a request.
    pub limited_until_ms: Option<TimeMs>,
    /// The requests of this instance that it has, and the most that it may have.
    pub in_flight: u32,
    /// This instance's share of the endpoint's connections.
    pub connection_share: u32,
}

/// The reason why an endpoint must get no request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Obstacle {
    /// This incarnation left, ended or is no longer listed.
    Departed,
    /// Operators evacuate its data centre.
    Evacuated,
    /// It refused a request and named a time until which it takes no other.
    Closed {
        /// The end of that time.
        until_ms: TimeMs,
    },
    /// It states a limit on the requests of all instances, and this instance has used its part for now.
    Limited {
        /// The time from which its part, or else that of another instance, allows a request.
        until_ms: TimeMs,
    },
    /// This instance uses its full share of connections there; the endpoint would reset a further one.
    Full,
}

/// Returns the reason for which nothing may be sent at `now_ms`, the most lasting one first.
pub fn obstacle(facts: &SendFacts, now_ms: TimeMs) -> Option<Obstacle> {
    if !facts.is_ready {
        return Some(Obstacle::Departed);
    }
    if facts.is_evacuated {
        return Some(Obstacle::Evacuated);
    }
    if let Some(until_ms) = facts.closed_until_ms.filter(|until_ms| now_ms < *until_ms) {
        return Some(Obstacle::Closed { until_ms });
    }
    if let Some(until_ms) = facts.limited_until_ms.filter(|until_ms| now_ms < *until_ms) {
        return Some(Obstacle::Limited { until_ms });
    }
    (facts.in_flight >= facts.connection_share).then_some(Obstacle::Full)
}
