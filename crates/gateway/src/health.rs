//! A circuit breaker for each endpoint, driven by the attempts of this instance.
//!
//! It handles endpoints that do not answer, reset connections or lose responses while they are still listed, and a
//! third of a pool that recovers at once. While a circuit is open, the endpoint gets a single trial request after a
//! pause that doubles with each failure, so that it costs few requests while it is down and gets work soon after its
//! recovery.

use bilberryford_types::TimeMs;

/// The pause after the first failure in a row.
const MIN_PAUSE_MS: u64 = 250;
/// The longest pause, and so the longest time that a recovered endpoint waits for its trial.
const MAX_PAUSE_MS: u64 = 2_000;
/// The failures in a row that open the circuit when each may have been caused by its request.
const FAILURES_TO_OPEN: u32 = 2;

/// The state of an endpoint's circuit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum CircuitState {
    /// The endpoint gets requests.
    #[strum(serialize = "sound")]
    Closed,
    /// The endpoint gets one trial request, whose outcome closes or reopens the circuit.
    #[strum(serialize = "trial")]
    HalfOpen,
    /// The endpoint gets no requests until its pause ends.
    #[strum(serialize = "broken")]
    Open,
}

/// The circuit breaker of one endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct EndpointHealth {
    failures: u32,
    pause_ends_ms: Option<TimeMs>,
    is_on_trial: bool,
}

impl EndpointHealth {
    /// The state of the circuit at `now_ms`.
    pub fn circuit(&self, now_ms: TimeMs) -> CircuitState {
        match self.pause_ends_ms {
            None => CircuitState::Closed,
            Some(ends) if now_ms < ends || self.is_on_trial => CircuitState::Open,
            Some(_) => CircuitState::HalfOpen,
        }
    }

    /// The failures in a row.
    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }

    /// Records that a request was chosen as the trial; until it ends, others see an open circuit.
    pub fn start_trial(&mut self) {
        self.is_on_trial = true;
    }

    /// Closes the circuit after a response.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Ends a trial without an outcome, for example when its caller left, so that another request can be the trial.
    pub fn cancel_trial(&mut self) {
        self.is_on_trial = false;
    }

    /// Records a failed connection or a missing response, and returns true if this opens the circuit or keeps it open.
    ///
    /// `is_certain` states that the request can't have caused the failure; one such failure opens the circuit.
    pub fn record_failure(&mut self, now_ms: TimeMs, is_certain: bool) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.is_on_trial = false;
        if !is_certain && self.failures < FAILURES_TO_OPEN {
            return false;
        }
        let doublings = self.failures.saturating_sub(1).min(8);
        let pause_ms = (MIN_PAUSE_MS << doublings).min(MAX_PAUSE_MS);
        self.pause_ends_ms = Some(now_ms.after(TimeMs(pause_ms)));
        true
    }

    /// Opens the circuit for `pause_ms` without counting a failure, after the endpoint stated that it takes no work for
    /// now, for example while it executes an order.
    pub fn pause(&mut self, now_ms: TimeMs, pause_ms: TimeMs) {
        self.is_on_trial = false;
        self.pause_ends_ms = Some(now_ms.after(pause_ms));
    }
}
