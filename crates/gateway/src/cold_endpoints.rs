//! Endpoints that have just started, or may have, and so tolerate few requests.
//!
//! Load pattern: all endpoints of a data centre come back cold during a burst. Entries are seen up to three seconds late,
//! and an endpoint may restart under its id and address while its entry is still the old one. Every instance that sends at
//! its usual rate, or sends one trial after the outage, adds to what the endpoint gets.
//!
//! This module decides when an endpoint is cold; [`EndpointLimits`] divides the limit that holds meanwhile. State is kept
//! by endpoint, not by incarnation, so that one limit covers a suspected restart and the entry of the new incarnation.
//! A suspected restart ends with a response to a request that was sent a cold period after the first contact, by an entry
//! that is later than the restart, or by the entry of another incarnation. See `docs/design/cold-endpoints.md`.

mod suspicion;

use std::collections::HashMap;

use bilberryford_types::{RequestRate, TimeMs};
use serde::{Deserialize, Serialize};

use self::suspicion::Suspicion;
pub use self::suspicion::SuspicionReport;
use crate::{
    endpoint_limits::{EndpointLimits, LimitSharers},
    peer_loads::EndpointTag,
};

/// How often a new suspicion or statement is sent without delay: with a loss of 20%, one instance in a hundred gets none.
const URGENT_SENDS: u8 = 3;
/// The most cold endpoints that are tracked, as for limits.
const MAX_COLD: usize = 4_096;
/// The most endpoints in one report, so that it fits into one datagram.
pub(crate) const MAX_REPORTED_COLD: usize = 48;

/// How long an endpoint of a service is cold, and what all instances together may send to it meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdLimit {
    /// The limit over all instances: half of what a cold endpoint may get in a second.
    pub rate: RequestRate,
    /// How long an endpoint is cold after its start.
    pub lasts_ms: TimeMs,
}

/// Where evidence of a cold endpoint comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ColdSource {
    /// The entry in the store.
    Entry,
    /// A statement of the endpoint itself.
    Endpoint,
    /// A connection was refused, reset or lost.
    ConnectionLost,
    /// The circuit of this instance opened.
    CircuitOpened,
    /// The end of the evacuation of its data centre.
    Evacuation,
    /// The report of another instance.
    Peer,
}

impl ColdSource {
    /// True if the end of the cold period depends on when the endpoint is reached again.
    fn is_suspicion(self) -> bool {
        matches!(self, Self::ConnectionLost | Self::CircuitOpened | Self::Evacuation)
    }
}

/// Evidence that an endpoint is cold or may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdEvidence {
    /// The endpoint, whatever its incarnation.
    pub endpoint: EndpointTag,
    /// The incarnation that is listed.
    pub incarnation: EndpointTag,
    /// For how long it is cold; of no meaning where `source` only makes a restart likely.
    pub cold_for_ms: TimeMs,
    /// Where it comes from.
    pub source: ColdSource,
}

/// The limits that cold endpoints start and end, the instances that share them, and the time.
pub struct LimitContext<'a, S> {
    /// The limits.
    pub limits: &'a mut EndpointLimits,
    /// The instances.
    pub sharers: &'a S,
    /// The time.
    pub now_ms: TimeMs,
}

/// What became known of a cold endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdChange {
    /// Its limit is in force.
    Began,
    /// Its cold period is over, and its limit doubles each second.
    Ended,
}

/// What an instance reports of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdReport {
    /// The endpoint, whatever its incarnation.
    pub endpoint: EndpointTag,
    /// For how long the endpoint is still cold by its own statement to the sender; 0 if it made none.
    pub left_ms: TimeMs,
    /// The same by the entry that the sender has seen, for those that have just started and may read an older one.
    pub listed_left_ms: TimeMs,
    /// A restart that is suspected, or was.
    pub suspicion: Option<SuspicionReport>,
}

#[derive(Debug, Clone)]
struct ColdEndpoint {
    limit: ColdLimit,
    /// The incarnation of the newest entry or evidence.
    incarnation: EndpointTag,
    /// The incarnation before; what is reported of it is outdated.
    previous: Option<EndpointTag>,
    /// The end of the cold period by the newest entry.
    listed_until_ms: TimeMs,
    /// The end by the endpoint's statements to this instance.
    own_until_ms: TimeMs,
    /// The end by its statements to other instances.
    reported_until_ms: TimeMs,
    suspicion: Option<Suspicion>,
    /// The limit in force; none while the endpoint is not cold.
    limited_to: Option<RequestRate>,
    urgent_sends: u8,
}

impl ColdReport {
    /// For how long the endpoint is cold by what this report states.
    fn stated_left_ms(&self, is_newcomer: bool) -> TimeMs {
        if is_newcomer { self.left_ms.max(self.listed_left_ms) } else { self.left_ms }
    }
}

impl ColdEndpoint {
    fn new(limit: ColdLimit, incarnation: EndpointTag) -> Self {
        Self {
            limit,
            incarnation,
            previous: None,
            listed_until_ms: TimeMs(0),
            own_until_ms: TimeMs(0),
            reported_until_ms: TimeMs(0),
            suspicion: None,
            limited_to: None,
            urgent_sends: 0,
        }
    }

