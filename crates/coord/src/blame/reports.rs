//! What instances report to each other. Every report may be lost, repeated or late.

use std::collections::BTreeSet;

use bilberryford_types::TimeMs;
use serde::{Deserialize, Serialize};

use super::{
    Blame, BlameChange, Feature,
    accused::{Answers, Crash},
    conviction::Conviction,
};

/// The most parts that a reported conviction names as alike.
const MAX_NAMED_ALIKE: usize = 4;
/// How long a new crash, conviction or acquittal is part of every report, in milliseconds: several messages.
pub(super) const NEWS_MS: TimeMs = TimeMs(2_500);
/// The interval at which repeated evidence is reported once more, in milliseconds: peers start and reconnect.
const REPEAT_MS: TimeMs = TimeMs(2_000);
/// The instances that report what all of them know.
const REPORTERS: usize = 3;
/// How long an instance that is no reporter waits for the report of one, in milliseconds.
pub(super) const OVERDUE_MS: TimeMs = TimeMs(150);
/// The entries of a message that a conviction counts as, for its size.
const CONVICTION_ENTRIES: usize = 4;
/// The most incarnations that a reported conviction names.
const MAX_NAMED_INCARNATIONS: usize = 8;

/// A crash that accuses a feature.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport<I> {
    /// The feature.
    pub feature: Feature,
    /// The incarnation that ended.
    pub incarnation: I,
    /// The time since then.
    pub age_ms: u32,
}

/// The answers on an accused feature at the sender, since its start.
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
pub struct ConvictionReport<I> {
    /// The feature.
    pub feature: Feature,
    /// How much longer it is refused.
    pub left_ms: u32,
    /// The length of its term.
    pub term_ms: u32,
    /// Some of the incarnations whose crashes convicted it.
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
    pub convictions: Vec<ConvictionReport<I>>,
    /// Features that the sender's trial acquitted.
    pub acquitted: Vec<Feature>,
}

impl<I> Default for BlameReports<I> {
    fn default() -> Self {
        Self {
            crashes: Vec::new(),
            answers: Vec::new(),
            convictions: Vec::new(),
            acquitted: Vec::new(),
        }
    }
}

