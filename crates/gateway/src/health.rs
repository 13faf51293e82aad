//! What is believed of one endpoint's ability to answer, from the attempts that this instance made.
//!
//! The load patterns it answers: an endpoint that is silent, resets connections or loses answers while the list still
//! names it; and a third of a pool that comes back at once. A broken endpoint gets one trial request after a pause that
//! doubles, so that it costs few requests while it is down and takes work again soon after it is back.

use bilberryford_types::TimeMs;

/// The pause after the first failure in a row.
const FIRST_PAUSE_MS: u64 = 250;
/// The longest pause: an endpoint that is back waits no longer than this for its trial.
const LONGEST_PAUSE_MS: u64 = 2_000;
/// How many failures in a row, each of a request that may have run, open the circuit.
const FAILURES_TO_BREAK: u32 = 2;

/// What an endpoint may be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum CircuitState {
    /// Requests.
    #[strum(serialize = "sound")]
    Closed,
    /// One request, whose outcome decides.
    #[strum(serialize = "trial")]
    HalfOpen,
    /// Nothing before its pause is over.
    #[strum(serialize = "broken")]
    Open,
}

/// The circuit of one endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct EndpointHealth {
    failures: u32,
    pause_ends_ms: Option<TimeMs>,
    is_on_trial: bool,
}

impl EndpointHealth {
    /// What it may be given at `now_ms`.
    pub fn circuit(&self, now_ms: TimeMs) -> CircuitState {
        match self.pause_ends_ms {
            None => CircuitState::Closed,
            Some(ends) if now_ms < ends || self.is_on_trial => CircuitState::Open,
            Some(_) => CircuitState::HalfOpen,
        }
    }

    /// A request was chosen to be the trial.
    pub fn start_trial(&mut self) {
        self.is_on_trial = true;
    }

    /// The endpoint answered.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// The trial ended without a verdict, as when its caller left.
    pub fn cancel_trial(&mut self) {
        self.is_on_trial = false;
    }

    /// The endpoint could not be connected to, or did not answer; `is_certain` when it can't have been the request's
    /// own doing. Answers whether the circuit opened or stayed open for longer.
    pub fn record_failure(&mut self, now_ms: TimeMs, is_certain: bool) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.is_on_trial = false;
        if !is_certain && self.failures < FAILURES_TO_BREAK {
            return false;
        }
        let doublings = self.failures.saturating_sub(1).min(8);
        let pause_ms = (FIRST_PAUSE_MS << doublings).min(LONGEST_PAUSE_MS);
        self.pause_ends_ms = Some(now_ms.after(TimeMs(pause_ms)));
        true
    }

    /// The endpoint said that it takes nothing for a while, as during an order: a pause without a failure.
    pub fn pause(&mut self, now_ms: TimeMs, pause_ms: TimeMs) {
        self.is_on_trial = false;
        self.pause_ends_ms = Some(now_ms.after(pause_ms));
    }
}
