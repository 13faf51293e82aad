//! Requests that crash endpoints: suspects, claims and the quarantine.
//!
//! A request is known by its fingerprint. A crash while it ran beside others only makes it a suspect. A suspect runs
//! again under two claims, one on its fingerprint and one on the endpoint, so that it is the only suspect there; a crash
//! under those claims convicts it, a clean run acquits it. The same table holds both kinds of claim, by the key's
//! rendezvous owner. See `docs/design/poison.md`.
//!
//! # Invariant
//!
//! At one owner, a key has at most one claim at a time, and a quarantined key has none. A conviction is never undone
//! by a clean run, only by time.

use std::collections::{BTreeMap, HashMap};

use bilberryford_types::{Digest, TimeMs};

/// How long a suspect that never ran again stays one, in milliseconds.
const SUSPECT_MS: u64 = 600_000;
/// How long a request stays in quarantine, in milliseconds.
pub const QUARANTINE_MS: u64 = 86_400_000;
/// The most keys that are kept; the oldest give way, those in quarantine last.
const MAX_KEYS: usize = 16_384;
/// The longest claim, in milliseconds.
const MAX_CLAIM_MS: u64 = 3_600_000;

/// What is known of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineState {
    /// Nothing speaks against it.
    Clear,
    /// It ran while an endpoint crashed.
    Suspect,
    /// It may not run again.
    Quarantined,
}

/// What an owner says to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimReply {
    /// The holder may run it, alone.
    Granted,
    /// Another attempt holds the claim.
    Busy,
    /// It may not run again.
    Quarantined,
    /// It was acquitted since; it needs no claim.
    Cleared,
}

/// How an instance comes to know of a conviction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineSource {
    /// From the instance that saw the crash; it is passed on to peers.
    Local,
    /// From a heartbeat or the platform; it is not passed on, so that it ends everywhere.
    Remote,
}

#[derive(Debug, Clone)]
struct Claim {
    attempt: String,
    until: TimeMs,
}

#[derive(Debug, Clone)]
struct Entry {
    standing: QuarantineState,
    until: TimeMs,
    claim: Option<Claim>,
    is_acquitted: bool,
    is_passed_on: bool,
    /// Its place in the order of arrival.
    number: u64,
}

/// The table of one instance.
#[derive(Debug, Default)]
pub struct Quarantine {
    by_key: HashMap<Digest, Entry>,
    oldest_first: BTreeMap<u64, Digest>,
    next_number: u64,
}

impl Quarantine {
    /// What is known of `key`.
    pub fn state(&self, key: &Digest, now: TimeMs) -> QuarantineState {
        let entry = self.by_key.get(key).filter(|entry| entry.until > now);
        entry.map_or(QuarantineState::Clear, |entry| entry.standing)
    }

    /// Claims `key` for `attempt` until it is given back, for `span` at the longest.
    pub fn claim(&mut self, key: Digest, attempt: &str, span: TimeMs, now: TimeMs) -> ClaimReply {
        let entry = self.entry(key, now);
        if entry.standing == QuarantineState::Quarantined {
            return ClaimReply::Quarantined;
        }
        if entry.is_acquitted {
            return ClaimReply::Cleared;
        }
        let held = entry.claim.as_ref().filter(|claim| claim.until > now);
        if held.is_some_and(|claim| claim.attempt != attempt) {
            return ClaimReply::Busy;
        }
        let until = now.after(span.min(TimeMs(MAX_CLAIM_MS)));
        entry.claim = Some(Claim { attempt: attempt.to_owned(), until });
        entry.until = entry.until.max(until);
        ClaimReply::Granted
    }

    /// Takes note of a crash while `key` ran beside others.
    pub fn mark_suspect(&mut self, key: Digest, now: TimeMs) -> QuarantineState {
        let entry = self.entry(key, now);
        if entry.standing != QuarantineState::Quarantined {
            entry.standing = QuarantineState::Suspect;
            entry.is_acquitted = false;
            entry.until = entry.until.max(now.after(TimeMs(SUSPECT_MS)));
        }
        entry.standing
    }

    /// Takes over that a peer suspects `key`; what is known here already, an acquittal too, stays.
    pub fn apply_peer_suspicion(&mut self, key: Digest, now: TimeMs) {
        let is_known = self.by_key.get(&key).is_some_and(|entry| {
            entry.until > now && (entry.is_acquitted || entry.standing != QuarantineState::Clear)
        });
        if !is_known {
            self.mark_suspect(key, now);
        }
    }

