//! What may be done with a request, and the trials of suspects and of features whose term has ended.

use bilberryford_types::TimeMs;

use super::{Blame, Feature, FeatureKind, SETTLE_MS, quarantine::REQUEST_TERM_MS};

/// How long a suspect runs apart after its last crash, in milliseconds: less than the time in which instances in touch
/// have to stop it, since the one that tries it may get no request with it.
const SUSPECT_MS: TimeMs = TimeMs(1_500);
/// The time after which a request of a suspect may ask again, in milliseconds: about the time of a first token.
const SUSPECT_RETRY_MS: TimeMs = TimeMs(500);
/// The longest time that a trial holds off another one, in milliseconds: a run and the report of its end.
const TRIAL_MS: TimeMs = TimeMs(30_000);

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BlameDecision {
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
        /// The quarantined feature.
        feature: Feature,
        /// The time until it may be tried again.
        left_ms: TimeMs,
    },
}

impl<I: Copy + Ord> Blame<I> {
    /// Says what may be done with a request that has `features`. `is_trier` is true if this instance is the one that
    /// tries a feature whose term has ended.
    pub fn decide(
        &self,
        features: &[Feature],
        is_trier: impl Fn(Feature) -> bool,
        now_ms: TimeMs,
    ) -> BlameDecision {
        let mut tried: Option<Feature> = None;
        let mut is_suspect = false;
        let mut has_single = false;
        for feature in features.iter().copied() {
            match self.quarantined.get(&feature) {
                Some(quarantine) if quarantine.until_ms > now_ms => {
                    if quarantine.comes_with(features) {
                        let left_ms = quarantine.until_ms.since(now_ms);
                        return BlameDecision::Refuse { feature, left_ms };
                    }
                    has_single = true;
                }
                Some(_) => {}
                None => {
                    if let Some(left_ms) = self.settling_ms(feature, now_ms) {
                        return BlameDecision::Refuse { feature, left_ms };
                    }
                    if !self.is_suspect(feature, now_ms) {
                        continue;
                    }
                    is_suspect = true;
                }
            }
            if self.is_on_trial(feature, now_ms) {
                return BlameDecision::Wait { feature, left_ms: SUSPECT_RETRY_MS };
            }
            // One of several decides which instance tries them, so that not each of them names another one.
            tried = Some(tried.map_or(feature, |other| other.min(feature)));
        }
        match tried {
            None => BlameDecision::Run,
            // It comes without the parts that it came with before, which is rare: each instance may try it.
            Some(feature) if has_single || is_trier(feature) => BlameDecision::Trial(feature),
            Some(feature) if is_suspect => {
                BlameDecision::Wait { feature, left_ms: SUSPECT_RETRY_MS }
            }
            Some(feature) => BlameDecision::Refuse { feature, left_ms: TRIAL_MS },
        }
    }

    /// The time for which a feature is refused whose evidence is complete and not weighed yet. A request is quarantined
    /// whatever the other reports are; of parts, another one may explain the crashes.
    pub(super) fn settling_ms(&self, feature: Feature, now_ms: TimeMs) -> Option<TimeMs> {
        let evidence = self.evidence.get(&feature)?;
        evidence.quarantinable_since_ms(feature.kind())?;
        match feature.kind() {
            FeatureKind::Request => Some(TimeMs(REQUEST_TERM_MS)),
            FeatureKind::Part => {
                let left_ms = self.ripe_at_ms(feature, evidence)?.since(now_ms);
                (evidence.answers() == 0 && left_ms <= SETTLE_MS).then_some(SETTLE_MS)
            }
        }
    }

    /// Returns true for a part with several recent crashes and no answer, whose next crash is to name it and take nothing
    /// else along. A request is no suspect: its caller repeats it a few times at most, each time after its end.
    pub(super) fn is_suspect(&self, feature: Feature, now_ms: TimeMs) -> bool {
        feature.kind() == FeatureKind::Part
            && self.evidence.get(&feature).is_some_and(|evidence| {
                evidence.is_repeated()
                    && evidence.answers() == 0
                    && now_ms.since(evidence.last_ms()) < SUSPECT_MS
            })
    }

    pub(super) fn is_on_trial(&self, feature: Feature, now_ms: TimeMs) -> bool {
        self.trials_until_ms.get(&feature).is_some_and(|until_ms| now_ms < *until_ms)
    }

    /// Reserves the trial of what `features` has to try.
    pub fn start_trial(&mut self, features: &[Feature], now_ms: TimeMs) {
        for feature in features {
            if self.quarantined.contains_key(feature) {
                self.trials_until_ms.insert(*feature, now_ms.after(TRIAL_MS));
            } else if self.is_suspect(*feature, now_ms) {
                self.trials_until_ms.insert(*feature, now_ms.after(SUSPECT_MS));
            }
        }
    }

    /// The first of `features` that is quarantined, so that its unanswered runs are to be withdrawn.
    pub fn quarantined_of(&self, features: &[Feature]) -> Option<Feature> {
        let is_in_term = |feature: &Feature| {
            self.quarantined.get(feature).is_some_and(|quarantine| {
                !quarantine.has_term_ended && quarantine.comes_with(features)
            })
        };
        features.iter().copied().find(is_in_term)
    }
}
