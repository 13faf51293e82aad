//! The limits that endpoints state, and this instance's part of each.
//!
//! Load pattern: an endpoint in need takes a few requests a second from the whole fleet. Whoever gets a response that
//! states a limit reports it to the others, so that they stop before they have sent requests of their own, and all report
//! if they have requests for the endpoint, so that its requests go to instances that have some. The division itself is
//! [`SharedRate`]. See `docs/design/shared-totals.md`.
//!
//! Only what an instance got in a response itself is reported, with its age: two instances that pass each other's reports
//! on would keep a limit alive that has ended.

use std::collections::HashMap;

use bilberryford_coord::{SharePlace, SharedRate};
use bilberryford_types::{EndpointId, RequestRate, TimeMs};
use serde::{Deserialize, Serialize};

use crate::peer_loads::EndpointTag;

/// The shortest time in which all instances learn of a change.
const MIN_SETTLE_MS: u64 = 500;
/// The reports in that time, of which all but one may be lost.
const SETTLE_REPORTS: u64 = 3;
/// How much older than reported a response without a limit counts, in milliseconds: the report may have been under way
/// for some time, and the endpoint may have stated a limit since.
const REPORT_DELAY_MS: TimeMs = TimeMs(1_000);
/// How long an instance counts as having requests for an endpoint after the last one.
const WANTED_MS: TimeMs = TimeMs(10_000);
/// How long a peer's report on its requests is used, in reports, and at least in milliseconds.
const PEER_EXPIRY_REPORTS: u64 = 10;
const MIN_PEER_EXPIRY_MS: u64 = 3_000;
/// The most endpoints whose limits are tracked: those of a large fleet that are in need at once.
const MAX_LIMITS: usize = 4_096;
/// The most limits in one report, so that it fits into one datagram.
pub(crate) const MAX_REPORTED_LIMITS: usize = 80;

/// What an instance reports of one endpoint with a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The endpoint's incarnation.
    pub endpoint: EndpointTag,
    /// What the last response to the sender stated, with its age; none if it got no response.
    pub statement: Option<LimitStatement>,
    /// True if the sender has requests for it.
    pub has_requests: bool,
}

/// The limit that a response stated, or none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitStatement {
    /// The limit.
    pub limit: Option<RequestRate>,
    /// The time since the response, or since the request if it stated none.
    pub age_ms: TimeMs,
}

/// What became known of a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitChange {
    /// It is stated for the first time, or has another value.
    Stated(RequestRate),
    /// A response does not state it any more.
    Ended,
}

/// A peer's last report on its requests for an endpoint.
#[derive(Debug, Clone, Copy)]
struct PeerDemand {
    has_requests: bool,
    received_ms: TimeMs,
}

#[derive(Debug, Clone)]
struct EndpointLimit {
    rate: SharedRate,
    /// The last statement in a response to this instance itself: the time of the response, or of the request if it stated
    /// no limit.
    own_statement: Option<(Option<RequestRate>, TimeMs)>,
    wanted_ms: Option<TimeMs>,
    peers: HashMap<String, PeerDemand>,
    /// True if this instance takes no more than a part among all listed instances while it sees half of them at most: cut
    /// off from the others, it would take the whole limit in addition to them.
    counts_listed: bool,
    /// True if a response changed it since the last report, so that the others are to learn of it at once.
    is_report_due: bool,
}

impl EndpointLimit {
    fn is_wanted(&self, now_ms: TimeMs) -> bool {
        self.wanted_ms.is_some_and(|wanted_ms| now_ms.since(wanted_ms) < WANTED_MS)
    }
}

/// The instances among which limits are divided.
pub trait LimitSharers {
    /// The place of this instance for `endpoint` among itself and the live peers for which `takes_part` is true; none
    /// while this instance does not know its peers yet.
    fn place(&self, endpoint: EndpointTag, takes_part: &dyn Fn(&str) -> bool)
    -> Option<SharePlace>;

    /// The number of instances that the store lists, this one included.
    fn listed_instances(&self) -> u64;

    /// The interval at which the instances report.
    fn report_interval_ms(&self) -> TimeMs;
}

/// A place among all listed instances if this one sees half of them at most.
fn among_listed(
    place: SharePlace,
    endpoint: EndpointTag,
    sharers: &impl LimitSharers,
) -> SharePlace {
    let listed = sharers.listed_instances();
    let live = sharers.place(endpoint, &|_| true).map_or(1, |place| place.sharers());
    if live * 2 > listed { place } else { place.among(listed) }
}

fn settle_ms(sharers: &impl LimitSharers) -> TimeMs {
    TimeMs(MIN_SETTLE_MS.max(SETTLE_REPORTS * sharers.report_interval_ms().get()))
}

