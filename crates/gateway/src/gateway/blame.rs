//! What this instance does with what it sees of crashes: it records, reports and refuses. See [`Blame`].

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bilberryford_coord::{Blame, BlameAgenda, BlameChange, BlameDecision, Feature};
use bilberryford_types::TimeMs;
use tokio::time::sleep;

use super::Gateway;
use crate::{
    connections::accepts_connections,
    features::{Loss, RequestFeatures, ResponseStage},
    peer_loads::EndpointTag,
    placement::Candidate,
};

/// The time for which a response has to go on after its first content to count as an answer, in milliseconds: a crash
/// may come with the first content.
pub(crate) const ANSWER_AGE_MS: TimeMs = TimeMs(250);
/// The times after a loss at which its endpoint is asked whether it still accepts connections.
const PROBE_DELAYS: [Duration; 3] =
    [Duration::from_millis(5), Duration::from_millis(150), Duration::from_millis(600)];

impl Gateway {
    /// Returns true once this instance knows what its peers blame, or has none that could know.
    pub(crate) fn has_learned_blame(&self) -> bool {
        self.has_learned_blame.load(Ordering::Relaxed)
    }

    /// Says what may be done with a request, and reserves its trial if it is one.
    pub(crate) fn take_decision(&self, features: &RequestFeatures) -> BlameDecision {
        let now_ms = self.clock.now();
        let is_trier = |feature: Feature| self.rank_for(feature) == 0;
        let mut blame = self.blame.lock();
        let decision = blame.decide(features.all(), is_trier, now_ms);
        if matches!(decision, BlameDecision::Trial(_)) {
            blame.start_trial(features.all(), now_ms);
        }
        decision
    }

    /// The place of this instance among the live ones in the rendezvous order of a feature.
    pub(crate) fn rank_for(&self, feature: Feature) -> usize {
        self.rank_for_key(&feature.key())
    }

    /// The place of this instance among the live ones in the rendezvous order of `key`.
    pub(crate) fn rank_for_key(&self, key: &str) -> usize {
        self.peers.lock().rendezvous_rank(self.settings.instance.as_str(), key)
    }

    /// Records that the response of an endpoint that may have begun to run the request was lost, at `stage` of the
    /// response.
    pub(crate) fn record_request_loss(
        self: &Arc<Self>,
        candidate: &Candidate,
        features: &RequestFeatures,
        stage: ResponseStage,
        loss: Loss<'_>,
    ) {
        let now_ms = self.clock.now();
        let incarnation = candidate.incarnation;
        self.doubt_build(&candidate.id);
        if let Some(suppressed) = self.request_log.take_loss_record(now_ms) {
            let (stage_name, loss_name): (&'static str, &'static str) = (stage.into(), loss.into());
            let message = match loss {
                Loss::Connection(_) => "response lost with its connection",
                Loss::Silence => "response given up, since nothing came in time",
            };
            log::info!(
                target: "belief", request = features.request_id(), endpoint:% = candidate.id,
                incarnation:% = incarnation, fingerprint:% = features.request(),
                parts = features.parts_text().as_str(), stage = stage_name,
                content_age_ms = stage.content_age_ms().map_or(0, TimeMs::get), loss = loss_name,
                error = loss.error(), left_out = suppressed;
                "{message}"
            );
        }
        if stage.content_age_ms().is_some_and(|age_ms| age_ms >= ANSWER_AGE_MS) {
            return self.change_blame(|blame, now_ms| blame.record_answer(features.all(), now_ms));
        }
        let is_awaited = self.blame.lock().awaits_end(incarnation);
        self.change_blame(|blame, now_ms| blame.record_loss(features.all(), incarnation, now_ms));
        if !is_awaited && self.blame.lock().awaits_end(incarnation) {
            tokio::spawn(probe_for_end(self.clone(), candidate.clone()));
        }
    }

    /// Waits until a feature of a request is quarantined, so that its run is withdrawn unless it has been answered.
    pub(crate) async fn quarantine_of(&self, features: &RequestFeatures) -> Feature {
        let mut quarantines = self.quarantines.subscribe();
        loop {
            if let Some(feature) = self.blame.lock().quarantined_of(features.all()) {
                return feature;
            }
            if quarantines.changed().await.is_err() {
                // The sender lives as long as this gateway.
                std::future::pending::<()>().await;
            }
        }
    }

    /// Records that a request was answered.
    pub(crate) fn record_answer(&self, features: &RequestFeatures) {
        self.change_blame(|blame, now_ms| blame.record_answer(features.all(), now_ms));
    }

    /// Records the unplanned end of an endpoint's incarnation, with how this instance found out.
    pub(crate) fn record_incarnation_end(&self, incarnation: EndpointTag, source: &'static str) {
        if !self.blame.lock().has_ended(incarnation) {
            log::info!(
                target: "belief", incarnation:% = incarnation, source = source; "endpoint ended"
            );
        }
        self.change_blame(|blame, now_ms| blame.record_end(incarnation, now_ms));
    }

    /// Applies a change to what is blamed, logs the outcome and wakes the task that reports it.
    pub(crate) fn change_blame(
        &self,
        change: impl FnOnce(&mut Blame<EndpointTag>, TimeMs) -> Vec<BlameChange>,
    ) {
        let mut blame = self.blame.lock();
        let now_ms = self.clock.now();
        let changes = change(&mut blame, now_ms);
        let is_due = blame.has_news() || blame.agenda(now_ms) == BlameAgenda::Weigh;
        drop(blame);
        if is_due {
            self.blame_changed.notify_one();
        }
        changes.iter().for_each(|change| self.log_blame_change(change));
    }

    fn log_blame_change(&self, change: &BlameChange) {
        match change {
            BlameChange::Suspected { feature, answers } => log::info!(
                target: "belief", feature:% = feature, kind:% = feature.kind(), crashes = 2,
                answers = answers; "feature suspected of crashing endpoints"
            ),
            BlameChange::Quarantined {
                feature,
                crashes,
                answers,
                first_crash_age_ms,
                term_ms,
                source,
            } => {
                self.metrics.quarantined.add(1, &[]);
                self.quarantines.send_modify(|quarantines| *quarantines += 1);
                log::warn!(
                    target: "belief", feature:% = feature, kind:% = feature.kind(),
                    crashes = crashes, answers = answers,
                    first_crash_age_ms = first_crash_age_ms.get(), term_ms = term_ms.get(),
                    source = <&str>::from(*source);
                    "feature quarantined: requests with it are refused"
                );
            }
            BlameChange::Cleared { feature, answers } => {
                self.quarantines.send_modify(|quarantines| *quarantines += 1);
                log::warn!(
                    target: "belief", feature:% = feature, kind:% = feature.kind(),
                    answers = answers;
                    "feature cleared: requests with it run again"
                );
            }
            BlameChange::TermEnded { feature } => log::info!(
                target: "belief", feature:% = feature, kind:% = feature.kind();
                "feature's quarantine is over: one request tries it"
            ),
        }
    }
}

/// Asks an endpoint at which a request was lost whether it still accepts connections. Otherwise only the next request that
/// is placed there would show its end.
async fn probe_for_end(gateway: Arc<Gateway>, candidate: Candidate) {
    for delay in PROBE_DELAYS {
        sleep(delay).await;
        if !gateway.blame.lock().awaits_end(candidate.incarnation) {
            return;
        }
        gateway.metrics.connections.add(1, &[]);
        if !accepts_connections(candidate.address).await {
            return gateway.record_incarnation_end(candidate.incarnation, "probe_refused");
        }
    }
}
