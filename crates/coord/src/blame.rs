//! Blame for endpoints that crash: which feature of the requests they ran is refused from then on.
//!
//! A request, or one part of a prompt whatever else the prompt holds, may crash each endpoint that begins to respond to
//! it. Two kinds of evidence are weighed for each [`Feature`]:
//!
//! * A **crash** counts against the features of all requests that were in flight at the incarnation and had not been answered. It
//!   counts once for each incarnation, however many instances report it. Crashes at almost the same moment are one event,
//!   since an outage may end many endpoints: it takes three events, or two with five crashes.
//! * An **answer** speaks for the features that it was made on, at any instance. A request is cleared by its first
//!   answer; a part by more than [`ANSWERS_PER_CRASH`] answers for each of its crashes, so that one that crashes only
//!   some of its runs is found as well.
//!
//! A feature with [`CRASH_LIMIT`] crashes that its answers don't outweigh is quarantined, and its crashes speak against no
//! other feature any more: requests that shared a batch or a part with it are not refused with it. Parts that the evidence
//! can't tell apart, since they came together each time, are quarantined together; a request that has only some of them
//! tries those. When the term of a quarantine ends, a single run tries the feature again.
//!
//! Instances report crashes, answers and quarantines to each other. All of them only grow, so a report may be lost,
//! repeated or late. See `docs/design/poison.md`.
//!
//! # Invariant
//!
//! A lost connection counts only together with the unplanned end of that incarnation. A quarantined feature is never
//! evicted to make room.

mod answers;
mod decision;
mod evidence;
mod feature;
mod feature_evidence;
mod quarantine;
mod reports;

use std::collections::BTreeMap;

use bilberryford_types::TimeMs;

pub use self::{
    decision::BlameDecision,
    feature::{Feature, FeatureError, FeatureKind},
    feature_evidence::ANSWERS_PER_CRASH,
    reports::{AnswerReport, BlameReports, CrashReport, QuarantineReport},
};
use self::{
    evidence::CORRELATION_MS, feature_evidence::FeatureEvidence, quarantine::QuarantineEntry,
    reports::NEWS_MS,
};

/// The crashes that quarantine a feature, if they are apart in time: one more than an unrelated one in the same batches
/// usually sees.
pub const CRASH_LIMIT: usize = 3;
/// The crashes that quarantine a part if they came in two events.
const MANY_CRASHES: usize = 5;
/// How long a crash that completes the evidence waits for the reports of other instances on it, in milliseconds.
const SETTLE_MS: TimeMs = TimeMs(50);
/// How long a suspected feature is remembered after its last crash, in milliseconds.
const EVIDENCE_MS: TimeMs = TimeMs(600_000);
/// How long an end is remembered, in milliseconds: a request at a silent endpoint is lost only at its deadline.
const END_MEMORY_MS: TimeMs = TimeMs(60_000);

/// What an instance has to do next, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BlameAgenda {
    /// Evidence waits to be weighed by [`Blame::tick`].
    Weigh,
    /// Something new is to be reported several times.
    Report,
    /// Known evidence is to be repeated now and then.
    Repeat,
    /// Nothing.
    Nothing,
}

/// How an instance came to quarantine a feature.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum BlameSource {
    /// It weighed the evidence that it has.
    OwnEvidence,
    /// A peer reported the quarantine, or the crash that extends it.
    Peer,
    /// The store kept it from before this instance's start.
    Store,
}

/// A change of what is known of a feature, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BlameChange {
    /// Its second crash was counted.
    Suspected {
        /// The feature.
        feature: Feature,
        /// The answers that speak for it.
        answers: u32,
    },
    /// It is refused from now on.
    Quarantined {
        /// The feature.
        feature: Feature,
        /// The crashes that quarantine it.
        crashes: usize,
        /// The answers that speak for it.
        answers: u32,
        /// The age of its first crash.
        first_crash_age_ms: TimeMs,
        /// How long it is refused.
        term_ms: TimeMs,
        /// Where the quarantine comes from.
        source: BlameSource,
    },
    /// Answers lifted its quarantine.
    Cleared {
        /// The feature.
        feature: Feature,
        /// The answers that speak for it.
        answers: u32,
    },
    /// Its term has ended; a single run tries it.
    TermEnded {
        /// The feature.
        feature: Feature,
    },
}

/// A request that was lost with its connection, unanswered.
#[derive(Debug, Clone)]
struct Loss {
    features: Vec<Feature>,
    at_ms: TimeMs,
}

