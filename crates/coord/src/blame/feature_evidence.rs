//! The evidence on one feature.

use std::collections::{BTreeMap, BTreeSet};

use bilberryford_types::TimeMs;

use super::{CRASH_LIMIT, FeatureKind, MANY_CRASHES};

/// The answers for each crash beyond which a part is not blamed. One that crashes half of its runs has one.
pub const ANSWERS_PER_CRASH: u32 = 2;
/// The span of crashes in which answers from before the first one count in full, in milliseconds: it takes about that
/// long until answers on a sound part that is asked for often come again, from all instances.
const EARLIER_SPAN_MS: TimeMs = TimeMs(2_000);
/// The most answers from before the first crash that count beyond that span, so that a part which was answered often is
/// found soon after it begins to crash endpoints.
const MAX_EARLIER_ANSWERS: u32 = 8;
/// The shortest time between two crashes that count as two, in milliseconds: what fails together fails within it.
const SPACING_MS: TimeMs = TimeMs(100);
/// How long crashes that are outweighed by answers count beside new ones, in milliseconds.
const OUTWEIGHED_MS: TimeMs = TimeMs(20_000);
/// The crashes ahead for which answers are reported, so that a further crash does not quarantine before they have come.
const REPORTED_AHEAD: u32 = 4;
/// The most crashes that are remembered of a feature.
const MAX_CRASHES: usize = 64;
/// The most peers whose answers are counted for a feature.
const MAX_PEERS: usize = 1_024;

/// The end of an incarnation with a request in flight there.
#[derive(Debug, Clone, Copy)]
pub(super) struct Crash<I> {
    pub(super) incarnation: I,
    pub(super) at_ms: TimeMs,
    /// True if this instance observed it, and so reports it to its peers.
    pub(super) is_local: bool,
    pub(super) reported_ms: Option<TimeMs>,
}

/// Answers on a feature at one instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Answers {
    /// Those since the first crash.
    pub(super) since: u32,
    /// Those of the last seconds before it.
    pub(super) earlier: u32,
}

impl Answers {
    fn max(self, other: Self) -> Self {
        Self { since: self.since.max(other.since), earlier: self.earlier.max(other.earlier) }
    }

    fn less(self, used: Self) -> Self {
        Self { since: self.since - used.since, earlier: self.earlier - used.earlier }
    }
}

/// The answers that one instance has counted since its start, and the part of them that was used up by a clearance.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    counted: Answers,
    used: Answers,
}

/// The crashes and answers of a feature.
#[derive(Debug, Clone)]
pub(super) struct FeatureEvidence<I> {
    crashes: Vec<Crash<I>>,
    /// Incarnations whose crashes were cleared; late reports of them are ignored.
    cleared: BTreeSet<I>,
    own: Tally,
    peers: BTreeMap<u64, Tally>,
    reported: Answers,
    /// True if the answers are to be reported to peers although no crash is left to weigh.
    pub(super) has_refuted_report: bool,
    /// The time of the crash that made the evidence suffice.
    enough_since_ms: Option<TimeMs>,
    last_ms: TimeMs,
}

impl<I> Default for FeatureEvidence<I> {
    fn default() -> Self {
        Self {
            crashes: Vec::new(),
            cleared: BTreeSet::new(),
            own: Tally::default(),
            peers: BTreeMap::new(),
            reported: Answers::default(),
            has_refuted_report: false,
            enough_since_ms: None,
            last_ms: TimeMs(0),
        }
    }
}

impl<I: Copy + Ord> FeatureEvidence<I> {
    pub(super) fn crashes(&self) -> &[Crash<I>] {
        &self.crashes
    }

    pub(super) fn crashes_mut(&mut self) -> &mut [Crash<I>] {
        &mut self.crashes
    }

    pub(super) fn has_crashes(&self) -> bool {
        !self.crashes.is_empty()
    }

    /// Returns true if it has several crashes, so that instances that start should learn of them.
    pub(super) fn is_repeated(&self) -> bool {
        self.crashes.len() > 1
    }

    pub(super) fn incarnations(&self) -> BTreeSet<I> {
        self.crashes.iter().map(|crash| crash.incarnation).collect()
    }

    /// The time of the last crash, or of the clearance.
    pub(super) fn last_ms(&self) -> TimeMs {
        self.last_ms
    }

    pub(super) fn first_crash_age_ms(&self, now_ms: TimeMs) -> TimeMs {
        let first_ms = self.crashes.iter().map(|crash| crash.at_ms).min();
        first_ms.map_or(TimeMs(0), |at_ms| now_ms.since(at_ms))
    }

    /// Counts one answer at this instance.
    pub(super) fn record_answer(&mut self) {
        self.own.counted.since = self.own.counted.since.saturating_add(1);
    }

