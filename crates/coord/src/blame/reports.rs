//! What instances report to each other. Every report may be lost, repeated or late.

use std::collections::BTreeSet;

use bilberryford_types::TimeMs;
use serde::{Deserialize, Serialize};

use super::{
    Blame, BlameChange, BlameSource, Feature,
    feature_evidence::{Answers, Crash},
    quarantine::QuarantineEntry,
};

/// The most parts that a reported quarantine names as alike.
const MAX_NAMED_ALIKE: usize = 4;
/// How long a new crash, quarantine or clearing is part of every report, in milliseconds: several messages.
pub(super) const NEWS_MS: TimeMs = TimeMs(2_500);
/// The interval at which repeated evidence is reported once more, in milliseconds: peers start and reconnect.
const REPEAT_MS: TimeMs = TimeMs(2_000);
/// The instances that report what all of them know.
const REPORTERS: usize = 3;
/// How long an instance that is no reporter waits for the report of one, in milliseconds.
pub(super) const OVERDUE_MS: TimeMs = TimeMs(150);
/// The entries of a message that a quarantine counts as, for its size.
const QUARANTINE_ENTRIES: usize = 4;
/// The most incarnations that a reported quarantine names.
const MAX_NAMED_INCARNATIONS: usize = 8;

/// A crash that counts against a feature.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport<I> {
    /// The feature.
    pub feature: Feature,
    /// The incarnation that ended.
    pub incarnation: I,
    /// The time since then.
    pub age_ms: u32,
}

/// The answers on a suspected feature at the sender, since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerReport {
    /// The feature.
    pub feature: Feature,
    /// The answers since the first crash.
    pub since: u32,
    /// Those of the last seconds before it.
    pub earlier: u32,
}

/// A feature that the sender refuses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineReport<I> {
    /// The feature.
    pub feature: Feature,
    /// How much longer it is refused.
    pub left_ms: u32,
    /// The length of its term.
    pub term_ms: u32,
    /// Some of the incarnations whose crashes quarantined it.
    pub incarnations: Vec<I>,
    /// The parts that the evidence can't tell apart from it.
    pub alike: Vec<Feature>,
}

/// What one instance reports to others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlameReports<I> {
    /// Crashes that the sender observed.
    pub crashes: Vec<CrashReport<I>>,
    /// Answers at the sender.
    pub answers: Vec<AnswerReport>,
    /// Features that the sender refuses.
    pub quarantines: Vec<QuarantineReport<I>>,
    /// Features that the sender's trial cleared.
    pub cleared: Vec<Feature>,
}

impl<I> Default for BlameReports<I> {
    fn default() -> Self {
        Self {
            crashes: Vec::new(),
            answers: Vec::new(),
            quarantines: Vec::new(),
            cleared: Vec::new(),
        }
    }
}

impl<I> BlameReports<I> {
    /// Returns true if there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
            && self.answers.is_empty()
            && self.quarantines.is_empty()
            && self.cleared.is_empty()
    }
}

fn age_ms(since_ms: TimeMs, now_ms: TimeMs) -> u32 {
    u32::try_from(now_ms.since(since_ms).get()).unwrap_or(u32::MAX)
}

impl<I: Copy + Ord> Blame<I> {
    /// Returns true if there is a change that peers should learn of at once.
    pub fn has_news(&self) -> bool {
        self.has_news
    }

