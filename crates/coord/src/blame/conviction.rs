//! When the evidence convicts, what that explains, and what lifts it.

use std::collections::BTreeSet;

use bilberryford_types::TimeMs;

use super::{
    Blame, BlameChange, Feature, FeatureKind, MANY_CRASHES, SETTLE_MS,
    accused::{Accused, Crash},
    reports::OVERDUE_MS,
};

/// How long an instance has to have seen losses or answers before it convicts a part, in milliseconds: after a start it
/// knows of no answers, not even those on parts that nearly all prompts share. It is shorter with many answers, and with
/// as many crashes as start the time in which the part has to be stopped.
const OBSERVATION_MS: TimeMs = TimeMs(5_000);
const SHORT_OBSERVATION_MS: TimeMs = TimeMs(2_000);
const SHORT_OBSERVATION_ANSWERS: u32 = 40;
/// The report intervals for which the evidence on a part that has been answered waits for the answers at other instances.
const SETTLE_INTERVALS: u64 = 2;
/// The first term of a convicted request, in milliseconds.
pub(super) const REQUEST_TERM_MS: u64 = 600_000;
/// The first term of a convicted part, in milliseconds: a wrong conviction shuts all callers out whose prompts have it.
const PART_TERM_MS: u64 = 30_000;
/// The factor by which the term grows with each trial that crashes: few trials in a day, since each costs an endpoint.
const TERM_FACTOR: u64 = 20;
/// The longest term of a conviction, in milliseconds: a day.
const MAX_TERM_MS: u64 = 86_400_000;
/// The most convicted features.
const MAX_CONVICTED: usize = 1_024;

/// Returns true if one of two sets of crashes has all of the other: a report that is late makes them differ.
fn is_nested<I: Ord>(first: &BTreeSet<I>, second: &BTreeSet<I>) -> bool {
    first.is_subset(second) || first.is_superset(second)
}

/// The state of a convicted feature.
#[derive(Debug, Clone)]
pub(super) struct Conviction<I> {
    pub(super) incarnations: BTreeSet<I>,
    /// The parts that came with it each time, so that one of them may be the culprit.
    pub(super) alike: Vec<Feature>,
    pub(super) until_ms: TimeMs,
    pub(super) term_ms: u64,
    pub(super) has_term_ended: bool,
    pub(super) convicted_ms: TimeMs,
    /// The time of the last report of it, by this instance or by a peer.
    pub(super) reported_ms: Option<TimeMs>,
}

impl<I> Conviction<I> {
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
            convicted_ms: now_ms,
            reported_ms: None,
        }
    }

    /// Returns true if no peer has reported it within a time.
    pub(super) fn is_overdue(&self, now_ms: TimeMs) -> bool {
        now_ms.since(self.convicted_ms) >= OVERDUE_MS
    }

    /// Returns true if a request with `features` has all parts that the evidence can't tell apart.
    pub(super) fn comes_with(&self, features: &[Feature]) -> bool {
        self.alike.iter().all(|alike| features.contains(alike))
    }
}

impl<I: Copy + Ord> Blame<I> {
    /// Lifts the convictions of parts that were convicted with one of `convicted` and that a crash did without.
    pub(super) fn free_alike(
        &mut self,
        convicted: &[Feature],
        features: &[Feature],
        now_ms: TimeMs,
    ) -> Vec<BlameChange> {
        let absent: BTreeSet<Feature> = convicted
            .iter()
            .filter_map(|feature| self.convicted.get(feature))
            .flat_map(|conviction| conviction.alike.iter().copied())
            .filter(|alike| !features.contains(alike))
            .collect();
        let changes = absent.into_iter().filter_map(|feature| {
            self.acquitted_ms.insert(feature, now_ms);
            self.acquit(feature, now_ms)
        });
        changes.collect()
    }

