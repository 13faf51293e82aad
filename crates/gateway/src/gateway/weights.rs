//! The published versions of weights, and until when older ones may be used.

use std::{future::pending, sync::Arc, time::Duration};

use bilberryford_types::{ModelName, TimeMs};
use tokio::{sync::watch, time::timeout};

use super::Gateway;
use crate::{
    placement::{Candidate, WeightConstraints},
    publications::{PublishedVersion, PublishedWeights, StartBound},
};

/// The time after the publication of a version from which engines with it are preferred, in milliseconds.
const PREFER_NEW_WEIGHTS_MS: TimeMs = TimeMs(1_000);
/// How long before the bound requests stop going to engines with older weights, in milliseconds: they may queue there.
const OLD_WEIGHTS_MARGIN_MS: TimeMs = TimeMs(2_000);
/// How long before the bound requests at engines with older weights must have begun, in milliseconds.
const OLD_WEIGHTS_END_MS: TimeMs = TimeMs(300);
/// The least change of the time from which a bound counts that is logged, in milliseconds.
const MIN_LOGGED_SHIFT_MS: u64 = 50;

impl Gateway {
    /// Changes what is known of a model's publications by `work`, and logs how the newest version is dated from then on. `source`
    /// is the kind of read that returned it, or the instance that passed it on.
    pub(crate) fn change_publications(
        &self,
        model: &ModelName,
        source: &str,
        work: impl FnOnce(&mut PublishedWeights),
    ) {
        let (before, newest) = {
            let mut weights = self.weights.lock();
            let published = weights.entry(model.clone()).or_default();
            let before = published.clone();
            work(published);
            if before == *published {
                return;
            }
            (before.history().last(), published.history().last())
        };
        self.weight_changes.send_modify(|changes| *changes += 1);
        let Some(newest) = newest else { return };
        let bound_ms = self.bounds().weights_propagation_ms;
        let ends_ms = |published: PublishedVersion| published.ends_older_ms(bound_ms).get();
        let message = match before.filter(|before| before.version == newest.version) {
            None => "weights named",
            Some(before) if ends_ms(before).abs_diff(ends_ms(newest)) >= MIN_LOGGED_SHIFT_MS => {
                "publication of weights dated anew"
            }
            Some(_) => return,
        };
        let now_ms = self.clock.now();
        let age_ms = |at_ms: TimeMs| now_ms.since(at_ms).get();
        log::info!(
            target: "belief", model:% = model, version = newest.version,
            source = source, written:% = newest.written.unwrap_or_default(),
            max_age_ms = newest.not_before_ms.map_or(0, age_ms),
            min_age_ms = age_ms(newest.not_after_ms),
            older_end_in_ms = TimeMs(ends_ms(newest)).since(now_ms).get();
            "{message}"
        );
    }

    /// The weight versions on which a request may start now.
    pub(crate) fn weight_constraints(&self, model: &ModelName) -> WeightConstraints {
        let now_ms = self.clock.now();
        let weights = self.weights.lock();
        let Some(published) = weights.get(model) else { return WeightConstraints::default() };
        let bound_ms = self.bounds().weights_propagation_ms;
        let is_preferred = published.min_age_ms(now_ms) >= PREFER_NEW_WEIGHTS_MS;
        WeightConstraints {
            min: published.required(now_ms, bound_ms, OLD_WEIGHTS_MARGIN_MS),
            uncertain_below: published.uncertain_below(),
            preferred: is_preferred.then(|| published.newest()),
        }
    }

    /// Sets how long requests may start at each of the candidates.
    pub(crate) fn fill_start_bounds(&self, candidates: &mut [Candidate], model: &ModelName) {
        let now_ms = self.clock.now();
        let bound_ms = self.bounds().weights_propagation_ms;
        let weights = self.weights.lock();
        let Some(published) = weights.get(model) else { return };
        for candidate in candidates {
            let bound = candidate
                .weight_version
                .and_then(|version| published.start_bound(version, bound_ms, OLD_WEIGHTS_END_MS));
            candidate.start_left_ms = bound.map(|bound| bound.until_ms.since(now_ms));
        }
    }

    /// The bound on the start of requests at an engine with `version`; none while no newer weights are published.
    pub(crate) fn start_bound(&self, model: &ModelName, version: u64) -> Option<StartBound> {
        let bound_ms = self.bounds().weights_propagation_ms;
        self.weights.lock().get(model)?.start_bound(version, bound_ms, OLD_WEIGHTS_END_MS)
    }

    /// The bound on the start of a request, which is kept up to date while the request waits.
    pub(crate) fn waiting_bound(self: &Arc<Self>, model: &ModelName, version: u64) -> WaitingBound {
        WaitingBound {
            gateway: self.clone(),
            model: model.clone(),
            version,
            changes: self.weight_changes.subscribe(),
        }
    }
}

/// The bound on the start of a request that waits at an engine.
///
/// Newer weights may be published, or dated anew, after the request was sent.
pub(crate) struct WaitingBound {
    gateway: Arc<Gateway>,
    model: ModelName,
    version: u64,
    changes: watch::Receiver<u64>,
}

impl WaitingBound {
    /// The bound as it is known now; none while no newer weights are published.
    pub(crate) fn current(&self) -> Option<StartBound> {
        self.gateway.start_bound(&self.model, self.version)
    }

    /// Waits until a request with this bound must not begin any more; for ever without a bound.
    pub(crate) async fn wait_for_end(bound: Option<&mut Self>) {
        let Some(bound) = bound else { return pending().await };
        loop {
            bound.changes.mark_unchanged();
            let now_ms = bound.gateway.clock.now();
            let left_ms = bound.current().map(|current| current.until_ms.since(now_ms));
            // The sender lives as long as the gateway, so that waiting for a change can't fail.
            let changed = bound.changes.changed();
            match left_ms {
                Some(TimeMs(0)) => return,
                Some(left_ms) => {
                    let _ = timeout(Duration::from_millis(left_ms.get()), changed).await;
                }
                None => {
                    let _ = changed.await;
                }
            }
        }
    }
}
