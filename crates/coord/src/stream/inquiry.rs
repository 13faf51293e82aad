//! The questions of an instance that does not know a stream which a caller takes up.

use bilberryford_types::TimeMs;

/// The peers that are asked in each round: as many as keep a record.
const ASKED_PER_ROUND: usize = 4;
/// The number of rounds. Each one asks the next peers, and those of earlier rounds that did not answer.
const ROUNDS: usize = 3;
/// The longest wait for the answers of a round, in milliseconds: several round trips within a region.
const ROUND_MS: TimeMs = TimeMs(30);

/// What to do next in an inquiry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InquiryStep<P> {
    /// Ask these peers.
    Ask(Vec<P>),
    /// Wait for answers until this time.
    Wait(TimeMs),
    /// No peer that was asked knows the stream, or none of them answers.
    Exhausted,
}

/// An inquiry about one stream. It ends as soon as all peers have denied, so that a made-up name is refused at once.
#[derive(Debug, Clone)]
pub struct StreamInquiry<P> {
    /// The peers that have not been asked, in the order of the keepers.
    next: std::vec::IntoIter<P>,
    /// The peers that were asked and have not answered.
    pending: Vec<P>,
    rounds: usize,
    round_ends_ms: TimeMs,
}

impl<P: Copy + Eq> StreamInquiry<P> {
    /// Begins an inquiry with `peers`, the likeliest keepers first.
    pub fn new(peers: Vec<P>) -> Self {
        let (next, pending) = (peers.into_iter(), Vec::new());
        Self { next, pending, rounds: 0, round_ends_ms: TimeMs(0) }
    }

    /// Records that a peer answered. What it knows ends the inquiry elsewhere.
    pub fn record_answer(&mut self, peer: P) {
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

    /// Returns what to do at `now_ms`.
    pub fn step(&mut self, now_ms: TimeMs) -> InquiryStep<P> {
        if !self.pending.is_empty() && now_ms < self.round_ends_ms {
            return InquiryStep::Wait(self.round_ends_ms);
        }
        if self.rounds == ROUNDS {
            return InquiryStep::Exhausted;
        }
        self.rounds += 1;
        self.pending.extend(self.next.by_ref().take(ASKED_PER_ROUND));
        if self.pending.is_empty() {
            return InquiryStep::Exhausted;
        }
        self.round_ends_ms = now_ms.after(ROUND_MS);
        InquiryStep::Ask(self.pending.clone())
    }
}