    /// A crash of a convicted feature: the trial of one whose term has ended, or a run that was under way.
    pub(super) fn add_crash_to_convicted(
        &mut self,
        feature: Feature,
        crash: Crash<I>,
        now_ms: TimeMs,
    ) -> Vec<BlameChange> {
        self.explain(&BTreeSet::from([crash.incarnation]), now_ms);
        let Some(conviction) = self.convicted.get_mut(&feature) else { return Vec::new() };
        if !conviction.incarnations.insert(crash.incarnation) || !conviction.has_term_ended {
            return Vec::new();
        }
        let term_ms = (conviction.term_ms * TERM_FACTOR).min(MAX_TERM_MS);
        conviction.term_ms = term_ms;
        conviction.until_ms = now_ms.after(TimeMs(term_ms));
        self.trials_until_ms.remove(&feature);
        conviction.has_term_ended = false;
        conviction.convicted_ms = now_ms;
        conviction.reported_ms = None;
        self.has_news = true;
        vec![BlameChange::Convicted {
            feature,
            crashes: conviction.incarnations.len(),
            answers: 0,
            first_crash_age_ms: TimeMs(0),
            term_ms: TimeMs(term_ms),
            is_reported: !crash.is_local,
        }]
    }

    /// Clears a request that was answered, and lifts the conviction of a feature whose answers outweigh its crashes.
    pub(super) fn weigh_answers(
        &mut self,
        feature: Feature,
        now_ms: TimeMs,
    ) -> Option<BlameChange> {
        let accused = self.accused.get_mut(&feature)?;
        if !accused.is_outweighed(feature.kind()) {
            return None;
        }
        if self.convicted.contains_key(&feature) {
            return self.acquit(feature, now_ms);
        }
        if feature.kind() == FeatureKind::Request {
            accused.clear(now_ms);
        }
        None
    }

    /// Lifts a conviction.
    pub(super) fn acquit(&mut self, feature: Feature, now_ms: TimeMs) -> Option<BlameChange> {
        for conviction in self.convicted.values_mut() {
            conviction.alike.retain(|alike| *alike != feature);
        }
        self.convicted.remove(&feature)?;
        self.has_news = true;
        let accused = self.accused.get_mut(&feature);
        let answers = accused.as_ref().map_or(0, |accused| accused.answers());
        if let Some(accused) = accused {
            accused.clear(now_ms);
        }
        Some(BlameChange::Acquitted { feature, answers })
    }

    pub(super) fn has_room_to_convict(&self) -> bool {
        self.convicted.len() < MAX_CONVICTED
    }

    /// Convicts what the evidence suffices for, and reports terms that have ended. To be called often.
    pub fn tick(&mut self, now_ms: TimeMs) -> Vec<BlameChange> {
        let mut changes = Vec::new();
        for (feature, conviction) in &mut self.convicted {
            if !conviction.has_term_ended && conviction.until_ms <= now_ms {
                conviction.has_term_ended = true;
                changes.push(BlameChange::TermEnded { feature: *feature });
            }
        }
        let is_overdue = |conviction: &Conviction<I>| {
            conviction.reported_ms.is_none() && conviction.is_overdue(now_ms)
        };
        self.has_news |= self.convicted.values().any(is_overdue);
        if self.ripe_ms.is_some_and(|ripe_ms| ripe_ms <= now_ms) {
            while let Some(culprits) = self.culprits(now_ms) {
                changes.extend(self.convict(&culprits, now_ms));
            }
            let open =
                self.accused.iter().filter(|(feature, _)| !self.convicted.contains_key(feature));
            self.ripe_ms =
                open.filter_map(|(feature, accused)| self.ripe_at_ms(*feature, accused)).min();
        }
        changes
    }

