//! Delivers load reports, cache events and heartbeats to the instances, with their delays and losses.

use std::{collections::VecDeque, rc::Rc};

use bilberryford_cache::{CacheEvent, EventOutcome, LoadSample};
use bilberryford_types::{TimeMs, Tokens};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{
    serve::{Run, slot},
    world::sleep_ms,
};

/// Interval of the engines' load reports and cache events.
const REPORT_INTERVAL_MS: f64 = 250.0;
/// Shortest delay of a cache event.
const EVENT_DELAY_MS: u64 = 200;
/// Probability that a cache event is lost.
const EVENT_LOSS_PROBABILITY: f64 = 0.01;
/// Report intervals between two heartbeats, with which instances also probe the stores.
const HEARTBEAT_PERIODS: u64 = 2;

/// A load report that is not delivered yet.
struct DelayedReport {
    engine: usize,
    sample: LoadSample,
    in_flight: u32,
}

impl Run {
    /// Delivers reports, events and heartbeats until the run ends.
    pub(super) async fn feed_views(self: Rc<Self>, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
        let mut reports: VecDeque<DelayedReport> = VecDeque::new();
        let mut events: VecDeque<(TimeMs, usize, CacheEvent)> = VecDeque::new();
        for period in 0_u64.. {
            sleep_ms(REPORT_INTERVAL_MS).await;
            let now = self.world.now();
            for (number, engine) in
                self.world.engines.iter().enumerate().filter(|(_, e)| e.is_up.get())
            {
                let backlog = Tokens(u32::try_from(engine.backlog.get()).unwrap_or(u32::MAX));
                let sample = LoadSample { taken_ms: now, backlog };
                reports.push_back(DelayedReport {
                    engine: number,
                    sample,
                    in_flight: engine.in_flight.get(),
                });
                if let Some(event) = engine.kv.borrow_mut().take_event()
                    && !self.world.events_are_cut.get()
                    && !rng.random_bool(EVENT_LOSS_PROBABILITY)
                {
                    events.push_back((TimeMs(now.get() + EVENT_DELAY_MS), number, event));
                }
            }
            self.deliver_reports(&mut reports, now);
            while events.front().is_some_and(|(due, ..)| *due <= now) {
                if let Some((_, engine, event)) = events.pop_front() {
                    self.deliver_event(engine, &event);
                }
            }
            if period % HEARTBEAT_PERIODS == 0 {
                self.exchange_heartbeats();
            }
        }
    }

    fn deliver_reports(&self, reports: &mut VecDeque<DelayedReport>, now: TimeMs) {
        let lag_ms = self.world.report_lag_ms.get();
        while reports
            .front()
            .is_some_and(|report| report.sample.taken_ms.get() + lag_ms <= now.get())
        {
            let Some(report) = reports.pop_front() else { break };
            for decider in &self.deciders {
                decider.borrow_mut().apply_report(report.engine, report.sample, report.in_flight);
            }
        }
    }

    fn deliver_event(&self, engine: usize, event: &CacheEvent) {
        for decider in &self.deciders {
            let mut decider = decider.borrow_mut();
            if decider.views.index.apply_event(slot(engine), event) == EventOutcome::Gap
                && !self.world.events_are_cut.get()
            {
                let snapshot = self.world.engines[engine].kv.borrow().snapshot();
                decider.views.index.apply_snapshot(slot(engine), &snapshot);
            }
        }
    }

    fn exchange_heartbeats(&self) {
        for (number, from) in self.deciders.iter().enumerate() {
            let dispatches = std::mem::take(&mut from.borrow_mut().unsent_dispatches);
            for (_, to) in self.deciders.iter().enumerate().filter(|(other, _)| *other != number) {
                dispatches
                    .iter()
                    .for_each(|dispatch| to.borrow_mut().record_peer_dispatch(*dispatch));
            }
        }
        for (store, host) in self.world.stores.iter().enumerate() {
            for decider in &self.deciders {
                decider.borrow_mut().set_store_down(store, !host.is_up.get());
            }
        }
    }
}
