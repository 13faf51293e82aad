//! Blame for endpoints that crash: which feature of the requests they ran is refused from then on.
//!
//! A request, or one part of a prompt whatever else the prompt holds, may crash each endpoint that begins to respond to
//! it. Two kinds of evidence are weighed for each [`Feature`]:
//!
//! * A **crash** accuses the features of all requests that were in flight at the incarnation and had not been answered. It
//!   counts once for each incarnation, however many instances report it. Crashes at almost the same moment are one event,
//!   since an outage may end many endpoints: it takes three events, or two with five crashes.
//! * An **answer** speaks for the features that it was made on, at any instance. A request is cleared by its first
//!   answer; a part by more than [`ANSWERS_PER_CRASH`] answers for each of its crashes, so that one that crashes only
//!   some of its runs is found as well.
//!
//! A feature with [`CRASH_LIMIT`] crashes that its answers don't outweigh is convicted, and its crashes speak against no
//! other feature any more: requests that shared a batch or a part with it are not refused with it. Parts that the evidence
//! can't tell apart, since they came together each time, are convicted together; a request that has only some of them
//! tries those. When the term of a conviction ends, a single run tries the feature again.
//!
//! Instances report crashes, answers and convictions to each other. All of them only grow, so a report may be lost,
//! repeated or late. See `docs/design/poison.md`.
//!
//! # Invariant
//!
//! A lost connection counts only together with the unplanned end of that incarnation. A convicted feature is never
//! evicted to make room.

mod accused;
mod answers;
mod feature;
mod reports;

use std::collections::{BTreeMap, BTreeSet};

use bilberryford_types::TimeMs;

pub use self::{
    accused::ANSWERS_PER_CRASH,
    feature::{Feature, FeatureKind},
    reports::{AnswerReport, BlameReports, ConvictionReport, CrashReport},
};
use self::{
    accused::{Accused, Crash},
    reports::{NEWS_MS, OVERDUE_MS},
};

/// The crashes that convict a feature, if they are apart in time: one more than an unrelated one in the same batches
/// usually sees.
pub const CRASH_LIMIT: usize = 3;
/// The crashes that convict a part if they came in two events.
const MANY_CRASHES: usize = 5;
/// How long an instance has to have seen losses or answers before it convicts a part, in milliseconds: after a start it
/// knows of no answers, not even those on parts that nearly all prompts share. It is shorter with many answers, and with
/// as many crashes as start the time in which the part has to be stopped.
const OBSERVATION_MS: TimeMs = TimeMs(5_000);
const SHORT_OBSERVATION_MS: TimeMs = TimeMs(2_000);
const SHORT_OBSERVATION_ANSWERS: u32 = 40;
/// How long a crash that completes the evidence waits for the reports of other instances on it, in milliseconds.
const SETTLE_MS: TimeMs = TimeMs(50);
/// The report intervals for which the evidence on a part that has been answered waits for the answers at other instances.
const SETTLE_INTERVALS: u64 = 2;
/// The first term of a convicted request, in milliseconds.
const REQUEST_TERM_MS: u64 = 600_000;
/// The first term of a convicted part, in milliseconds: a wrong conviction shuts all callers out whose prompts have it.
const PART_TERM_MS: u64 = 30_000;
/// The factor by which the term grows with each trial that crashes: few trials in a day, since each costs an endpoint.
const TERM_FACTOR: u64 = 20;
/// The longest term of a conviction, in milliseconds: a day.
const MAX_TERM_MS: u64 = 86_400_000;
/// How long a suspect runs apart after its last crash, in milliseconds: less than the time in which instances in touch
/// have to stop it, since the one that tries it may get no request with it.
const SUSPECT_MS: TimeMs = TimeMs(1_500);
/// The time after which a request of a suspect may ask again, in milliseconds: about the time of a first token.
const SUSPECT_RETRY_MS: TimeMs = TimeMs(500);
/// The longest time that a trial holds off another one, in milliseconds: a run and the report of its end.
const TRIAL_MS: TimeMs = TimeMs(30_000);
/// How long an accused feature is remembered after its last crash, in milliseconds.
const ACCUSED_MS: TimeMs = TimeMs(600_000);
/// The longest time from a loss to the end of its incarnation, in milliseconds: the entry of an endpoint in the list
/// expires some seconds after a crash.
const CORRELATION_MS: TimeMs = TimeMs(6_000);
/// How long an end is remembered, in milliseconds: a request at a silent endpoint is lost only at its deadline.
const END_MEMORY_MS: TimeMs = TimeMs(60_000);
/// The most features that are accused at a time. Beyond them, those with the oldest single crash are forgotten first.
const MAX_ACCUSED: usize = 4_096;
/// The most convicted features.
const MAX_CONVICTED: usize = 1_024;
/// The most losses that wait for the end of their incarnations.
const MAX_LOSSES: usize = 4_096;

