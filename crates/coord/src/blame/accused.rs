//! The evidence on one feature.

use std::{
    collections::{HashMap, HashSet},
    hash::Hash,
};

use bilberryford_types::TimeMs;

use super::{CRASH_LIMIT, FeatureKind};

/// The answers for each crash beyond which a part is cleared. One that crashes half of its runs has one.
pub const ANSWERS_PER_CRASH: u32 = 2;
/// The shortest time between two crashes that count as two, in milliseconds: what fails together fails within it.
const SPACING_MS: TimeMs = TimeMs(100);
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

/// The answers that one peer counted, since its start and up to the last clearance here.
#[derive(Debug, Clone, Copy, Default)]
struct PeerAnswers {
    counted: u32,
    cleared: u32,
}

/// The crashes and answers of a feature.
#[derive(Debug, Clone)]
pub(super) struct Accused<I> {
    crashes: Vec<Crash<I>>,
    /// Incarnations whose crashes were outweighed by answers; late reports of them are ignored.
    cleared: HashSet<I>,
    /// The answers at this instance since the feature was first accused, and in the seconds before.
    pub(super) own_answers: u32,
    /// The part of them that a clearance has used up.
    own_cleared: u32,
    peers: HashMap<u64, PeerAnswers>,
    pub(super) reported_answers: u32,
    /// True if peers should hear of the answers although no crash is left to weigh.
    pub(super) has_refuted_report: bool,
    last_ms: TimeMs,
}

impl<I> Default for Accused<I> {
    fn default() -> Self {
        Self {
            crashes: Vec::new(),
            cleared: HashSet::new(),
            own_answers: 0,
            own_cleared: 0,
            peers: HashMap::new(),
            reported_answers: 0,
            has_refuted_report: false,
            last_ms: TimeMs(0),
        }
    }
}

impl<I: Copy + Eq + Hash> Accused<I> {
    pub(super) fn has_crashes(&self) -> bool {
        !self.crashes.is_empty()
    }

    /// Returns true if it has several crashes, so that instances that start should learn of them.
    pub(super) fn is_repeated(&self) -> bool {
        self.crashes.len() > 1
    }

    pub(super) fn crashes(&self) -> &[Crash<I>] {
        &self.crashes
    }

    pub(super) fn crashes_mut(&mut self) -> &mut [Crash<I>] {
        &mut self.crashes
    }

    pub(super) fn incarnations(&self) -> HashSet<I> {
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

    /// Begins to weigh `earlier_answers` and those to come against the crashes to come.
    pub(super) fn start_count(&mut self, earlier_answers: u32) {
        self.own_cleared = self.own_answers;
        self.own_answers = self.own_answers.saturating_add(earlier_answers);
    }

    /// Adds a crash, and returns false if it was known or cleared.
    pub(super) fn add(&mut self, crash: Crash<I>) -> bool {
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
        self.last_ms = self.last_ms.max(crash.at_ms);
        self.crashes.push(crash);
        true
    }

    /// The crashes that count as evidence of their own: for a part, which may be in flight at many endpoints when they
    /// fail together, those that are at least [`SPACING_MS`] apart.
    fn counted_crashes(&self, kind: FeatureKind) -> usize {
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
        let peers: u32 = self.peers.values().map(|peer| peer.counted - peer.cleared).sum();
        (self.own_answers - self.own_cleared).saturating_add(peers)
    }

    /// Records that a peer has counted `counted` answers since its start.
    pub(super) fn record_peer_answers(&mut self, peer: u64, counted: u32) {
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&peer) {
            return;
        }
        let answers = self.peers.entry(peer).or_default();
        answers.counted = answers.counted.max(counted);
    }

    fn max_answers(&self, kind: FeatureKind) -> u32 {
        match kind {
            FeatureKind::Request => 0,
            FeatureKind::Part => ANSWERS_PER_CRASH * self.crashes.len() as u32,
        }
    }

    /// Returns true if the answers clear the feature.
    pub(super) fn is_outweighed(&self, kind: FeatureKind) -> bool {
        self.has_crashes() && self.answers() > self.max_answers(kind)
    }

    pub(super) fn is_convictable(&self, kind: FeatureKind) -> bool {
        self.counted_crashes(kind) >= CRASH_LIMIT && !self.is_outweighed(kind)
    }

    /// Drops the crashes, and the answers that outweighed them.
    pub(super) fn clear(&mut self, now_ms: TimeMs) {
        self.cleared.extend(self.crashes.drain(..).map(|crash| crash.incarnation));
        self.own_cleared = self.own_answers;
        for peer in self.peers.values_mut() {
            peer.cleared = peer.counted;
        }
        self.last_ms = now_ms;
    }

    /// Drops the crashes that another feature explains.
    pub(super) fn withdraw(&mut self, incarnations: &HashSet<I>) {
        self.crashes.retain(|crash| !incarnations.contains(&crash.incarnation));
    }
}
