//! The questions of an instance that does not know a stream which a caller takes up.
//!
//! Only an answer says something of a stream. A peer that is silent may know it: its link is full, its process does not run,
//! or the question was lost. While one of those that were asked is silent, the inquiry goes on as long as the request can
//! wait; it ends at once when all have denied.

use std::collections::HashMap;

use bilberryford_types::TimeMs;

/// The peers that are asked in each of the first rounds: as many as keep a record.
const ASKED_PER_ROUND: usize = 4;
/// The rounds that ask further peers. Views of the fleet differ, so that the first ones may not be the keepers.
const WIDENING_ROUNDS: usize = 3;
/// The wait for the answers of the first round, in milliseconds: several round trips within a region.
const FIRST_ROUND_MS: u64 = 30;
/// The longest wait for the answers of a round, in milliseconds. Each round waits twice as long as the one before, since
/// questions on a full link delay the answers.
const MAX_ROUND_MS: u64 = 120;

/// What to do next in an inquiry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InquiryStep<P> {
    /// Ask these peers.
    Ask(Vec<P>),
    /// Wait for answers until this time.
    Wait(TimeMs),
    /// All peers that were asked have denied the stream, or there are none.
    Denied,
    /// The request can't wait longer, and some peers have not answered.
    Unanswered,
}

/// An inquiry about one stream. Requests with different limits may share it.
#[derive(Debug, Clone)]
pub struct StreamInquiry<P> {
    /// The peers that have not been asked, in the order of the keepers.
    next: std::vec::IntoIter<P>,
    /// The peers that were asked and have not answered.
    pending: Vec<P>,
    rounds: usize,
    round_ms: u64,
    round_ends_ms: TimeMs,
}

impl<P: Copy + Eq> StreamInquiry<P> {
    /// Begins an inquiry with `peers`, the likeliest keepers first.
    pub fn new(peers: Vec<P>) -> Self {
        Self {
            next: peers.into_iter(),
            pending: Vec::new(),
            rounds: 0,
            round_ms: FIRST_ROUND_MS,
            round_ends_ms: TimeMs(0),
        }
    }

    /// Records that a peer denied the stream. One that knows it ends the inquiry elsewhere.
    pub fn record_denial(&mut self, peer: P) {
        self.pending.retain(|pending| *pending != peer);
    }

    /// The peers that were asked and have not answered.
    pub fn silent_peers(&self) -> &[P] {
        &self.pending
    }

    /// The number of rounds so far.
    pub const fn rounds(&self) -> usize {
        self.rounds
    }

    /// Returns what to do at `now_ms` for a request that can wait until `until_ms`.
    pub fn step(&mut self, now_ms: TimeMs, until_ms: TimeMs) -> InquiryStep<P> {
        if !self.pending.is_empty() {
            if now_ms >= until_ms {
                return InquiryStep::Unanswered;
            }
            if now_ms < self.round_ends_ms {
                return InquiryStep::Wait(self.round_ends_ms.min(until_ms));
            }
        }
        if self.rounds < WIDENING_ROUNDS {
            self.pending.extend(self.next.by_ref().take(ASKED_PER_ROUND));
        }
        if self.pending.is_empty() {
            return InquiryStep::Denied;
        }
        self.rounds += 1;
        self.round_ends_ms = now_ms.after(TimeMs(self.round_ms));
        self.round_ms = (2 * self.round_ms).min(MAX_ROUND_MS);
        InquiryStep::Ask(self.pending.clone())
    }
}

/// An inquiry that may have to end for a new one.
#[derive(Debug, Clone, Copy)]
pub struct OpenInquiry<'a, K> {
    /// Which one it is.
    pub key: K,
    /// The team of the request that began it; empty if it has none.
    pub team: &'a str,
    /// When it began.
    pub began_ms: TimeMs,
}

/// Returns the inquiry that ends where there is no room for a new one: the oldest of the team that has the most. A team that
/// makes up names thus only ends its own.
pub fn displaced_inquiry<K: Copy + Ord>(open: &[OpenInquiry<'_, K>]) -> Option<K> {
    let mut by_team: HashMap<&str, usize> = HashMap::new();
    open.iter().for_each(|inquiry| *by_team.entry(inquiry.team).or_default() += 1);
    let (busiest, _) = by_team.into_iter().max_by_key(|(team, count)| (*count, *team))?;
    let of_busiest = open.iter().filter(|inquiry| inquiry.team == busiest);
    of_busiest.min_by_key(|inquiry| (inquiry.began_ms, inquiry.key)).map(|inquiry| inquiry.key)
}
