//! When the evidence quarantines, what that explains, and what lifts it.

use std::collections::BTreeSet;

use bilberryford_types::TimeMs;

use super::{
    Blame, BlameChange, BlameSource, Feature, FeatureKind, MANY_CRASHES, SETTLE_MS,
    feature_evidence::{Crash, FeatureEvidence},
    reports::OVERDUE_MS,
};

/// How long an instance has to have seen losses or answers before it quarantines a part, in milliseconds: after a start it
/// knows of no answers, not even those on parts that nearly all prompts share. It is shorter with many answers, and with
/// as many crashes as start the time in which the part has to be stopped.
const OBSERVATION_MS: TimeMs = TimeMs(5_000);
const SHORT_OBSERVATION_MS: TimeMs = TimeMs(2_000);
const SHORT_OBSERVATION_ANSWERS: u32 = 40;
/// The report intervals for which the evidence on a part that has been answered waits for the answers at other instances.
const SETTLE_INTERVALS: u64 = 2;
/// The first term of a quarantined request, in milliseconds.
pub(super) const REQUEST_TERM_MS: u64 = 600_000;
/// The first term of a quarantined part, in milliseconds: a wrong quarantine shuts all callers out whose prompts have it.
const PART_TERM_MS: u64 = 30_000;
/// The factor by which the term grows with each trial that crashes: few trials in a day, since each costs an endpoint.
const TERM_FACTOR: u64 = 20;
/// The longest term of a quarantine, in milliseconds: a day.
const MAX_TERM_MS: u64 = 86_400_000;
/// The most quarantined features.
const MAX_QUARANTINED: usize = 1_024;

/// Returns true if one of two sets of crashes has all of the other: a report that is late makes them differ.
fn is_nested<I: Ord>(first: &BTreeSet<I>, second: &BTreeSet<I>) -> bool {
    first.is_subset(second) || first.is_superset(second)
}

/// The state of a quarantined feature.
#[derive(Debug, Clone)]
pub(super) struct QuarantineEntry<I> {
    pub(super) incarnations: BTreeSet<I>,
    /// The parts that came with it each time, so that one of them may be the culprit.
    pub(super) alike: Vec<Feature>,
    pub(super) until_ms: TimeMs,
    pub(super) term_ms: u64,
    pub(super) has_term_ended: bool,
    pub(super) quarantined_ms: TimeMs,
    /// The time of the last report of it, by this instance or by a peer.
    pub(super) reported_ms: Option<TimeMs>,
}

impl<I> QuarantineEntry<I> {
    pub(super) fn new(
        incarnations: BTreeSet<I>,
        alike: Vec<Feature>,
        term_ms: u64,
        until_ms: TimeMs,
        now_ms: TimeMs,
    ) -> Self {
        Self {
            incarnations,
            alike,
            until_ms,
            term_ms,
            has_term_ended: false,
            quarantined_ms: now_ms,
            reported_ms: None,
        }
    }

    /// Returns true if no peer has reported it within a time.
    pub(super) fn is_overdue(&self, now_ms: TimeMs) -> bool {
        now_ms.since(self.quarantined_ms) >= OVERDUE_MS
    }

    /// Returns true if a request with `features` has all parts that the evidence can't tell apart.
    pub(super) fn comes_with(&self, features: &[Feature]) -> bool {
        self.alike.iter().all(|alike| features.contains(alike))
    }
}

impl<I: Copy + Ord> Blame<I> {
    /// Lifts the quarantines of parts that were quarantined with one of `quarantined` and that a crash did without.
    pub(super) fn free_alike(
        &mut self,
        quarantined: &[Feature],
        features: &[Feature],
        now_ms: TimeMs,
    ) -> Vec<BlameChange> {
        let absent: BTreeSet<Feature> = quarantined
            .iter()
            .filter_map(|feature| self.quarantined.get(feature))
            .flat_map(|quarantine| quarantine.alike.iter().copied())
            .filter(|alike| !features.contains(alike))
            .collect();
        let changes = absent.into_iter().filter_map(|feature| {
            self.cleared_ms.insert(feature, now_ms);
            self.clear(feature, now_ms)
        });
        changes.collect()
    }