    /// Returns true once after each change that peers should learn of at once.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// Takes what is due to be reported, at most `limit` entries. `rank` is the place of this instance in the rendezvous
    /// order of a feature: what all instances know is reported by the first ones.
    pub fn take_reports(
        &mut self,
        limit: usize,
        rank: impl Fn(Feature) -> usize,
        now_ms: TimeMs,
    ) -> BlameReports<I> {
        let mut left = limit;
        let quarantines = self.take_quarantines(&mut left, &rank, now_ms);
        let mut crashes = Vec::new();
        let mut answers = Vec::new();
        // What may be decided first comes first.
        let mut by_evidence: Vec<_> = self.evidence.iter_mut().collect();
        by_evidence.sort_by_key(|(_, evidence)| std::cmp::Reverse(evidence.crashes().len()));
        for (feature, evidence) in by_evidence {
            let is_reporter = || rank(*feature) < REPORTERS;
            if left > 0
                && let Some(counted) = evidence.take_answer_report(feature.kind(), is_reporter)
            {
                left -= 1;
                let Answers { since, earlier } = counted;
                answers.push(AnswerReport { feature: *feature, since, earlier });
            }
            let is_repeated = evidence.is_repeated();
            let due = evidence.crashes_mut().iter_mut().filter(|crash| {
                crash.is_local
                    && crash.reported_ms != Some(now_ms)
                    && crash.reported_ms.is_none_or(|at_ms| {
                        let is_new = now_ms.since(crash.at_ms) < NEWS_MS;
                        is_new || is_repeated && now_ms.since(at_ms) >= REPEAT_MS
                    })
            });
            for crash in due.take(left) {
                left -= 1;
                crash.reported_ms = Some(now_ms);
                crashes.push(CrashReport {
                    feature: *feature,
                    incarnation: crash.incarnation,
                    age_ms: age_ms(crash.at_ms, now_ms),
                });
            }
        }
        self.cleared_ms.retain(|_, at_ms| now_ms.since(*at_ms) < NEWS_MS);
        let cleared = self.cleared_ms.keys().copied().take(left).collect();
        BlameReports { crashes, answers, quarantines, cleared }
    }

    fn take_quarantines(
        &mut self,
        left: &mut usize,
        rank: impl Fn(Feature) -> usize,
        now_ms: TimeMs,
    ) -> Vec<QuarantineReport<I>> {
        let due: Vec<_> = self
            .quarantined
            .iter()
            .filter(|(feature, quarantine)| {
                let rank = || rank(**feature);
                match quarantine.reported_ms {
                    Some(at_ms) => now_ms.since(at_ms) >= REPEAT_MS && rank() == 0,
                    // The first ones report what all of them find out; they may lack the evidence.
                    None => rank() < REPORTERS || quarantine.is_overdue(now_ms),
                }
            })
            .map(|(feature, _)| *feature)
            .take(*left / QUARANTINE_ENTRIES)
            .collect();
        *left -= due.len() * QUARANTINE_ENTRIES;
        for feature in &due {
            if let Some(quarantine) = self.quarantined.get_mut(feature) {
                quarantine.reported_ms = Some(now_ms);
            }
        }
        due.into_iter().filter_map(|feature| self.quarantine_report(feature, now_ms)).collect()
    }

    fn quarantine_report(&self, feature: Feature, now_ms: TimeMs) -> Option<QuarantineReport<I>> {
        let quarantine = self.quarantined.get(&feature)?;
        let incarnations = quarantine.incarnations.iter().copied().take(MAX_NAMED_INCARNATIONS);
        Some(QuarantineReport {
            feature,
            left_ms: u32::try_from(quarantine.until_ms.since(now_ms).get()).unwrap_or(u32::MAX),
            term_ms: u32::try_from(quarantine.term_ms).unwrap_or(u32::MAX),
            incarnations: incarnations.collect(),
            alike: quarantine.alike.iter().copied().take(MAX_NAMED_ALIKE).collect(),
        })
    }

    /// The quarantines, at most `limit`, for an instance that has just started.
    pub fn quarantines(&self, limit: usize, now_ms: TimeMs) -> Vec<QuarantineReport<I>> {
        let features = self.quarantined.keys().take(limit);
        features.filter_map(|feature| self.quarantine_report(*feature, now_ms)).collect()
    }

    /// Applies quarantines of before this instance's start. They are reported, since peers may have started without them.
    pub fn apply_kept_quarantines(
        &mut self,
        reports: &[QuarantineReport<I>],
        now_ms: TimeMs,
    ) -> Vec<BlameChange> {
        let mut changes = Vec::new();
        for report in reports {
            let Some(change) = self.apply_quarantine(report, BlameSource::Store, now_ms) else {
                continue;
            };
            changes.push(change);
            if let Some(quarantine) = self.quarantined.get_mut(&report.feature) {
                quarantine.reported_ms = None;
            }
        }
        self.has_news |= !changes.is_empty();
        changes
    }