/// What one instance knows of crashes and of the features that they are blamed on. `I` identifies an incarnation of an
/// endpoint.
#[derive(Debug, Clone)]
pub struct Blame<I> {
    answers: answers::RecentAnswers,
    /// The interval at which instances report answers that are not urgent.
    report_interval_ms: TimeMs,
    /// The time of the first loss or answer.
    observing_since_ms: Option<TimeMs>,
    /// The answers on parts since then.
    answers_seen: u32,
    losses: BTreeMap<I, Vec<Loss>>,
    losses_len: usize,
    /// The unplanned ends of incarnations.
    ended_ms: BTreeMap<I, TimeMs>,
    /// The incarnations that said that they leave.
    departed_ms: BTreeMap<I, TimeMs>,
    evidence: BTreeMap<Feature, FeatureEvidence<I>>,
    quarantined: BTreeMap<Feature, QuarantineEntry<I>>,
    /// Incarnations whose crashes a quarantined feature explains.
    explained_ms: BTreeMap<I, TimeMs>,
    /// The times until which a trial that this instance runs holds off another one.
    trials_until_ms: BTreeMap<Feature, TimeMs>,
    /// The quarantines that a trial at this instance lifted, to be reported.
    cleared_ms: BTreeMap<Feature, TimeMs>,
    /// The time from which the evidence is complete enough to quarantine.
    ripe_ms: Option<TimeMs>,
    has_news: bool,
}

impl<I> Default for Blame<I> {
    fn default() -> Self {
        Self {
            answers: Default::default(),
            report_interval_ms: TimeMs(0),
            observing_since_ms: None,
            answers_seen: 0,
            losses: Default::default(),
            losses_len: 0,
            ended_ms: Default::default(),
            departed_ms: Default::default(),
            evidence: Default::default(),
            quarantined: Default::default(),
            explained_ms: Default::default(),
            trials_until_ms: Default::default(),
            cleared_ms: Default::default(),
            ripe_ms: None,
            has_news: false,
        }
    }
}

impl<I: Copy + Ord> Blame<I> {
    /// Sets the interval at which instances report what is not urgent.
    pub fn set_report_interval(&mut self, interval_ms: TimeMs) {
        self.report_interval_ms = interval_ms;
    }

    /// What there is to do at `now_ms`, if nothing new happens.
    pub fn agenda(&self, now_ms: TimeMs) -> BlameAgenda {
        let is_new = |evidence: &FeatureEvidence<I>| {
            evidence.has_crashes() && now_ms.since(evidence.last_ms()) < NEWS_MS
        };
        let is_unreported = |quarantine: &QuarantineEntry<I>| quarantine.reported_ms.is_none();
        if self.ripe_ms.is_some() || self.quarantined.values().any(is_unreported) {
            BlameAgenda::Weigh
        } else if !self.cleared_ms.is_empty() || self.evidence.values().any(is_new) {
            BlameAgenda::Report
        } else if !self.quarantined.is_empty()
            || self.evidence.values().any(FeatureEvidence::is_repeated)
        {
            BlameAgenda::Repeat
        } else {
            BlameAgenda::Nothing
        }
    }

    /// Forgets what has expired.
    pub fn expire(&mut self, now_ms: TimeMs) {
        self.ended_ms.retain(|_, at_ms| now_ms.since(*at_ms) < END_MEMORY_MS);
        self.departed_ms.retain(|_, at_ms| now_ms.since(*at_ms) < END_MEMORY_MS);
        self.explained_ms.retain(|_, at_ms| now_ms.since(*at_ms) < EVIDENCE_MS);
        for losses in self.losses.values_mut() {
            losses.retain(|loss| now_ms.since(loss.at_ms) <= CORRELATION_MS);
        }
        self.losses.retain(|_, losses| !losses.is_empty());
        self.losses_len = self.losses.values().map(Vec::len).sum();
        self.trials_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        // A feature that nobody has sent since its term ended is forgotten.
        self.quarantined
            .retain(|_, quarantine| now_ms < quarantine.until_ms.after(TimeMs(quarantine.term_ms)));
        let quarantined = &self.quarantined;
        self.evidence.retain(|feature, evidence| {
            quarantined.contains_key(feature) || now_ms.since(evidence.last_ms()) < EVIDENCE_MS
        });
    }

    /// The quarantined features with the time until each may be tried again.
    pub fn quarantined(&self, now_ms: TimeMs) -> impl Iterator<Item = (Feature, TimeMs)> {
        self.quarantined
            .iter()
            .map(move |(feature, quarantine)| (*feature, quarantine.until_ms.since(now_ms)))
    }
}
