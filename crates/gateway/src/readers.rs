//! Decides which instances read the store, and which of them the others ask instead.
//!
//! Load pattern: hundreds of instances that each watch and confirm make calls in proportion to their number, whether or
//! not they have requests, and each call is charged for. In each data centre, or in a small fleet over all of them, the
//! first live instances in rendezvous order read the store; the others ask one of them by datagram. All instances compute the order alike from the list of
//! instances, and a wrong view only costs calls: an instance that nobody answers reads the store itself.
//!
//! What is passed on is "version V; my last confirmation began A ms ago". The asker counts A back from the moment
//! before it sent its question. The answer was made after that moment, so the confirmation began no earlier than the
//! asker assumes, however long the answer was under way or either side was suspended. See `docs/design/platform.md`.

use std::net::SocketAddr;

use bilberryford_types::TimeMs;
use xxhash_rust::xxh3::xxh3_64;

/// The number of listed instances from which they have two readers.
const MIN_FOR_TWO_READERS: usize = 8;
/// The number of consecutive unanswered questions after which a candidate counts as silent.
const MAX_UNANSWERED: u32 = 3;
/// The interval at which a silent candidate is asked again, in milliseconds.
const TRIAL_INTERVAL_MS: TimeMs = TimeMs(1_000);
/// The most silent candidates that are asked at once.
const MAX_TRIALS: usize = 2;
/// How long an instance that was asked reads the store, in milliseconds.
const ASKED_MS: TimeMs = TimeMs(2_000);
/// The allowance for two clocks that run at different rates and are read in whole milliseconds.
const CLOCK_MARGIN_MS: TimeMs = TimeMs(5);

/// Returns the time from which a confirmation counts that a reader passed on: `age_ms` before the question, which was
/// sent at `asked_ms`.
pub fn passed_on_confirmation(asked_ms: TimeMs, age_ms: TimeMs) -> TimeMs {
    asked_ms.since(age_ms).since(CLOCK_MARGIN_MS)
}

/// Returns a time by which something happened that a reader passed on, which happened `age_ms` or longer before its answer. The
/// answer is applied at `now_ms`.
pub fn passed_on_deadline(now_ms: TimeMs, age_ms: TimeMs) -> TimeMs {
    now_ms.since(age_ms).after(CLOCK_MARGIN_MS)
}

/// Why an instance reads the store itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ReadReason {
    /// It is one of the first, or too few of those that precede it read the store.
    TooFewReaders,
    /// Another instance asks it.
    IsAsked,
    /// No reader gave a usable answer for a while.
    NoAnswer,
    /// The store's last reply, to this instance or to a reader, is too old.
    OldContact,
}

/// A listed instance that precedes the own one in rendezvous order.
#[derive(Debug, Clone)]
struct ReaderCandidate {
    address: SocketAddr,
    unanswered: u32,
    is_responsive: bool,
    next_trial_ms: TimeMs,
}

/// Which readers an instance asks, and whether it reads the store itself.
#[derive(Debug, Clone, Default)]
pub struct ReaderSelection {
    candidates: Vec<ReaderCandidate>,
    readers: usize,
    turn: usize,
    /// The time of the question to the last usable answer.
    answered_ms: Option<TimeMs>,
    /// The time at which another instance last asked this one.
    asked_ms: Option<TimeMs>,
}

impl ReaderSelection {
    /// Sets the listed instances that share readers, by name and address, `local` among them or not.
    pub fn set_instances<'a>(
        &mut self,
        local: &str,
        listed: impl Iterator<Item = (&'a str, SocketAddr)>,
    ) {
        let order = |name: &str| (xxh3_64(name.as_bytes()), name.to_owned());
        let mut others: Vec<_> = listed.filter(|(name, _)| *name != local).collect();
        let is_small = others.len() + 1 < MIN_FOR_TWO_READERS;
        self.readers = if is_small { 1 } else { 2 };
        others.retain(|(name, _)| order(name) < order(local));
        others.sort_by_key(|(name, _)| order(name));
        let known = std::mem::take(&mut self.candidates);
        self.candidates = others
            .into_iter()
            .map(|(_, address)| {
                let old = known.iter().find(|candidate| candidate.address == address).cloned();
                old.unwrap_or(ReaderCandidate {
                    address,
                    unanswered: 0,
                    is_responsive: false,
                    next_trial_ms: TimeMs(0),
                })
            })
            .collect();
    }

    fn responsive(&self) -> impl Iterator<Item = &ReaderCandidate> {
        self.candidates.iter().filter(|candidate| candidate.is_responsive).take(self.readers)
    }

    /// Returns the addresses to ask now: one of the readers by turns, and silent candidates that precede them.
    pub fn next_questions(&mut self, now_ms: TimeMs) -> Vec<SocketAddr> {
        let readers: Vec<_> = self.responsive().map(|candidate| candidate.address).collect();
        self.turn = self.turn.wrapping_add(1);
        let reader = readers.get(self.turn.checked_rem(readers.len()).unwrap_or(0)).copied();
        // Silent candidates after the last reader are of no use.
        let last = self.candidates.iter().position(|candidate| {
            readers.len() == self.readers && readers.last() == Some(&candidate.address)
        });
        let asked: Vec<_> = self
            .candidates
            .iter_mut()
            .take(last.unwrap_or(usize::MAX))
            .filter(|candidate| !candidate.is_responsive && now_ms >= candidate.next_trial_ms)
            .take(MAX_TRIALS)
            .map(|candidate| {
                candidate.next_trial_ms = now_ms.after(TRIAL_INTERVAL_MS);
                candidate.address
            })
            .chain(reader)
            .collect();
        for candidate in &mut self.candidates {
            candidate.unanswered += u32::from(asked.contains(&candidate.address));
            candidate.is_responsive &= candidate.unanswered <= MAX_UNANSWERED;
        }
        asked
    }

    /// Records an answer to a question of `asked_ms`. An answer that is not usable shows that the candidate does not
    /// read the store.
    pub fn record_answer(&mut self, from: SocketAddr, asked_ms: TimeMs, is_usable: bool) {
        let candidate = self.candidates.iter_mut().find(|candidate| candidate.address == from);
        let Some(candidate) = candidate else { return };
        candidate.is_responsive = is_usable;
        candidate.unanswered = 0;
        if is_usable {
            self.answered_ms = self.answered_ms.max(Some(asked_ms));
        }
    }

    /// Records a question of another instance.
    pub fn record_question(&mut self, now_ms: TimeMs) {
        self.asked_ms = Some(now_ms);
    }

    /// Returns why this instance reads the store at `now_ms`; none if readers read it for this instance. An answer counts
    /// for `expiry_ms`. The store's last reply that the instance knows of may be too old beside that, whatever its readers do.
    pub fn reason_to_read(
        &self,
        now_ms: TimeMs,
        expiry_ms: TimeMs,
        has_old_contact: bool,
    ) -> Option<ReadReason> {
        let is_within = |at: Option<TimeMs>, span| at.is_some_and(|at| now_ms.since(at) < span);
        if self.responsive().count() < self.readers {
            Some(ReadReason::TooFewReaders)
        } else if is_within(self.asked_ms, ASKED_MS) {
            Some(ReadReason::IsAsked)
        } else if !is_within(self.answered_ms, expiry_ms) {
            Some(ReadReason::NoAnswer)
        } else {
            has_old_contact.then_some(ReadReason::OldContact)
        }
    }
}
