//! Quarantine for requests that crash endpoints.
//!
//! A request may crash every endpoint that starts to run it while its caller keeps retrying it at any instance. A
//! request that was lost in crashes of [`CRASH_LIMIT`] endpoint incarnations is quarantined for a while. Other requests
//! in the same batches are lost with it once or twice, and are cleared by their next response.
//!
//! Instances report the pairs of request and incarnation that they saw end together to each other. The set of pairs
//! only grows, so a report may be lost, duplicated or late, and no instance has to be asked before a request proceeds.
//!
//! # Invariant
//!
//! A loss counts only together with the end of that incarnation of the endpoint, since a connection may break for many
//! reasons, and each incarnation counts once however many instances report it.

use std::collections::HashMap;

use bilberryford_types::TimeMs;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::peer_loads::EndpointTag;

/// The crashed incarnations that quarantine a request: one more than an unrelated request in the same batches sees.
const CRASH_LIMIT: usize = 3;
/// How long a request is quarantined after its last crash, in milliseconds: ten minutes, the time for which
/// `bilberryford-coord` retains suspected requests.
const QUARANTINE_MS: TimeMs = TimeMs(600_000);
/// The longest time between a loss and the end of its incarnation, in milliseconds: an endpoint's entry in the list
/// expires some seconds after a crash.
const CORRELATION_MS: TimeMs = TimeMs(6_000);
/// How long a new crash is part of every report, in milliseconds: several messages at the slowest pace.
const NEW_CRASH_MS: TimeMs = TimeMs(2_500);
/// The interval of further reports if a request has several crashes, in milliseconds: peers start and reconnect.
const REPORT_INTERVAL_MS: TimeMs = TimeMs(2_000);
/// The most requests that are tracked; beyond them, new ones are ignored until old ones expire.
const MAX_REQUESTS: usize = 4_096;

/// The identity of a request over all its retries: the hash of its caller, method, target and body.
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

/// A lost connection to an endpoint that may have started the request.
#[derive(Debug, Clone, Copy)]
struct Loss {
    incarnation: EndpointTag,
    at_ms: TimeMs,
    is_crash: bool,
    /// True if this instance observed the loss itself and so reports it to its peers.
    is_local: bool,
    reported_ms: TimeMs,
}

/// The losses of one request.
#[derive(Debug, Clone, Default)]
struct LossRecord {
    losses: Vec<Loss>,
    /// Incarnations that ended before the last response to the request; late reports of them are ignored.
    cleared: Vec<EndpointTag>,
    cleared_ms: TimeMs,
}

impl LossRecord {
    fn crashes(&self) -> impl Iterator<Item = &Loss> {
        self.losses.iter().filter(|loss| loss.is_crash)
    }

    fn is_quarantined(&self) -> bool {
        self.crashes().count() >= CRASH_LIMIT
    }

    fn add(&mut self, loss: Loss) {
        if self.cleared.contains(&loss.incarnation) {
            return;
        }
        match self.losses.iter_mut().find(|known| known.incarnation == loss.incarnation) {
            Some(known) => known.is_crash |= loss.is_crash,
            None => self.losses.push(loss),
        }
    }
}

/// The losses of all tracked requests, and the endpoint incarnations that ended recently.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    by_request: HashMap<Fingerprint, LossRecord>,
    ended_ms: HashMap<EndpointTag, TimeMs>,
}

impl Quarantine {
    fn record(&mut self, request: Fingerprint) -> Option<&mut LossRecord> {
        let has_room = self.by_request.len() < MAX_REQUESTS;
        (has_room || self.by_request.contains_key(&request))
            .then(|| self.by_request.entry(request).or_default())
    }

    /// Records that a request lost its connection to an endpoint that may have started it, and returns true if this
    /// quarantines the request.
    pub fn record_loss(
        &mut self,
        request: Fingerprint,
        incarnation: EndpointTag,
        now_ms: TimeMs,
    ) -> bool {
        let is_crash = self.ended_ms.contains_key(&incarnation);
        let Some(record) = self.record(request) else { return false };
        let was_quarantined = record.is_quarantined();
        record.add(Loss {
            incarnation,
            at_ms: now_ms,
            is_crash,
            is_local: true,
            reported_ms: now_ms,
        });
        !was_quarantined && record.is_quarantined()
    }