impl<I> BlameReports<I> {
    /// Returns true if there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
            && self.answers.is_empty()
            && self.convictions.is_empty()
            && self.acquitted.is_empty()
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
        let convictions = self.take_convictions(&mut left, &rank, now_ms);
        let mut crashes = Vec::new();
        let mut answers = Vec::new();
        // What may be decided first comes first.
        let mut by_evidence: Vec<_> = self.accused.iter_mut().collect();
        by_evidence.sort_by_key(|(_, accused)| std::cmp::Reverse(accused.crashes().len()));
        for (feature, accused) in by_evidence {
            let is_reporter = || rank(*feature) < REPORTERS;
            if left > 0
                && let Some(counted) = accused.take_answer_report(feature.kind(), is_reporter)
            {
                left -= 1;
                let Answers { since, earlier } = counted;
                answers.push(AnswerReport { feature: *feature, since, earlier });
            }
            let is_repeated = accused.is_repeated();
            let due = accused.crashes_mut().iter_mut().filter(|crash| {
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
        self.acquitted_ms.retain(|_, at_ms| now_ms.since(*at_ms) < NEWS_MS);
        let acquitted = self.acquitted_ms.keys().copied().take(left).collect();
        BlameReports { crashes, answers, convictions, acquitted }
    }

    fn take_convictions(
        &mut self,
        left: &mut usize,
        rank: impl Fn(Feature) -> usize,
        now_ms: TimeMs,
    ) -> Vec<ConvictionReport<I>> {
        let due: Vec<_> = self
            .convicted
            .iter()
            .filter(|(feature, conviction)| {
                let rank = || rank(**feature);
                match conviction.reported_ms {
                    Some(at_ms) => now_ms.since(at_ms) >= REPEAT_MS && rank() == 0,
                    // The first ones report what all of them find out; they may lack the evidence.
                    None => rank() < REPORTERS || conviction.is_overdue(now_ms),
                }
            })
            .map(|(feature, _)| *feature)
            .take(*left / CONVICTION_ENTRIES)
            .collect();
        *left -= due.len() * CONVICTION_ENTRIES;
        for feature in &due {
            if let Some(conviction) = self.convicted.get_mut(feature) {
                conviction.reported_ms = Some(now_ms);
            }
        }
        due.into_iter().filter_map(|feature| self.conviction_report(feature, now_ms)).collect()
    }

    fn conviction_report(&self, feature: Feature, now_ms: TimeMs) -> Option<ConvictionReport<I>> {
        let conviction = self.convicted.get(&feature)?;
        let incarnations = conviction.incarnations.iter().copied().take(MAX_NAMED_INCARNATIONS);
        Some(ConvictionReport {
            feature,
            left_ms: u32::try_from(conviction.until_ms.since(now_ms).get()).unwrap_or(u32::MAX),
            term_ms: u32::try_from(conviction.term_ms).unwrap_or(u32::MAX),
            incarnations: incarnations.collect(),
            alike: conviction.alike.iter().copied().take(MAX_NAMED_ALIKE).collect(),
        })
    }

    /// The convictions, at most `limit`, for an instance that has just started.
    pub fn convictions(&self, limit: usize, now_ms: TimeMs) -> Vec<ConvictionReport<I>> {
        let features = self.convicted.keys().take(limit);
        features.filter_map(|feature| self.conviction_report(*feature, now_ms)).collect()
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
            if let Some(accused) = self.accused.get_mut(&report.feature) {
                let AnswerReport { since, earlier, .. } = *report;
                accused.record_peer_answers(peer, Answers { since, earlier });
                changes.extend(self.weigh_answers(report.feature, now_ms));
            }
        }
        for report in &reports.convictions {
            changes.extend(self.apply_conviction(report, now_ms));
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
            if let Some(accused) = self.accused.get_mut(&report.feature)
                && (!accused.has_crashes() || accused.is_outweighed(report.feature.kind()))
            {
                accused.has_refuted_report = true;
            }
        }
        for feature in &reports.acquitted {
            let conviction = self.convicted.get(feature);
            let is_tried = |conviction: &Conviction<I>| {
                conviction.until_ms.since(now_ms) < NEWS_MS || !conviction.alike.is_empty()
            };
            if conviction.is_some_and(is_tried) {
                changes.extend(self.acquit(*feature, now_ms));
            }
        }
        changes
    }

    fn apply_conviction(
        &mut self,
        report: &ConvictionReport<I>,
        now_ms: TimeMs,
    ) -> Option<BlameChange> {
        let feature = report.feature;
        let incarnations: BTreeSet<I> = report.incarnations.iter().copied().collect();
        let until_ms = now_ms.after(TimeMs(report.left_ms.into()));
        if let Some(known) = self.convicted.get_mut(&feature) {
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
        if !self.has_room_to_convict() || !self.make_room(feature, now_ms) {
            return None;
        }
        let crashes = incarnations.len();
        let accused = self.accused.entry(feature).or_default();
        for incarnation in &incarnations {
            let crash = Crash {
                incarnation: *incarnation,
                at_ms: now_ms,
                is_local: false,
                reported_ms: None,
            };
            let answers = &mut self.answers;
            accused.add(crash, feature.kind(), || answers.count(feature, now_ms), now_ms);
        }
        if accused.is_outweighed(feature.kind()) {
            // The sender lacks answers that speak for the feature.
            accused.has_refuted_report = true;
            return None;
        }
        self.explain(&incarnations, now_ms);
        let alike = report.alike.clone();
        let conviction =
            Conviction::new(incarnations, alike, report.term_ms.into(), until_ms, now_ms);
        self.convicted.insert(feature, conviction);
        if let Some(conviction) = self.convicted.get_mut(&feature) {
            // The sender has reported it to all.
            conviction.reported_ms = Some(now_ms);
        }
        Some(BlameChange::Convicted {
            feature,
            crashes,
            answers: 0,
            first_crash_age_ms: TimeMs(0),
            term_ms: TimeMs(report.term_ms.into()),
            is_reported: true,
        })
    }
}