    fn is_cold(&self, now_ms: TimeMs) -> bool {
        let until_ms = self.listed_until_ms.max(self.own_until_ms).max(self.reported_until_ms);
        now_ms < until_ms || self.suspicion.is_some_and(|suspicion| !suspicion.is_over)
    }

    /// Applies an entry, which was written after all entries before it. What it states replaces what they stated.
    fn apply_entry(&mut self, incarnation: EndpointTag, left_ms: TimeMs, now_ms: TimeMs) {
        let is_other = self.incarnation != incarnation;
        if is_other {
            self.previous = Some(self.incarnation);
            self.incarnation = incarnation;
            (self.own_until_ms, self.reported_until_ms) = (TimeMs(0), TimeMs(0));
        }
        self.listed_until_ms = now_ms.after(left_ms);
        if let Some(suspicion) = &mut self.suspicion {
            suspicion.apply_entry(incarnation, now_ms);
        }
    }

    fn suspect(&mut self, incarnation: EndpointTag, now_ms: TimeMs) {
        let is_new = match &mut self.suspicion {
            Some(suspicion) if !suspicion.is_over => suspicion.renew(incarnation, now_ms),
            _ => {
                self.suspicion = Some(Suspicion::own(incarnation, now_ms));
                true
            }
        };
        if is_new {
            self.urgent_sends = URGENT_SENDS;
        }
    }

    /// Puts the limit into force or ends it, and returns what changed.
    fn enforce(
        &mut self,
        endpoint: EndpointTag,
        context: &mut LimitContext<'_, impl LimitSharers>,
    ) -> Option<ColdChange> {
        let LimitContext { limits, sharers, now_ms } = context;
        let (sharers, now_ms) = (*sharers, *now_ms);
        let is_cold = self.is_cold(now_ms);
        let limit = is_cold.then_some(self.limit.rate);
        let before = std::mem::replace(&mut self.limited_to, limit);
        match limit {
            Some(rate) if before != limit || !limits.contains(endpoint) => {
                limits.begin(endpoint, rate, sharers, now_ms);
            }
            None if before.is_some() => limits.end(endpoint, now_ms),
            _ => {}
        }
        let change = match (before.is_some(), is_cold) {
            (false, true) => ColdChange::Began,
            (true, false) => ColdChange::Ended,
            _ => return None,
        };
        Some(change)
    }

    fn report(&self, endpoint: EndpointTag, now_ms: TimeMs) -> Option<ColdReport> {
        let left_ms = self.own_until_ms.since(now_ms);
        let listed_left_ms = self.listed_until_ms.since(now_ms);
        let suspicion = self.suspicion.and_then(|suspicion| suspicion.report(now_ms));
        let is_reported = left_ms.max(listed_left_ms) > TimeMs(0) || suspicion.is_some();
        is_reported.then_some(ColdReport { endpoint, left_ms, listed_left_ms, suspicion })
    }
}

/// The endpoints that are cold, or were until recently.
#[derive(Debug, Clone, Default)]
pub struct ColdEndpoints {
    by_endpoint: HashMap<EndpointTag, ColdEndpoint>,
}

impl ColdEndpoints {
    /// Records evidence. Where its source only makes a restart likely, the cold period begins with the first contact and
    /// its length is that of `limit`.
    pub fn record(
        &mut self,
        evidence: &ColdEvidence,
        limit: ColdLimit,
        context: &mut LimitContext<'_, impl LimitSharers>,
    ) -> Option<ColdChange> {
        let ColdEvidence { endpoint, incarnation, cold_for_ms, source } = *evidence;
        let now_ms = context.now_ms;
        let is_known = self.by_endpoint.contains_key(&endpoint);
        if !is_known && !source.is_suspicion() && cold_for_ms == TimeMs(0) {
            return None;
        }
        let state = self.state_mut(endpoint, incarnation, limit)?;
        match source {
            ColdSource::Entry => state.apply_entry(incarnation, cold_for_ms, now_ms),
            source if source.is_suspicion() => state.suspect(incarnation, now_ms),
            _ => {
                let until_ms = now_ms.after(cold_for_ms);
                if until_ms > state.own_until_ms {
                    let is_new = now_ms >= state.own_until_ms;
                    state.own_until_ms = until_ms;
                    state.urgent_sends = if is_new { URGENT_SENDS } else { state.urgent_sends };
                }
            }
        }
        state.enforce(endpoint, context)
    }

    fn state_mut(
        &mut self,
        endpoint: EndpointTag,
        incarnation: EndpointTag,
        limit: ColdLimit,
    ) -> Option<&mut ColdEndpoint> {
        if self.by_endpoint.len() >= MAX_COLD && !self.by_endpoint.contains_key(&endpoint) {
            log::warn!(endpoints = MAX_COLD; "too many cold endpoints; one more is ignored");
            return None;
        }
        let new = || ColdEndpoint::new(limit, incarnation);
        let state = self.by_endpoint.entry(endpoint).or_insert_with(new);
        state.limit = limit;
        Some(state)
    }