    /// The time from which the evidence on a feature is complete, if it suffices.
    pub(super) fn ripe_at_ms(&self, feature: Feature, accused: &Accused<I>) -> Option<TimeMs> {
        let since_ms = accused.convictable_since_ms(feature.kind())?;
        if feature.kind() == FeatureKind::Request {
            return Some(since_ms.after(SETTLE_MS));
        }
        let answered_ms = TimeMs(SETTLE_INTERVALS * self.report_interval_ms.get());
        let settle_ms = match accused.answers() {
            0 => SETTLE_MS,
            _ => SETTLE_MS.after(answered_ms),
        };
        let has_evidence = self.answers_seen >= SHORT_OBSERVATION_ANSWERS
            || accused.crashes().len() >= MANY_CRASHES;
        let observation_ms = if has_evidence { SHORT_OBSERVATION_MS } else { OBSERVATION_MS };
        let observed_ms = self.observing_since_ms?.after(observation_ms);
        Some(since_ms.after(settle_ms).max(observed_ms))
    }

    /// The features that the evidence speaks against most: those with the fewest answers for each crash, then those that
    /// explain most crashes. Of a request and a part that explain the same, the request is the narrower explanation; parts
    /// that the evidence can't tell apart come together.
    pub(super) fn culprits(&self, now_ms: TimeMs) -> Option<Vec<Feature>> {
        let convictable = |(feature, accused): &(&Feature, &Accused<I>)| {
            !self.convicted.contains_key(feature)
                && self.ripe_at_ms(**feature, accused).is_some_and(|ripe_ms| ripe_ms <= now_ms)
        };
        let (first, evidence) =
            self.accused.iter().filter(convictable).min_by_key(|(feature, accused)| {
                let crashes = accused.crashes().len();
                let answers_per_mille = u64::from(accused.answers()) * 1_000 / crashes as u64;
                (answers_per_mille, std::cmp::Reverse(crashes), feature.kind(), **feature)
            })?;
        if !self.has_room_to_convict() {
            return None;
        }
        let incarnations = evidence.incarnations();
        let is_alike = |(feature, accused): &(&Feature, &Accused<I>)| {
            feature.kind() == FeatureKind::Part
                && accused.answers() == evidence.answers()
                && is_nested(&accused.incarnations(), &incarnations)
        };
        let mut culprits = vec![*first];
        if first.kind() == FeatureKind::Part {
            let alike = self.accused.iter().filter(convictable).filter(is_alike);
            culprits.extend(alike.map(|(feature, _)| *feature).filter(|feature| feature != first));
        }
        Some(culprits)
    }

    pub(super) fn convict(&mut self, culprits: &[Feature], now_ms: TimeMs) -> Vec<BlameChange> {
        let mut changes = Vec::new();
        let mut explained = BTreeSet::new();
        for feature in culprits {
            let Some(accused) = self.accused.get(feature) else { continue };
            let incarnations = accused.incarnations();
            let term_ms = match feature.kind() {
                FeatureKind::Request => REQUEST_TERM_MS,
                FeatureKind::Part => PART_TERM_MS,
            };
            changes.push(BlameChange::Convicted {
                feature: *feature,
                crashes: accused.crashes().len(),
                answers: accused.answers(),
                first_crash_age_ms: accused.first_crash_age_ms(now_ms),
                term_ms: TimeMs(term_ms),
                is_reported: false,
            });
            explained.extend(&incarnations);
            let alike = culprits.iter().copied().filter(|other| other != feature).collect();
            let until_ms = now_ms.after(TimeMs(term_ms));
            let conviction = Conviction::new(incarnations, alike, term_ms, until_ms, now_ms);
            self.convicted.insert(*feature, conviction);
        }
        self.has_news = true;
        self.explain(&explained, now_ms);
        changes
    }

    /// Withdraws the crashes of `incarnations` from all features but the convicted ones.
    pub(super) fn explain(&mut self, incarnations: &BTreeSet<I>, now_ms: TimeMs) {
        self.explained_ms.extend(incarnations.iter().map(|incarnation| (*incarnation, now_ms)));
        for (feature, accused) in &mut self.accused {
            if !self.convicted.contains_key(feature) {
                accused.withdraw(incarnations);
            }
        }
    }
}