    /// A crash of a quarantined feature: the trial of one whose term has ended, or a run that was under way.
    pub(super) fn add_crash_to_quarantined(
        &mut self,
        feature: Feature,
        crash: Crash<I>,
        now_ms: TimeMs,
    ) -> Vec<BlameChange> {
        self.explain(&BTreeSet::from([crash.incarnation]), now_ms);
        let Some(quarantine) = self.quarantined.get_mut(&feature) else { return Vec::new() };
        if !quarantine.incarnations.insert(crash.incarnation) || !quarantine.has_term_ended {
            return Vec::new();
        }
        let term_ms = (quarantine.term_ms * TERM_FACTOR).min(MAX_TERM_MS);
        quarantine.term_ms = term_ms;
        quarantine.until_ms = now_ms.after(TimeMs(term_ms));
        self.trials_until_ms.remove(&feature);
        quarantine.has_term_ended = false;
        quarantine.quarantined_ms = now_ms;
        quarantine.reported_ms = None;
        self.has_news = true;
        vec![BlameChange::Quarantined {
            feature,
            crashes: quarantine.incarnations.len(),
            answers: 0,
            first_crash_age_ms: TimeMs(0),
            term_ms: TimeMs(term_ms),
            source: if crash.is_local { BlameSource::OwnEvidence } else { BlameSource::Peer },
        }]
    }

    /// Clears a request that was answered, and lifts the quarantine of a feature whose answers outweigh its crashes.
    pub(super) fn weigh_answers(
        &mut self,
        feature: Feature,
        now_ms: TimeMs,
    ) -> Option<BlameChange> {
        let evidence = self.evidence.get_mut(&feature)?;
        if !evidence.is_outweighed(feature.kind()) {
            return None;
        }
        if self.quarantined.contains_key(&feature) {
            return self.clear(feature, now_ms);
        }
        if feature.kind() == FeatureKind::Request {
            evidence.clear(now_ms);
        }
        None
    }

    /// Lifts a quarantine.
    pub(super) fn clear(&mut self, feature: Feature, now_ms: TimeMs) -> Option<BlameChange> {
        for quarantine in self.quarantined.values_mut() {
            quarantine.alike.retain(|alike| *alike != feature);
        }
        self.quarantined.remove(&feature)?;
        self.has_news = true;
        let evidence = self.evidence.get_mut(&feature);
        let answers = evidence.as_ref().map_or(0, |evidence| evidence.answers());
        if let Some(evidence) = evidence {
            evidence.clear(now_ms);
        }
        Some(BlameChange::Cleared { feature, answers })
    }

    pub(super) fn has_room_to_quarantine(&self) -> bool {
        self.quarantined.len() < MAX_QUARANTINED
    }

    /// Quarantines what the evidence suffices for, and reports terms that have ended. To be called often.
    pub fn tick(&mut self, now_ms: TimeMs) -> Vec<BlameChange> {
        let mut changes = Vec::new();
        for (feature, quarantine) in &mut self.quarantined {
            if !quarantine.has_term_ended && quarantine.until_ms <= now_ms {
                quarantine.has_term_ended = true;
                changes.push(BlameChange::TermEnded { feature: *feature });
            }
        }
        let is_overdue = |quarantine: &QuarantineEntry<I>| {
            quarantine.reported_ms.is_none() && quarantine.is_overdue(now_ms)
        };
        self.has_news |= self.quarantined.values().any(is_overdue);
        if self.ripe_ms.is_some_and(|ripe_ms| ripe_ms <= now_ms) {
            while let Some(culprits) = self.culprits(now_ms) {
                changes.extend(self.quarantine(&culprits, now_ms));
            }
            let open =
                self.evidence.iter().filter(|(feature, _)| !self.quarantined.contains_key(feature));
            self.ripe_ms =
                open.filter_map(|(feature, evidence)| self.ripe_at_ms(*feature, evidence)).min();
        }
        changes
    }

