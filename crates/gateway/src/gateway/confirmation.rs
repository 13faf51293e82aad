//! Confirmations of the configuration, and what the era of the store means for them.

use bilberryford_types::{StoreEra, TimeMs};

use super::Gateway;
use crate::propagation::PropagationLimits;

impl Gateway {
    /// Notices that the store came back from a copy, before anything that it says now is relied on. A process that starts
    /// can't tell how long ago that was.
    pub(crate) fn observe_era(&self) {
        let era = self.store.era();
        let before = {
            let mut seen = self.seen_era.lock();
            let before = *seen;
            *seen = era.max(before);
            before
        };
        if before >= era {
            return;
        }
        let now_ms = self.clock.now();
        let confirms_from_ms = self.keys.lock().record_new_era(now_ms);
        let held_for_ms = confirms_from_ms.since(now_ms).get();
        if self.deployment.load().is_none() {
            log::info!(
                target: "belief", now:% = era, held = "confirmations", held_for_ms = held_for_ms;
                "store may have come back from a copy before this start"
            );
            return;
        }
        log::warn!(
            target: "belief", before:% = before, now:% = era,
            kept = "configuration, weights, departures", dropped = "lease, registration",
            held = "confirmations, missing endpoints", held_for_ms = held_for_ms;
            "store came back from a copy"
        );
    }

    /// Records that the store says that `era` has settled: reads that start from now on confirm the configuration.
    pub(crate) fn record_settled(&self, era: StoreEra) {
        let seen = self.seen_era.lock();
        if *seen == era {
            self.keys.lock().record_settled(self.clock.now());
            self.era_settled.notify_one();
        }
    }

    /// Records that a linearizable read that started at `started_ms`, here or at a reader, confirmed the configuration.
    pub(crate) fn confirm_keys(&self, started_ms: TimeMs) {
        self.observe_era();
        let mut keys = self.keys.lock();
        if let Some(age_ms) = keys.age_ms(self.clock.now()) {
            self.metrics.record_config_age(age_ms);
        }
        keys.confirm(started_ms);
    }

    /// Returns true if a request may be denied since the configuration in force lacks its route or key.
    pub(crate) fn proves_absence(&self) -> bool {
        PropagationLimits::from(self.bounds()).proves_absence(self.confirmation_age_ms())
    }

    /// The time since the last confirmation of the configuration in force; none before the first.
    pub(crate) fn confirmation_age_ms(&self) -> Option<TimeMs> {
        self.keys.lock().age_ms(self.clock.now())
    }
}
