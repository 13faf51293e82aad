//! What may be done with a request, and the trials of suspects and of features whose term has ended.

use bilberryford_types::TimeMs;

use super::{Blame, Feature, FeatureKind, SETTLE_MS, conviction::REQUEST_TERM_MS};

/// How long a suspect runs apart after its last crash, in milliseconds: less than the time in which instances in touch
/// have to stop it, since the one that tries it may get no request with it.
const SUSPECT_MS: TimeMs = TimeMs(1_500);
/// The time after which a request of a suspect may ask again, in milliseconds: about the time of a first token.
const SUSPECT_RETRY_MS: TimeMs = TimeMs(500);
/// The longest time that a trial holds off another one, in milliseconds: a run and the report of its end.
const TRIAL_MS: TimeMs = TimeMs(30_000);

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

impl<I: Copy + Ord> Blame<I> {
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
    pub(super) fn settling_ms(&self, feature: Feature, now_ms: TimeMs) -> Option<TimeMs> {
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
    pub(super) fn is_suspect(&self, feature: Feature, now_ms: TimeMs) -> bool {
        feature.kind() == FeatureKind::Part
            && self.accused.get(&feature).is_some_and(|accused| {
                accused.is_repeated()
                    && accused.answers() == 0
                    && now_ms.since(accused.last_ms()) < SUSPECT_MS
            })
    }

    pub(super) fn is_on_trial(&self, feature: Feature, now_ms: TimeMs) -> bool {
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
}