    /// Puts `key` into quarantine; answers whether that is news.
    pub fn quarantine(
        &mut self,
        key: Digest,
        span: TimeMs,
        source: QuarantineSource,
        now: TimeMs,
    ) -> bool {
        let entry = self.entry(key, now);
        let is_news = entry.standing != QuarantineState::Quarantined;
        entry.standing = QuarantineState::Quarantined;
        entry.claim = None;
        entry.is_passed_on |= source == QuarantineSource::Local;
        if is_news {
            entry.until = now.after(span.min(TimeMs(QUARANTINE_MS)));
        }
        is_news
    }

    /// Gives the claim of `attempt` back and learns nothing.
    pub fn release(&mut self, key: &Digest, attempt: &str) {
        let entry = self.by_key.get_mut(key);
        let held = entry.and_then(|entry| entry.claim.take_if(|claim| claim.attempt == attempt));
        let is_clear = |entry: &Entry| entry.standing == QuarantineState::Clear;
        if held.is_some() && self.by_key.get(key).is_some_and(is_clear) {
            self.remove(key);
        }
    }

    /// Acquits `key` after a clean run under the claim of `attempt`; remembered for those that still suspect it.
    pub fn clear(&mut self, key: Digest, attempt: &str, now: TimeMs) {
        let entry = self.entry(key, now);
        let is_other = entry.claim.as_ref().is_some_and(|claim| claim.attempt != attempt);
        if entry.standing != QuarantineState::Quarantined && !is_other {
            entry.standing = QuarantineState::Clear;
            entry.claim = None;
            entry.is_acquitted = true;
            entry.until = now.after(TimeMs(SUSPECT_MS));
        }
    }

    /// Up to `limit` keys in quarantine, the latest first, for peers.
    pub fn keys_to_announce(&self, limit: usize, now: TimeMs) -> Vec<Digest> {
        let is_in = |key: &&Digest| {
            let entry = self.by_key.get(key).filter(|entry| entry.until > now);
            entry.is_some_and(|entry| {
                entry.standing == QuarantineState::Quarantined && entry.is_passed_on
            })
        };
        self.oldest_first.values().rev().filter(is_in).take(limit).copied().collect()
    }

    /// How many keys are in quarantine.
    pub fn quarantined_count(&self, now: TimeMs) -> usize {
        let is_in =
            |entry: &&Entry| entry.standing == QuarantineState::Quarantined && entry.until > now;
        self.by_key.values().filter(is_in).count()
    }

    /// Up to `limit` keys of a standing, the latest first, for an instance that has just started.
    pub fn keys_in_state(
        &self,
        standing: QuarantineState,
        limit: usize,
        now: TimeMs,
    ) -> Vec<Digest> {
        let is_such = |key: &&Digest| self.state(key, now) == standing;
        self.oldest_first.values().rev().filter(is_such).take(limit).copied().collect()
    }

    fn remove(&mut self, key: &Digest) {
        if let Some(entry) = self.by_key.remove(key) {
            self.oldest_first.remove(&entry.number);
        }
    }

    fn entry(&mut self, key: Digest, now: TimeMs) -> &mut Entry {
        if self.by_key.get(&key).is_some_and(|entry| entry.until <= now) {
            self.remove(&key);
        }
        if !self.by_key.contains_key(&key) {
            self.make_room();
            self.next_number += 1;
            self.oldest_first.insert(self.next_number, key);
        }
        let number = self.next_number;
        let clear = Entry {
            standing: QuarantineState::Clear,
            until: now,
            claim: None,
            is_acquitted: false,
            is_passed_on: false,
            number,
        };
        self.by_key.entry(key).or_insert(clear)
    }

    fn make_room(&mut self) {
        if self.by_key.len() < MAX_KEYS {
            return;
        }
        let is_free = |key: &&Digest| {
            self.by_key.get(key).is_some_and(|entry| entry.standing != QuarantineState::Quarantined)
        };
        let free = self.oldest_first.values().find(is_free);
        let gives_way = free.or_else(|| self.oldest_first.values().next()).copied();
        if let Some(key) = gives_way {
            self.remove(&key);
        }
    }
}
