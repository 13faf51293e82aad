//! Requests that ran at endpoints as these crashed.
//!
//! The load pattern it answers: one request crashes every endpoint that begins to run it, and its caller sends it again
//! and again, to any instance. A request that was lost with [`CRASH_LIMIT`] lives of endpoints is held back for a while.
//! Others that shared a batch with it are lost with it once or twice, and are cleared by their next answer.
//!
//! Instances tell each other the pairs of request and life that they saw end together. A set of pairs only grows, so a
//! message may be lost, doubled or late, and no instance has to be asked before a request goes on.
//!
//! # Invariant
//!
//! A loss counts only together with the end of that life of the endpoint, since a connection may break for many reasons,
//! and each life counts once however many instances tell of it.

use std::collections::HashMap;

use bilberryford_types::TimeMs;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::peer_loads::EndpointTag;

/// How many lives may end with a request before it is held back: one more than an unlucky neighbour in a batch sees.
const CRASH_LIMIT: usize = 3;
/// How long a request is held back after the last crash, in milliseconds: ten minutes, as suspects are kept elsewhere.
const HELD_FOR_MS: TimeMs = TimeMs(600_000);
/// How far a loss and the end of a life may be apart, in milliseconds: an entry lapses some seconds after a crash.
const TOGETHER_MS: TimeMs = TimeMs(6_000);
/// How long a new crash is told with every message, in milliseconds: several messages at the slowest pace.
const NEWS_FOR_MS: TimeMs = TimeMs(2_500);
/// How often a crash is told again while its request has more than one, in milliseconds: peers start and come back.
const TOLD_EVERY_MS: TimeMs = TimeMs(2_000);
/// The most requests that are remembered; with more, new ones are left out until old ones have run out.
const MAX_REQUESTS: usize = 4_096;

/// What a request is, however often and wherever it is sent: the same caller, method, target and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// The fingerprint of a request; `caller` is its team where requests have one.
    pub fn new(caller: &str, method: &str, target: &str, body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        for part in [caller.as_bytes(), method.as_bytes(), target.as_bytes(), body] {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Self(hash.digest())
    }
}

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

#[derive(Debug, Clone, Copy)]
struct Loss {
    incarnation: EndpointTag,
    at_ms: TimeMs,
    is_crash: bool,
    /// Whether this instance saw it, and tells it.
    is_own: bool,
    told_ms: TimeMs,
}

#[derive(Debug, Clone, Default)]
struct Suspicion {
    losses: Vec<Loss>,
    /// Lives that ended before the request was answered; peers may still tell of them.
    cleared: Vec<EndpointTag>,
    cleared_ms: TimeMs,
}

impl Suspicion {
    fn crashes(&self) -> impl Iterator<Item = &Loss> {
        self.losses.iter().filter(|loss| loss.is_crash)
    }

    fn is_held(&self) -> bool {
        self.crashes().count() >= CRASH_LIMIT
    }

    fn keep(&mut self, loss: Loss) {
        if self.cleared.contains(&loss.incarnation) {
            return;
        }
        match self.losses.iter_mut().find(|known| known.incarnation == loss.incarnation) {
            Some(known) => known.is_crash |= loss.is_crash,
            None => self.losses.push(loss),
        }
    }
}

/// All requests under suspicion.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    by_request: HashMap<Fingerprint, Suspicion>,
    ended_ms: HashMap<EndpointTag, TimeMs>,
}

impl Quarantine {
    fn entry(&mut self, request: Fingerprint) -> Option<&mut Suspicion> {
        let has_room = self.by_request.len() < MAX_REQUESTS;
        (has_room || self.by_request.contains_key(&request))
            .then(|| self.by_request.entry(request).or_default())
    }

    /// A request lost its connection to an endpoint that may have begun it; answers whether it is held back from now on.
    pub fn record_loss(
        &mut self,
        request: Fingerprint,
        incarnation: EndpointTag,
        now_ms: TimeMs,
    ) -> bool {
        let is_crash = self.ended_ms.contains_key(&incarnation);
        let Some(suspicion) = self.entry(request) else { return false };
        let was_held = suspicion.is_held();
        suspicion.keep(Loss {
            incarnation,
            at_ms: now_ms,
            is_crash,
            is_own: true,
            told_ms: now_ms,
        });
        !was_held && suspicion.is_held()
    }