    /// Records the endpoint's own response to a request of this instance that was sent at `sent_ms`.
    pub fn record_response(
        &mut self,
        endpoint: EndpointTag,
        sent_ms: TimeMs,
        context: &mut LimitContext<'_, impl LimitSharers>,
    ) -> Option<ColdChange> {
        let state = self.by_endpoint.get_mut(&endpoint)?;
        let lasts_ms = state.limit.lasts_ms;
        let suspicion = state.suspicion.as_mut()?;
        if suspicion.record_response(sent_ms, lasts_ms, context.now_ms) {
            // Those who have no request for it learn of the end from here.
            state.urgent_sends = URGENT_SENDS;
        }
        state.enforce(endpoint, context)
    }

    /// Returns true if `report` may start a limit: if the endpoint is unknown, the caller has to look its service up.
    pub fn is_unknown(&self, report: &ColdReport, is_newcomer: bool) -> bool {
        !self.by_endpoint.contains_key(&report.endpoint)
            && (report.stated_left_ms(is_newcomer) > TimeMs(0)
                || report.suspicion.is_some_and(|reported| reported.is_news(is_newcomer)))
    }

    /// Applies a peer's report. `limit` is that of the endpoint's service, and is needed for an unknown endpoint only. An
    /// instance that `is_newcomer` also relies on what its peers know from others, who may have died since.
    pub fn apply_report(
        &mut self,
        report: &ColdReport,
        listed: Option<(EndpointTag, ColdLimit)>,
        is_newcomer: bool,
        context: &mut LimitContext<'_, impl LimitSharers>,
    ) -> Option<ColdChange> {
        let (endpoint, now_ms) = (report.endpoint, context.now_ms);
        if self.is_unknown(report, is_newcomer) {
            let (incarnation, limit) = listed?;
            self.state_mut(endpoint, incarnation, limit)?;
        }
        let state = self.by_endpoint.get_mut(&endpoint)?;
        let left_ms = report.stated_left_ms(is_newcomer);
        if left_ms > TimeMs(0) {
            state.reported_until_ms = state.reported_until_ms.max(now_ms.after(left_ms));
        }
        if let Some(reported) = report.suspicion
            && state.previous != Some(reported.incarnation)
        {
            match &mut state.suspicion {
                Some(suspicion) => suspicion.apply_report(&reported, now_ms),
                None if reported.is_news(is_newcomer) => {
                    state.suspicion = Some(Suspicion::reported(&reported, now_ms));
                }
                None => {}
            }
        }
        state.enforce(endpoint, context)
    }

    /// Sets the limits of endpoints to those that settings and configuration state now. [`Self::update`] enforces them.
    pub fn set_limits(&mut self, limit_of: impl Fn(EndpointTag) -> Option<ColdLimit>) {
        for (endpoint, state) in &mut self.by_endpoint {
            // Without a limit, the last one holds until the cold period is over.
            state.limit = limit_of(*endpoint).unwrap_or(state.limit);
        }
    }

    /// Ends the limits of endpoints whose cold period is over, and forgets those whose limits are gone, or that are not
    /// listed any more.
    pub fn update(
        &mut self,
        is_listed: impl Fn(EndpointTag) -> bool,
        context: &mut LimitContext<'_, impl LimitSharers>,
    ) -> Vec<(EndpointTag, ColdChange)> {
        let mut changes = Vec::new();
        self.by_endpoint.retain(|endpoint, state| {
            if !is_listed(*endpoint) {
                return false;
            }
            let change = state.enforce(*endpoint, context);
            changes.extend(change.map(|change| (*endpoint, change)));
            state.limited_to.is_some() || context.limits.contains(*endpoint)
        });
        changes
    }

    /// True if the endpoint is cold, or was until recently.
    pub fn contains(&self, endpoint: EndpointTag) -> bool {
        self.by_endpoint.contains_key(&endpoint)
    }

    /// True if no endpoint is cold, or was until recently.
    pub fn is_empty(&self) -> bool {
        self.by_endpoint.is_empty()
    }

    /// The number of cold endpoints.
    pub fn count(&self) -> usize {
        self.by_endpoint.values().filter(|state| state.limited_to.is_some()).count()
    }

    /// True if the others are to learn of something without delay.
    pub fn is_report_due(&self) -> bool {
        self.by_endpoint.values().any(|state| state.urgent_sends > 0)
    }

    /// The reports for an instance that has just started.
    pub fn reports(&self, now_ms: TimeMs) -> Vec<ColdReport> {
        let states = self.by_endpoint.iter();
        states.filter_map(|(endpoint, state)| state.report(*endpoint, now_ms)).collect()
    }

    /// The reports for the other instances: all, or those that are not to be delayed.
    pub fn take_reports(&mut self, are_all_due: bool, now_ms: TimeMs) -> Vec<ColdReport> {
        let due = self.by_endpoint.iter_mut();
        let due = due.filter(|(_, state)| are_all_due || state.urgent_sends > 0);
        due.filter_map(|(endpoint, state)| {
            state.urgent_sends = state.urgent_sends.saturating_sub(1);
            state.report(*endpoint, now_ms)
        })
        .collect()
    }
}
