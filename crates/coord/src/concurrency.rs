//! How many runs an instance keeps at an endpoint, so that the batcher always has a next run and no long queue.
//!
//! The limit follows the queue that the endpoint reports: it grows by one while the queue is short and the limit is
//! used, and shrinks by a part while the queue is long. Several instances in front of one endpoint come to equal parts
//! by that rule. A report lags; a limit moves at most once for each report. See `docs/design/admission.md`.

/// The fewest runs that an instance keeps at an endpoint.
const MIN_LIMIT: f64 = 1.0;
/// The most.
const MAX_LIMIT: f64 = 4_096.0;
/// What is left of the limit after a report of a long queue.
const SHRINK: f64 = 0.85;

/// The endpoint's queue as it reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueReport {
    /// Runs that generate now.
    pub running: u32,
    /// Runs that wait for a slot.
    pub waiting: u32,
    /// Runs that can generate at once.
    pub slots: u32,
}

/// The limit of one endpoint at one instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConcurrencyLimit {
    limit: f64,
}

impl ConcurrencyLimit {
    /// A limit to start with.
    pub fn new(limit: u32) -> Self {
        Self { limit: f64::from(limit).clamp(MIN_LIMIT, MAX_LIMIT) }
    }

    /// The runs that may be there.
    pub const fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Takes a report in, with `in_flight` runs of this instance there.
    pub fn observe(&mut self, report: QueueReport, in_flight: u32) {
        let long = (report.slots / 4).max(2);
        let short = (report.slots / 8).max(1);
        if report.waiting > long {
            self.limit = (self.limit * SHRINK).max(MIN_LIMIT);
        } else if report.waiting < short && f64::from(in_flight) >= self.limit.floor() {
            self.limit = (self.limit + 1.0).min(MAX_LIMIT);
        }
    }
}