    /// The time from which the evidence on a feature is complete, if it suffices.
    pub(super) fn ripe_at_ms(
        &self,
        feature: Feature,
        evidence: &FeatureEvidence<I>,
    ) -> Option<TimeMs> {
        let since_ms = evidence.quarantinable_since_ms(feature.kind())?;
        if feature.kind() == FeatureKind::Request {
            return Some(since_ms.after(SETTLE_MS));
        }
        let answered_ms = TimeMs(SETTLE_INTERVALS * self.report_interval_ms.get());
        let settle_ms = match evidence.answers() {
            0 => SETTLE_MS,
            _ => SETTLE_MS.after(answered_ms),
        };
        let has_evidence = self.answers_seen >= SHORT_OBSERVATION_ANSWERS
            || evidence.crashes().len() >= MANY_CRASHES;
        let observation_ms = if has_evidence { SHORT_OBSERVATION_MS } else { OBSERVATION_MS };
        let observed_ms = self.observing_since_ms?.after(observation_ms);
        Some(since_ms.after(settle_ms).max(observed_ms))
    }

    /// The features that the evidence speaks against most: those with the fewest answers for each crash, then those that
    /// explain most crashes. Of a request and a part that explain the same, the request is the narrower explanation; parts
    /// that the evidence can't tell apart come together.
    pub(super) fn culprits(&self, now_ms: TimeMs) -> Option<Vec<Feature>> {
        let quarantinable = |(feature, evidence): &(&Feature, &FeatureEvidence<I>)| {
            !self.quarantined.contains_key(feature)
                && self.ripe_at_ms(**feature, evidence).is_some_and(|ripe_ms| ripe_ms <= now_ms)
        };
        let (first, strongest) =
            self.evidence.iter().filter(quarantinable).min_by_key(|(feature, evidence)| {
                let crashes = evidence.crashes().len();
                let answers_per_mille = u64::from(evidence.answers()) * 1_000 / crashes as u64;
                (answers_per_mille, std::cmp::Reverse(crashes), feature.kind(), **feature)
            })?;
        if !self.has_room_to_quarantine() {
            return None;
        }
        let incarnations = strongest.incarnations();
        let is_alike = |(feature, evidence): &(&Feature, &FeatureEvidence<I>)| {
            feature.kind() == FeatureKind::Part
                && evidence.answers() == strongest.answers()
                && is_nested(&evidence.incarnations(), &incarnations)
        };
        let mut culprits = vec![*first];
        if first.kind() == FeatureKind::Part {
            let alike = self.evidence.iter().filter(quarantinable).filter(is_alike);
            culprits.extend(alike.map(|(feature, _)| *feature).filter(|feature| feature != first));
        }
        Some(culprits)
    }

    pub(super) fn quarantine(&mut self, culprits: &[Feature], now_ms: TimeMs) -> Vec<BlameChange> {
        let mut changes = Vec::new();
        let mut explained = BTreeSet::new();
        for feature in culprits {
            let Some(evidence) = self.evidence.get(feature) else { continue };
            let incarnations = evidence.incarnations();
            let term_ms = match feature.kind() {
                FeatureKind::Request => REQUEST_TERM_MS,
                FeatureKind::Part => PART_TERM_MS,
            };
            changes.push(BlameChange::Quarantined {
                feature: *feature,
                crashes: evidence.crashes().len(),
                answers: evidence.answers(),
                first_crash_age_ms: evidence.first_crash_age_ms(now_ms),
                term_ms: TimeMs(term_ms),
                source: BlameSource::OwnEvidence,
            });
            explained.extend(&incarnations);
            let alike = culprits.iter().copied().filter(|other| other != feature).collect();
            let until_ms = now_ms.after(TimeMs(term_ms));
            let quarantine = QuarantineEntry::new(incarnations, alike, term_ms, until_ms, now_ms);
            self.quarantined.insert(*feature, quarantine);
        }
        self.has_news = true;
        self.explain(&explained, now_ms);
        changes
    }

    /// Withdraws the crashes of `incarnations` from all features but the quarantined ones.
    pub(super) fn explain(&mut self, incarnations: &BTreeSet<I>, now_ms: TimeMs) {
        self.explained_ms.extend(incarnations.iter().map(|incarnation| (*incarnation, now_ms)));
        for (feature, evidence) in &mut self.evidence {
            if !self.quarantined.contains_key(feature) {
                evidence.withdraw(incarnations);
            }
        }
    }
}
