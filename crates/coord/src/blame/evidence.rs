//! How losses, ends of incarnations and answers become evidence.

use bilberryford_types::TimeMs;

use super::{
    Blame, BlameChange, Feature, FeatureKind, Loss,
    feature_evidence::{Crash, FeatureEvidence},
    quarantine::QuarantineEntry,
};

/// The longest time from a loss to the end of its incarnation, in milliseconds: the entry of an endpoint in the list
/// expires some seconds after a crash.
pub(super) const CORRELATION_MS: TimeMs = TimeMs(6_000);
/// The most features that are suspected at a time. Beyond them, those with the oldest single crash are forgotten first.
const MAX_FEATURES: usize = 4_096;
/// The most losses that wait for the end of their incarnations.
const MAX_LOSSES: usize = 4_096;

impl<I: Copy + Ord> Blame<I> {
    /// Records that a request was answered: its response is complete, or went on for a while after its first content.
    pub fn record_answer(&mut self, features: &[Feature], now_ms: TimeMs) -> Vec<BlameChange> {
        self.observing_since_ms.get_or_insert(now_ms);
        let mut changes = Vec::new();
        for feature in features {
            if feature.kind() == FeatureKind::Part {
                self.answers_seen = self.answers_seen.saturating_add(1);
                self.answers.add(*feature, now_ms);
            }
            let is_tried = |quarantine: &QuarantineEntry<I>| {
                quarantine.has_term_ended || !quarantine.comes_with(features)
            };
            if self.quarantined.get(feature).is_some_and(is_tried) {
                self.cleared_ms.insert(*feature, now_ms);
                changes.extend(self.clear(*feature, now_ms));
            }
            if let Some(evidence) = self.evidence.get_mut(feature) {
                evidence.record_answer();
                // What may be quarantined soon can't wait for the next report.
                self.has_news |= evidence.is_repeated() && !evidence.is_outweighed(feature.kind());
                changes.extend(self.weigh_answers(*feature, now_ms));
            }
        }
        changes
    }

    /// Records that a request was lost with its connection to an endpoint that may have begun to run it, unanswered.
    pub fn record_loss(
        &mut self,
        features: &[Feature],
        incarnation: I,
        now_ms: TimeMs,
    ) -> Vec<BlameChange> {
        self.observing_since_ms.get_or_insert(now_ms);
        if self.departed_ms.contains_key(&incarnation) {
            return Vec::new();
        }
        if self.ended_ms.contains_key(&incarnation) {
            return self.count_crash(features, incarnation, now_ms, now_ms);
        }
        if self.losses_len < MAX_LOSSES {
            self.losses_len += 1;
            let loss = Loss { features: features.to_vec(), at_ms: now_ms };
            self.losses.entry(incarnation).or_default().push(loss);
        }
        Vec::new()
    }

    /// Returns true if a loss at `incarnation` waits for its end to become known.
    pub fn awaits_end(&self, incarnation: I) -> bool {
        self.losses.contains_key(&incarnation)
    }

    /// Returns true if the unplanned end of `incarnation` is known.
    pub fn has_ended(&self, incarnation: I) -> bool {
        self.ended_ms.contains_key(&incarnation)
    }

    /// Records that an incarnation has ended without having said that it leaves: its address refuses connections or
    /// belongs to another endpoint. What is lost with it later was lost in the crash as well.
    pub fn record_end(&mut self, incarnation: I, now_ms: TimeMs) -> Vec<BlameChange> {
        if self.departed_ms.contains_key(&incarnation)
            || self.ended_ms.insert(incarnation, now_ms).is_some()
        {
            return Vec::new();
        }
        self.count_losses(incarnation, now_ms)
    }

    /// Records that a ready incarnation is no longer listed. It counts against what was lost before; an endpoint that leaves
    /// without saying so may go on for a while.
    pub fn record_removal(&mut self, incarnation: I, now_ms: TimeMs) -> Vec<BlameChange> {
        self.count_losses(incarnation, now_ms)
    }