/// The limits of all endpoints that state one.
#[derive(Debug, Clone, Default)]
pub struct EndpointLimits {
    by_endpoint: HashMap<EndpointTag, EndpointLimit>,
}

impl EndpointLimits {
    /// Records whether the response to a request that was sent at `sent_ms` stated a limit.
    pub fn record_response(
        &mut self,
        endpoint: EndpointTag,
        stated: Option<RequestRate>,
        sent_ms: TimeMs,
        sharers: &impl LimitSharers,
        now_ms: TimeMs,
    ) -> Option<LimitChange> {
        let Some(limit) = stated else {
            let change = self.record_not_stated(endpoint, sent_ms, now_ms);
            let state = self.by_endpoint.get_mut(&endpoint)?;
            if state.own_statement.is_none_or(|(_, at_ms)| at_ms < sent_ms) {
                state.own_statement = Some((None, sent_ms));
            }
            state.is_report_due |= change.is_some();
            return change;
        };
        let change = self.record_stated(endpoint, limit, now_ms, sharers, now_ms);
        if let Some(state) = self.by_endpoint.get_mut(&endpoint) {
            state.is_report_due |= change.is_some();
            state.own_statement = Some((Some(limit), now_ms));
            // A request of this instance led to the response.
            state.wanted_ms = Some(now_ms);
        }
        change
    }

    fn record_not_stated(
        &mut self,
        endpoint: EndpointTag,
        sent_ms: TimeMs,
        now_ms: TimeMs,
    ) -> Option<LimitChange> {
        let state = self.by_endpoint.get_mut(&endpoint)?;
        let had_ended = state.rate.has_ended();
        state.rate.record_not_stated(sent_ms, now_ms);
        (!had_ended && state.rate.has_ended()).then_some(LimitChange::Ended)
    }

    fn record_stated(
        &mut self,
        endpoint: EndpointTag,
        limit: RequestRate,
        at_ms: TimeMs,
        sharers: &impl LimitSharers,
        now_ms: TimeMs,
    ) -> Option<LimitChange> {
        if let Some(state) = self.by_endpoint.get_mut(&endpoint) {
            let before = (state.rate.limit(now_ms), state.rate.has_ended());
            state.rate.record_stated(limit, at_ms, now_ms);
            let after = (state.rate.limit(now_ms), state.rate.has_ended());
            return (before != after && !after.1).then_some(LimitChange::Stated(limit));
        }
        if self.by_endpoint.len() >= MAX_LIMITS {
            log::warn!(limits = MAX_LIMITS; "too many endpoints state limits; one more is ignored");
            return None;
        }
        let place = sharers.place(endpoint, &|_| true);
        let rate = SharedRate::new(limit, at_ms, place, settle_ms(sharers), now_ms);
        // Until the first report of an instance, all assume that it has requests.
        let wanted_ms = Some(now_ms);
        let state = EndpointLimit {
            rate,
            own_statement: None,
            wanted_ms,
            peers: HashMap::new(),
            counts_listed: false,
            is_report_due: false,
        };
        self.by_endpoint.insert(endpoint, state);
        Some(LimitChange::Stated(limit))
    }

    /// Starts a limit that no response stated, or renews it. It is not reported; the others start it on their own evidence.
    pub fn begin(
        &mut self,
        endpoint: EndpointTag,
        limit: RequestRate,
        sharers: &impl LimitSharers,
        now_ms: TimeMs,
    ) {
        self.record_stated(endpoint, limit, now_ms, sharers, now_ms);
        if let Some(state) = self.by_endpoint.get_mut(&endpoint)
            && !std::mem::replace(&mut state.counts_listed, true)
        {
            let place = sharers.place(endpoint, &|_| true);
            let place = place.map(|place| among_listed(place, endpoint, sharers));
            state.rate.set_place(place, settle_ms(sharers), now_ms);
        }
    }

    /// Ends a limit that no response stated: from now on it doubles each second.
    pub fn end(&mut self, endpoint: EndpointTag, now_ms: TimeMs) {
        self.record_not_stated(endpoint, now_ms.after(TimeMs(1)), now_ms);
    }

    /// True if the endpoint has a limit, or one that has ended and is not over yet.
    pub fn contains(&self, endpoint: EndpointTag) -> bool {
        self.by_endpoint.contains_key(&endpoint)
    }

