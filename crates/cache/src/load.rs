//! How long a request would wait at an engine, from a report that lags.
//!
//! A report is true of the past. Each dispatch since it was taken, own or a peer's, is added on top, so that several
//! instances that see the same idle engine don't all choose it.

use std::collections::VecDeque;

use bilberryford_types::{TimeMs, Tokens};

/// How many dispatches are remembered for one engine.
const MAX_DISPATCHES: usize = 256;

/// An engine's load as it was.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadSample {
    /// When it was taken, by the reader's clock.
    pub taken_ms: TimeMs,
    /// The prompt tokens that waited for prefill.
    pub backlog: Tokens,
}

#[derive(Debug, Clone, Copy)]
struct Dispatch {
    at_ms: TimeMs,
    work: Tokens,
}

/// The load of one engine as far as it can be told.
#[derive(Debug, Clone)]
pub struct LoadView {
    tokens_per_ms: f64,
    sample: LoadSample,
    since: VecDeque<Dispatch>,
}

impl LoadView {
    /// The view of an engine that computes that many prompt tokens in a millisecond.
    pub fn new(tokens_per_ms: f64) -> Self {
        Self { tokens_per_ms, sample: LoadSample::default(), since: VecDeque::new() }
    }

    /// Takes a report in; dispatches that it already contains are dropped.
    pub fn apply_report(&mut self, sample: LoadSample) {
        if sample.taken_ms < self.sample.taken_ms {
            return;
        }
        self.sample = sample;
        self.since.retain(|dispatch| dispatch.at_ms > sample.taken_ms);
    }

    /// Notes a dispatch, own or a peer's, that gives the engine `work` to compute.
    pub fn record_dispatch(&mut self, at_ms: TimeMs, work: Tokens) {
        if at_ms <= self.sample.taken_ms {
            return;
        }
        if self.since.len() == MAX_DISPATCHES {
            self.since.pop_front();
        }
        self.since.push_back(Dispatch { at_ms, work });
    }

    /// How fast the engine computes.
    pub const fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }

    /// How long a request that comes at `now` would wait, in milliseconds.
    pub fn wait_ms(&self, now: TimeMs) -> f64 {
        let span_ms = |tokens: Tokens| f64::from(tokens.get()) / self.tokens_per_ms;
        let at = |time: TimeMs| time.get() as f64;
        let free_ms = at(self.sample.taken_ms) + span_ms(self.sample.backlog);
        let free_ms = self.since.iter().fold(free_ms, |free_ms, dispatch| {
            free_ms.max(at(dispatch.at_ms)) + span_ms(dispatch.work)
        });
        (free_ms - at(now)).max(0.0)
    }
}