/// Returns true if one of two sets of crashes has all of the other: a report that is late makes them differ.
fn is_nested<I: Ord>(first: &BTreeSet<I>, second: &BTreeSet<I>) -> bool {
    first.is_subset(second) || first.is_superset(second)
}

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may run.
    Run,
    /// It may run apart from other work, as the only trial of a suspect or of a feature whose term has ended.
    /// [`Blame::start_trial`] reserves it.
    Trial(Feature),
    /// It must wait, since another request tries a suspect or another instance does.
    Wait {
        /// The suspect.
        feature: Feature,
        /// The time after which to ask again.
        left_ms: TimeMs,
    },
    /// It must not run.
    Refuse {
        /// The convicted feature.
        feature: Feature,
        /// The time until it may be tried again.
        left_ms: TimeMs,
    },
}

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

/// A change of what is believed of a feature, for the log.
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
    Convicted {
        /// The feature.
        feature: Feature,
        /// The crashes that convict it.
        crashes: usize,
        /// The answers that speak for it.
        answers: u32,
        /// The age of its first crash.
        first_crash_age_ms: TimeMs,
        /// How long it is refused.
        term_ms: TimeMs,
        /// True if a peer convicted it.
        is_reported: bool,
    },
    /// Answers lifted its conviction.
    Acquitted {
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

/// The state of a convicted feature.
#[derive(Debug, Clone)]
struct Conviction<I> {
    incarnations: BTreeSet<I>,
    /// The parts that came with it each time, so that one of them may be the culprit.
    alike: Vec<Feature>,
    until_ms: TimeMs,
    term_ms: u64,
    has_term_ended: bool,
    convicted_ms: TimeMs,
    /// The time of the last report of it, by this instance or by a peer.
    reported_ms: Option<TimeMs>,
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
    accused: BTreeMap<Feature, Accused<I>>,
    convicted: BTreeMap<Feature, Conviction<I>>,
    /// Incarnations whose crashes a convicted feature explains.
    explained_ms: BTreeMap<I, TimeMs>,
    /// The times until which a trial that this instance runs holds off another one.
    trials_until_ms: BTreeMap<Feature, TimeMs>,
    /// The convictions that a trial at this instance lifted, to be reported.
    acquitted_ms: BTreeMap<Feature, TimeMs>,
    /// The time from which the evidence is complete enough to convict.
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
            accused: Default::default(),
            convicted: Default::default(),
            explained_ms: Default::default(),
            trials_until_ms: Default::default(),
            acquitted_ms: Default::default(),
            ripe_ms: None,
            has_news: false,
        }
    }
}

impl<I> Conviction<I> {
    fn new(
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
    fn is_overdue(&self, now_ms: TimeMs) -> bool {
        now_ms.since(self.convicted_ms) >= OVERDUE_MS
    }

    /// Returns true if a request with `features` has all parts that the evidence can't tell apart.
    fn comes_with(&self, features: &[Feature]) -> bool {
        self.alike.iter().all(|alike| features.contains(alike))
    }
}

impl<I: Copy + Ord> Blame<I> {
    /// Sets the interval at which instances report what is not urgent.
    pub fn set_report_interval(&mut self, interval_ms: TimeMs) {
        self.report_interval_ms = interval_ms;
    }

