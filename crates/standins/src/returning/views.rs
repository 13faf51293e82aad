//! What reaches the instances, and how late: load reports, cache events, heartbeats.

use std::{collections::VecDeque, rc::Rc};

use bilberryford_cache::{CacheEvent, EventOutcome, LoadSample};
use bilberryford_types::{TimeMs, Tokens};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{
    serve::{Run, slot},
    world::pause,
};

/// How often engines report, in milliseconds.
const PERIOD_MS: f64 = 250.0;
/// How late cache events come at the earliest, in milliseconds.
const EVENT_LAG_MS: u64 = 200;
/// How often an event is lost.
const EVENT_LOSS: f64 = 0.01;
/// How often instances exchange heartbeats and probe stores, in periods.
const BEAT_PERIODS: u64 = 2;

/// A report on its way.
struct Report {
    engine: usize,
    sample: LoadSample,
    in_flight: u32,
}

impl Run {
    /// Carries reports, events and heartbeats.
    pub(super) async fn feed_views(self: Rc<Self>, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
        let mut reports: VecDeque<Report> = VecDeque::new();
        let mut events: VecDeque<(TimeMs, usize, CacheEvent)> = VecDeque::new();
        for period in 0_u64.. {
            pause(PERIOD_MS).await;
            let now = self.world.now();
            for (number, engine) in
                self.world.engines.iter().enumerate().filter(|(_, e)| e.is_up.get())
            {
                let backlog = Tokens(u32::try_from(engine.backlog.get()).unwrap_or(u32::MAX));
                let sample = LoadSample { taken_ms: now, backlog };
                reports.push_back(Report {
                    engine: number,
                    sample,
                    in_flight: engine.in_flight.get(),
                });
                if let Some(event) = engine.kv.borrow_mut().take_event()
                    && !self.world.is_cut.get()
                    && !rng.random_bool(EVENT_LOSS)
                {
                    events.push_back((TimeMs(now.get() + EVENT_LAG_MS), number, event));
                }
            }
            self.deliver_reports(&mut reports, now);
            while events.front().is_some_and(|(due, ..)| *due <= now) {
                if let Some((_, engine, event)) = events.pop_front() {
                    self.deliver_event(engine, &event);
                }
            }
            if period % BEAT_PERIODS == 0 {
                self.exchange();
            }
        }
    }

    fn deliver_reports(&self, reports: &mut VecDeque<Report>, now: TimeMs) {
        let lag_ms = self.world.report_lag_ms.get();
        while reports
            .front()
            .is_some_and(|report| report.sample.taken_ms.get() + lag_ms <= now.get())
        {
            let Some(report) = reports.pop_front() else { break };
            for decider in &self.deciders {
                decider.borrow_mut().report(report.engine, report.sample, report.in_flight);
            }
        }
    }

    fn deliver_event(&self, engine: usize, event: &CacheEvent) {
        for decider in &self.deciders {
            let mut decider = decider.borrow_mut();
            if decider.views.index.apply_event(slot(engine), event) == EventOutcome::Gap
                && !self.world.is_cut.get()
            {
                let snapshot = self.world.engines[engine].kv.borrow().snapshot();
                decider.views.index.apply_snapshot(slot(engine), &snapshot);
            }
        }
    }

    fn exchange(&self) {
        for (number, from) in self.deciders.iter().enumerate() {
            let news = std::mem::take(&mut from.borrow_mut().news);
            for (_, to) in self.deciders.iter().enumerate().filter(|(other, _)| *other != number) {
                news.iter().for_each(|dispatch| to.borrow_mut().peer_dispatched(*dispatch));
            }
        }
        for (store, host) in self.world.stores.iter().enumerate() {
            for decider in &self.deciders {
                decider.borrow_mut().store_down(store, !host.is_up.get());
            }
        }
    }
}
