//! Adaptive limit of the runs that an instance keeps in flight at an endpoint (additive increase, multiplicative
//! decrease).
//!
//! The endpoint's batcher should always have a next run without a long queue. The limit follows the queue that the
//! endpoint reports: it grows by one while the queue is short and the limit is used up, and shrinks by a factor while
//! the queue is long. With this rule, several instances in front of one endpoint converge to equal shares. Reports
//! lag, so the limit changes at most once per report. See `docs/design/admission.md`.

/// Lower bound of the limit.
const MIN_LIMIT: f64 = 1.0;
/// Upper bound of the limit.
const MAX_LIMIT: f64 = 4_096.0;
/// Factor applied to the limit after a report of a long queue.
const DECREASE_FACTOR: f64 = 0.85;

/// The state of the endpoint's queue, as reported by the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueReport {
    /// Runs that are generating.
    pub running: u32,
    /// Runs that are waiting for a slot.
    pub waiting: u32,
    /// The most runs that can generate concurrently.
    pub slots: u32,
}

/// The limit that one instance applies to one endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConcurrencyLimit {
    limit: f64,
}

impl ConcurrencyLimit {
    /// Creates a limit with an initial value, clamped to the allowed range.
    pub fn new(limit: u32) -> Self {
        Self { limit: f64::from(limit).clamp(MIN_LIMIT, MAX_LIMIT) }
    }

    /// The most runs that this instance may have in flight at the endpoint.
    pub const fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Adjusts the limit to a report, given `in_flight` runs of this instance at the endpoint.
    pub fn observe(&mut self, report: QueueReport, in_flight: u32) {
        let long_queue = (report.slots / 4).max(2);
        let short_queue = (report.slots / 8).max(1);
        if report.waiting > long_queue {
            self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
        } else if report.waiting < short_queue && f64::from(in_flight) >= self.limit.floor() {
            self.limit = (self.limit + 1.0).min(MAX_LIMIT);
        }
    }
}