    /// Adds a crash, and returns false if it was known or cleared. `earlier_answers` were made here in the last seconds.
    pub(super) fn add(
        &mut self,
        crash: Crash<I>,
        kind: FeatureKind,
        earlier_answers: impl FnOnce() -> u32,
        now_ms: TimeMs,
    ) -> bool {
        if self.cleared.contains(&crash.incarnation) || self.crashes.len() >= MAX_CRASHES {
            return false;
        }
        if let Some(known) =
            self.crashes.iter_mut().find(|known| known.incarnation == crash.incarnation)
        {
            known.at_ms = known.at_ms.min(crash.at_ms);
            known.is_local |= crash.is_local;
            return false;
        }
        if self.is_outweighed(kind) && crash.at_ms.since(self.last_ms) >= OUTWEIGHED_MS {
            self.clear(self.last_ms);
        }
        if self.crashes.is_empty() && kind == FeatureKind::Part {
            // A request is cleared by what comes after its crashes only.
            let earlier = &mut self.own.counted.earlier;
            *earlier = earlier.saturating_add(earlier_answers());
        }
        self.last_ms = self.last_ms.max(crash.at_ms);
        self.crashes.push(crash);
        if self.has_enough_crashes(kind) && !self.is_outweighed(kind) {
            self.enough_since_ms.get_or_insert(now_ms);
        } else {
            self.enough_since_ms = None;
        }
        true
    }

    /// The number of events: of a part, which may be in flight at many endpoints when they fail together, crashes that are
    /// at least [`SPACING_MS`] apart.
    fn events(&self, kind: FeatureKind) -> usize {
        if kind == FeatureKind::Request {
            return self.crashes.len();
        }
        let mut at_ms: Vec<_> = self.crashes.iter().map(|crash| crash.at_ms).collect();
        at_ms.sort_unstable();
        let mut last_ms: Option<TimeMs> = None;
        let mut count = 0;
        for at_ms in at_ms {
            if last_ms.is_none_or(|last_ms| at_ms.since(last_ms) >= SPACING_MS) {
                count += 1;
                last_ms = Some(at_ms);
            }
        }
        count
    }

    /// The answers that speak for the feature, at all instances.
    pub(super) fn answers(&self) -> u32 {
        let (mut since, mut earlier) = (0u32, 0u32);
        for tally in self.peers.values().chain([&self.own]) {
            let answers = tally.counted.less(tally.used);
            since = since.saturating_add(answers.since);
            earlier = earlier.saturating_add(answers.earlier);
        }
        since.saturating_add(earlier.min(self.max_earlier_answers()))
    }

    fn max_earlier_answers(&self) -> u32 {
        let at_ms = || self.crashes.iter().map(|crash| crash.at_ms);
        let (first_ms, last_ms) = (at_ms().min(), at_ms().max());
        let span_ms = last_ms.zip(first_ms).map_or(TimeMs(0), |(last, first)| last.since(first));
        if span_ms < EARLIER_SPAN_MS { u32::MAX } else { MAX_EARLIER_ANSWERS }
    }

    /// Records what a peer has counted since its start.
    pub(super) fn record_peer_answers(&mut self, peer: u64, counted: Answers) {
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&peer) {
            return;
        }
        let tally = self.peers.entry(peer).or_default();
        tally.counted = tally.counted.max(counted);
    }

    /// Takes what peers should know of the answers here: all of them while they may decide, and otherwise as many as
    /// outweigh the crashes by themselves, from an instance that is a reporter.
    pub(super) fn take_answer_report(
        &mut self,
        kind: FeatureKind,
        is_reporter: impl FnOnce() -> bool,
    ) -> Option<Answers> {
        let is_told = self.reported.since + self.reported.earlier.min(self.max_earlier_answers())
            > self.max_answers(kind);
        let ahead = ANSWERS_PER_CRASH * REPORTED_AHEAD;
        let is_open = self.has_crashes() && self.answers() <= self.max_answers(kind) + ahead;
        let is_wanted =
            is_open || (self.has_crashes() && !is_told || self.has_refuted_report) && is_reporter();
        if !is_wanted || self.own.counted == self.reported {
            return None;
        }
        self.has_refuted_report = false;
        self.reported = self.own.counted;
        Some(self.reported)
    }

    fn max_answers(&self, kind: FeatureKind) -> u32 {
        match kind {
            FeatureKind::Request => 0,
            FeatureKind::Part => ANSWERS_PER_CRASH * self.crashes.len() as u32,
        }
    }

    /// Returns true if the answers speak for the feature more than the crashes speak against it.
    pub(super) fn is_outweighed(&self, kind: FeatureKind) -> bool {
        self.has_crashes() && self.answers() > self.max_answers(kind)
    }

    fn has_enough_crashes(&self, kind: FeatureKind) -> bool {
        let events = self.events(kind);
        events >= CRASH_LIMIT || events + 1 >= CRASH_LIMIT && self.crashes.len() >= MANY_CRASHES
    }

    /// The time since which the evidence suffices to quarantine; none if it does not.
    pub(super) fn quarantinable_since_ms(&self, kind: FeatureKind) -> Option<TimeMs> {
        self.enough_since_ms.filter(|_| self.has_enough_crashes(kind) && !self.is_outweighed(kind))
    }

    /// Drops the crashes, and the answers that outweighed them.
    pub(super) fn clear(&mut self, now_ms: TimeMs) {
        self.cleared.extend(self.crashes.drain(..).map(|crash| crash.incarnation));
        for tally in self.peers.values_mut().chain([&mut self.own]) {
            tally.used = tally.counted;
        }
        self.enough_since_ms = None;
        self.last_ms = now_ms;
    }

    /// Drops the crashes that another feature explains.
    pub(super) fn withdraw(&mut self, incarnations: &BTreeSet<I>) {
        self.crashes.retain(|crash| !incarnations.contains(&crash.incarnation));
    }
}