    pub(super) fn count_losses(&mut self, incarnation: I, now_ms: TimeMs) -> Vec<BlameChange> {
        let losses = self.take_losses(incarnation);
        let coincident =
            losses.into_iter().filter(|loss| now_ms.since(loss.at_ms) <= CORRELATION_MS);
        coincident
            .flat_map(|loss| self.count_crash(&loss.features, incarnation, loss.at_ms, now_ms))
            .collect()
    }

    /// Records that an incarnation leaves as planned: what is lost with it counts against nothing.
    pub fn record_departure(&mut self, incarnation: I, now_ms: TimeMs) {
        self.departed_ms.insert(incarnation, now_ms);
        self.take_losses(incarnation);
    }

    pub(super) fn take_losses(&mut self, incarnation: I) -> Vec<Loss> {
        let losses = self.losses.remove(&incarnation).unwrap_or_default();
        self.losses_len -= losses.len();
        losses
    }

    /// Counts a crash that this instance observed against each of `features`.
    pub(super) fn count_crash(
        &mut self,
        features: &[Feature],
        incarnation: I,
        at_ms: TimeMs,
        now_ms: TimeMs,
    ) -> Vec<BlameChange> {
        let crash = Crash { incarnation, at_ms, reported_ms: None, is_local: true };
        // The quarantined features of the request explain the crash to the others.
        let is_quarantined = |feature: &Feature| self.quarantined.contains_key(feature);
        let quarantined: Vec<_> = features.iter().copied().filter(is_quarantined).collect();
        if !quarantined.is_empty() {
            let mut changes = self.free_alike(&quarantined, features, now_ms);
            let added =
                quarantined.iter().flat_map(|feature| self.add_crash(*feature, crash, now_ms));
            changes.extend(added);
            return changes;
        }
        features.iter().flat_map(|feature| self.add_crash(*feature, crash, now_ms)).collect()
    }

    pub(super) fn add_crash(
        &mut self,
        feature: Feature,
        crash: Crash<I>,
        now_ms: TimeMs,
    ) -> Vec<BlameChange> {
        if self.quarantined.contains_key(&feature) {
            return self.add_crash_to_quarantined(feature, crash, now_ms);
        }
        if self.explained_ms.contains_key(&crash.incarnation) || !self.make_room(feature, now_ms) {
            return Vec::new();
        }
        let evidence = self.evidence.entry(feature).or_default();
        let answers = &mut self.answers;
        if !evidence.add(crash, feature.kind(), || answers.count(feature, now_ms), now_ms) {
            return Vec::new();
        }
        self.has_news |= crash.is_local;
        let mut changes: Vec<_> = self.weigh_answers(feature, now_ms).into_iter().collect();
        if let Some(evidence) = self.evidence.get(&feature) {
            if evidence.crashes().len() == 2 && !evidence.is_outweighed(feature.kind()) {
                changes.push(BlameChange::Suspected { feature, answers: evidence.answers() });
            }
            let ripe_ms = self.ripe_at_ms(feature, evidence);
            self.ripe_ms = self.ripe_ms.into_iter().chain(ripe_ms).min();
        }
        changes
    }

    /// Makes room for a feature, and returns false if there is none: of the features with a single crash, the quarter that
    /// was suspected longest ago is forgotten.
    pub(super) fn make_room(&mut self, feature: Feature, now_ms: TimeMs) -> bool {
        if self.evidence.len() < MAX_FEATURES || self.evidence.contains_key(&feature) {
            return true;
        }
        self.expire(now_ms);
        let is_weak = |feature: &Feature, evidence: &FeatureEvidence<I>| {
            !evidence.is_repeated() && !self.quarantined.contains_key(feature)
        };
        let weak = self.evidence.iter().filter(|(feature, evidence)| is_weak(feature, evidence));
        let mut weak: Vec<_> =
            weak.map(|(feature, evidence)| (evidence.last_ms(), *feature)).collect();
        weak.sort_unstable();
        for (_, feature) in weak.into_iter().take(MAX_FEATURES / 4) {
            self.evidence.remove(&feature);
        }
        self.evidence.len() < MAX_FEATURES
    }
}
