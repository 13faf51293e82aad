//! Quarantine of requests that crash endpoints.
//!
//! A request is identified by its fingerprint. If an endpoint crashes while it runs several requests, each of them
//! becomes a suspect. A suspect may run again only under two claims, one on its fingerprint and one on the endpoint, so
//! that it is the only suspect at that endpoint. A crash under those claims quarantines the request, a clean run clears
//! it. Both kinds of claim are entries of the same table, held by the rendezvous owner of the key. See
//! `docs/design/poison.md`.
//!
//! # Invariant
//!
//! At one owner, a key has at most one claim at a time, and a quarantined key has none. A quarantine ends only by
//! expiry, never by a clean run.

use std::collections::{BTreeMap, HashMap};

use bilberryford_types::{Digest, TimeMs};

/// How long a suspicion or a clearance lasts, in milliseconds.
const SUSPECT_MS: u64 = 600_000;
/// The longest time that a request stays in quarantine, in milliseconds.
pub const QUARANTINE_MS: u64 = 86_400_000;
/// The most keys that are stored. The oldest are evicted first, quarantined keys last.
const MAX_KEYS: usize = 16_384;
/// The longest duration of a claim, in milliseconds.
const MAX_CLAIM_MS: u64 = 3_600_000;

/// The quarantine state of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineState {
    /// No crash is attributed to the key.
    Clear,
    /// The request was one of several that ran when an endpoint crashed.
    Suspect,
    /// The request must not run.
    Quarantined,
}

/// The owner's reply to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimReply {
    /// The claim is held by the attempt, which may run the request.
    Granted,
    /// Another attempt holds a claim on the key.
    Busy,
    /// The request must not run.
    Quarantined,
    /// The request was cleared by a clean run and needs no claim.
    Cleared,
}

/// The way in which an instance learned of a quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineSource {
    /// From the instance that observed the crash, which may be this one; it is gossiped to peers.
    Local,
    /// From a heartbeat or the platform; it is not gossiped further, so that it can expire everywhere.
    Remote,
}

#[derive(Debug, Clone)]
struct Claim {
    attempt: String,
    until: TimeMs,
}

#[derive(Debug, Clone)]
struct Entry {
    state: QuarantineState,
    until: TimeMs,
    claim: Option<Claim>,
    is_cleared: bool,
    should_announce: bool,
    /// Sequence number of insertion, the key in `oldest_first`.
    sequence: u64,
}

/// The quarantine table of one instance.
#[derive(Debug, Default)]
pub struct Quarantine {
    by_key: HashMap<Digest, Entry>,
    oldest_first: BTreeMap<u64, Digest>,
    last_sequence: u64,
}

impl Quarantine {
    /// The state of `key` at `now`.
    pub fn state(&self, key: &Digest, now: TimeMs) -> QuarantineState {
        let entry = self.by_key.get(key).filter(|entry| entry.until > now);
        entry.map_or(QuarantineState::Clear, |entry| entry.state)
    }

    /// Claims `key` for `attempt` until it is released, for at most `span`.
    pub fn claim(&mut self, key: Digest, attempt: &str, span: TimeMs, now: TimeMs) -> ClaimReply {
        let entry = self.entry(key, now);
        if entry.state == QuarantineState::Quarantined {
            return ClaimReply::Quarantined;
        }
        if entry.is_cleared {
            return ClaimReply::Cleared;
        }
        let current = entry.claim.as_ref().filter(|claim| claim.until > now);
        if current.is_some_and(|claim| claim.attempt != attempt) {
            return ClaimReply::Busy;
        }
        let until = now.after(span.min(TimeMs(MAX_CLAIM_MS)));
        entry.claim = Some(Claim { attempt: attempt.to_owned(), until });
        entry.until = entry.until.max(until);
        ClaimReply::Granted
    }

    /// Records a crash of an endpoint while `key` was one of several requests that it ran; returns the new state.
    pub fn mark_suspect(&mut self, key: Digest, now: TimeMs) -> QuarantineState {
        let entry = self.entry(key, now);
        if entry.state != QuarantineState::Quarantined {
            entry.state = QuarantineState::Suspect;
            entry.is_cleared = false;
            entry.until = entry.until.max(now.after(TimeMs(SUSPECT_MS)));
        }
        entry.state
    }