    /// Says what may be done with a request that has `features`. `is_trier` is true if this instance is the one that
    /// tries a feature whose term has ended.
    pub fn verdict(
        &self,
        features: &[Feature],
        is_trier: impl Fn(Feature) -> bool,
        now_ms: TimeMs,
    ) -> Verdict {
        let mut tried: Option<Feature> = None;
        let mut is_suspect = false;
        let mut has_single = false;
        for feature in features.iter().copied() {
            match self.convicted.get(&feature) {
                Some(conviction) if conviction.until_ms > now_ms => {
                    if conviction.comes_with(features) {
                        let left_ms = conviction.until_ms.since(now_ms);
                        return Verdict::Refuse { feature, left_ms };
                    }
                    has_single = true;
                }
                Some(_) => {}
                None => {
                    if let Some(left_ms) = self.settling_ms(feature, now_ms) {
                        return Verdict::Refuse { feature, left_ms };
                    }
                    if !self.is_suspect(feature, now_ms) {
                        continue;
                    }
                    is_suspect = true;
                }
            }
            if self.is_on_trial(feature, now_ms) {
                return Verdict::Wait { feature, left_ms: SUSPECT_RETRY_MS };
            }
            // One of several decides which instance tries them, so that not each of them names another one.
            tried = Some(tried.map_or(feature, |other| other.min(feature)));
        }
        match tried {
            None => Verdict::Run,
            // It comes without the parts that it came with before, which is rare: each instance may try it.
            Some(feature) if has_single || is_trier(feature) => Verdict::Trial(feature),
            Some(feature) if is_suspect => Verdict::Wait { feature, left_ms: SUSPECT_RETRY_MS },
            Some(feature) => Verdict::Refuse { feature, left_ms: TRIAL_MS },
        }
    }

    /// The time for which a feature is refused whose evidence is complete and not weighed yet. A request is convicted
    /// whatever the other reports are; of parts, another one may explain the crashes.
    fn settling_ms(&self, feature: Feature, now_ms: TimeMs) -> Option<TimeMs> {
        let accused = self.accused.get(&feature)?;
        accused.convictable_since_ms(feature.kind())?;
        match feature.kind() {
            FeatureKind::Request => Some(TimeMs(REQUEST_TERM_MS)),
            FeatureKind::Part => {
                let left_ms = self.ripe_at_ms(feature, accused)?.since(now_ms);
                (accused.answers() == 0 && left_ms <= SETTLE_MS).then_some(SETTLE_MS)
            }
        }
    }

    /// Returns true for a part with several recent crashes and no answer, whose next crash is to name it and take nothing
    /// else along. A request is no suspect: its caller repeats it a few times at most, each time after its end.
    fn is_suspect(&self, feature: Feature, now_ms: TimeMs) -> bool {
        feature.kind() == FeatureKind::Part
            && self.accused.get(&feature).is_some_and(|accused| {
                accused.is_repeated()
                    && accused.answers() == 0
                    && now_ms.since(accused.last_ms()) < SUSPECT_MS
            })
    }

    fn is_on_trial(&self, feature: Feature, now_ms: TimeMs) -> bool {
        self.trials_until_ms.get(&feature).is_some_and(|until_ms| now_ms < *until_ms)
    }

    /// Reserves the trial of what `features` has to try.
    pub fn start_trial(&mut self, features: &[Feature], now_ms: TimeMs) {
        for feature in features {
            if self.convicted.contains_key(feature) {
                self.trials_until_ms.insert(*feature, now_ms.after(TRIAL_MS));
            } else if self.is_suspect(*feature, now_ms) {
                self.trials_until_ms.insert(*feature, now_ms.after(SUSPECT_MS));
            }
        }
    }

    /// The first of `features` that is convicted, so that its unanswered runs are to be withdrawn.
    pub fn convicted_of(&self, features: &[Feature]) -> Option<Feature> {
        let is_in_term = |feature: &Feature| {
            self.convicted.get(feature).is_some_and(|conviction| {
                !conviction.has_term_ended && conviction.comes_with(features)
            })
        };
        features.iter().copied().find(is_in_term)
    }