    /// An endpoint's life ended; answers the requests that are held back from now on.
    pub fn record_incarnation_end(
        &mut self,
        incarnation: EndpointTag,
        now_ms: TimeMs,
    ) -> Vec<Fingerprint> {
        if self.ended_ms.insert(incarnation, now_ms).is_some() {
            return Vec::new();
        }
        let mut held = Vec::new();
        for (request, suspicion) in &mut self.by_request {
            let was_held = suspicion.is_held();
            let with_it =
                suspicion.losses.iter_mut().filter(|loss| loss.incarnation == incarnation);
            for loss in with_it.filter(|loss| now_ms.since(loss.at_ms) <= TOGETHER_MS) {
                loss.is_crash = true;
                loss.at_ms = now_ms;
            }
            if !was_held && suspicion.is_held() {
                held.push(*request);
            }
        }
        held
    }

    /// A request was answered whole: it does not crash what runs it.
    pub fn record_response(&mut self, request: Fingerprint, now_ms: TimeMs) {
        if let Some(suspicion) = self.by_request.get_mut(&request) {
            suspicion.cleared_ms = now_ms;
            let lives = suspicion.losses.drain(..).map(|loss| loss.incarnation);
            suspicion.cleared.extend(lives);
        }
    }

    /// How long a request is held back from now, if it is.
    pub fn quarantine_left_ms(&self, request: Fingerprint, now_ms: TimeMs) -> Option<TimeMs> {
        let suspicion = self.by_request.get(&request).filter(|suspicion| suspicion.is_held())?;
        let last_ms = suspicion.crashes().map(|loss| loss.at_ms).max()?;
        let left_ms = last_ms.after(HELD_FOR_MS).since(now_ms);
        (left_ms > TimeMs(0)).then_some(left_ms)
    }

    /// Up to `limit` crashes that this instance saw and tells its peers now.
    pub fn take_reports(
        &mut self,
        limit: usize,
        now_ms: TimeMs,
    ) -> Vec<(Fingerprint, EndpointTag)> {
        let mut take_reports = Vec::new();
        for (request, suspicion) in &mut self.by_request {
            let is_serious = suspicion.crashes().count() > 1;
            let own = suspicion.losses.iter_mut().filter(|loss| loss.is_crash && loss.is_own);
            let due = own.filter(|loss| {
                now_ms.since(loss.at_ms) < NEWS_FOR_MS
                    || is_serious && now_ms.since(loss.told_ms) >= TOLD_EVERY_MS
            });
            for loss in due.take(limit - take_reports.len()) {
                loss.told_ms = now_ms;
                take_reports.push((*request, loss.incarnation));
            }
        }
        take_reports
    }

    /// A peer saw a request lost with a life; answers whether the request is held back from now on.
    pub fn apply_report(
        &mut self,
        request: Fingerprint,
        incarnation: EndpointTag,
        now_ms: TimeMs,
    ) -> bool {
        let Some(suspicion) = self.entry(request) else { return false };
        let was_held = suspicion.is_held();
        suspicion.keep(Loss {
            incarnation,
            at_ms: now_ms,
            is_crash: true,
            is_own: false,
            told_ms: now_ms,
        });
        !was_held && suspicion.is_held()
    }

    /// Forgets what has run out.
    pub fn expire(&mut self, now_ms: TimeMs) {
        self.ended_ms.retain(|_, at_ms| now_ms.since(*at_ms) < TOGETHER_MS);
        self.by_request.retain(|_, suspicion| {
            suspicion.losses.retain(|loss| {
                let kept_ms = if loss.is_crash { HELD_FOR_MS } else { TOGETHER_MS };
                now_ms.since(loss.at_ms) < kept_ms
            });
            let is_cleared_lately =
                !suspicion.cleared.is_empty() && now_ms.since(suspicion.cleared_ms) < HELD_FOR_MS;
            is_cleared_lately || !suspicion.losses.is_empty()
        });
    }
}