    /// Applies a peer's report, and returns what it changed.
    pub fn apply_report(
        &mut self,
        peer: &str,
        report: &LimitReport,
        sharers: &impl LimitSharers,
        now_ms: TimeMs,
    ) -> Option<LimitChange> {
        let endpoint = report.endpoint;
        let change = report.statement.and_then(|LimitStatement { limit, age_ms }| {
            let at_ms = now_ms.since(age_ms);
            match limit {
                Some(limit) => self.record_stated(endpoint, limit, at_ms, sharers, now_ms),
                None => self.record_not_stated(endpoint, at_ms.since(REPORT_DELAY_MS), now_ms),
            }
        });
        if let Some(state) = self.by_endpoint.get_mut(&endpoint) {
            let demand = PeerDemand { has_requests: report.has_requests, received_ms: now_ms };
            state.peers.insert(peer.to_owned(), demand);
        }
        change
    }

    /// Updates this instance's parts, and returns the endpoints whose limits are over: those that have ended some time ago,
    /// and those of endpoints for which `is_listed` is false.
    pub fn refresh(
        &mut self,
        sharers: &impl LimitSharers,
        is_listed: impl Fn(EndpointTag) -> bool,
        now_ms: TimeMs,
    ) -> Vec<EndpointTag> {
        let settle_ms = settle_ms(sharers);
        let interval_ms = sharers.report_interval_ms().get();
        let expiry_ms = TimeMs(MIN_PEER_EXPIRY_MS.max(PEER_EXPIRY_REPORTS * interval_ms));
        for (endpoint, state) in &mut self.by_endpoint {
            state.peers.retain(|_, demand| now_ms.since(demand.received_ms) < expiry_ms);
            let peers = &state.peers;
            // A peer that has not reported yet may have requests.
            let takes_part = |peer: &str| peers.get(peer).is_none_or(|demand| demand.has_requests);
            let mut place = sharers.place(*endpoint, &takes_part);
            if state.counts_listed {
                place = place.map(|place| among_listed(place, *endpoint, sharers));
            }
            state.rate.set_place(place.filter(|_| state.is_wanted(now_ms)), settle_ms, now_ms);
        }
        let over: Vec<_> = self
            .by_endpoint
            .iter()
            .filter(|(endpoint, state)| state.rate.is_over(now_ms) || !is_listed(**endpoint))
            .map(|(endpoint, _)| *endpoint)
            .collect();
        over.iter().for_each(|endpoint| {
            self.by_endpoint.remove(endpoint);
        });
        over
    }

    /// The time from which this instance may send a request to an endpoint for which it has one; `now_ms` if it may now.
    pub fn next_ms(&mut self, endpoint: EndpointTag, now_ms: TimeMs) -> TimeMs {
        let Some(state) = self.by_endpoint.get_mut(&endpoint) else { return now_ms };
        state.wanted_ms = Some(now_ms);
        state.rate.next_ms(now_ms)
    }

    /// The same for both limits of an endpoint: the one that its incarnation states, and the one while it is cold.
    pub(crate) fn next_ms_of(
        &mut self,
        id: &EndpointId,
        incarnation: EndpointTag,
        now_ms: TimeMs,
    ) -> TimeMs {
        if self.is_empty() {
            return now_ms;
        }
        let endpoint = EndpointTag::of_endpoint(id.as_str());
        self.next_ms(incarnation, now_ms).max(self.next_ms(endpoint, now_ms))
    }

    /// Takes one request of this instance's part, and returns true if it may be sent now.
    pub fn try_take(&mut self, endpoint: EndpointTag, now_ms: TimeMs) -> bool {
        self.by_endpoint.get_mut(&endpoint).is_none_or(|state| state.rate.try_take(now_ms))
    }

    /// The part of this instance in the limit of an endpoint.
    pub fn own_part(&self, endpoint: EndpointTag) -> Option<RequestRate> {
        self.by_endpoint.get(&endpoint).map(|state| state.rate.rate())
    }

    /// The number of endpoints with a limit, or with one that has ended and is not over yet.
    pub fn len(&self) -> usize {
        self.by_endpoint.len()
    }

    /// True if no endpoint states a limit.
    pub fn is_empty(&self) -> bool {
        self.by_endpoint.is_empty()
    }

    /// True if the others are to learn of a change without delay.
    pub fn is_report_due(&self) -> bool {
        self.by_endpoint.values().any(|state| state.is_report_due)
    }

    /// The reports for the other instances: all, or those that are not to be delayed.
    pub fn take_reports(&mut self, are_all_due: bool, now_ms: TimeMs) -> Vec<LimitReport> {
        let due = self.by_endpoint.iter_mut();
        let due = due.filter(|(_, state)| are_all_due || state.is_report_due);
        due.map(|(endpoint, state)| {
            state.is_report_due = false;
            LimitReport {
                endpoint: *endpoint,
                statement: state
                    .own_statement
                    .map(|(limit, at_ms)| LimitStatement { limit, age_ms: now_ms.since(at_ms) }),
                has_requests: state.is_wanted(now_ms),
            }
        })
        .collect()
    }
}