    /// Applies the reports of `peer`, a number that is new with each of its starts.
    pub fn apply_reports(
        &mut self,
        peer: u64,
        reports: &BlameReports<I>,
        now_ms: TimeMs,
    ) -> Vec<BlameChange> {
        let mut changes = Vec::new();
        // Answers first: they may speak against what follows.
        for report in &reports.answers {
            if let Some(evidence) = self.evidence.get_mut(&report.feature) {
                let AnswerReport { since, earlier, .. } = *report;
                evidence.record_peer_answers(peer, Answers { since, earlier });
                changes.extend(self.weigh_answers(report.feature, now_ms));
            }
        }
        for report in &reports.quarantines {
            changes.extend(self.apply_quarantine(report, BlameSource::Peer, now_ms));
        }
        for report in &reports.crashes {
            changes.extend(self.record_end(report.incarnation, now_ms));
            let crash = Crash {
                incarnation: report.incarnation,
                at_ms: TimeMs(now_ms.get().saturating_sub(report.age_ms.into())),
                is_local: false,
                reported_ms: None,
            };
            changes.extend(self.add_crash(report.feature, crash, now_ms));
            if let Some(evidence) = self.evidence.get_mut(&report.feature)
                && (!evidence.has_crashes() || evidence.is_outweighed(report.feature.kind()))
            {
                evidence.has_refuted_report = true;
            }
        }
        for feature in &reports.cleared {
            let quarantine = self.quarantined.get(feature);
            let is_tried = |quarantine: &QuarantineEntry<I>| {
                quarantine.until_ms.since(now_ms) < NEWS_MS || !quarantine.alike.is_empty()
            };
            if quarantine.is_some_and(is_tried) {
                changes.extend(self.clear(*feature, now_ms));
            }
        }
        changes
    }

    fn apply_quarantine(
        &mut self,
        report: &QuarantineReport<I>,
        source: BlameSource,
        now_ms: TimeMs,
    ) -> Option<BlameChange> {
        let feature = report.feature;
        let incarnations: BTreeSet<I> = report.incarnations.iter().copied().collect();
        let until_ms = now_ms.after(TimeMs(report.left_ms.into()));
        if let Some(known) = self.quarantined.get_mut(&feature) {
            let is_new =
                incarnations.iter().any(|incarnation| !known.incarnations.contains(incarnation));
            known.incarnations.extend(&incarnations);
            // The peer has reported it to all.
            known.reported_ms.get_or_insert(now_ms);
            if u64::from(report.term_ms) > known.term_ms {
                known.term_ms = report.term_ms.into();
                known.until_ms = known.until_ms.max(until_ms);
                known.has_term_ended = false;
            }
            if is_new {
                self.explain(&incarnations, now_ms);
            }
            return None;
        }
        if !self.has_room_to_quarantine() || !self.make_room(feature, now_ms) {
            return None;
        }
        let crashes = incarnations.len();
        let evidence = self.evidence.entry(feature).or_default();
        for incarnation in &incarnations {
            let crash = Crash {
                incarnation: *incarnation,
                at_ms: now_ms,
                is_local: false,
                reported_ms: None,
            };
            let answers = &mut self.answers;
            evidence.add(crash, feature.kind(), || answers.count(feature, now_ms), now_ms);
        }
        if evidence.is_outweighed(feature.kind()) {
            // The sender lacks answers that speak for the feature.
            evidence.has_refuted_report = true;
            return None;
        }
        self.explain(&incarnations, now_ms);
        let alike = report.alike.clone();
        let quarantine =
            QuarantineEntry::new(incarnations, alike, report.term_ms.into(), until_ms, now_ms);
        self.quarantined.insert(feature, quarantine);
        if let Some(quarantine) = self.quarantined.get_mut(&feature) {
            // The sender has reported it to all.
            quarantine.reported_ms = Some(now_ms);
        }
        Some(BlameChange::Quarantined {
            feature,
            crashes,
            answers: 0,
            first_crash_age_ms: TimeMs(0),
            term_ms: TimeMs(report.term_ms.into()),
            source,
        })
    }
}