    /// Returns true if the end of `incarnation` was recorded within the last seconds.
    pub fn has_ended(&self, incarnation: EndpointTag) -> bool {
        self.ended_ms.contains_key(&incarnation)
    }

    /// Records the end of an endpoint's incarnation and returns the requests that this quarantines.
    pub fn record_incarnation_end(
        &mut self,
        incarnation: EndpointTag,
        now_ms: TimeMs,
    ) -> Vec<Fingerprint> {
        if self.ended_ms.insert(incarnation, now_ms).is_some() {
            return Vec::new();
        }
        let mut quarantined = Vec::new();
        for (request, record) in &mut self.by_request {
            let was_quarantined = record.is_quarantined();
            let with_it = record.losses.iter_mut().filter(|loss| loss.incarnation == incarnation);
            for loss in with_it.filter(|loss| now_ms.since(loss.at_ms) <= CORRELATION_MS) {
                loss.is_crash = true;
                loss.at_ms = now_ms;
            }
            if !was_quarantined && record.is_quarantined() {
                quarantined.push(*request);
            }
        }
        quarantined
    }

    /// Clears a request after a complete response, since it does not crash the endpoint that runs it.
    pub fn record_response(&mut self, request: Fingerprint, now_ms: TimeMs) {
        if let Some(record) = self.by_request.get_mut(&request) {
            record.cleared_ms = now_ms;
            let incarnations = record.losses.drain(..).map(|loss| loss.incarnation);
            record.cleared.extend(incarnations);
        }
    }

    /// The time until a quarantined request may run again; none if it is not quarantined.
    pub fn quarantine_left_ms(&self, request: Fingerprint, now_ms: TimeMs) -> Option<TimeMs> {
        let record = self.by_request.get(&request).filter(|record| record.is_quarantined())?;
        let last_ms = record.crashes().map(|loss| loss.at_ms).max()?;
        let left_ms = last_ms.after(QUARANTINE_MS).since(now_ms);
        (left_ms > TimeMs(0)).then_some(left_ms)
    }

    /// Takes up to `limit` crashes that this instance observed and that are due to be reported to its peers.
    pub fn take_reports(
        &mut self,
        limit: usize,
        now_ms: TimeMs,
    ) -> Vec<(Fingerprint, EndpointTag)> {
        let mut reports = Vec::new();
        for (request, record) in &mut self.by_request {
            let is_repeated = record.crashes().count() > 1;
            let local = record.losses.iter_mut().filter(|loss| loss.is_crash && loss.is_local);
            let due = local.filter(|loss| {
                now_ms.since(loss.at_ms) < NEW_CRASH_MS
                    || is_repeated && now_ms.since(loss.reported_ms) >= REPORT_INTERVAL_MS
            });
            for loss in due.take(limit - reports.len()) {
                loss.reported_ms = now_ms;
                reports.push((*request, loss.incarnation));
            }
        }
        reports
    }

    /// Applies a peer's report of a request that was lost in a crash, and returns true if this quarantines the request.
    pub fn apply_report(
        &mut self,
        request: Fingerprint,
        incarnation: EndpointTag,
        now_ms: TimeMs,
    ) -> bool {
        let Some(record) = self.record(request) else { return false };
        let was_quarantined = record.is_quarantined();
        record.add(Loss {
            incarnation,
            at_ms: now_ms,
            is_crash: true,
            is_local: false,
            reported_ms: now_ms,
        });
        !was_quarantined && record.is_quarantined()
    }

    /// Drops expired losses and requests.
    pub fn expire(&mut self, now_ms: TimeMs) {
        self.ended_ms.retain(|_, at_ms| now_ms.since(*at_ms) < CORRELATION_MS);
        self.by_request.retain(|_, record| {
            record.losses.retain(|loss| {
                let retention_ms = if loss.is_crash { QUARANTINE_MS } else { CORRELATION_MS };
                now_ms.since(loss.at_ms) < retention_ms
            });
            let is_cleared_recently =
                !record.cleared.is_empty() && now_ms.since(record.cleared_ms) < QUARANTINE_MS;
            is_cleared_recently || !record.losses.is_empty()
        });
    }
}