    /// Records that a request was answered: its response is complete, or went on for a while after its first content.
    pub fn record_answer(&mut self, features: &[Feature], now_ms: TimeMs) -> Vec<BlameChange> {
        self.observing_since_ms.get_or_insert(now_ms);
        let mut changes = Vec::new();
        for feature in features {
            if feature.kind() == FeatureKind::Part {
                self.answers_seen = self.answers_seen.saturating_add(1);
                self.answers.add(*feature, now_ms);
            }
            let is_tried = |conviction: &Conviction<I>| {
                conviction.has_term_ended || !conviction.comes_with(features)
            };
            if self.convicted.get(feature).is_some_and(is_tried) {
                self.acquitted_ms.insert(*feature, now_ms);
                changes.extend(self.acquit(*feature, now_ms));
            }
            if let Some(accused) = self.accused.get_mut(feature) {
                accused.record_answer();
                // What may be convicted soon can't wait for the next report.
                self.has_news |= accused.is_repeated() && !accused.is_outweighed(feature.kind());
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
            return self.accuse(features, incarnation, now_ms, now_ms);
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
        self.accuse_lost(incarnation, now_ms)
    }

    /// Records that a ready incarnation is no longer listed. It accuses what was lost before; an endpoint that leaves
    /// without saying so may go on for a while.
    pub fn record_removal(&mut self, incarnation: I, now_ms: TimeMs) -> Vec<BlameChange> {
        self.accuse_lost(incarnation, now_ms)
    }

    fn accuse_lost(&mut self, incarnation: I, now_ms: TimeMs) -> Vec<BlameChange> {
        let losses = self.take_losses(incarnation);
        let coincident =
            losses.into_iter().filter(|loss| now_ms.since(loss.at_ms) <= CORRELATION_MS);
        coincident
            .flat_map(|loss| self.accuse(&loss.features, incarnation, loss.at_ms, now_ms))
            .collect()
    }

    /// Records that an incarnation leaves as planned: what is lost with it accuses nothing.
    pub fn record_departure(&mut self, incarnation: I, now_ms: TimeMs) {
        self.departed_ms.insert(incarnation, now_ms);
        self.take_losses(incarnation);
    }

    fn take_losses(&mut self, incarnation: I) -> Vec<Loss> {
        let losses = self.losses.remove(&incarnation).unwrap_or_default();
        self.losses_len -= losses.len();
        losses
    }

    /// Counts a crash that this instance observed against each of `features`.
    fn accuse(
        &mut self,
        features: &[Feature],
        incarnation: I,
        at_ms: TimeMs,
        now_ms: TimeMs,
    ) -> Vec<BlameChange> {
        let crash = Crash { incarnation, at_ms, reported_ms: None, is_local: true };
        // The convicted features of the request explain the crash to the others.
        let is_convicted = |feature: &Feature| self.convicted.contains_key(feature);
        let convicted: Vec<_> = features.iter().copied().filter(is_convicted).collect();
        if !convicted.is_empty() {
            let mut changes = self.free_alike(&convicted, features, now_ms);
            let added =
                convicted.iter().flat_map(|feature| self.add_crash(*feature, crash, now_ms));
            changes.extend(added);
            return changes;
        }
        features.iter().flat_map(|feature| self.add_crash(*feature, crash, now_ms)).collect()
    }

    fn add_crash(&mut self, feature: Feature, crash: Crash<I>, now_ms: TimeMs) -> Vec<BlameChange> {
        if self.convicted.contains_key(&feature) {
            return self.add_crash_to_convicted(feature, crash, now_ms);
        }
        if self.explained_ms.contains_key(&crash.incarnation) || !self.make_room(feature, now_ms) {
            return Vec::new();
        }
        let accused = self.accused.entry(feature).or_default();
        let answers = &mut self.answers;
        if !accused.add(crash, feature.kind(), || answers.count(feature, now_ms), now_ms) {
            return Vec::new();
        }
        self.has_news |= crash.is_local;
        let mut changes: Vec<_> = self.weigh_answers(feature, now_ms).into_iter().collect();
        if let Some(accused) = self.accused.get(&feature) {
            if accused.crashes().len() == 2 && !accused.is_outweighed(feature.kind()) {
                changes.push(BlameChange::Suspected { feature, answers: accused.answers() });
            }
            let ripe_ms = self.ripe_at_ms(feature, accused);
            self.ripe_ms = self.ripe_ms.into_iter().chain(ripe_ms).min();
        }
        changes
    }

    /// Lifts the convictions of parts that were convicted with one of `convicted` and that a crash did without.
    fn free_alike(
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
    fn add_crash_to_convicted(
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
    fn weigh_answers(&mut self, feature: Feature, now_ms: TimeMs) -> Option<BlameChange> {
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
    fn acquit(&mut self, feature: Feature, now_ms: TimeMs) -> Option<BlameChange> {
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

    fn has_room_to_convict(&self) -> bool {
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
    fn ripe_at_ms(&self, feature: Feature, accused: &Accused<I>) -> Option<TimeMs> {
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
    fn culprits(&self, now_ms: TimeMs) -> Option<Vec<Feature>> {
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

    fn convict(&mut self, culprits: &[Feature], now_ms: TimeMs) -> Vec<BlameChange> {
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
    fn explain(&mut self, incarnations: &BTreeSet<I>, now_ms: TimeMs) {
        self.explained_ms.extend(incarnations.iter().map(|incarnation| (*incarnation, now_ms)));
        for (feature, accused) in &mut self.accused {
            if !self.convicted.contains_key(feature) {
                accused.withdraw(incarnations);
            }
        }
    }

    /// Makes room for a feature, and returns false if there is none: of the features with a single crash, the quarter that
    /// was accused longest ago is forgotten.
    fn make_room(&mut self, feature: Feature, now_ms: TimeMs) -> bool {
        if self.accused.len() < MAX_ACCUSED || self.accused.contains_key(&feature) {
            return true;
        }
        self.expire(now_ms);
        let is_weak = |feature: &Feature, accused: &Accused<I>| {
            !accused.is_repeated() && !self.convicted.contains_key(feature)
        };
        let weak = self.accused.iter().filter(|(feature, accused)| is_weak(feature, accused));
        let mut weak: Vec<_> =
            weak.map(|(feature, accused)| (accused.last_ms(), *feature)).collect();
        weak.sort_unstable();
        for (_, feature) in weak.into_iter().take(MAX_ACCUSED / 4) {
            self.accused.remove(&feature);
        }
        self.accused.len() < MAX_ACCUSED
    }

    /// What there is to do at `now_ms`, if nothing new happens.
    pub fn agenda(&self, now_ms: TimeMs) -> BlameAgenda {
        let is_new = |accused: &Accused<I>| {
            accused.has_crashes() && now_ms.since(accused.last_ms()) < NEWS_MS
        };
        let is_unreported = |conviction: &Conviction<I>| conviction.reported_ms.is_none();
        if self.ripe_ms.is_some() || self.convicted.values().any(is_unreported) {
            BlameAgenda::Weigh
        } else if !self.acquitted_ms.is_empty() || self.accused.values().any(is_new) {
            BlameAgenda::Report
        } else if !self.convicted.is_empty() || self.accused.values().any(Accused::is_repeated) {
            BlameAgenda::Repeat
        } else {
            BlameAgenda::Nothing
        }
    }

    /// Forgets what has expired.
    pub fn expire(&mut self, now_ms: TimeMs) {
        self.ended_ms.retain(|_, at_ms| now_ms.since(*at_ms) < END_MEMORY_MS);
        self.departed_ms.retain(|_, at_ms| now_ms.since(*at_ms) < END_MEMORY_MS);
        self.explained_ms.retain(|_, at_ms| now_ms.since(*at_ms) < ACCUSED_MS);
        for losses in self.losses.values_mut() {
            losses.retain(|loss| now_ms.since(loss.at_ms) <= CORRELATION_MS);
        }
        self.losses.retain(|_, losses| !losses.is_empty());
        self.losses_len = self.losses.values().map(Vec::len).sum();
        self.trials_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        // A feature that nobody has sent since its term ended is forgotten.
        self.convicted
            .retain(|_, conviction| now_ms < conviction.until_ms.after(TimeMs(conviction.term_ms)));
        let convicted = &self.convicted;
        self.accused.retain(|feature, accused| {
            convicted.contains_key(feature) || now_ms.since(accused.last_ms()) < ACCUSED_MS
        });
    }

    /// The convicted features with the time until each may be tried again.
    pub fn convicted(&self, now_ms: TimeMs) -> impl Iterator<Item = (Feature, TimeMs)> {
        self.convicted
            .iter()
            .map(move |(feature, conviction)| (*feature, conviction.until_ms.since(now_ms)))
    }
}