    /// Applies a peer's suspicion of `key`. A state that is known here, including a clearance, takes precedence.
    pub fn apply_peer_suspicion(&mut self, key: Digest, now: TimeMs) {
        let is_known = self.by_key.get(&key).is_some_and(|entry| {
            entry.until > now && (entry.is_cleared || entry.state != QuarantineState::Clear)
        });
        if !is_known {
            self.mark_suspect(key, now);
        }
    }

    /// Quarantines `key` for at most `span`; returns true if it was not quarantined before.
    pub fn quarantine(
        &mut self,
        key: Digest,
        span: TimeMs,
        source: QuarantineSource,
        now: TimeMs,
    ) -> bool {
        let entry = self.entry(key, now);
        let is_new = entry.state != QuarantineState::Quarantined;
        entry.state = QuarantineState::Quarantined;
        entry.claim = None;
        entry.should_announce |= source == QuarantineSource::Local;
        if is_new {
            entry.until = now.after(span.min(TimeMs(QUARANTINE_MS)));
        }
        is_new
    }

    /// Releases the claim of `attempt` without a result.
    pub fn release(&mut self, key: &Digest, attempt: &str) {
        let entry = self.by_key.get_mut(key);
        let released =
            entry.and_then(|entry| entry.claim.take_if(|claim| claim.attempt == attempt));
        let is_clear = |entry: &Entry| entry.state == QuarantineState::Clear;
        if released.is_some() && self.by_key.get(key).is_some_and(is_clear) {
            self.remove(key);
        }
    }

    /// Clears `key` after a clean run under the claim of `attempt`. The clearance is remembered, since other instances
    /// may still treat the request as a suspect.
    pub fn clear(&mut self, key: Digest, attempt: &str, now: TimeMs) {
        let entry = self.entry(key, now);
        let is_claimed_by_other =
            entry.claim.as_ref().is_some_and(|claim| claim.attempt != attempt);
        if entry.state != QuarantineState::Quarantined && !is_claimed_by_other {
            entry.state = QuarantineState::Clear;
            entry.claim = None;
            entry.is_cleared = true;
            entry.until = now.after(TimeMs(SUSPECT_MS));
        }
    }

    /// Up to `limit` quarantined keys to gossip to peers, the latest first.
    pub fn keys_to_announce(&self, limit: usize, now: TimeMs) -> Vec<Digest> {
        let should_announce = |key: &&Digest| {
            let entry = self.by_key.get(key).filter(|entry| entry.until > now);
            entry.is_some_and(|entry| {
                entry.state == QuarantineState::Quarantined && entry.should_announce
            })
        };
        self.oldest_first.values().rev().filter(should_announce).take(limit).copied().collect()
    }

    /// The number of quarantined keys.
    pub fn quarantined_count(&self, now: TimeMs) -> usize {
        let is_quarantined =
            |entry: &&Entry| entry.state == QuarantineState::Quarantined && entry.until > now;
        self.by_key.values().filter(is_quarantined).count()
    }

    /// Up to `limit` keys in `state`, the latest first; an instance that has just started fetches them from a peer.
    pub fn keys_in_state(&self, state: QuarantineState, limit: usize, now: TimeMs) -> Vec<Digest> {
        let is_in_state = |key: &&Digest| self.state(key, now) == state;
        self.oldest_first.values().rev().filter(is_in_state).take(limit).copied().collect()
    }

    fn remove(&mut self, key: &Digest) {
        if let Some(entry) = self.by_key.remove(key) {
            self.oldest_first.remove(&entry.sequence);
        }
    }

    fn entry(&mut self, key: Digest, now: TimeMs) -> &mut Entry {
        if self.by_key.get(&key).is_some_and(|entry| entry.until <= now) {
            self.remove(&key);
        }
        if !self.by_key.contains_key(&key) {
            self.evict_if_full();
            self.last_sequence += 1;
            self.oldest_first.insert(self.last_sequence, key);
        }
        let sequence = self.last_sequence;
        let clear = Entry {
            state: QuarantineState::Clear,
            until: now,
            claim: None,
            is_cleared: false,
            should_announce: false,
            sequence,
        };
        self.by_key.entry(key).or_insert(clear)
    }

    fn evict_if_full(&mut self) {
        if self.by_key.len() < MAX_KEYS {
            return;
        }
        let is_evictable = |key: &&Digest| {
            self.by_key.get(key).is_some_and(|entry| entry.state != QuarantineState::Quarantined)
        };
        let evictable = self.oldest_first.values().find(is_evictable);
        let evicted = evictable.or_else(|| self.oldest_first.values().next()).copied();
        if let Some(key) = evicted {
            self.remove(&key);
        }
    }
}
