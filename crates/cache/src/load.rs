//! Estimate of how long a request would queue at an engine, from load reports that lag.
//!
//! A report describes the past. The estimate adds each dispatch since the report was taken, local or from a peer, so
//! that several instances that see the same idle engine don't all choose it.

use std::collections::VecDeque;

use bilberryford_types::{TimeMs, Tokens};

/// Maximum number of dispatches that are retained per engine; the oldest are dropped first.
const MAX_DISPATCHES: usize = 256;

/// Load of an engine at one time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadSample {
    /// Time when the sample was taken, on the clock of the instance that read it.
    pub taken_ms: TimeMs,
    /// Prompt tokens that were queued for prefill.
    pub backlog: Tokens,
}

#[derive(Debug, Clone, Copy)]
struct Dispatch {
    at_ms: TimeMs,
    prefill: Tokens,
}

/// Estimated load of one engine.
#[derive(Debug, Clone)]
pub struct LoadView {
    tokens_per_ms: f64,
    sample: LoadSample,
    dispatches: VecDeque<Dispatch>,
}

impl LoadView {
    /// Creates the view of an idle engine that prefills `tokens_per_ms` prompt tokens per millisecond.
    pub fn new(tokens_per_ms: f64) -> Self {
        Self { tokens_per_ms, sample: LoadSample::default(), dispatches: VecDeque::new() }
    }

    /// Applies a load report and drops the dispatches that it already includes. A report that is older than the current
    /// one is ignored.
    pub fn apply_report(&mut self, sample: LoadSample) {
        if sample.taken_ms < self.sample.taken_ms {
            return;
        }
        self.sample = sample;
        self.dispatches.retain(|dispatch| dispatch.at_ms > sample.taken_ms);
    }

    /// Records a dispatch, local or from a peer, that gives the engine `prefill` tokens to compute. One that the
    /// current report already includes is ignored.
    pub fn record_dispatch(&mut self, at_ms: TimeMs, prefill: Tokens) {
        if at_ms <= self.sample.taken_ms {
            return;
        }
        if self.dispatches.len() == MAX_DISPATCHES {
            self.dispatches.pop_front();
        }
        self.dispatches.push_back(Dispatch { at_ms, prefill });
    }

    /// Returns the prompt tokens that the engine prefills per millisecond.
    pub const fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }

    /// Returns how long a request that arrives at `now` would wait for prefill to start, in milliseconds.
    pub fn wait_ms(&self, now: TimeMs) -> f64 {
        let prefill_ms = |tokens: Tokens| f64::from(tokens.get()) / self.tokens_per_ms;
        let as_ms = |time: TimeMs| time.get() as f64;
        let idle_at_ms = as_ms(self.sample.taken_ms) + prefill_ms(self.sample.backlog);
        let idle_at_ms = self.dispatches.iter().fold(idle_at_ms, |idle_at_ms, dispatch| {
            idle_at_ms.max(as_ms(dispatch.at_ms)) + prefill_ms(dispatch.prefill)
        });
        (idle_at_ms - as_ms(now)).max(0.0)
    }
}
